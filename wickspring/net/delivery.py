"""The delivery of what has been written for a client: until the kernel has taken it, and a while beyond."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from wickspring.net.clock import Clock
from wickspring.net.link import Link

if TYPE_CHECKING:
    from wickspring.net.http_server import HttpServer

LINGER_MS = 1000.0  # for the client to close once the last response has left (RFC 9112, section 9.6)
READ_TIMEOUT_MS = 15_000.0  # for a client that reads nothing of its response


class DeliveryWatch:
    """Tells when a client has stopped reading; to be asked every few hundred milliseconds."""

    __slots__ = ("_clock", "_link", "_moved_at", "_taken")

    def __init__(self, link: Link, clock: Clock) -> None:
        self._link = link
        self._clock = clock
        self._taken = link.bytes_sent
        self._moved_at = clock.now()

    def has_stalled(self) -> bool:
        """Return whether bytes wait of which the kernel has taken none for `READ_TIMEOUT_MS`."""
        now = self._clock.now()
        if self._link.flushed or self._link.bytes_sent > self._taken:
            self._taken = self._link.bytes_sent
            self._moved_at = now
            return False
        return now - self._moved_at > READ_TIMEOUT_MS


def close_after_delivery(link: Link, server: HttpServer) -> None:
    """Close a connection a while after all has left; a client that reads slowly gets its response whole."""
    if link.flushed or link.broken:
        server.call_later(LINGER_MS, link.close)
    else:
        server.call_later(LINGER_MS, partial(close_after_delivery, link, server))
