"""Emulated ticket servers on loopback.

A server has cores and a queue, warms up after its start, holds a limited number of connections, and closes
them in the ways that scenarios ask for. Times are ms of the run unless a name says otherwise.
"""

from __future__ import annotations

import json
import math
import socket
from collections import deque
from dataclasses import dataclass
from random import Random

import h11
import trio

from wickspring.lab.emulation.server_cores import ServerCores
from wickspring.lab.emulation.sockets import peek
from wickspring.lab.emulation.ticket_connections import ReceivedRequest, ServerConnection, reset
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Arrival, ColdLoad, Record, ServerEvent
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic.schedule import ScheduledRequest

BACKLOG = 256
LINGER_S = 0.15  # a closing connection is watched for so long for what was still written to it
ACCEPT_PAUSE_S = 0.01  # from the end of a connection until the server may accept again
RECEIVE_BYTES = 65536
LOAD_REPORT_PATHS = ("/metrics/load", "/alive")
MALFORMED_RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9, 9\r\n\r\nspoilt",
    b"\x00\x01noise\r\n\r\n",
    b"HTTP/1.1 2",
)


@dataclass(slots=True, frozen=True)
class ServerEnvironment:
    """What all ticket servers of a run share."""

    scenario: Scenario
    requests: dict[str, ScheduledRequest]  # by call id
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
        self.requests = environment.requests
        self.record = environment.record
        self.clock = environment.clock
        self.random = random
        self.hall = index % scenario.servers.halls
        self.started_ms = started_ms  # of the run; minus infinity: long ago
        self.address = ""
        self.connections: set[ServerConnection] = set()
        self.inflight = 0
        shape = scenario.shape
        hall_index = index // max(1, scenario.servers.halls)  # among the servers of its hall
        self.cell = hall_index // shape.cell_size if shape.cell_size else 0
        self.cores = shape.cores[hall_index % len(shape.cores)] if shape.cores else scenario.servers.cores
        self.speed = shape.speeds[hall_index % len(shape.speeds)] if shape.speeds else 1.0
        self._core_queue = ServerCores(self.cores)
        self.slowdown = 1.0  # by which all work takes longer
        self.malformed_share = 0.0  # share of the requests whose answers are malformed
        self.failing_share = 0.0  # share of the requests that are answered 500 at once
        self.unresponsive = False  # it accepts, and never answers
        self.down = False
        self._recent_cold_work: deque[tuple[float, float]] = deque()  # when it arrived, ms of work
        self._listener: trio.socket.SocketType | None = None
        self._nursery: trio.Nursery | None = None
        self._accepting: trio.CancelScope | None = None

    # Start and stop.

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen, at the same address after a restart."""
        self._nursery = nursery
        self.down = False
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
                if table and len(self.connections) + 1 >= table:  # the one just accepted has not begun yet
                    return  # refused from here on, until one ends

    def _stop_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _accept_again(self) -> None:
        """Listen again after a pause, if there may be more connections."""
        await trio.sleep(ACCEPT_PAUSE_S)
        full = len(self.connections) >= self.scenario.servers.table
        if self.down or full or self._listener is None or self._listener.fileno() >= 0:
            return
        self._listener = None  # whoever comes here meanwhile finds it being done
        await self._listen()

    def reset_connections(self) -> None:
        """Reset every connection at once."""
        for connection in list(self.connections):
            reset(connection.sock)
            connection.scope.cancel()

    def black_hole_connections(self) -> None:
        """Have every connection that is open now pass nothing any more."""
        for connection in self.connections:
            connection.black_holed = True

    def kill(self) -> None:
        """Go down: connections are reset, new ones refused."""
        self.down = True
        self._stop_accepting()
        self.reset_connections()

    # Connections.

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        connection = ServerConnection(sock, self.clock.now())
        self.connections.add(connection)
        self.record.dials.append(ServerEvent(connection.opened_at, self.name))
        try:
            with connection.scope:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._serve_requests(connection)
        except (OSError, h11.RemoteProtocolError):
            pass  # a peer that leaves or errs ends its own connection and no other
        finally:
            sock.close()
            self.connections.discard(connection)
            self.record.ends.append(ServerEvent(self.clock.now(), self.name))
            if self.scenario.servers.table and self._nursery is not None and not self.down:
                self._nursery.start_soon(self._accept_again)

    async def _serve_requests(self, connection: ServerConnection) -> None:
        """Answer the requests of a connection one after another, until it is to be closed."""
        http = connection.http
        open_ms = self.scenario.servers.open_ms  # the cost of opening is paid with the first attempt
        while True:
            request = await self._receive_request(connection)
            if request is None:
                return
            connection.uses += 1
            if self.unresponsive or connection.black_holed:
                await trio.sleep_forever()
            if request.target.startswith(LOAD_REPORT_PATHS):
                await self._report_load(connection)
            else:
                open_cost, open_ms = open_ms, 0.0
                if not await self._attempt(connection, request, open_cost):
                    return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()
            if not await self._stays_open(connection):
                return

    async def _receive_request(self, connection: ServerConnection) -> ReceivedRequest | None:
        """Receive a complete request; None if the connection has ended, or was idle for too long."""
        http = connection.http
        idle_ms = self._max_idle_ms(connection)
        request: h11.Request | None = None
        first_byte_at = -1.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(connection, idle_ms if first_byte_at < 0 else math.inf)
                if data is None:
                    await self._close_gently(connection)
                    return None
                if data and first_byte_at < 0:
                    first_byte_at = self.clock.now()
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif not isinstance(event, h11.Data):
                break
        if request is None or not isinstance(event, h11.EndOfMessage):
            return None
        headers = {name.decode(): value.decode() for name, value in request.headers}
        return ReceivedRequest(request.target.decode(), headers, first_byte_at)

    async def _report_load(self, connection: ServerConnection) -> None:
        report = {"concurrent": self.inflight, "tps": float(self.inflight)}
        await self._answer(connection, 200, json.dumps(report).encode())

    def _max_idle_ms(self, connection: ServerConnection) -> float:
        closing = self.scenario.closing
        if connection.uses and closing.mode == "fixed":
            return closing.within_ms
        if connection.uses and closing.mode == "random":
            return self.random.expovariate(1.0 / closing.within_ms)
        return self.scenario.servers.idle_close_ms

    async def _receive(self, connection: ServerConnection, idle_ms: float) -> bytes | None:
        """Return what was received, b"" at the peer's end, None if the connection was idle for too long."""
        closing = self.scenario.closing
        idle_from = self.clock.now()
        if idle_ms == math.inf:
            return await connection.sock.recv(RECEIVE_BYTES)
        with trio.move_on_after(idle_ms / 1000.0):
            data = await connection.sock.recv(RECEIVE_BYTES)
            idle = self.clock.now() - idle_from
            cut = closing.mode == "silent" and connection.uses > 0 and idle >= closing.within_ms
            if data and (connection.black_holed or cut):
                connection.black_holed = True
                self.record.dead_writes.append(ServerEvent(self.clock.now(), self.name))
                await trio.sleep_forever()
            closes_at_write = closing.mode == "at-write" and connection.uses > 0
            if data and closes_at_write and self.random.random() < closing.share:
                # The close crosses the request: it was sent before a byte of the request was read.
                self.record.dead_writes.append(ServerEvent(self.clock.now(), self.name))
                reset(connection.sock)
                raise ConnectionResetError
            return data
        return None

    async def _close_gently(self, connection: ServerConnection) -> None:
        """End the connection, and see whether something is still written to it."""
        connection.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_S):
            if await connection.sock.recv(RECEIVE_BYTES):
                self.record.dead_writes.append(ServerEvent(self.clock.now(), self.name))
                reset(connection.sock)

    async def _stays_open(self, connection: ServerConnection) -> bool:
        """After an answer: whether the connection goes on being read."""
        closing = self.scenario.closing
        if closing.mode == "race" and self.random.random() < closing.share:
            await trio.sleep(self.random.uniform(0.0, closing.within_ms) / 1000.0)
            if peek(connection.sock):  # written to a connection that was on its way out
                self.record.dead_writes.append(ServerEvent(self.clock.now(), self.name))
                reset(connection.sock)
            return False
        return True

    # Requests.

    def warmth(self) -> float:
        """Return the share of the full capacity that it has now."""
        cold = self.scenario.servers.cold_share
        age = self.clock.now() - self.started_ms
        return min(1.0, cold + (1.0 - cold) * age / max(1.0, 1000.0 * self.scenario.servers.warm_s))

    async def _attempt(
        self, connection: ServerConnection, request: ReceivedRequest, open_cost_ms: float
    ) -> bool:
        """Serve a client's request; return whether the connection may stay open."""
        call_id = request.headers.get("x-call-id", "")
        arrival = Arrival(
            server=self.name,
            hall=self.hall,
            call_id=call_id,
            first_byte_at=request.first_byte_at,
            received_at=self.clock.now(),
            reused=connection.uses > 1,
            cell=self.cell,
        )
        in_flight = self.record.in_flight.setdefault(call_id, [])
        arrival.overlaps = any(sock.fileno() >= 0 and peek(sock) is None for sock in in_flight)
        in_flight.append(connection.sock)
        try:
            return await self._handle(connection, arrival, open_cost_ms)
        finally:
            in_flight.remove(connection.sock)
            if not in_flight:
                self.record.in_flight.pop(call_id, None)

    async def _handle(self, connection: ServerConnection, arrival: Arrival, open_cost_ms: float) -> bool:
        scheduled = self.requests.get(arrival.call_id)
        self.record.arrivals.append(arrival)
        if scheduled is None:
            await self._answer(connection, 400, b"no such id\n")
            return True
        work_ms = scheduled.work_ms + open_cost_ms
        self._add_cold_work(work_ms, arrival.received_at)
        if self.down:
            return False
        if self._core_queue.waiting >= self.scenario.servers.queue:
            arrival.answered = True
            await self._answer(connection, 503, b"full\n", [("X-Rejected", "1")])
            return True
        if self.random.random() < self.failing_share:
            arrival.answered = True
            await self._answer(connection, 500, b"broken\n")
            return True
        await self._run(arrival, work_ms)
        if self.random.random() < self.malformed_share:
            self.record.counters["spoilt"] += 1
            await connection.sock.send(self.random.choice(MALFORMED_RESPONSES))
            await trio.sleep_forever()
        await self._answer_served(connection, arrival)
        return True

    async def _run(self, arrival: Arrival, work_ms: float) -> None:
        """Wait for a core, and use it for as long as the work takes."""
        self.inflight += 1
        try:
            await self._core_queue.acquire()
            try:
                arrival.started = True
                await trio.sleep(work_ms * self.slowdown / self.speed / self.warmth() / 1000.0)
            finally:
                self._core_queue.release()
        finally:
            self.inflight -= 1

    async def _answer_served(self, connection: ServerConnection, arrival: Arrival) -> None:
        """Answer 200 with a body that no other answer has."""
        body = f"{self.name} {arrival.call_id} {self.record.counters['answers']}\n".encode()
        self.record.counters["answers"] += 1
        self.record.served_bodies.setdefault(arrival.call_id, set()).add(body)
        arrival.answered = True
        await self._answer(connection, 200, body)

    def _add_cold_work(self, work_ms: float, now: float) -> None:
        """Record work that arrives before the server is warm, and go down if it is too much."""
        warmth = self.warmth()
        if warmth >= 1.0:
            return
        shape = self.scenario.shape
        capacity = self.cores * self.speed * warmth
        self.record.cold_loads.append(ColdLoad(self.name, now, work_ms, capacity))
        recent = self._recent_cold_work
        recent.append((now, work_ms))
        while recent and recent[0][0] < now - shape.fall_ms:
            recent.popleft()
        max_work_ms = shape.fall_factor * capacity * shape.fall_ms
        if sum(work for _, work in recent) > max_work_ms and not self.down:
            self.record.overloaded.append(self.name)
            self.kill()

    async def _answer(
        self,
        connection: ServerConnection,
        status: int,
        body: bytes,
        extra_headers: list[tuple[str, str]] | None = None,
    ) -> None:
        http = connection.http
        headers = [*(extra_headers or []), ("Content-Length", str(len(body)))]
        data = http.send(h11.Response(status_code=status, headers=headers)) or b""
        data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await connection.sock.send(data) :]
