"""Units sent on by customer and window, as the data planes of a customer's set report them to each other.

Each data plane writes its own sum for a window and nobody else's; sums only grow, so the larger of two
reports of one data plane is the newer, and reports that are lost, repeated or late do no harm (a grow-only
counter, sent as deltas: of what has changed since a peer was last sent to). A data plane that starts again
writes under a new incarnation, beside the old one's sum, which its peers relay to it.

So for each window two bounds on what all have sent on are known:

    lower = own + what the others have reported             (each report is of units that were sent on)
    upper = lower + what unresponsive peers may have sent on since       (bounded by their learnt shares)

`lower` stands in for the counter's total where that is lost, flushed, stale or that of another partition.
No I/O, no clock; times are ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

MAX_WINDOWS = 8192  # customers' windows; the longest unchanged are forgotten: the counter alone has them
MAX_INCARNATIONS = 4  # of one slot that are kept apart in a window; the sums of earlier ones are added up
GRACE_MS = 2000.0  # after a window's end, for reports that are on their way
MAX_PEERS = 32  # other slots of a set that are sent reports
MAX_UNITS = 1e12
MAX_REMAINING_MS = 1e7

WindowKey = tuple[int, int]  # customer, window
IncarnationKey = tuple[int, float]  # slot, and when its process started


class UsageSum(msgspec.Struct, frozen=True, array_like=True):
    """A data plane's own sum; the order of the fields is fixed by the wire."""

    customer: int
    window: int
    units: float
    remaining_ms: float  # to the window's end


class RelayedSum(msgspec.Struct, frozen=True, array_like=True):
    """The sum of an earlier incarnation, relayed to the one that follows it; the wire fixes the order."""

    customer: int
    window: int
    units: float
    remaining_ms: float
    slot: int
    incarnation: float


@dataclass(slots=True)
class _Window:
    """All sums of one customer's window."""

    expires_at: float
    own: float = 0.0
    others: dict[IncarnationKey, float] = field(default_factory=dict)

    def remaining_ms(self, now: float) -> float:
        return max(0.0, round(self.expires_at - GRACE_MS - now))


def peer_slots(first: int, spread: int, slots: int, slot: int) -> tuple[int, ...]:
    """Return the other slots of a customer's set."""
    members = ((first + step) % slots for step in range(min(spread, slots)))
    return tuple(member for member in members if member != slot)


class UsageLedger:
    """One data plane's counts."""

    def __init__(self, slot: int, slots: int, incarnation: float) -> None:
        self.slot = slot
        self.slots = max(1, slots)
        self.incarnation = incarnation
        self._windows: dict[WindowKey, _Window] = {}  # in the order of their last change
        self._unsent: dict[int, dict[WindowKey, None]] = {}  # by peer slot
        self._incarnations: dict[int, float] = {}  # the last known of each slot
        self._to_relay: dict[int, dict[WindowKey, None]] = {}  # to a slot that has a new incarnation

    def __len__(self) -> int:
        """Return how many customers' windows are stored."""
        return len(self._windows)

    def _window(self, key: WindowKey, expires_at: float) -> _Window:
        window = self._windows.pop(key, None) or _Window(expires_at)
        window.expires_at = max(window.expires_at, expires_at)
        self._windows[key] = window
        while len(self._windows) > MAX_WINDOWS:
            del self._windows[next(iter(self._windows))]
        return window

    def record(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> tuple[int, ...]:
        """Record units sent on here, in a window that ends at `until`; return the slots to be told."""
        key = customer, window
        self._window(key, until + GRACE_MS).own += units
        peers = peer_slots(first, spread, self.slots, self.slot)[:MAX_PEERS]
        for peer in peers:
            self._unsent.setdefault(peer, {})[key] = None
        return peers

    def take_sums(self, now: float, slot: int, limit: int) -> tuple[UsageSum, ...]:
        """Return sums not yet sent to a peer, the latest first; `send_again` undoes it."""
        unsent = self._unsent.get(slot, {})
        sums = list[UsageSum]()
        while unsent and len(sums) < limit:
            key, _ = unsent.popitem()
            window = self._windows.get(key)
            if window is not None and window.own:
                sums.append(UsageSum(*key, round(window.own, 3), window.remaining_ms(now)))
        if not unsent:
            self._unsent.pop(slot, None)
        return tuple(sums)

    def send_again(self, slot: int, sums: Iterable[UsageSum]) -> None:
        """Let sums be sent again that may not have been received."""
        for usage in sums:
            key = usage.customer, usage.window
            if key in self._windows:
                self._unsent.setdefault(slot, {})[key] = None

    def take_relayed(self, now: float, slot: int, limit: int) -> tuple[RelayedSum, ...]:
        """Return what is known of a slot's earlier incarnations, once for each new one."""
        to_relay = self._to_relay.get(slot, {})
        sums = list[RelayedSum]()
        while to_relay and len(sums) < limit:
            key, _ = to_relay.popitem()
            window = self._windows.get(key)
            if window is None:
                continue
            for (owner, incarnation), units in window.others.items():
                if owner == slot and incarnation != self._incarnations.get(slot):
                    remaining_ms = window.remaining_ms(now)
                    sums.append(RelayedSum(*key, round(units, 3), remaining_ms, owner, incarnation))
        if not to_relay:
            self._to_relay.pop(slot, None)
        return tuple(sums)

    def merge(
        self,
        now: float,
        slot: int,
        incarnation: float,
        sums: Iterable[UsageSum],
        relayed: Iterable[RelayedSum] = (),
    ) -> None:
        """Take in another data plane's sums, and those of earlier incarnations of this one."""
        self._record_incarnation(slot, incarnation)
        for usage in sums:
            self._merge_sum(now, usage, (slot, incarnation))
        for earlier in relayed:
            if earlier.slot == self.slot and earlier.incarnation != self.incarnation:
                self._merge_sum(now, earlier, (earlier.slot, earlier.incarnation))

    def _record_incarnation(self, slot: int, incarnation: float) -> None:
        previous = self._incarnations.get(slot)
        if previous is not None and incarnation <= previous:
            return
        self._incarnations[slot] = incarnation
        if previous is not None:
            keys = [key for key, window in self._windows.items() if (slot, previous) in window.others]
            self._to_relay[slot] = dict.fromkeys(keys)

    def _merge_sum(self, now: float, usage: UsageSum | RelayedSum, owner: IncarnationKey) -> None:
        if not 0.0 <= usage.units < MAX_UNITS or not 0.0 <= usage.remaining_ms < MAX_REMAINING_MS:
            return
        window = self._window((usage.customer, usage.window), now + usage.remaining_ms + GRACE_MS)
        window.others[owner] = max(window.others.get(owner, 0.0), usage.units)
        incarnations = sorted(key for key in window.others if key[0] == owner[0])
        if len(incarnations) > MAX_INCARNATIONS:  # a process that starts over and over
            first, second = incarnations[:2]
            window.others[second] += window.others.pop(first)

    def others(self, customer: int, window: int) -> float:
        """Return the least that others, and earlier incarnations of this one, have sent on in a window."""
        found = self._windows.get((customer, window))
        return sum(found.others.values()) if found is not None else 0.0

    def expire(self, now: float) -> None:
        """Forget windows that are over."""
        for key in [key for key, window in self._windows.items() if now >= window.expires_at]:
            del self._windows[key]
        for queues in (self._unsent, self._to_relay):
            for slot, keys in list(queues.items()):
                for key in [key for key in keys if key not in self._windows]:
                    del keys[key]
                if not keys:
                    del queues[slot]


def upper_bound(lower: float, rate: float, unresponsive: Iterable[tuple[float, float]]) -> float:
    """Return the most that all may have sent on.

    `unresponsive` has the learnt share and the silence (ms) of each unresponsive peer: without the counter a
    data plane limits itself to its learnt share, which is also the least that can be known of it.
    """
    return lower + sum(rate * share * silence_ms for share, silence_ms in unresponsive)
