"""Refusals of HTTP/1.1 requests that a late process gives before it parses them, or begins to serve a client.

A process that is short of processor time must be able to refuse all that comes: a refusal that is parsed and
written by h11 takes a quarter of what a request does, one given here a fifteenth. What is not certainly one
whole request is left to the parser.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

from wickspring.net.calls import SERVICE_UNAVAILABLE, retry_after
from wickspring.net.http1_syntax import encode_response
from wickspring.net.http_server import OVERLOAD_RETRY_MS, HttpServer
from wickspring.net.link import Link
from wickspring.net.octets import Headers, OctetText, header

MAX_LENGTH_DIGITS = 9
_SIMPLE_REQUEST = re.compile(
    rb"(?:GET|POST) (/[\x21-\x7e]*) HTTP/1\.1\r\n((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e]*\r\n)+)\r\n"
)
# Fields by which a request asks for more than a response, or by which its end is found in other ways.
_FIELDS_OF_OTHER_REQUESTS = frozenset({"connection", "expect", "transfer-encoding", "upgrade"})


class SimpleRequest(NamedTuple):
    """A request that came in one piece and ends with it."""

    target: str
    headers: Headers  # names in lower case


def read_simple_request(data: bytes) -> SimpleRequest | None:
    """Read a request without a parser's states; None unless `data` is certainly one whole request.

    Wrong fields are no matter here: what is refused comes again, and is told of them then.
    """
    match = _SIMPLE_REQUEST.match(data)
    if match is None:
        return None
    lines = match[2].decode("ascii").split("\r\n")[:-1]
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): OctetText(value.strip(" \t")) for name, _, value in fields}
    if (
        len(headers) < len(lines)
        or "host" not in headers
        or not headers.keys().isdisjoint(_FIELDS_OF_OTHER_REQUESTS)
    ):
        return None
    length = headers.get("content-length", "0")
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS or int(length) != len(data) - match.end():
        return None
    return SimpleRequest(match[1].decode("ascii"), headers)


def _encode(*, closes: bool) -> bytes:
    """Return the bytes of a refusal, by whether its connection ends with it."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: any\r\n\r\n")
    http.next_event()
    headers = [header("Content-Length", "0"), header("Retry-After", retry_after(OVERLOAD_RETRY_MS))]
    if closes:
        headers.append(header("Connection", "close"))
    return encode_response(http, SERVICE_UNAVAILABLE, headers, b"")


REFUSALS = {closes: _encode(closes=closes) for closes in (False, True)}
"""The responses, by whether the connection ends with them."""


def refuses(server: HttpServer, data: bytes, arrived_at: float) -> bool:
    """Tell whether what has been read is one request that a process refuses at once; it is counted then.

    `arrived_at` is when its last bytes were in the kernel, ms.
    """
    if not server.may_refuse_unparsed:
        return False
    request = read_simple_request(data)
    return request is not None and server.refuses_unparsed(request.target, request.headers, arrived_at)


def refuse_first_request(link: Link, server: HttpServer) -> None:
    """Answer the request that has come with a new connection, where this process refuses it.

    Its client would else wait for the task of its connection, in a late process for a long turn more.
    """
    if not server.may_refuse_unparsed:
        return
    data = link.peek_all()
    if data and refuses(server, data, server.clock.now() - link.unread_ms()):
        link.skip(len(data))
        link.send(REFUSALS[False])
        link.has_answered = True
