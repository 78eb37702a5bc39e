"""The rules over random orders of events, legal but odd."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.policy_gateway import Gateway, make_settings
from wickspring import interface as api
from wickspring.interface import Effect, Group, Status

KINDS = ["request", "outcome", "count", "time", "list"]
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 10**6)))
ODD: st.SearchStrategy[dict[str, Any]] = st.fixed_dictionaries(
    {
        "kind": st.fixed_dictionaries(
            {"effect": st.sampled_from(list(Effect)), "group": st.sampled_from(list(Group))}
        ),
        "plan": st.sampled_from(
            [
                {},
                {"rate": 1e-6, "burst": 1.0},
                {"rate": 10.0, "burst": 1e6},
                {"rate": 0.0, "max_in_flight": 1},
                {"ceiling_rate": 0.001, "ceiling_burst": 10.0, "ceiling_slack": 4.0},
            ]
        ),
        "gateways": st.sampled_from([1, 2, 50]),
        "largest_units": st.sampled_from([1.0, 100.0]),
        "may_count": st.booleans(),
        "may_probe": st.booleans(),
        "may_cancel": st.booleans(),
        "parallel_attempts": st.booleans(),
        "load_fields": st.sampled_from([(), ("concurrent",), ("depth", "tps")]),
    }
)


class Checker:
    """Plays the outside and checks each action as it comes."""

    def __init__(self, changes: dict[str, Any]) -> None:
        self.settings = make_settings(**changes)
        self.front = Gateway(self.settings)
        self.owed: dict[int, float] = {}
        self.sends: dict[int, list[api.ServerId]] = {}
        self.first_at: dict[int, float] = {}
        self.open: list[tuple[int, int]] = []
        self.ran: dict[int, list[api.ServerId]] = {}
        self.calls: list[int] = []
        self.gone: dict[api.ServerId, bool] = {}
        self.units = 0.0

    def do(self, event: api.Event) -> None:
        kind = self.settings.classes[0]
        for action in self.front.feed(event):
            if isinstance(action, api.Count):
                assert self.settings.may_count
                self.calls.append(action.name)
            elif isinstance(action, api.Probe):
                assert self.settings.may_probe
            elif isinstance(action, api.Cancel):
                assert self.settings.may_cancel
            elif isinstance(action, api.Send):
                number = action.request
                assert number in self.owed
                assert not self.gone[action.server]
                out = [attempt for attempt in self.open if attempt[0] == number]
                assert self.settings.parallel_attempts or not out
                maybe = self.ran.get(number, []) + [self.sends[n][a] for n, a in out]
                if maybe and kind.effect is Effect.UNSAFE:
                    raise AssertionError("unsafe repeated")
                if maybe and kind.effect is Effect.KEYED and kind.group is not Group.ALL:
                    assert {server[-1] % 2 for server in maybe} == {action.server[-1] % 2}
                if number not in self.sends:
                    self.units += 1.0
                self.sends.setdefault(number, []).append(action.server)
                self.open.append((number, len(self.sends[number]) - 1))
            elif isinstance(action, api.Refuse | api.Fail):
                assert self.front.now < self.owed.pop(action.request) + self.settings.answer_slack
                maybe_ran = action.request in self.ran or any(n == action.request for n, _ in self.open)
                if isinstance(action, api.Refuse) and maybe_ran and kind.effect is not Effect.SAFE:
                    assert kind.effect is Effect.KEYED
                    assert kind.group is Group.ALL

    def step(self, what: str, number: int) -> None:
        front = self.front
        if what == "request":
            deadline = front.now + number % 4000
            self.owed[front.next_id] = deadline
            self.do(api.Request(front.next_id, 0, 0, number % 3, deadline, 1.0, 1 + number % 4, 0))
            front.next_id += 1
        elif what == "time":
            for _ in range(1 + number % 40):
                front.now += 20.0
                self.do(api.TimerFired(front.policy.timer_token))
        elif what == "count" and self.calls:
            status = (Status.OK, Status.OK, Status.FULL, Status.TIMEOUT)[number % 4]
            self.do(api.CountAnswer(self.calls.pop(0), status, float(number % 9), 2.0))
        elif what == "list":
            state = list(api.Readiness)[number % 3]
            entry = front.entry(number % 5, readiness=state, started_at=front.now * (number % 2))
            self.gone[entry.server] = state is not api.Readiness.READY
            self.do(api.ServerList(api.ListKind.CHANGES, (entry,)))
        elif what == "outcome" and self.open:
            request, attempt = self.open.pop(number % len(self.open))
            status = list(Status)[number % len(Status)]
            server = self.sends[request][attempt]
            ends = status is Status.OK and request in self.owed
            if ends:
                del self.owed[request]
            if not status.never_ran:
                self.ran.setdefault(request, []).append(server)
            over = request not in self.owed
            self.do(api.Outcome(request, attempt, server, status, over, 50.0, (1.0,), 0.0, 0))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(changes=ODD, steps=STEPS)
def test_rules_hold_over_any_order_of_events(changes: dict[str, Any], steps: list[tuple[str, int]]) -> None:
    checker = Checker(changes)
    for number in range(3):
        checker.step("list", number * 3)
    for what, number in steps:
        checker.step(what, number)
    for _ in range(6):
        checker.step("time", 39)
    assert not checker.owed, "a request was left without a final answer"


@settings(derandomize=True, max_examples=30, deadline=None)
@given(changes=ODD, steps=STEPS)
def test_same_events_give_the_same_actions(changes: dict[str, Any], steps: list[tuple[str, int]]) -> None:
    runs = [Checker(changes), Checker(changes)]
    for checker in runs:
        checker.step("list", 0)
        for what, number in steps:
            checker.step(what, number)
    assert runs[0].front.done == runs[1].front.done
