"""The chain of core machines in virtual time: its real transitions under loss, cuts, kills and wiped disks.

One run is one seed. Messages are lost, doubled, late and out of order; a machine ends before its save, or
after the save and before its messages leave; disks are wiped one at a time, as a deployment says that it
bears; all may be killed at once; machines are stopped and woken, and their steady clocks differ in speed.
Checked all along: views of one epoch are one view; what is acknowledged is on all disks of the view; what
is read is not older than what was acknowledged when the read began; leases of two views are never usable
at once. Checked at the end, once all is well again: what is read is not older than the newest
acknowledged, and is what was sent under its number.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any

from wickspring.lighthouse.chain import Chain, Hold, Member, Reach, View
from wickspring.lighthouse.lease import MOST_DRIFT, Lease, grants

TICK_MS = 200.0
SILENT_MS = 750.0
CATCH_UP_MS = 4000.0  # after a machine's return, before another may lose its disk
SETTLE_MS = 9000.0
DELAY_MS = (0.2, 30.0)


class BrokenError(AssertionError):
    """An invariant did not hold; the message says which, with the seed."""


@dataclass(slots=True)
class Machine:
    """One core machine: what its disk holds, and its process while it runs."""

    ip: str
    disk: dict[str, Any] | None = None
    hold: Hold = field(default_factory=Hold)
    chain: Chain | None = None
    life: int = 0
    lives: int = 0  # disks that it has had
    heard: dict[str, tuple[float, Reach]] = field(default_factory=dict)
    back_at: float = 0.0
    lease: Lease = field(default_factory=Lease)
    speed: float = 1.0  # of its steady clock
    stopped_until: float = 0.0  # it is there, and does nothing

    def clock(self, now: float) -> float:
        """Return what its steady clock shows."""
        return now * self.speed


class Core:
    """All core machines of one run."""

    def __init__(
        self, seed: int, machines: int = 4, seeds: int = 3, chain: type[Chain] = Chain,
        lease: type[Lease] = Lease,
    ) -> None:  # fmt: skip
        self.seed, self.random, self.make, self.lease = seed, Random(seed), chain, lease
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.machines = {f"m{n}": Machine(f"m{n}") for n in range(machines)}
        self.first = tuple((f"m{n}", "first") for n in range(min(seeds, machines)))
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.views: dict[int, tuple[Member, ...]] = {}
        self.acked = 0
        self.documents: dict[int, bytes] = {}
        self.version = 0
        self.tickets: dict[tuple[str, int], int] = {}
        self.answers: dict[tuple[str, int], bool] = {}
        self.number = count(1)
        self.reads: dict[tuple[str, int], int] = {}  # what was acknowledged as each began
        self.acks = self.wipes = self.kills = self.usable = 0
        for machine in self.machines.values():
            self.start(machine, first=True)

    def fail(self, what: str) -> None:
        """Say what did not hold."""
        raise BrokenError(f"seed {self.seed} at {self.now:.0f} ms: {what}")

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Have something done after so many ms."""
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    # Machines.

    def start(self, machine: Machine, first: bool = False) -> None:
        """Start a machine's process from what its disk holds."""
        machine.life += 1
        life, seed = machine.life, self.random.getrandbits(32)
        if machine.disk is not None:
            chain = self.make(machine.ip, machine.disk["disk"], View(), seed, machine.hold.copy())
            chain.restore(machine.disk)
        elif first:
            chain = self.make(machine.ip, "first", View(1, self.first), seed)
        else:
            machine.lives += 1
            chain = self.make(machine.ip, f"{machine.ip}.{machine.lives}", View(), seed)
        chain.dirty = True
        machine.chain, machine.back_at, machine.lease = chain, self.now, self.lease()
        machine.speed = self.random.uniform(1.0 - MOST_DRIFT / 2, 1.0 + MOST_DRIFT / 2)
        self.step(machine, lambda: chain.begin(self.now))
        self.at(self.random.uniform(1.0, TICK_MS), lambda: self.tick(machine, life))

    def stop(self, machine: Machine, wipe: bool = False) -> None:
        """End a machine's process at once."""
        machine.chain = None
        machine.heard = {}
        machine.life += 1
        if wipe:
            machine.disk, machine.hold = None, Hold()

    def step(self, machine: Machine, event: Callable[[], None]) -> None:
        """Let a machine take one event, save, and only then speak; it may end in between."""
        chain = machine.chain
        if chain is None:
            return
        event()
        out, done = chain.out, chain.done
        chain.out, chain.done, chain.news = [], [], []
        if chain.dirty:
            if self.crashes():
                self.stop(machine)
                self.at(self.random.uniform(100.0, 2500.0), lambda: self.revive(machine))
                return
            chain.dirty = False
            machine.disk = {**chain.durable(), "disk": chain.me[1]}
            machine.hold = chain.hold.copy()
            if self.crashes():
                self.stop(machine)
                self.at(self.random.uniform(100.0, 2500.0), lambda: self.revive(machine))
                return
        self.look(machine, chain)
        if machine.lease.take_up(machine.clock(self.now), chain.view):
            self.duties()
        for ticket, safe in done:
            self.answers[machine.ip, ticket] = safe
            asked = self.reads.pop((machine.ip, ticket), 0)
            if safe and chain.safe.version < asked:
                self.fail(f"{machine.ip} read {chain.safe.version}, and {asked} had been acknowledged before")
            version = self.tickets.pop((machine.ip, ticket), 0)
            if safe and version:
                self.acknowledged(chain, version)
        for ip, message in out:
            self.send(machine.ip, ip, message)

    crash_odds = 0.0
    kinds: tuple[str, ...] = (
        "kill", "wipe", "wipe", "kill_all", "cut", "one_way", "lossy", "crash", "stop",
    )  # fmt: skip

    def crashes(self) -> bool:
        """Tell whether a machine ends just here."""
        down = sum(one.chain is None for one in self.machines.values())
        return down == 0 and self.random.random() < self.crash_odds

    def revive(self, machine: Machine) -> None:
        """Start a machine that is down."""
        if machine.chain is None:
            self.start(machine)

    def look(self, machine: Machine, chain: Chain) -> None:
        """Check what must hold of one machine after each event."""
        view = chain.view
        if view.epoch and self.views.setdefault(view.epoch, view.members) != view.members:
            self.fail(f"two views of epoch {view.epoch}: {view.members} and {self.views[view.epoch]}")
        if chain.safe.version > chain.hold.version:
            self.fail(f"{machine.ip} calls safe what it does not hold")

    def duties(self) -> None:
        """Check that nobody may do what another, of another view, may do as well."""
        epochs = set()
        for one in self.machines.values():
            if one.chain is None or one.stopped_until > self.now:
                continue
            if one.lease.usable(one.clock(self.now), one.chain):
                epochs.add(one.lease.epoch)
                self.usable += 1
        if len(epochs) > 1:
            self.fail(f"leases of epochs {sorted(epochs)} are usable at once")

    def acknowledged(self, chain: Chain, version: int) -> None:
        """Check, and note, that a version has just been acknowledged."""
        self.acks += 1
        self.acked = max(self.acked, version)
        for ip, disk in chain.view.members:
            one = self.machines[ip]
            if one.disk is not None and one.disk["disk"] == disk and one.hold.version < version:
                self.fail(f"version {version} acknowledged, but {ip} has only {one.hold.version} on its disk")

    def tick(self, machine: Machine, life: int) -> None:
        """Have a machine look round, and be heard."""
        if machine.life != life or machine.chain is None:
            return
        if machine.stopped_until > self.now:
            self.at(machine.stopped_until - self.now, lambda: self.tick(machine, life))
            return
        chain = machine.chain
        self.at(TICK_MS * self.random.uniform(0.85, 1.15), lambda: self.tick(machine, life))
        told = Reach(
            True, chain.me[1], False, chain.view.epoch, chain.safe.version, len(chain.safe.leavers),
            chain.safe.mark,
        )  # fmt: skip
        for other in self.machines.values():
            if other is not machine and (other.ip, machine.ip) not in self.cut:
                self.send(machine.ip, other.ip, ["status", told, machine.clock(self.now)])
        reach = {
            ip: Reach(
                self.now - at < SILENT_MS, one.disk, False, one.epoch, one.version, one.leavers, one.mark
            )
            for ip, (at, one) in machine.heard.items()
        }
        self.step(machine, lambda: chain.tick(self.now, reach))

    def send(self, sender: str, to: str, message: list[Any]) -> None:
        """Carry a message, unless a cut or chance takes it; sometimes twice."""
        if (sender, to) in self.cut or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < self.loss)):
            life = self.machines[to].life

            def arrive(life: int = life) -> None:
                machine = self.machines[to]
                chain = machine.chain
                if machine.life != life or chain is None or (sender, to) in self.cut:
                    return
                if machine.stopped_until > self.now:
                    self.at(machine.stopped_until - self.now, arrive)
                elif message[0] == "status":
                    machine.heard[sender] = self.now, message[1]
                    self.send(to, sender, ["tock", chain.me[1], message[2], grants(chain)])
                elif message[0] == "tock":
                    machine.lease.granted(sender, *message[1:])
                    self.duties()
                else:
                    self.step(machine, lambda: chain.receive(self.now, sender, message))

            self.at(self.random.uniform(*DELAY_MS), arrive)

    # What befalls them.

    def write(self) -> None:
        """Send a new version to the head that some machine knows."""
        machine = self.machines[self.random.choice(sorted(self.machines))]
        if machine.chain is None:
            return
        head = self.machines.get(machine.chain.head)
        if head is None or head.chain is None:
            return
        self.version += self.random.randint(0, 3)
        version = max(1, self.version - self.random.choice((0, 0, 0, 2)))
        document = self.documents.setdefault(version, f"{version}".encode())
        ticket = next(self.number)
        chain = head.chain
        self.tickets[head.ip, ticket] = version
        self.step(head, lambda: chain.enter(self.now, ticket, Hold(version, document)))

    def ask(self) -> None:
        """Read at a machine that takes itself for the head."""
        for machine in self.machines.values():
            chain = machine.chain
            if chain is not None and chain.member and chain.head == machine.ip:
                ticket = next(self.number)
                self.reads[machine.ip, ticket] = self.acked
                self.step(machine, partial(chain.enter, self.now, ticket, Hold()))

    def wipe_allowed(self) -> list[Machine]:
        """Return the machines that may be lost now: none while another is away or catching up."""
        for one in self.machines.values():
            if one.chain is None or self.now - one.back_at < CATCH_UP_MS:
                return []
        return [] if self.cut else sorted(self.machines.values(), key=lambda one: one.ip)

    def trouble(self) -> None:
        """Have one thing go wrong."""
        kind = self.random.choice(self.kinds)
        allowed = self.wipe_allowed()
        if kind == "kill_all":
            self.kills += 1
            for machine in self.machines.values():
                self.stop(machine)
                self.at(self.random.uniform(50.0, 900.0), partial(self.revive, machine))
        elif not allowed:
            return
        elif kind in ("kill", "wipe"):
            machine = self.random.choice(allowed)
            self.wipes += kind == "wipe"
            self.stop(machine, wipe=kind == "wipe")
            self.at(self.random.uniform(100.0, 3500.0), lambda: self.revive(machine))
        elif kind == "stop":
            machine = self.random.choice(allowed)
            machine.stopped_until = machine.back_at = self.now + self.random.uniform(100.0, 4000.0)
        elif kind in ("cut", "one_way"):
            machine = self.random.choice(allowed)
            others = [ip for ip in self.machines if ip != machine.ip]
            links = {(machine.ip, ip) for ip in others}
            if kind == "cut":
                links |= {(ip, machine.ip) for ip in others}
            self.cut |= links
            self.at(self.random.uniform(500.0, 5000.0), lambda: self.heal(machine))
        elif kind == "lossy":
            self.loss = 0.15
            self.at(1500.0, lambda: setattr(self, "loss", 0.0))
        else:
            self.crash_odds = 0.05
            self.at(1500.0, lambda: setattr(self, "crash_odds", 0.0))

    def heal(self, machine: Machine) -> None:
        """End a cut."""
        self.cut.clear()
        machine.back_at = self.now

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def play(self, length_ms: float, write_ms: float = 250.0) -> None:
        """Play one run whole, and check its end."""
        at = 500.0
        while at < length_ms:
            self.at(at, self.write)
            self.at(at + self.random.uniform(0.0, write_ms), self.ask)
            at += self.random.expovariate(1.0 / write_ms)
        at = self.random.uniform(800.0, 3000.0)
        while at < length_ms:
            self.at(at, self.trouble)
            at += self.random.uniform(300.0, 6000.0)
        self.run(length_ms)
        self.cut.clear()
        self.loss = self.crash_odds = 0.0
        for machine in self.machines.values():
            self.revive(machine)
        self.run(length_ms + SETTLE_MS)
        self.read()

    def read(self) -> None:
        """Read at the end, as an operator would."""
        for _ in range(3):
            for machine in self.machines.values():
                chain = machine.chain
                if chain is None or chain.head != machine.ip or not chain.member:
                    continue
                ticket = next(self.number)
                self.step(machine, partial(chain.enter, self.now, ticket, Hold()))
                self.run(self.now + 1000.0)
                if self.answers.get((machine.ip, ticket)):
                    if chain.safe.version < self.acked:
                        self.fail(f"read {chain.safe.version}, but {self.acked} was acknowledged")
                    if chain.safe.version and chain.safe.document != self.documents[chain.safe.version]:
                        self.fail("what was read is not what was sent under its number")
                    return
            self.run(self.now + 2000.0)
        self.fail("nobody answers a read once all is well")
