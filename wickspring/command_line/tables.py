"""Formats rows as plain-text tables, and values as JSON; the commands choose rows and columns."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from types import MappingProxyType

import msgspec

COLUMN_GAP = "  "
EMPTY = "none"
JSON_INDENT = 1
_KEYS_ARE_LABELS: Mapping[str, str] = MappingProxyType({})


def format_table(
    rows: Sequence[Mapping[str, object]],
    columns: Sequence[str] = (),
    labels: Mapping[str, str] = _KEYS_ARE_LABELS,
) -> str:
    """Return the rows under a header line.

    Args:
        rows: cells by key; a key that a row lacks gives an empty cell.
        columns: keys of the columns in their order; by default those of the first row.
        labels: what the header says of a key, where that is not the key itself.
    """
    if not rows:
        return EMPTY
    keys = list(columns or rows[0])
    cells = [[str(row.get(key, "")) for key in keys] for row in rows]
    return format_rows([labels.get(key, key) for key in keys], cells)


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
