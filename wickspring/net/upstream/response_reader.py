"""Writes requests and reads responses of one HTTP/1.1 connection to a server; its bytes go through h11."""

from __future__ import annotations

from typing import NamedTuple

import h11

from wickspring.net.calls import MAX_BODY_BYTES
from wickspring.net.octets import (
    HeaderPairs,
    Headers,
    OctetText,
    decode_octets,
    decode_pairs,
    encode_pairs,
    header,
)
from wickspring.net.upstream.exchange import MAX_BUFFERED_RESPONSE, ServerExchange

MAX_HEAD_BYTES = 16 * 1024
MAX_INTERIM_RESPONSES = 8  # of status 1xx before the final one (RFC 9110, section 15.2)
BODILESS_STATUSES = (204, 304)  # RFC 9112, section 6.3
_FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class Response(NamedTuple):
    """A complete response."""

    code: int
    headers: Headers
    body: bytes


def declared_length(response: h11.Response) -> int | None:
    """Return the length of a response's body where it is declared; raise unless its end is certain.

    RFC 9112, section 6.3, lets a response without framing end with its connection, so a truncated one would
    pass for complete. Only one that says that its connection closes may do so here. Raises
    `h11.RemoteProtocolError`.
    """
    framing = {name: value for name, value in response.headers if name in _FRAMING_FIELDS}
    closes = response.http_version == b"1.0" or any(
        name == b"connection" and b"close" in value.lower() for name, value in response.headers
    )
    has_body = response.status_code not in BODILESS_STATUSES
    if has_body and len(framing) != 1 and not (closes and not framing):
        raise h11.RemoteProtocolError("an answer without one clear length")
    length = framing.get(b"content-length")
    if length is None:
        return None
    if int(length) > MAX_BODY_BYTES:
        raise h11.RemoteProtocolError("an answer over 64 MiB")
    return int(length)


class ResponseReader:
    """Reads one response after another from a connection's bytes."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self.pairs: HeaderPairs = []  # headers of the present response, in order, names in lower case
        self._body = bytearray()
        self._interim_count = 0
        self.length: int | None = None  # of the present response's body, where it is declared
        self.streamed = False  # it is longer than what is buffered: its bytes are to be taken as they arrive

    # The request.

    def encode_request(self, exchange: ServerExchange) -> bytes:
        """Return the bytes of a request, as far as it is buffered."""
        headers = [("Host", exchange.host), *exchange.headers]
        body_stream = exchange.body_stream
        if body_stream is not None and body_stream.content_length is None:
            headers.append(header("Transfer-Encoding", "chunked"))
        elif body_stream is not None or exchange.body or exchange.method == "POST":
            length = len(exchange.body) if body_stream is None else body_stream.content_length
            headers.append(header("Content-Length", str(length)))
        self._interim_count = 0
        fields = encode_pairs(headers)
        request = h11.Request(method=exchange.method, target=exchange.target, headers=fields)
        data = self.http.send(request) or b""
        if exchange.body:
            data += self.http.send(h11.Data(data=exchange.body)) or b""
        return data if body_stream is not None else data + self.encode_end()

    def encode_body(self, data: bytes) -> bytes:
        """Return the bytes that carry a further piece of the request's body."""
        return self.http.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Return the bytes that end the request."""
        return self.http.send(h11.EndOfMessage()) or b""

    # The response.

    def receive(self, data: bytes) -> Response | None:
        """Read bytes, b"" at the connection's end; return a response once it is complete.

        Raises `h11.RemoteProtocolError` where the connection is not to be trusted any more.
        """
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.EndOfMessage) and self._head is not None:
                return Response(self._head.status_code, dict(self.pairs), bytes(self._body))
            self._on_event(event)

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self.length = declared_length(event)
            self._head = event
            self.pairs = decode_pairs(event.headers)
            self._body = bytearray()
            self.streamed = False
            if self.length is not None and self.length > MAX_BUFFERED_RESPONSE:
                self._begin_streaming()
        elif isinstance(event, h11.Data):
            self._on_body(event.data)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError("1xx without an end")
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("closed without an answer")

    def _on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BUFFERED_RESPONSE:
            self._begin_streaming()

    def may_stream(self, status: int) -> bool:
        """Tell whether a response that is longer than what is buffered may be streamed, by its status."""
        return status == 200

    def _begin_streaming(self) -> None:
        if not self.may_stream(self.code):
            raise h11.RemoteProtocolError("a long response of a status that is not streamed")
        self.streamed = True

    @property
    def has_body_bytes(self) -> bool:
        """Whether bytes of the response's body wait to be taken."""
        return bool(self._body)

    def take_body(self) -> bytes:
        """Return the bytes that have arrived of a streamed response, once."""
        data = bytes(self._body)
        self._body.clear()
        return data

    @property
    def code(self) -> int:
        """The status code of the present response; 0 while none has begun."""
        return self._head.status_code if self._head is not None else 0

    @property
    def reason(self) -> OctetText:
        """The reason phrase of the present response."""
        return decode_octets(self._head.reason if self._head is not None else b"")

    def start_next(self) -> bool:
        """Make ready for the next request; False where the connection cannot be used again."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return not self.http.trailing_data[0]
        return False
