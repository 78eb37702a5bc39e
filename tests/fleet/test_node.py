"""An agent's node: a full disk, a changed fleet file, a status that cannot be read."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
import trio
import trio.testing

from tests.support.fleet import fleet_file
from wickspring.agent import wire
from wickspring.agent.node import Node
from wickspring.agent.notifications import Notification
from wickspring.fleet.file import load_fleet
from wickspring.fleet.model import Kind
from wickspring.fleet.owner_messages import AcquireClaims
from wickspring.wire import WireError


def test_a_full_disk_is_reported_and_changes_nothing(tmp_path: Path) -> None:
    node = Node(load_fleet(fleet_file(tmp_path)), "a0")
    before = node.instances.owner_state
    pages = node.context.store._db.execute("pragma page_count").fetchone()[0]
    node.context.store._db.execute(
        f"pragma max_page_count={pages}"
    )  # the database cannot grow, as on a full disk
    long = "x" * 200_000
    reply = node.instances.handle_request(AcquireClaims(long, long, "a0", "drain", ("n0",), 9e9))
    assert "cannot keep" in reply.reason
    assert node.instances.owner_state == before
    assert node.operations.submit(wire.Submit(Kind.DRAIN, ("n0",), by=long, id=long), long).error
    assert not node.operations.operations
    node.context.store._db.execute("pragma max_page_count=1000000")
    assert not node.instances.handle_request(AcquireClaims("op", "x", "a0", "drain", ("n0",), 9e9)).reason


def test_a_fleet_file_changed_keeps_what_runs_and_takes_up_what_is_new(tmp_path: Path) -> None:
    path = fleet_file(tmp_path, instances=2)
    node = Node(load_fleet(path), "a0")
    node.instances.handle_request(AcquireClaims("op", "x", "a0", "drain", ("n1",), 9e9))
    text = path.read_text()
    cut = text[: text.index('[[instance]]\nname = "n1"')]
    first = text[text.index("[[instance]]") : len(cut)]
    path.write_text(cut + first.replace("n0", "n2"))
    (tmp_path / "n2.json").write_text((tmp_path / "n1.json").read_text())
    node.reread()
    assert sorted(node.instances.owner_state.records) == [
        "n0",
        "n1",
        "n2",
    ]  # n1 is to run, and held: it is not forgotten
    assert node.instances.owner_state.records["n1"].claim is not None
    path.write_text("nonsense")
    node.reread()
    assert sorted(node.instances.owner_state.records) == ["n0", "n1", "n2"]


def test_an_instance_taken_from_the_file_is_kept_no_more_once_it_is_stopped(tmp_path: Path) -> None:
    async def main() -> None:
        path = fleet_file(tmp_path, instances=2, extra="first_run = false")
        node = Node(load_fleet(path), "a0")
        text = path.read_text()
        async with trio.open_nursery() as nursery:
            node.instances.start_controllers(nursery)
            await trio.testing.wait_all_tasks_blocked()
            path.write_text(text[: text.index('[[instance]]\nname = "n1"')])
            node.reread()
            assert sorted(node.instances.controllers) == sorted(node.instances.owner_state.records) == ["n0"]
            await trio.sleep(1.2)  # past the next look of every controller
            nursery.cancel_scope.cancel()
        node.context.store.close()
        path.write_text(text)
        held = Node(load_fleet(path), "a0")
        held.instances.handle_request(AcquireClaims("op", "x", "a0", "drain", ("n1",), 9e9))
        held.context.store.close()
        path.write_text(text[: text.index('[[instance]]\nname = "n1"')])
        again = Node(load_fleet(path), "a0")  # a new agent, and the file has changed meanwhile
        assert (
            sorted(again.instances.controllers) == sorted(again.instances.owner_state.records) == ["n0", "n1"]
        )
        with pytest.raises(WireError, match="no agent is called a9"):
            await again.peers.exchange("a9", wire.Show())

    trio.run(main)


def test_a_status_that_cannot_be_read_does_no_harm(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        node = Node(load_fleet(fleet_file(tmp_path)), "a0")
        received = list[Notification]()
        monkeypatch.setattr(node.instances.controllers["n0"], "receive_report", received.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.listeners.receive_notifications)
            with trio.fail_after(10):
                while not node.context.notify_socket.exists():
                    await trio.sleep(0.01)
            with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                for data in (
                    b"STATUS=served=x failed=-1",
                    b"\xff\x00=",
                    b"READY=1\nX_TOKEN=t\nSTATUS=served=3 failed=1",
                ):
                    await sock.sendto(data, str(node.context.notify_socket))
            with trio.fail_after(10):
                while len(received) < 3:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert (received[0].served, received[0].failed) == (0, 0)
        assert received[2] == Notification("t", True, 4, 1)

    trio.run(main)
