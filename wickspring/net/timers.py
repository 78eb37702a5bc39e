"""One heap of timers for the whole process, and the one task that waits for the earliest."""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

import trio

from wickspring.net.clock import Clock


class Timers:
    """Calls back at or after given times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._scope: trio.CancelScope | None = None

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Have `action` called once the clock shows `when`."""
        heappush(self._heap, (when, next(self._order), action))
        if self._scope is not None and self._heap[0][0] == when:
            self._scope.deadline = self._deadline()

    def _deadline(self) -> float:
        if not self._heap:
            return math.inf
        return trio.current_time() + max(0.0, self._heap[0][0] - self._clock.now()) / 1000.0

    async def run(self) -> None:
        """Serve the heap for as long as the process lives."""
        while True:
            # Moving the deadline of an open scope is cheap; waking a task for each new timer is not.
            with trio.CancelScope(deadline=self._deadline()) as self._scope:
                await trio.sleep_forever()
            self._scope = None
            now = self._clock.now()
            while self._heap and self._heap[0][0] <= now:
                heappop(self._heap)[2]()
