"""Limits on dials: a token bucket, a window of concurrent dials, and the pause after failures. No I/O."""

from __future__ import annotations

from random import Random

from wickspring.connections.backoff import jittered
from wickspring.connections.limits import ConnectionLimits

MIN_WINDOW = 4.0  # dials
WINDOW_CUT = 0.7  # part of the window that is kept at each cut
MIN_CUT_INTERVAL_MS = 100.0
FAILURE_MEMORY_MS = 1000.0  # servers whose dials failed within so long count towards a cut,
MIN_FAILING_SERVERS = 3  # which takes so many of them
MIN_FAILING_SHARE = 0.1  # and such a share of all servers
LONG_AGO = -1e12
ROUNDING = 1e-9  # of sums of refills
MAX_PAUSE_DOUBLINGS = 20


class TokenBucket:
    """So many tokens a second, and at most a tenth of a second's worth at once."""

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, per_s: float) -> None:
        self.rate, self.burst = per_s / 1000.0, max(1.0, per_s / 10.0)
        self.level, self.refilled_at = self.burst, 0.0

    def _refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + max(0.0, now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def has_token(self, now: float) -> bool:
        """Tell whether a token may be taken."""
        self._refill(now)
        return self.level >= 1.0 - ROUNDING

    def take(self, now: float) -> None:
        """Take one token."""
        self._refill(now)
        self.level -= 1.0


def redial_pause_ms(limits: ConnectionLimits, failures: int, random: Random) -> float:
    """Return how long to leave a server alone after so many failed dials in a row, with jitter."""
    doublings = min(failures - 1, MAX_PAUSE_DOUBLINGS)
    longest = min(limits.pause_most_ms, limits.pause_first_ms * 2.0**doublings)
    return jittered(longest, random)


class DialWindow:
    """How many dials may be in progress at once: cut while many servers' dials fail, grown by successes.

    One server that is down says nothing of the others, so it takes several to cut. After an outage that hits
    all, dials that would time out anyhow only take the servers' time away from requests.
    """

    __slots__ = ("_cut_at", "_failed_at", "max_size", "min_size", "size")

    def __init__(self, max_size: int) -> None:
        self.max_size = float(max_size)
        self.min_size = min(self.max_size, MIN_WINDOW)
        self.size = self.max_size
        self._failed_at: dict[bytes, float] = {}  # by server, the earliest first
        self._cut_at = LONG_AGO

    def dial_failed(self, now: float, server: bytes, server_count: int) -> None:
        """Record a failed dial, to one of so many servers."""
        self._failed_at.pop(server, None)
        self._failed_at[server] = now
        self._forget_failures_before(now - FAILURE_MEMORY_MS)
        needed = max(MIN_FAILING_SERVERS, MIN_FAILING_SHARE * server_count)
        if len(self._failed_at) >= needed and now >= self._cut_at + MIN_CUT_INTERVAL_MS:
            self.size = max(self.min_size, WINDOW_CUT * self.size)
            self._cut_at = now

    def _forget_failures_before(self, time: float) -> None:
        while next(iter(self._failed_at.values())) < time:
            del self._failed_at[next(iter(self._failed_at))]

    def dial_succeeded(self) -> None:
        """Record a dial that came up."""
        self.size = min(self.max_size, self.size + 1.0 / self.size)
