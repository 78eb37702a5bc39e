"""The data planes that may hold shares of quotas, as a node remembers them over its own restarts.

They are those in reach, and those that were not long ago. The next process of the node reserves units for
each of them that it does not reach (`wickspring.controlplane.quota_reservations`), and limits that data
planes divide evenly among themselves are divided among all of them. No I/O; times are ms.
"""

from __future__ import annotations

from collections.abc import Iterable


class KnownDataPlanes:
    """Which data planes have been in reach lately, and which of them are on disk."""

    def __init__(self, remembered_ms: float) -> None:
        self._remembered_ms = remembered_ms  # after a data plane was last in reach
        self._last_seen_at: dict[str, float] = {}
        self._saved: frozenset[str] = frozenset()

    def restore(self, now: float, data_planes: Iterable[str]) -> None:
        """Start with those on disk."""
        self._saved = frozenset(data_planes)
        self.record_seen(now, self._saved)

    def record_seen(self, now: float, data_planes: Iterable[str]) -> None:
        """Note data planes that are in reach, here or of another node."""
        for data_plane in data_planes:
            self._last_seen_at[data_plane] = now

    def names(self, now: float) -> frozenset[str]:
        """Return the data planes that are remembered, and forget the others."""
        oldest = now - self._remembered_ms
        for data_plane in [name for name, seen_at in self._last_seen_at.items() if seen_at < oldest]:
            del self._last_seen_at[data_plane]
        return frozenset(self._last_seen_at)

    @property
    def count(self) -> int:
        """How many data planes are remembered, as of the last call of `names`: limits are divided by it."""
        return len(self._last_seen_at)

    def unsaved(self, now: float) -> list[str] | None:
        """Return what is to be saved in place of what is on disk; None where that is the same."""
        names = self.names(now)
        return None if names == self._saved else sorted(names)

    def saved(self, data_planes: Iterable[str]) -> None:
        """Note that these are on disk now."""
        self._saved = frozenset(data_planes)
