"""What a core machine keeps: older files, torn rows, disks that refuse, and snapshots."""

from __future__ import annotations

import json
import sqlite3
from contextlib import closing
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import pytest

from tests.test_gateway_parts import document
from wickspring.harbour.kinds import Kind
from wickspring.lighthouse import snapshot
from wickspring.lighthouse.chain import Chain, Hold, View
from wickspring.lighthouse.logbook import FILE, OPEN_TRIES, Logbook, _sum

DURABLE = {**Chain("a", "d1", View(3, (("a", "d1"), ("b", "d2"))), 1).durable(), "disk": "d1"}
BODY = json.dumps(document()).encode()


def write_schema_1(folder: Path, hold: Hold) -> None:
    """Write a file as the program before this one did."""
    with closing(sqlite3.connect(folder / FILE, isolation_level=None)) as db:
        db.execute("pragma journal_mode=wal")
        db.execute("create table part (name text primary key, sum blob, data blob)")
        parts = {
            "chain": msgpack.packb(DURABLE),
            "hold": msgpack.packb([hold.version, hold.leavers]),
            "document": hold.document,
        }
        for name, data in parts.items():
            db.execute("insert into part values (?, ?, ?)", (name, _sum(data), data))
        db.execute("pragma user_version=1")


def reopened(book: Logbook, folder: Path) -> Logbook:
    book.close()
    return Logbook(str(folder))


def test_an_older_programs_file_is_moved_on_with_all_it_holds(tmp_path: Path) -> None:
    hold = Hold(9, b"doc", {f"i{n}": 1 + n % 2 for n in range(300)})
    write_schema_1(tmp_path, hold)
    book = Logbook(str(tmp_path))
    assert book.load() == (DURABLE, hold)
    book = reopened(book, tmp_path)
    found = book.load()
    assert found == (DURABLE, hold) and not book.set_aside
    assert found is not None and list(found[1].leavers) == list(hold.leavers)  # the oldest first
    book.close()


def test_a_file_is_moved_on_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    hold = Hold(9, b"doc", {"i1": 1})
    write_schema_1(tmp_path, hold)
    with monkeypatch.context() as patched:
        def refuse(*_: Any) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        patched.setattr(Logbook, "_put_leavers", refuse)
        pauses: list[float] = []
        with pytest.raises(sqlite3.OperationalError):
            Logbook(str(tmp_path), pauses.append)
        assert len(pauses) == OPEN_TRIES - 1
    book = Logbook(str(tmp_path))
    assert book.load() == (DURABLE, hold)  # nothing was given up because the disk refused
    book.close()


def test_saves_under_random_load_are_read_back_whole(tmp_path: Path) -> None:
    random, hold = Random(4), Hold()
    book = Logbook(str(tmp_path))
    for step in range(200):
        if random.random() < 0.3:
            hold.join(Hold(step, b"%d" % step))
        hold.join(Hold(leavers={f"i{random.randrange(80)}": random.choice((1, 2))}))
        if len(hold.leavers) > 60:  # as where too many are remembered
            del hold.leavers[next(iter(hold.leavers))]
        book.save(DURABLE, hold.copy())
        if random.random() < 0.1:
            book = reopened(book, tmp_path)
            found = book.load()
            assert found == (DURABLE, hold)
            assert found is not None and list(found[1].leavers) == list(hold.leavers)
    book.close()


@pytest.mark.parametrize(
    "torn",
    ["update leaver set state = 2", "delete from leaver where id = 'i1'", "update part set data = x'00'",
     "update leaver set sum = null", "drop table leaver", "delete from part where name = 'hold'"],
)  # fmt: skip
def test_what_does_not_add_up_is_set_aside(tmp_path: Path, torn: str) -> None:
    book = Logbook(str(tmp_path))
    book.save(DURABLE, Hold(9, b"doc", {"i1": 1, "i2": 1}))
    book.close()
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute(torn)
    book = Logbook(str(tmp_path))
    assert book.load() is None and book.set_aside and (tmp_path / f"{FILE}.bad").exists()
    book.save(DURABLE, Hold(10, b"new", {"i3": 1}))
    assert reopened(book, tmp_path).load() == (DURABLE, Hold(10, b"new", {"i3": 1}))


def test_a_snapshot_comes_back_whole_or_is_refused() -> None:
    hold = Hold(7, BODY, {"i1": 1, "i2": 2})
    body = snapshot.pack(hold, 5)
    assert snapshot.unpack(body).ok == hold
    assert snapshot.unpack(snapshot.pack(Hold(leavers={"i1": 2}), 1)).ok == Hold(leavers={"i1": 2})
    tree = json.loads(body)
    for change in ({"format": 2}, {"leavers": {"i1": 2, "i2": 2}}, {"config": ""}, {"sum": ""}):
        refused = snapshot.unpack(json.dumps(tree | change).encode())
        assert refused.is_error() and refused.error.kind is Kind.INVALID_SNAPSHOT
    random = Random(2)
    for _ in range(500):
        at = random.randrange(len(body))
        spoilt = body[:at] + bytes([random.randrange(256)]) + body[at + random.choice((0, 1, 9)) :]
        read = snapshot.unpack(spoilt)
        assert read.is_error() or read.ok == hold


def test_an_old_snapshot_takes_nothing_back() -> None:
    now = Hold(9, b"newer", {"i1": 2, "i3": 1})
    assert now.join(snapshot.unpack(snapshot.pack(Hold(7, BODY, {"i1": 1, "i2": 1}), 1)).ok)
    assert now == Hold(9, b"newer", {"i1": 2, "i3": 1, "i2": 1})
