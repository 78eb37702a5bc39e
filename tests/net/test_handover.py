"""Handover to a new version: one upgrade of real processes, then each failure of the protocol."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import trio

from example import toy
from example.toy import Answer, Seen, ToyServer, echo
from tests.net.test_operating import call, listed, put
from tests.support.example_config import example_config
from tests.support.ingress import Client1, client1, request, site
from tests.support.policy_gateway import Gateway, make_settings
from wickspring import interface as api
from wickspring.core import effects as core
from wickspring.core import succession
from wickspring.core.reducer import Reducer
from wickspring.lab.emulation.site import free_port
from wickspring.net import handover, maintenance_store
from wickspring.net.handover import Predecessor, Successor
from wickspring.routing.maintenance import Maintenance

POLL_S = 0.002
SETTLE_S = 0.2  # for the process to act on what it was sent
READY = b"GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n"


@pytest.fixture
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return tmp_path_factory.mktemp("h")


class Process:
    """One `serve` process of the example, with an admin endpoint of its own."""

    def __init__(self, config: Path, folder: Path) -> None:
        self.door = ("127.0.0.1", free_port())
        env = {**os.environ, "GW_CONFIG": str(config), "TMPDIR": str(folder)}
        env["GW_ADMIN_ADDR"] = f"127.0.0.1:{self.door[1]}"
        self.log = (folder / f"log{self.door[1]}").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "wickspring", "serve"],
            env=env,
            stderr=self.log,
            cwd=Path(__file__).parents[2],
        )

    async def up(self) -> None:
        while True:
            with contextlib.suppress(OSError, IndexError):
                if (await call(self.door, READY))[0] == 200:
                    return
            assert self.process.poll() is None, self.text()
            await trio.sleep(0.02)

    def text(self) -> str:
        self.log.seek(0)
        return self.log.read()


@contextlib.asynccontextmanager
async def example_site(folder: Path) -> AsyncIterator[tuple[Path, tuple[str, int], list[Process]]]:
    data = example_config()
    for place in ("listen", "discovery", "counter"):
        data[place] = f"127.0.0.1:{free_port()}"
    for entry in data["known"]["servers"]:
        entry["addr"] = f"127.0.0.1:{free_port()}"
    path = folder / "config.json"
    path.write_text(json.dumps(data))
    host, _, port = data["listen"].rpartition(":")
    processes: list[Process] = []
    with trio.fail_after(60):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(toy.main, path)
            try:
                yield path, (host, int(port)), processes
            finally:
                for one in processes:
                    if one.process.poll() is None:
                        one.process.kill()
                    one.process.wait()
                    one.log.close()
                nursery.cancel_scope.cancel()


async def ended(one: Process) -> int:
    while (code := one.process.poll()) is None:
        await trio.sleep(0.02)
    return code


def ask(customer: int) -> dict[str, Any]:
    return request("ticket-view", customer=customer, api_plan="premium")


def test_an_upgrade_keeps_every_connection_and_the_maintenance_set(folder: Path) -> None:
    async def main() -> None:
        async with example_site(folder) as (path, place, processes):
            old = Process(path, folder)
            processes.append(old)
            await old.up()
            idle, half = await client1(place), await client1(place)
            for client in (idle, half):
                assert (await client.ask(ask(1)))[0] == 200
            assert (await call(old.door, put("/api/exclude", b'{"who":"s-0"}')))[0] == 200
            request_head = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
            new = Process(path, folder)
            processes.append(new)
            await new.up()
            # A head half read travels with its connection. It has HEAD_MS in all, less than a start may take.
            await half.stream.send_all(request_head[:9])
            old.process.send_signal(signal.SIGTERM)
            fresh = await client1(place)
            assert (await fresh.ask(ask(2)))[0] == 200
            assert await ended(old) == 0
            assert "event=succeeded" in old.text()
            await half.stream.send_all(request_head[9:])
            assert (await half.answer())[0] == 200
            for customer in range(10):  # on the very connection that the old process accepted
                status, _, body = await idle.ask(ask(customer))
                assert status == 200 and not body.startswith(b"s-0 ")
            assert (await call(new.door, put("/api/include", b'{"who":"s-0"}')))[0] == 200
            second = Process(path, folder)  # and once more, right after
            processes.append(second)
            await second.up()
            new.process.send_signal(signal.SIGTERM)
            assert await ended(new) == 0
            assert (await idle.ask(ask(3)))[0] == 200

    trio.run(main)


@contextlib.contextmanager
def connect_as_successor(path: Path) -> Iterator[socket.socket]:
    """Connect to a serving process and say what a successor says first."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as peer:
        peer.connect(str(path))
        peer.send(handover._encode(succession.Hello(succession.VERSION)))
        yield peer


def test_a_successor_that_exits_before_serving_changes_nothing(folder: Path) -> None:
    async def main() -> None:
        async with example_site(folder) as (path, place, processes):
            old = Process(path, folder)
            processes.append(old)
            await old.up()
            found = handover.place(str(folder), "n0", place[1])
            assert found is not None
            with connect_as_successor(found) as peer:  # it takes all, and dies
                peer.recv(1 << 16)
            assert (await (await client1(place)).ask(ask(1)))[0] == 200
            with connect_as_successor(found) as peer:  # it says it serves, and dies
                peer.recv(1 << 16)
                peer.send(handover._encode(succession.Serving()))
                peer.recv(1 << 16)
            assert (await (await client1(place)).ask(ask(1)))[0] == 200
            for raw in (b"\xc1garbage", b""):
                with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as peer:
                    peer.connect(str(found))
                    peer.send(raw)
            assert (await (await client1(place)).ask(ask(1)))[0] == 200

    trio.run(main)


def test_a_process_told_to_end_closes_its_connections_if_its_successor_exits(folder: Path) -> None:
    """Nobody takes them any more: each ends here, with `Connection: close` in its last response."""

    async def answer_slowly(seen: Seen) -> Answer:
        await trio.sleep(4 * SETTLE_S)
        return await echo(seen)

    async def use_to_the_end(client: Client1) -> None:
        status, headers, _ = await client.ask(request("ticket-view"))
        assert status == 200 and headers.get("connection") == "close"

    async def main() -> None:
        slow = site(ToyServer("s0", answer_slowly), handover_folder=str(folder))
        async with slow as here, trio.open_nursery() as nursery:
            nursery.start_soon(use_to_the_end, await client1(here.http1))
            with connect_as_successor(next(folder.glob("*.sock"))) as successor:
                successor.send(handover._encode(succession.Serving()))
                await trio.sleep(SETTLE_S)
                assert here.runtime.handing_over
                os.kill(os.getpid(), signal.SIGTERM)
                await trio.sleep(SETTLE_S)
            await trio.sleep(SETTLE_S)
            assert not here.runtime.handing_over

    trio.run(main)


def test_a_reload_signal_while_an_ingress_loads_does_not_end_it(folder: Path) -> None:
    async def main() -> None:
        async with example_site(folder) as (path, _, processes):
            ingress = Process(path, folder)
            processes.append(ingress)
            while not ignores_reloads(ingress.process.pid):
                await trio.sleep(POLL_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_reloads, ingress)
                await ingress.up()
                nursery.cancel_scope.cancel()

    trio.run(main)


def ignores_reloads(pid: int) -> bool:
    """Return whether a process ignores SIGHUP, which an ingress does from its first statements on."""
    status = Path(f"/proc/{pid}/status").read_text()
    ignored = next(line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(ignored, 16) >> (signal.SIGHUP - 1) & 1)


async def send_reloads(ingress: Process) -> None:
    while True:
        ingress.process.send_signal(signal.SIGHUP)
        await trio.sleep(POLL_S)


# The handover protocol, with both sides in one process.


class Side:
    """An ingress process as the handover sees it, which records the calls."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.done: list[str] = []
        self.clients: list[tuple[socket.socket, bytes]] = []
        self.draining = False
        self.parts = [succession.State(open={"a": 5.0}), succession.State(last=True)]

    def welcome(self) -> tuple[succession.Welcome, list[int]]:
        return succession.Welcome(succession.VERSION, [b"s1"]), [self.listener.fileno()]

    def pause(self, paused: bool) -> None:
        self.done.append("pause" if paused else "accept")

    def export_state(self) -> list[succession.State]:
        return self.parts

    def releases_clients(self) -> bool:
        return self.draining

    def release_client(self) -> tuple[socket.socket, bytes] | None:
        return self.clients.pop() if self.clients else None

    def adopt_client(self, sock: socket.socket, ahead: bytes) -> None:
        self.clients.append((sock, ahead))
        self.done.append("client")

    def import_state(self, state: succession.State) -> None:
        self.done.append(f"state {' '.join(state.open)}{state.last}")

    def apply_maintenance(self, server: api.ServerId, included_at: float | None) -> None:
        self.done.append(f"moved {server.decode()} {included_at}")

    def on_peer_descriptors(self, descriptors: int) -> None:
        self.done.append(f"holds {descriptors}")

    def open_descriptors(self) -> int:
        return 7


async def until(side: Side, word: str) -> None:
    while word not in side.done:
        await trio.sleep(0.005)


def test_the_handover_messages_are_sent_in_order(folder: Path) -> None:
    async def main() -> None:
        old, new, path = Side(), Side(), folder / "a.sock"
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                before = Predecessor(path, old)
                await nursery.start(before.run)
                after = Successor(path, new)
                assert await after.begin()
                assert after.welcome is not None and after.welcome.excluded == [b"s1"]
                assert after.listeners[0].getsockname() == old.listener.getsockname()
                late = Successor(path, Side())
                assert not await late.begin()  # one successor at a time
                await before.announce_maintenance(b"s2", None)  # between the welcome and the state
                await after.take(nursery)
                assert old.done == ["pause"]
                assert new.done[:3] == ["moved s2 None", "state aFalse", "state True"]
                await after.announce_maintenance(b"s2", 9.0)
                await until(old, "moved s2 9.0")
                one, other = socket.socketpair()
                old.clients.append((one, b"GET"))
                await trio.sleep(0.05)
                assert not new.clients  # nothing goes before SIGTERM
                old.draining = True
                await until(new, "client")
                assert new.clients[0][1] == b"GET"
                other.send(b"x")
                assert new.clients[0][0].recv(1) == b"x"
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_the_old_process_resumes_accepting_if_its_successor_exits(folder: Path) -> None:
    async def main() -> None:
        old, path = Side(), folder / "a.sock"
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(Predecessor(path, old).run)
                after = Successor(path, Side())
                async with trio.open_nursery() as successor_tasks:
                    assert await after.begin()
                    await after.take(successor_tasks)
                    assert after.channel is not None
                    after.channel.close()
                    successor_tasks.cancel_scope.cancel()
                await until(old, "accept")
                again = Successor(path, Side())
                assert await again.begin()
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("answer", [None, b"\xc1", b"", "other version", "no listeners"])
def test_an_incompatible_predecessor_is_ignored(folder: Path, answer: object) -> None:
    async def main() -> None:
        path = folder / "a.sock"
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as server:
            server.bind(str(path))
            server.listen()

            async def serve() -> None:
                peer = await trio.to_thread.run_sync(lambda: server.accept()[0])
                peer.recv(1 << 16)
                if answer == "other version":
                    peer.send(handover._encode(succession.Welcome(99)))
                elif answer == "no listeners":
                    peer.send(handover._encode(succession.Welcome(succession.VERSION)))
                elif isinstance(answer, bytes) and answer:
                    peer.send(answer)
                if answer is not None:
                    peer.close()

            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve)
                    assert not await Successor(path, Side()).begin()

    trio.run(main)


def test_without_a_live_handover_socket_the_process_starts_normally(folder: Path) -> None:
    async def main() -> None:
        path = folder / "a.sock"
        assert not await Successor(path, Side()).begin()
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as dead:
            dead.bind(str(path))
        assert not await Successor(path, Side()).begin()

    trio.run(main)


def test_an_unusable_directory_disables_the_handover_socket() -> None:
    assert handover.place("", "n0", 1) is None
    assert handover.place("/" + "x" * 100, "n0", 1) is None


# The state that is handed over.


def reducer() -> Reducer:
    one = Reducer(make_settings(may_count=False))
    one.reduce(0.0, listed(1, 2))
    return one


def test_the_complete_state_is_handed_over() -> None:
    old, new = reducer(), reducer()
    for number in range(600):  # more than one message holds
        old.reduce(
            1.0, core.RequestArrived(api.Request(number, 0, 0, number, 4000.0, 1.0, 2, 0), f"id{number}")
        )
    server = next(iter(old.policy.server_table.servers.values()))
    server.failures, server.ejected_until, server.latency.mean, server.latency.updated_at = 3, 99.0, 0.7, 5.0
    parts = list(succession.export_state(old))
    assert len(parts) > 2 and [part.last for part in parts] == [False] * (len(parts) - 1) + [True]
    for part in parts:
        sent = handover._decoder.decode(handover._encode(part))
        assert isinstance(sent, succession.State)
        assert len(handover._encode(part)) < handover.MAX_MESSAGE_BYTES
        succession.import_state(new, sent)
    assert list(new.policy.quotas) == list(old.policy.quotas)
    for customer, account in new.policy.quotas.items():
        exported = old.policy.quotas[customer]
        assert (account.tokens, account.updated_at, account.window) == (
            exported.tokens,
            exported.updated_at,
            exported.window,
        )
    assert new.policy.server_table.servers[server.entry.server].failures == 3
    assert new.policy.server_table.servers[server.entry.server].latency == replace(
        server.latency, waiting_since=0.0
    )
    assert new.policy.concurrency_limit == old.policy.concurrency_limit


def test_the_new_process_rejects_an_id_in_progress_at_the_old_one() -> None:
    settings = make_settings(kind={"effect": api.Effect.UNSAFE}, may_count=False)
    old, new = Reducer(settings), Reducer(settings)
    for one in (old, new):
        one.reduce(0.0, listed(1, 2))
    old.reduce(1.0, core.RequestArrived(api.Request(1, 0, 0, 7, 4000.0, 1.0, 2, 0), "x"))
    for part in succession.export_state(old):
        succession.import_state(new, part)
    effects = new.reduce(2.0, core.RequestArrived(api.Request(5, 0, 0, 7, 4000.0, 1.0, 2, 0), "x"))
    assert [type(effect) for effect in effects] == [core.SendResponse]
    assert not new.counters["attempts"]
    later = new.reduce(9000.0, core.SweepDue())
    assert not later
    effects = new.reduce(9001.0, core.RequestArrived(api.Request(6, 0, 0, 7, 12000.0, 1.0, 2, 0), "x"))
    assert core.StartAttempt in [type(effect) for effect in effects]


def test_the_state_of_a_restarted_server_is_not_handed_over() -> None:
    old, new = reducer(), reducer()
    name = Gateway.entry(1).server
    old.policy.server_table.servers[name].failures = 4
    new.reduce(3.0, listed(1, kind=api.ListKind.CHANGES, started_at=2.0))
    for part in succession.export_state(old):
        succession.import_state(new, part)
    assert new.policy.server_table.servers[name].failures == 0


def test_the_maintenance_set_is_stored_beside_the_handover_socket(folder: Path) -> None:
    path, held = folder / "a.sock", Maintenance()
    assert maintenance_store.load(path) == ([], {})
    held.apply(listed(1, 2))
    held.exclude(Gateway.entry(1).server)
    maintenance_store.save(path, held)
    assert maintenance_store.load(path) == ([Gateway.entry(1).server], {})
    path.with_suffix(".maintenance").write_bytes(b"\xc1")
    assert maintenance_store.load(path) == ([], {})
