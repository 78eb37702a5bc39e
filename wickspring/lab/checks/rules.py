"""The checker of the rules: from what clients, ticket servers and discovery saw, without the program's word.

The rules and their figures are those of the service: one final answer for whatever was taken, no copy that
its class forbids, nothing new to a draining server, no cold server pushed over, and only answers that a
ticket server made. Quotas are measured, not judged: how far a firm went beyond its own is a figure.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from wickspring.lab.emulation.shape import Kind
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Arrival, Record
from wickspring.lab.traffic.schedule import SLACK_MS, Plan, ScheduledRequest

MINUTE_MS = 60_000.0
CEILING_SLACK_MS = 150.0  # of the ceiling's rate, by which its slack is wider on sockets


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
    beside: list[str] = field(default_factory=list)  # sent while an earlier attempt was out
    ceilings: list[str] = field(default_factory=list)  # customers sent on past their plan's ceiling

    @property
    def broken(self) -> int:
        """Count all of them."""
        return sum(len(getattr(self, name)) for name in RULES)


RULES = ("lost", "doubled", "late", "forbidden", "foreign", "drains", "cold", "beside", "ceilings")


def check(
    scenario: Scenario, record: Record, tries: dict[str, ScheduledRequest], plans: tuple[Plan, ...] = ()
) -> Findings:
    """Hold a run to the rules; ceilings where the plans are given."""
    found = Findings()
    _answers(record, found)
    _copies(scenario, record, tries, found)
    _drains(record, found, scenario.shape.drain_grace_ms)
    _cold(scenario, record, found)
    _ceilings(record, tries, plans, found)
    return found


def _answers(record: Record, found: Findings) -> None:
    for asked in record.asked:
        one = asked.plan
        if asked.sent < 0:
            continue  # never taken
        if not asked.answers and record.killed(asked.place, asked.sent, asked.broken):
            continue  # what an ingress had taken goes with it
        if not asked.answers:
            found.lost.append(one.call_id)
            continue
        if len(asked.answers) > 1:
            found.doubled.append(one.call_id)
        at, status, body = asked.answers[0]
        late = at > one.at_ms + one.budget_ms + SLACK_MS and at > asked.sent + one.budget_ms + SLACK_MS
        if late and not record.killed(asked.place, asked.sent, at):  # one that was stopped meanwhile is late
            found.late.append(one.call_id)
        if status == 200 and body not in record.made.get(one.call_id, ()):
            found.foreign.append(one.call_id)


def _copies(scenario: Scenario, record: Record, tries: dict[str, ScheduledRequest], found: Findings) -> None:
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        by_id[arrival.call_id].append(arrival)
        if arrival.beside and not scenario.shape.parallel:
            found.beside.append(arrival.call_id)
    for call_id, arrivals in by_id.items():
        one = tries.get(call_id)
        if one is None:
            found.forbidden.append(call_id)  # an id that no client gave
            continue
        kind = scenario.shape.kind[one.kind]
        exposed = [a for a in sorted(arrivals, key=lambda a: a.whole) if a.ran or not a.answered]
        if kind.effect == "repeatable" or len(exposed) < 2:
            continue
        if any(not _may_repeat(kind, exposed[0], copy) for copy in exposed[1:]):
            found.forbidden.append(call_id)


def _may_repeat(kind: Kind, first: Arrival, copy: Arrival) -> bool:
    """Tell whether a class allows a copy of what may have run."""
    if kind.effect == "once" or copy.whole > first.whole + kind.window_ms + SLACK_MS:
        return False
    if kind.group == "zone":
        return copy.hall == first.hall
    return kind.group == "all" or (copy.hall, copy.cell) == (first.hall, first.cell)


def _drains(record: Record, found: Findings, grace_ms: float) -> None:
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
            if arrival.first_byte > since + grace_ms + SLACK_MS:
                found.drains.append(f"{arrival.server} {arrival.call_id}")


def _cold(scenario: Scenario, record: Record, found: Findings) -> None:
    fell = {server for server, share in _cold_shares(scenario, record) if share > 1.0}
    found.cold = sorted(fell | set(record.fallen))  # each once: a server that falls stays down


def cold_load_most(scenario: Scenario, record: Record) -> float:
    """Return the most work sent to a cold server in any window, over what makes it fall."""
    return max((share for _, share in _cold_shares(scenario, record)), default=0.0)


def _cold_shares(scenario: Scenario, record: Record) -> Iterator[tuple[str, float]]:
    """Give for each piece of work the server, and the work of the window it ends over what makes it fall."""
    windows: dict[str, deque[tuple[float, float]]] = defaultdict(deque)
    factor, span = scenario.shape.fall_factor, scenario.shape.fall_ms
    for load in record.cold:
        window = windows[load.server]
        window.append((load.at, load.work_ms))
        while window[0][0] < load.at - span:
            window.popleft()
        yield load.server, sum(work for _, work in window) / (factor * load.capacity * span)


def _sent_on(record: Record, tries: dict[str, ScheduledRequest]) -> Iterator[tuple[float, ScheduledRequest]]:
    """Give each try once, when its first attempt arrives whole at a ticket server."""
    counted = set[str]()
    for arrival in sorted(record.arrivals, key=lambda a: a.whole):
        one = tries.get(arrival.call_id)
        if one is not None and arrival.call_id not in counted:
            counted.add(arrival.call_id)
            yield arrival.whole, one


def _ceilings(
    record: Record, tries: dict[str, ScheduledRequest], plans: tuple[Plan, ...], found: Findings
) -> None:
    store: dict[int, tuple[float, float]] = {}
    for at, one in _sent_on(record, tries) if plans else ():
        plan, customer = plans[one.firm.plan], one.firm.customer
        if plan.ceiling_rate <= 0:
            continue
        level, before = store.get(customer, (plan.ceiling_burst, 0.0))
        filled = level + plan.ceiling_rate * max(0.0, at - before) / 1000.0
        level = min(plan.ceiling_burst, filled) - one.units
        slack = plan.ceiling_slack + plan.ceiling_rate * CEILING_SLACK_MS / 1000.0
        if level < -slack:
            found.ceilings.append(f"{customer:x} by {-slack - level:.1f} units at {at / 1000.0:.2f} s")
            level = -slack  # told once for each unit too many
        store[customer] = level, at


def _beyond(
    record: Record, plans: tuple[Plan, ...], tries: dict[str, ScheduledRequest]
) -> Iterator[tuple[float, ScheduledRequest, bool]]:
    """Give each try sent on, and whether it was beyond the true quota over all ingresses."""
    store: dict[int, tuple[float, float]] = {}
    for at, one in _sent_on(record, tries):
        plan = plans[one.firm.plan]
        level, before = store.get(one.firm.customer, (plan.burst, 0.0))
        level = min(plan.burst, level + plan.rate * max(0.0, at - before) / 1000.0)
        beyond = level < one.units
        store[one.firm.customer] = (level if beyond else level - one.units), at
        yield at, one, beyond


def beyond_ids(record: Record, plans: tuple[Plan, ...], tries: dict[str, ScheduledRequest]) -> set[str]:
    """Return the call ids of the tries sent on beyond quotas."""
    return {one.call_id for _, one, beyond in _beyond(record, plans, tries) if beyond}


def quota_error_worst(record: Record, plans: tuple[Plan, ...], tries: dict[str, ScheduledRequest]) -> float:
    """Return a firm's units beyond its quota in any minute, over what it may use in one; the worst firm's."""
    lately: dict[int, deque[tuple[float, int]]] = defaultdict(deque)
    worst = 0.0
    for at, one, beyond in _beyond(record, plans, tries):
        if beyond:
            mine, plan = lately[one.firm.customer], plans[one.firm.plan]
            mine.append((at, one.units))
            while mine[0][0] < at - MINUTE_MS:
                mine.popleft()
            allowed = plan.burst + plan.rate * MINUTE_MS / 1000.0
            worst = max(worst, sum(units for _, units in mine) / allowed)
    return worst


def beyond_quota(
    record: Record, plans: tuple[Plan, ...], tries: dict[str, ScheduledRequest]
) -> tuple[float, float]:
    """Return units sent on beyond quotas over all sent on, and the worst firm's excess over its allowance."""
    beyond, total, own = 0.0, 0.0, defaultdict[int, float](float)
    last = 0.0
    for at, one, over in _beyond(record, plans, tries):
        total, last = total + one.units, at
        if over:
            beyond += one.units
            own[one.firm.customer] += one.units
    firms = {one.firm.customer: one.firm for one in tries.values()}
    worst = max(
        (
            units / (plans[firms[customer].plan].burst + plans[firms[customer].plan].rate * last / 1000.0)
            for customer, units in own.items()
        ),
        default=0.0,
    )
    return beyond / max(total, 1.0), worst
