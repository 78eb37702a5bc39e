"""HTTP/2 to a server, by prior knowledge (RFC 9113, section 3.3): a stream for each exchange."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

import h2.config
import h2.connection
import h2.events
from h2.errors import ErrorCodes
from h2.exceptions import H2Error

from wickspring.connections.model import ClosedBy, PooledConnection
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.interface import Status
from wickspring.net.http2_wire import Frames, GoAway, pump, settings
from wickspring.net.link import Link
from wickspring.net.octets import OctetText, decode_pairs, encode_pairs, header
from wickspring.net.upstream.exchange import (
    MAX_BUFFERED_RESPONSE,
    ExchangeResult,
    FailedExchange,
    ServerExchange,
)
from wickspring.net.upstream.manager import LostExchange, UpstreamManager, finish_lost
from wickspring.net.upstream.responses import read_result

WINDOW_BYTES = 1 << 20  # of response bodies that a connection may have in flight
MAX_STREAM_ID = 1 << 30  # a connection that has come so far is left for a new one; ids end at 2^31
AUTHORITY = "app.svc"


@dataclass(slots=True, eq=False)
class StreamExchange:
    """An exchange on its stream."""

    exchange: ServerExchange
    outgoing: bytearray
    started_at: float  # ms
    written: bool = False  # the request's last byte has been given to the connection,
    ends_at: int = 0  # as this one of all bytes that the connection was given
    code: int = 0
    headers: dict[str, OctetText] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)

    def result_of_loss(self, taken: int) -> ExchangeResult:
        """Return the result of a break: whether its last byte was taken decides what may have run."""
        may_have_run = self.written and self.ends_at <= taken
        return ExchangeResult(Status.RESET if may_have_run else Status.CONNECT_FAILED)


class Http2ServerConnection:
    """A connection in the pool."""

    def __init__(self, upstream: UpstreamManager, connection: PooledConnection) -> None:
        self.upstream = upstream
        self.connection = connection
        config = h2.config.H2Configuration(client_side=True, header_encoding=None)
        self.http = h2.connection.H2Connection(config)
        self.frames = Frames()
        self.link: Link | None = None
        self.streams: dict[int, StreamExchange] = {}
        self._completed: list[StreamExchange] = []  # whose last byte goes out with the next flush
        self.last_received_at = upstream.clock.now()
        self.goaway_last_stream: int | None = None
        self.suspect = False  # an exchange got no response and nothing else arrived: no new work
        self.up = False  # the peer's settings have arrived, and with them how many streams it takes
        self.closed = False

    def capacity(self) -> int:
        """Return the stream limit of both sides (RFC 9113, section 5.1.2); 0 once the peer goes away."""
        exhausted = (self.http.highest_outbound_stream_id or 0) > MAX_STREAM_ID
        if self.closed or self.suspect or exhausted or self.goaway_last_stream is not None:
            return 0
        ours = self.upstream.settings.streams_per_connection
        return int(min(ours, self.http.remote_settings.max_concurrent_streams))

    def is_stale(self) -> bool:
        """Tell whether the peer has closed; frames not read yet are no sign of that."""
        return self.link is None or self.link.peek() == b""

    def has_received(self, exchange: ServerExchange) -> bool:
        """Tell whether any byte has arrived since the exchange began."""
        return self.last_received_at >= exchange.assigned_at

    # Requests.

    def begin(self, exchange: ServerExchange) -> None:
        """Open a stream for an exchange."""
        going_away = self.closed or self.goaway_last_stream is not None
        if going_away or (exchange.new_work and not self.upstream.accepts_work(self.connection.server)):
            # The connection has begun to close, or the server was told to drain, in the meantime.
            self.upstream.finish(exchange, ExchangeResult(Status.CONNECT_FAILED))
            return
        self._open_stream(exchange)
        self._flush()
        self.upstream.capacity_changed(self.connection, self.capacity())
        if self.link is not None and self.link.broken:
            self.close(ClosedBy.PEER)

    def _open_stream(self, exchange: ServerExchange) -> None:
        stream_id = self.http.get_next_available_stream_id()
        headers = [
            header(":method", exchange.method),
            header(":scheme", "http"),
            header(":authority", AUTHORITY),
            header(":path", exchange.target),
            *((name.lower(), value) for name, value in exchange.headers),
        ]
        body = exchange.body
        if body or exchange.method == "POST":
            headers.append(header("content-length", str(len(body))))
        stream = StreamExchange(exchange, bytearray(body), self.upstream.clock.now(), written=not body)
        self.streams[stream_id] = stream
        self.http.send_headers(stream_id, encode_pairs(headers), end_stream=not body)
        if stream.written:
            self._completed.append(stream)
        self._pump(stream_id, stream)

    def _pump(self, stream_id: int, stream: StreamExchange) -> None:
        """Write of a request's body what the flow-control windows allow."""
        if not stream.written and pump(self.http, stream_id, stream.outgoing):
            stream.written = True
            self._completed.append(stream)

    def _flush(self) -> None:
        if self.link is None:
            return
        self.link.send(self.http.data_to_send())
        for stream in self._completed:
            stream.ends_at = self.link.bytes_queued
        self._completed.clear()

    # The connection.

    async def run(self) -> None:
        """Dial, then read until either side closes the connection."""
        dialed_at = self.upstream.clock.now()
        self.link = link = await self.upstream.connect(self.connection)
        if link is None:
            self.closed = True
            return
        self._initiate(dialed_at)
        while not self.closed:
            data = await link.receive()
            if not data:
                break
            self.last_received_at = self.upstream.clock.now()
            try:
                self._receive(data)
            except (H2Error, UnicodeDecodeError, ValueError):
                break
            self._flush()
            self._close_if_done()
        self.close(ClosedBy.PEER)

    def _initiate(self, dialed_at: float) -> None:
        """Send the connection preface (RFC 9113, section 3.4)."""
        self.last_received_at = self.upstream.clock.now()
        self.http.local_settings = settings(client=True, streams=0)
        self.http.initiate_connection()
        self.http.increment_flow_control_window(WINDOW_BYTES)
        self._flush()
        # A peer that accepts and sends no settings is as good as not there: one time-out covers both.
        self.upstream.timers.at(dialed_at + self.upstream.settings.dial_timeout, self._close_unless_up)

    def _receive(self, data: bytes) -> None:
        for part in self.frames.feed(data):
            if isinstance(part, GoAway):
                self._on_goaway(part)
                continue
            for event in self.http.receive_data(part):
                self._on_isolated_event(event)

    def _on_isolated_event(self, event: h2.events.Event) -> None:
        """Handle an event; a fault of this program ends the exchange on its stream, and no other."""
        stream = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream is None:
            self._on_event(event)
            return
        on_fault = partial(self.fail, stream.exchange)
        with isolate_faults(FaultStep.SERVER_CONNECTION, on_fault, passes=(H2Error,)):
            self._on_event(event)

    def _close_unless_up(self) -> None:
        if not self.up:
            self.close()

    def _on_first_settings(self) -> None:
        """Take exchanges up to the peer's limit; a peer that takes none at all is of no use."""
        self.up = True
        if self.capacity():
            self.upstream.dial_succeeded(self.connection, self.capacity())
        else:
            self.close()

    def _on_goaway(self, goaway: GoAway) -> None:
        """End the streams above the last one named, which never ran (RFC 9113, section 6.8).

        The others may have run, and may yet be answered.
        """
        last = min(goaway.last_stream, self.goaway_last_stream or goaway.last_stream)
        self.goaway_last_stream = last
        if self.up:
            self.upstream.capacity_changed(self.connection, 0)
        for stream_id in [stream_id for stream_id in self.streams if stream_id > last]:
            self._end(stream_id, ExchangeResult(Status.CONNECT_FAILED))

    # Events of h2.

    def _on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RemoteSettingsChanged) and not self.up:
            self._on_first_settings()
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            self._on_windows_changed()
        elif isinstance(event, h2.events.DataReceived):
            self._on_data(event)
        else:
            stream_id = getattr(event, "stream_id", None) or 0
            stream = self.streams.get(stream_id)
            if stream is not None:
                self._on_stream_event(stream_id, stream, event)

    def _on_windows_changed(self) -> None:
        for stream_id, stream in list(self.streams.items()):
            self._pump(stream_id, stream)
        self.upstream.capacity_changed(self.connection, self.capacity())

    def _on_data(self, event: h2.events.DataReceived) -> None:
        stream_id = event.stream_id
        self.http.acknowledge_received_data(event.flow_controlled_length, stream_id)
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        stream.body += event.data
        if len(stream.body) > MAX_BUFFERED_RESPONSE:
            self._reset(stream_id)
            self._end(stream_id, ExchangeResult(Status.ERROR))

    def _on_stream_event(self, stream_id: int, stream: StreamExchange, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.ResponseReceived):
            stream.headers = dict(decode_pairs(event.headers))
            code = stream.headers.get(":status", "0")
            stream.code = int(code) if code.isdigit() else 0
        elif isinstance(event, h2.events.StreamEnded):
            self._on_stream_ended(stream_id, stream)
        elif isinstance(event, h2.events.StreamReset):
            refused = event.error_code == ErrorCodes.REFUSED_STREAM  # not processed: RFC 9113, section 8.7
            result = ExchangeResult(Status.FULL) if refused else stream.result_of_loss(self._taken())
            self._end(stream_id, result)

    def _on_stream_ended(self, stream_id: int, stream: StreamExchange) -> None:
        if not stream.written:
            self._reset(stream_id)  # answered early; the rest of the request is of no use
        load_fields = self.upstream.settings.load_fields
        result = read_result(stream.code, stream.headers, bytes(stream.body), load_fields)
        self._end(stream_id, result)

    # Ends.

    def _taken(self) -> int:
        """Return how many bytes of the connection the kernel has taken."""
        return self.link.bytes_sent if self.link is not None else 0

    def _end(self, stream_id: int, result: ExchangeResult) -> None:
        stream = self.streams.pop(stream_id, None)
        if stream is not None:
            with isolate_faults(FaultStep.SERVER_CONNECTION, partial(stream.exchange.finish, result)):
                self.upstream.finish(stream.exchange, result)

    def _reset(self, stream_id: int) -> None:
        try:
            self.http.reset_stream(stream_id, ErrorCodes.CANCEL)
        except H2Error:
            return  # it has ended already

    def cancel(self, exchange: ServerExchange) -> None:
        """Reset the stream of one exchange; the others on the connection go on."""
        for stream_id, stream in list(self.streams.items()):
            if stream.exchange is exchange:
                # A machine that has vanished keeps its connections open and silent for ever.
                self.suspect |= self.last_received_at < stream.started_at
                del self.streams[stream_id]
                self._reset(stream_id)
                self._flush()
                self.upstream.capacity_changed(self.connection, self.capacity())
                self.upstream.release(exchange)
        self._close_if_done()

    def fail(self, exchange: ServerExchange) -> None:
        """End an exchange that a fault of this program has stopped; the others on the connection go on."""
        stream = next((stream for stream in self.streams.values() if stream.exchange is exchange), None)
        may_have_run = stream is not None and stream.result_of_loss(self._taken()).status is Status.RESET
        try:
            self.cancel(exchange)
        finally:
            exchange.finish(FailedExchange(Status.RESET if may_have_run else Status.MOOT))

    def fail_all(self) -> None:
        """End all exchanges on the connection after a fault in closing it."""
        for stream in list(self.streams.values()):
            self.fail(stream.exchange)

    def _close_if_done(self) -> None:
        if self.up and not self.capacity() and not self.streams:
            self.close()

    def close(self, closed_by: ClosedBy = ClosedBy.LOCAL) -> None:
        """Close; each exchange ends by whether its last byte was written."""
        first, self.closed = not self.closed, True
        taken = self._taken()
        if self.link is not None:
            self.link.close()
        streams, self.streams = list(self.streams.values()), {}
        if first and not self.up:
            self.upstream.dial_failed(self.connection)  # it was accepted and never sent its settings
        lost = [
            LostExchange(
                stream.exchange, stream.result_of_loss(taken), self.last_received_at >= stream.started_at
            )
            for stream in streams
        ]
        try:
            self.upstream.connection_closed(self.connection, closed_by, lost)
        finally:
            finish_lost(lost)
