"""The rule for quotas, as both programs reckon with it."""

from __future__ import annotations

WINDOWS_PER_SPAN = 50  # in a span of the rule
ISOLATED_SHARE = (
    0.65  # of its part of the ceiling that a pilot sends on in a span while nobody answers its adds
)


def quota_ceiling(rate: float, burst: float, span_s: float, excess: float, slack: float) -> float:
    """Return how many requests may go out in any span, by the rule."""
    return (rate * span_s + burst) * (1.0 + excess) + slack
