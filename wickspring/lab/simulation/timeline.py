"""A discrete-event timeline: the virtual time of simulations without sockets."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random


class Timeline:
    """Events in the order of their times, and for one time in the order in which they were added."""

    def __init__(self) -> None:
        self.now = 0.0  # ms
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now where that is past."""
        heappush(self._heap, (max(when, self.now), next(self._order), action))

    def every(
        self, ms: float, first: float, action: Callable[[], None], random: Random | None = None
    ) -> None:
        """Run an action periodically, first after the share `first` of the period.

        With `random`, each later period is 0.5 to 1.5 times as long.
        """

        def repeat() -> None:
            action()
            factor = 0.5 + random.random() if random is not None else 1.0
            self.at(self.now + ms * factor, repeat)

        self.at(self.now + ms * first, repeat)

    def run(self, until: float) -> None:
        """Run all events that are due until a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = until
