"""A replicated table in which each member writes one entry, spread by push-pull gossip. No I/O, no clock.

A member's entry is its own to write: it raises the entry's heartbeat, and the content's version where the
content differs. A round begins with a digest (incarnation, heartbeat and content version by member) and is
answered by a delta: the entries that are newer, and the names of those that the other side has newer. So a
change reaches n members in about log2 n rounds, and what has not changed costs a few bytes.

Among few members the digest names all. Among many it names those of a range of the sorted names, and the
range moves on round a ring with each round: the cost of a digest of all would grow with the members, this one
does not. A change is also piggybacked by itself a number of times that grows with the logarithm of the
members, so that it need not wait until the range comes round.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Iterable, Mapping
from typing import Generic, NamedTuple, TypeVar, cast

import msgspec

Content = TypeVar("Content")

PIGGYBACK_FACTOR = 0.5  # times log2 of the members: how often a change is piggybacked
MAX_PENDING_UPDATES = 512  # changes that wait to be piggybacked; older ones go with the digest's range


class EntryVersion(NamedTuple):
    """What a digest says of one entry."""

    incarnation: float
    heartbeat: int
    content_version: int


# The names in `rename` below are those of the messages on the wire.


class Entry(
    msgspec.Struct,
    Generic[Content],
    frozen=True,
    rename={"owner": "agent", "heartbeat": "beat", "content_version": "number"},
):
    """A member's own entry."""

    owner: str
    incarnation: float = 0.0  # when the member started: a later one supersedes an earlier one's heartbeats
    heartbeat: int = 0
    content_version: int = 0
    content: Content | None = None  # None where only the heartbeat is sent

    @property
    def version(self) -> tuple[float, int]:
        """Return what entries of one member are ordered by."""
        return self.incarnation, self.heartbeat

    @property
    def digest(self) -> EntryVersion:
        """Return what a digest says of this entry."""
        return EntryVersion(self.incarnation, self.heartbeat, self.content_version)


class Digest(msgspec.Struct, frozen=True, rename={"versions": "heard"}):
    """The first message of a round: entry versions by member."""

    sender: str
    versions: dict[str, EntryVersion]
    low: str = ""  # the range of names for which `versions` is complete, from here
    high: str = ""  # to before here, round the ring; both empty: all names

    def covers(self, name: str) -> bool:
        """Tell whether a name lies in the range."""
        if not self.low and not self.high:
            return True
        if self.low < self.high:
            return self.low <= name < self.high
        return name >= self.low or name < self.high


class Delta(msgspec.Struct, Generic[Content], frozen=True, rename={"requested": "wants"}):
    """The answer to a digest: entries that the sender is missing, and the members it has newer entries of."""

    entries: tuple[Entry[Content], ...] = ()
    requested: tuple[str, ...] = ()


class AntiEntropyTable(Generic[Content]):
    """One member's copy of all entries."""

    def __init__(self, owner: str, incarnation: float, content: Content) -> None:
        self.owner = owner
        self.entries: Mapping[str, Entry[Content]] = {}
        self._names: list[str] = []  # sorted
        self._cursor = owner  # where the next digest's range begins
        self._pending: dict[str, int] = {}  # changes to piggyback, and how many times are left
        self._put(Entry(owner, incarnation, content=content))

    # Writes.

    @property
    def own(self) -> Entry[Content]:
        """Return the own entry."""
        return self.entries[self.owner]

    def update_own(self, content: Content, heartbeat: bool = True) -> bool:
        """Raise the own heartbeat, with new content where it differs; return whether it differs.

        Without `heartbeat`, content that does not differ writes nothing.
        """
        own = self.own
        changed = own.content != content
        if changed or heartbeat:
            content_version = own.content_version + changed
            self._put(Entry(self.owner, own.incarnation, own.heartbeat + 1, content_version, content))
        return changed

    def refute(self, incarnation: float, heartbeat: int) -> None:
        """Make the own entry newer than what others have of it: an earlier life's, or a false suspicion."""
        own = self.own
        if (incarnation, heartbeat) < own.version:
            return
        newer = own.incarnation if incarnation <= own.incarnation else incarnation + 1.0
        newer_heartbeat = max(heartbeat, own.heartbeat) + 1
        self._put(Entry(self.owner, newer, newer_heartbeat, own.content_version + 1, own.content))

    def remove(self, name: str) -> None:
        """Forget a member."""
        if self._mutable_entries.pop(name, None) is not None:
            self._names.remove(name)
            self._pending.pop(name, None)

    def piggyback(self, name: str) -> None:
        """Let an entry be sent with the next rounds."""
        self._pending.pop(name, None)
        self._pending[name] = math.ceil(PIGGYBACK_FACTOR * math.log2(len(self._names) + 2))
        while len(self._pending) > MAX_PENDING_UPDATES:
            del self._pending[next(iter(self._pending))]

    @property
    def _mutable_entries(self) -> dict[str, Entry[Content]]:
        return cast(dict[str, Entry[Content]], self.entries)

    def _put(self, entry: Entry[Content]) -> None:
        if entry.owner not in self.entries:
            insort(self._names, entry.owner)
        self._mutable_entries[entry.owner] = entry
        self.piggyback(entry.owner)

    # Rounds.

    def digest(self, limit: int = 0) -> Digest:
        """Begin a round; with a `limit`, for a range of that many names, the next range in each round."""
        names = list(self.entries)
        low = high = ""
        if limit and limit < len(self._names):
            start = bisect_right(self._names, self._cursor) % len(self._names)
            names = [self._names[(start + step) % len(self._names)] for step in range(limit)]
            # From behind the last range: names that this side does not know may lie between.
            low = self._cursor + "\0"
            high = names[-1] + "\0"
            self._cursor = names[-1]
        versions = {name: self.entries[name].digest for name in names}
        versions[self.owner] = self.own.digest  # always, so that who does not know this member asks for it
        return Digest(self.owner, versions, low, high)

    def delta(self, digest: Digest, limit: int = 0) -> Delta[Content]:
        """Answer a digest, with at most `limit` entries unless it is 0."""
        newer = list[Entry[Content]]()
        for name, own in self.entries.items():
            theirs = digest.versions.get(name)
            if theirs is None and not digest.covers(name):
                continue
            if theirs is None or own.version > (theirs.incarnation, theirs.heartbeat):
                newer.append(self._without_known_content(own, theirs))
        requested = list[str]()
        for name, version in digest.versions.items():
            mine = self.entries.get(name)
            if self.accepts(name) and (
                mine is None or (version.incarnation, version.heartbeat) > mine.version
            ):
                requested.append(name)
        return Delta(tuple(newer[:limit] if limit else newer), tuple(requested))

    def requested_entries(self, names: Iterable[str], limit: int = 0) -> Delta[Content]:
        """Return the entries that the other side has requested."""
        entries = [entry for name in names if (entry := self.entries.get(name)) is not None]
        return Delta(tuple(entries[:limit] if limit else entries))

    def take_pending(self, limit: int) -> tuple[Entry[Content], ...]:
        """Return changes to piggyback, those sent least often first, and count them as sent once more."""
        chosen = sorted(self._pending, key=lambda name: -self._pending[name])[:limit]
        for name in chosen:
            self._pending[name] -= 1
            if self._pending[name] <= 0:
                del self._pending[name]
        return tuple(self.entries[name] for name in chosen)

    @staticmethod
    def _without_known_content(own: Entry[Content], theirs: EntryVersion | None) -> Entry[Content]:
        known = (
            theirs is not None
            and theirs.incarnation == own.incarnation
            and theirs.content_version == own.content_version
        )
        return msgspec.structs.replace(own, content=None) if known else own

    def accepts(self, name: str) -> bool:
        """Tell whether entries of this member are stored; subclasses may restrict it."""
        return bool(name)

    def merge(self, entries: Iterable[Entry[Content]]) -> list[tuple[Entry[Content] | None, Entry[Content]]]:
        """Store the entries that are newer; return them, each with its predecessor or None.

        Older entries are ignored, and so are entries of this member itself.
        """
        merged = []
        for entry in entries:
            if entry.owner == self.owner or not self.accepts(entry.owner):
                continue
            previous = self.entries.get(entry.owner)
            if previous is not None and entry.version <= previous.version:
                continue
            if entry.content is None:
                if previous is None or not _same_content(previous, entry):
                    continue  # a heartbeat alone, of content that has not arrived here yet
                entry = msgspec.structs.replace(entry, content=previous.content)
            self._put(entry)
            merged.append((previous, entry))
        return merged


def _same_content(one: Entry[Content], other: Entry[Content]) -> bool:
    return (one.incarnation, one.content_version) == (other.incarnation, other.content_version)
