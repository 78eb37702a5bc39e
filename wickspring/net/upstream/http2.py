"""HTTP/2 to a ticket server, by prior knowledge: one connection, many jobs, each on a stream of its own."""

from __future__ import annotations

from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.events
from h2.errors import ErrorCodes
from h2.exceptions import H2Error

from wickspring.connections.model import ClosedBy, PooledConnection
from wickspring.interface import Status
from wickspring.net.http2_wire import Frames, GoAway, pump, settings
from wickspring.net.link import Link
from wickspring.net.upstream.carrier import MOST_ANSWER, Job, Reply
from wickspring.net.upstream.manager import Upstream
from wickspring.net.upstream.reports import read_reply

WINDOW = 1 << 20
MOST_STREAM_ID = 1 << 30  # a connection that has come so far is left for a new one


@dataclass(slots=True, eq=False)
class Exchange:
    """A job on its stream."""

    job: Job
    outgoing: bytearray
    began: float
    written: bool = False  # its last byte has been given to the connection,
    ends_at: int = 0  # as this one of all that the connection was given
    code: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)

    def lost(self, taken: int) -> Reply:
        """Return the outcome of a break: whether its last byte was taken decides what may have run."""
        out = self.written and self.ends_at <= taken
        return Reply(Status.RESET if out else Status.CONNECT_FAILED)


class Http2Link:
    """A connection in the pool."""

    def __init__(self, upstream: Upstream, conn: PooledConnection) -> None:
        self.upstream, self.conn = upstream, conn
        config = h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        self.http = h2.connection.H2Connection(config)
        self.frames = Frames()
        self.link: Link | None = None
        self.streams: dict[int, Exchange] = {}
        self._whole: list[Exchange] = []  # whose last byte goes out with the next flush
        self.heard_at = upstream.clock.now()
        self.last_stream: int | None = None  # of a GOAWAY
        self.suspect = False  # a job got no answer and nothing else was heard: no new work
        self.up = False  # its settings have come, and with them how many streams it takes
        self.closed = False

    def room(self) -> int:
        """Take jobs up to the stream limits of both sides, until the peer says that it goes."""
        spent = (self.http.highest_outbound_stream_id or 0) > MOST_STREAM_ID
        if self.closed or self.suspect or spent or self.last_stream is not None:
            return 0
        ours = self.upstream.settings.streams_per_connection
        return int(min(ours, self.http.remote_settings.max_concurrent_streams))

    def stale(self) -> bool:
        """Tell whether the peer has closed; frames not read yet are no sign of that."""
        return self.link is None or self.link.peek() == b""

    def heard(self, job: Job) -> bool:
        """Tell whether anything has come since the job began."""
        return self.heard_at >= job.assigned_at

    def begin(self, job: Job) -> None:
        """Open a stream for a job."""
        going = self.closed or self.last_stream is not None
        if going or (job.new_work and not self.upstream.may_send(self.conn.server)):
            # The connection has begun to go, or the server was told to drain, while the job was on its way.
            self.upstream.finish(job, Reply(Status.CONNECT_FAILED))
            return
        stream = self.http.get_next_available_stream_id()
        headers = [
            (":method", job.method),
            (":scheme", "http"),
            (":authority", "app.svc"),
            (":path", job.target),
            *((name.lower(), value) for name, value in job.headers),
        ]
        if job.body or job.method == "POST":
            headers.append(("content-length", str(len(job.body))))
        exchange = Exchange(job, bytearray(job.body), self.upstream.clock.now(), written=not job.body)
        self.streams[stream] = exchange
        self.http.send_headers(stream, headers, end_stream=not job.body)
        if exchange.written:
            self._whole.append(exchange)
        self._pump(stream, exchange)
        self._flush()
        self.upstream.room(self.conn, self.room())
        if self.link is not None and self.link.broken:
            self.close(ClosedBy.PEER)

    def _pump(self, stream: int, exchange: Exchange) -> None:
        if not exchange.written and pump(self.http, stream, exchange.outgoing):
            exchange.written = True
            self._whole.append(exchange)

    def _flush(self) -> None:
        if self.link is None:
            return
        self.link.send(self.http.data_to_send())
        for exchange in self._whole:
            exchange.ends_at = self.link.given
        self._whole.clear()

    async def run(self) -> None:
        """Dial, then read until either side ends the connection."""
        asked = self.upstream.clock.now()
        self.link = link = await self.upstream.connect(self.conn)
        if link is None:
            self.closed = True
            return
        self.heard_at = self.upstream.clock.now()
        self.http.local_settings = settings(client=True, streams=0)
        self.http.initiate_connection()
        self.http.increment_flow_control_window(WINDOW)
        self._flush()
        # A peer that accepts and says nothing is as good as not there: one time-out covers both.
        self.upstream.timers.at(asked + self.upstream.settings.dial_timeout, self._not_up)
        while not self.closed:
            data = await link.receive()
            if not data:
                break
            self.heard_at = self.upstream.clock.now()
            try:
                for part in self.frames.feed(data):
                    if isinstance(part, GoAway):
                        self._going(part)
                        continue
                    for event in self.http.receive_data(part):
                        self._event(event)
            except (H2Error, UnicodeDecodeError, ValueError):
                break
            self._flush()
            self._end_if_done()
        self.close(ClosedBy.PEER)

    def _not_up(self) -> None:
        if not self.up:
            self.close()

    def _come_up(self) -> None:
        """Take what waits, as far as the peer's limit goes; a peer that takes none at all is of no use."""
        self.up = True
        if self.room():
            self.upstream.up(self.conn, self.room())
        else:
            self.close()

    def _going(self, goaway: GoAway) -> None:
        """Streams above the last one named never ran; the others may have, and may yet be answered."""
        self.last_stream = min(goaway.last_stream, self.last_stream or goaway.last_stream)
        if self.up:
            self.upstream.room(self.conn, 0)
        for stream in [number for number in self.streams if number > self.last_stream]:
            self._end(stream, Reply(Status.CONNECT_FAILED))

    def _event(self, event: h2.events.Event) -> None:
        stream = getattr(event, "stream_id", None) or 0
        exchange = self.streams.get(stream)
        if isinstance(event, h2.events.RemoteSettingsChanged) and not self.up:
            self._come_up()
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            for number, other in list(self.streams.items()):
                self._pump(number, other)
            self.upstream.room(self.conn, self.room())
        elif isinstance(event, h2.events.DataReceived):
            self.http.acknowledge_received_data(event.flow_controlled_length, stream)
            if exchange is not None:
                exchange.body += event.data
                if len(exchange.body) > MOST_ANSWER:
                    self._cancel(stream)
                    self._end(stream, Reply(Status.ERROR))
        elif exchange is None:
            return
        elif isinstance(event, h2.events.ResponseReceived):
            exchange.headers = {str(name): str(value) for name, value in event.headers}
            code = exchange.headers.get(":status", "0")
            exchange.code = int(code) if code.isdigit() else 0
        elif isinstance(event, h2.events.StreamEnded):
            fields = self.upstream.settings.load_fields
            if not exchange.written:
                self._cancel(stream)  # answered early; the rest of the request is of no use
            reply = read_reply(exchange.code, exchange.headers, bytes(exchange.body), fields)
            self._end(stream, reply)
        elif isinstance(event, h2.events.StreamReset):
            refused = event.error_code == ErrorCodes.REFUSED_STREAM
            taken = self.link.taken if self.link is not None else 0
            self._end(stream, Reply(Status.FULL) if refused else exchange.lost(taken))

    def _end(self, stream: int, reply: Reply) -> None:
        exchange = self.streams.pop(stream, None)
        if exchange is not None:
            self.upstream.finish(exchange.job, reply)

    def _cancel(self, stream: int) -> None:
        try:
            self.http.reset_stream(stream, ErrorCodes.CANCEL)
        except H2Error:
            return  # it has ended already

    def abandon(self, job: Job) -> None:
        """Reset the stream of one job; the others on the connection go on."""
        for stream, exchange in list(self.streams.items()):
            if exchange.job is job:
                # A machine that has vanished keeps its connections open and silent for ever.
                self.suspect |= self.heard_at < exchange.began
                del self.streams[stream]
                self._cancel(stream)
                self._flush()
                self.upstream.room(self.conn, self.room())
                self.upstream.left(job)
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.up and not self.room() and not self.streams:
            self.close()

    def close(self, closed_by: ClosedBy = ClosedBy.LOCAL) -> None:
        """Close; each job ends by whether its last byte was written."""
        first, self.closed = not self.closed, True
        taken = self.link.taken if self.link is not None else 0
        if self.link is not None:
            self.link.close()
        streams, self.streams = list(self.streams.values()), {}
        if first and not self.up:
            self.upstream.dial_failed(self.conn)  # it was accepted and never said its settings
        lost = [(one.job, one.lost(taken), self.heard_at >= one.began) for one in streams]
        self.upstream.closed(self.conn, closed_by, lost)
