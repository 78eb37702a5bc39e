"""A budget of retries and hedged requests, earned by requests. No I/O, no clock.

Retries in proportion to requests keep a failure from multiplying the load (as in Finagle's retry budgets).
"""

from __future__ import annotations

EARNED_PER_REQUEST = 0.5  # further attempts
EARNED_WHILE_SLOW = 0.1  # the same while answers are slow: a brown-out must not be fed
MAX_BALANCE = 5.0  # saved by one gateway at most; half of it at first


class RetryBudget:
    """How many further attempts this gateway may make."""

    def __init__(self) -> None:
        self.balance = MAX_BALANCE / 2

    def earn(self, slow: bool) -> None:
        """Credit one request; `slow` tells that answers take too much of their target latency."""
        earned = EARNED_WHILE_SLOW if slow else EARNED_PER_REQUEST
        self.balance = min(self.balance + earned, MAX_BALANCE)
