"""How voters agree on the view that follows theirs: a single decree an epoch, with the state it begins with.

A ballot is prepared, then accepted. What is agreed is a view **and the state it begins with**: the copy of
highest rank among the promises. Promises are enough when they are a majority of the voters with at least one
of the chain among them: a member of the chain has all that its view has acknowledged, and once it has
promised it passes nothing more. A value that a voter has accepted before goes on whole, view and state.

No I/O and no clock here; the host saves what `durable` returns before anything of it is told.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from wickspring.controlplane.replication.replica import Replica
from wickspring.controlplane.replication.view import Member, View
from wickspring.core.invariants import holds

Ballot = tuple[int, str]
Value = tuple[View, Replica]


def parse_ballot(told: Iterable[Any]) -> Ballot:
    """Read a ballot from a message."""
    number, ip = told
    return int(number), str(ip)


def pack_value(ballot: Ballot, value: Value) -> list[Any]:
    """Return an accepted value for a message or a file."""
    return [list(ballot), value[0].pack(), value[1].pack()]


def unpack_value(told: Any) -> tuple[Ballot, Value]:
    """Read an accepted value."""
    return parse_ballot(told[0]), (View.unpack(told[1]), Replica.unpack(told[2]))


@dataclass(slots=True)
class Proposal:
    """What this voter is having agreed."""

    slot: int
    ballot: Ballot
    begun: float
    promises: dict[Member, bytes] = field(default_factory=dict)  # and the identity of what each holds
    accepts: set[Member] = field(default_factory=set)
    state: Replica = field(default_factory=Replica)  # of highest rank among the promises
    best: tuple[Ballot, Value] | None = None  # the accepted one of the highest ballot
    value: Value | None = None  # once it is put to the vote


class PaxosVoter:
    """One voter's part."""

    def __init__(self) -> None:
        self.promised: tuple[int, Ballot] = (0, (0, ""))
        self.accepted: tuple[int, Ballot, Value] | None = None
        self.proposal: Proposal | None = None

    def durable(self) -> dict[str, Any]:
        """Return what must outlive this process."""
        slot, ballot = self.promised
        accepted = None
        if self.accepted is not None:
            accepted = [self.accepted[0], *pack_value(self.accepted[1], self.accepted[2])]
        return {"promised": [slot, list(ballot)], "accepted": accepted}

    def restore(self, told: Mapping[str, Any]) -> None:
        """Take up what an earlier life left."""
        slot, ballot = told["promised"]
        self.promised = int(slot), parse_ballot(ballot)
        if told["accepted"] is not None:
            slot, *value = told["accepted"]
            self.accepted = (int(slot), *unpack_value(value))

    def over(self) -> None:
        """Forget all of an epoch that has been agreed."""
        self.accepted = self.proposal = None

    # As one who is asked.

    def outbid(self, slot: int, ballot: Ballot) -> Ballot | None:
        """Return the higher ballot that has been promised, if there is one."""
        return self.promised[1] if self.promised[0] == slot and self.promised[1] > ballot else None

    def promise(self, slot: int, ballot: Ballot) -> tuple[Ballot, Value] | None:
        """Promise; return what has been accepted for this slot."""
        holds(self.promised <= (slot, ballot), "promises only go forward")
        self.promised = slot, ballot
        if self.accepted is None or self.accepted[0] != slot:
            return None
        return self.accepted[1], self.accepted[2]

    def accept(self, slot: int, ballot: Ballot, value: Value) -> None:
        """Accept a value."""
        holds(self.promised <= (slot, ballot), "nothing is accepted below a promise")
        holds(value[1].config.whole, "what is accepted can be begun with")
        self.promised, self.accepted = (slot, ballot), (slot, ballot, value)

    # As the one who proposes.

    def propose(self, now: float, slot: int, ip: str) -> Proposal:
        """Begin a ballot above all that is known."""
        number = self.promised[1][0] + 1 if self.promised[0] == slot else 1
        self.proposal = Proposal(slot, (number, ip), now)
        return self.proposal

    def mine(self, slot: int, ballot: Ballot) -> Proposal | None:
        """Return the proposal under way, if it is this one."""
        one = self.proposal
        return one if one is not None and (one.slot, one.ballot) == (slot, ballot) else None

    @staticmethod
    def promised_by(
        one: Proposal, view: View, member: Member, told: Replica, accepted: tuple[Ballot, Value] | None
    ) -> bool:
        """Take a promise; True where they are enough now."""
        if one.value is not None or member not in view.voters:
            return False
        one.promises[member] = told.config.identity
        one.state.join(told)
        if accepted is not None and (one.best is None or accepted[0] > one.best[0]):
            one.best = accepted
        return view.decides(one.promises) and any(member in view.chain for member in one.promises)

    @staticmethod
    def accepted_by(one: Proposal, view: View, member: Member) -> bool:
        """Take a voter's word that it has accepted; True where it is agreed now."""
        if one.value is None or member not in view.voters:
            return False
        one.accepts.add(member)
        return view.decides(one.accepts)
