"""What a ticket server's answer says, read the same way for both protocols."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from wickspring.interface import Status
from wickspring.net.upstream.carrier import Reply

MOST_FIGURE = 1e9  # no load or use is above; what says so cannot be read

_report = msgspec.json.Decoder(dict[str, float])


def read_load(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Read a load report; one that cannot be read tells nothing."""
    if not text or not fields:
        return ()
    try:
        values = _report.decode(text)
    except msgspec.DecodeError:
        return ()
    if not all(0 <= values.get(name, -1.0) <= MOST_FIGURE for name in fields):
        return ()  # negative, huge or left out: it tells nothing, and not that there is no load
    return tuple(values[name] for name in fields)


def _number(text: str) -> float:
    if not text:  # as in nearly every answer
        return 0.0
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 < value <= MOST_FIGURE else 0.0


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
