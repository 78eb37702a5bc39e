"""One heap of timers for the whole process, and the one task that waits for the earliest.

Nearly every timer guards against something that does not happen: an answer comes and the timer is
cancelled. So cancelling is cheap, and a cancelled timer never wakes the task.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

import trio

from wickspring.logs import kv
from wickspring.net.clock import Clock

log = logging.getLogger(__name__)


class Timer:
    """One call that is due at a time, unless it is cancelled before."""

    __slots__ = ("_timers", "action", "when")

    def __init__(self, timers: Timers, when: float, action: Callable[[], None]) -> None:
        self._timers, self.when = timers, when
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Take the call back; harmless once it has been made."""
        if self.action is not None:
            self.action = None
            self._timers.cancelled(self)


class Timers:
    """Calls back at or after given times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = count()
        self._scope: trio.CancelScope | None = None

    def at(self, when: float, action: Callable[[], None]) -> Timer:
        """Have `action` called once the clock shows `when`."""
        timer = Timer(self, when, action)
        heappush(self._heap, (when, next(self._order), timer))
        if self._heap[0][2] is timer:
            self._move()
        return timer

    def cancelled(self, timer: Timer) -> None:
        """Drop a cancelled timer if it is the one waited for; others are dropped as they come up."""
        if self._heap and self._heap[0][2] is timer:
            self._drop()
            self._move()

    def _drop(self) -> None:
        while self._heap and self._heap[0][2].action is None:
            heappop(self._heap)

    def _move(self) -> None:
        # Moving the deadline of an open scope is cheap; waking the task for each change is not.
        if self._scope is not None:
            self._scope.deadline = self._deadline()

    def _deadline(self) -> float:
        if not self._heap:
            return math.inf
        return trio.current_time() + max(0.0, self._heap[0][0] - self._clock.now()) / 1000.0

    def _call(self, action: Callable[[], None]) -> None:
        try:
            action()
        except Exception as error:  # one timer's trouble must not end the rest
            log.exception("timer_failed", extra=kv(reason=error))

    async def run(self) -> None:
        """Serve the heap for as long as the process lives."""
        while True:
            with trio.CancelScope(deadline=self._deadline()) as self._scope:
                await trio.sleep_forever()
            self._scope = None
            now = self._clock.now()
            while self._heap and self._heap[0][0] <= now:
                timer = heappop(self._heap)[2]
                action, timer.action = timer.action, None
                if action is not None:
                    self._call(action)
            self._drop()
