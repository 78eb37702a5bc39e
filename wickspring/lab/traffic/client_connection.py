"""One connection of the load generator's clients to a gateway.

The usual request and response are written and read without a parser, which would take half of the processor
time of a client; whatever else comes goes through h11, so that a malformed response is found.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from wickspring.lab.emulation.shape import Shape
from wickspring.lab.emulation.sockets import peek
from wickspring.lab.traffic.schedule import ScheduledRequest
from wickspring.net.tcp_info import unread_ms

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


class ClientConnection:
    """One connection of the front to a gateway."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.is_reusable = False  # another request may follow on it

    @property
    def is_stale(self) -> bool:
        """Tell whether the gateway has closed it, or sent something without a request."""
        return peek(self.stream.socket) is not None

    async def exchange(self, data: bytes, on_sent: Callable[[], None]) -> Response | None:
        """Send a request and read its response; None if the connection ends before that is complete."""
        self.is_reusable = False
        try:
            await self.stream.send_all(data)
            on_sent()
            received = await self.stream.receive_some(RECEIVE_BYTES)
            lay_unread_ms = unread_ms(self.stream.socket) if received else 0.0
            response = read_usual_response(received, lay_unread_ms)
            if response is None:
                return await self._parse_response(data, received, lay_unread_ms)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return None
        self.is_reusable = True
        return response

    async def _parse_response(self, request: bytes, received: bytes, lay_unread_ms: float) -> Response | None:
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
                data = await self.stream.receive_some(RECEIVE_BYTES)
                if data:
                    lay_unread_ms = unread_ms(self.stream.socket)
                http.receive_data(data)
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
