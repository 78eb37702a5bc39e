"""The connections to the nodes of the control plane.

A data plane connects to the seeds of its settings and to every node that a node names. `owners` says which of
them keeps a tenant's count or a service's load.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple
from weakref import WeakKeyDictionary

import trio

from wickspring.common.config_status import QuorumContact
from wickspring.common.config_version import ConfigVersion
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import CONTROL_PLANE_MESSAGES, ControlPlaneMessage
from wickspring.common.reconnecting_client import ConnectionHandler, ReconnectingClient
from wickspring.common.seeds import SeedList
from wickspring.common.settings import NodeSettings
from wickspring.dataplane.control_client.owners import Owners
from wickspring.net.clock import Clock

FORGET_NODE_MS = 60_000.0  # unreachable, after which a node that is neither seed nor member is forgotten


class ConfigIdentity(NamedTuple):
    """What tells two configurations apart."""

    version: ConfigVersion
    digest: bytes  # of the document, uncompressed


@dataclass(slots=True)
class NodeStatus:
    """What a node of the control plane has reported on one connection, and been sent."""

    contact: QuorumContact = QuorumContact.NONE
    endpoints_digest: int | None = None
    committed_digest: bytes = b""  # of the last committed configuration
    sent_config: ConfigIdentity | None = None  # this data plane's configuration, as last sent


# What has been reported on each connection, for as long as the connection is in use.
_statuses: WeakKeyDictionary[PeerConnection, NodeStatus] = WeakKeyDictionary()


def status_of(connection: PeerConnection) -> NodeStatus:
    """Return what the node at the other end has reported so far."""
    status = _statuses.get(connection)
    if status is None:
        status = NodeStatus()
        _statuses[connection] = status
    return status


class ControlPlaneConnections:
    """All connections of one data plane to the control plane."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        handler: ConnectionHandler[ControlPlaneMessage],
    ) -> None:
        self.clients: dict[str, ReconnectingClient] = {}  # by IP
        self.owners = Owners()
        self._settings = settings
        self._clock = clock
        self._nursery = nursery
        self._random = random
        self._handler = handler
        self._seeds = SeedList(settings)
        self.connect(settings.seed_ips())

    # Connecting and forgetting.

    def connect(self, ips: list[str]) -> None:
        """Keep a connection to each of these nodes."""
        for ip in ips:
            if ip not in self.clients:
                self.clients[ip] = self._start_client(ip)

    def _start_client(self, ip: str) -> ReconnectingClient:
        client = ReconnectingClient(
            (ip, self._settings.peer_port),
            self._handler,
            CONTROL_PLANE_MESSAGES,
            self._clock,
            self._nursery,
            self._random,
        )
        self._nursery.start_soon(client.run)
        return client

    def connect_to_seeds(self) -> None:
        """Keep a connection to each seed, as the settings file names them now."""
        self.connect(self._seeds.ips(self._clock.now(), bool(self.live)))

    def forget_unreachable(self, now: float) -> None:
        """Close connections to nodes that are neither seeds nor members and have long been unreachable."""
        keep = {*self._settings.seed_ips(), *self.owners.members}
        for ip, client in list(self.clients.items()):
            if client.live:
                client.last_attempt_at_ms = now
            elif ip not in keep and now - client.last_attempt_at_ms > FORGET_NODE_MS:
                client.close()
                del self.clients[ip]

    # Reachability.

    @property
    def live(self) -> list[str]:
        """The IPs of the reachable nodes."""
        return [ip for ip, client in self.clients.items() if client.live]

    def live_connections(self) -> Iterator[PeerConnection]:
        """Return the connections to the reachable nodes."""
        for client in self.clients.values():
            if client.live and client.connection is not None:
                yield client.connection

    def best_contact(self) -> QuorumContact:
        """Return the best contact with a quorum that any reachable node has reported."""
        contacts = (status_of(connection).contact for connection in self.live_connections())
        return max(contacts, default=QuorumContact.NONE)

    # Owners of counts.

    def update_view(self, epoch: int, members: list[str]) -> bool:
        """Adopt the members of a view; return False where its epoch is not higher than the present one."""
        if not self.owners.update_view(epoch, members):
            return False
        self.connect(members)  # the node that reports them may not reach all of them itself yet
        return True

    def owner_client(self, key: str) -> ReconnectingClient | None:
        """Return the client of a count's owner; None where it is not known."""
        return self.clients.get(self.owners.owner(key))

    def live_owner_client(self, key: str) -> ReconnectingClient | None:
        """Return the client of a count's owner; None where it is not reachable."""
        client = self.owner_client(key)
        return client if client is not None and client.live else None
