"""HTTP/2 on both sides of one ingress, against stand-in clients and ticket servers."""

from __future__ import annotations

import os
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
import trio
from h2.errors import ErrorCodes

from example.toy import Answer, Http2Side, Seen, ToyServer, echo, start
from tests.support.ingress import BIG_PLAN, client1, client2, request, site
from wickspring.net.http2_wire import LAST_STREAM, Frames, GoAway, goaway

ALL = ("*",)


def run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test)


def gated(gate: trio.Event) -> Callable[[Seen], Awaitable[Answer]]:
    """Serve at once, escalations only once the gate opens."""

    async def behave(seen: Seen) -> Answer:
        if seen.headers["x-call-id"].startswith("slow"):
            await gate.wait()
        return await echo(seen)

    return behave


@pytest.mark.parametrize("speak2", [(), ALL])
def test_a_request_is_forwarded_and_answered(speak2: tuple[str, ...]) -> None:
    async def main() -> None:
        async with site(speak2=speak2) as here:
            client = await client2(here.http2)
            bodies = {"ticket-view": b"", "ticket-reply": b"text", "ticket-escalate": b"x" * 60000}
            for kind, body in bodies.items():
                ask = request(kind, body=body)
                status, _, answer = await client.ask(ask)
                every = [seen for one in here.servers for seen in one.seen]
                [seen] = [seen for seen in every if seen.call_id == ask["headers"]["x-call-id"]]
                assert (status, answer) == (200, f"{seen.server.name} {seen.call_id}\n".encode())
                assert (seen.method, seen.target, seen.body) == (ask["method"], ask["target"], body)
                assert seen.headers.get("idempotency-key") == ask["headers"].get("idempotency-key")
                assert 0 < int(seen.headers["x-budget-ms"]) <= 3000
                assert isinstance(seen.connection, Http2Side) == bool(speak2)
            assert (await client.ask({**request(), "target": "/up"}))[0] == 200
            assert here.tally_adds_up()

    run(main)


@pytest.mark.parametrize("speak2", [(), ALL])
def test_a_stream_reset_during_its_escalation_leaves_the_others_unaffected(speak2: tuple[str, ...]) -> None:
    async def main() -> None:
        gate = trio.Event()
        servers = [ToyServer(f"s{n}", gated(gate)) for n in range(2)]
        async with site(*servers, speak2=speak2) as here:
            client = await client2(here.http2)
            doomed = await client.send(request("ticket-escalate", x_call_id="slow-doomed"))
            others = [await client.send(request("ticket-escalate", x_call_id=f"slow-{n}")) for n in range(5)]
            while sum(len(one.seen) for one in servers) < 6:
                await trio.sleep(0.005)
            client.http.reset_stream(doomed, ErrorCodes.CANCEL)
            await client.flush()
            while not here.runtime.reducer.counters["withdrawn"]:
                await trio.sleep(0.005)
            gate.set()
            for stream in others:
                assert (await client.answer(stream))[0] == 200
            assert (await client.ask(request()))[0] == 200  # the connection is as good as before
            again = request("ticket-escalate", x_call_id="slow-doomed")  # as a library would send it again
            assert (await client.ask(again))[0] == 502
            await here.owed_none()
            runs = Counter(seen.call_id for one in servers for seen in one.seen)
            assert runs["slow-doomed"] == 1
            assert set(runs.values()) == {1}
            assert doomed not in client.ended
            tally = here.runtime.reducer.counters
            assert (tally["served"], tally["withdrawn"], tally["failed"]) == (6, 1, 1)
            assert here.tally_adds_up()

    run(main)


def test_goaway_during_a_drain() -> None:
    # Streams above the last one named never ran and go elsewhere; the others are still answered here.
    async def main() -> None:
        gate = trio.Event()

        async def behave(seen: Seen) -> Answer:
            await gate.wait()
            return await echo(seen)

        leaving, staying = ToyServer("s0", behave), ToyServer("s1")
        async with site(leaving, speak2=ALL) as here:
            client = await client2(here.http2)
            streams = [await client.send(request("ticket-escalate")) for _ in range(4)]
            while len(leaving.seen) < 4:
                await trio.sleep(0.005)
            here.discovery.set("s1", await start(here.nursery, staying.serve))
            here.discovery.set("s0", here.addresses[0], state="draining")
            side = leaving.seen[0].connection
            assert isinstance(side, Http2Side)
            above = sorted(seen.stream for seen in leaving.seen)[2:]
            while here.runtime.reducer.may_send(b"s0"):
                await trio.sleep(0.005)
            await side.goaway(above[0] - 2)
            while len(staying.seen) < 2:
                await trio.sleep(0.005)
            gate.set()
            assert [(await client.answer(stream))[0] for stream in streams] == [200] * 4
            moved = {seen.call_id for seen in leaving.seen if seen.stream in above}
            assert {seen.call_id for seen in staying.seen} == moved
            bodies = b"".join(client.ended[stream][2] for stream in streams)
            assert (bodies.count(b"s0 "), bodies.count(b"s1 ")) == (2, 2)
            await here.owed_none()
            assert here.tally_adds_up()

    run(main)


def test_connection_that_ends_after_goaway_may_have_run_what_it_kept() -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            side = seen.connection
            assert isinstance(side, Http2Side)
            await side.goaway(seen.stream)
            await side.stream.aclose()
            return Answer()

        servers = [ToyServer(f"s{n}", behave) for n in range(2)]
        async with site(*servers, speak2=ALL) as here:
            client = await client2(here.http2)
            assert (await client.ask(request("ticket-escalate")))[0] == 502  # failed, never sent again
            assert sum(len(one.seen) for one in servers) == 1

    run(main)


@pytest.mark.parametrize(
    ("code", "status", "runs"),
    [(ErrorCodes.REFUSED_STREAM, 200, 2), (ErrorCodes.INTERNAL_ERROR, 502, 1), (ErrorCodes.CANCEL, 502, 1)],
)
def test_reset_of_a_ticket_servers_stream(code: ErrorCodes, status: int, runs: int) -> None:
    # REFUSED_STREAM alone proves that an escalation never ran.
    async def main() -> None:
        seen_by: list[str] = []

        async def behave(seen: Seen) -> Answer:
            seen_by.append(seen.server.name)
            return Answer(reset=code) if len(seen_by) == 1 else await echo(seen)

        async with site(*(ToyServer(f"s{n}", behave) for n in range(2)), speak2=ALL) as here:
            client = await client2(here.http2)
            assert (await client.ask(request("ticket-escalate")))[0] == status
            assert len(seen_by) == runs

    run(main)


@pytest.mark.parametrize("rejected", [True, False])
def test_a_rejection_is_recognised_by_its_header_only(rejected: bool) -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            return Answer(503, headers={"x-rejected": "1"} if rejected else {})

        servers = [ToyServer(f"s{n}", behave) for n in range(2)]
        async with site(*servers, speak2=ALL) as here:
            status, headers, _ = await (await client2(here.http2)).ask(request("ticket-escalate"))
            assert status == (429 if rejected else 502)
            assert ("retry-after" in headers) == rejected
            assert (sum(len(one.seen) for one in servers) > 1) == rejected

    run(main)


def test_a_closed_client_window_stalls_its_own_response_only() -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            return Answer(body=b"z" * 30000)

        async with site(ToyServer("s0", behave)) as here:
            client = await client2(here.http2, window=10000)
            client.credit = False
            stalled = await client.send(request())
            while len(client.parts.get(stalled, ({}, b""))[1]) < 10000:
                await client.read()
            assert (await (await client1(here.http1)).ask(request()))[2] == b"z" * 30000
            assert stalled not in client.ended
            client.http.increment_flow_control_window(20000, stalled)
            await client.flush()
            assert (await client.answer(stalled))[2] == b"z" * 30000
            # One that never opens its window is reset once its time is up, and holds no memory.
            left = await client.send(request(x_budget_ms="300"))
            while left not in client.resets:
                await client.read()
            assert client.resets[left] == ErrorCodes.CANCEL

    run(main)


def test_a_request_stalled_by_a_closed_server_window_was_not_executed() -> None:
    async def main() -> None:
        server = ToyServer("s0")
        server.window, server.credit = 100, False
        async with site(server, speak2=ALL) as here:
            client = await client2(here.http2)
            assert (await client.ask(request("ticket-escalate", body=b"y" * 90)))[0] == 200
            ask = request("ticket-escalate", body=b"y" * 5000, x_budget_ms="400")
            stalled = await client.send(ask)
            assert (await client.ask(request()))[0] == 200  # beside it, on the same connection
            assert (await client.answer(stalled))[0] in (429, 502)
            assert len(server.sides) == 1
            assert ask["headers"]["x-call-id"] not in [seen.call_id for seen in server.seen]

    run(main)


def test_stream_limit_of_a_ticket_server_is_kept() -> None:
    async def main() -> None:
        out = most = 0

        async def behave(seen: Seen) -> Answer:
            nonlocal out, most
            assert isinstance(seen.connection, Http2Side)
            out += 1
            most = max(most, seen.connection.http.open_inbound_streams)
            await trio.sleep(0.05)
            out -= 1
            return await echo(seen)

        async with site(ToyServer("s0", behave, streams=2), speak2=ALL) as here:
            client = await client2(here.http2)
            assert (await client.ask(request()))[0] == 200  # its settings are known from here on
            streams = [await client.send(request()) for _ in range(6)]
            assert [(await client.answer(stream))[0] for stream in streams] == [200] * 6
            assert most <= 2
            assert len(here.servers[0].sides) >= 3

    run(main)


def test_a_request_to_an_unresponsive_server_ends_at_its_deadline() -> None:
    async def main() -> None:
        async def behave(seen: Seen) -> Answer:
            await trio.sleep_forever()
            raise AssertionError

        async with site(ToyServer("s0", behave), speak2=ALL) as here:
            client = await client2(here.http2)
            asked = trio.current_time()
            status, _, _ = await client.ask(request("ticket-escalate", x_budget_ms="400"))
            assert status == 502
            assert trio.current_time() - asked < 0.8  # 0.4 but for a busy machine; no answer would be 4

    run(main)


def test_invalid_fields_and_sizes_are_reported_by_name() -> None:
    async def main() -> None:
        async with site() as here:
            client = await client2(here.http2)
            for name, value in (("x-call-class", "none"), ("api-plan", "none"), ("api-terms", "units=no")):
                ask = request()
                ask["headers"][name] = value
                status, _, body = await client.ask(ask)
                assert (status, body.decode().lower()) == (400, f"bad {name}\n")
            most = await client.send(request("ticket-escalate", body=b"d" * 65536))
            assert (await client.answer(most))[0] == 200
            over = await client.send(request("ticket-escalate", body=b"d" * 65537))
            assert (await client.answer(over))[0] == 413
            assert (await client.ask({**request(), "target": "/api?customer=1 2"}))[0] == 400
            assert here.tally_adds_up()

    run(main)


def test_malformed_bytes_close_their_own_connection_only() -> None:
    async def main() -> None:
        async with site() as here:
            good = await client2(here.http2)
            preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
            for garbage in (b"GET / HTTP/1.1\r\n\r\n" * 4, preface + b"\xff" * 64):
                stream = await trio.open_tcp_stream(*here.http2)
                await stream.send_all(garbage)
                while await stream.receive_some(4096):
                    pass
                await stream.aclose()
            assert (await good.ask(request()))[0] == 200

    run(main)


def test_sigterm_sends_goaway_and_answers_requests_that_still_arrive() -> None:
    async def main() -> None:
        async def slow(seen: Seen) -> Answer:
            await trio.sleep(0.9)
            return await echo(seen)

        async with site(ToyServer("s0", slow)) as here:
            client, idle = await client2(here.http2), await client2(here.http2)
            await idle.flush()  # its first word: a connection without one is not handed over at once
            early = await client.send(request("ticket-escalate"))
            await trio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            while not client.goaways:
                await client.read()
            # GOAWAY was sent, and requests in flight are still accepted.
            assert client.goaways == [LAST_STREAM]
            late = await client.send(request("ticket-escalate"))
            assert [(await client.answer(stream))[0] for stream in (early, late)] == [200, 200]
            while await client.read():
                pass
            assert client.goaways == [LAST_STREAM, late]
            while await idle.read():
                pass

    run(main)


def test_a_client_that_only_opens_and_resets_streams_is_disconnected() -> None:
    async def main() -> None:
        async with site() as here:
            client, other = await client2(here.http2), await client2(here.http2)
            assert (await other.ask(request()))[
                0
            ] == 200  # a silent one would be closed meanwhile, beside load
            with pytest.raises((trio.BrokenResourceError, AssertionError)):
                while True:
                    stream = await client.send(request("ticket-escalate"))
                    client.http.reset_stream(stream)
                    await client.flush()
                    with trio.move_on_after(0):
                        assert await client.read()
                    assert not client.goaways
            assert (await other.ask(request()))[0] == 200

    run(main)


def test_complete_frames_are_forwarded_except_goaway() -> None:
    ping = b"\0\0\x08\x06\0\0\0\0\0" + b"p" * 8
    stream = b"x" * 24 + ping + goaway(7) + ping
    for cut in range(len(stream)):
        frames = Frames(24)
        parts = frames.feed(stream[:cut]) + frames.feed(stream[cut:])
        assert [part for part in parts if isinstance(part, GoAway)] == [GoAway(7, 0)]
        assert b"".join(part for part in parts if isinstance(part, bytes)) == b"x" * 24 + ping + ping


async def _play(mixed: bool) -> tuple[float, Counter[str], Counter[str]]:
    """Send the same requests over one protocol or both; return the share served, statuses and runs."""
    served, statuses, lock = 0, Counter[str](), trio.CapacityLimiter(20)
    plan, turned_away = replace(BIG_PLAN, rate=1e-6, burst=8.0), set[tuple[str, str]]()
    escalations = set[str]()

    async def behave(seen: Seen) -> Answer:
        if int(seen.call_id, 16) % 10 == 0 and seen.server is servers[0]:
            turned_away.add((seen.server.name, seen.call_id))
            return Answer(503, headers={"x-rejected": "1"})
        await trio.sleep(0.002)
        return await echo(seen)

    servers = [ToyServer(f"s{n}", behave) for n in range(6)]
    speak2 = ("s0", "s1", "s2") if mixed else ()
    async with site(*servers, speak2=speak2, plan=plan) as here:
        first = await client2(here.http2)

        async def one(number: int) -> None:
            nonlocal served
            kind = ("ticket-view", "ticket-reply", "ticket-escalate")[number % 3]
            body = b"" if kind == "ticket-view" else b"text"
            ask: dict[str, Any] = request(kind, customer=number % 30, body=body)
            if kind == "ticket-escalate":
                escalations.add(ask["headers"]["x-call-id"])
            async with lock:
                if mixed and number % 2:
                    stream = await first.send(ask)
                    while stream not in first.ended:
                        await trio.sleep(0.002)
                    status = first.ended[stream][0]
                else:
                    status = (await (await client1(here.http1)).ask(ask))[0]
            statuses[str(status)] += 1
            served += status == 200

        async def read() -> None:
            while await first.read():
                pass

        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as askers:
                nursery.start_soon(read)
                for number in range(360):
                    askers.start_soon(one, number)
            nursery.cancel_scope.cancel()
        await here.owed_none()
        assert here.tally_adds_up()
        assert any(isinstance(side, Http2Side) for one in servers for side in one.sides) == mixed
    every = [seen for one in servers for seen in one.seen if seen.call_id in escalations]
    runs = Counter(seen.call_id for seen in every if (seen.server.name, seen.call_id) not in turned_away)
    return served / 360, statuses, runs


def test_mixed_run_serves_as_an_http1_run_does() -> None:
    async def main() -> None:
        plain, plain_statuses, plain_runs = await _play(mixed=False)
        both, both_statuses, both_runs = await _play(mixed=True)
        assert abs(plain - both) <= 0.01, (plain_statuses, both_statuses)
        assert 0.5 < plain < 0.8  # 8 of each customer's 12 lie inside its quota
        assert set(plain_statuses) == set(both_statuses) == {"200", "429"}
        assert max(plain_runs.values()) == max(both_runs.values()) == 1  # no escalation ran twice

    run(main)
