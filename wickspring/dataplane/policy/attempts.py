"""The tries of one request: what may follow an outcome, and what the client is told in the end.

A request that may run once goes to a second server only where the first has said that it did not run it, or
where no byte of it can have been read. `never` says that of the request as a whole: without it, neither 429
nor 503 may be answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wickspring.common.errors import ErrorKind
from wickspring.common.routing_table import Route
from wickspring.core.invariants import holds

END_MS = 12.0  # before a deadline at which the final answer is given
WORTH_MS = 25.0  # of its time that must be left for a further try to make sense
HEDGE_TIMES, HEDGE_AIM = 2.6, 0.35  # usual answer times, and share of the aim, after which a pure request
# whose server is silent is also sent to another
HEDGE_LEFT = 2.0  # of the budget that only failures may take


class AttemptOutcome(Enum):
    """How a try ended."""

    ANSWERED = "answered"  # whole and sealed, whatever its status
    TURNED_AWAY = "turned_away"  # the server says that it has not run
    UNSENT = "unsent"  # no byte of it can have been read
    BROKEN = "broken"  # it may have run
    SILENT = "silent"  # its time was over

    @property
    def never(self) -> bool:
        """Tell whether the try has not run and never will."""
        return self in (AttemptOutcome.TURNED_AWAY, AttemptOutcome.UNSENT)


@dataclass(slots=True)
class Attempts:
    """What the decisions on one request rest on. Times are ms."""

    route: Route
    service: str
    begun: float
    until: float  # when the final answer is due
    tried: set[str] = field(default_factory=set)
    out: int = 0
    sent: int = 0
    never: bool = True  # none of its tries can have run
    timed_out: bool = False
    streamed: bool = False  # the part of its body that is not held has begun to go out
    ended: bool = False

    def may_send(self, now: float) -> bool:
        """Tell whether a further try is allowed by all but the budget."""
        if self.ended or self.streamed or self.sent >= self.route.tries or self.until - now < WORTH_MS:
            return False
        return self.route.pure or (self.never and self.out == 0)

    def begin(self, server: str) -> None:
        """Note a try as sent."""
        holds(self.route.pure or (self.never and self.out == 0), "what may run once is out once")
        holds(not self.streamed, "a body that is not held goes out once")
        self.tried.add(server)
        self.out += 1
        self.sent += 1

    def end(self, outcome: AttemptOutcome) -> None:
        """Note how a try ended."""
        holds(self.out > 0, "a try ends once")
        self.out -= 1
        self.never = self.never and outcome.never
        self.timed_out = self.timed_out or outcome is AttemptOutcome.SILENT

    def hedge_at(self, usual: float) -> float:
        """Return when a silent try of a pure request is to be followed by another."""
        return self.begun + max(HEDGE_TIMES * usual, HEDGE_AIM * 1000.0 * self.route.target_s)

    @property
    def verdict(self) -> ErrorKind:
        """Return what a request without a good answer ends with."""
        if self.never and self.out == 0:
            return ErrorKind.NO_SERVER
        return ErrorKind.TIMED_OUT if self.timed_out else ErrorKind.MAY_HAVE_RUN
