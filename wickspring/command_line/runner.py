"""Runs one command of a group by its words, with Fire."""

from __future__ import annotations

import contextlib
import inspect
import sys
from collections.abc import Callable, Sequence

import fire

from wickspring.command_line import arguments
from wickspring.command_line.errors import CommandError, ExitCode

_FIRE_OPTIONS = "--"  # what follows it is for Fire itself
_NO_SEPARATOR = "--separator=\0"  # by default a lone hyphen would end a command's words
_HELP = "--help"


def run(commands: type, given: Sequence[str], program: str, group: str = "") -> int:
    """Run the command that the words name, print what it returns, and return its exit code.

    Args:
        commands: class whose public methods are the commands.
        given: the words after the group's own name.
        program: name of the program, for messages.
        group: name of the group as it is typed; empty for commands of the program itself.

    A `CommandError` is printed on stderr; all other exceptions are the caller's.
    """

    def run_group() -> int:
        words = arguments.prepare(commands, given)
        if words.wants_help or not words.command:
            return _print_help(commands, words, program, group)
        arguments.set_group_converters(commands)
        _call_fire(commands, [*words.arguments, _FIRE_OPTIONS, _NO_SEPARATOR], program, group)
        return ExitCode.OK

    return _exit_code(run_group)


def run_single(function: Callable[..., object], given: Sequence[str], program: str) -> int:
    """Run a program that is a single command, as `run` does one of a group, and return its exit code."""

    def run_function() -> int:
        words = arguments.prepare_single(function, given, program)
        if words.wants_help:
            with contextlib.redirect_stderr(sys.stdout):
                fire.Fire(function, command=[_FIRE_OPTIONS, _HELP], name=program)
        arguments.set_converters(function)
        fire.Fire(function, command=[*words.arguments, _FIRE_OPTIONS, _NO_SEPARATOR], name=program)
        return ExitCode.OK

    return _exit_code(run_function)


def _exit_code(command: Callable[[], int]) -> int:
    try:
        return command()
    except CommandError as error:
        if str(error):
            print(error, file=sys.stderr)
        return error.code
    except fire.core.FireExit as ended:
        return int(ended.code)


def _call_fire(commands: type, words: Sequence[str], program: str, group: str) -> None:
    if group:
        fire.Fire({group: commands}, command=[group, *words], name=program)
    else:
        fire.Fire(commands, command=list(words), name=program)


def _print_help(commands: type, words: arguments.Words, program: str, group: str) -> int:
    """Print the help of a group or command: on stdout where it was asked for, on stderr where words lack."""
    target = sys.stdout if words.wants_help else sys.stderr
    if words.command:
        with contextlib.suppress(fire.core.FireExit), contextlib.redirect_stderr(target):
            _call_fire(commands, [*words.arguments, _FIRE_OPTIONS, _HELP], program, group)
        options = arguments.option_names(commands)
        if options:
            print(f"OPTIONS OF THE GROUP\n    {', '.join(options)}", file=target)
    else:
        print(_group_help(commands, f"{program} {group}".strip()), file=target)
    return ExitCode.OK if words.wants_help else ExitCode.USAGE


def _group_help(commands: type, name: str) -> str:
    """Return what a group is for, and each command with the first line of its docstring."""
    typed_names = arguments.command_names(commands)
    width = max(map(len, typed_names))
    lines = [f"Usage: {name} COMMAND [WORDS] [OPTIONS]", "", inspect.getdoc(commands) or "", "", "Commands:"]
    for typed in typed_names:
        summary = (inspect.getdoc(arguments.find_method(commands, typed)) or "").partition("\n")[0]
        lines.append(f"  {typed.ljust(width)}  {summary}")
    return "\n".join(lines)
