"""Views of the replication group: who decides (voters), who stores replicas (the chain).

A member is an address with the id of its disk: a node that returns with an empty disk is another member, has
no vote and is no replica until a view includes it. The chain is a subset of the voters, the head first. Which
view should follow is decided in `next_view`.

No I/O and no clock here.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from wickspring.common.config_version import ConfigVersion, version_order
from wickspring.controlplane.replication.packing import PackedFields, convert_packed
from wickspring.controlplane.replication.replica import MAX_DEPARTURES, Rank, Replica

MIN_VOTERS = 3  # one may be lost for good while another is unreachable


class Member(NamedTuple):
    """A node as views name it."""

    address: str
    disk_id: str


class _PackedView(msgspec.Struct, array_like=True):
    """The fields of a packed view; those of a later version may follow them."""

    epoch: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]


@dataclass(slots=True, frozen=True)
class View:
    """Epoch, voters, and the chain, its head first. Epoch 0 is no view at all."""

    epoch: int = 0
    voters: tuple[Member, ...] = ()
    chain: tuple[Member, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> str:
        """Return the head's address, or an empty string."""
        return self.chain[0].address if self.chain else ""

    def is_majority(self, members: Collection[Member]) -> bool:
        """Return whether these are a majority of the voters."""
        return len(set(members) & set(self.voters)) >= self.majority

    def predecessor(self, member: Member) -> Member | None:
        """Return the member before one of the chain; None for the head."""
        index = self.chain.index(member)
        return self.chain[index - 1] if index else None

    def successor(self, member: Member) -> Member | None:
        """Return the member after one of the chain; None for the tail, and outside of the chain."""
        if member not in self.chain:
            return None
        index = self.chain.index(member) + 1
        return self.chain[index] if index < len(self.chain) else None

    def pack(self) -> PackedFields:
        """Return it for a message or a file."""
        return [self.epoch, [list(member) for member in self.voters], [list(member) for member in self.chain]]

    @staticmethod
    def unpack(packed: object) -> View:
        """Decode what `pack` has returned; raises ValueError for anything else."""
        fields = convert_packed(packed, _PackedView)
        return View(fields.epoch, fields.voters, fields.chain)


@dataclass(slots=True, frozen=True)
class FaultTolerance:
    """What may be lost at once: machines, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def voters(self) -> int:
        """Return how many voters tolerate the loss of that many machines."""
        return max(MIN_VOTERS, 2 * max(self.machines, self.zones, self.regions) + 1)

    @property
    def replicas(self) -> int:
        """Return how many replicas leave one after the loss of that many machines."""
        return self.machines + 1


@dataclass(slots=True, frozen=True)
class PeerObservation:
    """What is known of another node at this moment."""

    reachable: bool
    disk_id: str = ""
    unhealthy: bool = False  # its disk is slow, or it is about to stop
    zone: str = ""
    epoch: int = 0  # of the view that it has installed
    committed_epoch: int = 0  # rank of what it knows to be committed: epoch,
    committed_version: ConfigVersion = None  # and version
    departure_count: int = 0
    departures_checksum: int = 0
    identity: bytes = b""  # of the configuration that it stores, committed or not
    reachable_peers: frozenset[str] = frozenset()  # addresses; empty where it has not reported them

    @property
    def committed_rank(self) -> Rank:
        """Return the rank of the configuration that it knows to be committed."""
        return self.committed_epoch, version_order(self.committed_version)

    def is_missing(self, committed: Replica) -> bool:
        """Return whether a part of the state `committed` is not known to the node as committed."""
        count = len(committed.departures)
        if self.committed_rank < committed.config.rank or self.departure_count < count:
            return True
        if self.departure_count != count or count >= MAX_DEPARTURES:
            return False
        return self.departures_checksum != committed.departures_checksum


@dataclass(slots=True)
class ClusterObservation:
    """What one voter observes when it considers the next view."""

    me: Member
    zone: str
    unhealthy: bool  # this node itself
    peers: Mapping[str, PeerObservation]  # by address
    promised: frozenset[Member] = frozenset()  # who has just promised: present, whatever was received before

    def zone_of(self, member: Member) -> str:
        """Return a member's zone; its address stands for one that is not known."""
        if member == self.me:
            return self.zone or member.address
        peer = self.peers.get(member.address)
        return peer.zone if peer is not None and peer.zone else member.address

    def is_present(self, member: Member) -> bool:
        """Return whether a member answers, and has the disk that the view names."""
        if member == self.me or member in self.promised:
            return True
        peer = self.peers.get(member.address)
        return peer is not None and peer.reachable and peer.disk_id == member.disk_id

    def is_healthy(self, member: Member) -> bool:
        """Return whether a member answers and can store a replica."""
        if member == self.me:
            return not self.unhealthy
        peer = self.peers.get(member.address)
        return self.is_present(member) and not (peer is not None and peer.unhealthy)

    def are_connected(self, first: Member, second: Member) -> bool:
        """Return whether two members reach each other, as far as they have reported it."""
        for here, there in ((first, second), (second, first)):
            peer = self.peers.get(here.address)
            if here == self.me or peer is None or not peer.reachable_peers:
                continue
            if there.address not in peer.reachable_peers:
                return False
        return True

    def candidates(self, view: View) -> list[Member]:
        """Return the healthy nodes outside of the view that could become voters."""
        known = [
            Member(address, peer.disk_id) for address, peer in sorted(self.peers.items()) if peer.disk_id
        ]
        chain = [member for member in view.chain if self.is_healthy(member)]
        return [
            member
            for member in known
            if member not in view.voters
            and self.is_healthy(member)
            and all(self.are_connected(member, other) for other in chain)
        ]
