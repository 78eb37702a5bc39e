"""Emulated ticket servers on loopback.

A server has cores and a queue, warms up after its start, holds a limited number of connections, and closes
them in the ways that scenarios ask for. Times are ms of the run unless a name says otherwise.
"""

from __future__ import annotations

import json
import math
import socket
from dataclasses import dataclass
from random import Random

import h11
import trio

from wickspring.lab.emulation.cold_work import ColdWork
from wickspring.lab.emulation.connection_closing import ConnectionClosing
from wickspring.lab.emulation.limited_listener import LimitedListener
from wickspring.lab.emulation.server_cores import ServerCores
from wickspring.lab.emulation.sockets import peek
from wickspring.lab.emulation.ticket_connections import ReceivedRequest, ServerConnection, reset
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Arrival, ColdLoad, InFlightAttempt, Record, ServerEvent
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic.schedule import ScheduledRequest
from wickspring.net.tcp_info import peer_closed_ms, unread_ms

KERNEL_CLOCK_STEP_MS = 10.0  # or less, in which times of arrival are told
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
        self.started_ms = started_ms  # of the run; minus infinity: long ago
        servers, shape = scenario.servers, scenario.shape
        self.hall = index % servers.halls
        hall_index = index // max(1, servers.halls)  # among the servers of its hall
        self.cell = hall_index // shape.cell_size if shape.cell_size else 0
        self.cores = shape.cores[hall_index % len(shape.cores)] if shape.cores else servers.cores
        self.speed = shape.speeds[hall_index % len(shape.speeds)] if shape.speeds else 1.0
        self.connections: set[ServerConnection] = set()
        self.inflight = 0  # requests in work or waiting for a core
        # Faults.
        self.slowdown = 1.0  # by which all work takes longer
        self.malformed_share = 0.0  # share of the requests whose answers are malformed
        self.failing_share = 0.0  # share of the requests that are answered 500 at once
        self.unresponsive = False  # it accepts, and never answers
        self.down = False
        self._nursery: trio.Nursery | None = None
        self._listener = LimitedListener(self._serve, self.connections, servers.table)
        self._closing = ConnectionClosing(
            name, scenario.closing, servers.idle_close_ms, random, self.record, self.clock
        )
        self._core_queue = ServerCores(self.cores)
        self._cold_work = ColdWork(shape)

    @property
    def address(self) -> str:
        """Return host and port; empty before the first start."""
        return self._listener.address

    # Start and stop.

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen, at the same address after a restart."""
        self._nursery = nursery
        self.down = False
        await self._listener.start(nursery)

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
        self._listener.stop()
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
            if self._nursery is not None and not self.down:
                self._nursery.start_soon(self._listener.resume)

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
            if not await self._closing.keeps_open(connection):
                return

    async def _receive_request(self, connection: ServerConnection) -> ReceivedRequest | None:
        """Receive a complete request; None if the connection has ended, or was idle for too long."""
        http = connection.http
        max_idle_ms = self._closing.draw_max_idle_ms(connection)
        request: h11.Request | None = None
        first_byte_at = arrived_at = -1.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await self._closing.receive(connection, max_idle_ms if first_byte_at < 0 else math.inf)
                if data is None:
                    await self._closing.close_idle(connection)
                    return None
                if data:
                    arrived_at = self.clock.now() - unread_ms(connection.sock)
                    first_byte_at = arrived_at if first_byte_at < 0 else first_byte_at
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif not isinstance(event, h11.Data):
                break
        if request is None or not isinstance(event, h11.EndOfMessage):
            return None
        headers = {name.decode(): value.decode() for name, value in request.headers}
        return ReceivedRequest(request.target.decode(), headers, first_byte_at, arrived_at)

    async def _report_load(self, connection: ServerConnection) -> None:
        report = {"concurrent": self.inflight, "tps": float(self.inflight)}
        await connection.answer(200, json.dumps(report).encode())

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
            received_at=request.received_at,
            reused=connection.uses > 1,
            cell=self.cell,
        )
        in_flight = self.record.in_flight.setdefault(call_id, [])
        arrival.overlaps = any(
            _overlap(other, InFlightAttempt(arrival, connection.sock), self.clock.now())
            for other in in_flight
        )
        if call_id not in self.requests:
            self._record_unknown(connection, request)
        attempt = InFlightAttempt(arrival, connection.sock)
        in_flight.append(attempt)
        try:
            return await self._handle(connection, arrival, open_cost_ms)
        finally:
            in_flight.remove(attempt)
            if not in_flight:
                self.record.in_flight.pop(call_id, None)

    def _record_unknown(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        """Keep what names the sender of a request that no client of this run has sent."""
        peer = _peer_name(connection.sock)
        self.record.unknown_requests.append(
            f"{self.name} {self.address} from {peer} at {request.received_at:.0f} ms, connected at "
            f"{connection.opened_at:.0f} ms, use {connection.uses}: {request.target} {request.headers}"
        )

    async def _handle(self, connection: ServerConnection, arrival: Arrival, open_cost_ms: float) -> bool:
        scheduled = self.requests.get(arrival.call_id)
        self.record.arrivals.append(arrival)
        if scheduled is None:
            await connection.answer(400, b"no such id\n")
            return True
        work_ms = scheduled.work_ms + open_cost_ms
        self._add_cold_work(work_ms, self.clock.now())
        if self.down:
            return False
        if self._core_queue.waiting >= self.scenario.servers.queue:
            arrival.answered = True
            await connection.answer(503, b"full\n", [("X-Rejected", "1")])
            return True
        if self.random.random() < self.failing_share:
            arrival.answered = True
            await connection.answer(500, b"broken\n")
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
        await connection.answer(200, body)

    def _add_cold_work(self, work_ms: float, now: float) -> None:
        """Record work that arrives before the server is warm, and go down if it is too much."""
        warmth = self.warmth()
        if warmth >= 1.0:
            return
        capacity = self.cores * self.speed * warmth
        self.record.cold_loads.append(ColdLoad(self.name, now, work_ms, capacity))
        if self._cold_work.add(now, work_ms, capacity) and not self.down:
            self.record.overloaded.append(self.name)
            self.kill()


def _peer_name(sock: trio.socket.SocketType) -> str:
    """Return the address of a connection's other side; "gone" where it has ended."""
    try:
        host, port = sock.getpeername()
    except OSError:
        return "gone"
    return f"{host}:{port}"


def _overlap(read_before: InFlightAttempt, read_now: InFlightAttempt, now: float) -> bool:
    """Tell whether two attempts of one request are, or have been, in flight at once.

    They are where the one that came first is open still, or was closed after the other had come. A server
    that is late may read it last, when its ingress has closed it and gone on to the other; where the kernel
    does not tell when it was closed, the other's being open then counts as at once.
    """
    first, second = sorted((read_before, read_now), key=lambda attempt: attempt.arrival.received_at)
    if second.arrival.received_at - first.arrival.received_at < KERNEL_CLOCK_STEP_MS:
        return _is_open(first) and _is_open(second)  # which came first is not certain
    if _is_open(first):
        return True
    if first.arrival.answered:
        return False
    closed_ms = peer_closed_ms(first.sock)
    if closed_ms is None:
        return first is read_now and _is_open(second)
    return now - closed_ms > second.arrival.received_at + KERNEL_CLOCK_STEP_MS


def _is_open(attempt: InFlightAttempt) -> bool:
    """Tell whether an attempt has no answer yet, on a connection that its ingress has not closed.

    Both are seen though the task that serves it has not run since, as on a busy machine.
    """
    sock = attempt.sock
    return not attempt.arrival.answered and sock.fileno() >= 0 and peek(sock) is None
