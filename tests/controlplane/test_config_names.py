"""Names in a configuration that a header has to carry: refused with their place where none can."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickspring.common.routing_table import build_routing_table
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX, gateway_config
from wickspring.net.octets import decode_octets, is_field_value

PRINTABLE = st.text(st.characters(exclude_categories=("Cc", "Cs")), min_size=1)


def config_with(**changes: Any) -> bytes:
    """Return a configuration whose second tenant has other fields."""
    document = msgspec.json.decode(gateway_config(1))
    document["tenants"].append({"name": "other", "api_keys": ["other-key"], **changes})
    return msgspec.json.encode(document)


@pytest.mark.parametrize("name", ["Tintas do Porto ", " a", "a\nb", "a\r\nX-Key: b", "a\0", "\t", "a\x7f"])
def test_a_tenants_name_that_no_header_can_carry_is_refused_with_its_place(name: str) -> None:
    """Guards against an acknowledged name with which no request can be sent on."""
    result = validate_config(config_with(name=name))
    assert result.is_error()
    assert result.error.reason.startswith("{'tenants': {1: {'name': ")


@given(PRINTABLE.filter(lambda name: name.strip(" \t") == name and name != "toy"))
def test_any_other_name_is_taken(name: str) -> None:
    """Guards against refusing names that a header can carry, whatever their script."""
    assert is_field_value(name)
    assert validate_config(config_with(name=name)).is_ok()


@pytest.mark.parametrize("key", [" key", "key\n", "a\0b"])
def test_a_key_that_no_header_can_carry_is_refused_with_its_place(key: str) -> None:
    """Guards against a key that no client can ever present."""
    result = validate_config(config_with(api_keys=["good", key]))
    assert result.is_error()
    assert result.error.reason.startswith("{'tenants': {1: {'api_keys': {1: ")


@given(PRINTABLE.filter(is_field_value))
def test_a_key_is_found_by_the_octets_that_a_client_sends(key: str) -> None:
    """Guards against a key that is not ASCII, whose requests all got 401."""
    body = config_with(api_keys=[key])
    assert validate_config(body).is_ok()
    tenant = build_routing_table(body).tenants_by_key.get(decode_octets(key.encode()))
    assert tenant is not None
    assert tenant.name == "other"


def test_what_is_named_twice_or_shared_is_named_in_the_error() -> None:
    """Guards against an error from which an operator cannot tell which of thousands of entries is meant."""
    document = msgspec.json.decode(gateway_config(1))
    policy = document["sockets"][0]["policy"]
    policy.append({**policy[0], "name": "again"})
    assert f"named twice: {HOST}{PURE_PREFIX}" in validate_config(msgspec.json.encode(document)).error.reason
    shared = validate_config(config_with(api_keys=[API_KEY])).error.reason
    assert "a key is shared: by toy and other" in shared
    assert API_KEY not in shared
    again = validate_config(config_with(name="toy")).error.reason
    assert "named twice: toy" in again
