"""What single steps cost at a size: reading, checking, laying out and looking up what a program holds.

Times are processor time of this thread, the least of a few tries, on whatever machine runs it. Memory is what
Python's allocator was asked for (`tracemalloc`), which is a little less than what a process grows by.
"""

from __future__ import annotations

import cProfile
import gc
import json
import pstats
import resource
import socket
import subprocess
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import trio

from wickspring.common.endpoints import Endpoint, endpoints_digest
from wickspring.common.routing_table import build_routing_table
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.controlplane.load_tracker import LoadTracker
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.lab.simulation.hollow_gateway import document
from wickspring.net.link import Link

TRIES = 3
SERVICES = 750 / 13_000  # for each server, as in the target


def took_ms(action: Callable[[], object], times: int = 1, tries: int = TRIES) -> float:
    """Return the processor time of one call, ms."""
    best = float("inf")
    for _ in range(tries):
        begun = time.thread_time()
        for _ in range(times):
            action()
        best = min(best, time.thread_time() - begun)
    return 1000.0 * best / times


def held_mb(make: Callable[[], object]) -> float:
    """Return the memory of what is made, MB."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del made
    finally:
        tracemalloc.stop()
    return size / 1e6


def peak_mb(action: Callable[[], object]) -> float:
    """Return the most memory that an action holds at once, MB."""
    gc.collect()
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1] / 1e6
    finally:
        tracemalloc.stop()


def loaded_mb(module: str) -> float:
    """Return the resident memory of a process that has loaded a program and does nothing, MB."""
    code = f"import {module}, pathlib; print(pathlib.Path('/proc/self/statm').read_text().split()[1])"
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    return int(told.stdout) * resource.getpagesize() / 1e6


def configuration(tenants: int, routes: int, services: int, times: bool = True) -> dict[str, float]:
    """Return what a configuration of a size costs whoever takes it."""
    body = document(1, tenants, routes, services)
    packed = zlib.compress(body, 6)
    found = {"text_bytes": float(len(body)), "packed_bytes": float(len(packed))}
    if times:
        found["pack_ms"] = took_ms(lambda: zlib.compress(body, 6), tries=1)
        found["check_ms"] = took_ms(lambda: validate_config(body), tries=1)
        found["lay_out_ms"] = took_ms(lambda: build_routing_table(zlib.decompress(packed)))
        found["chart_mb"] = held_mb(lambda: build_routing_table(body))
        found["lay_out_peak_mb"] = peak_mb(lambda: build_routing_table(zlib.decompress(packed)))
    return found


def lookup(routes: int, hosts: int) -> float:
    """Return the time of finding a drawn request's route, us."""
    body = document(1, 1, routes, 4, hosts=hosts)
    routing_table, random = build_routing_table(body), Random(1)
    sockets = json.loads(body)["sockets"]
    rules = [(one["host"], rule["pattern"]["path_prefix"]) for one in sockets for rule in one["policy"]]
    asked = [random.choice(rules) for _ in range(200)]

    def all_() -> None:
        for host, prefix in asked:
            routing_table.route(host, prefix + "1")

    return 1000.0 * took_ms(all_) / len(asked)


def servers(count: int) -> list[Endpoint]:
    """Return so many servers, in services as large as the target's."""
    services = max(1, round(count * SERVICES))
    return [
        Endpoint(
            f"i-{n:06d}-{n * 7919 % 0xFFFFFF:06x}",
            f"s{n % services}ab1c",
            f"10.{n // 60000}.{n // 250 % 240}.{n % 250}:8080",
            "a",
            8,
            0,
            1,
            0.0,
            "v1",
        )
        for n in range(count)
    ]


def of_servers(count: int) -> dict[str, float]:
    """Return what so many servers cost a core machine and an ingress at each step that goes over them."""
    told = servers(count)
    register, selector, candidates = EndpointRegistry(1500.0), EndpointSelector("a", 1), LoadTracker(1)
    for one in told:
        register.record_heartbeat(0.0, one)
        selector.update(0.0, one)

    def known() -> EndpointSelector:
        made = EndpointSelector("a", 1)
        for one in servers(count):
            made.update(0.0, one)
        return made

    def registered() -> EndpointRegistry:
        made = EndpointRegistry(1500.0)
        for one in servers(count):
            made.record_heartbeat(0.0, one)
        return made

    def advise() -> None:
        mine = [one for one in register.present() if one.service == told[0].service and one.state == 0]
        candidates.advise(0.0, "a", mine)

    def pilot_digest() -> int:
        return selector.digest()

    return {
        "whole_bytes": float(len(msgpack.packb(["whole", [one.pack(0.0) for one in told], {}]))),
        "core_digest_ms": took_ms(lambda: endpoints_digest(register.present())),
        "ingress_digest_ms": took_ms(pilot_digest),
        "advice_ms": took_ms(advise),
        "sweep_ms": took_ms(lambda: register.expire(1.0)),
        "ingress_mb": held_mb(known),
        "core_mb": held_mb(registered),
        "pick_us": 1000.0 * took_ms(lambda: selector.pick(0.0, told[0].service, "r", set()), 50),
    }


def of_counts(tenants: int, ingresses: int = 930) -> dict[str, float]:
    """Return what a count for each tenant costs the machine that keeps it, after adds from four ingresses."""
    span_s = 5.0

    def counted(each: int = 4) -> QuotaCounter:
        event_counts, random = QuotaCounter(span_s, 0.1, 20.0), Random(1)
        for n in range(tenants):
            for _ in range(each):
                event_counts.add(1e9, f"t{n}ab1c", f"10.9.{random.randrange(ingresses) // 250}.1", 33.0, 33.0)
        return event_counts

    def accounted() -> QuotaPolicy:
        quota = QuotaPolicy(span_s, 0.1, 20.0)
        for n in range(tenants):
            quota.sent(1e9, f"t{n}ab1c")
        return quota

    event_counts = counted()
    bursts = {f"t{n}ab1c": 33.0 for n in range(tenants)}
    names = list(bursts)
    random = Random(2)
    return {
        "counts_mb": held_mb(counted),
        "ingress_accounts_mb": held_mb(accounted),
        "much_used_ms": took_ms(lambda: event_counts.much_used(1e9, bursts)),
        "add_us": 1000.0
        * took_ms(lambda: event_counts.add(1e9, random.choice(names), "10.9.0.1", 33.0, 33.0), 500),
    }


def wire(messages: int = 20_000, size: int = 40) -> dict[str, float]:
    """Return what the kernel costs a small message over loopback, each sent and read by itself, us."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as one,
        listener.accept()[0] as other,
    ):
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b"x" * size
        begun = time.thread_time()
        for _ in range(messages):
            one.send(data)
            other.recv(65536)
        took = time.thread_time() - begun
    return {"send_and_receive_us": 1e6 * took / messages}


def profile(action: Callable[[], object], times: int, most: int = 5) -> dict[str, float]:
    """Return the functions in which an action spends its time, with their share of it."""
    seen = cProfile.Profile()
    seen.enable()
    for _ in range(times):
        action()
    seen.disable()
    stats: Any = pstats.Stats(seen)
    whole = sum(one[2] for one in stats.stats.values()) or 1.0
    dearest = sorted(stats.stats.items(), key=lambda item: -item[1][2])[:most]
    return {
        f"{Path(file).name}:{name}" if line else name: round(told[2] / whole, 3)
        for (file, line, name), told in dearest
    }


def profiles(count: int, tenants: int, routes: int, services: int) -> dict[str, dict[str, float]]:
    """Profile the three dearest paths: the number told with each tick, advice for a request, an order."""
    told = servers(count)
    register, candidates = EndpointRegistry(1500.0), LoadTracker(1)
    for one in told:
        register.record_heartbeat(0.0, one)
    body = document(1, tenants, routes, services)

    def advise() -> None:
        mine = [one for one in register.present() if one.service == told[0].service and one.state == 0]
        candidates.advise(0.0, "a", mine)

    return {
        "tick": profile(lambda: endpoints_digest(register.present()), 50),
        "advice": profile(advise, 50),
        "order": profile(lambda: validate_config(body), 1),
    }


def breaks(size: int, copies: int) -> bool:
    """Tell whether a real link over loopback is closed by so many copies, and a word, sent in one go.

    Its reader has not come to read yet; the kernel takes what its buffers hold, and the rest waits.
    """

    async def main() -> bool:
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as one,
            listener.accept()[0],
        ):
            async with trio.open_nursery() as nursery:
                link = Link(one, nursery)
                for _ in range(copies):
                    link.send(b"x" * size)
                link.send(b"word")
                closed = link.broken
                nursery.cancel_scope.cancel()
        return closed

    return trio.run(main)
