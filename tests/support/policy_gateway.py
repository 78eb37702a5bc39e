"""Small helpers that feed events to one `Policy` and keep what it did."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from wickspring import interface as api
from wickspring.policy import Policy
from wickspring.routing.server_table import Server

A = TypeVar("A")
STEP = 20.0
PLAN = api.PlanSettings(
    rate=0.002,
    burst=8.0,
    max_in_flight=0,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    ceiling_slack=0.0,
    price=1.0,
    over_quota_value=0.0,
    over_quota_cost=1.0,
)
KIND = api.ClassSettings(
    effect=api.Effect.SAFE,
    group=api.Group.ALL,
    repeat_window=5000.0,
    target_latency=1000.0,
    deadline=4000.0,
    value=1.0,
    late_value=0.0,
    stream=False,
)


def make_settings(
    kind: dict[str, Any] | None = None, plan: dict[str, Any] | None = None, **changes: Any
) -> api.Settings:
    settings = api.Settings(
        seed=1,
        own_number=0,
        gateways=2,
        zone=0,
        classes=(replace(KIND, **(kind or {})),),
        plans=(replace(PLAN, **(plan or {})),),
        may_count=True,
        count_timeout=50.0,
        largest_units=4.0,
        settles_later=False,
        meter_period=0.0,
        may_probe=True,
        may_cancel=True,
        parallel_attempts=True,
        max_attempts=4,
        list_on_request=False,
        list_ask_within=10000.0,
        answer_slack=8.0,
        drain_grace=1000.0,
        cold_capacity=0.2,
        cold_time=10000.0,
        overload_factor=2.5,
        overload_time=2000.0,
        tick=2.0,
        load_fields=("concurrent",),
    )
    return replace(settings, **changes)


class Gateway:
    """One policy with a clock of the test's own."""

    def __init__(self, settings: api.Settings) -> None:
        self.policy = Policy(settings)
        self.now = 1_000_000.0
        self.done: list[api.Action] = []
        self.next_id = 1

    @property
    def subset(self) -> list[Server]:
        """The servers that this gateway uses by its aperture."""
        return self.policy.server_table.subset

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = self.policy.handle(self.now, event)
        self.done += actions
        return actions

    def run(self, span: float) -> list[api.Action]:
        actions = []
        for _ in range(int(span / STEP)):
            self.now += STEP
            actions += self.feed(api.TimerFired(self.policy.timer_token))
        return actions

    @staticmethod
    def entry(number: int, **changes: Any) -> api.ServerEntry:
        address, half = number.to_bytes(6, "big"), number % 2
        entry = api.ServerEntry(address, half, half, api.Readiness.READY, 1.0, 0.0)
        return replace(entry, **changes)

    def list_servers(self, *entries: api.ServerEntry, kind: api.ListKind = api.ListKind.COMPLETE) -> None:
        self.feed(api.ServerList(kind, entries))

    def request(self, units: float = 1.0, customer: int = 7, deadline: float = 4000.0) -> list[api.Action]:
        number, self.next_id = self.next_id, self.next_id + 1
        return self.feed(api.Request(number, 0, 0, customer, self.now + deadline, units, 2, 0))

    def count(self, name: int, total: float, status: api.Status = api.Status.OK) -> list[api.Action]:
        return self.feed(api.CountAnswer(name, status, total, 2.0))

    def admitted(self, total: float = 1.0, units: float = 1.0, **more: Any) -> api.Send:
        """Have a request admitted by the counter and return its first attempt."""
        name = only(self.request(units, **more), api.Count).name
        return only(self.count(name, total), api.Send)

    def outcome(
        self, send: api.Send, status: api.Status, attempt: int = 0, elapsed: float = 100.0
    ) -> list[api.Action]:
        over = status is api.Status.OK
        return self.feed(api.Outcome(send.request, attempt, send.server, status, over, elapsed, (), 0.0, 0))


def every(actions: list[api.Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def only(actions: list[api.Action], kind: type[A]) -> A:
    found = every(actions, kind)
    assert len(found) == 1, actions
    return found[0]
