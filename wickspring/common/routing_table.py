"""An operator's configuration as the data plane uses it: hosts and prefixes to routes, keys to tenants.

The control plane has checked the document before it comes here (`lighthouse.check`); this only lays it out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

PURE = "pure"


@dataclass(slots=True, frozen=True)
class Route:
    """One route. Times are seconds."""

    name: str
    prefix: str
    pure: bool
    timeout_s: float
    target_s: float
    priority: int
    public: bool
    tries: int
    services: tuple[tuple[str, float], ...]  # with their weights


@dataclass(slots=True, frozen=True)
class Tenant:
    """Who a key belongs to. A rate of 0 sets no limit."""

    name: str
    priority: int
    rate: float
    burst: float


@dataclass(slots=True, frozen=True)
class Service:
    """A kind of servers."""

    name: str
    health: str
    most_conns: int


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What clients are held to: bytes and seconds."""

    head: int = 16 * 1024
    body: int = 64 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(slots=True)
class RoutingTable:
    """One version of the configuration, laid out."""

    version: int = 0
    hosts: dict[str, list[Route]] = field(default_factory=dict)  # longest prefix first
    keys: dict[str, Tenant] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    guarded: bool = False  # keys are asked for
    bounds: ClientLimits = ClientLimits()

    def route(self, host: str, target: str) -> Route | None:
        """Return the route of a request, by the longest prefix of its path."""
        routes = self.hosts.get(host)
        if routes is None:
            routes = self.hosts.get(host.partition(":")[0].lower())
        path = target.partition("?")[0]
        return next((one for one in routes or () if path.startswith(one.prefix)), None)


def parse_version(text: str) -> int:
    """Read `r12`; ValueError where it is not a version."""
    if not isinstance(text, str) or not text.startswith("r") or not text[1:].isdecimal():
        raise ValueError(f"not a version: {text!r}")
    return int(text[1:])


def _route(rule: Mapping[str, Any]) -> Route:
    effect = rule["effect"]
    if "weighted" in effect:
        services = tuple((one["service"], float(one["weight"])) for one in effect["weighted"])
    else:
        services = ((effect["service"], 1.0),)
    return Route(
        rule["name"],
        rule["pattern"]["path_prefix"],
        rule["route_kind"] == PURE,
        float(effect["timeout_s"]),
        float(rule["target_s"]),
        int(rule.get("priority", 0)),
        bool(rule.get("public", False)),
        int(effect["max_tries"]),
        services,
    )


def build_routing_table(document: bytes) -> RoutingTable:
    """Lay out a configuration that has been checked."""
    tree = msgspec.json.decode(document)
    routing_table = RoutingTable(parse_version(tree["generation"]))
    for socket in tree["sockets"]:
        routes = sorted(map(_route, socket["policy"]), key=lambda route: -len(route.prefix))
        routing_table.hosts[socket["host"].lower()] = routes
    for one in tree.get("tenants", ()):
        tenant = Tenant(
            one["name"],
            int(one.get("priority", 0)),
            float(one.get("rate_per_s", 0)),
            float(one.get("burst", 0)),
        )
        routing_table.tenants[tenant.name] = tenant
        for key in one["api_keys"]:
            routing_table.keys[key] = tenant
    routing_table.guarded = bool(tree.get("tenants"))
    for one in tree["backends"]:
        service = Service(one["name"], one.get("health_path", "/health"), int(one.get("max_conns", 0)))
        routing_table.services[service.name] = service
    limits = tree.get("limits", {})
    usual = ClientLimits()
    routing_table.bounds = ClientLimits(
        int(limits.get("max_header_bytes", usual.head)),
        int(limits.get("max_body_bytes", usual.body)),
        float(limits.get("header_timeout_s", usual.header_s)),
        float(limits.get("idle_timeout_s", usual.idle_s)),
    )
    return routing_table
