"""What h11 leaves to its users (RFC 9112): some checks of requests, and messages written as one."""

from __future__ import annotations

import re
from collections.abc import Sequence

import h11

HeaderPairs = Sequence[tuple[str, str]]

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


def header_pairs(request: h11.Request) -> list[tuple[str, str]]:
    """Return the headers of a request, in order, their names in lower case."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers]


def encode_response(http: h11.Connection, status: int, headers: HeaderPairs, body: bytes) -> bytes:
    """Return the bytes of a complete response."""
    data = http.send(h11.Response(status_code=status, headers=[*headers])) or b""
    if body:
        data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")
