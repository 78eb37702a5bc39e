from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.support.policy_gateway import Gateway, every, only
from wickspring import interface as api
from wickspring.interface import Effect, Group, Status
from wickspring.routing.retry_budget import EARNED_PER_REQUEST, MAX_BALANCE

Build = Callable[..., Gateway]


def test_every_request_is_answered_before_its_deadline_by_an_unresponsive_fleet(gateway: Build) -> None:
    front = gateway(may_probe=False)
    front.admitted()
    front.run(3980)
    assert len(every(front.done, api.Refuse)) + len(every(front.done, api.Fail)) == 1


def test_request_due_at_once_is_refused_at_once(gateway: Build) -> None:
    # Seen on an incident: a try whose deadline was the moment it came waited for the next beat.
    assert only(gateway().request(deadline=0.0), api.Refuse)


def test_without_servers_a_request_is_queued_then_refused(gateway: Build) -> None:
    front = gateway(servers=0)
    call = only(front.request(), api.Count)
    assert not every(front.count(call.name, 1.0), api.Refuse)
    assert only(front.run(600), api.Refuse)


def test_each_request_leaves_the_queue_at_its_own_time(gateway: Build) -> None:
    # The look at a second request was set to the end of the first one's hold, and found nothing due yet.
    front = gateway(servers=0)
    for _ in range(2):
        front.count(only(front.request(), api.Count).name, 1.0)
        front.now += 60
    front.run(300)
    assert len(every(front.done, api.Refuse)) == 2


def test_a_new_server_gets_the_queued_request(gateway: Build) -> None:
    front = gateway(servers=0)
    front.count(only(front.request(), api.Count).name, 1.0)
    front.list_servers(front.entry(3), kind=api.ListKind.CHANGES)
    assert only(front.done, api.Send).server == front.entry(3).server


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CANCELLED])
def test_an_unsafe_request_that_may_have_run_fails_without_a_retry(gateway: Build, status: Status) -> None:
    front = gateway(kind={"effect": Effect.UNSAFE})
    send = front.admitted()
    front.outcome(send, status)
    front.run(4000)
    assert len(every(front.done, api.Send)) == 1
    assert not every(front.done, api.Refuse)
    assert len(every(front.done, api.Fail)) == 1


@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_an_unsafe_request_that_was_not_executed_is_sent_to_another_server(
    gateway: Build, status: Status
) -> None:
    front = gateway(kind={"effect": Effect.UNSAFE})
    send = front.admitted()
    assert only(front.outcome(send, status), api.Send).server != send.server


@pytest.mark.parametrize("group", [Group.ZONE, Group.CELL])
def test_keyed_repeat_stays_in_its_group_and_window(gateway: Build, group: Group) -> None:
    front = gateway(kind={"effect": Effect.KEYED, "group": group, "repeat_window": 1500.0})
    first = front.admitted()
    again = only(front.outcome(first, Status.ERROR), api.Send)
    assert again.server[-1] % 2 == first.server[-1] % 2
    front.now += 1500
    assert not every(front.outcome(again, Status.ERROR, attempt=1), api.Send)
    front.run(4000)
    assert not every(front.done, api.Refuse)


def test_one_attempt_at_a_time_without_parallel_attempts(gateway: Build) -> None:
    front = gateway(parallel_attempts=False)
    send = front.admitted()
    front.run(1200)
    cancel = every(front.done, api.Cancel)[0]
    assert len(every(front.done, api.Send)) == 1
    assert only(front.outcome(send, Status.CANCELLED, attempt=cancel.attempt), api.Send).server != send.server


def test_request_at_an_unresponsive_server_is_hedged(gateway: Build) -> None:
    front = gateway()
    first = front.admitted()
    front.run(600)
    assert {send.server for send in every(front.done, api.Send)} - {first.server}


def test_retries_keep_to_the_retry_budget(gateway: Build) -> None:
    front = gateway(plan={"rate": 1.0, "burst": 1000.0}, servers=20)
    for _ in range(200):
        send, attempt = front.admitted(0.0), 0
        while more := every(front.outcome(send, Status.ERROR, attempt), api.Send):
            send, attempt = more[0], attempt + 1
    assert len(every(front.done, api.Send)) <= 200 * (1 + EARNED_PER_REQUEST) + MAX_BALANCE


def test_a_streaming_response_is_not_hedged(gateway: Build) -> None:
    front = gateway()
    send = front.admitted()
    front.feed(api.StreamStarted(send.request, 0, send.server))
    front.run(8000)
    assert not every(front.done, api.Refuse)
    assert not every(front.done, api.Fail)
    assert not every(front.done, api.Cancel)


def test_events_of_an_ended_request_are_ignored(gateway: Build) -> None:
    front = gateway()
    send = front.admitted()
    front.outcome(send, Status.OK)
    assert front.outcome(send, Status.OK) == []
    assert front.feed(api.Withdrawn(send.request)) == []
    assert front.feed(api.StreamStarted(99, 0, send.server)) == []
    assert front.feed(api.ProbeResult(b"nobody", Status.OK, 1.0, ())) == []
    assert front.feed(api.PeerMessage(1, b"hi")) == []
