"""Calls to the quota counter: their order, and how their probability follows the answers."""

from __future__ import annotations

import pytest

from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.interface import Status
from wickspring.quota.counter_calls import MIN_PROBABILITY, CounterCall, CounterCalls
from wickspring.quota.customer_quota import CustomerQuota, new_quota

TIMEOUT_MS = 50.0


def quota() -> CustomerQuota:
    request = api.Request(1, 0, 0, 7, 4000.0, 1.0, 2, 0)
    return new_quota(request, make_settings(), 0.0)


def answer(status: Status, elapsed: float = 2.0) -> api.CountAnswer:
    return api.CountAnswer(1, status, 0.0, elapsed)


def test_answers_end_the_calls_of_a_count_in_the_order_of_sending() -> None:
    calls, customer = CounterCalls(TIMEOUT_MS), quota()
    first, second = CounterCall(customer, 3, 1.0, 1, 1.0), CounterCall(customer, 3, 2.0, 2, 2.0)
    count, same = calls.start(first), calls.start(second)
    assert count.name == same.name and customer.pending == 3.0
    assert calls.finish(count.name) is first and customer.pending == 2.0
    assert calls.finish(count.name) is second and customer.pending == 0.0
    assert calls.finish(count.name) is None


def test_each_timeout_cuts_the_call_limit_once_down_to_the_minimum() -> None:
    calls = CounterCalls(TIMEOUT_MS)
    for now in (1000.0, 1010.0, 1020.0):  # one burst of misses
        calls.adapt(now, answer(Status.TIMEOUT))
    assert calls.probability == pytest.approx(0.8)
    for step in range(100):
        calls.adapt(2000.0 + step * TIMEOUT_MS, answer(Status.FULL))
    assert calls.probability == MIN_PROBABILITY


def test_late_responses_cut_the_call_limit_and_resets_do_not() -> None:
    calls = CounterCalls(TIMEOUT_MS)
    calls.adapt(1000.0, answer(Status.RESET))
    assert calls.probability == 1.0
    calls.adapt(1000.0, answer(Status.OK, elapsed=0.6 * TIMEOUT_MS))
    cut = calls.probability
    calls.adapt(1000.0, answer(Status.OK))
    assert MIN_PROBABILITY < cut < calls.probability < 1.0
