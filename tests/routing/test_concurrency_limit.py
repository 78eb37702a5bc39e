"""The concurrency limit, by latencies."""

from __future__ import annotations

from dataclasses import replace

from tests.support.policy_gateway import Gateway, make_settings
from wickspring import interface as api
from wickspring.policy import Policy
from wickspring.routing.concurrency_limit import INITIAL_PER_SERVER, MIN_PER_SERVER, ConcurrencyLimit


def test_two_slow_servers_of_ten_do_not_cut_the_limit() -> None:
    limit, now = ConcurrencyLimit(), 0.0
    for number in range(3000):
        now += 10.0
        limit.allows(1, 2.0)
        limit.record(now, 1.5 if number % 10 < 2 else 0.17, 3, 2.0)
    assert limit.limit >= INITIAL_PER_SERVER * 2.0 and not limit.slow


def test_mostly_slow_answers_cut_the_limit_to_its_minimum() -> None:
    limit, now = ConcurrencyLimit(), 0.0
    for _ in range(3000):
        now += 10.0
        limit.allows(1, 2.0)
        limit.record(now, 0.6, 3, 2.0)
    limit.allows(1, 2.0)
    assert limit.slow and limit.limit == MIN_PER_SERVER * 2.0


def test_a_server_included_again_is_used_in_slow_start() -> None:
    front = Gateway(make_settings(gateways=2, may_count=False))
    front.list_servers(*(front.entry(number) for number in range(8)))
    back = replace(front.entry(8), started_at=front.now)
    front.list_servers(back, kind=api.ListKind.CHANGES)
    used = set()
    for customer in range(60):
        front.now += 20.0
        for action in front.request(customer=customer):
            if isinstance(action, api.Send):
                used.add(action.server)
                front.outcome(action, api.Status.OK)
    assert isinstance(front.policy, Policy) and back.server in used
