"""Octets of header fields as text, and names as octets."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickspring.net.octets import (
    OctetText,
    decode_octets,
    decode_pairs,
    encode_octets,
    encode_pairs,
    field_value,
    is_field_value,
    lower_ascii,
    utf8_octets,
)

FIELD_OCTETS = st.binary(min_size=1).filter(lambda value: is_h11_value(value))


def is_h11_value(value: bytes) -> bool:
    """Tell whether the parser lets a header have this value; it lets through some control characters."""
    try:
        h11.Response(status_code=200, headers=[(b"x-name", value)])
    except h11.LocalProtocolError:
        return False
    return True


@given(st.binary())
def test_octets_survive_being_text(octets: bytes) -> None:
    assert encode_octets(decode_octets(octets)) == octets


@given(FIELD_OCTETS)
def test_a_field_that_was_read_is_written_as_it_was(value: bytes) -> None:
    """Guards against fields that are read and then cannot be written: one octet from 0x80 on was enough."""
    pairs = [(b"x-name", value)]
    response = h11.Response(status_code=200, headers=encode_pairs(decode_pairs(pairs)))
    assert list(response.headers) == pairs


@given(st.text())
def test_any_name_becomes_a_value_that_a_header_can_carry(name: str) -> None:
    """Guards against a name in a configuration that no request can be sent with."""
    value = encode_octets(field_value(name))
    assert is_h11_value(value)
    if is_field_value(name):
        assert value == name.encode()
    else:
        assert value.isascii() and b" " not in value


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("sese880", b"sese880"),
        ("100% a", b"100% a"),
        ("Tintas São João", "Tintas São João".encode()),
        ("東京", "東京".encode()),
        ("Tintas do Porto ", b"Tintas%20do%20Porto%20"),
        ("a\r\nX-Key: b", b"a%0D%0AX-Key:%20b"),
        ("50%\t", b"50%25%09"),
    ],
)
def test_names_as_header_values(name: str, value: bytes) -> None:
    assert encode_octets(field_value(name)) == value


def test_only_letters_of_ascii_are_lowered() -> None:
    """Guards against `str.lower`, which takes an octet of UTF-8 for a letter of Latin-1."""
    assert lower_ascii(OctetText("JEPU9.Example")) == "jepu9.example"
    assert lower_ascii(utf8_octets("CAFÉ")) == utf8_octets("cafÉ")
