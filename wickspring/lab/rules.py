"""The checker of the rules: from what clients, ticket servers and discovery saw, without the program's word.

The rules and their figures are those of the service: one final answer for whatever was taken, no copy that
its class forbids, nothing new to a draining server, no cold server pushed over, and only answers that a
ticket server made. Quotas are measured, not judged: how far a firm went beyond its own is a figure.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from wickspring.lab.record import Arrival, Record
from wickspring.lab.scenario import Scenario
from wickspring.lab.script import (
    DRAIN_GRACE_MS,
    FALL_FACTOR,
    FALL_MS,
    REPEAT_WINDOW_MS,
    SLACK_MS,
    Plan,
    Try,
)


@dataclass
class Findings:
    """What was found; each list names the requests or servers concerned."""

    lost: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    forbidden: list[str] = field(default_factory=list)
    foreign: list[str] = field(default_factory=list)  # served with what no server made for it
    drains: list[str] = field(default_factory=list)
    drain_ms_most: float = 0.0
    cold: list[str] = field(default_factory=list)

    @property
    def broken(self) -> int:
        """Count all of them."""
        parts = (self.lost, self.doubled, self.late, self.forbidden, self.foreign, self.drains, self.cold)
        return sum(len(part) for part in parts)


def check(scenario: Scenario, record: Record, tries: dict[str, Try]) -> Findings:
    """Hold a run to the rules."""
    found = Findings()
    _answers(record, found)
    _copies(record, tries, found)
    _drains(record, found)
    _cold(record, found)
    return found


def _answers(record: Record, found: Findings) -> None:
    for asked in record.asked:
        one = asked.plan
        if asked.sent < 0:
            continue  # never taken
        if not asked.answers:
            found.lost.append(one.call_id)
            continue
        if len(asked.answers) > 1:
            found.doubled.append(one.call_id)
        at, status, body = asked.answers[0]
        if at > one.at_ms + one.budget_ms + SLACK_MS and at > asked.sent + one.budget_ms + SLACK_MS:
            found.late.append(one.call_id)
        if status == 200 and body not in record.made.get(one.call_id, ()):
            found.foreign.append(one.call_id)


def _copies(record: Record, tries: dict[str, Try], found: Findings) -> None:
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        by_id[arrival.call_id].append(arrival)
    for call_id, arrivals in by_id.items():
        one = tries.get(call_id)
        if one is None:
            found.forbidden.append(call_id)  # an id that no client gave
            continue
        exposed = [a for a in sorted(arrivals, key=lambda a: a.whole) if a.ran or not a.answered]
        if one.kind == 0 or len(exposed) < 2:
            continue
        first = exposed[0]
        for copy in exposed[1:]:
            fine = copy.hall == first.hall and copy.whole <= first.whole + REPEAT_WINDOW_MS + SLACK_MS
            if one.kind == 2 or not fine:
                found.forbidden.append(call_id)
                break


def _drains(record: Record, found: Findings) -> None:
    told: dict[str, float] = {}  # when the last ingress was told; one told earlier has earlier to stop
    for news in sorted(record.told, key=lambda news: news.at):
        if news.state == "up":
            told.pop(news.server, None)
        else:
            told[news.server] = max(told.get(news.server, news.at), news.at)
    for arrival in record.arrivals:
        since = told.get(arrival.server)
        if since is not None and arrival.first_byte > since:
            found.drain_ms_most = max(found.drain_ms_most, arrival.first_byte - since)
            if arrival.first_byte > since + DRAIN_GRACE_MS + SLACK_MS:
                found.drains.append(f"{arrival.server} {arrival.call_id}")


def _cold(record: Record, found: Findings) -> None:
    fell = {server for server, share in _cold_shares(record) if share > 1.0}
    found.cold = sorted(fell | set(record.fallen))  # each once: a server that falls stays down


def cold_load_most(record: Record) -> float:
    """Return the most work sent to a cold server in any window, over what makes it fall."""
    return max((share for _, share in _cold_shares(record)), default=0.0)


def _cold_shares(record: Record) -> Iterator[tuple[str, float]]:
    """Give for each piece of work the server, and the work of the window it ends over what makes it fall."""
    windows: dict[str, deque[tuple[float, float]]] = defaultdict(deque)
    for load in record.cold:
        window = windows[load.server]
        window.append((load.at, load.work_ms))
        while window[0][0] < load.at - FALL_MS:
            window.popleft()
        yield load.server, sum(work for _, work in window) / (FALL_FACTOR * load.capacity * FALL_MS)


def beyond_quota(record: Record, plans: tuple[Plan, ...], tries: dict[str, Try]) -> tuple[float, float]:
    """Return units sent on beyond quotas over all sent on, and the worst firm's excess over its allowance.

    Each try counts once, when its first attempt arrives whole at a ticket server.
    """
    store: dict[int, tuple[float, float]] = {}
    beyond, total, own = 0.0, 0.0, defaultdict[int, float](float)
    counted = set[str]()
    last = 0.0
    for arrival in sorted(record.arrivals, key=lambda a: a.whole):
        one = tries.get(arrival.call_id)
        if one is None or arrival.call_id in counted:
            continue
        counted.add(arrival.call_id)
        plan, last = plans[one.firm.plan], arrival.whole
        level, at = store.get(one.firm.customer, (plan.burst, 0.0))
        level = min(plan.burst, level + plan.rate * max(0.0, arrival.whole - at) / 1000.0)
        total += one.units
        if level >= one.units:
            level -= one.units
        else:
            beyond += one.units
            own[one.firm.customer] += one.units
        store[one.firm.customer] = level, arrival.whole
    firms = {one.firm.customer: one.firm for one in tries.values()}
    worst = max(
        (
            units / (plans[firms[customer].plan].burst + plans[firms[customer].plan].rate * last / 1000.0)
            for customer, units in own.items()
        ),
        default=0.0,
    )
    return beyond / max(total, 1.0), worst
