"""The emulated quota counter and discovery service, on loopback."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Announcement, Record
from wickspring.lab.simulation.clock import RunClock

RECEIVE_BYTES = 65536
POLL_S = 0.02
SHORTEST_WAIT_MS = 2.0  # shorter ones are left out: a timer would be late by as much
KEEPALIVE_MS = 2000.0  # after which a watch without changes gets an empty line
MALFORMED_ANSWER = b"ok \x01?"


class CounterService:
    """Counts by name: serves calls one after another, at a rate; may become silent, slow or malformed."""

    def __init__(self, scenario: Scenario, clock: RunClock, record: Record, random: Random) -> None:
        self.scenario = scenario
        self.clock = clock
        self.record = record
        self.random = random
        self.totals: dict[str, tuple[float, float]] = {}  # total, and when the name expires (ms)
        self.slowdown = 1.0  # by which all calls take longer
        self.malformed_share = 0.0  # share of the answers that are malformed
        self.silent = False
        self._free_at = 0.0  # ms: when all calls that wait have been served

    def lose(self, share: float) -> None:
        """Forget a share of the names, all at once."""
        self.totals = {name: total for name, total in self.totals.items() if self.random.random() >= share}

    def answer(self, line: str) -> bytes:
        """Carry out one call."""
        match line.split():
            case ["ping"]:
                return b"pong"
            case ["bump", name, amount, lifetime_ms]:
                return self._add(name, float(amount), float(lifetime_ms))
        return b"error"

    def _add(self, name: str, amount: float, lifetime_ms: float) -> bytes:
        now = self.clock.now()
        total, expires_at = self.totals.get(name, (0.0, -math.inf))
        if expires_at < now:
            total, expires_at = 0.0, now + lifetime_ms
        self.totals[name] = total + amount, expires_at
        self.record.counters["counter_calls"] += 1
        if self.random.random() < self.malformed_share:
            return MALFORMED_ANSWER
        return f"ok {self.totals[name][0]:.7g}".encode()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection, its calls in order."""
        rest = b""
        async with stream:
            try:
                while data := await stream.receive_some(RECEIVE_BYTES):
                    *lines, rest = (rest + data).split(b"\r\n")
                    answers = b""
                    for line in lines:
                        await self._wait_for_turn()
                        answers += self.answer(line.decode("latin-1")) + b"\r\n"
                    await stream.send_all(answers)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _wait_for_turn(self) -> None:
        """Wait as long as a call takes, behind those that came before."""
        now = self.clock.now()
        self._free_at = max(self._free_at, now) + 1000.0 / self.scenario.counter.per_s * self.slowdown
        wait_ms = self._free_at - now + self.scenario.counter.ms * self.slowdown
        while self.silent:
            await trio.sleep(POLL_S)
        if wait_ms > SHORTEST_WAIT_MS:
            await trio.sleep(wait_ms / 1000.0)


class DiscoveryEntry(msgspec.Struct, frozen=True):
    """A ticket server as discovery sends it."""

    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_ms: float  # Unix time; 0: long ago


class _Line(msgspec.Struct, frozen=True):
    version: int
    full: bool
    servers: list[DiscoveryEntry]


@dataclass(slots=True, frozen=True)
class _DelayedEntry:
    due_at: float  # ms
    entry: DiscoveryEntry


class DiscoveryService:
    """The list of ticket servers for one ingress: announces changes late, and records what it announces."""

    def __init__(self, ingress: int, scenario: Scenario, clock: RunClock, record: Record) -> None:
        self.ingress = ingress
        self.scenario = scenario
        self.clock = clock
        self.record = record
        self.version = 1
        self.entries: dict[str, DiscoveryEntry] = {}
        self.silent = False
        self._delayed: list[_DelayedEntry] = []
        self._log: list[DiscoveryEntry] = []  # all that is due, in order: every watch reads it

    def announce(self, entry: DiscoveryEntry, delay_ms: float = 0.0) -> None:
        """Send an entry to every watch after some time."""
        self._delayed.append(_DelayedEntry(self.clock.now() + delay_ms, entry))

    def _publish_due(self) -> None:
        """Move what is due by now into the log."""
        now = self.clock.now()
        due = [delayed.entry for delayed in self._delayed if delayed.due_at <= now]
        self._delayed = [delayed for delayed in self._delayed if delayed.due_at > now]
        for entry in due:
            self.version += 1
            self.entries[entry.id] = entry
            self._log.append(entry)

    def _line(self, full: bool, entries: list[DiscoveryEntry]) -> bytes:
        """Return the line that announces entries, and record that they are announced."""
        for entry in entries:
            announcement = Announcement(self.ingress, entry.id, entry.state, self.clock.now())
            self.record.announcements.append(announcement)
        return msgspec.json.encode(_Line(self.version, full, entries)) + b"\n"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one watch: the complete list, then each change, and an empty line every 2 s without one."""
        async with stream:
            try:
                await stream.receive_some(RECEIVE_BYTES)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._send_lines(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _send_lines(self, stream: trio.SocketStream) -> None:
        self._publish_due()
        present = [entry for entry in self.entries.values() if entry.state != "removed"]
        line = self._line(True, present)
        sent_at = self.clock.now()
        position = len(self._log)
        while True:
            if line:
                await stream.send_all(b"%x\r\n%s\r\n" % (len(line), line))
                sent_at = self.clock.now()
            await trio.sleep(POLL_S)
            line = b""
            if self.silent:
                continue
            self._publish_due()
            if position < len(self._log):
                line = self._line(False, self._log[position:])
                position = len(self._log)
            elif self.clock.now() - sent_at > KEEPALIVE_MS:
                line = b"\n"
