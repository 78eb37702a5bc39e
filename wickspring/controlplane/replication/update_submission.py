"""Submitting updates: to this node's chain where it is the head, else forwarded to the head.

Each update gets a ticket. At the head the chain answers a ticket with an outcome; another node sends the
update to the head it knows and waits for the answer on the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from wickspring.common.messages import Message, SubmitUpdate, UpdateOutcome
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update

UPDATE_TIMEOUT_MS = 850.0  # for an update to be committed; callers give up after a second


@dataclass(slots=True, frozen=True)
class UpdateResult:
    """The outcome of an update; of a committed read also what was committed at the head."""

    outcome: CommitOutcome
    replica: Replica | None = None


NOT_COMMITTED = UpdateResult(CommitOutcome.NOT_YET)


class _Waiter:
    """A caller that waits for its result."""

    def __init__(self) -> None:
        self.result = NOT_COMMITTED
        self._done = trio.Event()

    def finish(self, result: UpdateResult) -> None:
        self.result = result
        self._done.set()

    async def wait(self) -> None:
        await self._done.wait()


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
        self._at_chain: dict[int, Callable[[CommitOutcome], None]] = {}  # tickets of this node's chain
        self._forwarded: dict[int, _Waiter] = {}  # tickets at the head, which is another node

    def _next_ticket(self) -> int:
        self._last_ticket += 1
        return self._last_ticket

    async def submit(self, update: Update, read: bool) -> UpdateResult:
        """Have an update committed by the head; NOT_YET where that takes longer than `UPDATE_TIMEOUT_MS`."""
        waiter = _Waiter()
        ticket = self._next_ticket()
        try:
            with trio.move_on_after(UPDATE_TIMEOUT_MS / 1000.0):
                if self._start(ticket, update, read, waiter):
                    await waiter.wait()
        finally:  # its caller may have been cancelled
            self._forget(ticket)
        return waiter.result

    def _start(self, ticket: int, update: Update, read: bool, waiter: _Waiter) -> bool:
        """Hand an update to the head; False where that is not connected."""
        chain = self._host.chain
        if chain.head != chain.ip:
            self._forwarded[ticket] = waiter
            return self._host.send(chain.head, SubmitUpdate(ticket, update.pack(), read))

        def on_outcome(outcome: CommitOutcome) -> None:
            replica = None
            if read and outcome is CommitOutcome.COMMITTED:
                replica = chain.committed.copy()
            waiter.finish(UpdateResult(outcome, replica))

        self._at_chain[ticket] = on_outcome
        self._host.submit_to_chain(ticket, update)
        return True

    def _forget(self, ticket: int) -> None:
        self._forwarded.pop(ticket, None)
        if self._at_chain.pop(ticket, None) is not None:
            self._host.cancel_in_chain(ticket)

    def on_submit(self, address: str, message: SubmitUpdate) -> None:
        """Handle an update that another node took, and answer that node with its outcome."""

        def on_outcome(outcome: CommitOutcome) -> None:
            state = None
            if message.with_state and outcome is CommitOutcome.COMMITTED:
                state = self._host.chain.committed.pack()
            self._host.send(address, UpdateOutcome(message.ticket, int(outcome), state))

        ticket = self._next_ticket()
        self._at_chain[ticket] = on_outcome
        self._host.submit_to_chain(ticket, Update.unpack(message.update))

    def on_update_outcome(self, message: UpdateOutcome) -> None:
        """Handle the head's answer to an update that this node forwarded."""
        waiter = self._forwarded.pop(message.ticket, None)
        if waiter is not None:
            replica = None if message.state is None else Replica.unpack(message.state)
            waiter.finish(UpdateResult(CommitOutcome(message.outcome), replica))

    def on_outcome(self, ticket: int, outcome: CommitOutcome) -> None:
        """Handle the outcome of a ticket at this node's chain."""
        callback = self._at_chain.pop(ticket, None)
        if callback is not None:
            callback(outcome)
