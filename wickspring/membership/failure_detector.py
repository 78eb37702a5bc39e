"""Phi-accrual failure detection (Hayashibara et al., 2004): suspicion grows while no heartbeat arrives."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

MAX_INTERVALS = 20  # intervals between heartbeats that are remembered
MIN_INTERVALS_FOR_SLOW = 3
MIN_DEVIATION_RATIO = 0.25  # of the mean interval: over a calm network heartbeats come too evenly to judge by
SLOW_RATIO = 3.0  # mean interval over the expected one from which a member counts as slow

# A logistic curve close to the tail of the normal distribution (Bowling et al., 2009).
TAIL_LINEAR = 1.5976
TAIL_CUBIC = 0.070565
MAX_EXACT_EXPONENT = 30.0  # beyond it log(1 + e^x) equals x to double precision


@dataclass(slots=True)
class PhiAccrualDetector:
    """The intervals between one member's heartbeats by the receiver's own clock; seconds."""

    last_heartbeat_at: float
    intervals: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_INTERVALS))
    mean_s: float = 0.0
    deviation_s: float = 0.0

    def record_heartbeat(self, now: float) -> None:
        """Record that a heartbeat has arrived."""
        self.intervals.append(max(0.0, now - self.last_heartbeat_at))
        self.last_heartbeat_at = now
        count = len(self.intervals)
        self.mean_s = sum(self.intervals) / count
        variance = sum((interval - self.mean_s) ** 2 for interval in self.intervals) / count
        self.deviation_s = math.sqrt(variance)

    def phi(self, now: float, expected_s: float) -> float:
        """Return -log10 of the probability that a heartbeat is still to come at this time.

        Args:
            now: the time, in seconds.
            expected_s: the interval at which the member sends heartbeats.
        """
        mean_s = max(expected_s, self.mean_s)
        deviation_s = max(self.deviation_s, MIN_DEVIATION_RATIO * mean_s) if self.intervals else mean_s
        lateness = (now - self.last_heartbeat_at - mean_s) / deviation_s
        if lateness <= 0.0:
            return 0.0
        exponent = lateness * (TAIL_LINEAR + TAIL_CUBIC * lateness * lateness)
        if exponent > MAX_EXACT_EXPONENT:
            return exponent / math.log(10.0)
        return math.log10(1.0 + math.exp(exponent))

    def is_slow(self, expected_s: float) -> bool:
        """Tell whether the member's heartbeats have been arriving late."""
        return len(self.intervals) >= MIN_INTERVALS_FOR_SLOW and self.mean_s > SLOW_RATIO * expected_s
