"""What a coordinator currently knows of the fleet; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from rpds import HashTrieMap

from wickspring.fleet.model import InstanceRecord, Rules

Records: TypeAlias = "HashTrieMap[str, InstanceRecord]"


@dataclass(slots=True, frozen=True)
class FleetObservation:
    """The fleet as it was last reported, and the rules for operations."""

    records: Records  # instances by name
    permit_issuers: Mapping[str, str]  # agents by the scope that they issue permits for
    rules: Rules
    dead: frozenset[str] = frozenset()  # agents that have stopped reporting
    quorum: bool = True  # whether most agents report: without them nothing new is begun
