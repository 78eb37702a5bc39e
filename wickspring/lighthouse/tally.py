"""Tenants' counts: one add a request to a tenant's present window, kept by one core machine for each tenant.

Windows are short and numbered by the steady clock of the machine that keeps the count, so nobody else needs
to know what time it is. A window's limit is what the rule's ceiling over a sliding span leaves after the
windows before it that the span can still touch. So every span of that length stays under the ceiling.

Each pilot's part is kept apart, and its own word replaces it when it comes to a keeper anew: so a count moves
to another machine, or to one that has forgotten everything, with what the pilots know of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

WINDOWS = 20  # in a span of the rule
CEILING_SHARE = 0.93  # of the rule's ceiling that is given out: the rest is for what nobody could count


def ceiling(rate: float, burst: float, span_s: float, excess: float, slack: float) -> float:
    """Return how many requests may go out in any span, by the rule."""
    return (rate * span_s + burst) * (1.0 + excess) + slack


class Count:
    """One tenant's windows of late."""

    __slots__ = ("parts", "total", "windows")

    def __init__(self) -> None:
        self.windows: deque[tuple[int, int]] = deque()  # number and units over all pilots, oldest first
        self.parts: dict[str, dict[int, int]] = {}  # by pilot
        self.total = 0

    def advance(self, window: int) -> None:
        """Let go of windows that no span can touch any more."""
        oldest = window - WINDOWS
        while self.windows and self.windows[0][0] < oldest:
            self.total -= self.windows.popleft()[1]

    def add(self, window: int, pilot: str, units: int) -> None:
        """Add to the present window."""
        if self.windows and self.windows[-1][0] == window:
            self.windows[-1] = window, self.windows[-1][1] + units
        else:
            self.windows.append((window, units))
        self.total += units
        part = self.parts.setdefault(pilot, {})
        part[window] = part.get(window, 0) + units
        if len(part) > 2 * WINDOWS:
            for old in [w for w in part if w < window - WINDOWS]:
                del part[old]

    def replace(self, window: int, pilot: str, told: Iterable[tuple[int, int]]) -> None:
        """Put a pilot's own word, windows ago and units, in the place of what is held of it."""
        part: dict[int, int] = {}
        for ago, units in told:
            if 0 <= ago <= WINDOWS and units > 0:
                part[window - ago] = part.get(window - ago, 0) + units
        self.parts[pilot] = part
        sums: dict[int, int] = {}
        for held in self.parts.values():
            for at, units in held.items():
                if at >= window - WINDOWS:
                    sums[at] = sums.get(at, 0) + units
        self.windows = deque(sorted(sums.items()))
        self.total = sum(sums.values())


class Tally:
    """The counts that this machine keeps."""

    def __init__(self, span_s: float, excess: float, slack: float) -> None:
        self.span_s, self.excess, self.slack = span_s, excess, slack
        self.window_ms = 1000.0 * span_s / WINDOWS
        self.counts: dict[str, Count] = {}

    def limit(self, rate: float, burst: float) -> int:
        """Return what is given out in any span."""
        return int(CEILING_SHARE * ceiling(rate, burst, self.span_s, self.excess, self.slack))

    def _count(self, now: float, tenant: str) -> tuple[int, Count]:
        window = int(now / self.window_ms)
        count = self.counts.get(tenant)
        if count is None:
            count = self.counts[tenant] = Count()
        count.advance(window)
        return window, count

    def add(self, now: float, tenant: str, pilot: str, rate: float, burst: float) -> tuple[int, int, float]:
        """Add one unit; return the total in the span, the limit, and ms until the window's end.

        What takes the total past the limit does not stay in it: the pilot refuses it by that total.
        """
        window, count = self._count(now, tenant)
        limit = self.limit(rate, burst)
        if count.total + 1 > limit:
            # The first window of the span to end takes its units with it.
            freed = count.windows[0][0] + WINDOWS + 1 if count.windows else window + 1
            return count.total + 1, limit, max(freed, window + 1) * self.window_ms - now
        count.add(window, pilot, 1)
        return count.total, limit, (window + 1) * self.window_ms - now

    def give_back(self, now: float, tenant: str, pilot: str) -> None:
        """Take a unit off again that was not used: its request has not run and never will."""
        _, count = self._count(now, tenant)
        part = count.parts.get(pilot, {})
        for index in range(len(count.windows) - 1, -1, -1):
            at, units = count.windows[index]
            if part.get(at, 0) > 0 and units > 0:
                part[at] -= 1
                count.windows[index] = at, units - 1
                count.total -= 1
                return

    def past(self, now: float, tenant: str, pilot: str, told: Iterable[tuple[int, int]]) -> None:
        """Take a pilot's own word of what it has sent on of late."""
        window, count = self._count(now, tenant)
        count.replace(window, pilot, told)
