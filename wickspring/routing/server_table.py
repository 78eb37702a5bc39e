"""The servers as one gateway knows them: list, subset, slow start, ejection. No I/O, no clock.

Slow start: a server that has just started has a part of its capacity (its warmth) and gets as much less work.
Ejection: a server that fails gets no new work for a while, longer with each failure in a row (outlier
ejection, as in Envoy); the caller does without it only as long as others are left.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wickspring import interface as api
from wickspring.interface import LONG_AGO, ListKind, Readiness
from wickspring.routing.aperture import subset
from wickspring.routing.latency_estimate import LatencyEstimate
from wickspring.routing.lost_responses import SendOrder

EJECTION_MS = 2000.0  # without new work, for each failure in a row
MAX_FAILURES = 8  # that count
MAX_EJECTION_MS = EJECTION_MS * MAX_FAILURES
FULL_VISIBILITY_GATEWAYS = 4  # up to so many, the own attempts tell of a server's load


@dataclass(slots=True)
class Server:
    """What this gateway knows of one server; times in ms."""

    entry: api.ServerEntry
    warming_since: float  # when it last started, as far as known
    in_flight: int = 0  # own attempts
    send_order: SendOrder = field(default_factory=SendOrder)  # of those
    failures: int = 0  # in a row
    ejected_until: float = LONG_AGO
    ejected_for: dict[int, float] = field(default_factory=dict)  # until when, by class, or plan as -1 - plan
    last_received_at: float = LONG_AGO  # when it last answered anything
    in_subset: bool = False  # one of those that this gateway uses by its aperture
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    last_success_at: dict[int, float] = field(default_factory=dict)  # by class

    def record_success(self, now: float) -> None:
        """Take it as healthy."""
        self.last_received_at = now
        self.failures = 0
        self.ejected_until = LONG_AGO

    def eject(self, now: float) -> None:
        """Eject it for a failure, longer with each failure in a row."""
        self.failures = min(self.failures + 1, MAX_FAILURES)
        self.ejected_until = now + EJECTION_MS * self.failures

    def eject_class(self, class_index: int, now: float) -> None:
        """Eject it for the requests of one class."""
        self.ejected_for[class_index] = now + MAX_EJECTION_MS

    def eject_plan(self, plan_index: int, now: float) -> None:
        """Eject it for the requests of one plan."""
        self.ejected_for[-1 - plan_index] = now + MAX_EJECTION_MS

    def ejected_until_for(self, request: api.Request) -> float:
        """Return until when it is ejected for a request, be it alone or for its class or plan."""
        until = self.ejected_for.get
        return max(self.ejected_until, until(request.class_index, 0.0), until(-1 - request.plan_index, 0.0))


class ServerTable:
    """The servers by id, those that are ready, and the subset of them that this gateway uses."""

    def __init__(self, settings: api.Settings) -> None:
        self.servers: dict[api.ServerId, Server] = {}
        self.ready: list[Server] = []
        self.subset: list[Server] = []  # `ready` itself where this gateway uses all of them
        self.servers_per_gateway = 0.0  # ready servers over all gateways
        self.load_visibility = min(1.0, FULL_VISIBILITY_GATEWAYS / max(1, settings.gateways))
        self.fleet_warmth = 1.0  # mean of the ready servers
        self.subset_warmth = 1.0  # mean of the subset, relative to that
        self._gateways = max(1, settings.gateways)
        self._own_number = settings.own_number
        self._cold_capacity = settings.cold_capacity
        self._gained_capacity = 1.0 - settings.cold_capacity
        self._warm_up_ms = settings.cold_time
        self._warm_up_divisor = max(1.0, settings.cold_time)
        self._all_warm_at = LONG_AGO

    def update(self, event: api.ServerList) -> None:
        """Take in a list of servers, or changes to it."""
        if event.kind is not ListKind.CHANGES:  # what a complete list leaves out is gone
            for server in self.servers.values():
                server.entry = replace(server.entry, readiness=Readiness.GONE)
        for entry in event.entries:
            self._update_entry(entry)
        for name in [name for name, server in self.servers.items() if _is_unused(server)]:
            del self.servers[name]
        self.ready = [s for s in self.servers.values() if s.entry.readiness is Readiness.READY]
        self.servers_per_gateway = len(self.ready) / self._gateways
        self._update_subset()
        latest_start = max((server.warming_since for server in self.ready), default=LONG_AGO)
        self._all_warm_at = latest_start + self._warm_up_ms

    def _update_entry(self, entry: api.ServerEntry) -> None:
        started_at = entry.started_at if entry.started_at > 0 else LONG_AGO
        server = self.servers.get(entry.server)
        if server is None:
            self.servers[entry.server] = Server(entry, started_at)
            return
        server.entry = entry
        server.warming_since = max(server.warming_since, started_at)

    def _update_subset(self) -> None:
        ring = sorted(self.ready, key=lambda server: server.entry.server)
        part = subset(ring, self._own_number, self._gateways)
        self.subset = part if len(part) < len(ring) else self.ready
        for server in self.ready:
            server.in_subset = False
        for server in self.subset:
            server.in_subset = True

    def warmth(self, server: Server, now: float) -> float:
        """Return the share of its full capacity that a server surely has by now."""
        age_ms = max(0.0, now - server.warming_since)
        return min(1.0, self._cold_capacity + self._gained_capacity * age_ms / self._warm_up_divisor)

    def update_warmth(self, now: float) -> None:
        """Update the mean warmth of all servers and of the subset, where each gateway sees few attempts."""
        self.fleet_warmth = self.subset_warmth = 1.0
        if self.load_visibility < 1.0 and now < self._all_warm_at:
            self.fleet_warmth = self._mean_warmth(self.ready, now)
            self.subset_warmth = min(1.0, self._mean_warmth(self.subset, now) / self.fleet_warmth)

    def _mean_warmth(self, servers: list[Server], now: float) -> float:
        return sum(self.warmth(server, now) for server in servers) / len(servers)

    def eject_until(self, servers: tuple[tuple[api.ServerId, float], ...]) -> None:
        """Eject servers that peers have found failing, until the times given."""
        for name, until in servers:
            server = self.servers.get(name)
            if server is not None:
                server.ejected_until = max(server.ejected_until, until)


def _is_unused(server: Server) -> bool:
    return server.entry.readiness is Readiness.GONE and not server.in_flight
