"""What one data plane remembers of the others' entries: slots, halls, and reports of failing servers.

No I/O, no clock; times are ms.
"""

from __future__ import annotations

from collections.abc import Iterable

from wickspring.membership.anti_entropy import Entry
from wickspring.membership.members import ACTIVE_STATES, MemberState
from wickspring.membership.swim import Membership
from wickspring.peer_state.judgements import Witness
from wickspring.peer_state.messages import PeerInfo

EntryKey = tuple[float, int]  # incarnation and content version
NEVER = -1e12


class PeerDirectory:
    """An index of the members' entries, updated as they are merged."""

    def __init__(self, members: Membership[PeerInfo], own_hall: str) -> None:
        self._members = members
        self._halls = {own_hall}  # of all members that were ever known
        self._holders: dict[int, set[str]] = {}  # by slot: who has claimed it
        self._reporters: set[str] = set()  # members that report failing servers
        self._content_received_at: dict[str, tuple[EntryKey, float]] = {}

    @property
    def hall_count(self) -> int:
        """Return the number of halls that were ever known."""
        return len(self._halls)

    def merge(self, now: float, entries: Iterable[Entry[PeerInfo]]) -> set[str]:
        """Merge entries into the membership; return the servers that are newly reported as failing."""
        received = list(entries)
        previous = {entry.owner: self._members.info_of(entry.owner) for entry in received}
        newly_failing = set[str]()
        for entry in self._members.merge_entries(received):
            key = entry.incarnation, entry.content_version
            known = self._content_received_at.get(entry.owner)
            if known is None or known[0] != key:
                self._content_received_at[entry.owner] = key, now
            if entry.content is not None:
                newly_failing |= self._index(entry.owner, entry.content, previous[entry.owner])
        if len(self._content_received_at) > len(self._members.entries):
            self._remove_forgotten()
        return newly_failing

    def _index(self, name: str, info: PeerInfo, previous: PeerInfo | None) -> set[str]:
        self._halls.add(info.hall)
        self._holders.setdefault(info.slot, set()).add(name)
        if not info.failures.failing:
            self._reporters.discard(name)
            return set()
        self._reporters.add(name)
        known = previous.failures.servers if previous is not None else set()
        return info.failures.servers - known

    def _remove_forgotten(self) -> None:
        """Drop members that the membership has removed."""
        forgotten = [name for name in self._content_received_at if name not in self._members.entries]
        for name in forgotten:
            del self._content_received_at[name]
            self._reporters.discard(name)
            for names in self._holders.values():
                names.discard(name)

    def holder_of(self, slot: int) -> str | None:
        """Return the active member that holds a slot, the latest to start where there are several."""
        holders = [
            entry
            for name in self._holders.get(slot, ())
            if (entry := self._members.entries.get(name)) is not None
            and entry.content is not None
            and entry.content.slot == slot
            and self._members.state_of(name) in ACTIVE_STATES
        ]
        return max(holders, key=lambda entry: entry.incarnation).owner if holders else None

    def witnesses(self, now: float) -> list[Witness]:
        """Return the failure reports of all members that are alive, by name."""
        witnesses = []
        for name in sorted(self._reporters):
            info = self._members.info_of(name)
            if info is not None and self._members.state_of(name) is MemberState.ALIVE:
                witnesses.append(Witness(name, info.hall, info.failures, now - self._received_at(name)))
        return witnesses

    def _received_at(self, name: str) -> float:
        received = self._content_received_at.get(name)
        return received[1] if received is not None else NEVER
