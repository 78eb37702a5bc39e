"""Reading of store files of schemas 1 and 2, so that they can be migrated.

Both had one list of members, which were voters and chain alike, and a configuration without epoch, digest or
history. A stored version is taken to be of the epoch of the view that was stored with it. An accepted view
may have been decided, so it is kept; the state that it starts with is the stored replica: whoever accepted a
view had merged its proposer's replica into its own before it saved either, so all that was acknowledged is in
it. One of an epoch that this node has reached, or passed, is over: nobody is told of it again.
"""

from __future__ import annotations

import hashlib
import sqlite3
from typing import Any

import msgpack

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.replica import Config, Replica

CHECKSUM_SIZE = 16  # bytes


class CorruptStoreError(ValueError):
    """What a file contains does not add up."""


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=CHECKSUM_SIZE).digest()


def _upgrade_view(packed: Any) -> list[Any]:
    """Return a view in the present form: the members of then were both its voters and its chain."""
    epoch, members = packed
    return [epoch, members, members]


def _read_departures(db: sqlite3.Connection, schema: int, stored: Any) -> dict[str, int]:
    """Return the departures: schema 1 had them in one part, schema 2 their number and a row for each."""
    if schema == 1:
        return {str(endpoint_id): int(state) for endpoint_id, state in stored.items()}
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
        raise CorruptStoreError("a sum does not fit")
    return parts


def read(db: sqlite3.Connection, schema: int) -> tuple[dict[str, Any], Replica, bytes | None] | None:
    """Return the durable state, the replica, and the known endpoints as packed; None of an empty file.

    Raises CorruptStoreError, or another ValueError, KeyError or the like, where the file does not add up.
    """
    parts = _read_parts(db)
    if "chain" not in parts:
        return None
    durable: dict[str, Any] = msgpack.unpackb(parts["chain"])
    version, departures = msgpack.unpackb(parts["hold"])
    document = parts.get("document", b"") if version else b""
    epoch = int(durable["view"][0])
    config = Config(epoch, int(version), document, digest_of(document) if version else b"")
    if not config.complete:
        raise CorruptStoreError(f"r{version} has no text")
    replica = Replica(config, _read_departures(db, schema, departures))
    accepted = _upgrade_accepted(durable["accepted"], epoch, replica)
    durable = {**durable, "view": _upgrade_view(durable["view"]), "accepted": accepted}
    return durable, replica, parts.get("servers")


def _upgrade_accepted(accepted: Any, epoch: int, replica: Replica) -> list[Any] | None:
    """Return an accepted view with the state that it starts with; None where its epoch is over."""
    if accepted is None:
        return None
    slot, ballot, view = accepted
    if slot <= epoch:
        return None
    return [slot, ballot, _upgrade_view(view), replica.with_epoch(int(view[0])).pack()]
