"""Snapshots of a configuration: complete or refused, and of the previous format."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import msgspec
import pytest

from tests.common.test_decoding import document
from tests.support.storage_files import replica
from wickspring.common.digest import digest_of
from wickspring.common.errors import ErrorKind
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update

BODY = json.dumps(document()).encode()


def replica_with_departures(number: int) -> Replica:
    state = replica(number - 1)
    state.apply(Update(number, BODY), 3)
    state.add_departures({"i1": 1, "i2": 2})
    return state


def test_a_snapshot_is_read_completely_or_refused() -> None:
    body, update = snapshot.pack(replica_with_departures(7), 5), Update(7, BODY, {"i1": 1, "i2": 2})
    assert snapshot.unpack(body).ok == update
    empty = Replica(departures={"i1": 2})
    assert snapshot.unpack(snapshot.pack(empty, 1)).ok == Update(departures={"i1": 2})
    tree = json.loads(body)
    assert tree["format"] == 2 and tree["number"] == 7 and tree["digest"] == digest_of(BODY).hex()
    assert tree["epoch"] == 5 and [number for number, _ in tree["history"]] == [1, 2, 3, 4, 5, 6]
    changes: tuple[dict[str, Any], ...] = (
        {"format": 1},
        {"format": 3},
        {"leaving": {"i1": 2, "i2": 2}},
        {"config": ""},
        {"sum": ""},
        {"number": 8},
        {"digest": "00"},
        {"history": []},
        {"epoch": 6},
    )
    for change in changes:
        refused = snapshot.unpack(json.dumps(tree | change).encode())
        assert refused.is_error() and refused.error.kind is ErrorKind.INVALID_SNAPSHOT
    for cut in range(len(body)):
        assert snapshot.unpack(body[:cut]).is_error()
    random = Random(2)
    for _ in range(1000):
        at = random.randrange(len(body))
        damaged = body[:at] + bytes([random.randrange(256)]) + body[at + random.choice((0, 1, 9)) :]
        read = snapshot.unpack(damaged)
        assert read.is_error() or read.ok == update


@pytest.mark.parametrize(
    "change",
    [
        {"number": 8},
        {"digest": "00" * 16},
        {"history": [(3, "00" * 16), (2, "00" * 16)]},
        {"config": ""},
        {"history": [(7, "00" * 16)]},
        {"history": [(1, "00")]},
        {"leaving": {"i1": 3}},
        {"leaving": {"": 1}},
        {"number": 0},
        {"config": BODY.decode() + " "},
        {"config": "{}"},
    ],
)
def test_an_inconsistent_snapshot_is_refused_although_its_checksum_matches(
    change: dict[str, Any],
) -> None:
    parts = msgspec.json.decode(snapshot.pack(replica_with_departures(7), 5), type=snapshot._Snapshot)
    for name, value in change.items():
        setattr(parts, name, value)
    parts.sum = snapshot._checksum_of(parts)
    refused = snapshot.unpack(msgspec.json.encode(parts))
    assert refused.is_error() and refused.error.kind is ErrorKind.INVALID_SNAPSHOT


def test_a_snapshot_of_the_previous_format_is_read() -> None:
    departures = {"i2": 2, "i1": 1}
    written = {"format": 1, "epoch": 4, "config": BODY.decode(), "leavers": departures}
    written["sum"] = snapshot._checksum(BODY.decode(), sorted(departures.items()))
    assert snapshot.unpack(json.dumps(written).encode()).ok == Update(7, BODY, departures)
    assert snapshot.unpack(json.dumps(written | {"leavers": {}}).encode()).is_error()


def test_an_old_snapshot_reverts_nothing() -> None:
    now = replica(9, {"i1": 2, "i3": 1})
    before = now.config
    update = snapshot.unpack(snapshot.pack(replica_with_departures(7), 1)).ok
    assert now.apply(update, 4)  # as a head of a later epoch applies it
    assert now.config == before and now.departures == {"i1": 2, "i3": 1, "i2": 2}
    # Its version is committed with another document: a conflict, which changes nothing.
    assert now.config.outcome_of(update.version, digest_of(update.document)) is CommitOutcome.CONFLICT
    assert not now.apply(update, 4) and now.config == before  # nor when it is repeated
