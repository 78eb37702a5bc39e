"""A connection in memory, between a data plane and a server or client."""

from __future__ import annotations

import math
from collections import deque
from random import Random

import trio

LATENCY_S = 0.002  # one way


class DataPlaneEnd:
    """The pilot's end of a connection in memory: what `net.link.Link` is to a socket."""

    def __init__(self, random: Random, most: float) -> None:
        self.random, self.most = random, most  # bytes that the kernels between hold
        self.broken = self._closing = self._shut = False
        self.given = self.taken = 0
        self._unsent, self._in, self._end = bytearray(), bytearray(), ""
        self._coming: deque[tuple[float, bytes, str]] = deque()
        self._moved, self.far = trio.Event(), PeerEnd(self)

    def move(self) -> None:
        """Wake whoever waits at this end."""
        moved, self._moved = self._moved, trio.Event()
        moved.set()

    def come(self, data: bytes, end: str = "") -> None:
        """Send bytes or an end on their way here."""
        self._coming.append((trio.current_time() + LATENCY_S, data, end))
        self.move()

    def _arrive(self) -> None:
        while self._coming and self._coming[0][0] <= trio.current_time():
            _, data, end = self._coming.popleft()
            self._in += data
            self._end = self._end or end
            if end == "reset" and self.random.random() < 0.5:
                self._in.clear()

    @property
    def flushed(self) -> bool:
        """True once the kernel has taken every byte."""
        return self.taken == self.given

    def send(self, data: bytes) -> None:
        """Write what the kernel takes."""
        self.given += len(data)
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
        room = int(min(len(self._unsent), max(0, self.most - self.far.unread)))
        if room:
            self.far.got += self._unsent[:room]
            del self._unsent[:room]
            self.taken += room
            self.far.move()
        if self._shut and not self._unsent:
            self.far.end()
        self.move()

    async def room(self) -> bool:
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
            if self._in:
                size = self.random.choice((1, 7, 65536, 65536, 65536))
                data = bytes(self._in[:size])
                del self._in[:size]
                return data
            if self._end == "reset":
                self.broken = True
                return None
            if self._end:
                return b""
            with trio.move_on_at(self._coming[0][0] if self._coming else math.inf):
                await self._moved.wait()

    def peek(self) -> bytes | None:
        """Return a byte that has come, b"" at the end, None if nothing has."""
        self._arrive()
        if self.broken or (self._end and not self._in):
            return b""
        return bytes(self._in[:1]) or None

    def finish(self) -> None:
        """Write nothing more."""
        self._shut = True
        self.flush()

    def abort(self) -> None:
        """Close with a reset."""
        self.far.reset = True
        self.close()

    def close(self) -> None:
        """Close at once."""
        self.broken = self._closing = True
        self.far.end()
        self.move()


class PeerEnd:
    """The peer's end."""

    def __init__(self, near: DataPlaneEnd) -> None:
        self.near, self.got = near, bytearray()
        self.ended = self.reset = self.gone = False
        self._moved, self._known = trio.Event(), 0

    @property
    def unread(self) -> int:
        """How many bytes the kernels between hold."""
        return len(self.got) - self._known

    def move(self) -> None:
        """Wake the peer."""
        moved, self._moved = self._moved, trio.Event()
        moved.set()

    def end(self) -> None:
        """Note that the pilot's end is closed."""
        self.ended = True
        self.move()

    async def more(self) -> bool:
        """Wait for further bytes; False at the end."""
        before = self._known = len(self.got)
        self.near.flush()
        while len(self.got) <= before and not self.ended:
            await self._moved.wait()
        return len(self.got) > before

    async def part(self, size: int) -> bytes:
        """Take so many bytes, or fewer at the end."""
        taken = b""
        while len(taken) < size:
            if not self.got and not await self.more():
                break
            piece = bytes(self.got[: size - len(taken)])
            del self.got[: len(piece)]
            self._known = max(0, self._known - len(piece))
            taken += piece
        return taken

    async def until(self, mark: bytes) -> bytes:
        """Take bytes up to a mark; none where it does not come."""
        while mark not in self.got:
            if not await self.more():
                return b""
        return await self.part(self.got.index(mark) + len(mark))

    def say(self, data: bytes) -> None:
        """Send bytes."""
        if not self.gone and data:
            self.near.come(data)

    def close(self, how: str = "end") -> None:
        """End it: `end` in good order, `reset` at once."""
        if not self.gone:
            self.gone = True
            self.near.come(b"", how)
