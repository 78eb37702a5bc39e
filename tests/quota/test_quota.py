from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.support.policy_gateway import Gateway, every, only
from wickspring import interface as api
from wickspring.interface import Status
from wickspring.quota.counter_calls import MIN_PROBABILITY

Build = Callable[..., Gateway]


def test_one_add_then_send(gateway: Build) -> None:
    front = gateway()
    actions = front.request(2.0)
    assert only(actions, api.Count).amount == 2.0
    assert not every(actions, api.Send)
    assert every(front.count(only(actions, api.Count).name, 2.0), api.Send)


def test_total_beyond_the_limit_is_refused_at_once_with_retry_after(gateway: Build) -> None:
    front = gateway()
    front.admitted()
    front.now += 10
    actions = front.count(only(front.request(3.0), api.Count).name, 9.0)
    assert only(actions, api.Refuse).retry_after > 0
    assert only(actions, api.Count).amount == -3.0  # less may still fit: the refused units come off again


def test_a_customer_without_quota_is_rejected_without_a_counter_call(gateway: Build) -> None:
    front = gateway()
    front.count(only(front.request(), api.Count).name, 40.0)
    assert [type(action) for action in front.request()] == [api.Refuse]


def test_a_burst_makes_no_more_counter_calls_than_tokens(gateway: Build) -> None:
    front = gateway()
    actions = [action for _ in range(300) for action in front.request()]
    assert len(every(actions, api.Count)) == 8
    assert len(every(actions, api.Refuse)) == 292
    for number, call in enumerate(every(actions, api.Count)):
        assert every(front.count(call.name, number + 1.0), api.Send)


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.FULL, Status.CONNECT_FAILED])
def test_without_the_counter_the_local_share_is_granted_and_no_more(gateway: Build, status: Status) -> None:
    front = gateway()
    sent = 0
    for _ in range(30):
        actions = front.request()
        for call in every(actions, api.Count):
            actions = actions + front.count(call.name, 0.0, status)
        sent += len(every(actions, api.Send))
    assert 1 <= sent <= 8


def test_counter_calls_of_a_fleet_adapt_to_an_overloaded_counter(gateway: Build) -> None:
    # Five calls a second from each of 300 gateways were more than the whole counter served.
    front = gateway(servers=20, gateways=300, plan={"rate": 1.0, "burst": 1000.0})

    def asked(status: Status, times: int) -> float:
        calls = 0
        for number in range(times):
            front.now += 400
            for call in every(front.request(customer=number), api.Count):
                front.count(call.name, 0.0, status)
                calls += 1
        return calls / times

    asked(Status.FULL, 40)
    assert asked(Status.FULL, 60) < 0.35
    asked(Status.OK, 200)
    assert asked(Status.OK, 60) > 0.9


def test_resets_are_not_taken_for_overload(gateway: Build) -> None:
    front = gateway(servers=20)
    for customer in range(40):
        front.now += 100
        call = only(front.request(customer=customer), api.Count)
        front.count(call.name, 0.0, Status.RESET)


@pytest.mark.parametrize(("elsewhere", "least", "most"), [(0.0, 6, 8), (9.0, 1, 4)])
def test_local_share_without_the_counter_follows_where_requests_come_in(
    gateway: Build, elsewhere: float, least: int, most: int
) -> None:
    front = gateway(servers=20, plan={"rate": 0.0002, "burst": 8.0})
    front.request()
    account = front.policy.quotas[7]
    for _ in range(40):
        account.record_total(front.now, 1.0, account.total + 1.0 + elsewhere)
    account.tokens, account.local_tokens, account.usage_ratio = 8.0, 8.0, 0.0
    sent = 0
    for _ in range(20):
        front.now += 100
        actions = front.request()
        for call in every(actions, api.Count):
            actions = actions + front.count(call.name, 0.0, Status.TIMEOUT)
        sent += len(every(actions, api.Send))
        for send in every(actions, api.Send):
            front.outcome(send, Status.OK)
    assert least <= sent <= most


def test_local_share_admits_a_large_request_after_small_ones(gateway: Build) -> None:
    # Cut to what a small one needs, a part of a quarter refused every large request of a calm customer.
    front = gateway(servers=20, plan={"rate": 0.002, "burst": 8.0})
    front.count(only(front.request(), api.Count).name, 1.0)
    account = front.policy.quotas[7]
    account.local_usage, account.remote_usage, account.usage_ratio = 1.0, 3.0, 0.0
    front.now += 20_000
    front.count(only(front.request(), api.Count).name, 0.0, Status.TIMEOUT)
    front.now += 4000
    call = only(front.request(4.0), api.Count)
    assert every(front.count(call.name, 0.0, Status.TIMEOUT), api.Send)


def test_calls_to_a_slow_counter_decrease_and_recover(gateway: Build) -> None:
    front = gateway(servers=20)
    front.run(200)
    for customer in range(60):
        for call in every(front.request(customer=customer), api.Count):
            front.count(call.name, 0.0, Status.FULL)
        front.run(60)
    front.run(400)
    asked = sum(len(every(front.request(customer=100 + n), api.Count)) for n in range(100))
    assert 1 <= asked <= 100 * 2 * MIN_PROBABILITY


def test_calls_fall_while_answers_are_late_and_their_units_go_with_the_next(gateway: Build) -> None:
    # A counter with a standing line answers all, too late for most: its delay counts, not misses alone.
    front = gateway(servers=20, plan={"rate": 0.04, "burst": 1000.0})

    def added(elapsed: float) -> tuple[int, float, int]:
        calls, units, sent = 0, 0.0, 0
        for _ in range(200):
            front.now += 60
            actions = front.request()
            for call in every(actions, api.Count):
                calls, units = calls + 1, units + call.amount
                total = front.policy.quotas[7].total + call.amount
                actions = actions + front.feed(api.CountAnswer(call.name, Status.OK, total, elapsed))
            for send in every(actions, api.Send):
                sent += 1
                front.outcome(send, Status.OK)
        return calls, units, sent

    calls, units, sent = added(0.9 * 50.0)
    assert calls < 60
    assert sent == 200
    assert 0.8 * sent <= units <= sent
    assert added(2.0)[0] > 120


@pytest.mark.parametrize(("elsewhere", "least", "most"), [(0.0, 3, 4), (9.0, 1, 2)])
def test_concurrency_cap_follows_where_requests_come_in(
    gateway: Build, elsewhere: float, least: int, most: int
) -> None:
    front = gateway(servers=20, plan={"rate": 0.02, "burst": 1000.0, "max_in_flight": 4})
    sent, total = 0, 0.0
    for _ in range(30):
        front.now += 50
        call = only(front.request(), api.Count)
        total += call.amount + elsewhere
        sent += len(every(front.count(call.name, total), api.Send))
    assert least <= sent <= most


def test_ceiling_holds_with_a_counter_that_answers_zero(gateway: Build) -> None:
    ceiling = {"ceiling_rate": 0.003, "ceiling_burst": 16.0, "ceiling_slack": 4.0}
    front = gateway(plan=ceiling, servers=20)
    sent = 0.0
    for _ in range(300):
        front.run(40)
        actions = front.request()
        for call in every(actions, api.Count):
            actions = actions + front.count(call.name, 0.0)
        sent += len(every(actions, api.Send))
        for send in every(actions, api.Send):
            front.outcome(send, Status.OK)
    assert sent <= 0.003 * 300 * 40 / 2 + (16.0 - 8.0) / 2  # own half, from what is held beyond a burst


def test_concurrency_cap_without_a_rate(gateway: Build) -> None:
    front = gateway(plan={"rate": 0.0, "burst": 0.0, "max_in_flight": 4})
    actions = [action for _ in range(5) for action in front.request()]
    assert len(every(actions, api.Send)) == 2
    assert len(every(actions, api.Refuse)) == 3


def test_settled_units_go_to_the_count_as_a_difference(gateway: Build) -> None:
    front = gateway(settles_later=True)
    send = front.admitted()
    actions = front.feed(api.Outcome(send.request, 0, send.server, Status.OK, True, 90.0, (), 3.0, 0))
    assert only(actions, api.Count).amount == 2.0


def test_no_counter_permitted(gateway: Build) -> None:
    front = gateway(may_count=False)
    actions = [action for _ in range(20) for action in front.request()]
    assert not every(actions, api.Count)
    assert 1 <= len(every(actions, api.Send)) <= 8


def test_late_and_unknown_counter_answers_are_ignored(gateway: Build) -> None:
    front = gateway()
    call = only(front.request(), api.Count)
    front.feed(api.Withdrawn(1))
    assert not every(front.count(call.name, 1.0), api.Send)
    assert front.count(12345, 1.0) == []


def test_subtracted_units_keep_the_quota_consistent(gateway: Build) -> None:
    # Half a window's units came off in one call, and a division by their sum ended the gateway.
    front = gateway()
    for units in (1.0, 2.0, 4.0, 8.0, 16.0):
        for call in every(front.request(units, customer=9), api.Count):
            for given_back in every(front.count(call.name, 40.0), api.Count):
                front.count(given_back.name, 40.0 + given_back.amount)
        front.run(300)
    assert front.admitted(1.0)


@pytest.mark.parametrize("spread", [2, 300])
def test_customer_not_seen_lately_is_decided_by_the_windows_count(gateway: Build, spread: int) -> None:
    front = gateway(gateways=max(2, spread), servers=2 * spread)
    for total, sent in ((8.0, 1), (30.0, 0)):
        number, front.next_id = front.next_id, front.next_id + 1
        actions = front.feed(api.Request(number, 0, 0, int(total), front.now + 4000, 1.0, spread, 0))
        assert len(every(front.count(only(actions, api.Count).name, total), api.Send)) == sent


def test_refused_units_cost_no_second_call_where_a_window_is_one_burst(gateway: Build) -> None:
    # Through a hundred gateways the calls that took them off were more than the counter could serve.
    front = gateway(gateways=300)
    number, front.next_id = front.next_id, front.next_id + 1
    actions = front.feed(api.Request(number, 0, 0, 7, front.now + 4000, 3.0, 300, 0))
    assert [type(a) for a in front.count(only(actions, api.Count).name, 40.0)] == [api.Refuse]
