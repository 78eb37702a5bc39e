"""The part of a long request body that is not held: it goes from client to ticket server as it comes."""

from __future__ import annotations

import trio

PIECE = 32 * 1024  # bytes that may wait here; past it the client is not read


class Feed:
    """Bytes on their way, put in by a front and taken out by a connection to a ticket server."""

    def __init__(self, length: int | None) -> None:
        self.length = length  # of the whole body, what is held included; None where it is not told ahead
        self.ended = False  # its last byte has been put in
        self.closed = False  # nobody takes any more, or no more will come
        self._waiting = bytearray()
        self._moved = trio.Event()

    def _move(self) -> None:
        moved, self._moved = self._moved, trio.Event()
        moved.set()

    def put(self, data: bytes) -> None:
        """Put bytes in; who does so minds `full` first."""
        if not self.closed:
            self._waiting += data
            self._move()

    def end(self) -> None:
        """Say that the last byte has been put in."""
        self.ended = True
        self._move()

    def close(self) -> None:
        """Let nobody wait any longer."""
        self.closed = True
        self._waiting.clear()
        self._move()

    @property
    def full(self) -> bool:
        """Tell whether the client is not to be read for now."""
        return len(self._waiting) >= PIECE and not self.closed

    async def room(self) -> None:
        """Wait until something may be put in, or nobody takes any more."""
        while self.full:
            await self._moved.wait()

    async def ready(self) -> bool:
        """Wait until there is something to take; False where the body has ended or was closed."""
        while not (self._waiting or self.ended or self.closed):
            await self._moved.wait()
        return bool(self._waiting)

    def take(self) -> bytes:
        """Take all that waits."""
        data = bytes(self._waiting)
        self._waiting.clear()
        self._move()
        return data
