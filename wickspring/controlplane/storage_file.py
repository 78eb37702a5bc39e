"""The SQLite file of a replica store: opening it, durability, and quarantine of what cannot be read.

The journal is a write-ahead log and locking is exclusive, so that a commit costs one sync and no shared
memory is needed (https://www.sqlite.org/wal.html). Files are bounded: pages are used again, the log starts
anew once it has `CHECKPOINT_PAGES`, and at most one quarantined file is kept.

A folder is synced before a name in it is used again: a removal or a rename that a loss of power undoes would
otherwise bring an old log back beside a new file. What is found is synced before it is read: its writer may
have been killed between the write and the sync.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from wickspring.controlplane.storage_legacy import CorruptStoreError

SCHEMA = 3
FILE = "logbook.sqlite"  # fixed by stored files
QUARANTINE_SUFFIX = ".bad"
PAGE_BYTES = 4096
LOG_FRAME_HEADER_BYTES = 24
LOG_HEADER_BYTES = 32
CHECKPOINT_PAGES = 1000  # of the log, after which they go to the file and the log is restarted
CACHE_KIB = 256
# What the log keeps after one larger save.
MAX_LOG_BYTES = CHECKPOINT_PAGES * (PAGE_BYTES + LOG_FRAME_HEADER_BYTES) + LOG_HEADER_BYTES
_PRIMARY_ERROR_MASK = 0xFF  # of SQLite's extended error codes
_REFUSALS = {
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


def is_refusal(error: Exception) -> bool:
    """Return whether an error means that the disk refuses for now; the stored data may be intact."""
    if not isinstance(error, sqlite3.DatabaseError):
        return False
    code = getattr(error, "sqlite_errorcode", None)
    if code is None:
        return isinstance(error, sqlite3.OperationalError)
    return code & _PRIMARY_ERROR_MASK in _REFUSALS


def sync_path(path: Path) -> None:
    """Make what a file stores, or the names in a folder, survive a loss of power."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def move_if_exists(path: Path, to: Path) -> None:
    """Rename a file, if there is one."""
    with suppress(FileNotFoundError):
        path.replace(to)


class StoreFile:
    """One SQLite file.

    `migrate` brings an open file from the schema that it was found with, 0 for a new one, to `SCHEMA`; it
    runs in a transaction.
    """

    def __init__(self, path: Path, migrate: Callable[[sqlite3.Connection, int], None]) -> None:
        self.path = path
        self.quarantined = False  # a file that could not be read has been set aside
        self._migrate = migrate
        self._db: sqlite3.Connection | None = None

    @property
    def db(self) -> sqlite3.Connection:
        """Return the open file; raises sqlite3.OperationalError where it is closed."""
        if self._db is None:
            raise sqlite3.OperationalError("the store is closed")
        return self._db

    @property
    def is_open(self) -> bool:
        """Return whether the file is open."""
        return self._db is not None

    def open(self) -> None:
        """Open the file, a new one in place of one that cannot be read.

        Raises:
            OSError or sqlite3.OperationalError: the disk refuses; the file may be sound.
            ValueError: a newer program wrote the file.
        """
        folder = self.path.parent
        folder.mkdir(parents=True, exist_ok=True)
        sync_path(folder)  # names that an earlier process removed stay removed
        for path in (self.path, self._beside("-wal")):
            # An earlier process may have been killed between a write and its sync. What it wrote will be
            # read, and sent to others, so it must survive a loss of power from now on.
            with suppress(FileNotFoundError):
                sync_path(path)
        try:
            self.connect()
        except (sqlite3.DatabaseError, CorruptStoreError) as error:
            self.close()
            if is_refusal(error):
                raise
            self.quarantine()
            self.connect()
        sync_path(folder)  # the file is there, and the journal of its creation is not

    def connect(self) -> None:
        """Connect to the file as it is, and bring it to this schema."""
        self._db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self.db.execute("pragma locking_mode=exclusive")
        if self.db.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
            raise sqlite3.OperationalError("the disk gives no write-ahead log")
        self.db.execute("pragma synchronous=full")
        self.db.execute(f"pragma cache_size=-{CACHE_KIB}")
        self.db.execute(f"pragma wal_autocheckpoint={CHECKPOINT_PAGES}")
        self.db.execute(f"pragma journal_size_limit={MAX_LOG_BYTES}")
        found = self.db.execute("pragma user_version").fetchone()[0]
        if found > SCHEMA:
            self.close()
            raise ValueError(f"written by a newer program: schema {found}, this one knows {SCHEMA}")
        if found != SCHEMA:
            self.transact(lambda: self._migrate_from(found))

    def _migrate_from(self, found: int) -> None:
        self._migrate(self.db, found)
        self.db.execute(f"pragma user_version={SCHEMA}")

    def transact(self, change: Callable[[], None]) -> None:
        """Make a change in full, or not at all."""
        self.db.execute("begin immediate")
        try:
            change()
            self.db.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise

    def quarantine(self) -> None:
        """Set aside a file that cannot be read, in place of one that was set aside before.

        The file is renamed before its log, and each rename is synced: a file without its log might be read as
        an older state, while a log without its file is never read.
        """
        self.quarantined = True
        self.close()
        logs = [self._beside("-wal"), self._beside("-journal")]
        for path in logs:
            Path(f"{path}{QUARANTINE_SUFFIX}").unlink(missing_ok=True)
        move_if_exists(self.path, self._beside(QUARANTINE_SUFFIX))
        sync_path(self.path.parent)
        for path in logs:
            move_if_exists(path, Path(f"{path}{QUARANTINE_SUFFIX}"))
        sync_path(self.path.parent)

    def close(self) -> None:
        """Close the file."""
        if self._db is None:
            return
        self._db.close()
        self._db = None
        with suppress(OSError):
            sync_path(self.path.parent)

    def _beside(self, suffix: str) -> Path:
        return Path(f"{self.path}{suffix}")
