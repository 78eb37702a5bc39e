"""Inconsistent replica files: set aside, and started anew as with an empty disk."""

from __future__ import annotations

import sqlite3
from contextlib import closing
from pathlib import Path

import pytest

from tests.support.storage_files import DURABLE, MEMBERS, files, reopened, replica
from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.packing import PackedFields
from wickspring.controlplane.replication.replica import Config, Replica
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE, QUARANTINE_SUFFIX


@pytest.mark.parametrize(
    "damage",
    [
        "update leaving set state = 2",
        "delete from leaving where id = 'i1'",
        "update part set data = x'00'",
        "update leaving set sum = null",
        "drop table leaving",
        "delete from part where name = 'config'",
        "delete from part where name = 'chain'",
        "delete from part where name = 'accepted'",
        "delete from part where name = 'document'",
        "delete from part where name = 'seal'",
        "delete from part",
        "update history set digest = x'00' where version = 2",
        "delete from history where version = 2",
        "drop table history",
        "update part set sum = null",
    ],
)
def test_an_inconsistent_file_is_set_aside(tmp_path: Path, damage: str) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(9, {"i1": 1, "i2": 1}))
    store.close()
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute(damage)
    store = ReplicaStore(str(tmp_path))
    assert store.load() is None and store.quarantined and (tmp_path / f"{FILE}{QUARANTINE_SUFFIX}").exists()
    store.save(DURABLE, replica(10, {"i3": 1}))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(10, {"i3": 1}))
    store.close()


@pytest.mark.parametrize("name", ["chain", "accepted", "config", "document", "seal"])
def test_a_valid_part_of_another_save_makes_the_file_inconsistent(tmp_path: Path, name: str) -> None:
    store = ReplicaStore(str(tmp_path))
    accepted: PackedFields = [4, [2, "b"], [4, MEMBERS, MEMBERS], replica(1).pack()]
    store.save({**DURABLE, "accepted": accepted}, replica(8))
    row = store.db.execute("select * from part where name = ?", (name,)).fetchone()
    store.save({**DURABLE, "promised": [4, [9, "c"]]}, replica(9))
    store.close()
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute("insert or replace into part values (?, ?, ?)", row)
    store = ReplicaStore(str(tmp_path))
    assert store.load() is None and store.quarantined
    store.close()


def test_an_accepted_state_without_its_document_is_set_aside(tmp_path: Path) -> None:
    for state in (Config(4, 9, b"", digest_of(b"x")), Config(4, 9, b"y", digest_of(b"x"))):
        store = ReplicaStore(str(tmp_path))
        accepted: PackedFields = [4, [2, "b"], [4, MEMBERS, MEMBERS], Replica(state).pack()]
        store.save({**DURABLE, "accepted": accepted}, replica(2))
        store = reopened(store)
        assert store.load() is None and store.quarantined
        store.close()


def test_files_set_aside_replace_those_of_before(tmp_path: Path) -> None:
    for turn in range(8):
        store = ReplicaStore(str(tmp_path))
        store.save(DURABLE, replica(turn + 1, {}, b"x" * 50_000))
        if turn % 2:
            store.db.execute("update part set data = x'00' where name = 'chain'")
            store.close()
        else:  # a kill leaves the log, and the file is not a database
            left = files(tmp_path)
            store.close()
            (tmp_path / FILE).write_bytes(b"no database at all" * 999)
            (tmp_path / f"{FILE}-wal").write_bytes(b"no log" * 99 + left[f"{FILE}-wal"])
        stale = b"of an earlier quarantine"
        for ending in ("", "-wal", "-journal"):
            (tmp_path / f"{FILE}{ending}{QUARANTINE_SUFFIX}").write_bytes(stale)
        store = ReplicaStore(str(tmp_path))
        assert store.load() is None and store.quarantined
        assert store.load() is None  # the new file is valid and empty
        store.close()
        now = files(tmp_path)
        assert f"{FILE}{QUARANTINE_SUFFIX}" in now and now.keys() <= {
            FILE,
            f"{FILE}{QUARANTINE_SUFFIX}",
            f"{FILE}-wal{QUARANTINE_SUFFIX}",
        }
        assert stale not in now.values()
        assert sum(map(len, now.values())) < 500_000
