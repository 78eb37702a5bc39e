"""Ingresses that talk to each other, as a run sets them up and looks at them from outside.

What they hold of shared budgets is told by each one's own account of rights spent, held against what arrived
at ticket servers; whom they avoid is seen by what arrives, and by asking them as an operator would.
"""

from __future__ import annotations

import math
from collections import defaultdict
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring.lab.checks import rules
from wickspring.lab.emulation.site import Site, free_port, odd_build
from wickspring.lab.experiments.evaluate import peak
from wickspring.lab.experiments.scenario import NetFault, Scenario, parties
from wickspring.lab.faults.network_relay import Relay
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result
from wickspring.peer_state.messages import NUMBERS, Reply, StatusRequest, View
from wickspring.wire import Link, WireError, connect

SAMPLE_S, ASK_S = 0.5, 1.0
JITTER = 0.3  # of a hold by which what arrives may be drawn together on its way
COUNTER, DISCOVERY = "counter", "discovery"
_LIAR = """
from wickspring.peer_state import shares
from wickspring.peer_state.judgements import FailingServer, FailureReport

def failure_report(self, now):
    known = sorted(self.judge._evidence.items())
    turn = int(now / 1000.0) % max(1, len(known))
    chosen = (known[turn:] + known[:turn])[:8]
    failing = tuple(FailingServer(server, evidence.started, 9) for server, evidence in chosen)
    return FailureReport(failing, 1000)

shares.Shares.failure_report = failure_report
from wickspring.cli import main
main()
"""
_replies = msgspec.json.Decoder(Reply)


def liar_build(folder: Path) -> Path:
    """Write a build that says of every ticket server that it fails; all else is the present program."""
    return odd_build(folder / "liar", "liar", _LIAR)


class Among:
    """The talk between the ingresses of a run."""

    def __init__(
        self, scenario: Scenario, seed: int, site: Site, folder: Path, nursery: trio.Nursery
    ) -> None:
        self.scenario, self.part, self.site, self.folder = scenario, scenario.peers, site, folder
        self.count = scenario.ingresses.count
        self.relay = Relay(nursery, Random(f"relay {seed}"))
        self.nursery = nursery
        self.places = [f"127.0.0.1:{free_port()}" for _ in range(self.count)]
        self.relayed = bool(scenario.net)
        self.wrong = self.sampled = 0.0  # servers avoided wrongly, and looked at, in samples
        self.views: dict[int, View] = {}
        self._links: dict[int, Link] = {}
        self.avoids: dict[tuple[int, str], float] = {}  # by ingress and server: since when by hearsay, ms

    # Before.

    async def reach(self, number: int, target: str, address: str) -> str:
        """Return where an ingress reaches the counter or discovery."""
        return await self.relay.path(f"n{number}", target, lambda: address) if self.relayed else address

    async def write(self, number: int) -> Path:
        """Write an ingress's file."""
        path = self.folder / f"n{number}-peers.toml"
        if not self.part.enabled:
            path.write_text("enabled = false\n")
            return path
        routes = {other: await self._route(number, other) for other in range(self.count) if other != number}
        seeds = [routes[other] for other in (0, 1, self.count - 1) if other in routes]
        lines = [
            "enabled = true",
            f'listen = "{self.places[number]}"',
            f"seeds = {seeds!r}".replace("'", '"'),
            f"round_s = {self.part.round_s}",
            f'account = "n{number}-rights"',
            f"counts = {str(self.part.counts).lower()}",
            f"judgements = {str(self.part.judgements).lower()}",
            "[budgets]",
        ]
        for key, value in msgspec.to_builtins(self.part.budgets).items():
            lines.append(f"{key} = {str(value).lower() if isinstance(value, bool) else value}")
        lines += ["[route]", *(f'n{other} = "{place}"' for other, place in routes.items())]
        path.write_text("\n".join(lines) + "\n")
        return path

    async def _route(self, number: int, other: int) -> str:
        if not self.relayed:
            return self.places[other]
        return await self.relay.path(f"n{number}", f"n{other}", lambda: self.places[other])

    # Meanwhile.

    async def faults(self) -> None:
        """Carry out the faults of the network at their times."""
        for fault in self.scenario.net:
            self.nursery.start_soon(self._fault, fault)

    async def _fault(self, fault: NetFault) -> None:
        for turn in range(fault.times):
            at = 1000.0 * (fault.at_s + turn * (fault.for_s + fault.off_s))
            await trio.sleep(max(0.0, at - self.site.clock.now()) / 1000.0)
            sources, targets = (parties(self.scenario, some) for some in (fault.source, fault.target))
            rule = self.relay.apply(fault, sources, targets)
            await trio.sleep(fault.for_s)
            self.relay.lift(rule)

    async def view(self, number: int) -> View | None:
        """Ask an ingress what it holds and hears, as an operator does."""
        link = self._links.pop(number, None)
        with trio.move_on_after(ASK_S):
            try:
                if link is None:
                    link = await connect(self.places[number], f"n{number}", NUMBERS)
                view = (await link.ask(StatusRequest(), _replies)).view
                self._links[number] = link
                return view
            except (WireError, OSError, trio.BrokenResourceError, msgspec.DecodeError):
                pass
        if link is not None:
            await link.close()
        return None

    async def sample(self) -> None:
        """Look again and again whom each avoids by hearsay."""
        while self.part.enabled:
            async with trio.open_nursery() as nursery:
                for number in range(self.count):
                    nursery.start_soon(self._look, number)
            await trio.sleep(SAMPLE_S)

    async def _look(self, number: int) -> None:
        view = await self.view(number)
        if view is None:
            return
        self.views[number] = view
        now = self.site.clock.now()
        for server in view.avoided:
            self.avoids.setdefault((number, server), now)
        bad = {f"s-{index}" for index in bad_servers(self.scenario, now)}
        self.wrong += len([server for server in view.avoided if server not in bad])
        self.sampled += self.scenario.servers.count

    # After.

    def judge(self, result: Result, record: Record) -> None:
        """Add the figures of shared state to a result."""
        result.ingresses = self.count
        result.quota_error_worst = rules.quota_error_worst(record, self.site.script.plans, self.site.tries)
        outside = rules.beyond_ids(record, self.site.script.plans, self.site.tries)
        inside = [one for one in record.asked if one.plan.call_id not in outside and one.outcome == "served"]
        result.served_inside_share = len(inside) / max(1, len(record.asked))
        result.judged_s, result.judged_worst_s = judged(self.scenario, record, self.avoids)
        if not self.part.enabled:
            return
        result.judged_wrong_share = self.wrong / max(1.0, self.sampled)
        result.budget_overspent_worst, names = self._overspent(record)
        result.violations += names
        result.rules_broken += len(names)
        ups = [view for view in self.views.values() if view.up_s > 0]
        result.peer_bytes_s = max((view.bytes_out / view.up_s for view in ups), default=-1.0)

    def _overspent(self, record: Record) -> tuple[float, list[str]]:
        spends = defaultdict[str, list[float]](list)
        for number in range(self.count):
            path = self.folder / f"n{number}-rights"
            for line in path.read_text().splitlines() if path.exists() else ():
                when, _, name = line.partition(" ")
                spends[name].append(float(when))
        worst, names = 0.0, list[str]()
        bounds = self.part.budgets
        for name, times in spends.items():
            kind = name.partition(" ")[0]
            rights = {
                "retries": bounds.retries_per_s,
                "probes": bounds.probes_per_s,
                "dials": bounds.dials_per_server_s,
                "cold": bounds.cold_attempts,
            }.get(kind, 0)
            hold = self.scenario.shape.fall_ms if kind == "cold" else 1000.0
            if rights:
                share = peak(times, hold, closed=False) / rights - 1.0
                worst = max(worst, share)
                if share > 0:
                    names.append(f"budget: {name} passed by {share:.2f} in an account")
        if bounds.dials_per_server_s:  # and as ticket servers saw it
            by_server = defaultdict[str, list[float]](list)
            for at, server in record.dials:
                by_server[server].append(at)
            for server, times in by_server.items():
                share = peak(times, (1.0 - JITTER) * 1000.0, closed=False) / bounds.dials_per_server_s - 1.0
                worst = max(worst, share)
                if share > 0:
                    names.append(f"budget: dials at {server} passed by {share:.2f} as it saw them")
        return worst, names


def bad_servers(scenario: Scenario, at_ms: float) -> set[int]:
    """Return the servers that are made to fail at a time, and until the words of it are over."""
    return {
        server
        for fault in scenario.fault
        if fault.kind in ("spoilt", "accept-silent", "failing", "slow", "restart")
        and 1000.0 * fault.at_s <= at_ms <= 1000.0 * (fault.at_s + fault.for_s) + 6000.0
        for server in fault.servers
    }


def judged(scenario: Scenario, record: Record, avoids: dict[tuple[int, str], float]) -> tuple[float, float]:
    """Return the seconds until an ingress has learnt of a bad server: the median, and of nine in ten.

    It learns by an attempt of its own that failed, or by hearsay; one that never did, by the fault's end.
    """
    place = {asked.plan.call_id: asked.place for asked in record.asked}
    took = list[float]()
    for fault in scenario.fault:
        if fault.kind not in ("spoilt", "accept-silent", "failing"):
            continue
        begin, end = 1000.0 * fault.at_s, 1000.0 * (fault.at_s + fault.for_s)
        for server in (f"s-{number}" for number in fault.servers):
            learnt = {
                number: at for (number, name), at in avoids.items() if name == server and begin <= at <= end
            }
            for arrival in record.arrivals:
                if arrival.server == server and begin <= arrival.whole <= end:
                    number = place.get(arrival.call_id, -1)
                    learnt[number] = min(arrival.whole, learnt.get(number, end))
            for number in range(scenario.ingresses.count):
                took.append((learnt.get(number, end) - begin) / 1000.0)
    return middle_and_ninth(took)


def middle_and_ninth(took: list[float]) -> tuple[float, float]:
    """Return the median and what nine in ten keep to; -1 where there is none."""
    if not took:
        return -1.0, -1.0
    ordered = sorted(took)
    return ordered[len(ordered) // 2], ordered[math.ceil(0.9 * len(ordered)) - 1]
