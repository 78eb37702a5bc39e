"""Faults of a simulated replication group: at any moment, or just as one of its messages is sent.

Never more nodes (or zones) than are tolerated are lost with their disks, cut off or unavailable at once, and
a further one only once the last has been back for `CATCH_UP_MS`. Power may be lost anywhere, at any time.
`Chaos` draws faults at random; `Episodes` brings about one loss after another, each as soon as it is allowed,
and checks each time that the group answers: while nodes are unavailable, and once they are back.

A kind of fault is a name in `Chaos.kinds` with a case in `Chaos.inject`, or in those of `Episodes`; what a
node does under it is in `lab.simulation.core.SimulatedCore`.
"""

from __future__ import annotations

from functools import partial

from wickspring.lab.simulation.core import ANSWER_MS, SimulatedCore
from wickspring.lab.simulation.core_node import SimulatedNode

CATCH_UP_MS = 4000.0  # after a node's return, before another may lose its disk
GRACE_MS = (6000.0, 10_000.0)  # after which a node that is told to stop ends whatever is
CUT_MS = 20_000.0
MESSAGES = (
    "ack",
    "enter",
    "pass",
    "pass",
    "passed",
    "prepare",
    "promise",
    "accept",
    "accepted",
    "view",
    "copy",
    "fetch",
)


class Faults(SimulatedCore):
    """Nodes that are lost and come back."""

    wipes = kills = replaced = left = forced = 0

    def unavailable(self) -> set[str]:
        """Return the nodes that are unavailable, or have not been back for long."""
        return {
            ip
            for ip, one in self.nodes.items()
            if one.chain is None
            or self.now < max(one.available_at, one.stopped_until) + CATCH_UP_MS
            or any(ip == sender for sender, _ in self.cut)
        }

    def tolerates_loss(self, ips: set[str]) -> bool:
        """Tell whether the deployment tolerates that these are lost now."""
        away = self.unavailable() | ips
        zones = {self.nodes[ip].zone for ip in away}
        return len(away) <= self.tolerance.machines or len(zones) <= self.tolerance.zones

    def draw_targets(self) -> list[SimulatedNode]:
        """Draw nodes that may be lost now: one, all that are tolerated, or a zone; none if none may."""
        ips = sorted(set(self.nodes) - self.unavailable())
        self.random.shuffle(ips)
        if self.tolerance.zones and self.random.random() < 0.5:
            gone = {self.nodes[ip].zone for ip in ips[: self.tolerance.zones]}
            found = {ip for ip, one in self.nodes.items() if one.zone in gone}
        else:
            found = set(ips[: self.random.choice((1, self.tolerance.machines))])
        return [self.nodes[ip] for ip in sorted(found)] if found and self.tolerates_loss(found) else []

    def lose(
        self, machines: list[SimulatedNode], wipe: bool, away_ms: tuple[float, float] = (100.0, 3500.0)
    ) -> None:
        """Lose nodes; they come back."""
        for node in machines:
            self.wipes += wipe
            self.stop(node, wipe)
            self.schedule(self.random.uniform(*away_ms), partial(self.revive, node))

    def kill_all(self) -> None:
        """End all processes at once."""
        self.kills += 1
        self.lose(list(self.nodes.values()), False, (50.0, 900.0))

    def cut_off(
        self, machines: list[SimulatedNode], length_ms: float, both_ways: bool, hears: bool = False
    ) -> None:
        """Cut nodes off from all others; one way: nothing is received from them, or they receive nothing."""
        inside = {one.ip for one in machines}
        links = {(ip, other) for ip in inside for other in self.nodes if other not in inside}
        back = {(other, ip) for ip, other in links}
        cut = links | back if both_ways else back if hears else links
        self.cut |= cut

        def heal() -> None:
            self.cut -= cut
            for one in machines:
                one.available_at = self.now

        def heal_soon() -> None:  # in the midst of an order, if one comes
            if self.random.random() < 0.5 and self.fault_trigger is None:
                self.fault_trigger = self.random.choice(("enter", "pass", "passed")), heal
            self.schedule(500.0, heal)

        self.schedule(length_ms, heal_soon)

    def slow_disk(self, node: SimulatedNode, length_ms: float) -> None:
        """Make a node's disk slow: the node reports itself unhealthy, but its saves still succeed at once."""
        chain = node.chain
        if chain is not None:
            chain.disk_slow = True
            node.available_at = self.now + length_ms
            self.schedule(length_ms, lambda: setattr(chain, "hampered", False))

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
        self.schedule(self.random.uniform(100.0, 3500.0), partial(self.revive, new))

    def replace_planned(self, old: SimulatedNode) -> None:
        """Add the new node first; then stop the old one, which ends when it may or after its grace."""
        self.replaced += 1
        new = self.add_node(old.zone)
        self.start(new)
        new.available_at = -CATCH_UP_MS  # it is not needed yet
        self.schedule(self.random.choice((0.0, 500.0, 3000.0)), partial(self.stop_planned, old, new))

    def stop_planned(self, old: SimulatedNode, new: SimulatedNode) -> None:
        """Tell a node to stop."""
        ends_at = self.now + self.random.uniform(*GRACE_MS)
        old.stopping = True
        if old.chain is not None:
            old.chain.stopping = True

        def look() -> None:
            chain, stands = old.chain, self.nodes.get(old.ip) is old
            if not stands:
                return
            if chain is not None and old.stopped_until <= self.now and chain.may_stop:
                self.left += 1
            elif self.now < ends_at or not self.tolerates_loss({old.ip}):
                self.schedule(50.0, look)
                return
            else:
                self.forced += 1
                new.available_at = max(new.available_at, self.now)
            self.stop(old, wipe=True)
            del self.nodes[old.ip]

        self.schedule(50.0, look)


class Chaos(Faults):
    """Faults of random kinds at random times."""

    kinds: tuple[str, ...] = (
        "kill",
        "wipe",
        "wipe",
        "kill_all",
        "cut",
        "one_way",
        "lossy",
        "crash",
        "stop",
        "replace",
        "planned",
        "slow",
    )

    def schedule_fault(self) -> None:
        """Inject one fault, now or as the next message of some kind is sent."""
        kind = self.random.choice(self.kinds)
        if self.random.random() < 0.4 and self.fault_trigger is None:
            self.fault_trigger = self.random.choice(MESSAGES), partial(self.inject, kind)
        else:
            self.inject(kind)

    def inject(self, kind: str) -> None:
        """Inject one fault."""
        draw = self.random
        if self.finished:
            return
        if kind == "kill_all":
            self.kill_all()
            return
        if kind == "lossy":
            self.loss = 0.15
            self.schedule(1500.0, lambda: setattr(self, "loss", 0.0))
            return
        if kind == "crash":
            self.crash_odds = 0.05
            self.schedule(1500.0, lambda: setattr(self, "crash_odds", 0.0))
            return
        lost = self.draw_targets()
        if not lost:
            return
        if kind in ("kill", "wipe"):
            self.lose(lost, kind == "wipe")
        elif kind == "stop":
            for one in lost:
                one.stopped_until = self.now + draw.uniform(100.0, 4000.0)
        elif kind == "slow":
            for one in lost:
                self.slow_disk(one, draw.uniform(500.0, 6000.0))
        elif kind in ("cut", "one_way"):
            length = draw.choice((draw.uniform(500.0, 5000.0), CUT_MS))
            self.cut_off(lost, length, kind == "cut", draw.random() < 0.5)
        elif kind == "replace":
            for one in lost:
                self.replace(one)
        elif not any(one.stopping for one in self.nodes.values()):
            self.replace_planned(lost[0])

    def play(self, length_ms: float, write_ms: float = 250.0) -> None:
        """Play one run whole, and check its end."""
        self.schedule(500.0, lambda: self.schedule_updates(length_ms, write_ms))
        at = self.random.uniform(800.0, 3000.0)
        while at < length_ms:
            self.schedule(at, self.schedule_fault)
            at += self.random.uniform(100.0, 4000.0)
        self.run(length_ms)
        self.check_recovery()


class Episodes(Faults):
    """One loss after another, each as soon as the one before is over; the core has to go on all the time."""

    kinds: tuple[str, ...] = ("wipe", "wipe", "wipe", "kill", "cut", "one_way", "stop", "replace", "planned")
    slowest = 0.0  # ms until it went on

    def play(self, episodes: int, write_ms: float = 250.0, away_ms: float = 12_000.0) -> None:
        """Play one run whole, and check its end."""
        self.run(2500.0)
        for _ in range(episodes):
            self.episode(write_ms, away_ms)
        self.check_recovery()

    def episode(self, write_ms: float, away_ms: float) -> None:
        """Lose what is tolerated, see it go on, have it back, see it go on, and wait as long as agreed."""
        draw = self.random
        kind, lost = draw.choice(self.kinds), self.draw_targets()
        if not lost:
            self.run(self.now + 1000.0)
            return
        length = draw.choice((draw.uniform(100.0, 3500.0), away_ms))
        self.schedule_updates(self.now + 3000.0, write_ms)
        befallen: list[bool] = []

        def befall() -> None:
            if befallen:
                return
            befallen.append(True)
            lost[:] = [one for one in lost if self.nodes.get(one.ip) is one]  # else it has left meanwhile
            if not lost:
                return
            if kind in ("wipe", "kill"):
                self.lose(lost, kind == "wipe", (length, length + 200.0))
            elif kind in ("cut", "one_way"):
                self.cut_off(lost, length, kind == "cut", draw.random() < 0.5)
            elif kind == "stop":
                for one in lost:
                    one.stopped_until = self.now + length
            elif kind == "replace":
                for one in lost:
                    self.replace(one)
            else:
                self.replace_planned(lost[0])

        self.fault_trigger = draw.choice(MESSAGES), befall
        self.run(self.now + draw.choice((100.0, 700.0, 2000.0)))
        befall()
        if draw.random() < 0.2:  # others lose power meanwhile, in the midst of the repair
            self.run(self.now + draw.uniform(0.0, 1500.0))
            others = [one for one in self.nodes.values() if one not in lost and one.chain is not None]
            self.lose(draw.sample(others, draw.randint(1, len(others))), False, (50.0, 900.0))
            self.run(self.now + 900.0)
        self.fault_trigger = None
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))
        while self.unavailable():
            self.run(self.now + 50.0)
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))
