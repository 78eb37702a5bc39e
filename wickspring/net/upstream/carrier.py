"""A job, its reply, and what a connection of either protocol is to the pools.

A job is one exchange with a ticket server, an attempt or a probe. It ends once, with one of the outcomes
of the protocol's table. Nothing here ever sends a job a second time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from wickspring.connections.model import ConnectionRequest
from wickspring.interface import Status
from wickspring.net.body_stream import BodyStream
from wickspring.net.timers import Timer

MOST_ANSWER = 64 * 1024  # bytes of an answer that are held; a longer one is passed on as it comes


class Sink(Protocol):
    """Where a long answer goes as it comes."""

    def write_body(self, data: bytes) -> None:
        """Pass on a piece."""

    async def wait_writable(self) -> bool:
        """Wait until the client has read what was passed on; False where it has gone."""


@dataclass(slots=True)
class Reply:
    """How a job ended."""

    status: Status
    load: tuple[float, ...] = ()
    body: bytes = b""
    settled_units: float = 0.0
    fleet_use: int = 0


@dataclass(slots=True, eq=False, kw_only=True)
class Job(ConnectionRequest):
    """One exchange: what to send, until when to wait, and whom to tell."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    done: Callable[[Reply], None]
    host: str = "app.svc"  # named to the server
    body_stream: BodyStream | None = None  # the rest of a body that is longer than what is held
    flows: Callable[[], bool] = lambda: False  # asked before the first of that rest is taken
    uploaded: Callable[[], None] = lambda: None  # told when its last byte has been written
    begins: Callable[[int | None], Sink | None] = lambda _: None  # asked as a long answer of a length begins
    carrier: Carrier | None = None
    timer: Timer | None = None
    ended: bool = False

    def end(self, reply: Reply) -> None:
        """Tell the end, once."""
        if not self.ended:
            self.retire()
            self.done(reply)

    def untimed(self) -> None:
        """Wait without a limit: bytes flow, and who stops them ends the job."""
        if self.timer is not None:
            self.timer.cancel()

    def retire(self) -> None:
        """End without telling."""
        self.ended, self.carrier = True, None
        if self.timer is not None:
            self.timer.cancel()


class Carrier(Protocol):
    """A connection to a ticket server, of either protocol."""

    def begin(self, job: Job) -> None:
        """Carry a job; the connection is up and has room."""

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job; it has been told its end, or is not to be told."""

    def heard(self, job: Job) -> bool:
        """Tell whether anything has come on the connection since the job began."""

    def stale(self) -> bool:
        """Tell whether the peer has closed it, or may be about to."""

    def close(self) -> None:
        """End it; its jobs end by the protocol's table."""

    async def run(self) -> None:
        """Dial and serve to the end."""
