"""What is lately used of a budget here, and wanted in vain: who asks for rights and who lends goes by it."""

from __future__ import annotations

from dataclasses import dataclass

REFUSAL_MEMORY_MS = 1500.0  # for which a refused right is remembered as wanted
PEAK_MEMORY_HOLDS = 2.0  # holds of the budget over which the peak of concurrent use is remembered
NEVER = -1e12


@dataclass(slots=True)
class RecentUsage:
    """The use of one budget; times are ms."""

    peak: int = 0
    previous_peak: int = 0
    period_started_at: float = 0.0
    refused: int = 0
    refused_at: float = NEVER

    def record(self, now: float, in_use: int, hold_ms: float) -> None:
        """Record how many rights of a budget of this hold are in use."""
        period_ms = PEAK_MEMORY_HOLDS * hold_ms
        while now - self.period_started_at >= period_ms:  # twice at most: after a long time both are empty
            self.previous_peak = self.peak
            self.peak = 0
            self.period_started_at = max(self.period_started_at + period_ms, now - 2.0 * period_ms)
        self.peak = max(self.peak, in_use)

    @property
    def recent_peak(self) -> int:
        """The most rights that were in use at once lately."""
        return max(self.peak, self.previous_peak)

    def is_wanted(self, now: float) -> bool:
        """Tell whether a right was refused lately."""
        return now - self.refused_at < REFUSAL_MEMORY_MS

    def refuse(self, now: float, most: int) -> None:
        """Record that a right was refused; at most `most` are remembered as wanted."""
        self.refused = min(most, self.refused + 1 if self.is_wanted(now) else 1)
        self.refused_at = now

    def satisfy(self) -> None:
        """Record that there are free rights again."""
        self.refused_at = NEVER
