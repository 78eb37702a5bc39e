"""What is known of a member: its state, and what it says of itself. No I/O, no clock; times in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec


class MemberState(Enum):
    """The state of a member as far as is known here.

    The values are shown to operators and compared by their scripts, so older words stay in them.
    """

    ALIVE = "alive"
    SUSPECTED = "doubted"
    DEAD = "gone"
    LEFT = "left"  # stopped on purpose


ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """What each member says of itself at least; the order of the fields is fixed by the wire."""

    address: str = ""
    left: bool = False


@dataclass(slots=True)
class MemberRecord:
    """What one member knows of another."""

    state: MemberState
    since: float  # when it came into this state
    suspected_by: set[str] = field(default_factory=set)  # names of members
    last_contact_at: float = -math.inf

    def change_state(self, state: MemberState, now: float) -> None:
        """Change the state, and note when."""
        self.state = state
        self.since = now

    @property
    def is_active(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state in ACTIVE_STATES
