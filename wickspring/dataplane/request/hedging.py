"""The retry budgets of all services, and hedged attempts: what is sent beyond a request's first attempt.

A repeatable request that is not answered within a multiple of its route's typical latency is also sent to a
second endpoint (Dean and Barroso, "The Tail at Scale", 2013).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from wickspring.dataplane.policy.attempts import HEDGE_BUDGET_RESERVE, Attempts
from wickspring.dataplane.policy.retry_budget import RetryBudget
from wickspring.dataplane.request.model import Request, RequestContext


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


class Hedger:
    """Sends slow requests to a second endpoint as well."""

    def __init__(
        self, context: RequestContext, budgets: RetryBudgets, send: Callable[[Request], None]
    ) -> None:
        self._context = context
        self._budgets = budgets
        self._send = send

    def schedule(self, request: Request) -> None:
        """Set the timer of a hedged attempt for a request whose first attempt has just been sent."""
        attempts = request.attempts
        route = attempts.route
        if not route.idempotent or route.max_attempts <= 1 or request.body_stream is not None:
            return
        at = attempts.hedge_at(self._context.endpoint_selector.typical_ms.get(route.name, 0.0))
        if at < attempts.deadline:
            request.cancel_hedge = self._context.timers.at(at, partial(self._on_timer, request)).cancel

    def _on_timer(self, request: Request) -> None:
        context = self._context
        attempts = request.attempts
        now = context.clock.now()
        if not attempts.may_send(now) or request.streaming_attempt:
            return
        available = self._budgets.available(attempts.service, now)
        other = context.endpoint_selector.pick(now, attempts.service, attempts.route.name, attempts.tried)
        if available >= HEDGE_BUDGET_RESERVE and other is not None:
            context.event_counts["hedged"] += 1
            self._send(request)
