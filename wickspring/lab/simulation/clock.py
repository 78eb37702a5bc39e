"""Milliseconds of a run."""

from __future__ import annotations

import time

import trio

from wickspring.net.clock import Clock


class VirtualClock(Clock):
    """A clock that goes as trio's, in the place of a program's own."""

    def __init__(self) -> None:
        pass

    def now(self) -> float:
        """Return ms of the run, from far after nought."""
        return 1e9 + 1000.0 * trio.current_time()


class RunClock:
    """Counts from the moment the first request is due."""

    def __init__(self) -> None:
        self.zero = time.monotonic()

    def start(self, in_s: float = 0.0) -> None:
        """Set the zero so many seconds ahead."""
        self.zero = time.monotonic() + in_s

    def now(self) -> float:
        """Return milliseconds since the zero; negative before it."""
        return (time.monotonic() - self.zero) * 1000.0

    def unix_ms(self, at: float) -> float:
        """Return a time of the run as Unix milliseconds."""
        return time.time() * 1000.0 + at - self.now()
