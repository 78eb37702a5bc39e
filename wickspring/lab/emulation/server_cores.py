"""The cores of an emulated server, and the queue of those that wait for one."""

from __future__ import annotations

from collections import deque

import trio


class ServerCores:
    """A fixed number of cores, given in the order of asking."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._queue: deque[trio.Event] = deque()

    @property
    def waiting(self) -> int:
        """Return how many wait for a core."""
        return len(self._queue)

    async def acquire(self) -> None:
        """Wait for a core; without a checkpoint if one is free."""
        if self._free > 0 and not self._queue:
            self._free -= 1
            return
        granted = trio.Event()
        self._queue.append(granted)
        try:
            await granted.wait()
        except trio.Cancelled:
            if granted.is_set():
                self.release()
            else:
                self._queue.remove(granted)
            raise

    def release(self) -> None:
        """Give a core back; it goes to the first that waits."""
        if self._queue:
            self._queue.popleft().set()
        else:
            self._free += 1
