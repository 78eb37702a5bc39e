"""Calls to the quota counter: those not answered yet, and how likely a request makes one. No I/O, no clock.

The probability of a call is cut by a factor on a missing or late answer and raised additively on a good one
(AIMD; Chiu and Jain, 1989): so a slow or small counter is not overloaded, and few requests show that it is
back.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from wickspring import interface as api
from wickspring.interface import LONG_AGO, Status
from wickspring.quota.customer_quota import CustomerQuota

CUT_FACTOR = 0.8  # of the probability, after a miss
GROWTH_PER_ANSWER = 0.02
MIN_PROBABILITY = 0.1
LATE_PART = 0.5  # of the time-out: an answer as late as this counts as a miss, before the queue is too long
MEAN_REQUESTS = 50.0  # in the mean of their units
MIN_MEAN_UNITS = 1e-6
NO_REQUEST = -1  # in place of a request's number: no request waits for the answer
CUSTOMER_BITS = 33
WINDOW_NUMBERS = 2**31


@dataclass(slots=True, frozen=True)
class CounterCall:
    """One call that is not answered yet."""

    quota: CustomerQuota
    window: int
    amount: float  # units added
    request: int = NO_REQUEST
    requested: float = 0.0  # units of the request that waits for the answer


class CounterCalls:
    """The calls that one gateway makes."""

    def __init__(self, timeout_ms: float) -> None:
        self.probability = 1.0
        self.cut_at = LONG_AGO
        self.mean_units = 0.0  # of the requests
        self._timeout_ms = timeout_ms
        self._pending: dict[int, deque[CounterCall]] = {}  # by the count's name, in the order of sending

    def record_request(self, units: float) -> None:
        """Take the units of a request into the mean."""
        self.mean_units += (units - self.mean_units) / (MEAN_REQUESTS if self.mean_units else 1.0)

    def probability_for(self, quota: CustomerQuota) -> float:
        """Return the probability of a call; in proportion to units where totals are estimates."""
        if quota.windows.flat and self.probability < 1.0:
            return min(1.0, self.probability * quota.last_units / max(self.mean_units, MIN_MEAN_UNITS))
        return self.probability

    def start(self, call: CounterCall) -> api.Count:
        """Record a call and return the action that makes it."""
        quota = call.quota
        name = (call.window % WINDOW_NUMBERS) << CUSTOMER_BITS | quota.customer
        self._pending.setdefault(name, deque()).append(call)
        quota.pending += call.requested
        return api.Count(name, call.amount, 2 * quota.windows.length)

    def finish(self, name: int) -> CounterCall | None:
        """Return the oldest call of a count, which has been answered; None where there is none."""
        calls = self._pending.get(name)
        if not calls:
            return None
        call = calls.popleft()
        call.quota.pending = max(0.0, call.quota.pending - call.requested)
        if not calls:
            del self._pending[name]
        return call

    def adapt(self, now: float, answer: api.CountAnswer) -> None:
        """Adapt the probability to an answer, or to its lack."""
        if answer.status is Status.OK and answer.elapsed < LATE_PART * self._timeout_ms:
            self.probability = min(1.0, self.probability + GROWTH_PER_ANSWER)
        elif answer.status is not Status.RESET and now >= self.cut_at + self._timeout_ms:
            # Misses and late answers come in bursts: one cut for each. A reset says nothing about load.
            self.probability = max(MIN_PROBABILITY, CUT_FACTOR * self.probability)
            self.cut_at = now
