"""The quota check of one request: one unit is added to its tenant's count, whose total decides.

The count's owner is a node of the control plane. While it does not answer, the data plane decides alone, and
the count is corrected at the owner once a late answer shows that it differs from what was decided.
"""

from __future__ import annotations

from wickspring.common.errors import ErrorKind
from wickspring.common.messages import QuotaTotal
from wickspring.common.routing_table import Tenant
from wickspring.dataplane.control_client.quota_client import ADD_TIMEOUT_MS, QuotaClient
from wickspring.dataplane.policy.quota import QuotaDecision
from wickspring.dataplane.policy.retry_budget import DEFAULT_DATA_PLANE_COUNT
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import Request, RequestContext
from wickspring.dataplane.request.response import Responder

RETRY_AFTER_JITTER = (1.0, 1.2)


class QuotaChecker:
    """Checks the quotas of requests."""

    def __init__(self, context: RequestContext, forwarder: Forwarder, responder: Responder) -> None:
        self._context = context
        self._forwarder = forwarder
        self._responder = responder

    def check(self, request: Request) -> None:
        """Have a request forwarded or refused by its tenant's quota; one without quota is forwarded."""
        tenant = request.metered_tenant()
        if tenant is None:
            self._grant(request)
            return
        self._context.quota.charge(self._context.clock.now(), tenant.name)
        _PendingQuotaUnit(self, self._context, request, tenant).send()

    def decide(self, request: Request, decision: QuotaDecision) -> None:
        """Carry out a decision on a request that has not ended meanwhile."""
        if request.attempts.ended:
            return
        with self._responder.contain_faults(request):
            if decision.allowed:
                self._grant(request)
                return
            retry_after_ms = decision.retry_after_ms * self._context.random.uniform(*RETRY_AFTER_JITTER)
            self._responder.fail(request, ErrorKind.OVER_QUOTA, retry_after_ms)

    def _grant(self, request: Request) -> None:
        request.quota_granted = True
        self._forwarder.send_if_ready(request)


class _PendingQuotaUnit:
    """One unit that its count's owner has been asked to add."""

    __slots__ = ("_cancel_timeout", "_checker", "_context", "_number", "_request", "_tenant")

    def __init__(
        self, checker: QuotaChecker, context: RequestContext, request: Request, tenant: Tenant
    ) -> None:
        self._checker = checker
        self._context = context
        self._request = request
        self._tenant = tenant
        self._number = 0

    def send(self) -> None:
        """Ask the owner; decide alone where it is not reachable or does not answer in time."""
        context = self._context
        request = self._request
        self._number = context.quota_client.add(self._tenant.name, request.is_retry, self)
        if not self._number:
            self._checker.decide(self._request, self._decide_locally())
            return
        due = context.clock.now() + ADD_TIMEOUT_MS
        self._cancel_timeout = context.timers.at(due, self._on_timeout).cancel

    def on_total(self, reply: QuotaTotal) -> None:
        """Decide by the total that the owner has counted."""
        self._cancel_timeout()
        now = self._context.clock.now()
        decision = self._context.quota.decide(
            now, self._tenant.name, reply.total, reply.limit, reply.window_remaining_ms
        )
        self._checker.decide(self._request, decision)

    def on_owner_moved(self) -> None:
        """Decide alone, and report to the owner what it has not counted."""
        self._cancel_timeout()
        decision = self._decide_locally()
        if decision.allowed:
            self._context.quota_client.report_spent(self._tenant.name)
        self._checker.decide(self._request, decision)

    def _on_timeout(self) -> None:
        """Decide alone; a late reply corrects the count."""
        decision = self._decide_locally()
        quota_client = self._context.quota_client
        quota_client.abandon(self._number, _LateReply(quota_client, self._tenant.name, decision.allowed))
        self._checker.decide(self._request, decision)

    def _decide_locally(self) -> QuotaDecision:
        context = self._context
        data_planes = context.data_plane_count() or DEFAULT_DATA_PLANE_COUNT
        decision = context.quota.decide_alone(context.clock.now(), self._tenant, data_planes)
        outcome = "allowed" if decision.allowed else "refused"
        context.event_counts[f"quota_decided_locally[{outcome}]"] += 1
        return decision


class _LateReply:
    """Handles a reply that comes after the data plane has decided alone."""

    __slots__ = ("_quota_client", "_tenant_name", "_was_allowed")

    def __init__(self, quota_client: QuotaClient, tenant_name: str, was_allowed: bool) -> None:
        self._quota_client = quota_client
        self._tenant_name = tenant_name
        self._was_allowed = was_allowed

    def on_total(self, reply: QuotaTotal) -> None:
        """Correct the owner's count where it differs from what was decided here."""
        is_counted = 0 <= reply.total <= reply.limit
        if self._was_allowed and not is_counted:
            self._quota_client.report_spent(self._tenant_name)
        elif is_counted and not self._was_allowed:
            self._quota_client.refund(self._tenant_name)

    def on_owner_moved(self) -> None:
        """Report the unit, which nobody has counted, where the request was allowed."""
        if self._was_allowed:
            self._quota_client.report_spent(self._tenant_name)
