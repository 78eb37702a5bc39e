"""The limit on requests in progress while requests lie unread, driven in virtual time.

An ingress that got a fifth of the processor time that it had took every request all the same: 54 of 1,794 had
no answer and 40 a late one (scenario short-of-processor, seed 1), each of them read and then given up by its
client. The laboratory was not late in that run: no turn of its loop took longer than 15 ms.
"""

from __future__ import annotations

import math

from wickspring.net.overload import MIN_LIMIT, OverloadLimiter

BUDGET_MS = 1000.0
EVERY_MS = 5.0  # between two requests


class Requests:
    """Requests that come one after another to one limiter."""

    def __init__(self) -> None:
        self.limiter = OverloadLimiter()
        self.now = 1_000_000.0
        self.in_progress = 50

    def come(self, for_ms: float, unread_ms: float, budget_ms: float = BUDGET_MS) -> None:
        """Have requests come for a time, each of which has lain unread."""
        end = self.now + for_ms
        while self.now < end:
            self.now += EVERY_MS
            self.limiter.record(self.now, unread_ms, budget_ms, self.in_progress)


def test_one_late_turn_refuses_nothing() -> None:
    requests = Requests()
    requests.come(1000.0, 0.0)
    requests.come(100.0, 100.0)
    requests.come(1000.0, 0.0)
    assert math.isinf(requests.limiter.limit)


def test_a_delay_that_stands_cuts_the_limit_further_and_further() -> None:
    requests = Requests()
    limits = []
    for _ in range(30):
        requests.come(400.0, 100.0)
        limits.append(requests.limiter.limit)
    assert limits[0] < requests.in_progress
    assert not requests.limiter.admits(requests.in_progress)
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] == MIN_LIMIT


def test_a_very_long_delay_cuts_at_once() -> None:
    requests = Requests()
    requests.come(250.0, 0.0)
    requests.come(150.0, 500.0)
    assert requests.limiter.limit < requests.in_progress


def test_what_arrived_before_a_cut_does_not_cut_again() -> None:
    requests = Requests()
    requests.come(1000.0, 500.0)
    limit = requests.limiter.limit
    requests.come(400.0, 3000.0)  # all of it had been waiting for longer than since the cut
    assert requests.limiter.limit == limit


def test_the_limit_grows_and_is_lifted_once_requests_are_read_in_time() -> None:
    requests = Requests()
    requests.come(600.0, 100.0)
    limit = requests.limiter.limit
    requests.in_progress = int(limit)
    requests.come(400.0, 10.0)
    assert limit < requests.limiter.limit < math.inf
    requests.come(3000.0, 10.0)
    assert math.isinf(requests.limiter.limit)


def test_the_delay_counts_as_a_share_of_the_clients_time() -> None:
    requests = Requests()
    requests.come(1000.0, 100.0, budget_ms=5000.0)
    assert math.isinf(requests.limiter.limit)
    requests.come(1000.0, 3000.0, budget_ms=math.inf)
    assert math.isinf(requests.limiter.limit)
