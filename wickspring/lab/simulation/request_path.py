"""The way of requests through a pilot in virtual time, between peers in memory that keep to no rule.

The pilot's own path is played: fronts, `Request`, `Tries`, pools, `GatewayLink`. Only sockets, clock and
lighthouses are stood in for. What servers run and say, and what clients are told, is entered in books, and
the rules are looked up there.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast
from unittest import mock

import h11
import trio
import trio.testing

from wickspring.common.connection import ReconnectingClient
from wickspring.common.endpoints import Endpoint
from wickspring.common.routing_table import build_routing_table
from wickspring.common.settings import Limits, NodeSettings
from wickspring.dataplane import process
from wickspring.dataplane.process import DataPlane
from wickspring.dataplane.upstream import NOT_EXECUTED_HEADER
from wickspring.lab.emulation.local_gateway import API_KEY as KEY
from wickspring.lab.emulation.local_gateway import HOST
from wickspring.lab.emulation.local_gateway import PURE_PREFIX as PREFIX
from wickspring.lab.emulation.local_gateway import gateway_config as document
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.net import host
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link

ONCE, LAG_S = "/do/", 0.002
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say: it has not run and never will
GRACE_MS = 130.0  # after a request's deadline until its answer must have come; it may be sent in two parts
LONG = 64 * 1024
MOST_S = 120.0  # of a play
TRICKS = {
    "good": 30,
    "failure": 2,
    "late_refusal": 2,
    "turned_away": 4,
    "wrong_door": 2,
    "missing": 1,
    "no_seal": 2,
    "empty_seal": 1,
    "hidden_seal": 1,
    "other_id": 3,
    "no_id": 1,
    "two_ids": 2,
    "encoded": 1,
    "silent": 2,
    "cut": 10,
    "junk": 2,
    "early": 2,
    "surplus": 5,
    "late_surplus": 6,
    "glued": 6,
    "to_the_end": 4,
    "slow": 4,
    "drips": 6,
    "reset_unread": 2,
    "closes": 3,
}


class InvariantBrokenError(Exception):
    """A rule of the users is broken."""


class Silence:
    """Stands in for the datagrams of pilots among themselves."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port

    def send(self, ip: str, data: bytes) -> None:
        """Lose it."""

    async def receive(self) -> tuple[bytes, str]:
        """Wait for ever."""
        await trio.sleep_forever()
        raise AssertionError


class ClientEnd:
    """The pilot's end of a connection in memory: what `net.link.Link` is to a socket."""

    def __init__(self, random: Random, most: float) -> None:
        self.random, self.most = random, most  # bytes that the kernels between hold
        self.broken = self._closing = self._shut = False
        self.given = self.taken = 0
        self._unsent, self._in, self._end = bytearray(), bytearray(), ""
        self._coming: deque[tuple[float, bytes, str]] = deque()
        self._moved, self.far = trio.Event(), ServerEnd(self)

    def move(self) -> None:
        """Wake whoever waits at this end."""
        moved, self._moved = self._moved, trio.Event()
        moved.set()

    def come(self, data: bytes, end: str = "") -> None:
        """Send bytes or an end on their way here."""
        self._coming.append((trio.current_time() + LAG_S, data, end))
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


class ServerEnd:
    """The peer's end."""

    def __init__(self, near: ClientEnd) -> None:
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


@dataclass
class Ledger:
    """What was asked, run, said and told."""

    random: Random
    asked: dict[str, tuple[str, int]] = field(default_factory=dict)  # id to path and length of its body
    runs: Counter[str] = field(default_factory=Counter)
    sent_to: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    meant: defaultdict[str, list[tuple[int, str, bytes]]] = field(default_factory=lambda: defaultdict(list))
    told: dict[str, int] = field(default_factory=dict)  # id to the status that its client read
    seen: Counter[str] = field(default_factory=Counter)

    def wrong(self, what: str, *about: object) -> None:
        """Stop: a rule is broken."""
        raise InvariantBrokenError(f"{what}: {about}")

    def read(self, id_: str, status: int, headers: dict[str, str], body: bytes) -> None:
        """Enter a whole answer that a client has read, and look up whether it may be."""
        self.told[id_] = status
        self.seen[f"told[{status}]"] += 1
        seal = headers.get("x-server-seal", "")
        if 200 <= status < 300 and not seal:
            self.wrong("a success without a seal", id_, status)
        if (seal or 200 <= status < 300) and (status, seal, body) not in self.meant[id_]:
            self.wrong("not what a server said to it", id_, status, seal, len(body), self.meant[id_])
        if status != 204 and not ({"content-length", "transfer-encoding"} & headers.keys()):
            self.wrong("an answer that does not tell its end", id_, status)
        if status < 500 and headers.get("x-attempt-id", id_) != id_:
            self.wrong("another's answer", id_, headers)

    def settle(self, tries: int) -> None:
        """Look up what can only be told in the end."""
        for id_, (path, _) in self.asked.items():
            if path == ONCE and self.runs[id_] > 1:
                self.wrong("ran twice", id_, self.sent_to[id_])
            if self.told.get(id_) in PROMISES and self.runs[id_]:
                self.wrong("refused though it ran", id_, self.told[id_])
            if len(self.sent_to[id_]) > min(tries, len(set(self.sent_to[id_]))):
                self.wrong("too many tries, or one server twice", id_, self.sent_to[id_])


def content(id_: str, length: int) -> bytes:
    """Return the body that a client sends with a request."""
    return (id_.encode() * (length // len(id_) + 1))[:length]


@dataclass
class Peer:
    """A server; each of its connections plays tricks."""

    name: str
    books: Ledger
    odd: float  # share of requests that are not answered well
    only: tuple[str, ...] = ()
    replays: list[bytes] = field(default_factory=list)  # its answers, as they were

    def _trick(self) -> str:
        random = self.books.random
        if random.random() >= self.odd:
            return "good"
        if self.only:
            return random.choice(self.only)
        return random.choices(list(TRICKS), list(TRICKS.values()))[0]

    def _answer(self, id_: str, trick: str, run: bool) -> tuple[bytes, int]:
        """Compose an answer; its bytes, and how many of them are its head."""
        random, books = self.books.random, self.books
        code, seal = 200, f"seal.{id_}.{self.name}.{len(books.meant[id_])}"
        body = f"{id_} by {self.name}\n".encode() * random.choice((0, 1, 3))
        if run and (trick == "drips" or random.random() < 0.12):
            body = f"{id_} at length by {self.name}\n".encode() * random.randint(1500, 6000)
        if trick == "failure" or (trick in ("glued", "surplus", "late_surplus") and random.random() < 0.4):
            code = 500
        elif trick == "late_refusal":
            code = random.choice((503, 429, 408))
        elif trick == "wrong_door":
            code = 421
        elif trick == "turned_away":
            code = random.choice((503, 429, 500, 200))
        elif trick == "missing":
            code = 404
        if code != 200:
            body = body[:200]
        told = random.choice([one for one in books.asked if one != id_] or ["x"])
        id_told = told if trick == "other_id" else id_
        lines = [f"X-Attempt-Id: {id_told}", f"X-Server-Seal: {seal}"]
        if trick == "no_seal":
            del lines[1]
        elif trick == "empty_seal":
            lines[1] = "X-Server-Seal:"
        elif trick == "hidden_seal":
            lines.append("Connection: x-server-seal")
        elif trick == "no_id":
            del lines[0]
        elif trick == "two_ids":
            lines.insert(random.choice((0, 1)), f"X-Attempt-Id: {told}")
        elif trick == "encoded":
            lines.append("Content-Encoding: gzip")
        if trick == "turned_away" or (trick == "other_id" and random.random() < 0.5):
            lines.append("X-Not-Executed: 1")
        form = random.choice(("length", "length", "chunked"))
        if trick == "to_the_end" and code != 204:
            lines.append("Connection: close")
            framed = body
        elif form == "length":
            lines.append(f"Content-Length: {len(body)}")
            framed = body
        else:
            lines.append("Transfer-Encoding: chunked")
            at = random.randint(0, len(body))
            parts = [part for part in (body[:at], body[at:]) if part]
            framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        random.shuffle(lines)
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" if random.random() < 0.05 else b""
        head = interim + f"HTTP/1.1 {code} Said\r\n".encode() + "\r\n".join(lines).encode() + b"\r\n\r\n"
        if trick not in ("other_id", "no_id", "no_seal", "empty_seal", "encoded", "two_ids"):
            books.meant[id_].append((code, seal, body))
        return head + framed, len(head)

    def _spoilt(self) -> bytes:
        """Return an old answer, or the beginning of one."""
        random = self.books.random
        old = random.choice(self.replays) if self.replays else b"HTTP/1.1 200 OK\r\n\r\n"
        return old[: random.randint(1, len(old))] if random.random() < 0.6 else old

    async def serve(self, end: ServerEnd) -> None:
        """Serve one connection for as long as it lasts."""
        random, books = self.books.random, self.books
        while True:
            if random.random() < 0.05 * self.odd:
                with trio.move_on_after(random.uniform(0.0, 0.3)):  # it closes what is idle
                    while not end.got and await end.more():
                        pass
                if not end.got:
                    end.close(random.choice(("end", "reset")))
                    return
            head = await end.until(b"\r\n\r\n")
            if not head:
                end.close()
                return
            lines = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:] if line)
            id_, trick = lines.get("x-attempt-id", ""), self._trick()
            books.seen[trick] += 1
            path, _ = books.asked.get(id_, ("", 0))
            its = head.split()[1].decode().startswith(path)  # else it is another that bears the same id
            if its:
                books.sent_to[id_].append(self.name)
            if lines.get("x-target-instance") != self.name:
                books.wrong("sent to another than named", id_, self.name)
            runs = trick not in ("turned_away", "wrong_door", "reset_unread")
            early = trick == "early" and runs
            if early:  # it runs by the head alone
                books.runs[id_] += its
                if random.random() < 0.5:
                    await trio.sleep(random.uniform(0.0, 0.05))
                    end.close(random.choice(("end", "reset")))
                    return
            if trick == "reset_unread" or (trick == "turned_away" and random.random() < 0.5):
                if trick == "turned_away":  # without having read the body
                    end.say(self._answer(id_, trick, False)[0])
                end.close(random.choice(("end", "reset")))
                return
            if "content-length" in lines:
                body = await end.part(int(lines["content-length"]))
                whole = len(body) == int(lines["content-length"])
            else:
                body, whole = b"", "transfer-encoding" not in lines
                while not whole and (size := await end.until(b"\r\n")):
                    body += await end.part(int(size, 16))
                    whole = size == b"0\r\n" and bool(await end.until(b"\r\n"))
                    if size != b"0\r\n":
                        await end.part(2)
            if not whole:
                end.close()
                return
            if id_ not in books.asked or body != content(id_, books.asked[id_][1]):
                books.wrong("a body that its client did not send", id_, len(body), books.asked.get(id_))
            books.runs[id_] += its and runs and not early
            if not await self._reply(end, id_, trick, runs):
                return

    async def _reply(self, end: ServerEnd, id_: str, trick: str, runs: bool) -> bool:
        """Answer a request that has been read; True where the connection goes on."""
        random = self.books.random
        await trio.sleep(random.choice((0.0, 0.003, 0.02, 0.2)))
        if trick == "silent":
            await trio.sleep(5.0)
        if trick == "slow":
            await trio.sleep(random.uniform(0.2, 3.0))
        said, head = self._answer(id_, trick, runs)
        if trick == "junk":
            end.say(bytes(random.randrange(256) for _ in range(random.randint(1, 60))))
            end.close(random.choice(("end", "reset")))
            return False
        if trick == "closes":
            end.close(random.choice(("end", "reset")))
            return False
        if trick == "glued":  # the beginning of an old answer ahead of this one
            end.say(self._spoilt() if random.random() < 0.5 else said[: random.randint(1, head - 1)])
        if trick == "cut" or (trick == "to_the_end" and random.random() < 0.5):
            end.say(said[: random.randint(0, random.choice((head, len(said))))])
            await trio.sleep(random.choice((0.0, 0.0, 0.05, 3.0)))
            end.close(random.choice(("end", "reset")))
            return False
        if trick == "drips":
            size = len(said) // random.randint(3, 8) + 1
            while len(said) > size:
                end.say(said[:size])
                said = said[size:]
                await trio.sleep(random.uniform(0.02, 0.5))
        at = random.randint(0, len(said)) if random.random() < 0.3 else len(said)
        end.say(said[:at])
        if at < len(said):
            await trio.sleep(random.choice((0.0, 0.01, 0.3)))
            end.say(said[at:])
        if trick == "to_the_end":
            end.close()
            return False
        if trick not in ("glued", "drips"):
            self.replays.append(said[:3000])
        if trick in ("surplus", "late_surplus"):
            more = self._spoilt() if random.random() < 0.7 else said
            if trick == "late_surplus":  # in the place of the next one
                while not end.got and await end.more():
                    pass
            end.say(more)
        return True


@dataclass
class Simulation:
    """One play: a pilot, servers that lie, clients that ask."""

    seed: int
    odd: float = 0.6
    only: tuple[str, ...] = ()
    servers: int = 4
    clients: int = 3
    asks: int = 5
    once: float = 0.5  # share of requests that may run once
    timeout_s: float = 2.0  # of the routes
    drains: bool = False  # the pilot is told to end meanwhile

    def __post_init__(self) -> None:
        """Open the books."""
        self.random = Random(self.seed)
        self.books = Ledger(self.random)
        self.peers = {
            f"i{n}": Peer(f"i{n}", self.books, self.odd, self.only) for n in range(2 * self.servers)
        }
        self.failed: list[str] = []

    def run(self) -> Ledger:
        """Play it in virtual time; `InvariantBrokenError` names the rule that is broken."""
        run: Any = trio._core._run
        run._r.seed(self.seed)
        with mock.patch.object(run, "_ALLOW_DETERMINISTIC_SCHEDULING", True), stood_in(self.failed):
            try:
                trio.run(self._main, clock=trio.testing.MockClock(autojump_threshold=0))
            except BaseExceptionGroup as group:
                if not self.failed:
                    raise _first(group) from group
        if self.failed:
            self.books.wrong("an error of the pilot's own", self.failed[0])
        self.books.settle(2)
        return self.books

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            limits = Limits(memory_mb=256.0, max_fds=1024)
            settings = NodeSettings(
                "edge-a-1", "10.1.0.30", "a", "7340,7355", ["10.1.0.33:8783"], limits=limits
            )
            self.data_plane = data_plane = DataPlane(settings, nursery, self.seed)
            nursery.start_soon(data_plane.timers.run)
            data_plane.tidy()
            timeout = f'"timeout_s": {self.timeout_s}'.encode()
            routing_table = build_routing_table(
                document(1, effectful_prefix=ONCE).replace(b'"timeout_s": 2.0', timeout)
            )
            data_plane.control_client.config.routing_table = routing_table
            data_plane.control_client.data_plane_count = 1
            data_plane.on_routing_table(routing_table)
            for number, name in enumerate(self.peers):
                service = ("looker", "doer")[number % 2]
                data_plane.endpoints.update(
                    data_plane.clock.now(), Endpoint(name, service, f"10.0.0.{number}:80", "a", 2)
                )
            self.nursery = nursery
            cast(Any, data_plane.upstream).connect = self._connect
            if self.drains:
                nursery.start_soon(self._drain)
            with trio.move_on_after(MOST_S) as limit:
                async with trio.open_nursery() as clients:
                    for number in range(self.clients):
                        clients.start_soon(self.client, number)
            if limit.cancelled_caught:
                self.books.wrong("a client waits without end")
            await trio.sleep(4.0)  # whoever runs late has run by then
            context = data_plane.request_context
            if context.requests or context.unrepeatable_ids:
                self.books.wrong("still owed", list(context.requests))
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Do as `pilot.run` does when it is told to end."""
        data_plane = self.data_plane
        await trio.sleep(self.random.uniform(0.0, 1.5))
        data_plane.draining = True
        await trio.sleep(process.DRAIN_ACCEPT_S)
        self.asks = 0
        await data_plane.drain()

    async def _connect(self, conn: Any) -> Link | None:
        random = self.random
        await trio.sleep(random.choice((0.0, 0.001, 0.01)))
        if random.random() < 0.05 * self.odd:
            self.data_plane.upstream.dial_failed(conn)
            return None
        if conn.state.value == "closed":
            return None
        near = ClientEnd(random, random.choice((math.inf, math.inf, 300, 30_000)))
        self.nursery.start_soon(self.peers[conn.server.decode()].serve, near.far)
        return cast(Link, near)

    async def client(self, number: int) -> None:
        """Ask until all is asked."""
        asks = self.asks
        while asks > 0 and self.asks:
            asks = await self._converse(self.knock(), number, asks)

    def knock(self) -> ServerEnd:
        """Open a client's connection."""
        near = ClientEnd(self.random, math.inf)
        link = cast(Link, near)
        front = Http1Connection(link, self.data_plane, patience=self.data_plane.patience)
        self.nursery.start_soon(self.data_plane.serve, front, link)
        return near.far

    def _request(self, number: int) -> tuple[str, bytes, float, int]:
        random = self.random
        path = ONCE if random.random() < self.once else PREFIX
        id_ = f"a{number}.{len(self.books.asked)}"
        length = random.choice((0, 0, 0, 40, 3000))
        if random.random() < 0.15:
            length = random.randint(LONG, 3 * LONG)
        wait = random.choice((300, 900, 2000))
        self.books.asked[id_] = path, length
        head = (
            f"POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Attempt-Id: {id_}\r\n"
            f"X-Deadline-Ms: {wait}\r\n"
        )
        body = content(id_, length)
        if random.random() < 0.5:
            return id_, f"{head}Content-Length: {length}\r\n\r\n".encode() + body, wait, length
        chunks = b"%x\r\n%s\r\n" % (length, body) if length else b""
        return id_, f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n", wait, length

    async def _converse(self, end: ServerEnd, number: int, asks: int) -> int:
        """Ask on one connection until it ends; return how many are left to ask."""
        random, rest = self.random, b""
        coming: list[tuple[str, bytes, float, int]] = []
        while asks > 0 or coming:
            if not coming:
                coming = [self._request(number) for _ in range(min(asks, random.choice((1, 1, 1, 3))))]
                asks -= len(coming)
                if len(coming) == 1:
                    self.nursery.start_soon(self._say, end, coming[0][1])
                else:
                    end.say(b"".join(said for _, said, _, _ in coming))
            id_, _, wait, length = coming.pop(0)
            if random.random() < 0.03:
                await trio.sleep(random.uniform(0.0, 0.1))
                end.close(random.choice(("end", "reset")))
                return asks
            begun = trio.current_time()
            rest, goes_on, flows = await self.read(end, id_, rest)
            late = 1000.0 * (trio.current_time() - begun) - wait - GRACE_MS
            if late > 0 and length < LONG and not flows:
                self.books.wrong("answered late", id_, late)
            if not goes_on:
                end.close()
                return asks
            if not coming and random.random() < 0.5:
                await trio.sleep(random.choice((0.0, 0.01, 0.5)))
                if rest or end.got:
                    self.books.wrong("bytes that nobody asked for", bytes(rest + end.got)[:200])
        end.close()
        return asks

    async def _say(self, end: ServerEnd, said: bytes) -> None:
        at = self.random.randint(0, len(said)) if self.random.random() < 0.5 else len(said)
        end.say(said[:at])
        if at < len(said):
            await trio.sleep(self.random.choice((0.0, 0.01, 0.1)))
            end.say(said[at:])

    async def read(self, end: ServerEnd, id_: str, rest: bytes) -> tuple[bytes, bool, bool]:
        """Read one answer strictly; what is left over, whether the connection goes on, whether it flowed."""
        http, status, headers, body = h11.Connection(h11.CLIENT), 0, dict[str, str](), b""
        http.send(h11.Request(method="POST", target="/", headers=[("Host", HOST), ("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        if rest:
            http.receive_data(rest)
        flows = False
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                if not end.ended:
                    self.books.wrong("bytes that are no answer", id_)
                self.books.seen["cut to the client"] += 1
                return b"", False, flows
            if event is h11.NEED_DATA:
                if not end.got and not await end.more():
                    if end.reset and (status or http.trailing_data[0]):
                        self.books.seen["reset to the client"] += 1
                        return b"", False, flows
                    if not status and not http.trailing_data[0]:
                        self.books.seen["closed to the client"] += 1
                        return b"", False, flows
                    http.receive_data(b"")
                    continue
                data = await end.part(len(end.got))
                http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
                flows = int(headers.get("content-length", LONG + 1)) > LONG  # it flows
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.books.read(id_, status, headers, body)
                if NOT_EXECUTED_HEADER in headers and self.books.runs[id_]:
                    self.books.wrong("said not to have run", id_)
                return http.trailing_data[0], headers.get("connection") != "close", flows


def _first(group: BaseExceptionGroup[BaseException]) -> BaseException:
    for one in group.exceptions:
        return _first(one) if isinstance(one, BaseExceptionGroup) else one
    return group


class _Failed(logging.Handler):
    """Keeps what the pilot logs of errors of its own."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(logging.ERROR)
        self.failed = failed

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, InvariantBrokenError):
            self.failed.append(f"{record.getMessage()} {error!r}")


@contextmanager
def stood_in(failed: list[str]) -> Iterator[None]:
    """Let pilots be built without sockets and with a virtual clock."""

    async def nothing(_: ReconnectingClient) -> None: ...

    handler, logger = _Failed(failed), logging.getLogger("wickspring")
    logger.addHandler(handler)
    try:
        with (
            mock.patch.object(host, "Clock", VirtualClock),
            mock.patch.object(process, "Udp", Silence),
            mock.patch.object(ReconnectingClient, "run", nothing),
        ):
            yield
    finally:
        logger.removeHandler(handler)
