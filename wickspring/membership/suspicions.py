"""Suspicions of SWIM, and those that wait to be piggybacked on later messages. No I/O, no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

MIN_SUSPICION_ROUNDS = 3.0
SUSPICION_ROUNDS_PER_LOG10 = 3.0  # more by log10 of the members
MAX_PENDING_SUSPICIONS = 64


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A report that a member could not be reached; a newer entry of the member refutes it.

    The order of the fields is fixed by the wire.
    """

    name: str
    incarnation: float
    heartbeat: int
    suspected_by: str


def timeout_rounds(member_count: int, confirmations: int, local_health_score: int) -> float:
    """Return for how many probe rounds a suspicion can be refuted, by Lifeguard's rules.

    Args:
        member_count: the active members.
        confirmations: how many members report the suspicion; more of them shorten the time.
        local_health_score: of the member that waits; a poor one lengthens the time.
    """
    rounds = max(MIN_SUSPICION_ROUNDS, SUSPICION_ROUNDS_PER_LOG10 * math.log10(member_count + 1))
    return rounds * (1.0 + 1.0 / max(1, confirmations)) * (1 + local_health_score)


@dataclass(slots=True)
class _PendingSuspicion:
    suspicion: Suspicion
    sends_left: int


class PendingSuspicions:
    """Suspicions to be piggybacked, one for each suspect, a number of times each."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingSuspicion] = {}  # by suspect, oldest first

    def add(self, suspicion: Suspicion, member_count: int) -> None:
        """Let a suspicion be sent about log2 of the members times; above the limit the oldest are dropped."""
        sends = math.ceil(math.log2(member_count + 2))
        self._pending[suspicion.name] = _PendingSuspicion(suspicion, sends)
        while len(self._pending) > MAX_PENDING_SUSPICIONS:
            del self._pending[next(iter(self._pending))]

    def discard(self, name: str) -> None:
        """Forget the suspicion of a member."""
        self._pending.pop(name, None)

    def take(self, limit: int) -> list[Suspicion]:
        """Return up to `limit` suspicions, and count them as sent once more."""
        taken = []
        for name, pending in list(self._pending.items())[:limit]:
            taken.append(pending.suspicion)
            pending.sends_left -= 1
            if pending.sends_left <= 0:
                del self._pending[name]
        return taken
