"""The reducer enforces the rules of answers on any actions of the policy."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.support.policy_gateway import KIND, Gateway, make_settings
from wickspring import interface as api
from wickspring.config import ListedServer, Listing
from wickspring.core import effects as core
from wickspring.core import invariants
from wickspring.core.reducer import OVERDUE_MS, Reducer
from wickspring.interface import Effect, Group, Status
from wickspring.net.discovery import Directory

S = [Gateway.entry(n).server for n in range(4)]


@pytest.fixture(autouse=True)
def count_broken_invariants(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Count broken invariants as `python -O` does, so that the code after a failed check runs."""

    def check_invariant(condition: bool, name: str) -> bool:
        if not condition:
            invariants.broken[name] += 1
        return condition

    monkeypatch.setattr("wickspring.core.reducer.check_invariant", check_invariant)
    invariants.broken.clear()
    yield
    invariants.broken.clear()


class ScriptedReducer:
    """A reducer whose policy returns the actions that the test gives."""

    def __init__(self, **kind: Any) -> None:
        self.reducer = Reducer(make_settings(kind=kind))
        self.pending_actions: list[list[api.Action]] = []
        self.events: list[api.Event] = []
        self.now = 1000.0
        self.reducer.policy.handle = self.handle  # type: ignore[method-assign]
        self.feed(api.ServerList(api.ListKind.COMPLETE, tuple(Gateway.entry(n) for n in range(4))))

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.pending_actions.pop(0) if self.pending_actions else []

    def feed(self, event: core.Event, *actions: list[api.Action]) -> list[core.Effect]:
        self.pending_actions = list(actions)
        return self.reducer.reduce(self.now, event)

    def request(self, *actions: api.Action) -> list[core.Effect]:
        return self.feed(api.Request(1, 0, 0, 7, 4000.0, 1.0, 2, 0), list(actions))


def send(server: int) -> api.Send:
    return api.Send(1, S[server], 0.0)


def ended(status: Status, attempt: int = 0, body: bytes = b"") -> core.AttemptEnded:
    return core.AttemptEnded(1, attempt, status, body=body)


def test_a_request_is_sent_and_answered() -> None:
    front = ScriptedReducer()
    assert front.request(send(0)) == [core.StartAttempt(1, 0, S[0], 4000.0)]
    front.now += 50
    assert front.feed(ended(Status.OK, body=b"x")) == [
        core.SendResponse(1, core.ResponseKind.SERVED, 0.0, b"x")
    ]
    outcome = front.events[-1]
    assert isinstance(outcome, api.Outcome)
    assert (outcome.over, outcome.elapsed, outcome.server) == (True, 50.0, S[0])
    assert front.reducer.pending == {}
    assert not invariants.broken


def test_a_second_response_is_not_forwarded() -> None:
    front = ScriptedReducer()
    front.request(send(0), send(1), api.Refuse(1, 5.0))
    assert front.feed(ended(Status.OK), [api.Fail(1), api.Refuse(1, 1.0)]) == []
    assert front.feed(ended(Status.OK, 1)) == []
    assert front.reducer.counters["refused"] == 1


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected(status: Status) -> None:
    front = ScriptedReducer(effect=Effect.UNSAFE)
    front.request(send(0))
    effects = front.feed(ended(status), [send(1)], [api.Refuse(1, 5.0)])
    assert effects == [core.SendResponse(1, core.ResponseKind.FAILED)]
    assert set(invariants.broken) == {"no forbidden copy", "refusal of what never ran"}
    moot = front.events[-1]
    assert isinstance(moot, api.Outcome)
    assert moot.status is Status.MOOT


@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_an_unsafe_request_that_was_not_executed_is_retried(status: Status) -> None:
    front = ScriptedReducer(effect=Effect.UNSAFE)
    front.request(send(0))
    assert front.feed(ended(status), [send(1)]) == [core.StartAttempt(1, 1, S[1], 4000.0)]
    assert not invariants.broken


@pytest.mark.parametrize(
    ("group", "server", "later", "allowed"),
    [
        (Group.ZONE, 2, 0, True),
        (Group.ZONE, 1, 0, False),
        (Group.ZONE, 2, 6000, False),
        (Group.ALL, 1, 0, True),
        (Group.CELL, 1, 0, False),
    ],
)
def test_a_keyed_request_is_retried_in_its_group_and_window_only(
    group: Group, server: int, later: float, allowed: bool
) -> None:
    front = ScriptedReducer(effect=Effect.KEYED, group=group)
    front.request(send(0))
    front.now += later
    effects = front.feed(ended(Status.ERROR), [send(server)])
    assert bool(effects) == allowed
    assert bool(invariants.broken) != allowed


def test_a_draining_server_gets_no_new_request() -> None:
    front = ScriptedReducer()
    draining = Gateway.entry(0, readiness=api.Readiness.DRAINING)
    front.feed(api.ServerList(api.ListKind.CHANGES, (draining,)))
    assert front.request(send(0)) == []
    assert invariants.broken["nothing new to a draining server"] == 1


def test_removed_servers_are_discarded_with_their_addresses() -> None:
    front, directory = ScriptedReducer(), Directory(("hall-a",))
    for number in range(50):
        for state in ("up", "removed"):
            one = ListedServer(f"s{number}", "127.0.0.1:9", "hall-a", state=state)
            front.feed(directory.apply(Listing(number, False, (one,))))
    assert len(front.reducer.entries) == 4
    assert directory.addresses == {}
    directory.apply(Listing(60, False, (ListedServer("old", "127.0.0.1:9"),)))
    directory.apply(Listing(61, True, (ListedServer("new", "127.0.0.1:9"),)))
    assert list(directory.addresses) == [b"new"]


def test_cancel_ends_an_attempt_once() -> None:
    front = ScriptedReducer()
    front.request(send(0))
    assert front.feed(api.TimerFired(1), [api.Cancel(1, 0), api.Cancel(1, 0)]) == [core.StopAttempt(1, 0)]
    event_count = len(front.events)
    assert front.feed(ended(Status.OK)) == []  # it came as it was being called off
    assert len(front.events) == event_count


def test_a_cancelled_request_ends_its_attempts_and_gets_no_response() -> None:
    front = ScriptedReducer()
    front.request(send(0))
    assert front.feed(api.Withdrawn(1), [api.Cancel(1, 0)]) == [core.StopAttempt(1, 0)]
    assert front.feed(api.Withdrawn(1), [api.Fail(1)]) == []
    assert front.reducer.pending == {}
    assert front.reducer.counters == {"taken": 1, "attempts": 1, "withdrawn": 1}


def test_unsafe_request_sent_again_under_its_id_does_not_run_twice() -> None:
    front = ScriptedReducer(effect=Effect.UNSAFE)
    front.feed(core.RequestArrived(api.Request(1, 0, 0, 7, 4000.0, 1.0, 2, 0), "id"), [send(0)])
    front.feed(api.Withdrawn(1), [api.Cancel(1, 0)])
    event_count = len(front.events)
    again = core.RequestArrived(api.Request(2, 0, 0, 7, 4000.0, 1.0, 2, 0), "id")
    assert front.feed(again, [api.Send(2, S[1], 0.0)]) == [core.SendResponse(2, core.ResponseKind.FAILED)]
    assert len(front.events) == event_count  # it takes nothing from the quota either
    front.now += 10_000
    front.feed(core.SweepDue())
    late = core.RequestArrived(api.Request(3, 0, 0, 7, 20_000.0, 1.0, 2, 0), "id")
    assert front.feed(late, [api.Send(3, S[1], 0.0)]) == [core.StartAttempt(3, 0, S[1], 20_000.0)]


def test_the_sweep_fails_requests_that_the_policy_left_unanswered() -> None:
    front = ScriptedReducer()
    front.request()
    assert front.feed(core.SweepDue()) == []
    front.now = 4000.0 - OVERDUE_MS + 1
    assert front.feed(core.SweepDue()) == [core.SendResponse(1, core.ResponseKind.FAILED)]
    assert front.feed(core.SweepDue()) == []
    assert invariants.broken["answered before the deadline"] == 1


def test_a_late_sweep_leaves_requests_whose_own_timers_come_next() -> None:
    """Runs beside busy processes counted requests as unanswered whose timers were due in the same turn."""
    front = ScriptedReducer()
    front.request()
    front.now = 4500.0
    assert front.feed(core.SweepDue(at=4000.0 - OVERDUE_MS)) == []
    assert invariants.broken["answered before the deadline"] == 0
    overdue = core.SweepDue(at=4000.0 - OVERDUE_MS + 1)
    assert front.feed(overdue) == [core.SendResponse(1, core.ResponseKind.FAILED)]


def test_invariants_are_asserted_in_debug_builds() -> None:
    assert invariants.check_invariant(True, "fine")
    with pytest.raises(AssertionError, match="not fine"):
        invariants.check_invariant(False, "not fine")
    assert KIND.effect is Effect.SAFE
