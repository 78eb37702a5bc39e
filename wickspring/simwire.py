"""Codec between the frames of an outside simulator and the types of `interface.py`; it decides nothing.

The simulator fixes the wire: the codes, the order and the formats of the fields. Each record has one layout:
its code, the number of its instance, and a `struct` format of its fields. Events are padded to 56 bytes and
actions to 32; text and lists stand in the frame's tail, after the records.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from wickspring import config
from wickspring import interface as api
from wickspring.settings.errors import ConfigError

EVENT_SIZE = 56  # bytes
ACTION_SIZE = 32  # bytes
BATCH_HEADER = struct.Struct(">dII")  # time in ms, bytes of the frame, events
REPLY_HEADER = struct.Struct(">II")  # bytes of the frame, actions
PREFIX = ">HH"  # of each record: code and instance
PREFIX_STRUCT = struct.Struct(PREFIX)
SERVER_ENTRY = struct.Struct(">6sBHHBfd")
LOAD_REPORT = "B4f"  # how many of the four figures are given
REPEAT_MARK = 2  # bit of a request that its client marks as a repeat
FOLLOW_LIST = 1  # the one kind of list that can be asked for
STATUS = {
    100: api.Status.OK,
    301: api.Status.ERROR,
    302: api.Status.FULL,
    303: api.Status.TIMEOUT,
    304: api.Status.CONNECT_FAILED,
    305: api.Status.RESET,
    306: api.Status.CANCELLED,
    307: api.Status.MOOT,
}
LIST_KIND = {
    0: api.ListKind.CACHED,
    1: api.ListKind.CHANGES,
    2: api.ListKind.FAILED,
    3: api.ListKind.COMPLETE,
}
READINESS = {0: api.Readiness.READY, 1: api.Readiness.DRAINING, 2: api.Readiness.GONE}


class WireError(ValueError):
    """A frame or a settings text that does not follow the wire."""


@dataclass(slots=True, frozen=True)
class Start:
    """An instance has been started with these settings."""

    settings: api.Settings


@dataclass(slots=True, frozen=True)
class Stop:
    """An instance has been killed."""


@dataclass(slots=True, frozen=True)
class Fault:
    """The decision code of an instance has failed."""

    text: str


WireEvent = api.Event | Start | Stop
WireAction = api.Action | Fault


def parse_settings(text: str, seed: int) -> api.Settings:
    """Read the start-up parameters, one path=value pair a line."""
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip():
            key, mark, value = line.partition("=")
            if not mark:
                raise WireError(f"settings line without '=': {line!r}")
            pairs[key] = value
    try:
        return config.build_settings(pairs, seed)
    except ConfigError as error:
        raise WireError(str(error)) from error


def _status(code: int) -> api.Status:
    if code not in STATUS:
        raise WireError(f"unknown status {code}")
    return STATUS[code]


def _tail(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points past the end of the frame")
    return tail[offset : offset + length]


def _server_entry(fields: tuple[Any, ...]) -> api.ServerEntry:
    server, zone, _kind, cell, readiness, weight, started_at = fields
    if readiness not in READINESS:
        raise WireError(f"unknown readiness {readiness}")
    return api.ServerEntry(server, zone, cell, READINESS[readiness], weight, started_at)


# Events: each function takes the fields of a record, and the tail of its frame.


def _decode_start(fields: tuple[Any, ...], tail: bytes) -> Start:
    seed, offset, length = fields
    return Start(parse_settings(_tail(tail, offset, length).decode(), seed))


def _decode_list(fields: tuple[Any, ...], tail: bytes) -> api.ServerList:
    kind, _, offset, count = fields
    if kind not in LIST_KIND:
        raise WireError(f"unknown list kind {kind}")
    entries = SERVER_ENTRY.iter_unpack(_tail(tail, offset, count * SERVER_ENTRY.size))
    return api.ServerList(LIST_KIND[kind], tuple(map(_server_entry, entries)))


def _decode_request(fields: tuple[Any, ...], tail: bytes) -> api.Request:
    request, class_index, plan_index, customer, deadline, units, spread, first_gateway, marks = fields
    return api.Request(
        request,
        class_index,
        plan_index,
        customer,
        deadline,
        units,
        int(spread),
        int(first_gateway),
        bool(marks & REPEAT_MARK),
    )


def _decode_stream(fields: tuple[Any, ...], tail: bytes) -> api.StreamStarted:
    request, _, attempt, server = fields
    return api.StreamStarted(request, attempt, server)


def _decode_outcome(fields: tuple[Any, ...], tail: bytes) -> api.Outcome:
    request, server, fleet_use, over, settled_units, status, elapsed, attempt, count, *load = fields
    return api.Outcome(
        request,
        attempt,
        server,
        _status(status),
        bool(over),
        elapsed,
        tuple(load[:count]),
        settled_units,
        fleet_use,
    )


def _decode_withdrawn(fields: tuple[Any, ...], tail: bytes) -> api.Withdrawn:
    (request,) = fields
    return api.Withdrawn(request)


def _decode_timer(fields: tuple[Any, ...], tail: bytes) -> api.TimerFired:
    (token,) = fields
    return api.TimerFired(token)


def _decode_probe(fields: tuple[Any, ...], tail: bytes) -> api.ProbeResult:
    server, status, elapsed, count, *load = fields
    return api.ProbeResult(server, _status(status), elapsed, tuple(load[:count]))


def _decode_peer(fields: tuple[Any, ...], tail: bytes) -> api.PeerMessage:
    sender, offset, length = fields
    return api.PeerMessage(sender, _tail(tail, offset, length))


def _decode_stop(fields: tuple[Any, ...], tail: bytes) -> Stop:
    return Stop()


def _decode_count(fields: tuple[Any, ...], tail: bytes) -> api.CountAnswer:
    name, status, total, elapsed = fields
    return api.CountAnswer(name, _status(status), total, elapsed)


class EventLayout(NamedTuple):
    """How one kind of event is read."""

    record: struct.Struct
    decode: Callable[[tuple[Any, ...], bytes], WireEvent]


def _event(fields: str, decode: Callable[[tuple[Any, ...], bytes], WireEvent]) -> EventLayout:
    return EventLayout(struct.Struct(PREFIX + fields), decode)


EVENTS: Mapping[int, EventLayout] = {
    1: _event("QII", _decode_start),
    2: _event("BIII", _decode_list),
    3: _event("QBIQdfffB", _decode_request),
    4: _event("QdB6s", _decode_stream),
    5: _event("Q6sHBHHdB" + LOAD_REPORT, _decode_outcome),
    6: _event("Q", _decode_withdrawn),
    7: _event("Q", _decode_timer),
    8: _event("6sHd" + LOAD_REPORT, _decode_probe),
    9: _event("HII", _decode_peer),
    10: _event("", _decode_stop),
    11: _event("QHfd", _decode_count),
}
"""By the code of the record."""


def _decode_event(record: bytes, tail: bytes) -> tuple[int, WireEvent]:
    code, instance = PREFIX_STRUCT.unpack_from(record)
    layout = EVENTS.get(code)
    if layout is None:
        raise WireError(f"unknown event code {code}")
    fields = layout.record.unpack_from(record)[2:]
    return instance, layout.decode(fields, tail)


def decode_batch(frame: bytes) -> tuple[float, list[tuple[int, WireEvent]]]:
    """Read one batch: its clock and its events with their instances.

    Raises:
        WireError: the frame does not follow the wire.
    """
    if len(frame) < BATCH_HEADER.size:
        raise WireError("frame shorter than its header")
    now, length, count = BATCH_HEADER.unpack_from(frame)
    end = BATCH_HEADER.size + count * EVENT_SIZE
    if length != len(frame) or end > length:
        raise WireError("frame length does not match its records")
    tail = frame[end:]
    starts = range(BATCH_HEADER.size, end, EVENT_SIZE)
    return now, [_decode_event(frame[at : at + EVENT_SIZE], tail) for at in starts]


# Actions.


class ActionLayout(NamedTuple):
    """How one kind of action is written."""

    code: int
    record: struct.Struct
    fields: Callable[[Any], tuple[object, ...]]


def _action(code: int, fields: str, values: Callable[[Any], tuple[object, ...]]) -> ActionLayout:
    return ActionLayout(code, struct.Struct(PREFIX + fields), values)


ACTIONS: Mapping[type, ActionLayout] = {
    api.Send: _action(1, "Q6sd", lambda send: (send.request, send.server, send.timeout)),
    api.Refuse: _action(2, "Qd", lambda refuse: (refuse.request, refuse.retry_after)),
    api.Fail: _action(3, "Q", lambda fail: (fail.request,)),
    api.Cancel: _action(4, "QB", lambda cancel: (cancel.request, cancel.attempt)),
    api.SetTimer: _action(5, "Qd", lambda timer: (timer.token, timer.delay)),
    api.Probe: _action(6, "6s", lambda probe: (probe.server,)),
    api.FollowList: _action(11, "B", lambda _: (FOLLOW_LIST,)),
    api.Count: _action(13, "fQd", lambda count: (count.amount, count.name, count.keep_for)),
}
FAULT_CODE, FAULT_RECORD = 10, struct.Struct(PREFIX + "II")


def _encode_fault(instance: int, fault: Fault, tail: bytearray) -> bytes:
    text = fault.text.encode()
    record = FAULT_RECORD.pack(FAULT_CODE, instance, len(tail), len(text))
    tail += text
    return record.ljust(ACTION_SIZE, b"\0")


def _encode_action(instance: int, action: api.Action) -> bytes:
    layout = ACTIONS[type(action)]
    return layout.record.pack(layout.code, instance, *layout.fields(action)).ljust(ACTION_SIZE, b"\0")


def encode_reply(actions: Iterable[tuple[int, WireAction]]) -> bytes:
    """Write one reply frame of actions with their instances."""
    tail = bytearray()
    records = bytearray()
    for instance, action in actions:
        if isinstance(action, Fault):
            records += _encode_fault(instance, action, tail)
        else:
            records += _encode_action(instance, action)
    body = records + tail
    count = len(records) // ACTION_SIZE
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), count) + bytes(body)
