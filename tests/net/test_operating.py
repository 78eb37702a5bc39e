"""The admin endpoint: readiness, servers in maintenance and back in service, and incomplete calls."""

from __future__ import annotations

import json
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from tests.support.command_line import run_command
from tests.support.example_config import example_config
from tests.support.ingress import client1, request, site
from tests.support.policy_gateway import Gateway, make_settings
from wickspring import interface as api
from wickspring.interface import ListKind, Readiness
from wickspring.lab.emulation.site import free_port
from wickspring.net import admin_api, listening
from wickspring.routing.maintenance import Maintenance


def listed(*numbers: int, kind: ListKind = ListKind.COMPLETE, **changes: object) -> api.ServerList:
    return api.ServerList(kind, tuple(Gateway.entry(number, **changes) for number in numbers))


def name(number: int) -> bytes:
    return Gateway.entry(number).server


def states(server_list: api.ServerList) -> list[Readiness]:
    return [entry.readiness for entry in server_list.entries]


def test_a_server_in_maintenance_drains_whatever_discovery_lists() -> None:
    held = Maintenance()
    held.apply(listed(1, 2))
    (change,) = held.exclude(name(1))
    assert states(change) == [Readiness.DRAINING]
    assert states(held.apply(listed(1, 2))) == [Readiness.DRAINING, Readiness.READY]
    assert states(held.apply(listed(1, kind=ListKind.CHANGES, started_at=5.0))) == [Readiness.DRAINING]
    gone = listed(1, kind=ListKind.CHANGES, readiness=Readiness.GONE)
    assert states(held.apply(gone)) == [Readiness.GONE]
    assert states(held.apply(listed(1, kind=ListKind.CHANGES))) == [Readiness.DRAINING]


def test_a_server_returned_from_maintenance_is_cold_and_restarted() -> None:
    held = Maintenance()
    held.apply(listed(1, started_at=3.0))
    assert held.exclude(name(1)) and not held.exclude(name(1))
    gone, ready = held.include(name(1), 1000.0)
    assert states(gone) == [Readiness.GONE] and states(ready) == [Readiness.READY]
    assert ready.entries[0].started_at == 1000.0
    assert held.apply(listed(1, started_at=3.0)).entries[0].started_at == 1000.0
    assert held.apply(listed(1, started_at=2000.0)).entries[0].started_at == 2000.0
    assert not held.include(name(1), 3000.0)  # it was not out: nothing grows cold
    assert held.apply(listed(1, started_at=3.0)).entries[0].started_at == 1000.0


def test_a_server_may_return_while_discovery_drains_or_has_removed_it() -> None:
    held = Maintenance()
    held.apply(listed(1, 2))
    held.exclude(name(1))
    held.apply(listed(1, kind=ListKind.CHANGES, readiness=Readiness.DRAINING))
    assert states(held.include(name(1), 10.0)[1]) == [Readiness.DRAINING]
    held.exclude(name(2))
    held.apply(listed(2, kind=ListKind.CHANGES, readiness=Readiness.GONE))
    assert held.knows(name(2)) and not held.include(name(2), 20.0)
    back = held.apply(listed(2, kind=ListKind.CHANGES)).entries[0]
    assert (back.readiness, back.started_at) == (Readiness.READY, 20.0)


def test_recently_removed_ids_are_known_and_others_are_not() -> None:
    held = Maintenance()
    held.apply(listed(1, 2))
    held.apply(listed(2))
    assert held.knows(name(1)) and held.knows(name(2)) and not held.knows(name(3))


def test_a_successor_inherits_the_maintenance_set_before_and_after_its_first_list() -> None:
    for first in (True, False):
        held, server_list = Maintenance(), listed(1, 2, 3)
        if first:
            held.apply(server_list)
        changes = held.take_over([name(1)], {name(2): 50.0})
        seen = {entry.server: entry for change in changes for entry in change.entries}
        if not first:
            seen = {entry.server: entry for entry in held.apply(server_list).entries}
        assert seen[name(1)].readiness is Readiness.DRAINING
        assert (seen[name(2)].readiness, seen[name(2)].started_at) == (Readiness.READY, 50.0)


def test_the_policy_discards_the_state_of_a_returned_server() -> None:
    front, held = Gateway(make_settings(may_count=False)), Maintenance()
    front.feed(held.apply(listed(1, 2)))
    server = front.policy.server_table.servers[name(1)]
    server.failures, server.ejected_until = 5, front.now + 60_000.0
    for change in [*held.exclude(name(1)), *held.include(name(1), front.now)]:
        front.feed(change)
    fresh = front.policy.server_table.servers[name(1)]
    assert (fresh.failures, fresh.warming_since) == (0, front.now) and fresh.ejected_until < front.now
    assert front.policy.server_table.warmth(fresh, front.now) < 0.5


class RecordingIngress:
    """A stub ingress that records the calls of the admin endpoint."""

    def __init__(self) -> None:
        self.serving = False
        self.calls: list[tuple[str, bytes]] = []

    def exclude(self, server: bytes) -> bool:
        self.calls.append(("exclude", server))
        return server.startswith(b"s")

    def include(self, server: bytes) -> bool:
        self.calls.append(("include", server))
        return server.startswith(b"s")


@asynccontextmanager
async def opened(ingress: RecordingIngress) -> AsyncIterator[tuple[str, int]]:
    listener = listening.listen(("127.0.0.1", 0), defer=False)
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admin_api.AdminApi(listener, ingress, nursery).run)
            yield listener.getsockname()
            nursery.cancel_scope.cancel()


async def call(place: tuple[str, int], raw: bytes, size: int = 1 << 16) -> tuple[int, str]:
    stream = await trio.open_tcp_stream(*place)
    for at in range(0, len(raw), size):
        await stream.send_all(raw[at : at + size])
        await trio.sleep(0)
    got = b""
    while data := await stream.receive_some(4096):
        got += data
    head, _, body = got.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["detail"]


def put(path: str, body: bytes, extra: str = "") -> bytes:
    head = f"PUT {path} HTTP/1.1\r\nHost: ops\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_the_admin_endpoint_accepts_and_rejects_calls() -> None:
    async def main() -> None:
        ingress = RecordingIngress()
        async with opened(ingress) as place:
            ready = b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n"
            assert (await call(place, ready))[0] == 503
            ingress.serving = True
            assert (await call(place, ready, 1))[0] == 200
            assert (await call(place, put("/api/exclude", b'{"who":"s1"}'), 3))[0] == 200
            assert (await call(place, put("/api/include", b'{"who":"s1"}')))[0] == 200
            chunked = (
                b"PUT /api/exclude HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n"
                b'4\r\n{"wh\r\n8;x=y\r\no":"s2"}\r\n0\r\n\r\n'
            )
            assert (await call(place, chunked))[0] == 200
            assert ingress.calls == [("exclude", b"s1"), ("include", b"s1"), ("exclude", b"s2")]

    trio.run(main)


@pytest.mark.parametrize(
    ("raw", "status", "word"),
    [
        (b"GET /api/none HTTP/1.1\r\nHost: o\r\n\r\n", 404, "no such path"),
        (b"POST /api/ready HTTP/1.1\r\nHost: o\r\n\r\n", 405, "takes GET"),
        (b"GET /api/exclude HTTP/1.1\r\nHost: o\r\n\r\n", 405, "takes PUT"),
        (put("/api/exclude", b'{"who":7}'), 400, "who"),
        (put("/api/exclude", b'{"whom":"s1"}'), 400, "who"),
        (put("/api/exclude", b'["s1"]'), 400, "who"),
        (put("/api/exclude", b"\xff\xfe"), 400, "who"),
        (put("/api/exclude", b""), 400, "who"),
        (put("/api/exclude", b" " * 5000), 413, "body"),
        (b"GET /" + b"x" * 9000, 413, ""),
        (b"nonsense\r\n\r\n", 400, ""),
    ],
)
def test_an_invalid_admin_call_is_rejected_with_its_reason_and_has_no_effect(
    raw: bytes, status: int, word: str
) -> None:
    async def main() -> None:
        ingress = RecordingIngress()
        async with opened(ingress) as place:
            got, detail = await call(place, raw)
            assert got == status and word in detail
            assert ingress.calls == []

    trio.run(main)


def test_an_admin_call_with_an_unknown_id_is_rejected() -> None:
    async def main() -> None:
        async with opened(RecordingIngress()) as place:
            status, detail = await call(place, put("/api/include", b'{"who":"x1"}'))
            assert status == 404 and "x1" in detail

    trio.run(main)


def test_incomplete_admin_calls_do_not_block_others() -> None:
    async def main() -> None:
        ingress = RecordingIngress()
        ingress.serving = True
        async with opened(ingress) as place:
            held = [await trio.open_tcp_stream(*place) for _ in range(3 * admin_api.MAX_CONNECTIONS)]
            for stream in held[: admin_api.MAX_CONNECTIONS]:
                await stream.send_all(b"GET /api/re")
            assert (await call(place, b"GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n"))[0] == 200

    trio.run(main)


def test_a_server_in_maintenance_gets_no_requests_until_it_returns() -> None:
    async def main() -> None:
        async with site(cold_time=1.0) as here:
            client = await client1(here.http1)
            assert here.runtime.exclude(b"s0") and not here.runtime.exclude(b"nobody")
            for _ in range(20):
                assert (await client.ask(request()))[0] == 200
            assert not here.servers[0].seen
            assert here.runtime.include(b"s0")
            while not here.servers[0].seen:
                assert (await client.ask(request()))[0] == 200

    trio.run(main)


def test_the_command_line_reports_ingresses_that_did_not_apply_the_call(tmp_path: Path) -> None:
    ingress, begun = RecordingIngress(), threading.Event()
    ingress.serving = True
    ends: list[Callable[[], None]] = []
    places: list[tuple[str, int]] = []

    async def serve() -> None:
        async with opened(ingress) as place:
            places.append(place)
            stop, token = trio.Event(), trio.lowlevel.current_trio_token()
            ends.append(lambda: token.run_sync_soon(stop.set))
            begun.set()
            await stop.wait()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    begun.wait()
    (tmp_path / "config.json").write_text(json.dumps(example_config()))
    file, text = tmp_path / "agent.toml", f'control = "{tmp_path / "a.sock"}"\n'
    for number, port in enumerate((places[0][1], free_port())):
        text += f'[[instance]]\nname = "n{number}"\nconfig = "config.json"\n'
        text += f'listen = "127.0.0.1:{5000 + number}"\nadmin_addr = "127.0.0.1:{port}"\n'
    file.write_text(text)
    try:
        assert run_command("ready", str(file), "n0").exit_code == 0
        assert run_command("exclude", str(file), "s1", "n0").exit_code == 0
        assert ingress.calls == [("exclude", b"s1")]
        assert run_command("include", str(file), "x1", "n0").exit_code == 1
        got = run_command("ready", str(file))
        assert got.exit_code == 1 and "did not follow: n1" in got.output
        assert run_command("ready", str(file), "n7").exit_code == 2
    finally:
        ends[0]()
        thread.join()
