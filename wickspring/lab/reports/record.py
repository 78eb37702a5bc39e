"""What clients, ticket servers and discovery saw during a run. Times are ms of the run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import trio

from wickspring.lab.traffic.schedule import ScheduledRequest


@dataclass(slots=True)
class Arrival:
    """A request as it reached a ticket server."""

    server: str
    hall: int
    call_id: str
    first_byte: float
    whole: float
    reused: bool
    ran: bool = False  # it was begun
    answered: bool = False
    cell: int = 0
    beside: bool = False  # an earlier attempt was still out, on an open connection


@dataclass(slots=True)
class Asked:
    """A request as its client saw it."""

    plan: ScheduledRequest
    sent: float = -1.0  # its last byte written; -1: never
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)  # time, status, body
    broken: float = -1.0  # the connection ended without an answer
    resent: bool = False
    retry_of: int = -1
    advice_ms: float = -1.0
    place: int = -1  # the ingress it came to

    @property
    def outcome(self) -> str:
        """Name how it ended for its client: served, refused or failed."""
        status = self.answers[0][1] if self.answers else 0
        return "served" if status == 200 else "refused" if status in (429, 503) else "failed"


@dataclass(slots=True)
class Told:
    """What discovery told an ingress of a server, and when."""

    ingress: int
    server: str
    state: str
    at: float


@dataclass(slots=True)
class Load:
    """Work sent to a server that was not warm: when, how much, and what it could do at that time."""

    server: str
    at: float
    work_ms: float
    capacity: float  # ms of work a ms


@dataclass
class Record:
    """All that was seen."""

    asked: list[Asked] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    cold: list[Load] = field(default_factory=list)
    made: dict[str, set[bytes]] = field(default_factory=dict)  # bodies that servers made, by call id
    dials: list[tuple[float, str]] = field(default_factory=list)  # connections that came up, by server
    ends: list[tuple[float, str]] = field(default_factory=list)  # connections that ended
    dead_writes: list[tuple[float, str]] = field(default_factory=list)  # written to what was closing
    counted: Counter[str] = field(default_factory=Counter)
    fallen: list[str] = field(default_factory=list)
    out: dict[str, list[trio.socket.SocketType]] = field(default_factory=dict)  # attempts out, by call id
    down: list[list[float]] = field(default_factory=list)  # ingresses killed: which, from when until when

    def killed(self, place: int, sent: float, broken: float) -> bool:
        """Tell whether a request's ingress was killed before the answer, or down when it was sent."""
        spans = [(since, until) for one, since, until in self.down if one == place]
        return any(sent <= until and (broken < 0 or broken >= since) for since, until in spans)
