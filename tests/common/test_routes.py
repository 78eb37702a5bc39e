"""The route of a request: the rule of the protocol's page, whatever entries a configuration has."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickspring.common.routing_table import build_routing_table
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.lab.emulation.local_gateway import HOST, PURE_SERVICE, gateway_config
from wickspring.net.octets import OctetText, decode_octets

HOSTS = (
    "a.example",
    "A.Example",
    "a.example:80",
    "A.EXAMPLE:80",
    "a.example:8080",
    "b.example",
    "[::1]",
    "[::1]:80",
)
SEGMENTS = ("", "x/", "x/y/", "x/y/z/", "X/", "y/")


class Entry(NamedTuple):
    """One entry of `sockets`: a host, and the prefixes of its routes."""

    host: str
    prefixes: tuple[str, ...]


ENTRIES = st.lists(
    st.builds(
        Entry,
        st.sampled_from(HOSTS),
        st.lists(st.sampled_from(SEGMENTS), max_size=4, unique=True).map(
            lambda segments: tuple(f"/{segment}" for segment in segments)
        ),
    ),
    max_size=6,
)


def document(entries: list[Entry]) -> bytes:
    """Return a configuration with these entries; each route has a name of its own."""
    config: dict[str, Any] = msgspec.json.decode(gateway_config(1))
    template = config["sockets"][0]["policy"][0]
    config["sockets"] = [
        {
            "host": entry.host,
            "policy": [
                {**template, "name": f"{number} {prefix}", "pattern": {"path_prefix": prefix}}
                for prefix in entry.prefixes
            ],
        }
        for number, entry in enumerate(entries)
    ]
    return msgspec.json.encode(config)


def expected_route(entries: list[Entry], host: str, path: str) -> str | None:
    """Return the name of a request's route: of its host's routes the one that is longest and begins the path.

    Its host is that of an entry with the same port, or without one; the former goes first at the same length.
    """
    host = host.lower()
    name = host.removesuffix(":80").removesuffix(":8080")
    candidates = [
        (len(prefix), entry.host.lower() == host, f"{number} {prefix}")
        for number, entry in enumerate(entries)
        for prefix in entry.prefixes
        if entry.host.lower() in (host, name) and path.startswith(prefix)
    ]
    return max(candidates)[2] if candidates else None


@given(ENTRIES, st.sampled_from(HOSTS), st.sampled_from(("/", "/x/1", "/x/y/1", "/x/y/z/1", "/X/1", "/y/")))
def test_any_configuration_that_is_taken_routes_by_the_rule(
    entries: list[Entry], host: str, path: str
) -> None:
    """Guards against entries that are acknowledged and that data planes drop or read in another way."""
    body = document(entries)
    places = [(entry.host.lower(), prefix) for entry in entries for prefix in entry.prefixes]
    assert validate_config(body).is_ok() == (len(places) == len(set(places)))
    if len(places) > len(set(places)):
        return
    route = build_routing_table(body).route(OctetText(host), f"{path}?q=/x/")
    assert (route.name if route is not None else None) == expected_route(entries, host, path)


@pytest.mark.parametrize("second", [HOST, HOST.upper(), f"{HOST}:80"])
def test_a_second_entry_of_a_host_adds_to_its_routes(second: str) -> None:
    """Guards against 404 for the earlier routes of a host that a configuration names twice."""
    config = msgspec.json.decode(gateway_config(2))
    extra = {**config["sockets"][0]["policy"][0], "name": "added", "pattern": {"path_prefix": "/added/"}}
    config["sockets"].append({"host": second, "policy": [extra]})
    body = msgspec.json.encode(config)
    assert validate_config(body).ok == 2
    table = build_routing_table(body)
    for host in (HOST, f"{HOST}:80"):
        route = table.route(OctetText(host), "/look/1")
        assert route is not None and route.services == ((PURE_SERVICE, 1.0),)
    added = table.route(OctetText(f"{HOST}:80"), "/added/1")
    assert added is not None and added.name == "added"


@pytest.mark.parametrize(
    ("prefix", "target"),
    [
        ("/são/", "/s%C3%A3o/1"),
        ("/a b/", "/a%20b/1"),
        ("/a%20b/", "/a%20b/1"),
        ("/東京/x/", "/%E6%9D%B1%E4%BA%AC/x/1"),
        ("/a;b=c,d~!$&'()*+:@/", "/a;b=c,d~!$&'()*+:@/1"),
    ],
)
def test_a_prefix_matches_the_path_as_clients_write_it(prefix: str, target: str) -> None:
    """Guards against a route with a prefix that no request can have."""
    body = document([Entry(HOST, (prefix,))])
    assert validate_config(body).is_ok()
    assert build_routing_table(body).route(OctetText(HOST), target) is not None


@pytest.mark.parametrize(
    ("host", "requested"),
    [
        ("café.example", b"xn--caf-dma.example"),
        ("CAFÉ.example", b"XN--CAF-DMA.example:80"),
        ("café.example", "café.example".encode()),
        ("café.example:80", b"xn--caf-dma.example:80"),
        ("xn--caf-dma.example", "café.example".encode()),
    ],
)
def test_a_host_that_is_not_ascii_is_found_as_clients_write_it(host: str, requested: bytes) -> None:
    """Guards against a host of a configuration whose requests all get 404."""
    body = document([Entry(host, ("/x/",))])
    assert validate_config(body).is_ok()
    assert build_routing_table(body).route(decode_octets(requested), "/x/1") is not None


@given(st.binary(max_size=12), st.binary(max_size=12))
def test_any_octets_as_a_host_find_a_route_or_none(configured: bytes, requested: bytes) -> None:
    """Guards against a `Host` header that makes the look-up raise."""
    host = configured.decode("utf-8", "ignore") or "a"
    table = build_routing_table(document([Entry(host, ("/x/",))]))
    route = table.route(decode_octets(requested), "/x/1")
    assert route is None or route.prefix == "/x/"


def test_two_spellings_of_one_place_are_refused() -> None:
    """Guards against two routes of which only one can ever be found."""
    twice = [Entry("café.example", ("/são/",)), Entry("xn--caf-dma.example", ("/s%C3%A3o/",))]
    assert validate_config(document(twice)).is_error()
