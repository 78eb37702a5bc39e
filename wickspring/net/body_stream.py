"""The part of a long request body that is not buffered whole: it goes on to the server as it arrives."""

from __future__ import annotations

import trio

BUFFER_BYTES = 32 * 1024  # that may wait in a stream; past it the client is not read


class BodyStream:
    """Bytes of one request body, written by a front and read by a connection to a server."""

    def __init__(self, content_length: int | None) -> None:
        self.content_length = content_length  # of the whole body; None where the client did not declare it
        self.ended = False  # the last byte has been written
        self.closed = False  # nobody reads any more, or no more will be written
        self._buffer = bytearray()
        self._changed = trio.Event()

    def _wake_waiters(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def write(self, data: bytes) -> None:
        """Append bytes, or drop them once the stream is closed; the writer checks `is_full` first."""
        if not self.closed:
            self._buffer += data
            self._wake_waiters()

    def write_eof(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._wake_waiters()

    def close(self) -> None:
        """Discard what waits and wake both sides."""
        self.closed = True
        self._buffer.clear()
        self._wake_waiters()

    @property
    def is_full(self) -> bool:
        """Whether the client is not to be read for now."""
        return len(self._buffer) >= BUFFER_BYTES and not self.closed

    async def wait_writable(self) -> None:
        """Wait until more may be written, or nobody reads any more."""
        while self.is_full:
            await self._changed.wait()

    async def wait_readable(self) -> bool:
        """Wait for bytes to read; False where the body has ended or was closed."""
        while not (self._buffer or self.ended or self.closed):
            await self._changed.wait()
        return bool(self._buffer)

    def read_available(self) -> bytes:
        """Return all bytes that wait, without waiting for more."""
        data = bytes(self._buffer)
        self._buffer.clear()
        self._wake_waiters()
        return data
