"""An exchange with a server, its result, and what a connection of either protocol is to the manager.

An exchange is one request and its response (RFC 9110, section 3.1): an attempt or a health probe. It ends
once, with one of the statuses of `interface.Status`. Nothing here ever sends a request a second time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from wickspring.connections.model import ConnectionRequest
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.interface import Status
from wickspring.net.body_stream import BodyStream
from wickspring.net.octets import HeaderPairs, OctetText
from wickspring.net.timers import Timer

MAX_BUFFERED_RESPONSE = 64 * 1024  # bytes of a response body; a longer one is passed on as it arrives
DEFAULT_HOST = OctetText("app.svc")


class ResponseSink(Protocol):
    """Where a streamed response goes as it arrives."""

    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""

    async def wait_writable(self) -> bool:
        """Wait until the client has read what was passed on; False where it has gone."""


@dataclass(slots=True)
class ExchangeResult:
    """How an exchange ended."""

    status: Status
    load: tuple[float, ...] = ()
    body: bytes = b""
    settled_units: float = 0.0
    fleet_use: int = 0


class FailedExchange(ExchangeResult):
    """An exchange that a fault of this program has ended: a further attempt would meet it again."""


def _no_streaming() -> bool:
    return False


def _ignore_upload_end() -> None: ...


def _no_sink(_: int | None) -> ResponseSink | None:
    return None


@dataclass(slots=True, eq=False, kw_only=True)
class ServerExchange(ConnectionRequest):
    """One exchange: what to send, until when to wait, and whom to tell."""

    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    on_end: Callable[[ExchangeResult], None]
    host: OctetText = DEFAULT_HOST  # of the Host header field
    body_stream: BodyStream | None = None  # the rest of a body that is longer than what is buffered
    may_stream_body: Callable[[], bool] = _no_streaming  # asked before a piece of that rest is read
    on_body_sent: Callable[[], None] = _ignore_upload_end  # called when its last byte has been written
    # Called as a streamed response of a length begins, None where it is not declared; returns where it goes.
    open_sink: Callable[[int | None], ResponseSink | None] = _no_sink
    server_connection: ServerConnection | None = None
    timer: Timer | None = None  # of the deadline
    # Whether the deadline ends a transfer too; else it ends once a side moves no byte for `http1.STALL_S`.
    deadline_bounds_transfer: bool = False
    ended: bool = False

    def finish(self, result: ExchangeResult) -> None:
        """End the exchange and report its result, once.

        A fault of the owner in taking the result is contained here: the caller has a connection to see to.
        """
        if not self.ended:
            self.discard()
            with isolate_faults(FaultStep.END_EXCHANGE):
                self.on_end(result)

    def cancel_deadline(self) -> None:
        """Wait without a limit: bytes flow, and the side that stops them ends the exchange."""
        if self.timer is not None:
            self.timer.cancel()

    def discard(self) -> None:
        """End the exchange without reporting."""
        self.ended = True
        self.server_connection = None
        self.cancel_deadline()


class ServerConnection(Protocol):
    """A connection to a server, of either protocol."""

    def begin(self, exchange: ServerExchange) -> None:
        """Send the request of an exchange; the connection is up and has room."""

    def cancel(self, exchange: ServerExchange) -> None:
        """Stop waiting for an exchange, whose result has been reported or is not to be."""

    def fail(self, exchange: ServerExchange) -> None:
        """End an exchange as a `FailedExchange`, where a fault of this program has kept it from going on."""

    def has_received(self, exchange: ServerExchange) -> bool:
        """Tell whether any byte has arrived on the connection since the exchange began."""

    def fail_all(self) -> None:
        """End all exchanges on it as `FailedExchange`, after a fault in closing it."""

    def is_stale(self) -> bool:
        """Tell whether the peer has closed it, or may be about to."""

    def close(self) -> None:
        """Close it; its exchanges end by what was written of them."""

    async def run(self) -> None:
        """Dial and serve to the end."""
