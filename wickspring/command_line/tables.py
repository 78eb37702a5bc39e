"""Formats rows as plain-text tables, and values as JSON; the commands choose rows and columns."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

COLUMN_GAP = "  "
EMPTY = "none"
JSON_INDENT = 1


def format_table(rows: Sequence[Mapping[str, object]], columns: Sequence[str] = ()) -> str:
    """Return the rows under a header line, by default with the first row's keys as columns."""
    if not rows:
        return EMPTY
    names = list(columns or rows[0])
    return format_rows(names, [[str(row.get(name, "")) for name in names] for row in rows])


def format_rows(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return lines of cells under a header line, each column as wide as its widest cell."""
    lines = [header, *rows]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(_format_line(line, widths) for line in lines)


def format_json(value: object) -> str:
    """Return a value, also one of typed messages, as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=JSON_INDENT).decode()


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
