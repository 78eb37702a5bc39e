"""Connections to the other control-plane nodes, and the status that each of them reported last.

Each node keeps a connection to every other node that it knows of, and sends heartbeats on it. An answer
carries the other's status and its grant of a lease. None of this is saved.
"""

from __future__ import annotations

from random import Random
from typing import Protocol, assert_never

import trio

from wickspring.common.connection import PeerConnection
from wickspring.common.messages import (
    NODE_REPLIES,
    ROLE_NODE,
    Hello,
    HelloAttributes,
    ListNodes,
    Message,
    NodeHeartbeat,
    NodeHeartbeatReply,
    NodeList,
    NodeReply,
    NodeStatus,
)
from wickspring.common.reconnecting_client import ReconnectingClient
from wickspring.common.seeds import SeedList
from wickspring.common.settings import NodeSettings
from wickspring.controlplane.replication.view import PeerObservation
from wickspring.net.clock import Clock

REACHABLE_MS = 750.0  # since a node was last received from, within which it counts as reachable
ASK_NODES_PROBABILITY = 0.3  # of asking a node that reaches other nodes than this one which they are


def observe(status: NodeStatus, reachable: bool) -> PeerObservation:
    """Return the chain's observation of a node that has reported this status."""
    return PeerObservation(
        reachable=reachable,
        disk_id=status.disk_id,
        unhealthy=status.is_unhealthy,
        zone=status.zone,
        epoch=status.epoch,
        committed_epoch=status.config_epoch,
        committed_version=status.committed_version,
        departure_count=status.departure_count,
        departures_checksum=status.departure_checksum,
        identity=status.config_identity,
        reachable_peers=frozenset(status.reachable_ips),
    )


class PeerListener(Protocol):
    """Receives the events of connections to other nodes."""

    def on_peer_connected(self, address: str) -> None:
        """Handle that a connection to a node is up."""

    def on_heartbeat_reply(self, reply: NodeHeartbeatReply) -> None:
        """Handle a node's reply to a heartbeat, after its status has been recorded."""


class PeerSet:
    """All other nodes that this one has heard of."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        listener: PeerListener,
    ) -> None:
        self._ip = settings.ip
        self._port = settings.peer_port
        self._clock = clock
        self._nursery = nursery
        self._random = random
        self._listener = listener
        self._seeds = SeedList(settings)
        self._clients: dict[str, ReconnectingClient] = {}
        self.statuses: dict[str, NodeStatus] = {}  # as reported last, by address
        self.asked_at: dict[str, float] = {}  # ms: when that was asked for

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of all other nodes that are known."""
        return list(self._clients)

    def connect(self, addresses: list[str]) -> None:
        """Keep a connection to each of these nodes."""
        for address in addresses:
            if address == self._ip or address in self._clients:
                continue
            client = ReconnectingClient(
                (address, self._port), self, NODE_REPLIES, self._clock, self._nursery, self._random
            )
            self._clients[address] = client
            self._nursery.start_soon(client.run)

    def on_incoming_connection(self, address: str) -> None:
        """Connect to a node at once that has just connected to this one."""
        self.connect([address])
        if address in self._clients:
            self._clients[address].reconnect_now()

    def send(self, address: str, message: Message) -> bool:
        """Send a message to a node; False where there is no connection."""
        client = self._clients.get(address)
        return client is not None and client.send(message)

    def broadcast(self, message: Message) -> None:
        """Send a message to all nodes that are connected."""
        for client in self._clients.values():
            if client.live:
                client.send(message)

    def send_heartbeats(self) -> None:
        """Connect to the seeds, and send a heartbeat to each node."""
        now = self._clock.now()
        self.connect(self._seeds.ips(now, bool(self.reachable())))
        for client in self._clients.values():
            client.send(NodeHeartbeat(now))

    def is_reachable(self, address: str) -> bool:
        """Return whether a message of a node has arrived recently; this node itself is always reachable."""
        if address == self._ip:
            return True
        client = self._clients.get(address)
        connection = client.connection if client is not None else None
        if connection is None or not connection.live:
            return False
        return self._clock.now() - connection.last_received_at_ms < REACHABLE_MS

    def reachable(self) -> list[str]:
        """Return the addresses of the other nodes that are reachable."""
        return [address for address in self._clients if self.is_reachable(address)]

    def observations(self) -> dict[str, PeerObservation]:
        """Return what is known of each node at this moment."""
        return {
            address: observe(status, self.is_reachable(address)) for address, status in self.statuses.items()
        }

    def answered_since(self, address: str, since: float) -> bool:
        """Return whether a node has answered a heartbeat that was sent after `since` (ms)."""
        return self.asked_at.get(address, since) > since

    def on_connect(self, connection: PeerConnection) -> None:
        """Introduce this node on a connection that it has opened, and send the first heartbeat."""
        connection.send(Hello(ROLE_NODE, self._ip, HelloAttributes()))
        connection.send(NodeHeartbeat(self._clock.now()))
        self._listener.on_peer_connected(connection.peer_address)

    def on_message(self, connection: PeerConnection, message: NodeReply) -> None:
        """Handle a reply on a connection that this node opened."""
        match message:
            case NodeHeartbeatReply():
                self._on_heartbeat_reply(connection, message)
            case NodeList():
                self.connect(message.ips)
            case _:
                assert_never(message)

    def on_disconnect(self, client: ReconnectingClient) -> None:
        """Do nothing: the client reconnects, and `is_reachable` depends on received messages."""

    def _on_heartbeat_reply(self, connection: PeerConnection, reply: NodeHeartbeatReply) -> None:
        self.statuses[reply.ip] = reply.status
        self.asked_at[reply.ip] = reply.asked_at_ms
        self._listener.on_heartbeat_reply(reply)
        known_to_it = set(reply.status.reachable_ips) - {self._ip}
        known_here = set(self._clients) - {reply.ip}
        if known_to_it != known_here and self._random.random() < ASK_NODES_PROBABILITY:
            connection.send(ListNodes())
