"""The emulated site of a run, and what every kind of run shares: progress, errors, ports of loopback."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import msgspec
import trio

from wickspring.lab.emulation.services import CounterService, DiscoveryService
from wickspring.lab.emulation.ticket_servers import ServerEnvironment, TicketServer
from wickspring.lab.experiments.scenario import Fault, Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic import schedule as scripts

ROOT = Path(__file__).resolve().parents[3]
COUNTER_BACK_S = 4.0  # after which a counter that was lost with its hall is back elsewhere, empty

Progress = Callable[[float, Record], None]


class LabError(RuntimeError):
    """A run that could not be made."""


class Site:
    """The emulated site of a run."""

    def __init__(self, scenario: Scenario, seed: int, script: scripts.Script) -> None:
        self.scenario, self.script = scenario, script
        self.record, self.clock = Record(), RunClock()
        self.tries = {one.call_id: one for one in script.requests}
        self.random = Random(f"site {seed}")
        self.servers = [self._server(index) for index in range(scenario.servers.count)]
        self.counter = CounterService(scenario, self.clock, self.record, Random(f"counter {seed}"))
        self.discoveries = [
            DiscoveryService(number, scenario, self.clock, self.record)
            for number in range(scenario.ingresses.count)
        ]
        self.replaced = 0

    def _server(self, index: int, name: str = "", started_ms: float = -math.inf) -> TicketServer:
        environment = ServerEnvironment(self.scenario, self.tries, self.record, self.clock)
        random = Random(self.random.getrandbits(64))
        return TicketServer(name or f"s-{index}", index, environment, random, started_ms)

    def entry(self, server: TicketServer, state: str = "up") -> dict[str, Any]:
        """Write a server as discovery does."""
        started = 0.0 if server.started_ms < -1e9 else self.clock.unix_ms(server.started_ms)
        return {
            "id": server.name,
            "addr": server.address,
            "zone": scripts.zone_name(self.scenario.shape, server.hall),
            "kind": "std-2",
            "cell": server.hall * 1000 + server.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": started,
        }

    def tell(self, server: TicketServer, state: str = "up", late_ms: float | None = None) -> None:
        """Have every discovery tell of a server."""
        late = self.scenario.discovery.late_ms if late_ms is None else late_ms
        for discovery in self.discoveries:
            discovery.set(self.entry(server, state), late)

    async def faults(self, nursery: trio.Nursery) -> None:
        """Carry out the scenario's faults at their times."""
        for fault in self.scenario.fault:
            nursery.start_soon(self._fault, fault, nursery)

    async def _fault(self, fault: Fault, nursery: trio.Nursery) -> None:
        await trio.sleep(max(0.0, 1000.0 * fault.at_s - self.clock.now()) / 1000.0)
        chosen = [self.servers[index] for index in fault.servers or range(len(self.servers))]
        if fault.kind == "reset-all":
            for server in chosen:
                server.reset_connections()
        elif fault.kind == "half-open":
            for server in chosen:
                server.black_hole_connections()
        elif fault.kind == "drain":
            for server in chosen:
                self.tell(server, "draining")
        elif fault.kind == "restart":
            for server in chosen:
                server.kill()
            await trio.sleep(fault.for_s)
            for server in chosen:
                server.started_ms = self.clock.now()
                await server.start(nursery)
                self.tell(server)
        elif fault.kind == "replace":  # a new one, cold, beside those that there are
            for index in fault.servers or (0,):
                self.replaced += 1
                fresh = self._server(index, f"s-{index}-{self.replaced}", self.clock.now())
                await fresh.start(nursery)
                self.servers.append(fresh)
                self.tell(fresh)
        elif fault.kind == "counter-flush":
            self.counter.lose(fault.size)
        elif fault.kind == "hall-lost":
            await self._lose_hall(fault, nursery)
        elif fault.kind not in ("ingress-crash", "ingress-paused"):  # the run has the processes
            self._switch(fault, chosen, on=True)
            await trio.sleep(fault.for_s)
            self._switch(fault, chosen, on=False)

    async def _lose_hall(self, fault: Fault, nursery: trio.Nursery) -> None:
        """Have a hall's servers vanish without a word, and come back cold; the counter was there too."""
        lost = [server for server in self.servers if server.hall == fault.hall]
        for server in lost:
            server.black_hole_connections()
            server.unresponsive = True
        self.counter.silent = True
        await trio.sleep(min(fault.for_s, COUNTER_BACK_S))
        self.counter.lose(1.0)
        self.counter.silent = False
        await trio.sleep(max(0.0, fault.for_s - COUNTER_BACK_S))
        for server in lost:
            server.kill()
            server.unresponsive = False
            server.started_ms = self.clock.now()
            await server.start(nursery)
            self.tell(server)

    def _switch(self, fault: Fault, chosen: list[TicketServer], on: bool) -> None:
        for server in chosen:
            if fault.kind == "slow":
                server.slowdown = fault.size if on else 1.0
            elif fault.kind == "accept-silent":
                server.unresponsive = on
                if not on:
                    server.reset_connections()
            elif fault.kind == "failing":
                server.failing_share = fault.size if on else 0.0
            elif fault.kind == "spoilt":
                server.malformed_share = fault.size if on else 0.0
        if fault.kind == "counter-silent":
            self.counter.silent = on
        elif fault.kind == "counter-slow":
            self.counter.slow = fault.size if on else 1.0
        elif fault.kind == "counter-spoilt":
            self.counter.spoilt = fault.size if on else 0.0
        elif fault.kind == "discovery-silent":
            for discovery in self.discoveries:
                discovery.silent = on


def odd_build(folder: Path, version: str, main: str) -> Path:
    """Write a build that begins with this text; all else in it is the present program."""
    package = folder / "wickspring"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text(
        f"__version__ = {version!r}\n__path__.append({str(ROOT / 'wickspring')!r})\n"
    )
    (package / "__main__.py").write_text(main)
    return folder


_given: set[int] = set()


def free_port() -> int:
    """Return a port of loopback that nobody listens at, below those that outgoing connections are given."""
    for _ in range(1000):
        port = SystemRandom().randrange(20_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port
    raise LabError("no port is free")


async def listen(nursery: trio.Nursery, serve: Callable[[trio.SocketStream], Any]) -> str:
    """Serve on a port of loopback; return the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def limits_text(scenario: Scenario) -> str:
    """Write the gateways' connection limits."""
    limits = msgspec.to_builtins(scenario.ingresses.connections)
    return "".join(f"{key} = {value}\n" for key, value in limits.items())


async def tell(scenario: Scenario, site: Site, progress: Progress) -> None:
    """Tell how far a run has come, until its end."""
    while site.clock.now() < 1000.0 * scenario.seconds:
        progress(max(0.0, site.clock.now() / 1000.0), site.record)
        await trio.sleep(0.25)
    progress(scenario.seconds, site.record)
