"""A stand-in server of a local gateway, which speaks the published protocol.

It seals its answers, counts executions by attempt id, answers 503 when full and 421 to a request for another
instance, sends heartbeats to the control plane and drains before it stops. Where `fault_share` is set it
spoils that share of its answers, each by a random `ResponseFault`.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from random import Random

import h11
import trio

from wickspring.lab.emulation.http_call import HttpRequest, call
from wickspring.lab.emulation.sockets import peek

SERVER_PORT = 8080
CONTROL_PORT = 8783
HEARTBEAT_S = 0.5
HEARTBEAT_RETRY_S = 0.05
DRAIN_S = 2.5  # after an acknowledged drain in which requests may still arrive
READ_SIZE = 65536
CUT_BODY_BYTES = 4
USER_HEADER = "X-User"  # of a request, that is echoed
LONG_PATH = "long"  # the end of a path whose response is long
LONG_BODY_BYTES = 300_000

Headers = list[tuple[str, str]]


class ResponseFault(Enum):
    """The ways to spoil a response."""

    OTHER_ID = "other_id"  # an attempt id that was not asked for
    NO_SEAL = "no_seal"
    ENCODED = "encoded"  # an unknown content encoding
    CUT = "cut"  # the connection ends in the body
    SURPLUS = "surplus"  # the response is sent twice
    JUNK = "junk"  # no HTTP at all
    FAILURE = "failure"  # status 500


@dataclass(slots=True, frozen=True)
class ServerResponse:
    """A response to send."""

    status: int
    headers: Headers
    body: bytes = b""

    def encode_head(self, http: h11.Connection) -> bytes:
        """Return the status line and the headers."""
        fields = [*self.headers, ("Content-Length", str(len(self.body)))]
        headers = [(name.encode(), value.encode("latin-1")) for name, value in fields]
        return http.send(h11.Response(status_code=self.status, headers=headers)) or b""

    def encode(self, http: h11.Connection) -> bytes:
        """Return the complete response."""
        head = self.encode_head(http)
        body = http.send(h11.Data(data=self.body)) or b""
        return head + body + (http.send(h11.EndOfMessage()) or b"")


@dataclass(slots=True)
class Execution:
    """One run of a request, in seconds of trio's clock; `ends_at` is None while it goes on."""

    request_id: str
    begins_at: float
    ends_at: float | None = None


@dataclass
class StandInServer:
    """One stand-in server; tests set `state`, `capacity`, service times and `fault_share` as it runs."""

    ip: str
    service: str
    control_planes: list[str]
    id: str
    service_time_s: float = 0.01
    slow_share: float = 0.0  # of the requests, which take `slow_time_s`
    slow_time_s: float = 0.0
    capacity: int = 4
    state: str = "ready"
    call_seq: int = 0
    in_flight: int = 0
    executions: Counter[str] = field(default_factory=Counter)  # by attempt id
    executions_by_tenant: Counter[str] = field(default_factory=Counter)
    execution_log: list[Execution] = field(default_factory=list)
    drain_acknowledged: bool = False
    drain_acknowledged_at: float = float("inf")
    late_requests: int = 0  # later than DRAIN_S after the acknowledgement
    fault_share: float = 0.0
    random: Random = field(default_factory=lambda: Random(1))
    faults_sent: Counter[ResponseFault] = field(default_factory=Counter)

    async def run(self) -> None:
        """Serve and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(SERVER_PORT, host=self.ip)
            nursery.start_soon(partial(trio.serve_listeners, self._serve, listeners))
            nursery.start_soon(self._send_heartbeats)

    # Heartbeats.

    async def _send_heartbeats(self) -> None:
        """Send heartbeats to one control-plane node, and to the next where it does not answer."""
        node = 0
        while True:
            self.call_seq += 1
            state = self.state
            request = HttpRequest("POST", f"/servers/{self.id}/heartbeat", self._heartbeat())
            control_plane = self.control_planes[node % len(self.control_planes)]
            status, _ = await call(control_plane, CONTROL_PORT, request)
            if status == 200:
                if state == "draining":
                    self._on_drain_acknowledged()
                await trio.sleep(HEARTBEAT_S)
            else:
                node += 1
                await trio.sleep(HEARTBEAT_RETRY_S)

    def _heartbeat(self) -> str:
        body = {
            "address": f"{self.ip}:{SERVER_PORT}",
            "build_info": {
                "service": self.service,
                "generation": "v1",
                "zone": "a",
                "capacity": self.capacity,
            },
            "condition": {"state": self.state, "call_seq": self.call_seq, "cold_left_s": 0},
        }
        return json.dumps(body)

    def _on_drain_acknowledged(self) -> None:
        if not self.drain_acknowledged:
            self.drain_acknowledged = True
            self.drain_acknowledged_at = trio.current_time()

    # Requests.

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(http, stream):
                http.start_next_cycle()
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await stream.aclose()

    async def _serve_request(self, http: h11.Connection, stream: trio.SocketStream) -> bool:
        """Serve one request; False where the connection is to end."""
        headers = await self._read_request(http, stream)
        if headers is None:
            return False
        self.late_requests += trio.current_time() > self.drain_acknowledged_at + DRAIN_S
        attempt_id = headers.get("x-attempt-id", "")
        attempt_header = ("X-Attempt-Id", attempt_id)
        if headers.get("x-target-instance", self.id) != self.id:
            response = ServerResponse(421, [attempt_header, ("X-Instance-Id", self.id)])
        elif self.in_flight >= self.capacity:
            response = ServerResponse(503, [attempt_header, ("X-Not-Executed", "1")])
        else:
            if not await self._execute(attempt_id, headers.get("x-tenant", ""), stream):
                return False
            seal = ("X-Server-Seal", f"seal.{attempt_id}")
            body = f"{attempt_id} by {self.id}\n".encode()
            if headers[":path"].endswith(LONG_PATH):
                body *= LONG_BODY_BYTES // len(body)
            response = ServerResponse(200, [attempt_header, seal, *_echoed_fields(headers)], body)
            if self.random.random() < self.fault_share:
                fault = self.random.choice(tuple(ResponseFault))
                return await self._send_faulty(http, stream, fault, response)
        await stream.send_all(response.encode(http))
        return http.our_state is h11.DONE

    @staticmethod
    async def _read_request(http: h11.Connection, stream: trio.SocketStream) -> dict[str, str] | None:
        """Read a request to its end; return its headers and `:path`, or None at the end of the connection."""
        headers: dict[str, str] = {}
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_SIZE))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                headers[":path"] = event.target.decode()
            elif isinstance(event, h11.EndOfMessage):
                return headers
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def _execute(self, attempt_id: str, tenant: str, stream: trio.SocketStream) -> bool:
        """Execute a request; False where it was dropped, since its connection has been closed."""
        self.in_flight += 1
        self.executions[attempt_id] += 1
        self.executions_by_tenant[tenant] += 1
        execution = Execution(attempt_id, trio.current_time())
        self.execution_log.append(execution)
        is_slow = self.slow_share > 0.0 and self.random.random() < self.slow_share
        try:
            with trio.move_on_after(self.slow_time_s if is_slow else self.service_time_s) as work:
                await _wait_until_closed(stream)
        finally:
            self.in_flight -= 1
            execution.ends_at = trio.current_time()
        return work.cancelled_caught

    async def _send_faulty(
        self,
        http: h11.Connection,
        stream: trio.SocketStream,
        fault: ResponseFault,
        response: ServerResponse,
    ) -> bool:
        """Send a spoilt response; False where the connection is to end."""
        self.faults_sent[fault] += 1
        if fault is ResponseFault.JUNK:
            await stream.send_all(b"no answer at all\r\n\r\n")
            return False
        faulty = _spoil(response, fault)
        if fault is ResponseFault.CUT:
            await stream.send_all(faulty.encode_head(http) + faulty.body[:CUT_BODY_BYTES])
            return False
        data = faulty.encode(http)
        await stream.send_all(data)
        if fault is ResponseFault.SURPLUS:  # late, in place of the next response
            await trio.sleep(self.service_time_s / 2)
            await stream.send_all(data)
        return http.our_state is h11.DONE


def _echoed_fields(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return the fields of a request that go back to its client, octet by octet."""
    user = headers.get(USER_HEADER.lower())
    return [] if user is None else [(USER_HEADER, user)]


async def _wait_until_closed(stream: trio.SocketStream) -> None:
    """Wait until the other side has closed a connection on which it owes nothing."""
    await trio.lowlevel.wait_readable(stream.socket)
    if peek(stream.socket) != b"":
        await trio.sleep_forever()


def _spoil(response: ServerResponse, fault: ResponseFault) -> ServerResponse:
    """Return a response with the fault in its status or headers, if the fault is of that kind."""
    attempt_header, *other_headers = response.headers
    if fault is ResponseFault.OTHER_ID:
        return ServerResponse(response.status, [("X-Attempt-Id", "another"), *other_headers], response.body)
    if fault is ResponseFault.NO_SEAL:
        return ServerResponse(response.status, [attempt_header], response.body)
    if fault is ResponseFault.ENCODED:
        headers = [*response.headers, ("Content-Encoding", "odd")]
        return ServerResponse(response.status, headers, response.body)
    if fault is ResponseFault.FAILURE:
        return ServerResponse(500, response.headers, response.body)
    return response
