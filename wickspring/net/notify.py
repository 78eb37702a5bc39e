"""Tells whoever supervises this process how it is, in the form of systemd's sd_notify(3).

Datagrams of KEY=value lines to the socket that NOTIFY_SOCKET names: READY=1 once, MAINPID and STATUS again
and again, so that a supervisor that begins anew learns of a process which is up already. Nobody listening is
no trouble.
"""

from __future__ import annotations

import os
import socket
from contextlib import suppress

import trio

EVERY_S = 0.5


class Notifier:
    """Sends to one socket; without one it does nothing."""

    def __init__(self, path: str, token: str) -> None:
        self.path, self.token = path, token
        self._sock: socket.socket | None = None
        if path:
            self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            self._sock.setblocking(False)

    def tell(self, **pairs: object) -> None:
        """Send pairs, with the process's id and token."""
        if self._sock is None:
            return
        lines = [f"MAINPID={os.getpid()}", f"X_TOKEN={self.token}"]
        lines += [f"{key}={value}" for key, value in pairs.items()]
        with suppress(OSError):  # no supervisor, or one that is slow to read
            self._sock.sendto("\n".join(lines).encode(), self.path)

    async def repeat(self, status: dict[str, int], state: dict[str, str]) -> None:
        """Tell the state and the figures for as long as the process lives; both are read anew each time."""
        while self._sock is not None:
            self.tell(**state, STATUS=" ".join(f"{key}={value}" for key, value in status.items()))
            await trio.sleep(EVERY_S)
