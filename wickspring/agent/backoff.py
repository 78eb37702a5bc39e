"""Exponential back-off between the starts of an instance that fails; no I/O."""

from __future__ import annotations

MAX_DOUBLINGS = 32  # beyond it the delay is at its most, and a float would overflow in the end


class RestartBackoff:
    """Counts failures in a row, and says how long to wait before the next start."""

    def __init__(self) -> None:
        self.failures = 0  # in a row

    def record_failure(self, *, steady: bool) -> None:
        """Count a failure; after a steady run it is the first in a row."""
        self.failures = 1 if steady else self.failures + 1

    def reset(self) -> None:
        """Forget the failures."""
        self.failures = 0

    def delay_s(self, first_s: float, most_s: float) -> float:
        """Return the seconds before the next start: `first_s` doubled with each failure, at most `most_s`."""
        if not self.failures:
            return 0.0
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        return min(most_s, first_s * 2.0**doublings)
