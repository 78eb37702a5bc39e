"""What single steps cost at a size: parsing and validating a configuration, lookups, digests, counters.

Times are processor time of this thread, the shortest of a few repeats, on whatever machine runs it. Memory is
what Python's allocator was asked for (`tracemalloc`), which is a little less than what a process grows by.
The names of the figures are keys of the results stored in `docs/capacity`, so they stay.
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
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.lab.simulation.generated_config import ConfigSize, generate_config
from wickspring.net.link import READ_SIZE, Link
from wickspring.net.octets import OctetText

REPEATS = 3
SERVICES_PER_SERVER = 750 / 13_000  # as in the target
SILENCE_MS = 1500.0  # after which an endpoint registry takes a server for gone
QUOTA_SPAN_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20.0
COMPRESSION_LEVEL = 6
NOW_MS = 1e9


def took_ms(action: Callable[[], object], calls: int = 1, repeats: int = REPEATS) -> float:
    """Return the processor time of one call, ms: the shortest mean of so many calls."""
    shortest_s = float("inf")
    for _ in range(repeats):
        started = time.thread_time()
        for _ in range(calls):
            action()
        shortest_s = min(shortest_s, time.thread_time() - started)
    return 1000.0 * shortest_s / calls


def took_us(action: Callable[[], object], calls: int = 1) -> float:
    """Return the processor time of one call, us."""
    return 1000.0 * took_ms(action, calls)


def held_mb(make: Callable[[], object]) -> float:
    """Return the memory that an object occupies, MB."""
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
    """Return the peak memory of an action, MB."""
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
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    return int(process.stdout) * resource.getpagesize() / 1e6


def config_steps(size: ConfigSize, timed: bool = True) -> dict[str, float]:
    """Return what a configuration of a size costs the processes that validate and apply it."""
    body = generate_config(1, size)
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    figures = {"text_bytes": float(len(body)), "packed_bytes": float(len(packed))}
    if timed:
        figures["pack_ms"] = took_ms(lambda: zlib.compress(body, COMPRESSION_LEVEL), repeats=1)
        figures["check_ms"] = took_ms(lambda: validate_config(body), repeats=1)
        figures["lay_out_ms"] = took_ms(lambda: build_routing_table(zlib.decompress(packed)))
        figures["chart_mb"] = held_mb(lambda: build_routing_table(body))
        figures["lay_out_peak_mb"] = peak_mb(lambda: build_routing_table(zlib.decompress(packed)))
    return figures


def lookup_us(routes: int, hosts: int, lookups: int = 200) -> float:
    """Return the time of finding the route of a random request, us."""
    body = generate_config(1, ConfigSize(tenants=1, routes=routes, services=4, hosts=hosts))
    routing_table = build_routing_table(body)
    random = Random(1)
    targets = [
        (socket["host"], route["pattern"]["path_prefix"])
        for socket in json.loads(body)["sockets"]
        for route in socket["policy"]
    ]
    requests = [random.choice(targets) for _ in range(lookups)]

    def look_up_all() -> None:
        for host, prefix in requests:
            routing_table.route(OctetText(host), prefix + "1")

    return took_us(look_up_all) / lookups


def generate_endpoints(count: int) -> list[Endpoint]:
    """Return so many endpoints, in services as large as the target's."""
    services = max(1, round(count * SERVICES_PER_SERVER))
    return [
        Endpoint(
            f"i-{number:06d}-{number * 7919 % 0xFFFFFF:06x}",
            f"s{number % services}ab1c",
            f"10.{number // 60000}.{number // 250 % 240}.{number % 250}:8080",
            "a",
            8,
            0,
            1,
            0.0,
            "v1",
        )
        for number in range(count)
    ]


def _registry(endpoints: list[Endpoint]) -> EndpointRegistry:
    registry = EndpointRegistry(SILENCE_MS)
    for endpoint in endpoints:
        registry.record_heartbeat(0.0, endpoint)
    return registry


def _table(endpoints: list[Endpoint]) -> EndpointTable:
    table = EndpointTable()
    for endpoint in endpoints:
        table.update(0.0, endpoint)
    return table


def _advise(registry: EndpointRegistry, load_tracker: LoadTracker, service: str) -> None:
    """Choose candidates for one request as a control-plane node does."""
    ready = [
        endpoint for endpoint in registry.present() if endpoint.service == service and endpoint.state == 0
    ]
    load_tracker.advise(0.0, "a", ready)


def _table_digest(table: EndpointTable) -> int:
    return table.digest()


def endpoint_steps(count: int) -> dict[str, float]:
    """Return what so many endpoints cost a process at each step that goes over all of them."""
    endpoints = generate_endpoints(count)
    service = endpoints[0].service
    registry = _registry(endpoints)
    table = _table(endpoints)
    selector = EndpointSelector(table, "a", 1)
    load_tracker = LoadTracker(1)
    packed = [endpoint.pack(0.0) for endpoint in endpoints]
    return {
        "whole_bytes": float(len(msgpack.packb(["whole", packed, {}]))),
        "core_digest_ms": took_ms(lambda: endpoints_digest(registry.present())),
        "ingress_digest_ms": took_ms(lambda: _table_digest(table)),
        "advice_ms": took_ms(lambda: _advise(registry, load_tracker, service)),
        "sweep_ms": took_ms(lambda: registry.expire(1.0)),
        "ingress_mb": held_mb(lambda: _table(generate_endpoints(count))),
        "core_mb": held_mb(lambda: _registry(generate_endpoints(count))),
        "pick_us": took_us(lambda: selector.pick(0.0, service, "r", set()), calls=50),
    }


def _quota_counter(tenants: int, data_planes: int, adds_per_tenant: int = 4) -> QuotaCounter:
    counter = QuotaCounter(QUOTA_SPAN_S, QUOTA_EXCESS, QUOTA_SLACK)
    random = Random(1)
    for number in range(tenants):
        for _ in range(adds_per_tenant):
            data_plane = f"10.9.{random.randrange(data_planes) // 250}.1"
            counter.acquire(NOW_MS, f"t{number}ab1c", data_plane, 33.0, 33.0)
    return counter


def _quota_policy(tenants: int) -> QuotaPolicy:
    policy = QuotaPolicy(QUOTA_SPAN_S, QUOTA_EXCESS, QUOTA_SLACK)
    for number in range(tenants):
        policy.charge(NOW_MS, f"t{number}ab1c")
    return policy


def quota_steps(tenants: int, data_planes: int = 930) -> dict[str, float]:
    """Return what a counter for each tenant costs the node that owns it, after adds from four data planes."""
    counter = _quota_counter(tenants, data_planes)
    bursts = {f"t{number}ab1c": 33.0 for number in range(tenants)}
    names = list(bursts)
    random = Random(2)

    def add() -> None:
        counter.acquire(NOW_MS, random.choice(names), "10.9.0.1", 33.0, 33.0)

    return {
        "counts_mb": held_mb(lambda: _quota_counter(tenants, data_planes)),
        "ingress_accounts_mb": held_mb(lambda: _quota_policy(tenants)),
        "much_used_ms": took_ms(lambda: counter.low_tenants(NOW_MS, bursts)),
        "add_us": took_us(add, calls=500),
    }


def wire(messages: int = 20_000, size: int = 40) -> dict[str, float]:
    """Return the processor time of sending and reading one small message over loopback, us."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as sender,
        listener.accept()[0] as receiver,
    ):
        sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b"x" * size
        started = time.thread_time()
        for _ in range(messages):
            sender.send(data)
            receiver.recv(READ_SIZE)
        took_s = time.thread_time() - started
    return {"send_and_receive_us": 1e6 * took_s / messages}


def profile(action: Callable[[], object], calls: int, limit: int = 5) -> dict[str, float]:
    """Return the functions in which an action spends most of its time, with their share of it."""
    profiler = cProfile.Profile()
    profiler.enable()
    for _ in range(calls):
        action()
    profiler.disable()
    # By (file, line, function): (calls, primitive calls, time in it, time with callees, callers).
    stats: Any = pstats.Stats(profiler)
    total_s = sum(entry[2] for entry in stats.stats.values()) or 1.0
    longest = sorted(stats.stats.items(), key=lambda item: -item[1][2])[:limit]
    return {
        f"{Path(file).name}:{name}" if line else name: round(entry[2] / total_s, 3)
        for (file, line, name), entry in longest
    }


def profiles(server_count: int, config_size: ConfigSize) -> dict[str, dict[str, float]]:
    """Profile the three most expensive paths: the digest of each tick, advice, a new configuration."""
    endpoints = generate_endpoints(server_count)
    registry = _registry(endpoints)
    load_tracker = LoadTracker(1)
    body = generate_config(1, config_size)
    return {
        "tick": profile(lambda: endpoints_digest(registry.present()), 50),
        "advice": profile(lambda: _advise(registry, load_tracker, endpoints[0].service), 50),
        "order": profile(lambda: validate_config(body), 1),
    }


def closes_link(size: int, copies: int) -> bool:
    """Tell whether a real link over loopback is closed by so many copies of a message sent at once.

    Its reader does not read yet; the kernel takes what its buffers hold, and the link buffers the rest.
    """

    async def main() -> bool:
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as sender,
            listener.accept()[0],
        ):
            async with trio.open_nursery() as nursery:
                link = Link(sender, nursery)
                for _ in range(copies):
                    link.send(b"x" * size)
                link.send(b"word")
                closed = link.broken
                nursery.cancel_scope.cancel()
        return closed

    return trio.run(main)
