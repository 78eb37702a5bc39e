"""The attempts of one request: when a further one is allowed, and the error that it may end with.

A request that may be executed only once goes to a second endpoint only where the first says that it did not
execute it, or where no byte of it can have been read. `Attempts.not_executed` says so of the whole request:
without it, neither 429 nor 503 may be returned (`docs/design/answers.md`). No I/O; times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wickspring.common.errors import ErrorKind
from wickspring.common.routes import Route
from wickspring.core.invariants import check_invariant

FINAL_RESPONSE_MARGIN_MS = 12.0  # before a client's deadline, at which the final response is sent
MIN_ATTEMPT_MS = 25.0  # that must be left before the deadline for a further attempt to be of use
HEDGE_TYPICAL_FACTOR = 2.6  # multiple of a route's typical latency after which an attempt is hedged
HEDGE_TARGET_SHARE = 0.35  # share of a route's target latency before which no attempt is hedged
HEDGE_BUDGET_RESERVE = 2.0  # attempts of the retry budget that hedging leaves to real failures


class AttemptOutcome(Enum):
    """How an attempt ended. The values are part of the names of counters in the log."""

    ANSWERED = "answered"  # a complete response of the endpoint's own, of any status
    REJECTED = "turned_away"  # the endpoint says that it has not executed the request
    UNSENT = "unsent"  # no byte of the request can have been read
    BROKEN = "broken"  # the request may have been executed
    TIMED_OUT = "silent"  # no response before the deadline
    CANCELLED = "cancelled"  # ended by the data plane, since its client has left; it may have been executed

    @property
    def not_executed(self) -> bool:
        """Whether the attempt has not been executed and never will be."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.UNSENT)


@dataclass(slots=True)
class Attempts:
    """The attempts of one request so far. Times are milliseconds."""

    route: Route
    service: str
    started_at: float
    deadline: float  # when the final response is due
    tried: set[str] = field(default_factory=set)  # endpoint ids
    in_flight: int = 0
    sent: int = 0
    not_executed: bool = True  # no attempt can have been executed
    timed_out: bool = False
    body_streamed: bool = False  # the part of the body that is not buffered has begun to go out
    client_left: bool = False  # nobody waits for the response
    ended: bool = False

    def may_send(self, now: float) -> bool:
        """Return whether a further attempt is allowed by everything but the retry budget."""
        exhausted = self.sent >= self.route.max_attempts or self.deadline - now < MIN_ATTEMPT_MS
        if self.ended or self.client_left or self.body_streamed or exhausted:
            return False
        return self._is_safe_to_send

    @property
    def _is_safe_to_send(self) -> bool:
        return self.route.idempotent or (self.not_executed and self.in_flight == 0)

    def start(self, endpoint_id: str) -> None:
        """Record an attempt as sent."""
        check_invariant(self._is_safe_to_send, "a request that is not idempotent has one attempt in flight")
        check_invariant(not self.body_streamed, "a streamed body is sent once")
        self.tried.add(endpoint_id)
        self.in_flight += 1
        self.sent += 1

    def finish(self, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended."""
        check_invariant(self.in_flight > 0, "an attempt ends once")
        self.in_flight -= 1
        self.not_executed = self.not_executed and outcome.not_executed
        self.timed_out = self.timed_out or outcome is AttemptOutcome.TIMED_OUT

    def hedge_at(self, typical_ms: float) -> float:
        """Return when an unanswered attempt of an idempotent request is followed by another."""
        earliest_ms = HEDGE_TARGET_SHARE * 1000.0 * self.route.target_s
        return self.started_at + max(HEDGE_TYPICAL_FACTOR * typical_ms, earliest_ms)

    @property
    def final_error(self) -> ErrorKind:
        """The error that a request without a good response ends with."""
        if self.not_executed and self.in_flight == 0:
            return ErrorKind.NO_SERVER
        return ErrorKind.TIMED_OUT if self.timed_out else ErrorKind.MAY_HAVE_RUN
