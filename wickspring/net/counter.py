"""The counter service: a few pipelined connections, answers matched in order.

A call that has timed out keeps its place among the unanswered of its connection, or later answers would be
taken for earlier ones. Calls for one name always take the same connection, so their answers come in order.
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

CONNECTION_COUNT = 4
MAX_IDLE_MS = 4000.0  # the counter closes what is idle for about 10 s, so nothing older is written to
MAX_SILENCE_MS = 1000.0  # a connection on which an answer has been owed for so long is replaced
MAX_KEEP_MS = 60_000.0  # that the counter keeps a count
MAX_LINE_BYTES = 64
_ANSWER = re.compile(rb"ok -?[0-9]{1,18}(\.[0-9]{0,12})?(e[+-]?[0-9]{1,2})?", re.IGNORECASE)
_BEGUN = re.compile(rb"(o|ok|ok [-+.0-9eE]*|b|bu|bus|busy|e|er|err|erro|error|p|po|pon|pong)\r?")


class CounterError(ValueError):
    """The counter said something that is no answer."""


def encode(call: api.Count) -> bytes:
    """Write one call; it is kept for 1 ms at least, and no longer than the counter would keep it."""
    amount = f"{call.amount:.6f}".rstrip("0").rstrip(".")
    keep_ms = max(1, min(int(MAX_KEEP_MS), round(call.keep_for)))
    return b"bump %d %s %d\r\n" % (call.name, amount.encode(), keep_ms)


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
        if self._rest and (len(self._rest) > MAX_LINE_BYTES or not _BEGUN.fullmatch(self._rest)):
            raise CounterError(f"not an answer: {self._rest[:MAX_LINE_BYTES]!r}")


@dataclass(slots=True)
class PendingCall:
    """A call; once `done` its `answer` is known, and reported in the order of the calls for its name."""

    name: int
    asked_at: float
    timer: Timer | None = None
    done: bool = False
    answer: tuple[Status, float] = (Status.TIMEOUT, 0.0)


class Connection:
    """One connection to the counter, and the calls on it in the order of their answers."""

    def __init__(self, counter: Counter) -> None:
        self.counter, self.address = counter, counter.address
        self.link: Link | None = None
        self.unanswered: deque[PendingCall] = deque()
        self.unwritten: list[tuple[PendingCall, bytes]] = []  # made while it is being dialed
        self.used_at = counter.clock.now()
        self.closed = False
        self.stopping = False  # no new calls: it closes with the last answer owed

    def call(self, waiting: PendingCall, data: bytes) -> None:
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
            self.unanswered.append(waiting)

    async def run(self) -> None:
        """Dial, then read answers until the connection ends."""
        sock = await connect(self.address, self.counter.settings.dial_timeout)
        if sock is None:
            self.close()
            return
        if self.closed:
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
                    self._on_answer(line)
                reader.check()
        except CounterError as error:
            log.warning("counter_garbled", extra=kv(reason=error))
        except Exception as error:  # one connection's oddity must not end the ingress
            log.exception("counter_connection_failed", extra=kv(reason=error))
        self.close()

    def _on_answer(self, line: bytes) -> None:
        if line == b"pong":
            return
        status, total = decode(line)
        if not self.unanswered:
            raise CounterError("an answer to no call")
        self.counter.finish(self.unanswered.popleft(), status, total)
        if self.stopping and not self.unanswered:
            self.close()

    def stop(self) -> list[tuple[PendingCall, bytes]]:
        """Take no more calls, wait for the answers owed, and hand back what has not been written."""
        unwritten, self.unwritten = self.unwritten, []
        self.stopping = True
        if self.unanswered:
            self.counter.timers.at(self.counter.clock.now() + self.counter.settings.count_timeout, self.close)
        else:
            self.close()
        return unwritten

    def is_unresponsive(self, now: float) -> bool:
        """Tell whether an answer has been owed for too long."""
        return bool(self.unanswered) and now - self.unanswered[0].asked_at > MAX_SILENCE_MS

    def close(self) -> None:
        """End this connection; what was written may have been added, the rest has not."""
        self.closed = True
        if self.link is not None:
            self.link.close()
        for waiting, _ in self.unwritten:
            self.counter.finish(waiting, Status.CONNECT_FAILED)
        for waiting in self.unanswered:  # no time-outs, which would tell the module of a crowded counter
            self.counter.finish(waiting, Status.RESET)
        self.unwritten.clear()
        self.unanswered.clear()


class Counter:
    """Calls the counter; every call gets exactly one answer, within the settings' time-out."""

    def __init__(
        self,
        address: tuple[str, int],
        settings: api.Settings,
        clock: Clock,
        timers: Timers,
        nursery: trio.Nursery,
        on_answer: Callable[[api.CountAnswer], None],
    ) -> None:
        self.address, self.settings, self.clock = address, settings, clock
        self.timers, self.nursery, self._report = timers, nursery, on_answer
        self.connections: list[Connection | None] = [None] * CONNECTION_COUNT
        self._order: dict[int, deque[PendingCall]] = {}  # by name, calls whose callers have not been told

    def move(self, address: tuple[str, int]) -> None:
        """Call at another address from now on; calls that are out are answered from the old one."""
        if address == self.address:
            return
        self.address = address
        for place, old in enumerate(self.connections):
            fresh = self._open(place)
            if old is not None and not old.closed:
                for waiting, data in old.stop():
                    fresh.call(waiting, data)

    def call(self, call: api.Count) -> None:
        """Add to a named count."""
        now = self.clock.now()
        waiting = PendingCall(call.name, now)
        overdue = partial(self.finish, waiting, Status.TIMEOUT)
        waiting.timer = self.timers.at(now + self.settings.count_timeout, overdue)
        self._order.setdefault(call.name, deque()).append(waiting)
        self._connection(call.name % 2**33 % CONNECTION_COUNT, now).call(waiting, encode(call))

    def _connection(self, place: int, now: float) -> Connection:
        connection = self.connections[place]
        if connection is not None and not connection.closed:
            idle = not connection.unanswered and now - connection.used_at > MAX_IDLE_MS
            if not idle and not connection.is_unresponsive(now):
                return connection
            connection.close()
        return self._open(place)

    def _open(self, place: int) -> Connection:
        connection = self.connections[place] = Connection(self)
        self.nursery.start_soon(connection.run)
        return connection

    def finish(self, waiting: PendingCall, status: Status, total: float = 0.0) -> None:
        """Report one call's answer, once.

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
            self._report(api.CountAnswer(first.name, *first.answer, elapsed))
