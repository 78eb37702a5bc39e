"""One simulated control-plane node, and the updates that nodes have taken."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wickspring.common.config_version import ConfigVersion
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import Lease
from wickspring.controlplane.replication.packing import PackedState
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import Member, PeerObservation


@dataclass(slots=True, frozen=True)
class SavedState:
    """What a node's disk stores beside the replica."""

    disk_id: str
    durable: PackedState  # as `ReplicationChain.restore` takes it


@dataclass(slots=True)
class SimulatedNode:
    """One control-plane node: what its disk stores, and its process while it runs."""

    ip: str
    zone: str
    disk: SavedState | None = None
    replica: Replica = field(default_factory=Replica)
    chain: ReplicationChain | None = None  # None: its process does not run
    incarnation: int = 0  # grows whenever its process starts or ends
    disk_count: int = 0  # disks that it has had so far
    known_addresses: set[str] = field(default_factory=set)  # of other nodes
    observations: dict[str, tuple[float, PeerObservation]] = field(default_factory=dict)  # with times, ms
    has_received: bool = False  # a message of another node's chain, since its start
    committed: tuple[int, ConfigVersion, bytes] = (
        0,
        None,
        b"",
    )  # epoch, version, digest: considered committed last
    available_at: float = 0.0  # ms: since then, or from then on, it counts as available
    stopping: bool = False
    lease: Lease = field(default_factory=Lease)
    clock_rate: float = 1.0  # of its monotonic clock
    stopped_until: float = 0.0  # ms: it is suspended until then
    received: int = 0  # bytes of the chain's messages
    save_crash: float = 0.0  # probability that its process ends at its next save

    def clock(self, now: float) -> float:
        """Return what its monotonic clock shows at a time of the simulation (ms)."""
        return now * self.clock_rate

    @property
    def member(self) -> Member | None:
        """Return its address with the id of its disk, if it has one."""
        return None if self.disk is None else Member(self.ip, self.disk.disk_id)


@dataclass(slots=True)
class PendingUpdate:
    """An update that a node took, on its way to the head and back."""

    update: Update
    origin: str  # address of the node that took it
    acknowledged: ConfigVersion  # the highest version that was acknowledged when it was sent
    answer: Callable[[CommitOutcome], None]
