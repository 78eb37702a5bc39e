"""A member that was away through hundreds of changes, on real files: it catches up whole, or does not count.

Real chains and logbooks in virtual time. What a machine says leaves it only once its state is saved, as in
`lighthouse/core.py`. Power is taken in its saves from the member that catches up; what each loss leaves on
its disk is reckoned as in `test_power.py`.
"""

from __future__ import annotations

from collections import deque
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import pytest

from tests.support.storage_files import Files, after_power, files
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
    """In a save of this machine."""


class Machine:
    """A core machine: its disk, and its process while it runs."""

    def __init__(self, ip: str, folder: Path, random: Random) -> None:
        self.ip, self.folder, self.random = ip, folder, random
        self.chain: ReplicationChain | None = None
        self.fails = 0  # saves, from now on, in which power is lost
        self.told = 0  # bytes that others have said to it

    def start(self, now: float, first: bool = False) -> None:
        self.book = ReplicaStore(str(self.folder))
        found = self.book.load()
        assert first == (found is None) and not self.book.quarantined
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
        self.book.close()
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
        self.book.save({**chain.durable(), "disk": chain.me.disk_id}, chain.replica.copy())
        after = files(self.folder)
        if self.fails and before != after and self.random.random() < 0.7:
            self.fails -= 1
            self.stop()
            left = self.random.choice(list(after_power(before, after, self.random)))[0]
            self.put(left)
            raise PowerLostError


class Core:
    """The machines, and what is on its way among them."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random, self.now, self.next_tick = Random(seed), 0.0, 0.0
        self.machines = {ip: Machine(ip, folder / ip, self.random) for ip in IPS}
        self.way: deque[tuple[str, str, list[Any]]] = deque()
        self.verdicts: dict[int, CommitOutcome] = {}
        self.lost = self.acked = self.ticket = 0
        for machine in self.machines.values():
            machine.start(0.0, first=True)
            self.after(machine)

    def after(self, machine: Machine) -> None:
        """Save, then let out what was to be said, as the process does."""
        chain = machine.chain
        assert chain is not None
        effects = chain.take_effects()
        if chain.dirty:
            chain.dirty = False
            try:
                machine.save()
            except PowerLostError:
                self.lost += 1
                machine.start(self.now)
                self.after(machine)
                return
        self.way += [(machine.ip, to, message.encode()) for to, message in effects.messages]
        self.verdicts |= dict(effects.outcomes)

    def reaches(self, own: str) -> dict[str, PeerObservation]:
        found = {}
        sees = frozenset(ip for ip, one in self.machines.items() if one.chain is not None)
        for ip, machine in self.machines.items():
            chain = machine.chain
            if ip != own and chain is not None:
                safe = chain.committed
                found[ip] = PeerObservation(
                    True,
                    chain.me.disk_id,
                    False,
                    "",
                    chain.view.epoch,
                    safe.config.epoch,
                    safe.config.version,
                    len(safe.departures),
                    safe.departures_checksum,
                    chain.replica.config.identity,
                    sees - {ip},
                )
        return found

    def step(self) -> None:
        self.now += STEP_MS
        for _ in range(len(self.way)):
            sender, to, message = self.way.popleft()
            machine = self.machines[to]
            if machine.chain is not None:
                packed = msgpack.packb(message)
                machine.told += len(packed)
                decoded = messages.decode(msgpack.unpackb(packed))
                assert decoded is not None
                machine.chain.receive(self.now, sender, decoded)
                self.after(machine)
        if self.now >= self.next_tick:
            self.next_tick = self.now + TICK_MS
            for ip, machine in self.machines.items():
                if machine.chain is not None:
                    machine.chain.tick(self.now, self.reaches(ip))
                    self.after(machine)

    def settle(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.step()

    def order(self, order: Update) -> None:
        """Have it acknowledged, by whichever machine is head."""
        for _ in range(2000):
            for machine in self.machines.values():
                chain = machine.chain
                if chain is None or not chain.is_head:
                    continue
                self.ticket += 1
                ticket = self.ticket
                chain.submit(self.now, ticket, order)
                self.after(machine)
                for _ in range(60):
                    if ticket in self.verdicts:
                        break
                    self.step()
                if self.verdicts.get(ticket) is CommitOutcome.COMMITTED:
                    self.check(order)
                    return
            self.step()
        raise AssertionError("the core never acknowledged it")

    def check(self, order: Update) -> None:
        """What is acknowledged is on the disks of all of a chain; nothing acknowledged is taken back."""
        self.acked = max(self.acked, order.version)
        newest = max((one.chain.view for one in self.machines.values() if one.chain), key=lambda v: v.epoch)
        for ip, _ in newest.chain:
            chain = self.machines[ip].chain
            assert chain is None or chain.replica.config.version >= self.acked

    def changes(self, numbers: range) -> None:
        for number in numbers:
            text = b"%d %s" % (number, TEXT)
            self.order(Update(number, text, {f"s{number}": 1, f"s{number - 5}": 2}))


@pytest.mark.parametrize("seed", range(3))
def test_a_member_away_through_hundreds_of_changes_catches_up_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 60)
    core = Core(tmp_path, seed)
    core.changes(range(1, 11))
    away = core.machines[core.random.choice(IPS)]
    old = away.stop()
    core.settle(3000.0)
    core.changes(range(11, 261))
    away.told = 0
    away.fails = 8
    away.start(core.now)  # and the changes go on
    assert away.chain is not None and away.chain.replica.config.version == 10
    core.changes(range(261, 341))
    core.settle(8000.0)
    core.changes(range(341, 346))
    assert core.lost == 8 and not away.fails, "power was to be lost in the midst"
    copies = [one.chain.replica for one in core.machines.values() if one.chain is not None]
    assert len(copies) == 3 and copies[0] == copies[1] == copies[2]
    assert copies[0].config.version == 345 and len(copies[0].departures) == 345 + 5
    assert all(
        away.chain is not None and away.chain.me in one.chain.view.chain
        for one in core.machines.values()
        if one.chain is not None
    )
    assert old.keys() >= {FILE} and sum(map(len, files(away.folder).values())) < 800_000
    # It leads as well as any: the others are gone but one, and power with them.
    others = [one for one in core.machines.values() if one is not away]
    for one in (away, *others):
        one.stop()
    for one in (away, others[0]):
        one.start(core.now)
    core.order(Update())
    core.changes(range(346, 348))
    assert away.chain is not None and away.chain.replica.config.version == 347


def test_catching_up_takes_a_copy_not_the_changes(tmp_path: Path) -> None:
    core = Core(tmp_path, 9)
    core.changes(range(1, 4))
    away = core.machines["m2"]
    away.stop()
    core.settle(3000.0)
    core.changes(range(4, 204))
    away.told = 0
    away.start(core.now)
    core.settle(5000.0)
    assert away.chain is not None and away.chain.replica.config.version == 203
    one = len(msgpack.packb(away.chain.replica.pack()))
    assert away.told <= 8 * one, f"{away.told} bytes for a copy of {one}"
    assert away.told < 200 * len(TEXT) / 10
