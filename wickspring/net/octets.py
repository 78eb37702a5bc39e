"""Octets of HTTP messages as text, and text as octets (RFC 9110, section 5.5; RFC 9112, section 5).

What a message carries in its header fields are octets. Inside of the program they are `OctetText`: a str in
which each character stands for the octet of its number (ISO 8859-1). So any octet that has been read can be
written again as it was, and code that only passes fields on need not know what they mean.

Names that people have chosen (of tenants, API keys) are Unicode. They become octets by `utf8_octets`, and
are compared with what a message carries as octets. A header value for such a name is its UTF-8; `field_value`
says what becomes of a name that no header can carry.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NewType, TypeAlias
from urllib.parse import quote_from_bytes

OctetText = NewType("OctetText", str)
HeaderPair: TypeAlias = tuple[str, OctetText]  # a name is a token of ASCII (RFC 9110, section 5.1)
HeaderPairs: TypeAlias = list[HeaderPair]
Headers: TypeAlias = Mapping[str, OctetText]  # by name in lower case
OctetPairs: TypeAlias = list[tuple[bytes, bytes]]

NO_OCTETS = OctetText("")
_CHARSET = "latin-1"
# Visible octets and those above ASCII, with blanks between them (RFC 9110, section 5.5).
_FIELD_VALUE = re.compile(r"(?:[\x21-\x7e\x80-\xff]+(?:[ \t]+[\x21-\x7e\x80-\xff]+)*)?")
# What `field_value` leaves as it is where it encodes: visible ASCII without the mark of an encoded octet.
_LITERALS = "".join(chr(code) for code in range(0x21, 0x7F) if chr(code) != "%")


def decode_octets(octets: bytes) -> OctetText:
    """Return octets as text."""
    return OctetText(octets.decode(_CHARSET))


def encode_octets(text: OctetText) -> bytes:
    """Return the octets of a text."""
    return text.encode(_CHARSET)


def decode_pairs(pairs: Iterable[tuple[bytes, bytes]]) -> HeaderPairs:
    """Return header fields as text, in their order."""
    return [(decode_octets(name), decode_octets(value)) for name, value in pairs]


def encode_pairs(pairs: Iterable[HeaderPair]) -> OctetPairs:
    """Return the octets of header fields, in their order."""
    return [(name.encode("ascii"), encode_octets(value)) for name, value in pairs]


def header(name: str, value: str) -> HeaderPair:
    """Return a field that this program writes itself, whose value is ASCII."""
    return name, OctetText(value)


def utf8_octets(text: str) -> OctetText:
    """Return the UTF-8 of a text, as its configuration is stored and sent."""
    return decode_octets(text.encode())


def is_field_value(text: str) -> bool:
    """Tell whether a header can carry the UTF-8 of a text.

    It cannot carry control characters, nor blanks at either end.
    """
    return _FIELD_VALUE.fullmatch(utf8_octets(text)) is not None


def field_value(text: str) -> OctetText:
    """Return the header value for a text: its UTF-8.

    A text that no header can carry is percent-encoded (RFC 3986, section 2.1). Configurations with such names
    are refused, and those that were acknowledged before that are in use.
    """
    octets = utf8_octets(text)
    if _FIELD_VALUE.fullmatch(octets) is not None:
        return octets
    return OctetText(quote_from_bytes(encode_octets(octets), safe=_LITERALS))


def lower_ascii(text: OctetText) -> OctetText:
    """Return a text with the letters of ASCII in lower case; `str.lower` would change other octets too."""
    return decode_octets(encode_octets(text).lower())
