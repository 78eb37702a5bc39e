"""One loss after another, each as soon as it is tolerated; the group has to answer all the time.

Each episode checks twice that the group answers: while nodes are unavailable, and once they are back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

from wickspring.lab.faults.fault_injector import FAULT_EVENTS, RESTART_MS, FaultInjector, FaultKind
from wickspring.lab.simulation.replication.group import ANSWER_MS
from wickspring.lab.simulation.replication.network import FaultTrigger
from wickspring.lab.simulation.replication.node import SimulatedNode

START_MS = 2500.0  # before the first episode
UPDATES_MS = 3000.0  # of an episode, in which updates are sent
EVENT_WAITS_MS = (100.0, 700.0, 2000.0)  # after which a loss no longer waits for a message
POWER_LOSS_SHARE = 0.2  # of the episodes, in which other nodes lose power too


@dataclass(slots=True)
class Loss:
    """One loss: what happens, to which nodes, and for how long."""

    kind: FaultKind
    nodes: list[SimulatedNode]
    length_ms: float
    has_happened: bool = False


class Episodes(FaultInjector):
    """A run of episodes: each is one loss, and the recovery from it."""

    kinds: tuple[FaultKind, ...] = (  # drawn evenly: what stands thrice is drawn thrice as often
        FaultKind.WIPE,
        FaultKind.WIPE,
        FaultKind.WIPE,
        FaultKind.KILL,
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.SUSPEND,
        FaultKind.REPLACE,
        FaultKind.PLANNED_REPLACE,
    )
    slowest = 0.0  # ms until the group answered, at worst

    def play(self, episodes: int, write_ms: float = 250.0, away_ms: float = 12_000.0) -> None:
        """Run so many episodes, with an update about every `write_ms`, and check the end.

        `away_ms` is the longest time that lost nodes are away.
        """
        self.run(START_MS)
        for _ in range(episodes):
            self.run_episode(write_ms, away_ms)
        self.check_recovery()

    def run_episode(self, write_ms: float, away_ms: float) -> None:
        """Lose what is tolerated, check that the group answers, have it back, and check that again."""
        draw = self.random
        kind, nodes = draw.choice(self.kinds), self.draw_targets()
        if not nodes:
            self.run(self.now + 1000.0)
            return
        loss = Loss(kind, nodes, draw.choice((draw.uniform(100.0, 3500.0), away_ms)))
        self.schedule_updates(self.now + UPDATES_MS, write_ms)
        self.network.fault_trigger = FaultTrigger(draw.choice(FAULT_EVENTS), partial(self.inject, loss))
        self.run(self.now + draw.choice(EVENT_WAITS_MS))
        self.inject(loss)
        if draw.random() < POWER_LOSS_SHARE:
            self._lose_power_of_others(loss.nodes)
        self.network.fault_trigger = None
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))
        while self.unavailable():
            self.run(self.now + 50.0)
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))

    def inject(self, loss: Loss) -> None:
        """Have a loss happen, once; nodes that have left meanwhile are spared."""
        if loss.has_happened:
            return
        loss.has_happened = True
        loss.nodes = [node for node in loss.nodes if self.nodes.get(node.ip) is node]
        if loss.nodes:
            _LOSSES[loss.kind](self, loss)

    def _lose_power_of_others(self, lost: list[SimulatedNode]) -> None:
        """End processes of other nodes, in the midst of the repair; they keep their disks."""
        self.run(self.now + self.random.uniform(0.0, 1500.0))
        others = [node for node in self.nodes.values() if node not in lost and node.chain is not None]
        count = self.random.randint(1, len(others))
        self.lose(self.random.sample(others, count), False, RESTART_MS)
        self.run(self.now + 900.0)

    def end_processes(self, loss: Loss, wipe: bool) -> None:
        """End processes, with their disks if `wipe`."""
        self.lose(loss.nodes, wipe, (loss.length_ms, loss.length_ms + 200.0))

    def partition(self, loss: Loss, both_ways: bool) -> None:
        """Cut nodes off from the others."""
        self.cut_off(loss.nodes, loss.length_ms, both_ways, still_send=self.random.random() < 0.5)

    def suspend_nodes(self, loss: Loss) -> None:
        """Have processes stand still."""
        for node in loss.nodes:
            self.suspend(node, loss.length_ms)

    def replace_nodes(self, loss: Loss) -> None:
        """Lose nodes for good; others come."""
        for node in loss.nodes:
            self.replace(node)

    def replace_one_planned(self, loss: Loss) -> None:
        """Replace the first of the nodes as planned."""
        self.replace_planned(loss.nodes[0])


_LOSSES: Mapping[FaultKind, Callable[[Episodes, Loss], None]] = MappingProxyType(
    {
        FaultKind.KILL: partial(Episodes.end_processes, wipe=False),
        FaultKind.WIPE: partial(Episodes.end_processes, wipe=True),
        FaultKind.PARTITION: partial(Episodes.partition, both_ways=True),
        FaultKind.ONE_WAY_PARTITION: partial(Episodes.partition, both_ways=False),
        FaultKind.SUSPEND: Episodes.suspend_nodes,
        FaultKind.REPLACE: Episodes.replace_nodes,
        FaultKind.PLANNED_REPLACE: Episodes.replace_one_planned,
    }
)
