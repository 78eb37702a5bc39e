"""What a client connection of either front knows of its own end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import trio

from wickspring.net.clock import Clock
from wickspring.net.delivery import DeliveryWatch, close_after_delivery
from wickspring.net.link import Link
from wickspring.net.unanswered import EndReason

if TYPE_CHECKING:
    from wickspring.net.http_server import HttpServer


class FrontConnection(ABC):
    """A client connection that keeps why it ends; subclasses read requests and write responses."""

    def __init__(self, link: Link, server: HttpServer) -> None:
        self.link = link
        self.accepted_at = self.last_received_at = server.clock.now()
        self.arrived_at = self.last_received_at  # when the latest bytes were in the kernel, ms
        self.closing = False  # nothing more is written
        self.end_reason: EndReason | None = None  # why this connection ends, once that is known
        self._delivery = DeliveryWatch(link, server.clock)

    async def run(self) -> None:
        """Read until the client leaves or this side has written its last response."""
        try:
            await self._read()
        except trio.Cancelled:
            self._set_end_reason(EndReason.PROCESS_ENDED)
            raise
        except Exception:
            self._set_end_reason(EndReason.INTERNAL_ERROR)
            raise

    @abstractmethod
    async def _read(self) -> None:
        """Read until the connection ends."""

    @abstractmethod
    def _has_request(self) -> bool:
        """Tell whether a response is owed."""

    def _note_arrival(self, clock: Clock) -> None:
        """Note when what has just been read had arrived: its client's time runs from then."""
        self.arrived_at = clock.now() - self.link.unread_ms()

    async def _on_read_end(self, data: bytes | None) -> None:
        """Note the end of what the client sends: b"" in good order, None where the connection has ended."""
        if data is None:
            self._set_end_reason(EndReason.CLIENT_RESET)
            return
        if not self._has_request():
            await self.link.wait_writable()  # it may have closed its own direction alone
        self._set_end_reason(EndReason.CLIENT_CLOSED)

    def _set_end_reason(self, reason: EndReason) -> None:
        """Note why this connection ends, unless that is known already."""
        if self.end_reason is not None:
            return
        closed_by_link = reason is EndReason.CLIENT_RESET and self.link.closed
        self.end_reason = EndReason.CLIENT_NOT_READING if closed_by_link else reason

    def _close(self, reason: EndReason) -> None:
        """Close it at once."""
        self._set_end_reason(reason)
        self.link.close()

    def _finish_link(self, server: HttpServer) -> None:
        """Close it once all that has been written has left, and the client has had time to read it."""
        self.closing = True
        self.link.finish()
        close_after_delivery(self.link, server)

    def close_if_lingering(self) -> bool:
        """Close it where its last response has left and it only waits for its client to close; tell whether.

        The kernel still delivers what it has taken. Bytes that have come and are not read would make it reset
        the connection instead, so such a one stays.
        """
        lingers = self.closing and self.link.flushed and not self.link.broken
        if not lingers or self.link.peek() is not None:
            return False
        self.link.close()
        return True

    def close_if_unread(self, reason: EndReason) -> None:
        """Close it now, unless bytes have arrived that are not read yet."""
        if self.link.peek() is None:
            self._close(reason)
