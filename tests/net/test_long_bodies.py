"""Bodies and answers longer than what is held, slow peers, and the forms of HTTP/1.1."""

from __future__ import annotations

import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import pytest
import trio

from example.toy import Answer, Seen, ToyServer
from tests.support.ingress import Client1, client1, client2, request, site
from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.core import effects as core
from wickspring.core.reducer import Reducer
from wickspring.net import http1_front, http1_syntax
from wickspring.net.body_stream import BUFFER_BYTES
from wickspring.net.http_server import TRANSFER_BYTES

LONG = os.urandom(3_000_000)


def run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test)


async def long_answer(_: Seen) -> Answer:
    return Answer(body=LONG)


async def long_answers(_: Seen) -> Answer:
    return Answer(body=LONG * 8)


async def size_of_body(seen: Seen) -> Answer:
    return Answer(body=str(len(seen.body)).encode())


def raw(body: bytes, *, version: str = "1.1", framing: str = "", call: dict[str, Any] | None = None) -> bytes:
    """Write a request by hand, its framing as given."""
    call = call or request("ticket-reply")
    lines = [f"{call['method']} {call['target']} HTTP/{version}", "Host: app.svc"]
    lines += [f"{name}: {value}" for name, value in call["headers"].items()]
    return "\r\n".join([*lines, *([framing] if framing else []), "", ""]).encode() + body


async def read_to_end(stream: trio.SocketStream) -> bytes:
    got = b""
    while data := await stream.receive_some(65536):
        got += data
    return got


@pytest.mark.parametrize("front", ["http1", "http2"])
def test_a_long_response_is_complete_and_the_connection_is_reused(front: str) -> None:
    async def main() -> None:
        async with site(ToyServer("s0", long_answer)) as here:
            if front == "http1":
                client = await client1(here.http1)
                for _ in range(2):
                    status, headers, body = await client.ask(request())
                    assert (status, body) == (200, LONG) and headers["content-length"] == str(len(LONG))
            else:
                second = await client2(here.http2)
                got = [await second.ask(request()) for _ in range(2)]
                assert [(status, body) for status, _, body in got] == [(200, LONG)] * 2
            assert len(here.servers[0].sides) == 1 and here.tally_adds_up()
            assert not here.runtime.active_streams and not here.runtime.reducer.policy.streams

    run(main)


@pytest.mark.parametrize("kind", ["ticket-reply", "ticket-escalate"])
def test_a_long_body_reaches_the_server_unchanged(kind: str) -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            client = await client1(here.http1)
            for _ in range(2):
                assert (await client.ask(request(kind, body=LONG)))[0] == 200
            assert [seen.body == LONG for seen in here.servers[0].seen] == [True, True]
            assert here.tally_adds_up() and not here.runtime.active_streams

    run(main)


def test_a_chunked_long_body_with_extensions_and_trailers_in_odd_pieces() -> None:
    async def main() -> None:
        async with site(ToyServer("s0", size_of_body)) as here:
            chunks = [LONG[at : at + 70_001] for at in range(0, 1_400_020, 70_001)]
            body = b"".join(b"%x;a=b\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
            stream = await trio.open_tcp_stream(*here.http1)
            data = raw(body + b"0\r\nX-Sum: 1\r\n\r\n", framing="Transfer-Encoding: chunked")
            for at in range(0, len(data), 9973):
                await stream.send_all(data[at : at + 9973])
            got = await stream.receive_some(4096)
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"1400020")
            assert "x-sum" not in here.servers[0].seen[0].headers

    run(main)


def test_a_response_truncated_after_its_start_is_detectable_and_not_retried() -> None:
    async def broken(seen: Seen) -> Answer:
        await seen.connection.stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + LONG[:400_000]
        )
        return Answer(reset=1)

    async def main() -> None:
        async with site(ToyServer("s0", broken)) as here:
            client = await client1(here.http1)
            await client.stream.send_all(raw(b"", call=request()))
            got = b""
            with pytest.raises(trio.BrokenResourceError):  # with a reset, not in good order
                while data := await client.stream.receive_some(65536):
                    got += data
                raise AssertionError("it ended in good order")
            assert got.startswith(b"HTTP/1.1 200")
            assert len(here.servers[0].seen) == 1
            await here.owed_none()
            assert here.runtime.reducer.counters["failed"] == 1 and here.tally_adds_up()

    run(main)


def test_a_paused_client_applies_backpressure_to_the_server_and_then_gets_all() -> None:
    sent = 0

    async def endless(seen: Seen) -> Answer:
        nonlocal sent
        size = 32 << 20
        stream = seen.connection.stream
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        while sent < size:
            await stream.send_all(LONG[:65536])
            sent += 65536
        return Answer(reset=1)

    async def main() -> None:
        async with site(ToyServer("s0", endless)) as here:
            client = await client1(here.http1)
            await client.stream.send_all(raw(b"", call=request(x_budget_ms="300")))
            before = -1
            while sent != before or not sent:
                before = sent
                await trio.sleep(0.3)
            assert sent < 30 << 20  # what sockets hold, and no more
            held = sum(
                len(link._unsent)
                for c in here.runtime.connections
                if isinstance(c, http1_front.Http1Connection)
                for link in [c.link]
            )
            assert held <= TRANSFER_BYTES
            got = 0
            while got < 32 << 20:  # long past its time: the answer had begun
                got += len(await client.stream.receive_some(1 << 20))

    run(main)


def test_a_drain_completes_a_response_in_progress() -> None:
    async def main() -> None:
        async with site(ToyServer("s0", long_answers)) as here:
            client = await client1(here.http1)
            await client.send(request(x_budget_ms="300"))
            while not here.runtime.active_streams:
                await trio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(5.0)  # past the longest deadline
            assert (await client.answer())[2] == LONG * 8

    run(main)


def test_a_server_that_does_not_read_applies_backpressure_to_the_client() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            server = here.servers[0]

            async def deaf(stream: trio.SocketStream) -> None:
                await trio.sleep_forever()

            server.serve = deaf  # type: ignore[method-assign]
            client = await client1(here.http1)
            with trio.move_on_after(1.0) as limit:
                await client.send(request("ticket-reply", body=os.urandom(40 << 20)))
            assert limit.cancelled_caught
            streams = [
                c.body.stream for c in here.runtime.connections if isinstance(c, http1_front.Http1Connection)
            ]
            assert len(streams) == 1 and streams[0] is not None
            assert len(streams[0]._buffer) <= BUFFER_BYTES + 65536

    run(main)


def test_beyond_the_transfer_memory_only_long_requests_are_rejected() -> None:
    async def main() -> None:
        async with site(ToyServer("s0"), memory_mb=32.0) as here:
            most = int(0.15 * 32 * 2**20 / TRANSFER_BYTES)
            slow = [await client1(here.http1) for _ in range(most)]
            for client in slow:
                await client.stream.send_all(raw(LONG[:100_000], framing="Content-Length: 3000000"))
            while len(here.runtime.reducer.policy.streams) < most:
                await trio.sleep(0.01)
            late = await client1(here.http1)
            await late.stream.send_all(raw(LONG[:100_000], framing="Content-Length: 3000000"))
            status, headers, _ = await answer(late)
            assert status == 503 and float(headers["retry-after"]) > 0
            assert (await (await client1(here.http1)).ask(request("ticket-reply", body=b"x")))[0] == 200
            await slow[0].stream.send_all(LONG[100_000:])
            assert (await answer(slow[0]))[0] == 200
            for client in slow[1:]:
                await client.stream.aclose()
            while here.runtime.active_streams:
                await trio.sleep(0.01)
            assert (await (await client1(here.http1)).ask(request("ticket-reply", body=LONG)))[0] == 200

    run(main)


async def answer(client: Client1) -> tuple[int, dict[str, str], bytes]:
    """Read the answer to a request that was written by hand."""
    client.http.send(client_request())
    return await client.answer()


def client_request() -> h11.Request:
    return h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "1")])


def test_a_client_that_disconnects_during_its_body_leaves_no_state() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            client = await client1(here.http1)
            await client.stream.send_all(raw(LONG[:500_000], framing="Content-Length: 3000000"))
            while not here.runtime.active_streams:
                await trio.sleep(0.01)
            await client.stream.aclose()
            await here.owed_none()
            assert not here.runtime.active_streams and not here.servers[0].seen and here.tally_adds_up()

    run(main)


def test_pipelined_requests_around_a_long_one_are_answered_in_order() -> None:
    async def main() -> None:
        async with site(ToyServer("s0", size_of_body)) as here:
            stream = await trio.open_tcp_stream(*here.http1)
            data = raw(b"ab", framing="Content-Length: 2")
            data += raw(LONG[:200_000], framing="Content-Length: 200000")
            data += raw(b"abc", framing="Content-Length: 3\r\nConnection: close")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, data)
                got = await read_to_end(stream)
            bodies = [part.partition(b"\r\n\r\n")[2] for part in got.split(b"HTTP/1.1 ")[1:]]
            assert bodies == [b"2", b"200000", b"3"]

    run(main)


@pytest.mark.parametrize("form", ["close", "1.0"])
def test_a_response_delimited_by_connection_close_is_forwarded(form: str) -> None:
    async def closing(seen: Seen) -> Answer:
        said = b"\r\nConnection: close" if form == "close" else b""
        head = b"HTTP/1.%d 200 OK%s\r\n\r\n" % (bool(said), said)
        await seen.connection.stream.send_all(head + LONG)
        return Answer(reset=1)

    async def main() -> None:
        async with site(ToyServer("s0", closing)) as here:
            status, headers, body = await (await client1(here.http1)).ask(request())
            assert (status, body) == (200, LONG) and "connection" not in headers

    run(main)


def test_http_1_0_and_targets_in_absolute_form() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            stream = await trio.open_tcp_stream(*here.http1)
            await stream.send_all(raw(b"", version="1.0", call=request()))
            got = await read_to_end(stream)  # it ends the connection
            assert got.startswith(b"HTTP/1.1 200") and b"s0 " in got
            client, ask = await client1(here.http1), request()
            ask["target"] = "http://app.svc" + ask["target"]
            assert (await client.ask(ask))[0] == 200
            assert here.servers[0].seen[-1].target.startswith("/api?customer=")
            assert (await client.ask({**request(), "target": "http://app.svc/up"}))[0] == 200

    run(main)


@pytest.mark.parametrize(
    ("given", "wanted"),
    [
        ("/api?x=http://a/b", "/api?x=http://a/b"),
        ("HTTP://h:1/api?x", "/api?x"),
        ("http://h", "/"),
        ("http://h?x=1", "/?x=1"),
        ("*", "*"),
    ],
)
def test_origin_form(given: str, wanted: str) -> None:
    assert http1_syntax.origin_form(given) == wanted


# The core: what may follow once bytes have flowed.


def flowing(kind: api.Effect) -> tuple[Reducer, core.StartAttempt]:
    one = Reducer(make_settings(kind={"effect": kind}, may_count=False))
    entries = [
        api.ServerEntry(b"a", 0, 0, api.Readiness.READY, 1.0, 0.0),
        api.ServerEntry(b"b", 0, 0, api.Readiness.READY, 1.0, 0.0),
    ]
    one.reduce(0.0, api.ServerList(api.ListKind.COMPLETE, tuple(entries)))
    effects = one.reduce(1.0, core.RequestArrived(api.Request(1, 0, 0, 7, 4000.0, 1.0, 2, 0), "x"))
    (start,) = [effect for effect in effects if isinstance(effect, core.StartAttempt)]
    return one, start


@pytest.mark.parametrize("kind", list(api.Effect))
@pytest.mark.parametrize("status", [api.Status.CONNECT_FAILED, api.Status.FULL])
def test_an_attempt_that_sent_only_buffered_bytes_may_be_retried(
    kind: api.Effect, status: api.Status
) -> None:
    one, start = flowing(kind)
    effects = one.reduce(2.0, core.AttemptEnded(1, start.attempt, status))
    assert [type(effect) for effect in effects if not isinstance(effect, api.SetTimer)] == [core.StartAttempt]


@pytest.mark.parametrize(
    ("kind", "status", "verdict"),
    [
        (api.Effect.UNSAFE, api.Status.CONNECT_FAILED, core.ResponseKind.REFUSED),
        (api.Effect.UNSAFE, api.Status.RESET, core.ResponseKind.FAILED),
        (api.Effect.SAFE, api.Status.RESET, core.ResponseKind.REFUSED),
        (api.Effect.KEYED, api.Status.FULL, core.ResponseKind.REFUSED),
    ],
)
def test_an_attempt_that_sent_more_than_the_buffer_is_not_retried(
    kind: api.Effect, status: api.Status, verdict: core.ResponseKind
) -> None:
    one, start = flowing(kind)
    one.reduce(2.0, core.RequestBodyCommitted(1, start.attempt))
    assert not [e for e in one.reduce(3000.0, core.SweepDue()) if isinstance(e, core.SendResponse)]
    effects = one.reduce(9000.0, core.AttemptEnded(1, start.attempt, status))  # no deadline while it flows
    (answer,) = [effect for effect in effects if isinstance(effect, core.SendResponse)]
    assert answer.kind is verdict
    assert not [effect for effect in effects if isinstance(effect, core.StartAttempt)]


def test_the_time_limit_of_a_long_body_starts_at_its_last_byte() -> None:
    one, start = flowing(api.Effect.UNSAFE)
    one.reduce(2.0, core.RequestBodyCommitted(1, start.attempt))
    one.reduce(9000.0, core.RequestBodySent(1, 12_000.0))
    assert not one.reduce(11_000.0, core.SweepDue())
    kinds = [type(effect) for effect in one.reduce(11_995.0, core.SweepDue())]
    assert kinds == [core.StopAttempt, core.SendResponse]


def test_only_one_of_two_responses_is_forwarded() -> None:
    one, start = flowing(api.Effect.SAFE)
    pending = one.pending[1]
    pending.in_flight[7] = pending.in_flight[start.attempt]
    first = one.reduce(2.0, core.ResponseStreamReady(1, 7))
    assert core.StartStreamedResponse(1, 7) in first and core.StopAttempt(1, start.attempt) in first
    assert not one.reduce(3.0, core.ResponseStreamReady(1, start.attempt))
    ended = one.reduce(9000.0, core.AttemptEnded(1, 7, api.Status.OK))
    assert ended == [core.EndStreamedResponse(1, True)] and one.counters["served"] == 1
