"""A replica that was down through hundreds of changes, on real files: it catches up, or does not count.

Real chains and replica stores in virtual time. A node sends its messages only once its state is saved, as in
`controlplane/replication/node.py`. Power is lost in saves of the replica that catches up; what each loss
leaves on its disk is computed as in `test_storage_power_loss.py`.
"""

from __future__ import annotations

from collections import deque
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import pytest

from tests.support.storage_files import Files, after_power, files
from wickspring.common.config_version import version_order
from wickspring.controlplane import storage_file
from wickspring.controlplane.replication import messages
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import CommitOutcome, Update
from wickspring.controlplane.replication.view import Member, PeerObservation, View
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE

IPS = ("m0", "m1", "m2")
FIRST = tuple(Member(ip, "first") for ip in IPS)
STEP_MS, TICK_MS = 10.0, 200.0
TEXT = b"x" * 20_000


class PowerLostError(Exception):
    """Power is lost in a save of this node."""


class Node:
    """A control-plane node: its disk, and its process while it runs."""

    def __init__(self, ip: str, folder: Path, random: Random) -> None:
        self.ip, self.folder, self.random = ip, folder, random
        self.chain: ReplicationChain | None = None
        self.fails = 0  # saves, from now on, in which power is lost
        self.received_bytes = 0  # by messages of other nodes

    def start(self, now: float, first: bool = False) -> None:
        self.store = ReplicaStore(str(self.folder))
        found = self.store.load()
        assert first == (found is None) and not self.store.quarantined
        seed = self.random.getrandbits(32)
        if found is None:
            self.chain = ReplicationChain(Member(self.ip, "first"), View(1, FIRST, FIRST), seed)
        else:
            self.chain = ReplicationChain(Member(self.ip, str(found[0]["disk"])), View(), seed, found[1])
            self.chain.restore(found[0])
        self.chain.dirty = True
        self.chain.start(now)

    def stop(self) -> Files:
        """End as by a kill; return the files as they are."""
        self.chain = None
        left = files(self.folder)
        self.store.close()
        self.put(left)
        return left

    def put(self, left: Files) -> None:
        for path in self.folder.iterdir():
            path.unlink()
        for name, data in left.items():
            (self.folder / name).write_bytes(data)

    def save(self) -> None:
        chain = self.chain
        assert chain is not None
        before = files(self.folder)
        self.store.save({**chain.durable(), "disk": chain.me.disk_id}, chain.replica.copy())
        after = files(self.folder)
        if self.fails and before != after and self.random.random() < 0.7:
            self.fails -= 1
            self.stop()
            left = self.random.choice(list(after_power(before, after, self.random)))[0]
            self.put(left)
            raise PowerLostError


class Cluster:
    """The nodes, and the messages in flight between them."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random, self.now, self.next_tick = Random(seed), 0.0, 0.0
        self.nodes = {ip: Node(ip, folder / ip, self.random) for ip in IPS}
        self.in_flight: deque[tuple[str, str, list[Any]]] = deque()
        self.outcomes_by_ticket: dict[int, CommitOutcome] = {}
        self.power_losses = self.committed_version = self.ticket = 0
        for node in self.nodes.values():
            node.start(0.0, first=True)
            self.after(node)

    def after(self, node: Node) -> None:
        """Save, then send the messages, as the process does."""
        chain = node.chain
        assert chain is not None
        effects = chain.take_effects()
        if chain.dirty:
            chain.dirty = False
            try:
                node.save()
            except PowerLostError:
                self.power_losses += 1
                node.start(self.now)
                self.after(node)
                return
        self.in_flight += [(node.ip, to, message.encode()) for to, message in effects.messages]
        self.outcomes_by_ticket |= dict(effects.outcomes)

    def observe_peers(self, own: str) -> dict[str, PeerObservation]:
        found = {}
        running = frozenset(ip for ip, node in self.nodes.items() if node.chain is not None)
        for ip, node in self.nodes.items():
            chain = node.chain
            if ip != own and chain is not None:
                committed = chain.committed
                found[ip] = PeerObservation(
                    True,
                    chain.me.disk_id,
                    False,
                    "",
                    chain.view.epoch,
                    committed.config.epoch,
                    committed.config.version,
                    len(committed.departures),
                    committed.departures_checksum,
                    chain.replica.config.identity,
                    running - {ip},
                )
        return found

    def step(self) -> None:
        self.now += STEP_MS
        for _ in range(len(self.in_flight)):
            sender, to, message = self.in_flight.popleft()
            node = self.nodes[to]
            if node.chain is not None:
                packed = msgpack.packb(message)
                node.received_bytes += len(packed)
                decoded = messages.decode(msgpack.unpackb(packed))
                assert decoded is not None
                node.chain.receive(self.now, sender, decoded)
                self.after(node)
        if self.now >= self.next_tick:
            self.next_tick = self.now + TICK_MS
            for ip, node in self.nodes.items():
                if node.chain is not None:
                    node.chain.tick(self.now, self.observe_peers(ip))
                    self.after(node)

    def run_for(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.step()

    def commit(self, update: Update) -> None:
        """Have it acknowledged, by whichever node is head."""
        for _ in range(2000):
            for node in self.nodes.values():
                chain = node.chain
                if chain is None or not chain.is_head:
                    continue
                self.ticket += 1
                ticket = self.ticket
                chain.submit(self.now, ticket, update)
                self.after(node)
                for _ in range(60):
                    if ticket in self.outcomes_by_ticket:
                        break
                    self.step()
                if self.outcomes_by_ticket.get(ticket) is CommitOutcome.COMMITTED:
                    self.check_committed(update)
                    return
            self.step()
        raise AssertionError("never committed")

    def check_committed(self, update: Update) -> None:
        """Check that what is committed is on the disks of all of the chain, and nothing committed is lost."""
        self.committed_version = max(self.committed_version, version_order(update.version))
        newest = max((node.chain.view for node in self.nodes.values() if node.chain), key=lambda v: v.epoch)
        for ip, _ in newest.chain:
            chain = self.nodes[ip].chain
            assert chain is None or version_order(chain.replica.config.version) >= self.committed_version

    def commit_versions(self, versions: range) -> None:
        for version in versions:
            text = b"%d %s" % (version, TEXT)
            self.commit(Update(version, text, {f"s{version}": 1, f"s{version - 5}": 2}))


@pytest.mark.parametrize("seed", range(3))
def test_a_member_down_during_hundreds_of_updates_catches_up_completely(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 60)
    cluster = Cluster(tmp_path, seed)
    cluster.commit_versions(range(1, 11))
    restarted = cluster.nodes[cluster.random.choice(IPS)]
    old = restarted.stop()
    cluster.run_for(3000.0)
    cluster.commit_versions(range(11, 261))
    restarted.received_bytes = 0
    restarted.fails = 8
    restarted.start(cluster.now)  # and the changes go on
    assert restarted.chain is not None and restarted.chain.replica.config.version == 10
    cluster.commit_versions(range(261, 341))
    cluster.run_for(8000.0)
    cluster.commit_versions(range(341, 346))
    assert cluster.power_losses == 8 and not restarted.fails, "power was to be lost in saves"
    replicas = [node.chain.replica for node in cluster.nodes.values() if node.chain is not None]
    assert len(replicas) == 3 and replicas[0] == replicas[1] == replicas[2]
    assert replicas[0].config.version == 345 and len(replicas[0].departures) == 345 + 5
    assert all(
        restarted.chain is not None and restarted.chain.me in node.chain.view.chain
        for node in cluster.nodes.values()
        if node.chain is not None
    )
    assert old.keys() >= {FILE} and sum(map(len, files(restarted.folder).values())) < 800_000
    # It can be head as well: all but one of the others are down after a loss of power.
    others = [node for node in cluster.nodes.values() if node is not restarted]
    for node in (restarted, *others):
        node.stop()
    for node in (restarted, others[0]):
        node.start(cluster.now)
    cluster.commit(Update())
    cluster.commit_versions(range(346, 348))
    assert restarted.chain is not None and restarted.chain.replica.config.version == 347


def test_catching_up_transfers_a_replica_not_each_update(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 9)
    cluster.commit_versions(range(1, 4))
    restarted = cluster.nodes["m2"]
    restarted.stop()
    cluster.run_for(3000.0)
    cluster.commit_versions(range(4, 204))
    restarted.received_bytes = 0
    restarted.start(cluster.now)
    cluster.run_for(5000.0)
    assert restarted.chain is not None and restarted.chain.replica.config.version == 203
    replica_bytes = len(msgpack.packb(restarted.chain.replica.pack()))
    assert restarted.received_bytes <= 8 * replica_bytes, (
        f"{restarted.received_bytes} bytes for a replica of {replica_bytes}"
    )
    assert restarted.received_bytes < 200 * len(TEXT) / 10
