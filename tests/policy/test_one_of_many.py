"""What one of many gateways does that would be harmful if all forty did it, or that it learns too late."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from tests.policy.test_many_policies import fleet
from tests.support.policy_gateway import Gateway, every, make_settings, only
from wickspring import interface as api
from wickspring.interface import ListKind, Readiness, Status
from wickspring.quota.counting_windows import counting_window
from wickspring.routing.latency_estimate import LatencyEstimate

Build = Callable[..., Gateway]
GATEWAYS, SERVERS = 40, 60
START = 1_000_000.0  # ms, of the clock
ROOMY = {"rate": 1.0, "burst": 1000.0}


def gateway_of_many(gateway: Build, number: int = 0, servers: int = SERVERS) -> Gateway:
    return gateway(gateways=GATEWAYS, own_number=number, servers=servers, plan=ROOMY, max_attempts=1)


def answer(front: Gateway, send: api.Send, elapsed: float, status: Status = Status.OK) -> None:
    front.outcome(send, status, elapsed=elapsed)


def test_every_server_is_in_as_many_subsets_as_any_other(gateway: Build) -> None:
    servers = Counter(s.entry.server for n in range(GATEWAYS) for s in gateway_of_many(gateway, n).subset)
    assert len(servers) == SERVERS
    assert max(servers.values()) - min(servers.values()) <= 1


def test_a_removed_server_moves_the_edges_of_subsets_alone(gateway: Build) -> None:
    for number in range(GATEWAYS):
        front = gateway_of_many(gateway, number)
        before = {s.entry.server for s in front.subset}
        front.list_servers(front.entry(17, readiness=Readiness.GONE), kind=ListKind.CHANGES)
        gone = before - {s.entry.server for s in front.subset}
        assert len(gone - {front.entry(17).server}) <= 1


def test_few_gateways_use_all_servers(gateway: Build) -> None:
    front = gateway(gateways=4, servers=14)
    assert len(front.subset) == 14


def test_one_of_many_uses_its_subset_and_leaves_it_when_it_fails(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    subset = {s.entry.server for s in front.subset}
    sent = []
    for customer in range(200):
        sent.append(front.admitted(0.0, customer=customer))
        answer(front, sent[-1], 100.0)
        front.now += 20.0
    assert sum(send.server in subset for send in sent) >= 195
    for customer in range(200, 280):
        send = front.admitted(0.0, customer=customer)
        answer(front, send, 100.0, Status.RESET if send.server in subset else Status.OK)
    late = [send.server for send in every(front.done, api.Send)[-40:]]
    assert sum(server in subset for server in late) <= 4


def test_a_slow_server_is_avoided_though_no_attempt_is_in_flight_there(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    slow = front.subset[3].entry.server
    sent: Counter[api.ServerId] = Counter()
    for customer in range(300):
        send = front.admitted(0.0, customer=customer)
        sent[send.server] += 1
        answer(front, send, 900.0 if send.server == slow else 100.0)
        front.now += 50.0
    usual = sorted(sent.values())[len(front.subset) // 2]
    assert 0 < sent[slow] < usual / 3  # less, but looked at again: it may have become well


def test_a_cold_subset_is_left_for_warm_servers_outside(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    cold = [s.entry for s in front.subset]
    for entry in cold:
        front.list_servers(replace(entry, started_at=front.now), kind=ListKind.CHANGES)
    for customer in range(60):
        name = only(front.request(customer=customer), api.Count).name
        send = only(front.count(name, 1.0), api.Send)
        answer(front, send, 100.0)
    warm = {s.entry.server for s in front.policy.server_table.ready} - {entry.server for entry in cold}
    assert sum(send.server in warm for send in every(front.done, api.Send)) >= 45


def test_cold_servers_get_their_part_where_most_are_cold(gateway: Build) -> None:
    front = gateway_of_many(gateway, servers=60)
    young = [front.entry(n, started_at=front.now) for n in range(42)]
    front.list_servers(*young, kind=ListKind.CHANGES)
    names, sent = {entry.server for entry in young}, Counter[api.ServerId]()
    for customer in range(400):
        send = front.admitted(0.0, customer=customer)
        sent[send.server] += 1
        answer(front, send, 100.0)
    cold = sum(times for server, times in sent.items() if server in names)
    part = 0.2 * 42 / (0.2 * 42 + 18)  # of what all can do now
    assert 0.4 * part < cold / 400 < 2.0 * part


def test_the_counter_is_asked_in_a_new_window_though_the_last_was_spent(gateway: Build) -> None:
    front = gateway(gateways=GATEWAYS)
    ask = api.Request(1, 0, 0, 7, front.now + 4000.0, 4.0, 20, 0)
    name = only(front.feed(ask), api.Count).name
    assert every(front.count(name, 400.0), api.Refuse)  # long spent by what comes in elsewhere
    left = front.policy.quotas[7].window_left
    front.now += left + 1.0
    again = api.Request(2, 0, 0, 7, front.now + 4000.0, 4.0, 20, 0)
    assert only(front.feed(again), api.Count).name != name


def spent(gateways: list[Gateway], tries: float) -> float:
    """Return the units sent on for a customer in 100 s of so many tries a ms; the counter answers at once."""
    random, totals, admitted, now = Random(5), Counter[int](), 0.0, 0.0
    while now < 100_000.0:
        now += random.expovariate(tries)
        front, units = random.choice(gateways), float(random.choice((1, 1, 2, 3, 4)))
        front.now = START + now
        number, front.next_id = front.next_id, front.next_id + 1
        actions = front.feed(api.Request(number, 0, 0, 7, front.now + 4000.0, units, len(gateways), 0))
        for call in every(actions, api.Count):
            totals[call.name] += int(call.amount)
            actions = actions + front.count(call.name, float(totals[call.name]))
        for send in every(actions, api.Send):
            admitted += units
            front.outcome(send, Status.OK)
    return admitted


@pytest.mark.parametrize("asks", [0.5, 0.9, 3.0])
def test_use_over_many_windows_keeps_to_the_quota_and_comes_near_it(asks: float) -> None:
    rate, burst = 0.005, 20.0
    plan = {"rate": rate, "burst": burst}
    gateways = fleet(25, SERVERS, gateways=GATEWAYS, zone=0, plan=plan)
    admitted = spent(gateways, asks * rate / 2.2)
    assert admitted <= burst + 1.1 * rate * 100_000.0
    assert admitted >= 0.85 * min(asks, 1.0) * rate * 100_000.0


def test_a_window_is_no_deeper_than_the_concurrency_cap() -> None:
    plan = make_settings(plan={"rate": 0.014, "burst": 35.0, "max_in_flight": 5}).plans[0]
    many, few = counting_window(plan, 25, 8.0), counting_window(plan, 3, 8.0)
    assert many.flat and 5.0 <= many.depth <= 5 * 4.0
    assert not few.flat and few.depth == 35.0  # few see the attempts of the others in their own


def test_only_after_overspent_windows_the_limit_is_the_refill() -> None:
    one = counting_window(make_settings(plan={"rate": 0.005, "burst": 20.0}).plans[0], 25, 8.0)
    assert one.limit(10, -(2**62)) == 20.0
    assert one.limit(10, 9) == one.refill < 20.0
    assert one.limit(20, 9) == 20.0


def test_a_server_is_avoided_before_its_late_answer(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    for customer in range(30):
        answer(front, front.admitted(0.0, customer=customer), 100.0)
    stuck, front.policy.concurrency_limit.limit = front.subset[3].entry.server, 1000.0
    for server in front.subset:  # one attempt out at each, at one of them for longer than at the others
        server.in_flight, server.latency.waiting_since = (
            1,
            front.now - (600.0 if server.entry.server == stuck else 50.0),
        )
    sent = Counter(front.admitted(0.0, customer=customer).server for customer in range(100, 150))
    usual = sorted(sent[server.entry.server] for server in front.subset)[len(front.subset) // 2]
    assert sent[stuck] <= usual / 2


@pytest.mark.parametrize("odds", [0.8, 0.4])
def test_the_count_stands_for_all_requests_though_few_call_the_counter(odds: float) -> None:
    gateways = [
        Gateway(make_settings(gateways=GATEWAYS, own_number=n, seed=n, plan=ROOMY)) for n in range(30)
    ]
    counted = asked = large = 0.0
    calls = Counter[float]()
    for customer in range(40):
        for number, front in enumerate(gateways):
            front.policy.counter_calls.probability = odds  # what a slow counter has left of them
            units = 6.0 if (number + customer) % 3 == 0 else 1.0
            request = api.Request(customer + 1, 0, 0, customer, front.now + 4000.0, units, 30, 0)
            made = every(front.feed(request), api.Count)
            asked, large = asked + units, large + (units > 1.0)
            counted += sum(call.amount for call in made)
            calls[units] += len(made)
    assert counted == pytest.approx(asked, rel=0.15)
    assert calls[6.0] > 0.75 * large  # what says most is seldom left out
    assert calls.total() <= 1.15 * odds * 40 * 30  # the first ones know no mean yet


def test_many_slow_responses_are_evidence_and_one_is_not() -> None:
    latency = LatencyEstimate()
    latency.record(0.0, latency=0.4, answered=True, typical=0.1, weight=1.0)
    assert 1.5 < latency.cost_factor(0.0, typical=0.1, weight=1.0) < 2.5
    for _ in range(8):
        latency.record(0.0, latency=4.0, answered=True, typical=0.1, weight=1.0)
    assert latency.cost_factor(0.0, typical=0.1, weight=1.0) > 5.0
    assert latency.cost_factor(60_000.0, typical=0.1, weight=1.0) < 1.1  # long forgotten
    assert latency.cost_factor(0.0, typical=0.1, weight=0.0) == 1.0  # few gateways take no notice


def test_unusual_lists_are_handled_in_a_large_fleet(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    before = {server.entry.server for server in front.subset}
    twice = [front.entry(n) for n in range(SERVERS)] * 2
    front.list_servers(*twice)
    assert {server.entry.server for server in front.subset} == before
    assert len(front.subset) == len(before) and len(front.policy.server_table.ready) == SERVERS
    front.list_servers(kind=ListKind.CHANGES)  # nothing has changed
    assert len(front.subset) == len(before)
    front.list_servers()  # none at all: what comes is held, and refused in time
    assert not front.subset
    request = api.Request(9001, 0, 0, 5, front.now + 4000.0, 1.0, 25, 0)
    call = only(front.feed(request), api.Count)
    front.count(call.name, 1.0)
    assert [refuse.request for refuse in every(front.run(500.0), api.Refuse)] == [9001]
    front.list_servers(*(front.entry(n) for n in range(SERVERS)))
    answer(front, front.admitted(0.0, customer=6), 100.0)


def test_a_server_back_under_its_id_is_in_slow_start(gateway: Build) -> None:
    front = gateway_of_many(gateway)
    back = front.subset[2].entry
    front.list_servers(replace(back, readiness=Readiness.GONE), kind=ListKind.CHANGES)
    front.list_servers(replace(back, started_at=front.now), kind=ListKind.CHANGES)
    sent = Counter[api.ServerId]()
    for customer in range(300):
        send = front.admitted(0.0, customer=customer)
        sent[send.server] += 1
        answer(front, send, 100.0)
    usual = sorted(sent[server.entry.server] for server in front.subset)[len(front.subset) // 2]
    assert sent[back.server] < 0.6 * usual


@pytest.mark.parametrize("number", [-1, 40, 10_000])
def test_a_gateway_number_out_of_range_still_gets_a_subset(gateway: Build, number: int) -> None:
    front = gateway_of_many(gateway, number)
    assert 0 < len(front.subset) < SERVERS
    answer(front, front.admitted(0.0, customer=1), 100.0)
