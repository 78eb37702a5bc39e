"""The client of the control plane: dispatch of messages, heartbeats, and periodic comparison."""

from __future__ import annotations

from itertools import count
from random import Random

import trio

from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import HEARTBEAT_MS, Message, PeerConnection, ReconnectingClient
from wickspring.common.settings import NodeSettings
from wickspring.common.settings_file import parse_ip
from wickspring.dataplane.control_client.config_sync import ConfigSync
from wickspring.dataplane.control_client.connections import ControlPlaneConnections, status_of
from wickspring.dataplane.control_client.endpoint_sync import EndpointSync
from wickspring.dataplane.control_client.listener import ControlListener
from wickspring.dataplane.control_client.load_client import LoadClient
from wickspring.dataplane.control_client.quota_client import QuotaClient
from wickspring.dataplane.policy.config_adoption import ConfigCopy
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.net.clock import Clock

COMPARE_MS = 2000.0  # between comparisons of endpoints with the control plane's
HEARTBEAT_JITTER = (0.85, 1.15)


class ControlClient:
    """All that one data plane exchanges with the control plane."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        endpoints: EndpointSelector,
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
        self._handlers = {
            "sum": self._on_quota_total,
            "moved": self._on_quota_owner_moved,
            "berths": self._on_endpoint_advice,
            "servers": self._on_endpoints_changed,
            "leaving": self._on_endpoints_departing,
            "lost": self._on_endpoints_lost,
            "whole": self._on_endpoint_snapshot,
            "pilots": self._on_data_plane_peers,
            "view": self._on_cluster_view,
            "tock": self._on_heartbeat_reply,
        }

    @property
    def in_contact(self) -> bool:
        """Whether a node in reach is in contact with a quorum of the control plane."""
        return self.connections.best_contact() > QuorumContact.NONE

    @property
    def config_status(self) -> ConfigStatus:
        """What this data plane may say of its configuration to others."""
        return self.config.status(self.in_contact)

    @property
    def informed(self) -> bool:
        """Whether a configuration and the endpoints of most control-plane members are known."""
        member_count = len(self.connections.members) or len(self._settings.seed_addrs)
        if not self.config.routing_table.version:
            return False
        return self.endpoint_sync.complete_from_majority(member_count)

    # Events of connections.

    def on_connect(self, connection: PeerConnection) -> None:
        """Introduce this data plane on a new connection."""
        version, digest = self.config.identity
        attributes = {"version": version, "digest": digest, "zone": self._settings.zone}
        connection.send("hello", "pilot", self._settings.ip, attributes)
        status_of(connection).sent_config = self.config.identity
        self.quota.send_usage(connection)

    def on_disconnect(self, client: ReconnectingClient) -> None:
        """Forget what was asked on a connection that has ended."""
        self.quota.on_disconnect(client)

    def on_message(self, connection: PeerConnection, message: Message) -> None:
        """Take in a message of a control plane; one of an unknown kind is ignored."""
        if message[0] == "chart":
            self.on_config_offer(message, by_control_plane=True)
            return
        handler = self._handlers.get(message[0])
        if handler is not None:
            handler(connection, message)

    # Messages.

    def _on_quota_total(self, _: PeerConnection, message: Message) -> None:
        self.quota.on_total(int(message[1]), int(message[2]), int(message[3]), float(message[4]))

    def _on_quota_owner_moved(self, _: PeerConnection, message: Message) -> None:
        self.quota.on_owner_moved(int(message[1]))

    def _on_endpoint_advice(self, _: PeerConnection, message: Message) -> None:
        endpoints = [(str(endpoint_id), float(cost)) for endpoint_id, cost in message[2]]
        self.load.on_advice(int(message[1]), endpoints, int(message[3]))

    def _on_endpoints_changed(self, _: PeerConnection, message: Message) -> None:
        self.endpoint_sync.on_changes(message[1])

    def _on_endpoints_departing(self, _: PeerConnection, message: Message) -> None:
        self.endpoint_sync.on_departures(_departures(message[1]))

    def _on_endpoints_lost(self, _: PeerConnection, message: Message) -> None:
        self.endpoint_sync.on_unresponsive([str(endpoint_id) for endpoint_id in message[1]])

    def _on_endpoint_snapshot(self, connection: PeerConnection, message: Message) -> None:
        self.endpoint_sync.on_snapshot(connection.name, message[1], _departures(message[2]), bool(message[3]))

    def _on_data_plane_peers(self, _: PeerConnection, message: Message) -> None:
        self._listener.on_data_planes([parse_ip(ip) for ip in message[1]])

    def on_config_offer(self, message: Message, by_control_plane: bool) -> None:
        """Take in a configuration that a control or data plane offers."""
        _, version, packed, digest, status = message
        copy = ConfigCopy(int(version), bytes(digest), bytes(packed), ConfigStatus(status))
        self.config.offer(copy, by_control_plane)

    def _on_cluster_view(self, connection: PeerConnection, message: Message) -> None:
        nodes = [parse_ip(ip) for ip in message[3]]
        connection.name = nodes[0]
        self.connections.connect(nodes)
        self.data_plane_count = max(self.data_plane_count, int(message[4]))
        members = [parse_ip(ip) for ip in message[2]]
        if self.connections.update_view(int(message[1]), members):
            self.quota.send_usage_to_members()

    def _on_heartbeat_reply(self, connection: PeerConnection, message: Message) -> None:
        self._reported_counts[connection.name] = int(message[3])
        self.data_plane_count = max(self._reported_counts.values())
        status = status_of(connection)
        status.endpoints_digest = int(message[4])
        status.contact = QuorumContact(message[6])
        if message[5]:  # else as last reported on this connection
            status.committed_digest = bytes(message[5])
        if status.contact > QuorumContact.NONE:
            self.config.confirm(int(message[2]), status.committed_digest)

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
        changed = connection is not None and status_of(connection).sent_config != identity
        if connection is not None and changed and client.send("tick", *identity):
            status_of(connection).sent_config = identity
        else:
            client.send("tick")


def _departures(states: dict[str, int]) -> dict[str, int]:
    return {str(endpoint_id): int(state) for endpoint_id, state in states.items()}
