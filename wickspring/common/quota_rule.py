"""The rule for quotas that the data plane and the control plane both apply."""

from __future__ import annotations

WINDOWS_PER_SPAN = 50  # counting windows in one span of the rule

# Share of its part of the ceiling that a data plane spends in a span while no owner of the count answers it.
ISOLATED_SHARE = 0.65


def quota_ceiling(rate: float, burst: float, span_s: float, excess: float, slack: float) -> float:
    """Return how many requests of a tenant may be forwarded in any span.

    Args:
        rate: requests per second that the tenant may make.
        burst: requests beyond the rate, within the span.
        span_s: length of the span, in seconds.
        excess: tolerated share beyond what rate and burst give.
        slack: tolerated requests beyond that.
    """
    return (rate * span_s + burst) * (1.0 + excess) + slack
