"""The sweeps: one size of a site grows; bytes, messages and processor time are measured at each value.

The names of sweeps and figures are keys of the results stored in `docs/capacity`, with which later runs are
compared; they stay as they are.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass

import trio

from wickspring.lab.experiments import capacity_steps as steps
from wickspring.lab.experiments.capacity_site import (
    NS_PER_MS,
    Figures,
    SiteSize,
    data_plane_ip,
    measure_steady,
    rates,
    start_site,
)
from wickspring.lab.simulation.generated_config import ConfigSize, generate_config
from wickspring.lab.simulation.meter import CORE, INGRESS
from wickspring.lab.simulation.virtual_gateway import VirtualGateway
from wickspring.lab.simulation.virtual_run import run_virtual

MIN_SERVICES = 4
RESTART_PAUSE_S = 0.3  # between the end of a data plane and its next start
DATA_PLANE_START_S = 3.0
DEPARTURES_MEASURED = 5


def _server_units(server_count: int) -> Figures:
    return {f"unit_{name}": value for name, value in steps.endpoint_steps(server_count).items()}


async def _measure_start(gateway: VirtualGateway, size: SiteSize) -> float:
    """Return the bytes of endpoint updates that one more data plane is sent as it starts."""
    gateway.meter.reset()
    gateway.start_data_plane(data_plane_ip(size.ingresses))
    await trio.sleep(DATA_PLANE_START_S)
    return float(gateway.meter.bytes["core>ingress", "news"])


def sweep_data_planes(count: int, seed: int, seconds: float = 15.0) -> Figures:
    """Measure by data planes of an idle site: ticks, gossip, the rest."""
    return measure_steady(SiteSize(ingresses=count, seconds=seconds), seed)


def sweep_servers(count: int, seed: int, seconds: float = 15.0, timed: bool = True) -> Figures:
    """Measure by servers: heartbeats, ticks with their digests, then the start of one more data plane."""
    services = max(MIN_SERVICES, round(count * steps.SERVICES_PER_SERVER))
    size = SiteSize(servers=count, services=services, rate=2.0, seconds=seconds)

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        gateway.meter.reset()
        await trio.sleep(size.seconds)
        figures = rates(gateway.meter, size)
        figures["start_news_bytes"] = await _measure_start(gateway, size)
        return figures

    figures = run_virtual(scenario, seed, size.cores)
    return figures | (_server_units(count) if timed else {})


def sweep_tenants(count: int, seed: int, timed: bool = True) -> Figures:
    """Measure by tenants: the configuration, applying it, quota counts."""
    figures = steps.config_steps(ConfigSize(count, routes=20, services=6), timed)
    return figures | (steps.quota_steps(count) if timed else {})


def sweep_routes(count: int, seed: int, timed: bool = True) -> Figures:
    """Measure by routes: the configuration, and a lookup where a host has 20 of them or all."""
    figures = steps.config_steps(ConfigSize(tenants=20, routes=count, services=6), timed)
    if timed:
        figures["lookup_20_a_host_us"] = steps.lookup_us(count, max(1, count // 20))
        figures["lookup_one_host_us"] = steps.lookup_us(count, 1)
    return figures


def sweep_requests(rate: int, seed: int, seconds: float = 15.0) -> Figures:
    """Measure by requests a second at each data plane."""
    return measure_steady(SiteSize(ingresses=6, rate=float(rate), seconds=seconds), seed)


def sweep_changes(count: int, seed: int, seconds: float = 20.0, tenants: int = 500) -> Figures:
    """Measure by replacements of a configuration with five tenants for each route: all messages for them."""
    size = SiteSize(ingresses=6, tenants=tenants, routes=tenants // 5)

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        gateway.meter.reset()
        for number in range(count):
            await gateway.apply_config(generate_config(2 + number, size.config, seed=number))
            await trio.sleep(seconds / count)
        return _change_figures(gateway, size, newest_version=1 + count)

    return run_virtual(scenario, seed, size.cores)


def _change_figures(gateway: VirtualGateway, size: SiteSize, newest_version: int) -> Figures:
    meter = gateway.meter
    versions = [
        data_plane.control_client.config.routing_table.version for data_plane in gateway.data_planes.values()
    ]
    config_flow = "core>ingress", "configuration"
    chain_flow = "core>core", "chain"
    core_ns = meter.ns[CORE, "configuration"] + meter.ns[CORE, "chain"]
    return {
        "ingress_in_configuration_bytes": meter.bytes[config_flow] / size.ingresses,
        "ingress_in_configuration_messages": meter.messages[config_flow] / size.ingresses,
        "core_chain_bytes": float(meter.bytes[chain_flow]),
        "core_chain_messages": float(meter.messages[chain_flow]),
        "core_configuration_and_chain_ms": core_ns / NS_PER_MS,
        "ingress_configuration_ms": meter.ns[INGRESS, "configuration"] / NS_PER_MS / size.ingresses,
        "ingresses_behind": float(sum(version != newest_version for version in versions)),
    }


def sweep_data_plane_restarts(
    count: int, seed: int, seconds: float = 20.0, data_planes: int = 20, servers: int = 200
) -> Figures:
    """Measure by data planes that are killed and started again, one after another."""
    size = SiteSize(ingresses=data_planes, servers=servers)

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        meter = gateway.meter
        meter.reset()
        for number in range(count):
            ip = data_plane_ip(number % size.ingresses)
            gateway.kill(ip)
            await trio.sleep(RESTART_PAUSE_S)
            gateway.start_data_plane(ip)
            await trio.sleep(seconds / count - RESTART_PAUSE_S)
        parts = ("news", "members", "configuration", "counts")
        core_ns = sum(ns for (role, _), ns in meter.ns.items() if role == CORE)
        return {
            **{f"core_out_{part}_bytes": float(meter.bytes["core>ingress", part]) for part in parts},
            "gossip_bytes": float(meter.bytes["ingress>ingress", "gossip"]),
            "core_all_ms": core_ns / NS_PER_MS,
        }

    return run_virtual(scenario, seed, size.cores)


def sweep_server_restarts(
    count: int, seed: int, seconds: float = 20.0, data_planes: int = 12, servers: int = 100
) -> Figures:
    """Measure by servers that drain, deregister, and are each followed by a new one."""
    size = SiteSize(ingresses=data_planes, servers=servers)

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        services = gateway.config.services
        gateway.meter.reset()
        for server_id in list(gateway.servers)[:count]:
            gateway.servers[server_id].state = "draining"
            gateway.send_heartbeat(server_id)
            await trio.sleep(0.5 * seconds / count)
            gateway.deregister(server_id)
            gateway.add_servers(1, services)
            await trio.sleep(0.5 * seconds / count)
        await trio.sleep(2.0)
        return _server_restart_figures(gateway, size)

    return run_virtual(scenario, seed, size.cores)


def _server_restart_figures(gateway: VirtualGateway, size: SiteSize) -> Figures:
    meter = gateway.meter
    return {
        "ingress_in_news_bytes": meter.bytes["core>ingress", "news"] / size.ingresses,
        "ingress_in_news_messages": meter.messages["core>ingress", "news"] / size.ingresses,
        "gossip_bytes": meter.bytes["ingress>ingress", "gossip"] / size.ingresses,
        "gossip_messages": meter.messages["ingress>ingress", "gossip"] / size.ingresses,
        "core_chain_bytes": float(meter.bytes["core>core", "chain"]),
        "core_chain_messages": float(meter.messages["core>core", "chain"]),
        "core_news_bytes": float(meter.bytes["core>core", "news"]),
        "core_chain_ms": meter.ns[CORE, "chain"] / NS_PER_MS,
    }


def sweep_departures(count: int, seed: int) -> Figures:
    """Measure by departed servers that the replicated state remembers.

    Measured are the replication of one more departure and the endpoint updates for a starting data plane.
    """
    size = SiteSize(ingresses=1, servers=20)

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        for number in range(count):
            gateway.deregister(f"i-{number:06d}-gone00")
        await trio.sleep(3.0)
        gateway.meter.reset()
        for number in range(DEPARTURES_MEASURED):
            gateway.deregister(f"i-{number:06d}-gone11")
            await trio.sleep(1.0)
        meter = gateway.meter
        return {
            "one_more_chain_bytes": meter.bytes["core>core", "chain"] / DEPARTURES_MEASURED,
            "one_more_chain_ms": meter.ns[CORE, "chain"] / NS_PER_MS / DEPARTURES_MEASURED,
            "start_news_bytes": await _measure_start(gateway, size),
        }

    return run_virtual(scenario, seed, size.cores)


# The target has 930 data planes, of which this slice has four.
TARGET_SIZE = SiteSize(
    ingresses=4,
    servers=13_000,
    tenants=23_000,
    routes=5000,
    services=750,
    rate=62.4,
    warm_s=6.0,
    seconds=10.0,
)
LINK_COPIES = (1, 2, 3)


def measure_target(seed: int) -> dict[str, object]:
    """Measure at the target's own size the load of one machine: single steps, and four of the data planes."""
    size = TARGET_SIZE
    config = steps.config_steps(size.config)
    config_bytes = int(config["text_bytes"])
    return {
        "configuration": config,
        "lookup_20_a_host_us": steps.lookup_us(size.routes, size.routes // 20),
        "lookup_one_host_us": steps.lookup_us(size.routes, 1),
        "of_servers": steps.endpoint_steps(size.servers),
        "of_counts": steps.quota_steps(size.tenants),
        "wire": steps.wire(),
        # The keys are the programs' names when the stored results were measured.
        "loaded_mb": {
            "pilot.pilot": steps.loaded_mb("wickspring.dataplane.process"),
            "lighthouse.light": steps.loaded_mb("wickspring.controlplane.process"),
        },
        "link_closed_by_orders_in_one_go": {
            str(copies): steps.closes_link(config_bytes, copies) for copies in LINK_COPIES
        },
        "profiles": steps.profiles(size.servers, size.config),
        "slice": {"shape": asdict(size), "figures": measure_steady(size, seed)},
    }


@dataclass(slots=True, frozen=True)
class Sweep:
    """One sweep, with its sizes in the full form and in the short one; functions take (size, seed)."""

    run: Callable[[int, int], Figures]
    sizes: tuple[int, ...]
    run_short: Callable[[int, int], Figures]
    short_sizes: tuple[int, ...]


SWEEPS: dict[str, Sweep] = {
    "ingresses": Sweep(
        run=sweep_data_planes,
        sizes=(30, 60, 120, 240, 480),
        run_short=lambda size, seed: sweep_data_planes(size, seed, seconds=5.0),
        short_sizes=(4, 16),
    ),
    "servers": Sweep(
        run=sweep_servers,
        sizes=(250, 500, 1000, 2000, 4000),
        run_short=lambda size, seed: sweep_servers(size, seed, seconds=3.0, timed=False),
        short_sizes=(20, 80),
    ),
    "tenants": Sweep(
        run=sweep_tenants,
        sizes=(1000, 3000, 8000, 23_000),
        run_short=lambda size, seed: sweep_tenants(size, seed, timed=False),
        short_sizes=(100, 800),
    ),
    "routes": Sweep(
        run=sweep_routes,
        sizes=(250, 1000, 2500, 5000),
        run_short=lambda size, seed: sweep_routes(size, seed, timed=False),
        short_sizes=(50, 400),
    ),
    "requests": Sweep(
        run=sweep_requests,
        sizes=(5, 10, 20, 40, 62),
        run_short=lambda size, seed: sweep_requests(size, seed, seconds=3.0),
        short_sizes=(2, 8),
    ),
    "changes": Sweep(
        run=sweep_changes,
        sizes=(1, 2, 4, 8),
        run_short=lambda size, seed: sweep_changes(size, seed, seconds=2.0, tenants=50),
        short_sizes=(1, 4),
    ),
    "ingress-restarts": Sweep(
        run=sweep_data_plane_restarts,
        sizes=(2, 4, 8, 16),
        run_short=lambda size, seed: sweep_data_plane_restarts(
            size, seed, seconds=3.0, data_planes=5, servers=40
        ),
        short_sizes=(1, 4),
    ),
    "server-restarts": Sweep(
        run=sweep_server_restarts,
        sizes=(5, 10, 20, 40),
        run_short=lambda size, seed: sweep_server_restarts(
            size, seed, seconds=3.0, data_planes=5, servers=40
        ),
        short_sizes=(2, 8),
    ),
    "leavers": Sweep(
        run=sweep_departures,
        sizes=(250, 500, 1000, 2000, 4000),
        run_short=sweep_departures,
        short_sizes=(10, 60),
    ),
}
