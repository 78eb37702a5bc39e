"""The command line of ingress, agent and lab; a group is loaded when one of its commands is run."""

from __future__ import annotations

from collections.abc import Sequence
from importlib import import_module

from wickspring.command_line.runner import run

PROGRAM = "wickspring"
_TOP = "wickspring.commands.top:Commands"
# By the word that names the group: the module and class of its commands.
_GROUPS = {
    "fleet": "wickspring.commands.fleet.commands:FleetCommands",
    "peers": "wickspring.commands.peers:PeersCommands",
    "lab": "wickspring.lab.cli:LabCommands",
}


def run_command(words: Sequence[str]) -> int:
    """Run the command that the words name, below `wickspring`, and return its exit code."""
    commands, rest = find_group(words)
    return run(commands, rest, PROGRAM, words[0] if len(rest) < len(words) else "")


def find_group(words: Sequence[str]) -> tuple[type, Sequence[str]]:
    """Return the class of the group that the first word names, by default the top, and its words."""
    if words and words[0] in _GROUPS:
        return _load(_GROUPS[words[0]]), words[1:]
    return _load(_TOP), words


def _load(place: str) -> type:
    module, _, name = place.partition(":")
    group = getattr(import_module(module), name)
    assert isinstance(group, type)
    return group
