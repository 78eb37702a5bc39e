"""From what was seen to the figures of a result."""

from __future__ import annotations

from collections import Counter
from itertools import accumulate

from hdrh.histogram import HdrHistogram

from wickspring.lab.checks import rules
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result, Series
from wickspring.lab.traffic.schedule import Script, Try

MOST_SHOWN = 20
LATENCY_MOST_US, DIGITS = 60_000_000, 3


def peak(times: list[float], span: float = 1000.0, *, closed: bool = True) -> int:
    """Return the most of these times within any span; not `closed`, within less than one."""
    times, most, first = sorted(times), 0, 0
    for index, time in enumerate(times):
        while times[first] < time - span or (not closed and times[first] == time - span):
            first += 1
        most = max(most, index - first + 1)
    return most


def evaluate(scenario: Scenario, seed: int, script: Script, tries: dict[str, Try], record: Record) -> Result:
    """Work out all figures that clients, servers and discovery give."""
    result = Result(scenario.name, seed, scenario.seconds)
    found = rules.check(scenario, record, tries, script.plans)
    kinds = scenario.shape.kind
    histogram = HdrHistogram(1, LATENCY_MOST_US, DIGITS)
    served_in_aim = 0
    for asked in record.asked:
        one = asked.plan
        outcome = asked.outcome
        result.requests += 1
        once = kinds[one.kind].effect == "once"
        result.escalates += once
        if outcome == "served":
            result.served += 1
            latency = asked.answers[0][0] - one.at_ms  # from when it was due: waiting to be sent counts
            histogram.record_value(max(1, int(1000.0 * latency)))
            served_in_aim += latency <= kinds[one.kind].aim_ms
        elif outcome == "refused":
            result.refused += 1
        else:
            result.failed += 1
            result.escalate_failed += once
    requests = max(1, result.requests)
    result.served_share = result.served / requests
    result.served_in_aim_share = served_in_aim / requests
    result.latency_p50_ms = histogram.get_value_at_percentile(50) / 1000.0
    result.latency_p99_ms = histogram.get_value_at_percentile(99) / 1000.0
    result.escalate_failed_share = result.escalate_failed / max(1, result.escalates)
    result.answers_lost, result.answers_doubled = len(found.lost), len(found.doubled)
    result.answers_late, result.answers_foreign = len(found.late), len(found.foreign)
    result.forbidden_copies, result.drains_broken = len(found.forbidden), len(found.drains)
    result.drain_ms_most, result.cold_broken = found.drain_ms_most, len(found.cold)
    result.cold_load_most = rules.cold_load_most(scenario, record)
    result.rules_broken = found.broken
    result.copies_beside, result.ceilings_broken = len(found.beside), len(found.ceilings)
    for name in rules.RULES:
        result.violations += [f"{name}: {one}" for one in getattr(found, name)[:MOST_SHOWN]]
    times = [at for at, _ in record.dials]
    result.dials, result.dials_per_s_peak = len(times), peak(times)
    by_server = Counter(server for _, server in record.dials)
    result.dials_per_s_peak_server = max(
        (peak([at for at, one in record.dials if one == server]) for server in by_server), default=0
    )
    result.attempts = len(record.arrivals)
    result.reuses = sum(arrival.reused for arrival in record.arrivals)
    result.reuse_share = result.reuses / max(1, result.attempts)
    result.sent_on_dead = len(record.dead_writes)
    result.sent_on_dead_per_1000 = 1000.0 * result.sent_on_dead / max(1, result.attempts)
    share, worst = rules.beyond_quota(record, script.plans, tries)
    result.beyond_quota_share, result.beyond_quota_worst = share, worst
    result.counter_calls_per_request = record.counted["counter_calls"] / requests
    result.series = _series(scenario, record)
    result.connections_peak = max(result.series.open, default=0)
    return result


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
