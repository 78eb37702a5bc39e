"""The reducer's events beside those of the decision module, and the effects that it asks for.

Probes, counts, timers and subscriptions to the server list are the module's own actions, passed on as they
are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wickspring import interface as api


class ResponseKind(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"  # its id is that of another request under way: nothing was done for it


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request, with the id that the client gave it."""

    request: api.Request
    call_id: str


@dataclass(slots=True, frozen=True)
class RequestBodyCommitted:
    """An attempt is about to take what is not buffered of a body: no other attempt can follow."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RequestBodySent:
    """The last byte of a long body has been written; the deadline counts from here."""

    request: int
    deadline: float


@dataclass(slots=True, frozen=True)
class ResponseStreamReady:
    """The buffer is full of a successful answer, the rest of which is to be streamed."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """One attempt has ended; `body` is the ticket server's with status OK alone."""

    request: int
    attempt: int
    status: api.Status
    load: tuple[float, ...] = ()
    body: bytes = b""
    settled_units: float = 0.0
    fleet_use: int = 0


@dataclass(slots=True, frozen=True)
class SweepDue:
    """Time to look for requests that were not answered before their deadline.

    `at` is a time (ms) by which all timers that were due have run; None: now. In a late turn of the event
    loop that is earlier than now, and requests whose own timers come next are not overdue.
    """

    at: float | None = None


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to a server; give up at the deadline."""

    request: int
    attempt: int
    server: api.ServerId
    deadline: float  # ms


@dataclass(slots=True, frozen=True)
class StopAttempt:
    """Stop waiting for an attempt; its end is not to be reported."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class StartStreamedResponse:
    """Begin the final answer with what is buffered of an attempt's, and stream the rest."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class EndStreamedResponse:
    """The streamed answer has ended, complete or not; the client must see which."""

    request: int
    complete: bool


@dataclass(slots=True, frozen=True)
class SendResponse:
    """Give the client its final answer."""

    request: int
    kind: ResponseKind
    retry_after: float = 0.0
    body: bytes = b""


Event = (
    api.Event
    | RequestArrived
    | RequestBodyCommitted
    | RequestBodySent
    | ResponseStreamReady
    | AttemptEnded
    | SweepDue
)
Effect = (
    StartAttempt
    | StopAttempt
    | StartStreamedResponse
    | EndStreamedResponse
    | SendResponse
    | api.SetTimer
    | api.Probe
    | api.Count
    | api.FollowList
)
