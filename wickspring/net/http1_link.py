"""HTTP/1.1 to a ticket server: one connection, one job at a time."""

from __future__ import annotations

import h11

from wickspring import interface as api
from wickspring.interface import Status
from wickspring.net.link import Link, connect
from wickspring.net.reports import read_reply
from wickspring.net.upstream import MOST_ANSWER, Job, Reply, Upstream

_FRAMING = (b"content-length", b"transfer-encoding")
MOST_INTERIM = 8  # answers 1xx ahead of the one that counts


def check_framing(response: h11.Response) -> None:
    """Raise unless the end of an answer is certain; without a length, a cut one would pass for whole."""
    framing = {name: value for name, value in response.headers if name in _FRAMING}
    if response.status_code not in (204, 304) and len(framing) != 1:
        raise h11.RemoteProtocolError("an answer without one clear length")
    if int(framing.get(b"content-length", 0)) > MOST_ANSWER:
        raise h11.RemoteProtocolError("an answer over 64 KiB")


class AnswerReader:
    """Reads one answer after another from a connection's bytes."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._interim = 0

    def request(self, job: Job) -> bytes:
        """Return the bytes of a request."""
        headers = [("Host", "app.svc"), *job.headers]
        if job.body or job.method == "POST":
            headers.append(("Content-Length", str(len(job.body))))
        self._interim = 0
        request = h11.Request(method=job.method, target=job.target, headers=headers)
        data = self.http.send(request) or b""
        if job.body:
            data += self.http.send(h11.Data(data=job.body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")

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
                check_framing(event)
                self._response, self._body = event, bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MOST_ANSWER:
                    raise h11.RemoteProtocolError("an answer over 64 KiB")
            elif isinstance(event, h11.EndOfMessage) and self._response is not None:
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in self._response.headers}
                return self._response.status_code, headers, bytes(self._body)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")

    def reusable(self) -> bool:
        """Make ready for the next request; False where the connection ends here."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return not self.http.trailing_data[0]
        return False


class Http1Link:
    """A connection in the pool."""

    def __init__(self, upstream: Upstream, server: api.ServerId, address: tuple[str, int]) -> None:
        self.upstream, self.server, self.address = upstream, server, address
        self.job: Job | None = None
        self.link: Link | None = None
        self.reader = AnswerReader()
        self.idle_since = upstream.clock.now()
        self.closed = False
        self.idle: float | None = None  # ms idle before the present job; None on a new connection
        self.sent = False  # bytes of the present job have gone out

    def room(self) -> int:
        """Take one job when up and idle."""
        return int(not self.closed and self.job is None and self.link is not None)

    def busy(self) -> bool:
        """Tell whether a job, or a dial, is on."""
        return self.job is not None or (self.link is None and not self.closed)

    def stale(self) -> bool:
        """Tell whether the peer has closed, or has said something unasked."""
        return self.link is None or self.link.peek() is not None

    def begin(self, job: Job) -> None:
        """Write the job now, or once the connection is up."""
        self.job = job
        if self.link is not None:
            self.idle = self.upstream.clock.now() - self.idle_since
            self._write(job, self.link)

    def _write(self, job: Job, link: Link) -> None:
        if job.new_work and not self.upstream.may_send(self.server):
            # Told of its drain while the connection was on its way: nothing new may go there.
            self._end(Reply(Status.CONNECT_FAILED))
            return
        self.sent = True
        link.send(self.reader.request(job))
        if link.broken:
            self.close()

    async def run(self) -> None:
        """Dial, then read answers until either side ends the connection."""
        sock = await connect(self.address, self.upstream.settings.dial_timeout)
        if sock is None or self.closed:
            if sock is not None:
                sock.close()
            self.close()
            return
        self.link = link = Link(sock, self.upstream.nursery)
        self.idle_since = self.upstream.clock.now()
        if self.job is not None:
            self._write(self.job, link)
        while not self.closed:
            data = await link.receive()
            if data is None or self.job is None:
                break  # broken, or something said unasked, a close most of all
            try:
                answer = self.reader.feed(data)
            except h11.RemoteProtocolError:
                break
            if answer is not None:
                self._answered(answer)
            elif not data:
                break
        self.close()

    def _answered(self, answer: tuple[int, dict[str, str], bytes]) -> None:
        # An answer before the request is out (a server that turns work away early) leaves the
        # connection in no state to be used again.
        if not (self.link is not None and self.link.flushed and self.reader.reusable()):
            self.closed = True
        if self.idle is not None:
            self.upstream.reuse.note(self.idle, reset=False)
        reply = read_reply(*answer, self.upstream.settings.load_fields)
        self._end(reply)

    def _end(self, reply: Reply) -> None:
        job, self.job, self.sent = self.job, None, False
        self.idle_since = self.upstream.clock.now()
        if not self.closed:
            self.upstream.freed(self.server, self)
        if job is not None:
            job.end(reply)

    def abandon(self, job: Job) -> None:
        """Giving up a written job closes the connection; one not written leaves it to be used."""
        if self.job is job:
            self.job = None
            if self.sent:
                self.close()

    def close(self) -> None:
        """Close; whether the last byte was written decides what may have run."""
        written = self.sent and self.link is not None and self.link.flushed
        self.closed = True
        if self.link is not None:
            self.link.close()
        if self.job is not None:
            if written and self.idle is not None:
                self.upstream.reuse.note(self.idle, reset=True)
            self._end(Reply(Status.RESET if written else Status.CONNECT_FAILED))
