"""An operator's configuration as processes use it: routes by host and path prefix, tenants by API key.

The control plane has validated the document (`controlplane.api.config_validation`) before it comes here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import msgspec

from wickspring.net.octets import OctetText, field_value

_IDEMPOTENT = "pure"  # the value of `route_kind`, whose words are those of the document

# A part of the document. The control plane's validation is lenient (numbers may be texts, fields unknown), so
# values are converted where they are read.
JsonObject: TypeAlias = Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class Route:
    """How requests under one path prefix are forwarded."""

    name: str
    prefix: str
    idempotent: bool  # a request may run more than once (RFC 9110, section 9.2.2)
    timeout_s: float
    target_s: float  # latency that is aimed at
    priority: int
    public: bool  # no API key is needed
    max_attempts: int
    services: tuple[tuple[str, float], ...]  # name, weight


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer with API keys and a quota. A rate of 0 sets no limit."""

    name: str
    priority: int
    rate: float  # requests per second
    burst: float  # requests beyond the rate

    @property
    def header_value(self) -> OctetText:
        """Its name, as endpoints read it in `X-Tenant`."""
        return field_value(self.name)


@dataclass(slots=True, frozen=True)
class Service:
    """A service that has endpoints."""

    name: str
    health_path: str
    max_connections: int  # to one endpoint, from all data planes together; 0: not limited


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on what one client may send and how long it may take."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class RoutingTable:
    """One version of the configuration, indexed."""

    version: int = 0
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)  # the longest prefix first
    tenants_by_key: dict[str, Tenant] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    requires_key: bool = False  # for all routes that are not public
    client_limits: ClientLimits = ClientLimits()

    def route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the target's path, or None.

        Args:
            host: the request's `host` header, with a port or without.
            target: the request's target, with a query or without.
        """
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(":")[0].lower())
        path = target.partition("?")[0]
        return next((route for route in routes or () if path.startswith(route.prefix)), None)


def parse_version(text: str) -> int:
    """Return 12 for `r12`.

    Raises:
        ValueError: the text is not a version.
    """
    if not isinstance(text, str) or not text.startswith("r") or not text[1:].isdecimal():
        raise ValueError(f"not a version: {text!r}")
    return int(text[1:])


def build_routing_table(document: bytes) -> RoutingTable:
    """Index a validated configuration.

    Raises:
        ValueError, KeyError, TypeError: it has not been validated. `msgspec.DecodeError`, where it is not
            JSON, is a ValueError.
    """
    tree: JsonObject = msgspec.json.decode(document)
    table = RoutingTable(version=parse_version(tree["generation"]))
    for host in tree["sockets"]:
        routes = [_route(rule) for rule in host["policy"]]
        routes.sort(key=lambda route: -len(route.prefix))
        table.routes_by_host[host["host"].lower()] = routes
    for entry in tree.get("tenants", ()):
        tenant = _tenant(entry)
        table.tenants[tenant.name] = tenant
        for key in entry["api_keys"]:
            table.tenants_by_key[key] = tenant
    table.requires_key = bool(tree.get("tenants"))
    for entry in tree["backends"]:
        service = _service(entry)
        table.services[service.name] = service
    table.client_limits = _client_limits(tree.get("limits", {}))
    return table


def _route(rule: JsonObject) -> Route:
    effect = rule["effect"]
    return Route(
        name=rule["name"],
        prefix=rule["pattern"]["path_prefix"],
        idempotent=rule["route_kind"] == _IDEMPOTENT,
        timeout_s=float(effect["timeout_s"]),
        target_s=float(rule["target_s"]),
        priority=int(rule.get("priority", 0)),
        public=bool(rule.get("public", False)),
        max_attempts=int(effect["max_tries"]),
        services=_weighted_services(effect),
    )


def _weighted_services(effect: JsonObject) -> tuple[tuple[str, float], ...]:
    if "weighted" not in effect:
        return ((effect["service"], 1.0),)
    return tuple((entry["service"], float(entry["weight"])) for entry in effect["weighted"])


def _tenant(entry: JsonObject) -> Tenant:
    return Tenant(
        name=entry["name"],
        priority=int(entry.get("priority", 0)),
        rate=float(entry.get("rate_per_s", 0)),
        burst=float(entry.get("burst", 0)),
    )


def _service(entry: JsonObject) -> Service:
    return Service(
        name=entry["name"],
        health_path=entry.get("health_path", "/health"),
        max_connections=int(entry.get("max_conns", 0)),
    )


def _client_limits(limits: JsonObject) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        max_head_bytes=int(limits.get("max_header_bytes", default.max_head_bytes)),
        max_body_bytes=int(limits.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=float(limits.get("header_timeout_s", default.header_timeout_s)),
        idle_timeout_s=float(limits.get("idle_timeout_s", default.idle_timeout_s)),
    )
