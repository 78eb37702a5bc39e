"""What hundreds of gateways do together: sums over as many policies, each seeing a small part."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from tests.support.policy_gateway import Gateway, every, make_settings, only
from wickspring import interface as api
from wickspring.interface import Effect, Group, Status
from wickspring.policy import QUOTA_TTL_MS
from wickspring.routing.concurrency_limit import INITIAL_PER_SERVER
from wickspring.routing.server_selection import COLD_CHANCE, COLD_DRAWS, COLD_FLEET_LOAD

FLEET = 330


def fleet(count: int = FLEET, servers: int = 60, **changes: Any) -> list[Gateway]:
    gateways = []
    for number in range(count):
        own = {"gateways": FLEET, "seed": number, "own_number": number, "zone": number % 2}
        front = Gateway(make_settings(**{**own, **changes}))
        front.list_servers(*(front.entry(n) for n in range(servers)))
        gateways.append(front)
    return gateways


def sends(front: Gateway, customer: int = 7, spread: int = 300, units: float = 1.0) -> list[api.Send]:
    number, front.next_id = front.next_id, front.next_id + 1
    actions = front.feed(api.Request(number, 0, 0, customer, front.now + 4000, units, spread, 0))
    for call in every(actions, api.Count):
        actions = actions + front.count(call.name, call.amount)
    return every(actions, api.Send)


def served(front: Gateway, **more: Any) -> list[api.Send]:
    sent = sends(front, **more)
    for send in sent:
        front.outcome(send, Status.OK)
    return sent


def test_equal_servers_share_the_requests_whatever_their_order() -> None:
    chosen = Counter(sends(front)[0].server for front in fleet())
    assert len(chosen) > 50
    assert max(chosen.values()) < 4 * FLEET / 60


def test_slow_start_gives_a_server_a_small_part_of_the_fleets_requests() -> None:
    # A floor of one send each would have been 330 in the same moment.
    gateways = fleet()
    for front in gateways:
        front.list_servers(front.entry(5, started_at=front.now), kind=api.ListKind.CHANGES)
    chosen = Counter(served(front, customer=n)[0].server for n in range(4) for front in gateways)
    share = COLD_DRAWS * COLD_CHANCE * 0.2 * 4 * FLEET / 60  # draws, care, cold capacity, an even share
    assert chosen[Gateway.entry(5).server] <= 2.5 * share


def test_fleet_of_cold_servers_is_not_overloaded() -> None:
    gateways = fleet(servers=0)
    for front in gateways:
        front.list_servers(*(front.entry(n, started_at=front.now) for n in range(60)))
    sent = sum(len(sends(front)) for front in gateways)
    assert (
        sent <= 1.2 * COLD_FLEET_LOAD * 0.2 * FLEET
    )  # under a usual load well below four times what they can do


def test_initial_concurrency_limit_is_a_part_of_the_fleets() -> None:
    gateways = fleet(plan={"rate": 1.0, "burst": 1000.0})
    sent = sum(len(sends(front, customer=n)) for n in range(20) for front in gateways)
    assert sent <= INITIAL_PER_SERVER * 60 + FLEET  # a part of 1.45 each is met by odds, two at most


def test_local_shares_of_a_quota_admit_one_request_each_then_their_part() -> None:
    gateways = fleet(may_count=False, plan={"rate": 0.3, "burst": 600.0})
    sent = sum(len(served(front)) for front in gateways[:300] for _ in range(9))
    assert sent <= 3 * 600  # three shares each
    small = fleet(may_count=False, plan={"rate": 0.001, "burst": 4.0})
    assert sum(len(served(front)) for front in small[:300] for _ in range(3)) == 300


def test_probes_go_to_unresponsive_servers_alone() -> None:
    gateways = fleet(count=20, parallel_attempts=False)
    for front in gateways:
        front.run(2000)
    assert not any(every(front.done, api.Probe) for front in gateways)


def test_idle_gateway_asks_for_no_timer() -> None:
    front = fleet(count=1)[0]
    assert front.run(2000) == []


@pytest.mark.parametrize("spread", [0, 1, 1000])
def test_spread_that_disagrees_with_the_fleet(spread: int) -> None:
    ceiling = {"ceiling_rate": 0.003, "ceiling_burst": 16.0, "ceiling_slack": 4.0}
    for gateways in (0, 1, FLEET):
        front = fleet(count=1, gateways=gateways, plan=ceiling)[0]
        assert sum(len(sends(front, spread=spread)) for _ in range(20)) <= 16


def test_lists_of_thousands_of_servers_and_of_none_are_accepted() -> None:
    assert sends(fleet(count=1, servers=5000)[0])
    assert not sends(fleet(count=1, servers=0)[0])


def test_a_clock_that_stops_or_jumps_is_tolerated() -> None:
    front = fleet(count=1, plan={"rate": 1.0, "burst": 1000.0}, gateways=2)[0]
    sent = [send for _ in range(5) for send in sends(front)]
    front.now += 3_600_000
    front.feed(api.TimerFired(front.policy.timer_token))
    front.run(100)
    assert len(every(front.done, api.Refuse)) == len(sent)
    assert sends(front)


def test_a_stall_of_this_process_does_not_look_like_unresponsive_servers() -> None:
    # Seen where gateways stand still for two seconds: what had been answered meanwhile was copied.
    front = fleet(count=1, gateways=2)[0]
    send = sends(front)[0]
    front.now += 1800
    assert not every(front.feed(api.TimerFired(front.policy.timer_token)), api.Send)
    assert not every(front.outcome(send, Status.OK), api.Send)


def test_full_answers_for_one_plan_keep_the_concurrency_limit() -> None:
    plans = (make_settings().plans[0],) * 2
    front = fleet(count=1, gateways=2, servers=20, plans=plans)[0]
    limit = 0.0
    bad = {front.entry(n).server for n in range(10)}
    full_answers = Counter[api.ServerId]()
    for number in range(60):
        front.now += 100
        plan, request = number % 2, front.next_id
        front.next_id += 1
        actions = front.feed(api.Request(request, 0, plan, number, front.now + 4000, 1.0, 2, 0))
        call = only(actions, api.Count)
        queue = every(front.count(call.name, 1.0), api.Send)
        attempt = 0
        while queue:
            send = queue.pop()
            full = plan == 0 and send.server in bad
            full_answers[send.server] += full
            queue = every(front.outcome(send, Status.FULL if full else Status.OK, attempt), api.Send)
            attempt += 1
        limit = limit or front.policy.concurrency_limit.limit
    assert front.policy.concurrency_limit.limit >= limit
    assert max(full_answers.values()) <= 2


def test_class_unanswered_by_a_server_is_hedged_and_ejected_there() -> None:
    kinds = (make_settings().classes[0],) * 2
    front = fleet(count=1, gateways=2, servers=4, classes=kinds)[0]
    first = sends(front)[0]
    front.run(500)
    copy = [send for send in every(front.done, api.Send) if send.server != first.server]
    assert len(copy) == 1
    front.outcome(copy[0], Status.OK, 1)
    later = [sends(front, customer=100 + n)[0].server for n in range(8)]
    assert first.server not in later


def test_a_busy_server_is_not_treated_as_unresponsive() -> None:
    front = fleet(count=1, gateways=2, servers=1)[0]
    slow, quick = sends(front)[0], sends(front, customer=8)[0]
    front.run(100)
    front.outcome(quick, Status.OK)
    front.run(1000)
    assert not [send for send in every(front.done, api.Send) if send.request == slow.request][1:]


def test_keyed_group_of_one_is_found_whatever_the_draws() -> None:
    kind = {"effect": Effect.KEYED, "group": Group.CELL, "repeat_window": 3000.0}
    front = fleet(count=1, gateways=2, servers=0, kind=kind)[0]
    front.list_servers(*(front.entry(n, cell=n // 2) for n in range(200)))
    send = sends(front)[0]
    again = only(front.outcome(send, Status.ERROR), api.Send)
    assert int.from_bytes(again.server, "big") // 2 == int.from_bytes(send.server, "big") // 2


def test_marked_repeat_does_not_wait_for_a_server() -> None:
    # Clients that repeat at once would fill the line, and first tries would come late.
    front = fleet(count=1, gateways=2, servers=0)[0]
    for number, repeat in ((1, False), (2, True)):
        event = api.Request(number, 0, 0, 7, front.now + 4000, 1.0, 2, 0, repeat)
        answer = front.count(only(front.feed(event), api.Count).name, number)
        assert bool(every(answer, api.Refuse)) is repeat


def test_attempts_beyond_the_deadline_cut_the_concurrency_limit() -> None:
    # Clients that come with little time left: no answer came at all, and a jam looked like quick answers.
    front = fleet(count=1, gateways=2, servers=20)[0]
    for number in range(30):
        event = api.Request(number, 0, 0, number, front.now + 300, 1.0, 2, 0)
        front.count(only(front.feed(event), api.Count).name, 1.0)
        front.run(320)
    assert front.policy.concurrency_limit.limit < INITIAL_PER_SERVER * 20 / 2


def test_the_state_of_removed_customers_and_servers_is_discarded() -> None:
    gateway = Gateway(make_settings())
    for number in range(200):
        gateway.now += 1000.0
        gateway.list_servers(Gateway.entry(number), kind=api.ListKind.CHANGES)
        gateway.list_servers(Gateway.entry(number, readiness=api.Readiness.GONE), kind=api.ListKind.CHANGES)
        gateway.request(customer=number)
    assert gateway.policy.server_table.servers == {}
    assert len(gateway.policy.quotas) <= QUOTA_TTL_MS / 1000.0 + 1
    assert 199 in gateway.policy.quotas
