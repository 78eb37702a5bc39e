"""Computes the figures of a result from what was recorded in a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import accumulate

from hdrh.histogram import HdrHistogram

from wickspring.lab.checks import cold_servers, drains, quotas, rules
from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.checks.rules import Findings, Rule
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Outcome, Record
from wickspring.lab.reports.result import Result, Series
from wickspring.lab.traffic.schedule import ScheduledRequest, Script

MAX_SHOWN = 20  # violations of each rule named in a result
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def peak(times: list[float], span: float = 1000.0, *, closed: bool = True) -> int:
    """Return the most of these times (ms) within any span, its ends included only if `closed`."""
    ordered = sorted(times)
    largest = 0
    first = 0
    for index, time in enumerate(ordered):
        while ordered[first] < time - span or (not closed and ordered[first] == time - span):
            first += 1
        largest = max(largest, index - first + 1)
    return largest


def evaluate(
    scenario: Scenario, seed: int, script: Script, requests: dict[str, ScheduledRequest], record: Record
) -> Result:
    """Return all figures that follow from what clients, servers and discovery recorded."""
    result = Result(scenario.name, seed, scenario.seconds)
    run = ObservedRun(scenario, record, requests, script.plans)
    _add_outcomes(result, scenario, record)
    _add_findings(result, rules.check(run))
    result.drain_ms_most = drains.longest_drain_ms(record)
    result.cold_load_most = cold_servers.highest_cold_load(run)
    _add_connections(result, record)
    excess = quotas.quota_excess(run)
    result.beyond_quota_share = excess.share
    result.beyond_quota_worst = excess.worst
    result.counter_calls_per_request = record.counters["counter_calls"] / max(1, result.requests)
    result.series = _series(scenario, record)
    result.unknown_requests = record.unknown_requests[:MAX_SHOWN]
    result.connections_peak = max(result.series.open, default=0)
    return result


def _add_outcomes(result: Result, scenario: Scenario, record: Record) -> None:
    """Add how requests ended, and their latencies."""
    kinds = scenario.shape.kind
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    served_in_target = 0
    for request in record.requests:
        kind = kinds[request.scheduled.kind]
        outcome = request.outcome
        once = kind.effect == "once"
        result.requests += 1
        result.escalates += once
        if outcome is Outcome.SERVED:
            result.served += 1
            latency_ms = (
                request.answers[0].at - request.scheduled.at_ms
            )  # from when it was due: waiting counts
            histogram.record_value(max(1, int(1000.0 * latency_ms)))
            served_in_target += latency_ms <= kind.aim_ms
        elif outcome is Outcome.REFUSED:
            result.refused += 1
        else:
            result.failed += 1
            result.escalate_failed += once
        if request.sent_at >= 0:
            late_ms = request.sent_at - request.scheduled.at_ms
            result.lab_sent_late_ms = max(result.lab_sent_late_ms, round(late_ms, 1))
    result.lab_unread_longest_ms = record.unread_longest_ms
    requests = max(1, result.requests)
    result.served_share = result.served / requests
    result.served_in_aim_share = served_in_target / requests
    result.latency_p50_ms = histogram.get_value_at_percentile(50) / 1000.0
    result.latency_p99_ms = histogram.get_value_at_percentile(99) / 1000.0
    result.escalate_failed_share = result.escalate_failed / max(1, result.escalates)


def _add_findings(result: Result, findings: Findings) -> None:
    """Add how often each rule was broken."""
    result.answers_lost = findings.count(Rule.LOST)
    result.answers_doubled = findings.count(Rule.DOUBLED)
    result.answers_late = findings.count(Rule.LATE)
    result.answers_foreign = findings.count(Rule.FOREIGN)
    result.forbidden_copies = findings.count(Rule.FORBIDDEN)
    result.drains_broken = findings.count(Rule.DRAINS)
    result.cold_broken = findings.count(Rule.COLD)
    result.copies_beside = findings.count(Rule.BESIDE)
    result.ceilings_broken = findings.count(Rule.CEILINGS)
    result.rules_broken = findings.total
    for rule, violations in findings.violations.items():
        result.violations += [f"{rule}: {violation}" for violation in violations[:MAX_SHOWN]]


def _add_connections(result: Result, record: Record) -> None:
    """Add dials, attempts and the reuse of connections."""
    dials_by_server = defaultdict[str, list[float]](list)
    for at, server in record.dials:
        dials_by_server[server].append(at)
    result.dials = len(record.dials)
    result.dials_per_s_peak = peak([at for at, _ in record.dials])
    result.dials_per_s_peak_server = max(map(peak, dials_by_server.values()), default=0)
    result.attempts = len(record.arrivals)
    result.reuses = sum(arrival.reused for arrival in record.arrivals)
    result.reuse_share = result.reuses / max(1, result.attempts)
    result.sent_on_dead = len(record.dead_writes)
    result.sent_on_dead_per_1000 = 1000.0 * result.sent_on_dead / max(1, result.attempts)


def _series(scenario: Scenario, record: Record) -> Series:
    """Return figures over time, by when requests were due and connections came and went."""
    series = Series()
    bins = _Bins(series.bin_ms, int(1000.0 * scenario.seconds / series.bin_ms) + 1)
    due: dict[Outcome, list[float]] = {outcome: [] for outcome in Outcome}
    latencies: list[list[float]] = [[] for _ in range(bins.count)]
    for request in record.requests:
        due_at = request.scheduled.at_ms
        due[request.outcome].append(due_at)
        if request.outcome is Outcome.SERVED:
            latencies[bins.index(due_at)].append(request.answers[0].at - due_at)
    series.offered = bins.histogram([request.scheduled.at_ms for request in record.requests])
    series.served = bins.histogram(due[Outcome.SERVED])
    series.refused = bins.histogram(due[Outcome.REFUSED])
    series.failed = bins.histogram(due[Outcome.FAILED])
    series.latency_ms = [round(sorted(some)[len(some) // 2], 3) if some else 0.0 for some in latencies]
    series.dials = bins.histogram([event.at for event in record.dials])
    series.ends = bins.histogram([event.at for event in record.ends])
    series.dead_writes = bins.histogram([event.at for event in record.dead_writes])
    changes = [dials - ends for dials, ends in zip(series.dials, series.ends, strict=True)]
    series.open = list(accumulate(changes))
    return series


@dataclass(slots=True, frozen=True)
class _Bins:
    """Equal parts of a run's time; what lies outside of the run counts in the first or last."""

    width_ms: float
    count: int

    def index(self, time_ms: float) -> int:
        return min(self.count - 1, max(0, int(time_ms / self.width_ms)))

    def histogram(self, times_ms: list[float]) -> list[int]:
        counts = [0] * self.count
        for time_ms in times_ms:
            counts[self.index(time_ms)] += 1
        return counts
