"""Whether somebody lives, by the pauses between its beats (phi accrual)."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

PAUSES = 20  # pauses between beats that the judgement remembers
LEAST_DEVIATION = 0.25  # of the mean pause: beats over a calm network come too evenly to judge by
SLOW_TIMES = 3.0  # the mean pause over the usual one from which a member is called slow


@dataclass(slots=True)
class PhiAccrualDetector:
    """The pauses between a member's beats, by the hearer's own clock; seconds."""

    last: float
    pauses: deque[float] = field(default_factory=lambda: deque(maxlen=PAUSES))
    mean: float = 0.0
    deviation: float = 0.0

    def beat(self, now: float) -> None:
        """Note a beat."""
        self.pauses.append(max(0.0, now - self.last))
        self.last = now
        self.mean = sum(self.pauses) / len(self.pauses)
        variance = sum((pause - self.mean) ** 2 for pause in self.pauses) / len(self.pauses)
        self.deviation = math.sqrt(variance)

    def phi(self, now: float, usual: float) -> float:
        """Return -log10 of the chance that the next beat is still to come after so long a pause."""
        mean = max(usual, self.mean)
        deviation = max(self.deviation, LEAST_DEVIATION * mean) if self.pauses else mean
        late = (now - self.last - mean) / deviation
        if late <= 0.0:
            return 0.0
        # The normal distribution's tail, by a logistic curve that is close to it (Bowling, 2009).
        power = late * (1.5976 + 0.070565 * late * late)
        return power / math.log(10.0) if power > 30.0 else math.log10(1.0 + math.exp(power))

    def slow(self, usual: float) -> bool:
        """Tell whether its beats have been coming late."""
        return len(self.pauses) >= 3 and self.mean > SLOW_TIMES * usual
