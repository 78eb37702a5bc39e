"""The clients of a soak: each uses one connection for request after request, until the other side ends it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

import h11
import trio

from wickspring.lab.emulation.local_gateway import (
    API_KEY,
    EFFECTFUL_PREFIX,
    FRONT_PORT,
    HOST,
    PURE_PREFIX,
)
from wickspring.lab.emulation.stand_in_server import LONG_PATH, USER_HEADER
from wickspring.lab.experiments.soak.observations import SoakRequest

DEADLINE_S = 5.0
ANSWER_TIMEOUT_S = DEADLINE_S + 1.0
EFFECTFUL_SHARE = 0.3
LEAVE_SHARE = 0.25  # of the requests, whose client does not wait for the answer
LEAVE_AFTER_S = (0.02, 0.2)
THINK_S = (0.0, 0.25)
REST_SHARE = 0.06  # of the pauses, which are long: the connection is used late in the life of its process
REST_S = (0.5, 5.0)
RECONNECT_S = 0.1
READ_SIZE = 65536
SLOW_READ_SIZE = 16384
SLOW_READ_PAUSE_S = 0.03
SLOW_SEND_PAUSE_S = (0.0, 1.0)
ODD_OCTETS_SHARE = 0.2  # of the requests
ODD_OCTETS = 6
UPLOAD_BYTES = 150_000  # more than is buffered, so that it is streamed
SLOW_UPLOAD_BYTES = 20_000  # less than is buffered
SLOW_UPLOAD_PIECES = 20
SLOW_UPLOAD_S = (2.0, 4.0)
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class RequestShape(Enum):
    """How a request is sent, and its answer read."""

    PLAIN = "plain"
    SENT_SLOWLY = "sent_slowly"  # in two parts, with a pause between
    UPLOAD = "upload"  # with a long body
    SLOW_UPLOAD = "slow_upload"  # with a body that comes in pieces, for most of the time that a request has
    LONG_ANSWER = "long_answer"  # that is read slowly


SHAPE_WEIGHTS = {
    RequestShape.PLAIN: 20,
    RequestShape.SENT_SLOWLY: 2,
    RequestShape.UPLOAD: 1,
    RequestShape.SLOW_UPLOAD: 1,
    RequestShape.LONG_ANSWER: 1,
}

BODY_BYTES = {RequestShape.UPLOAD: UPLOAD_BYTES, RequestShape.SLOW_UPLOAD: SLOW_UPLOAD_BYTES}


@dataclass(slots=True)
class ClientSettings:
    """What all clients of a run share."""

    data_planes: list[str]
    is_over: Callable[[], bool]
    pressure: Callable[[], float]  # how much harder than usual clients press


class SoakClient:
    """One client."""

    def __init__(self, number: int, seed: int, settings: ClientSettings, log: list[SoakRequest]) -> None:
        self._name = f"s{seed}.{number}"
        self._random = Random(f"client {seed} {number}")
        self._settings = settings
        self._log = log
        self._sent = 0

    async def run(self) -> None:
        """Send requests until the run is over."""
        while not self._settings.is_over():
            data_plane = self._random.choice(self._settings.data_planes)
            try:
                stream = await trio.open_tcp_stream(data_plane, FRONT_PORT)
            except OSError:
                await trio.sleep(RECONNECT_S)
                continue
            async with stream:
                await self._use(stream, data_plane)

    async def _use(self, stream: trio.SocketStream, data_plane: str) -> None:
        """Use a connection for as long as it lasts."""
        http = h11.Connection(h11.CLIENT)
        settings = self._settings
        while not settings.is_over():
            request = self._next_request(data_plane)
            try:
                if not await self._exchange(http, stream, request):
                    return
                http.start_next_cycle()
            except BROKEN:
                return
            finally:
                request.ended_at = trio.current_time()
            await trio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        if self._random.random() < REST_SHARE:
            return self._random.uniform(*REST_S)
        return self._random.uniform(*THINK_S) / self._settings.pressure()

    def _next_request(self, data_plane: str) -> SoakRequest:
        self._sent += 1
        effectful = self._random.random() < EFFECTFUL_SHARE
        request = SoakRequest(f"{self._name}.{self._sent}", effectful, data_plane, trio.current_time())
        request.user = self._draw_user()
        self._log.append(request)
        return request

    async def _exchange(self, http: h11.Connection, stream: trio.SocketStream, request: SoakRequest) -> bool:
        """Send a request and read its answer; False where the connection is not to be used again."""
        leaves = self._random.random() < LEAVE_SHARE
        shape = self._random.choices(list(SHAPE_WEIGHTS), list(SHAPE_WEIGHTS.values()))[0]
        wait_s = self._random.uniform(*LEAVE_AFTER_S) if leaves else ANSWER_TIMEOUT_S
        with trio.move_on_after(wait_s) as patience:
            await self._send(stream, _encode(http, request, shape), shape)
            request.fully_sent_at = trio.current_time()
            await _read_answer(http, stream, request, shape)
        if patience.cancelled_caught:
            await trio.aclose_forcefully(stream)
            if leaves:
                request.left_at = trio.current_time()
            else:
                request.timed_out = True
            return False
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def _draw_user(self) -> bytes:
        """Return the value of a header that goes on to the server, at times with octets above ASCII."""
        if self._random.random() >= ODD_OCTETS_SHARE:
            return b"user"
        return bytes(self._random.randint(0x80, 0xFF) for _ in range(ODD_OCTETS))

    async def _send(self, stream: trio.SocketStream, data: bytes, shape: RequestShape) -> None:
        if shape is RequestShape.SENT_SLOWLY:
            half = len(data) // 2
            await stream.send_all(data[:half])
            await trio.sleep(self._random.uniform(*SLOW_SEND_PAUSE_S))
            data = data[half:]
        elif shape is RequestShape.SLOW_UPLOAD:
            pause_s = self._random.uniform(*SLOW_UPLOAD_S) / SLOW_UPLOAD_PIECES
            size = len(data) // SLOW_UPLOAD_PIECES + 1
            while len(data) > size:
                await stream.send_all(data[:size])
                data = data[size:]
                await trio.sleep(pause_s)
        await stream.send_all(data)


def _encode(http: h11.Connection, request: SoakRequest, shape: RequestShape) -> bytes:
    method, path = ("POST", EFFECTFUL_PREFIX) if request.effectful else ("GET", PURE_PREFIX)
    body = bytes(BODY_BYTES.get(shape, 0))
    name = LONG_PATH if shape is RequestShape.LONG_ANSWER else "1"
    fields = {
        "Host": HOST,
        "X-Key": API_KEY,
        "X-Attempt-Id": request.id,
        "X-Deadline-Ms": str(int(1000.0 * DEADLINE_S)),
        "Content-Length": str(len(body)),
    }
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    headers.append((USER_HEADER.encode(), request.user))
    data = http.send(h11.Request(method=method, target=f"{path}{name}", headers=headers)) or b""
    data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


async def _read_answer(
    http: h11.Connection, stream: trio.SocketStream, request: SoakRequest, shape: RequestShape
) -> None:
    """Read one answer; only a complete one counts."""
    status, body = 0, b""
    reads_slowly = shape is RequestShape.LONG_ANSWER
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            if reads_slowly:
                await trio.sleep(SLOW_READ_PAUSE_S)
            http.receive_data(await stream.receive_some(SLOW_READ_SIZE if reads_slowly else READ_SIZE))
        elif isinstance(event, h11.Response):
            status = event.status_code
            request.echoed_user = dict(event.headers).get(USER_HEADER.lower().encode(), b"")
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            request.status, request.body = status, body
            return
        elif isinstance(event, h11.ConnectionClosed):
            return
