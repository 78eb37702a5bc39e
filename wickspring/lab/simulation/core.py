"""The core machines in virtual time: their real transitions under loss, cuts, kills and wiped disks.

One run is one seed. Messages are lost, doubled, late and out of order; a machine ends before its save, or
after the save and before its messages leave; machines are stopped and woken, and their steady clocks differ
in speed; disks are lost, as many at once as a deployment says that it bears. What befalls them is drawn by
`keel_faults`; what operators send, and what must hold of their answers and of all copies, is `keel_orders`.
Checked here all along: what a machine knows to be safe never goes back; a started machine calls nothing safe
before it has heard another; leases of two views are never usable at once. Checked at the end, once all is
well again: the core answers, with the newest that was acknowledged, and all copies are one.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any

import msgpack

from wickspring.controlplane.replication import messages
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import MAX_CLOCK_DRIFT, Lease, granted_epoch
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import FaultTolerance, Member, PeerObservation, View
from wickspring.lab.simulation.core_operators import Ledger, Operators

TICK_MS = 200.0
SILENT_MS = 750.0
ENTER_MS = 850.0  # that the machine where an order came in waits for its answer
ANSWER_MS = 9000.0  # within which the core answers again, whatever befell it
SETTLE_MS = 9000.0  # until all copies are one, once all is well
POLL_MS = 250.0
DELAY_MS = (0.2, 30.0)
FIRST_DISK = "first"


class InvariantBrokenError(AssertionError):
    """An invariant did not hold; the message says which, with the seed."""


@dataclass(slots=True)
class SimulatedNode:
    """One core machine: what its disk holds, and its process while it runs."""

    ip: str
    zone: str
    disk: dict[str, Any] | None = None
    replica: Replica = field(default_factory=Replica)
    chain: ReplicationChain | None = None
    life: int = 0
    lives: int = 0  # disks that it has had
    knows: set[str] = field(default_factory=set)  # the addresses of other core machines
    heard: dict[str, tuple[float, PeerObservation]] = field(default_factory=dict)
    spoken_to: bool = False  # by another machine's chain, in this life
    committed: tuple[int, int, bytes] = (0, 0, b"")  # epoch, number, digest that it has called safe last
    back_at: float = 0.0
    leaving: bool = False
    lease: Lease = field(default_factory=Lease)
    speed: float = 1.0  # of its steady clock
    stopped_until: float = 0.0  # it is there, and does nothing
    received: int = 0  # bytes of the chain's messages
    save_crash: float = 0.0  # odds that its process ends beside its next save

    def clock(self, now: float) -> float:
        """Return what its steady clock shows."""
        return now * self.speed

    @property
    def member(self) -> Member | None:
        """Return its address with the id of its disk, if it has one."""
        return None if self.disk is None else Member(self.ip, self.disk["disk"])


@dataclass(slots=True)
class PendingUpdate:
    """An order that came in at a machine, on its way to the head and back."""

    order: Update
    origin: str
    acked: int  # the newest that was acknowledged when it was sent
    answer: Callable[[CommitOutcome], None]


class SimulatedCore:
    """All core machines of one run."""

    crash_odds = 0.0
    over = False  # nothing more befalls them

    def __init__(
        self,
        seed: int,
        machines: int = 4,
        seeds: int = 3,
        chain: type[ReplicationChain] = ReplicationChain,
        lease: type[Lease] = Lease,
        zones: int = 0,
        tolerance: FaultTolerance | None = None,
    ) -> None:
        self.seed, self.random, self.make, self.lease = seed, Random(seed), chain, lease
        self.tolerance = tolerance or FaultTolerance()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.turns = count()
        self.zones = zones or machines
        ips = [f"m{n}" for n in range(machines)]
        self.machines = {ip: SimulatedNode(ip, f"z{n % self.zones}") for n, ip in enumerate(ips)}
        self.names = count(machines)
        self.first = tuple(Member(ip, FIRST_DISK) for ip in ips[:seeds])
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.ambush: tuple[str, Callable[[], None]] | None = None  # what happens at a message of that name
        self.number = count(1)
        self.asked: dict[int, PendingUpdate] = {}
        self.ledger = Ledger(self.fail)
        self.operators = Operators(self.random, self.send_order)
        self.usable = self.reads = self.views = 0
        for machine in self.machines.values():
            self.start(machine, first=True)

    def fail(self, what: str) -> None:
        """Say what did not hold."""
        raise InvariantBrokenError(f"seed {self.seed} at {self.now:.0f} ms: {what}")

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Have something done after so many ms."""
        heapq.heappush(self.queue, (self.now + delay, next(self.turns), action))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    # Machines.

    def start(self, machine: SimulatedNode, first: bool = False) -> None:
        """Start a machine's process from what its disk holds."""
        machine.life += 1
        life, seed = machine.life, self.random.getrandbits(32)
        replica, view, disk = machine.replica.copy(), View(), FIRST_DISK
        if machine.disk is not None:
            disk = machine.disk["disk"]
        elif not first:
            machine.lives += 1
            disk = f"{machine.ip}.{machine.lives}"
        elif self.first:
            view = View(1, self.first, self.first)
        me = Member(machine.ip, disk)
        chain = self.make(me, view, seed, replica, self.tolerance, zone=machine.zone)
        if machine.disk is not None:
            chain.restore(machine.disk)
        chain.dirty = True
        chain.stopping = machine.leaving
        machine.chain, machine.back_at, machine.lease = chain, self.now, self.lease()
        machine.spoken_to, machine.committed = False, (0, 0, b"")
        machine.knows = set(self.machines) - {machine.ip}  # the seeds of its settings
        machine.speed = self.random.uniform(1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2)
        self.step(machine, lambda: chain.start(self.now))
        self.at(self.random.uniform(1.0, TICK_MS), lambda: self.tick(machine, life))

    def stop(self, machine: SimulatedNode, wipe: bool = False) -> None:
        """End a machine's process at once."""
        machine.chain = None
        machine.heard = {}
        machine.stopped_until = 0.0
        machine.life += 1
        if wipe:
            machine.disk, machine.replica = None, Replica()

    def revive(self, machine: SimulatedNode) -> None:
        """Start a machine that is down, if it is still one of them."""
        if machine.chain is None and self.machines.get(machine.ip) is machine:
            self.start(machine)

    def crashes(self, machine: SimulatedNode) -> bool:
        """Tell whether a machine's process ends just here; it then comes back."""
        odds = max(self.crash_odds, machine.save_crash)
        if not odds or self.random.random() >= odds:
            return False
        machine.save_crash = 0.0
        self.stop(machine)
        self.at(self.random.uniform(100.0, 2500.0), lambda: self.revive(machine))
        return True

    def step(self, machine: SimulatedNode, event: Callable[[], None]) -> None:
        """Let a machine take one event, save, and only then speak; it may end in between."""
        chain = machine.chain
        if chain is None:
            return
        event()
        effects = chain.take_effects()
        if chain.dirty:
            if self.crashes(machine):
                return
            chain.dirty = False
            machine.disk = _frozen({**chain.durable(), "disk": chain.me.disk_id})
            machine.replica = chain.replica.copy()
            self.ledger.saved(chain.me, machine.replica)
            if self.crashes(machine):
                return
        self.look(machine, chain, effects.newly_committed)
        if machine.lease.install(machine.clock(self.now), chain.view):
            self.duties()
        for ticket, verdict in effects.outcomes:
            self.answered(machine, chain, ticket, verdict)
        if effects.outcomes and self.crashes(machine):
            return
        for ip, message in effects.messages:
            self.send(machine.ip, ip, message.encode())

    def look(self, machine: SimulatedNode, chain: ReplicationChain, handed_out: bool) -> None:
        """Check what must hold of one machine after each event."""
        if chain.view.epoch and chain.view.epoch not in self.ledger.views:
            self.views += 1
        self.ledger.viewed(machine.ip, chain.view)
        safe = chain.committed.config
        if chain.replica.config.rank < safe.rank:
            self.fail(f"{machine.ip} calls safe what it does not hold")
        now = safe.epoch, safe.version, safe.digest
        if handed_out and not machine.spoken_to and len(chain.view.chain) > 1:
            self.fail(f"{machine.ip} hands out r{safe.version} before it has heard another")
        if now != machine.committed:
            _, version, digest = machine.committed
            if safe.version < version or (safe.version == version and version and safe.digest != digest):
                self.fail(f"{machine.ip} called r{version} safe, and now {now}")
            self.ledger.called_safe(machine.ip, safe)
            machine.committed = now

    def duties(self) -> None:
        """Check that nobody may do what another, of another view, may do as well."""
        epochs = set()
        for one in self.machines.values():
            if one.chain is None or one.stopped_until > self.now:
                continue
            if one.lease.is_usable(one.clock(self.now), one.chain):
                epochs.add(one.lease.epoch)
                self.usable += 1
        if len(epochs) > 1:
            self.fail(f"leases of epochs {sorted(epochs)} are usable at once")

    def tick(self, machine: SimulatedNode, life: int) -> None:
        """Have a machine look round, and be heard."""
        chain = machine.chain
        if machine.life != life or chain is None:
            return
        if machine.stopped_until > self.now:
            self.at(machine.stopped_until - self.now, lambda: self.tick(machine, life))
            return
        self.at(TICK_MS * self.random.uniform(0.85, 1.15), lambda: self.tick(machine, life))
        heard = {ip: self.now - at < SILENT_MS for ip, (at, _) in machine.heard.items()}
        told = PeerObservation(
            reachable=True,
            disk_id=chain.me.disk_id,
            unhealthy=chain.stopping or chain.disk_slow,
            zone=machine.zone,
            epoch=chain.view.epoch,
            committed_epoch=chain.committed.config.epoch,
            committed_version=chain.committed.config.version,
            departure_count=len(chain.committed.departures),
            departures_checksum=chain.committed.departures_checksum,
            identity=chain.replica.config.identity,
            reachable_peers=frozenset(ip for ip, live in heard.items() if live),
        )
        for ip in sorted(machine.knows):
            if ip in self.machines and (ip, machine.ip) not in self.cut:
                self.send(machine.ip, ip, ["status", told, machine.clock(self.now), set(machine.knows)])
        reach = {ip: replace(one, reachable=heard[ip]) for ip, (_, one) in machine.heard.items()}
        self.step(machine, lambda: chain.tick(self.now, reach))

    def send(self, sender: str, to: str, message: list[Any]) -> None:
        """Carry a message, unless a cut or chance takes it; sometimes twice."""
        if self.ambush is not None and message[0] == self.ambush[0]:
            (_, action), self.ambush = self.ambush, None
            self.at(self.random.choice((0.0, 0.1, 5.0, 20.0)), action)
        if (sender, to) in self.cut or to not in self.machines or self.random.random() < self.loss:
            return
        packed = b"" if message[0] == "status" else msgpack.packb(message)
        machine = self.machines[to]
        life = machine.life

        def arrive() -> None:
            if machine.life != life or machine.chain is None or (sender, to) in self.cut:
                return
            if machine.stopped_until > self.now:
                self.at(machine.stopped_until - self.now, arrive)
            elif not packed:
                self.hear(machine, sender, message)
            else:
                self.take(machine, sender, msgpack.unpackb(packed, strict_map_key=False), len(packed))

        for _ in range(1 + (self.random.random() < self.loss)):
            self.at(self.random.uniform(*DELAY_MS), arrive)

    def hear(self, machine: SimulatedNode, sender: str, message: list[Any]) -> None:
        """Take what another machine says of itself; the answer grants it a lease."""
        chain = machine.chain
        assert chain is not None
        machine.heard[sender] = self.now, message[1]
        machine.knows |= {sender, *message[3]} - {machine.ip}
        self.send(machine.ip, sender, ["tock", chain.me.disk_id, message[2], granted_epoch(chain)])

    def take(self, machine: SimulatedNode, sender: str, message: list[Any], size: int) -> None:
        """Take a message of another machine."""
        chain, name = machine.chain, message[0]
        assert chain is not None
        if name == "tock":
            machine.lease.on_grant(Member(sender, str(message[1])), float(message[2]), int(message[3]))
            self.duties()
        elif name == "enter":
            self.enter(machine, int(message[1]), Update.unpack(message[2]))
        elif name == "entered":
            self.heard(int(message[1]), CommitOutcome(message[2]))
        else:
            machine.spoken_to = True
            machine.received += size
            decoded = messages.decode(message)
            assert decoded is not None
            self.step(machine, lambda: chain.receive(self.now, sender, decoded))

    # Orders: they come in at any machine, which sends them on to the head that it knows.

    def send_order(self, ip: str, order: Update, answer: Callable[[CommitOutcome], None]) -> None:
        """Send an order to a machine; `answer` is called if an answer comes back in time."""
        machine = self.machines.get(ip)
        chain = machine.chain if machine is not None else None
        if machine is None or chain is None or machine.stopped_until > self.now:
            return
        ticket = next(self.number)
        self.asked[ticket] = PendingUpdate(order, ip, self.ledger.acked, answer)
        self.at(ENTER_MS, lambda: self.forget(ticket))
        if chain.head == ip:
            self.enter(machine, ticket, order)
        elif chain.head:
            self.send(ip, chain.head, ["enter", ticket, order.pack()])

    def forget(self, ticket: int) -> None:
        """An answer comes too late; the head goes on with the order where it is another machine."""
        asked = self.asked.get(ticket)
        if asked is not None:
            asked.answer = _nobody
            chain = self.machines[asked.origin].chain if asked.origin in self.machines else None
            if chain is not None:
                chain.cancel(ticket)

    def enter(self, machine: SimulatedNode, ticket: int, order: Update) -> None:
        """An order reaches the machine that is thought to be the head."""
        chain = machine.chain
        if chain is not None:
            self.step(machine, lambda: chain.submit(self.now, ticket, order))

    def answered(
        self, machine: SimulatedNode, chain: ReplicationChain, ticket: int, verdict: CommitOutcome
    ) -> None:
        """A head answers: check it, and send the answer back to where the order came in."""
        asked = self.asked.get(ticket)
        if asked is None:
            return
        disks = {one.member: one.replica for one in self.machines.values() if one.member is not None}
        self.ledger.answered(machine.ip, asked.order, verdict, chain.committed.config, chain.view, disks)
        if verdict == CommitOutcome.COMMITTED and not asked.order.version and not asked.order.departures:
            self.reads += 1
            self.ledger.read(machine.ip, chain.committed, asked.acked)
        if self.ambush is not None and self.ambush[0] == "ack" and verdict == CommitOutcome.COMMITTED:
            (_, action), self.ambush = self.ambush, None
            self.at(0.0, action)
        if asked.origin == machine.ip:
            self.heard(ticket, verdict)
        else:
            self.send(machine.ip, asked.origin, ["entered", ticket, int(verdict)])

    def heard(self, ticket: int, verdict: CommitOutcome) -> None:
        """Whoever sent an order hears its answer."""
        asked = self.asked.pop(ticket, None)
        if asked is not None:
            asked.answer(verdict)

    # Asking whether it goes on.

    def answers_within(self, bound_ms: float) -> float:
        """Read at each machine again and again until one answers; return after how long."""
        begun = self.now
        answered: list[CommitOutcome] = []
        while CommitOutcome.COMMITTED not in answered:
            if self.now - begun >= bound_ms:
                known = {ip: (one.chain.view if one.chain else None) for ip, one in self.machines.items()}
                self.fail(f"no read was answered in {bound_ms:.0f} ms; views {known}")
            for ip in list(self.machines):
                self.send_order(ip, Update(), answered.append)
            self.run(self.now + POLL_MS)
        return self.now - begun

    def ends_well(self) -> None:
        """End all that is wrong; check that the core answers, and that all copies become one."""
        self.over = True
        self.cut.clear()
        self.ambush = None
        self.loss = self.crash_odds = 0.0
        for machine in list(self.machines.values()):
            machine.save_crash, machine.stopped_until = 0.0, min(machine.stopped_until, self.now)
            self.revive(machine)
            if machine.chain is not None:
                machine.chain.disk_slow = False
        began = self.now
        self.answers_within(ANSWER_MS)
        self.run(max(self.now, began + SETTLE_MS))
        self.answers_within(1000.0)
        self.ledger.ends({ip: one.replica for ip, one in self.machines.items()})
        self.ledger.ends(
            {ip: one.chain.committed for ip, one in self.machines.items() if one.chain is not None}
        )

    def orders(self, until: float, every_ms: float = 250.0) -> None:
        """Have operators send orders, and others read, until then."""
        at = 0.0
        while self.now + at < until:
            self.at(at, lambda: self.operators.some(list(self.machines)))
            self.at(at + self.random.uniform(0.0, every_ms), self.ask)
            at += self.random.expovariate(1.0 / every_ms)

    def ask(self) -> None:
        """Read at a machine that takes itself for the head."""
        for machine in list(self.machines.values()):
            chain = machine.chain
            if chain is not None and chain.is_member and chain.head == machine.ip:
                self.send_order(machine.ip, Update(), _nobody)


def _nobody(verdict: CommitOutcome) -> None:
    """Nobody waits for this answer."""


def _frozen(told: dict[str, Any]) -> dict[str, Any]:
    """Return what a file gives back of it."""
    frozen: dict[str, Any] = msgpack.unpackb(msgpack.packb(told), strict_map_key=False)
    return frozen
