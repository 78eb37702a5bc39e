"""What clients, ticket servers and discovery observed during a run. Times are ms of the run."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import trio

from wickspring.lab.traffic.schedule import ScheduledRequest

STATUS_SERVED = 200
STATUSES_REFUSED = (429, 503)


class Outcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Answer(NamedTuple):
    """An answer as its client received it."""

    at: float
    status: int
    body: bytes


class ServerEvent(NamedTuple):
    """Something that happened at a ticket server."""

    at: float
    server: str


@dataclass(slots=True)
class Arrival:
    """A request as it reached a ticket server."""

    server: str
    hall: int
    call_id: str
    first_byte_at: float
    received_at: float  # when its last byte was in the kernel
    reused: bool  # its connection had been used before
    started: bool = False  # the server began to work on it
    answered: bool = False
    cell: int = 0
    overlaps: bool = False  # an earlier attempt was still in flight, on an open connection


class InFlightAttempt(NamedTuple):
    """An attempt that a ticket server has received, and its connection."""

    arrival: Arrival
    sock: trio.socket.SocketType


@dataclass(slots=True)
class ClientRequest:
    """A request as its client observed it."""

    scheduled: ScheduledRequest
    sent_at: float = -1.0  # when its last byte was written; -1: never
    answers: list[Answer] = field(default_factory=list)
    broken_at: float = -1.0  # when the connection ended without an answer; -1: it did not
    retry_of: int = -1  # number of the request that its client retries by it; -1: none
    retry_after_ms: float = -1.0  # that the answer asked for; -1: it did not
    ingress: int = -1  # the one that it was sent to

    @property
    def outcome(self) -> Outcome:
        """Return how it ended for its client."""
        status = self.answers[0].status if self.answers else 0
        if status == STATUS_SERVED:
            return Outcome.SERVED
        return Outcome.REFUSED if status in STATUSES_REFUSED else Outcome.FAILED


@dataclass(slots=True)
class Announcement:
    """A server's state that discovery announced to an ingress, and when."""

    ingress: int
    server: str
    state: str
    at: float


@dataclass(slots=True)
class ColdLoad:
    """Work sent to a server that was not warm: when, how much, and its capacity at that time."""

    server: str
    at: float
    work_ms: float
    capacity: float  # ms of work per ms


@dataclass(slots=True)
class Outage:
    """A time in which an ingress was killed or suspended."""

    ingress: int
    since: float
    until: float = math.inf


@dataclass
class Record:
    """All that was observed in one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    cold_loads: list[ColdLoad] = field(default_factory=list)
    served_bodies: dict[str, set[bytes]] = field(default_factory=dict)  # that servers sent, by call id
    dials: list[ServerEvent] = field(default_factory=list)  # connections that were established
    ends: list[ServerEvent] = field(default_factory=list)  # connections that ended
    dead_writes: list[ServerEvent] = field(default_factory=list)  # requests written to a closing connection
    counters: Counter[str] = field(default_factory=Counter)
    overloaded: list[str] = field(default_factory=list)  # cold servers that went down under their load
    in_flight: dict[str, list[InFlightAttempt]] = field(default_factory=dict)  # by call id
    outages: list[Outage] = field(default_factory=list)
    unread_longest_ms: float = 0.0  # that a response lay unread in the kernel before its client
    unknown_requests: list[str] = field(default_factory=list)  # that no client sent: sender, use and content

    def was_interrupted(self, ingress: int, sent_at: float, ended_at: float) -> bool:
        """Tell whether a request's ingress went down before its end, or was down when it was sent.

        `ended_at` is negative for a request that has not ended.
        """
        return any(
            sent_at <= outage.until and (ended_at < 0 or ended_at >= outage.since)
            for outage in self.outages
            if outage.ingress == ingress
        )
