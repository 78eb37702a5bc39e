"""The replication group of the control plane in virtual time, under lost messages, partitions and crashes.

A deterministic simulation of the real state machines: one run is one seed. Messages are lost, duplicated,
late and out of order; a node ends before its save, or after the save and before its messages are sent; nodes
are suspended and resumed, and their monotonic clocks differ in speed; disks are lost, as many at once as a
deployment tolerates. Faults are drawn in `lab.faults`. What operators send is in `operators`, how it reaches
the head in `update_forwarding`, and what must hold of the answers and of all replicas in `invariant_checker`.

Checked after every event: what a node considers committed never goes back; a started node considers nothing
committed before it has received a message of another; leases of two views are never usable at once. Checked
at the end, once all faults are over: the group answers, with the newest configuration that was acknowledged,
and all replicas are equal.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from itertools import count

import msgpack

from wickspring.common.config_version import is_newer, version_label
from wickspring.controlplane.replication import messages as chain_messages
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import MAX_CLOCK_DRIFT, Lease, granted_epoch
from wickspring.controlplane.replication.packing import PackedState
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import FaultTolerance, Member, PeerObservation, View
from wickspring.lab.simulation.replication.invariant_checker import InvariantChecker
from wickspring.lab.simulation.replication.messages import (
    LeaseGrant,
    NodeStatus,
    SimulatedMessage,
    SubmitUpdate,
    UpdateOutcome,
)
from wickspring.lab.simulation.replication.network import Datagram, SimulatedNetwork
from wickspring.lab.simulation.replication.node import SavedState, SimulatedNode
from wickspring.lab.simulation.replication.operators import Operators
from wickspring.lab.simulation.replication.seeded_run import SeededRun
from wickspring.lab.simulation.replication.update_forwarding import UpdateForwarding, ignore_outcome

TICK_MS = 200.0  # between the statuses that a node sends
REACHABLE_MS = 750.0  # for which a node counts as reachable after a status from it
ANSWER_MS = 9000.0  # within which the group answers again, whatever the faults
CONVERGENCE_MS = 9000.0  # until all replicas are equal, once all faults are over
POLL_MS = 250.0
RESTART_MS = (100.0, 2500.0)  # from a crash to the start of the next process
FIRST_DISK = "first"


class SimulatedGroup(SeededRun):
    """All control-plane nodes of one run, and the network between them."""

    lease_type: type[Lease] = Lease
    crash_odds = 0.0  # probability that a process ends at a save
    finished = False  # no more faults

    def __init__(
        self,
        seed: int,
        machines: int = 4,
        seeds: int = 3,
        chain: type[ReplicationChain] = ReplicationChain,
        zones: int = 0,
        tolerance: FaultTolerance | None = None,
    ) -> None:
        super().__init__(seed)
        self.chain_type = chain
        self.tolerance = tolerance or FaultTolerance()
        self.zones = zones or machines
        ips = [f"m{n}" for n in range(machines)]
        self.nodes = {ip: SimulatedNode(ip, f"z{n % self.zones}") for n, ip in enumerate(ips)}
        self.node_numbers = count(machines)  # of nodes that are added
        self.first = tuple(Member(ip, FIRST_DISK) for ip in ips[:seeds])
        self.network = SimulatedNetwork(self, self.nodes, self.deliver)
        self.checker = InvariantChecker(self.fail)
        self.updates = UpdateForwarding(self)
        self.operators = Operators(self.random, self.send_update)
        self.usable_leases = 0  # how often a lease was found usable
        for node in self.nodes.values():
            self.start(node, first=True)

    # Nodes.

    def start(self, node: SimulatedNode, first: bool = False) -> None:
        """Start a node's process from what its disk stores."""
        node.incarnation += 1
        incarnation, seed = node.incarnation, self.random.getrandbits(32)
        chain = self._new_chain(node, seed, first)
        node.chain = chain
        node.available_at = self.now
        node.lease = self.lease_type()
        node.has_received = False
        node.committed = (0, None, b"")
        node.known_addresses = set(self.nodes) - {node.ip}  # the seeds of its settings
        node.clock_rate = self.random.uniform(1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2)
        self.step(node, lambda: chain.start(self.now))
        self.schedule(self.random.uniform(1.0, TICK_MS), lambda: self.tick(node, incarnation))

    def _new_chain(self, node: SimulatedNode, seed: int, first: bool) -> ReplicationChain:
        """Return the chain of a node's next process, restored from its disk."""
        view, disk_id = View(), FIRST_DISK
        if node.disk is not None:
            disk_id = node.disk.disk_id
        elif not first:
            node.disk_count += 1
            disk_id = f"{node.ip}.{node.disk_count}"
        elif self.first:
            view = View(1, self.first, self.first)
        member = Member(node.ip, disk_id)
        chain = self.chain_type(member, view, seed, node.replica.copy(), self.tolerance, zone=node.zone)
        if node.disk is not None:
            chain.restore(node.disk.durable)
        chain.dirty = True
        chain.stopping = node.stopping
        return chain

    def stop(self, node: SimulatedNode, wipe: bool = False) -> None:
        """End a node's process at once; `wipe`: its disk is lost too."""
        node.chain = None
        node.observations = {}
        node.stopped_until = 0.0
        node.incarnation += 1
        if wipe:
            node.disk, node.replica = None, Replica()

    def revive(self, node: SimulatedNode) -> None:
        """Start a node that is down, if it still belongs to the group."""
        if node.chain is None and self.nodes.get(node.ip) is node:
            self.start(node)

    def crashes(self, node: SimulatedNode) -> bool:
        """Draw whether a node's process ends just here; it is started again later."""
        odds = max(self.crash_odds, node.save_crash)
        if not odds or self.random.random() >= odds:
            return False
        node.save_crash = 0.0
        self.stop(node)
        self.schedule(self.random.uniform(*RESTART_MS), lambda: self.revive(node))
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
            self._save(node, chain)
            if self.crashes(node):
                return
        self.check_node(node, chain, effects.newly_committed)
        if node.lease.install(node.clock(self.now), chain.view):
            self.check_leases()
        for ticket, outcome in effects.outcomes:
            self.updates.on_head_outcome(node, chain, ticket, outcome)
        if effects.outcomes and self.crashes(node):
            return
        for ip, message in effects.messages:
            self.send(node.ip, ip, message)

    def _save(self, node: SimulatedNode, chain: ReplicationChain) -> None:
        chain.dirty = False
        node.disk = SavedState(chain.me.disk_id, _as_read_back(chain.durable()))
        node.replica = chain.replica.copy()
        self.checker.on_saved(chain.me, node.replica)

    def check_node(self, node: SimulatedNode, chain: ReplicationChain, newly_committed: bool) -> None:
        """Check what must hold of one node after each event."""
        self.checker.on_view(node.ip, chain.view)
        committed = chain.committed.config
        if chain.replica.config.rank < committed.rank:
            self.fail(f"{node.ip} calls safe what it does not hold")
        current = committed.epoch, committed.version, committed.digest
        if newly_committed and not node.has_received and len(chain.view.chain) > 1:
            self.fail(f"{node.ip} hands out {version_label(committed.version)} before it has heard another")
        if current == node.committed:
            return
        _, version, digest = node.committed
        has_other_text = committed.version == version and committed.digest != digest
        if is_newer(version, committed.version) or has_other_text:
            self.fail(f"{node.ip} called {version_label(version)} safe, and now {current}")
        self.checker.on_committed(node.ip, committed)
        node.committed = current

    def check_leases(self) -> None:
        """Check that leases of two views are not usable at once."""
        epochs = set()
        for one in self.nodes.values():
            if one.chain is None or one.stopped_until > self.now:
                continue
            if one.lease.is_usable(one.clock(self.now), one.chain):
                epochs.add(one.lease.epoch)
                self.usable_leases += 1
        if len(epochs) > 1:
            self.fail(f"leases of epochs {sorted(epochs)} are usable at once")

    def tick(self, node: SimulatedNode, incarnation: int) -> None:
        """Have a node send its status and observe the others, as long as this process of it runs."""
        chain = node.chain
        if node.incarnation != incarnation or chain is None:
            return
        if node.stopped_until > self.now:
            self.schedule(node.stopped_until - self.now, lambda: self.tick(node, incarnation))
            return
        self.schedule(TICK_MS * self.random.uniform(0.85, 1.15), lambda: self.tick(node, incarnation))
        reachable = {ip: self.now - at < REACHABLE_MS for ip, (at, _) in node.observations.items()}
        status = NodeStatus(
            _observation(chain, node.zone, reachable),
            node.clock(self.now),
            frozenset(node.known_addresses),
        )
        for ip in sorted(node.known_addresses):
            if ip in self.nodes and (ip, node.ip) not in self.network.cut:
                self.send(node.ip, ip, status)
        peers = {ip: replace(one, reachable=reachable[ip]) for ip, (_, one) in node.observations.items()}
        self.step(node, lambda: chain.tick(self.now, peers))

    # Messages.

    def send(self, sender: str, to: str, message: SimulatedMessage) -> None:
        """Send a message from one node to another."""
        self.network.send(sender, to, message)

    def deliver(self, node: SimulatedNode, datagram: Datagram) -> None:
        """Have a node that runs handle a message."""
        sender = datagram.sender
        match datagram.payload:
            case NodeStatus() as status:
                self._on_status(node, sender, status)
            case LeaseGrant(disk_id, status_sent_at, epoch):
                node.lease.on_grant(Member(sender, disk_id), status_sent_at, epoch)
                self.check_leases()
            case SubmitUpdate(ticket, update):
                self.updates.submit(node, ticket, update)
            case UpdateOutcome(ticket, outcome):
                self.updates.on_outcome(ticket, outcome)
            case bytes() as encoded:
                self._on_chain_message(node, sender, encoded)

    def _on_status(self, node: SimulatedNode, sender: str, status: NodeStatus) -> None:
        """Record another node's status; the answer grants it a lease."""
        chain = node.chain
        assert chain is not None
        node.observations[sender] = self.now, status.observation
        node.known_addresses |= {sender, *status.known_addresses} - {node.ip}
        grant = LeaseGrant(chain.me.disk_id, status.sent_at, granted_epoch(chain))
        self.send(node.ip, sender, grant)

    def _on_chain_message(self, node: SimulatedNode, sender: str, encoded: bytes) -> None:
        chain = node.chain
        assert chain is not None
        node.has_received = True
        node.received += len(encoded)
        message = chain_messages.decode(msgpack.unpackb(encoded, strict_map_key=False))
        assert message is not None
        self.step(node, lambda: chain.receive(self.now, sender, message))

    # Updates.

    def send_update(self, ip: str, update: Update, answer: Callable[[CommitOutcome], None]) -> None:
        """Send an update to a node; `answer` is called if an outcome comes back in time."""
        self.updates.take(ip, update, answer)

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
                self.send_update(node.ip, Update(), ignore_outcome)

    # Availability.

    def answers_within(self, bound_ms: float) -> float:
        """Read at each node again and again until one answers; return after how many ms.

        Raises InvariantBrokenError if none answers within the bound.
        """
        started_at = self.now
        outcomes: list[CommitOutcome] = []
        while CommitOutcome.COMMITTED not in outcomes:
            if self.now - started_at >= bound_ms:
                known = {ip: (one.chain.view if one.chain else None) for ip, one in self.nodes.items()}
                self.fail(f"no read was answered in {bound_ms:.0f} ms; views {known}")
            for ip in list(self.nodes):
                self.send_update(ip, Update(), outcomes.append)
            self.run(self.now + POLL_MS)
        return self.now - started_at

    def end_faults(self) -> None:
        """End all faults, and start the nodes that are down."""
        self.finished = True
        self.network.heal()
        self.crash_odds = 0.0
        for node in list(self.nodes.values()):
            node.save_crash, node.stopped_until = 0.0, min(node.stopped_until, self.now)
            self.revive(node)
            if node.chain is not None:
                node.chain.disk_slow = False

    def check_recovery(self) -> None:
        """End all faults; check that the group answers, and that all replicas become equal."""
        self.end_faults()
        ended_at = self.now
        self.answers_within(ANSWER_MS)
        self.run(max(self.now, ended_at + CONVERGENCE_MS))
        self.answers_within(1000.0)
        self.checker.check_final_state({ip: one.replica for ip, one in self.nodes.items()})
        self.checker.check_final_state(
            {ip: one.chain.committed for ip, one in self.nodes.items() if one.chain is not None}
        )


def _observation(chain: ReplicationChain, zone: str, reachable: Mapping[str, bool]) -> PeerObservation:
    """Return how a node that others reach describes itself to them."""
    committed = chain.committed
    return PeerObservation(
        reachable=True,
        disk_id=chain.me.disk_id,
        unhealthy=chain.stopping or chain.disk_slow,
        zone=zone,
        epoch=chain.view.epoch,
        committed_epoch=committed.config.epoch,
        committed_version=committed.config.version,
        departure_count=len(committed.departures),
        departures_checksum=committed.departures_checksum,
        identity=chain.replica.config.identity,
        reachable_peers=frozenset(ip for ip, is_reachable in reachable.items() if is_reachable),
    )


def _as_read_back(durable: PackedState) -> PackedState:
    """Return a durable state as it is read back from a file."""
    read: PackedState = msgpack.unpackb(msgpack.packb(durable), strict_map_key=False)
    return read
