"""The rule of ceilings, and measurements of quotas.

A plan's ceiling must not be passed. How far a customer went beyond its quota is a figure, no violation.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.traffic.schedule import Plan, ScheduledRequest

MS_PER_S = 1000.0
MINUTE_MS = 60_000.0
CEILING_SLACK_MS = 150.0  # of the ceiling's rate, by which its slack is wider on sockets


@dataclass(slots=True)
class TokenBucket:
    """The units that a customer may use at once, exact over all ingresses."""

    level: float  # units
    rate: float  # units a second
    burst: float  # units
    refilled_at: float = 0.0  # ms

    def refill(self, now: float) -> None:
        """Add what has come in since the last time."""
        added = self.rate * max(0.0, now - self.refilled_at) / MS_PER_S
        self.level = min(self.burst, self.level + added)
        self.refilled_at = now


@dataclass(slots=True, frozen=True)
class ForwardedRequest:
    """A request that reached a ticket server, and whether its customer's quota was used up."""

    at: float  # ms
    request: ScheduledRequest
    is_beyond: bool


@dataclass(slots=True, frozen=True)
class QuotaExcess:
    """Units forwarded beyond quotas."""

    share: float  # of all units forwarded
    worst: float  # of a customer's allowance over the run, for the customer with the highest share


def find_above_ceiling(run: ObservedRun) -> Iterator[str]:
    """Yield customer, units and time of each request forwarded above its plan's ceiling."""
    buckets: dict[int, TokenBucket] = {}
    for at, request in run.forwarded_requests() if run.plans else ():
        plan, customer = run.plans[request.firm.plan], request.firm.customer
        if plan.ceiling_rate <= 0:
            continue
        full = TokenBucket(plan.ceiling_burst, plan.ceiling_rate, plan.ceiling_burst)
        bucket = buckets.setdefault(customer, full)
        bucket.refill(at)
        bucket.level -= request.units
        slack = plan.ceiling_slack + plan.ceiling_rate * CEILING_SLACK_MS / MS_PER_S
        if bucket.level < -slack:
            excess = -slack - bucket.level
            yield f"{customer:x} by {excess:.1f} units at {at / MS_PER_S:.2f} s"
            bucket.level = -slack  # each unit above is reported once


def ids_beyond_quota(run: ObservedRun) -> set[str]:
    """Return the call ids of the requests forwarded beyond quotas."""
    return {one.request.call_id for one in _forwarded(run) if one.is_beyond}


def worst_excess_in_a_minute(run: ObservedRun) -> float:
    """Return a customer's units beyond its quota in any minute, over its allowance of one; the highest."""
    recent: dict[int, deque[tuple[float, int]]] = defaultdict(deque)
    worst = 0.0
    for one in _forwarded(run):
        if not one.is_beyond:
            continue
        firm = one.request.firm
        units_beyond = recent[firm.customer]
        units_beyond.append((one.at, one.request.units))
        while units_beyond[0][0] < one.at - MINUTE_MS:
            units_beyond.popleft()
        allowance = _allowance(run.plans[firm.plan], MINUTE_MS)
        worst = max(worst, sum(units for _, units in units_beyond) / allowance)
    return worst


def quota_excess(run: ObservedRun) -> QuotaExcess:
    """Return how far customers went beyond their quotas in the whole run."""
    total = beyond = last_at = 0.0
    beyond_by_customer = defaultdict[int, float](float)
    for one in _forwarded(run):
        units = one.request.units
        total += units
        last_at = one.at
        if one.is_beyond:
            beyond += units
            beyond_by_customer[one.request.firm.customer] += units
    plans = {request.firm.customer: run.plans[request.firm.plan] for request in run.requests.values()}
    shares = [units / _allowance(plans[customer], last_at) for customer, units in beyond_by_customer.items()]
    return QuotaExcess(beyond / max(total, 1.0), max(shares, default=0.0))


def _forwarded(run: ObservedRun) -> Iterator[ForwardedRequest]:
    """Yield each request that was forwarded, held to the exact quota of its customer."""
    buckets: dict[int, TokenBucket] = {}
    for at, request in run.forwarded_requests():
        plan = run.plans[request.firm.plan]
        bucket = buckets.setdefault(request.firm.customer, TokenBucket(plan.burst, plan.rate, plan.burst))
        bucket.refill(at)
        is_beyond = bucket.level < request.units
        if not is_beyond:
            bucket.level -= request.units
        yield ForwardedRequest(at, request, is_beyond)


def _allowance(plan: Plan, length_ms: float) -> float:
    """Return the units that a plan allows in a time."""
    return plan.burst + plan.rate * length_ms / MS_PER_S
