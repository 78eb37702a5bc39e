"""Overload control: while requests lie unread for too long, fewer may be in progress. No I/O, no clock.

A process that gets less processor time than its requests need takes ever longer turns of its event loop. What
arrives meanwhile waits in the kernel, and each step of a request waits for a turn of its own, until clients
give up and all work is for nothing. So requests beyond a limit are refused while they are cheap, by the delay
that is measured: how long requests lie unread, as a share of the time that their clients wait. The delay is
averaged over short windows and must stand for a while, as in CoDel (RFC 8289), unless it is very long; the
limit is cut by a factor and grows by steps.
"""

from __future__ import annotations

import math

WINDOW_MS = 100.0  # over which the delay is averaged
TARGET_SHARE = 0.05  # of a client's time: a request has some five steps, and each waits about as long
URGENT_SHARE = 0.2  # at which the limit is cut at once
STANDING_MS = 200.0  # for which the delay must have been above the target: one late turn is no overload
FIRST_CUT = 0.7  # of the requests in progress, when the delay has stood for so long
FURTHER_CUT = 0.8  # of the limit, for each further window above the target
GROWTH = 0.1  # of the limit, for each window below the target,
GROWTH_STEP = 1.0  # and requests
MIN_LIMIT = 4.0  # requests in progress


class OverloadLimiter:
    """The limit of one process. Times are milliseconds of one clock that does not go back."""

    def __init__(self) -> None:
        self.limit = math.inf  # requests in progress
        self.cuts = 0
        self.least_limit = -1.0  # that there has been; -1: none
        self.delay_share = 0.0  # of the clients' time, mean of the last window
        self._window_began_at = -math.inf
        self._sum = 0.0
        self._count = 0
        self._cut_at = -math.inf
        self._above_since = math.inf  # since when each window has been above the target

    def admits(self, in_progress: int) -> bool:
        """Tell whether one more request may be in progress."""
        return in_progress < self.limit

    def record(self, now: float, unread_ms: float, budget_ms: float, in_progress: int) -> None:
        """Take in how long a request lay unread, of how long its client waits in all.

        `in_progress` is how many other requests are. A budget of infinity is no limit of the client's. What
        arrived before the last cut says nothing of its effect and is left out.
        """
        if now - unread_ms < self._cut_at:
            return
        if now >= self._window_began_at + WINDOW_MS:
            self._end_window(now, in_progress)
        self._sum += min(1.0, unread_ms / max(1.0, budget_ms))
        self._count += 1

    def _end_window(self, now: float, in_progress: int) -> None:
        self.delay_share = self._sum / self._count if self._count else 0.0
        self._window_began_at = now
        self._sum, self._count = 0.0, 0
        if self.delay_share <= TARGET_SHARE:
            self._above_since = math.inf
            self._grow(in_progress)
        else:
            self._above_since = min(self._above_since, now)
            if now - self._above_since >= STANDING_MS or self.delay_share >= URGENT_SHARE:
                self._cut(now, in_progress)

    def _cut(self, now: float, in_progress: int) -> None:
        self._cut_at = now
        cut = FIRST_CUT * in_progress if math.isinf(self.limit) else FURTHER_CUT * self.limit
        self.limit = max(MIN_LIMIT, cut)
        self.cuts += 1
        self.least_limit = self.limit if self.least_limit < 0 else min(self.least_limit, self.limit)

    def _grow(self, in_progress: int) -> None:
        """Raise the limit, and lift it once it binds no more."""
        self.limit += GROWTH_STEP + GROWTH * self.limit
        if self.limit > 2.0 * in_progress + MIN_LIMIT:
            self.limit = math.inf
