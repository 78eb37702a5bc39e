"""The retry budget: how many attempts beyond each request's first all data planes may send to a service.

Each data plane earns a share of its own first attempts and has an even part of the rule's slack, so the sum
over all data planes stays under the bound without any communication. `request.retry_budgets` keeps a budget
for each service, with ratio and slack of the settings; a priority changes nothing. No I/O; times are
milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

EARNED_SHARE = 0.85  # of the rule's ratio
SLACK_SHARE = 0.6  # of the rule's slack that is handed out; a restarted data plane has its part again
BUCKET_MS = 500.0
DEFAULT_DATA_PLANE_COUNT = 32  # assumed until the control plane reports how many there are


@dataclass(slots=True)
class _Bucket:
    number: int
    first_attempts: int = 0
    retries: int = 0


class RetryBudget:
    """The further attempts to one service over a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.first_attempts = 0
        self.retries = 0
        self._bucket_count = int(1000.0 * window_s / BUCKET_MS)
        self._buckets: deque[_Bucket] = deque()  # oldest first

    def _current_bucket(self, now: float) -> _Bucket:
        number = int(now / BUCKET_MS)
        while self._buckets and self._buckets[0].number < number - self._bucket_count:
            expired = self._buckets.popleft()
            self.first_attempts -= expired.first_attempts
            self.retries -= expired.retries
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def record_first(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._current_bucket(now).first_attempts += 1
        self.first_attempts += 1

    def available(self, now: float, data_plane_count: int) -> float:
        """Return how many further attempts may be sent now; a count of 0 means that it is not known."""
        self._current_bucket(now)
        slack = SLACK_SHARE * self.slack / (data_plane_count or DEFAULT_DATA_PLANE_COUNT)
        return slack + EARNED_SHARE * self.ratio * self.first_attempts - self.retries

    def try_acquire(self, now: float, data_plane_count: int) -> bool:
        """Take one further attempt from the budget; return False where none is available."""
        if self.available(now, data_plane_count) < 1.0:
            return False
        self._current_bucket(now).retries += 1
        self.retries += 1
        return True
