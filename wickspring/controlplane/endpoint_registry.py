"""The endpoints that are known to one control-plane node, by their heartbeats. No I/O; times are ms.

An endpoint sends its heartbeats to one node. What changes by them is replicated to the other nodes and sent
to data planes. Of a heartbeat that changes nothing the other nodes learn only that it came.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from wickspring.common.endpoints import GONE, READY, Endpoint

MISSED_HEARTBEATS = 2.7  # heartbeat intervals without any, after which an endpoint counts as lost
FORGET_AFTER_MS = 60_000.0  # without a heartbeat; the id of a lost or gone endpoint does not come back
WARM_UP_CHANGE_MS = 400.0  # by which the end of warming up must move to count as a change


class EndpointRegistry:
    """Endpoints by id, with the times of their last heartbeats."""

    def __init__(self, heartbeat_ms: float) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.endpoints: dict[str, Endpoint] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.lost: set[str] = set()  # ids without a heartbeat for too long
        self.departures: dict[str, int] = {}  # committed states of endpoints that drain or have ended

    def record_heartbeat(self, now: float, received: Endpoint) -> Endpoint | None:
        """Record a heartbeat, sent here or to another node; return the endpoint where data planes need it."""
        known = self.endpoints.get(received.id)
        if known is not None and received.sequence < known.sequence:
            return None  # overtaken by a later one
        endpoint = self._with_final_state(received, known)
        if endpoint.state != GONE:
            self.last_heartbeat_at[endpoint.id] = now
        recovered = endpoint.id in self.lost
        self.lost.discard(endpoint.id)
        self.endpoints[endpoint.id] = endpoint
        if known is None or recovered or _has_changed(now, known, endpoint):
            return endpoint
        return None

    def _with_final_state(self, endpoint: Endpoint, known: Endpoint | None) -> Endpoint:
        """Return an endpoint in the latest of its states: none is ever taken back."""
        departure = self.departures.get(endpoint.id, READY)
        state = max(endpoint.state, departure, known.state if known is not None else READY)
        return endpoint if state == endpoint.state else replace(endpoint, state=state)

    def record_liveness(self, now: float, sequences: Iterable[tuple[str, int]]) -> list[Endpoint]:
        """Record heartbeats that came to another node, by id and sequence number.

        Returns the endpoints that are no longer lost.
        """
        recovered = []
        for endpoint_id, sequence in sequences:
            known = self.endpoints.get(endpoint_id)
            if known is None or sequence < known.sequence:
                continue
            self.last_heartbeat_at[endpoint_id] = now
            if endpoint_id in self.lost:
                self.lost.discard(endpoint_id)
                recovered.append(known)
        return recovered

    def new_departures(self, departures: Mapping[str, int]) -> dict[str, int]:
        """Return those of the committed departures that go further than what is known here."""
        return {
            endpoint_id: state
            for endpoint_id, state in departures.items()
            if self.departures.get(endpoint_id, READY) < state
        }

    def apply_departures(self, departures: Mapping[str, int]) -> list[Endpoint]:
        """Apply committed departures, states by id; return the endpoints that changed."""
        self.departures.update(departures)
        changed = []
        for endpoint_id, state in departures.items():
            known = self.endpoints.get(endpoint_id)
            if known is not None and known.state < state:
                endpoint = replace(known, state=state)
                self.endpoints[endpoint_id] = endpoint
                changed.append(endpoint)
        return changed

    def expire(self, now: float) -> list[str]:
        """Return the ids of endpoints that have just been lost, and forget those lost long ago."""
        lost = []
        timeout_ms = MISSED_HEARTBEATS * self.heartbeat_ms
        for endpoint_id, heartbeat_at in list(self.last_heartbeat_at.items()):
            heartbeat_age_ms = now - heartbeat_at
            if heartbeat_age_ms > timeout_ms and endpoint_id not in self.lost:
                self.lost.add(endpoint_id)
                lost.append(endpoint_id)
            elif heartbeat_age_ms > FORGET_AFTER_MS:
                self._forget(endpoint_id)
        return lost

    def _forget(self, endpoint_id: str) -> None:
        del self.last_heartbeat_at[endpoint_id]
        self.endpoints.pop(endpoint_id, None)
        self.lost.discard(endpoint_id)

    def present(self) -> list[Endpoint]:
        """Return the endpoints that are not lost, in any state."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.id not in self.lost]

    def ready(self) -> list[Endpoint]:
        """Return the endpoints that are not lost and take requests."""
        return [endpoint for endpoint in self.present() if endpoint.state == READY]


def _has_changed(now: float, known: Endpoint, endpoint: Endpoint) -> bool:
    """Return whether a heartbeat changes an endpoint for data planes."""
    warm_up_moved = abs(endpoint.warming_until_ms - known.warming_until_ms) > WARM_UP_CHANGE_MS
    if warm_up_moved and endpoint.warming_until_ms > now:
        return True
    return replace(endpoint, sequence=known.sequence, warming_until_ms=known.warming_until_ms) != known
