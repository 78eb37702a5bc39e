"""Snapshots of the replicated state, for operators: one JSON document with a checksum.

Restoring is an update like any other: its version is acknowledged and changes nothing where a higher one is
stored, and departures are merged, so an old snapshot reverts nothing.

Format 2 has version, digest and history of the configuration beside its text, and the epoch of the view in
which it was taken. Format 1, which had the text and the departures alone, is still read.
"""

from __future__ import annotations

import hashlib
from itertools import pairwise

import msgspec
from expression import Error, Ok, Result

from wickspring.common.config_version import is_newer, version_from_wire, version_label, version_to_wire
from wickspring.common.digest import DIGEST_SIZE, digest_of
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.config_validation import validate_stored_config
from wickspring.controlplane.replication.replica import Replica, Update

FORMAT = 2
MAX_DEPARTURE_STATE = 2  # gone
CHECKSUM_SIZE = 16  # bytes


class _FormatHeader(msgspec.Struct):
    """The part of every format that is read first."""

    format: int


class _SnapshotFormat1(msgspec.Struct):
    """The document of format 1; its keys are fixed by stored files."""

    config: str
    leavers: dict[str, int]  # departures
    sum: str


class _Snapshot(msgspec.Struct):
    """The document of format 2; its keys are fixed by stored files."""

    format: int
    epoch: int
    number: int  # the configuration's version
    digest: str
    history: list[tuple[int, str]]  # the versions before and their digests, the newest last
    config: str  # the configuration's own text
    leaving: dict[str, int]  # departures: endpoint id, 1 (draining) or 2 (gone)
    sum: str = ""


def _checksum(*values: object) -> str:
    return hashlib.blake2b(msgspec.json.encode(values), digest_size=CHECKSUM_SIZE).hexdigest()


def _checksum_of(snapshot: _Snapshot) -> str:
    return _checksum(
        snapshot.format,
        snapshot.epoch,
        snapshot.number,
        snapshot.digest,
        snapshot.history,
        snapshot.config,
        sorted(snapshot.leaving.items()),
    )


def _invalid(reason: str) -> Result[Update, ErrorDetail]:
    return Error(ErrorDetail(ErrorKind.INVALID_SNAPSHOT, reason))


def pack(replica: Replica, epoch: int) -> bytes:
    """Return the snapshot of a committed state; `epoch` only says in which view it was taken."""
    config = replica.config
    snapshot = _Snapshot(
        format=FORMAT,
        epoch=epoch,
        number=version_to_wire(config.version),
        digest=config.digest.hex(),
        history=[(version, digest.hex()) for version, digest in config.history],
        config=config.document.decode(),
        leaving=replica.departures,
    )
    snapshot.sum = _checksum_of(snapshot)
    return msgspec.json.encode(snapshot)


def unpack(body: bytes) -> Result[Update, ErrorDetail]:
    """Decode and validate a snapshot; return the update that restores it, or what is wrong with it."""
    try:
        format_ = msgspec.json.decode(body, type=_FormatHeader).format
        if format_ == FORMAT:
            return _read_format_2(msgspec.json.decode(body, type=_Snapshot))
        if format_ == 1:
            return _read_format_1(msgspec.json.decode(body, type=_SnapshotFormat1))
    except (msgspec.MsgspecError, UnicodeError) as error:  # a lone surrogate is text that nothing encodes
        return _invalid(str(error))
    return _invalid(f"format {format_}, this program knows 1 to {FORMAT}")


def _read_format_2(snapshot: _Snapshot) -> Result[Update, ErrorDetail]:
    if snapshot.sum != _checksum_of(snapshot):
        return _invalid("its sum does not fit: it was cut or changed")
    version = version_from_wire(snapshot.number, snapshot.digest)
    versions = [None, *(earlier for earlier, _ in snapshot.history), version]
    rising = all(is_newer(later, earlier) for earlier, later in pairwise(versions))
    digests_complete = all(len(digest) == 2 * DIGEST_SIZE for _, digest in snapshot.history)
    if (snapshot.history and not rising) or not digests_complete:
        return _invalid("history: numbers rise up to the configuration's, each with its digest")
    expected = digest_of(snapshot.config.encode()).hex() if version is not None else ""
    if snapshot.digest != expected:
        return _invalid("config: not the text that its digest tells")
    restored = _restoring_update(snapshot.config, snapshot.leaving)
    if restored.is_ok() and restored.ok.version != version:
        found = version_label(restored.ok.version)
        return _invalid(f"config: its text is {found}, its number {version_label(version)}")
    return restored


def _read_format_1(snapshot: _SnapshotFormat1) -> Result[Update, ErrorDetail]:
    if snapshot.sum != _checksum(snapshot.config, sorted(snapshot.leavers.items())):
        return _invalid("its sum does not fit: it was cut or changed")
    return _restoring_update(snapshot.config, snapshot.leavers)


def _restoring_update(config: str, departures: dict[str, int]) -> Result[Update, ErrorDetail]:
    """Return the update that restores a configuration's text and departures."""
    for endpoint_id, state in departures.items():
        if not endpoint_id or not 0 < state <= MAX_DEPARTURE_STATE:
            return _invalid("leaving: states are 1 and 2")
    if not config:
        return Ok(Update(departures=departures))
    document = config.encode()
    validated = validate_stored_config(document)
    if validated.is_error():
        return _invalid(f"config: {validated.error.reason}")
    return Ok(Update(validated.ok, document, departures))
