"""Admission of a request: validation, routing, authentication, deadline, quota, and advice on endpoints.

Quota and advice are asked for at the same time; the request is forwarded once both are known or timed out.
"""

from __future__ import annotations

from functools import partial

from wickspring.common.errors import ErrorKind
from wickspring.common.messages import EndpointAdvice
from wickspring.common.routing_table import Route, RoutingTable, Tenant
from wickspring.dataplane.policy.attempts import FINAL_RESPONSE_MARGIN_MS, Attempts
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import (
    IncomingRequest,
    Request,
    RequestContext,
    RequestRefusedError,
)
from wickspring.dataplane.request.quota_check import QuotaChecker
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.upstream import ATTEMPT_ID_HEADER, end_to_end_headers
from wickspring.net.http1_front import Http1Connection

MAX_DEADLINE_MS = 600_000.0
RETRY_DEADLINE_SHARE = 0.97  # of a route's longest deadline; a client that allows less has been here before
ADVICE_TIMEOUT_MS = 14.0  # for the control plane to say which endpoints are best
MIN_ADVISED_SHARE = 0.7  # of the endpoints known here that the control plane must know, else it is ignored

# Headers of the client's that are not passed on: the data plane sets its own, or consumes them.
_REPLACED_HEADERS = frozenset({"host", "x-key", "x-tenant", "x-target-instance", "x-deadline-ms", "expect"})


class Admission:
    """Admits requests, or refuses them."""

    def __init__(self, context: RequestContext, forwarder: Forwarder, responder: Responder) -> None:
        self._context = context
        self._forwarder = forwarder
        self._responder = responder
        self._quota_checker = QuotaChecker(context, forwarder, responder)
        self._longest_deadline_ms: dict[str, float] = {}  # that clients of a route have sent

    def admit(self, incoming: IncomingRequest) -> None:
        """Admit a request and set out to forward it, or refuse it."""
        try:
            request = self._validate(incoming)
        except RequestRefusedError as refusal:
            self._responder.refuse(incoming.client, refusal.kind)
            return
        self._register(request, incoming)
        self._request_advice(request)
        self._quota_checker.check(request)

    # Validation, routing and authentication.

    def _validate(self, incoming: IncomingRequest) -> Request:
        """Return the request with its route and tenant; raise RequestRefusedError."""
        context = self._context
        routing_table = context.config.routing_table
        headers = incoming.headers
        host = headers.get("host", "")
        route = routing_table.route(host, incoming.target)
        if route is None:
            raise RequestRefusedError(ErrorKind.NO_ROUTE)
        tenant = self._authenticate(incoming, routing_table, route)
        client = incoming.client
        pairs = client.pairs() if isinstance(client, Http1Connection) else list(headers.items())
        request_id = self._request_id(incoming, pairs)
        deadline_ms = self._deadline_ms(incoming)
        if not route.idempotent and request_id in context.non_idempotent_ids:
            raise RequestRefusedError(ErrorKind.IN_PROGRESS)
        wait_ms = min(deadline_ms, 1000.0 * route.timeout_s)
        attempts = self._attempts(route, wait_ms)
        request = Request(context.next_number(), incoming, attempts)
        request.wait_ms = wait_ms
        request.host = host
        request.id = request_id
        request.tenant = tenant
        request.is_retry = self._is_retry(route, deadline_ms)
        request.headers = [pair for pair in end_to_end_headers(pairs) if pair[0] not in _REPLACED_HEADERS]
        if tenant is not None:
            request.headers.append(("X-Tenant", tenant.name))
        return request

    def _authenticate(
        self, incoming: IncomingRequest, routing_table: RoutingTable, route: Route
    ) -> Tenant | None:
        """Return the tenant of the request's key; None where the route needs none."""
        tenant = routing_table.tenants_by_key.get(incoming.headers.get("x-key", ""))
        if tenant is None and routing_table.requires_key and not route.public:
            raise RequestRefusedError(ErrorKind.NO_KEY)
        return tenant

    def _request_id(self, incoming: IncomingRequest, pairs: list[tuple[str, str]]) -> str:
        """Return the id, which must be there exactly once: endpoints could read two differently."""
        request_id = incoming.headers.get(ATTEMPT_ID_HEADER, "")
        if not request_id or sum(name == ATTEMPT_ID_HEADER for name, _ in pairs) > 1:
            raise RequestRefusedError(ErrorKind.BAD_REQUEST)
        return request_id

    def _deadline_ms(self, incoming: IncomingRequest) -> float:
        """Return how long the client waits for a response."""
        text = incoming.headers.get("x-deadline-ms", "")
        if text and not text.isdecimal():
            raise RequestRefusedError(ErrorKind.BAD_REQUEST)
        return min(float(text or "inf"), MAX_DEADLINE_MS)

    def _attempts(self, route: Route, wait_ms: float) -> Attempts:
        now = self._context.clock.now()
        return Attempts(route, self._choose_service(route), now, now + wait_ms - FINAL_RESPONSE_MARGIN_MS)

    def _choose_service(self, route: Route) -> str:
        services = route.services
        if len(services) == 1:
            return services[0][0]
        names = [name for name, _ in services]
        weights = [weight for _, weight in services]
        return self._context.random.choices(names, weights)[0]

    def _is_retry(self, route: Route, deadline_ms: float) -> bool:
        """Return whether the client has less time left than clients of the route have at first."""
        longest_ms = self._longest_deadline_ms.get(route.name, 0.0)
        if deadline_ms > longest_ms:
            self._longest_deadline_ms[route.name] = deadline_ms
            return False
        return deadline_ms < RETRY_DEADLINE_SHARE * longest_ms

    # Registration and advice.

    def _register(self, request: Request, incoming: IncomingRequest) -> None:
        context = self._context
        attempts = request.attempts
        context.requests[request.number] = request
        if not attempts.route.idempotent:
            context.non_idempotent_ids.add(request.id)
        incoming.client.request_accepted(request.number, request.wait_ms)
        timer = context.timers.at(attempts.deadline, partial(self._responder.on_deadline, request))
        request.cancel_deadline = timer.cancel

    def _request_advice(self, request: Request) -> None:
        """Ask the control plane which endpoints are best, for a moment."""
        context = self._context
        on_advice = partial(self._on_advice, request)
        number = context.load_client.request_advice(request.attempts.service, on_advice)
        if not number:
            request.advice = []
            return
        due = context.clock.now() + ADVICE_TIMEOUT_MS
        timeout = partial(self._on_advice_timeout, request, number)
        request.cancel_advice_timeout = context.timers.at(due, timeout).cancel

    def _on_advice(self, request: Request, advice: EndpointAdvice) -> None:
        """Take advice in, unless the control plane knows too few of the endpoints known here."""
        request.cancel_advice_timeout()
        accepting = self._context.endpoints.services.get(request.attempts.service, ())
        is_complete = advice.known_endpoints >= MIN_ADVISED_SHARE * len(accepting)
        request.advice = advice.offers if is_complete else []
        self._forwarder.send_if_ready(request)

    def _on_advice_timeout(self, request: Request, number: int) -> None:
        self._context.load_client.cancel(number)
        self._context.event_counts["endpoint_selected_locally"] += 1
        request.advice = []
        self._forwarder.send_if_ready(request)
