"""Updates in the simulated replication group: any node takes them, and forwards them to its head."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import CommitOutcome, Update
from wickspring.lab.simulation.replication.messages import SubmitUpdate, UpdateAcknowledged, UpdateOutcome
from wickspring.lab.simulation.replication.node import PendingUpdate, SimulatedNode

if TYPE_CHECKING:
    from wickspring.lab.simulation.replication.group import SimulatedGroup

UPDATE_TIMEOUT_MS = 850.0  # for which the node that took an update waits for its outcome


def ignore_outcome(outcome: CommitOutcome) -> None:
    """Ignore an outcome."""


class UpdateForwarding:
    """The updates of one run that have no outcome yet, and their way to the head and back."""

    def __init__(self, group: SimulatedGroup) -> None:
        self._group = group
        self._tickets = count(1)
        self._pending: dict[int, PendingUpdate] = {}

    def take(self, ip: str, update: Update, answer: Callable[[CommitOutcome], None]) -> None:
        """Have a node take an update; `answer` is called if an outcome comes back in time."""
        group = self._group
        node = group.nodes.get(ip)
        chain = node.chain if node is not None else None
        if node is None or chain is None or node.stopped_until > group.now:
            return
        ticket = next(self._tickets)
        acknowledged = group.checker.highest_acknowledged
        self._pending[ticket] = PendingUpdate(update, ip, acknowledged, answer)
        group.schedule(UPDATE_TIMEOUT_MS, lambda: self._time_out(ticket))
        if chain.head == ip:
            self.submit(node, ticket, update)
        elif chain.head:
            group.send(ip, chain.head, SubmitUpdate(ticket, update))

    def submit(self, node: SimulatedNode, ticket: int, update: Update) -> None:
        """Submit an update at the node that is taken for the head."""
        chain = node.chain
        if chain is not None:
            self._group.step(node, lambda: chain.submit(self._group.now, ticket, update))

    def on_head_outcome(
        self, node: SimulatedNode, chain: ReplicationChain, ticket: int, outcome: CommitOutcome
    ) -> None:
        """Check a head's outcome, and send it back to the node that took the update."""
        pending = self._pending.get(ticket)
        if pending is None:
            return
        group = self._group
        disks = {one.member: one.replica for one in group.nodes.values() if one.member is not None}
        group.checker.on_outcome(node.ip, pending.update, outcome, chain, disks)
        if outcome == CommitOutcome.COMMITTED:
            if pending.update.is_read:
                group.checker.on_read(node.ip, chain.committed, pending.acknowledged)
            trigger = group.network.take_fault_trigger(UpdateAcknowledged)
            if trigger is not None:
                group.schedule(0.0, trigger.inject)
        if pending.origin == node.ip:
            self.on_outcome(ticket, outcome)
        else:
            group.send(node.ip, pending.origin, UpdateOutcome(ticket, outcome))

    def on_outcome(self, ticket: int, outcome: CommitOutcome) -> None:
        """Give an outcome to whoever sent the update."""
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            pending.answer(outcome)

    def _time_out(self, ticket: int) -> None:
        """Give up waiting for an outcome; the head goes on with the update where it is another node."""
        pending = self._pending.get(ticket)
        if pending is None:
            return
        pending.answer = ignore_outcome
        origin = self._group.nodes.get(pending.origin)
        if origin is not None and origin.chain is not None:
            origin.chain.cancel(ticket)
