"""Units sent on by customer and window, as the ingresses of a customer's set tell them to each other.

Each ingress writes its own sum for a window and nobody else's; sums only grow, so the larger of two words
of one ingress is the newer, and words that are lost, repeated or late do no harm (a grow-only counter, told
in deltas: of what has changed since a mate was last told). An ingress that starts again writes under a new
life, beside the old one's sum, which its mates tell it.

So for each window two bounds on what all have sent on are known:

    least = own + what the others have told                         (each word is of units that were sent
    on) most  = least + what those unheard may have sent on since       (bounded by the part they were
    learnt to have)

`least` stands in for the counter's total where that is lost, flushed, stale or that of another half. No I/O
and no clock; times are ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

KEPT_MOST = 8192  # customers' windows; the longest unchanged are forgotten: the counter alone tells of them
LIVES_MOST = 4  # of one slot that are told apart in a window; the sums of earlier ones are added up
KEEP_MS = 2000.0  # after a window's end, for words that are on their way
MATES_MOST = 32  # other slots of a set that are told

Key = tuple[int, int]  # customer, window
Life = tuple[int, float]  # slot, and when its process began


class Told(msgspec.Struct, frozen=True, array_like=True):
    """An ingress's own sum."""

    customer: int
    window: int
    units: float
    left: float  # ms to the window's end


class Relayed(msgspec.Struct, frozen=True, array_like=True):
    """What was heard of an earlier life, told to the one that follows it."""

    customer: int
    window: int
    units: float
    left: float
    slot: int
    life: float


@dataclass(slots=True)
class _Count:
    until: float
    own: float = 0.0
    told: dict[Life, float] = field(default_factory=dict)


def mates(first: int, spread: int, slots: int, slot: int) -> tuple[int, ...]:
    """Return the other slots of a customer's set."""
    among = ((first + step) % slots for step in range(min(spread, slots)))
    return tuple(one for one in among if one != slot)


class Ledger:
    """One ingress's counts."""

    def __init__(self, slot: int, slots: int, life: float) -> None:
        self.slot, self.slots, self.life = slot, max(1, slots), life
        self._counts: dict[Key, _Count] = {}  # in the order of their last change
        self._untold: dict[int, dict[Key, None]] = {}  # by mate
        self._lives: dict[int, float] = {}  # last heard of each slot
        self._owed: dict[int, dict[Key, None]] = {}  # to a slot that has begun a new life

    def __len__(self) -> int:
        """Return how many customers' windows are held."""
        return len(self._counts)

    def _at(self, key: Key, until: float) -> _Count:
        count = self._counts.pop(key, None) or _Count(until)
        count.until = max(count.until, until)
        self._counts[key] = count
        while len(self._counts) > KEPT_MOST:
            del self._counts[next(iter(self._counts))]
        return count

    def note(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> tuple[int, ...]:
        """Note units sent on here, in a window that ends then; return the slots that are to be told."""
        key = customer, window
        self._at(key, until + KEEP_MS).own += units
        among = mates(first, spread, self.slots, self.slot)[:MATES_MOST]
        for mate in among:
            self._untold.setdefault(mate, {})[key] = None
        return among

    def tell(self, now: float, slot: int, most: int) -> tuple[Told, ...]:
        """Return what a mate has not been told, the latest first; `untold` takes back what was lost."""
        waiting, words = self._untold.get(slot, {}), list[Told]()
        while waiting and len(words) < most:
            key, _ = waiting.popitem()
            count = self._counts.get(key)
            if count is not None and count.own:
                words.append(Told(*key, round(count.own, 3), max(0.0, round(count.until - KEEP_MS - now))))
        if not waiting:
            self._untold.pop(slot, None)
        return tuple(words)

    def untold(self, slot: int, words: Iterable[Told]) -> None:
        """Tell these again: they may not have been heard."""
        for word in words:
            if (word.customer, word.window) in self._counts:
                self._untold.setdefault(slot, {})[word.customer, word.window] = None

    def relay(self, now: float, slot: int, most: int) -> tuple[Relayed, ...]:
        """Return what is known here of a slot's earlier lives, once for each new one."""
        waiting, words = self._owed.get(slot, {}), list[Relayed]()
        while waiting and len(words) < most:
            key, _ = waiting.popitem()
            count = self._counts.get(key)
            left = max(0.0, round(count.until - KEEP_MS - now)) if count is not None else 0.0
            for (of, life), units in count.told.items() if count is not None else ():
                if of == slot and life != self._lives.get(slot):
                    words.append(Relayed(*key, round(units, 3), left, of, life))
        if not waiting:
            self._owed.pop(slot, None)
        return tuple(words)

    def hear(
        self, now: float, slot: int, life: float, told: Iterable[Told], relayed: Iterable[Relayed] = ()
    ) -> None:
        """Take in what another ingress tells of itself, and of this one's earlier lives."""
        before = self._lives.get(slot)
        if before is None or life > before:
            self._lives[slot] = life
            if before is not None:
                keys = [key for key, count in self._counts.items() if (slot, before) in count.told]
                self._owed[slot] = dict.fromkeys(keys)
        for word in told:
            self._take(now, word, (slot, life))
        for passed in relayed:
            if passed.slot == self.slot and passed.life != self.life:
                self._take(now, passed, (passed.slot, passed.life))

    def _take(self, now: float, word: Told | Relayed, life: Life) -> None:
        if not 0.0 <= word.units < 1e12 or not 0.0 <= word.left < 1e7:
            return  # no sum, or no window
        count = self._at((word.customer, word.window), now + word.left + KEEP_MS)
        count.told[life] = max(count.told.get(life, 0.0), word.units)
        lives = [one for one in count.told if one[0] == life[0]]
        if len(lives) > LIVES_MOST:  # a process that starts over and over
            first, second = sorted(lives)[:2]
            count.told[second] += count.told.pop(first)

    def others(self, customer: int, window: int) -> float:
        """Return what others, and earlier lives of this one, have sent on in a window at least."""
        count = self._counts.get((customer, window))
        return sum(count.told.values()) if count is not None else 0.0

    def settle(self, now: float) -> None:
        """Forget windows that are over."""
        for key in [key for key, count in self._counts.items() if now >= count.until]:
            del self._counts[key]
        for table in (self._untold, self._owed):
            for slot, waiting in list(table.items()):
                for key in [key for key in waiting if key not in self._counts]:
                    del waiting[key]
                if not waiting:
                    del table[slot]


def most(least: float, rate: float, unheard: Iterable[tuple[float, float]]) -> float:
    """Return the most that all may have sent on; `unheard`: the learnt part and the silence (ms) of each.

    While it is silent, an ingress without the counter goes by its learnt part, which is also the least that
    can be known of it: it hears nobody, and nobody hears it.
    """
    return least + sum(rate * part * silence for part, silence in unheard)
