"""A data plane that is told to end while its clients go on using their connections until it is gone.

Every request is judged as a user would: once the process has read the whole of it, its connection must not
end without a complete response, unless an endpoint is at work on it for longer than the process may go on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

import h11
import trio

from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX
from wickspring.lab.simulation.request_path.faulty_server import FaultyServer, ReceivedRequest
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX, request_body
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd, PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link

SIGTERM_AT_S = 1.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2  # in which a connection may end unanswered after a request that was not passed on
DEADLINE_MS = 8000  # beyond the grace period, as clients' deadlines may be
SERVICE_TIMES_S = (0.05, 0.05, 0.3, 1.0, 2.5, 4.0)
LONG_BODY_BYTES = 60_000  # below what is streamed: the whole response is written at once
STREAMED_BODY_BYTES = 200_000  # above it
UPLOAD_BYTES = 150_000
UPLOAD_PIECE_BYTES = 50_000
KERNEL_BYTES = 20_000  # that are buffered for a client that reads slowly
SLOW_READ_BYTES = 8_000
SLOW_READ_PAUSE_S = 0.15


class ClientBehaviour(Enum):
    """How a client uses its one connection."""

    BUSY = "busy"  # request after request
    RESTING = "resting"  # one request, and another much later
    SILENT = "silent"  # connected, and a first request much later
    SLOW_SENDER = "slow_sender"  # the end of each request comes some time after its beginning
    SLOW_READER = "slow_reader"  # long responses are read slowly
    STREAMING = "streaming"  # longer ones, which are passed on as they arrive
    UPLOADER = "uploader"  # long bodies, which are passed on as they arrive, in pieces with pauses


@dataclass(slots=True)
class SentRequest:
    """One request, as its client observes it; times are seconds of virtual time."""

    id: str
    end: PeerEnd
    sent_at: float = math.inf  # its last byte
    last_byte: int = 0  # its position among the bytes that the client has sent on the connection
    status: int = 0  # of its complete response; 0 where there is none
    ended_at: float = math.inf

    @property
    def is_read(self) -> bool:
        """Whether the process has read the whole of it."""
        return self.end.data_plane_end.bytes_read >= self.last_byte


@dataclass(slots=True)
class Work:
    """The time that an endpoint takes for one request."""

    begins_at: float
    ends_at: float


@dataclass
class SteadyServer(FaultyServer):
    """An endpoint that answers every request well, some of them after seconds."""

    work: dict[str, Work] = field(default_factory=dict)  # by request id, the latest

    async def _reply(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        service_time_s = self.ledger.random.choice(SERVICE_TIMES_S)
        now = trio.current_time()
        self.work[request.id] = Work(now, now + service_time_s)
        await trio.sleep(service_time_s)
        end.send(self._compose(request, executed=True).data)
        return True

    def _body(self, request: ReceivedRequest, executed: bool) -> bytes:
        line = f"{request.id} by {self.name}\n".encode()
        length = {"long": LONG_BODY_BYTES, "streamed": STREAMED_BODY_BYTES}.get(request.id.split(".")[-1], 0)
        return line * max(1, length // len(line))


@dataclass
class PlannedEnd(Simulation):
    """One planned end of a data plane among sound endpoints."""

    client_count: int = 12
    behaviours: tuple[ClientBehaviour, ...] = tuple(ClientBehaviour)
    fault_share: float = 0.0
    timeout_s: float = DEADLINE_MS / 1000.0
    rests_until_s: tuple[float, float] = (0.0, GRACE_S)  # since SIGTERM, of clients that rest

    def __post_init__(self) -> None:
        """Create endpoints that are sound."""
        super().__post_init__()
        self.drains = True
        self.sent: list[SentRequest] = []
        self.process_ended_at = math.inf
        self.connection_scopes: list[trio.CancelScope] = []  # of the process's clients
        self.servers = {name: SteadyServer(name, self.ledger, 0.0) for name in self.faulty_servers}
        self.faulty_servers = dict(self.servers)

    async def _drain(self) -> None:
        """Shut down as the process does on SIGTERM, then end all that is left of it."""
        await trio.sleep(SIGTERM_AT_S)
        await self.shut_down()
        self.process_ended_at = trio.current_time()
        for scope in self.connection_scopes:
            scope.cancel()

    # Clients.

    async def client(self, number: int) -> None:
        """Use one connection until it has ended or the process is gone."""
        behaviour = self.random.choice(self.behaviours)
        kernel_bytes = KERNEL_BYTES if behaviour is ClientBehaviour.SLOW_READER else math.inf
        await trio.sleep(self.random.uniform(0.0, 1.3 * SIGTERM_AT_S))
        if self.process_ended_at < math.inf:
            return
        near = DataPlaneEnd(self.random, kernel_bytes)
        self.serve_connection(near)
        end = near.peer
        if behaviour is ClientBehaviour.SILENT:
            await self._rest()
        sequence = 0
        while not end.ended and trio.current_time() < SIGTERM_AT_S + GRACE_S:
            sequence += 1
            if not await self._exchange(end, f"c{number}.{sequence}", behaviour):
                break
            if behaviour is ClientBehaviour.RESTING:
                await self._rest()
            else:
                await trio.sleep(self.random.choice((0.0, 0.01, 0.3)))
        end.close()

    def serve_connection(self, near: DataPlaneEnd) -> None:
        """Have the data plane serve a client's connection."""
        link = cast(Link, near)
        front = Http1Connection(link, self.data_plane, limits=lambda: self.data_plane.front_limits)
        self.nursery.start_soon(self._serve, front, link)

    async def _serve(self, front: Http1Connection, link: Link) -> None:
        with trio.CancelScope() as scope:
            self.connection_scopes.append(scope)
            await self.data_plane.serve(front, link)

    async def _rest(self) -> None:
        """Rest until a random time after SIGTERM."""
        await trio.sleep_until(SIGTERM_AT_S + self.random.uniform(*self.rests_until_s))

    async def _exchange(self, end: PeerEnd, request_id: str, behaviour: ClientBehaviour) -> bool:
        """Send one request and read its response; False where the connection is not to be used again."""
        if behaviour is ClientBehaviour.SLOW_READER:
            request_id += ".long"
        elif behaviour is ClientBehaviour.STREAMING:
            request_id += ".streamed"
        path = EFFECTFUL_PREFIX if self.random.random() < self.effectful_share else PURE_PREFIX
        body_length = UPLOAD_BYTES if behaviour is ClientBehaviour.UPLOADER else 0
        self.ledger.requests[request_id] = path, body_length
        request = SentRequest(request_id, end)
        await self._send(request, encode_request(path, request_id, body_length), behaviour)
        self.sent.append(request)
        goes_on = await self._read(request, behaviour)
        request.ended_at = trio.current_time()
        return goes_on

    async def _send(self, request: SentRequest, data: bytes, behaviour: ClientBehaviour) -> None:
        end = request.end
        if behaviour is ClientBehaviour.SLOW_SENDER:
            half = len(data) // 2
            end.send(data[:half])
            await trio.sleep(self.random.uniform(0.0, 1.5))
            data = data[half:]
        while behaviour is ClientBehaviour.UPLOADER and len(data) > UPLOAD_PIECE_BYTES and not end.ended:
            end.send(data[:UPLOAD_PIECE_BYTES])
            data = data[UPLOAD_PIECE_BYTES:]
            await trio.sleep(self.random.uniform(0.0, 0.4))
        end.send(data)
        request.sent_at = trio.current_time()
        request.last_byte = end.bytes_sent

    async def _read(self, request: SentRequest, behaviour: ClientBehaviour) -> bool:
        """Read a response; False where the connection ends with it or before it is complete."""
        end = request.end
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/", headers=[("Host", HOST), ("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        status = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if not end.received and not await end.wait_for_more():
                    return False
                if behaviour is ClientBehaviour.SLOW_READER:
                    await trio.sleep(SLOW_READ_PAUSE_S)
                    http.receive_data(await end.read(SLOW_READ_BYTES))
                else:
                    http.receive_data(await end.read(len(end.received)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                request.status = status
                self.ledger.seen[f"told[{status}]"] += 1
                return http.their_state is h11.DONE

    # What was lost.

    def lost(self) -> list[SentRequest]:
        """Return the requests that were taken and neither answered nor refused."""
        return [request for request in self.sent if self._is_lost(request)]

    def _is_lost(self, request: SentRequest) -> bool:
        if request.status or not request.is_read:
            return False
        was_passed_on = bool(self.ledger.sent_to[request.id])
        ended_late = request.ended_at - request.sent_at > LOSS_SLACK_S
        return (was_passed_on or ended_late) and not self._outlasts_the_process(request)

    def _outlasts_the_process(self, request: SentRequest) -> bool:
        """Return whether an endpoint is at work in the second half of the grace period.

        It counts only for a request that was sent in the first half.
        """
        half = SIGTERM_AT_S + GRACE_S / 2.0
        latest = [one.work[request.id] for one in self.servers.values() if request.id in one.work]
        return request.sent_at <= half and any(work.ends_at > half for work in latest)


def encode_request(path: str, request_id: str, body_length: int = 0) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"POST {path}x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Key: {API_KEY}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"Content-Length: {body_length}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + request_body(request_id, body_length)
