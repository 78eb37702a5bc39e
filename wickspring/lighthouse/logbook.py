"""What a core machine keeps on disk: one sqlite file, each change one transaction and one sync.

The journal is a write-ahead log and locking is exclusive, so that a commit costs one sync and no shared
memory is needed. What cannot be read whole is set aside and the machine starts as one with an empty disk.

Schema 2: table `part` has the view and votes (`chain`), the version and how many servers leave (`hold`),
the configuration (`document`) and the servers that are known (`servers`); table `leaver` a row for each
server that leaves. Each row has a sum of its own. Schema 1 had all leavers in `hold`, so each drain wrote
all of them again; its files are moved on when they are opened, in one transaction.
"""

from __future__ import annotations

import hashlib
import sqlite3
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack
from zope.interface import Interface, implementer

from wickspring.harbour import log
from wickspring.lighthouse.chain import Hold

SCHEMA = 2
OPEN_TRIES, OPEN_AGAIN_S = 20, 0.25  # while a disk refuses; what it holds is not given up for that
FILE = "logbook.sqlite"


class IKeeper(Interface):  # type: ignore[misc]
    """Where a core machine's state outlives its process."""

    def load(self) -> tuple[dict[str, Any], Hold] | None:
        """Return what was saved last, or None where nothing is there."""

    def save(self, durable: dict[str, Any], hold: Hold) -> None:
        """Save it whole; it is on disk when this returns. OSError or sqlite3.Error where it is not."""


def _sum(blob: bytes) -> bytes:
    return hashlib.blake2b(blob, digest_size=16).digest()


@implementer(IKeeper)
class Logbook:
    """The file in a folder of this machine's disk."""

    def __init__(self, folder: str, pause: Callable[[float], None] = time.sleep) -> None:
        self.path = Path(folder) / FILE
        self._saved: dict[str, bytes] = {}
        self._leavers: dict[str, int] = {}  # that are on disk
        self.set_aside = False
        for _ in range(OPEN_TRIES - 1):
            try:
                self._open()
                return
            except (sqlite3.OperationalError, OSError) as error:  # the disk refuses; the file may be sound
                log.event("open_failed", reason=error)
                pause(OPEN_AGAIN_S)
        self._open()

    def _open(self) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=0.0)
        try:
            self.db.execute("pragma locking_mode=exclusive")
            self.db.execute("pragma journal_mode=wal")
            self.db.execute("pragma synchronous=full")
            self.db.execute("pragma cache_size=-256")
            found = self.db.execute("pragma user_version").fetchone()[0]
            if found > SCHEMA:
                raise ValueError(f"written by a newer program: schema {found}, this one knows {SCHEMA}")
            if found != SCHEMA:
                self._move_on(found)
        except sqlite3.OperationalError:
            self.db.close()
            raise
        except sqlite3.DatabaseError:
            if self.set_aside:
                raise
            self._set_aside()

    def _move_on(self, found: int) -> None:
        """Bring a file of an older schema, or a new one, to this schema; all of it or nothing."""
        self.db.execute("begin immediate")
        try:
            self.db.execute("create table if not exists part (name text primary key, sum blob, data blob)")
            self.db.execute("create table if not exists leaver (id text primary key, state int, sum blob)")
            if found == 1:
                row = self.db.execute("select sum, data from part where name = 'hold'").fetchone()
                if row is not None and _sum(bytes(row[1])) == row[0]:  # else it is set aside when loaded
                    version, leavers = msgpack.unpackb(bytes(row[1]))
                    self._put({"hold": msgpack.packb([version, len(leavers)])})
                    self._put_leavers(leavers)
            self.db.execute(f"pragma user_version={SCHEMA}")
            self.db.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise

    def _put(self, parts: dict[str, bytes]) -> None:
        for name, data in parts.items():
            self.db.execute("insert or replace into part values (?, ?, ?)", (name, _sum(data), data))

    def _put_leavers(self, leavers: dict[str, int]) -> None:
        rows = [(id_, state, _sum(f"{id_} {state}".encode())) for id_, state in leavers.items()]
        put = "insert into leaver values (?, ?, ?) on conflict (id) do update set state = ?2, sum = ?3"
        self.db.executemany(put, rows)  # a row keeps its place: the oldest are forgotten first

    def _set_aside(self) -> None:
        """What cannot be read is kept for a look, and this machine is as one whose disk was lost."""
        self.set_aside = True
        self.db.close()
        for ending in ("", "-wal", "-shm"):
            with suppress(OSError):
                Path(f"{self.path}{ending}").rename(f"{self.path}{ending}.bad")
        self._saved.clear()
        self._leavers.clear()
        self._open()

    def load(self) -> tuple[dict[str, Any], Hold] | None:
        """Return what was saved last, or None where nothing whole is there."""
        try:
            rows = self.db.execute("select name, sum, data from part").fetchall()
            parts = {str(name): bytes(data) for name, checked, data in rows if _sum(data) == checked}
            if len(parts) < len(rows):
                raise ValueError("a sum does not fit")
            if "chain" not in parts:
                return None
            durable = msgpack.unpackb(parts["chain"])
            version, count = msgpack.unpackb(parts["hold"])
            told = self.db.execute("select id, state, sum from leaver order by rowid").fetchall()
            leavers = {str(id_): int(state) for id_, state, _ in told}
            if len(told) != count or any(_sum(f"{id_} {state}".encode()) != s for id_, state, s in told):
                raise ValueError("the leaving servers are not whole")
            self._saved, self._leavers = parts, leavers
            return durable, Hold(version, parts.get("document", b""), dict(leavers))
        except (sqlite3.DatabaseError, ValueError, TypeError, KeyError, msgpack.UnpackException):
            if not self.set_aside:
                self._set_aside()
            return None

    def save(self, durable: dict[str, Any], hold: Hold) -> None:
        """Save what differs from what was saved last, in one transaction."""
        parts = {
            "chain": msgpack.packb(durable),
            "hold": msgpack.packb([hold.version, len(hold.leavers)]),
            "document": hold.document,
        }
        self._write(parts, hold.leavers)

    def load_servers(self) -> list[Any]:
        """Return the servers that were saved last; they may be gone by now."""
        try:
            return list(msgpack.unpackb(self._saved["servers"])) if "servers" in self._saved else []
        except (ValueError, TypeError, msgpack.UnpackException):
            return []

    def save_servers(self, servers: list[Any]) -> None:
        """Save the servers that are known, so that all may start again without waiting for beats."""
        self._write({"servers": msgpack.packb(servers)})

    def _write(self, parts: dict[str, bytes], leavers: dict[str, int] | None = None) -> None:
        """Write what differs from what is on disk; of the leaving servers only where they are given."""
        changed = {name: data for name, data in parts.items() if self._saved.get(name) != data}
        told = self._leavers if leavers is None else leavers
        fresh = {id_: state for id_, state in told.items() if self._leavers.get(id_) != state}
        past = self._leavers.keys() - told.keys()
        if not changed and not fresh and not past:
            return
        self.db.execute("begin immediate")
        try:
            self._put(changed)
            self._put_leavers(fresh)
            self.db.executemany("delete from leaver where id = ?", [(id_,) for id_ in past])
            self.db.execute("commit")
        except sqlite3.Error:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise
        self._saved |= parts
        self._leavers = dict(told)

    def close(self) -> None:
        """Let go of the file."""
        self.db.close()
