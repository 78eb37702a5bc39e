"""Codec between the frames of the wire and the types of `interface.py`; it decides nothing.

Each record has one layout: its code and a `struct` format that begins with that code. Events are padded
to 56 bytes and actions to 32; text and lists stand in the frame's tail.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wickspring import config
from wickspring import interface as api

EVENT_SIZE = 56
ACTION_SIZE = 32
BATCH_HEADER = struct.Struct(">dII")
REPLY_HEADER = struct.Struct(">II")
PREFIX = struct.Struct(">HH")
ENTRY = struct.Struct(">6sBHHBfd")
LOAD = "B4f"

EVENT_LAYOUT: Mapping[str, tuple[int, struct.Struct]] = {
    "start": (1, struct.Struct(">HHQII")),
    "list": (2, struct.Struct(">HHBIII")),
    "request": (3, struct.Struct(">HHQBIQdfffB")),
    "stream": (4, struct.Struct(">HHQdB6s")),
    "outcome": (5, struct.Struct(">HHQ6sHBHHdB" + LOAD)),
    "withdrawn": (6, struct.Struct(">HHQ")),
    "timer": (7, struct.Struct(">HHQ")),
    "probe": (8, struct.Struct(">HH6sHd" + LOAD)),
    "peer": (9, struct.Struct(">HHHII")),
    "stop": (10, struct.Struct(">HH")),
    "count": (11, struct.Struct(">HHQHfd")),
}
ACTION_LAYOUT: Mapping[str, tuple[int, struct.Struct]] = {
    "send": (1, struct.Struct(">HHQ6sd")),
    "refuse": (2, struct.Struct(">HHQd")),
    "fail": (3, struct.Struct(">HHQ")),
    "cancel": (4, struct.Struct(">HHQB")),
    "timer": (5, struct.Struct(">HHQd")),
    "probe": (6, struct.Struct(">HH6s")),
    "log": (9, struct.Struct(">HHII")),
    "fault": (10, struct.Struct(">HHII")),
    "follow": (11, struct.Struct(">HHB")),
    "count": (13, struct.Struct(">HHfQd")),
}
EVENT_NAME = {code: name for name, (code, _) in EVENT_LAYOUT.items()}
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
    except config.ConfigError as error:
        raise WireError(str(error)) from error


def _status(code: int) -> api.Status:
    if code not in STATUS:
        raise WireError(f"unknown status {code}")
    return STATUS[code]


def _tail(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points past the end of the frame")
    return tail[offset : offset + length]


def _entries(tail: bytes, offset: int, count: int) -> tuple[api.ServerEntry, ...]:
    entries = []
    for server, zone, _kind, cell, readiness, weight, since in ENTRY.iter_unpack(
        _tail(tail, offset, count * ENTRY.size)
    ):
        if readiness not in READINESS:
            raise WireError(f"unknown readiness {readiness}")
        entries.append(api.ServerEntry(server, zone, cell, READINESS[readiness], weight, since))
    return tuple(entries)


def _decode_event(record: bytes, tail: bytes) -> tuple[int, WireEvent]:
    code = PREFIX.unpack_from(record)[0]
    name = EVENT_NAME.get(code)
    if name is None:
        raise WireError(f"unknown event code {code}")
    _, instance, *f = EVENT_LAYOUT[name][1].unpack_from(record)
    event: WireEvent
    if name == "start":
        event = Start(parse_settings(_tail(tail, f[1], f[2]).decode(), f[0]))
    elif name == "list":
        if f[0] not in LIST_KIND:
            raise WireError(f"unknown list kind {f[0]}")
        event = api.ServerList(LIST_KIND[f[0]], _entries(tail, f[2], f[3]))
    elif name == "request":
        request, class_index, plan_index, customer, deadline, units, spread, first, bits = f
        repeat = bool(bits & 2)
        event = api.Request(
            request, class_index, plan_index, customer, deadline, units, int(spread), int(first), repeat
        )
    elif name == "stream":
        event = api.StreamStarted(f[0], f[2], f[3])
    elif name == "outcome":
        request, server, used, over, settled, status, elapsed, attempt, count, *load = f
        event = api.Outcome(
            request, attempt, server, _status(status), bool(over), elapsed, tuple(load[:count]), settled, used
        )
    elif name == "withdrawn":
        event = api.Withdrawn(f[0])
    elif name == "timer":
        event = api.TimerFired(f[0])
    elif name == "probe":
        event = api.ProbeResult(f[0], _status(f[1]), f[2], tuple(f[4 : 4 + f[3]]))
    elif name == "peer":
        event = api.PeerMessage(f[0], _tail(tail, f[1], f[2]))
    elif name == "stop":
        event = Stop()
    else:
        event = api.CountAnswer(f[0], _status(f[1]), f[2], f[3])
    return instance, event


def decode_batch(frame: bytes) -> tuple[float, list[tuple[int, WireEvent]]]:
    """Read one batch: its clock and its events with their instances."""
    if len(frame) < BATCH_HEADER.size:
        raise WireError("frame shorter than its header")
    now, length, count = BATCH_HEADER.unpack_from(frame)
    end = BATCH_HEADER.size + count * EVENT_SIZE
    if length != len(frame) or end > length:
        raise WireError("frame length does not match its records")
    tail = frame[end:]
    starts = range(BATCH_HEADER.size, end, EVENT_SIZE)
    return now, [_decode_event(frame[at : at + EVENT_SIZE], tail) for at in starts]


def _encode_action(instance: int, action: WireAction, tail: bytearray) -> bytes:
    name: str
    fields: tuple[object, ...]
    match action:
        case api.Send():
            name, fields = "send", (action.request, action.server, action.timeout)
        case api.Refuse():
            name, fields = "refuse", (action.request, action.retry_after)
        case api.Fail():
            name, fields = "fail", (action.request,)
        case api.Cancel():
            name, fields = "cancel", (action.request, action.attempt)
        case api.SetTimer():
            name, fields = "timer", (action.token, action.delay)
        case api.Probe():
            name, fields = "probe", (action.server,)
        case api.Count():
            name, fields = "count", (action.amount, action.name, action.keep_for)
        case api.FollowList():
            name, fields = "follow", (1,)
        case Fault():
            text = action.text.encode()
            name, fields = "fault", (len(tail), len(text))
            tail += text
    code, layout = ACTION_LAYOUT[name]
    return layout.pack(code, instance, *fields).ljust(ACTION_SIZE, b"\0")


def encode_reply(actions: Iterable[tuple[int, WireAction]]) -> bytes:
    """Write one reply frame."""
    tail = bytearray()
    records = [_encode_action(instance, action, tail) for instance, action in actions]
    body = b"".join(records) + bytes(tail)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body
