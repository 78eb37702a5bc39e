"""Hedged attempts: a second attempt beside a slow first one.

An idempotent request that is not answered within a multiple of its route's typical latency is also sent to a
second endpoint (Dean and Barroso, "The Tail at Scale", 2013). The timer is set once, with the first attempt,
so a request is hedged once at most. From then on a hedge is an attempt like any other: it takes from the
retry budget, and `request.forwarding` does not tell its end from that of a retry.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from wickspring.dataplane.policy.attempts import HEDGE_BUDGET_RESERVE
from wickspring.dataplane.request.model import Request, RequestContext
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.request.retry_budgets import RetryBudgets


class Hedger:
    """Sends slow requests to a second endpoint as well."""

    def __init__(
        self,
        context: RequestContext,
        responder: Responder,
        budgets: RetryBudgets,
        send: Callable[[Request], None],
    ) -> None:
        self._context = context
        self._responder = responder
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
            with self._responder.contain_faults(request):
                self._send(request)
