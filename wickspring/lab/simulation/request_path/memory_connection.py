"""A connection in memory, between a data plane and a server or client."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from random import Random

import trio

LATENCY_S = 0.002  # one way


@dataclass(slots=True)
class _Segment:
    """Bytes, or an end, on their way to the data plane."""

    arrives_at: float  # seconds of virtual time
    data: bytes
    end: str


class DataPlaneEnd:
    """The data plane's end: what `net.link.Link` is to a socket."""

    def __init__(self, random: Random, kernel_bytes: float) -> None:
        self.random = random
        self.kernel_bytes = kernel_bytes  # that the kernels of both sides buffer
        self.broken = False
        self.has_answered = False  # a request, before the task that serves the connection began
        self.bytes_queued = 0  # bytes to send
        self.bytes_sent = 0  # of which the kernel has taken
        self.bytes_read = 0  # of the peer's, by the data plane
        self.peer = PeerEnd(self)
        self._closing = False
        self._shut = False
        self._unsent = bytearray()
        self._unread = bytearray()
        self._last_arrival_at = trio.current_time()  # of bytes, in the kernel
        self._end = ""
        self._in_transit: deque[_Segment] = deque()
        self._moved = trio.Event()

    def wake(self) -> None:
        """Wake the task that waits at this end."""
        self._moved.set()
        self._moved = trio.Event()

    def arrive_later(self, data: bytes, end: str = "") -> None:
        """Have bytes, or an end (`end` or `reset`), arrive here after the latency."""
        self._in_transit.append(_Segment(trio.current_time() + LATENCY_S, data, end))
        self.wake()

    def _arrive(self) -> None:
        while self._in_transit and self._in_transit[0].arrives_at <= trio.current_time():
            segment = self._in_transit.popleft()
            self._unread += segment.data
            self._last_arrival_at = segment.arrives_at
            self._end = self._end or segment.end
            if segment.end == "reset" and self.random.random() < 0.5:
                self._unread.clear()

    @property
    def flushed(self) -> bool:
        """True once the kernel has taken every byte."""
        return self.bytes_sent == self.bytes_queued

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return self._closing

    def send(self, data: bytes) -> None:
        """Write what the kernel takes."""
        self.bytes_queued += len(data)
        self._arrive()
        if self.broken or self._shut or not data:
            return
        if self._end == "reset":
            self.broken = True
            return
        self._unsent += data
        self.flush()

    def flush(self) -> None:
        """Let the kernel take what it has room for."""
        if self.broken:
            return
        room = int(min(len(self._unsent), max(0, self.kernel_bytes - self.peer.unread)))
        if room:
            self.peer.received += self._unsent[:room]
            del self._unsent[:room]
            self.bytes_sent += room
            self.peer.wake()
        if self._shut and not self._unsent:
            self.peer.end()
        self.wake()

    async def wait_writable(self) -> bool:
        """Wait until all is taken."""
        while self._unsent and not self.broken:
            await self._moved.wait()
        return not self.broken

    async def receive(self) -> bytes | None:
        """Return what has come, as a socket would."""
        while True:
            if self._closing:
                return None
            self._arrive()
            if self._unread:
                size = self.random.choice((1, 7, 65536, 65536, 65536))
                data = bytes(self._unread[:size])
                del self._unread[:size]
                self.bytes_read += len(data)
                return data
            if self._end == "reset":
                self.broken = True
                return None
            if self._end:
                return b""
            with trio.move_on_at(self._in_transit[0].arrives_at if self._in_transit else math.inf):
                await self._moved.wait()

    def peek(self) -> bytes | None:
        """Return a byte that has come, b"" at the end, None if nothing has."""
        self._arrive()
        if self.broken or (self._end and not self._unread):
            return b""
        return bytes(self._unread[:1]) or None

    def unread_ms(self) -> float:
        """Return how long ago the latest bytes arrived in the kernel."""
        return 1000.0 * (trio.current_time() - self._last_arrival_at)

    def finish(self) -> None:
        """Send nothing more."""
        self._shut = True
        self.flush()

    def abort(self) -> None:
        """Close with a reset."""
        self.peer.reset = True
        self.close()

    def close(self) -> None:
        """Close at once."""
        self.broken = True
        self._closing = True
        self.peer.end()
        self.wake()


class PeerEnd:
    """The end of a server or client."""

    def __init__(self, near: DataPlaneEnd) -> None:
        self.data_plane_end = near
        self.received = bytearray()  # and not read yet
        self.ended = False  # by the data plane
        self.reset = False  # by the data plane
        self.gone = False  # closed by the peer itself
        self.bytes_sent = 0  # to the data plane
        self._moved = trio.Event()
        self._known = 0  # bytes received when the peer last looked

    @property
    def unread(self) -> int:
        """How many bytes the kernels between hold."""
        return len(self.received) - self._known

    def wake(self) -> None:
        """Wake the task that waits at this end."""
        self._moved.set()
        self._moved = trio.Event()

    def end(self) -> None:
        """Take note that the data plane has closed its end."""
        self.ended = True
        self.wake()

    async def wait_for_more(self) -> bool:
        """Wait for further bytes; return False at the end."""
        before = len(self.received)
        self._known = before
        self.data_plane_end.flush()
        while len(self.received) <= before and not self.ended:
            await self._moved.wait()
        return len(self.received) > before

    async def read(self, size: int) -> bytes:
        """Return so many bytes, or fewer at the end."""
        taken = b""
        while len(taken) < size:
            if not self.received and not await self.wait_for_more():
                break
            piece = bytes(self.received[: size - len(taken)])
            del self.received[: len(piece)]
            self._known = max(0, self._known - len(piece))
            taken += piece
        return taken

    async def read_until(self, mark: bytes) -> bytes:
        """Return bytes up to and with a mark; none where it does not come."""
        while mark not in self.received:
            if not await self.wait_for_more():
                return b""
        return await self.read(self.received.index(mark) + len(mark))

    def send(self, data: bytes) -> None:
        """Send bytes."""
        if not self.gone and data:
            self.bytes_sent += len(data)
            self.data_plane_end.arrive_later(data)

    def close(self, how: str = "end") -> None:
        """Close this end: `end` in good order, `reset` at once."""
        if not self.gone:
            self.gone = True
            self.data_plane_end.arrive_later(b"", how)
