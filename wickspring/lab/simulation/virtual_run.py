"""Runs a scenario on a `VirtualGateway` in virtual time, with the programs' modules patched for it."""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from random import Random
from typing import TypeVar, cast
from unittest.mock import patch

import trio
import trio.testing
from trio._core import _run as trio_scheduler

from wickspring.common import reconnecting_client
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import Message
from wickspring.dataplane import process as dataplane_process
from wickspring.dataplane import state_exchange
from wickspring.lab.rare_garbage_collection import rare_garbage_collection
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.memory_link import MemoryLink
from wickspring.lab.simulation.memory_network import DatagramEndpoint, MemoryNetwork
from wickspring.lab.simulation.meter import Meter, WireMessageHandler
from wickspring.lab.simulation.stub_endpoints import StubUpstream
from wickspring.lab.simulation.virtual_gateway import VirtualGateway
from wickspring.net import http_server

START_S = 2.0  # for the control plane to elect its first view

ResultT = TypeVar("ResultT")


async def _run_inline(call: Callable[..., ResultT], *args: object) -> ResultT:
    """Call a function in place of a thread: virtual time does not wait for threads."""
    await trio.lowlevel.checkpoint()
    return call(*args)


@contextmanager
def _patched_programs(network: MemoryNetwork) -> Iterator[None]:
    """Put the network in memory, the meter and virtual time into the programs' modules."""
    meter = network.meter
    original_read = PeerConnection.read_wire_messages

    def send(self: PeerConnection, message: Message) -> None:
        data = message.encode()
        link = cast(MemoryLink, self.link)
        if not link.broken:
            meter.count_message(f"{link.local}>{link.remote}", message.wire_name, len(data))
        link.send(data)

    async def read_wire_messages(self: PeerConnection, on_wire_message: WireMessageHandler) -> None:
        link = cast(MemoryLink, self.link)
        await original_read(self, meter.metered_handler(link.local, on_wire_message))

    replacements = (
        (http_server, "Clock", VirtualClock),
        (reconnecting_client, "connect", network.connect),
        (reconnecting_client, "Link", lambda link, _: link),
        (state_exchange, "connect", network.connect),
        (state_exchange, "Link", lambda link, _: link),
        (dataplane_process, "Udp", partial(DatagramEndpoint, network)),
        (dataplane_process, "UpstreamManager", StubUpstream),
        (trio.to_thread, "run_sync", _run_inline),
        (PeerConnection, "send", send),
        (PeerConnection, "read_wire_messages", read_wire_messages),
    )
    with ExitStack() as stack:
        for target, name, value in replacements:
            stack.enter_context(patch.object(target, name, value))
        yield


@contextmanager
def _deterministic_scheduling(seed: int) -> Iterator[None]:
    """Let trio order tasks by the seed, so that a seed gives the same run again."""
    with (
        patch.object(trio_scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        patch.object(trio_scheduler, "_r", Random(seed)),
    ):
        yield


def run_virtual(
    scenario: Callable[[VirtualGateway], Awaitable[ResultT]], seed: int = 1, node_count: int = 5
) -> ResultT:
    """Start so many control-plane nodes, run a scenario in virtual time and return its result."""
    meter = Meter()
    network = MemoryNetwork(meter)

    async def main(folder: str) -> ResultT:
        async with trio.open_nursery() as nursery:
            gateway = VirtualGateway(network, nursery, folder, seed, node_count)
            for ip in gateway.control_plane_ips:
                gateway.start_control_plane(ip)
            await trio.sleep(START_S)
            result = await scenario(gateway)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    with (
        tempfile.TemporaryDirectory() as folder,
        _patched_programs(network),
        rare_garbage_collection(),
        _deterministic_scheduling(seed),
    ):
        return trio.run(main, folder, clock=clock, instruments=[meter])
