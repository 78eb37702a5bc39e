"""Signals of a process from its first statement on, long before its event loop can receive them.

Until a handler is installed, SIGTERM and SIGHUP end a process at once. A process of the gateway listens while
it loads, so clients may wait in its accept queue by then; they would be reset without an answer. Instead, a
SIGTERM is recorded and obeyed in order once the process has loaded.

This module is imported before all others, and needs nothing but the standard library's built-in parts.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class Termination:
    """Whether this process has been told to end, and when it was first told.

    `clock` returns seconds; only differences count.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._requested_at: float | None = None

    @property
    def is_requested(self) -> bool:
        """Whether this process has been told to end."""
        return self._requested_at is not None

    def request(self) -> None:
        """Note that this process is told to end; only the first time counts."""
        if self._requested_at is None:
            self._requested_at = self._clock()

    def time_left_s(self, grace_s: float) -> float:
        """Return the rest of the grace period, which began when this process was told to end."""
        if self._requested_at is None:
            return grace_s
        return max(0.0, self._requested_at + grace_s - self._clock())


def ignore_reload_signal() -> None:
    """Ignore SIGHUP until the event loop receives it: what it would have read again is about to be read."""
    signal.signal(RELOAD_SIGNAL, signal.SIG_IGN)


def record_signals() -> Termination:
    """Record SIGTERM and SIGINT from now on, and ignore SIGHUP.

    Whoever starts the process may do so with these signals blocked; those that came meanwhile are delivered
    now. `lifecycle.main` takes over once the event loop runs.
    """
    termination = Termination()

    def record(_number: int, _frame: FrameType | None) -> None:
        termination.request()

    for number in TERMINATION_SIGNALS:
        signal.signal(number, record)
    ignore_reload_signal()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {*TERMINATION_SIGNALS, RELOAD_SIGNAL})
    return termination
