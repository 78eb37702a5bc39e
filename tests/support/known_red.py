"""The tests that are known to fail for a fault that is not fixed yet: `KNOWN-RED.txt` at the root.

Each line names a test (its id, without parameters for all of them), the command and seed that reproduce the
fault, what was seen, and the open issue, separated by ` | `. Such a test is run and reported, and its failure
does not fail the run. One that passes although it is listed fails the run: its line must be taken off with
the fix. A test whose description begins with `at times:` may pass as well. The list is as long as there are
open faults: a bound on its length once pushed entries off whose faults were still open.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_FILE = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
SEPARATOR = " | "
SOMETIMES = "at times:"


class KnownRed(NamedTuple):
    """One test that is known to fail."""

    test: str
    reproduction: str  # a command with its seed
    observation: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether this is the test of an id, whatever its parameters."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")

    @property
    def always_fails(self) -> bool:
        """Whether a pass means that the fault is gone."""
        return not self.observation.startswith(SOMETIMES)


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a list.

    Raises:
        ValueError: a line does not have its four parts, names no seed or no issue's number, or names a test
            that another line names.
    """
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    tests = [entry.test for entry in entries]
    for test in tests:
        if tests.count(test) > 1:
            raise ValueError(f"listed twice: {test}")
    return entries


def _parse_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise ValueError(f"not `{SEPARATOR.join(KnownRed._fields)}`: {line!r}")
    entry = KnownRed(*parts)
    if "seed" not in entry.reproduction:
        raise ValueError(f"no seed in {entry.reproduction!r}, which is to reproduce {entry.test}")
    if not entry.issue.isdigit():
        raise ValueError(f"not the number of an issue: {entry.issue!r}")
    return entry


def read_known_red() -> list[KnownRed]:
    """Return the entries of the list at the root; none where there is no such file."""
    return parse_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def mark_known_red(items: Iterable[pytest.Item], entries: list[KnownRed]) -> None:
    """Have the tests of a list run without failing the run."""
    for item in items:
        for entry in entries:
            if entry.names(item.nodeid):
                reason = f"{entry.observation} (issue {entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))
