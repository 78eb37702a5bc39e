"""The list of tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.support.known_red import KNOWN_RED_FILE, KnownRed, parse_known_red, read_known_red

LINE = "tests/a.py::test_b | the command, seed 1 | what was seen | 7"


def test_a_line_names_test_cause_and_issue() -> None:
    assert parse_known_red(f"{LINE}\n\n") == [
        KnownRed("tests/a.py::test_b", "the command, seed 1", "what was seen", "7")
    ]


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_b | the command, seed 1 | what was seen",
        "a | seed 1 | b |  ",
        "tests/a.py::test_b | the command | what was seen | 7",
        "tests/a.py::test_b | the command, seed 1 | what was seen | later",
        f"{LINE}\n{LINE}",
    ],
)
def test_a_list_without_what_reproduces_each_fault_once_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r"listed twice|not `test|no seed|not the number"):
        parse_known_red(text)


def test_an_entry_names_a_test_with_any_parameters_and_no_other() -> None:
    entry = parse_known_red(LINE)[0]
    assert entry.names("tests/a.py::test_b") and entry.names("tests/a.py::test_b[1]")
    assert not entry.names("tests/a.py::test_b_too") and not entry.names("tests/c.py::test_b")


def test_only_a_fault_that_shows_at_times_may_pass() -> None:
    assert parse_known_red(LINE)[0].always_fails
    assert not parse_known_red("tests/a.py::test_b | seed 1 | at times: a race | 7")[0].always_fails


def test_the_list_of_this_repository_can_be_read() -> None:
    listed = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line]
    assert [entry.test for entry in read_known_red()] == [line.split(" | ")[0] for line in listed]
    for entry in read_known_red():
        path, _, name = entry.test.partition("::")
        assert f"def {name}(" in (KNOWN_RED_FILE.parent / path).read_text(), entry.test
