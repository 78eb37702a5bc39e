"""Words of a command reach its method as they were meant, or the command is not run at all."""

from __future__ import annotations

from pathlib import Path

import pytest

from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.runner import run, run_single

calls: list[tuple[object, ...]] = []


class Toy:
    """A toy group.

    Args:
        place: where; given with any command.
        loud: a flag of the group.
    """

    def __init__(self, place: Path = Path("here"), loud: bool = False) -> None:
        self._group = (place, loud)

    def take(self, build: str, *names: str, dry_run: bool = False, batch: int = 1, by: str = "") -> None:
        """Take BUILD to the instances of these names."""
        calls.append(("take", *self._group, build, names, dry_run, batch, by))

    def check_all(self, file: Path | None = None, *, share: float | None = None) -> str:
        """Check a file."""
        calls.append(("check_all", *self._group, file, share))
        return f"{file} is valid"

    def write(self, *, out: Path) -> None:
        """Write to a folder that has to be named."""
        calls.append(("write", out))

    def fail(self, code: int) -> None:
        """End with an exit code."""
        raise CommandError("it failed" if code != 1 else "", ExitCode(code))


@pytest.fixture(autouse=True)
def _no_calls() -> None:
    calls.clear()


HERE = Path("here")


@pytest.mark.parametrize("group", ["", "toy"])
@pytest.mark.parametrize(
    ("words", "call"),
    [
        ("take 2", ("take", HERE, False, "2", (), False, 1, "")),
        (
            "take 1e5 0x10 True 7,8 -3",
            ("take", HERE, False, "1e5", ("0x10", "True", "7,8", "-3"), False, 1, ""),
        ),
        ("take b hall=x,build!=3", ("take", HERE, False, "b", ("hall=x,build!=3",), False, 1, "")),
        ("take --dry-run b n1", ("take", HERE, False, "b", ("n1",), True, 1, "")),
        ("take b --dry_run n1 --batch 2 n2", ("take", HERE, False, "b", ("n1", "n2"), True, 2, "")),
        ("take b n1 --batch=3 --by=ann", ("take", HERE, False, "b", ("n1",), False, 3, "ann")),
        ("take b --by 7", ("take", HERE, False, "b", (), False, 1, "7")),
        ("take --build b n1", ("take", HERE, False, "b", ("n1",), False, 1, "")),
        ("take b --place there --loud n1", ("take", Path("there"), True, "b", ("n1",), False, 1, "")),
        ("--place there --loud take b", ("take", Path("there"), True, "b", (), False, 1, "")),
        ("take b - n1", ("take", HERE, False, "b", ("-", "n1"), False, 1, "")),
        ("take b --dry-run -- n1", ("take", HERE, False, "b", ("n1",), True, 1, "")),
        ("check-all", ("check_all", HERE, False, None, None)),
        ("check_all f.toml --share 0.5", ("check_all", HERE, False, Path("f.toml"), 0.5)),
        ("write --out 7", ("write", Path("7"))),
    ],
)
def test_words_reach_the_method(words: str, call: tuple[object, ...], group: str) -> None:
    assert run(Toy, words.split(), "toys", group) == ExitCode.OK
    assert calls == [call]


@pytest.mark.parametrize(
    ("words", "named"),
    [
        ("take b --dry-rnu", "--dry-rnu"),
        ("take b --dry-rnu n1", "--dry-rnu"),
        ("take b -d", "-d"),
        ("take b --batch", "--batch"),
        ("take b --batch --dry-run", "--batch"),
        ("take b --batch x", "batch: 'x'"),
        ("take b --dry-run=n1", "--dry-run"),
        ("take b -- --dry-run", "--dry-run"),
        ("take", "BUILD"),
        ("take --dry-run", "BUILD"),
        ("check-all a b", "'b'"),
        ("check-all a --file b", "'a'"),
        ("check-all a --share much", "share: 'much'"),
        ("check-all a 0.5", "'0.5'"),
        ("write", "--out"),
        ("write out", "'out'"),
        ("_group", "_group"),
        ("none-such", "take, check-all, write, fail"),
    ],
)
def test_a_faulty_word_is_named_and_nothing_is_run(
    words: str, named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(Toy, words.split(), "toys") == ExitCode.USAGE
    printed = capsys.readouterr()
    assert named in printed.err
    assert not printed.out
    assert not calls


def test_what_a_command_returns_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(Toy, ["check-all", "f"], "toys") == ExitCode.OK
    assert capsys.readouterr() == ("f is valid\n", "")


@pytest.mark.parametrize(("code", "message"), [(1, ""), (2, "it failed\n"), (3, "it failed\n")])
def test_an_error_ends_with_its_exit_code(
    code: int, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(Toy, ["fail", str(code)], "toys") == code
    assert capsys.readouterr() == ("", message)


@pytest.mark.parametrize("group", ["", "toy"])
def test_help_is_printed_and_nothing_is_run(group: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(Toy, ["--help"], "toys", group) == ExitCode.OK
    shown = capsys.readouterr().out
    assert "A toy group." in shown and "check-all  Check a file." in shown
    for words in (["take", "--help"], ["take", "b", "n1", "-h"]):
        assert run(Toy, words, "toys", group) == ExitCode.OK
        shown = capsys.readouterr().out
        assert "Take BUILD" in shown and "--dry_run" in shown and "--place, --loud" in shown
    assert run(Toy, [], "toys", group) == ExitCode.USAGE
    printed = capsys.readouterr()
    assert "check-all" in printed.err and not printed.out
    assert not calls


def measure(*names: str, seeds: int = 2, plot: bool = False) -> None:
    """Measure something."""
    calls.append(("measure", names, seeds, plot))


@pytest.mark.parametrize(
    ("words", "call"),
    [
        ("", ("measure", (), 2, False)),
        ("a 7 --plot", ("measure", ("a", "7"), 2, True)),
        ("--plot a --seeds 3", ("measure", ("a",), 3, True)),
    ],
)
def test_a_program_of_a_single_command(words: str, call: tuple[object, ...]) -> None:
    assert run_single(measure, words.split(), "toy") == ExitCode.OK
    assert calls == [call]


@pytest.mark.parametrize("words", ["--seeds x", "--plto a", "a --seeds"])
def test_faulty_words_of_a_single_command(words: str) -> None:
    assert run_single(measure, words.split(), "toy") == ExitCode.USAGE
    assert not calls


def test_help_of_a_single_command(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_single(measure, ["a", "--help"], "toy") == ExitCode.OK
    assert "Measure something." in capsys.readouterr().out
    assert not calls
