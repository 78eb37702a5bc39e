"""Drills: a whole gateway of processes on loopback, under an open load, with faults, held to the rules.

`python -m wickspring.ctl drill NAME` plays one and writes what came of it as JSON. Rules are judged by what
clients and stand-in servers have seen alone: nothing that may run once runs twice, 429 and 503 are kept
promises, a success is the server's own answer to that request, no sliding span passes a tenant's ceiling, and
nothing goes to a server later than the bound after its draining was acknowledged.
"""

from __future__ import annotations

import shutil
import tempfile
from bisect import bisect_left
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from wickspring.common.quota_rule import quota_ceiling
from wickspring.lab.emulation.local_gateway import DRAIN_S, LocalGateway, StandInServer, document

SPAN_S, EXCESS, SLACK = 5.0, 0.1, 20.0  # of the rule for quotas, as settings leave them
TARGET_S = 0.5


@dataclass(slots=True)
class Ask:
    """One request, as its client saw it."""

    id: str
    once: bool
    sent: float
    took: float = 0.0
    status: int = 0
    body: bytes = b""


@dataclass
class Ledger:
    """All requests of a drill, and the judgement on them."""

    rate: float
    asked: list[Ask] = field(default_factory=list)

    def most_in_span(self, servers: list[StandInServer]) -> int:
        """Return the most requests that ran within one span of the rule, by when they were sent."""
        ran = {id_ for one in servers for id_ in one.ran}
        times = sorted(ask.sent for ask in self.asked if ask.id in ran)
        return max((at + 1 - bisect_left(times, times[at] - SPAN_S) for at in range(len(times))), default=0)

    def judge(self, servers: list[StandInServer]) -> dict[str, float | int]:
        """Return the figures, with how often each rule was broken."""
        times: dict[str, int] = {}
        for one in servers:
            for id_, count in one.ran.items():
                times[id_] = times.get(id_, 0) + count
        served = [ask for ask in self.asked if ask.status == 200]
        took = sorted(ask.took for ask in served) or [0.0]
        most = quota_ceiling(self.rate, self.rate, SPAN_S, EXCESS, SLACK)
        return {
            "asked": len(self.asked),
            "served": len(served),
            "in_target": sum(ask.took <= TARGET_S for ask in served),
            "refused": sum(ask.status in (429, 503) for ask in self.asked),
            "failed": sum(ask.status not in (200, 429, 503) for ask in self.asked),
            "p50_ms": round(1000.0 * took[len(took) // 2], 1),
            "p99_ms": round(1000.0 * took[int(0.99 * (len(took) - 1))], 1),
            "ran_twice": sum(ask.once and times.get(ask.id, 0) > 1 for ask in self.asked),
            "promises_broken": sum(ask.status in (429, 503) and ask.id in times for ask in self.asked),
            "lies_taken": sum(not ask.body.startswith(f"{ask.id} by ".encode()) for ask in served),
            "over_quota": max(0, int(self.most_in_span(servers) - most)) if self.rate else 0,
            "drained_late": sum(one.late for one in servers),
        }


RULES = ("ran_twice", "promises_broken", "lies_taken", "over_quota", "drained_late")


class Drill:
    """One gateway under load."""

    def __init__(self, folder: Path, seed: int, net: int = 16, rate: float = 0.0) -> None:
        self.gateway = LocalGateway(folder, net=net)
        self.random, self.folder = Random(seed), folder
        self.ledger = Ledger(rate)
        self.version = 1

    async def load(self, per_s: float, until: float) -> None:
        """Send requests to both pilots at random times, whatever becomes of them."""
        async with trio.open_nursery() as nursery:
            number = 0
            while trio.current_time() < until:
                number += 1
                nursery.start_soon(self.ask, number)
                await trio.sleep(self.random.expovariate(per_s))

    async def ask(self, number: int) -> None:
        """Make one request, and note what its client saw."""
        once = self.random.random() < 0.3
        ask = Ask(f"d{number}", once, trio.current_time())
        self.ledger.asked.append(ask)
        path, method = ("/do/1", "POST") if once else ("/look/1", "GET")
        ask.status, ask.body = await self.gateway.ask(number % 2, path, ask.id, method=method)
        ask.took = trio.current_time() - ask.sent

    # Faults.

    async def calm(self) -> None:
        """Let nothing happen."""

    async def orders(self) -> None:
        """Send new versions, one after another."""
        for _ in range(10):
            self.version += 1
            await self.gateway.order(document(self.version, self.ledger.rate))
            await trio.sleep(0.2)

    async def lights_one_by_one(self) -> None:
        """Kill each lighthouse, with its disk once, and start it again."""
        for at, ip in enumerate(self.gateway.control_planes):
            self.gateway.kill(ip)
            await self.gateway.order(document(self.version + 1, self.ledger.rate))
            self.version += 1
            if at == 0:
                shutil.rmtree(self.folder / ip / "data")
            self.gateway.start(ip, first=False)
            await trio.sleep(2.0)

    async def all_control_planes(self) -> None:
        """Kill all lighthouses at once, twice."""
        for _ in range(2):
            for ip in self.gateway.control_planes:
                self.gateway.kill(ip)
            await trio.sleep(0.5)
            for ip in self.gateway.control_planes:
                self.gateway.start(ip, first=False)
            await trio.sleep(2.0)

    async def data_planes(self) -> None:
        """Kill one pilot after the other, and start it again."""
        for ip in self.gateway.data_planes * 2:
            self.gateway.kill(ip)
            self.gateway.start(ip, first=False)
            await trio.sleep(1.5)

    async def liars(self) -> None:
        """Have a fifth of all answers spoilt for a while."""
        for one in self.gateway.standins:
            one.lies = 0.2
        await trio.sleep(3.0)
        for one in self.gateway.standins:
            one.lies = 0.0

    async def drains(self) -> None:
        """Have one server of each service leave in order, while a lighthouse ends."""
        self.gateway.kill(self.gateway.control_planes[0])
        for one in (self.gateway.standins[0], self.gateway.standins[3]):
            one.state = "draining"
        await trio.sleep(1.0)
        self.gateway.start(self.gateway.control_planes[0], first=False)
        await trio.sleep(DRAIN_S + 1.0)

    async def play(self, fault: Callable[[Drill], Awaitable[None]], per_s: float, seconds: float) -> None:
        """Start all, load it, and let the fault come after a second."""
        gateway = self.gateway
        try:
            async with trio.open_nursery() as nursery:
                await gateway.launch(nursery, document(self.version, self.ledger.rate))
                async with trio.open_nursery() as inner:
                    inner.start_soon(self.load, per_s, trio.current_time() + seconds)
                    await trio.sleep(1.0)
                    await fault(self)
                nursery.cancel_scope.cancel()
        finally:
            gateway.stop()


# What happens, requests a second, and the tenant's rate (0: none).
DRILLS: dict[str, tuple[Callable[[Drill], Awaitable[None]], float, float]] = {
    "calm": (Drill.calm, 60.0, 0.0),
    "orders": (Drill.orders, 60.0, 0.0),
    "lights-one-by-one": (Drill.lights_one_by_one, 60.0, 0.0),
    "all-lights": (Drill.all_control_planes, 60.0, 0.0),
    "all-lights-hot": (Drill.all_control_planes, 120.0, 20.0),
    "pilots": (Drill.data_planes, 60.0, 0.0),
    "liars": (Drill.liars, 60.0, 0.0),
    "drains": (Drill.drains, 60.0, 0.0),
}


def play(name: str, seed: int = 1, seconds: float = 9.0, net: int = 16) -> dict[str, float | int | str]:
    """Play one drill and return what came of it."""
    fault, per_s, rate = DRILLS[name]
    with tempfile.TemporaryDirectory() as folder:
        drill = Drill(Path(folder), seed, net, rate)
        trio.run(drill.play, fault, per_s, seconds)
        judged = drill.ledger.judge(drill.gateway.standins)
    broken = sum(int(judged[rule]) for rule in RULES)
    return {"drill": name, "seed": seed, "seconds": seconds, **judged, "rules_broken": broken}
