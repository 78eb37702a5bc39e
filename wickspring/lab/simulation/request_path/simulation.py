"""One run: a data plane, faulty servers, and clients that read responses strictly."""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast
from unittest import mock

import h11
import trio
import trio.testing

from wickspring.common.endpoints import Endpoint
from wickspring.common.routing_table import build_routing_table
from wickspring.common.settings import Limits, NodeSettings
from wickspring.connections.model import ConnectionState, PooledConnection
from wickspring.dataplane import server
from wickspring.dataplane.process import DataPlane
from wickspring.dataplane.shutdown import GracefulShutdown
from wickspring.dataplane.upstream import NOT_EXECUTED_HEADER
from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX, gateway_config
from wickspring.lab.simulation.request_path.environment import simulated_environment
from wickspring.lab.simulation.request_path.faulty_server import FaultyServer
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX, Ledger, request_body
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd, PeerEnd
from wickspring.lab.simulation.request_path.raised_faults import STEP_LABELS, FaultRaiser
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link

GRACE_MS = 130.0  # after a request's deadline until its response must have come, which may be sent in parts
LONG_BODY_BYTES = 64 * 1024  # beyond which a body is streamed
TIMEOUT_S = 120.0  # of a run
LAST_EXECUTION_S = 4.0  # after the last response, by which every server has executed what it will
MAX_ATTEMPTS = 2  # of a request, by the configuration
CONNECT_FAILURE_SHARE = 0.05


@dataclass(slots=True, frozen=True)
class _ClientRequest:
    """A request as a client sends it."""

    id: str
    data: bytes
    deadline_ms: float
    body_length: int


@dataclass(slots=True)
class _ResponseReader:
    """What a client has read of one response."""

    http: h11.Connection
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_streamed: bool = False

    def has_begun(self) -> bool:
        """Return whether any byte of the response has come."""
        return bool(self.status or self.http.trailing_data[0])


@dataclass(slots=True, frozen=True)
class _ReadResult:
    """The end of a response: bytes that follow it, and whether the connection goes on."""

    rest: bytes
    goes_on: bool
    is_streamed: bool


@dataclass
class Simulation:
    """One run: a data plane, faulty servers, and clients."""

    seed: int
    fault_share: float = 0.6
    only_faults: tuple[str, ...] = ()
    server_pairs: int = 4
    client_count: int = 3
    requests_per_client: int = 5
    effectful_share: float = 0.5  # of requests, that may be executed only once
    timeout_s: float = 2.0  # of the routes
    deadlines_ms: tuple[int, ...] = (300, 900, 2000)  # of the clients, who draw one for each request
    drains: bool = False  # the data plane is told to end during the run
    raise_share: float = 0.0  # of the calls of `raised_steps`, which raise
    raised_steps: tuple[str, ...] = STEP_LABELS

    def __post_init__(self) -> None:
        """Create the servers and the ledger."""
        self.random = Random(self.seed)
        self.ledger = Ledger(self.random)
        self.faulty_servers = {
            f"i{n}": FaultyServer(f"i{n}", self.ledger, self.fault_share, self.only_faults)
            for n in range(2 * self.server_pairs)
        }
        self.errors: list[str] = []
        self.fault_raiser = FaultRaiser(Random(self.seed), self.raise_share, self.raised_steps)

    def run(self) -> Ledger:
        """Run in virtual time; raise InvariantBrokenError, or an error of the data plane's own."""
        run: Any = trio._core._run
        run._r.seed(self.seed)
        with (
            mock.patch.object(run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
            simulated_environment(self.errors),
            self.fault_raiser.installed(),
        ):
            try:
                trio.run(self._main, clock=trio.testing.MockClock(autojump_threshold=0))
            except BaseExceptionGroup as group:
                if not self.errors:
                    raise _first_error(group) from group
        if self.errors:
            self.ledger.fail("an error of the data plane's own", self.errors[0])
        self.ledger.check_end(MAX_ATTEMPTS)
        self.ledger.seen.update(self.fault_raiser.raised)
        return self.ledger

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.data_plane = self._start_data_plane()
            if self.drains:
                nursery.start_soon(self._drain)
            with trio.move_on_after(TIMEOUT_S) as limit:
                async with trio.open_nursery() as clients:
                    for number in range(self.client_count):
                        clients.start_soon(self.client, number)
            if limit.cancelled_caught:
                self.ledger.fail("a client waits without end")
            await trio.sleep(LAST_EXECUTION_S)
            context = self.data_plane.request_context
            if context.requests or context.non_idempotent_ids:
                self.ledger.fail("still owed", list(context.requests))
            nursery.cancel_scope.cancel()

    def _start_data_plane(self) -> DataPlane:
        """Return a data plane that knows the configuration and the servers."""
        limits = Limits(memory_mb=256.0, max_fds=1024)
        settings = NodeSettings("edge-a-1", "10.1.0.30", "a", "7340,7355", ["10.1.0.33:8783"], limits=limits)
        data_plane = DataPlane(settings, self.nursery, self.seed)
        self.nursery.start_soon(data_plane.timers.run)
        data_plane.expire_connections()
        routing_table = build_routing_table(self._config())
        data_plane.control_client.config.routing_table = routing_table
        data_plane.control_client.data_plane_count = 1
        data_plane.on_routing_table(routing_table)
        now = data_plane.clock.now()
        for number, name in enumerate(self.faulty_servers):
            service = ("looker", "doer")[number % 2]
            data_plane.endpoints.update(now, Endpoint(name, service, f"10.0.0.{number}:80", "a", 2))
        cast(Any, data_plane.upstream).connect = self._connect
        return data_plane

    def _config(self) -> bytes:
        timeout = f'"timeout_s": {self.timeout_s}'.encode()
        config = gateway_config(1, effectful_prefix=EFFECTFUL_PREFIX)
        return config.replace(b'"timeout_s": 2.0', timeout)

    async def _drain(self) -> None:
        """Do as `server.run` does when it is told to end."""
        await trio.sleep(self.random.uniform(0.0, 1.5))
        await self.shut_down()

    async def shut_down(self) -> None:
        """Shut the data plane down as its process does, which sees no new connections here."""
        with socket.socket() as listener:
            shutdown = GracefulShutdown(self.data_plane, listener, server.serve, lambda: True)
            await shutdown.run(self.data_plane.settings.guarantees.grace_s)

    async def _connect(self, conn: PooledConnection) -> Link | None:
        random = self.random
        await trio.sleep(random.choice((0.0, 0.001, 0.01)))
        if random.random() < CONNECT_FAILURE_SHARE * self.fault_share:
            self.data_plane.upstream.dial_failed(conn)
            return None
        if conn.state is ConnectionState.CLOSED:
            return None
        near = DataPlaneEnd(random, random.choice((math.inf, math.inf, 300, 30_000)))
        self.nursery.start_soon(self.faulty_servers[conn.server.decode()].serve, near.peer)
        return cast(Link, near)

    # Clients.

    async def client(self, number: int) -> None:
        """Send all requests of one client."""
        left = self.requests_per_client
        while left > 0 and self.requests_per_client:
            left = await self._use_connection(self.connect_client(), number, left)

    def connect_client(self) -> PeerEnd:
        """Open a client's connection."""
        near = DataPlaneEnd(self.random, math.inf)
        link = cast(Link, near)
        front = Http1Connection(link, self.data_plane, limits=lambda: self.data_plane.front_limits)
        self.nursery.start_soon(self.data_plane.serve, front, link)
        return near.peer

    def _compose_request(self, number: int) -> _ClientRequest:
        random = self.random
        path = EFFECTFUL_PREFIX if random.random() < self.effectful_share else PURE_PREFIX
        request_id = f"a{number}.{len(self.ledger.requests)}"
        length = random.choice((0, 0, 0, 40, 3000))
        if random.random() < 0.15:
            length = random.randint(LONG_BODY_BYTES, 3 * LONG_BODY_BYTES)
        deadline_ms = random.choice(self.deadlines_ms)
        self.ledger.requests[request_id] = path, length
        head = (
            f"POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n"
        )
        framed = self._frame(request_body(request_id, length))
        return _ClientRequest(request_id, head.encode() + framed, deadline_ms, length)

    def _frame(self, body: bytes) -> bytes:
        """Return the end of a head and the body, by length or in chunks."""
        if self.random.random() < 0.5:
            return b"Content-Length: %d\r\n\r\n" % len(body) + body
        chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    async def _use_connection(self, end: PeerEnd, number: int, left: int) -> int:
        """Send requests on one connection until it ends; return how many are left to send."""
        random = self.random
        rest = b""
        pending: list[_ClientRequest] = []  # sent, and not answered yet
        while left > 0 or pending:
            if not pending:
                count = min(left, random.choice((1, 1, 1, 3)))
                pending = [self._compose_request(number) for _ in range(count)]
                left -= count
                self._send_all(end, pending)
            request = pending.pop(0)
            if random.random() < 0.03:
                await trio.sleep(random.uniform(0.0, 0.1))
                end.close(random.choice(("end", "reset")))
                return left
            result = await self._read_in_time(end, request, rest)
            rest = result.rest
            if not result.goes_on:
                end.close()
                return left
            if not pending and random.random() < 0.5:
                await trio.sleep(random.choice((0.0, 0.01, 0.5)))
                if rest or end.received:
                    self.ledger.fail("bytes that nobody asked for", bytes(rest + end.received)[:200])
        end.close()
        return left

    def _send_all(self, end: PeerEnd, requests: list[_ClientRequest]) -> None:
        """Send one request, perhaps in two parts, or several at once."""
        if len(requests) == 1:
            self.nursery.start_soon(self._send_in_parts, end, requests[0].data)
        else:
            end.send(b"".join(request.data for request in requests))

    async def _send_in_parts(self, end: PeerEnd, data: bytes) -> None:
        at = self.random.randint(0, len(data)) if self.random.random() < 0.5 else len(data)
        end.send(data[:at])
        if at < len(data):
            await trio.sleep(self.random.choice((0.0, 0.01, 0.1)))
            end.send(data[at:])

    async def _read_in_time(self, end: PeerEnd, request: _ClientRequest, rest: bytes) -> _ReadResult:
        """Read the response to a request, and check that it comes before the deadline."""
        started_at = trio.current_time()
        result = await self.read(end, request.id, rest)
        late_ms = 1000.0 * (trio.current_time() - started_at) - request.deadline_ms - GRACE_MS
        if late_ms > 0 and request.body_length < LONG_BODY_BYTES and not result.is_streamed:
            self.ledger.fail("answered late", request.id, late_ms)
        return result

    async def read(self, end: PeerEnd, request_id: str, rest: bytes) -> _ReadResult:
        """Read one response strictly, of which some bytes may have come before."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/", headers=[("Host", HOST), ("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        reader = _ResponseReader(http)
        if rest:
            http.receive_data(rest)
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                if not end.ended:
                    self.ledger.fail("bytes that are no answer", request_id)
                return self._cut_off(reader, "cut to the client")
            if event is h11.NEED_DATA:
                if not end.received and not await end.wait_for_more():
                    if end.reset and reader.has_begun():
                        return self._cut_off(reader, "reset to the client")
                    if not reader.has_begun():
                        return self._cut_off(reader, "closed to the client")
                    http.receive_data(b"")
                    continue
                http.receive_data(await end.read(len(end.received)))
            elif isinstance(event, h11.EndOfMessage):
                return self._complete(reader, request_id)
            else:
                _collect(reader, event)

    def _cut_off(self, reader: _ResponseReader, how: str) -> _ReadResult:
        self.ledger.seen[how] += 1
        return _ReadResult(b"", False, reader.is_streamed)

    def _complete(self, reader: _ResponseReader, request_id: str) -> _ReadResult:
        headers = reader.headers
        self.ledger.read(request_id, reader.status, headers, reader.body)
        if NOT_EXECUTED_HEADER in headers and self.ledger.executions[request_id]:
            self.ledger.fail("said not to have run", request_id)
        goes_on = headers.get("connection") != "close"
        return _ReadResult(reader.http.trailing_data[0], goes_on, reader.is_streamed)


def _collect(reader: _ResponseReader, event: object) -> None:
    """Add the head or a part of the body to what has been read."""
    if isinstance(event, h11.Response):
        reader.status = event.status_code
        reader.headers = {name.decode(): value.decode() for name, value in event.headers}
        length = int(reader.headers.get("content-length", LONG_BODY_BYTES + 1))
        reader.is_streamed = length > LONG_BODY_BYTES
    elif isinstance(event, h11.Data):
        reader.body += bytes(event.data)


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    for error in group.exceptions:
        return _first_error(error) if isinstance(error, BaseExceptionGroup) else error
    return group
