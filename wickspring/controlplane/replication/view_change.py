"""View change: when a voter proposes the next view, and how the voters agree on it (`paxos`).

A voter that has promised for the next epoch is frozen: it passes nothing in the present one, so the state it
sent with its promise stays the newest that its view has acknowledged through it. Voters take turns in
proposing, so that they rarely outbid each other.

A proposal that is not agreed in time is dropped by `ViewChange.tick`, and another is made. No I/O and no
clock here, so nothing is logged: the host logs what it learns from `chain.Effects` and from the installed
view. Times are milliseconds.
"""

from __future__ import annotations

import copy
import math
from typing import TYPE_CHECKING, Self

from wickspring.controlplane.replication.messages import (
    Accept,
    Accepted,
    InstallView,
    Outbid,
    Prepare,
    Promise,
    ReplicationMessage,
    ViewChangeMessage,
)
from wickspring.controlplane.replication.next_view import differs, next_view
from wickspring.controlplane.replication.paxos import Ballot, Proposal, Value
from wickspring.controlplane.replication.view import Member
from wickspring.core.invariants import check_invariant

if TYPE_CHECKING:
    from wickspring.controlplane.replication.chain import ReplicationChain

STABLE_MS = 60.0  # for which a reason to change the view must last once a node counts as unreachable
TURN_MS = 180.0  # between the voters that may propose a change
PROPOSAL_TIMEOUT_MS = 600.0  # until another proposal is made
FROZEN_TIMEOUT_MS = 700.0  # that a voter waits for a promised view before it proposes one itself
START_GRACE_MS = 1000.0  # after a voter's start, in which it counts no node as lost


class ViewChange:
    """One voter's part in agreeing on the next view."""

    def __init__(self, chain: ReplicationChain, turn: float) -> None:
        self._chain = chain
        self.turn = turn  # 0 to 1: random part of this voter's delay
        self._wanted_since = math.inf
        self._frozen_at = math.inf
        self._started_at = math.inf

    def clone_for(self, chain: ReplicationChain) -> Self:
        """Return a copy that belongs to another chain."""
        other = copy.copy(self)
        other._chain = chain
        return other

    def start(self, now: float) -> None:
        """Record the start of this node; an earlier process may have left a promise."""
        self._started_at = now
        if self._chain.frozen:
            self._frozen_at = now

    def on_installed(self) -> None:
        """Discard the state that belonged to the previous view."""
        self._chain.paxos.end_slot()
        self._wanted_since = math.inf
        self._frozen_at = math.inf

    def tick(self, now: float) -> None:
        """Propose the next view, if one has been wanted for long enough and it is this voter's turn."""
        paxos = self._chain.paxos
        if not self._is_wanted(now):
            self._wanted_since = math.inf
            if paxos.proposal is None:
                return
        elif self._wanted_since == math.inf:
            self._wanted_since = now
        if paxos.proposal is not None:
            if now - paxos.proposal.started_at < PROPOSAL_TIMEOUT_MS * (1.0 + self.turn):
                return
            paxos.proposal = None
        if now - self._wanted_since >= STABLE_MS + TURN_MS * (self._place_in_turn() + self.turn):
            self._propose(now)

    def receive(self, now: float, sender: str, message: ViewChangeMessage) -> None:
        """Handle a message of the Paxos instance that decides on the next view."""
        match message:
            case Prepare():
                self.on_prepare(now, sender, message)
            case Promise():
                self.on_promise(now, sender, message)
            case Accept():
                self.on_accept(now, sender, message)
            case Accepted():
                self.on_accepted(now, sender, message)
            case Outbid():
                self.on_outbid(now, message)

    def _is_wanted(self, now: float) -> bool:
        chain = self._chain
        if chain.frozen:
            return now - self._frozen_at >= FROZEN_TIMEOUT_MS
        if now - self._started_at < START_GRACE_MS:
            return False
        return differs(chain.view, next_view(chain.view, chain.observation(), chain.tolerance))

    def _place_in_turn(self) -> int:
        """Return how many healthy voters may propose before this one."""
        chain = self._chain
        observation = chain.observation()
        proposers = [
            voter for voter in chain.view.voters if voter == chain.me or observation.is_healthy(voter)
        ]
        return proposers.index(chain.me)

    def _send(self, now: float, address: str, message: ReplicationMessage) -> None:
        """Send a message, or handle it at once where it is to this node."""
        if address == self._chain.ip:
            self._chain.receive(now, address, message)
        else:
            self._chain.send(address, message)

    def _freeze(self, now: float) -> None:
        if not self._chain.frozen:
            self._frozen_at = now
        self._chain.dirty = True

    # Proposer.

    def _propose(self, now: float) -> None:
        chain = self._chain
        self.turn = chain.random.random()
        proposal = chain.paxos.propose(now, chain.view.epoch + 1, chain.ip)
        prepare = Prepare(proposal.slot, proposal.ballot, chain.replica.config.identity)
        for voter in chain.view.voters:
            self._send(now, voter.address, prepare)

    def on_promise(self, now: float, sender: str, message: Promise) -> None:
        """Record a promise; once they suffice, put a value to the vote."""
        chain = self._chain
        proposal = chain.paxos.own_proposal(message.slot, message.ballot)
        if proposal is None:
            return
        state = message.state.completed_from(chain.replica)
        if state is None:
            return  # this node's own replica has changed since it asked; it asks again
        member = Member(sender, message.disk_id)
        if chain.paxos.on_promise(proposal, chain.view, member, state, message.accepted):
            self._put_to_vote(now, proposal)

    def _put_to_vote(self, now: float, proposal: Proposal) -> None:
        chain = self._chain
        if proposal.best_accepted is not None:
            value = proposal.best_accepted.value
        else:
            observation = chain.observation(frozenset(proposal.promises))
            view = next_view(chain.view, observation, chain.tolerance)
            value = Value(view, proposal.state.with_epoch(proposal.slot))
        proposal.value = value
        check_invariant(
            value.view.epoch == proposal.slot == value.state.config.epoch, "a view has the epoch of its state"
        )
        check_invariant(bool(value.view.chain) and value.state.config.complete, "somebody has the state")
        for voter in chain.view.voters:
            known_identity = b"" if voter == chain.me else proposal.promises.get(voter, b"")
            state = value.state.abbreviated_for(known_identity)
            self._send(now, voter.address, Accept(proposal.slot, proposal.ballot, value.view, state))

    def on_accepted(self, now: float, sender: str, message: Accepted) -> None:
        """Record an accepting voter; once the view is agreed, send it to all it concerns and install it."""
        chain = self._chain
        proposal = chain.paxos.own_proposal(message.slot, message.ballot)
        if proposal is None or proposal.value is None:
            return
        if not chain.paxos.on_accepted(proposal, chain.view, Member(sender, message.disk_id)):
            return
        view, state = proposal.value
        for member in dict.fromkeys((*chain.view.voters, *view.voters)):
            if member.address == chain.ip:
                continue
            known_identity = proposal.promises.get(member, b"")
            chain.send(member.address, InstallView(view, state.abbreviated_for(known_identity)))
        chain.install(now, view, state)

    def on_outbid(self, now: float, message: Outbid) -> None:
        """Wait for the higher ballot; the next ballot of this node will be above it."""
        paxos = self._chain.paxos
        proposal = paxos.proposal
        if proposal is None or message.slot != proposal.slot or message.ballot <= proposal.ballot:
            return
        if paxos.promised_slot == message.slot and message.ballot > paxos.promised_ballot:
            paxos.promised_ballot = message.ballot
            self._chain.dirty = True
        proposal.started_at = now

    # Acceptor.

    def on_prepare(self, now: float, sender: str, message: Prepare) -> None:
        """Promise a ballot for the next epoch, and freeze this one."""
        chain = self._chain
        if message.slot <= chain.view.epoch:
            chain.catch_up.send_view(sender, message.identity)
            return
        if message.slot != chain.view.epoch + 1 or not chain.is_voter:
            return
        if self._refuse_outbid(now, sender, message.slot, message.ballot):
            return
        self._freeze(now)
        accepted = chain.paxos.promise(message.slot, message.ballot)
        state = chain.replica.abbreviated_for(b"" if sender == chain.ip else message.identity)
        promise = Promise(message.slot, message.ballot, accepted, state, chain.me.disk_id)
        self._send(now, sender, promise)

    def on_accept(self, now: float, sender: str, message: Accept) -> None:
        """Accept a value, unless a higher ballot has been promised."""
        chain = self._chain
        if message.slot != chain.view.epoch + 1 or not chain.is_voter:
            return
        if self._refuse_outbid(now, sender, message.slot, message.ballot):
            return
        state = message.state.completed_from(chain.replica)
        if state is None:
            return
        self._freeze(now)
        chain.paxos.accept(message.slot, message.ballot, Value(message.view, state))
        self._send(now, sender, Accepted(message.slot, message.ballot, chain.me.disk_id))

    def _refuse_outbid(self, now: float, sender: str, slot: int, ballot: Ballot) -> bool:
        """Tell a proposer where a higher ballot has been promised."""
        higher = self._chain.paxos.higher_promise(slot, ballot)
        if higher is None:
            return False
        self._send(now, sender, Outbid(slot, higher))
        return True
