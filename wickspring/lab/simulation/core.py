"""The replication group of the control plane in virtual time, under lost messages, partitions and crashes.

A deterministic simulation of the real state machines: one run is one seed. Messages are lost, duplicated,
late and out of order; a node ends before its save, or after the save and before its messages are sent; nodes
are suspended and resumed, and their monotonic clocks differ in speed; disks are lost, as many at once as a
deployment tolerates. Faults are drawn in `lab.faults.core_faults`; what operators send, and what must hold of
the answers and of all replicas, is in `core_operators` and `core_ledger`.

Checked all along: what a node knows to be committed never goes back; a started node considers nothing
committed before it has received a message of another; leases of two views are never usable at once. Checked
at the end, once all faults are over: the group answers, with the newest that was acknowledged, and all
replicas are equal.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

import msgpack

from wickspring.controlplane.replication import messages
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import MAX_CLOCK_DRIFT, Lease, granted_epoch
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import FaultTolerance, Member, PeerObservation, View
from wickspring.lab.simulation.core_ledger import Ledger
from wickspring.lab.simulation.core_node import PendingUpdate, SimulatedNode
from wickspring.lab.simulation.core_operators import Operators
from wickspring.lab.simulation.core_time import SeededRun

TICK_MS = 200.0
REACHABLE_MS = 750.0
UPDATE_TIMEOUT_MS = 850.0  # that the node that took an update waits for its outcome
ANSWER_MS = 9000.0  # within which the group answers again, whatever the faults
CONVERGENCE_MS = 9000.0  # until all replicas are equal, once all faults are over
POLL_MS = 250.0
DELAY_MS = (0.2, 30.0)
FIRST_DISK = "first"


class SimulatedCore(SeededRun):
    """All control-plane nodes of one run, and the network between them."""

    crash_odds = 0.0
    finished = False  # no more faults

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
        super().__init__(seed)
        self.chain_type = chain
        self.lease_type = lease
        self.tolerance = tolerance or FaultTolerance()
        self.zones = zones or machines
        ips = [f"m{n}" for n in range(machines)]
        self.nodes = {ip: SimulatedNode(ip, f"z{n % self.zones}") for n, ip in enumerate(ips)}
        self.node_numbers = count(machines)  # of nodes that are added
        self.first = tuple(Member(ip, FIRST_DISK) for ip in ips[:seeds])
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        # An action that is done when a message of this kind is sent.
        self.fault_trigger: tuple[str, Callable[[], None]] | None = None
        self.tickets = count(1)
        self.asked: dict[int, PendingUpdate] = {}
        self.ledger = Ledger(self.fail)
        self.operators = Operators(self.random, self.send_update)
        self.usable = 0  # how often a lease was found usable
        self.reads = 0
        self.views = 0
        for node in self.nodes.values():
            self.start(node, first=True)

    # Nodes.

    def start(self, node: SimulatedNode, first: bool = False) -> None:
        """Start a node's process from what its disk stores."""
        node.life += 1
        life, seed = node.life, self.random.getrandbits(32)
        replica, view, disk = node.replica.copy(), View(), FIRST_DISK
        if node.disk is not None:
            disk = node.disk["disk"]
        elif not first:
            node.disk_count += 1
            disk = f"{node.ip}.{node.disk_count}"
        elif self.first:
            view = View(1, self.first, self.first)
        me = Member(node.ip, disk)
        chain = self.chain_type(me, view, seed, replica, self.tolerance, zone=node.zone)
        if node.disk is not None:
            chain.restore(node.disk)
        chain.dirty = True
        chain.stopping = node.stopping
        node.chain = chain
        node.available_at = self.now
        node.lease = self.lease_type()
        node.has_received = False
        node.committed = (0, 0, b"")
        node.known_addresses = set(self.nodes) - {node.ip}  # the seeds of its settings
        node.clock_rate = self.random.uniform(1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2)
        self.step(node, lambda: chain.start(self.now))
        self.schedule(self.random.uniform(1.0, TICK_MS), lambda: self.tick(node, life))

    def stop(self, node: SimulatedNode, wipe: bool = False) -> None:
        """End a node's process at once."""
        node.chain = None
        node.observations = {}
        node.stopped_until = 0.0
        node.life += 1
        if wipe:
            node.disk, node.replica = None, Replica()

    def revive(self, node: SimulatedNode) -> None:
        """Start a node that is down, if it is still one of them."""
        if node.chain is None and self.nodes.get(node.ip) is node:
            self.start(node)

    def crashes(self, node: SimulatedNode) -> bool:
        """Tell whether a node's process ends just here; it is started again later."""
        odds = max(self.crash_odds, node.save_crash)
        if not odds or self.random.random() >= odds:
            return False
        node.save_crash = 0.0
        self.stop(node)
        self.schedule(self.random.uniform(100.0, 2500.0), lambda: self.revive(node))
        return True

    def step(self, node: SimulatedNode, event: Callable[[], None]) -> None:
        """Let a node handle one event, save, and only then send; it may end in between."""
        chain = node.chain
        if chain is None:
            return
        event()
        effects = chain.take_effects()
        if chain.dirty:
            if self.crashes(node):
                return
            chain.dirty = False
            node.disk = _as_read_back({**chain.durable(), "disk": chain.me.disk_id})
            node.replica = chain.replica.copy()
            self.ledger.on_saved(chain.me, node.replica)
            if self.crashes(node):
                return
        self.check_node(node, chain, effects.newly_committed)
        if node.lease.install(node.clock(self.now), chain.view):
            self.check_leases()
        for ticket, outcome in effects.outcomes:
            self.on_head_outcome(node, chain, ticket, outcome)
        if effects.outcomes and self.crashes(node):
            return
        for ip, message in effects.messages:
            self.send(node.ip, ip, message.encode())

    def check_node(self, node: SimulatedNode, chain: ReplicationChain, handed_out: bool) -> None:
        """Check what must hold of one node after each event."""
        if chain.view.epoch and chain.view.epoch not in self.ledger.views:
            self.views += 1
        self.ledger.on_view(node.ip, chain.view)
        safe = chain.committed.config
        if chain.replica.config.rank < safe.rank:
            self.fail(f"{node.ip} calls safe what it does not hold")
        now = safe.epoch, safe.version, safe.digest
        if handed_out and not node.has_received and len(chain.view.chain) > 1:
            self.fail(f"{node.ip} hands out r{safe.version} before it has heard another")
        if now != node.committed:
            _, version, digest = node.committed
            if safe.version < version or (safe.version == version and version and safe.digest != digest):
                self.fail(f"{node.ip} called r{version} safe, and now {now}")
            self.ledger.on_committed(node.ip, safe)
            node.committed = now

    def check_leases(self) -> None:
        """Check that leases of two views are not usable at once."""
        epochs = set()
        for one in self.nodes.values():
            if one.chain is None or one.stopped_until > self.now:
                continue
            if one.lease.is_usable(one.clock(self.now), one.chain):
                epochs.add(one.lease.epoch)
                self.usable += 1
        if len(epochs) > 1:
            self.fail(f"leases of epochs {sorted(epochs)} are usable at once")

    def tick(self, node: SimulatedNode, life: int) -> None:
        """Have a node send its status and observe the others."""
        chain = node.chain
        if node.life != life or chain is None:
            return
        if node.stopped_until > self.now:
            self.schedule(node.stopped_until - self.now, lambda: self.tick(node, life))
            return
        self.schedule(TICK_MS * self.random.uniform(0.85, 1.15), lambda: self.tick(node, life))
        reachable = {ip: self.now - at < REACHABLE_MS for ip, (at, _) in node.observations.items()}
        status = PeerObservation(
            reachable=True,
            disk_id=chain.me.disk_id,
            unhealthy=chain.stopping or chain.disk_slow,
            zone=node.zone,
            epoch=chain.view.epoch,
            committed_epoch=chain.committed.config.epoch,
            committed_version=chain.committed.config.version,
            departure_count=len(chain.committed.departures),
            departures_checksum=chain.committed.departures_checksum,
            identity=chain.replica.config.identity,
            reachable_peers=frozenset(ip for ip, is_reachable in reachable.items() if is_reachable),
        )
        for ip in sorted(node.known_addresses):
            if ip in self.nodes and (ip, node.ip) not in self.cut:
                self.send(node.ip, ip, ["status", status, node.clock(self.now), set(node.known_addresses)])
        peers = {ip: replace(one, reachable=reachable[ip]) for ip, (_, one) in node.observations.items()}
        self.step(node, lambda: chain.tick(self.now, peers))

    def send(self, sender: str, to: str, message: list[Any]) -> None:
        """Deliver a message, unless a cut or a loss drops it; sometimes twice."""
        if self.fault_trigger is not None and message[0] == self.fault_trigger[0]:
            (_, action), self.fault_trigger = self.fault_trigger, None
            self.schedule(self.random.choice((0.0, 0.1, 5.0, 20.0)), action)
        if (sender, to) in self.cut or to not in self.nodes or self.random.random() < self.loss:
            return
        packed = b"" if message[0] == "status" else msgpack.packb(message)
        node = self.nodes[to]
        life = node.life

        def arrive() -> None:
            if node.life != life or node.chain is None or (sender, to) in self.cut:
                return
            if node.stopped_until > self.now:
                self.schedule(node.stopped_until - self.now, arrive)
            elif not packed:
                self.on_status(node, sender, message)
            else:
                self.on_message(node, sender, msgpack.unpackb(packed, strict_map_key=False), len(packed))

        for _ in range(1 + (self.random.random() < self.loss)):
            self.schedule(self.random.uniform(*DELAY_MS), arrive)

    def on_status(self, node: SimulatedNode, sender: str, message: list[Any]) -> None:
        """Record another node's status; the answer grants it a lease."""
        chain = node.chain
        assert chain is not None
        node.observations[sender] = self.now, message[1]
        node.known_addresses |= {sender, *message[3]} - {node.ip}
        self.send(node.ip, sender, ["tock", chain.me.disk_id, message[2], granted_epoch(chain)])

    def on_message(self, node: SimulatedNode, sender: str, message: list[Any], size: int) -> None:
        """Handle a message of another node."""
        chain, name = node.chain, message[0]
        assert chain is not None
        if name == "tock":
            node.lease.on_grant(Member(sender, str(message[1])), float(message[2]), int(message[3]))
            self.check_leases()
        elif name == "enter":
            self.submit(node, int(message[1]), Update.unpack(message[2]))
        elif name == "entered":
            self.on_outcome(int(message[1]), CommitOutcome(message[2]))
        else:
            node.has_received = True
            node.received += size
            decoded = messages.decode(message)
            assert decoded is not None
            self.step(node, lambda: chain.receive(self.now, sender, decoded))

    # Updates: any node takes them, and forwards them to the head that it knows.

    def send_update(self, ip: str, update: Update, answer: Callable[[CommitOutcome], None]) -> None:
        """Send an update to a node; `answer` is called if an outcome comes back in time."""
        node = self.nodes.get(ip)
        chain = node.chain if node is not None else None
        if node is None or chain is None or node.stopped_until > self.now:
            return
        ticket = next(self.tickets)
        self.asked[ticket] = PendingUpdate(update, ip, self.ledger.highest_acknowledged, answer)
        self.schedule(UPDATE_TIMEOUT_MS, lambda: self.forget(ticket))
        if chain.head == ip:
            self.submit(node, ticket, update)
        elif chain.head:
            self.send(ip, chain.head, ["enter", ticket, update.pack()])

    def forget(self, ticket: int) -> None:
        """Give up waiting for an outcome; the head goes on with the update where it is another node."""
        asked = self.asked.get(ticket)
        if asked is not None:
            asked.answer = _nobody
            chain = self.nodes[asked.origin].chain if asked.origin in self.nodes else None
            if chain is not None:
                chain.cancel(ticket)

    def submit(self, node: SimulatedNode, ticket: int, update: Update) -> None:
        """Submit an update at the node that is taken for the head."""
        chain = node.chain
        if chain is not None:
            self.step(node, lambda: chain.submit(self.now, ticket, update))

    def on_head_outcome(
        self, node: SimulatedNode, chain: ReplicationChain, ticket: int, outcome: CommitOutcome
    ) -> None:
        """Check a head's outcome, and send it back to the node that took the update."""
        asked = self.asked.get(ticket)
        if asked is None:
            return
        disks = {one.member: one.replica for one in self.nodes.values() if one.member is not None}
        self.ledger.answered(node.ip, asked.update, outcome, chain.committed.config, chain.view, disks)
        if outcome == CommitOutcome.COMMITTED and not asked.update.version and not asked.update.departures:
            self.reads += 1
            self.ledger.read(node.ip, chain.committed, asked.acked)
        if (
            self.fault_trigger is not None
            and self.fault_trigger[0] == "ack"
            and outcome == CommitOutcome.COMMITTED
        ):
            (_, action), self.fault_trigger = self.fault_trigger, None
            self.schedule(0.0, action)
        if asked.origin == node.ip:
            self.on_outcome(ticket, outcome)
        else:
            self.send(node.ip, asked.origin, ["entered", ticket, int(outcome)])

    def on_outcome(self, ticket: int, outcome: CommitOutcome) -> None:
        """Give an outcome to whoever sent the update."""
        asked = self.asked.pop(ticket, None)
        if asked is not None:
            asked.answer(outcome)

    # Availability.

    def answers_within(self, bound_ms: float) -> float:
        """Read at each node again and again until one answers; return after how many ms."""
        begun = self.now
        answered: list[CommitOutcome] = []
        while CommitOutcome.COMMITTED not in answered:
            if self.now - begun >= bound_ms:
                known = {ip: (one.chain.view if one.chain else None) for ip, one in self.nodes.items()}
                self.fail(f"no read was answered in {bound_ms:.0f} ms; views {known}")
            for ip in list(self.nodes):
                self.send_update(ip, Update(), answered.append)
            self.run(self.now + POLL_MS)
        return self.now - begun

    def check_recovery(self) -> None:
        """End all faults; check that the group answers, and that all replicas become equal."""
        self.finished = True
        self.cut.clear()
        self.fault_trigger = None
        self.loss = self.crash_odds = 0.0
        for node in list(self.nodes.values()):
            node.save_crash, node.stopped_until = 0.0, min(node.stopped_until, self.now)
            self.revive(node)
            if node.chain is not None:
                node.chain.disk_slow = False
        began = self.now
        self.answers_within(ANSWER_MS)
        self.run(max(self.now, began + CONVERGENCE_MS))
        self.answers_within(1000.0)
        self.ledger.check_final_state({ip: one.replica for ip, one in self.nodes.items()})
        self.ledger.check_final_state(
            {ip: one.chain.committed for ip, one in self.nodes.items() if one.chain is not None}
        )

    def schedule_updates(self, until: float, every_ms: float = 250.0) -> None:
        """Have operators send updates, and others read, until then."""
        at = 0.0
        while self.now + at < until:
            self.schedule(at, lambda: self.operators.send_some(list(self.nodes)))
            self.schedule(at + self.random.uniform(0.0, every_ms), self.read_at_heads)
            at += self.random.expovariate(1.0 / every_ms)

    def read_at_heads(self) -> None:
        """Read at each node that takes itself for the head."""
        for node in list(self.nodes.values()):
            chain = node.chain
            if chain is not None and chain.is_member and chain.head == node.ip:
                self.send_update(node.ip, Update(), _nobody)


def _nobody(outcome: CommitOutcome) -> None:
    """Ignore an outcome."""


def _as_read_back(told: dict[str, Any]) -> dict[str, Any]:
    """Return a durable state as it is read back from a file."""
    frozen: dict[str, Any] = msgpack.unpackb(msgpack.packb(told), strict_map_key=False)
    return frozen
