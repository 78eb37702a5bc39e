"""The client of the control plane: dispatch of messages, heartbeats, and periodic comparison."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import assert_never

import trio

from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.config_version import version_from_wire, version_to_wire
from wickspring.common.connection import HEARTBEAT_MS, PeerConnection
from wickspring.common.messages import (
    ROLE_DATA_PLANE,
    ClusterView,
    ConfigOffer,
    ControlPlaneHeartbeatReply,
    ControlPlaneMessage,
    DataPlaneHeartbeat,
    DataPlanePeers,
    EndpointAdvice,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointsLost,
    EndpointSnapshot,
    Hello,
    HelloAttributes,
    PeerReply,
    QuotaOwnerMoved,
    QuotaTotal,
)
from wickspring.common.reconnecting_client import ReconnectingClient
from wickspring.common.settings import NodeSettings
from wickspring.dataplane.control_client.config_sync import ConfigSync
from wickspring.dataplane.control_client.connections import ControlPlaneConnections, status_of
from wickspring.dataplane.control_client.endpoint_sync import EndpointSync
from wickspring.dataplane.control_client.listener import ControlListener
from wickspring.dataplane.control_client.load_client import LoadClient
from wickspring.dataplane.control_client.quota_client import QuotaClient
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.net.clock import Clock

COMPARE_MS = 2000.0  # between comparisons of endpoints with the control plane's, and up to a heartbeat more
HEARTBEAT_JITTER = (0.85, 1.15)


class ControlClient:
    """All that one data plane exchanges with the control plane."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        endpoints: EndpointTable,
        listener: ControlListener,
    ) -> None:
        self.data_plane_count = 0  # as the control plane counts them; 0: not reported yet
        self._settings = settings
        self._clock = clock
        self._random = random
        self._listener = listener
        self._reported_counts: dict[str, int] = {}  # number of data planes, as each node counts them
        numbers = count(1)
        self.connections = ControlPlaneConnections(settings, clock, nursery, random, self)
        self.config = ConfigSync(clock, listener)
        self.endpoint_sync = EndpointSync(clock, random, self.connections, endpoints, listener)
        self.quota = QuotaClient(self.connections, numbers, listener)
        self.load = LoadClient(self.connections, numbers, settings.zone)

    @property
    def in_contact(self) -> bool:
        """Whether a reachable node is in contact with a quorum of the control plane."""
        return self.connections.best_contact() > QuorumContact.NONE

    @property
    def config_status(self) -> ConfigStatus:
        """What this data plane may say of its configuration to others."""
        return self.config.status(self.in_contact)

    @property
    def is_synchronized(self) -> bool:
        """Whether a configuration and the endpoints of most control-plane members are known."""
        member_count = len(self.connections.owners.members) or len(self._settings.seed_addrs)
        if self.config.routing_table.version is None:
            return False
        return self.endpoint_sync.complete_from_majority(member_count)

    # Events of connections.

    def on_connect(self, connection: PeerConnection) -> None:
        """Introduce this data plane on a new connection."""
        identity = self.config.identity
        attributes = HelloAttributes(version_to_wire(identity.version), identity.digest, self._settings.zone)
        connection.send(Hello(ROLE_DATA_PLANE, self._settings.ip, attributes))
        status_of(connection).sent_config = identity
        self.quota.send_usage(connection)

    def on_disconnect(self, client: ReconnectingClient) -> None:
        """Forget what was asked on a connection that has ended."""
        self.quota.on_disconnect(client)

    # Messages.

    def on_message(self, connection: PeerConnection, message: ControlPlaneMessage) -> None:
        """Handle a message from a node of the control plane."""
        match message:
            case QuotaTotal():
                self.quota.on_total(message)
            case QuotaOwnerMoved():
                self.quota.on_owner_moved(message.request_number)
            case EndpointAdvice():
                self.load.on_advice(message)
            case EndpointsLost():
                self.endpoint_sync.on_unresponsive(message.endpoint_ids)
            case DataPlanePeers():
                self._listener.on_data_planes(message.ips)
            case ConfigOffer():
                self.config.offer(message, by_control_plane=True)
            case EndpointsChanged() | EndpointsDeparting() | EndpointSnapshot():
                self.endpoint_sync.on_message(connection.peer_address, message)
            case ClusterView():
                self._on_cluster_view(connection, message)
            case ControlPlaneHeartbeatReply():
                self._on_heartbeat_reply(connection, message)
            case _:
                assert_never(message)

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Handle a message from another data plane."""
        match message:
            case ConfigOffer():
                self.config.offer(message, by_control_plane=False)
            case EndpointsChanged() | EndpointsDeparting() | EndpointSnapshot():
                self.endpoint_sync.on_message(connection.peer_address, message)
            case _:
                assert_never(message)

    def _on_cluster_view(self, connection: PeerConnection, view: ClusterView) -> None:
        connection.peer_address = view.nodes[0]
        self.connections.connect(view.nodes)
        self.data_plane_count = max(self.data_plane_count, view.data_plane_count)
        if self.connections.update_view(view.epoch, view.chain):
            self.quota.send_usage_to_members()

    def _on_heartbeat_reply(self, connection: PeerConnection, reply: ControlPlaneHeartbeatReply) -> None:
        self._reported_counts[connection.peer_address] = reply.data_plane_count
        self.data_plane_count = max(self._reported_counts.values())
        status = status_of(connection)
        status.endpoints_digest = reply.endpoints_digest
        status.contact = reply.contact
        if reply.config_digest:  # else as last reported on this connection
            status.committed_digest = reply.config_digest
        if reply.contact > QuorumContact.NONE:
            version = version_from_wire(reply.config_version, status.committed_digest)
            self.config.confirm(version, status.committed_digest)

    # Periodic work.

    async def run(self) -> None:
        """Send heartbeats, and repair what messages have missed, for as long as the process lives."""
        compared_at = self._clock.now()
        while True:
            self.connections.connect_to_seeds()
            self._send_heartbeats()
            self.config.adopt_fallback()
            now = self._clock.now()
            if now - compared_at > COMPARE_MS:
                compared_at = now
                self.endpoint_sync.compare()
                self.connections.forget_unreachable(now)
            await trio.sleep(HEARTBEAT_MS * self._random.uniform(*HEARTBEAT_JITTER) / 1000.0)

    def _send_heartbeats(self) -> None:
        for client in list(self.connections.clients.values()):
            self._send_heartbeat(client)

    def _send_heartbeat(self, client: ReconnectingClient) -> None:
        """Show that this data plane is alive, with its configuration only where that has changed."""
        identity = self.config.identity
        connection = client.connection
        if connection is None or status_of(connection).sent_config == identity:
            client.send(DataPlaneHeartbeat())
        elif client.send(DataPlaneHeartbeat(version_to_wire(identity.version), identity.digest)):
            status_of(connection).sent_config = identity
