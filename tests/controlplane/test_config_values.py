"""What validation takes means the same to data planes: truth values and numbers, however they are written."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickspring.common.routing_table import RoutingTable, build_routing_table
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.lab.emulation.local_gateway import HOST, gateway_config
from wickspring.net.octets import OctetText

TRUE_TEXTS = ("true", "True", "on", "yes", "1")
FALSE_TEXTS = ("false", "False", "off", "no", "0", "", "n")
NUMBERS = st.one_of(st.integers(0, 10**6), st.floats(0, 1e6, allow_nan=False))


def config(changes: dict[str, Any]) -> bytes:
    """Return a configuration whose first route has other fields."""
    document = msgspec.json.decode(gateway_config(1))
    document["sockets"][0]["policy"][0].update(changes)
    return msgspec.json.encode(document)


def is_public(body: bytes) -> bool:
    route = build_routing_table(body).route(OctetText(HOST), "/look/1")
    assert route is not None
    return route.public


@pytest.mark.parametrize("value", [*TRUE_TEXTS, *FALSE_TEXTS, 0, 1, 0.0, 2, [], {}, None])
def test_public_is_true_or_false_only(value: object) -> None:
    """Guards against a route that is opened to everybody by the text "false"."""
    result = validate_config(config({"public": value}))
    assert result.is_error()
    assert "'public'" in result.error.reason


@pytest.mark.parametrize(
    ("value", "public"),
    [(True, True), (False, False), (1, True), (0, False)]
    + [(text, True) for text in TRUE_TEXTS]
    + [(text, False) for text in FALSE_TEXTS],
)
def test_a_stored_configuration_with_a_text_for_public_is_read_as_it_was_meant(
    value: object, public: bool
) -> None:
    """Guards against a configuration, acknowledged before, that opens what it says is closed."""
    assert is_public(config({"public": value})) == public


@given(NUMBERS, st.booleans(), st.integers(1, 9), st.booleans())
def test_numbers_mean_the_same_to_data_planes_as_numbers_and_as_texts(
    weight: float, as_text: bool, priority: int, priority_as_text: bool
) -> None:
    """Guards against a number that validation reads in another way than the routing table."""
    effect = {
        "weighted": [
            {"service": "looker", "weight": str(weight) if as_text else weight},
            {"service": "doer", "weight": 1},
        ],
        "timeout_s": 2,
        "max_tries": 2,
    }
    body = config({"effect": effect, "priority": str(priority) if priority_as_text else priority})
    assert validate_config(body).is_ok()
    route = build_routing_table(body).route(OctetText(HOST), "/look/1")
    assert route is not None
    assert route.services == (("looker", float(weight)), ("doer", 1.0))
    assert route.priority == priority


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 10**10) | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=4,
)
RULE_FIELDS = ("name", "route_kind", "target_s", "priority", "public", "pattern", "effect")
LIMIT_FIELDS = ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")
TENANT_FIELDS = ("name", "api_keys", "priority", "rate_per_s", "burst")
BACKEND_FIELDS = ("health_path", "max_conns", "protocol", "tls")
PLACES = [
    *(("sockets", 0, "policy", 0, field) for field in RULE_FIELDS),
    *(("sockets", 0, "policy", 0, "effect", field) for field in ("timeout_s", "max_tries", "weighted")),
    *(("tenants", 0, field) for field in TENANT_FIELDS),
    *(("backends", 0, field) for field in BACKEND_FIELDS),
    *(("limits", field) for field in LIMIT_FIELDS),
    *((field,) for field in ("generation", "tenants", "sockets", "backends", "limits")),
]


def config_with(place: tuple[str | int, ...], value: object) -> bytes:
    """Return a configuration with another value at one place."""
    document = msgspec.json.decode(gateway_config(1))
    document["limits"] = {}
    inner = document
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = value
    return msgspec.json.encode(document)


@settings(max_examples=400)
@given(st.sampled_from(PLACES), JSON_VALUES)
def test_whatever_is_taken_can_be_used(place: tuple[str | int, ...], value: object) -> None:
    """Guards against a document that is acknowledged and that no data plane can build a table from."""
    try:
        body = config_with(place, value)
    except (TypeError, ValueError):  # such a number cannot be written as JSON
        return
    if validate_config(body).is_ok():
        assert isinstance(build_routing_table(body), RoutingTable)
