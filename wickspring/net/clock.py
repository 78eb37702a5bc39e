"""Shared time: Unix milliseconds, taken from the wall clock once and advanced by the monotonic clock.

Windows of the quota are numbered by this time, so all ingresses must agree on it; and it must never
step, for deadlines hang on it too.
"""

from __future__ import annotations

import time


class Clock:
    """Milliseconds since 1970 that never go back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the present time in Unix milliseconds."""
        return (time.monotonic() + self._offset) * 1000.0
