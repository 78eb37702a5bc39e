"""The latency of one server of late, for a gateway that sees little of its load by its own attempts.

A peak-sensitive moving average, as in the load balancers of Finagle and Linkerd (peak EWMA): an attempt that
is still in flight counts for as long as it has been, so a server that has slowed down is avoided before it
answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

ANSWER_WEIGHT = 0.5  # of a new answer in the mean
MEMORY_MS = 10_000.0  # time constant with which the mean is forgotten
MIN_RATIO = 0.5  # bounds of a server's latency relative to that of all
MAX_RATIO = 64.0
COST_EXPONENT = 0.5  # of that ratio in the cost: most of one answer's latency is due to the request itself


@dataclass(slots=True)
class LatencyEstimate:
    """What is known of one server's latency, in target latencies of the requests' classes."""

    mean: float = 0.0
    updated_at: float | None = None  # ms
    waiting_since: float = 0.0  # ms, since nothing was in flight, or since the last attempt ended

    def attempt_started(self, now: float, others_in_flight: int) -> None:
        """Record that an attempt was sent."""
        if not others_in_flight:
            self.waiting_since = now

    def attempt_ended(self, now: float) -> None:
        """Record an attempt's end: what else is in flight may have waited alone only since then."""
        self.waiting_since = now

    def record(self, now: float, latency: float, answered: bool, typical: float, weight: float) -> None:
        """Take in an attempt's latency; a cancelled one (not `answered`) would have taken longer yet.

        `typical` is the latency of all servers; `weight` is that of `cost_factor`.
        """
        if weight <= 0.0:
            return
        known = self._ratio(now, typical, weight, 0.0) * typical if typical > 0.0 else latency
        if answered or latency > known:
            self.mean = known + ANSWER_WEIGHT * (latency - known)
            self.updated_at = now

    def cost_factor(self, now: float, typical: float, weight: float, waiting: float = 0.0) -> float:
        """Return the factor by which the server costs more than others; 1 where nothing is known.

        `weight`, from 0 to 1, says how far this gateway goes by latency; `waiting` how long its attempts in
        flight have waited, in target latencies.
        """
        return math.pow(self._ratio(now, typical, weight, waiting), COST_EXPONENT)

    def _ratio(self, now: float, typical: float, weight: float, waiting: float) -> float:
        if weight <= 0.0 or typical <= 0.0:
            return 1.0
        trust = math.exp((self.updated_at - now) / MEMORY_MS) if self.updated_at is not None else 0.0
        ratio = max(1.0 + (self.mean / typical - 1.0) * trust * weight, waiting / typical)
        return min(max(ratio, MIN_RATIO), MAX_RATIO)
