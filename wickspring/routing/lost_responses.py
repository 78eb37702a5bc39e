"""Which responses are lost, told from slow ones by the size of the request and by the order of sending.

State and arithmetic without I/O or clock. Work grows with a request's size on some sites and not on others,
so the latency of a request is compared with the mean of its own size, and its share of a server's work is
that mean relative to the mean of all sizes.

A server that answers other requests is up, so one unanswered attempt does not mean that it is down: the work
may be large, or wait behind other work. Both can be told from what else is seen: the mean of the size, and
that a request which was sent to the same server later and is answered already has not waited longer in the
same queue. A response lost on the way is told by both together.
"""

from __future__ import annotations

from dataclasses import dataclass, field

OVERDUE_FACTOR = 4.0  # mean latencies of its size after which an overtaken attempt is taken to be lost
MIN_ANSWERS = 8  # in a mean, and before a mean is trusted
MIN_ANSWERS_OVERALL = 32  # the same for the mean of all sizes
MAX_SIZE = 64  # units that are told apart; larger requests count as one size

AttemptKey = tuple[int, int]
"""Numbers of the request and of its attempt."""


def _size(units: float) -> int:
    return min(int(units), MAX_SIZE)


@dataclass(slots=True)
class LatencyBySize:
    """Mean latencies by the units of a request; ms."""

    means: dict[int, tuple[float, int]] = field(default_factory=dict)  # and the answers in each, up to a few
    overall_mean: float = 0.0  # over the answers of all sizes

    def record(self, units: float, latency: float) -> None:
        """Take in an answer's latency."""
        size = _size(units)
        mean, answers = self.means.get(size, (latency, 0))
        self.means[size] = mean + (latency - mean) / MIN_ANSWERS, min(answers + 1, MIN_ANSWERS)
        self.overall_mean += (latency - self.overall_mean) / (MIN_ANSWERS_OVERALL if self.overall_mean else 1)

    def mean(self, units: float) -> float:
        """Return the mean latency of a size; 0 where none is known."""
        return self.means.get(_size(units), (0.0, 0))[0]

    def relative_work(self, units: float) -> float:
        """Return how much a request of a size adds to a server, in requests of mean size."""
        mean = self.mean(units)
        return mean / self.overall_mean if mean > 0 else 1.0

    def overdue(self, units: float, waited_ms: float) -> bool:
        """Tell whether an attempt of this size has waited for several times its mean latency."""
        mean, answers = self.means.get(_size(units), (0.0, 0))
        return answers >= MIN_ANSWERS and waited_ms >= OVERDUE_FACTOR * mean


@dataclass(slots=True)
class SendOrder:
    """One gateway's attempts in flight at a server, in the order of sending."""

    work_by_attempt: dict[AttemptKey, float] = field(default_factory=dict)
    overtaken: set[AttemptKey] = field(default_factory=set)  # those of them of which a later one is answered
    work: float = 0.0  # of all of them, in requests of mean size

    def add(self, attempt: AttemptKey, work: float = 1.0) -> None:
        """Record an attempt that is sent."""
        self.work_by_attempt[attempt] = work
        self.work += work

    def remove(self, attempt: AttemptKey, answered: bool) -> None:
        """Record an attempt's end; an answered one has overtaken all that were sent before it."""
        if attempt not in self.work_by_attempt:
            return
        if answered:
            for earlier in self.work_by_attempt:
                if earlier == attempt:
                    break
                self.overtaken.add(earlier)
        self.work -= self.work_by_attempt.pop(attempt)
        self.overtaken.discard(attempt)
        if not self.work_by_attempt:
            self.work = 0.0  # rounding must not add up

    def is_overtaken(self, attempt: AttemptKey) -> bool:
        """Tell whether one that was sent later has been answered."""
        return attempt in self.overtaken
