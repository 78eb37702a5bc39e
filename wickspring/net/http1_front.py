"""The front for HTTP/1.1 (RFC 9112): requests of clients, one at a time on each connection."""

from __future__ import annotations

import socket

import h11
import trio

from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import (
    DEFER_S,
    INTERNAL_SERVER_ERROR,
    MAX_BUFFERED_BODY,
    CallError,
    read_head,
)
from wickspring.net.early_refusal import REFUSALS, refuses
from wickspring.net.front_connection import FrontConnection
from wickspring.net.front_limits import DEFAULT_LIMITS, MAX_HEAD_BYTES, FrontLimits
from wickspring.net.http1_syntax import (
    HeaderPairs,
    encode_response,
    has_ambiguous_length,
    header_pairs,
    origin_form,
)
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link
from wickspring.net.request_body import RequestBody
from wickspring.net.unanswered import EndReason, UnansweredRequest

MAX_READ_AHEAD = (
    MAX_HEAD_BYTES + MAX_BUFFERED_BODY
)  # bytes of further requests, read while a response is owed
DISCARD_MS = 100.0  # for a client that sends further requests on a connection that is being closed
MAX_DISCARDED = 32 << 20  # bytes read and dropped after an early response; who has more to send is cut off
STREAM_RETRY_S = 1.0  # after which a long request that found no room may come again
MAX_PIPELINED_AT_ONCE = 8  # requests handled of one connection before others have their turn
NO_CONTENT_STATUSES = (204, 304)  # RFC 9110, section 6.4.1
TOO_MANY_REQUESTS = 429
MAX_LENGTH_STATUSES = (413, 431)  # that h11 gives for what is too long
RESPONSE_NOT_BEGUN = (h11.IDLE, h11.SEND_RESPONSE)  # states of this side


class Http1Connection(FrontConnection):
    """One client connection, and the place where the response to its present request goes."""

    can_be_handed_over = True

    def __init__(
        self,
        link: Link,
        server: HttpServer,
        read_ahead: bytes | None = None,
        limits: FrontLimits = DEFAULT_LIMITS,
    ) -> None:
        super().__init__(link, server)
        self.server, self.limits = server, limits
        self.read_ahead = read_ahead  # by the process before this one; None for a new connection
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        self.request: h11.Request | None = None
        self.headers: dict[str, str] = {}
        self.body = RequestBody(0.0)
        self.request_number: int | None = None  # of the request that waits for its response
        self.request_read_at = 0.0  # when the latest request had been read, as far as it is buffered
        self._discards_requests = False  # what still comes is no rest of a request that has been answered
        self._has_discarded = False
        self.started_at = self.last_received_at  # of the connection, or of the present request
        self.has_received_request = read_ahead is not None or link.has_answered
        self._advancing = False
        self._handled_at_once = 0  # requests, by the present call of `advance`
        self._closes_after_stream = False  # the connection, with the streamed response that has begun
        self._resumed: trio.Event | None = None  # where reading pauses until a response is given

    # Reading.

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
        body.started_at += self.server.clock.now() - paused_at  # no fault of the client's

    def _receive(self, data: bytes) -> bool:
        """Process bytes; False where the connection is to be closed at once."""
        self.last_received_at = self.server.clock.now()
        if self.has_received_request and self.is_idle():
            self.started_at = self.last_received_at
        if self._refuse_unparsed(data):
            return True
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
        """Process what has been read, up to the end of one request; a request that follows waits."""
        self._advancing = True
        self._handled_at_once = 0
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
        finally:
            self._advancing = False

    def _on_head(self, request: h11.Request, read: bytes) -> None:
        """Take a request's head; `read` is what had been read before it was parsed."""
        self.request, self.body = request, RequestBody(self.server.clock.now())
        if has_ambiguous_length(read[: len(read) - len(self.http.trailing_data[0])]):
            raise CallError("content-length")
        self.headers = read_head(header_pairs(request))
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.link.send(self.http.send(go_on) or b"")

    def _on_body(self, data: bytes) -> None:
        body = self.body
        if body.stream is not None and body.size + len(data) > self.limits.max_body_bytes:
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
        method, target = request.method.decode("latin-1"), origin_form(request.target.decode("latin-1"))
        self.has_received_request = True
        self.request_read_at = self.server.clock.now()
        body = bytes(self.body.buffered)
        self.server.take_request(
            self, HttpRequest(method, target, self.headers, body, body_stream, self.arrived_at)
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

    def pairs(self) -> list[tuple[str, str]]:
        """Return the headers of the present request, in order, their names in lower case."""
        return [] if self.request is None else header_pairs(self.request)

    # The connection.

    def detach(self) -> tuple[socket.socket, bytes] | None:
        """Hand the connection over, with what has been read ahead; None while a request is in progress."""
        read_ahead, closed = self.http.trailing_data
        if not self._awaits_request or self._advancing:
            return None
        if self.closing or closed:
            return None
        sock = self.link.detach()
        if sock is None:
            return None
        self.closing = True
        return sock, read_ahead

    @property
    def is_new(self) -> bool:
        """Whether no request has come on it yet."""
        return not self.has_received_request

    def _has_request(self) -> bool:
        return self.request_number is not None

    @property
    def _awaits_request(self) -> bool:
        """Whether no request is arriving, and none waits for its response."""
        return self.request_number is None and self.request is None

    def unanswered(self) -> list[UnansweredRequest]:
        """Return the request that waits for its response, or whose response has not left whole."""
        reason = self.end_reason or EndReason.CLIENT_RESET
        unsent = self.link.bytes_queued - self.link.bytes_sent
        if self.request_number is not None or unsent or reason is EndReason.TRUNCATED:
            unread_ms = max(0.0, self.request_read_at - self.arrived_at)
            return [UnansweredRequest(reason, self.request_read_at, self.request_number, unsent, unread_ms)]
        if self._has_discarded:
            return [UnansweredRequest(EndReason.DISCARDED, self.server.clock.now())]
        return []

    def cancel_requests(self) -> None:
        """Withdraw the request that waits for its response, if any: the client has left."""
        number, self.request_number = self.request_number, None
        if number is not None:
            self.server.client_disconnected(number)

    def is_idle(self) -> bool:
        """Tell whether no request has come or is coming, and all responses have left."""
        return self._awaits_request and not self.http.trailing_data[0] and self.link.flushed

    def idle_since(self) -> float | None:
        """Return when bytes were last received (ms); None while a response is owed or has not left."""
        return self.last_received_at if self.request_number is None and self.link.flushed else None

    def close_if_idle(self, reason: EndReason) -> None:
        """Close it where nothing is owed on it."""
        if not self.closing and self.is_idle():
            self.close_if_unread(reason)

    def expire(self, now: float) -> None:
        """Close the connection where it has been silent, or a request has been arriving, for too long."""
        if self.request_number is None and self._delivery.has_stalled():
            self._close(EndReason.CLIENT_NOT_READING)
            return
        stream = self.body.stream
        waits_for_server = self.request_number is not None and (stream is None or stream.is_full)
        if self.closing or waits_for_server or now < self._expires_at():
            return
        if self.link.peek() is not None or self._is_delivering():
            return  # what has arrived and is not read yet may be a whole request
        idle = self.is_idle()
        reason = "half_sent" if not idle else "idle" if self.has_received_request else "silent"
        self.server.closed_counts[reason] += 1
        if idle:
            self._close(EndReason.IDLE)
        elif self.request_number is not None and self.server.executes_partial_requests:
            self._set_end_reason(EndReason.UPLOAD_STALLED)
            self.server.record_unanswered(
                UnansweredRequest(EndReason.UPLOAD_STALLED, self.request_read_at, self.request_number)
            )
            self.cancel_requests()
            self.end_response(False)
        else:
            self.cancel_requests()  # of a long body: what began is given up
            self.respond(408, "", b"the request did not come whole in time\n")

    def _is_delivering(self) -> bool:
        """Tell whether a response is still on its way to a client that has sent nothing since."""
        return self._awaits_request and not self.link.flushed

    def _expires_at(self) -> float:
        """Return until when the client may take for what it is about."""
        limits = self.limits
        if self.request is not None:
            return self.body.expires_at(limits.body_ms)
        if not self.is_idle():
            return self.started_at + limits.head_ms
        if self.has_received_request:
            return self.last_received_at + limits.idle_ms
        return self.started_at + limits.first_byte_ms

    def drain(self) -> None:
        """Say nothing: `Connection: close` goes out with the next response."""

    def finish(self) -> None:
        """Close the connection after what has been written."""
        self.body.buffered = bytearray()
        self._discards_requests = self.http.their_state is not h11.SEND_BODY
        self.server.record_buffered(self, 0)
        self._finish_link(self.server)

    # The response.

    def request_accepted(self, number: int, budget: float) -> None:
        """Note that a response is owed."""
        self.request_number = number

    def respond(self, status: int, retry_after: str, body: bytes, extra_headers: HeaderPairs = ()) -> None:
        """Write a complete response, and go on to the next request where there may be one."""
        headers = [*extra_headers]
        if status >= 200 and status not in NO_CONTENT_STATUSES:
            headers.append(("Content-Length", str(len(body))))
        if retry_after:
            headers.append(("Retry-After", retry_after))
        closes = self._closes_connection() or self._is_pipelined_error(status)
        if closes or self.http.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        if self.http.our_state in RESPONSE_NOT_BEGUN:
            self.link.send(encode_response(self.http, status, headers, body))
        self._response_ended(closes)

    def _is_pipelined_error(self, status: int) -> bool:
        """Tell whether a client has erred and sent on: it is not read on and on."""
        return bool(self.http.trailing_data[0]) and 400 <= status < 500 and status != TOO_MANY_REQUESTS

    def _closes_connection(self) -> bool:
        """Tell whether the connection is to end with the present response.

        Requests that have been read ahead are answered before.
        """
        server = self.server
        ends = server.near_connection_limit or (server.draining and not server.handing_over)
        return ends and not self.http.trailing_data[0]

    def _response_ended(self, closes: bool) -> None:
        """Go on to the next request, or close the connection."""
        if self._resumed is not None:
            self._resumed.set()
        self.request_number = self.request = self.body.stream = None
        if self.http.our_state is self.http.their_state is h11.DONE and not closes:
            has_read_ahead = bool(self.http.trailing_data[0])
            self.http.start_next_cycle()
            # The time of a request that has been read ahead runs from its turn.
            self.started_at = self.last_received_at = self.arrived_at = self.server.clock.now()
            if has_read_ahead and not self._advancing:  # else the loop that handled this request goes on
                self.advance()
        else:
            self.finish()

    def fail_request(self) -> None:
        """Withdraw the request that has been read and answer it 500, unless it has its response already."""
        if self.request is None:
            return
        self.cancel_requests()
        if self.http.our_state in RESPONSE_NOT_BEGUN:
            self.respond(INTERNAL_SERVER_ERROR, "", b"")
        else:
            self.end_response(False)

    def begin_response(self, length: int | None, status: int = 200, extra_headers: HeaderPairs = ()) -> None:
        """Begin a response that is passed on as it arrives."""
        headers = [*extra_headers]
        if length is not None:
            headers.append(("Content-Length", str(length)))
        self._closes_after_stream = self._closes_connection()
        if self._closes_after_stream or self.http.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        if self.http.our_state in RESPONSE_NOT_BEGUN:
            self.link.send(self.http.send(h11.Response(status_code=status, headers=headers)) or b"")

    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if data and self.http.our_state is h11.SEND_BODY:
            self.link.send(self.http.send(h11.Data(data=data)) or b"")

    async def wait_writable(self) -> bool:
        """Wait until the kernel has taken what was passed on; False where the client has gone."""
        return await self.link.wait_writable()

    def end_response(self, complete: bool) -> None:
        """End a response; an incomplete one ends with a reset, so that it cannot pass for complete."""
        if not complete or self.http.our_state is not h11.SEND_BODY:
            self._set_end_reason(EndReason.TRUNCATED)
            self.request_number, self.closing = None, True
            if self._resumed is not None:
                self._resumed.set()
            self.link.abort()
            return
        self.link.send(self.http.send(h11.EndOfMessage()) or b"")
        self._response_ended(self._closes_after_stream)


async def serve(link: Link, server: HttpServer, read_ahead: bytes | None = None) -> None:
    """Serve one client connection, of which another process may have read something ahead."""
    await server.serve(Http1Connection(link, server, read_ahead), link)
