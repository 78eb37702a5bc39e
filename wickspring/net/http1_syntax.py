"""What h11 leaves to its users (RFC 9112): some checks of requests, and messages written as one."""

from __future__ import annotations

import re
from collections.abc import Sequence

import h11

from wickspring.net.octets import HeaderPair, encode_pairs

_CONTENT_LENGTH = re.compile(rb"^content-length[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE | re.MULTILINE)
_ABSOLUTE_FORM = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


def has_ambiguous_length(head: bytes) -> bool:
    """Tell whether a head gives its body's length twice, even as one number, or not in digits.

    RFC 9112, section 6.3, lets a recipient fold equal ones, as h11 does; here they are refused.
    """
    lengths = _CONTENT_LENGTH.findall(head)
    return len(lengths) > 1 or (len(lengths) == 1 and not lengths[0].strip().isdigit())


def origin_form(target: str) -> str:
    """Return a request target without scheme and host (RFC 9112, section 3.2.2), as servers know it."""
    absolute = _ABSOLUTE_FORM.match(target)
    if absolute is None:
        return target
    rest = target[absolute.end() :]
    return rest if rest.startswith("/") else f"/{rest}"


def encode_head(http: h11.Connection, status: int, headers: Sequence[HeaderPair]) -> bytes:
    """Return the bytes of a response's head."""
    return http.send(h11.Response(status_code=status, headers=encode_pairs(headers))) or b""


def encode_body(http: h11.Connection, data: bytes) -> bytes:
    """Return the bytes that carry a piece of a response's body."""
    return http.send(h11.Data(data=data)) or b""


def encode_end(http: h11.Connection) -> bytes:
    """Return the bytes that end a response."""
    return http.send(h11.EndOfMessage()) or b""


def encode_response(http: h11.Connection, status: int, headers: Sequence[HeaderPair], body: bytes) -> bytes:
    """Return the bytes of a complete response."""
    data = encode_head(http, status, headers)
    if body:
        data += encode_body(http, body)
    return data + encode_end(http)
