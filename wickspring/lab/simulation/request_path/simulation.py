"""One run: a data plane, faulty servers, and clients that read responses strictly."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random
from typing import Any, cast
from unittest import mock

import h11
import trio
import trio.testing

from wickspring.common.endpoints import Endpoint
from wickspring.common.routing_table import build_routing_table
from wickspring.common.settings import Limits, NodeSettings
from wickspring.dataplane import process
from wickspring.dataplane.process import DataPlane
from wickspring.dataplane.upstream import NOT_EXECUTED_HEADER
from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX, gateway_config
from wickspring.lab.simulation.request_path.environment import simulated_environment
from wickspring.lab.simulation.request_path.faulty_server import FaultyServer
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX, Ledger, request_body
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd, PeerEnd
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link

GRACE_MS = 130.0  # after a request's deadline until its response must have come, which may be sent in parts
LONG_BODY_BYTES = 64 * 1024  # beyond which a body is streamed
TIMEOUT_S = 120.0  # of a run


@dataclass
class Simulation:
    """One play: a pilot, servers that lie, clients that ask."""

    seed: int
    fault_share: float = 0.6
    only_faults: tuple[str, ...] = ()
    server_pairs: int = 4
    client_count: int = 3
    requests_per_client: int = 5
    effectful_share: float = 0.5  # share of requests that may run once
    timeout_s: float = 2.0  # of the routes
    drains: bool = False  # the pilot is told to end meanwhile

    def __post_init__(self) -> None:
        """Open the ledger."""
        self.random = Random(self.seed)
        self.ledger = Ledger(self.random)
        self.faulty_servers = {
            f"i{n}": FaultyServer(f"i{n}", self.ledger, self.fault_share, self.only_faults)
            for n in range(2 * self.server_pairs)
        }
        self.errors: list[str] = []

    def run(self) -> Ledger:
        """Play it in virtual time; `InvariantBrokenError` names the rule that is broken."""
        run: Any = trio._core._run
        run._r.seed(self.seed)
        with (
            mock.patch.object(run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
            simulated_environment(self.errors),
        ):
            try:
                trio.run(self._main, clock=trio.testing.MockClock(autojump_threshold=0))
            except BaseExceptionGroup as group:
                if not self.errors:
                    raise _first_error(group) from group
        if self.errors:
            self.ledger.fail("an error of the pilot's own", self.errors[0])
        self.ledger.check_end(2)
        return self.ledger

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
                gateway_config(1, effectful_prefix=EFFECTFUL_PREFIX).replace(b'"timeout_s": 2.0', timeout)
            )
            data_plane.control_client.config.routing_table = routing_table
            data_plane.control_client.data_plane_count = 1
            data_plane.on_routing_table(routing_table)
            for number, name in enumerate(self.faulty_servers):
                service = ("looker", "doer")[number % 2]
                data_plane.endpoints.update(
                    data_plane.clock.now(), Endpoint(name, service, f"10.0.0.{number}:80", "a", 2)
                )
            self.nursery = nursery
            cast(Any, data_plane.upstream).connect = self._connect
            if self.drains:
                nursery.start_soon(self._drain)
            with trio.move_on_after(TIMEOUT_S) as limit:
                async with trio.open_nursery() as clients:
                    for number in range(self.client_count):
                        clients.start_soon(self.client, number)
            if limit.cancelled_caught:
                self.ledger.fail("a client waits without end")
            await trio.sleep(4.0)  # whoever runs late has run by then
            context = data_plane.request_context
            if context.requests or context.unrepeatable_ids:
                self.ledger.fail("still owed", list(context.requests))
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Do as `pilot.run` does when it is told to end."""
        data_plane = self.data_plane
        await trio.sleep(self.random.uniform(0.0, 1.5))
        data_plane.draining = True
        await trio.sleep(process.DRAIN_ACCEPT_S)
        self.requests_per_client = 0
        await data_plane.drain()

    async def _connect(self, conn: Any) -> Link | None:
        random = self.random
        await trio.sleep(random.choice((0.0, 0.001, 0.01)))
        if random.random() < 0.05 * self.fault_share:
            self.data_plane.upstream.dial_failed(conn)
            return None
        if conn.state.value == "closed":
            return None
        near = DataPlaneEnd(random, random.choice((math.inf, math.inf, 300, 30_000)))
        self.nursery.start_soon(self.faulty_servers[conn.server.decode()].serve, near.far)
        return cast(Link, near)

    async def client(self, number: int) -> None:
        """Ask until all is asked."""
        asks = self.requests_per_client
        while asks > 0 and self.requests_per_client:
            asks = await self._converse(self.connect_client(), number, asks)

    def connect_client(self) -> PeerEnd:
        """Open a client's connection."""
        near = DataPlaneEnd(self.random, math.inf)
        link = cast(Link, near)
        front = Http1Connection(link, self.data_plane, patience=self.data_plane.patience)
        self.nursery.start_soon(self.data_plane.serve, front, link)
        return near.far

    def _request(self, number: int) -> tuple[str, bytes, float, int]:
        random = self.random
        path = EFFECTFUL_PREFIX if random.random() < self.effectful_share else PURE_PREFIX
        request_id = f"a{number}.{len(self.ledger.requests)}"
        length = random.choice((0, 0, 0, 40, 3000))
        if random.random() < 0.15:
            length = random.randint(LONG_BODY_BYTES, 3 * LONG_BODY_BYTES)
        wait = random.choice((300, 900, 2000))
        self.ledger.requests[request_id] = path, length
        head = (
            f"POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {wait}\r\n"
        )
        body = request_body(request_id, length)
        if random.random() < 0.5:
            return request_id, f"{head}Content-Length: {length}\r\n\r\n".encode() + body, wait, length
        chunks = b"%x\r\n%s\r\n" % (length, body) if length else b""
        return (
            request_id,
            f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n",
            wait,
            length,
        )

    async def _converse(self, end: PeerEnd, number: int, asks: int) -> int:
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
            request_id, _, wait, length = coming.pop(0)
            if random.random() < 0.03:
                await trio.sleep(random.uniform(0.0, 0.1))
                end.close(random.choice(("end", "reset")))
                return asks
            begun = trio.current_time()
            rest, goes_on, flows = await self.read(end, request_id, rest)
            late = 1000.0 * (trio.current_time() - begun) - wait - GRACE_MS
            if late > 0 and length < LONG_BODY_BYTES and not flows:
                self.ledger.fail("answered late", request_id, late)
            if not goes_on:
                end.close()
                return asks
            if not coming and random.random() < 0.5:
                await trio.sleep(random.choice((0.0, 0.01, 0.5)))
                if rest or end.got:
                    self.ledger.fail("bytes that nobody asked for", bytes(rest + end.got)[:200])
        end.close()
        return asks

    async def _say(self, end: PeerEnd, said: bytes) -> None:
        at = self.random.randint(0, len(said)) if self.random.random() < 0.5 else len(said)
        end.say(said[:at])
        if at < len(said):
            await trio.sleep(self.random.choice((0.0, 0.01, 0.1)))
            end.say(said[at:])

    async def read(self, end: PeerEnd, request_id: str, rest: bytes) -> tuple[bytes, bool, bool]:
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
                    self.ledger.fail("bytes that are no answer", request_id)
                self.ledger.seen["cut to the client"] += 1
                return b"", False, flows
            if event is h11.NEED_DATA:
                if not end.got and not await end.more():
                    if end.reset and (status or http.trailing_data[0]):
                        self.ledger.seen["reset to the client"] += 1
                        return b"", False, flows
                    if not status and not http.trailing_data[0]:
                        self.ledger.seen["closed to the client"] += 1
                        return b"", False, flows
                    http.receive_data(b"")
                    continue
                data = await end.part(len(end.got))
                http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
                flows = int(headers.get("content-length", LONG_BODY_BYTES + 1)) > LONG_BODY_BYTES  # it flows
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ledger.read(request_id, status, headers, body)
                if NOT_EXECUTED_HEADER in headers and self.ledger.executions[request_id]:
                    self.ledger.fail("said not to have run", request_id)
                return http.trailing_data[0], headers.get("connection") != "close", flows


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    for one in group.exceptions:
        return _first_error(one) if isinstance(one, BaseExceptionGroup) else one
    return group
