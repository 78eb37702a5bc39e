"""The budget of retries is bounded, and earns less while answers are slow."""

from __future__ import annotations

from wickspring.routing.retry_budget import EARNED_PER_REQUEST, EARNED_WHILE_SLOW, MAX_BALANCE, RetryBudget


def test_requests_earn_retries_up_to_a_bound() -> None:
    budget = RetryBudget()
    start = budget.balance
    budget.earn(slow=False)
    assert budget.balance == start + EARNED_PER_REQUEST
    budget.earn(slow=True)
    assert budget.balance == start + EARNED_PER_REQUEST + EARNED_WHILE_SLOW
    for _ in range(100):
        budget.earn(slow=False)
    assert budget.balance == MAX_BALANCE
