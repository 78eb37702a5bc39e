"""The load of every endpoint, as one control-plane node learns it from all data planes. No I/O; times are ms.

A data plane sees only its own requests, and there may be dozens of data planes. So it asks the node that owns
a service for the endpoints that are cheapest now, and reports the start and the end of each request. The
answer is advice: a data plane leaves out endpoints that it knows to drain or to fail, and without an answer
in time it chooses by itself. Requests to an endpoint that does not answer stay in flight, so that all data
planes avoid it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

from wickspring.common.endpoints import Endpoint

MAX_ADVISED = 4  # endpoints in one answer
LATENCY_MEMORY = 12.0  # requests that the running mean of an endpoint's latency covers
MIN_LATENCY_RATIO = 0.4
MAX_LATENCY_RATIO = 4.0
OTHER_ZONE_FACTOR = 1.4  # factors on the cost of an endpoint
WARMING_UP_FACTOR = 2.0
EJECTED_FACTOR = 6.0
EJECTION_MS = 700.0  # after a failure
JITTER = 0.03  # share by which costs vary, so that data planes asking at once get different answers
COST_DIGITS = 2


class LoadTracker:
    """Requests in flight, latencies and failures of endpoints."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.in_flight: Counter[str] = Counter()
        self.in_flight_by_data_plane: dict[str, Counter[str]] = {}
        self.latency_ratio: dict[
            str, float
        ] = {}  # running mean of latency over what is typical of the request
        self.ejected_until: dict[str, float] = {}

    def request_sent(self, data_plane: str, endpoint_id: str) -> None:
        """Record that a data plane has sent a request to an endpoint."""
        self.in_flight[endpoint_id] += 1
        self.in_flight_by_data_plane.setdefault(data_plane, Counter())[endpoint_id] += 1

    def request_ended(self, now: float, data_plane: str, endpoint_id: str, ratio: float) -> None:
        """Record the end of a request.

        Args:
            now: the present time, ms.
            data_plane: the data plane that had sent it.
            endpoint_id: the endpoint that it was sent to.
            ratio: its latency over the typical one; 0 where it was rejected, below 0 where it failed.
        """
        sent = self.in_flight_by_data_plane.get(data_plane)
        if sent is not None and sent[endpoint_id] > 0:
            sent[endpoint_id] -= 1
            self.in_flight[endpoint_id] -= 1
        if ratio > 0:
            mean = self.latency_ratio.get(endpoint_id, 1.0)
            bounded = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
            self.latency_ratio[endpoint_id] = mean + (bounded - mean) / LATENCY_MEMORY
        elif ratio < 0:
            self.ejected_until[endpoint_id] = now + EJECTION_MS

    def forget_data_plane(self, data_plane: str) -> None:
        """Forget the requests of a data plane that has disconnected, or has connected again."""
        for endpoint_id, count in self.in_flight_by_data_plane.pop(data_plane, Counter()).items():
            self.in_flight[endpoint_id] -= count

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Forget an endpoint."""
        self.in_flight.pop(endpoint_id, None)
        self.latency_ratio.pop(endpoint_id, None)
        self.ejected_until.pop(endpoint_id, None)

    def cost(self, now: float, endpoint: Endpoint, zone: str) -> float:
        """Return the expected latency of a further request from a zone, in typical latencies."""
        occupancy = self.in_flight[endpoint.id] / max(1, endpoint.slots)
        cost = self.latency_ratio.get(endpoint.id, 1.0) * (1.0 + occupancy)
        if endpoint.zone != zone:
            cost *= OTHER_ZONE_FACTOR
        if endpoint.warming_until_ms > now:
            cost *= WARMING_UP_FACTOR
        if self.ejected_until.get(endpoint.id, 0.0) > now:
            cost *= EJECTED_FACTOR
        return cost * (1.0 + JITTER * self.random.random())

    def advise(self, now: float, zone: str, endpoints: Iterable[Endpoint]) -> list[tuple[str, float]]:
        """Return the ids and costs of the cheapest endpoints, the cheapest first."""
        costs = sorted((self.cost(now, endpoint, zone), endpoint.id) for endpoint in endpoints)
        return [(endpoint_id, round(cost, COST_DIGITS)) for cost, endpoint_id in costs[:MAX_ADVISED]]
