"""The sweeps: one figure of a site grows; bytes, messages and processor time are taken at each size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import trio

from wickspring.lab.experiments import capacity_steps as units
from wickspring.lab.simulation.hollow_gateway import CORE, INGRESS, Meter, Site, document, play

BEAT_S = 1.5
Figures = dict[str, float]
FLOWS = ("core>core", "core>ingress", "ingress>core", "ingress>ingress")


@dataclass(slots=True, frozen=True)
class Shape:
    """The size of a site; each sweep varies one of these."""

    ingresses: int = 4
    servers: int = 100
    tenants: int = 20
    routes: int = 20
    services: int = 6
    rate: float = 0.0  # requests a second at each ingress
    cores: int = 5
    warm_s: float = 8.0
    seconds: float = 15.0


def address(number: int) -> str:
    """Return an ingress's IP."""
    return f"10.{200 + number // 62500}.{number // 250 % 250}.{number % 250 + 1}"


async def raise_site(site: Site, shape: Shape) -> None:
    """Bring a site up and let it come to rest."""
    await site.configure(document(1, shape.tenants, shape.routes, shape.services))
    site.add_servers(shape.servers, [one["name"] for one in site.tree["backends"]])
    site.nursery.start_soon(site.beats, BEAT_S)
    await trio.sleep(2 * BEAT_S)
    for number in range(shape.ingresses):
        site.start_ingress(address(number))
    await site.settle(shape.ingresses)
    if shape.rate:
        for ip in site.data_planes:
            site.nursery.start_soon(site.ask, ip, shape.rate)
    await trio.sleep(shape.warm_s)


def asked(site: Site) -> float:
    """Return how many requests the ingresses have taken."""
    return float(sum(one.request_context.event_counts["asked"] for one in site.data_planes.values()))


def rates(meter: Meter, shape: Shape, seconds: float) -> Figures:
    """Return what each core machine and each ingress says, hears and works in a second."""
    found: Figures = {}

    def add(name: str, value: float) -> None:
        found[name] = found.get(name, 0.0) + value

    for (flow, part), size in meter.bytes.items():
        said, heard = flow.split(">")
        count = meter.messages[flow, part]
        for role, way in ((said, "out"), (heard, "in")):
            each = shape.cores if role == CORE else shape.ingresses
            for name in (f"{role}_{way}_{part}", f"{role}_all"):
                add(f"{name}_bytes_s", size / seconds / each)
                add(f"{name}_messages_s", count / seconds / each)
    for (role, part), ns in meter.ns.items():
        if role in (CORE, INGRESS):
            each = shape.cores if role == CORE else shape.ingresses
            add(f"{role}_{part}_ms_s", ns / 1e6 / seconds / each)
            add(f"{role}_all_ms_s", ns / 1e6 / seconds / each)
    add("machine_loop_ms_s", meter.ns["machine", "loop"] / 1e6 / seconds / (shape.cores + shape.ingresses))
    return found


def steady(shape: Shape, seed: int) -> Figures:
    """Measure a site at rest, or under even load."""

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        before = asked(site)
        site.meter.reset()
        await trio.sleep(shape.seconds)
        found = rates(site.meter, shape, shape.seconds)
        found["requests_s"] = (asked(site) - before) / shape.seconds / max(1, shape.ingresses)
        return found

    return play(run, seed, shape.cores)


def _only(found: Figures, *starts: str) -> Figures:
    return {name: value for name, value in found.items() if name.startswith(starts)}


def ingresses(size: int, seed: int, seconds: float = 15.0) -> Figures:
    """Measure by ingresses, at rest: ticks, gossip, the rest."""
    return steady(Shape(ingresses=size, seconds=seconds), seed)


def servers(size: int, seed: int, seconds: float = 15.0, timed: bool = True) -> Figures:
    """Measure by servers: beats, ticks with their digests, and then the start of one more ingress."""
    shape = Shape(servers=size, services=max(4, round(size * units.SERVICES)), rate=2.0, seconds=seconds)

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        site.meter.reset()
        await trio.sleep(shape.seconds)
        found = rates(site.meter, shape, shape.seconds)
        site.meter.reset()
        site.start_ingress(address(shape.ingresses))
        await trio.sleep(3.0)
        found["start_news_bytes"] = float(site.meter.bytes["core>ingress", "news"])
        return found

    found = play(run, seed, shape.cores)
    return found | ({f"unit_{k}": v for k, v in units.of_servers(size).items()} if timed else {})


def tenants(size: int, seed: int, timed: bool = True) -> Figures:
    """Measure by tenants: the configuration, its taking in, counts."""
    found = units.configuration(size, 20, 6, timed)
    return found | (units.of_counts(size) if timed else {})


def routes(size: int, seed: int, timed: bool = True) -> Figures:
    """Measure by routes: the configuration, and a lookup where a host has 20 of them or all."""
    found = units.configuration(20, size, 6, timed)
    if timed:
        found["lookup_20_a_host_us"] = units.lookup(size, max(1, size // 20))
        found["lookup_one_host_us"] = units.lookup(size, 1)
    return found


def requests(size: int, seed: int, seconds: float = 15.0) -> Figures:
    """Measure by requests a second at each ingress."""
    return steady(Shape(ingresses=6, rate=float(size), seconds=seconds), seed)


def changes(size: int, seed: int, seconds: float = 20.0, tenants: int = 500) -> Figures:
    """Measure by changes of a configuration, of 500 tenants and 100 routes: all that is told for them."""
    shape = Shape(ingresses=6, tenants=tenants, routes=tenants // 5)

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        site.meter.reset()
        for number in range(size):
            body = document(2 + number, shape.tenants, shape.routes, shape.services, seed=number)
            await site.configure(body)
            await trio.sleep(seconds / size)
        meter = site.meter
        told = meter.bytes["core>ingress", "configuration"] / shape.ingresses
        lag = sum(
            one.control_client.config.routing_table.version != 1 + size for one in site.data_planes.values()
        )
        return {
            "ingress_in_configuration_bytes": told,
            "ingress_in_configuration_messages": (
                meter.messages["core>ingress", "configuration"] / shape.ingresses
            ),
            "core_chain_bytes": float(meter.bytes["core>core", "chain"]),
            "core_chain_messages": float(meter.messages["core>core", "chain"]),
            "core_configuration_and_chain_ms": (
                (meter.ns[CORE, "configuration"] + meter.ns[CORE, "chain"]) / 1e6
            ),
            "ingress_configuration_ms": meter.ns[INGRESS, "configuration"] / 1e6 / shape.ingresses,
            "ingresses_behind": float(lag),
        }

    return play(run, seed, shape.cores)


def ingress_restarts(
    size: int, seed: int, seconds: float = 20.0, ingresses: int = 20, servers: int = 200
) -> Figures:
    """Measure by ingresses killed and started again, one after another."""
    shape = Shape(ingresses=ingresses, servers=servers)

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        site.meter.reset()
        for number in range(size):
            ip = address(number % shape.ingresses)
            site.kill(ip)
            await trio.sleep(0.3)
            site.start_ingress(ip)
            await trio.sleep(seconds / size - 0.3)
        meter = site.meter
        parts = ("news", "members", "configuration", "counts")
        return {
            **{f"core_out_{part}_bytes": float(meter.bytes["core>ingress", part]) for part in parts},
            "gossip_bytes": float(meter.bytes["ingress>ingress", "gossip"]),
            "core_all_ms": sum(ns for (role, _), ns in meter.ns.items() if role == CORE) / 1e6,
        }

    return play(run, seed, shape.cores)


def server_restarts(
    size: int, seed: int, seconds: float = 20.0, ingresses: int = 12, servers: int = 100
) -> Figures:
    """Measure by servers that drain, end, and are followed by another life."""
    shape = Shape(ingresses=ingresses, servers=servers)

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        services = [one["name"] for one in site.tree["backends"]]
        site.meter.reset()
        for id_ in list(site.servers)[:size]:
            site.servers[id_]["condition"]["state"] = "draining"
            site.beat(id_)
            await trio.sleep(0.5 * seconds / size)
            site.deregister(id_)
            site.add_servers(1, services)
            await trio.sleep(0.5 * seconds / size)
        await trio.sleep(2.0)
        meter = site.meter
        return {
            "ingress_in_news_bytes": meter.bytes["core>ingress", "news"] / shape.ingresses,
            "ingress_in_news_messages": meter.messages["core>ingress", "news"] / shape.ingresses,
            "gossip_bytes": meter.bytes["ingress>ingress", "gossip"] / shape.ingresses,
            "gossip_messages": meter.messages["ingress>ingress", "gossip"] / shape.ingresses,
            "core_chain_bytes": float(meter.bytes["core>core", "chain"]),
            "core_chain_messages": float(meter.messages["core>core", "chain"]),
            "core_news_bytes": float(meter.bytes["core>core", "news"]),
            "core_chain_ms": meter.ns[CORE, "chain"] / 1e6,
        }

    return play(run, seed, shape.cores)


def leavers(size: int, seed: int) -> Figures:
    """Measure by servers that the chain remembers as leaving: one more of them, and a start's whole news."""
    shape = Shape(ingresses=1, servers=20)

    async def run(site: Site) -> Figures:
        await raise_site(site, shape)
        for number in range(size):
            id_ = f"i-{number:06d}-gone00"
            site.servers[id_] = {}
            site.deregister(id_)
        await trio.sleep(3.0)
        site.meter.reset()
        for number in range(5):
            id_ = f"i-{number:06d}-gone11"
            site.servers[id_] = {}
            site.deregister(id_)
            await trio.sleep(1.0)
        found = {
            "one_more_chain_bytes": site.meter.bytes["core>core", "chain"] / 5,
            "one_more_chain_ms": site.meter.ns[CORE, "chain"] / 5e6,
        }
        site.meter.reset()
        site.start_ingress(address(shape.ingresses))
        await trio.sleep(3.0)
        found["start_news_bytes"] = float(site.meter.bytes["core>ingress", "news"])
        return found

    return play(run, seed, shape.cores)


TARGET = Shape(
    ingresses=4,
    servers=13_000,
    tenants=23_000,
    routes=5000,
    services=750,
    rate=62.4,
    warm_s=6.0,
    seconds=10.0,
)  # of 930 ingresses


def target(seed: int) -> dict[str, Any]:
    """Measure at the target's own size what one machine bears of it: units, and four of the ingresses."""
    shape = TARGET
    text = units.configuration(shape.tenants, shape.routes, shape.services)
    size = int(text["text_bytes"])
    return {
        "configuration": text,
        "lookup_20_a_host_us": units.lookup(shape.routes, shape.routes // 20),
        "lookup_one_host_us": units.lookup(shape.routes, 1),
        "of_servers": units.of_servers(shape.servers),
        "of_counts": units.of_counts(shape.tenants),
        "wire": units.wire(),
        "loaded_mb": {
            name: units.loaded_mb(f"wickspring.{name}") for name in ("pilot.pilot", "lighthouse.light")
        },
        "link_closed_by_orders_in_one_go": {str(n): units.breaks(size, n) for n in (1, 2, 3)},
        "profiles": units.profiles(shape.servers, shape.tenants, shape.routes, shape.services),
        "slice": {"shape": asdict(shape), "figures": steady(shape, seed)},
    }


@dataclass(slots=True, frozen=True)
class Sweep:
    """One sweep, with its sizes in the full form and in the short one."""

    run: Callable[[int, int], Figures]
    sizes: tuple[int, ...]
    short: Callable[[int, int], Figures]
    short_sizes: tuple[int, ...]


SWEEPS: dict[str, Sweep] = {
    "ingresses": Sweep(ingresses, (30, 60, 120, 240, 480), lambda n, s: ingresses(n, s, 5.0), (4, 16)),
    "servers": Sweep(servers, (250, 500, 1000, 2000, 4000), lambda n, s: servers(n, s, 3.0, False), (20, 80)),
    "tenants": Sweep(tenants, (1000, 3000, 8000, 23_000), lambda n, s: tenants(n, s, False), (100, 800)),
    "routes": Sweep(routes, (250, 1000, 2500, 5000), lambda n, s: routes(n, s, False), (50, 400)),
    "requests": Sweep(requests, (5, 10, 20, 40, 62), lambda n, s: requests(n, s, 3.0), (2, 8)),
    "changes": Sweep(changes, (1, 2, 4, 8), lambda n, s: changes(n, s, 2.0, 50), (1, 4)),
    "ingress-restarts": Sweep(
        ingress_restarts, (2, 4, 8, 16), lambda n, s: ingress_restarts(n, s, 3.0, 5, 40), (1, 4)
    ),
    "server-restarts": Sweep(
        server_restarts, (5, 10, 20, 40), lambda n, s: server_restarts(n, s, 3.0, 5, 40), (2, 8)
    ),
    "leavers": Sweep(leavers, (250, 500, 1000, 2000, 4000), leavers, (10, 60)),
}
