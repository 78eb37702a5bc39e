"""A simulated gateway of a given size, and what its processes send, receive and work in a second."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from wickspring.lab.simulation.generated_config import ConfigSize, generate_config
from wickspring.lab.simulation.meter import CORE, EVENT_LOOP, INGRESS, Meter
from wickspring.lab.simulation.virtual_gateway import VirtualGateway
from wickspring.lab.simulation.virtual_run import run_virtual

HEARTBEAT_S = 1.5
NS_PER_MS = 1e6
Figures = dict[str, float]


@dataclass(slots=True, frozen=True)
class SiteSize:
    """The size of a site; each sweep varies one of these. The field names are keys of the stored results."""

    ingresses: int = 4  # data planes
    servers: int = 100
    tenants: int = 20
    routes: int = 20
    services: int = 6
    rate: float = 0.0  # requests a second at each data plane
    cores: int = 5  # control-plane nodes
    warm_s: float = 8.0  # before anything is measured
    seconds: float = 15.0  # measured

    @property
    def config(self) -> ConfigSize:
        """Return the size of the site's configuration."""
        return ConfigSize(self.tenants, self.routes, self.services)

    def processes(self, role: str) -> int:
        """Return how many processes of a role there are."""
        return self.cores if role == CORE else self.ingresses


def data_plane_ip(number: int) -> str:
    """Return a data plane's IP."""
    return f"10.{200 + number // 62500}.{number // 250 % 250}.{number % 250 + 1}"


async def start_site(gateway: VirtualGateway, size: SiteSize) -> None:
    """Start a site and wait until it is stable."""
    await gateway.apply_config(generate_config(1, size.config))
    gateway.add_servers(size.servers, gateway.config.services)
    gateway.nursery.start_soon(gateway.send_heartbeats, HEARTBEAT_S)
    await trio.sleep(2 * HEARTBEAT_S)
    for number in range(size.ingresses):
        gateway.start_data_plane(data_plane_ip(number))
    await gateway.wait_until_ready(size.ingresses)
    if size.rate:
        for ip in gateway.data_planes:
            gateway.nursery.start_soon(gateway.send_requests, ip, size.rate)
    await trio.sleep(size.warm_s)


def requests_received(gateway: VirtualGateway) -> float:
    """Return how many requests the data planes have received."""
    return float(
        sum(
            data_plane.request_context.event_counts["requests"] for data_plane in gateway.data_planes.values()
        )
    )


def rates(meter: Meter, size: SiteSize) -> Figures:
    """Return what each control-plane node and each data plane sends, receives and works in a second."""
    figures: Figures = {}

    def add(name: str, value: float) -> None:
        figures[name] = figures.get(name, 0.0) + value

    for (flow, part), byte_count in meter.bytes.items():
        sender, receiver = flow.split(">")
        message_count = meter.messages[flow, part]
        for role, direction in ((sender, "out"), (receiver, "in")):
            process_seconds = size.processes(role) * size.seconds
            for name in (f"{role}_{direction}_{part}", f"{role}_all"):
                add(f"{name}_bytes_s", byte_count / process_seconds)
                add(f"{name}_messages_s", message_count / process_seconds)
    for (role, part), ns in meter.ns.items():
        if role in (CORE, INGRESS):
            ms_per_s = ns / NS_PER_MS / (size.processes(role) * size.seconds)
            add(f"{role}_{part}_ms_s", ms_per_s)
            add(f"{role}_all_ms_s", ms_per_s)
    process_seconds = (size.cores + size.ingresses) * size.seconds
    add("machine_loop_ms_s", meter.ns[EVENT_LOOP] / NS_PER_MS / process_seconds)
    return figures


def measure_steady(size: SiteSize, seed: int) -> Figures:
    """Measure a site that is idle, or under even load."""

    async def scenario(gateway: VirtualGateway) -> Figures:
        await start_site(gateway, size)
        received_before = requests_received(gateway)
        gateway.meter.reset()
        await trio.sleep(size.seconds)
        figures = rates(gateway.meter, size)
        received = requests_received(gateway) - received_before
        figures["requests_s"] = received / size.seconds / max(1, size.ingresses)
        return figures

    return run_virtual(scenario, seed, size.cores)
