"""Limits of replica files: sizes of file and log, pages written per change, and disks with errors."""

from __future__ import annotations

import resource
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from tests.support.storage_files import DURABLE, files, found_in, reopened, replica
from wickspring.controlplane import storage_file
from wickspring.controlplane.replication.replica import MAX_HISTORY, Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE, MAX_LOG_BYTES, PAGE_BYTES


def test_a_full_disk_keeps_the_last_saved_state_and_accepts_the_next_save(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path / "a"))
    stored = replica(3, {"i1": 1}, b"x" * 20_000)
    store.save(DURABLE, stored)
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    more = replica(4, {"i1": 2}, b"y" * 600_000)
    for limit in range(40_000, 600_000, 70_000):
        resource.setrlimit(resource.RLIMIT_FSIZE, (limit, hard))  # the log cannot grow further
        try:
            for _ in range(3):
                with pytest.raises(sqlite3.OperationalError):
                    store.save(DURABLE, more)
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
        # What a restart after a kill loads:
        assert found_in(tmp_path / "b", files(tmp_path / "a")) == (DURABLE, stored)
    store.save(DURABLE, more)  # the disk has space again
    assert found_in(tmp_path / "b", files(tmp_path / "a")) == (DURABLE, more)
    store.close()


def test_a_read_error_is_retried_and_loses_no_replica(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(3))
    store.close()
    pauses: list[float] = []
    store = ReplicaStore(str(tmp_path), pauses.append)
    read, errors = store._read, [sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_FULL]

    def fail_while_errors_are_left() -> Any:
        if errors:
            error = sqlite3.OperationalError("disk I/O error")
            error.sqlite_errorcode = errors.pop() | 1 << 8
            raise error
        return read()

    store._read = fail_while_errors_are_left  # type: ignore[method-assign]
    assert store.load() == (DURABLE, replica(3)) and len(pauses) == 3 and not store.quarantined
    store.close()


def file_sizes(folder: Path) -> dict[str, int]:
    return {path.name: path.stat().st_size for path in folder.iterdir()}


def test_files_stay_bounded_after_thousands_of_changes(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    stored = Replica()
    text, most = b"x" * 100_000, {FILE: 0, f"{FILE}-wal": 0}
    for number in range(1, 2001):
        stored.apply(Update(number, b"%d %s" % (number, text)), 3)
        stored.add_departures(
            {f"server-{number * 3}": 1, f"server-{number * 3 + 1}": 1, f"server-{number - 7}": 2}
        )
        store.save(DURABLE, stored)
        if number % 100 == 0:
            most = {name: max(most[name], size) for name, size in file_sizes(tmp_path).items()}
    kept = len(text) + sum(len(server) + 20 for server in stored.departures) + 24 * MAX_HISTORY
    assert len(stored.departures) == 4096 and len(stored.config.history) == MAX_HISTORY
    assert most[FILE] <= 3 * kept + 64 * PAGE_BYTES
    assert most[f"{FILE}-wal"] <= MAX_LOG_BYTES + 2 * (kept + 64 * PAGE_BYTES)
    store = reopened(store)
    assert store.load() == (DURABLE, stored)
    assert set(file_sizes(tmp_path)) <= {FILE, f"{FILE}-wal"}
    store.close()


def test_the_log_shrinks_after_a_large_save(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 20)
    monkeypatch.setattr(storage_file, "MAX_LOG_BYTES", 20 * (PAGE_BYTES + 24))
    store = ReplicaStore(str(tmp_path))
    stored = replica(1, {}, b"x" * 4_000_000)
    store.save(DURABLE, stored)
    assert file_sizes(tmp_path)[f"{FILE}-wal"] > 4_000_000
    for number in range(2, 30):
        stored.apply(Update(number, b"%d" % number), 3)
        store.save(DURABLE, stored)
    assert file_sizes(tmp_path)[f"{FILE}-wal"] <= 40 * (PAGE_BYTES + 24)
    store.close()


def test_a_save_writes_only_the_changed_pages(tmp_path: Path) -> None:
    """Pages of the log, for a replica with 4,096 departures, 512 former versions and a document of 100 KB."""
    store = ReplicaStore(str(tmp_path))
    stored = replica(600, {f"server-{n}": 1 for n in range(4096)})
    stored.apply(Update(601, b"x" * 100_000), 3)
    store.save(DURABLE, stored)

    def written(change: Any) -> int:
        store.db.execute("pragma wal_checkpoint(truncate)")
        change()
        rows = store.db.total_changes
        store.save(DURABLE | promised, stored)
        assert store.db.total_changes - rows <= 7  # rows, of thousands
        return file_sizes(tmp_path)[f"{FILE}-wal"] // (PAGE_BYTES + 24)

    promised: dict[str, Any] = {}
    assert written(lambda: None) == 0
    assert written(lambda: stored.add_departures({"server-9": 2})) <= 6
    assert written(lambda: stored.add_departures({"server-new": 1})) <= 12  # and the oldest is forgotten
    assert written(lambda: promised.update(promised=[4, [7, "c"]])) <= 4
    assert written(lambda: stored.apply(Update(602, b"y" * 100_000), 3)) <= 25 + 10
    assert written(lambda: stored.apply(Update(603, b"z" * 100), 3)) <= 25 + 10  # and freed pages
    assert written(lambda: stored.apply(Update(604, b"w" * 100), 3)) <= 10
    store.close()
