"""Virtual time and randomness of one simulated run, both determined by its seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from wickspring.lab.simulation.invariants import InvariantBrokenError


class SeededRun:
    """A queue of actions in virtual time; those of one time are done in the order they were scheduled."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0  # ms
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._positions = count()

    def fail(self, what: str) -> None:
        """Raise InvariantBrokenError, with seed and time."""
        raise InvariantBrokenError(f"seed {self.seed} at {self.now:.0f} ms: {what}")

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Have an action done after so many ms."""
        heapq.heappush(self._queue, (self.now + delay, next(self._positions), action))

    def run(self, until: float) -> None:
        """Let time pass until then (ms)."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until
