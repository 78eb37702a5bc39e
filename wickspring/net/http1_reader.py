"""Reading requests from a client connection of HTTP/1.1 (RFC 9112), one at a time.

What a request's response does to its connection is in `http1_front.py`.
"""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Sequence

import h11
import trio

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import DEFER_S, MAX_BUFFERED_BODY, CallError, HeadTooLargeError, read_head
from wickspring.net.early_refusal import REFUSALS, refuses
from wickspring.net.front_connection import FrontConnection
from wickspring.net.front_limits import MAX_HEAD_BYTES, LimitsSource, default_limits
from wickspring.net.http1_syntax import has_ambiguous_length, origin_form
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link
from wickspring.net.octets import HeaderPair, HeaderPairs, Headers, decode_octets, decode_pairs
from wickspring.net.request_body import ArrivingRequest, RequestBody
from wickspring.net.unanswered import EndReason

MAX_READ_AHEAD = (
    MAX_HEAD_BYTES + MAX_BUFFERED_BODY
)  # bytes of further requests, read while a response is owed
DISCARD_MS = 100.0  # for a client that sends further requests on a connection that is being closed
MAX_DISCARDED = 32 << 20  # bytes read and dropped after an early response; who has more to send is cut off
STREAM_RETRY_S = 1.0  # after which a long request that found no room may come again
MAX_PIPELINED_AT_ONCE = 8  # requests handled of one connection before others have their turn
MAX_LENGTH_STATUSES = (413, 431)  # that h11 gives for what is too long


class Http1RequestReader(FrontConnection):
    """The requests of one client connection; subclasses write the responses."""

    def __init__(
        self,
        link: Link,
        server: HttpServer,
        read_ahead: bytes | None = None,
        limits: LimitsSource = default_limits,
    ) -> None:
        super().__init__(link, server)
        self.server = server
        self._limits_source = limits
        self.limits = limits()  # of the present request
        self.read_ahead = read_ahead  # by the process before this one; None for a new connection
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.max_head_bytes)
        self.request: h11.Request | None = None
        self.headers: Headers = {}
        self._pairs: HeaderPairs = []  # headers of the present request, in order, names in lower case
        self.body = RequestBody(0.0)
        self.request_number: int | None = None  # of the request that waits for its response
        self.request_read_at = 0.0  # when the latest request had been read, as far as it is buffered
        self._discards_requests = False  # what still comes is no rest of a request that has been answered
        self._has_discarded = False
        self.started_at = self.last_received_at  # of the connection, or of the present request
        self._request_began_at = self.started_at  # of the present request: when its head was in the kernel
        self.has_received_request = read_ahead is not None or link.has_answered
        self._advancing = False
        self._handled_at_once = 0  # requests, by the present call of `advance`
        self._resumed: trio.Event | None = None  # where reading pauses until a response is given

    async def _read(self) -> None:
        self._begin_reading()
        discarded = 0
        while discarded < MAX_DISCARDED and not self.link.broken:
            if self._must_pause():
                await self._pause()
                continue
            data = await self.link.receive()
            if not data:
                await self._on_read_end(data)
                break
            if self.closing:
                discarded += len(data)  # read, so that closing does not reset the response
                self._on_discarded()
                continue
            self._note_arrival(self.server.clock)
            if not self._receive(data):
                self._set_end_reason(EndReason.CLIENT_ERROR)
                break
        self.closing = True

    def _on_discarded(self) -> None:
        """Close soon where a further request comes on a connection that is being closed.

        Its client must learn at once that nobody will answer it; yet a reset before it has read its last
        response could destroy that.
        """
        if self._discards_requests and not self._has_discarded:
            self._has_discarded = True
            self.server.call_later(DISCARD_MS, self.link.close)

    def _begin_reading(self) -> None:
        if self.read_ahead:
            self._receive(self.read_ahead)
        elif not self.has_received_request and self.link.peek() is None:  # silent since it connected
            self.last_received_at = self.started_at = self.started_at - 1000.0 * DEFER_S

    def _must_pause(self) -> bool:
        """Tell whether the client is not to be read for now."""
        if self.body.stream is not None:
            return self.body.stream.is_full
        return self.request_number is not None and len(self.http.trailing_data[0]) > MAX_READ_AHEAD

    async def _pause(self) -> None:
        """Wait until the client may be read again."""
        body = self.body
        if body.stream is None:
            self._resumed = trio.Event()
            await self._resumed.wait()
            return
        paused_at = self.server.clock.now()
        await body.stream.wait_writable()
        # The pause is no fault of the client's.
        self.last_received_at = self.server.clock.now()
        body.started_at += self.last_received_at - paused_at

    def _receive(self, data: bytes) -> bool:
        """Process bytes; False where the connection is to be closed at once."""
        self.last_received_at = self.server.clock.now()
        if self.has_received_request and self.is_idle():
            self.started_at = self.last_received_at
        if self._refuse_unparsed(data):
            return True
        self._adopt_limits()
        self.http.receive_data(data)
        if self.request_number is None or self.body.stream is not None:
            self.advance()
        size = len(self.http.trailing_data[0])
        if self.request is not None:
            size += len(self.body.buffered)
        if not self.server.record_buffered(self, size) and not self.closing:
            if self.request_number is not None:
                return False
            self.respond(503, "", b"too much is being sent at once\n")
        return True

    def _adopt_limits(self) -> None:
        """Have the present limits hold for the next request, unless one is arriving or in progress."""
        limits = self._limits_source()
        if limits == self.limits or not self._awaits_request:
            return
        if limits.max_head_bytes != self.limits.max_head_bytes:
            read, closed = self.http.trailing_data
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
            if read:
                self.http.receive_data(read)
            if closed:
                self.http.receive_data(b"")
        self.limits = limits

    def _refuse_unparsed(self, data: bytes) -> bool:
        """Refuse a request before it costs a parser's work, where this process is late; tell whether.

        A process that is short of processor time must be able to refuse all that comes.
        """
        awaits_request = self._awaits_request and not self.http.trailing_data[0]
        if not awaits_request or not refuses(self.server, data, self.arrived_at):
            return False
        self.has_received_request = True
        closes = self._closes_connection()
        self.link.send(REFUSALS[closes])
        self.started_at = self.last_received_at
        if closes:
            self.finish()
        return True

    def advance(self) -> None:
        """Process what has been read, up to the end of one request; a request that follows waits.

        A fault of this program in it ends this connection, and not whatever has called this.
        """
        self._advancing = True
        self._handled_at_once = 0
        try:
            with isolate_faults(FaultStep.CLIENT_CONNECTION, self.fail_reading):
                self._process_events()
        finally:
            self._advancing = False

    def _process_events(self) -> None:
        try:
            while not self.closing and (self.request_number is None or self.body.stream is not None):
                read = self.http.trailing_data[0] if self.request is None else b""
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self._on_head(event, read)
                elif isinstance(event, h11.Data):
                    self._on_body(event.data)
                elif isinstance(event, h11.EndOfMessage) and not self._on_end():
                    return
        except CallError as error:  # the connection ends: where the next request begins is not certain
            self.respond(error.status, "", f"bad {error}\n".encode())
        except h11.RemoteProtocolError as error:
            code = error.error_status_hint
            self.respond(code if code in MAX_LENGTH_STATUSES else 400, "", f"{error}\n".encode())

    def _on_head(self, request: h11.Request, read: bytes) -> None:
        """Take a request's head; `read` is what had been read before it was parsed."""
        self.request, self.body = request, RequestBody(self.server.clock.now())
        self._request_began_at = self.arrived_at
        head = read[: len(read) - len(self.http.trailing_data[0])]
        if len(head) > self.limits.max_head_bytes:  # h11 bounds only what arrives in pieces
            raise HeadTooLargeError(f"head: over {self.limits.max_head_bytes} bytes")
        if has_ambiguous_length(head):
            raise CallError("content-length")
        self._pairs = decode_pairs(request.headers)
        self.headers = read_head(self._pairs, self.limits.max_body_bytes)
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.link.send(self.http.send(go_on) or b"")

    def _on_body(self, data: bytes) -> None:
        body = self.body
        if body.size + len(data) > self.limits.max_body_bytes:
            self.cancel_requests()
            self.respond(413, "", b"body too large\n")
            return
        body.receive(data)
        if body.exceeds_buffer and self.request is not None:
            self._start_streaming(self.request)

    def _on_end(self) -> bool:
        """Take a request's end; False where no further request is to be processed now."""
        if self.body.end_stream():
            self.request = None
            return False
        if self.request is None:
            return True
        self._handle(self.request)
        self._handled_at_once += 1
        if self._handled_at_once == MAX_PIPELINED_AT_ONCE and self.http.trailing_data[0]:
            self.server.call_later(0.0, self.advance)  # the turn of other connections comes first
            return False
        return True

    def _handle(self, request: h11.Request, body_stream: BodyStream | None = None) -> None:
        """Pass a request on with what is buffered of its body; a stream brings the rest."""
        method, target = decode_octets(request.method), origin_form(decode_octets(request.target))
        self.has_received_request = True
        self.request_read_at = self.server.clock.now()
        body = bytes(self.body.buffered)
        self.server.take_request(
            self,
            HttpRequest(
                method, target, self.headers, body, body_stream, self.arrived_at, self._request_began_at
            ),
        )

    def _start_streaming(self, request: h11.Request) -> None:
        """Pass a request on whose body is longer than what is buffered."""
        if not self.server.can_stream:
            self.server.closed_counts["no_room_to_flow"] += 1
            self.respond(503, f"{STREAM_RETRY_S:.3f}", b"too many long requests at once\n")
            return
        length = self.headers.get("content-length")
        body = self.body
        self._handle(request, body.start_stream(int(length) if length is not None else None))
        body.buffered = bytearray()
        if self.request_number is None:  # answered at once
            body.stream = None

    def arriving_request(self, request: h11.Request) -> ArrivingRequest:
        """Return the request whose body is arriving."""
        return ArrivingRequest(
            target=origin_form(decode_octets(request.target)),
            headers=self.headers,
            body=self.body,
            limits=self.limits,
            last_received_at=self.last_received_at,
            is_passed_on=self.request_number is not None,
        )

    def pairs(self) -> HeaderPairs:
        """Return the headers of the present request, in order, their names in lower case."""
        return [] if self.request is None else self._pairs

    @property
    def _awaits_request(self) -> bool:
        """Whether no request is arriving, and none waits for its response."""
        return self.request_number is None and self.request is None

    def is_idle(self) -> bool:
        """Tell whether no request has come or is coming, and all responses have left."""
        return self._awaits_request and not self.http.trailing_data[0] and self.link.flushed

    # What subclasses do with a request.

    @abstractmethod
    def request_accepted(self, number: int, budget: float) -> None:
        """Note that a response is owed."""

    @abstractmethod
    def respond(
        self, status: int, retry_after: str, body: bytes, extra_headers: Sequence[HeaderPair] = ()
    ) -> None:
        """Write a complete response, and go on to the next request where there may be one."""

    @abstractmethod
    def fail_request(self) -> None:
        """Withdraw the request that has been read and answer it 500, unless it has its response already."""

    @abstractmethod
    def fail_reading(self) -> None:
        """Answer 500 to what is being read, where a response can be begun, and close the connection."""

    @abstractmethod
    def begin_response(
        self, length: int | None, status: int = 200, extra_headers: Sequence[HeaderPair] = ()
    ) -> None:
        """Begin a response that is passed on as it arrives."""

    @abstractmethod
    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""

    @abstractmethod
    async def wait_writable(self) -> bool:
        """Wait until the kernel has taken what was passed on; False where the client has gone."""

    @abstractmethod
    def end_response(self, complete: bool) -> None:
        """End a response; an incomplete one ends with a reset, so that it cannot pass for complete."""

    @abstractmethod
    def cancel_requests(self) -> None:
        """Withdraw the request that waits for its response, if any: the client has left."""

    @abstractmethod
    def finish(self) -> None:
        """Close the connection after what has been written."""

    @abstractmethod
    def _closes_connection(self) -> bool:
        """Tell whether the connection is to end with the present response."""
