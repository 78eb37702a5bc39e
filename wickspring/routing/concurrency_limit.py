"""How many attempts one gateway has in flight at once: fewer while answers take much of their target latency.

An adaptive concurrency limit by latency, increased additively and cut by a factor (AIMD; Chiu and Jain,
1989). What waits at the gateway can still be refused; what waits at a server has been charged and loads it.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.interface import LONG_AGO

INITIAL_PER_SERVER = 8.0  # attempts in flight for each ready server, over all gateways: at first,
MIN_PER_SERVER = 2.0  # and at least
SLOW_LATENCY = 0.25  # median latency, in target latencies, above which the limit shrinks
MEAN_TIME_MS = 1000.0  # time constant of the mean
MIN_ANSWERS = 10.0  # in the mean, however far apart they come
MIN_WEIGHT = 0.03  # of one answer, however close they come
CUT_PER_S = 0.5  # part of the limit that is cut in a second while answers are slow
GROWTH_PER_S = 0.6  # attempts for each server by which it grows in a second while they are not


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit on attempts in flight, by the median latency.

    By the mean, two slow servers of ten held the limit at its minimum for as long as they were slow: the
    fewer attempts are in flight, the larger their part of the answers.
    """

    limit: float = 0.0  # attempts; 0 until servers are known
    mean_latency: float = 0.0  # in target latencies
    median_latency: float = 0.0  # the same; a running estimate
    updated_at: float = LONG_AGO  # ms

    @property
    def slow(self) -> bool:
        """Tell whether answers take too much of their target latency."""
        return self.median_latency > SLOW_LATENCY

    def allows(self, in_flight: float, servers: float) -> bool:
        """Tell whether as many may be in flight; `servers` are the ready ones for each gateway."""
        self.limit = max(self.limit or INITIAL_PER_SERVER * servers, MIN_PER_SERVER * servers)
        return in_flight <= self.limit

    def record(self, now: float, latency: float, in_flight: int, servers: float) -> None:
        """Take in an answer's `latency`, in target latencies, with as many attempts in flight."""
        elapsed_ms = min(now - self.updated_at, MEAN_TIME_MS / 2)
        self.updated_at = now
        weight = min(max(elapsed_ms / MEAN_TIME_MS, MIN_WEIGHT), 1 / MIN_ANSWERS)
        self.mean_latency += (min(latency, 2 * SLOW_LATENCY) - self.mean_latency) * weight
        step = SLOW_LATENCY * weight * (1.0 if latency > self.median_latency else -1.0)
        self.median_latency = max(0.0, self.median_latency + step)
        if self.slow:
            self.limit *= 1.0 - CUT_PER_S * elapsed_ms / 1000.0
        elif in_flight + 2 >= self.limit:  # a limit that is not used up is not raised
            self.limit += GROWTH_PER_S * servers * elapsed_ms / 1000.0
