"""What a coordinator currently knows of the fleet; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from rpds import HashTrieMap

from wickspring.fleet.model import Record, Rules

Records: TypeAlias = "HashTrieMap[str, Record]"


@dataclass(slots=True, frozen=True)
class FleetObservation:
    """The fleet as it was last reported, and the rules for operations."""

    records: Records  # instances by name
    wardens: Mapping[str, str]  # agents by the scope whose down instances they limit
    rules: Rules
    dead: frozenset[str] = frozenset()  # agents that have stopped reporting
    quorum: bool = True  # whether most agents report: without them nothing new is begun
