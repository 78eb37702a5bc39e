"""Rules of copies: a request is executed twice, or attempted twice at once, only where that is allowed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.emulation.shape import Kind
from wickspring.lab.reports.record import Arrival
from wickspring.lab.traffic.schedule import SLACK_MS


def find_forbidden(run: ObservedRun) -> Iterator[str]:
    """Yield the call ids with a copy that their class forbids, and those that no client sent."""
    arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in run.record.arrivals:
        arrivals_by_id[arrival.call_id].append(arrival)
    for call_id, arrivals in arrivals_by_id.items():
        request = run.requests.get(call_id)
        if request is None:
            yield call_id
            continue
        kind = run.scenario.shape.kind[request.kind]
        arrivals.sort(key=lambda arrival: arrival.received_at)
        executed = [arrival for arrival in arrivals if arrival.started or not arrival.answered]
        if any(not _may_repeat(kind, executed[0], copy) for copy in executed[1:]):
            yield call_id


def find_overlapping(run: ObservedRun) -> Iterator[str]:
    """Yield the call ids sent while an earlier attempt was in flight, where the site forbids it."""
    if run.scenario.shape.parallel:
        return
    for arrival in run.record.arrivals:
        if arrival.overlaps:
            yield arrival.call_id


def _may_repeat(kind: Kind, first: Arrival, copy: Arrival) -> bool:
    """Tell whether a class allows a copy of what may have been executed."""
    if kind.effect == "repeatable":
        return True
    if kind.effect == "once" or copy.received_at > first.received_at + kind.window_ms + SLACK_MS:
        return False
    if kind.group == "zone":
        return copy.hall == first.hall
    return kind.group == "all" or (copy.hall, copy.cell) == (first.hall, first.cell)
