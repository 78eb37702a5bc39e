"""One HTTP call on a connection of its own."""

from __future__ import annotations

from dataclasses import dataclass, field

import h11
import trio

DEFAULT_HOST = "toy.example"
DEFAULT_TIMEOUT_S = 2.0
READ_SIZE = 65536
NO_RESPONSE = 0  # in place of a status


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request to send; `Host` and `Content-Length` are added unless given."""

    method: str
    path: str
    body: str | bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> bytes:
        """Return the body as bytes."""
        return self.body.encode() if isinstance(self.body, str) else self.body


async def call(
    ip: str, port: int, request: HttpRequest, timeout_s: float = DEFAULT_TIMEOUT_S
) -> tuple[int, bytes]:
    """Send a request; return status and body, with status `NO_RESPONSE` where no complete answer came."""
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(ip, port)
            async with stream:
                http = h11.Connection(h11.CLIENT)
                await stream.send_all(_encode(http, request))
                return await _read_response(http, stream)
    except (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError):
        return NO_RESPONSE, b""


def _encode(http: h11.Connection, request: HttpRequest) -> bytes:
    content = request.content
    headers = {"Host": DEFAULT_HOST, "Content-Length": str(len(content)), **request.headers}
    events = (
        h11.Request(method=request.method, target=request.path, headers=list(headers.items())),
        h11.Data(data=content),
        h11.EndOfMessage(),
    )
    return b"".join(http.send(event) or b"" for event in events)


async def _read_response(http: h11.Connection, stream: trio.SocketStream) -> tuple[int, bytes]:
    status = NO_RESPONSE
    body = b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(READ_SIZE))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif isinstance(event, h11.ConnectionClosed):
            return NO_RESPONSE, body
