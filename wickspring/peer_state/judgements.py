"""Failure reports of ticket servers, and when those of other data planes alone are enough to avoid a server.

One data plane of many sends a server few requests, and needs a failure of its own to learn of a bad one. Here
each reports which servers fail it, in its own gossip entry, and receives the reports of the others. Own
evidence goes before hearsay: who was served there a moment ago ignores it. Hearsay counts for less:

    a witness counts for (1 - 0.5^failures) x (1 - 2 x share of the servers it tried that it finds bad), by
    age down to nothing over HEARSAY_MS: one that finds everything bad is cut off itself, and counts for
    nothing; a server is avoided where witnesses add up to MIN_WEIGHT, are MIN_WITNESSES or more, and of two
    halls or more where the fleet has two; no more than `max_share` of the servers are, the worst first.

A report is of a server as it was started: after its restart it says nothing. So one liar moves nobody, two
move nobody, and any number move no more than `max_share` of the servers, at data planes that were not just
served there. No I/O, no clock; times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

REPORT_MS = 8000.0  # for which own failures are reported
OWN_EVIDENCE_MS = 4000.0  # for which own answers go before hearsay
TRIED_MS = 10_000.0  # within which a server counts as tried here
HEARSAY_MS = 8000.0  # over which a report loses all weight
MAX_FAILURES_REPORTED = 3  # failures beyond which a report says no more
MAX_FAILURES_WEIGHED = 9
MAX_SERVERS_REPORTED = 8  # in one data plane's report: the latest
MIN_WITNESSES = 3
MIN_HALLS = 2
MIN_WEIGHT = 0.75
ASSUMED_SOUND = 2.0  # servers taken to be sound beside those tried: who tried few proves little


class FailingServer(msgspec.Struct, frozen=True, array_like=True):
    """A server that fails a data plane; the order of the fields is fixed by the wire."""

    server: str
    started: float
    failures: int  # since it last answered there


class FailureReport(msgspec.Struct, frozen=True, array_like=True):
    """All that one data plane reports of servers; the order of the fields is fixed by the wire."""

    failing: tuple[FailingServer, ...] = ()
    tried: int = 0  # servers, lately; rounded, so that it does not change with each request

    @property
    def servers(self) -> set[str]:
        """Return the names of the failing servers."""
        return {failing.server for failing in self.failing}


class Witness(msgspec.Struct, frozen=True):
    """Another data plane's report as received here."""

    name: str
    hall: str
    report: FailureReport
    age: float  # ms since it was received


@dataclass(slots=True)
class _Evidence:
    """What was seen here of one server."""

    tried_at: float = -math.inf
    failed_at: float = -math.inf
    answered_at: float = -math.inf
    failures: int = 0
    started: float = 0.0


class Judge:
    """One data plane's evidence, and its evaluation of the others' reports."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def record(self, now: float, server: str, started: float, good: bool) -> None:
        """Record how an attempt here ended."""
        evidence = self._evidence.get(server)
        if evidence is None or evidence.started != started:
            evidence = self._evidence[server] = _Evidence(started=started)
        evidence.tried_at = now
        if good:
            evidence.answered_at = now
            evidence.failures = 0
        else:
            evidence.failed_at = now
            evidence.failures += 1

    def keep(self, servers: Iterable[str]) -> None:
        """Forget all servers but these."""
        kept = set(servers)
        for server in [server for server in self._evidence if server not in kept]:
            del self._evidence[server]

    def report(self, now: float) -> FailureReport:
        """Return the own report."""
        failing = [
            (server, evidence)
            for server, evidence in self._evidence.items()
            if evidence.failures and now - evidence.failed_at < REPORT_MS
        ]
        if not failing:
            return FailureReport()  # how many were tried is of use beside those that failed alone
        latest = sorted(failing, key=lambda pair: pair[1].failed_at)[-MAX_SERVERS_REPORTED:]
        reported = (
            FailingServer(server, evidence.started, min(evidence.failures, MAX_FAILURES_REPORTED))
            for server, evidence in latest
        )
        tried = sum(now - evidence.tried_at < TRIED_MS for evidence in self._evidence.values())
        return FailureReport(tuple(sorted(reported, key=lambda failing: failing.server)), _round_down(tried))

    def avoid(
        self,
        now: float,
        witnesses: Iterable[Witness],
        started: Mapping[str, float],
        halls: int,
        max_share: float,
    ) -> dict[str, float]:
        """Return the servers to avoid by hearsay, each with the weight against it.

        `started` says when each server was started; `halls` is the number of halls known of the fleet.
        """
        min_halls = min(MIN_HALLS, max(1, halls))
        weights: dict[str, float] = {}
        for server, testimony in _testimony(witnesses, started).items():
            if self._has_own_evidence(now, server, started[server]):
                continue
            total = sum(weight for weight, _ in testimony)
            witness_halls = {hall for _, hall in testimony}
            if len(testimony) >= MIN_WITNESSES and len(witness_halls) >= min_halls and total >= MIN_WEIGHT:
                weights[server] = total
        limit = int(max_share * len(started))
        worst = sorted(weights, key=lambda server: (-weights[server], server))[:limit]
        return {server: weights[server] for server in worst}

    def _has_own_evidence(self, now: float, server: str, started: float) -> bool:
        """Tell whether a server has answered here lately, since its last start."""
        evidence = self._evidence.get(server)
        if evidence is None or evidence.started != started:
            return False
        return now - evidence.answered_at < OWN_EVIDENCE_MS


def _testimony(
    witnesses: Iterable[Witness], started: Mapping[str, float]
) -> dict[str, list[tuple[float, str]]]:
    """Return by server the weight and the hall of each witness against it."""
    testimony: dict[str, list[tuple[float, str]]] = {}
    for witness in witnesses:
        witness_weight = weigh(witness)
        if witness_weight <= 0.0:
            continue
        for failing in witness.report.failing[:MAX_SERVERS_REPORTED]:
            if failing.failures > 0 and started.get(failing.server) == failing.started:
                failures = min(failing.failures, MAX_FAILURES_WEIGHED)
                weight = witness_weight * (1.0 - math.pow(0.5, failures))
                testimony.setdefault(failing.server, []).append((weight, witness.hall))
    return testimony


def weigh(witness: Witness) -> float:
    """Return what a witness counts for, from 0 to 1."""
    report = witness.report
    share = len(report.failing) / (max(report.tried, len(report.failing)) + ASSUMED_SOUND)
    freshness = max(0.0, 1.0 - max(0.0, witness.age) / HEARSAY_MS)
    return max(0.0, 1.0 - 2.0 * share) * freshness


def _round_down(number: int) -> int:
    """Return a number cut to its first binary digits, so that it changes seldom."""
    step = 1 << max(0, number.bit_length() - 2)
    return number // step * step
