"""The error of a simulation in which an invariant of the real programs does not hold."""

from __future__ import annotations


class InvariantBrokenError(AssertionError):
    """An invariant did not hold; the message says which, and where."""
