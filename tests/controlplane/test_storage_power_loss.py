"""Power lost at each step: on disk is the complete state before or after, and never one older than synced.

The files are real ones. Which bytes a loss may take is reckoned from copies before and after a save and from
the order of sqlite's writes and syncs (`logbooks.after_power`); renames and removals are kept or lost one by
one until their folder is synced.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.support.storage_files import (
    DURABLE,
    LOG,
    MEMBERS,
    Files,
    after_power,
    files,
    found_in,
    replica,
    write_older,
)
from wickspring.common.config_version import version_order
from wickspring.common.digest import digest_of
from wickspring.controlplane import storage_file
from wickspring.controlplane.replication.replica import Config, Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE, QUARANTINE_SUFFIX, StoreFile
from wickspring.controlplane.storage_legacy import CorruptStoreError


@pytest.mark.parametrize("seed", range(3))
def test_power_lost_in_a_save_leaves_the_state_before_or_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 24)  # so that there are many checkpoints
    random, stored, durable = Random(seed), Replica(), dict(DURABLE)
    store = ReplicaStore(str(tmp_path / "a"))
    store.save(durable, stored)
    last, seen = (dict(durable), stored.copy()), Counter[str]()
    for step in range(24):
        before = files(tmp_path / "a")
        if random.random() < 0.7:
            text = random.randbytes(random.choice((20, 3000, 20_000)))
            stored.apply(Update(version_order(stored.config.version) + 1, text), durable["view"][0])
        if random.random() < 0.5:
            stored.add_departures({f"i{random.randrange(30)}": random.choice((1, 2)) for _ in range(9)})
        if random.random() < 0.3:
            epoch = durable["view"][0] + 1
            durable["promised"] = [epoch, [step, "b"]]
            durable["accepted"] = [
                epoch,
                [step, "b"],
                [epoch, MEMBERS, MEMBERS],
                stored.with_epoch(epoch).pack(),
            ]
        elif random.random() < 0.3:
            epoch = durable["view"][0] + 1
            durable |= {"view": [epoch, MEMBERS, MEMBERS], "accepted": None}
            stored = stored.with_epoch(epoch)
        store.save(durable, stored)
        now = (dict(durable), stored.copy())
        if before == files(tmp_path / "a"):
            continue
        after = files(tmp_path / "a")
        seen["checkpoint"] += before[FILE] != after[FILE]
        seen["log anew"] += before[LOG][:32] != after[LOG][:32]
        for left, synced in after_power(before, after, random):
            found = found_in(tmp_path / "b", left)
            assert found == now or (not synced and found == last), step
            seen["before" if found == last else "after"] += 1
        last = now
    store.close()
    assert min(seen[name] for name in ("checkpoint", "log anew", "before", "after")) >= 3, seen


def test_a_log_kept_with_an_older_file_is_the_newest_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file is as its last checkpoint left it, or as any since the log began, whatever came after."""
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 30)
    store = ReplicaStore(str(tmp_path / "a"))
    stored = Replica()
    older: list[bytes] = []
    log = b""
    for number in range(1, 60):
        stored.apply(Update(number, b"%d" % number * 4000), 3)
        store.save(DURABLE, stored)
        now = files(tmp_path / "a")
        if now[LOG][:32] != log:
            older, log = older[-1:], now[LOG][:32]
        older.append(now[FILE])
        for file in {older[0], older[-1]}:
            assert found_in(tmp_path / "b", {FILE: file, LOG: now[LOG]}) == (DURABLE, stored)
    store.close()
    assert found_in(tmp_path / "b", files(tmp_path / "a")) == (DURABLE, stored)
    # The log's removal is lost.
    assert found_in(tmp_path / "b", files(tmp_path / "a") | {LOG: now[LOG]}) == (DURABLE, stored)


@pytest.mark.parametrize("schema", [1, 2])
def test_power_lost_during_a_migration_is_recovered(tmp_path: Path, schema: int) -> None:
    random = Random(schema)
    (tmp_path / "a").mkdir()
    write_older(tmp_path / "a", schema, 9, b"doc" * 3000, {f"i{n}": 1 for n in range(200)})
    before = files(tmp_path / "a")
    stored = Replica(Config(3, 9, b"doc" * 3000, digest_of(b"doc" * 3000)), {f"i{n}": 1 for n in range(200)})
    store = ReplicaStore(str(tmp_path / "a"))
    after = files(tmp_path / "a")
    store.close()
    for _ in range(5):
        for left, _ in after_power(before, after, random):
            assert found_in(tmp_path / "b", left) == ({**DURABLE, "view": [3, MEMBERS, MEMBERS]}, stored)


class Names:
    """A folder whose renames may each be lost until it is synced, and power that goes at any of them."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folder = folder
        self.synced, self.since = files(folder), list[tuple[str, str]]()
        self.left: list[Files] = []
        self._move, self._sync = storage_file.move_if_exists, storage_file.sync_path
        monkeypatch.setattr(storage_file, "move_if_exists", self.move)
        monkeypatch.setattr(storage_file, "sync_path", self.sync)

    def losses(self) -> Iterator[Files]:
        for kept in itertools.product((False, True), repeat=len(self.since)):
            names = dict(self.synced)
            for (name, to), there in zip(self.since, kept, strict=True):
                if there and name in names:
                    names[to] = names.pop(name)
            yield names

    def move(self, path: Path, to: Path) -> None:
        if path.exists():
            self.since.append((path.name, to.name))
        self._move(path, to)
        self.left += self.losses()

    def sync(self, path: Path) -> None:
        self.left += self.losses()
        self._sync(path)
        if path == self.folder:
            self.synced, self.since = files(path), []


def test_power_lost_while_a_file_is_set_aside_brings_no_older_state_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "a"
    store = ReplicaStore(str(folder))
    store.save(DURABLE, replica(3))
    store.db.execute("pragma wal_checkpoint(truncate)")
    store.save({**DURABLE, "promised": [4, [9, "c"]]}, replica(4))
    left = files(folder)
    store.close()
    found = found_in(tmp_path / "b", {FILE: left[FILE]})
    assert found == (DURABLE, replica(3))  # older, and complete by itself
    spoilt = left | {FILE: left[FILE][:4096] + b"\xff" * (len(left[FILE]) - 4096)}
    for start in (spoilt, left):
        for name in (FILE, LOG):
            (folder / name).write_bytes(start[name])
        with monkeypatch.context() as patched:
            store = ReplicaStore(str(folder))
            names = Names(folder, patched)

            def refused(
                self: StoreFile,
                names: Names = names,
                start: Files = start,
                close: Any = StoreFile.close,
            ) -> None:
                """Close where the disk refuses the checkpoint: the file stays older, the log beside it."""
                close(self)
                for name in (FILE, LOG):
                    (folder / name).write_bytes(start[name])
                names.synced = files(folder)

            store._read = _raise_corrupt_store  # type: ignore[method-assign]
            patched.setattr(StoreFile, "close", refused)
            assert store.load() is None and store.quarantined
            patched.undo()
            store.close()
        assert len(names.left) > 6
        for left_files in names.left:
            found = found_in(tmp_path / "b", left_files)
            assert found is None or found == ({**DURABLE, "promised": [4, [9, "c"]]}, replica(4))
        for path in folder.iterdir():
            path.unlink()


def _raise_corrupt_store() -> Any:
    raise CorruptStoreError("as where a page is damaged")


def test_an_old_log_beside_a_new_file_is_ignored(tmp_path: Path) -> None:
    """The file's removal kept, its log's lost."""
    store = ReplicaStore(str(tmp_path / "a"))
    store.save(DURABLE, replica(3))
    log = files(tmp_path / "a")[LOG]
    store.close()
    assert found_in(tmp_path / "b", {LOG: log}) is None
    assert found_in(tmp_path / "b", {LOG: log, FILE: b"", f"{FILE}{QUARANTINE_SUFFIX}": b"x"}) is None


def test_what_a_killed_process_left_is_synced_before_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A kill came between write and sync; the next process sends what it loads, so that must be durable."""
    store = ReplicaStore(str(tmp_path / "a"))
    store.save(DURABLE, replica(3))
    left = files(tmp_path / "a")
    store.close()
    for name, data in left.items():
        (tmp_path / "a" / name).write_bytes(data)
    done: list[str] = []
    sync, connect = storage_file.sync_path, StoreFile.connect

    def synced(path: Path) -> None:
        sync(path)
        done.append(path.name)

    def connected(self: StoreFile) -> None:
        done.append("read")
        connect(self)

    monkeypatch.setattr(storage_file, "sync_path", synced)
    monkeypatch.setattr(StoreFile, "connect", connected)
    store = ReplicaStore(str(tmp_path / "a"))
    assert set(done[: done.index("read")]) == {"a", FILE, LOG}
    assert done[-1] == "a"  # the file's own name, and the removal of the journal of its making
    assert store.load() == (DURABLE, replica(3))
    store.close()
    assert done[-1] == "a" and not (tmp_path / "a" / LOG).exists()  # the log's removal
