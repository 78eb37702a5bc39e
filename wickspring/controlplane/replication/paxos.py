"""Single-decree Paxos for each epoch: how voters agree on the view that follows theirs.

The algorithm is that of Lamport, "Paxos Made Simple" (2001), with the reconfiguration of "Vertical Paxos and
Primary-Backup Replication" (Lamport, Malkhi, Zhou, 2009): the voters of one view choose the next, and the
slot of the instance is the epoch. A ballot is prepared, then accepted. Invariants:

* What is agreed is a view **and the state it starts with**: the replica of highest rank among the promises.
* Promises suffice when they are a majority of the voters with at least one member of the chain among them: a
  member of the chain has all that its view has acknowledged, and passes nothing more once it has promised.
* A value that a voter has accepted before is proposed again in full, view and state.

No I/O and no clock here; the host saves what `durable` returns before any message of it is sent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from wickspring.controlplane.replication.packing import PackedFields, PackedState, PackedValue, convert_packed
from wickspring.controlplane.replication.replica import Replica
from wickspring.controlplane.replication.view import Member, View
from wickspring.core.invariants import check_invariant


class Ballot(NamedTuple):
    """A proposal's number, made unique by its proposer's address; ballots are ordered."""

    number: int
    proposer: str

    @staticmethod
    def unpack(packed: object) -> Ballot:
        """Decode a packed ballot; raises ValueError for anything else."""
        return convert_packed(packed, Ballot)


NO_BALLOT = Ballot(0, "")


class Value(NamedTuple):
    """What a ballot is about: a view, and the state it starts with."""

    view: View
    state: Replica


class _PackedAcceptedValue(msgspec.Struct, array_like=True):
    """The fields of a packed `AcceptedValue`."""

    ballot: Ballot
    view: object
    state: object


class AcceptedValue(NamedTuple):
    """A value and the ballot in which it was accepted."""

    ballot: Ballot
    value: Value

    def pack(self) -> PackedFields:
        """Return it for a message or a file."""
        return [list(self.ballot), self.value.view.pack(), self.value.state.pack()]

    @staticmethod
    def unpack(packed: object) -> AcceptedValue:
        """Decode what `pack` has returned; raises ValueError for anything else."""
        fields = convert_packed(packed, _PackedAcceptedValue)
        return AcceptedValue(fields.ballot, Value(View.unpack(fields.view), Replica.unpack(fields.state)))


@dataclass(slots=True)
class Proposal:
    """The ballot that this node has under way as a proposer."""

    slot: int
    ballot: Ballot
    started_at: float  # ms
    promises: dict[Member, bytes] = field(default_factory=dict)  # and the config identity each stores
    accepts: set[Member] = field(default_factory=set)
    state: Replica = field(default_factory=Replica)  # of highest rank among the promises
    best_accepted: AcceptedValue | None = None  # among the promises, that of the highest ballot
    value: Value | None = None  # once it is put to the vote

    def copy(self) -> Proposal:
        """Return a copy that does not change with this one."""
        return Proposal(
            self.slot,
            self.ballot,
            self.started_at,
            dict(self.promises),
            set(self.accepts),
            self.state.copy(),
            self.best_accepted,
            self.value,
        )


class PaxosVoter:
    """One voter: as acceptor what it has promised and accepted, as proposer its proposal."""

    def __init__(self) -> None:
        self.promised_slot = 0
        self.promised_ballot = NO_BALLOT
        self.accepted_slot = 0
        self.accepted: AcceptedValue | None = None
        self.proposal: Proposal | None = None

    def durable(self) -> PackedState:
        """Return what must outlive this process."""
        accepted: PackedValue = None
        if self.accepted is not None:
            accepted = [self.accepted_slot, *self.accepted.pack()]
        return {"promised": [self.promised_slot, list(self.promised_ballot)], "accepted": accepted}

    def restore(self, durable: PackedState) -> None:
        """Restore what an earlier process saved; raises ValueError for anything else."""
        self.promised_slot, self.promised_ballot = convert_packed(durable["promised"], tuple[int, Ballot])
        if durable["accepted"] is not None:
            slot, *accepted = convert_packed(durable["accepted"], list[object])
            self.accepted_slot = convert_packed(slot, int)
            self.accepted = AcceptedValue.unpack(accepted)

    def end_slot(self) -> None:
        """Forget the accepted value and the proposal of an epoch that has been agreed."""
        self.accepted = None
        self.proposal = None

    # Acceptor.

    def higher_promise(self, slot: int, ballot: Ballot) -> Ballot | None:
        """Return the higher ballot that has been promised for this slot, if there is one."""
        if self.promised_slot == slot and self.promised_ballot > ballot:
            return self.promised_ballot
        return None

    def promise(self, slot: int, ballot: Ballot) -> AcceptedValue | None:
        """Promise to accept nothing below a ballot; return what has been accepted for this slot."""
        self._raise_promise(slot, ballot, "promises only go forward")
        return self.accepted if self.accepted_slot == slot else None

    def accept(self, slot: int, ballot: Ballot, value: Value) -> None:
        """Accept a value."""
        check_invariant(value.state.config.complete, "a view can start with the state that is accepted")
        self._raise_promise(slot, ballot, "nothing is accepted below a promise")
        self.accepted_slot = slot
        self.accepted = AcceptedValue(ballot, value)

    def _raise_promise(self, slot: int, ballot: Ballot, invariant: str) -> None:
        check_invariant((self.promised_slot, self.promised_ballot) <= (slot, ballot), invariant)
        self.promised_slot = slot
        self.promised_ballot = ballot

    # Proposer.

    def propose(self, now: float, slot: int, ip: str) -> Proposal:
        """Start a ballot above all that are known."""
        number = self.promised_ballot.number + 1 if self.promised_slot == slot else 1
        self.proposal = Proposal(slot, Ballot(number, ip), now)
        return self.proposal

    def own_proposal(self, slot: int, ballot: Ballot) -> Proposal | None:
        """Return the proposal under way, if it is this one."""
        proposal = self.proposal
        if proposal is None or (proposal.slot, proposal.ballot) != (slot, ballot):
            return None
        return proposal

    @staticmethod
    def on_promise(
        proposal: Proposal, view: View, member: Member, state: Replica, accepted: AcceptedValue | None
    ) -> bool:
        """Record a promise; True where they suffice now."""
        if proposal.value is not None or member not in view.voters:
            return False
        proposal.promises[member] = state.config.identity
        proposal.state.merge(state)
        best = proposal.best_accepted
        if accepted is not None and (best is None or accepted.ballot > best.ballot):
            proposal.best_accepted = accepted
        return view.is_majority(proposal.promises) and any(
            member in view.chain for member in proposal.promises
        )

    @staticmethod
    def on_accepted(proposal: Proposal, view: View, member: Member) -> bool:
        """Record that a voter has accepted; True where the value is agreed now."""
        if proposal.value is None or member not in view.voters:
            return False
        proposal.accepts.add(member)
        return view.is_majority(proposal.accepts)
