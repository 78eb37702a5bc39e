"""The second front: HTTP/2 from clients, by prior knowledge, onto the same core and the same rules."""

from __future__ import annotations

import logging
import socket

import h2.config
import h2.connection
import h2.events
import trio
from h2.errors import ErrorCodes
from h2.exceptions import H2Error

from wickspring.logs import kv
from wickspring.net.calls import DEFER_S, HEAD_MS, IDLE_MS, MOST_BODY, SILENT_MS, CallError, read_head
from wickspring.net.http2_wire import LAST_STREAM, PREFACE_SIZE, Frames, GoAway, goaway, pump, settings
from wickspring.net.http_server import HttpRequest
from wickspring.net.link import Link
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)

LINGER_MS = 1000.0
MOST_RESETS = 200  # more than are answered: a client that only opens and resets is shut out
WINDOW = 1 << 20  # bytes of bodies that a connection may have on the way in


class Stream:
    """One request on a connection, and the place where its answer goes."""

    def __init__(self, owner: Http2Connection, number: int) -> None:
        self.owner, self.id = owner, number
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.begun_at = owner.server.clock.now()
        self.whole = False  # its last byte has come
        self.request: int | None = None  # the core's number while an answer is owed
        self.budget = 0.0
        self.outgoing: bytearray | None = None  # what is left of the answer
        self.passing = False  # more of it is to come
        self._moved: trio.Event | None = None

    def request_accepted(self, number: int, budget: float) -> None:
        """Note that an answer is owed."""
        self.request, self.budget = number, budget

    def respond(self, status: int, retry_after: str, body: bytes) -> None:
        """Give the final answer, as fast as the client's windows let it out."""
        self.request = None
        self.owner.respond(self, status, retry_after, body)

    def begin_response(self, length: int | None) -> None:
        """Begin a good answer that is passed on as it comes."""
        self.passing = True
        self.owner.begin_response(self, length)

    def write_body(self, data: bytes) -> None:
        """Pass on a piece."""
        if self.outgoing is not None:
            self.outgoing += data
            self.owner.move(self)

    async def wait_writable(self) -> bool:
        """Wait until the client's windows have let out what was passed on; False where it has gone."""
        while self.outgoing and not self.owner.ending and self.id in self.owner.streams:
            self._moved = trio.Event()
            await self._moved.wait()
        return not self.owner.ending and self.id in self.owner.streams and await self.owner.link.room()

    def moved(self) -> None:
        """Wake who waits for room."""
        if self._moved is not None:
            self._moved.set()

    def end_response(self, complete: bool) -> None:
        """End the answer; one that is not complete ends with a reset of its stream."""
        self.request = None
        self.passing = False
        self.owner.end_response(self, complete)


class Http2Connection:
    """One client connection with many streams."""

    def __init__(self, link: Link, server: Runtime) -> None:
        self.link, self.server = link, server
        config = h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        self.http = h2.connection.H2Connection(config)
        self.frames = Frames(PREFACE_SIZE)
        self.streams: dict[int, Stream] = {}
        self.last_stream = 0
        self.resets = 0
        self.refusing = False  # no new streams: the last GOAWAY has been sent
        self.heard_at = server.clock.now()
        self.ending = False

    async def run(self) -> None:
        """Read until the client leaves or this side has said its last."""
        if self.link.peek() is None:  # handed over without a word: it has been silent since it connected
            self.heard_at -= 1000.0 * DEFER_S
        streams = self.server.instance.settings.streams_per_connection
        self.http.local_settings = settings(client=False, streams=streams)
        self.http.initiate_connection()
        self.http.increment_flow_control_window(WINDOW)
        self.flush()
        while True:
            data = await self.link.receive()
            if not data:
                break
            if not self.ending:
                self.heard_at = self.server.clock.now()
                self.feed(data)

    def feed(self, data: bytes) -> None:
        """Take bytes in; what is no HTTP/2 ends this connection and no other."""
        try:
            for part in self.frames.feed(data):
                if isinstance(part, GoAway):
                    self.refusing = True  # the client opens nothing more; its streams are still answered
                    continue
                for event in self.http.receive_data(part):
                    self._event(event)
        except (H2Error, UnicodeDecodeError, ValueError) as error:
            log.info("client_broke_http2", extra=kv(reason=error))
            self.cancel_requests()
            self.flush()
            self.finish_now()
            return
        if not self.server.record_buffered(self, sum(len(stream.body) for stream in self.streams.values())):
            log.warning("client_holds_too_much", extra=kv(streams=len(self.streams)))
            self.http.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            self.cancel_requests()
            self.flush()
            self.finish_now()
            return
        self.flush()
        if self.refusing and not self.streams:
            self.finish_now()

    def cancel_requests(self) -> None:
        """Withdraw whatever is still owed on this connection."""
        self.ending = True
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            self._withdraw(stream)
            stream.moved()

    def _withdraw(self, stream: Stream) -> None:
        number, stream.request = stream.request, None
        if number is not None:
            self.server.client_disconnected(number)

    def flush(self) -> None:
        """Write what h2 has ready."""
        self.link.send(self.http.data_to_send())

    def is_idle(self) -> bool:
        """Tell that this connection takes a `finish` at any time: it ends when its streams have."""
        return True

    def idle_since(self) -> float | None:
        """Return when it was last heard of; None while an answer is owed on it."""
        streams = self.streams.values()
        owed = any(stream.request is not None or stream.outgoing is not None for stream in streams)
        return None if owed else self.heard_at

    def close_if_unread(self) -> None:
        """End it now, unless something has come that is not read yet."""
        if self.link.peek() is None:
            self.link.close()

    def expire(self, now: float) -> None:
        """End the connection where it has been silent, or a request has been on its way, for too long."""
        late = [s for s in self.streams.values() if not s.whole and now - s.begun_at > HEAD_MS]
        idle = not self.streams and now - self.heard_at > (IDLE_MS if self.last_stream else SILENT_MS)
        if self.ending or not (late or idle) or self.link.peek() is not None:
            return  # what has come and is not read yet may be what was waited for
        self.server.closed_counts["half_sent" if late else "idle" if self.last_stream else "silent"] += 1
        for stream in late:
            self.respond(stream, 408, "", b"the request did not come whole in time\n")
            self._reset_ours(stream.id, ErrorCodes.NO_ERROR)
        self.flush()
        if idle:
            self.finish()

    def finish(self) -> None:
        """Take no more streams, answer those there are, and end."""
        if not self.refusing:
            self.refusing = True
            self.link.send(goaway(self.last_stream))
        if not self.streams:
            self.finish_now()

    def detach(self) -> tuple[socket.socket, bytes] | None:
        """Stay: the state of the compression cannot be told. The client is sent elsewhere by `drain`."""
        return None

    def drain(self) -> None:
        """Tell the client to go elsewhere; streams on their way here are still taken."""
        self.link.send(goaway(LAST_STREAM))

    def finish_now(self) -> None:
        """End the connection after what has been written."""
        self.ending = True
        self.link.finish()
        self.server.call_later(LINGER_MS, self.link.close)

    # Events of the connection.

    def _event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self._open(event)
        elif isinstance(event, h2.events.DataReceived):
            self._data(event)
        elif isinstance(event, h2.events.StreamEnded):
            stream = self.streams.get(event.stream_id)
            if stream is not None and stream.outgoing is None:
                self._take(stream)
        elif isinstance(event, h2.events.StreamReset):
            self._reset(event.stream_id)
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            for stream in list(self.streams.values()):
                self._pump(stream)

    def _open(self, event: h2.events.RequestReceived) -> None:
        number = event.stream_id
        if self.refusing:
            self.http.reset_stream(number, ErrorCodes.REFUSED_STREAM)
            return
        self.last_stream = max(self.last_stream, number)
        pairs = [(str(name), str(value)) for name, value in event.headers]
        stream = self.streams[number] = Stream(self, number)
        try:
            stream.headers = read_head(pairs)
        except CallError as error:
            self.respond(stream, error.status, "", f"bad {error}\n".encode())
            if event.stream_ended is None:
                self._reset_ours(number, ErrorCodes.NO_ERROR)

    def _data(self, event: h2.events.DataReceived) -> None:
        self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.outgoing is not None:
            return
        stream.body += event.data
        if len(stream.body) > MOST_BODY:
            self.respond(stream, 413, "", b"body over 64 KiB\n")
            if event.stream_ended is None:  # have the client stop sending the rest
                self._reset_ours(event.stream_id, ErrorCodes.NO_ERROR)

    def _take(self, stream: Stream) -> None:
        headers, stream.whole = stream.headers, True
        method, target = headers.get(":method", ""), headers.get(":path", "")
        self.server.handle_request(stream, HttpRequest(method, target, headers, bytes(stream.body)))

    def _reset(self, number: int) -> None:
        """Cancel a stream that the client wants no answer on; the other streams are not touched.

        Its request is withdrawn: that is its one end in the core, which starts nothing for it any more.
        """
        stream = self.streams.pop(number, None)
        if stream is None:
            return
        self._withdraw(stream)
        stream.moved()
        self.resets += 1
        if self.resets > MOST_RESETS:
            log.warning("client_resets_too_much", extra=kv(resets=self.resets))
            self.http.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            self.cancel_requests()
            self.flush()
            self.finish_now()

    # Answers.

    def respond(self, stream: Stream, status: int, retry_after: str, body: bytes) -> None:
        """Begin the answer on a stream."""
        if self.ending or stream.id not in self.streams:
            return
        self.resets = max(0, self.resets - 1)
        headers = [(":status", str(status)), ("content-length", str(len(body)))]
        if retry_after:
            headers.append(("retry-after", retry_after))
        try:
            self.http.send_headers(stream.id, headers, end_stream=not body)
        except H2Error as error:  # the stream has ended in a way that h2 has not told yet
            log.info("answer_not_sent", extra=kv(reason=error))
            self.streams.pop(stream.id, None)
            return
        stream.outgoing = bytearray(body)
        self._pump(stream)
        if stream.id in self.streams:  # a window is shut; past the client's time the answer is no use
            self.server.call_later(max(stream.budget, LINGER_MS), lambda: self._give_up(stream))
        self.flush()
        if self.server.near_connection_limit:
            self.finish()
        elif self.refusing and not self.streams:
            self.finish_now()

    def begin_response(self, stream: Stream, length: int | None) -> None:
        """Begin an answer that is passed on as it comes."""
        if self.ending or stream.id not in self.streams:
            return
        headers = [(":status", "200")]
        if length is not None:
            headers.append(("content-length", str(length)))
        try:
            self.http.send_headers(stream.id, headers)
        except H2Error as error:
            log.info("answer_not_sent", extra=kv(reason=error))
            self.streams.pop(stream.id, None)
            return
        stream.outgoing = bytearray()
        self.flush()

    def move(self, stream: Stream) -> None:
        """Let out what the windows allow."""
        if not self.ending and stream.id in self.streams:
            self._pump(stream)
            self.flush()

    def end_response(self, stream: Stream, complete: bool) -> None:
        """End an answer that was passed on."""
        if self.ending or stream.id not in self.streams:
            return
        if complete:
            self._pump(stream)
        else:
            self._reset_ours(stream.id, ErrorCodes.INTERNAL_ERROR)
        self.flush()
        if self.server.near_connection_limit:
            self.finish()
        elif self.refusing and not self.streams:
            self.finish_now()

    def _pump(self, stream: Stream) -> None:
        if stream.outgoing is None:
            return
        try:
            whole = pump(self.http, stream.id, stream.outgoing, more=stream.passing)
        except H2Error as error:  # the client has reset it, which is told in a moment
            log.info("answer_not_sent", extra=kv(reason=error))
            return
        if whole:
            self.streams.pop(stream.id, None)
        if not stream.outgoing:
            stream.moved()

    def _give_up(self, stream: Stream) -> None:
        if not self.ending and self.streams.pop(stream.id, None) is not None:
            self._reset_ours(stream.id, ErrorCodes.CANCEL)
            self.flush()
            if self.refusing and not self.streams:
                self.finish_now()

    def _reset_ours(self, number: int, code: ErrorCodes) -> None:
        self.streams.pop(number, None)
        try:
            self.http.reset_stream(number, code)
        except H2Error as error:
            log.info("stream_was_gone", extra=kv(reason=error))


async def serve(link: Link, server: Runtime) -> None:
    """Serve one client connection."""
    await server.serve(Http2Connection(link, server), link)
