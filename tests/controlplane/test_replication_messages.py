"""Decoding of the replication messages: fields of a wrong type are refused as malformed."""

from __future__ import annotations

import msgspec
import pytest

from wickspring.controlplane.replication import messages
from wickspring.controlplane.replication.messages import (
    Accept,
    CommittedState,
    Fetch,
    InstallView,
    Pass,
    Passed,
    Prepare,
    Promise,
    ReplicationMessage,
)
from wickspring.controlplane.replication.packing import PackedFields
from wickspring.controlplane.replication.paxos import AcceptedValue, Ballot, Value
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.replication.view import Member, View

HUGE = 1 << 40
"""As a length it would be a terabyte of zeros."""

FieldPath = tuple[int, ...]
"""The indexes that lead to a field of an encoded message."""

CONFIG_BYTES: tuple[FieldPath, ...] = ((2,), (3,), (4, 0, 1), (5,))
"""The fields of a packed `Config` that are bytes: document, digest, a digest of the history, reference."""

MEMBERS = (Member("a", "d1"), Member("b", "d2"))
VIEW = View(3, MEMBERS, MEMBERS)
BALLOT = Ballot(2, "b")


def replica_with_history() -> Replica:
    """Return a replica of two versions, so that its history has one digest."""
    replica = Replica()
    replica.apply(Update(1, b"first"), 3)
    replica.apply(Update(2, b"second"), 3)
    return replica


def paths_in_config(*path_of_replica: int) -> tuple[FieldPath, ...]:
    """Return the paths of all bytes in the configuration of a packed replica."""
    return tuple((*path_of_replica, 0, *path) for path in CONFIG_BYTES)


STATE = replica_with_history()
ACCEPTED = AcceptedValue(BALLOT, Value(VIEW, STATE))

MESSAGES_WITH_BYTES: list[tuple[ReplicationMessage, tuple[FieldPath, ...]]] = [
    (Pass(VIEW, 7, STATE), paths_in_config(3)),
    (Passed(3, 7, STATE.config.identity, "d1"), ((3,),)),
    (Fetch(3, STATE.config.identity, "d1"), ((2,),)),
    (CommittedState(STATE), paths_in_config(1)),
    (InstallView(VIEW, STATE), paths_in_config(2)),
    (Prepare(4, BALLOT, STATE.config.identity), ((3,),)),
    (Promise(4, BALLOT, ACCEPTED, STATE, "d1"), paths_in_config(3, 2) + paths_in_config(4)),
    (Accept(4, BALLOT, VIEW, STATE), paths_in_config(4)),
]

BYTES_FIELDS = [
    pytest.param(message, path, id=f"{message.KIND}-{'.'.join(map(str, path))}")
    for message, paths in MESSAGES_WITH_BYTES
    for path in paths
]


def copy_with_field(fields: PackedFields, path: FieldPath, value: int) -> PackedFields:
    """Return a copy of an encoded message in which the field at a path, a bytes field, has another value."""
    index, *rest = path
    field = fields[index]
    changed = list(fields)
    if rest:
        assert isinstance(field, list)
        changed[index] = copy_with_field(field, tuple(rest), value)
    else:
        assert isinstance(field, bytes)
        changed[index] = value
    return changed


@pytest.mark.parametrize(("message", "path"), BYTES_FIELDS)
def test_an_integer_in_place_of_bytes_is_refused_as_malformed(
    message: ReplicationMessage, path: FieldPath
) -> None:
    """`bytes(number)` would allocate that many zeros: no integer may get that far."""
    encoded = message.encode()
    assert messages.decode(encoded) == message
    for number in (HUGE, 16):
        with pytest.raises(msgspec.ValidationError):
            messages.decode(copy_with_field(encoded, path, number))
