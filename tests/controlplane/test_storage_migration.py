"""Replica files of earlier schemas: migrated with all they store, or set aside."""

from __future__ import annotations

import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest

from tests.support.storage_files import DURABLE, MEMBERS, OLD, reopened, write_older
from wickspring.common.digest import digest_of
from wickspring.controlplane import storage_records
from wickspring.controlplane.replication.replica import Config, Replica
from wickspring.controlplane.storage import OPEN_ATTEMPTS, ReplicaStore
from wickspring.controlplane.storage_file import FILE, QUARANTINE_SUFFIX


@pytest.mark.parametrize("schema", [1, 2])
def test_a_file_of_an_earlier_schema_is_migrated_with_all_it_stores(tmp_path: Path, schema: int) -> None:
    departures = {f"i{n}": 1 + n % 2 for n in range(300)}
    write_older(tmp_path, schema, 9, b"doc", departures)
    durable = {**DURABLE, "view": [3, MEMBERS, MEMBERS]}
    stored = Replica(Config(3, 9, b"doc", digest_of(b"doc")), dict(departures))
    store = ReplicaStore(str(tmp_path))
    assert store.load() == (durable, stored) and store.load_endpoints() == ["s1"]
    store = reopened(store)
    found = store.load()
    assert found == (durable, stored) and store.load_endpoints() == ["s1"] and not store.quarantined
    assert found is not None and list(found[1].departures) == list(departures)  # the oldest first
    store.close()


@pytest.mark.parametrize(("slot", "kept"), [(4, True), (3, False), (2, False)])
def test_an_accepted_view_of_schema_2_gets_the_stored_replica_unless_it_is_past(
    tmp_path: Path, slot: int, kept: bool
) -> None:
    accepted = [slot, [2, "b"], [slot, MEMBERS[1:]]]
    write_older(tmp_path, 2, 9, b"doc", {"i1": 1}, {**OLD, "accepted": accepted})
    store = ReplicaStore(str(tmp_path))
    found = store.load()
    assert found is not None
    state = Replica(Config(4, 9, b"doc", digest_of(b"doc")), {"i1": 1})
    expected = [4, [2, "b"], [4, MEMBERS[1:], MEMBERS[1:]], state.pack()] if kept else None
    assert found[0]["accepted"] == expected
    store.close()


def test_an_empty_file_of_an_earlier_schema_stays_empty(tmp_path: Path) -> None:
    write_older(tmp_path, 2, 0, b"", {})
    store = ReplicaStore(str(tmp_path))
    found = store.load()
    assert found is not None and found[1].config.version is None and found[1].config.epoch == 3
    store.close()


@pytest.mark.parametrize(
    "damage",
    [
        "update part set data = x'00' where name = 'hold'",
        "update part set sum = null",
        "update part set data = x'00' where name = 'document'",
        "delete from part where name = 'document'",
        "delete from part where name = 'hold'",
        "update leaver set state = 2",
        "delete from leaver",
        "drop table leaver",
        "drop table part",
    ],
)
def test_an_incomplete_file_of_an_earlier_schema_is_set_aside(tmp_path: Path, damage: str) -> None:
    write_older(tmp_path, 2, 9, b"doc", {"i1": 1})
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute(damage)
    store = ReplicaStore(str(tmp_path))
    assert store.quarantined and store.load() is None and (tmp_path / f"{FILE}{QUARANTINE_SUFFIX}").exists()
    store.close()


@pytest.mark.parametrize("schema", [1, 2])
def test_a_migration_is_atomic(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, schema: int) -> None:
    write_older(tmp_path, schema, 9, b"doc", {"i1": 1})
    with monkeypatch.context() as patched:

        def fail(*_: Any) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        patched.setattr(storage_records, "put_departures", fail)
        pauses: list[float] = []
        with pytest.raises(sqlite3.OperationalError):
            ReplicaStore(str(tmp_path), pauses.append)
        assert len(pauses) == OPEN_ATTEMPTS - 1
    store = ReplicaStore(str(tmp_path))
    found = store.load()  # the failed migration changed nothing
    assert found is not None and found[1] == Replica(Config(3, 9, b"doc", digest_of(b"doc")), {"i1": 1})
    store.close()
