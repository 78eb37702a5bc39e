"""Every member's own word as one member holds it, spread by push and pull. No I/O and no clock.

A member's entry is its own to write: a beat that it raises, and a content whose number it raises when it
differs. A round begins with a digest (incarnation, beat and content number by member) and is answered with
the entries that are newer, and the names of those that the other has newer. So a change reaches n members in
about log2 n rounds, and what has not changed costs a few bytes.

Among few members the digest names all. Among many it names those of a stretch of the names, in their order
round a ring, and the stretch moves on with each round: what a digest of all would cost grows with the
members, and this does not. A change is also handed on by itself, a few times that grow with the logarithm
of the members, so that it need not wait until the stretch comes round.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar, cast

import msgspec

C = TypeVar("C")

HANDED_ON = 0.5  # times log2 of the members that a change is handed on
FRESH_MOST = 512  # changes that wait to be handed on; older ones go with the stretch


class Entry(msgspec.Struct, Generic[C], frozen=True, rename={"owner": "agent"}):
    """A member's own word."""

    owner: str
    incarnation: float = 0.0  # when the member began: a later one outdoes an earlier one's beats
    beat: int = 0
    number: int = 0  # of its content
    content: C | None = None  # None where only the beat is told

    @property
    def newness(self) -> tuple[float, int]:
        """Compare entries of one member by this."""
        return self.incarnation, self.beat


class Digest(msgspec.Struct, frozen=True):
    """What a round begins with: incarnation, beat and content number by member."""

    sender: str
    heard: dict[str, tuple[float, int, int]]
    low: str = ""  # the stretch of names that `heard` is whole for, from here
    high: str = ""  # to before here, round the ring; both empty: all names

    def covers(self, name: str) -> bool:
        """Tell whether a name lies in the stretch."""
        if not self.low and not self.high:
            return True
        if self.low < self.high:
            return self.low <= name < self.high
        return name >= self.low or name < self.high


class News(msgspec.Struct, Generic[C], frozen=True):
    """What a round answers with: entries that the other lacks, and the members it has newer ones of."""

    entries: tuple[Entry[C], ...] = ()
    wants: tuple[str, ...] = ()


class AntiEntropyTable(Generic[C]):
    """One member's copy of all entries."""

    def __init__(self, owner: str, incarnation: float, content: C) -> None:
        self.owner = owner
        self.entries: Mapping[str, Entry[C]] = {}
        self._names: list[str] = []  # sorted
        self._cursor = owner  # where the next stretch begins
        self._fresh: dict[str, int] = {}  # changes to hand on, and how often yet
        self._put(Entry(owner, incarnation, content=content))

    @property
    def own(self) -> Entry[C]:
        """Return the own entry."""
        return self.entries[self.owner]

    def write(self, content: C, beat: bool = True) -> bool:
        """Raise the own beat, with new content where it differs; without `beat` only where it does."""
        own = self.own
        changed = own.content != content
        if changed or beat:
            self._put(Entry(self.owner, own.incarnation, own.beat + 1, own.number + changed, content))
        return changed

    def outdo(self, incarnation: float, beat: int) -> None:
        """Make the own entry newer than what others hold of it: of an earlier life, or a false word."""
        own = self.own
        if (incarnation, beat) >= own.newness:
            begun = own.incarnation if incarnation <= own.incarnation else incarnation + 1.0
            self._put(Entry(self.owner, begun, max(beat, own.beat) + 1, own.number + 1, own.content))

    def _put(self, entry: Entry[C]) -> None:
        entries = cast(dict[str, Entry[C]], self.entries)
        if entry.owner not in entries:
            insort(self._names, entry.owner)
        entries[entry.owner] = entry
        self.hand_on(entry.owner)

    def drop(self, name: str) -> None:
        """Forget a member."""
        if cast(dict[str, Entry[C]], self.entries).pop(name, None) is not None:
            self._names.remove(name)
            self._fresh.pop(name, None)

    def hand_on(self, name: str) -> None:
        """Have an entry handed on in the next rounds."""
        self._fresh.pop(name, None)
        self._fresh[name] = math.ceil(HANDED_ON * math.log2(len(self._names) + 2))
        while len(self._fresh) > FRESH_MOST:
            del self._fresh[next(iter(self._fresh))]

    # Rounds.

    def digest(self, most: int = 0) -> Digest:
        """Begin a round; with `most`, for a stretch of so many known names, another with each round."""
        names, low, high = list(self.entries), "", ""
        if most and most < len(self._names):
            at = bisect_right(self._names, self._cursor) % len(self._names)
            names = [self._names[(at + step) % len(self._names)] for step in range(most)]
            low, high = self._cursor + "\0", names[-1] + "\0"  # also whom this side does not know between
            self._cursor = names[-1]
        told = ((name, self.entries[name]) for name in names)
        heard = {name: (one.incarnation, one.beat, one.number) for name, one in told}
        own = self.own  # always, so that whoever does not know this member asks for its entry
        heard[self.owner] = own.incarnation, own.beat, own.number
        return Digest(self.owner, heard, low, high)

    def answer(self, digest: Digest, most: int = 0) -> News[C]:
        """Answer a digest, with at most so many entries where `most` is given."""
        news, wants = list[Entry[C]](), list[str]()
        for name, own in self.entries.items():
            theirs = digest.heard.get(name)
            if theirs is None and not digest.covers(name):
                continue
            if theirs is None or own.newness > (theirs[0], theirs[1]):
                news.append(self._since(own, theirs))
        for name, (incarnation, beat, _) in digest.heard.items():
            mine = self.entries.get(name)
            if self.takes(name) and (mine is None or (incarnation, beat) > mine.newness):
                wants.append(name)
        return News(tuple(news[:most] if most else news), tuple(wants))

    def follow(self, wants: Iterable[str], most: int = 0) -> News[C]:
        """Send what the other wants."""
        entries = [one for name in wants if (one := self.entries.get(name)) is not None]
        return News(tuple(entries[:most] if most else entries))

    def fresh(self, most: int) -> tuple[Entry[C], ...]:
        """Return changes to hand on, those handed on least first."""
        chosen = sorted(self._fresh, key=lambda name: -self._fresh[name])[:most]
        for name in chosen:
            self._fresh[name] -= 1
            if self._fresh[name] <= 0:
                del self._fresh[name]
        return tuple(self.entries[name] for name in chosen)

    @staticmethod
    def _since(own: Entry[C], theirs: tuple[float, int, int] | None) -> Entry[C]:
        same = theirs is not None and theirs[0] == own.incarnation and theirs[2] == own.number
        return msgspec.structs.replace(own, content=None) if same else own

    def takes(self, name: str) -> bool:
        """Tell whether entries of this member are kept."""
        return bool(name)

    def learn(self, entries: Iterable[Entry[C]]) -> list[tuple[Entry[C] | None, Entry[C]]]:
        """Take entries in, and return those that were news, each with the one before it.

        What is older than the own knowledge is passed over, and so is a word about this member itself.
        """
        taken = []
        for entry in entries:
            if entry.owner == self.owner or not self.takes(entry.owner):
                continue
            old = self.entries.get(entry.owner)
            if old is not None and entry.newness <= old.newness:
                continue
            if entry.content is None:
                if old is None or (old.incarnation, old.number) != (entry.incarnation, entry.number):
                    continue  # a beat alone, and its content has not come this way yet
                entry = msgspec.structs.replace(entry, content=old.content)
            self._put(entry)
            taken.append((old, entry))
        return taken
