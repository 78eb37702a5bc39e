"""A fault of an agent in one message or command is told to who sent it, and ends nothing else."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest
import trio

from wickspring.agent import control, wire
from wickspring.agent.listeners import LOCAL_PEER, AgentListeners
from wickspring.agent.wire import Answer, Message, Peer
from wickspring.wire import connect

pytestmark = pytest.mark.raises_faults


def test_a_fault_in_a_message_is_answered_and_the_connection_goes_on() -> None:
    """Guards against an agent that ends, with the supervision of all its instances, by one message."""
    answers: list[Answer] = []

    async def handle(peer: Peer, message: Message) -> Answer:
        if len(answers) == 0:
            raise RuntimeError("a fault of the agent")
        return Answer()

    async def main() -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await wire.serve(stream, LOCAL_PEER, handle)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            connection = await connect(f"127.0.0.1:{port}", "agent", wire.PROTOCOL_VERSIONS, None, "")
            answers.append(await connection.exchange(wire.Show(), wire._answer_decoder))
            answers.append(await connection.exchange(wire.Show(), wire._answer_decoder))
            await connection.close()
            nursery.cancel_scope.cancel()
        assert [answer.error for answer in answers] == [wire.INTERNAL_FAULT, ""]

    trio.run(main)


def test_a_fault_in_a_command_is_answered_and_the_agent_goes_on(tmp_path: Path) -> None:
    """Guards against an agent that ends by one command of an operator."""
    commands: list[str] = []

    async def handle(command: control.Command) -> control.Result:
        commands.append(command.action)
        if len(commands) == 1:
            raise KeyError("a fault of the agent")
        return control.Result()

    async def main() -> None:
        listener = control.open_socket(tmp_path / "agent.sock")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(control.serve, listener, handle)
            command = control.Command("status")
            results = [await control.send_command(tmp_path / "agent.sock", command) for _ in range(2)]
            nursery.cancel_scope.cancel()
        assert [result.error for result in results] == [control.INTERNAL_FAULT, ""]

    trio.run(main)


class FailingInstances:
    """Fails on the first report of an instance."""

    def __init__(self) -> None:
        self.reports = 0

    def receive_notification(self, notification: Any) -> None:
        self.reports += 1
        if self.reports == 1:
            raise ValueError("a fault of the agent")


class Context:
    """Has the path alone."""

    def __init__(self, notify_socket: Path) -> None:
        self.notify_socket = notify_socket


@pytest.mark.parametrize("data", [b"READY=1", b"\xff\xfe\n=\n\0STATUS=served=9"])
def test_a_fault_in_a_report_of_an_instance_costs_that_report(tmp_path: Path, data: bytes) -> None:
    """Guards against an agent that ends by one datagram of an instance."""

    async def main() -> None:
        listeners = AgentListeners.__new__(AgentListeners)
        here: Any = listeners
        here.context, here.instances = Context(tmp_path / "notify.sock"), FailingInstances()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listeners.receive_notifications)
            while not (tmp_path / "notify.sock").exists():
                await trio.sleep(0.01)
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sender:
                for _ in range(2):
                    sender.sendto(data, str(tmp_path / "notify.sock"))
            while here.instances.reports < 2:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
