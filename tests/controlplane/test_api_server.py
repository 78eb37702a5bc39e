"""The HTTP server of the control plane: which handler answers a call, and what happens without one."""

from __future__ import annotations

import json
import re
import socket
import tracemalloc

import pytest
import trio
import trio.testing

from wickspring.common import logs
from wickspring.common.settings import Limits
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, find_handler
from wickspring.controlplane.api.server import BODIES_SHARE, MAX_BODY_BYTES, ApiServer, serve_http
from wickspring.controlplane.process import finish_calls
from wickspring.net.body_stream import BodyStream
from wickspring.net.connection_drain import DrainTimes
from wickspring.net.http_server import HttpRequest
from wickspring.net.link import Link

PIECE_BYTES = 1 << 20
SLOW_S = 0.1
ENDS_WITHIN_S = 20.0


class RecordingClient:
    """The place of one call, which keeps its answer."""

    def __init__(self) -> None:
        self.numbers: list[int] = []
        self.answers: list[tuple[int, str, bytes]] = []

    def request_accepted(self, number: int, budget: float) -> None:
        self.numbers.append(number)

    def respond(self, status: int, retry_after: str, body: bytes) -> None:
        self.answers.append((status, retry_after, body))

    def begin_response(self, length: int | None) -> None:
        raise AssertionError("answers of the API are not streamed")

    def write_body(self, data: bytes) -> None:
        raise AssertionError("answers of the API are not streamed")

    async def wait_writable(self) -> bool:
        return True

    def end_response(self, complete: bool) -> None:
        raise AssertionError("answers of the API are not streamed")

    def fail_request(self) -> None:
        raise AssertionError("only a server that has caught a fault calls this")


class EchoHandler:
    """Answers with the named part of the path and the length of the body."""

    method = "POST"
    path = re.compile(r"/echo/(?P<id>\w+)\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        body = f"{request.parts['id']} {len(request.body)}"
        return ApiResponse(200, body.encode(), "0.25")


class FailingHandler:
    """Fails on every call."""

    method = "GET"
    path = re.compile(r"/fail\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        raise RuntimeError("a fault of the handler")


def call(
    method: str, target: str, body: bytes = b"", body_stream: BodyStream | None = None
) -> RecordingClient:
    """Have one call answered by a server with both handlers."""
    client = RecordingClient()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = ApiServer(nursery, Limits())
            server.handlers = [EchoHandler(), FailingHandler()]
            server.handle_request(client, HttpRequest(method, target, {}, body, body_stream))

    trio.run(run)
    return client


def stream_of(pieces: int) -> BodyStream:
    body_stream = BodyStream(None)
    for _ in range(pieces):
        body_stream.write(bytes(PIECE_BYTES))
    body_stream.write_eof()
    return body_stream


def test_a_call_goes_to_the_handler_of_its_method_and_path() -> None:
    client = call("POST", "/echo/i1?verbose=1", b"four")
    assert client.answers == [(200, "0.25", b"i1 4")] and client.numbers == [1]


@pytest.mark.parametrize(("method", "target"), [("GET", "/echo/i1"), ("POST", "/echo/i1/more"), ("GET", "/")])
def test_a_call_without_a_handler_is_not_found(method: str, target: str) -> None:
    client = call(method, target)
    ((status, retry_after, body),) = client.answers
    assert status == 404 and not retry_after and not client.numbers
    assert json.loads(body) == {"kind": "not_found", "reason": target}


def test_a_body_that_comes_in_pieces_is_read_to_its_end() -> None:
    client = call("POST", "/echo/i1", b"head", stream_of(3))
    assert client.answers == [(200, "0.25", f"i1 {4 + 3 * PIECE_BYTES}".encode())]


def test_a_body_over_the_limit_is_refused() -> None:
    body_stream = stream_of(MAX_BODY_BYTES // PIECE_BYTES)
    client = call("POST", "/echo/i1", b"one byte too many", body_stream)
    assert client.answers == [(413, "", b"")] and body_stream.closed


def test_a_fault_of_a_handler_is_answered_and_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[tuple[str, object]] = []
    monkeypatch.setattr(logs, "log_event", lambda name, **fields: events.append((name, fields["path"])))
    client = call("GET", "/fail")
    assert client.answers == [(500, "", b"{}")] and events == [("request_failed", "/fail")]


def test_no_handler_is_found_for_a_path_that_only_begins_alike() -> None:
    handlers = [EchoHandler()]
    assert find_handler(handlers, "POST", "/echo/i1") == (handlers[0], {"id": "i1"})
    with pytest.raises(LookupError):
        find_handler(handlers, "POST", "/echo/i1/")


class SlowHandler(EchoHandler):
    """Answers after a while."""

    async def call(self, request: ApiRequest) -> ApiResponse:
        await trio.sleep(SLOW_S)
        return await super().call(request)


def test_a_call_in_progress_is_answered_before_the_process_ends() -> None:
    async def connect(server: ApiServer) -> trio.SocketStream:
        near, far = socket.socketpair()
        server.nursery.start_soon(serve_http, Link(near, server.nursery), server)
        await trio.testing.wait_all_tasks_blocked()
        return trio.SocketStream(trio.socket.from_stdlib_socket(far))

    async def main() -> None:
        with trio.fail_after(ENDS_WITHIN_S):
            await end_with_a_call_in_progress()

    async def end_with_a_call_in_progress() -> None:
        async with trio.open_nursery() as nursery:
            server = ApiServer(nursery, Limits())
            server.handlers = [SlowHandler()]
            nursery.start_soon(server.timers.run)
            busy, idle = await connect(server), await connect(server)
            await busy.send_all(b"POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            await trio.testing.wait_all_tasks_blocked()
            server.begin_drain(DrainTimes(take_ms=5000.0, answer_ms=5000.0, close_ms=5000.0))
            nursery.start_soon(finish_calls, server, None)
            assert await idle.receive_some(1) == b""
            answer = await busy.receive_some(4096)
            assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
            nursery.cancel_scope.cancel()

    trio.run(main)


BROKEN_CALLS = 80
BROKEN_BODY = 3_500_000  # bytes sent of a longer one


async def connect_to(server: ApiServer) -> trio.SocketStream:
    near, far = socket.socketpair()
    server.nursery.start_soon(serve_http, Link(near, server.nursery), server)
    await trio.testing.wait_all_tasks_blocked()
    return trio.SocketStream(trio.socket.from_stdlib_socket(far))


async def send_part(server: ApiServer, size: int) -> trio.SocketStream:
    """Send a part of a call's body on a new connection."""
    stream = await connect_to(server)
    await stream.send_all(b"POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n")
    with trio.move_on_after(1.0):
        await stream.send_all(bytes(size))
    return stream


def test_a_call_whose_connection_breaks_leaves_nothing_behind() -> None:
    """Guards against the memory of broken calls, which a node never gave back: 80 of them took 280 MB."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            server = ApiServer(nursery, Limits())
            handler = CountingHandler()
            server.handlers = [handler]
            tracemalloc.start()
            for _ in range(BROKEN_CALLS):
                await (await send_part(server, BROKEN_BODY)).aclose()
                await trio.testing.wait_all_tasks_blocked()
            used, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert used < 2 * BROKEN_BODY
            assert not nursery.child_tasks and not server.active_streams
            assert not handler.calls

    trio.run(main)


def test_bodies_that_are_read_at_the_same_time_share_a_memory_limit() -> None:
    """Guards against calls that are still arriving and together need more memory than a node has."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            server = ApiServer(nursery, Limits(memory_mb=64.0))
            server.handlers = [EchoHandler()]
            streams = [await send_part(server, 100_000) for _ in range(6)]
            assert server.active_streams == 64.0 * BODIES_SHARE * 2**20 // MAX_BODY_BYTES
            assert b" 503 " in await streams[-1].receive_some(100)
            for stream in streams:
                await stream.aclose()
            await trio.testing.wait_all_tasks_blocked()
            assert not server.active_streams
            nursery.cancel_scope.cancel()

    trio.run(main)


class CountingHandler(EchoHandler):
    """Counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, request: ApiRequest) -> ApiResponse:
        self.calls += 1
        return await super().call(request)


def test_a_call_that_has_come_whole_goes_on_whole_without_its_caller() -> None:
    """Guards against a call that is handled with a part of its body, as its caller left after sending it."""
    body_stream = stream_of(1)
    handler = CountingHandler()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = ApiServer(nursery, Limits())
            server.handlers = [handler]
            client = RecordingClient()
            server.handle_request(client, HttpRequest("POST", "/echo/i1", {}, b"head", body_stream))
            server.client_disconnected(client.numbers[0])
        assert client.answers == [(200, "0.25", f"i1 {4 + PIECE_BYTES}".encode())]

    trio.run(run)
    assert handler.calls == 1
