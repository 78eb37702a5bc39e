"""A customer's cap on concurrent attempts; one gateway sees its own attempts alone. No I/O, no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

from wickspring.interface import LONG_AGO

MEAN_TIME_MS = 1000.0  # time constant of the exponential mean of attempts in flight
REMOTE_BURSTINESS = 1.3  # factor on the mean for requests at other gateways: they come in bursts too


@dataclass(slots=True)
class InFlight:
    """One gateway's attempts in flight for a customer."""

    count: int = 0
    mean: float = 0.0  # of `count`, an exponential mean up to `updated_at`
    updated_at: float = LONG_AGO  # ms

    def add(self, now: float, step: int) -> None:
        """Count an attempt that begins (`step` 1) or ends (-1)."""
        self._update_mean(now)
        self.count += step

    def at_cap(self, now: float, cap: int, spread: int, remote_ratio: float | None) -> bool:
        """Tell whether as many attempts are in flight, at all of `spread` gateways, as `cap` allows.

        `remote_ratio` is the use at the other gateways relative to that here; None where no totals tell it.
        Attempts elsewhere are estimated in proportion to it: with an even share of the cap for each gateway,
        every third request of a customer far below its cap was refused.
        """
        if remote_ratio is None:
            return self.count >= max(1, cap // spread)
        self._update_mean(now)
        return self.count > 0 and self.count + 1 + REMOTE_BURSTINESS * self.mean * remote_ratio > cap

    def _update_mean(self, now: float) -> None:
        weight = 1.0 - math.exp(min(0.0, self.updated_at - now) / MEAN_TIME_MS)
        self.mean += (self.count - self.mean) * weight
        self.updated_at = now
