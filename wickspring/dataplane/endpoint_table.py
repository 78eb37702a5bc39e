"""The endpoint table: the endpoints that a data plane knows, and which of them accept new requests.

Reports come from control planes and other data planes, late and in any order. A departure (draining, gone)
is final: no later report brings the endpoint back. `wickspring.dataplane.policy.endpoint_selection` chooses
among the endpoints that accept requests. No I/O; times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from wickspring.common.endpoints import READY, Endpoint, endpoints_digest


@dataclass(slots=True, eq=False)
class KnownEndpoint:
    """One endpoint as this data plane knows it."""

    endpoint: Endpoint
    in_flight: dict[int, float] = field(default_factory=dict)  # attempt number to start time, oldest first
    latency_ratio: float = 1.0  # its latency by the typical latency of the routes, moving average
    failures: int = 0  # in a row
    ejected_until: float = 0.0
    unresponsive: bool = False  # the control plane no longer receives its heartbeats
    last_response_at: float = 0.0


class EndpointTable:
    """The endpoints of all services."""

    def __init__(self) -> None:
        self.by_id: dict[str, KnownEndpoint] = {}  # all that are known
        self.accepting: dict[str, dict[str, KnownEndpoint]] = {}  # new requests, by service and id
        self.departures: dict[str, int] = {}  # endpoint id to DRAINING or GONE

    def update(self, now: float, endpoint: Endpoint, fresh: bool = True) -> bool:
        """Record what is reported of an endpoint; return whether it is to be passed on.

        A report that is not fresh, from a control plane that may not know who has ended, brings no
        unresponsive endpoint back.
        """
        known = self.by_id.get(endpoint.id)
        if known is None:
            self.by_id[endpoint.id] = known = KnownEndpoint(endpoint, last_response_at=now)
            self._update_accepting(known)
            return True
        previous = known.endpoint
        changed = (known.unresponsive and fresh) or endpoint.state > previous.state
        if endpoint.sequence >= previous.sequence or endpoint.state > previous.state:
            state = max(endpoint.state, previous.state)  # never back from draining or gone
            known.endpoint = endpoint if endpoint.state == state else replace(endpoint, state=state)
            if previous.service != endpoint.service:
                self.accepting.get(previous.service, {}).pop(endpoint.id, None)
        known.unresponsive = known.unresponsive and not fresh
        self._update_accepting(known)
        return changed

    def record_departures(self, departures: dict[str, int]) -> dict[str, int]:
        """Record which endpoints drain or are gone, for good; return those whose departure was not known."""
        known = self.departures
        changes = {name: state for name, state in departures.items() if known.get(name, READY) < state}
        known.update(changes)
        for endpoint_id in changes.keys() & self.by_id.keys():
            self._update_accepting(self.by_id[endpoint_id])
        return changes

    def record_unresponsive(self, endpoint_ids: Iterable[str]) -> None:
        """Record endpoints whose heartbeats the control plane no longer receives."""
        for endpoint_id in endpoint_ids:
            if endpoint_id in self.by_id:
                self.by_id[endpoint_id].unresponsive = True

    def _update_accepting(self, known: KnownEndpoint) -> None:
        endpoint = known.endpoint
        accepting = self.accepting.setdefault(endpoint.service, {})
        if max(endpoint.state, self.departures.get(endpoint.id, READY)) == READY:
            accepting[endpoint.id] = known
        else:
            accepting.pop(endpoint.id, None)

    def accepts(self, endpoint_id: str) -> bool:
        """Return whether an endpoint accepts new requests."""
        known = self.by_id.get(endpoint_id)
        return known is not None and endpoint_id in self.accepting.get(known.endpoint.service, ())

    def digest(self) -> int:
        """Return a number that two processes share if they know the same endpoints."""
        known = self.by_id.items()
        return endpoints_digest(
            state.endpoint for name, state in known if not state.unresponsive and self.accepts(name)
        )

    def forget(self, now: float, after_ms: float) -> None:
        """Forget departed and unresponsive endpoints that have nothing in flight."""
        for endpoint_id, known in list(self.by_id.items()):
            unused = known.unresponsive or not self.accepts(endpoint_id)
            if unused and not known.in_flight and now - known.last_response_at > after_ms:
                self.accepting.get(known.endpoint.service, {}).pop(endpoint_id, None)
                del self.by_id[endpoint_id]
