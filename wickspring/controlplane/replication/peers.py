"""Connections to the other control-plane nodes, and the status that each of them reported last.

Each node keeps a connection to every other node that it knows of, and sends heartbeats on it. An answer
carries the other's status and its grant of a lease. None of this is saved.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, Protocol

import trio

from wickspring.common.connection import Message, PeerConnection, ReconnectingClient
from wickspring.common.seeds import SeedList
from wickspring.common.settings import NodeSettings
from wickspring.common.settings_file import parse_ip
from wickspring.controlplane.replication.replica import Rank
from wickspring.controlplane.replication.view import PeerObservation
from wickspring.net.clock import Clock

REACHABLE_MS = 750.0  # since a node was last received from, within which it counts as reachable
ASK_NODES_PROBABILITY = 0.3  # of asking a node that reaches other nodes than this one which they are


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a node reports of itself with each heartbeat; the order of fields is fixed by the wire."""

    disk_id: str
    epoch: int  # of the view that it has installed
    committed_epoch: int
    committed_version: int
    departure_count: int
    departures_checksum: int
    identity: bytes  # of the configuration that it stores, committed or not
    unhealthy: bool  # its disk is slow, or it is about to stop
    zone: str
    control_address: str
    reachable_peers: list[str]

    @property
    def committed_rank(self) -> Rank:
        """Return the rank of the configuration that it knows to be committed."""
        return self.committed_epoch, self.committed_version

    def pack(self) -> list[Any]:
        """Return it for a message."""
        return [
            self.disk_id,
            self.epoch,
            self.committed_epoch,
            self.committed_version,
            self.departure_count,
            self.departures_checksum,
            self.identity,
            self.unhealthy,
            self.zone,
            self.control_address,
            self.reachable_peers,
        ]

    @staticmethod
    def unpack(packed: list[Any]) -> NodeStatus:
        """Decode it; TypeError where fields are missing."""
        return NodeStatus(*packed)

    def observation(self, reachable: bool) -> PeerObservation:
        """Return what the chain is to know of this node."""
        return PeerObservation(
            reachable=reachable,
            disk_id=self.disk_id,
            unhealthy=self.unhealthy,
            zone=self.zone,
            epoch=self.epoch,
            committed_epoch=self.committed_epoch,
            committed_version=self.committed_version,
            departure_count=self.departure_count,
            departures_checksum=self.departures_checksum,
            identity=self.identity,
            reachable_peers=frozenset(self.reachable_peers),
        )


class PeerListener(Protocol):
    """Who is told of what happens on the connections to other nodes."""

    def on_peer_connected(self, address: str) -> None:
        """Handle that a connection to a node is up."""

    def on_heartbeat_answer(
        self, address: str, status: NodeStatus, asked_at: float, granted_epoch: int
    ) -> None:
        """Handle an answer to the heartbeat of `asked_at` (ms); the epoch is 0 where no lease is granted."""


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
        self._port = settings.talk_port
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
                (address, self._port),
                self._clock,
                self._nursery,
                self._random,
                partial(self._on_connected, address),
                self.on_answer,
            )
            self._clients[address] = client
            self._nursery.start_soon(client.run)

    def on_incoming_connection(self, address: str) -> None:
        """Connect to a node at once that has just connected to this one."""
        self.connect([address])
        if address in self._clients:
            self._clients[address].hurry()

    def send(self, address: str, *message: object) -> bool:
        """Send a message to a node; False where there is no connection."""
        client = self._clients.get(address)
        return client is not None and client.send(*message)

    def broadcast(self, *message: object) -> None:
        """Send a message to all nodes that are connected."""
        for client in self._clients.values():
            if client.live:
                client.send(*message)

    def send_heartbeats(self) -> None:
        """Connect to the seeds, and send a heartbeat to each node."""
        now = self._clock.now()
        self.connect(self._seeds.ips(now, bool(self.reachable())))
        for client in self._clients.values():
            client.send("tick", now)

    def is_reachable(self, address: str) -> bool:
        """Tell whether a node has been received from recently; this node always has."""
        if address == self._ip:
            return True
        client = self._clients.get(address)
        connection = client.connection if client is not None else None
        if connection is None or not connection.live:
            return False
        return self._clock.now() - connection.heard_at < REACHABLE_MS

    def reachable(self) -> list[str]:
        """Return the addresses of the other nodes that are reachable."""
        return [address for address in self._clients if self.is_reachable(address)]

    def observations(self) -> dict[str, PeerObservation]:
        """Return what is known of each node at this moment."""
        return {
            address: status.observation(self.is_reachable(address))
            for address, status in self.statuses.items()
        }

    def answered_since(self, address: str, since: float) -> bool:
        """Tell whether a node has answered a heartbeat that was sent after `since` (ms)."""
        return self.asked_at.get(address, since) > since

    def _on_connected(self, address: str, connection: PeerConnection) -> None:
        connection.send("hello", "core", self._ip, {})
        connection.send("tick", self._clock.now())
        self._listener.on_peer_connected(address)

    def on_answer(self, connection: PeerConnection, message: Message) -> None:
        """Handle an answer on a connection that this node opened."""
        if message[0] == "tock":
            self._on_heartbeat_answer(connection, message)
        elif message[0] == "cores":
            self.connect([parse_ip(address) for address in message[1]])

    def _on_heartbeat_answer(self, connection: PeerConnection, message: Message) -> None:
        address = str(message[1])
        status = NodeStatus.unpack(message[2])
        asked_at = float(message[3])
        self.statuses[address] = status
        self.asked_at[address] = asked_at
        self._listener.on_heartbeat_answer(address, status, asked_at, int(message[4]))
        reaches_others = set(status.reachable_peers) - {self._ip} != set(self._clients) - {address}
        if reaches_others and self._random.random() < ASK_NODES_PROBABILITY:
            connection.send("cores")
