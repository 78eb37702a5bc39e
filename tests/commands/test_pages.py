"""Commands and options that pages name are those of the programs."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest

from wickspring.command_line.arguments import prepare
from wickspring.commands import find_group
from wickspring.ctl.__main__ import Commands

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted(
    str(path.relative_to(ROOT))
    for path in (
        ROOT / "README.md",
        *(ROOT / "docs" / "operators").glob("*.md"),
        *(ROOT / "docs" / "design").glob("*.md"),
    )
)
PAGES_WITH_COMMANDS = ("README.md", "docs/operators/gateway.md", "docs/operators/fleet.md")
_PROGRAM = r"(?:python -m )?wickspring(?:\.ctl)? \w"
# A command in a block of code, up to a comment or a redirection; one between backticks.
_IN_BLOCK = re.compile(rf"^ {{4,}}(?:\$ |\w+=\S+ )?({_PROGRAM}[^#>\n]*)", re.M)
_INLINE = re.compile(rf"`((?:{_PROGRAM}|(?:ctl|fleet) [a-z])[^`]*)`")


def _commands(text: str) -> list[list[str]]:
    """Return the words of each command on a page, without `python -m`."""
    found = [*_IN_BLOCK.findall(text), *_INLINE.findall(text)]
    return [shlex.split(re.sub(r"[][]", "", command).removeprefix("python -m ")) for command in found]


@pytest.mark.parametrize("page", PAGES)
def test_commands_of_a_page_exist(page: str) -> None:
    commands = _commands((ROOT / page).read_text())
    assert commands or page not in PAGES_WITH_COMMANDS, "the page names no command: is the pattern right?"
    for program, *words in commands:
        if program in ("ctl", "wickspring.ctl"):
            prepare(Commands, words)
            continue
        group, rest = find_group([*(["fleet"] if program == "fleet" else []), *words])
        prepare(group, rest)
