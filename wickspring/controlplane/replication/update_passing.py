"""Passing updates down the chain, and confirmations back up (van Renesse & Schneider, 2004).

One pass is in progress at a time; it carries all updates since the pass before, as the head's full state. A
member stores a state before it passes it on, and confirms it once its successor has.

No I/O and no clock here; times are milliseconds.
"""

from __future__ import annotations

import copy
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Self

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.messages import Pass, Passed, UpdatePassingMessage
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import Member
from wickspring.core.invariants import check_invariant

if TYPE_CHECKING:
    from wickspring.controlplane.replication.chain import ReplicationChain

RESEND_MS = 250.0  # until a pass that is not confirmed is sent again
MAX_SEQUENCE = 2**40  # passes are numbered from a random number, drawn at each start and view
NO_PASS = -1  # of an update that no pass has carried yet


@dataclass(slots=True)
class PendingUpdate:
    """An update whose sender waits."""

    update: Update
    digest: bytes
    sequence: int = NO_PASS  # of the pass that carries it


class UpdatePassing:
    """One node's part in passing updates."""

    def __init__(self, chain: ReplicationChain) -> None:
        self._chain = chain
        self.sequence = chain.random.randrange(MAX_SEQUENCE)
        self.passing: Replica | None = None  # what the pass under way carries, however often it is sent
        self.passed_at = -math.inf  # ms
        self.pending: dict[int, PendingUpdate] = {}  # by ticket
        self.stored_identities: dict[Member, bytes] = {}  # of the configurations that others have reported

    def clone_for(self, chain: ReplicationChain) -> Self:
        """Return a copy that belongs to another chain."""
        other = copy.copy(self)
        other._chain = chain
        other.pending = {ticket: replace(pending) for ticket, pending in self.pending.items()}
        other.stored_identities = dict(self.stored_identities)
        return other

    def on_installed(self, now: float) -> None:
        """Reset the passes in a new view; its head passes the pending updates again."""
        self.stored_identities.clear()
        self.sequence = self._chain.random.randrange(MAX_SEQUENCE)
        self.passing = None
        if self._chain.is_head:
            self._carry_pending_again(now)
        else:
            self._give_up_pending()

    def submit(self, now: float, ticket: int, update: Update) -> None:
        """Accept an update or a read at the head; at other nodes its outcome is NOT_YET at once."""
        chain = self._chain
        if not chain.is_head:
            chain.report_outcome(ticket, CommitOutcome.NOT_YET)
            return
        self.pending[ticket] = PendingUpdate(update, digest_of(update.document))
        self._start_pass(now)

    def cancel(self, ticket: int) -> None:
        """Forget a ticket whose owner no longer waits."""
        self.pending.pop(ticket, None)

    def on_peer_reachable(self, address: str) -> None:
        """Send the pass again to a successor that has just become reachable and may have missed it."""
        chain = self._chain
        successor = chain.view.successor(chain.me)
        if successor is None or successor.address != address:
            return
        if self.passing is not None and not chain.frozen:
            self._pass_down(self.sequence, self.passing)

    def resend_if_due(self, now: float) -> None:
        """Send a pass of this head again that is not confirmed in time."""
        chain = self._chain
        unconfirmed = chain.is_head and not chain.frozen and self.passing is not None
        if unconfirmed and now - self.passed_at >= RESEND_MS:
            self.send_pass(now)

    def _start_pass(self, now: float) -> None:
        """Start a pass with all updates that no pass has carried yet."""
        chain = self._chain
        fresh = [pending for pending in self.pending.values() if pending.sequence == NO_PASS]
        if chain.frozen or self.passing is not None or not fresh:
            return
        check_invariant(chain.replica.config.epoch == chain.view.epoch, "a head holds the state of its view")
        self.sequence += 1
        for pending in fresh:
            chain.dirty |= chain.replica.apply(pending.update, chain.view.epoch)
            pending.sequence = self.sequence
        self.send_pass(now)

    def send_pass(self, now: float) -> None:
        """Send the pass under way, or else one of the present state; at the head."""
        if self.passing is None:
            self.passing = self._chain.replica.copy()
        self.passed_at = now
        self._pass_down(self.sequence, self.passing)

    def _pass_down(self, sequence: int, state: Replica) -> None:
        """Pass a state to the successor; the tail confirms it instead."""
        chain = self._chain
        successor = chain.view.successor(chain.me)
        if successor is None:
            self._confirm(sequence, state)
            return
        self.sequence = sequence
        self.passing = state
        abbreviated = state.abbreviated_for(self.stored_identities.get(successor, b""))
        chain.send(successor.address, Pass(chain.view, sequence, abbreviated))

    def _confirm(self, sequence: int, state: Replica) -> None:
        """Confirm that this node and all its successors store a state.

        The confirmation goes to the predecessor; at the head, to the senders of the updates.
        """
        chain = self._chain
        chain.record_committed(state)
        self.passing = None
        predecessor = chain.view.predecessor(chain.me)
        if predecessor is not None:
            identity = chain.replica.config.identity
            confirmation = Passed(chain.view.epoch, sequence, identity, chain.me.disk_id)
            chain.send(predecessor.address, confirmation)
            return
        carried = [ticket for ticket, pending in self.pending.items() if pending.sequence == sequence]
        for ticket in carried:
            pending = self.pending.pop(ticket)
            outcome = chain.committed.config.outcome_of(pending.update.version, pending.digest)
            chain.report_outcome(ticket, outcome)

    def receive(self, now: float, sender: str, message: UpdatePassingMessage) -> None:
        """Handle a pass from the predecessor, or a confirmation from the successor."""
        match message:
            case Pass():
                self.on_pass(now, sender, message)
            case Passed():
                self.on_passed(now, sender, message)

    def on_pass(self, now: float, sender: str, message: Pass) -> None:
        """Store a state and pass it on, in its view where that is newer."""
        chain = self._chain
        if message.view.epoch < chain.view.epoch:
            chain.catch_up.send_view(sender)
            return
        if chain.me not in message.view.chain:
            return
        state = message.state.completed_from(chain.replica)
        if state is None:
            chain.catch_up.fetch(sender, message.view.epoch)
            return
        if message.view.epoch > chain.view.epoch:
            chain.install(now, message.view, state)
        if chain.frozen:
            return
        chain.dirty |= chain.replica.merge(state)
        self._pass_down(message.sequence, state)

    def on_passed(self, now: float, sender: str, message: Passed) -> None:
        """Confirm the pass under way to the predecessor; at the head, start the next."""
        chain = self._chain
        if message.epoch != chain.view.epoch or chain.frozen or not chain.is_member:
            return
        self.stored_identities[Member(sender, message.disk_id)] = message.identity
        if message.sequence != self.sequence or self.passing is None:
            return  # it confirms an earlier pass, not the one in progress
        if not self._is_stored(message, self.passing):
            return
        self._confirm(message.sequence, self.passing)
        if chain.is_head:
            self._start_pass(now)

    def _is_stored(self, message: Passed, state: Replica) -> bool:
        """Return whether the successor stores the configuration that it was passed.

        A node of an earlier version confirms r0 without storing it.
        """
        return message.identity == state.config.identity

    def _carry_pending_again(self, now: float) -> None:
        for pending in self.pending.values():
            pending.sequence = NO_PASS
        self.send_pass(now)
        self._start_pass(now)

    def _give_up_pending(self) -> None:
        for ticket in self.pending:
            self._chain.report_outcome(ticket, CommitOutcome.NOT_YET)
        self.pending.clear()
