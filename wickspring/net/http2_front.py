"""The front for HTTP/2 (RFC 9113) by prior knowledge; requests are handled as those of HTTP/1.1 are."""

from __future__ import annotations

import logging
import socket
from functools import partial

import h2.config
import h2.connection
import h2.events
from h2.errors import ErrorCodes
from h2.exceptions import H2Error

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.logs import kv
from wickspring.net.calls import (
    DEFER_S,
    FIRST_BYTE_MS,
    HEAD_MS,
    IDLE_MS,
    MAX_BUFFERED_BODY,
    CallError,
    read_head,
)
from wickspring.net.http2_responses import Http2ResponseWriter
from wickspring.net.http2_stream import Stream
from wickspring.net.http2_wire import LAST_STREAM, PREFACE_SIZE, Frames, GoAway, goaway, settings
from wickspring.net.http_server import HttpRequest
from wickspring.net.link import Link
from wickspring.net.octets import decode_pairs
from wickspring.net.runtime import Runtime
from wickspring.net.unanswered import EndReason, UnansweredRequest

log = logging.getLogger(__name__)

MAX_RESETS = 200  # more than are answered; past it a client that only opens and resets is shut out
WINDOW_BYTES = 1 << 20  # of request bodies that a connection may have in flight (RFC 9113, section 6.9)


class Http2Connection(Http2ResponseWriter):
    """One client connection with many streams."""

    can_be_handed_over = False  # the state of the header compression cannot be

    def __init__(self, link: Link, server: Runtime) -> None:
        super().__init__(link, server)
        self.frames = Frames(PREFACE_SIZE)

    async def _read(self) -> None:
        if self.link.peek() is None:  # handed over without a word: it has been silent since it connected
            self.last_received_at -= 1000.0 * DEFER_S
        streams = self.server.instance.settings.streams_per_connection
        self.http.local_settings = settings(client=False, streams=streams)
        self.http.initiate_connection()
        self.http.increment_flow_control_window(WINDOW_BYTES)
        self.flush()
        while True:
            data = await self.link.receive()
            if not data:
                await self._on_read_end(data)
                break
            if not self.closing:
                self.last_received_at = self.server.clock.now()
                self._note_arrival(self.server.clock)
                self.receive(data)

    def receive(self, data: bytes) -> None:
        """Process bytes; what is no HTTP/2 ends this connection and no other."""
        try:
            for part in self.frames.feed(data):
                if isinstance(part, GoAway):
                    self.going_away = True  # the client opens nothing more; its streams are still answered
                    continue
                for event in self.http.receive_data(part):
                    self._on_isolated_event(event)
        except (H2Error, UnicodeDecodeError, ValueError) as error:
            log.info("client_broke_http2", extra=kv(reason=error))
            self._end_by_client_error()
            return
        if not self.server.record_buffered(self, sum(len(stream.body) for stream in self.streams.values())):
            log.warning("client_holds_too_much", extra=kv(streams=len(self.streams)))
            self._shut_out()
            return
        self.flush()
        self._close_if_last_has_ended()

    @property
    def is_new(self) -> bool:
        """Whether no request has come on it yet."""
        return not self.last_stream_id

    def _has_request(self) -> bool:
        return bool(self.streams)

    def unanswered(self) -> list[UnansweredRequest]:
        """Return the requests that wait for a response, or whose response has not left whole."""
        reason = self.end_reason or EndReason.CLIENT_RESET
        streams = [stream for stream in self.streams.values() if stream.request_complete]
        requests = [self._unanswered_stream(stream, reason) for stream in streams]
        unsent = self.link.bytes_queued - self.link.bytes_sent
        if not requests and unsent and self.last_stream_id:
            requests.append(UnansweredRequest(reason, self.last_received_at, unsent_bytes=unsent))
        return requests

    def _shut_out(self) -> None:
        """End a connection that asks too much of this process (RFC 9113, section 7)."""
        self.http.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        self._end_by_client_error()

    def _end_by_client_error(self) -> None:
        """Withdraw all requests, for a fault of the client's, and close after what has been written."""
        self._set_end_reason(EndReason.CLIENT_ERROR)
        for request in self.unanswered():
            self.server.record_unanswered(request)
        self.cancel_requests()
        self.flush()
        self._close_after_flush()

    def cancel_requests(self) -> None:
        """Withdraw all requests that have no response yet."""
        self.closing = True
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            self.withdraw(stream)
            stream.wake_writer()

    def idle_since(self) -> float | None:
        """Return when bytes were last received (ms); None while a response is owed or has not left."""
        streams = self.streams.values()
        owed = any(stream.request_number is not None or stream.outgoing is not None for stream in streams)
        return self.last_received_at if not owed and self.link.flushed else None

    def close_if_idle(self, reason: EndReason) -> None:
        """Refuse new streams unless some have arrived unread, and close once those there are have ended.

        The client knows by GOAWAY which streams nobody will answer (RFC 9113, section 6.8).
        """
        if self.closing or self.link.peek() is not None:
            return
        if not self.streams:
            self._set_end_reason(reason)
        self.finish()

    def expire(self, now: float) -> None:
        """Close the connection where it has been silent, or a request has been arriving, for too long."""
        if self._delivery.has_stalled():
            self._close(EndReason.CLIENT_NOT_READING)
            return
        late = [s for s in self.streams.values() if not s.request_complete and now - s.opened_at > HEAD_MS]
        max_idle_ms = IDLE_MS if self.last_stream_id else FIRST_BYTE_MS
        nothing_owed = not self.streams and self.link.flushed
        idle = nothing_owed and now - self.last_received_at > max_idle_ms
        if self.closing or not (late or idle) or self.link.peek() is not None:
            return  # what has come and is not read yet may be what was waited for
        self.server.closed_counts["half_sent" if late else "idle" if self.last_stream_id else "silent"] += 1
        for stream in late:
            self.respond(stream, 408, "", b"the request did not come whole in time\n")
            self._reset_stream(stream.id, ErrorCodes.NO_ERROR)
        self.flush()
        if idle:
            self.finish()

    def detach(self) -> tuple[socket.socket, bytes] | None:
        """Return None: it cannot be handed over."""
        return None

    def drain(self) -> None:
        """Send GOAWAY (RFC 9113, section 6.8); streams on their way here are still handled."""
        self.link.send(goaway(LAST_STREAM))

    def _on_isolated_event(self, event: h2.events.Event) -> None:
        """Handle an event; a fault of this program ends its stream, and no other."""
        on_fault = partial(self._fail_stream, event)
        with isolate_faults(FaultStep.CLIENT_CONNECTION, on_fault, passes=(H2Error,)):
            self._on_event(event)

    def _fail_stream(self, event: h2.events.Event) -> None:
        stream = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream is not None:
            self._cut_off(stream)

    def _on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self._on_request(event)
        elif isinstance(event, h2.events.DataReceived):
            self._on_data(event)
        elif isinstance(event, h2.events.StreamEnded):
            stream = self.streams.get(event.stream_id)
            if stream is not None and stream.outgoing is None:
                self._handle(stream)
        elif isinstance(event, h2.events.StreamReset):
            self._on_reset(event.stream_id)
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            for stream in list(self.streams.values()):
                self._pump(stream)

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        stream_id = event.stream_id
        if self.going_away:
            self.http.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
            return
        self.last_stream_id = max(self.last_stream_id, stream_id)
        pairs = decode_pairs(event.headers)
        stream = self.streams[stream_id] = Stream(self, stream_id, self.server.clock.now())
        try:
            stream.headers = read_head(pairs)
        except CallError as error:
            self.respond(stream, error.status, "", f"bad {error}\n".encode())
            if event.stream_ended is None:
                self._reset_stream(stream_id, ErrorCodes.NO_ERROR)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.outgoing is not None:
            return
        stream.body += event.data
        if len(stream.body) > MAX_BUFFERED_BODY:
            self.respond(stream, 413, "", b"body over 64 KiB\n")
            if event.stream_ended is None:  # have the client stop sending the rest
                self._reset_stream(event.stream_id, ErrorCodes.NO_ERROR)

    def _handle(self, stream: Stream) -> None:
        headers, stream.request_complete = stream.headers, True
        stream.read_at = self.server.clock.now()
        method, target = headers.get(":method", ""), headers.get(":path", "")
        body = bytes(stream.body)
        self.server.take_request(
            stream, HttpRequest(method, target, headers, body, arrived_at=self.arrived_at)
        )

    def _on_reset(self, stream_id: int) -> None:
        """Cancel a stream that the client wants no answer on; the other streams are not touched.

        Its request is withdrawn: that is its one end in the core, which starts nothing for it any more.
        """
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        if stream.request_complete:
            self.server.record_unanswered(self._unanswered_stream(stream, EndReason.CLIENT_RESET))
        self.withdraw(stream)
        stream.wake_writer()
        self.reset_count += 1
        if self.reset_count > MAX_RESETS:
            log.warning("client_resets_too_much", extra=kv(resets=self.reset_count))
            self._shut_out()


async def serve(link: Link, server: Runtime) -> None:
    """Serve one client connection."""
    await server.serve(Http2Connection(link, server), link)
