"""Endpoints of one control-plane node: heartbeats and departures in, updates to nodes and data planes out."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wickspring.common import logs
from wickspring.common.config_status import QuorumContact
from wickspring.common.endpoints import READY, Endpoint, endpoints_digest
from wickspring.common.messages import (
    EndpointHeartbeats,
    EndpointRecord,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointsLost,
    EndpointSnapshot,
)
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions, PeerSession
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.update_service import UpdateService


class EndpointService:
    """Keeps the endpoint registry, and passes on what changes in it."""

    def __init__(
        self, components: Components, data_planes: DataPlaneSessions, updates: UpdateService
    ) -> None:
        self._settings = components.settings
        self._clock = components.clock
        self._contact = components.contact
        self._registry = components.registry
        self._load_tracker = components.load_tracker
        self._replication = components.replication
        self._data_planes = data_planes
        self._updates = updates
        self._saved_ids: set[str] = set()  # endpoints on disk
        self._unreported_lost: set[str] = set()  # lost endpoints not yet reported to data planes
        self._received_sequences: dict[str, int] = {}  # not yet reported to other nodes

    def restore(self) -> None:
        """Start with the endpoints on this node's disk.

        A departure is never taken back, whether it is committed or not: those endpoints get no requests from
        the start.
        """
        now = self._clock.now()
        self._registry.apply_departures(self._replication.chain.replica.departures)
        for packed in self._replication.store.load_endpoints():
            endpoint = Endpoint.unpack(packed, now)
            self._registry.record_heartbeat(now, endpoint)
            self._saved_ids.add(endpoint.id)

    # Calls of servers.

    def receive_heartbeat(self, endpoint: Endpoint) -> None:
        """Record a heartbeat that came to this node, and pass on what it changes."""
        changed = self._registry.record_heartbeat(self._clock.now(), endpoint)
        self._received_sequences[endpoint.id] = endpoint.sequence
        if changed is None:
            return
        logs.log_event(
            "endpoint_changed",
            id=changed.id,
            service=changed.service,
            state=changed.state,
            address=changed.address,
        )
        message = EndpointsChanged([changed.to_record(self._clock.now())])
        self._replication.peers.broadcast(message)
        self._data_planes.broadcast(message)

    async def commit_departure(self, endpoint_id: str, state: int) -> bool:
        """Have the departure of an endpoint committed; False where that took too long.

        Where a departure is committed already, the endpoint gets no more requests, so a further one is
        acknowledged at once and committed in the background.
        """
        update = Update(departures={endpoint_id: state})
        committed = self._replication.chain.committed.departures.get(endpoint_id, READY)
        if committed != READY and self._contact.observe() is not QuorumContact.NONE:
            if state > committed:
                self._replication.submit_in_background(update)
            return True
        return (await self._updates.commit(update)).outcome is CommitOutcome.COMMITTED

    def heartbeat_target(self, zone: str) -> str:
        """Return the address for heartbeats from a zone: of a reachable node there, else of this one."""
        if zone != self._settings.zone:
            for ip, status in self._replication.peers.statuses.items():
                if (
                    status.zone == zone
                    and not status.is_unhealthy
                    and self._replication.peers.is_reachable(ip)
                ):
                    return status.control_address
        return self._settings.bind.control_addr

    # Replication.

    def apply_committed(self, replica: Replica) -> None:
        """Apply the departures that have been committed."""
        departures = self._registry.new_departures(replica.departures)
        if departures:
            self._registry.apply_departures(departures)
            self._data_planes.broadcast(EndpointsDeparting(departures))

    def receive_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Record endpoints that another node has sent."""
        now = self._clock.now()
        for record in records:
            endpoint = Endpoint.from_record(record, now)
            is_new = endpoint.id not in self._registry.endpoints
            if self._registry.record_heartbeat(now, endpoint) is not None and is_new:
                self._data_planes.broadcast(EndpointsChanged([endpoint.to_record(now)]))

    def receive_liveness(self, sequences: Sequence[tuple[str, int]]) -> list[str]:
        """Record heartbeats that came to another node; return the ids that are not known here."""
        now = self._clock.now()
        recovered = self._registry.record_liveness(now, sequences)
        if recovered:
            self._data_planes.broadcast(EndpointsChanged([endpoint.to_record(now) for endpoint in recovered]))
        return [endpoint_id for endpoint_id, _ in sequences if endpoint_id not in self._registry.endpoints]

    def known_records(self, endpoint_ids: Iterable[str]) -> list[EndpointRecord]:
        """Return those of these endpoints that are known, for a message."""
        now = self._clock.now()
        known = [self._registry.endpoints.get(endpoint_id) for endpoint_id in endpoint_ids]
        return [endpoint.to_record(now) for endpoint in known if endpoint is not None]

    def replicate_liveness(self) -> bool:
        """Report the heartbeats since the last report to the other nodes; False where there are none."""
        if not self._received_sequences:
            return False
        self._replication.peers.broadcast(EndpointHeartbeats(list(self._received_sequences.items())))
        self._received_sequences = {}
        return True

    # Data planes.

    def send_snapshot(self, session: PeerSession) -> None:
        """Send a data plane all known endpoints and departures."""
        now = self._clock.now()
        is_complete = self._contact.observe() is QuorumContact.STABLE
        records = [endpoint.to_record(now) for endpoint in self._registry.present()]
        session.send(EndpointSnapshot(records, self._registry.departures, is_complete))

    def digest(self) -> int:
        """Return a digest that is equal on all processes that know the same endpoints."""
        return endpoints_digest(self._registry.present())

    # Upkeep.

    def expire(self, now: float, contact: QuorumContact) -> None:
        """Find endpoints whose heartbeats have stopped.

        Data planes are told only in stable contact, when the heartbeats of all nodes are received here.
        """
        known_before = set(self._registry.endpoints)
        self._unreported_lost |= set(self._registry.expire(now))
        for endpoint_id in known_before - set(self._registry.endpoints):
            self._load_tracker.forget_endpoint(endpoint_id)
        if contact is QuorumContact.STABLE:
            self._report_lost()

    def _report_lost(self) -> None:
        lost = sorted(self._unreported_lost & self._registry.lost)
        self._unreported_lost.clear()
        if lost:
            logs.log_event("endpoints_timed_out", ids=",".join(lost))
            self._data_planes.broadcast(EndpointsLost(lost))

    @property
    def needs_save(self) -> bool:
        """Return whether the endpoints on disk are others than those that are ready."""
        return self._saved_ids != {endpoint.id for endpoint in self._registry.ready()}

    async def save(self) -> None:
        """Save the endpoints that are ready; where the disk refuses, the next change tries again."""
        now = self._clock.now()
        ready = self._registry.ready()
        self._saved_ids = {endpoint.id for endpoint in ready}
        await self._replication.save_endpoints([endpoint.pack(now) for endpoint in ready])
