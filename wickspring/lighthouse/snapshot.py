"""A snapshot of what the chain keeps, as operators take it and bring it back: one JSON document with a sum.

Bringing one back is a write like any other: what is held and what is brought are joined, so an old snapshot
takes nothing back, neither a higher version nor a server's leaving.
"""

from __future__ import annotations

import hashlib

import msgspec
from expression import Error, Ok, Result

from wickspring.harbour.kinds import Fault, Kind
from wickspring.lighthouse.chain import Hold
from wickspring.lighthouse.check import check

FORMAT = 1
MOST_STATE = 2  # of a leaving server: gone


class _Snapshot(msgspec.Struct):
    """The document: `config` is the configuration's own text, `leavers` are 1 (draining) or 2 (gone)."""

    format: int
    epoch: int
    config: str
    leavers: dict[str, int]
    sum: str


def _sum(config: str, leavers: dict[str, int]) -> str:
    text = msgspec.json.encode([config, sorted(leavers.items())])
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def pack(hold: Hold, epoch: int) -> bytes:
    """Return the snapshot of what is safe; `epoch` only says of which view it was taken."""
    config = hold.document.decode()
    return msgspec.json.encode(_Snapshot(FORMAT, epoch, config, hold.leavers, _sum(config, hold.leavers)))


def unpack(body: bytes) -> Result[Hold, Fault]:
    """Read a snapshot and check it whole; what it holds, or the fault that its sender is told."""
    try:
        told = msgspec.json.decode(body, type=_Snapshot)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(Fault(Kind.INVALID_SNAPSHOT, str(error)))
    if told.format != FORMAT:
        return Error(Fault(Kind.INVALID_SNAPSHOT, f"format {told.format}, this program knows {FORMAT}"))
    if told.sum != _sum(told.config, told.leavers):
        return Error(Fault(Kind.INVALID_SNAPSHOT, "its sum does not fit: it was cut or changed"))
    if any(not id_ or not 0 < state <= MOST_STATE for id_, state in told.leavers.items()):
        return Error(Fault(Kind.INVALID_SNAPSHOT, "leavers: states are 1 and 2"))
    if not told.config:
        return Ok(Hold(leavers=told.leavers))
    checked = check(told.config.encode())
    if checked.is_error():
        return Error(Fault(Kind.INVALID_SNAPSHOT, f"config: {checked.error.reason}"))
    return Ok(Hold(checked.ok, told.config.encode(), told.leavers))
