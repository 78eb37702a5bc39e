"""Validation of a request: its route, its tenant by the API key, its id and its deadline."""

from __future__ import annotations

import math
import re

from wickspring.common.errors import ErrorKind
from wickspring.common.routes import Route
from wickspring.common.routing_table import RoutingTable, Tenant
from wickspring.dataplane.policy.attempts import FINAL_RESPONSE_MARGIN_MS, Attempts
from wickspring.dataplane.request.model import (
    IncomingRequest,
    Request,
    RequestContext,
    RequestRefusedError,
)
from wickspring.dataplane.upstream import ATTEMPT_ID_HEADER, end_to_end_headers
from wickspring.net.http1_front import Http1Connection
from wickspring.net.octets import NO_OCTETS, HeaderPairs, Headers

DEADLINE_HEADER = "x-deadline-ms"
MAX_DEADLINE_MS = 600_000.0
RETRY_DEADLINE_SHARE = 0.97  # of a route's longest deadline; a client that allows less retries

_MILLISECONDS = re.compile(r"[0-9]+(?:\.[0-9]+)?")
# Headers of the client's that are not passed on: the data plane sets its own, or consumes them.
_REPLACED_HEADERS = frozenset({"host", "x-key", "x-tenant", "x-target-instance", DEADLINE_HEADER, "expect"})


def client_deadline_ms(headers: Headers) -> float:
    """Return how long a client waits for a response; infinity where it does not say, or not as a number."""
    text = headers.get(DEADLINE_HEADER, "")
    return float(text) if _MILLISECONDS.fullmatch(text) else math.inf


def longest_ms(routing_table: RoutingTable, headers: Headers, target: str) -> float:
    """Return how long a request may last: to the client's deadline, or the route's timeout."""
    deadline_ms = min(client_deadline_ms(headers), MAX_DEADLINE_MS)
    route = routing_table.route(headers.get("host", NO_OCTETS), target)
    return deadline_ms if route is None else min(deadline_ms, 1000.0 * route.timeout_s)


class RequestValidator:
    """Makes a `Request` of what a client has sent, or refuses it."""

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._longest_deadline_ms: dict[str, float] = {}  # that clients of a route have sent

    def validate(self, incoming: IncomingRequest) -> Request:
        """Return the request with its route and tenant.

        Raises:
            RequestRefusedError: no route, no key, a bad id or deadline, the id of a request in progress, or a
                client whose time is over.
        """
        context = self._context
        routing_table = context.config.routing_table
        headers = incoming.headers
        host = headers.get("host", NO_OCTETS)
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
        wait_ms = self._wait_ms(incoming, min(deadline_ms, 1000.0 * route.timeout_s))
        attempts = self._attempts(route, wait_ms)
        request = Request(context.next_number(), incoming, attempts)
        request.wait_ms = wait_ms
        request.host = host
        request.id = request_id
        request.tenant = tenant
        request.is_retry = self._is_retry(route, deadline_ms)
        request.headers = _forwarded_headers(pairs, tenant)
        return request

    def _authenticate(
        self, incoming: IncomingRequest, routing_table: RoutingTable, route: Route
    ) -> Tenant | None:
        """Return the tenant of the request's key; None where the route needs none."""
        tenant = routing_table.tenants_by_key.get(incoming.headers.get("x-key", NO_OCTETS))
        if tenant is None and routing_table.requires_key and not route.public:
            raise RequestRefusedError(ErrorKind.NO_KEY)
        return tenant

    def _request_id(self, incoming: IncomingRequest, pairs: HeaderPairs) -> str:
        """Return the id, which must be there exactly once: endpoints could read two differently."""
        request_id = incoming.headers.get(ATTEMPT_ID_HEADER, "")
        if not request_id or sum(name == ATTEMPT_ID_HEADER for name, _ in pairs) > 1:
            raise RequestRefusedError(ErrorKind.BAD_REQUEST)
        return request_id

    def _deadline_ms(self, incoming: IncomingRequest) -> float:
        """Return how long the client waits for a response."""
        text = incoming.headers.get(DEADLINE_HEADER, "")
        if text and not _MILLISECONDS.fullmatch(text):
            raise RequestRefusedError(ErrorKind.BAD_REQUEST)
        return min(client_deadline_ms(incoming.headers), MAX_DEADLINE_MS)

    def _wait_ms(self, incoming: IncomingRequest, allowed_ms: float) -> float:
        """Return how long the client waits from now: it has waited since its request began to arrive."""
        wait_ms = allowed_ms - (self._context.clock.now() - incoming.began_at)
        if wait_ms <= FINAL_RESPONSE_MARGIN_MS:
            raise RequestRefusedError(ErrorKind.EXPIRED)
        return wait_ms

    def _attempts(self, route: Route, wait_ms: float) -> Attempts:
        now = self._context.clock.now()
        waits_until = min(now + wait_ms, self._context.answers_until)
        return Attempts(route, self._choose_service(route), now, waits_until - FINAL_RESPONSE_MARGIN_MS)

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


def _forwarded_headers(pairs: HeaderPairs, tenant: Tenant | None) -> HeaderPairs:
    headers = [pair for pair in end_to_end_headers(pairs) if pair[0] not in _REPLACED_HEADERS]
    if tenant is not None:
        headers.append(("X-Tenant", tenant.header_value))
    return headers
