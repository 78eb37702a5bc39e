"""Clients and ticket servers that keep to no rule: each is answered or ended, and harms nobody else."""

from __future__ import annotations

import errno
import socket
from typing import Any

import h11
import pytest
import trio

from example.toy import Answer, Seen, ToyServer, echo
from tests.net.test_http1 import abort, never
from tests.support.ingress import BIG_PLAN, IDS, answer_after, client1, client2, exchange, request, site
from wickspring.net import link
from wickspring.net.http_server import BUFFERED_SHARE
from wickspring.net.upstream.response_reader import MAX_INTERIM_RESPONSES, ResponseReader

POST = b"POST /api?customer=0000000000000007 HTTP/1.1\r\nHost: a\r\n"


def good(**more: Any) -> bytes:
    """Write the head of a good request, but for its body's length."""
    ask = request("ticket-reply", **more)
    return POST + b"".join(f"{name}: {value}\r\n".encode() for name, value in ask["headers"].items())


async def to_the_end(stream: trio.SocketStream) -> bytes:
    """Read all that comes until the connection ends."""
    got = b""
    try:
        while data := await stream.receive_some(65536):
            got += data
    except trio.BrokenResourceError:
        pass
    return got


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"400"),
        (b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", b"400"),
        (b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", b"400"),
        (b"Content-Length: 1, 1\r\n\r\na", b"400"),
        (b"Content-Length: -1\r\n\r\n", b"400"),
        (b"Content-Length: 600000000\r\n\r\n", b"413"),  # before any of it has come
        (b"X-Call-Id: other\r\nContent-Length: 0\r\n\r\n", b"400"),
        (b"Api-Terms: units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n", b"400"),
    ],
)
def test_an_ambiguous_request_is_rejected_and_the_connection_closed(rest: bytes, status: bytes) -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            stream = await trio.open_tcp_stream(*here.http1)
            await stream.send_all(good() + rest + good() + b"Content-Length: 0\r\n\r\n")
            got = await to_the_end(stream)
            assert got.split()[1] == status
            assert got.count(b"HTTP/1.1 ") == 1
            assert here.servers[0].seen == []
            assert not here.counter.totals

    trio.run(main)


def test_a_repeated_http2_header_is_rejected() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            client = await client2(here.http2)
            ask = request()
            lines = [(":method", "GET"), (":path", ask["target"]), (":scheme", "http"), (":authority", "a")]
            stream = client.http.get_next_available_stream_id()
            client.http.send_headers(stream, [*lines, *ask["headers"].items(), ("x-call-id", "two")], True)
            await client.flush()
            assert (await client.answer(stream))[0] == 400
            assert (await client.ask(request()))[0] == 200
            assert len(here.servers[0].seen) == 1

    trio.run(main)


def test_idle_and_incomplete_clients_are_closed_at_their_timeout() -> None:
    async def main() -> None:
        ends: list[float] = []

        async def wait(stream: trio.SocketStream, said: bytes) -> None:
            begun = trio.current_time()
            await stream.send_all(said)
            got = await to_the_end(stream)
            ends.append(trio.current_time() - begun)
            assert got == b"" or b" 408 " in got or b"\x00\x00" in got  # HTTP/2 begins with its settings

        async with site(ToyServer("s0", never)) as here:
            used, owed = await client1(here.http1), await client1(here.http1)
            assert (await used.ask({**request(), "target": "/up"}))[0] == 200
            await owed.send(request())
            async with trio.open_nursery() as nursery:
                for said in (b"", POST, good() + b"Content-Length: 5\r\n\r\nab"):
                    nursery.start_soon(wait, await trio.open_tcp_stream(*here.http1), said)
                nursery.start_soon(wait, await trio.open_tcp_stream(*here.http2), b"")
                half = await client2(here.http2)
                lines = [(":method", "POST"), (":path", "/api"), (":scheme", "http"), (":authority", "a")]
                half.http.send_headers(1, lines)
                await half.flush()
                assert (await half.answer(1))[0] == 408
            assert len(ends) == 4
            assert min(ends) >= 2.0
            assert max(ends) < 3.0
            assert (await used.ask({**request(), "target": "/up"}))[0] == 200  # it has had its first answer
            assert (await owed.answer())[0] == 429

    trio.run(main)


def test_pipelined_requests_are_answered_and_an_invalid_one_closes_the_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            stream = await trio.open_tcp_stream(*here.http1)
            await stream.send_all((good(x_call_class="none") + b"Content-Length: 0\r\n\r\n") * 300)
            assert (await to_the_end(stream)).count(b"HTTP/1.1 400") == 1
            stream = await trio.open_tcp_stream(*here.http1)
            up = b"GET /up HTTP/1.1\r\nHost: a\r\n"
            await stream.send_all((up + b"\r\n") * 1500 + up + b"Connection: close\r\n\r\n")
            assert (await to_the_end(stream)).count(b"HTTP/1.1 200") == 1501  # deeper than calls can nest
            assert "client_connection_failed" not in caplog.messages

    trio.run(main)


def test_incomplete_http1_bodies_share_a_memory_limit() -> None:
    async def main() -> None:
        async with site(ToyServer("s0"), memory_mb=16.0) as here:
            head = good() + b"Transfer-Encoding: chunked\r\n\r\n"
            streams = [await trio.open_tcp_stream(*here.http1) for _ in range(40)]
            for stream in streams:
                await stream.send_all(head + b"ea60\r\n" + b"x" * 60000)
            got = [await stream.receive_some(100) for stream in streams[-10:]]
            assert all(b" 503 " in answer for answer in got)
            assert here.runtime._total_buffered_bytes <= 16 * 2**20 * BUFFERED_SHARE
            usual = await client1(here.http1)
            assert (await usual.ask(request("ticket-reply", body=b"b" * 3000)))[0] == 200
            for stream in streams:
                await stream.aclose()
            while here.runtime._total_buffered_bytes:
                await trio.sleep(0.01)
            assert not here.runtime._buffered_bytes

    trio.run(main)


def test_incomplete_http2_streams_share_a_memory_limit() -> None:
    async def main() -> None:
        async with site(ToyServer("s0"), memory_mb=8.0) as here:
            rude = await client2(here.http2)
            lines = [(":method", "POST"), (":path", "/api"), (":scheme", "http"), (":authority", "a")]
            with pytest.raises((trio.BrokenResourceError, AssertionError)):
                for stream in range(1, 81, 2):
                    rude.http.send_headers(stream, lines)
                    for _ in range(3):
                        rude.http.send_data(stream, b"x" * 16384)
                    await rude.flush()
                    with trio.move_on_after(0.02):
                        assert await rude.read(), "the connection ended"
            while here.runtime._total_buffered_bytes:
                await trio.sleep(0.01)
            assert (await (await client2(here.http2)).ask(request()))[0] == 200

    trio.run(main)


def test_idle_clients_do_not_block_others_and_a_full_ingress_closes_connections() -> None:
    async def main() -> None:
        async with site(sockets=32) as here:
            crowd = [await trio.open_tcp_stream(*here.http1) for _ in range(60)]
            asked = trio.current_time()
            assert (await (await client1(here.http1)).ask(request()))[0] == 200
            assert trio.current_time() - asked < 0.7  # the crowd's places come free after two seconds
            for stream in crowd:
                await stream.aclose()
            kept = []
            while not here.runtime.near_connection_limit:
                kept.append(await client1(here.http1))
                _, headers, _ = await kept[-1].ask(request())
            assert headers["connection"] == "close"
            assert len(kept) > 10
            second = await client2(here.http2)
            assert (await second.ask(request()))[0] == 200
            while not second.goaways:
                await second.read()

    trio.run(main)


def test_a_duplicate_request_id_is_rejected_and_the_first_request_continues() -> None:
    async def main() -> None:
        gate = trio.Event()

        async with site(ToyServer("s0", answer_after(gate))) as here:
            first, other, second = (
                await client1(here.http1),
                await client1(here.http1),
                await client2(here.http2),
            )
            ask = request("ticket-escalate")
            await first.send(ask)
            while not here.servers[0].seen:
                await trio.sleep(0.005)
            for kind in ("ticket-escalate", "ticket-view"):
                copy = request(kind, x_call_id=ask["headers"]["x-call-id"])
                assert (await other.ask(copy))[0] == 409
                assert (await second.ask(copy))[0] == 409
            gate.set()
            assert (await first.answer())[0] == 200
            assert len(here.servers[0].seen) == 1
            assert sum(here.counter.totals.values()) == 1
            assert here.tally_adds_up()
            assert (await other.ask(request()))[0] == 200
            assert not here.runtime.reducer.call_ids.open

    trio.run(main)


def test_descriptor_exhaustion_is_a_failed_connection_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def full(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    async def main() -> None:
        monkeypatch.setattr(socket, "socket", full)
        assert await link.connect(("127.0.0.1", 1), 100.0) is None
        monkeypatch.undo()

    trio.run(main)


HEAD = b"HTTP/1.1 200 OK\r\n"
SPOILT = [
    b"\x81\xae noise\r\n\r\n",
    HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 3000000000\r\n\r\n",
    HEAD + b"Content-Length: -3\r\n\r\nabc",
    HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    HEAD + b"\r\nabc",  # it ends with the connection: a truncation could not be detected
    HEAD + b"X: " + b"y" * 40000,
    b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_INTERIM_RESPONSES + 1) + HEAD + b"Content-Length: 0\r\n\r\n",
]


@pytest.mark.parametrize("raw", SPOILT)
def test_a_malformed_response_is_one_failed_attempt_that_may_have_run(raw: bytes) -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            return Answer(raw=raw) if len(seen.server.seen) == 1 else await echo(seen)

        async with site(ToyServer("s0", behave)) as here:
            client = await client1(here.http1)
            status, _, body = await client.ask(request("ticket-escalate"))
            assert (status, body) == (502, b"")
            assert (await client.ask(request("ticket-escalate")))[0] == 200
            assert len(here.servers[0].seen) == 2
            assert len(here.servers[0].sides) == 2  # the spoilt connection is not used again
            assert BIG_PLAN.name == "big"

    trio.run(main)


@pytest.mark.parametrize("ahead", [0, 1, MAX_INTERIM_RESPONSES])
@pytest.mark.parametrize("surplus", [b"", HEAD, b"\x81noise"])
def test_a_valid_response_with_surplus_bytes_is_served_and_its_connection_closed(
    ahead: int, surplus: bytes
) -> None:
    reader = ResponseReader()
    reader.encode_request(exchange("GET", f"/{next(IDS)}"))
    raw = b"HTTP/1.1 103 Early Hints\r\n\r\n" * ahead + HEAD + b"Content-Length: 3\r\n\r\nabc"
    answer = reader.receive(raw + surplus)
    assert answer is not None
    assert (answer[0], answer[2]) == (200, b"abc")
    assert reader.start_next() == (not surplus)


def test_connections_reset_after_a_short_idle_time_are_not_reused() -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            side = seen.connection
            now, last = trio.current_time(), getattr(side, "last", None)
            if last is not None and now - last > 0.06:
                abort(seen)
                return Answer(reset=0)
            side.last = now  # type: ignore[union-attr]
            return await echo(seen)

        async with site(ToyServer("s0", behave)) as here:
            client, got = await client1(here.http1), list[int]()
            for _ in range(30):
                got.append((await client.ask(request("ticket-escalate")))[0])
                await trio.sleep(0.08)
            assert 200 not in got[1:2]  # the first use after a pause is lost,
            assert got.count(502) <= 6  # and what was learnt holds for the rest

    trio.run(main)


def test_a_truncated_response_is_no_response() -> None:
    reader = ResponseReader()
    reader.encode_request(exchange("GET", "/"))
    assert reader.receive(HEAD + b"Content-Length: 4\r\n\r\nabc") is None
    with pytest.raises(h11.RemoteProtocolError):
        reader.receive(b"")
