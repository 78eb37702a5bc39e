"""The lighthouses that the settings file names, read again while none of those known is in reach.

The file may change at any time, with a signal or without: a process that was away while all seeds were
exchanged for other machines finds the new ones there.
"""

from __future__ import annotations

from wickspring.common import logs, settings_file
from wickspring.common.errors import GatewayError
from wickspring.common.settings import NodeSettings, parse_settings

REREAD_AFTER_MS = 2000.0  # without any lighthouse, after which the file is read again, and then as often


class SeedList:
    """What the settings file says of seeds."""

    def __init__(self, settings: NodeSettings) -> None:
        self._ips = settings.seed_ips()
        self._reached_at: float | None = None

    def ips(self, now: float, reached: bool) -> list[str]:
        """Return the seeds; with nobody reached for a while, as the file names them now."""
        if reached or self._reached_at is None:
            self._reached_at = now
        elif now - self._reached_at > REREAD_AFTER_MS:
            self._reached_at = now
            try:
                self._ips = parse_settings(settings_file.read_settings_file()).seed_ips()
            except GatewayError as error:
                logs.log_event("settings_invalid", reason=error)
        return self._ips
