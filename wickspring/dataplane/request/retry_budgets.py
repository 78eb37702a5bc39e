"""The retry budgets of all services, with ratio and slack of the settings.

`policy.retry_budget` is the arithmetic of one budget.
"""

from __future__ import annotations

from wickspring.dataplane.policy.attempts import Attempts
from wickspring.dataplane.policy.retry_budget import RetryBudget
from wickspring.dataplane.request.model import RequestContext


class RetryBudgets:
    """The retry budgets of all services: one for each, shared by all its routes and priorities."""

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._budgets: dict[str, RetryBudget] = {}

    def _of_service(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            rules = self._context.settings.guarantees
            budget = RetryBudget(rules.retry_ratio, rules.retry_window_s, rules.retry_slack)
            self._budgets[service] = budget
        return budget

    def available(self, service: str, now: float) -> float:
        """Return how many further attempts may be sent to a service."""
        return self._of_service(service).available(now, self._context.data_plane_count())

    def try_acquire(self, attempts: Attempts, now: float) -> bool:
        """Count the next attempt, a further one against the budget; return False where that is exhausted."""
        budget = self._of_service(attempts.service)
        if attempts.sent == 0:
            budget.record_first(now)
            return True
        if budget.try_acquire(now, self._context.data_plane_count()):
            return True
        self._context.event_counts["retry_budget_exhausted"] += 1
        return False
