"""The steps that may happen in a state of a small replication group, and which of them are explored."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Return(Enum):
    """How the node that was lost comes back."""

    NEVER = "never"
    WITH_DISK = "with its disk"
    WITH_EMPTY_DISK = "with an empty disk"


@dataclass(slots=True, frozen=True)
class Deliver:
    """A message arrives."""

    key: str  # in `World.network`


@dataclass(slots=True, frozen=True)
class Submit:
    """The next writer submits its update to a head."""

    ip: str


@dataclass(slots=True, frozen=True)
class Lose:
    """A node ends, and the messages to it are lost."""

    ip: str


@dataclass(slots=True, frozen=True)
class Observe:
    """A node observes the others for so long that it proposes a view if it ever does."""

    ip: str


@dataclass(slots=True, frozen=True)
class ComeBack:
    """The node that was lost starts again."""

    ip: str
    with_disk: bool


Step = Deliver | Submit | Lose | Observe | ComeBack


@dataclass(slots=True, frozen=True)
class Exploration:
    """Which steps are explored."""

    loses: str  # the node that is lost
    observations: int = 1  # of each other node, after the loss
    returns: Return = Return.NEVER
