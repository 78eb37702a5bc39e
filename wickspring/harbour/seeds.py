"""The lighthouses that the settings file names, read again while none of those known is in reach.

The file may change at any time, with a signal or without: a process that was away while all seeds were
exchanged for other machines finds the new ones there.
"""

from __future__ import annotations

from wickspring.harbour import lines, log
from wickspring.harbour.boot import Boot, read
from wickspring.harbour.kinds import FaultError

LOST_MS = 2000.0  # without any lighthouse, after which the file is read again, and then as often


class Seeds:
    """What the settings file says of seeds."""

    def __init__(self, boot: Boot) -> None:
        self._ips = boot.seed_ips()
        self._reached_at: float | None = None

    def ips(self, now: float, reached: bool) -> list[str]:
        """Return the seeds; with nobody reached for a while, as the file names them now."""
        if reached or self._reached_at is None:
            self._reached_at = now
        elif now - self._reached_at > LOST_MS:
            self._reached_at = now
            try:
                self._ips = read(lines.load()).seed_ips()
            except FaultError as error:
                log.event("settings_bad", reason=error)
        return self._ips
