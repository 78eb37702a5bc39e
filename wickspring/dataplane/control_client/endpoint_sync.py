"""What control and data planes report of endpoints, and the comparison that finds what was missed."""

from __future__ import annotations

from random import Random
from typing import TypeAlias, assert_never

from wickspring.common.config_status import QuorumContact
from wickspring.common.endpoints import Endpoint
from wickspring.common.messages import (
    EndpointRecord,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointSnapshot,
    RequestFullState,
)
from wickspring.dataplane.control_client.connections import ControlPlaneConnections, status_of
from wickspring.dataplane.control_client.listener import ControlListener
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.net.clock import Clock

# What both control-plane nodes and other data planes report of endpoints.
EndpointMessage: TypeAlias = EndpointsChanged | EndpointsDeparting | EndpointSnapshot


class EndpointSync:
    """Keeps the endpoints up to date."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        connections: ControlPlaneConnections,
        endpoints: EndpointTable,
        listener: ControlListener,
    ) -> None:
        self.complete_from: set[str] = set()  # nodes that have sent all endpoints they know
        self._clock = clock
        self._random = random
        self._connections = connections
        self._endpoints = endpoints
        self._listener = listener

    def on_message(self, sender: str, message: EndpointMessage) -> None:
        """Handle a message about endpoints; `sender` is the IP of the process that sent it."""
        match message:
            case EndpointsChanged():
                self.on_changes(message.endpoints)
            case EndpointsDeparting():
                self.on_departures(message.states)
            case EndpointSnapshot():
                self._on_snapshot(sender, message)
            case _:
                assert_never(message)

    def on_changes(self, records: list[EndpointRecord]) -> None:
        """Update changed endpoints, and report the changes that were not known to the listener."""
        now = self._clock.now()
        changed = []
        for record in records:
            endpoint = Endpoint.from_record(record, now)
            if self._endpoints.update(now, endpoint):
                changed.append(endpoint.to_record(now))
        if changed:
            self._listener.on_new_endpoints(changed)

    def on_departures(self, departures: dict[str, int]) -> None:
        """Record endpoints that drain or are gone, and report the new ones to the listener."""
        changes = self._endpoints.record_departures(departures)
        if changes:
            self._listener.on_new_departures(changes)

    def on_unresponsive(self, endpoint_ids: list[str]) -> None:
        """Record endpoints whose heartbeats the control plane no longer receives."""
        self._endpoints.record_unresponsive(endpoint_ids)

    def _on_snapshot(self, sender: str, snapshot: EndpointSnapshot) -> None:
        """Update all endpoints that another process knows."""
        now = self._clock.now()
        fresh = snapshot.is_recent
        self._endpoints.record_departures(snapshot.departures)
        if fresh or self._connections.best_contact() < QuorumContact.STABLE:  # else another node knows more
            for record in snapshot.endpoints:
                self._endpoints.update(now, Endpoint.from_record(record, now), fresh)
        self.complete_from.add(sender)
        self._listener.on_state_received()

    def complete_from_majority(self, member_count: int) -> bool:
        """Return whether more than half of `member_count` members have sent all endpoints that they know."""
        return len(self.complete_from & set(self._connections.owners.members)) > member_count // 2

    def compare(self) -> None:
        """Ask one of the best connected nodes for all endpoints if its digest differs from ours."""
        digest = self._endpoints.digest()
        best = self._connections.best_contact()
        differing = []
        for connection in self._connections.live_connections():
            status = status_of(connection)
            if status.contact == best and status.endpoints_digest not in (None, digest):
                differing.append(connection)
        if differing:
            self._random.choice(differing).send(RequestFullState())
