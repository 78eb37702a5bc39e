"""How long the work that a process has begun will still take. No I/O, no clock.

Three figures are measured: how much processor time a request takes; for which share of the time of its event
loop's turns the process has a processor, as for the rest it waits behind others or is stopped; and for which
share of all time the loop waits for I/O. With N requests in progress, one more is done after about N x cost /
share, as all of them advance side by side (Little's law); sooner where some of them wait for servers.
"""

from __future__ import annotations

from wickspring.net.loop_monitor import TurnSample

# Time of turns over which the share is averaged. A shortage must be known before clients have waited long;
# that it has ended may be known later.
FALL_HORIZON_MS = 100.0
RISE_HORIZON_MS = 400.0
COST_HORIZON = 200.0  # requests, over which their cost is averaged
FIRST_COST_MS = 2.0  # taken for the cost until requests have been measured
MIN_COST_MS, MAX_COST_MS = 0.2, 10.0  # beyond which a cost is no request's: other work, or none, was measured
IDLE_HORIZON_MS = 200.0  # over which the share of idle time is averaged
SATURATED_IDLE_SHARE = 0.1  # of all time, below which the processor is what all wait for
MIN_SHARE = 0.01  # of a processor: a lower one would be a guess from a few turns
REFUSAL_COST = 0.07  # of a request's cost: what refusing one takes


class WorkEstimate:
    """The estimate of one process, from samples of its event loop."""

    def __init__(self) -> None:
        self.processor_share = 1.0  # of the time of turns, for requests that are begun
        self.idle_share = 1.0  # of all time: the loop waits for I/O
        self._cost_sum_ms = FIRST_COST_MS * COST_HORIZON
        self._cost_count = COST_HORIZON
        self._admitted = 0  # since the latest sample
        self._refused = 0

    @property
    def request_cost_ms(self) -> float:
        """Return the processor time that a request takes."""
        return min(MAX_COST_MS, max(MIN_COST_MS, self._cost_sum_ms / self._cost_count))

    def count_admitted(self) -> None:
        """Count a request that is begun."""
        self._admitted += 1

    def count_refused(self) -> None:
        """Count a request that is refused before anything is begun."""
        self._refused += 1

    @property
    def is_saturated(self) -> bool:
        """Whether the process has hardly waited for anything but a processor of late."""
        return self.idle_share < SATURATED_IDLE_SHARE

    def record_turns(self, sample: TurnSample, in_progress: int) -> None:
        """Take in a sample; `in_progress` is how many requests are: without any, it was other work."""
        processor_ms, turns_ms, idle_ms = sample
        if turns_ms <= 0.0:
            return
        all_ms = turns_ms + idle_ms
        weight = min(1.0, all_ms / IDLE_HORIZON_MS)
        self.idle_share += weight * (idle_ms / all_ms - self.idle_share)
        refusals_ms = REFUSAL_COST * self._refused * self.request_cost_ms
        self._record_share(min(1.0, max(0.0, processor_ms - refusals_ms) / turns_ms), turns_ms)
        if self._admitted or self._refused or in_progress:
            self._record_cost(max(0.0, processor_ms - refusals_ms), self._admitted)
        self._admitted = self._refused = 0

    def _record_share(self, share: float, turns_ms: float) -> None:
        horizon_ms = FALL_HORIZON_MS if share < self.processor_share else RISE_HORIZON_MS
        weight = min(1.0, turns_ms / horizon_ms)
        self.processor_share = max(MIN_SHARE, (1.0 - weight) * self.processor_share + weight * share)

    def _record_cost(self, processor_ms: float, count: int) -> None:
        kept = max(0.0, 1.0 - count / COST_HORIZON)
        self._cost_sum_ms = kept * self._cost_sum_ms + processor_ms
        self._cost_count = kept * self._cost_count + count

    def time_ms(self, requests: int) -> float:
        """Return how long this process takes for so many requests that are in progress together."""
        return requests * self.request_cost_ms / self.processor_share
