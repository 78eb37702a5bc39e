"""What a core machine keeps on disk: one sqlite file, each change one transaction and one sync.

The journal is a write-ahead log and locking is exclusive, so that a commit costs one sync and no shared
memory is needed. What cannot be read whole is set aside and the machine starts as one with an empty disk.

Schema 3: table `part` has the view and votes (`chain`), the accepted view with its state (`accepted`), what
the copy's configuration is (`config`: epoch, version, digest, sums of the tables), its text (`document`), the
sums of these four (`seal`), and the servers that are known (`servers`); table `history` has the digest of
each number before, table `leaving` a row for each server that leaves. All but `servers` is checked as one:
a file that mixes two saves is no copy. Files of schemas 1 and 2 (`logbook_older.py`) are moved on when they
are opened, in one transaction.

Files are bounded: pages are used again, the log begins anew once it has `CHECKPOINT_PAGES`, and at most one
file that was set aside is kept. A folder is synced before a name in it is used again: a removal or a rename
that power undoes would else bring an old log back beside a new file. What is found is synced before it is
read: its writer may have been killed between the write and the sync.
"""

from __future__ import annotations

import hashlib
import os
import sqlite3
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import msgpack
from zope.interface import Interface, implementer

from wickspring.common import logs as logs_module
from wickspring.common.digest import digest_of
from wickspring.controlplane import storage_legacy
from wickspring.controlplane.replication.replica import Config, Replica
from wickspring.controlplane.storage_legacy import CorruptStoreError
from wickspring.core.invariants import holds

T = TypeVar("T")

SCHEMA = 3
OPEN_TRIES, OPEN_AGAIN_S = 20, 0.25  # while a disk refuses; what it holds is not given up for that
FILE = "logbook.sqlite"
BAD = ".bad"  # of what was set aside
PAGE = 4096
CHECKPOINT_PAGES = 1000  # of the log, after which they go to the file and the log begins anew
LOG_MOST = CHECKPOINT_PAGES * (PAGE + 24) + 32  # bytes that the log keeps after one larger save
SUM_SIZE = 16
SEALED = ("chain", "accepted", "config", "document")
_REFUSED = {
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_INTERRUPT,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_CANTOPEN,
}
_UNREADABLE = (sqlite3.DatabaseError, ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException)


class IReplicaStore(Interface):  # type: ignore[misc]
    """Where a core machine's state outlives its process."""

    def load(self) -> tuple[dict[str, Any], Replica] | None:
        """Return what was saved last, or None where nothing is there."""

    def save(self, durable: dict[str, Any], replica: Replica) -> None:
        """Save it whole; it is on disk when this returns. OSError or sqlite3.Error where it is not."""


def _sum(blob: bytes) -> bytes:
    return hashlib.blake2b(blob, digest_size=SUM_SIZE).digest()


def _refuses(error: Exception) -> bool:
    """Tell whether the disk does not do what it is asked now; what it holds may be sound."""
    code = getattr(error, "sqlite_errorcode", None)
    if code is None:
        return isinstance(error, sqlite3.OperationalError)
    return code & 0xFF in _REFUSED


def _sync(path: Path) -> None:
    """Make what a file holds, or what a folder names, outlast a loss of power."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _move(path: Path, to: Path) -> None:
    with suppress(FileNotFoundError):
        path.replace(to)


def _history_sum(history: dict[int, bytes]) -> bytes:
    return _sum(msgpack.packb(sorted(history.items())))


@implementer(IReplicaStore)
class ReplicaStore:
    """The file in a folder of this machine's disk."""

    def __init__(self, folder: str, pause: Callable[[float], None] = time.sleep) -> None:
        self.path = Path(folder) / FILE
        self.set_aside = False
        self._pause = pause
        self._db: sqlite3.Connection | None = None
        self._saved: dict[str, bytes] = {}  # the parts that are on disk,
        self._history: dict[int, bytes] = {}
        self._leaving: dict[str, int] = {}
        self._patiently(self._open)

    @property
    def db(self) -> sqlite3.Connection:
        """Return the open file."""
        if self._db is None:
            raise sqlite3.OperationalError("the logbook is closed")
        return self._db

    def _patiently(self, what: Callable[[], T]) -> T:
        """Do it again while the disk refuses; the file may be sound."""
        for _ in range(OPEN_TRIES - 1):
            try:
                return what()
            except (sqlite3.OperationalError, OSError) as error:
                logs_module.log_event("store_open_failed", reason=error)
                self._pause(OPEN_AGAIN_S)
        return what()

    # Opening.

    def _open(self) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        _sync(self.path.parent)  # names that an earlier life removed stay removed
        for path in (self.path, Path(f"{self.path}-wal")):
            # An earlier life may have been killed between a write and its sync. What it wrote will be read,
            # and told to others, so it must not be lost with power after that.
            with suppress(FileNotFoundError):
                _sync(path)
        try:
            self._connect()
        except (sqlite3.DatabaseError, CorruptStoreError) as error:
            self.close()
            if _refuses(error):
                raise
            self._set_aside()
            self._connect()
        _sync(self.path.parent)  # the file is there, and the journal of its making is not

    def _connect(self) -> None:
        self._db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self.db.execute("pragma locking_mode=exclusive")
        if self.db.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
            raise sqlite3.OperationalError("the disk gives no write-ahead log")
        self.db.execute("pragma synchronous=full")
        self.db.execute("pragma cache_size=-256")
        self.db.execute(f"pragma wal_autocheckpoint={CHECKPOINT_PAGES}")
        self.db.execute(f"pragma journal_size_limit={LOG_MOST}")
        found = self.db.execute("pragma user_version").fetchone()[0]
        if found > SCHEMA:
            self.close()
            raise ValueError(f"written by a newer program: schema {found}, this one knows {SCHEMA}")
        if found != SCHEMA:
            self._transact(lambda: self._move_on(found))

    def _transact(self, change: Callable[[], None]) -> None:
        """Make a change whole, or not at all."""
        self.db.execute("begin immediate")
        try:
            change()
            self.db.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise

    def _move_on(self, found: int) -> None:
        """Bring a file of an older schema, or a new one, to this schema."""
        try:
            held = storage_legacy.read(self.db, found) if found else None
        except _UNREADABLE as error:
            if isinstance(error, sqlite3.DatabaseError) and _refuses(error):
                raise
            raise CorruptStoreError(f"schema {found}: {error}") from error
        if found:
            self.db.execute("drop table if exists leaver")
            self.db.execute("drop table part")
        self.db.execute("create table part (name text primary key, sum blob, data blob)")
        self.db.execute("create table leaving (id text primary key, state int, sum blob)")
        self.db.execute("create table history (version integer primary key, digest blob)")
        if held is not None:
            durable, replica, servers = held
            self._put(self._parts(durable, replica) | ({} if servers is None else {"servers": servers}))
            self._put_leaving(replica.departures)
        self.db.execute(f"pragma user_version={SCHEMA}")

    def _set_aside(self) -> None:
        """What cannot be read is kept for a look, and this machine is as one whose disk was lost.

        The file goes before its log does, and each is synced: a file without its log might be read as an
        older state, a log without its file is nothing. Of what was set aside before nothing stays.
        """
        self.set_aside = True
        self.close()
        logs = Path(f"{self.path}-wal"), Path(f"{self.path}-journal")
        for path in logs:
            Path(f"{path}{BAD}").unlink(missing_ok=True)
        _move(self.path, Path(f"{self.path}{BAD}"))
        _sync(self.path.parent)
        for path in logs:
            _move(path, Path(f"{path}{BAD}"))
        _sync(self.path.parent)
        self._saved, self._history, self._leaving = {}, {}, {}

    # Reading.

    def load(self) -> tuple[dict[str, Any], Replica] | None:
        """Return what was saved last, or None where nothing whole is there."""
        return self._patiently(self._load)

    def _load(self) -> tuple[dict[str, Any], Replica] | None:
        if self._db is None:
            self._open()
        try:
            return self._read()
        except _UNREADABLE as error:
            if isinstance(error, sqlite3.DatabaseError) and _refuses(error):
                raise
            self._set_aside()
            self._open()
            return None

    def _read(self) -> tuple[dict[str, Any], Replica] | None:
        """Read all of it and check it; ValueError and the like where it does not add up."""
        rows = self.db.execute("select name, sum, data from part").fetchall()
        parts = {str(name): bytes(data) for name, checked, data in rows if _sum(bytes(data)) == checked}
        bad = {str(name) for name, _, _ in rows} - parts.keys() - {"servers"}
        if bad:
            raise CorruptStoreError(f"sums do not fit: {bad}")
        past = {int(n): bytes(one) for n, one in self.db.execute("select version, digest from history")}
        told = self.db.execute("select id, state, sum from leaving order by rowid").fetchall()
        leaving = {str(server): int(state) for server, state, _ in told}
        if "seal" not in parts:
            if parts.keys() & set(SEALED) or past or told:
                raise CorruptStoreError("no seal")
            self._saved = parts
            return None
        if parts["seal"] != b"".join(_sum(parts[name]) for name in SEALED):
            raise CorruptStoreError("parts of two saves")
        epoch, version, digest, before, left = msgpack.unpackb(parts["config"])
        if [len(past), _history_sum(past)] != before:
            raise CorruptStoreError("the history is not whole")
        if any(_sum(f"{server} {state}".encode()) != checked for server, state, checked in told):
            raise CorruptStoreError("a leaving server's sum does not fit")
        history = sorted(past.items())
        config = Config.unpack([epoch, version, parts["document"], digest, history, b""])
        replica = Replica(config, dict(leaving))
        if not config.complete or [len(leaving), replica.departures_checksum] != left:
            raise CorruptStoreError("the copy is not whole")
        durable: dict[str, Any] = msgpack.unpackb(parts["chain"])
        durable["accepted"] = accepted = msgpack.unpackb(parts["accepted"])
        if accepted is not None and not Replica.unpack(accepted[3]).config.complete:
            raise CorruptStoreError("the accepted view's state is not whole")
        self._saved, self._history, self._leaving = parts, past, leaving
        return durable, replica

    def load_servers(self) -> list[Any]:
        """Return the servers that were saved last; they may be gone by now."""
        try:
            return list(msgpack.unpackb(self._saved["servers"])) if "servers" in self._saved else []
        except (ValueError, TypeError, msgpack.UnpackException):
            return []

    # Writing.

    def save(self, durable: dict[str, Any], replica: Replica) -> None:
        """Save what differs from what was saved last, in one transaction."""
        history = dict(replica.config.history)
        self._write(self._parts(durable, replica), history, replica.departures)

    def save_servers(self, servers: list[Any]) -> None:
        """Save the servers that are known, so that all may start again without waiting for beats."""
        self._write({"servers": msgpack.packb(servers)}, self._history, self._leaving)

    def _parts(self, durable: dict[str, Any], replica: Replica) -> dict[str, bytes]:
        config, history = replica.config, dict(replica.config.history)
        if self._saved.get("document") != config.document:
            right = digest_of(config.document) if config.version else b""
            if not holds(config.complete and config.digest == right, "what is saved is whole"):
                raise ValueError(f"r{config.version} is not whole")
        sums = [[len(history), _history_sum(history)], [len(replica.departures), replica.departures_checksum]]
        parts = {
            "chain": msgpack.packb({key: told for key, told in durable.items() if key != "accepted"}),
            "accepted": msgpack.packb(durable["accepted"]),
            "config": msgpack.packb([config.epoch, config.version, config.digest, *sums]),
            "document": config.document,
        }
        return parts | {"seal": b"".join(self._part_sum(name, parts[name]) for name in SEALED)}

    def _part_sum(self, name: str, data: bytes) -> bytes:
        """Return a part's sum, worked out anew only where the part is another than on disk."""
        if "seal" in self._saved and self._saved[name] == data:
            at = SEALED.index(name) * SUM_SIZE
            return self._saved["seal"][at : at + SUM_SIZE]
        return _sum(data)

    def _put(self, parts: dict[str, bytes]) -> None:
        for name, data in parts.items():
            self.db.execute("insert or replace into part values (?, ?, ?)", (name, _sum(data), data))

    def _put_leaving(self, leaving: dict[str, int]) -> None:
        rows = [(server, state, _sum(f"{server} {state}".encode())) for server, state in leaving.items()]
        put = "insert into leaving values (?, ?, ?) on conflict (id) do update set state = ?2, sum = ?3"
        self.db.executemany(put, rows)  # a row keeps its place: the oldest are forgotten first

    def _write(self, parts: dict[str, bytes], history: dict[int, bytes], leaving: dict[str, int]) -> None:
        """Write what differs from what is on disk."""
        changed = {name: data for name, data in parts.items() if self._saved.get(name) != data}
        numbers = [(n, digest) for n, digest in history.items() if self._history.get(n) != digest]
        past = self._history.keys() - history.keys()
        fresh, forgotten = dict[str, int](), set[str]()
        if leaving != self._leaving:
            fresh = {server: state for server, state in leaving.items() if self._leaving.get(server) != state}
            forgotten = self._leaving.keys() - leaving.keys()
        if not changed and not numbers and not past and not fresh and not forgotten:
            return

        def change() -> None:
            self._put(changed)
            self.db.executemany("delete from history where version = ?", [(n,) for n in past])
            self.db.executemany("insert or replace into history values (?, ?)", numbers)
            self.db.executemany("delete from leaving where id = ?", [(server,) for server in forgotten])
            self._put_leaving(fresh)

        self._transact(change)
        self._saved |= parts
        self._history, self._leaving = dict(history), dict(leaving)

    def close(self) -> None:
        """Let go of the file."""
        if self._db is not None:
            self._db.close()
            self._db = None
            with suppress(OSError):
                _sync(self.path.parent)
