"""Responses on a client's HTTP/2 connection (RFC 9113): heads, bodies as the windows allow, and their ends.

Reading requests, and what becomes of the connection, is in `http2_front.py`.
"""

from __future__ import annotations

import logging
from functools import partial

import h2.config
import h2.connection
from h2.errors import ErrorCodes
from h2.exceptions import H2Error

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.logs import kv
from wickspring.net.delivery import LINGER_MS
from wickspring.net.front_connection import FrontConnection
from wickspring.net.http2_stream import Stream
from wickspring.net.http2_wire import goaway, pump
from wickspring.net.link import Link
from wickspring.net.octets import HeaderPairs, encode_pairs, header
from wickspring.net.runtime import Runtime
from wickspring.net.unanswered import EndReason, UnansweredRequest

log = logging.getLogger(__name__)


class Http2ResponseWriter(FrontConnection):
    """The streams of one client connection, and the responses on them; a subclass reads the requests."""

    def __init__(self, link: Link, server: Runtime) -> None:
        super().__init__(link, server)
        self.server = server
        config = h2.config.H2Configuration(client_side=False, header_encoding=None)
        self.http = h2.connection.H2Connection(config)
        self.streams: dict[int, Stream] = {}
        self.last_stream_id = 0
        self.reset_count = 0
        self.going_away = False  # no new streams: the last GOAWAY has been sent

    def has_stream(self, stream_id: int) -> bool:
        """Return whether a stream is still open."""
        return stream_id in self.streams

    def withdraw(self, stream: Stream) -> None:
        """Withdraw the request of a stream, where a response is owed."""
        number, stream.request_number = stream.request_number, None
        if number is not None:
            self.server.client_disconnected(number)

    def flush(self) -> None:
        """Write what h2 has ready."""
        self.link.send(self.http.data_to_send())

    def _unanswered_stream(self, stream: Stream, reason: EndReason) -> UnansweredRequest:
        return UnansweredRequest(reason, stream.read_at, stream.request_number, len(stream.outgoing or b""))

    def finish(self) -> None:
        """Refuse new streams, answer those there are, and close."""
        if not self.going_away:
            self.going_away = True
            self.link.send(goaway(self.last_stream_id))
        self._close_if_last_has_ended()

    def _close_if_last_has_ended(self) -> None:
        """Close the connection where no stream is left and none is to come."""
        if self.going_away and not self.streams:
            self._close_after_flush()

    def _close_after_flush(self) -> None:
        """Close the connection after what has been written."""
        self._finish_link(self.server)

    def respond(self, stream: Stream, status: int, retry_after: str, body: bytes) -> None:
        """Give a complete response on a stream."""
        if not stream.is_open:
            return
        self.reset_count = max(0, self.reset_count - 1)
        headers = [header(":status", str(status)), header("content-length", str(len(body)))]
        if retry_after:
            headers.append(header("retry-after", retry_after))
        with isolate_faults(FaultStep.WRITE_RESPONSE, partial(self._cut_off, stream)):
            self._send_whole(stream, headers, body)
        self._on_response_ended()

    def _send_whole(self, stream: Stream, headers: HeaderPairs, body: bytes) -> None:
        if not self._send_headers(stream, headers, end_stream=not body):
            return
        stream.outgoing = bytearray(body)
        self._pump(stream)
        if stream.id in self.streams:  # a window is shut; past the client's time the answer is no use
            self.server.call_later(max(stream.budget_ms, LINGER_MS), lambda: self._give_up(stream))

    def begin_response(self, stream: Stream, length: int | None) -> None:
        """Begin a response that is passed on as it arrives."""
        if not stream.is_open:
            return
        headers = [header(":status", "200")]
        if length is not None:
            headers.append(header("content-length", str(length)))
        with isolate_faults(FaultStep.WRITE_RESPONSE, partial(self._cut_off, stream)):
            if self._send_headers(stream, headers, end_stream=False):
                stream.outgoing = bytearray()
                self.flush()

    def _send_headers(self, stream: Stream, headers: HeaderPairs, end_stream: bool) -> bool:
        """Write the head of a response; False where the stream has ended and h2 has not told yet."""
        try:
            self.http.send_headers(stream.id, encode_pairs(headers), end_stream=end_stream)
        except H2Error as error:
            log.info("answer_not_sent", extra=kv(reason=error))
            self.streams.pop(stream.id, None)
            return False
        return True

    def _on_response_ended(self) -> None:
        """Write what is ready, and close where this was the last response."""
        self.flush()
        if self.server.near_connection_limit:
            self.finish()
        else:
            self._close_if_last_has_ended()

    def flush_stream(self, stream: Stream) -> None:
        """Write what the flow-control windows allow."""
        if stream.is_open:
            with isolate_faults(FaultStep.WRITE_RESPONSE, partial(self._cut_off, stream)):
                self._pump(stream)
                self.flush()

    def end_response(self, stream: Stream, complete: bool) -> None:
        """End a response that was passed on."""
        if not stream.is_open:
            return
        if complete:
            self._pump(stream)
        else:
            self.server.record_unanswered(self._unanswered_stream(stream, EndReason.TRUNCATED))
            self._reset_stream(stream.id, ErrorCodes.INTERNAL_ERROR)
        self._on_response_ended()

    def _pump(self, stream: Stream) -> None:
        if stream.outgoing is None:
            return
        try:
            whole = pump(self.http, stream.id, stream.outgoing, more=stream.streaming)
        except H2Error as error:  # the client has reset it, which is told in a moment
            log.info("answer_not_sent", extra=kv(reason=error))
            return
        if whole:
            self.streams.pop(stream.id, None)
        if not stream.outgoing:
            stream.wake_writer()

    def _give_up(self, stream: Stream) -> None:
        if not self.closing and self.streams.pop(stream.id, None) is not None:
            self.server.record_unanswered(self._unanswered_stream(stream, EndReason.CLIENT_NOT_READING))
            self._reset_stream(stream.id, ErrorCodes.CANCEL)
            self.flush()
            self._close_if_last_has_ended()

    def _cut_off(self, stream: Stream) -> None:
        """End the stream of a request that can be given no whole response any more."""
        self.server.record_unanswered(self._unanswered_stream(stream, EndReason.INTERNAL_ERROR))
        self._reset_stream(stream.id, ErrorCodes.INTERNAL_ERROR)
        self.withdraw(stream)
        stream.wake_writer()
        self.flush()

    def _reset_stream(self, stream_id: int, code: ErrorCodes) -> None:
        self.streams.pop(stream_id, None)
        try:
            self.http.reset_stream(stream_id, code)
        except H2Error as error:
            log.info("stream_was_gone", extra=kv(reason=error))
