"""Gateways that exchange messages as peers, as a run sets them up and observes them from outside.

What they spend of shared budgets is read from each one's own log of spent rights and compared with what
arrived at ticket servers; whom they avoid is seen by what arrives, and by asking them as an operator would.
"""

from __future__ import annotations

import math
from collections import defaultdict
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring.lab.checks import quotas
from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.emulation.site import Site, free_port, write_modified_build
from wickspring.lab.experiments.evaluate import peak
from wickspring.lab.experiments.scenario import FaultKind, NetFault, Scenario, parties
from wickspring.lab.faults.network_relay import Relay
from wickspring.lab.reports.record import Outcome, Record
from wickspring.lab.reports.result import Result
from wickspring.peer_state.messages import PROTOCOL_VERSIONS, Reply, StatusRequest, View
from wickspring.wire import LineClient, WireError, connect

SAMPLE_S = 0.5  # between requests for each gateway's status
STATUS_TIMEOUT_S = 1.0
ARRIVAL_JITTER = 0.3  # of a budget's period by which arrivals may be closer together than the dials were
REPORT_EXPIRY_MS = 6000.0  # after a fault's end until the reports of it have expired
MS_PER_S = 1000.0
COUNTER = "counter"
DISCOVERY = "discovery"
DETECTED_FAULTS = (FaultKind.SPOILT, FaultKind.ACCEPT_SILENT, FaultKind.FAILING)  # kinds of a server's fault
AVOIDABLE_FAULTS = (*DETECTED_FAULTS, FaultKind.SLOW, FaultKind.RESTART)
_LIAR_MAIN = """
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
_reply_decoder = msgspec.json.Decoder(Reply)


def liar_build(folder: Path) -> Path:
    """Write a build that reports every ticket server as failing; all else is the present program."""
    return write_modified_build(folder / "liar", "liar", _LIAR_MAIN)


class PeerIngresses:
    """The exchanges between the gateways of a run, their network faults and their evaluation."""

    def __init__(
        self, scenario: Scenario, seed: int, site: Site, folder: Path, nursery: trio.Nursery
    ) -> None:
        self.scenario = scenario
        self.config = scenario.peers
        self.site = site
        self.folder = folder
        self.nursery = nursery
        self.count = scenario.ingresses.count
        self.relay = Relay(nursery, Random(f"relay {seed}"))
        self.is_relayed = bool(scenario.net)
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(self.count)]
        self.wrongly_avoided = 0  # servers, in all samples
        self.sampled = 0  # servers, in all samples
        self.views: dict[int, View] = {}  # the last status of each gateway
        self.avoided_since: dict[tuple[int, str], float] = {}  # by gateway and server: ms of the run
        self._links: dict[int, LineClient] = {}

    # Setting up.

    async def reach(self, number: int, target: str, address: str) -> str:
        """Return the address at which a gateway reaches the counter or discovery."""
        return await self.relay.path(f"n{number}", target, lambda: address) if self.is_relayed else address

    async def write(self, number: int) -> Path:
        """Write a gateway's peers.toml and return its path."""
        path = self.folder / f"n{number}-peers.toml"
        if not self.config.enabled:
            path.write_text("enabled = false\n")
            return path
        routes = {other: await self._route(number, other) for other in range(self.count) if other != number}
        seeds = [routes[other] for other in (0, 1, self.count - 1) if other in routes]
        lines = [
            "enabled = true",
            f'listen = "{self.addresses[number]}"',
            f"seeds = {seeds!r}".replace("'", '"'),
            f"round_s = {self.config.round_s}",
            f'account = "n{number}-rights"',
            f"counts = {str(self.config.counts).lower()}",
            f"judgements = {str(self.config.judgements).lower()}",
            "[budgets]",
        ]
        for key, value in msgspec.to_builtins(self.config.budgets).items():
            lines.append(f"{key} = {str(value).lower() if isinstance(value, bool) else value}")
        lines += ["[route]", *(f'n{other} = "{address}"' for other, address in routes.items())]
        path.write_text("\n".join(lines) + "\n")
        return path

    async def _route(self, number: int, other: int) -> str:
        if not self.is_relayed:
            return self.addresses[other]
        return await self.relay.path(f"n{number}", f"n{other}", lambda: self.addresses[other])

    # During the run.

    async def faults(self) -> None:
        """Start the faults of the network; each waits for its time."""
        for fault in self.scenario.net:
            self.nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: NetFault) -> None:
        sources = parties(self.scenario, fault.source)
        targets = parties(self.scenario, fault.target)
        for number in range(fault.times):
            at = MS_PER_S * (fault.at_s + number * (fault.for_s + fault.off_s))
            await trio.sleep(max(0.0, at - self.site.clock.now()) / MS_PER_S)
            rule = self.relay.apply(fault, sources, targets)
            await trio.sleep(fault.for_s)
            self.relay.lift(rule)

    async def view(self, number: int) -> View | None:
        """Ask a gateway for its status, as an operator does; None where there is no answer."""
        link = self._links.pop(number, None)
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                if link is None:
                    link = await connect(self.addresses[number], f"n{number}", PROTOCOL_VERSIONS)
                view = (await link.exchange(StatusRequest(), _reply_decoder)).view
                self._links[number] = link
                return view
            except (WireError, OSError, trio.BrokenResourceError, msgspec.DecodeError):
                pass
        if link is not None:
            await link.close()
        return None

    async def sample(self) -> None:
        """Sample periodically which servers each gateway avoids by reports of others."""
        while self.config.enabled:
            async with trio.open_nursery() as nursery:
                for number in range(self.count):
                    nursery.start_soon(self._sample_one, number)
            await trio.sleep(SAMPLE_S)

    async def _sample_one(self, number: int) -> None:
        view = await self.view(number)
        if view is None:
            return
        self.views[number] = view
        now = self.site.clock.now()
        for server in view.avoided:
            self.avoided_since.setdefault((number, server), now)
        bad = {f"s-{index}" for index in bad_servers(self.scenario, now)}
        self.wrongly_avoided += len(view.avoided.keys() - bad)
        self.sampled += self.scenario.servers.count

    # Evaluation.

    def add_figures(self, result: Result, record: Record) -> None:
        """Add the figures of shared state to a result."""
        run = ObservedRun(self.scenario, record, self.site.requests, self.site.script.plans)
        result.ingresses = self.count
        result.quota_error_worst = quotas.worst_excess_in_a_minute(run)
        beyond_quota = quotas.ids_beyond_quota(run)
        served_inside = sum(
            request.outcome is Outcome.SERVED and request.scheduled.call_id not in beyond_quota
            for request in record.requests
        )
        result.served_inside_share = served_inside / max(1, len(record.requests))
        result.judged_s, result.judged_worst_s = detection_times_s(self.scenario, record, self.avoided_since)
        if not self.config.enabled:
            return
        result.judged_wrong_share = self.wrongly_avoided / max(1, self.sampled)
        overspent = [*self._overspent_by_logs(), *self._overspent_dials(record)]
        result.budget_overspent_worst = max([0.0, *(share for share, _ in overspent)])
        violations = [violation for share, violation in overspent if share > 0]
        result.violations += violations
        result.rules_broken += len(violations)
        started = [view for view in self.views.values() if view.up_s > 0]
        result.peer_bytes_s = max((view.bytes_out / view.up_s for view in started), default=-1.0)

    def _overspent_by_logs(self) -> list[tuple[float, str]]:
        """Return by how much each budget was overspent by the logs of spent rights, with a message."""
        bounds = self.config.budgets
        rights = {
            "retries": bounds.retries_per_s,
            "probes": bounds.probes_per_s,
            "dials": bounds.dials_per_server_s,
            "cold": bounds.cold_attempts,
        }
        overspent = []
        for name, times in self._spent_rights().items():
            kind = name.partition(" ")[0]
            if rights.get(kind, 0):
                hold_ms = self.scenario.shape.fall_ms if kind == "cold" else MS_PER_S
                share = peak(times, hold_ms, closed=False) / rights[kind] - 1.0
                overspent.append((share, f"budget: {name} passed by {share:.2f} in an account"))
        return overspent

    def _spent_rights(self) -> dict[str, list[float]]:
        """Return when rights of each budget were spent, by the logs of all gateways."""
        spent = defaultdict[str, list[float]](list)
        for number in range(self.count):
            path = self.folder / f"n{number}-rights"
            for line in path.read_text().splitlines() if path.exists() else ():
                at, _, name = line.partition(" ")
                spent[name].append(float(at))
        return spent

    def _overspent_dials(self, record: Record) -> list[tuple[float, str]]:
        """Return by how much the budget of dials was overspent at each server, as the server saw it."""
        limit = self.config.budgets.dials_per_server_s
        if not limit:
            return []
        dials = defaultdict[str, list[float]](list)
        for at, server in record.dials:
            dials[server].append(at)
        span_ms = (1.0 - ARRIVAL_JITTER) * MS_PER_S
        overspent = []
        for server, times in dials.items():
            share = peak(times, span_ms, closed=False) / limit - 1.0
            overspent.append((share, f"budget: dials at {server} passed by {share:.2f} as it saw them"))
        return overspent


def bad_servers(scenario: Scenario, at_ms: float) -> set[int]:
    """Return the servers that are made to fail at a time, or of which reports have not expired yet."""
    return {
        server
        for fault in scenario.fault
        if fault.kind in AVOIDABLE_FAULTS
        and MS_PER_S * fault.at_s <= at_ms <= MS_PER_S * (fault.at_s + fault.for_s) + REPORT_EXPIRY_MS
        for server in fault.servers
    }


def detection_times_s(
    scenario: Scenario, record: Record, avoided_since: dict[tuple[int, str], float]
) -> tuple[float, float]:
    """Return the seconds until a gateway has detected a failing server: the median, and for nine in ten.

    It detects one by a failed attempt of its own or by reports of others; one that never did counts with the
    fault's end.
    """
    gateway_of_call = {request.scheduled.call_id: request.ingress for request in record.requests}
    times_s = list[float]()
    for fault in scenario.fault:
        if fault.kind not in DETECTED_FAULTS:
            continue
        begin = MS_PER_S * fault.at_s
        end = MS_PER_S * (fault.at_s + fault.for_s)
        for server in (f"s-{number}" for number in fault.servers):
            detected_at = {
                number: at
                for (number, name), at in avoided_since.items()
                if name == server and begin <= at <= end
            }
            for arrival in record.arrivals:
                if arrival.server == server and begin <= arrival.received_at <= end:
                    number = gateway_of_call.get(arrival.call_id, -1)
                    detected_at[number] = min(arrival.received_at, detected_at.get(number, end))
            for number in range(scenario.ingresses.count):
                times_s.append((detected_at.get(number, end) - begin) / MS_PER_S)
    return median_and_p90(times_s)


def median_and_p90(values: list[float]) -> tuple[float, float]:
    """Return the median and the 90th percentile; -1 for no values."""
    if not values:
        return -1.0, -1.0
    ordered = sorted(values)
    return ordered[len(ordered) // 2], ordered[math.ceil(0.9 * len(ordered)) - 1]
