"""How late an event loop runs: what arrives during one of its turns waits for the next.

A long turn has one of two causes, which the figures tell apart: the process had much to do (`cpu`), or it
waited for a processor (the rest).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

import trio

MS_PER_S = 1000.0
LONG_TURN_MS = 100.0  # from which a turn is counted as long
SAMPLE_MS = 20.0  # of turns, after which the processor time that they had is looked at


class TurnSample(NamedTuple):
    """Some turns of an event loop, in ms."""

    processor_ms: float  # that they had
    turns_ms: float  # that they took
    idle_ms: float  # that the loop waited for I/O between them


OnTurns = Callable[[TurnSample], None]


class LoopMonitor(trio.abc.Instrument):
    """Times the turns of the event loop that it is added to, from one wait for I/O to the next."""

    def __init__(self, on_turns: OnTurns | None = None) -> None:
        self._on_turns = on_turns
        self._unsampled_ms = 0.0  # of turns
        self._idle_ms = 0.0  # since the latest sample
        self._turn_ended_at: float | None = None  # seconds of the monotonic clock
        self._sampled_until: float | None = None  # seconds of the monotonic clock, within the present turn
        self._processor_s = time.process_time()  # at the latest sample
        self.turns = 0
        self.long_turns = 0
        self.longest_ms = 0.0
        self.busy_ms = 0.0  # of all turns
        self._turn_began_at: float | None = None  # seconds of the monotonic clock

    def after_io_wait(self, timeout: float) -> None:
        """Note that a turn begins."""
        now = self._turn_began_at = self._sampled_until = time.monotonic()
        if self._turn_ended_at is not None:
            self._idle_ms += MS_PER_S * (now - self._turn_ended_at)

    def before_io_wait(self, timeout: float) -> None:
        """Take in the turn that ends."""
        if self._turn_began_at is None:
            return
        now = time.monotonic()
        turn_ms = MS_PER_S * (now - self._turn_began_at)
        self._take_unsampled(now)
        if self._unsampled_ms >= SAMPLE_MS:
            self._sample()
        self._sampled_until = None
        self._turn_ended_at = now
        self.turns += 1
        self.busy_ms += turn_ms
        self.long_turns += turn_ms >= LONG_TURN_MS
        self.longest_ms = max(self.longest_ms, turn_ms)

    def sample_present_turn(self) -> None:
        """Have what the present turn has taken so far looked at, where that is long enough."""
        if self._sampled_until is None:
            return
        now = time.monotonic()
        if MS_PER_S * (now - self._sampled_until) >= SAMPLE_MS:
            self._take_unsampled(now)
            self._sample()

    def _take_unsampled(self, now: float) -> None:
        if self._sampled_until is not None:
            self._unsampled_ms += MS_PER_S * (now - self._sampled_until)
            self._sampled_until = now

    def _sample(self) -> None:
        processor_s = time.process_time()
        if self._on_turns is not None:
            processor_ms = MS_PER_S * (processor_s - self._processor_s)
            self._on_turns(TurnSample(processor_ms, self._unsampled_ms, self._idle_ms))
        self._processor_s = processor_s
        self._unsampled_ms = self._idle_ms = 0.0

    def figures(self) -> dict[str, float]:
        """Return the figures of all turns so far, by the names that they have in logs and metrics."""
        return {
            "loop_turns": self.turns,
            "loop_long_turns": self.long_turns,
            "loop_longest_ms": round(self.longest_ms, 1),
            "loop_busy_ms": round(self.busy_ms, 1),
        }


def add_loop_monitor(on_turns: OnTurns | None = None) -> LoopMonitor:
    """Time the turns of the event loop that this is called in; `on_turns` takes in samples of them."""
    monitor = LoopMonitor(on_turns)
    trio.lowlevel.add_instrument(monitor)
    return monitor
