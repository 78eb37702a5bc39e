"""HTTP/1.1 to a ticket server: one connection, one job at a time."""

from __future__ import annotations

import math

import h11
import trio

from wickspring.connections.model import ClosedBy, PooledConnection
from wickspring.interface import Status
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import MOST_LONG
from wickspring.net.link import Link
from wickspring.net.upstream.carrier import MOST_ANSWER, Job, Reply, Sink
from wickspring.net.upstream.manager import Upstream
from wickspring.net.upstream.reports import read_reply

_FRAMING = (b"content-length", b"transfer-encoding")
STALL_S = 15.0  # for a peer that moves no byte of a transfer; slow ones take seconds
MOST_INTERIM = 8  # answers 1xx ahead of the one that counts


def check_framing(response: h11.Response) -> int | None:
    """Return an answer's length where it is told ahead; raise unless its end is certain.

    Without a length a cut answer would pass for whole. Only one that says it ends with its connection may.
    """
    framing = {name: value for name, value in response.headers if name in _FRAMING}
    closes = response.http_version == b"1.0" or any(
        name == b"connection" and b"close" in value.lower() for name, value in response.headers
    )
    if response.status_code not in (204, 304) and len(framing) != 1 and not (closes and not framing):
        raise h11.RemoteProtocolError("an answer without one clear length")
    length = framing.get(b"content-length")
    if length is None:
        return None
    if response.status_code != 200 and int(length) > MOST_ANSWER:
        raise h11.RemoteProtocolError("a refusal over 64 KiB")
    if int(length) > MOST_LONG:
        raise h11.RemoteProtocolError("an answer over 64 MiB")
    return int(length)


class AnswerReader:
    """Reads one answer after another from a connection's bytes."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._interim = 0
        self.length: int | None = None  # of the present answer, where it is told ahead
        self.long = False  # it is longer than what is held: its bytes are to be taken as they come

    def request(self, job: Job) -> bytes:
        """Return the bytes of a request, as far as they are held."""
        headers = [("Host", job.host), *job.headers]
        body_stream = job.body_stream
        if body_stream is not None and body_stream.content_length is None:
            headers.append(("Transfer-Encoding", "chunked"))
        elif body_stream is not None or job.body or job.method == "POST":
            length = len(job.body) if body_stream is None else body_stream.content_length
            headers.append(("Content-Length", str(length)))
        self._interim = 0
        request = h11.Request(method=job.method, target=job.target, headers=headers)
        data = self.http.send(request) or b""
        if job.body:
            data += self.http.send(h11.Data(data=job.body)) or b""
        return data if body_stream is not None else data + self.end()

    def piece(self, data: bytes) -> bytes:
        """Return the bytes that carry a further piece of the request's body."""
        return self.http.send(h11.Data(data=data)) or b""

    def end(self) -> bytes:
        """Return the bytes that end the request."""
        return self.http.send(h11.EndOfMessage()) or b""

    @property
    def some(self) -> bool:
        """Tell whether bytes of the answer's body wait to be taken."""
        return bool(self._body)

    def take(self) -> bytes:
        """Take what has come of a long answer."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def feed(self, data: bytes) -> tuple[int, dict[str, str], bytes] | None:
        """Take bytes in; return status, headers and body once the answer is whole."""
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._interim += 1
                if self._interim > MOST_INTERIM:
                    raise h11.RemoteProtocolError("1xx without an end")
            elif isinstance(event, h11.Response):
                self.length = check_framing(event)
                self.long = self.length is not None and self.length > MOST_ANSWER
                self._response, self._body = event, bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MOST_ANSWER:
                    if self._response is None or self._response.status_code != 200:
                        raise h11.RemoteProtocolError("a refusal over 64 KiB")
                    self.long = True
            elif isinstance(event, h11.EndOfMessage) and self._response is not None:
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in self._response.headers}
                return self._response.status_code, headers, bytes(self._body)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")

    @property
    def code(self) -> int:
        """Return the status of the present answer; 0 while none has begun."""
        return self._response.status_code if self._response is not None else 0

    @property
    def reason(self) -> str:
        """Return the words beside the status of the present answer."""
        return self._response.reason.decode("latin-1") if self._response is not None else ""

    @property
    def pairs(self) -> list[tuple[str, str]]:
        """Return the headers of the present answer, in order, their names in lower case."""
        if self._response is None:
            return []
        return [(k.decode("latin-1"), v.decode("latin-1")) for k, v in self._response.headers]

    def reusable(self) -> bool:
        """Make ready for the next request; False where the connection ends here."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return not self.http.trailing_data[0]
        return False


class Http1Link:
    """A connection in the pool."""

    def __init__(self, upstream: Upstream, conn: PooledConnection) -> None:
        self.upstream, self.conn = upstream, conn
        self.job: Job | None = None
        self.link: Link | None = None
        self.reader = AnswerReader()
        self.closed = False
        self.sent = False  # bytes of the present job have gone out
        self._whole = False  # its last byte has been handed to the link
        self._sink: Sink | None = None  # where the long answer goes that has begun
        self._heard = False  # and bytes have come since

    def stale(self) -> bool:
        """Tell whether the peer has closed, or has said something unasked."""
        return self.link is None or self.link.peek() is not None

    def heard(self, job: Job) -> bool:
        """Tell whether anything has come since the job began."""
        return self.job is job and self._heard

    def begin(self, job: Job) -> None:
        """Write the job."""
        self.job, self._heard = job, False
        if self.link is None:
            self.close()
        elif job.new_work and not self.upstream.may_send(self.conn.server):
            # Told of its drain while the connection was on its way: nothing new may go there.
            self._end(Reply(Status.CONNECT_FAILED))
        else:
            self.sent, self._whole = True, job.body_stream is None
            self.link.send(self.reader.request(job))
            if self.link.broken:
                self.close(ClosedBy.PEER)
            elif job.body_stream is not None:
                self.upstream.nursery.start_soon(self._upload, job, job.body_stream, self.link)

    async def _upload(self, job: Job, body_stream: BodyStream, link: Link) -> None:
        """Write the rest of a long body as it comes and as the server reads it."""
        while True:
            with trio.move_on_after(STALL_S) as stalled:
                await link.room()
            if stalled.cancelled_caught and self.job is job:
                self.close(ClosedBy.PEER)
            more = not link.broken and await body_stream.wait_readable()
            if self.job is not job or link.broken or body_stream.closed:
                return  # answered, given up or broken meanwhile; whoever did so has seen to the rest
            if more:
                if not job.flows():
                    return
                link.send(self.reader.piece(body_stream.read_available()))
            elif body_stream.ended:
                link.send(self.reader.end())
                self._whole = True
                job.uploaded()
                return

    async def run(self) -> None:
        """Dial, then read answers until either side ends the connection."""
        self.link = link = await self.upstream.connect(self.conn)
        if link is None:
            self.closed = True
            return
        self.upstream.up(self.conn, 1)
        while not self.closed:
            data: bytes | None = None
            with trio.move_on_after(STALL_S if self._sink is not None else math.inf):
                data = await link.receive()
            if data is None or self.job is None:
                break  # broken, or something said unasked, a close most of all
            self._heard |= bool(data)
            try:
                answer = self.reader.feed(data)
            except h11.RemoteProtocolError:
                break
            if self.reader.long and self.reader.some and not await self._pass_on(self.job):
                break
            if answer is not None:
                self._answered(answer)
            elif not data:
                break
        self.close(ClosedBy.PEER)

    async def _pass_on(self, job: Job) -> bool:
        """Pass on what has come of a long answer; False where nobody wants it any more."""
        if self._sink is None:
            job.untimed()
            self._sink = self.begins(job)
        if self._sink is None or self.job is not job:
            return False
        self._sink.write_body(self.reader.take())
        with trio.move_on_after(STALL_S):
            return await self._sink.wait_writable() and self.job is job
        return False

    def begins(self, job: Job) -> Sink | None:
        """Say where a long answer goes; None where nobody takes it."""
        return job.begins(self.reader.length)

    def _answered(self, answer: tuple[int, dict[str, str], bytes]) -> None:
        # An answer before the request is out (a server that turns work away early) leaves the
        # connection in no state to be used again.
        if not (self.link is not None and self.link.flushed and self.reader.reusable()):
            self.closed = True
            self.upstream.room(self.conn, 0)
            if self.link is not None:
                self.link.close()
        self.reader.long = False
        self._end(self.read(answer))

    def read(self, answer: tuple[int, dict[str, str], bytes]) -> Reply:
        """Say what a whole answer means."""
        return read_reply(*answer, self.upstream.settings.load_fields)

    def _end(self, reply: Reply) -> None:
        job, self.job, self.sent, self._sink = self.job, None, False, None
        if job is not None:
            self.upstream.finish(job, reply)

    def abandon(self, job: Job) -> None:
        """Give up a job, which closes the connection once the job is written."""
        if self.job is job:
            self.job = None
            self.close()

    def written(self) -> bool:
        """Tell whether the present job may have run: its last byte was written."""
        return self.sent and self._whole and self.link is not None and self.link.flushed

    def close(self, closed_by: ClosedBy = ClosedBy.LOCAL) -> None:
        """Close; what was written decides what may have run."""
        written = self.written()
        self.closed, self.sent = True, False
        if self.link is not None:
            self.link.close()
        job, self.job = self.job, None
        reply = Reply(Status.RESET if written else Status.CONNECT_FAILED)
        self.upstream.closed(self.conn, closed_by, [(job, reply, self._heard)] if job is not None else [])
