"""What a server's response means for the decision module, the same for both protocols."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from wickspring.interface import Status
from wickspring.net.upstream.exchange import ExchangeResult

MAX_FIGURE = 1e9  # of a load or a use; a larger one is taken for unreadable
REJECTED_STATUSES = (503, 504)

_load_report_decoder = msgspec.json.Decoder(dict[str, float])


def read_load(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Read a load report; empty where it cannot be read."""
    if not text or not fields:
        return ()
    try:
        values = _load_report_decoder.decode(text)
    except msgspec.DecodeError:
        return ()
    if not all(0 <= values.get(name, -1.0) <= MAX_FIGURE for name in fields):
        return ()  # negative, huge or left out: it tells nothing, and not that there is no load
    return tuple(values[name] for name in fields)


def _read_figure(text: str) -> float:
    if not text:  # as in nearly every response
        return 0.0
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 < value <= MAX_FIGURE else 0.0


def read_result(
    code: int, headers: Mapping[str, str], body: bytes, fields: tuple[str, ...]
) -> ExchangeResult:
    """Return the result of a complete response; `fields` are the names of its load report."""
    if code == 200:
        status = Status.OK
    elif code in REJECTED_STATUSES and headers.get("x-rejected") == "1":
        status = Status.FULL  # turned away: it never ran
    else:
        status = Status.ERROR  # without that mark it may have run
    load = read_load(headers.get("x-load-report", "").encode(), fields)
    fleet_use = int(_read_figure(headers.get("api-usage", "")))
    settled_units = _read_figure(headers.get("api-charge", ""))
    return ExchangeResult(status, load, body, settled_units, fleet_use)
