"""Header fields pass a data plane octet by octet, in both directions, and names are sent as UTF-8."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.echo_exchange import Exchange
from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX

# What RFC 9110, section 5.5 allows; blanks stand inside only.
VISIBLE = st.integers(0x21, 0xFF).filter(lambda octet: octet != 0x7F)
VALUES = st.lists(VISIBLE, min_size=1, max_size=12).map(bytes)


@pytest.mark.parametrize("prefix", [PURE_PREFIX, EFFECTFUL_PREFIX])
@pytest.mark.parametrize("value", [b"Jos\xe9", "São".encode(), b"\x80", b"a\xff b"])
def test_octets_of_a_requests_header_reach_the_server(prefix: str, value: bytes) -> None:
    """Guards against a request that cannot be written since a header has an octet from 0x80 on."""
    exchange = Exchange([(b"X-User", value)], prefix=prefix)
    assert exchange.play().status_code == 200
    assert [request[b"x-user"] for request in exchange.server.requests] == [value]


def name_tenant(name: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        document["tenants"][0]["name"] = name

    return change


@pytest.mark.parametrize(
    ("name", "seen"),
    [
        ("Tintas São João", "Tintas São João".encode()),
        ("東京 塗料", "東京 塗料".encode()),
        # Names that a configuration may have from before they were refused.
        ("Tintas do Porto ", b"Tintas%20do%20Porto%20"),
        ("a\nb", b"a%0Ab"),
    ],
)
def test_a_tenants_name_reaches_the_server_whatever_its_characters(name: str, seen: bytes) -> None:
    """Guards against a tenant whose requests cannot be written, which ended whole data planes."""
    exchange = Exchange(change=name_tenant(name))
    assert exchange.play().status_code == 200
    assert [request[b"x-tenant"] for request in exchange.server.requests] == [seen]


@settings(max_examples=60, deadline=None)
@given(VALUES, VALUES)
def test_any_field_value_passes_in_both_directions(sent: bytes, answered: bytes) -> None:
    """Guards against any octet that a header may have and that one direction does not pass on."""
    exchange = Exchange([(b"X-Sent", sent)], [(b"X-Answered", answered)])
    response = exchange.play()
    assert response.status_code == 200
    assert exchange.server.requests[-1][b"x-sent"] == sent
    assert dict(response.headers)[b"x-answered"] == answered
