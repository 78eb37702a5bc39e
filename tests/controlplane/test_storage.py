"""What a control-plane node stores: older files, torn rows, disks that refuse, bounds, and snapshots."""

from __future__ import annotations

import json
import resource
import sqlite3
from contextlib import closing
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from tests.common.test_decoding import document
from tests.support.storage_files import DURABLE, MEMBERS, OLD, files, found_in, reopened, replica, write_older
from wickspring.common.digest import digest_of
from wickspring.common.errors import ErrorKind
from wickspring.controlplane import storage_file, storage_records
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.packing import PackedFields
from wickspring.controlplane.replication.replica import MAX_HISTORY, CommitOutcome, Config, Replica, Update
from wickspring.controlplane.storage import OPEN_ATTEMPTS, ReplicaStore
from wickspring.controlplane.storage_file import FILE, MAX_LOG_BYTES, PAGE_BYTES, QUARANTINE_SUFFIX

BODY = json.dumps(document()).encode()


@pytest.mark.parametrize("schema", [1, 2])
def test_an_older_programs_file_is_moved_on_with_all_it_holds(tmp_path: Path, schema: int) -> None:
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
def test_an_older_accepted_view_goes_on_with_the_held_copy_unless_it_is_over(
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


def test_an_older_empty_file_stays_empty(tmp_path: Path) -> None:
    write_older(tmp_path, 2, 0, b"", {})
    store = ReplicaStore(str(tmp_path))
    found = store.load()
    assert found is not None and found[1].config.version == 0 and found[1].config.epoch == 3
    store.close()


@pytest.mark.parametrize(
    "spoilt",
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
def test_an_older_file_that_is_not_whole_is_set_aside(tmp_path: Path, spoilt: str) -> None:
    write_older(tmp_path, 2, 9, b"doc", {"i1": 1})
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute(spoilt)
    store = ReplicaStore(str(tmp_path))
    assert store.quarantined and store.load() is None and (tmp_path / f"{FILE}{QUARANTINE_SUFFIX}").exists()
    store.close()


@pytest.mark.parametrize("schema", [1, 2])
def test_a_file_is_moved_on_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, schema: int
) -> None:
    write_older(tmp_path, schema, 9, b"doc", {"i1": 1})
    with monkeypatch.context() as patched:

        def refuse(*_: Any) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        patched.setattr(storage_records, "put_departures", refuse)
        pauses: list[float] = []
        with pytest.raises(sqlite3.OperationalError):
            ReplicaStore(str(tmp_path), pauses.append)
        assert len(pauses) == OPEN_ATTEMPTS - 1
    store = ReplicaStore(str(tmp_path))
    found = store.load()  # nothing was given up because the disk refused
    assert found is not None and found[1] == Replica(Config(3, 9, b"doc", digest_of(b"doc")), {"i1": 1})
    store.close()


def test_saves_under_random_load_are_read_back_whole(tmp_path: Path) -> None:
    random = Random(4)
    stored = Replica()
    durable = dict(DURABLE)
    store = ReplicaStore(str(tmp_path))
    for step in range(300):
        epoch = 3 + step // 50
        if random.random() < 0.3:
            stored.apply(Update(stored.config.version + random.randint(1, 3), b"%d" % step), epoch)
        stored.add_departures({f"i{random.randrange(80)}": random.choice((1, 2))})
        if len(stored.departures) > 60:  # as where too many are remembered
            del stored.departures[next(iter(stored.departures))]
        if step % 50 == 25:
            view = [epoch + 1, MEMBERS, MEMBERS]
            durable["accepted"] = [epoch + 1, [step, "b"], view, stored.with_epoch(epoch + 1).pack()]
        elif step % 50 == 0:
            durable |= {"accepted": None, "view": [epoch, MEMBERS, MEMBERS[:1]]}
            stored = stored.with_epoch(epoch)
        elif step % 50 == 40:  # another epoch's text takes the place of this one's
            lower = Config(epoch, 2, b"other", digest_of(b"other"), ((1, digest_of(b"%d" % step)),))
            stored = Replica(lower, stored.departures)
        store.save(durable, stored.copy())
        if random.random() < 0.1:
            store = reopened(store)
            found = store.load()
            assert found == (durable, stored)
            assert found is not None and list(found[1].departures) == list(stored.departures)
            assert not store.quarantined
    store.close()


@pytest.mark.parametrize(
    "torn",
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
def test_what_does_not_add_up_is_set_aside(tmp_path: Path, torn: str) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(9, {"i1": 1, "i2": 1}))
    store.close()
    with closing(sqlite3.connect(tmp_path / FILE, isolation_level=None)) as db:
        db.execute(torn)
    store = ReplicaStore(str(tmp_path))
    assert store.load() is None and store.quarantined and (tmp_path / f"{FILE}{QUARANTINE_SUFFIX}").exists()
    store.save(DURABLE, replica(10, {"i3": 1}))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(10, {"i3": 1}))
    store.close()


@pytest.mark.parametrize("name", ["chain", "accepted", "config", "document", "seal"])
def test_a_part_of_another_save_makes_no_copy_however_sound_it_is(tmp_path: Path, name: str) -> None:
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


def test_the_known_servers_are_no_part_of_the_copy(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save_endpoints([["s1", 1]])
    store = reopened(store)
    assert store.load() is None and store.load_endpoints() == [["s1", 1]]
    store.save(DURABLE, replica(2))
    store.save_endpoints([["s1", 2]])
    store.db.execute("update part set data = x'00' where name = 'servers'")
    store = reopened(store)
    assert store.load() == (DURABLE, replica(2))
    assert store.load_endpoints() == []  # heartbeats report them again
    store.close()


def test_a_copy_without_its_text_is_not_saved(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(2))
    for config in (Config(3, 9, b"", digest_of(b"x")), Config(3, 9, b"y", digest_of(b"x"))):
        with pytest.raises((AssertionError, ValueError)):
            store.save(DURABLE, Replica(config))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(2))
    store.close()


def test_the_accepted_state_is_checked_as_a_copy_is(tmp_path: Path) -> None:
    for state in (Config(4, 9, b"", digest_of(b"x")), Config(4, 9, b"y", digest_of(b"x"))):
        store = ReplicaStore(str(tmp_path))
        accepted: PackedFields = [4, [2, "b"], [4, MEMBERS, MEMBERS], Replica(state).pack()]
        store.save({**DURABLE, "accepted": accepted}, replica(2))
        store = reopened(store)
        assert store.load() is None and store.quarantined
        store.close()


# Disks that refuse.


def test_a_full_disk_leaves_the_last_whole_state_and_takes_the_next(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path / "a"))
    stored = replica(3, {"i1": 1}, b"x" * 20_000)
    store.save(DURABLE, stored)
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    more = replica(4, {"i1": 2}, b"y" * 600_000)
    for room in range(40_000, 600_000, 70_000):
        resource.setrlimit(resource.RLIMIT_FSIZE, (room, hard))  # the log can grow no further
        try:
            for _ in range(3):
                with pytest.raises(sqlite3.OperationalError):
                    store.save(DURABLE, more)
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
        assert found_in(tmp_path / "b", files(tmp_path / "a")) == (DURABLE, stored)  # as after a kill
    store.save(DURABLE, more)  # there is room again
    assert found_in(tmp_path / "b", files(tmp_path / "a")) == (DURABLE, more)
    store.close()


def test_a_disk_that_refuses_a_read_costs_no_copy(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(3))
    store.close()
    pauses: list[float] = []
    store = ReplicaStore(str(tmp_path), pauses.append)
    read, refused = store._read, [sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_FULL]

    def reads() -> Any:
        if refused:
            error = sqlite3.OperationalError("disk I/O error")
            error.sqlite_errorcode = refused.pop() | 1 << 8
            raise error
        return read()

    store._read = reads  # type: ignore[method-assign]
    assert store.load() == (DURABLE, replica(3)) and len(pauses) == 3 and not store.quarantined
    store.close()


# Bounds.


def sizes(folder: Path) -> dict[str, int]:
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
            most = {name: max(most[name], size) for name, size in sizes(tmp_path).items()}
    kept = len(text) + sum(len(server) + 20 for server in stored.departures) + 24 * MAX_HISTORY
    assert len(stored.departures) == 4096 and len(stored.config.history) == MAX_HISTORY
    assert most[FILE] <= 3 * kept + 64 * PAGE_BYTES
    assert most[f"{FILE}-wal"] <= MAX_LOG_BYTES + 2 * (kept + 64 * PAGE_BYTES)
    store = reopened(store)
    assert store.load() == (DURABLE, stored)
    assert set(sizes(tmp_path)) <= {FILE, f"{FILE}-wal"}
    store.close()


def test_the_log_gives_back_what_a_large_save_took(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(storage_file, "CHECKPOINT_PAGES", 20)
    monkeypatch.setattr(storage_file, "MAX_LOG_BYTES", 20 * (PAGE_BYTES + 24))
    store = ReplicaStore(str(tmp_path))
    stored = replica(1, {}, b"x" * 4_000_000)
    store.save(DURABLE, stored)
    assert sizes(tmp_path)[f"{FILE}-wal"] > 4_000_000
    for number in range(2, 30):
        stored.apply(Update(number, b"%d" % number), 3)
        store.save(DURABLE, stored)
    assert sizes(tmp_path)[f"{FILE}-wal"] <= 40 * (PAGE_BYTES + 24)
    store.close()


def test_a_change_writes_what_it_changes(tmp_path: Path) -> None:
    """Pages of the log, of a copy with 4,096 leaving servers, 512 numbers and a text of 100 KB."""
    store = ReplicaStore(str(tmp_path))
    stored = replica(600, {f"server-{n}": 1 for n in range(4096)})
    stored.apply(Update(601, b"x" * 100_000), 3)
    store.save(DURABLE, stored)

    def written(change: Any) -> int:
        store.db.execute("pragma wal_checkpoint(truncate)")
        change()
        rows = store.db.total_changes
        store.save(DURABLE | promised, stored)
        assert store.db.total_changes - rows <= 7  # of thousands
        return sizes(tmp_path)[f"{FILE}-wal"] // (PAGE_BYTES + 24)

    promised: dict[str, Any] = {}
    assert written(lambda: None) == 0
    assert written(lambda: stored.add_departures({"server-9": 2})) <= 6
    assert written(lambda: stored.add_departures({"server-new": 1})) <= 12  # and the oldest is forgotten
    assert written(lambda: promised.update(promised=[4, [7, "c"]])) <= 4
    assert written(lambda: stored.apply(Update(602, b"y" * 100_000), 3)) <= 25 + 10
    assert written(lambda: stored.apply(Update(603, b"z" * 100), 3)) <= 25 + 10  # pages that come free
    assert written(lambda: stored.apply(Update(604, b"w" * 100), 3)) <= 10
    store.close()


def test_the_last_leaving_servers_are_forgotten_on_disk_too(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(2, {"i1": 1, "i2": 2}))
    store.save(DURABLE, replica(1))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(1)) and not store.quarantined
    store.close()


def test_files_that_were_set_aside_do_not_pile_up(tmp_path: Path) -> None:
    for turn in range(8):
        store = ReplicaStore(str(tmp_path))
        store.save(DURABLE, replica(turn + 1, {}, b"x" * 50_000))
        if turn % 2:
            store.db.execute("update part set data = x'00' where name = 'chain'")
            store.close()
        else:  # killed, so that its log stays; and its file is no database
            left = files(tmp_path)
            store.close()
            (tmp_path / FILE).write_bytes(b"no database at all" * 999)
            (tmp_path / f"{FILE}-wal").write_bytes(b"no log" * 99 + left[f"{FILE}-wal"])
        stale = b"of one set aside before"
        for ending in ("", "-wal", "-journal"):
            (tmp_path / f"{FILE}{ending}{QUARANTINE_SUFFIX}").write_bytes(stale)
        store = ReplicaStore(str(tmp_path))
        assert store.load() is None and store.quarantined
        assert store.load() is None  # the fresh file is sound
        store.close()
        now = files(tmp_path)
        assert f"{FILE}{QUARANTINE_SUFFIX}" in now and now.keys() <= {
            FILE,
            f"{FILE}{QUARANTINE_SUFFIX}",
            f"{FILE}-wal{QUARANTINE_SUFFIX}",
        }
        assert stale not in now.values()
        assert sum(map(len, now.values())) < 500_000


# Snapshots.


def replica_with_departures(number: int) -> Replica:
    state = replica(number - 1)
    state.apply(Update(number, BODY), 3)
    state.add_departures({"i1": 1, "i2": 2})
    return state


def test_a_snapshot_comes_back_whole_or_is_refused() -> None:
    body, update = snapshot.pack(replica_with_departures(7), 5), Update(7, BODY, {"i1": 1, "i2": 2})
    assert snapshot.unpack(body).ok == update
    empty = Replica(departures={"i1": 2})
    assert snapshot.unpack(snapshot.pack(empty, 1)).ok == Update(departures={"i1": 2})
    tree = json.loads(body)
    assert tree["format"] == 2 and tree["number"] == 7 and tree["digest"] == digest_of(BODY).hex()
    assert tree["epoch"] == 5 and [number for number, _ in tree["history"]] == [1, 2, 3, 4, 5, 6]
    changes: tuple[dict[str, Any], ...] = (
        {"format": 1},
        {"format": 3},
        {"leaving": {"i1": 2, "i2": 2}},
        {"config": ""},
        {"sum": ""},
        {"number": 8},
        {"digest": "00"},
        {"history": []},
        {"epoch": 6},
    )
    for change in changes:
        refused = snapshot.unpack(json.dumps(tree | change).encode())
        assert refused.is_error() and refused.error.kind is ErrorKind.INVALID_SNAPSHOT
    for cut in range(len(body)):
        assert snapshot.unpack(body[:cut]).is_error()
    random = Random(2)
    for _ in range(1000):
        at = random.randrange(len(body))
        spoilt = body[:at] + bytes([random.randrange(256)]) + body[at + random.choice((0, 1, 9)) :]
        read = snapshot.unpack(spoilt)
        assert read.is_error() or read.ok == update


@pytest.mark.parametrize(
    "change",
    [
        {"number": 8},
        {"digest": "00" * 16},
        {"history": [(3, "00" * 16), (2, "00" * 16)]},
        {"config": ""},
        {"history": [(7, "00" * 16)]},
        {"history": [(1, "00")]},
        {"leaving": {"i1": 3}},
        {"leaving": {"": 1}},
        {"number": 0},
        {"config": BODY.decode() + " "},
        {"config": "{}"},
    ],
)
def test_a_snapshot_whose_parts_do_not_belong_together_is_refused_with_a_fitting_sum(
    change: dict[str, Any],
) -> None:
    parts = msgspec.json.decode(snapshot.pack(replica_with_departures(7), 5), type=snapshot._Snapshot)
    for name, value in change.items():
        setattr(parts, name, value)
    parts.sum = snapshot._checksum_of(parts)
    refused = snapshot.unpack(msgspec.json.encode(parts))
    assert refused.is_error() and refused.error.kind is ErrorKind.INVALID_SNAPSHOT


def test_a_snapshot_of_the_program_before_is_still_read() -> None:
    departures = {"i2": 2, "i1": 1}
    written = {"format": 1, "epoch": 4, "config": BODY.decode(), "leavers": departures}
    written["sum"] = snapshot._checksum(BODY.decode(), sorted(departures.items()))
    assert snapshot.unpack(json.dumps(written).encode()).ok == Update(7, BODY, departures)
    assert snapshot.unpack(json.dumps(written | {"leavers": {}}).encode()).is_error()


def test_an_old_snapshot_takes_nothing_back() -> None:
    now = replica(9, {"i1": 2, "i3": 1})
    before = now.config
    update = snapshot.unpack(snapshot.pack(replica_with_departures(7), 1)).ok
    assert now.apply(update, 4)  # as the head of a later epoch does
    assert now.config == before and now.departures == {"i1": 2, "i3": 1, "i2": 2}
    # Its version has another document here: that is a conflict, and nothing changes.
    assert now.config.outcome_of(update.version, digest_of(update.document)) is CommitOutcome.CONFLICT
    assert not now.apply(update, 4) and now.config == before  # and again
