"""Logbooks of schemas 1 and 2, read so that they can be moved on.

Both had one list of members, which were voters and chain alike, and a configuration without epoch, digest or
history. A held version is taken to be of the epoch of the view that was held with it. An accepted view may
have been decided, so it is kept; the state that it begins with is the held copy: whoever accepted a view had
joined its proposer's copy to its own before it saved either, so all that was acknowledged is in it. One of an
epoch that this machine has come to, or passed, is over: nobody is told of it again.
"""

from __future__ import annotations

import hashlib
import sqlite3
from typing import Any

import msgpack

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.replica import Config, Replica


class CorruptStoreError(ValueError):
    """What a file holds does not add up."""


def _sum(blob: bytes) -> bytes:
    return hashlib.blake2b(blob, digest_size=16).digest()


def _view(told: Any) -> list[Any]:
    """Return a view in today's form: the members of then were both its voters and its chain."""
    epoch, members = told
    return [epoch, members, members]


def _leaving(db: sqlite3.Connection, schema: int, told: Any) -> dict[str, int]:
    """Return the servers that leave: schema 1 had them all in one part, schema 2 a row for each."""
    if schema == 1:
        return {str(server): int(state) for server, state in told.items()}
    rows = db.execute("select id, state, sum from leaver order by rowid").fetchall()
    if len(rows) != told or any(_sum(f"{server} {state}".encode()) != s for server, state, s in rows):
        raise CorruptStoreError("the leaving servers are not whole")
    return {str(server): int(state) for server, state, _ in rows}


def read(db: sqlite3.Connection, schema: int) -> tuple[dict[str, Any], Replica, bytes | None] | None:
    """Return what is durable, the copy, and the known servers as they were packed; None of an empty file."""
    rows = db.execute("select name, sum, data from part").fetchall()
    parts = {str(name): bytes(data) for name, checked, data in rows if _sum(bytes(data)) == checked}
    if len(parts) < len(rows):
        raise CorruptStoreError("a sum does not fit")
    if "chain" not in parts:
        return None
    durable: dict[str, Any] = msgpack.unpackb(parts["chain"])
    version, told = msgpack.unpackb(parts["hold"])
    document = parts.get("document", b"") if version else b""
    epoch = int(durable["view"][0])
    config = Config(epoch, int(version), document, digest_of(document) if version else b"")
    if not config.complete:
        raise CorruptStoreError(f"r{version} has no text")
    replica = Replica(config, _leaving(db, schema, told))
    accepted = durable["accepted"]
    if accepted is not None:
        slot, ballot, view = accepted
        state = replica.with_epoch(int(view[0])).pack()
        accepted = [slot, ballot, _view(view), state] if slot > epoch else None
    durable = {**durable, "view": _view(durable["view"]), "accepted": accepted}
    return durable, replica, parts.get("servers")
