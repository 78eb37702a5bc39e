"""The tests that are known to fail for a fault that is not mended yet: `KNOWN-RED.txt` at the root.

Each line names a test (its id, without parameters for all of them), the cause and the issue, separated by
` | `. Such a test is run and reported, and its failure does not fail the run. One that passes although it is
listed fails the run: its line must be taken off with the mend. A line whose cause begins with `at times:`
may pass as well.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_FILE = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
MAX_ENTRIES = 3
SEPARATOR = " | "
SOMETIMES = "at times:"


class KnownRed(NamedTuple):
    """One test that is known to fail."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether this is the test of an id, whatever its parameters."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")

    @property
    def always_fails(self) -> bool:
        """Whether a pass means that the fault is gone."""
        return not self.cause.startswith(SOMETIMES)


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a list.

    Raises:
        ValueError: a line does not have its three parts, or there are too many lines.
    """
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} tests are known to fail, {MAX_ENTRIES} at most may be")
    return entries


def _parse_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise ValueError(f"not `test{SEPARATOR}cause{SEPARATOR}issue`: {line!r}")
    return KnownRed(*parts)


def read_known_red() -> list[KnownRed]:
    """Return the entries of the list at the root; none where there is no such file."""
    return parse_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def mark_known_red(items: Iterable[pytest.Item], entries: list[KnownRed]) -> None:
    """Have the tests of a list run without failing the run."""
    for item in items:
        for entry in entries:
            if entry.names(item.nodeid):
                reason = f"{entry.cause} (issue {entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))
