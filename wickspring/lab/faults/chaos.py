"""Faults of random kinds at random times, or just as a message of a random kind is sent.

A new kind of fault is a member of `FaultKind` in `lab.faults.fault_injector`, a method of `Chaos`, and its
entries in `Chaos.kinds` and `_NODE_FAULTS` or `_GROUP_FAULTS`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType

from wickspring.lab.faults.fault_injector import FAULT_EVENTS, FaultInjector, FaultKind
from wickspring.lab.simulation.replication.network import FaultTrigger
from wickspring.lab.simulation.replication.node import SimulatedNode

LONG_PARTITION_MS = 20_000.0
GROUP_FAULT_MS = 1500.0  # that messages are lost, or processes crash
LOSS = 0.15  # probability that a message is lost, or sent twice
CRASH_ODDS = 0.05  # probability that a process ends at a save
AT_EVENT_SHARE = 0.4  # of the faults, that wait for a message
FIRST_FAULT_MS = (800.0, 3000.0)
PAUSE_MS = (100.0, 4000.0)  # between faults


class Chaos(FaultInjector):
    """A run under random faults."""

    kinds: tuple[FaultKind, ...] = (  # drawn evenly: what stands twice is drawn twice as often
        FaultKind.KILL,
        FaultKind.WIPE,
        FaultKind.WIPE,
        FaultKind.KILL_ALL,
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.MESSAGE_LOSS,
        FaultKind.CRASHES,
        FaultKind.SUSPEND,
        FaultKind.REPLACE,
        FaultKind.PLANNED_REPLACE,
        FaultKind.SLOW_DISK,
    )

    def play(self, length_ms: float, write_ms: float = 250.0) -> None:
        """Run for so long under faults, with an update about every `write_ms`, and check the recovery."""
        self.schedule(500.0, lambda: self.schedule_updates(length_ms, write_ms))
        at = self.random.uniform(*FIRST_FAULT_MS)
        while at < length_ms:
            self.schedule(at, self.schedule_fault)
            at += self.random.uniform(*PAUSE_MS)
        self.run(length_ms)
        self.check_recovery()

    def schedule_fault(self) -> None:
        """Inject one fault, now or as the next message of some kind is sent."""
        kind = self.random.choice(self.kinds)
        if self.random.random() < AT_EVENT_SHARE and self.network.fault_trigger is None:
            event = self.random.choice(FAULT_EVENTS)
            self.network.fault_trigger = FaultTrigger(event, partial(self.inject, kind))
        else:
            self.inject(kind)

    def inject(self, kind: FaultKind) -> None:
        """Inject one fault; one of nodes only if a loss is tolerated now."""
        if self.finished:
            return
        if kind in _GROUP_FAULTS:
            _GROUP_FAULTS[kind](self)
            return
        nodes = self.draw_targets()
        if nodes:
            _NODE_FAULTS[kind](self, nodes)

    # Faults of the whole group.

    def lose_messages(self) -> None:
        """Lose messages for some time, and duplicate some."""
        self.network.loss = LOSS
        self.schedule(GROUP_FAULT_MS, lambda: setattr(self.network, "loss", 0.0))

    def crash_at_saves(self) -> None:
        """Have processes end at their saves for some time, now and then."""
        self.crash_odds = CRASH_ODDS
        self.schedule(GROUP_FAULT_MS, lambda: setattr(self, "crash_odds", 0.0))

    # Faults of nodes.

    def kill_nodes(self, nodes: list[SimulatedNode]) -> None:
        """End their processes."""
        self.lose(nodes, wipe=False)

    def wipe_nodes(self, nodes: list[SimulatedNode]) -> None:
        """End their processes, and lose their disks."""
        self.lose(nodes, wipe=True)

    def suspend_nodes(self, nodes: list[SimulatedNode]) -> None:
        """Have their processes stand still."""
        for node in nodes:
            self.suspend(node, self.random.uniform(100.0, 4000.0))

    def slow_disks(self, nodes: list[SimulatedNode]) -> None:
        """Make their disks slow."""
        for node in nodes:
            self.slow_disk(node, self.random.uniform(500.0, 6000.0))

    def partition(self, nodes: list[SimulatedNode], both_ways: bool) -> None:
        """Cut them off from the others."""
        length_ms = self.random.choice((self.random.uniform(500.0, 5000.0), LONG_PARTITION_MS))
        self.cut_off(nodes, length_ms, both_ways, still_send=self.random.random() < 0.5)

    def replace_nodes(self, nodes: list[SimulatedNode]) -> None:
        """Lose them for good; others come."""
        for node in nodes:
            self.replace(node)

    def replace_one_planned(self, nodes: list[SimulatedNode]) -> None:
        """Replace the first as planned, one at a time in the whole group."""
        if not any(node.stopping for node in self.nodes.values()):
            self.replace_planned(nodes[0])


_GROUP_FAULTS: Mapping[FaultKind, Callable[[Chaos], None]] = MappingProxyType(
    {
        FaultKind.KILL_ALL: Chaos.kill_all,
        FaultKind.MESSAGE_LOSS: Chaos.lose_messages,
        FaultKind.CRASHES: Chaos.crash_at_saves,
    }
)
_NODE_FAULTS: Mapping[FaultKind, Callable[[Chaos, list[SimulatedNode]], None]] = MappingProxyType(
    {
        FaultKind.KILL: Chaos.kill_nodes,
        FaultKind.WIPE: Chaos.wipe_nodes,
        FaultKind.PARTITION: partial(Chaos.partition, both_ways=True),
        FaultKind.ONE_WAY_PARTITION: partial(Chaos.partition, both_ways=False),
        FaultKind.SUSPEND: Chaos.suspend_nodes,
        FaultKind.SLOW_DISK: Chaos.slow_disks,
        FaultKind.REPLACE: Chaos.replace_nodes,
        FaultKind.PLANNED_REPLACE: Chaos.replace_one_planned,
    }
)
