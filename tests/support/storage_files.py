"""Replica stores for tests: their files, those of earlier programs, what a loss of power leaves of a save."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from random import Random
from typing import Any

import msgpack

from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE
from wickspring.controlplane.storage_records import checksum

Files = dict[str, bytes]  # by name

MEMBERS = [["a", "d1"], ["b", "d2"], ["c", "d3"]]
DURABLE: dict[str, Any] = {
    "view": [3, MEMBERS, MEMBERS[:2]],
    "promised": [4, [2, "b"]],
    "accepted": None,
    "disk": "d1",
}
OLD = {"view": [3, MEMBERS], "promised": [4, [2, "b"]], "accepted": None, "disk": "d1"}  # schemas 1 and 2
LOG, SECTOR, FRAME, HEADER = f"{FILE}-wal", 512, 4096 + 24, 32


def replica(
    version_count: int, departures: dict[str, int] | None = None, document: bytes = b"doc"
) -> Replica:
    """Return a replica to which versions from 1 on were applied."""
    state = Replica()
    for version in range(1, version_count + 1):
        state.apply(Update(version, b"%d %s" % (version, document)), 3)
    state.add_departures(departures or {})
    return state


def write_older(
    folder: Path,
    schema: int,
    version: int,
    document: bytes,
    departures: dict[str, int],
    durable: dict[str, Any] = OLD,
) -> None:
    """Write a file as an earlier program did."""
    with closing(sqlite3.connect(folder / FILE, isolation_level=None)) as db:
        db.execute("pragma journal_mode=wal")
        db.execute("create table part (name text primary key, sum blob, data blob)")
        departures_or_count = departures if schema == 1 else len(departures)
        parts = {
            "chain": msgpack.packb(durable),
            "hold": msgpack.packb([version, departures_or_count]),
            "document": document,
            "servers": msgpack.packb(["s1"]),
        }
        for name, data in parts.items():
            db.execute("insert into part values (?, ?, ?)", (name, checksum(data), data))
        if schema == 2:
            db.execute("create table leaver (id text primary key, state int, sum blob)")
            for server, state in departures.items():
                row = server, state, checksum(f"{server} {state}".encode())
                db.execute("insert into leaver values (?, ?, ?)", row)
        db.execute(f"pragma user_version={schema}")


def reopened(store: ReplicaStore) -> ReplicaStore:
    """Return the same file, as the next process finds it."""
    store.close()
    return ReplicaStore(str(store.path.parent))


def files(folder: Path) -> Files:
    """Return the contents of a folder's files."""
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def found_in(folder: Path, left: Files) -> tuple[dict[str, Any], Replica] | None:
    """Return what a process reads that is started on these files."""
    folder.mkdir()
    for name, data in left.items():
        (folder / name).write_bytes(data)
    store = ReplicaStore(str(folder))
    found = store.load()
    store.close()
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()
    return found


def torn(before: bytes, after: bytes, random: Random, odds: float, start: int = 0) -> bytes:
    """Return a file of which each written sector is there with these odds, or a part of one."""
    size = max(len(before), len(after))
    mixed = bytearray(before.ljust(size, b"\0"))
    last = len(before)
    for at in range(start, len(after), SECTOR):
        end = min(at + SECTOR, len(after))
        if before[at:end] == after[at:end] or random.random() >= odds:
            continue
        if random.random() < 0.1:
            end = random.randint(at, end)
        mixed[at:end] = after[at:end]
        last = max(last, end)
    return bytes(mixed[:last])


def after_power(before: Files, after: Files, random: Random) -> Iterator[tuple[Files, bool]]:
    """Give what a loss of power may leave at each step of a save, and whether the save was synced by then.

    The steps of one commit: where the log begins anew its header is written and synced; frames are written,
    and synced, which is the commit; where a checkpoint is due its pages are written to the file, and synced.
    """
    log, grown, file = before.get(LOG, b""), after[LOG], before[FILE]
    started = log
    if log[:HEADER] != grown[:HEADER]:
        for at in range(HEADER):  # the new header by itself, torn
            yield before | {LOG: grown[:at] + log[at:]}, False
        started = grown[:HEADER] + log[HEADER:]
    yield before | {LOG: started}, False  # every write removed
    for cut in {random.randrange(HEADER, len(grown)) for _ in range(3)}:  # a dropped tail
        yield before | {LOG: grown[:cut] + started[cut:]}, False
    ends = [at for at in range(HEADER + FRAME, len(grown) + 1, FRAME) if grown[:at] != started[:at]]
    for end in random.sample(ends[:-1], min(3, len(ends) - 1)):  # complete frames, one after the other
        yield before | {LOG: grown[:end]}, False
    for odds in (0.05, 0.5, 0.9, 0.99):
        yield before | {LOG: torn(started, grown, random, odds, HEADER)}, False
    yield before | {LOG: grown}, True
    if file != after[FILE]:
        for odds in (0.0, 0.1, 0.5, 0.9, 1.0):
            yield before | {LOG: grown, FILE: torn(file, after[FILE], random, odds)}, True
    yield after, True
