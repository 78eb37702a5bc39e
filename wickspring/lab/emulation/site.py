"""The emulated site of a run, and what every kind of run shares: progress, errors, loopback ports."""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

import msgspec
import trio

from wickspring.lab.emulation.services import CounterService, DiscoveryEntry, DiscoveryService
from wickspring.lab.emulation.site_faults import SiteFaults
from wickspring.lab.emulation.ticket_servers import ServerEnvironment, TicketServer
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic import schedule as scripts

ROOT = Path(__file__).resolve().parents[3]

Progress = Callable[[float, Record], None]


class LabError(RuntimeError):
    """A run that could not be carried out; the message says why."""


class Site:
    """The emulated site of a run."""

    def __init__(self, scenario: Scenario, seed: int, script: scripts.Script) -> None:
        self.scenario, self.script = scenario, script
        self.record, self.clock = Record(), RunClock()
        self.requests = {one.call_id: one for one in script.requests}
        self.random = Random(f"site {seed}")
        self.servers = [self.new_server(index, f"s-{index}") for index in range(scenario.servers.count)]
        self.counter = CounterService(scenario, self.clock, self.record, Random(f"counter {seed}"))
        self.discoveries = [
            DiscoveryService(number, scenario, self.clock, self.record)
            for number in range(scenario.ingresses.count)
        ]

    def new_server(self, index: int, name: str, started_ms: float = -math.inf) -> TicketServer:
        """Return a server that has not been started, with the cores and hall of the one of this index."""
        environment = ServerEnvironment(self.scenario, self.requests, self.record, self.clock)
        random = Random(self.random.getrandbits(64))
        return TicketServer(name, index, environment, random, started_ms)

    def entry(self, server: TicketServer, state: str = "up") -> DiscoveryEntry:
        """Return a server's entry as discovery sends it."""
        started_long_ago = server.started_ms == -math.inf
        return DiscoveryEntry(
            id=server.name,
            addr=server.address,
            zone=scripts.zone_name(self.scenario.shape, server.hall),
            kind="std-2",
            cell=server.hall * 1000 + server.cell,
            state=state,
            weight=1.0,
            started_ms=0.0 if started_long_ago else self.clock.unix_ms(server.started_ms),
        )

    def announce(self, server: TicketServer, state: str = "up", late_ms: float | None = None) -> None:
        """Have every discovery announce a server's state, after the scenario's delay or `late_ms`."""
        delay_ms = self.scenario.discovery.late_ms if late_ms is None else late_ms
        for discovery in self.discoveries:
            discovery.announce(self.entry(server, state), delay_ms)

    def start_faults(self, nursery: trio.Nursery) -> None:
        """Bring about the scenario's faults at their times."""
        SiteFaults(self, nursery).start()


def write_modified_build(folder: Path, version: str, main: str) -> Path:
    """Write a build with this `__main__` and version; the rest of its package is the present program."""
    package = folder / "wickspring"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text(
        f"__version__ = {version!r}\n__path__.append({str(ROOT / 'wickspring')!r})\n"
    )
    (package / "__main__.py").write_text(main)
    return folder


RESERVATION_ADDRESS = "127.255.255.254"  # at which a port is reserved; nothing else listens there
FIRST_PORT, END_OF_PORTS = 20_000, 32_000  # below those that the kernel gives outgoing connections
_reservations: list[socket.socket] = []


def free_port() -> int:
    """Return a loopback port that nobody listens at, and that no other run of the laboratory is given.

    It is reserved for as long as this process lives, and a process that is killed leaves none reserved.

    Raises LabError if none is found.
    """
    for _ in range(1000):
        port = SystemRandom().randrange(FIRST_PORT, END_OF_PORTS)
        if _is_free(port) and _reserve(port):
            return port
    raise LabError("no port is free")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    """Reserve a port; False where another run has it."""
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_ADDRESS, port))
        reservation.listen()
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


async def listen(nursery: trio.Nursery, serve: Callable[[trio.SocketStream], Awaitable[None]]) -> str:
    """Serve on a port of loopback; return the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def limits_text(scenario: Scenario) -> str:
    """Return the text of the gateways' file of connection limits."""
    limits = msgspec.to_builtins(scenario.ingresses.connections)
    return "".join(f"{key} = {value}\n" for key, value in limits.items())


async def report_progress(scenario: Scenario, site: Site, progress: Progress) -> None:
    """Report how far a run has come, until its end."""
    while site.clock.now() < 1000.0 * scenario.seconds:
        progress(max(0.0, site.clock.now() / 1000.0), site.record)
        await trio.sleep(0.25)
    progress(scenario.seconds, site.record)
