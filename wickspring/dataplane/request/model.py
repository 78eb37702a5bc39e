"""The state of one request, and what the steps of its handling share."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.routing_table import Tenant
from wickspring.common.settings import NodeSettings
from wickspring.dataplane.control_client.config_sync import ConfigSync
from wickspring.dataplane.control_client.load_client import LoadClient
from wickspring.dataplane.control_client.quota_client import QuotaClient
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.policy.attempts import Attempts
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.dataplane.upstream import BufferedResponse, Exchange
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import Client
from wickspring.net.clock import Clock
from wickspring.net.http1_front import Http1Connection
from wickspring.net.octets import NO_OCTETS, HeaderPairs, Headers
from wickspring.net.timers import Timers
from wickspring.net.upstream.manager import UpstreamManager

RETRY_AFTER_MS = (60.0, 160.0)  # range of the delay that a client is asked for where no endpoint is available


class RequestRefusedError(GatewayError):
    """A request is refused before any attempt; `kind` selects the response."""

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(ErrorDetail(kind))
        self.kind = kind


@dataclass(slots=True)
class IncomingRequest:
    """A request as the client's connection hands it over, before it is validated."""

    client: Client
    method: str
    target: str
    headers: Headers
    body: bytes
    body_stream: BodyStream | None = None  # the rest of a body that is longer than what is buffered
    began_at: float = 0.0  # ms: when its head was in the kernel; its client's time runs from then


def _nothing_to_cancel() -> None:
    """Stand in for the cancellation of a timer that was not set."""


class Request:
    """One admitted request."""

    __slots__ = (
        "advice",
        "attempts",
        "body",
        "body_stream",
        "cancel_advice_timeout",
        "cancel_deadline",
        "cancel_hedge",
        "client",
        "exchanges",
        "fallback_response",
        "headers",
        "host",
        "id",
        "is_retry",
        "method",
        "number",
        "quota_granted",
        "streaming_attempt",
        "target",
        "tenant",
        "wait_ms",
    )

    def __init__(self, number: int, incoming: IncomingRequest, attempts: Attempts) -> None:
        self.number = number
        self.client: Client | None = incoming.client  # None once it has gone away
        self.method = incoming.method
        self.target = incoming.target
        self.body = incoming.body
        self.body_stream = incoming.body_stream
        self.attempts = attempts
        self.exchanges: dict[int, Exchange] = {}  # attempts in flight, by number
        self.wait_ms = 0.0  # that the client waits for a response
        self.headers: HeaderPairs = []
        self.host = NO_OCTETS
        self.id = ""
        self.tenant: Tenant | None = None
        self.is_retry = False  # the client has been refused before, to judge by how little time it has left
        self.advice: list[tuple[str, float]] | None = None  # endpoints and costs; None: not received yet
        self.quota_granted = False
        self.streaming_attempt = 0  # number of the attempt whose response is being streamed
        # An endpoint's response that is no success, kept while other attempts are in flight.
        self.fallback_response: BufferedResponse | None = None
        self.cancel_advice_timeout: Callable[[], None] = _nothing_to_cancel
        self.cancel_deadline: Callable[[], None] = _nothing_to_cancel
        self.cancel_hedge: Callable[[], None] = _nothing_to_cancel

    def waiting_client(self) -> Client | None:
        """Return the client while it waits for this very request; its connection may be ending."""
        client = self.client
        if isinstance(client, Http1Connection) and client.request_number != self.number:
            return None
        return client

    def must_complete(self) -> bool:
        """Return whether an attempt is to end by itself, though nobody waits for its response.

        One that is not idempotent must not be broken off halfway, once it is being written, as long as its
        endpoint can get the whole of it and its response is buffered.
        """
        if self.attempts.route.idempotent or self.streaming_attempt:
            return False
        is_written = any(exchange.server_connection is not None for exchange in self.exchanges.values())
        return is_written and (self.body_stream is None or self.body_stream.ended)

    def metered_tenant(self) -> Tenant | None:
        """Return the tenant whose quota the request counts against, if there is one."""
        tenant = self.tenant
        if tenant is None or tenant.rate <= 0 or self.attempts.route.public:
            return None
        return tenant


@dataclass(slots=True, eq=False)
class RequestContext:
    """What the steps of the handling share: the data plane's parts, and its requests."""

    settings: NodeSettings
    clock: Clock
    timers: Timers
    random: Random
    endpoints: EndpointTable
    endpoint_selector: EndpointSelector
    quota: QuotaPolicy
    config: ConfigSync
    quota_client: QuotaClient
    load_client: LoadClient
    upstream: UpstreamManager
    data_plane_count: Callable[[], int]  # 0 where it is not known
    requests: dict[int, Request] = field(default_factory=dict)
    non_idempotent_ids: set[str] = field(default_factory=set)  # of requests in progress
    event_counts: Counter[str] = field(default_factory=Counter)
    answers_until: float = math.inf  # ms; once the process has been told to end, no response is given later
    _last_number: int = 0

    def next_number(self) -> int:
        """Return a number that no other request of this process has."""
        self._last_number += 1
        return self._last_number

    def retry_after_ms(self) -> float:
        """Return a random delay to ask a client for."""
        return self.random.uniform(*RETRY_AFTER_MS)

    def can_route(self) -> bool:
        """Return whether a configuration and endpoints are known."""
        has_config = self.config.routing_table.version is not None
        return has_config and bool(self.endpoints.accepting)
