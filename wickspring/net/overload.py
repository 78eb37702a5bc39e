"""Overload control: a process that runs late begins no more than it can answer in time. No I/O, no clock.

A process that gets less processor time than its requests need takes ever longer turns of its event loop. What
arrives meanwhile waits in the kernel, and each step of a request waits for a turn of its own, until clients
give up and all work is for nothing. Once a request has lain unread for long, further ones are begun only
where those in progress leave them time: admission by the work that can be done, as in Breakwater (Cho et al.,
2020), reckoned in processor time (`WorkEstimate`). A late turn alone refuses nothing, nor do slow servers:
while they work, requests are read in time.
"""

from __future__ import annotations

import math

from wickspring.net.work_estimate import WorkEstimate

LATE_SHARE = 0.03  # of a client's time that a request has lain unread: from then on the process runs late
LATE_FOR_MS = 1000.0  # after the latest request that has lain unread for so long
# Of the time that a client still has, the part in which begun work is to be done. The rest is for servers,
# for requests that need more steps than most, and for what lies unread meanwhile. A burst may use that part,
# and so may requests that wait for servers. In a shortage that stays, with all waiting for the processor,
# more in progress only wait longer (a standing queue, RFC 8289).
BURST_SHARE = 0.35
STANDING_SHARE = 0.1
HALVED_EACH_MS = 500.0  # of a time in which requests are refused
REFUSING_FOR_MS = 1000.0  # after the latest refusal; then the next is of another burst
MIN_IN_PROGRESS = 4  # requests that may be in progress in any case


class OverloadLimiter:
    """The admission of one process. Times are milliseconds of one clock that does not go back."""

    def __init__(self, work: WorkEstimate) -> None:
        self._work = work
        self._late_until = -math.inf
        self._refusing_since = -math.inf
        self._refusing_until = -math.inf
        self.late_spells = 0  # times in which the process ran late, one after another
        self.least_refused_at: int | None = None  # requests in progress, where one more was refused

    def runs_late(self, now: float) -> bool:
        """Tell whether requests have lain unread for long, now or lately."""
        return now < self._late_until

    def record(self, now: float, unread_ms: float, budget_ms: float) -> None:
        """Take in how long a request lay unread, of how long its client waits in all.

        A budget of infinity is no limit of the client's.
        """
        if unread_ms > LATE_SHARE * budget_ms:
            self.late_spells += not self.runs_late(now)
            self._late_until = now + LATE_FOR_MS

    def admits(self, now: float, left_ms: float, in_progress: int) -> bool:
        """Tell whether one more request may be begun, whose client waits for `left_ms` from now on."""
        if not self.runs_late(now) or in_progress < MIN_IN_PROGRESS:
            return True
        if self._work.time_ms(in_progress + 1) <= self._answered_share(now) * left_ms:
            return True
        self._note_refusal(now, in_progress)
        return False

    def _answered_share(self, now: float) -> float:
        """Return the part of the clients' time in which begun work is to be done."""
        if now >= self._refusing_until or not self._work.is_saturated:
            return BURST_SHARE
        halvings = (now - self._refusing_since) / HALVED_EACH_MS
        return max(STANDING_SHARE, BURST_SHARE * math.exp2(-halvings))

    def _note_refusal(self, now: float, in_progress: int) -> None:
        if now >= self._refusing_until:
            self._refusing_since = now
        self._refusing_until = now + REFUSING_FOR_MS
        known = self.least_refused_at
        self.least_refused_at = in_progress if known is None else min(known, in_progress)
