"""Formats rows as plain-text tables; the commands choose rows and columns (`ctl.__main__`, `ctl.reports`)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

COLUMN_GAP = "  "
EMPTY = "none"


def format_table(rows: Sequence[Mapping[str, object]], columns: Sequence[str] = ()) -> str:
    """Return the rows under a header line, by default with the first row's keys as columns."""
    if not rows:
        return EMPTY
    names = list(columns or rows[0])
    lines = [names, *([str(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
