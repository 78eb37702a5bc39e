"""Messages from data planes."""

from __future__ import annotations

from typing import assert_never

from msgspec import UNSET

from wickspring.common.config_version import version_from_wire, version_to_wire
from wickspring.common.messages import (
    AddQuota,
    ControlPlaneHeartbeatReply,
    DataPlaneHeartbeat,
    DataPlanePeers,
    DataPlaneRequest,
    EndpointAdvice,
    Hello,
    QuotaRefund,
    QuotaSpent,
    RequestEndpointAdvice,
    RequestFinished,
    RequestFullState,
    RequestStarted,
    UsageReport,
)
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import PeerSession, ReportedConfig
from wickspring.controlplane.services import Services

MAX_INTRODUCED = 3  # other data planes that a new one learns of


class DataPlaneMessageHandler:
    """Dispatches what data planes ask and report."""

    def __init__(self, components: Components, services: Services) -> None:
        self._components = components
        self._data_planes = services.data_planes
        self._endpoints = services.endpoints
        self._quota = services.quota
        self._view = services.view

    def receive(self, session: PeerSession, message: DataPlaneRequest) -> None:
        """Handle a message of a data plane; the most frequent kinds come first."""
        match message:
            case AddQuota():
                self._quota.acquire(session, message)
            case RequestEndpointAdvice():
                self._on_advice_request(session, message)
            case RequestStarted():
                self._components.load_tracker.request_sent(session.name, message.endpoint_id)
            case RequestFinished():
                self._on_request_finished(session, message)
            case DataPlaneHeartbeat():
                self._on_heartbeat(session, message)
            case QuotaSpent() | QuotaRefund() | UsageReport():
                self._on_usage(session, message)
            case RequestFullState():
                self._view.send(session)
                self._endpoints.send_snapshot(session)
            case Hello():
                self.connected(session, message)
            case _:
                assert_never(message)

    def _on_usage(self, session: PeerSession, message: QuotaSpent | QuotaRefund | UsageReport) -> None:
        """Handle what a data plane reports of a tenant's usage."""
        match message:
            case QuotaSpent():
                self._quota.record_spent(session.name, message.tenant)
            case QuotaRefund():
                self._quota.give_back(session.name, message.tenant)
            case UsageReport():
                self._quota.receive_usage_report(session.name, message)

    def connected(self, session: PeerSession, hello: Hello) -> None:
        """Send a new data plane the view, some other data planes, the endpoints and the configuration."""
        self._data_planes.add(session)
        self._quota.data_plane_connected(session.name)
        self._components.load_tracker.forget_data_plane(session.name)
        self._view.send(session)
        others = sorted(self._data_planes.names() - {session.name})
        introduced = self._components.random.sample(others, min(MAX_INTRODUCED, len(others)))
        session.send(DataPlanePeers(introduced))
        self._endpoints.send_snapshot(session)
        session.reported_config = ReportedConfig(hello.config_version, hello.config_digest)
        self.offer_config(session)

    def disconnected(self, session: PeerSession) -> None:
        """Forget a data plane whose last connection has ended."""
        if self._data_planes.remove(session):
            self._components.load_tracker.forget_data_plane(session.name)
            self._quota.data_plane_ended(session.name)

    def offer_config(self, session: PeerSession) -> None:
        """Send a data plane the configuration, where it has none or an older one."""
        parts = self._components
        contact = parts.contact.observe()
        stored = parts.replication.chain.replica.config if parts.contact.isolated else None
        parts.config_distributor.offer(session, contact, stored)

    def _on_advice_request(self, session: PeerSession, request: RequestEndpointAdvice) -> None:
        parts = self._components
        ready = parts.registry.ready()
        endpoints = [endpoint for endpoint in ready if endpoint.service == request.service]
        offers: list[tuple[str, float]] = []
        # Without the other nodes it knows the load that some of the data planes report, and would send
        # all of them to the same few endpoints.
        if parts.replication.holds_lease:
            offers = parts.load_tracker.advise(parts.clock.now(), request.zone, endpoints)
        session.send(EndpointAdvice(request.request_number, offers, len(endpoints)))

    def _on_request_finished(self, session: PeerSession, message: RequestFinished) -> None:
        now = self._components.clock.now()
        self._components.load_tracker.request_ended(
            now, session.name, message.endpoint_id, message.latency_ratio
        )

    def _on_heartbeat(self, session: PeerSession, heartbeat: DataPlaneHeartbeat) -> None:
        self._answer_heartbeat(session)
        version = heartbeat.config_version
        digest = heartbeat.config_digest
        if version is not UNSET and digest is not UNSET:
            session.reported_config = ReportedConfig(version_from_wire(version, digest), digest)
        self.offer_config(session)

    def _answer_heartbeat(self, session: PeerSession) -> None:
        parts = self._components
        committed = parts.config_distributor.committed
        is_announced = session.announced_digest == committed.digest
        session.announced_digest = committed.digest
        reply = ControlPlaneHeartbeatReply(
            epoch=parts.replication.chain.view.epoch,
            config_version=version_to_wire(committed.version),
            data_plane_count=parts.known_data_planes.count,
            endpoints_digest=self._endpoints.digest(),
            config_digest=b"" if is_announced else committed.digest,
            contact=parts.contact.observe(),
        )
        session.send(reply)
