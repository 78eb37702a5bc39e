"""Who is a member, and who of them is well, doubted or gone. No I/O and no clock; times are seconds.

SWIM (Das, Gupta, Motivala, 2002) with the changes of Lifeguard (Dadgar, Phillips, Currey, 2018): in each
round one member is talked to, in a shuffled order in which each has its turn. One that does not answer is
asked after through a few others, so that a path cut one way alone tells nothing; one that none of them
reaches is doubted. The doubt is handed on, and the doubted outdoes it by a newer entry of its own, since
whoever doubts it tells it so at the next talk. A doubt that nobody answers in time ends in "gone"; more
doubters shorten that time, and a member that finds itself late, or nobody answering it, gives the others
more.

"Gone" takes nothing from anybody: it says whom not to wait for. Rights and counts go by their own times. The
gone are tried again now and then, so the halves of a fleet that was cut find each other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TypeVar

import msgspec

from wickspring.membership.anti_entropy import AntiEntropyTable, Entry

HELPERS = 3  # members that are asked to reach one that did not answer
DOUBT_ROUNDS, DOUBT_GROWS = 3.0, 3.0  # rounds that a doubt lasts at least; more by log10 of the members
LATE_MOST = 4  # steps by which a member that is late itself gives the others more time
GONE_ODDS = 0.25  # of a round, in which one of the gone is tried again
FORGET_S = 600.0  # after which one that is gone is forgotten
NEAR_ROUNDS = 2.0  # since an answer, for which the word of others against a member counts for nothing
DOUBTS_MOST = 64  # that wait to be handed on


class MemberState(Enum):
    """How a member is, as far as is known here."""

    ALIVE = "alive"
    DOUBTED = "doubted"
    GONE = "gone"
    LEFT = "left"


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """The least that a member tells of itself."""

    address: str = ""
    left: bool = False  # it was ended on purpose


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A word that somebody could not be reached; an entry of its own that is newer answers it."""

    name: str
    incarnation: float
    beat: int
    by: str


A = TypeVar("A", bound=MemberInfo)


@dataclass(slots=True)
class _MemberRecord:
    """What is known of one other member."""

    standing: MemberState
    since: float
    by: set[str] = field(default_factory=set)  # who doubts it
    reached_at: float = -math.inf


class Membership(AntiEntropyTable[A]):
    """One member's view of all."""

    def __init__(
        self, owner: str, incarnation: float, about: A, period_s: float, seed: int, now: float = 0.0
    ) -> None:
        self.period_s, self.random = period_s, Random(seed)
        self.now = now
        self.late = 0  # how late this member itself has been of late
        self._seen: dict[str, _MemberRecord] = {}
        self._turns: list[str] = []
        self._doubts: dict[str, tuple[Suspicion, int]] = {}  # to be handed on, and how often yet
        self._ticked = now
        super().__init__(owner, incarnation, about)

    # Readings.

    def standing(self, name: str) -> MemberState:
        """Tell how a member is."""
        if name == self.owner:
            return MemberState.ALIVE
        seen = self._seen.get(name)
        return seen.standing if seen is not None else MemberState.GONE

    def living(self) -> list[str]:
        """Return the other members that are not gone, by name."""
        well = (MemberState.ALIVE, MemberState.DOUBTED)
        return sorted(name for name, seen in self._seen.items() if seen.standing in well)

    def reached_s(self, name: str) -> float:
        """Return seconds since this member and another last talked."""
        seen = self._seen.get(name)
        return math.inf if seen is None else max(0.0, self.now - seen.reached_at)

    def about(self, name: str) -> A | None:
        """Return what a member tells of itself."""
        entry = self.entries.get(name)
        return entry.content if entry is not None else None

    @property
    def size(self) -> int:
        """How many members are not gone, this one among them."""
        return 1 + len(self.living())

    # Rounds.

    def tick(self, now: float) -> list[str]:
        """Let time pass; return those that have just been given up."""
        step, self.now = now - self._ticked, now
        self._ticked = now
        if step > 3.0 * self.period_s:  # stopped, or without a processor: its silence tells nothing of others
            self.late = min(LATE_MOST, self.late + 1)
            for seen in self._seen.values():
                if seen.standing is MemberState.DOUBTED:
                    seen.since = now
        lost = []
        for name, seen in list(self._seen.items()):
            if seen.standing is MemberState.DOUBTED and now >= seen.since + self._patience(len(seen.by)):
                seen.standing, seen.since = MemberState.GONE, now
                lost.append(name)
            elif seen.standing in (MemberState.GONE, MemberState.LEFT) and now >= seen.since + FORGET_S:
                del self._seen[name]
                self.drop(name)
        return lost

    def _patience(self, doubters: int) -> float:
        rounds = max(DOUBT_ROUNDS, DOUBT_GROWS * math.log10(self.size + 1))
        return self.period_s * rounds * (1.0 + 1.0 / max(1, doubters)) * (1 + self.late)

    def target(self) -> str | None:
        """Choose whom to talk to in this round; None where nobody is known."""
        gone = [name for name, seen in self._seen.items() if seen.standing is MemberState.GONE]
        if gone and self.random.random() < GONE_ODDS:
            return self.random.choice(gone)
        while True:
            while self._turns:
                name = self._turns.pop()
                if self.standing(name) in (MemberState.ALIVE, MemberState.DOUBTED) and name in self._seen:
                    return name
            self._turns = self.living()
            self.random.shuffle(self._turns)
            if not self._turns:
                return self.random.choice(gone) if gone else None

    def helpers(self, name: str) -> list[str]:
        """Choose whom to ask to reach a member."""
        others = [one for one in self.living() if one != name and self.standing(one) is MemberState.ALIVE]
        return self.random.sample(others, min(HELPERS, len(others)))

    def reached(self, name: str) -> None:
        """Note that a member and this one have talked."""
        self.late = max(0, self.late - 1)
        seen = self._seen.get(name)
        if seen is not None:
            seen.reached_at = self.now
            if seen.standing is not MemberState.LEFT:
                self._well(name)

    def vouched(self, name: str) -> None:
        """Note that a helper has reached a member that did not answer this one."""
        if self.standing(name) is MemberState.DOUBTED:
            self._well(name)

    def _well(self, name: str) -> None:
        seen = self._seen[name]
        if seen.standing is not MemberState.ALIVE:
            seen.standing, seen.since = MemberState.ALIVE, self.now
        seen.by.clear()
        self._doubts.pop(name, None)

    def unreached(self, name: str) -> None:
        """Note that neither this member nor any helper reaches another: it is doubted, and that is handed on.

        One whom no helper answers either may be cut off itself, and gives all others more time.
        """
        entry = self.entries.get(name)
        if entry is None or name not in self._seen:
            return
        if not self.helpers(name):
            self.late = min(LATE_MOST, self.late + 1)
        self._doubt(Suspicion(name, entry.incarnation, entry.beat, self.owner))

    def _doubt(self, doubt: Suspicion) -> None:
        seen = self._seen[doubt.name]
        if seen.standing not in (MemberState.ALIVE, MemberState.DOUBTED):
            return
        if seen.standing is MemberState.ALIVE:
            seen.standing, seen.since = MemberState.DOUBTED, self.now
        if doubt.by not in seen.by:
            seen.by.add(doubt.by)
            self._doubts[doubt.name] = doubt, math.ceil(math.log2(len(self.entries) + 2))
            while len(self._doubts) > DOUBTS_MOST:
                del self._doubts[next(iter(self._doubts))]

    def doubted(self, doubts: Iterable[Suspicion]) -> None:
        """Take in what others say of who could not be reached; of this member, answer it."""
        for doubt in doubts:
            if doubt.name == self.owner:
                self.outdo(doubt.incarnation, doubt.beat)
                continue
            entry, seen = self.entries.get(doubt.name), self._seen.get(doubt.name)
            if entry is None or seen is None or entry.newness > (doubt.incarnation, doubt.beat):
                continue
            if self.now - seen.reached_at > NEAR_ROUNDS * self.period_s:
                self._doubt(doubt)

    def doubts(self, to: str, most: int) -> tuple[Suspicion, ...]:
        """Return doubts to hand on, and always one against who is talked to, so that it can answer."""
        told = []
        for name, (doubt, left) in list(self._doubts.items())[:most]:
            told.append(doubt)
            if left <= 1:
                del self._doubts[name]
            else:
                self._doubts[name] = doubt, left - 1
        seen, entry = self._seen.get(to), self.entries.get(to)
        if seen is not None and entry is not None and seen.standing is not MemberState.ALIVE:
            told.append(Suspicion(to, entry.incarnation, entry.beat, self.owner))
        return tuple(told)

    def hear(self, entries: Iterable[Entry[A]]) -> list[Entry[A]]:
        """Take entries in, and return those that were news."""
        entries = tuple(entries)
        for entry in entries:
            if entry.owner == self.owner and entry.newness > self.own.newness:
                self.outdo(entry.incarnation, entry.beat)  # an earlier life, by a clock that was ahead
        news = []
        for _, entry in self.learn(entries):
            left = entry.content is not None and entry.content.left
            seen = self._seen.setdefault(entry.owner, _MemberRecord(MemberState.ALIVE, self.now))
            if left:
                seen.standing, seen.since = MemberState.LEFT, self.now
            elif seen.standing is not MemberState.ALIVE:
                self._well(entry.owner)
            news.append(entry)
        return news
