"""Admission while a process runs late, driven in virtual time.

An ingress that got a fifth of the processor time that it had took every request all the same: 54 of 1,794 had
no answer and 40 a late one (scenario short-of-processor, seed 1), each of them read and then given up by its
client. The first limit, cut by how long requests lay unread, refused hundreds of 1,209 beside busy processes,
nearly all of which would have been answered in time.
"""

from __future__ import annotations

import pytest

from wickspring.net.overload import (
    BURST_SHARE,
    LATE_FOR_MS,
    MIN_IN_PROGRESS,
    REFUSING_FOR_MS,
    STANDING_SHARE,
    OverloadLimiter,
)
from wickspring.net.work_estimate import FIRST_COST_MS, WorkEstimate

BUDGET_MS = 1000.0
EVERY_MS = 5.0  # between two requests


class Requests:
    """Requests that come one after another to one limiter, of which so many are in progress."""

    def __init__(self, processor_share: float = 1.0) -> None:
        self.work = WorkEstimate()
        self.work.processor_share = processor_share
        self.work.idle_share = 0.0
        self.limiter = OverloadLimiter(self.work)
        self.now = 1_000_000.0
        self.in_progress = 50

    def come(self, for_ms: float, unread_ms: float, budget_ms: float = BUDGET_MS) -> int:
        """Have requests come for a time, each of which has lain unread; return how many are refused."""
        refused = 0
        end = self.now + for_ms
        while self.now < end:
            self.now += EVERY_MS
            self.limiter.record(self.now, unread_ms, budget_ms)
            refused += not self.limiter.admits(self.now, budget_ms - unread_ms, self.in_progress)
        return refused

    def limit(self) -> int:
        """Return how many requests may be in progress now for one more to be begun."""
        limiter = OverloadLimiter(self.work)
        limiter.record(self.now, BUDGET_MS, BUDGET_MS)
        return next(count for count in range(10_000) if not limiter.admits(self.now, BUDGET_MS, count))


@pytest.mark.parametrize("unread_ms", [100.0, 500.0])
def test_late_turns_refuse_nothing_that_can_be_answered(unread_ms: float) -> None:
    """Guards against refusals that nobody needs: 50 requests of 2 ms are done in a tenth of their time."""
    requests = Requests()
    assert requests.come(1000.0, 0.0) == 0
    assert requests.come(100.0, unread_ms) == 0
    assert requests.come(5000.0, unread_ms) == 0


def test_slow_servers_refuse_nothing() -> None:
    requests = Requests(processor_share=0.1)
    requests.in_progress = 1000
    assert requests.come(1000.0, 0.0) == 0


def test_a_process_that_runs_late_begins_what_its_processor_can_do() -> None:
    requests = Requests(processor_share=0.1)  # 50 requests of 2 ms take the whole of their time
    assert requests.come(50.0, 50.0) == 10
    assert requests.limit() == int(BURST_SHARE * BUDGET_MS * 0.1 / FIRST_COST_MS)


def test_a_shortage_that_stays_is_met_with_fewer_requests_in_progress() -> None:
    requests = Requests(processor_share=0.1)
    requests.come(50.0, 50.0)
    requests.in_progress = int(STANDING_SHARE * BUDGET_MS * 0.1 / FIRST_COST_MS) + 1
    assert requests.come(EVERY_MS, 0.0) == 0  # the burst may go on for a little
    requests.in_progress = 50
    requests.come(2000.0, 50.0)
    requests.in_progress = int(STANDING_SHARE * BUDGET_MS * 0.1 / FIRST_COST_MS) + 1
    assert requests.come(EVERY_MS, 0.0) == 1
    requests.in_progress = MIN_IN_PROGRESS - 1
    assert requests.come(2.0 * REFUSING_FOR_MS, 50.0) == 0
    requests.in_progress = int(STANDING_SHARE * BUDGET_MS * 0.1 / FIRST_COST_MS) + 1
    assert requests.come(EVERY_MS, 0.0) == 0  # another burst


def test_requests_that_wait_for_servers_do_not_make_a_shortage_stay() -> None:
    """Guards against a processor that is idle while requests are refused, as with too few in progress."""
    requests = Requests(processor_share=0.1)
    requests.come(2000.0, 50.0)
    requests.in_progress = int(STANDING_SHARE * BUDGET_MS * 0.1 / FIRST_COST_MS) + 1
    assert requests.come(EVERY_MS, 50.0) == 1
    requests.work.idle_share = 0.5
    assert requests.come(2000.0, 50.0) == 0


def test_what_has_waited_for_long_needs_to_be_done_sooner() -> None:
    requests = Requests(processor_share=0.5)
    assert requests.come(EVERY_MS, 200.0) == 0  # 204 ms, of 800 that are left
    assert requests.come(EVERY_MS, 900.0) == 1  # of 100


def test_requests_are_begun_as_before_once_they_are_read_in_time() -> None:
    requests = Requests(processor_share=0.1)
    assert requests.come(600.0, 100.0) > 0
    assert requests.come(LATE_FOR_MS, 10.0) > 0
    assert requests.come(3000.0, 10.0) == 0


def test_some_requests_may_be_in_progress_whatever_the_estimate() -> None:
    requests = Requests(processor_share=0.01)
    requests.in_progress = MIN_IN_PROGRESS - 1
    assert requests.come(3000.0, 500.0) == 0


def test_the_delay_counts_as_a_share_of_the_clients_time() -> None:
    requests = Requests(processor_share=0.1)
    assert requests.come(1000.0, 100.0, budget_ms=5000.0) == 0
    assert requests.come(1000.0, 3000.0, budget_ms=float("inf")) == 0
    assert requests.come(1000.0, 100.0, budget_ms=1000.0) > 0
