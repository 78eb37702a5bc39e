"""The body of a request while a client sends it: buffered at first, and streamed where it is long."""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import BODY_BYTES_PER_MS, MAX_BUFFERED_BODY
from wickspring.net.front_limits import FrontLimits
from wickspring.net.octets import Headers


@dataclass(slots=True, frozen=True)
class ArrivingRequest:
    """A request whose body has not come whole yet. Times are in ms of the process's clock."""

    target: str
    headers: Headers
    body: RequestBody
    limits: FrontLimits
    last_received_at: float  # its last byte so far; put off by the time in which the client was not read
    is_passed_on: bool  # a part of its body has gone to a server, or may go at once


class RequestBody:
    """What has come of a body. `started_at` is in ms of the process's clock."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at  # put off by the time in which the client was not read
        self.size = 0  # bytes that have come
        self.buffered = bytearray()
        self.stream: BodyStream | None = None  # for the rest of a long body, while it arrives

    def receive(self, data: bytes) -> None:
        """Keep a piece of the body, or pass it on."""
        self.size += len(data)
        if self.stream is None:
            self.buffered += data
        else:
            self.stream.write(bytes(data))

    @property
    def exceeds_buffer(self) -> bool:
        """Whether more has come than may be buffered, so that the rest is to be streamed."""
        return self.stream is None and len(self.buffered) > MAX_BUFFERED_BODY

    def start_stream(self, length: int | None) -> BodyStream:
        """Stream the rest from now on; `length` is what the client has declared, in bytes."""
        self.stream = BodyStream(length)
        self.stream.write(bytes(self.buffered[MAX_BUFFERED_BODY:]))
        del self.buffered[MAX_BUFFERED_BODY:]
        return self.stream

    def end_stream(self) -> bool:
        """Note that the body has come whole; False where it has not been streamed."""
        if self.stream is None:
            return False
        stream, self.stream = self.stream, None
        stream.write_eof()
        return True

    def expires_at(self, body_ms: float) -> float:
        """Return until when it may take to come (ms): `body_ms`, and more for each byte that has come."""
        return self.started_at + body_ms + self.size / BODY_BYTES_PER_MS
