"""The tables of schema 3: encoding and decoding of a replica and a voter's state, with checksums.

Table `part` has one row each for:

* `chain`: the view, and what this node has promised;
* `accepted`: the view that it has accepted, with the state that this view starts with;
* `config`: epoch, version and digest of the configuration, and row counts and checksums of the other tables;
* `document`: the text of the configuration;
* `seal`: the checksums of these four;
* `servers`: the known endpoints;
* `data_planes`: the known data planes.

Table `history` has the digest of each earlier version, table `leaving` a row for each departure. The
parts up to `seal` are checked together, so a file that mixes two saves is refused. The names of tables,
columns and parts are fixed by stored files.
"""

from __future__ import annotations

import hashlib
import sqlite3
from dataclasses import dataclass, field

import msgpack

from wickspring.common.config_version import version_label, version_to_wire
from wickspring.common.digest import digest_of
from wickspring.controlplane import storage_legacy
from wickspring.controlplane.replication.packing import PackedState
from wickspring.controlplane.replication.replica import Config, Replica
from wickspring.controlplane.storage_file import is_refusal
from wickspring.controlplane.storage_legacy import CorruptStoreError
from wickspring.core.invariants import check_invariant

CHECKSUM_SIZE = 16  # bytes
CHECKSUMMED_PARTS = ("chain", "accepted", "config", "document")
CHECKSUMS_PART = "seal"  # the checksums of `CHECKSUMMED_PARTS`, in their order
ENDPOINTS_PART = "servers"  # the known endpoints, packed
DATA_PLANES_PART = "data_planes"  # the names of the known data planes, packed
UNREADABLE_ERRORS = (
    sqlite3.DatabaseError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    msgpack.UnpackException,
)


@dataclass(slots=True)
class Records:
    """What the tables contain."""

    parts: dict[str, bytes] = field(default_factory=dict)  # by name
    history: dict[int, bytes] = field(default_factory=dict)  # digests by version
    departures: dict[str, int] = field(default_factory=dict)  # endpoint id: 1 draining, 2 gone


def checksum(data: bytes) -> bytes:
    """Return the checksum of one part or row."""
    return hashlib.blake2b(data, digest_size=CHECKSUM_SIZE).digest()


def _history_checksum(history: dict[int, bytes]) -> bytes:
    return checksum(msgpack.packb(sorted(history.items())))


def _departure_checksum(endpoint_id: str, state: int) -> bytes:
    return checksum(f"{endpoint_id} {state}".encode())


# Encoding.


def encode(durable: PackedState, replica: Replica, saved: Records) -> Records:
    """Return the records of a state; `saved` are those on disk, whose checksums are used again.

    Raises:
        ValueError: the configuration has no text, or not the one of its digest.
    """
    config = replica.config
    history = dict(config.history)
    if saved.parts.get("document") != config.document:
        _check_document(config)
    tables = [
        [len(history), _history_checksum(history)],
        [len(replica.departures), replica.departures_checksum],
    ]
    votes = {key: value for key, value in durable.items() if key != "accepted"}
    parts = {
        "chain": msgpack.packb(votes),
        "accepted": msgpack.packb(durable["accepted"]),
        "config": msgpack.packb([config.epoch, version_to_wire(config.version), config.digest, *tables]),
        "document": config.document,
    }
    parts[CHECKSUMS_PART] = b"".join(_part_checksum(name, parts[name], saved) for name in CHECKSUMMED_PARTS)
    return Records(parts, history, replica.departures)


def _check_document(config: Config) -> None:
    expected = digest_of(config.document) if config.version is not None else b""
    if not check_invariant(config.complete and config.digest == expected, "what is saved is complete"):
        raise ValueError(f"configuration {version_label(config.version)} is not complete")


def _part_checksum(name: str, data: bytes, saved: Records) -> bytes:
    """Return a part's checksum, computed only where the part is another than on disk."""
    if CHECKSUMS_PART in saved.parts and saved.parts[name] == data:
        start = CHECKSUMMED_PARTS.index(name) * CHECKSUM_SIZE
        return saved.parts[CHECKSUMS_PART][start : start + CHECKSUM_SIZE]
    return checksum(data)


# Decoding.


def read(db: sqlite3.Connection) -> Records:
    """Read the tables, and check each part and row; raises one of `UNREADABLE_ERRORS`."""
    rows = db.execute("select name, sum, data from part").fetchall()
    parts = {str(name): bytes(data) for name, expected, data in rows if checksum(bytes(data)) == expected}
    damaged = {str(name) for name, _, _ in rows} - parts.keys() - {ENDPOINTS_PART}
    if damaged:
        raise CorruptStoreError(f"wrong checksums of {damaged}")
    entries = db.execute("select version, digest from history")
    history = {int(version): bytes(digest) for version, digest in entries}
    departures = _read_departures(db)
    if CHECKSUMS_PART not in parts and (parts.keys() & set(CHECKSUMMED_PARTS) or history or departures):
        raise CorruptStoreError("the checksums are missing")
    return Records(parts, history, departures)


def _read_departures(db: sqlite3.Connection) -> dict[str, int]:
    rows = db.execute("select id, state, sum from leaving order by rowid").fetchall()
    for endpoint_id, state, expected in rows:
        if _departure_checksum(endpoint_id, state) != expected:
            raise CorruptStoreError(f"wrong checksum of the departure of {endpoint_id}")
    return {str(endpoint_id): int(state) for endpoint_id, state, _ in rows}


def decode(records: Records) -> tuple[PackedState, Replica] | None:
    """Return the state of records, None where there is none; raises one of `UNREADABLE_ERRORS`."""
    parts = records.parts
    if CHECKSUMS_PART not in parts:
        return None
    if parts[CHECKSUMS_PART] != b"".join(checksum(parts[name]) for name in CHECKSUMMED_PARTS):
        raise CorruptStoreError("the parts were not saved together")
    replica = _decode_replica(records)
    accepted = msgpack.unpackb(parts["accepted"])
    durable: PackedState = {**msgpack.unpackb(parts["chain"]), "accepted": accepted}
    if accepted is not None and not Replica.unpack(accepted[3]).config.complete:
        raise CorruptStoreError("the accepted view's state is incomplete")
    return durable, replica


def _decode_replica(records: Records) -> Replica:
    epoch, version, digest, expected_history, expected_departures = msgpack.unpackb(records.parts["config"])
    if [len(records.history), _history_checksum(records.history)] != expected_history:
        raise CorruptStoreError("the history is incomplete")
    history = sorted(records.history.items())
    config = Config.unpack([epoch, version, records.parts["document"], digest, history, b""])
    replica = Replica(config, dict(records.departures))
    departures_are_complete = [len(replica.departures), replica.departures_checksum] == expected_departures
    if not config.complete or not departures_are_complete:
        raise CorruptStoreError("the replica is incomplete")
    return replica


# Writing.


@dataclass(slots=True)
class Changes:
    """What is to be written so that one set of records becomes another."""

    parts: dict[str, bytes]
    history: dict[int, bytes]
    forgotten_versions: set[int]
    departures: dict[str, int]
    forgotten_departures: set[str]

    def __bool__(self) -> bool:
        """Return whether there is anything to write."""
        return bool(
            self.parts
            or self.history
            or self.forgotten_versions
            or self.departures
            or self.forgotten_departures
        )

    def write(self, db: sqlite3.Connection) -> None:
        """Write them, in the transaction that is open."""
        put_parts(db, self.parts)
        versions = [(version,) for version in self.forgotten_versions]
        db.executemany("delete from history where version = ?", versions)
        db.executemany("insert or replace into history values (?, ?)", list(self.history.items()))
        endpoint_ids = [(endpoint_id,) for endpoint_id in self.forgotten_departures]
        db.executemany("delete from leaving where id = ?", endpoint_ids)
        put_departures(db, self.departures)


def changes(saved: Records, records: Records) -> Changes:
    """Return what differs from the records on disk; parts that `records` does not have stay there."""
    parts = {name: data for name, data in records.parts.items() if saved.parts.get(name) != data}
    history = {
        version: digest for version, digest in records.history.items() if saved.history.get(version) != digest
    }
    departures: dict[str, int] = {}
    forgotten_departures: set[str] = set()
    if records.departures != saved.departures:
        forgotten_departures = saved.departures.keys() - records.departures.keys()
        departures = {
            endpoint_id: state
            for endpoint_id, state in records.departures.items()
            if saved.departures.get(endpoint_id) != state
        }
    forgotten_versions = saved.history.keys() - records.history.keys()
    return Changes(parts, history, forgotten_versions, departures, forgotten_departures)


def put_parts(db: sqlite3.Connection, parts: dict[str, bytes]) -> None:
    """Write parts."""
    for name, data in parts.items():
        db.execute("insert or replace into part values (?, ?, ?)", (name, checksum(data), data))


def put_departures(db: sqlite3.Connection, departures: dict[str, int]) -> None:
    """Write departures; a row keeps its place, since the oldest are forgotten first."""
    rows = [
        (endpoint_id, state, _departure_checksum(endpoint_id, state))
        for endpoint_id, state in departures.items()
    ]
    upsert = "insert into leaving values (?, ?, ?) on conflict (id) do update set state = ?2, sum = ?3"
    db.executemany(upsert, rows)


def migrate(db: sqlite3.Connection, schema: int) -> None:
    """Bring a file of an older schema, or a new one (0), to this schema.

    Raises:
        CorruptStoreError: the older file is damaged or incomplete.
        sqlite3.OperationalError: the disk refuses.
    """
    state = _read_older(db, schema) if schema else None
    if schema:
        db.execute("drop table if exists leaver")
        db.execute("drop table part")
    db.execute("create table part (name text primary key, sum blob, data blob)")
    db.execute("create table leaving (id text primary key, state int, sum blob)")
    db.execute("create table history (version integer primary key, digest blob)")
    if state is None:
        return
    records = encode(state.durable, state.replica, Records())
    if state.endpoints is not None:
        records.parts[ENDPOINTS_PART] = state.endpoints
    put_parts(db, records.parts)
    put_departures(db, records.departures)


def _read_older(db: sqlite3.Connection, schema: int) -> storage_legacy.LegacyState | None:
    try:
        return storage_legacy.read(db, schema)
    except UNREADABLE_ERRORS as error:
        if is_refusal(error):
            raise
        raise CorruptStoreError(f"schema {schema}: {error}") from error
