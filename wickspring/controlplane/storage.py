"""The store of a control-plane node: one SQLite file; each save is one transaction and one sync.

`storage_file` opens the file and keeps it durable, `storage_records` lays out the state in its tables, and
`storage_legacy` reads files of schemas 1 and 2, which are migrated when they are opened. A file that
cannot be read in full is quarantined, and the node starts with an empty store.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgpack
from zope.interface import Interface, implementer

from wickspring.common import logs
from wickspring.controlplane import storage_records
from wickspring.controlplane.replication.packing import PackedFields, PackedState
from wickspring.controlplane.replication.replica import Replica
from wickspring.controlplane.storage_file import FILE, StoreFile, is_refusal
from wickspring.controlplane.storage_records import (
    DATA_PLANES_PART,
    ENDPOINTS_PART,
    UNREADABLE_ERRORS,
    Records,
)

ResultT = TypeVar("ResultT")

OPEN_ATTEMPTS = 20  # while a disk refuses; after that, opening fails and the file stays
OPEN_RETRY_S = 0.25


class IReplicaStore(Interface):  # type: ignore[misc]
    """Durable storage of a node's state."""

    def load(self) -> tuple[PackedState, Replica] | None:
        """Return what was saved last, or None where nothing is there."""

    def save(self, durable: PackedState, replica: Replica) -> None:
        """Save it in full; it is on disk when this returns. OSError or sqlite3.Error where it is not."""


@implementer(IReplicaStore)
class ReplicaStore:
    """The file in a folder of this node's disk.

    `pause` sleeps for some seconds before the disk is tried again. Opening raises OSError or
    sqlite3.OperationalError where the disk refuses `OPEN_ATTEMPTS` times, and ValueError for a file that a
    newer program wrote.
    """

    def __init__(self, folder: str, pause: Callable[[float], None] = time.sleep) -> None:
        self._pause = pause
        self._file = StoreFile(Path(folder) / FILE, storage_records.migrate)
        self._saved = Records()  # what is on disk
        self._retry(self._file.open)

    @property
    def path(self) -> Path:
        """Return the path of the file."""
        return self._file.path

    @property
    def db(self) -> sqlite3.Connection:
        """Return the open file; raises sqlite3.OperationalError where it is closed."""
        return self._file.db

    @property
    def quarantined(self) -> bool:
        """Return whether a file that could not be read has been set aside."""
        return self._file.quarantined

    def _retry(self, action: Callable[[], ResultT]) -> ResultT:
        """Repeat an action while the disk refuses; the file may be sound."""
        for _ in range(OPEN_ATTEMPTS - 1):
            try:
                return action()
            except (sqlite3.OperationalError, OSError) as error:
                logs.log_event("store_open_failed", reason=error)
                self._pause(OPEN_RETRY_S)
        return action()

    def load(self) -> tuple[PackedState, Replica] | None:
        """Return what was saved last, or None where nothing complete is there."""
        return self._retry(self._load)

    def _load(self) -> tuple[PackedState, Replica] | None:
        if not self._file.is_open:
            self._file.open()
        try:
            return self._read()
        except UNREADABLE_ERRORS as error:
            if is_refusal(error):
                raise
            self._saved = Records()
            self._file.quarantine()
            self._file.open()
            return None

    def _read(self) -> tuple[PackedState, Replica] | None:
        records = storage_records.read(self.db)
        state = storage_records.decode(records)
        self._saved = records
        return state

    def load_endpoints(self) -> PackedFields:
        """Return the endpoints that were saved last, packed; they may be gone by now."""
        return self._load_list(ENDPOINTS_PART)

    def load_data_planes(self) -> list[str]:
        """Return the names of the data planes that were saved last; they may be gone by now."""
        return [name for name in self._load_list(DATA_PLANES_PART) if isinstance(name, str)]

    def _load_list(self, part: str) -> list[Any]:
        """Return a list that is saved by itself; an empty one where there is none, or it cannot be read."""
        if part not in self._saved.parts:
            return []
        try:
            return list(msgpack.unpackb(self._saved.parts[part]))
        except (ValueError, TypeError, msgpack.UnpackException):
            return []

    def save(self, durable: PackedState, replica: Replica) -> None:
        """Save what differs from what was saved last, in one transaction.

        Raises:
            OSError or sqlite3.Error: it is not saved.
            ValueError: the replica's configuration is not complete.
        """
        self._write(storage_records.encode(durable, replica, self._saved))

    def save_endpoints(self, endpoints: PackedFields) -> None:
        """Save the known endpoints, packed, so that all may start again without waiting for heartbeats."""
        self._save_list(ENDPOINTS_PART, endpoints)

    def save_data_planes(self, names: list[str]) -> None:
        """Save the names of the known data planes."""
        self._save_list(DATA_PLANES_PART, names)

    def _save_list(self, part: str, items: list[Any]) -> None:
        parts = {part: msgpack.packb(items)}
        self._write(Records(parts, self._saved.history, self._saved.departures))

    def _write(self, records: Records) -> None:
        """Write what differs from what is on disk."""
        changes = storage_records.changes(self._saved, records)
        if not changes:
            return
        self._file.transact(lambda: changes.write(self.db))
        parts = self._saved.parts | records.parts
        self._saved = Records(parts, dict(records.history), dict(records.departures))

    def close(self) -> None:
        """Close the file."""
        self._file.close()
