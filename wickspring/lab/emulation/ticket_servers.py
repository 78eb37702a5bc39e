"""Emulated ticket servers on loopback: cores, a line, warm-up, a table of connections, and odd closes."""

from __future__ import annotations

import json
import math
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from random import Random

import h11
import trio

from wickspring.lab.emulation.sockets import peek
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Arrival, Load, Record
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic.schedule import ScheduledRequest

BACKLOG = 256
LINGER_S = 0.15  # a closing connection is watched for so long for what was still written to it
SPOILT = (b"HTTP/1.1 200 OK\r\nContent-Length: 9, 9\r\n\r\nspoilt", b"\x00\x01noise\r\n\r\n", b"HTTP/1.1 2")


def reset(sock: trio.socket.SocketType | socket.socket) -> None:
    """Have the next close of this socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@dataclass(slots=True, eq=False)
class Side:
    """One accepted connection."""

    sock: trio.socket.SocketType
    born: float
    uses: int = 0
    silent: bool = False  # what stands between has dropped it: nothing passes any more
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(slots=True, frozen=True)
class ServerEnvironment:
    """What all ticket servers of a run share."""

    scenario: Scenario
    tries: dict[str, ScheduledRequest]  # the scheduled requests, by call id
    record: Record
    clock: RunClock


class TicketServer:
    """One ticket server, at an address of its own for as long as it lives."""

    def __init__(
        self,
        name: str,
        index: int,
        environment: ServerEnvironment,
        random: Random,
        started_ms: float = -math.inf,
    ) -> None:
        self.name = name
        self.scenario = scenario = environment.scenario
        self.tries = environment.tries
        self.record = environment.record
        self.clock = environment.clock
        self.random = random
        self.hall = index % scenario.servers.halls
        self.started_ms = started_ms  # of the run; minus infinity: long ago
        self.address = ""
        self.sides: set[Side] = set()
        self.inflight = 0
        shape = scenario.shape
        turn = index // max(1, scenario.servers.halls)  # of its hall's
        self.cell = turn // shape.cell_size if shape.cell_size else 0
        self.cores = shape.cores[turn % len(shape.cores)] if shape.cores else scenario.servers.cores
        self.speed = shape.speeds[turn % len(shape.speeds)] if shape.speeds else 1.0
        self.free = self.cores
        self.line: deque[trio.Event] = deque()
        self.slow = 1.0
        self.spoilt = 0.0
        self.failing = 0.0  # share of the requests that are answered 500 at once
        self.mute = False  # it accepts, and says nothing
        self.down = False
        self._sent: deque[tuple[float, float]] = deque()  # work sent while cold
        self._listener: trio.socket.SocketType | None = None
        self._nursery: trio.Nursery | None = None
        self._accepting: trio.CancelScope | None = None

    # Its life.

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen, at the same address after a restart."""
        self._nursery, self.down = nursery, False
        await self._listen()

    async def _listen(self) -> None:
        assert self._nursery is not None
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        await sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._listener = sock
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, sock, self._accepting)

    async def _accept(self, listener: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        with scope, listener:
            while True:
                sock, _ = await listener.accept()
                assert self._nursery is not None
                self._nursery.start_soon(self._serve, sock)
                table = self.scenario.servers.table
                if table and len(self.sides) + 1 >= table:  # the one just accepted has not begun yet
                    return  # refused from here on, until one ends

    def _stop_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _room_again(self) -> None:
        """Listen again once the table has room, a tick later."""
        await trio.sleep(0.01)
        full = len(self.sides) >= self.scenario.servers.table
        if self.down or full or self._listener is None or self._listener.fileno() >= 0:
            return
        self._listener = None  # whoever comes here meanwhile finds it being done
        await self._listen()

    def cut_all(self) -> None:
        """Reset every connection at once."""
        for side in list(self.sides):
            reset(side.sock)
            side.scope.cancel()

    def silence_all(self) -> None:
        """Have every connection open now pass nothing any more."""
        for side in self.sides:
            side.silent = True

    def kill(self) -> None:
        """Go down: connections are reset, new ones refused."""
        self.down = True
        self._stop_accepting()
        self.cut_all()

    # Connections.

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        side = Side(sock, self.clock.now())
        self.sides.add(side)
        self.record.dials.append((side.born, self.name))
        try:
            with side.scope:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._talk(side)
        except (OSError, h11.RemoteProtocolError):
            pass  # a peer that leaves or errs ends its own connection and no other
        finally:
            sock.close()
            self.sides.discard(side)
            self.record.ends.append((self.clock.now(), self.name))
            if self.scenario.servers.table and self._nursery is not None and not self.down:
                self._nursery.start_soon(self._room_again)

    async def _talk(self, side: Side) -> None:
        http = h11.Connection(h11.SERVER)
        open_ms = self.scenario.servers.open_ms
        while True:
            idle_ms = self._idle_most(side)
            request, body, first_byte = None, b"", -1.0
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = await self._receive(side, idle_ms if first_byte < 0 else math.inf)
                    if data is None:
                        await self._close_gently(side)
                        return
                    if data and first_byte < 0:
                        first_byte = self.clock.now()
                    http.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    break
            if request is None or not isinstance(event, h11.EndOfMessage):
                return
            side.uses += 1
            if self.mute or side.silent:
                await trio.sleep_forever()
            target = request.target.decode()
            headers = {name.decode(): value.decode() for name, value in request.headers}
            if target.startswith("/metrics/load") or target.startswith("/alive"):
                report = json.dumps({"concurrent": self.inflight, "tps": float(self.inflight)}).encode()
                await self._answer(side, http, 200, report)
            else:
                open_cost, open_ms = open_ms, 0.0
                if not await self._attempt(side, http, headers, first_byte, open_cost):
                    return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()
            if not await self._after(side):
                return

    def _idle_most(self, side: Side) -> float:
        closing, most = self.scenario.closing, self.scenario.servers.idle_close_ms
        if side.uses and closing.mode == "fixed":
            return closing.within_ms
        if side.uses and closing.mode == "random":
            return self.random.expovariate(1.0 / closing.within_ms)
        return most

    async def _receive(self, side: Side, idle_ms: float) -> bytes | None:
        """Return what has come, b"" at the peer's end, None where the connection stood idle for too long."""
        closing = self.scenario.closing
        idle_from = self.clock.now()
        if idle_ms == math.inf:
            return await side.sock.recv(65536)
        with trio.move_on_after(idle_ms / 1000.0):
            data = await side.sock.recv(65536)
            idle = self.clock.now() - idle_from
            cut = closing.mode == "silent" and side.uses > 0 and idle >= closing.within_ms
            if data and (side.silent or cut):
                side.silent = True
                self.record.dead_writes.append((self.clock.now(), self.name))
                await trio.sleep_forever()
            if data and closing.mode == "at-write" and side.uses and self.random.random() < closing.share:
                # The close crosses the request: it was sent before a byte of the request was read.
                self.record.dead_writes.append((self.clock.now(), self.name))
                reset(side.sock)
                raise ConnectionResetError
            return data
        return None

    async def _close_gently(self, side: Side) -> None:
        """End the connection, and see whether something is still written to it."""
        side.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_S):
            if await side.sock.recv(65536):
                self.record.dead_writes.append((self.clock.now(), self.name))
                reset(side.sock)

    async def _after(self, side: Side) -> bool:
        """After an answer: whether the connection goes on being read."""
        closing = self.scenario.closing
        if closing.mode == "race" and self.random.random() < closing.share:
            await trio.sleep(self.random.uniform(0.0, closing.within_ms) / 1000.0)
            if peek(side.sock):  # written to a connection that was on its way out
                self.record.dead_writes.append((self.clock.now(), self.name))
                reset(side.sock)
            return False
        return True

    # Requests.

    def warmth(self) -> float:
        """Return the share of the full capacity that it has now."""
        cold, age = self.scenario.servers.cold_share, self.clock.now() - self.started_ms
        return min(1.0, cold + (1.0 - cold) * age / max(1.0, 1000.0 * self.scenario.servers.warm_s))

    async def _attempt(
        self, side: Side, http: h11.Connection, headers: dict[str, str], first_byte: float, open_cost: float
    ) -> bool:
        call_id, now = headers.get("x-call-id", ""), self.clock.now()
        arrival = Arrival(self.name, self.hall, call_id, first_byte, now, side.uses > 1, cell=self.cell)
        out = self.record.out.setdefault(call_id, [])
        arrival.beside = any(sock.fileno() >= 0 and peek(sock) is None for sock in out)
        out.append(side.sock)
        try:
            return await self._work_on(side, http, arrival, open_cost)
        finally:
            out.remove(side.sock)
            if not out:
                self.record.out.pop(call_id, None)

    async def _work_on(self, side: Side, http: h11.Connection, arrival: Arrival, open_cost: float) -> bool:
        call_id, now = arrival.call_id, arrival.whole
        scheduled = self.tries.get(call_id)
        self.record.arrivals.append(arrival)
        if scheduled is None:
            await self._answer(side, http, 400, b"no such id\n")
            return True
        work = scheduled.work_ms + open_cost
        self._note_cold(work, now)
        if self.down:
            return False
        if len(self.line) >= self.scenario.servers.queue:
            arrival.answered = True
            await self._answer(side, http, 503, b"full\n", [("X-Rejected", "1")])
            return True
        if self.random.random() < self.failing:
            arrival.answered = True
            await self._answer(side, http, 500, b"broken\n")
            return True
        self.inflight += 1
        try:
            await self._take_core()
            try:
                arrival.ran = True
                await trio.sleep(work * self.slow / self.speed / self.warmth() / 1000.0)
            finally:
                self._give_core()
        finally:
            self.inflight -= 1
        if self.random.random() < self.spoilt:
            self.record.counted["spoilt"] += 1
            await side.sock.send(self.random.choice(SPOILT))
            await trio.sleep_forever()
        text = f"{self.name} {call_id} {self.record.counted['answers']}\n".encode()
        self.record.counted["answers"] += 1
        self.record.made.setdefault(call_id, set()).add(text)
        arrival.answered = True
        await self._answer(side, http, 200, text)
        return True

    def _note_cold(self, work: float, now: float) -> None:
        warmth = self.warmth()
        if warmth >= 1.0:
            return
        capacity, shape = self.cores * self.speed * warmth, self.scenario.shape
        self.record.cold.append(Load(self.name, now, work, capacity))
        self._sent.append((now, work))
        while self._sent and self._sent[0][0] < now - shape.fall_ms:
            self._sent.popleft()
        if sum(one for _, one in self._sent) > shape.fall_factor * capacity * shape.fall_ms and not self.down:
            self.record.fallen.append(self.name)
            self.kill()

    async def _take_core(self) -> None:
        if self.free > 0 and not self.line:
            self.free -= 1
            return
        turn = trio.Event()
        self.line.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self._give_core()
            else:
                self.line.remove(turn)
            raise

    def _give_core(self) -> None:
        if self.line:
            self.line.popleft().set()
        else:
            self.free += 1

    async def _answer(
        self,
        side: Side,
        http: h11.Connection,
        status: int,
        body: bytes,
        more: list[tuple[str, str]] | None = None,
    ) -> None:
        lines = [*(more or []), ("Content-Length", str(len(body)))]
        data = http.send(h11.Response(status_code=status, headers=lines)) or b""
        data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await side.sock.send(data) :]
