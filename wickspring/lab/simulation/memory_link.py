"""A connection in memory, with the part of `net.link.Link`'s interface that peer connections use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Self

import trio

from wickspring.net.link import READ_SIZE


class MemoryLink:
    """One end of a connection in memory: no delay, nothing lost unless the path is cut."""

    def __init__(self, local: str, remote: str, can_deliver: Callable[[], bool] = lambda: True) -> None:
        self.local = local
        self.remote = remote
        self.broken = False
        self._can_deliver = can_deliver
        self._peer: MemoryLink | None = None
        self._received = bytearray()
        self._peer_finished = False
        self._changed = trio.Event()

    def attach(self, peer: Self) -> None:
        """Make this and another link the two ends of one connection."""
        self._peer = peer
        peer._peer = self

    def send(self, data: bytes) -> None:
        """Deliver data to the other end at once; it is dropped where the link or the path is broken."""
        peer = self._peer
        if peer is None or self.broken or peer.broken or not self._can_deliver():
            return
        peer._received += data
        peer._wake()

    async def receive(self) -> bytes | None:
        """Return received data, b"" at the peer's end of stream, or None after a close here."""
        while not self._received:
            if self.broken:
                return None
            if self._peer_finished:
                return b""
            await self._changed.wait()
            self._changed = trio.Event()
        data = bytes(self._received[:READ_SIZE])
        del self._received[:READ_SIZE]
        return data

    def finish(self) -> None:
        """Send the end of the stream; reading goes on."""
        peer = self._peer
        if peer is not None and self._can_deliver():
            peer._peer_finished = True
            peer._wake()

    def close(self) -> None:
        """Close the connection and wake the reader here."""
        if not self.broken:
            self.finish()
            self.broken = True
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
