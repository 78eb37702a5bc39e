"""A ticket server in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wickspring import interface as api
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.simulation.timeline import Timeline


class VirtualServer:
    """Cores that do pieces of work, requests and dials alike, in the order in which they came."""

    def __init__(self, scenario: Scenario, timeline: Timeline, index: int) -> None:
        self.name = f"s-{index}"
        self.hall = index % scenario.servers.halls
        self.entry = api.ServerEntry(self.name.encode(), self.hall, 0, api.Readiness.READY, 1.0, 0.0)
        self.slowdown = 1.0  # by which all work takes longer
        self.max_waiting = 0  # pieces of work that waited at once
        self._timeline = timeline
        self._free_cores = scenario.servers.cores
        self._queue: deque[tuple[float, Callable[[], None]]] = deque()

    def work(self, duration_ms: float, on_done: Callable[[], None]) -> None:
        """Take a piece of work; `on_done` is called once it is done."""
        if self._free_cores:
            self._free_cores -= 1
            self._begin(duration_ms, on_done)
        else:
            self._queue.append((duration_ms, on_done))
            self.max_waiting = max(self.max_waiting, len(self._queue))

    def _begin(self, duration_ms: float, on_done: Callable[[], None]) -> None:
        def end() -> None:
            if self._queue:
                self._begin(*self._queue.popleft())
            else:
                self._free_cores += 1
            on_done()

        self._timeline.at(self._timeline.now + duration_ms * self.slowdown, end)
