"""Reading of store files of schemas 1 and 2, so that they can be migrated.

Both had one list of members, which were voters and chain alike, and a configuration without epoch, digest or
history. A stored version is taken to be of the epoch of the view that was stored with it. An accepted view
may have been decided, so it is kept. The state that it starts with is the stored replica: an acceptor merged
the proposer's replica into its own before it saved either, so the replica has all that was acknowledged. An
accepted view whose epoch this node has already reached is dropped: its decision is known.
"""

from __future__ import annotations

import hashlib
import sqlite3
from typing import NamedTuple

import msgpack

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.packing import (
    PackedFields,
    PackedState,
    PackedValue,
    convert_packed,
)
from wickspring.controlplane.replication.replica import Config, Replica

CHECKSUM_SIZE = 16  # bytes


class CorruptStoreError(ValueError):
    """A store file is damaged, incomplete, or inconsistent."""


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=CHECKSUM_SIZE).digest()


class StoredView(NamedTuple):
    """A view of schemas 1 and 2."""

    epoch: int
    members: list[list[str]]  # address and disk id of each

    def upgraded(self) -> PackedFields:
        """Return the packed view of schema 3: these members were both its voters and its chain."""
        return [self.epoch, self.members, self.members]


class StoredAcceptedView(NamedTuple):
    """An accepted view of schemas 1 and 2, which had no state of its own."""

    slot: int
    ballot: list[int | str]
    view: StoredView


class LegacyState(NamedTuple):
    """What a file of schema 1 or 2 contains, as schema 3 has it."""

    durable: PackedState
    replica: Replica
    endpoints: bytes | None  # the known endpoints, packed


def _read_departures(db: sqlite3.Connection, schema: int, stored: object) -> dict[str, int]:
    """Return the departures: schema 1 had them in one part, schema 2 their number and a row for each."""
    if schema == 1:
        return convert_packed(stored, dict[str, int])
    rows = db.execute("select id, state, sum from leaver order by rowid").fetchall()
    damaged = any(
        _checksum(f"{endpoint_id} {state}".encode()) != expected for endpoint_id, state, expected in rows
    )
    if len(rows) != stored or damaged:
        raise CorruptStoreError("the departures are incomplete")
    return {str(endpoint_id): int(state) for endpoint_id, state, _ in rows}


def _read_parts(db: sqlite3.Connection) -> dict[str, bytes]:
    rows = db.execute("select name, sum, data from part").fetchall()
    parts = {str(name): bytes(data) for name, expected, data in rows if _checksum(bytes(data)) == expected}
    if len(parts) < len(rows):
        raise CorruptStoreError("wrong checksum of a part")
    return parts


def read(db: sqlite3.Connection, schema: int) -> LegacyState | None:
    """Return the contents of a file of schema 1 or 2; None where it is empty.

    Raises:
        CorruptStoreError, or another ValueError or KeyError: the file is damaged or incomplete.
    """
    parts = _read_parts(db)
    if "chain" not in parts:
        return None
    durable: dict[str, PackedValue] = msgpack.unpackb(parts["chain"])
    view = convert_packed(durable["view"], StoredView)
    number, departures = convert_packed(msgpack.unpackb(parts["hold"]), tuple[int, object])
    config = _read_config(view.epoch, number, parts.get("document", b""))
    replica = Replica(config, _read_departures(db, schema, departures))
    accepted = _upgrade_accepted(durable["accepted"], view.epoch, replica)
    durable |= {"view": view.upgraded(), "accepted": accepted}
    return LegacyState(durable, replica, parts.get("servers"))


def _read_config(epoch: int, version: int, document: bytes) -> Config:
    """Return the configuration; in these schemas number 0 was none, whatever text was left beside it."""
    if not version:
        return Config(epoch)
    if not document:
        raise CorruptStoreError(f"r{version} has no text")
    return Config(epoch, version, document, digest_of(document))


def _upgrade_accepted(stored: object, epoch: int, replica: Replica) -> PackedFields | None:
    """Return an accepted view with the state that it starts with; None where its epoch is over."""
    if stored is None:
        return None
    accepted = convert_packed(stored, StoredAcceptedView)
    if accepted.slot <= epoch:
        return None
    state = replica.with_epoch(accepted.view.epoch)
    return [accepted.slot, accepted.ballot, accepted.view.upgraded(), state.pack()]
