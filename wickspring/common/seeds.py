"""The control-plane nodes that the settings file names as seeds.

The file is read again while no known node is reachable. It may change at any time: a process that was
unreachable while all seeds were replaced finds the new ones there.
"""

from __future__ import annotations

from wickspring.common import logs, settings_file
from wickspring.common.errors import GatewayError
from wickspring.common.settings import NodeSettings, parse_settings

REREAD_INTERVAL_MS = 2000.0  # without a reachable node, until the file is read (again)


class SeedList:
    """The IPs of the seeds, as the settings file names them."""

    def __init__(self, settings: NodeSettings) -> None:
        self._ips = settings.seed_ips()
        self._last_reached_at_ms: float | None = None  # or when the file was last read, if that is later

    def ips(self, now: float, reached: bool) -> list[str]:
        """Return the seeds.

        Args:
            now: the time, in milliseconds.
            reached: whether any control-plane node is reachable; if none has been for
                `REREAD_INTERVAL_MS`, the file is read again.
        """
        if reached or self._last_reached_at_ms is None:
            self._last_reached_at_ms = now
        elif now - self._last_reached_at_ms > REREAD_INTERVAL_MS:
            self._last_reached_at_ms = now
            self._reread()
        return self._ips

    def _reread(self) -> None:
        try:
            self._ips = parse_settings(settings_file.read_settings_file()).seed_ips()
        except GatewayError as error:
            logs.log_event("settings_invalid", reason=error)
