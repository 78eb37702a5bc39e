"""Persistent state of an agent in SQLite with WAL: its instances, operations it coordinates, and a history.

Every change is one transaction that is on disk (synchronous=FULL) before anyone is answered. A change that
cannot be stored (a full disk) raises an error, and has not happened.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from wickspring.fleet.model import InstanceRecord, Operation, Permit

SCHEMA_VERSION = 1  # a store of a later version is refused
MAX_HISTORY = 10_000
_TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists record (name text primary key, body blob not null) without rowid;
create table if not exists slot (key text primary key, body blob not null) without rowid;
create table if not exists operation (id text primary key, at real not null, body blob not null)
    without rowid;
create table if not exists process (token text primary key, name text not null, pid integer not null,
    born integer not null, build text not null, generation integer not null) without rowid;
create table if not exists history (number integer primary key autoincrement, at real not null,
    text not null);
"""


class StoreError(Exception):
    """A change that could not be stored, or a store that cannot be read."""


class Process(msgspec.Struct, frozen=True, rename={"start_ticks": "born"}):
    """A process of an instance; its pid is 0 until it has been started."""

    name: str
    token: str
    pid: int
    start_ticks: int  # when it was started, in clock ticks since boot (proc(5))
    build: str
    generation: int


class Event(msgspec.Struct, frozen=True):
    """One line of the history."""

    number: int
    at: float
    text: str


@dataclass(frozen=True, slots=True)
class StoreChange:
    """What is stored together in one transaction."""

    records: Sequence[InstanceRecord] = ()
    removed_records: Sequence[str] = ()  # names
    permits: Mapping[str, Permit | None] = field(default_factory=dict)  # by key; None where one is removed
    operations: Sequence[Operation] = ()
    processes: Sequence[Process] = ()
    ended_tokens: Sequence[str] = ()  # of processes that are forgotten
    events: Sequence[tuple[float, str]] = ()  # Unix seconds and text

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to store."""
        parts = (self.records, self.removed_records, self.permits, self.operations)
        return not any((*parts, self.processes, self.ended_tokens, self.events))


class Store:
    """One agent's database.

    Raises:
        StoreError: by every method but `close`, where the database cannot be read or written.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, isolation_level=None)
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")
            self._db.executescript(_TABLES)
            row = self._db.execute("select value from meta where key='form'").fetchone()
            if row is None:
                self._db.execute("insert into meta values ('form', ?)", (str(SCHEMA_VERSION),))
            elif int(row[0]) > SCHEMA_VERSION:
                raise StoreError(
                    f"{path} was written by a later program (form {row[0]}, this one reads {SCHEMA_VERSION})"
                )
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from error

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    # Reading.

    def records(self) -> list[InstanceRecord]:
        """Return all instances."""
        return [
            msgspec.json.decode(row[0], type=InstanceRecord) for row in self._rows("select body from record")
        ]

    def permits(self) -> dict[str, Permit]:
        """Return the permits issued, by key."""
        rows = self._rows("select key, body from slot")
        return {str(key): msgspec.json.decode(body, type=Permit) for key, body in rows}

    def operations(self) -> list[Operation]:
        """Return the operations coordinated here, the latest last."""
        rows = self._rows("select body from operation order by at")
        return [msgspec.json.decode(row[0], type=Operation) for row in rows]

    def processes(self) -> list[Process]:
        """Return the processes started, in no order."""
        rows = self._rows("select name, token, pid, born, build, generation from process")
        return [Process(*row) for row in rows]  # type: ignore[arg-type]

    def history(self, limit: int = 100) -> list[Event]:
        """Return the latest events, the latest last."""
        rows = self._rows(f"select number, at, text from history order by number desc limit {int(limit)}")
        return [Event(*row) for row in reversed(list(rows))]  # type: ignore[arg-type]

    def _rows(self, sql: str) -> list[tuple[bytes, ...]]:
        try:
            return self._db.execute(sql).fetchall()
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from error

    # Changing.

    def apply(self, change: StoreChange) -> None:
        """Store a change in one transaction; StoreError where nothing of it is stored."""
        db = self._db
        try:
            db.execute("begin immediate")
            self._write_records(change)
            self._write_operations(change)
            self._write_processes(change)
            self._write_history(change)
            db.execute("commit")
        except sqlite3.Error as error:
            if db.in_transaction:
                db.execute("rollback")
            raise StoreError(f"{self.path}: cannot keep the change: {error}") from error

    def _write_records(self, change: StoreChange) -> None:
        for record in change.records:
            self._db.execute("insert or replace into record values (?, ?)", (record.name, _json(record)))
        for name in change.removed_records:
            self._db.execute("delete from record where name=?", (name,))
        for key, permit in change.permits.items():
            if permit is None:
                self._db.execute("delete from slot where key=?", (key,))
            else:
                self._db.execute("insert or replace into slot values (?, ?)", (key, _json(permit)))

    def _write_operations(self, change: StoreChange) -> None:
        for operation in change.operations:
            row = (operation.id, operation.at, _json(operation))
            self._db.execute("insert or replace into operation values (?, ?, ?)", row)

    def _write_processes(self, change: StoreChange) -> None:
        for process in change.processes:
            row = (
                process.token,
                process.name,
                process.pid,
                process.start_ticks,
                process.build,
                process.generation,
            )
            self._db.execute("insert or replace into process values (?, ?, ?, ?, ?, ?)", row)
        for token in change.ended_tokens:
            self._db.execute("delete from process where token=?", (token,))

    def _write_history(self, change: StoreChange) -> None:
        """Append the events, and delete the oldest beyond `MAX_HISTORY`."""
        for event in change.events:
            self._db.execute("insert into history (at, text) values (?, ?)", event)
        self._db.execute(
            "delete from history where number <= (select max(number) from history) - ?", (MAX_HISTORY,)
        )


def _json(value: msgspec.Struct) -> bytes:
    return msgspec.json.encode(value)
