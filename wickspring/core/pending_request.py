"""A request that the reducer keeps: its attempts, and what the rules allow for it. No I/O, no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wickspring import interface as api
from wickspring.interface import Effect, Group


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    entry: api.ServerEntry
    sent_at: float  # ms


@dataclass(slots=True)
class PendingRequest:
    """A request that still waits for its final answer, or whose attempts are still in flight; times in ms."""

    request: api.Request
    request_class: api.ClassSettings
    call_id: str = ""
    sent: int = 0  # attempts so far
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by the attempt's number
    may_have_run: list[Attempt] = field(default_factory=list)  # those that have ended so
    answered: bool = False  # it has its final answer, or is owed none
    deadline: float = 0.0  # by when it is to be answered; infinite while its bytes are streamed
    body_committed: bool = False  # an attempt has taken what is not buffered of the body: no other can follow
    body_sent_at: float = 0.0  # when the last byte of a long body was written
    streaming_attempt: int | None = None  # the attempt whose answer is passed on
    streaming_since: float = 0.0

    @property
    def number(self) -> int:
        """The number of the request."""
        return self.request.request

    def first_exposed(self) -> Attempt | None:
        """Return the earliest attempt that may have run or may yet."""
        attempts = [*self.may_have_run, *self.in_flight.values()]
        return min(attempts, key=lambda attempt: attempt.sent_at, default=None)

    def may_refuse(self) -> bool:
        """Tell whether a refusal, which says that asking again is harmless, would be true."""
        kind = self.request_class
        if kind.effect is Effect.SAFE or not (self.may_have_run or self.in_flight):
            return True
        return kind.effect is Effect.KEYED and kind.group is Group.ALL

    def may_repeat_on(self, entry: api.ServerEntry, now: float, parallel_attempts: bool) -> bool:
        """Tell whether an attempt at a server is allowed, given those that may have run.

        The decision module keeps to the same rule; this is the check of it.
        """
        first, kind = self.first_exposed(), self.request_class
        if first is None:
            return True
        if self.in_flight and not parallel_attempts:
            return False
        if kind.effect is not Effect.KEYED:
            return kind.effect is Effect.SAFE
        if now > first.sent_at + kind.repeat_window:
            return False
        if kind.group is Group.ZONE:
            return entry.zone == first.entry.zone
        return kind.group is Group.ALL or entry.cell == first.entry.cell

    def start_streaming(self) -> bool:
        """Lift the deadline while bytes are streamed; tell whether it is the first stream."""
        self.deadline = math.inf
        return not self.body_committed

    def latency(self, attempt: Attempt, now: float) -> float:
        """Return an attempt's latency, ms: from the last byte of the body to the first of the answer."""
        answered_at = self.streaming_since or now
        return max(0.0, answered_at - max(attempt.sent_at, self.body_sent_at))
