"""Checks the words of a command against its signature, and brings them into a form that Fire reads safely.

Fire calls a method before it looks at the words left over, and lets a flag take the next word as its value.
So `drain --dry-rnu` would drain, and `drain --dry-run n1` would take `n1` as the value of the flag and not as
the selection. Here unknown options, missing and surplus words are refused beforehand, a flag becomes
`--flag=True`, and any other option is joined with its value. Values are converted as the annotation of the
parameter says, and never guessed: `upgrade 2` names the build "2".
"""

from __future__ import annotations

import inspect
import types
import typing
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from fire import decorators

from wickspring.command_line.errors import CommandError, ExitCode

END_OF_OPTIONS = "--"
HELP_OPTIONS = frozenset({"-h", "--help"})
OPTION_PREFIX = "--"
_CONVERTED: Mapping[type, str] = {int: "a whole number", float: "a number"}


@dataclass(frozen=True, slots=True)
class Words:
    """The words of a command line, ready for Fire."""

    command: str  # as it was typed; empty where no command was named
    arguments: tuple[str, ...]
    wants_help: bool


def command_names(commands: type) -> tuple[str, ...]:
    """Return the names of a group's commands as they are typed, in the order of their definition."""
    names = dict.fromkeys(name for kind in reversed(commands.__mro__[:-1]) for name in vars(kind))
    return tuple(_typed(name) for name in names if _is_command(commands, name))


def find_method(commands: type, typed_name: str) -> Callable[..., object]:
    """Return the method of a command by its name as it is typed."""
    method: Callable[..., object] = getattr(commands, _python_name(typed_name))
    return method


def prepare(commands: type, given: Sequence[str]) -> Words:
    """Check the words given for one of a group's commands.

    Args:
        commands: class whose public methods are the commands; its constructor's options go with each of them.
        given: the words after the group's own name.

    Raises:
        CommandError: with `ExitCode.USAGE`, naming the word at fault.
    """
    group_options = _options(commands)
    command = _find_command(given, group_options)
    if command and _typed(command) not in command_names(commands):
        raise CommandError(
            f"no command {command!r}; there are {', '.join(command_names(commands))}", ExitCode.USAGE
        )
    wants_help = any(word in HELP_OPTIONS for word in _before_end_of_options(given))
    if wants_help or not command:
        return Words(command, (command,) if command else (), wants_help)
    method = find_method(commands, command)
    arguments = tuple(_joined(given, group_options | _options(method)))
    _check_complete(command, method, arguments, skipped=1)
    return Words(command, arguments, wants_help=False)


def prepare_single(function: Callable[..., object], given: Sequence[str], program: str) -> Words:
    """Check the words given for a program that is a single command; `CommandError` as `prepare` does."""
    if any(word in HELP_OPTIONS for word in _before_end_of_options(given)):
        return Words(program, (), wants_help=True)
    arguments = tuple(_joined(given, _options(function)))
    _check_complete(program, function, arguments)
    return Words(program, arguments, wants_help=False)


def option_names(target: Callable[..., object]) -> tuple[str, ...]:
    """Return the options of a group's constructor or of a command as they are typed."""
    return tuple(f"{OPTION_PREFIX}{_typed(name)}" for name in _options(target))


def set_group_converters(commands: type) -> None:
    """Have Fire convert the words for a group's constructor and commands as their annotations say."""
    set_converters(commands)
    for name in command_names(commands):
        set_converters(find_method(commands, name))


def set_converters(target: Callable[..., object]) -> None:
    """Have Fire convert the words for a function as its annotations say."""
    annotations = _annotations(target)
    converters = {name: _converter(name, kind) for name, kind in annotations.items() if name != "return"}
    decorators.SetParseFn(str)(target)
    decorators.SetParseFns(**converters)(target)


def _joined(given: Sequence[str], options: Mapping[str, type]) -> Iterator[str]:
    """Yield the words with each option and its value in one, and without the mark that ends the options."""
    words = iter(given)
    for word in words:
        if word == END_OF_OPTIONS:
            yield from _positional(words)
        elif not _is_option(word):
            yield word
        else:
            yield _option_with_value(word, words, options)


def _option_with_value(word: str, following: Iterator[str], options: Mapping[str, type]) -> str:
    name, equals, _ = word.partition("=")
    kind = options.get(_python_name(name.removeprefix(OPTION_PREFIX)))
    if kind is None or not name.startswith(OPTION_PREFIX):
        known = ", ".join(f"{OPTION_PREFIX}{_typed(option)}" for option in options)
        raise CommandError(f"no option {name!r}; there are {known or 'none'}", ExitCode.USAGE)
    if equals:
        return word
    if kind is bool:
        return f"{name}=True"
    value = next(following, None)
    if value is None or _is_option(value):
        raise CommandError(f"{name}: a value is missing", ExitCode.USAGE)
    return f"{name}={value}"


def _positional(words: Iterator[str]) -> Iterator[str]:
    for word in words:
        if _is_option(word):
            raise CommandError(f"{word!r}: a name does not begin with a hyphen", ExitCode.USAGE)
        yield word


def _find_command(given: Sequence[str], group_options: Mapping[str, type]) -> str:
    """Return the first word that is neither an option of the group nor its value."""
    words = iter(_before_end_of_options(given))
    for word in words:
        if not _is_option(word):
            return word
        kind = group_options.get(_python_name(word.removeprefix(OPTION_PREFIX)))
        if kind is not None and kind is not bool:
            next(words, None)
    return ""


def _check_complete(
    command: str, function: Callable[..., object], arguments: Sequence[str], skipped: int = 0
) -> None:
    """Refuse more or fewer words than a command has parameters for, those given by name included.

    Args:
        command: its name, for messages.
        function: function or method to be called.
        arguments: words in the form for Fire.
        skipped: how many words before its own there are that are no options.
    """
    parameters = [one for one in inspect.signature(function).parameters.values() if one.name != "self"]
    by_name = {_python_name(word.partition("=")[0].removeprefix(OPTION_PREFIX)) for word in arguments}
    open_parameters = [one for one in parameters if one.name not in by_name]
    positional = [one for one in open_parameters if one.kind is one.POSITIONAL_OR_KEYWORD]
    given = [word for word in arguments if not word.startswith(OPTION_PREFIX)][skipped:]
    if len(given) > len(positional) and not any(one.kind is one.VAR_POSITIONAL for one in parameters):
        raise CommandError(f"{command}: {given[len(positional)]!r} is one word too many", ExitCode.USAGE)
    required = [one for one in positional[len(given) :] if one.default is one.empty]
    if required:
        raise CommandError(f"{command}: {required[0].name.upper()} is missing", ExitCode.USAGE)
    options = [one for one in open_parameters if one.kind is one.KEYWORD_ONLY and one.default is one.empty]
    if options:
        raise CommandError(f"{command}: {OPTION_PREFIX}{_typed(options[0].name)} is missing", ExitCode.USAGE)


def _before_end_of_options(given: Sequence[str]) -> Sequence[str]:
    return given[: given.index(END_OF_OPTIONS)] if END_OF_OPTIONS in given else given


def _options(target: Callable[..., object]) -> dict[str, type]:
    """Return the parameters of a constructor or method that may be given by name, with their plain types."""
    constructor_or_method = inspect.signature(target).parameters.values()
    annotations = _annotations(target)
    return {
        one.name: _plain_type(annotations[one.name])
        for one in constructor_or_method
        if one.name != "self" and one.kind is not one.VAR_POSITIONAL
    }


def _annotations(target: Callable[..., object]) -> dict[str, Any]:
    function = inspect.getattr_static(target, "__init__") if isinstance(target, type) else target
    return typing.get_type_hints(function) if inspect.isfunction(function) else {}


def _plain_type(annotation: Any) -> type:
    """Return the type of a value: that beside None in an optional one."""
    if isinstance(annotation, types.UnionType):
        annotation = next(one for one in annotation.__args__ if one is not types.NoneType)
    assert isinstance(annotation, type), annotation
    return annotation


def _converter(name: str, annotation: Any) -> Callable[[str], object]:
    kind = _plain_type(annotation)

    def convert(word: str) -> object:
        if kind is bool:
            return _truth(name, word)
        try:
            return kind(word)
        except ValueError as error:
            wanted = _CONVERTED.get(kind, kind.__name__)
            raise CommandError(f"{_typed(name)}: {word!r} is not {wanted}", ExitCode.USAGE) from error

    return convert


def _truth(name: str, word: str) -> bool:
    if word.lower() not in ("true", "false"):
        raise CommandError(f"{OPTION_PREFIX}{_typed(name)} takes no value such as {word!r}", ExitCode.USAGE)
    return word.lower() == "true"


def _is_command(commands: type, name: str) -> bool:
    return not name.startswith("_") and inspect.isfunction(getattr(commands, name))


def _is_option(word: str) -> bool:
    """Whether a word is an option, rather than a name or a number below zero."""
    return word.startswith("-") and len(word) > 1 and not word[1].isdigit()


def _typed(name: str) -> str:
    return name.replace("_", "-")


def _python_name(word: str) -> str:
    return word.replace("-", "_")
