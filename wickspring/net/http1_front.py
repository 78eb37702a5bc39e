"""The platform's front: HTTP/1.1 from clients, one request at a time on each connection."""

from __future__ import annotations

import re
import socket
from collections.abc import Sequence
from dataclasses import dataclass

import h11
import trio

from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import (
    BODY_LEAST,
    BODY_MS,
    DEFER_S,
    HEAD_MS,
    IDLE_MS,
    MOST_BODY,
    MOST_LONG,
    SILENT_MS,
    CallError,
    read_head,
)
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link

MOST_HEAD = 16 * 1024
MOST_AHEAD = MOST_HEAD + MOST_BODY  # bytes of the next request, taken in while an answer is owed
LINGER_MS = 1000.0  # for the client to close once the last answer has left
READ_MS = 15_000.0  # for a client that reads nothing of its last answer
MOST_DROPPED = 32 << 20  # bytes read and dropped after an early answer; who has more to send is cut off
NO_ROOM_S = 1.0  # after which a long request that found no room may come again
MOST_AT_ONCE = 8  # requests taken from one connection before others have their turn
_LENGTH = re.compile(rb"^content-length[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE | re.MULTILINE)


def length_is_odd(head: bytes) -> bool:
    """Tell whether a head gives its body's length twice, even as one number; h11 folds those into one."""
    lengths = _LENGTH.findall(head)
    return len(lengths) > 1 or any(not length.strip().isdigit() for length in lengths)


_ABSOLUTE = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


def origin_form(target: str) -> str:
    """Return a target as ticket servers know it: who speaks as to a proxy puts scheme and host ahead."""
    absolute = _ABSOLUTE.match(target)
    if absolute is None:
        return target
    rest = target[absolute.end() :]
    return rest if rest.startswith("/") else f"/{rest}"


@dataclass(slots=True, frozen=True)
class Patience:
    """What a client may send, and how long it may take; milliseconds and bytes."""

    silent: float = SILENT_MS
    head: float = HEAD_MS
    body: float = BODY_MS
    idle: float = IDLE_MS
    most_head: int = MOST_HEAD
    most_body: int = MOST_LONG


USUAL = Patience()


class Http1Connection:
    """One client connection."""

    def __init__(
        self, link: Link, server: HttpServer, ahead: bytes | None = None, patience: Patience = USUAL
    ) -> None:
        self.link, self.server, self.patience = link, server, patience
        self.ahead = ahead  # what the process before this one had read; None for a new connection
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=patience.most_head)
        self.request: h11.Request | None = None
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.body_stream: BodyStream | None = None  # for the rest of a long body, while it comes
        self.body_at, self.body_size = 0.0, 0  # when a body began, put off by what held it up here; its bytes
        self.number: int | None = None  # of the request that waits for its answer
        self.begun_at = self.heard_at = server.clock.now()  # begun: connecting, or a request's first byte
        self.served = ahead is not None  # a request has come whole
        self.advancing = False
        self.ending = False
        self._closes = False  # with the long answer that has begun
        self._turn: trio.Event | None = None  # of who has sent much before its answer

    async def run(self) -> None:
        """Read until the client leaves or this side has said its last."""
        dropped = 0
        if self.ahead:
            self._heard(self.ahead)
        elif self.ahead is None and self.link.peek() is None:  # it has been silent since it connected
            self.begun_at = self.heard_at = self.begun_at - 1000.0 * DEFER_S
        while dropped < MOST_DROPPED and not self.link.broken:
            body_stream = self.body_stream
            if body_stream is not None and body_stream.is_full:
                full_at = self.server.clock.now()
                await body_stream.wait_writable()
                self.body_at += self.server.clock.now() - full_at  # no fault of the client's
                continue
            if (
                self.number is not None
                and body_stream is None
                and len(self.http.trailing_data[0]) > MOST_AHEAD
            ):
                self._turn = trio.Event()  # what comes before its turn waits with the client
                await self._turn.wait()
                continue
            data = await self.link.receive()
            if not data:
                break
            if self.ending:
                dropped += len(data)  # read, so that closing does not reset the answer
                continue
            if not self._heard(data):
                break
        self.ending = True

    def _heard(self, data: bytes) -> bool:
        """Take bytes in; False where the connection is to end at once."""
        self.heard_at = self.server.clock.now()
        if self.served and self.is_idle():
            self.begun_at = self.heard_at
        self.http.receive_data(data)
        if self.number is None or self.body_stream is not None:
            self.advance()
        ahead = len(self.http.trailing_data[0])
        size = ahead + (len(self.body) if self.request is not None else 0)
        if not self.server.record_buffered(self, size) and not self.ending:
            if self.number is not None:
                return False
            self.respond(503, "", b"too much is being sent at once\n")
        return True

    def detach(self) -> tuple[socket.socket, bytes] | None:
        """Give the connection away, with what has been read ahead; None while a request is under way."""
        ahead, closed = self.http.trailing_data
        if self.number is not None or self.request is not None or self.ending or self.advancing or closed:
            return None
        sock = self.link.detach()
        if sock is None:
            return None
        self.ending = True
        return sock, ahead

    def cancel_requests(self) -> None:
        """Withdraw the request that is out, if any: the client has left."""
        number, self.number = self.number, None
        if number is not None:
            self.server.client_disconnected(number)

    def is_idle(self) -> bool:
        """Tell whether no request is under way."""
        return self.number is None and self.request is None and not self.http.trailing_data[0]

    def idle_since(self) -> float | None:
        """Return when it was last heard of; None while an answer is owed on it."""
        return self.heard_at if self.number is None else None

    def close_if_unread(self) -> None:
        """End it now, unless something has come that is not read yet."""
        if self.link.peek() is None:
            self.link.close()

    def expire(self, now: float) -> None:
        """End the connection where it has been silent, or a request has been on its way, for too long."""
        body_stream = self.body_stream
        if self.ending or (self.number is not None and (body_stream is None or body_stream.is_full)):
            return
        idle = self.is_idle()
        since, most = self.begun_at, self.patience.silent
        if self.served:
            since, most = self.heard_at, self.patience.idle
        if self.request is not None:
            since, most = self.body_at, self.patience.body + self.body_size / BODY_LEAST
        elif not idle:
            since, most = self.begun_at, self.patience.head
        if now - since < most or self.link.peek() is not None:
            return  # what has come and is not read yet may be a whole request
        self.server.closed_counts["half_sent" if not idle else "idle" if self.served else "silent"] += 1
        if idle:
            self.link.close()
        elif self.number is not None and self.server.executes_partial_requests:
            self.cancel_requests()
            self.end_response(False)
        else:
            self.cancel_requests()  # of a long body: what began is given up
            self.respond(408, "", b"the request did not come whole in time\n")

    def advance(self) -> None:
        """Take in what has been read, up to the end of one request."""
        self.advancing, taken = True, 0
        try:
            while not self.ending and (self.number is None or self.body_stream is not None):
                ahead = self.http.trailing_data[0] if self.request is None else b""
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body = event, bytearray()
                    self.body_at, self.body_size = self.server.clock.now(), 0
                    if length_is_odd(ahead[: len(ahead) - len(self.http.trailing_data[0])]):
                        raise CallError("content-length")
                    pairs = ((k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers)
                    self.headers = read_head(pairs)
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.link.send(self.http.send(go_on) or b"")
                elif isinstance(event, h11.Data):
                    self.body_size += len(event.data)
                    if self.body_stream is not None:
                        if self.body_size > self.patience.most_body:
                            self.cancel_requests()
                            self.respond(413, "", b"body too large\n")
                            return
                        self.body_stream.write(bytes(event.data))
                        continue
                    self.body += event.data
                    if len(self.body) > MOST_BODY and self.request is not None:
                        self._take_long(self.request)
                elif isinstance(event, h11.EndOfMessage) and self.body_stream is not None:
                    body_stream, self.body_stream, self.request = self.body_stream, None, None
                    body_stream.write_eof()
                    return
                elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                    self._take(self.request)
                    taken += 1
                    if taken == MOST_AT_ONCE and self.http.trailing_data[0]:
                        self.server.call_later(0.0, self.advance)  # the others' turn comes first
                        return
        except CallError as error:  # the end: where the next request would begin is not certain
            self.respond(error.status, "", f"bad {error}\n".encode())
        except h11.RemoteProtocolError as error:
            code = error.error_status_hint
            self.respond(code if code in (413, 431) else 400, "", f"{error}\n".encode())
        finally:
            self.advancing = False

    def _take(self, request: h11.Request, body_stream: BodyStream | None = None) -> None:
        """Take a request with what is held of its body; a stream brings the rest."""
        method, target = request.method.decode("latin-1"), origin_form(request.target.decode("latin-1"))
        self.served = True
        self.server.handle_request(
            self, HttpRequest(method, target, self.headers, bytes(self.body), body_stream)
        )

    def _take_long(self, request: h11.Request) -> None:
        """Take a request whose body is longer than what is held; the rest flows."""
        if not self.server.can_stream:
            self.server.closed_counts["no_room_to_flow"] += 1
            self.respond(503, f"{NO_ROOM_S:.3f}", b"too many long requests at once\n")
            return
        length = self.headers.get("content-length")
        self.body_stream = BodyStream(int(length) if length is not None else None)
        self.body_stream.write(bytes(self.body[MOST_BODY:]))
        del self.body[MOST_BODY:]
        self._take(request, self.body_stream)
        self.body = bytearray()
        if self.number is None:  # answered at once
            self.body_stream = None

    def pairs(self) -> list[tuple[str, str]]:
        """Return the headers of the request that is being taken, in order, their names in lower case."""
        if self.request is None:
            return []
        return [(k.decode("latin-1"), v.decode("latin-1")) for k, v in self.request.headers]

    def request_accepted(self, number: int, budget: float) -> None:
        """Note that an answer is owed."""
        self.number = number

    def respond(
        self, status: int, retry_after: str, body: bytes, more: Sequence[tuple[str, str]] = ()
    ) -> None:
        """Write the final answer, and go on to the next request where there may be one."""
        headers = [*more]
        if status >= 200 and status not in (204, 304):
            headers.append(("Content-Length", str(len(body))))
        if retry_after:
            headers.append(("Retry-After", retry_after))
        # Who errs is not heard on and on; `ahead` is of requests sent without waiting for this answer.
        ahead = self.http.trailing_data[0]
        errs = bool(ahead) and 400 <= status < 500 and status != 429
        ends = self._ends() or errs
        if ends or self.http.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self.http.send(h11.Response(status_code=status, headers=headers)) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(h11.EndOfMessage()) or b""
            self.link.send(data)
        self._answered(ends)

    def _ends(self) -> bool:
        """Tell whether the connection is to end with the present answer."""
        return self.server.near_connection_limit or (self.server.draining and not self.server.handing_over)

    def _answered(self, ends: bool) -> None:
        if self._turn is not None:
            self._turn.set()
        self.number = self.request = self.body_stream = None
        if self.http.our_state is self.http.their_state is h11.DONE and not ends:
            ahead = self.http.trailing_data[0]
            self.http.start_next_cycle()
            self.begun_at = self.heard_at = self.server.clock.now()
            if ahead and not self.advancing:  # else the loop that brought this request goes on
                self.advance()
        else:
            self.finish()

    def begin_response(
        self, length: int | None, status: int = 200, more: Sequence[tuple[str, str]] = ()
    ) -> None:
        """Begin a good answer that is passed on as it comes."""
        headers = [*more]
        if length is not None:
            headers.append(("Content-Length", str(length)))
        self._closes = self._ends()
        if self._closes or self.http.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.link.send(self.http.send(h11.Response(status_code=status, headers=headers)) or b"")

    def write_body(self, data: bytes) -> None:
        """Pass on a piece."""
        if data and self.http.our_state is h11.SEND_BODY:
            self.link.send(self.http.send(h11.Data(data=data)) or b"")

    async def wait_writable(self) -> bool:
        """Wait until the kernel has taken what was passed on; False where the client has gone."""
        return await self.link.room()

    def end_response(self, complete: bool) -> None:
        """End the answer; one that is not complete ends with its connection, in no good order."""
        if not complete or self.http.our_state is not h11.SEND_BODY:
            self.number, self.ending = None, True
            if self._turn is not None:
                self._turn.set()
            self.link.abort()
            return
        self.link.send(self.http.send(h11.EndOfMessage()) or b"")
        self._answered(self._closes)

    def drain(self) -> None:
        """Say nothing: `Connection: close` goes out with the next answer."""

    def finish(self) -> None:
        """End the connection after what has been written."""
        self.ending = True
        self.body = bytearray()
        self.server.record_buffered(self, 0)
        self.link.finish()
        self._linger(self.link.taken, self.server.clock.now())

    def _linger(self, taken: int, moved_at: float) -> None:
        """Close a while after all has left; a client that reads slowly gets its answer whole."""
        if self.link.flushed or self.link.broken:
            self.server.call_later(LINGER_MS, self.link.close)
            return
        now = self.server.clock.now()
        if self.link.taken > taken:
            taken, moved_at = self.link.taken, now
        if now - moved_at > READ_MS:
            self.link.close()
        else:
            self.server.call_later(LINGER_MS, lambda: self._linger(taken, moved_at))


async def serve(link: Link, server: HttpServer, ahead: bytes | None = None) -> None:
    """Serve one client connection, of which another process may have read something ahead."""
    await server.serve(Http1Connection(link, server, ahead), link)
