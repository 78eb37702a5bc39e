from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.support.policy_gateway import Gateway, every, only
from wickspring import interface as api
from wickspring.interface import ListKind, Readiness, Status

Build = Callable[..., Gateway]


@pytest.mark.parametrize("state", [Readiness.DRAINING, Readiness.GONE])
def test_a_draining_server_gets_no_new_request(gateway: Build, state: Readiness) -> None:
    front = gateway()
    front.list_servers(front.entry(0, readiness=state), kind=ListKind.CHANGES)
    sent = [front.admitted(0.0, customer=n).server for n in range(10)]
    assert front.entry(0).server not in sent


def test_server_missing_from_a_complete_list_gets_nothing(gateway: Build) -> None:
    front = gateway()
    front.list_servers(front.entry(1))
    assert {front.admitted(0.0, customer=n).server for n in range(3)} == {front.entry(1).server}


def test_failed_list_keeps_the_old_one_and_asks_again(gateway: Build) -> None:
    front = gateway(list_on_request=True)
    assert len(every(front.done, api.FollowList)) == 1
    front.list_servers(kind=ListKind.FAILED)
    front.admitted()
    front.run(1500)
    assert len(every(front.done, api.FollowList)) == 2


def test_cold_server_gets_no_more_than_its_budget(gateway: Build) -> None:
    front = gateway(servers=6, plan={"rate": 1.0, "burst": 1000.0})
    front.list_servers(front.entry(5, started_at=front.now), kind=ListKind.CHANGES)
    sent = []
    for number in range(200):
        send = front.admitted(0.0, customer=number)
        sent.append(send.server)
        front.outcome(send, Status.OK)
        front.run(20)
    span = sent[:100]  # 2 s
    assert span.count(front.entry(5).server) <= 0.2 * 2.5 * 100 / 5


def test_failing_server_is_ejected_and_tried_with_one_request(gateway: Build) -> None:
    front = gateway(servers=4, max_attempts=1, may_probe=False)
    bad = front.entry(0).server
    for number in range(40):
        send = front.admitted(0.0, customer=number)
        front.outcome(send, Status.ERROR if send.server == bad else Status.OK)
    assert sum(send.server == bad for send in every(front.done, api.Send)) <= 4
    front.run(1200)
    late = [front.admitted(0.0, customer=100 + n).server for n in range(8)]
    assert late.count(bad) <= 1


def test_ejected_servers_are_used_where_all_are_ejected(gateway: Build) -> None:
    front = gateway(servers=2, max_attempts=1)
    for number in range(12):
        front.outcome(front.admitted(0.0, customer=number), Status.ERROR)
    assert only(front.count(only(front.request(customer=99), api.Count).name, 1.0), api.Send)


def test_server_is_probed_only_while_an_attempt_is_unanswered(gateway: Build) -> None:
    front = gateway(servers=2, parallel_attempts=False)
    send = front.admitted()
    front.feed(api.Outcome(send.request, 0, send.server, Status.OK, True, 90.0, (1.0,), 0.0, 0))
    assert not every(front.run(2000), api.Probe)
    front.admitted(1.0, customer=8)
    assert every(front.run(500), api.Probe)


def test_requests_go_on_when_all_servers_are_suspected(gateway: Build) -> None:
    front = gateway(servers=4)
    front.run(1200)  # probes go unanswered everywhere
    sent = [front.admitted(0.0, customer=n).server for n in range(8)]
    assert len(sent) == 8
