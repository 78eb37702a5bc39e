"""The units that one tenant has used lately, and those that it may still use. No I/O and no clock.

Time is cut into windows, numbered by the clock of the node that counts. A window's limit is what the tenant's
rate brings in its length, and what the windows before have left of that, up to the burst: a token bucket that
is filled at the start of each window. Each data plane's use is kept apart, and its own report replaces it. So
a count moves to another node, or to one that has forgotten everything, with what the data planes know of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wickspring.common.quota_rule import WINDOWS_PER_SPAN

MIN_SHARE_UNITS = 6  # of all data planes, below which they say nothing of shares
MAX_REPORTED_UNITS = 1_000_000  # of one tenant in one window; a report of more is ignored
MAX_KEPT_WINDOWS = 2 * WINDOWS_PER_SPAN  # of one data plane, before those past the span are removed

WindowUnits = Iterable[tuple[int, int]]  # windows ago and units, as nodes and data planes report them


@dataclass(slots=True, eq=False)
class TenantUsage:
    """One tenant's use of its quota in the windows of the present span."""

    windows: deque[tuple[int, int]] = field(default_factory=deque)  # number and units, the oldest first
    by_data_plane: dict[str, dict[int, int]] = field(default_factory=dict)  # units by window
    replicated: dict[int, int] = field(default_factory=dict)  # units by window, as another node counted them
    shares: dict[str, float] = field(
        default_factory=dict
    )  # by data plane: as replicated, or when it timed out
    reported_shares: dict[str, float] = field(default_factory=dict)  # by data plane: as each says of itself
    reserved: float = 0.0  # units that unresponsive data planes may use in a span beside the known ones
    reserved_window: int = -1  # the window in which `reserved` was computed
    total: int = 0  # units in the span
    tokens: float | None = (
        None  # units that the present window still has; None: to be computed from `windows`
    )
    tokens_window: int = 0  # the window that `tokens` is of

    def advance(self, window: int, refill: float, capacity: float) -> None:
        """Go on to a window: fill the bucket, and drop the windows that the span has left behind.

        Args:
            window: the number of the present window.
            refill: units that each window adds.
            capacity: units that the bucket holds at most.
        """
        if self.tokens is None:
            self.tokens = self._tokens_from_windows(window, refill, capacity)
        elif window > self.tokens_window:
            self.tokens = min(capacity, self.tokens + (window - self.tokens_window) * refill)
        self.tokens_window = window
        while self.windows and self.windows[0][0] < window - WINDOWS_PER_SPAN:
            self.total -= self.windows.popleft()[1]

    def _tokens_from_windows(self, window: int, refill: float, capacity: float) -> float:
        """Return what the bucket holds after the known use; below 0 where that was more than there was."""
        tokens = capacity
        filled_at = window - WINDOWS_PER_SPAN
        for number, units in self.windows:
            tokens = min(capacity, tokens + max(0, number - filled_at) * refill) - units
            filled_at = number
        return min(capacity, tokens + max(0, window - filled_at) * refill)

    def add_unit(self, window: int, data_plane: str) -> None:
        """Add a unit of a data plane to the present window."""
        if self.windows and self.windows[-1][0] == window:
            self.windows[-1] = window, self.windows[-1][1] + 1
        else:
            self.windows.append((window, 1))
        self.total += 1
        self.tokens = (self.tokens or 0.0) - 1.0
        units_by_window = self.by_data_plane.setdefault(data_plane, {})
        units_by_window[window] = units_by_window.get(window, 0) + 1
        if len(units_by_window) > MAX_KEPT_WINDOWS:
            _remove_past(units_by_window, window)

    def remove_unit(self, data_plane: str) -> None:
        """Take off the latest unit of a data plane; without any, nothing changes."""
        units_by_window = self.by_data_plane.get(data_plane, {})
        for index in range(len(self.windows) - 1, -1, -1):
            number, units = self.windows[index]
            if units_by_window.get(number, 0) > 0 and units > 0:
                units_by_window[number] -= 1
                self.windows[index] = number, units - 1
                self.total -= 1
                if self.tokens is not None:
                    self.tokens += 1.0
                return

    def replace_reported(self, window: int, data_plane: str, reported: WindowUnits) -> None:
        """Replace what is known of a data plane's use by its own report, from the report's oldest window on.

        A report says nothing of the time before: a process that was restarted does not know what its
        predecessor has used, and that still counts in the span.
        """
        units_by_window: dict[int, int] = {}
        for ago, units in reported:
            if _is_credible(ago, units):
                units_by_window[window - ago] = units_by_window.get(window - ago, 0) + units
        if not units_by_window:
            return
        oldest = min(units_by_window)
        for number, units in _in_span(self.by_data_plane.get(data_plane, {}), window).items():
            if number <= oldest:
                units_by_window[number] = max(units, units_by_window.get(number, 0))
        self.by_data_plane[data_plane] = units_by_window
        self.recompute(window)

    def merge_replicated(self, window: int, replicated: WindowUnits) -> None:
        """Merge what another node has counted while it owned this tenant's count."""
        for ago, units in replicated:
            if _is_credible(ago, units):
                self.replicated[window - ago] = max(units, self.replicated.get(window - ago, 0))
        _remove_past(self.replicated, window)

    def recompute(self, window: int) -> None:
        """Add up the use of all data planes.

        What another node has counted makes up for data planes that have ended and report nothing any more.
        """
        sums: dict[int, int] = {}
        for units_by_window in self.by_data_plane.values():
            for number, units in _in_span(units_by_window, window).items():
                sums[number] = sums.get(number, 0) + units
        for number, units in _in_span(self.replicated, window).items():
            sums[number] = max(units, sums.get(number, 0))
        self.windows = deque(sorted(sums.items()))
        self.total = sum(sums.values())
        self.tokens = None

    def units_of(self, window: int, data_plane: str) -> int:
        """Return the known units of a data plane in the span."""
        return sum(_in_span(self.by_data_plane.get(data_plane, {}), window).values())

    def share_of(self, window: int, data_plane: str) -> float:
        """Return a data plane's share of the span's units up to its last one; 0 where too few are known."""
        units_by_window = _in_span(self.by_data_plane.get(data_plane, {}), window)
        if not units_by_window:
            return 0.0
        last = max(units_by_window)
        oldest = window - WINDOWS_PER_SPAN
        total = sum(units for number, units in self.windows if oldest <= number <= last)
        if total < MIN_SHARE_UNITS:
            return 0.0
        return min(1.0, sum(units_by_window.values()) / total)


def _is_credible(ago: int, units: int) -> bool:
    return 0 <= ago <= WINDOWS_PER_SPAN and 0 < units <= MAX_REPORTED_UNITS


def _in_span(units_by_window: Mapping[int, int], window: int) -> dict[int, int]:
    oldest = window - WINDOWS_PER_SPAN
    return {number: units for number, units in units_by_window.items() if number >= oldest}


def _remove_past(units_by_window: dict[int, int], window: int) -> None:
    oldest = window - WINDOWS_PER_SPAN
    for number in [number for number in units_by_window if number < oldest]:
        del units_by_window[number]
