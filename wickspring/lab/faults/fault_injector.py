"""What may happen to the nodes of a simulated replication group, within what the deployment tolerates.

Never more nodes (or zones) than are tolerated are lost with their disks, cut off or unavailable at once, and
a further one only once the last has been back for `CATCH_UP_MS`. Power may be lost anywhere, at any time.
What a node does under a fault is in `lab.simulation.replication.group.SimulatedGroup`.
"""

from __future__ import annotations

from enum import Enum, auto
from functools import partial

from wickspring.controlplane.replication import messages
from wickspring.lab.simulation.replication.group import SimulatedGroup
from wickspring.lab.simulation.replication.messages import FaultEvent, SubmitUpdate, UpdateAcknowledged
from wickspring.lab.simulation.replication.network import FaultTrigger
from wickspring.lab.simulation.replication.node import SimulatedNode

CATCH_UP_MS = 4000.0  # after a node's return, before another may lose its disk
GRACE_MS = (6000.0, 10_000.0)  # after which a node that has been asked to stop is ended in any case
AWAY_MS = (100.0, 3500.0)  # that a lost node is away
RESTART_MS = (50.0, 900.0)  # that a node is away whose power was lost
HEAL_DELAY_MS = 500.0  # for which the end of a partition waits for an update
POLL_MS = 50.0
ZONE_LOSS_SHARE = 0.5  # of the losses, where the loss of zones is tolerated
HEAL_IN_UPDATE_SHARE = 0.5  # of the partitions, that end in the midst of an update

# Drawn evenly: what stands twice is drawn twice as often.
FAULT_EVENTS: tuple[FaultEvent, ...] = (
    UpdateAcknowledged,
    SubmitUpdate,
    messages.Pass,
    messages.Pass,
    messages.Passed,
    messages.Prepare,
    messages.Promise,
    messages.Accept,
    messages.Accepted,
    messages.InstallView,
    messages.CommittedState,
    messages.Fetch,
)
UPDATE_EVENTS: tuple[FaultEvent, ...] = (SubmitUpdate, messages.Pass, messages.Passed)


class FaultKind(Enum):
    """A kind of fault. Those of nodes happen to nodes that are drawn, the others to the whole group."""

    KILL = auto()  # processes end; their disks stay
    WIPE = auto()  # processes end, and their disks are lost
    PARTITION = auto()  # nothing passes between these nodes and the others
    ONE_WAY_PARTITION = auto()  # nothing passes in one of both directions
    SUSPEND = auto()  # processes stand still for some time
    SLOW_DISK = auto()
    REPLACE = auto()  # nodes are lost for good; empty ones come at other addresses
    PLANNED_REPLACE = auto()  # the new node comes first, then the old one is asked to stop
    KILL_ALL = auto()  # all processes end at once
    MESSAGE_LOSS = auto()
    CRASHES = auto()  # processes end at their saves, now and then


class FaultInjector(SimulatedGroup):
    """A replication group whose nodes can be lost, and come back."""

    wipes = 0  # disks lost
    kills = 0  # times that all processes were ended
    replaced = 0
    left = 0  # nodes that stopped when they were ready to
    forced = 0  # nodes that were ended after their grace

    def unavailable(self) -> set[str]:
        """Return the nodes that are unavailable, or have not been back for long."""
        return {ip for ip, node in self.nodes.items() if self._is_unavailable(node)}

    def _is_unavailable(self, node: SimulatedNode) -> bool:
        if node.chain is None:
            return True
        if self.now < max(node.available_at, node.stopped_until) + CATCH_UP_MS:
            return True
        return any(node.ip == sender for sender, _ in self.network.cut)

    def tolerates_loss(self, ips: set[str]) -> bool:
        """Tell whether the deployment tolerates that these are lost now."""
        away = self.unavailable() | ips
        zones = {self.nodes[ip].zone for ip in away}
        return len(away) <= self.tolerance.machines or len(zones) <= self.tolerance.zones

    def draw_targets(self) -> list[SimulatedNode]:
        """Draw nodes that may be lost now: one, all that are tolerated, or a zone; none if none may."""
        ips = sorted(set(self.nodes) - self.unavailable())
        self.random.shuffle(ips)
        if self.tolerance.zones and self.random.random() < ZONE_LOSS_SHARE:
            zones = {self.nodes[ip].zone for ip in ips[: self.tolerance.zones]}
            targets = {ip for ip, node in self.nodes.items() if node.zone in zones}
        else:
            targets = set(ips[: self.random.choice((1, self.tolerance.machines))])
        if not targets or not self.tolerates_loss(targets):
            return []
        return [self.nodes[ip] for ip in sorted(targets)]

    # Processes and disks.

    def lose(self, nodes: list[SimulatedNode], wipe: bool, away_ms: tuple[float, float] = AWAY_MS) -> None:
        """End processes, with their disks if `wipe`; they start again after a time drawn from `away_ms`."""
        for node in nodes:
            self.wipes += wipe
            self.stop(node, wipe)
            self.schedule(self.random.uniform(*away_ms), partial(self.revive, node))

    def kill_all(self) -> None:
        """End all processes at once."""
        self.kills += 1
        self.lose(list(self.nodes.values()), False, RESTART_MS)

    def suspend(self, node: SimulatedNode, length_ms: float) -> None:
        """Have a node's process stand still."""
        node.stopped_until = self.now + length_ms

    def slow_disk(self, node: SimulatedNode, length_ms: float) -> None:
        """Make a node's disk slow: the node reports itself unhealthy, but its saves still succeed at once."""
        chain = node.chain
        if chain is not None:
            chain.disk_slow = True
            node.available_at = self.now + length_ms
            self.schedule(length_ms, lambda: setattr(chain, "disk_slow", False))

    # Partitions.

    def cut_off(
        self,
        nodes: list[SimulatedNode],
        length_ms: float,
        both_ways: bool,
        still_send: bool = False,
    ) -> None:
        """Cut nodes off from all others.

        One way: nothing is received from them; or, if they `still_send`, they receive nothing.
        """
        inside = {node.ip for node in nodes}
        outgoing = {(ip, other) for ip in inside for other in self.nodes if other not in inside}
        incoming = {(other, ip) for ip, other in outgoing}
        links: set[tuple[str, str]] = set()
        if both_ways or not still_send:
            links |= outgoing
        if both_ways or still_send:
            links |= incoming
        self.network.cut |= links
        self.schedule(length_ms, partial(self._heal_soon, nodes, links))

    def _heal_soon(self, nodes: list[SimulatedNode], links: set[tuple[str, str]]) -> None:
        """End a partition, perhaps in the midst of an update if one comes."""
        heal = partial(self._heal, nodes, links)
        if self.random.random() < HEAL_IN_UPDATE_SHARE and self.network.fault_trigger is None:
            self.network.fault_trigger = FaultTrigger(self.random.choice(UPDATE_EVENTS), heal)
        self.schedule(HEAL_DELAY_MS, heal)

    def _heal(self, nodes: list[SimulatedNode], links: set[tuple[str, str]]) -> None:
        self.network.cut -= links
        for node in nodes:
            node.available_at = self.now

    # Replacements.

    def add_node(self, zone: str) -> SimulatedNode:
        """Add a node with an empty disk at an address of its own."""
        node = SimulatedNode(f"m{next(self.node_numbers)}", zone)
        self.nodes[node.ip] = node
        return node

    def replace(self, old: SimulatedNode) -> None:
        """Lose a node for good; an empty one comes at another address."""
        self.replaced += 1
        self.stop(old, wipe=True)
        del self.nodes[old.ip]
        new = self.add_node(old.zone)
        self.schedule(self.random.uniform(*AWAY_MS), partial(self.revive, new))

    def replace_planned(self, old: SimulatedNode) -> None:
        """Add the new node first; then ask the old one to stop, which ends when it may or after its grace."""
        self.replaced += 1
        new = self.add_node(old.zone)
        self.start(new)
        new.available_at = -CATCH_UP_MS  # it is not needed yet
        self.schedule(self.random.choice((0.0, 500.0, 3000.0)), partial(self.stop_planned, old, new))

    def stop_planned(self, old: SimulatedNode, new: SimulatedNode) -> None:
        """Ask a node to stop."""
        ends_at = self.now + self.random.uniform(*GRACE_MS)
        old.stopping = True
        if old.chain is not None:
            old.chain.stopping = True
        self.schedule(POLL_MS, partial(self._end_when_ready, old, new, ends_at))

    def _end_when_ready(self, old: SimulatedNode, new: SimulatedNode, ends_at: float) -> None:
        """End a node that was asked to stop once it may, or after its grace where that is tolerated."""
        if self.nodes.get(old.ip) is not old:
            return
        chain = old.chain
        if chain is not None and old.stopped_until <= self.now and chain.may_stop:
            self.left += 1
            # Where its disk was lost, another loss is tolerated once the new node has caught up.
            new.available_at = max(new.available_at, old.available_at)
        elif self.now < ends_at or not self.tolerates_loss({old.ip}):
            self.schedule(POLL_MS, partial(self._end_when_ready, old, new, ends_at))
            return
        else:
            self.forced += 1
            new.available_at = max(new.available_at, self.now)
        self.stop(old, wipe=True)
        del self.nodes[old.ip]
