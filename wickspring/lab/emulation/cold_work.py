"""The work that a server gets while it warms up, and whether that is too much."""

from __future__ import annotations

from collections import deque

from wickspring.lab.emulation.shape import Shape


class ColdWork:
    """The work of the last `fall_ms` of the site's shape."""

    def __init__(self, shape: Shape) -> None:
        self._window_ms = shape.fall_ms
        self._factor = shape.fall_factor
        self._recent: deque[tuple[float, float]] = deque()  # when it came, ms of work

    def add(self, now: float, work_ms: float, capacity: float) -> bool:
        """Add a piece of work; tell whether it overloads the server at this capacity (ms of work per ms)."""
        self._recent.append((now, work_ms))
        while self._recent[0][0] < now - self._window_ms:
            self._recent.popleft()
        max_work_ms = self._factor * capacity * self._window_ms
        return sum(work_ms for _, work_ms in self._recent) > max_work_ms
