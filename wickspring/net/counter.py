"""The counter service: a few pipelined connections, answers matched in order.

A call that has timed out keeps its place in the line of its connection, or later answers would be taken
for earlier ones. Calls for one name always take the same connection, so their answers come in order.
"""

from __future__ import annotations

import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from wickspring import interface as api
from wickspring.interface import Status
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect
from wickspring.net.timers import Timer, Timers

log = logging.getLogger(__name__)

CONNECTIONS = 4
IDLE_MOST = 4000.0  # ms; the counter closes what is idle for about 10 s, so nothing older is written to
SILENCE_MOST = 1000.0  # ms without an answer owed for so long: the connection is replaced
LONGEST_LIFE = 60_000.0
LONGEST_LINE = 64
_ANSWER = re.compile(rb"ok -?[0-9]{1,18}(\.[0-9]{0,12})?(e[+-]?[0-9]{1,2})?", re.IGNORECASE)
_BEGUN = re.compile(rb"(o|ok|ok [-+.0-9eE]*|b|bu|bus|busy|e|er|err|erro|error|p|po|pon|pong)\r?")


class CounterError(ValueError):
    """The counter said something that is no answer."""


def encode(call: api.Count) -> bytes:
    """Write one call; the life is at least 1 ms and is capped where the counter would cap it."""
    amount = f"{call.amount:.6f}".rstrip("0").rstrip(".")
    life = max(1, min(int(LONGEST_LIFE), round(call.keep_for)))
    return b"bump %d %s %d\r\n" % (call.name, amount.encode(), life)


def decode(line: bytes) -> tuple[Status, float]:
    """Read one answer line without its end."""
    word, _, rest = line.partition(b" ")
    if word == b"ok":
        if not _ANSWER.fullmatch(line):  # what is no number would poison the customer's account
            raise CounterError(f"no total in {line!r}")
        return Status.OK, float(rest)
    if word in (b"busy", b"error"):
        return Status.FULL, 0.0  # nothing has been added
    raise CounterError(f"not an answer: {line!r}")


class LineReader:
    """Cuts a stream of bytes into lines that end in CRLF."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes in and return the lines that are whole."""
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        return lines

    def check(self) -> None:
        """Raise where what has come of the next line can no longer become an answer.

        Waited for, it would hold up every call on its connection.
        """
        if self._rest and (len(self._rest) > LONGEST_LINE or not _BEGUN.fullmatch(self._rest)):
            raise CounterError(f"not an answer: {self._rest[:LONGEST_LINE]!r}")


@dataclass(slots=True)
class Waiting:
    """A call; `done` once its `answer` stands, which its caller is told in the order of calls for a name."""

    name: int
    asked_at: float
    timer: Timer | None = None
    done: bool = False
    answer: tuple[Status, float] = (Status.TIMEOUT, 0.0)


class Connection:
    """One connection to the counter and the line of calls on it."""

    def __init__(self, counter: Counter) -> None:
        self.counter, self.address = counter, counter.address
        self.link: Link | None = None
        self.line: deque[Waiting] = deque()
        self.unwritten: list[tuple[Waiting, bytes]] = []  # asked for while the dial is on
        self.used_at = counter.clock.now()
        self.dead = False
        self.leaving = False  # no new calls: it ends with the last answer owed

    def call(self, waiting: Waiting, data: bytes) -> None:
        """Write a call, or keep it until the connection is up."""
        self.used_at = waiting.asked_at
        if self.link is None:
            self.unwritten.append((waiting, data))
            return
        self.link.send(data)
        if self.link.broken:
            self.counter.finish(waiting, Status.CONNECT_FAILED)
            self.close()
        else:
            self.line.append(waiting)

    async def run(self) -> None:
        """Dial, then read answers until the connection ends."""
        sock = await connect(self.address, self.counter.settings.dial_timeout)
        if sock is None:
            self.close()
            return
        if self.dead:
            sock.close()
            return
        self.link = link = Link(sock, self.counter.nursery)
        unwritten, self.unwritten = self.unwritten, []
        for waiting, data in unwritten:
            if not waiting.done:  # one given up before it was written is not added at all
                self.call(waiting, data)
        reader = LineReader()
        try:
            while data := await link.receive() or b"":
                for line in reader.feed(data):
                    self._answered(line)
                reader.check()
        except CounterError as error:
            log.warning("counter_garbled", extra=kv(reason=error))
        except Exception as error:  # one connection's oddity must not end the ingress
            log.exception("counter_connection_failed", extra=kv(reason=error))
        self.close()

    def _answered(self, line: bytes) -> None:
        if line == b"pong":
            return
        status, total = decode(line)
        if not self.line:
            raise CounterError("an answer to no call")
        self.counter.finish(self.line.popleft(), status, total)
        if self.leaving and not self.line:
            self.close()

    def leave(self) -> list[tuple[Waiting, bytes]]:
        """Take no more calls, wait for the answers owed, and hand back what has not been written."""
        unwritten, self.unwritten = self.unwritten, []
        self.leaving = True
        if self.line:
            self.counter.timers.at(self.counter.clock.now() + self.counter.settings.count_timeout, self.close)
        else:
            self.close()
        return unwritten

    def silent(self, now: float) -> bool:
        """Tell whether an answer has been owed for too long."""
        return bool(self.line) and now - self.line[0].asked_at > SILENCE_MOST

    def close(self) -> None:
        """End this connection; what was written may have been added, the rest has not."""
        self.dead = True
        if self.link is not None:
            self.link.close()
        for waiting, _ in self.unwritten:
            self.counter.finish(waiting, Status.CONNECT_FAILED)
        for waiting in self.line:  # no time-outs, which would tell the module of a crowded counter
            self.counter.finish(waiting, Status.RESET)
        self.unwritten.clear()
        self.line.clear()


class Counter:
    """Calls the counter; every call gets exactly one answer, within the settings' time-out."""

    def __init__(
        self,
        address: tuple[str, int],
        settings: api.Settings,
        clock: Clock,
        timers: Timers,
        nursery: trio.Nursery,
        answered: Callable[[api.CountAnswer], None],
    ) -> None:
        self.address, self.settings, self.clock = address, settings, clock
        self.timers, self.nursery, self.answered = timers, nursery, answered
        self.connections: list[Connection | None] = [None] * CONNECTIONS
        self._order: dict[int, deque[Waiting]] = {}  # by name, calls whose callers have not been told

    def move(self, address: tuple[str, int]) -> None:
        """Call at another address from now on; calls that are out are answered from the old one."""
        if address == self.address:
            return
        self.address = address
        for place, old in enumerate(self.connections):
            fresh = self._open(place)
            if old is not None and not old.dead:
                for waiting, data in old.leave():
                    fresh.call(waiting, data)

    def call(self, call: api.Count) -> None:
        """Add to a named count."""
        now = self.clock.now()
        waiting = Waiting(call.name, now)
        overdue = partial(self.finish, waiting, Status.TIMEOUT)
        waiting.timer = self.timers.at(now + self.settings.count_timeout, overdue)
        self._order.setdefault(call.name, deque()).append(waiting)
        self._connection(call.name % 2**33 % CONNECTIONS, now).call(waiting, encode(call))

    def _connection(self, place: int, now: float) -> Connection:
        connection = self.connections[place]
        if connection is not None and not connection.dead:
            idle = not connection.line and now - connection.used_at > IDLE_MOST
            if not idle and not connection.silent(now):
                return connection
            connection.close()
        return self._open(place)

    def _open(self, place: int) -> Connection:
        connection = self.connections[place] = Connection(self)
        self.nursery.start_soon(connection.run)
        return connection

    def finish(self, waiting: Waiting, status: Status, total: float = 0.0) -> None:
        """Tell the caller of one call's answer, once.

        The module takes answers for a name in the order of its calls. Two connections, an old one and its
        successor, would not keep that order; so an answer waits here for those of earlier calls.
        """
        if waiting.done:
            return
        waiting.done, waiting.answer = True, (status, total)
        if waiting.timer is not None:
            waiting.timer.cancel()
        order = self._order[waiting.name]
        while order and order[0].done:
            first = order.popleft()
            if not order:
                del self._order[first.name]
            elapsed = self.clock.now() - first.asked_at
            self.answered(api.CountAnswer(first.name, *first.answer, elapsed))
