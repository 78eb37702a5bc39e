"""Chain replication of the control state, as a state machine: events and messages in, messages out.

The protocol is that of van Renesse & Schneider, "Chain Replication for Supporting High Throughput and
Availability" (2004). An update enters at the head, is saved, goes to the next member, and so on; the tail's
confirmation comes back up the chain, and only then is the update acknowledged. Invariants:

* An acknowledged update is on the disks of all members of the chain.
* One pass is in progress at a time; it carries all updates that arrived since the pass before.
* A member of a view's chain installs the view only together with the state that it starts with, and saves
  both at once. So each member has, from the start of the view, all that was acknowledged before.
* Within an epoch the head alone assigns texts to versions (`replica`).
* A node that has promised the next epoch passes nothing in this one (`view_change`).

No I/O and no clock here; times are milliseconds. The host saves `durable()` and `replica` whenever `dirty` is
set, before it carries out what `take_effects` returns.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import ClassVar, NamedTuple, Self, assert_never

from wickspring.common.config_version import is_newer
from wickspring.controlplane.replication.catch_up import CatchUp
from wickspring.controlplane.replication.messages import (
    Accept,
    Accepted,
    CommittedState,
    Fetch,
    InstallView,
    Outbid,
    Pass,
    Passed,
    Prepare,
    Promise,
    ReplicationMessage,
)
from wickspring.controlplane.replication.packing import PackedState
from wickspring.controlplane.replication.paxos import PaxosVoter
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.update_passing import UpdatePassing
from wickspring.controlplane.replication.view import (
    ClusterObservation,
    FaultTolerance,
    Member,
    PeerObservation,
    View,
)
from wickspring.controlplane.replication.view_change import ViewChange
from wickspring.core.invariants import check_invariant


class OutgoingMessage(NamedTuple):
    """A message to another node."""

    address: str
    message: ReplicationMessage


class TicketOutcome(NamedTuple):
    """The outcome of the update that was submitted with a ticket."""

    ticket: int
    outcome: CommitOutcome


@dataclass(slots=True)
class Effects:
    """What the host does once the state is saved."""

    messages: list[OutgoingMessage] = field(default_factory=list)
    outcomes: list[TicketOutcome] = field(default_factory=list)
    newly_committed: bool = False  # `committed` has changed


class ReplicationChain:
    """The replication state machine of one node.

    `stopping` and `disk_slow` are set by the host: it is about to end, or its disk does not answer in time.
    """

    update_passing_type: ClassVar[type[UpdatePassing]] = UpdatePassing
    view_change_type: ClassVar[type[ViewChange]] = ViewChange

    def __init__(
        self,
        me: Member,
        view: View,
        seed: int,
        replica: Replica | None = None,
        tolerance: FaultTolerance | None = None,
        zone: str = "",
    ) -> None:
        self.me = me
        self.ip = me.address
        self.zone = zone
        self.view = view
        self.tolerance = tolerance or FaultTolerance()
        self.replica = replica or Replica()
        if not self.replica.config.epoch and view.epoch:
            self.replica = self.replica.with_epoch(view.epoch)
        self.committed = Replica()  # what this node knows to be committed, since its start
        self.paxos = PaxosVoter()
        self.random = Random(seed)
        self.peers: Mapping[str, PeerObservation] = {}  # by address
        self.stopping = False
        self.disk_slow = False
        self.dirty = False
        self.effects = Effects()
        self.views_installed = 0  # since the start
        self.updates = self.update_passing_type(self)
        self.view_change = self.view_change_type(self, self.random.random())
        self.catch_up = CatchUp(self)

    def clone(self) -> Self:
        """Return an independent copy without effects, for a model checker."""
        other = copy.copy(self)
        other.effects = Effects()
        other.replica = self.replica.copy()
        other.committed = self.committed.copy()
        other.paxos = copy.copy(self.paxos)
        if self.paxos.proposal is not None:
            other.paxos.proposal = self.paxos.proposal.copy()
        other.updates = self.updates.clone_for(other)
        other.view_change = self.view_change.clone_for(other)
        other.catch_up = self.catch_up.clone_for(other)
        return other

    # Queries.

    @property
    def is_member(self) -> bool:
        """Return whether this node is in the chain of the view that it knows."""
        return self.me in self.view.chain

    @property
    def is_voter(self) -> bool:
        """Return whether this node has a vote in the view that it knows."""
        return self.me in self.view.voters

    @property
    def is_head(self) -> bool:
        """Return whether this node is the head of the view that it knows."""
        return self.view.chain[:1] == (self.me,)

    @property
    def head(self) -> str:
        """Return the head's address, or an empty string."""
        return self.view.head

    @property
    def frozen(self) -> bool:
        """Return whether a promise of the next view has stopped this node from passing updates."""
        return self.paxos.promised_slot > self.view.epoch

    @property
    def may_stop(self) -> bool:
        """Return whether this node has no vote, and another reachable node stores all that is committed."""
        if self.is_voter:
            return False
        if not self.view.epoch:
            return True
        disk_ids = dict(self.view.chain)
        return any(
            peer.reachable
            and disk_ids.get(address) == peer.disk_id
            and peer.committed_epoch >= self.view.epoch
            for address, peer in self.peers.items()
        )

    def observation(self, promised: frozenset[Member] = frozenset()) -> ClusterObservation:
        """Return what this node observes; `promised` are members that count as present in any case."""
        unhealthy = self.stopping or self.disk_slow
        return ClusterObservation(self.me, self.zone, unhealthy, self.peers, promised)

    # The host.

    def durable(self) -> PackedState:
        """Return the state that must be saved beside the replica."""
        return {"view": self.view.pack(), **self.paxos.durable()}

    def restore(self, durable: PackedState) -> None:
        """Restore what an earlier process of this node saved."""
        self.view = View.unpack(durable["view"])
        self.paxos.restore(durable)

    def take_effects(self) -> Effects:
        """Return the effects since the last call; they may be carried out once the state is saved."""
        effects = self.effects
        self.effects = Effects()
        return effects

    def send(self, address: str, message: ReplicationMessage) -> None:
        """Have a message sent once the state is saved."""
        self.effects.messages.append(OutgoingMessage(address, message))

    def report_outcome(self, ticket: int, outcome: CommitOutcome) -> None:
        """Have the outcome of a ticket reported once the state is saved."""
        self.effects.outcomes.append(TicketOutcome(ticket, outcome))

    def start(self, now: float) -> None:
        """Start the node; a head passes its replica, to learn whether its view is still in force."""
        self.view_change.start(now)
        if self.is_head and not self.frozen:
            self.updates.send_pass(now)

    def tick(self, now: float, peers: Mapping[str, PeerObservation]) -> None:
        """Observe the peers: catch up those that are behind, resend, and change the view if needed."""
        self.peers = peers
        self.catch_up.tick(now)
        if not self.is_voter:
            return
        self.updates.resend_if_due(now)
        self.view_change.tick(now)

    def receive(self, now: float, sender: str, message: ReplicationMessage) -> None:
        """Handle a message of another node, or of this one to itself."""
        match message:
            case Pass() | Passed():
                self.updates.receive(now, sender, message)
            case Fetch() | CommittedState() | InstallView():
                self.catch_up.receive(now, sender, message)
            case Prepare() | Promise() | Accept() | Accepted() | Outbid():
                self.view_change.receive(now, sender, message)
            case _:
                assert_never(message)

    def submit(self, now: float, ticket: int, update: Update) -> None:
        """Accept an update or a read at the head; at other nodes its outcome is NOT_YET at once."""
        self.updates.submit(now, ticket, update)

    def cancel(self, ticket: int) -> None:
        """Forget a ticket whose owner no longer waits."""
        self.updates.cancel(ticket)

    def on_peer_reachable(self, address: str) -> None:
        """Send the pass again to a successor that has just become reachable and may have missed it."""
        self.updates.on_peer_reachable(address)

    # The state.

    def record_committed(self, state: Replica) -> None:
        """Record that a state is committed."""
        committed = self.committed.config
        if state.config.rank > committed.rank:
            went_back = is_newer(committed.version, state.config.version)
            check_invariant(not went_back, "what is committed never goes back")
            same_version = state.config.version == committed.version
            same_text = state.config.digest == committed.digest
            check_invariant(not same_version or same_text, "a committed version keeps its text")
        if self.committed.merge(state):
            self.effects.newly_committed = True

    # Views.

    def install(self, now: float, view: View, state: Replica | None) -> None:
        """Install a view; a member of its chain needs the state that it starts with."""
        check_invariant(view.epoch > self.view.epoch, "views only go forward")
        if state is not None:
            self.replica.merge(state)
        has_state = self.replica.config.epoch == view.epoch
        check_invariant(self.me not in view.chain or has_state, "no view without its state")
        self.view = view
        self.dirty = True
        self.views_installed += 1
        self.view_change.on_installed()
        self.updates.on_installed(now)
