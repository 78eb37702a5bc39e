"""SWIM membership: who is a member, and who is alive, suspected or dead. No I/O, no clock; times in seconds.

SWIM (Das, Gupta, Motivala, 2002) with extensions of Lifeguard (Dadgar, Phillips, Currey, 2018). In each round
one member is probed, in a shuffled order in which each has its turn. One that does not answer is probed
indirectly through a few helpers, so that a path cut one way proves nothing; one that no helper reaches is
suspected. The suspicion is piggybacked on later messages, and the suspect refutes it by a newer entry of its
own: a member that suspects it says so at the next exchange. A suspicion that is not refuted in time ends in
"dead"; each further member that reports it shortens that time, and a member whose local health is poor
(late, or unanswered by everybody) gives the others more.

"Dead" withdraws nothing from a member: it only says that others do not wait for it. Leased shares and counts
expire by their own times. Dead members are probed again now and then, so that the halves of a partition find
each other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import TypeVar

from wickspring.membership.anti_entropy import AntiEntropyTable, Entry
from wickspring.membership.members import MemberInfo, MemberRecord, MemberState
from wickspring.membership.suspicions import PendingSuspicions, Suspicion, timeout_rounds

INDIRECT_PROBE_HELPERS = 3
MAX_LOCAL_HEALTH_SCORE = 4  # steps by which a member in poor health gives the others more time
LATE_TICK_ROUNDS = 3.0  # between two ticks from which this member itself was stopped or starved
DEAD_PROBE_PROBABILITY = 0.25  # of a round, in which a dead member is probed
FORGET_S = 600.0  # after which a dead member is removed
TRUSTED_CONTACT_ROUNDS = 2.0  # since a contact, in which others' suspicions of a member are ignored


Info = TypeVar("Info", bound=MemberInfo)


class Membership(AntiEntropyTable[Info]):
    """One member's view of all members."""

    def __init__(
        self, owner: str, incarnation: float, info: Info, period_s: float, seed: int, now: float = 0.0
    ) -> None:
        self.period_s = period_s
        self.random = Random(seed)
        self.now = now
        self.local_health_score = 0  # Lifeguard's: 0 is healthy
        self._records: dict[str, MemberRecord] = {}
        self._probe_order: list[str] = []
        self._pending_suspicions = PendingSuspicions()
        self._last_tick_at = now
        super().__init__(owner, incarnation, info)

    # Queries.

    def state_of(self, name: str) -> MemberState:
        """Return the state of a member; an unknown one is dead."""
        if name == self.owner:
            return MemberState.ALIVE
        record = self._records.get(name)
        return record.state if record is not None else MemberState.DEAD

    def active_members(self) -> list[str]:
        """Return the other members that are alive or suspected, by name."""
        return sorted(name for name, record in self._records.items() if record.is_active)

    def seconds_since_contact(self, name: str) -> float:
        """Return seconds since the last exchange between this member and another."""
        record = self._records.get(name)
        return math.inf if record is None else max(0.0, self.now - record.last_contact_at)

    def info_of(self, name: str) -> Info | None:
        """Return what a member says of itself."""
        entry = self.entries.get(name)
        return entry.content if entry is not None else None

    @property
    def size(self) -> int:
        """Return how many members are alive or suspected, this one among them."""
        return 1 + len(self.active_members())

    # Probes.

    def tick(self, now: float) -> list[str]:
        """Advance the time; return the members that have just been declared dead."""
        elapsed_s = now - self._last_tick_at
        self.now = now
        self._last_tick_at = now
        if elapsed_s > LATE_TICK_ROUNDS * self.period_s:
            self._restart_suspicions()
        dead = []
        for name, record in list(self._records.items()):
            if record.state is MemberState.SUSPECTED:
                if self._is_suspicion_over(record):
                    record.change_state(MemberState.DEAD, now)
                    dead.append(name)
            elif not record.is_active and now >= record.since + FORGET_S:
                del self._records[name]
                self.remove(name)
        return dead

    def _is_suspicion_over(self, record: MemberRecord) -> bool:
        return self.now >= record.since + self._suspicion_timeout_s(len(record.suspected_by))

    def _restart_suspicions(self) -> None:
        """Give suspects their full time again: this member was stopped, so missing answers prove nothing."""
        self._worsen_local_health()
        for record in self._records.values():
            if record.state is MemberState.SUSPECTED:
                record.since = self.now

    def _worsen_local_health(self) -> None:
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)

    def _suspicion_timeout_s(self, confirmations: int) -> float:
        return self.period_s * timeout_rounds(self.size, confirmations, self.local_health_score)

    def next_probe_target(self) -> str | None:
        """Choose whom to probe in this round; None where nobody is known."""
        dead = [name for name, record in self._records.items() if record.state is MemberState.DEAD]
        if dead and self.random.random() < DEAD_PROBE_PROBABILITY:
            return self.random.choice(dead)
        target = self._next_in_probe_order()
        if target is None:
            self._probe_order = self.active_members()
            self.random.shuffle(self._probe_order)
            target = self._next_in_probe_order()
        if target is None and dead:
            return self.random.choice(dead)
        return target

    def _next_in_probe_order(self) -> str | None:
        """Take the next active member off the probe order; None where there is none left."""
        while self._probe_order:
            name = self._probe_order.pop()
            record = self._records.get(name)
            if record is not None and record.is_active:
                return name
        return None

    def select_helpers(self, name: str) -> list[str]:
        """Choose whom to ask for an indirect probe of a member."""
        others = [
            other
            for other in self.active_members()
            if other != name and self.state_of(other) is MemberState.ALIVE
        ]
        return self.random.sample(others, min(INDIRECT_PROBE_HELPERS, len(others)))

    def record_contact(self, name: str) -> None:
        """Record an exchange between a member and this one."""
        self.local_health_score = max(0, self.local_health_score - 1)
        record = self._records.get(name)
        if record is not None:
            record.last_contact_at = self.now
            if record.state is not MemberState.LEFT:
                self._set_alive(name)

    def record_indirect_contact(self, name: str) -> None:
        """Record that a helper has reached a member that did not answer this one."""
        if self.state_of(name) is MemberState.SUSPECTED:
            self._set_alive(name)

    def _set_alive(self, name: str) -> None:
        record = self._records[name]
        if record.state is not MemberState.ALIVE:
            record.change_state(MemberState.ALIVE, self.now)
        record.suspected_by.clear()
        self._pending_suspicions.discard(name)

    # Suspicions.

    def suspect(self, name: str) -> None:
        """Suspect a member that neither this one nor a helper reaches, and let the suspicion be piggybacked.

        A member that no helper answers either may be cut off itself: its local health worsens.
        """
        entry = self.entries.get(name)
        if entry is None or name not in self._records:
            return
        if not self.select_helpers(name):
            self._worsen_local_health()
        self._add_suspicion(Suspicion(name, entry.incarnation, entry.heartbeat, self.owner))

    def _add_suspicion(self, suspicion: Suspicion) -> None:
        record = self._records[suspicion.name]
        if not record.is_active:
            return
        if record.state is MemberState.ALIVE:
            record.change_state(MemberState.SUSPECTED, self.now)
        if suspicion.suspected_by in record.suspected_by:
            return
        record.suspected_by.add(suspicion.suspected_by)
        self._pending_suspicions.add(suspicion, len(self.entries))

    def merge_suspicions(self, suspicions: Iterable[Suspicion]) -> None:
        """Merge what others suspect; a suspicion of this member is refuted."""
        for suspicion in suspicions:
            if suspicion.name == self.owner:
                self.refute(suspicion.incarnation, suspicion.heartbeat)
                continue
            entry = self.entries.get(suspicion.name)
            record = self._records.get(suspicion.name)
            if entry is None or record is None:
                continue
            if entry.version > (suspicion.incarnation, suspicion.heartbeat):
                continue
            if self.now - record.last_contact_at > TRUSTED_CONTACT_ROUNDS * self.period_s:
                self._add_suspicion(suspicion)

    def take_suspicions(self, receiver: str, limit: int) -> tuple[Suspicion, ...]:
        """Return suspicions to piggyback, and always one of the receiver itself, so that it can refute it."""
        taken = self._pending_suspicions.take(limit)
        record = self._records.get(receiver)
        entry = self.entries.get(receiver)
        if record is not None and entry is not None and record.state is not MemberState.ALIVE:
            taken.append(Suspicion(receiver, entry.incarnation, entry.heartbeat, self.owner))
        return tuple(taken)

    def merge_entries(self, entries: Iterable[Entry[Info]]) -> list[Entry[Info]]:
        """Store the entries that are newer, update the states of their members, and return them."""
        received = tuple(entries)
        for entry in received:
            if entry.owner == self.owner and entry.version > self.own.version:
                self.refute(entry.incarnation, entry.heartbeat)  # an earlier life, by a clock that was ahead
        newer = [entry for _, entry in self.merge(received)]
        for entry in newer:
            record = self._records.setdefault(entry.owner, MemberRecord(MemberState.ALIVE, self.now))
            if entry.content is not None and entry.content.left:
                record.change_state(MemberState.LEFT, self.now)
            elif record.state is not MemberState.ALIVE:
                self._set_alive(entry.owner)
        return newer
