"""The rule for quotas, as both programs reckon with it."""

from __future__ import annotations

WINDOWS = 50  # in a span of the rule


def ceiling(rate: float, burst: float, span_s: float, excess: float, slack: float) -> float:
    """Return how many requests may go out in any span, by the rule."""
    return (rate * span_s + burst) * (1.0 + excess) + slack
