"""What a core machine keeps on disk: one sqlite file, each change one transaction and one sync.

The journal is a write-ahead log and locking is exclusive, so that a commit costs one sync and no shared
memory is needed. What cannot be read whole is set aside and the machine starts as one with an empty disk.
"""

from __future__ import annotations

import hashlib
import sqlite3
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack
from zope.interface import Interface, implementer

from wickspring.lighthouse.chain import Hold

SCHEMA = 1
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

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / FILE
        self._saved: dict[str, bytes] = {}
        self.set_aside = False
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
            with self.db:
                table = "create table if not exists part (name text primary key, sum blob, data blob)"
                self.db.execute(table)
                if found != SCHEMA:
                    self.db.execute(f"pragma user_version={SCHEMA}")
        except sqlite3.DatabaseError:
            if self.set_aside:
                raise
            self._set_aside()

    def _set_aside(self) -> None:
        """What cannot be read is kept for a look, and this machine is as one whose disk was lost."""
        self.set_aside = True
        self.db.close()
        for ending in ("", "-wal", "-shm"):
            with suppress(OSError):
                Path(f"{self.path}{ending}").rename(f"{self.path}{ending}.bad")
        self._saved.clear()
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
            version, leavers = msgpack.unpackb(parts["hold"])
            self._saved = parts
            return durable, Hold(version, parts.get("document", b""), dict(leavers))
        except (sqlite3.DatabaseError, ValueError, TypeError, KeyError, msgpack.UnpackException):
            if not self.set_aside:
                self._set_aside()
            return None

    def save(self, durable: dict[str, Any], hold: Hold) -> None:
        """Save what differs from what was saved last, in one transaction."""
        parts = {
            "chain": msgpack.packb(durable),
            "hold": msgpack.packb([hold.version, hold.leavers]),
            "document": hold.document,
        }
        self._write(parts)

    def load_servers(self) -> list[Any]:
        """Return the servers that were saved last; they may be gone by now."""
        try:
            return list(msgpack.unpackb(self._saved["servers"])) if "servers" in self._saved else []
        except (ValueError, TypeError, msgpack.UnpackException):
            return []

    def save_servers(self, servers: list[Any]) -> None:
        """Save the servers that are known, so that all may start again without waiting for beats."""
        self._write({"servers": msgpack.packb(servers)})

    def _write(self, parts: dict[str, bytes]) -> None:
        changed = {name: data for name, data in parts.items() if self._saved.get(name) != data}
        if not changed:
            return
        self.db.execute("begin immediate")
        try:
            for name, data in changed.items():
                self.db.execute("insert or replace into part values (?, ?, ?)", (name, _sum(data), data))
            self.db.execute("commit")
        except sqlite3.Error:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise
        self._saved |= parts

    def close(self) -> None:
        """Let go of the file."""
        self.db.close()
