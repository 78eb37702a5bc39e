"""What a ticket server's answer says, read the same way for both protocols."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from wickspring.interface import Status
from wickspring.net.upstream import Reply

_report = msgspec.json.Decoder(dict[str, float])


def read_load(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Read a load report; one that cannot be read tells nothing."""
    if not text or not fields:
        return ()
    try:
        values = _report.decode(text)
    except msgspec.DecodeError:
        return ()
    return tuple(values.get(name, 0.0) for name in fields)


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) and value > 0 else 0.0


def read_reply(code: int, headers: Mapping[str, str], body: bytes, fields: tuple[str, ...]) -> Reply:
    """Apply the protocol's table to a whole answer."""
    if code == 200:
        status = Status.OK
    elif code in (503, 504) and headers.get("x-rejected") == "1":
        status = Status.FULL  # turned away: it never ran
    else:
        status = Status.ERROR  # without that mark it may have run
    load = read_load(headers.get("x-load-report", "").encode(), fields)
    used, cost = _number(headers.get("api-usage", "")), _number(headers.get("api-charge", ""))
    return Reply(status, load, body, cost, int(used))
