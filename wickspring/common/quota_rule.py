"""The rule for quotas that the data plane and the control plane both apply."""

from __future__ import annotations

WINDOWS_PER_SPAN = 50  # counting windows in one span of the rule

# Share of its part of the ceiling that a data plane spends in a span while no owner of the count answers it.
ISOLATED_SHARE = 0.65

MIN_RESERVATION_MS = 30_000.0  # for which units are reserved for an unresponsive data plane

EXTRA_BURST_UNITS = 2.0  # given out above the burst: the rule's spans begin between windows too


def reservation_ms(span_s: float) -> float:
    """Return for how long the owner of a count reserves units for a data plane out of its reach."""
    return max(MIN_RESERVATION_MS, 2000.0 * span_s)


def isolation_ms(span_s: float) -> float:
    """Return for how long after the owner's last answer a data plane may use its share in isolation.

    What it has used by then counts for a span and a window more, so it ends as much before the reservation.
    """
    return reservation_ms(span_s) - 1000.0 * span_s * (1.0 + 1.0 / WINDOWS_PER_SPAN)


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


def quota_margin(rate: float, burst: float, span_s: float, excess: float, slack: float) -> float:
    """Return how many requests may be forwarded in any span beside all that the owner of the count gives out.

    The owner gives out the rate, one window more of it, the burst and `EXTRA_BURST_UNITS` at most.
    """
    given_out = rate * span_s * (1.0 + 1.0 / WINDOWS_PER_SPAN) + burst + EXTRA_BURST_UNITS
    return max(0.0, quota_ceiling(rate, burst, span_s, excess, slack) - given_out)
