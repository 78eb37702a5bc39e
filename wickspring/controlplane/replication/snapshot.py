"""A snapshot of what the chain keeps, as operators take it and bring it back: one JSON document with a sum.

Bringing one back is an order like any other: its number is acknowledged and changes nothing where a higher
one is held, and servers that leave are joined, so an old snapshot takes nothing back.

Format 2 has the number, digest and history of the configuration beside its text, and the epoch of the view
it was taken of. Of format 1, which had the text and the leaving servers alone, files are still read.
"""

from __future__ import annotations

import hashlib
from itertools import pairwise
from typing import Any

import msgspec
from expression import Error, Ok, Result

from wickspring.common.digest import DIGEST_SIZE, digest_of
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.controlplane.replication.replica import Replica, Update

FORMAT = 2
MOST_STATE = 2  # of a leaving server: gone


class _Format(msgspec.Struct):
    """What is read first."""

    format: int


class _Snapshot1(msgspec.Struct):
    """The document of format 1."""

    config: str
    leavers: dict[str, int]
    sum: str


class _Snapshot(msgspec.Struct):
    """The document: `config` is the configuration's own text, `leaving` are 1 (draining) or 2 (gone)."""

    format: int
    epoch: int
    number: int
    digest: str
    history: list[tuple[int, str]]  # the numbers before and their digests, the newest last
    config: str
    leaving: dict[str, int]
    sum: str = ""


def _sum(*told: Any) -> str:
    return hashlib.blake2b(msgspec.json.encode(told), digest_size=16).hexdigest()


def _sum_of(one: _Snapshot) -> str:
    leaving = sorted(one.leaving.items())
    return _sum(one.format, one.epoch, one.number, one.digest, one.history, one.config, leaving)


def _refused(reason: str) -> Result[Update, ErrorDetail]:
    return Error(ErrorDetail(ErrorKind.INVALID_SNAPSHOT, reason))


def pack(replica: Replica, epoch: int) -> bytes:
    """Return the snapshot of what is safe; `epoch` only says of which view it was taken."""
    config = replica.config
    history = [(number, digest.hex()) for number, digest in config.history]
    one = _Snapshot(
        FORMAT,
        epoch,
        config.version,
        config.digest.hex(),
        history,
        config.document.decode(),
        replica.leaving,
    )
    one.sum = _sum_of(one)
    return msgspec.json.encode(one)


def unpack(body: bytes) -> Result[Update, ErrorDetail]:
    """Read a snapshot and check it whole; the order that brings it back, or the fault its sender is told."""
    try:
        form = msgspec.json.decode(body, type=_Format).format
        if form == FORMAT:
            return _read(msgspec.json.decode(body, type=_Snapshot))
        if form == 1:
            return _read_1(msgspec.json.decode(body, type=_Snapshot1))
    except (msgspec.MsgspecError, UnicodeError) as error:  # a lone surrogate is text that nothing encodes
        return _refused(str(error))
    return _refused(f"format {form}, this program knows 1 to {FORMAT}")


def _read(told: _Snapshot) -> Result[Update, ErrorDetail]:
    if told.sum != _sum_of(told):
        return _refused("its sum does not fit: it was cut or changed")
    numbers = [0, *(number for number, _ in told.history), told.number]
    rising = all(one < after for one, after in pairwise(numbers))
    if (told.history and not rising) or any(len(digest) != 2 * DIGEST_SIZE for _, digest in told.history):
        return _refused("history: numbers rise up to the configuration's, each with its digest")
    if told.digest != (digest_of(told.config.encode()).hex() if told.number else ""):
        return _refused("config: not the text that its digest tells")
    return _order(told.config, told.leaving, told.number)


def _read_1(told: _Snapshot1) -> Result[Update, ErrorDetail]:
    if told.sum != _sum(told.config, sorted(told.leavers.items())):
        return _refused("its sum does not fit: it was cut or changed")
    return _order(told.config, told.leavers, None)


def _order(config: str, leaving: dict[str, int], number: int | None) -> Result[Update, ErrorDetail]:
    if any(not server or not 0 < state <= MOST_STATE for server, state in leaving.items()):
        return _refused("leaving: states are 1 and 2")
    if not config:
        return _refused(f"r{number} has no text") if number else Ok(Update(leaving=leaving))
    document = config.encode()
    checked = validate_config(document)
    if checked.is_error():
        return _refused(f"config: {checked.error.reason}")
    if number is not None and checked.ok != number:
        return _refused(f"config: its text is r{checked.ok}, its number r{number}")
    return Ok(Update(checked.ok, document, leaving))
