"""Endpoint selection: the endpoint of an attempt, by observed latencies and the control plane's advice.

The control plane's advice comes first. Without it a few endpoints are drawn, most of them in the own zone,
and the one of lowest cost is chosen (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
2001). One that fails is ejected for a time that doubles with each failure. Which endpoints there are is known
to `wickspring.dataplane.endpoint_table`. No I/O; times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from random import Random

from wickspring.dataplane.endpoint_table import EndpointTable, KnownEndpoint

LOCAL_SAMPLE_SIZE = 4  # endpoints drawn in the own zone
REMOTE_SAMPLE_SIZE = 2  # endpoints drawn in other zones
SMOOTHING = 10.0  # responses in a moving average
LATENCY_RATIO_BOUNDS = (0.3, 5.0)
EJECTION_MS = 400.0  # after a first failure
EJECTION_JITTER = (0.7, 1.3)
MAX_EJECTION_DOUBLINGS = 4  # failures in a row that still lengthen an ejection
MAX_QUIET_RATIO = 2.5  # typical latencies without a response, after which each further one adds to the cost

# Factors on the cost of an endpoint.
WARMING_UP_COST = 2.0
OTHER_ZONE_COST = 1.4
CONNECT_COST = 1.3  # a connection must be opened first
UNRESPONSIVE_COST = 4.0  # the control plane no longer receives its heartbeats
EJECTED_COST = 10.0  # plus one for each failure in a row


Advice = Sequence[tuple[str, float]]  # endpoint ids and their costs, as the control plane sees them


class AttemptResult(Enum):
    """What the end of an attempt says of its endpoint."""

    SUCCESS = "success"
    FAILURE = "failure"
    TIMEOUT = "timeout"
    REJECTED = "rejected"  # the endpoint answered without executing the request
    CANCELLED = "cancelled"  # ended by the data plane; it says nothing of the endpoint


class EndpointSelector:
    """Chooses among the endpoints of a table, and records in it how attempts ended."""

    def __init__(
        self,
        table: EndpointTable,
        zone: str,
        seed: int,
        has_idle_connection: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.zone = zone
        self.random = Random(seed)
        self.has_idle_connection = has_idle_connection
        self.typical_ms: dict[str, float] = {}  # moving average of the latency of a route
        self._table = table

    # Selection.

    def cost(self, now: float, candidate: KnownEndpoint, typical_ms: float) -> float:
        """Return about how long a response takes, as a multiple of the typical latency."""
        endpoint = candidate.endpoint
        in_flight = candidate.in_flight
        cost = candidate.latency_ratio * (1.0 + len(in_flight) / max(1, endpoint.slots))
        if endpoint.warming_until_ms > now:
            cost *= WARMING_UP_COST
        if endpoint.zone != self.zone:
            cost *= OTHER_ZONE_COST
        if candidate.unresponsive:
            cost *= UNRESPONSIVE_COST
        if not self.has_idle_connection(endpoint.id):
            cost *= CONNECT_COST
        if in_flight and typical_ms > 0:
            quiet_since = max(candidate.last_response_at, next(iter(in_flight.values())))
            cost *= 1.0 + max(0.0, (now - quiet_since) / typical_ms - MAX_QUIET_RATIO)
        if now < candidate.ejected_until:
            cost *= EJECTED_COST + candidate.failures
        return cost

    def pick(
        self, now: float, service: str, route: str, tried: set[str], advice: Advice = ()
    ) -> KnownEndpoint | None:
        """Choose an endpoint that has not been tried, of the advised ones (id and cost) if possible.

        Of advised endpoints of equal cost the first is taken, of others one at random.
        """
        accepting = self._table.accepting.get(service, {})
        advised = self._pick_advised(now, accepting, tried, advice) if advice else None
        if advised is not None:
            return advised
        untried = [state for endpoint_id, state in accepting.items() if endpoint_id not in tried]
        if not untried:
            return None
        healthy = [state for state in untried if now >= state.ejected_until and not state.unresponsive]
        typical_ms = self.typical_ms.get(route, 0.0)
        sample = self._sample(healthy or untried)
        tie_break = self.random.random
        costs = [(self.cost(now, state, typical_ms), tie_break()) for state in sample]
        return sample[costs.index(min(costs))]

    def _pick_advised(
        self, now: float, accepting: dict[str, KnownEndpoint], tried: set[str], advice: Advice
    ) -> KnownEndpoint | None:
        best = None
        lowest_cost = float("inf")
        for endpoint_id, cost in advice:
            candidate = accepting.get(endpoint_id)
            if candidate is None or endpoint_id in tried or now < candidate.ejected_until:
                continue
            if not self.has_idle_connection(endpoint_id):
                cost *= CONNECT_COST
            if cost < lowest_cost:
                best = candidate
                lowest_cost = cost
        return best

    def _sample(self, states: list[KnownEndpoint]) -> list[KnownEndpoint]:
        local = [state for state in states if state.endpoint.zone == self.zone]
        remote = [state for state in states if state.endpoint.zone != self.zone]
        sample = self.random.sample(local, min(LOCAL_SAMPLE_SIZE, len(local)))
        remote_size = REMOTE_SAMPLE_SIZE + LOCAL_SAMPLE_SIZE - len(sample)
        return sample + self.random.sample(remote, min(remote_size, len(remote)))

    # Observation.

    def attempt_started(self, now: float, candidate: KnownEndpoint, number: int) -> None:
        """Record an attempt as in flight."""
        candidate.in_flight[number] = now

    def attempt_ended(
        self, now: float, candidate: KnownEndpoint, number: int, route: str, result: AttemptResult
    ) -> float:
        """Record how an attempt ended.

        Return its latency as a multiple of the typical one, 0 where the result says nothing of the endpoint,
        -1 where the endpoint failed.
        """
        started_at = candidate.in_flight.pop(number, now)
        if result is AttemptResult.CANCELLED:
            return 0.0
        if result is AttemptResult.REJECTED:
            candidate.last_response_at = now
            return 0.0
        if result is AttemptResult.SUCCESS:
            return self._record_success(now, candidate, route, max(1.0, now - started_at))
        if result is AttemptResult.TIMEOUT and candidate.last_response_at > started_at:
            return 0.0  # it has answered others since: it is overloaded, and ejection would not help
        self._eject(now, candidate)
        return -1.0

    def _record_success(self, now: float, candidate: KnownEndpoint, route: str, latency_ms: float) -> float:
        candidate.last_response_at = now
        candidate.failures = 0
        candidate.ejected_until = 0.0
        candidate.unresponsive = False
        typical_ms = self.typical_ms.get(route, 0.0) or latency_ms
        self.typical_ms[route] = typical_ms = typical_ms + (latency_ms - typical_ms) / (4 * SMOOTHING)
        lowest, highest = LATENCY_RATIO_BOUNDS
        ratio = min(highest, max(lowest, latency_ms / max(1.0, typical_ms)))
        candidate.latency_ratio += (ratio - candidate.latency_ratio) / SMOOTHING
        return ratio

    def _eject(self, now: float, candidate: KnownEndpoint) -> None:
        candidate.failures = min(MAX_EJECTION_DOUBLINGS, candidate.failures + 1)
        ejection_ms = EJECTION_MS * 2.0 ** (candidate.failures - 1) * self.random.uniform(*EJECTION_JITTER)
        candidate.ejected_until = now + ejection_ms
