"""Routes of a configuration, and which of them a request is for.

Of the routes of a request's host it is the one whose prefix begins the path and is longest. A host may stand
in several entries of a configuration; their routes are one set. An entry that names a port is for requests
that name this port; one without a port is for requests with any port or none. Hosts are compared without
regard to the case of ASCII letters (RFC 9110, section 4.2.3).

A request has its path in ASCII, and a host that is not ASCII either as labels of ASCII (RFC 5890, section
2.3.2.1) or as UTF-8. So a prefix is percent-encoded as clients do it (RFC 3987, section 3.1), and a host
becomes such labels.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

from wickspring.net.octets import OctetText, encode_octets, lower_ascii, utf8_octets

MAX_HOST_OCTETS = 255  # of a domain's name (RFC 1035, section 2.3.4)
_VISIBLE_ASCII = "".join(map(chr, range(0x21, 0x7F)))


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


def host_key(host: str) -> OctetText:
    """Return what a host of a configuration is known by; two entries with the same key are one host."""
    if host.isascii():
        return OctetText(host.lower())
    try:
        return OctetText(host.encode("idna").decode("ascii").lower())
    except UnicodeError:  # no name of a domain
        return lower_ascii(utf8_octets(host))


def prefix_key(prefix: str) -> str:
    """Return a path prefix of a configuration as it stands in requests."""
    return quote(prefix, safe=_VISIBLE_ASCII)


def _requested_host(host: OctetText) -> OctetText:
    """Return the key of the host that a request names."""
    if host.isascii():
        return OctetText(host.lower())
    if len(host) > MAX_HOST_OCTETS:
        return lower_ascii(host)
    try:
        return host_key(encode_octets(host).decode())
    except UnicodeDecodeError:
        return lower_ascii(host)


class RouteIndex:
    """The routes of one configuration, by host."""

    def __init__(self) -> None:
        self._routes: dict[OctetText, list[Route]] = {}  # by host key; the longest prefix first

    def add(self, host: str, routes: Iterable[Route]) -> None:
        """Add the routes of one entry of a configuration to those of its host."""
        known = self._routes.setdefault(host_key(host), [])
        known.extend(routes)
        known.sort(key=lambda route: -len(route.prefix))

    def find(self, host: OctetText, target: str) -> Route | None:
        """Return the route of a request, or None.

        Args:
            host: the value of its `Host` header.
            target: its target, with a query or without.
        """
        path = target.partition("?")[0]
        key = _requested_host(host)
        with_port = self._longest_match(key, path)
        name = _without_port(key)
        if name == key:
            return with_port
        any_port = self._longest_match(name, path)
        if with_port is None or any_port is None:
            return with_port or any_port
        return any_port if len(any_port.prefix) > len(with_port.prefix) else with_port

    def _longest_match(self, key: OctetText, path: str) -> Route | None:
        routes = self._routes.get(key, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)


def _without_port(host: OctetText) -> OctetText:
    """Return a host without its port; an IPv6 address has colons inside its brackets."""
    if host.startswith("["):
        return OctetText(host[: host.find("]") + 1])
    return OctetText(host.partition(":")[0])
