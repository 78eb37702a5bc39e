"""Lost responses and slow ones, and the order of the queue while the concurrency limit is reached."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.support.policy_gateway import KIND, Gateway, every, only
from wickspring import interface as api
from wickspring.interface import Status
from wickspring.routing.lost_responses import MAX_SIZE, MIN_ANSWERS, OVERDUE_FACTOR, LatencyBySize, SendOrder

Build = Callable[..., Gateway]
ROOMY = {"rate": 1.0, "burst": 1000.0}


def answered(front: Gateway, units: float, elapsed: float, times: int) -> None:
    """Have so many requests of a size answered."""
    for _ in range(times):
        send = front.admitted(units, units)
        front.outcome(send, Status.OK, elapsed=elapsed)


@pytest.mark.parametrize("parallel", [False, True])
def test_a_lost_response_is_requested_from_another_server(gateway: Build, parallel: bool) -> None:
    # The server answers others, so it is not unresponsive; until the client's time was over nothing was done.
    front = gateway(servers=2, plan=ROOMY, parallel_attempts=parallel, may_probe=False)
    answered(front, 1.0, 40.0, 10)
    lost = front.admitted()
    later: list[api.Action] = []
    while not any(send.server == lost.server for send in every(later, api.Send)):
        later.append(front.admitted())
    front.now += 40.0
    for send in every(later, api.Send):
        front.outcome(send, Status.OK, elapsed=40.0)
    actions = front.run(600.0)
    if parallel:
        assert any(send.request == lost.request for send in every(actions, api.Send))
    else:
        assert only(actions, api.Cancel).request == lost.request
        again = only(front.outcome(lost, Status.CANCELLED, elapsed=400.0), api.Send)
        assert again.server != lost.server


def test_a_large_request_overtaken_by_small_ones_is_not_hedged(gateway: Build) -> None:
    front = gateway(servers=1, plan=ROOMY, parallel_attempts=False, may_probe=False)
    answered(front, 1.0, 40.0, 10)
    answered(front, 4.0, 250.0, 10)
    large = front.admitted(4.0, 4.0)
    for _ in range(40):
        front.outcome(front.admitted(), Status.OK, elapsed=40.0)
        front.run(20.0)
        front.outcome(front.admitted(), Status.OK, elapsed=40.0)
    assert not every(front.done, api.Cancel)
    front.outcome(large, Status.OK, elapsed=800.0)


def test_an_attempt_that_none_has_overtaken_waits(gateway: Build) -> None:
    front = gateway(servers=1, plan=ROOMY, parallel_attempts=False, may_probe=False)
    answered(front, 1.0, 40.0, 10)
    first, second = front.admitted(), front.admitted()
    front.run(340.0)
    front.outcome(first, Status.OK, elapsed=340.0)  # a late response: the network is slow
    front.run(200.0)
    assert not any(cancel.request == second.request for cancel in every(front.done, api.Cancel))


def test_send_order_marks_overtaken_attempts_and_forgets_ended_ones() -> None:
    order = SendOrder()
    for number in range(4):
        order.add((number, 0))
    order.remove((1, 0), answered=False)
    order.remove((2, 0), answered=True)
    assert [order.is_overtaken((number, 0)) for number in range(4)] == [True, False, False, False]
    order.remove((9, 9), answered=True)  # unknown: it overtakes nothing
    assert not order.is_overtaken((3, 0))
    assert set(order.work_by_attempt) == {(0, 0), (3, 0)}
    assert order.work == 2.0
    for number in (0, 3):
        order.remove((number, 0), answered=True)
    assert not order.work_by_attempt and not order.overtaken and order.work == 0.0


def test_latencies_by_size_are_separate_and_bounded() -> None:
    sizes = LatencyBySize()
    assert not sizes.overdue(1.0, 1e9)
    sizes.record(1.0, 10.0)
    assert not sizes.overdue(1.0, 1e9)  # one answer is no mean
    for units in range(1000):
        for _ in range(MIN_ANSWERS):
            sizes.record(float(units), 10.0 * min(max(units, 1), 2))
    assert len(sizes.means) <= MAX_SIZE + 1
    assert sizes.overdue(1.0, OVERDUE_FACTOR * 10.0)
    assert not sizes.overdue(2.0, OVERDUE_FACTOR * 10.0)


def test_a_large_request_is_hedged_by_the_latency_of_large_requests(gateway: Build) -> None:
    # Held against the mean of its class, every twentieth request was taken from a server that worked on it.
    front = gateway(servers=4, plan=ROOMY, parallel_attempts=False, may_probe=False)
    answered(front, 1.0, 40.0, 40)
    answered(front, 4.0, 250.0, 8)
    answered(front, 1.0, 40.0, 40)
    front.now += 10.0
    large = front.admitted(4.0, 4.0)
    front.run(700.0)
    assert not every(front.done, api.Cancel)
    front.run(300.0)
    assert only(front.done, api.Cancel).request == large.request  # at some time it is moved all the same


def test_the_server_with_less_work_is_chosen_though_it_has_more_requests(gateway: Build) -> None:
    front = gateway(servers=2, gateways=1, plan=ROOMY, parallel_attempts=False, may_probe=False)
    for _ in range(40):
        answered(front, 1.0, 40.0, 1)
        answered(front, 4.0, 240.0, 1)
    large = front.admitted(4.0, 4.0)
    small = [front.admitted() for _ in range(3)]
    assert all(send.server != large.server for send in small)


def test_the_queue_is_served_by_value_and_the_rest_is_refused(gateway: Build) -> None:
    # While a room was lost a third of the requests found no server, the cheapest as often as the dearest.
    kinds = (replace(KIND, value=1.0), replace(KIND, value=3.0))
    front = gateway(servers=1, gateways=1, plan=ROOMY, classes=kinds, may_probe=False)
    sends: list[api.Send] = []
    while len(sends) < 40:
        actions = front.request()
        found = front.count(only(actions, api.Count).name, 0.0)
        if not every(found, api.Send):
            break
        sends += every(found, api.Send)
    for index in (0, 0, 1):  # one cheap request waits already
        front.next_id += 1
        asked = api.Request(front.next_id, index, 0, 7, front.now + 4000.0, 1.0, 2, 0)
        front.count(only(front.feed(asked), api.Count).name, 0.0)
    dear = front.next_id
    done = front.outcome(sends[0], Status.OK, elapsed=40.0)
    done += front.outcome(sends[1], Status.OK, elapsed=40.0)
    assert every(done, api.Send)[0].request == dear
    refused = {refuse.request for refuse in every(front.run(300.0), api.Refuse)}
    assert refused
    assert dear not in refused


def test_a_stream_releases_its_concurrency_to_the_queue(gateway: Build) -> None:
    # Nineteen long bodies at once: eight flowed, and the last to wait was refused though none was out.
    front = gateway(servers=1, gateways=1, plan=ROOMY, may_probe=False)
    sends: list[api.Send] = []
    for _ in range(40):
        found = front.count(only(front.request(), api.Count).name, 0.0)
        if not every(found, api.Send):
            break
        sends += every(found, api.Send)
    waiting = front.next_id - 1
    begun = front.feed(api.StreamStarted(sends[0].request, 0, sends[0].server))
    begun += front.feed(api.StreamStarted(sends[1].request, 0, sends[1].server))
    assert waiting in {send.request for send in every(begun, api.Send)}


def test_a_stream_does_not_count_as_load_of_its_server(gateway: Build) -> None:
    front = gateway(servers=1, plan=ROOMY, may_probe=False)
    send = front.admitted()
    order = front.policy.server_table.servers[send.server].send_order
    assert order.work > 0.0
    front.feed(api.StreamStarted(send.request, 0, send.server))
    assert order.work == 0.0 and not order.work_by_attempt
    front.outcome(send, Status.OK)
    assert order.work == 0.0
