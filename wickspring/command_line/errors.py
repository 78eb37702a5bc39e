"""How a command ends: its exit code, and the error that carries one."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's process ends with."""

    OK = 0
    FAILED = 1  # the command did not have the wanted effect
    USAGE = 2  # faulty words, options or configuration
    CONFLICT = 3  # another operation holds the instances


class CommandError(Exception):
    """A command ends without success.

    The message goes to stderr; with an empty one the command has already said what there is to say.
    """

    def __init__(self, message: object = "", code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(str(message))
        self.code = code
