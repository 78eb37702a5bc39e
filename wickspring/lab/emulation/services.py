"""Emulated counter and discovery on loopback."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

import trio

from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Record, Told
from wickspring.lab.simulation.clock import RunClock


class CounterService:
    """Numbers by name: a line of calls served at a rate, which may fall silent, slow or spoilt."""

    def __init__(self, scenario: Scenario, clock: RunClock, record: Record, random: Random) -> None:
        self.scenario, self.clock, self.record, self.random = scenario, clock, record, random
        self.totals: dict[str, tuple[float, float]] = {}  # total, and when the name is forgotten
        self.slow, self.spoilt, self.silent = 1.0, 0.0, False
        self._free_at = 0.0  # when the line is empty

    def lose(self, share: float) -> None:
        """Forget a share of the names, all at once."""
        self.totals = {name: kept for name, kept in self.totals.items() if self.random.random() >= share}

    def answer(self, line: str) -> bytes:
        """Carry out one call."""
        match line.split():
            case ["ping"]:
                return b"pong"
            case ["bump", name, amount, life]:
                now = self.clock.now()
                total, until = self.totals.get(name, (0.0, -math.inf))
                if until < now:
                    total, until = 0.0, now + float(life)
                self.totals[name] = total + float(amount), until
                self.record.counted["counter_calls"] += 1
                if self.random.random() < self.spoilt:
                    return b"ok \x01?"
                return f"ok {self.totals[name][0]:.7g}".encode()
        return b"error"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection, its calls in order."""
        rest = b""
        async with stream:
            try:
                while data := await stream.receive_some(65536):
                    *lines, rest = (rest + data).split(b"\r\n")
                    out = b""
                    for line in lines:
                        now = self.clock.now()
                        cost = 1000.0 / self.scenario.counter.per_s * self.slow
                        self._free_at = max(self._free_at, now) + cost
                        wait = self._free_at - now + self.scenario.counter.ms * self.slow
                        while self.silent:
                            await trio.sleep(0.02)
                        if wait > 2.0:
                            await trio.sleep(wait / 1000.0)
                        out += self.answer(line.decode("latin-1")) + b"\r\n"
                    await stream.send_all(out)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


class DiscoveryService:
    """The list of ticket servers: every change reaches a watch late, and what it was told is recorded."""

    def __init__(self, ingress: int, scenario: Scenario, clock: RunClock, record: Record) -> None:
        self.ingress, self.scenario, self.clock, self.record = ingress, scenario, clock, record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.silent = False
        self._news: list[tuple[float, dict[str, Any]]] = []  # when it may be told, and what
        self._log: list[dict[str, Any]] = []  # all that may be told, in order

    def set(self, entry: dict[str, Any], late_ms: float = 0.0) -> None:
        """Have an entry told after some time."""
        self._news.append((self.clock.now() + late_ms, entry))

    def _turn(self) -> None:
        """Take what may be told by now into the log that every watch reads."""
        now = self.clock.now()
        due = [entry for at, entry in self._news if at <= now]
        self._news = [pair for pair in self._news if pair[0] > now]
        for entry in due:
            self.version += 1
            self.entries[entry["id"]] = entry
            self._log.append(entry)

    def _line(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        for entry in entries:
            self.record.told.append(Told(self.ingress, entry["id"], entry["state"], self.clock.now()))
        return json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one watch: the whole list, then each change, an empty line every 2 s."""
        async with stream:
            try:
                await stream.receive_some(65536)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._turn()
                alive = [entry for entry in self.entries.values() if entry["state"] != "removed"]
                line, said_at, told = self._line(True, alive), self.clock.now(), len(self._log)
                while True:
                    if line:
                        await stream.send_all(b"%x\r\n%s\r\n" % (len(line), line))
                        said_at = self.clock.now()
                    await trio.sleep(0.02)
                    line = b""
                    if not self.silent:
                        self._turn()
                        if told < len(self._log):
                            line, told = self._line(False, self._log[told:]), len(self._log)
                    if not line and not self.silent and self.clock.now() - said_at > 2000.0:
                        line = b"\n"
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
