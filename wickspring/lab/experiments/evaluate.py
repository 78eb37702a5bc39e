"""Computes the figures of a result from what was recorded in a run."""

from __future__ import annotations

from collections import defaultdict
from itertools import accumulate

from hdrh.histogram import HdrHistogram

from wickspring.lab.checks import rules
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result, Series
from wickspring.lab.traffic.schedule import ScheduledRequest, Script

MAX_SHOWN = 20  # violations of each rule named in a result
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def peak(times: list[float], span: float = 1000.0, *, closed: bool = True) -> int:
    """Return the most of these times within any span; not `closed`, within less than one."""
    ordered = sorted(times)
    largest = 0
    first = 0
    for index, time in enumerate(ordered):
        while ordered[first] < time - span or (not closed and ordered[first] == time - span):
            first += 1
        largest = max(largest, index - first + 1)
    return largest


def evaluate(
    scenario: Scenario, seed: int, script: Script, tries: dict[str, ScheduledRequest], record: Record
) -> Result:
    """Return all figures that follow from what clients, servers and discovery recorded."""
    result = Result(scenario.name, seed, scenario.seconds)
    findings = rules.check(scenario, record, tries, script.plans)
    _add_outcomes(result, scenario, record)
    _add_findings(result, findings)
    result.cold_load_most = rules.cold_load_most(scenario, record)
    _add_connections(result, record)
    share, worst = rules.beyond_quota(record, script.plans, tries)
    result.beyond_quota_share = share
    result.beyond_quota_worst = worst
    result.counter_calls_per_request = record.counted["counter_calls"] / max(1, result.requests)
    result.series = _series(scenario, record)
    result.connections_peak = max(result.series.open, default=0)
    return result


def _add_outcomes(result: Result, scenario: Scenario, record: Record) -> None:
    """Add how requests ended, and their latencies."""
    kinds = scenario.shape.kind
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    served_in_target = 0
    for asked in record.asked:
        kind = kinds[asked.plan.kind]
        outcome = asked.outcome
        once = kind.effect == "once"
        result.requests += 1
        result.escalates += once
        if outcome == "served":
            result.served += 1
            latency_ms = asked.answers[0][0] - asked.plan.at_ms  # from when it was due: waiting counts
            histogram.record_value(max(1, int(1000.0 * latency_ms)))
            served_in_target += latency_ms <= kind.aim_ms
        elif outcome == "refused":
            result.refused += 1
        else:
            result.failed += 1
            result.escalate_failed += once
    requests = max(1, result.requests)
    result.served_share = result.served / requests
    result.served_in_aim_share = served_in_target / requests
    result.latency_p50_ms = histogram.get_value_at_percentile(50) / 1000.0
    result.latency_p99_ms = histogram.get_value_at_percentile(99) / 1000.0
    result.escalate_failed_share = result.escalate_failed / max(1, result.escalates)


def _add_findings(result: Result, findings: rules.Findings) -> None:
    """Add how often each rule was broken."""
    result.answers_lost = len(findings.lost)
    result.answers_doubled = len(findings.doubled)
    result.answers_late = len(findings.late)
    result.answers_foreign = len(findings.foreign)
    result.forbidden_copies = len(findings.forbidden)
    result.drains_broken = len(findings.drains)
    result.drain_ms_most = findings.drain_ms_most
    result.cold_broken = len(findings.cold)
    result.copies_beside = len(findings.beside)
    result.ceilings_broken = len(findings.ceilings)
    result.rules_broken = findings.broken
    for name in rules.RULES:
        result.violations += [f"{name}: {item}" for item in getattr(findings, name)[:MAX_SHOWN]]


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
    series = Series()
    bins = int(1000.0 * scenario.seconds / series.bin_ms) + 1

    def spread(times: list[float]) -> list[int]:
        out = [0] * bins
        for time in times:
            out[min(bins - 1, max(0, int(time / series.bin_ms)))] += 1
        return out

    ends: dict[str, list[float]] = {"served": [], "refused": [], "failed": []}
    latencies: list[list[float]] = [[] for _ in range(bins)]
    for asked in record.asked:
        ends[asked.outcome].append(asked.plan.at_ms)
        if asked.outcome == "served":
            index = min(bins - 1, max(0, int(asked.plan.at_ms / series.bin_ms)))
            latencies[index].append(asked.answers[0][0] - asked.plan.at_ms)
    series.offered = spread([asked.plan.at_ms for asked in record.asked])
    series.served, series.refused = spread(ends["served"]), spread(ends["refused"])
    series.failed = spread(ends["failed"])
    series.latency_ms = [round(sorted(some)[len(some) // 2], 3) if some else 0.0 for some in latencies]
    series.dials = spread([at for at, _ in record.dials])
    series.ends = spread([at for at, _ in record.ends])
    series.dead_writes = spread([at for at, _ in record.dead_writes])
    changes = [up - down for up, down in zip(series.dials, series.ends, strict=True)]
    series.open = list(accumulate(changes))
    return series
