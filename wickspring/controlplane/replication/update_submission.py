"""Submitting updates: to this node's chain where it is the head, else forwarded to the head.

Each update gets a ticket. At the head the chain answers a ticket with an outcome; another node sends the
update to the head it knows and waits for the answer on the connection. A configuration counts as committed
only by the state that comes with the answer: a head of an earlier version takes r0 for no configuration, and
acknowledges it without storing anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import trio

from wickspring.common import logs
from wickspring.common.digest import digest_of
from wickspring.common.messages import Message, SubmitUpdate, UpdateOutcome
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update

UPDATE_TIMEOUT_MS = 850.0  # for an update to be committed; callers give up after a second


@dataclass(slots=True, frozen=True)
class UpdateResult:
    """The outcome of an update; of a committed read also what was committed at the head."""

    outcome: CommitOutcome
    replica: Replica | None = None

    def shows(self, update: Update) -> bool:
        """Return whether the state that came with it has the configuration of an update, or a newer one."""
        if update.version is None:
            return True
        if self.replica is None:
            return False
        outcome = self.replica.config.outcome_of(update.version, digest_of(update.document))
        return outcome is CommitOutcome.COMMITTED


NOT_COMMITTED = UpdateResult(CommitOutcome.NOT_YET)


class _Submitter(Protocol):
    """A caller whose update is at this node's chain."""

    def finish(self, outcome: CommitOutcome, committed: Replica) -> None:
        """Receive the outcome, and the state that is committed now."""


class _LocalSubmitter:
    """A caller in this process, which waits for its result."""

    def __init__(self, update: Update, read: bool) -> None:
        self.result = NOT_COMMITTED
        self.needs_state = read or update.version is not None
        self._update = update
        self._done = trio.Event()

    def finish(self, outcome: CommitOutcome, committed: Replica) -> None:
        """Return the outcome to the caller, with a copy of the state where that is needed."""
        has_state = self.needs_state and outcome is CommitOutcome.COMMITTED
        self.finish_with(UpdateResult(outcome, committed.copy() if has_state else None))

    def finish_with(self, result: UpdateResult) -> None:
        """Return a result to the caller, unless it claims what its state does not show."""
        if result.outcome is not CommitOutcome.COMMITTED or result.shows(self._update):
            self.result = result
        else:
            logs.log_event("acknowledgement_not_shown", version=self._update.version)
        self._done.set()

    async def wait(self) -> None:
        """Wait until there is a result."""
        await self._done.wait()


@dataclass(slots=True, frozen=True)
class _RemoteSubmitter:
    """Another node that has forwarded an update to this one."""

    host: SubmissionHost
    address: str
    ticket: int  # of that node
    reads: bool

    def finish(self, outcome: CommitOutcome, committed: Replica) -> None:
        """Send the outcome to the node, with the state where it reads."""
        has_state = self.reads and outcome is CommitOutcome.COMMITTED
        state = committed.pack() if has_state else None
        self.host.send(self.address, UpdateOutcome(self.ticket, int(outcome), state))


class SubmissionHost(Protocol):
    """What the submitter needs of its node."""

    chain: ReplicationChain

    def submit_to_chain(self, ticket: int, update: Update) -> None:
        """Hand an update to the chain, as an event of its loop."""

    def cancel_in_chain(self, ticket: int) -> None:
        """Have the chain forget a ticket, as an event of its loop."""

    def send(self, address: str, message: Message) -> bool:
        """Send a message to another node; False where there is no connection."""


class UpdateSubmitter:
    """The updates of this node's callers, and those that other nodes forwarded to it."""

    def __init__(self, host: SubmissionHost) -> None:
        self._host = host
        self._last_ticket = 0
        self._at_chain: dict[int, _Submitter] = {}  # by ticket: updates at this node's chain
        self._forwarded: dict[int, _LocalSubmitter] = {}  # by ticket: updates sent to another node, the head

    def _next_ticket(self) -> int:
        self._last_ticket += 1
        return self._last_ticket

    async def submit(self, update: Update, read: bool) -> UpdateResult:
        """Have an update committed by the head; NOT_YET where that takes longer than `UPDATE_TIMEOUT_MS`."""
        submitter = _LocalSubmitter(update, read)
        ticket = self._next_ticket()
        try:
            with trio.move_on_after(UPDATE_TIMEOUT_MS / 1000.0):
                if self._start(ticket, update, submitter):
                    await submitter.wait()
        finally:  # its caller may have been cancelled
            self._forget(ticket)
        return submitter.result

    def _start(self, ticket: int, update: Update, submitter: _LocalSubmitter) -> bool:
        """Hand an update to the head; False where that is not connected."""
        chain = self._host.chain
        if chain.head != chain.ip:
            self._forwarded[ticket] = submitter
            return self._host.send(chain.head, SubmitUpdate(ticket, update.pack(), submitter.needs_state))
        self._at_chain[ticket] = submitter
        self._host.submit_to_chain(ticket, update)
        return True

    def _forget(self, ticket: int) -> None:
        self._forwarded.pop(ticket, None)
        if self._at_chain.pop(ticket, None) is not None:
            self._host.cancel_in_chain(ticket)

    def on_submit(self, address: str, message: SubmitUpdate) -> None:
        """Submit an update that another node has forwarded; its outcome is sent to that node.

        Raises:
            ValueError: the update is malformed.
        """
        ticket = self._next_ticket()
        self._at_chain[ticket] = _RemoteSubmitter(self._host, address, message.ticket, message.with_state)
        self._host.submit_to_chain(ticket, Update.unpack(message.update))

    def on_update_outcome(self, message: UpdateOutcome) -> None:
        """Handle the head's answer to an update that this node forwarded.

        Raises:
            ValueError: the outcome is unknown, or the state is malformed.
        """
        submitter = self._forwarded.pop(message.ticket, None)
        if submitter is not None:
            replica = None if message.state is None else Replica.unpack(message.state)
            submitter.finish_with(UpdateResult(CommitOutcome(message.outcome), replica))

    def on_outcome(self, ticket: int, outcome: CommitOutcome) -> None:
        """Handle the outcome of a ticket at this node's chain."""
        submitter = self._at_chain.pop(ticket, None)
        if submitter is not None:
            submitter.finish(outcome, self._host.chain.committed)
