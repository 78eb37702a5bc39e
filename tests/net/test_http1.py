"""HTTP/1.1 on both sides of one ingress, and the counter, discovery and drain, on loopback."""

from __future__ import annotations

import os
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from example.toy import Answer, Seen, ToyServer, echo
from tests.support.ingress import BIG_PLAN, client1, request, site
from wickspring import interface as api
from wickspring.net import graceful_shutdown, http1_front


def run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test)


BUSY_S = 0.4  # by which a busy machine may be late; the exact time is the module's tests' affair


async def never(_: Seen) -> Answer:
    await trio.sleep_forever()
    raise AssertionError


def test_requests_pass_through_unchanged_on_one_connection() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            client = await client1(here.http1)
            for kind in ("ticket-view", "ticket-reply", "ticket-escalate") * 2:
                ask = request(kind, body=b"" if kind == "ticket-view" else b"\0binary\xff")
                status, headers, body = await client.ask(ask)
                seen = here.servers[0].seen[-1]
                assert (status, body) == (200, f"s0 {seen.call_id}\n".encode())
                assert "connection" not in headers
                assert (seen.method, seen.target, seen.body) == (ask["method"], ask["target"], ask["body"])
                assert seen.headers["x-call-id"] == ask["headers"]["x-call-id"]
                assert seen.headers.get("idempotency-key") == ask["headers"].get("idempotency-key")
                assert 0 < int(seen.headers["x-budget-ms"]) <= 3000
            assert len(here.servers[0].sides) == 1  # the connection to the ticket server is used again
            assert (await client.ask({**request(), "target": "/up"}))[0] == 200

    run(main)


def test_over_quota_is_refused_at_once_with_the_time_to_the_windows_end() -> None:
    async def main() -> None:
        plan = api.PlanSettings(0.0001, 3.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.5, name="big")
        async with site(plan=plan) as here:
            client = await client1(here.http1)
            got = [await client.ask(request("ticket-escalate")) for _ in range(5)]
            assert [status for status, _, _ in got] == [200, 200, 200, 429, 429]
            assert 0 < float(got[-1][1]["retry-after"]) <= 25
            assert sum(here.counter.totals.values()) == 3.0 + 0.0  # what was refused has come off again

    run(main)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"x_call_class": "x"}, "X-Call-Class"),
        ({"api_plan": "x"}, "Api-Plan"),
        ({"x_call_id": ""}, "X-Call-Id"),
        ({"api_terms": "units=1"}, "Api-Terms"),
        ({"api_terms": "units=nan,spread=1,first=0"}, "Api-Terms"),
        ({"api_terms": "units=99,spread=1,first=0"}, "Api-Terms"),
        ({"x_budget_ms": "-1"}, "X-Budget-Ms"),
        ({"idempotency_key": "k"}, "Idempotency-Key"),
    ],
)
def test_an_invalid_field_is_answered_400_with_its_name(change: dict[str, Any], field: str) -> None:
    async def main() -> None:
        async with site() as here:
            client = await client1(here.http1)
            status, _, body = await client.ask(request(**change))
            assert (status, body) == (400, f"bad {field}\n".encode())
            assert (await client.ask({**request(), "target": "/api?customer=zz"}))[2] == b"bad customer\n"
            assert (await client.ask(request()))[0] == 200

    run(main)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /up HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20000, b"431"),
        (b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 70000000\r\n\r\n" + b"z" * 70000, b"413"),
        (b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
        (b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
    ],
)
def test_malformed_and_oversized_requests_are_rejected(raw: bytes, status: bytes) -> None:
    async def main() -> None:
        async with site() as here:
            stream = await trio.open_tcp_stream(*here.http1)
            await stream.send_all(raw)
            assert (await stream.receive_some(4096)).split()[1] == status
            assert (await (await client1(here.http1)).ask(request()))[0] == 200

    run(main)


def abort(seen: Seen) -> None:
    """Have the ticket server's connection end with a reset, not in good order."""
    linger = struct.pack("ii", 1, 0)
    seen.connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.mark.parametrize("hard", [False, True])
@pytest.mark.parametrize(("kind", "status", "runs"), [("ticket-escalate", 502, 1), ("ticket-view", 200, 2)])
def test_connection_broken_after_the_write_may_have_run(
    kind: str, status: int, runs: int, hard: bool
) -> None:
    async def main() -> None:
        count = 0

        async def behave(seen: Seen) -> Answer:
            nonlocal count
            count += 1
            if hard:
                abort(seen)
            return Answer(reset=0) if count == 1 else await echo(seen)

        async with site(ToyServer("s0", behave), ToyServer("s1", behave)) as here:
            assert (await (await client1(here.http1)).ask(request(kind)))[0] == status
            assert count == runs

    run(main)


def test_a_refused_connection_means_not_executed() -> None:
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            dead = "127.0.0.1:%d" % listener.socket.getsockname()[1]  # noqa: UP031
            await listener.aclose()
            for number in range(1, 4):
                here.discovery.set(f"d{number}", dead)
            while len(here.runtime.reducer.entries) < 4:
                await trio.sleep(0.005)
            client = await client1(here.http1)
            got = [(await client.ask(request("ticket-escalate")))[0] for _ in range(6)]
            assert got == [200] * 6
            assert len(here.servers[0].seen) == 6

    run(main)


def test_an_idle_connection_closed_by_the_server_is_not_reused() -> None:
    # Work written to a connection that the server has closed counts as possibly run.
    async def main() -> None:
        async with site(ToyServer("s0")) as here:
            client = await client1(here.http1)
            for _ in range(3):
                assert (await client.ask(request("ticket-escalate")))[0] == 200
                await here.servers[0].sides[-1].stream.aclose()
            assert len(here.servers[0].sides) == 3

    run(main)


def test_a_disconnecting_client_cancels_its_request() -> None:
    async def main() -> None:
        async with site(ToyServer("s0", never)) as here:
            client = await client1(here.http1)
            await client.send(request("ticket-escalate"))
            while not here.servers[0].seen:
                await trio.sleep(0.005)
            await client.stream.aclose()
            await here.owed_none()
            assert here.runtime.reducer.counters["withdrawn"] == 1
            assert here.tally_adds_up()

    run(main)


@pytest.mark.parametrize("kind", ["ticket-view", "ticket-reply", "ticket-escalate"])
def test_requests_to_unresponsive_servers_are_answered_before_the_deadline(kind: str) -> None:
    async def main() -> None:
        async with site(ToyServer("s0", never), ToyServer("s1", never)) as here:
            asked = trio.current_time()
            status, _, _ = await (await client1(here.http1)).ask(request(kind, x_budget_ms="500"))
            assert trio.current_time() - asked < 0.5 + BUSY_S
            assert status == (429 if kind == "ticket-view" else 502)
            runs = sum(len(one.seen) for one in here.servers)
            assert runs == 1 if kind == "ticket-escalate" else runs >= 1

    run(main)


def test_an_unresponsive_counter_delays_a_request_by_its_timeout_and_recovers() -> None:
    async def main() -> None:
        async with site(count_timeout=50.0) as here:
            client = await client1(here.http1)
            here.counter.silent = True
            for customer in range(20):
                asked = trio.current_time()
                assert (await client.ask(request(customer=customer)))[0] == 200
                assert trio.current_time() - asked < 0.5
            here.counter.silent = False
            here.counter.totals.clear()
            # The old connection still owes answers: it is replaced, and calls are answered in order.
            while len(here.counter.totals) < 3:
                assert (await client.ask(request(customer=len(here.counter.totals) + 40)))[0] == 200
                await trio.sleep(0.05)

    run(main)


def test_a_draining_server_gets_no_requests_and_a_moved_one_is_found() -> None:
    async def main() -> None:
        async with site() as here:
            client = await client1(here.http1)
            here.discovery.set("s0", here.addresses[0], state="draining")
            while here.runtime.reducer.may_send(b"s0"):
                await trio.sleep(0.005)
            for _ in range(10):
                assert (await client.ask(request()))[2].startswith(b"s1 ")
            here.discovery.set("s1", here.addresses[0])  # another address under the same id
            while here.runtime.directory.addresses[b"s1"] != here.runtime.directory.addresses[b"s0"]:
                await trio.sleep(0.005)
            assert (await client.ask(request()))[2].startswith(b"s0 ")

    run(main)


def test_sigterm_finishes_requests_that_still_arrive() -> None:
    async def main() -> None:
        async def slow(seen: Seen) -> Answer:
            await trio.sleep(0.9)
            return await echo(seen)

        async with site(ToyServer("s0", slow)) as here:
            early, late = await client1(here.http1), await client1(here.http1)
            assert (await late.ask({**request(), "target": "/up"}))[0] == 200
            await early.send(request("ticket-escalate"))
            await trio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(0.2)
            await late.send(request("ticket-escalate"))  # on a connection that was there
            fresh = await client1(here.http1)  # and on a new one
            await fresh.send(request("ticket-escalate"))
            for client in (early, late, fresh):
                status, headers, _ = await client.answer()
                assert (status, headers["connection"]) == (200, "close")
            await trio.sleep(graceful_shutdown.ACCEPT_ON_S + graceful_shutdown.COME_AGAIN_S)
            with pytest.raises(OSError, match="all attempts to connect"):
                await client1(here.http1)

    run(main)


def test_a_client_whose_idle_connection_is_closed_by_sigterm_can_come_again() -> None:
    async def main() -> None:
        async with site() as here:
            idle = await client1(here.http1)
            assert (await idle.ask(request()))[0] == 200
            os.kill(os.getpid(), signal.SIGTERM)
            assert await idle.stream.receive_some(1) == b""
            again = await client1(here.http1)
            status, headers, _ = await again.ask(request())
            assert (status, headers["connection"]) == (200, "close")

    run(main)


def test_quota_holds_over_many_connections() -> None:
    async def main() -> None:
        plan = api.PlanSettings(0.0001, 10.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.5, name="big")
        async with site(plan=plan) as here:
            got: list[int] = []

            async def one() -> None:
                got.append((await (await client1(here.http1)).ask(request("ticket-escalate")))[0])

            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(one)
            assert got.count(200) <= 10
            assert got.count(200) + got.count(429) == 30
            assert BIG_PLAN.name == plan.name

    run(main)


def test_idle_connections_are_closed_for_new_clients() -> None:
    async def main() -> None:
        async with site(sockets=32) as here:
            busy = await client1(here.http1)
            await busy.ask(request())
            stuck = [await trio.open_tcp_stream(*here.http1) for _ in range(40)]
            for stream in stuck:
                with trio.move_on_after(0.01):
                    await stream.send_all(b"GET /api HTTP/1.1\r\nX-Half: ")
            assert (await (await client1(here.http1)).ask(request()))[0] == 200
            assert len(here.runtime.connections) <= here.runtime.max_connections

    run(main)


def test_a_flooding_client_is_paused_and_gets_its_pending_response() -> None:
    async def main() -> None:
        go = trio.Event()

        async def late(seen: Seen) -> Answer:
            await go.wait()
            return await echo(seen)

        async with site(ToyServer("s0", late)) as here:
            client = await client1(here.http1)
            await client.send(request())
            with trio.move_on_after(1.0) as flood:
                while True:
                    await client.stream.send_all(b"x" * 65536)
            assert flood.cancelled_caught  # what sockets hold, and no more
            (connection,) = here.runtime.connections
            assert isinstance(connection, http1_front.Http1Connection)
            assert len(connection.http.trailing_data[0]) <= http1_front.MAX_READ_AHEAD + 65536
            go.set()
            assert (await client.answer())[0] == 200

    run(main)


def test_an_invalid_list_line_keeps_the_old_list_and_requests_a_complete_one() -> None:
    async def main() -> None:
        async with site() as here:
            here.discovery.servers["s0"]["state"] = "draining"  # which the invalid line would have announced
            here.discovery.news.append(b'{"version": 90, "full": false, "servers": [{"id": 4}]}\n')
            here.discovery.changed.set()
            here.discovery.changed = trio.Event()
            while here.runtime.reducer.may_send(b"s0"):
                assert here.runtime.reducer.may_send(b"s1")
                await trio.sleep(0.005)
            assert (await (await client1(here.http1)).ask(request()))[2].startswith(b"s1 ")

    run(main)
