"""The state of a request in the decision module; types only, nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass, field

from wickspring.quota.customer_quota import CustomerQuota
from wickspring.routing.routed_request import RoutedRequest
from wickspring.routing.server_table import Server


@dataclass(slots=True, kw_only=True)
class ActiveRequest(RoutedRequest):
    """A request that still waits for its final answer; times in ms."""

    quota: CustomerQuota
    arrived_at: float
    awaiting_count: bool = False  # waits for an answer of the counter
    queued: bool = False  # waits for a server
    in_flight: dict[int, Server] = field(default_factory=dict)  # by the attempt's number
    outcome_unknown: bool = False  # an attempt has ended that may have run
    streaming: bool = False
    last_sent_at: float = 0.0
    probed_at: float | None = None  # when the server of the last attempt was probed
