"""The front for HTTP/1.1 (RFC 9112): client connections, and the responses to their requests."""

from __future__ import annotations

import socket
from collections.abc import Sequence

import h11

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.net.calls import INTERNAL_SERVER_ERROR
from wickspring.net.front_limits import LimitsSource, default_limits
from wickspring.net.http1_reader import MAX_READ_AHEAD as MAX_READ_AHEAD
from wickspring.net.http1_reader import Http1RequestReader
from wickspring.net.http1_syntax import encode_body, encode_end, encode_head, encode_response
from wickspring.net.http_server import HttpServer
from wickspring.net.link import Link
from wickspring.net.octets import HeaderPair, header
from wickspring.net.unanswered import EndReason, UnansweredRequest

NO_CONTENT_STATUSES = (204, 304)  # RFC 9110, section 6.4.1
TOO_MANY_REQUESTS = 429
GATEWAY_TIMEOUT = 504
INTERNAL_ERROR_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
RESPONSE_NOT_BEGUN = (h11.IDLE, h11.SEND_RESPONSE)  # states of this side


class Http1Connection(Http1RequestReader):
    """One client connection, and the place where the response to its present request goes."""

    can_be_handed_over = True

    def __init__(
        self,
        link: Link,
        server: HttpServer,
        read_ahead: bytes | None = None,
        limits: LimitsSource = default_limits,
    ) -> None:
        super().__init__(link, server, read_ahead, limits)
        self._closes_after_response = False  # the connection, with the present response
        self._response_failed = False  # by a fault of this program: nothing more is written

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
            self._end_stalled_upload(self.request_number)
        else:
            self.cancel_requests()  # of a long body: what began is given up
            self.respond(408, "", b"the request did not come whole in time\n")

    def _end_stalled_upload(self, number: int) -> None:
        """End a request of which a server may have run a part: 408 would say that it has not run."""
        if self.has_responded:
            self._set_end_reason(EndReason.UPLOAD_STALLED)
            self.server.record_unanswered(
                UnansweredRequest(EndReason.UPLOAD_STALLED, self.request_read_at, number)
            )
            self.cancel_requests()
            self.end_response(False)
        else:
            self.cancel_requests()
            self.respond(GATEWAY_TIMEOUT, "", b"the rest of the request did not come in time\n")

    def _is_delivering(self) -> bool:
        """Tell whether a response is still on its way to a client that has sent nothing since."""
        return self._awaits_request and not self.link.flushed

    def _expires_at(self) -> float:
        """Return until when the client may take for what it is about."""
        self._adopt_limits()
        limits = self.limits
        if self.request is not None:
            return self.server.body_expires_at(self.arriving_request(self.request))
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

    def respond(
        self, status: int, retry_after: str, body: bytes, extra_headers: Sequence[HeaderPair] = ()
    ) -> None:
        """Write a complete response, and go on to the next request where there may be one."""
        self.write_response(status, retry_after, body, extra_headers)
        self.go_on()

    def write_response(
        self, status: int, retry_after: str, body: bytes, extra_headers: Sequence[HeaderPair] = ()
    ) -> None:
        """Write a complete response; its request may be forgotten then, before `go_on` begins the next."""
        headers = [*extra_headers]
        if status >= 200 and status not in NO_CONTENT_STATUSES:
            headers.append(header("Content-Length", str(len(body))))
        if retry_after:
            headers.append(header("Retry-After", retry_after))
        self._closes_after_response = self._closes_connection() or self._is_pipelined_error(status)
        if self._closes_after_response or self.http.their_state is not h11.DONE:
            headers.append(header("Connection", "close"))
        if self.has_responded:
            return
        with isolate_faults(FaultStep.WRITE_RESPONSE, self._fail_response):
            self.link.send(encode_response(self.http, status, headers, body))

    @property
    def has_responded(self) -> bool:
        """Whether the response to the present request has been begun, or none will be."""
        return self._response_failed or self.closing or self.http.our_state not in RESPONSE_NOT_BEGUN

    def _fail_response(self) -> None:
        """Answer 500, and nothing more, in place of a response whose head this program could not write."""
        self._response_failed = self._closes_after_response = True
        self.link.send(INTERNAL_ERROR_RESPONSE)

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

    def go_on(self) -> None:
        """Go on to the next request, or close the connection: the present response has been written."""
        if self._resumed is not None:
            self._resumed.set()
        self.request_number = self.request = self.body.stream = None
        if self.link.broken:
            return
        if not self._closes_after_response and self.http.our_state is self.http.their_state is h11.DONE:
            has_read_ahead = bool(self.http.trailing_data[0])
            self.http.start_next_cycle()
            self._adopt_limits()
            # The time of a request that has been read ahead runs from its turn.
            self.started_at = self.last_received_at = self.arrived_at = self.server.clock.now()
            if has_read_ahead and not self._advancing:  # else the loop that handled this request goes on
                self.advance()
        else:
            self.finish()

    def fail_request(self) -> None:
        """Withdraw the request that has been read and answer it 500, unless it has its response already."""
        if self.request is None and self.request_number is None:
            return
        with isolate_faults(FaultStep.CLOSE_CLIENT_CONNECTION):
            self.cancel_requests()
        if not self.has_responded:
            self.respond(INTERNAL_SERVER_ERROR, "", b"")
        elif self.http.our_state is h11.DONE:
            self.go_on()
        else:
            self.end_response(False)

    def fail_reading(self) -> None:
        """Answer 500 to what is being read, where a response can be begun, and close the connection."""
        with isolate_faults(FaultStep.CLOSE_CLIENT_CONNECTION):
            self.cancel_requests()
        if self.http.our_state not in RESPONSE_NOT_BEGUN:
            self.end_response(False)
            return
        self._fail_response()
        self.go_on()

    def begin_response(
        self, length: int | None, status: int = 200, extra_headers: Sequence[HeaderPair] = ()
    ) -> None:
        """Begin a response that is passed on as it arrives."""
        headers = [*extra_headers]
        if length is not None:
            headers.append(header("Content-Length", str(length)))
        self._closes_after_response = self._closes_connection()
        if self._closes_after_response or self.http.their_state is not h11.DONE:
            headers.append(header("Connection", "close"))
        if self.has_responded:
            return
        with isolate_faults(FaultStep.WRITE_RESPONSE, self._fail_response):
            self.link.send(encode_head(self.http, status, headers))

    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on; after a fault in that the response ends incomplete."""
        if data and self.http.our_state is h11.SEND_BODY:
            with isolate_faults(FaultStep.WRITE_RESPONSE, self._cut_off):
                self.link.send(encode_body(self.http, data))

    async def wait_writable(self) -> bool:
        """Wait until the kernel has taken what was passed on; False where the client has gone."""
        return await self.link.wait_writable()

    def end_response(self, complete: bool) -> None:
        """End a response; an incomplete one ends with a reset, so that it cannot pass for complete."""
        self.write_end(complete)
        self.go_on()

    def write_end(self, complete: bool) -> None:
        """Write the end of a response; its request may be forgotten then, before `go_on` begins the next."""
        if self._response_failed:
            return
        if not complete or self.http.our_state is not h11.SEND_BODY:
            self._cut_off()
            return
        with isolate_faults(FaultStep.WRITE_RESPONSE, self._cut_off):
            self.link.send(encode_end(self.http))

    def _cut_off(self) -> None:
        """End the connection with a reset: what has been written of a response must not pass for complete."""
        self._set_end_reason(EndReason.TRUNCATED)
        self.closing = True
        self.link.abort()


async def serve(link: Link, server: HttpServer, read_ahead: bytes | None = None) -> None:
    """Serve one client connection, of which another process may have read something ahead."""
    await server.serve(Http1Connection(link, server, read_ahead), link)
