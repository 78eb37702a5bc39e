"""Runs commands in the test's own process, as `python -m wickspring` does."""

from __future__ import annotations

import contextlib
import io
from dataclasses import dataclass

from wickspring import cli


@dataclass(frozen=True, slots=True)
class CommandResult:
    """How a command ended, and what it printed."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def output(self) -> str:
        """All that was printed, on either stream."""
        return self.stdout + self.stderr


def run_command(*words: str) -> CommandResult:
    """Run the command that the words name, below `wickspring`."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        exit_code = cli.main(words)
    return CommandResult(exit_code, stdout.getvalue(), stderr.getvalue())
