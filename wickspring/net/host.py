"""What a process that clients connect to does for its connections, whatever their requests are."""

from __future__ import annotations

import logging
import socket
from abc import ABC, abstractmethod
from collections import Counter as Tally
from collections.abc import Callable, Mapping
from typing import Protocol

import trio

from wickspring.logs import kv
from wickspring.net.calls import IDLE_LEAST_MS, Client
from wickspring.net.clock import Clock
from wickspring.net.feed import Feed
from wickspring.net.link import Link
from wickspring.net.timers import Timers

log = logging.getLogger(__name__)

TIDY_MS = 200.0
TRANSFER_SHARE, TRANSFER_COST = 0.15, 256 * 1024  # of the memory, for long bodies and answers; bytes that one
# holds at most: what is kept for a further attempt, and a piece on its way at each side
HELD_SHARE = 0.06  # of the memory, for unfinished requests; past it, who holds more than a little is ended
CLIENT_SOCKETS = 0.7  # of the descriptors; the rest is left to servers and to this system's own talk
CROWDED = 0.75  # of those, from which a connection ends with its answer instead of being kept
LIGHT = 4096  # bytes; usual requests are smaller
MAKE_ROOM = 8  # connections ended at a time, so that who knocks is let in at once


class Connection(Protocol):
    """A client connection, of either front."""

    async def run(self) -> None:
        """Read until either side ends it."""

    def drop(self) -> None:
        """Withdraw whatever is still owed on it."""

    def idle(self) -> bool:
        """Tell whether no request is under way."""

    def quiet_since(self) -> float | None:
        """Return when it was last heard of; None while an answer is owed on it."""

    def tidy(self, now: float) -> None:
        """End it where the client has been silent, or has held a request half-sent, for too long."""

    def end_quiet(self) -> None:
        """End it now, unless something has come that is not read yet."""

    def give(self) -> tuple[socket.socket, bytes] | None:
        """Give it to another process, with what has been read ahead; None while that cannot be."""

    def drain(self) -> None:
        """Tell the client, where the protocol has words for it, that this process is about to end."""

    def finish(self) -> None:
        """End it after what has been written."""


class Host(ABC):
    """Owns the connections of clients; a program says what becomes of their requests."""

    parts_run = False  # servers may run a request by a part: what stops half way is cut off, not answered 408

    def __init__(self, nursery: trio.Nursery, memory_mb: float) -> None:
        self.nursery, self.memory_mb = nursery, memory_mb
        self.clock = Clock()
        self.timers = Timers(self.clock)
        self.connections: set[Connection] = set()
        self.draining = False
        self.handing = False  # another process takes over the clients' connections
        self.let_go: Tally[str] = Tally()  # client connections ended from here, by reason
        self._weights: dict[Connection, int] = {}  # bytes of unfinished requests
        self._held = 0  # their sum

    @property
    @abstractmethod
    def sockets(self) -> int:
        """How many descriptors this process may have."""

    @property
    @abstractmethod
    def flowing(self) -> int:
        """How many long bodies and answers are on their way."""

    @abstractmethod
    def ask(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None = None,
    ) -> None:
        """Take one request, of either front; its answer may come before this returns.

        It has come whole, or as far as bodies are held, and `feed` brings the rest.
        """

    @abstractmethod
    def leave(self, number: int) -> None:
        """Forget a client that has gone away: it is owed no answer."""

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Call `action` after so many milliseconds."""
        self.timers.at(self.clock.now() + delay, action)

    async def serve(self, connection: Connection, link: Link) -> None:
        """Serve one client connection; its errors end it and nothing else."""
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            log.exception("client_connection_failed", extra=kv(reason=error))
        finally:
            connection.drop()
            self.weigh(connection, 0)
            link.close()
            self.connections.discard(connection)

    @property
    def may_flow(self) -> bool:
        """Tell whether one more long body fits into what memory transfers may have together."""
        return (self.flowing + 1) * TRANSFER_COST <= TRANSFER_SHARE * self.memory_mb * 2**20

    @property
    def most_connections(self) -> int:
        """How many client connections there may be."""
        return int(self.sockets * CLIENT_SOCKETS)

    @property
    def crowded(self) -> bool:
        """Tell whether clients' connections are short.

        Kept for two seconds after each answer, they would then shut out the very clients that they are for:
        those give up waiting, come again on new ones, and the process stays full with nothing to do.
        """
        return len(self.connections) >= CROWDED * self.most_connections

    def make_room(self) -> None:
        """End the client connections that have been quiet for longest, whether idle or stuck in a request.

        None is ended before its time: a request may be on its way, and those who knock can wait outside.
        """
        latest = self.clock.now() - IDLE_LEAST_MS
        quiet = [(since, c) for c in self.connections if (since := c.quiet_since()) is not None]
        for since, connection in sorted(quiet, key=lambda pair: pair[0])[:MAKE_ROOM]:
            if since < latest:
                self.let_go["for_room"] += 1
                connection.end_quiet()

    def weigh(self, connection: Connection, size: int) -> bool:
        """Note the bytes of unfinished requests that a connection holds; False where it has to let go.

        Each alone is bounded, but hundreds of them at their bounds would be more than a small process has.
        """
        self._held += size - self._weights.pop(connection, 0)
        if size:
            self._weights[connection] = size
        return size <= LIGHT or self._held <= HELD_SHARE * self.memory_mb * 2**20

    def tidy(self) -> None:
        """Look at all connections now, and again and again."""
        self.later(TIDY_MS, self.tidy)
        now = self.clock.now()
        for connection in list(self.connections):
            connection.tidy(now)
