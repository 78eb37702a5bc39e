"""Failure reports of peers: how they are weighed, and the servers that are avoided because of them."""

from __future__ import annotations

from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.peer_state.judgements import (
    HEARSAY_MS,
    OWN_EVIDENCE_MS,
    FailingServer,
    FailureReport,
    Judge,
    Witness,
    weigh,
)
from wickspring.policy import Policy

STARTED = {f"s{number}": 0.0 for number in range(10)}


def witness(number: int, *servers: str, failures: int = 1, tried: int = 8, age: float = 100.0) -> Witness:
    failing = tuple(FailingServer(server, 0.0, failures) for server in servers)
    return Witness(f"n{number}", f"hall-{number % 3}", FailureReport(failing, tried), age)


def avoided(
    *witnesses: Witness, judge: Judge | None = None, started: dict[str, float] = STARTED
) -> list[str]:
    return list((judge or Judge()).avoid(1e6, witnesses, started, 3, 0.34))


def test_a_server_is_avoided_on_three_recent_reports_from_two_halls() -> None:
    assert avoided(*(witness(number, "s1") for number in range(3))) == ["s1"]
    assert avoided(*(witness(number, "s1", failures=9) for number in range(2))) == []
    assert avoided(*(witness(3 * number, "s1", failures=9) for number in range(5))) == []
    assert avoided(*(witness(number, "s1", age=HEARSAY_MS) for number in range(5))) == []


def test_false_reports_exclude_no_more_than_the_maximum_share() -> None:
    every = [f"s{number}" for number in range(8)]
    assert avoided(witness(1, *every, failures=9, tried=1000)) == []
    false_witnesses = [witness(number, *every, failures=9, tried=1000) for number in range(6)]
    assert len(avoided(*false_witnesses)) == 3
    assert weigh(witness(1, *every, tried=9)) == 0.0  # every server it tried failed: it is partitioned itself
    assert avoided(*(witness(number, *every, failures=9, tried=9) for number in range(6))) == []


def test_own_responses_override_reports_and_a_server_restart_voids_them() -> None:
    three = [witness(number, "s1", failures=3) for number in range(3)]
    judge = Judge()
    judge.record(1e6 - 10.0, "s1", 0.0, good=True)
    assert avoided(*three, judge=judge) == []
    judge.record(1e6 - 5.0, "s1", 0.0, good=False)  # earlier own responses still take precedence
    assert avoided(*three, judge=judge) == []
    late = Judge()
    late.record(1e6 - OWN_EVIDENCE_MS, "s1", 0.0, good=True)
    assert avoided(*three, judge=late) == ["s1"]
    assert avoided(*three, started={**STARTED, "s1": 5.0}) == []
    assert judge.report(1e6).failing == (FailingServer("s1", 0.0, 1),)
    judge.record(1e6, "s1", 0.0, good=True)
    assert judge.report(1e6) == FailureReport()


def test_the_policy_avoids_reported_servers_while_another_is_available() -> None:
    policy = Policy(make_settings(gateways=1, may_count=False))
    every = [bytes([number]) for number in range(4)]
    entries = tuple(api.ServerEntry(one, 0, 0, api.Readiness.READY, 1.0, 0.0) for one in every)
    policy.handle(0.0, api.ServerList(api.ListKind.COMPLETE, entries))
    policy.handle(0.0, api.Avoid(((b"\x00", 1000.0), (b"nobody", 1000.0))))

    def chosen(now: float, number: int) -> set[bytes]:
        found = set()
        for one in range(number, number + 30):
            for act in policy.handle(now, api.Request(one, 0, 0, one, now + 4000.0, 1.0, 1, 0)):
                if isinstance(act, api.Send):
                    found.add(act.server)
                    end = api.Outcome(one, 0, act.server, api.Status.OK, True, 1.0, (), 0.0, 0)
                    policy.handle(now, end)
        return found

    assert chosen(10.0, 1) == set(every[1:])
    assert chosen(1001.0, 100) == set(every)
    policy.handle(2000.0, api.Avoid(tuple((one, 3000.0) for one in every)))
    assert chosen(2001.0, 200)  # reports never exclude the last server
