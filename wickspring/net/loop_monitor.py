"""How late an event loop runs: what arrives during one of its turns waits for the next.

A long turn has one of two causes, which the figures tell apart: the process had much to do (`cpu`), or it
waited for a processor (the rest).
"""

from __future__ import annotations

import time

import trio

MS_PER_S = 1000.0
LONG_TURN_MS = 100.0  # from which a turn is counted as long


class LoopMonitor(trio.abc.Instrument):
    """Times the turns of the event loop that it is added to, from one wait for I/O to the next."""

    def __init__(self) -> None:
        self.turns = 0
        self.long_turns = 0
        self.longest_ms = 0.0
        self.busy_ms = 0.0  # of all turns
        self._turn_began_at: float | None = None  # seconds of the monotonic clock

    def after_io_wait(self, timeout: float) -> None:
        """Note that a turn begins."""
        self._turn_began_at = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """Take in the turn that ends."""
        if self._turn_began_at is None:
            return
        turn_ms = MS_PER_S * (time.monotonic() - self._turn_began_at)
        self.turns += 1
        self.busy_ms += turn_ms
        self.long_turns += turn_ms >= LONG_TURN_MS
        self.longest_ms = max(self.longest_ms, turn_ms)

    def figures(self) -> dict[str, float]:
        """Return the figures of all turns so far, by the names that they have in logs and metrics."""
        return {
            "loop_turns": self.turns,
            "loop_long_turns": self.long_turns,
            "loop_longest_ms": round(self.longest_ms, 1),
            "loop_busy_ms": round(self.busy_ms, 1),
        }


def add_loop_monitor() -> LoopMonitor:
    """Time the turns of the event loop that this is called in."""
    monitor = LoopMonitor()
    trio.lowlevel.add_instrument(monitor)
    return monitor
