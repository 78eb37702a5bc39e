"""One request on a client's HTTP/2 connection, and the place where its response goes."""

from __future__ import annotations

from typing import Protocol

import trio

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.net.calls import INTERNAL_SERVER_ERROR
from wickspring.net.link import Link
from wickspring.net.octets import Headers


class StreamConnection(Protocol):
    """The connection of a stream, as the stream uses it."""

    link: Link
    closing: bool

    def has_stream(self, stream_id: int) -> bool:
        """Return whether a stream is still open."""

    def withdraw(self, stream: Stream) -> None:
        """Withdraw the request of a stream, where a response is owed."""

    def respond(self, stream: Stream, status: int, retry_after: str, body: bytes) -> None:
        """Give a complete response on a stream."""

    def begin_response(self, stream: Stream, length: int | None) -> None:
        """Begin a response that is passed on as it arrives."""

    def flush_stream(self, stream: Stream) -> None:
        """Write what the flow-control windows allow."""

    def end_response(self, stream: Stream, complete: bool) -> None:
        """End a response that was passed on."""


class Stream:
    """One request; `opened_at` is when its headers came (ms of the process's clock)."""

    def __init__(self, connection: StreamConnection, stream_id: int, opened_at: float) -> None:
        self.connection, self.id, self.opened_at = connection, stream_id, opened_at
        self.headers: Headers = {}
        self.body = bytearray()
        self.request_complete = False  # its last byte has arrived
        self.read_at = 0.0  # when that was
        self.request_number: int | None = None  # while a response is owed
        self.budget_ms = 0.0  # that the client waits
        self.outgoing: bytearray | None = None  # what is left of the response
        self.streaming = False  # more of it is to come
        self._writable: trio.Event | None = None

    def request_accepted(self, number: int, budget: float) -> None:
        """Note that a response is owed."""
        self.request_number, self.budget_ms = number, budget

    def respond(self, status: int, retry_after: str, body: bytes) -> None:
        """Give a complete response, as fast as the client's windows let it out."""
        self.request_number = None
        self.connection.respond(self, status, retry_after, body)

    def begin_response(self, length: int | None) -> None:
        """Begin a response that is passed on as it arrives."""
        self.streaming = True
        self.connection.begin_response(self, length)

    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if self.outgoing is not None:
            self.outgoing += data
            self.connection.flush_stream(self)

    @property
    def is_open(self) -> bool:
        """Whether something may be written on it."""
        return not self.connection.closing and self.connection.has_stream(self.id)

    async def wait_writable(self) -> bool:
        """Wait until the client's windows have let out what was passed on; False where it has gone."""
        while self.outgoing and self.is_open:
            self._writable = trio.Event()
            await self._writable.wait()
        return self.is_open and await self.connection.link.wait_writable()

    def fail_request(self) -> None:
        """Withdraw the request and answer it 500, unless it has its response already."""
        if not self.is_open:
            return
        with isolate_faults(FaultStep.CLOSE_CLIENT_CONNECTION):
            self.connection.withdraw(self)
        if self.outgoing is None:
            self.respond(INTERNAL_SERVER_ERROR, "", b"")
        else:
            self.end_response(False)

    def wake_writer(self) -> None:
        """Wake the task that waits until more may be written."""
        if self._writable is not None:
            self._writable.set()

    def end_response(self, complete: bool) -> None:
        """End a response; an incomplete one ends with a reset of its stream."""
        self.request_number = None
        self.streaming = False
        self.connection.end_response(self, complete)
