"""What befalls the core machines of a run: at any moment, or just as one of their messages leaves.

Never more machines (or zones) than are tolerated are lost with their disks, cut off or away at once, and a
further one only once the last has been back for `CATCH_UP_MS`. Power may go anywhere, at any time.
`Chaos` draws troubles at random; `Episodes` brings about one loss after another, each as soon as it is
allowed, and asks each time whether the core goes on: while machines are away, and once they are back.
"""

from __future__ import annotations

from functools import partial

from wickspring.lab.simulation.core import ANSWER_MS, SimulatedCore, SimulatedNode

CATCH_UP_MS = 4000.0  # after a machine's return, before another may lose its disk
GRACE_MS = (6000.0, 10_000.0)  # after which a machine that is told to leave ends whatever is
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
    """Machines that are lost and come back."""

    wipes = kills = replaced = left = forced = 0

    def away(self) -> set[str]:
        """Return the machines that are not there, or have not been back for long."""
        return {
            ip
            for ip, one in self.machines.items()
            if one.chain is None
            or self.now < max(one.back_at, one.stopped_until) + CATCH_UP_MS
            or any(ip == sender for sender, _ in self.cut)
        }

    def may_lose(self, ips: set[str]) -> bool:
        """Tell whether the deployment bears that these are lost now."""
        away = self.away() | ips
        zones = {self.machines[ip].zone for ip in away}
        return len(away) <= self.tolerance.machines or len(zones) <= self.tolerance.zones

    def victims(self) -> list[SimulatedNode]:
        """Draw machines that may be lost now: one, all that are tolerated, or a zone; none if none may."""
        ips = sorted(set(self.machines) - self.away())
        self.random.shuffle(ips)
        if self.tolerance.zones and self.random.random() < 0.5:
            gone = {self.machines[ip].zone for ip in ips[: self.tolerance.zones]}
            found = {ip for ip, one in self.machines.items() if one.zone in gone}
        else:
            found = set(ips[: self.random.choice((1, self.tolerance.machines))])
        return [self.machines[ip] for ip in sorted(found)] if found and self.may_lose(found) else []

    def lose(
        self, machines: list[SimulatedNode], wipe: bool, away_ms: tuple[float, float] = (100.0, 3500.0)
    ) -> None:
        """Lose machines; they come back."""
        for machine in machines:
            self.wipes += wipe
            self.stop(machine, wipe)
            self.at(self.random.uniform(*away_ms), partial(self.revive, machine))

    def kill_all(self) -> None:
        """All processes end at once."""
        self.kills += 1
        self.lose(list(self.machines.values()), False, (50.0, 900.0))

    def cut_off(
        self, machines: list[SimulatedNode], length_ms: float, both_ways: bool, hears: bool = False
    ) -> None:
        """Cut machines off from all others; one way: they are not heard, or they do not hear."""
        inside = {one.ip for one in machines}
        links = {(ip, other) for ip in inside for other in self.machines if other not in inside}
        back = {(other, ip) for ip, other in links}
        cut = links | back if both_ways else back if hears else links
        self.cut |= cut

        def heal() -> None:
            self.cut -= cut
            for one in machines:
                one.back_at = self.now

        def heal_soon() -> None:  # in the midst of an order, if one comes
            if self.random.random() < 0.5 and self.ambush is None:
                self.ambush = self.random.choice(("enter", "pass", "passed")), heal
            self.at(500.0, heal)

        self.at(length_ms, heal_soon)

    def hamper(self, machine: SimulatedNode, length_ms: float) -> None:
        """A machine's disk does not come back in time, and it says so."""
        chain = machine.chain
        if chain is not None:
            chain.disk_slow = True
            machine.back_at = self.now + length_ms
            self.at(length_ms, lambda: setattr(chain, "hampered", False))

    def new_machine(self, zone: str) -> SimulatedNode:
        """Put an empty machine at an address of its own."""
        machine = SimulatedNode(f"m{next(self.names)}", zone)
        self.machines[machine.ip] = machine
        return machine

    def replace(self, old: SimulatedNode) -> None:
        """A machine is gone for good; an empty one comes at another address."""
        self.replaced += 1
        self.stop(old, wipe=True)
        del self.machines[old.ip]
        new = self.new_machine(old.zone)
        self.at(self.random.uniform(100.0, 3500.0), partial(self.revive, new))

    def replace_planned(self, old: SimulatedNode) -> None:
        """The new machine first; then the old one leaves, and ends when it may or after its grace."""
        self.replaced += 1
        new = self.new_machine(old.zone)
        self.start(new)
        new.back_at = -CATCH_UP_MS  # nobody misses it yet
        self.at(self.random.choice((0.0, 500.0, 3000.0)), partial(self.leave, old, new))

    def leave(self, old: SimulatedNode, new: SimulatedNode) -> None:
        """Tell a machine to leave."""
        ends_at = self.now + self.random.uniform(*GRACE_MS)
        old.leaving = True
        if old.chain is not None:
            old.chain.stopping = True

        def look() -> None:
            chain, stands = old.chain, self.machines.get(old.ip) is old
            if not stands:
                return
            if chain is not None and old.stopped_until <= self.now and chain.may_stop:
                self.left += 1
            elif self.now < ends_at or not self.may_lose({old.ip}):
                self.at(50.0, look)
                return
            else:
                self.forced += 1
                new.back_at = max(new.back_at, self.now)
            self.stop(old, wipe=True)
            del self.machines[old.ip]

        self.at(50.0, look)


class Chaos(Faults):
    """Troubles at random."""

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

    def trouble(self) -> None:
        """Have one thing go wrong, now or as the next message of some name leaves."""
        kind = self.random.choice(self.kinds)
        if self.random.random() < 0.4 and self.ambush is None:
            self.ambush = self.random.choice(MESSAGES), partial(self.befall, kind)
        else:
            self.befall(kind)

    def befall(self, kind: str) -> None:
        """Have one thing go wrong."""
        draw = self.random
        if self.over:
            return
        if kind == "kill_all":
            self.kill_all()
            return
        if kind == "lossy":
            self.loss = 0.15
            self.at(1500.0, lambda: setattr(self, "loss", 0.0))
            return
        if kind == "crash":
            self.crash_odds = 0.05
            self.at(1500.0, lambda: setattr(self, "crash_odds", 0.0))
            return
        lost = self.victims()
        if not lost:
            return
        if kind in ("kill", "wipe"):
            self.lose(lost, kind == "wipe")
        elif kind == "stop":
            for one in lost:
                one.stopped_until = self.now + draw.uniform(100.0, 4000.0)
        elif kind == "slow":
            for one in lost:
                self.hamper(one, draw.uniform(500.0, 6000.0))
        elif kind in ("cut", "one_way"):
            length = draw.choice((draw.uniform(500.0, 5000.0), CUT_MS))
            self.cut_off(lost, length, kind == "cut", draw.random() < 0.5)
        elif kind == "replace":
            for one in lost:
                self.replace(one)
        elif not any(one.leaving for one in self.machines.values()):
            self.replace_planned(lost[0])

    def play(self, length_ms: float, write_ms: float = 250.0) -> None:
        """Play one run whole, and check its end."""
        self.at(500.0, lambda: self.orders(length_ms, write_ms))
        at = self.random.uniform(800.0, 3000.0)
        while at < length_ms:
            self.at(at, self.trouble)
            at += self.random.uniform(100.0, 4000.0)
        self.run(length_ms)
        self.ends_well()


class Episodes(Faults):
    """One loss after another, each as soon as the one before is over; the core has to go on all the time."""

    kinds: tuple[str, ...] = ("wipe", "wipe", "wipe", "kill", "cut", "one_way", "stop", "replace", "planned")
    slowest = 0.0  # ms until it went on

    def play(self, episodes: int, write_ms: float = 250.0, away_ms: float = 12_000.0) -> None:
        """Play one run whole, and check its end."""
        self.run(2500.0)
        for _ in range(episodes):
            self.episode(write_ms, away_ms)
        self.ends_well()

    def episode(self, write_ms: float, away_ms: float) -> None:
        """Lose what is tolerated, see it go on, have it back, see it go on, and wait as long as agreed."""
        draw = self.random
        kind, lost = draw.choice(self.kinds), self.victims()
        if not lost:
            self.run(self.now + 1000.0)
            return
        length = draw.choice((draw.uniform(100.0, 3500.0), away_ms))
        self.orders(self.now + 3000.0, write_ms)
        befallen: list[bool] = []

        def befall() -> None:
            if befallen:
                return
            befallen.append(True)
            lost[:] = [one for one in lost if self.machines.get(one.ip) is one]  # else it has left meanwhile
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

        self.ambush = draw.choice(MESSAGES), befall
        self.run(self.now + draw.choice((100.0, 700.0, 2000.0)))
        befall()
        if draw.random() < 0.2:  # others lose power meanwhile, in the midst of the repair
            self.run(self.now + draw.uniform(0.0, 1500.0))
            others = [one for one in self.machines.values() if one not in lost and one.chain is not None]
            self.lose(draw.sample(others, draw.randint(1, len(others))), False, (50.0, 900.0))
            self.run(self.now + 900.0)
        self.ambush = None
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))
        while self.away():
            self.run(self.now + 50.0)
        self.slowest = max(self.slowest, self.answers_within(ANSWER_MS))
