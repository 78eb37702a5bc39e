"""The network between simulated control-plane nodes: delays, losses, duplicates and partitions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgpack

from wickspring.lab.simulation.replication.messages import (
    DirectMessage,
    FaultEvent,
    LeaseGrant,
    NodeStatus,
    SimulatedMessage,
    SubmitUpdate,
    UpdateOutcome,
)
from wickspring.lab.simulation.replication.node import SimulatedNode
from wickspring.lab.simulation.replication.seeded_run import SeededRun

DELAY_MS = (0.2, 30.0)  # of a message, drawn evenly
FAULT_DELAYS_MS = (0.0, 0.1, 5.0, 20.0)  # from the sending of a message to the fault that waits for it


@dataclass(slots=True, frozen=True)
class FaultTrigger:
    """A fault that is injected as the next event of a type happens."""

    event: FaultEvent
    inject: Callable[[], None]


@dataclass(slots=True, frozen=True)
class Datagram:
    """A message on its way."""

    sender: str
    to: str
    payload: DirectMessage | bytes  # bytes: an encoded chain message


class SimulatedNetwork:
    """Delivers messages between the nodes of one run, late and out of order; `deliver` receives each."""

    def __init__(
        self,
        run: SeededRun,
        nodes: dict[str, SimulatedNode],
        deliver: Callable[[SimulatedNode, Datagram], None],
    ) -> None:
        self._run = run
        self._nodes = nodes
        self._deliver = deliver
        self.cut: set[tuple[str, str]] = set()  # (sender, receiver) between whom nothing passes
        self.loss = 0.0  # probability that a message is lost, and also that one is duplicated
        self.fault_trigger: FaultTrigger | None = None

    def send(self, sender: str, to: str, message: SimulatedMessage) -> None:
        """Deliver a message, unless a partition or a loss drops it; sometimes twice."""
        run = self._run
        trigger = self.take_fault_trigger(type(message))
        if trigger is not None:
            run.schedule(run.random.choice(FAULT_DELAYS_MS), trigger.inject)
        if (sender, to) in self.cut or to not in self._nodes or run.random.random() < self.loss:
            return
        datagram = Datagram(sender, to, _payload(message))
        node = self._nodes[to]
        arrive = partial(self._arrive, node, node.incarnation, datagram)
        for _ in range(1 + (run.random.random() < self.loss)):
            run.schedule(run.random.uniform(*DELAY_MS), arrive)

    def take_fault_trigger(self, event: FaultEvent) -> FaultTrigger | None:
        """Return the trigger that waits for this event, and forget it; None if there is none."""
        trigger = self.fault_trigger
        if trigger is None or trigger.event is not event:
            return None
        self.fault_trigger = None
        return trigger

    def heal(self) -> None:
        """End all partitions and losses, and forget the fault that waits for an event."""
        self.cut.clear()
        self.loss = 0.0
        self.fault_trigger = None

    def _arrive(self, node: SimulatedNode, incarnation: int, datagram: Datagram) -> None:
        """Deliver a datagram once its receiver is no longer suspended; drop it if that process has ended."""
        if node.incarnation != incarnation or node.chain is None:
            return
        if (datagram.sender, datagram.to) in self.cut:
            return
        if node.stopped_until > self._run.now:
            delay_ms = node.stopped_until - self._run.now
            self._run.schedule(delay_ms, partial(self._arrive, node, incarnation, datagram))
            return
        self._deliver(node, datagram)


def _payload(message: SimulatedMessage) -> DirectMessage | bytes:
    if isinstance(message, NodeStatus | LeaseGrant | SubmitUpdate | UpdateOutcome):
        return message
    encoded: bytes = msgpack.packb(message.encode())
    return encoded
