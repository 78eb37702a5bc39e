"""One connection of the load generator's clients to a gateway.

The usual request and response are written and read without a parser, which would take half of the processor
time of a client; whatever else comes goes through h11, so that a malformed response is found.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from wickspring.lab.emulation.shape import Shape
from wickspring.lab.traffic.schedule import ScheduledRequest
from wickspring.net.tcp_info import peer_closed_ms, unread_ms

MS_PER_S = 1000.0
RECEIVE_BYTES = 65536
BODY = b"x" * 120  # of requests that are not idempotent
_USUAL_RESPONSE = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9]{2}) [\t\x20-\x7e]*\r\n((?:[A-Za-z-]+: [\x21-\x7e]+\r\n)*)\r\n"
)


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes
    unread_ms: float  # that it lay in the kernel


def read_usual_response(data: bytes, unread_ms: float) -> Response | None:
    """Read a response that came in one piece; None unless `data` is certainly one, whole and no more."""
    match = _USUAL_RESPONSE.match(data)
    if match is None:
        return None
    lines = match[2].decode("ascii").split("\r\n")[:-1]
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    body = data[match.end() :]
    length = headers.get("content-length", "")
    if len(headers) < len(lines) or not headers.keys() <= {"content-length", "retry-after"}:
        return None
    if not length.isdigit() or int(length) != len(body):
        return None
    return Response(int(match[1]), headers, body, unread_ms)


def encode_request(request: ScheduledRequest, shape: Shape) -> bytes:
    """Return the bytes of a request."""
    kind, firm = shape.kind[request.kind], request.firm
    repeatable = kind.effect == "repeatable"
    head = (
        f"{'GET' if repeatable else 'POST'} /api?customer={firm.customer:016x} HTTP/1.1\r\n"
        f"Host: app.svc\r\n"
        f"X-Call-Id: {request.call_id}\r\n"
        f"X-Call-Class: {kind.name}\r\n"
        f"Api-Plan: {shape.plan[firm.plan].name}\r\n"
        f"X-Budget-Ms: {int(request.budget_ms)}\r\n"
        f"Api-Terms: units={request.units},spread={firm.spread},first={firm.first}\r\n"
    )
    if request.key:
        head += f"Idempotency-Key: {request.key}\r\n"
    if repeatable:
        return f"{head}\r\n".encode()
    return f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class GaveUpError(Exception):
    """A client has waited for as long as it says, and no answer has come."""


class ClientConnection:
    """One connection of the front to a gateway.

    How long a client waits is judged by when something reached the kernel, not by when this process reads it:
    while its event loop runs late, an answer may lie there beyond its client's time.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.is_reusable = False  # another request may follow on it

    @property
    def is_stale(self) -> bool:
        """Tell whether the gateway has closed it, or sent something without a request."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close it at once."""
        self._sock.close()

    async def exchange(self, data: bytes, patience_s: float, on_sent: Callable[[], None]) -> Response | None:
        """Send a request and read its response; None if the connection ends before that is complete.

        Raises:
            GaveUpError: neither had come within `patience_s` of the sending.
        """
        self.is_reusable = False
        deadline = trio.current_time() + patience_s
        try:
            await self._send(data, deadline)
            on_sent()
            received, lay_unread_ms = await self._receive(deadline)
            response = read_usual_response(received, lay_unread_ms)
            if response is None:
                return await self._parse_response(data, received, lay_unread_ms, deadline)
        except (OSError, h11.RemoteProtocolError):
            return None
        self.is_reusable = True
        return response

    async def _send(self, data: bytes, deadline: float) -> None:
        """Write a request, at once where the kernel takes it."""
        while data:
            try:
                data = data[self._sock.send(data) :]
            except BlockingIOError:
                with trio.move_on_at(deadline) as scope:
                    await trio.lowlevel.wait_writable(self._sock)
                if scope.cancelled_caught:
                    raise GaveUpError from None

    async def _receive(self, deadline: float) -> tuple[bytes, float]:
        """Return what comes next, b"" at the end, and for how long (ms) it had lain in the kernel."""
        with trio.move_on_at(deadline):
            await trio.lowlevel.wait_readable(self._sock)
        try:
            received = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            raise GaveUpError from None
        lay_unread_ms = unread_ms(self._sock) if received else peer_closed_ms(self._sock) or 0.0
        if trio.current_time() - lay_unread_ms / MS_PER_S > deadline:
            raise GaveUpError
        return received, lay_unread_ms

    async def _parse_response(
        self, request: bytes, received: bytes, lay_unread_ms: float, deadline: float
    ) -> Response | None:
        """Parse a response to a request whose first bytes have been received."""
        http = h11.Connection(h11.CLIENT)
        _note_request(http, request)
        http.receive_data(received)
        status = 0
        headers: dict[str, str] = {}
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                received, lay_unread_ms = await self._receive(deadline)
                http.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.is_reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
                return Response(status, headers, body, lay_unread_ms)
            else:
                return None


def _note_request(http: h11.Connection, request: bytes) -> None:
    """Have a parser know the request that was sent: the response is read by its method."""
    method = request.partition(b" ")[0]
    http.send(h11.Request(method=method, target="/", headers=[("Host", "app.svc"), ("Content-Length", "0")]))
    http.send(h11.EndOfMessage())
