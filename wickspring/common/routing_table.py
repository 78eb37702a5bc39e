"""An operator's configuration as processes use it: routes by host and path prefix, tenants by API key.

The control plane has validated the document (`controlplane.api.config_validation`) before it comes here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import msgspec

from wickspring.common.config_version import ConfigVersion
from wickspring.common.routes import Route, RouteIndex, prefix_key
from wickspring.net.octets import OctetText, field_value, utf8_octets

_TRUE_TEXTS = frozenset({"t", "true", "on", "y", "yes", "1"})  # that earlier versions took for `true`
_IDEMPOTENT = "pure"  # the value of `route_kind`, whose words are those of the document

# A part of the document. The control plane's validation is lenient (numbers may be texts, fields unknown), so
# values are converted where they are read.
JsonObject: TypeAlias = Mapping[str, Any]


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

    version: ConfigVersion = None
    routes: RouteIndex = field(default_factory=RouteIndex)
    tenants_by_key: dict[OctetText, Tenant] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    requires_key: bool = False  # for all routes that are not public
    client_limits: ClientLimits = ClientLimits()

    def route(self, host: OctetText, target: str) -> Route | None:
        """Return the route of a request by its `Host` header and its target, or None."""
        return self.routes.find(host, target)


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
    for entry in tree["sockets"]:
        table.routes.add(entry["host"], [_route(rule) for rule in entry["policy"]])
    for entry in tree.get("tenants", ()):
        tenant = _tenant(entry)
        table.tenants[tenant.name] = tenant
        for key in entry["api_keys"]:
            table.tenants_by_key[utf8_octets(key)] = tenant
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
        prefix=prefix_key(rule["pattern"]["path_prefix"]),
        idempotent=rule["route_kind"] == _IDEMPOTENT,
        timeout_s=float(effect["timeout_s"]),
        target_s=float(rule["target_s"]),
        priority=int(rule.get("priority", 0)),
        public=_is_true(rule.get("public", False)),
        max_attempts=int(effect["max_tries"]),
        services=_weighted_services(effect),
    )


def _is_true(value: object) -> bool:
    """Return a truth value of a document.

    Earlier versions took some texts and numbers for one as well, and such documents may be in use.
    """
    if isinstance(value, str):
        return value.lower() in _TRUE_TEXTS
    return value is True or value == 1


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
