"""The messages of the replication chain: update passing, catch-up and view change.

Each class has the kind by which it goes over the wire (`KIND`) and encodes to a list that starts with it.
Kinds and layouts are fixed by the wire: nodes of the version before understand them. `decode` raises
ValueError or IndexError for a malformed message, and returns None for an unknown kind.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import ClassVar, TypeAlias

from wickspring.controlplane.replication.packing import PackedFields, PackedValue, convert_packed
from wickspring.controlplane.replication.paxos import AcceptedValue, Ballot
from wickspring.controlplane.replication.replica import Replica
from wickspring.controlplane.replication.view import View


@dataclass(slots=True, frozen=True)
class Pass:
    """Predecessor to successor: store this state, and pass it on."""

    KIND: ClassVar = "pass"
    view: View
    sequence: int
    state: Replica

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.view.pack(), self.sequence, self.state.pack()]

    @staticmethod
    def decode(fields: Sequence[object]) -> Pass:
        """Decode the fields that follow the kind."""
        view, sequence, state = convert_packed(fields[:3], tuple[object, int, object])
        return Pass(View.unpack(view), sequence, Replica.unpack(state))


@dataclass(slots=True, frozen=True)
class Passed:
    """Successor to predecessor: the state of this pass is stored here and at all successors."""

    KIND: ClassVar = "passed"
    epoch: int
    sequence: int
    identity: bytes  # of the configuration that the sender stores
    disk_id: str  # of the sender

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.epoch, self.sequence, self.identity, self.disk_id]

    @staticmethod
    def decode(fields: Sequence[object]) -> Passed:
        """Decode the fields that follow the kind."""
        return Passed(*convert_packed(fields[:4], tuple[int, int, bytes, str]))


@dataclass(slots=True, frozen=True)
class Fetch:
    """Request of a full state: the sender does not store the document that a state referred to."""

    KIND: ClassVar = "fetch"
    epoch: int
    identity: bytes  # of the configuration that the sender stores
    disk_id: str  # of the sender

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.epoch, self.identity, self.disk_id]

    @staticmethod
    def decode(fields: Sequence[object]) -> Fetch:
        """Decode the fields that follow the kind."""
        return Fetch(*convert_packed(fields[:3], tuple[int, bytes, str]))


@dataclass(slots=True, frozen=True)
class CommittedState:
    """A state that is committed, for a node that is missing it."""

    KIND: ClassVar = "copy"
    state: Replica

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.state.pack()]

    @staticmethod
    def decode(fields: Sequence[object]) -> CommittedState:
        """Decode the fields that follow the kind."""
        return CommittedState(Replica.unpack(fields[0]))


@dataclass(slots=True, frozen=True)
class InstallView:
    """A view that has been agreed, with the state that it starts with where the sender has that."""

    KIND: ClassVar = "view"
    view: View
    state: Replica | None

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.view.pack(), None if self.state is None else self.state.pack()]

    @staticmethod
    def decode(fields: Sequence[object]) -> InstallView:
        """Decode the fields that follow the kind."""
        state = None if fields[1] is None else Replica.unpack(fields[1])
        return InstallView(View.unpack(fields[0]), state)


@dataclass(slots=True, frozen=True)
class Prepare:
    """Proposer to voter (Paxos phase 1a)."""

    KIND: ClassVar = "prepare"
    slot: int
    ballot: Ballot
    identity: bytes  # of the configuration that the sender stores

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.slot, list(self.ballot), self.identity]

    @staticmethod
    def decode(fields: Sequence[object]) -> Prepare:
        """Decode the fields that follow the kind."""
        return Prepare(*convert_packed(fields[:3], tuple[int, Ballot, bytes]))


@dataclass(slots=True, frozen=True)
class Promise:
    """Voter to proposer (Paxos phase 1b), with the voter's own state."""

    KIND: ClassVar = "promise"
    slot: int
    ballot: Ballot
    accepted: AcceptedValue | None
    state: Replica
    disk_id: str  # of the sender

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        accepted: PackedValue = None if self.accepted is None else self.accepted.pack()
        return [self.KIND, self.slot, list(self.ballot), accepted, self.state.pack(), self.disk_id]

    @staticmethod
    def decode(fields: Sequence[object]) -> Promise:
        """Decode the fields that follow the kind."""
        slot, ballot, accepted, state, disk_id = convert_packed(
            fields, tuple[int, Ballot, object, object, str]
        )
        value = None if accepted is None else AcceptedValue.unpack(accepted)
        return Promise(slot, ballot, value, Replica.unpack(state), disk_id)


@dataclass(slots=True, frozen=True)
class Accept:
    """Proposer to voter (Paxos phase 2a)."""

    KIND: ClassVar = "accept"
    slot: int
    ballot: Ballot
    view: View
    state: Replica

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.slot, list(self.ballot), self.view.pack(), self.state.pack()]

    @staticmethod
    def decode(fields: Sequence[object]) -> Accept:
        """Decode the fields that follow the kind."""
        slot, ballot, view, state = convert_packed(fields[:4], tuple[int, Ballot, object, object])
        return Accept(slot, ballot, View.unpack(view), Replica.unpack(state))


@dataclass(slots=True, frozen=True)
class Accepted:
    """Voter to proposer (Paxos phase 2b)."""

    KIND: ClassVar = "accepted"
    slot: int
    ballot: Ballot
    disk_id: str  # of the sender

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.slot, list(self.ballot), self.disk_id]

    @staticmethod
    def decode(fields: Sequence[object]) -> Accepted:
        """Decode the fields that follow the kind."""
        return Accepted(*convert_packed(fields[:3], tuple[int, Ballot, str]))


@dataclass(slots=True, frozen=True)
class Outbid:
    """Voter to proposer: a higher ballot has been promised."""

    KIND: ClassVar = "outbid"
    slot: int
    ballot: Ballot  # the higher one

    def encode(self) -> PackedFields:
        """Return the list that goes over the wire."""
        return [self.KIND, self.slot, list(self.ballot)]

    @staticmethod
    def decode(fields: Sequence[object]) -> Outbid:
        """Decode the fields that follow the kind."""
        return Outbid(*convert_packed(fields[:2], tuple[int, Ballot]))


UpdatePassingMessage: TypeAlias = Pass | Passed
CatchUpMessage: TypeAlias = Fetch | CommittedState | InstallView
ViewChangeMessage: TypeAlias = Prepare | Promise | Accept | Accepted | Outbid
ReplicationMessage: TypeAlias = UpdatePassingMessage | CatchUpMessage | ViewChangeMessage

_DECODERS: dict[str, Callable[[Sequence[object]], ReplicationMessage]] = {
    Pass.KIND: Pass.decode,
    Passed.KIND: Passed.decode,
    Fetch.KIND: Fetch.decode,
    CommittedState.KIND: CommittedState.decode,
    InstallView.KIND: InstallView.decode,
    Prepare.KIND: Prepare.decode,
    Promise.KIND: Promise.decode,
    Accept.KIND: Accept.decode,
    Accepted.KIND: Accepted.decode,
    Outbid.KIND: Outbid.decode,
}


def decode(packed: object) -> ReplicationMessage | None:
    """Decode a message; None for an unknown kind, so that nodes of a later version may send more.

    Raises:
        ValueError or the like, one of `DECODE_ERRORS`: the message is malformed.
    """
    kind, *fields = convert_packed(packed, list[object])
    decoder = _DECODERS.get(convert_packed(kind, str))
    return None if decoder is None else decoder(fields)
