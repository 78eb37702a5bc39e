"""The faults of a scenario at its emulated servers, counter and discovery.

A kind of fault has a handler here, or is switched on, and off again after `for_s`. Those of `GATEWAY_FAULTS`
are injected by the run, which has the gateways' processes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from wickspring.lab.emulation.ticket_servers import TicketServer
from wickspring.lab.experiments.scenario import Fault, FaultKind

if TYPE_CHECKING:
    from wickspring.lab.emulation.site import Site

COUNTER_BACK_S = 4.0  # after which a counter that was lost with its hall is back elsewhere, empty
GATEWAY_FAULTS = frozenset({FaultKind.INGRESS_CRASH, FaultKind.INGRESS_PAUSED, FaultKind.INGRESS_THROTTLED})


class SiteFaults:
    """Brings about the faults of a scenario at one site."""

    def __init__(self, site: Site, nursery: trio.Nursery) -> None:
        self.site = site
        self.nursery = nursery
        self.replaced = 0  # servers that came beside the first ones
        self._handlers: dict[FaultKind, Callable[[Fault, list[TicketServer]], Awaitable[None]]] = {
            FaultKind.RESET_ALL: self._reset_all,
            FaultKind.HALF_OPEN: self._half_open,
            FaultKind.DRAIN: self._drain,
            FaultKind.RESTART: self._restart,
            FaultKind.REPLACE: self._replace,
            FaultKind.COUNTER_FLUSH: self._flush_counter,
            FaultKind.HALL_LOST: self._lose_hall,
        }
        self._switches: dict[FaultKind, Callable[[Fault, list[TicketServer], bool], None]] = {
            FaultKind.SLOW: self._switch_slow,
            FaultKind.ACCEPT_SILENT: self._switch_unresponsive,
            FaultKind.FAILING: self._switch_failing,
            FaultKind.SPOILT: self._switch_malformed,
            FaultKind.COUNTER_SILENT: self._switch_counter_silent,
            FaultKind.COUNTER_SLOW: self._switch_counter_slow,
            FaultKind.COUNTER_SPOILT: self._switch_counter_malformed,
            FaultKind.DISCOVERY_SILENT: self._switch_discovery_silent,
        }

    def start(self) -> None:
        """Bring about all faults of the scenario at their times."""
        for fault in self.site.scenario.fault:
            if fault.kind not in GATEWAY_FAULTS:
                self.nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        await trio.sleep(max(0.0, 1000.0 * fault.at_s - self.site.clock.now()) / 1000.0)
        every_server = range(len(self.site.servers))
        servers = [self.site.servers[index] for index in fault.servers or every_server]
        if fault.kind in self._handlers:
            await self._handlers[fault.kind](fault, servers)
            return
        switch = self._switches[fault.kind]
        switch(fault, servers, True)
        await trio.sleep(fault.for_s)
        switch(fault, servers, False)

    # Faults of servers.

    async def _reset_all(self, fault: Fault, servers: list[TicketServer]) -> None:
        for server in servers:
            server.reset_connections()

    async def _half_open(self, fault: Fault, servers: list[TicketServer]) -> None:
        for server in servers:
            server.black_hole_connections()

    async def _drain(self, fault: Fault, servers: list[TicketServer]) -> None:
        for server in servers:
            self.site.announce(server, "draining")

    async def _restart(self, fault: Fault, servers: list[TicketServer]) -> None:
        for server in servers:
            server.kill()
        await trio.sleep(fault.for_s)
        for server in servers:
            await self._start_again(server)

    async def _start_again(self, server: TicketServer) -> None:
        server.started_ms = self.site.clock.now()
        await server.start(self.nursery)
        self.site.announce(server)

    async def _replace(self, fault: Fault, _: list[TicketServer]) -> None:
        """Start new servers, cold, beside those that there are."""
        for index in fault.servers or (0,):
            self.replaced += 1
            name = f"s-{index}-{self.replaced}"
            server = self.site.new_server(index, name, self.site.clock.now())
            await server.start(self.nursery)
            self.site.servers.append(server)
            self.site.announce(server)

    async def _lose_hall(self, fault: Fault, _: list[TicketServer]) -> None:
        """Have a hall's servers vanish unannounced, and come back cold; the counter was there too."""
        counter = self.site.counter
        lost = [server for server in self.site.servers if server.hall == fault.hall]
        for server in lost:
            server.black_hole_connections()
            server.unresponsive = True
        counter.silent = True
        await trio.sleep(min(fault.for_s, COUNTER_BACK_S))
        counter.lose(1.0)
        counter.silent = False
        await trio.sleep(max(0.0, fault.for_s - COUNTER_BACK_S))
        for server in lost:
            server.kill()
            server.unresponsive = False
            await self._start_again(server)

    def _switch_slow(self, fault: Fault, servers: list[TicketServer], on: bool) -> None:
        for server in servers:
            server.slowdown = fault.size if on else 1.0

    def _switch_unresponsive(self, fault: Fault, servers: list[TicketServer], on: bool) -> None:
        for server in servers:
            server.unresponsive = on
            if not on:
                server.reset_connections()

    def _switch_failing(self, fault: Fault, servers: list[TicketServer], on: bool) -> None:
        for server in servers:
            server.failing_share = fault.size if on else 0.0

    def _switch_malformed(self, fault: Fault, servers: list[TicketServer], on: bool) -> None:
        for server in servers:
            server.malformed_share = fault.size if on else 0.0

    # Faults of the counter and of discovery.

    async def _flush_counter(self, fault: Fault, _: list[TicketServer]) -> None:
        self.site.counter.lose(fault.size)

    def _switch_counter_silent(self, fault: Fault, _: list[TicketServer], on: bool) -> None:
        self.site.counter.silent = on

    def _switch_counter_slow(self, fault: Fault, _: list[TicketServer], on: bool) -> None:
        self.site.counter.slowdown = fault.size if on else 1.0

    def _switch_counter_malformed(self, fault: Fault, _: list[TicketServer], on: bool) -> None:
        self.site.counter.malformed_share = fault.size if on else 0.0

    def _switch_discovery_silent(self, fault: Fault, _: list[TicketServer], on: bool) -> None:
        for discovery in self.site.discoveries:
            discovery.silent = on
