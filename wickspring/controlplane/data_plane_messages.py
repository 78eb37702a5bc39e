"""Messages from data planes."""

from __future__ import annotations

from wickspring.common.connection import Message
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions, PeerSession, ReportedConfig
from wickspring.controlplane.endpoint_service import EndpointService
from wickspring.controlplane.quota_service import QuotaService
from wickspring.controlplane.view_announcements import ViewAnnouncer

MAX_INTRODUCED = 3  # other data planes that a new one is told of


class DataPlaneMessageHandler:
    """Dispatches what data planes ask and report."""

    def __init__(
        self,
        components: Components,
        data_planes: DataPlaneSessions,
        endpoints: EndpointService,
        quota: QuotaService,
        view: ViewAnnouncer,
    ) -> None:
        self._components = components
        self._data_planes = data_planes
        self._endpoints = endpoints
        self._quota = quota
        self._view = view
        self._handlers = {
            "add": self._on_acquire,
            "berth": self._on_advice_request,
            "out": self._on_request_sent,
            "in": self._on_request_ended,
            "spent": self._on_spent,
            "back": self._on_give_back,
            "past": self._on_usage_report,
            "tick": self._on_tick,
            "whole": self._on_snapshot_request,
        }

    def receive(self, session: PeerSession, message: Message) -> None:
        """Handle a message of a data plane; those with unknown names are ignored."""
        handler = self._handlers.get(message[0])
        if handler is not None:
            handler(session, message)

    def connected(self, session: PeerSession, reported: ReportedConfig) -> None:
        """Send a new data plane the view, some other data planes, the endpoints and the configuration."""
        self._data_planes.add(session)
        self._quota.data_plane_connected(session.name)
        self._components.load_tracker.forget_data_plane(session.name)
        self._view.send(session)
        others = sorted(self._data_planes.names() - {session.name})
        introduced = self._components.random.sample(others, min(MAX_INTRODUCED, len(others)))
        session.send("pilots", introduced)
        self._endpoints.send_snapshot(session)
        session.reported_config = reported
        self.offer_config(session)

    def disconnected(self, session: PeerSession) -> None:
        """Forget a data plane whose last connection has ended."""
        if self._data_planes.remove(session):
            self._components.load_tracker.forget_data_plane(session.name)

    def offer_config(self, session: PeerSession) -> None:
        """Send a data plane the configuration, where it has none or an older one."""
        parts = self._components
        contact = parts.contact.observe()
        stored = parts.replication.chain.replica.config if parts.contact.isolated else None
        parts.config_distributor.offer(session, contact, stored)

    # Counts.

    def _on_acquire(self, session: PeerSession, message: Message) -> None:
        _, request_number, tenant, is_retry, epoch, *_ = message
        self._quota.acquire(session, int(request_number), str(tenant), bool(is_retry), int(epoch))

    def _on_spent(self, session: PeerSession, message: Message) -> None:
        self._quota.record_spent(session.name, str(message[1]))

    def _on_give_back(self, session: PeerSession, message: Message) -> None:
        self._quota.give_back(session.name, str(message[1]))

    def _on_usage_report(self, session: PeerSession, message: Message) -> None:
        self._quota.receive_usage_report(session.name, str(message[1]), message[2])

    # Load of endpoints.

    def _on_advice_request(self, session: PeerSession, message: Message) -> None:
        parts = self._components
        service = str(message[2])
        endpoints = [endpoint for endpoint in parts.registry.ready() if endpoint.service == service]
        advised: list[tuple[str, float]] = []
        # Without the other nodes it knows the load that some of the data planes report, and would send
        # all of them to the same few endpoints.
        if parts.replication.steady:
            advised = parts.load_tracker.advise(parts.clock.now(), str(message[3]), endpoints)
        session.send("berths", message[1], advised, len(endpoints))

    def _on_request_sent(self, session: PeerSession, message: Message) -> None:
        self._components.load_tracker.request_sent(session.name, str(message[1]))

    def _on_request_ended(self, session: PeerSession, message: Message) -> None:
        now = self._components.clock.now()
        self._components.load_tracker.request_ended(now, session.name, str(message[1]), float(message[2]))

    # State of the gateway.

    def _on_tick(self, session: PeerSession, message: Message) -> None:
        self._answer_tick(session)
        if len(message) > 1:
            session.reported_config = ReportedConfig(int(message[1]), bytes(message[2]))
        self.offer_config(session)

    def _answer_tick(self, session: PeerSession) -> None:
        parts = self._components
        committed = parts.config_distributor.committed
        is_announced = session.announced_digest == committed.digest
        session.announced_digest = committed.digest
        session.send(
            "tock",
            parts.replication.chain.view.epoch,
            committed.version,
            self._data_planes.live_count,
            self._endpoints.digest(),
            b"" if is_announced else committed.digest,
            int(parts.contact.observe()),
        )

    def _on_snapshot_request(self, session: PeerSession, message: Message) -> None:
        self._view.send(session)
        self._endpoints.send_snapshot(session)
