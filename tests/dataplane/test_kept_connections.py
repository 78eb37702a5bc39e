"""The limits of a configuration hold for connections that were open before it, too."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h11
import msgspec
import pytest
import trio

from wickspring.common.routing_table import build_routing_table
from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX, gateway_config
from wickspring.lab.simulation.request_path.ledger import request_body
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation

Scene = Callable[["KeptConnection"], Awaitable[None]]


class KeptConnection(Simulation):
    """One client with one connection, and limits that change meanwhile."""

    def __init__(self, scene: Scene, **limits: Any) -> None:
        super().__init__(1, fault_share=0.0, client_count=1)
        self.scene, self.limits = scene, limits
        self.count = 0

    def _config(self) -> bytes:
        document = msgspec.json.decode(gateway_config(1))
        document["limits"] = self.limits
        return msgspec.json.encode(document)

    def change(self, **limits: Any) -> None:
        self.limits = limits
        self.data_plane.on_routing_table(build_routing_table(self._config()))

    async def client(self, number: int) -> None:
        self.end: PeerEnd = self.connect_client()
        self.http = h11.Connection(h11.CLIENT)
        await self.scene(self)

    def request(self, size: int, chunked: bool = False, *fields: str) -> bytes:
        """Return a request with a body of a size."""
        self.count += 1
        request_id = f"a{self.count}"
        self.ledger.requests[request_id] = PURE_PREFIX, size
        body = request_body(request_id, size)
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        lines = [f"POST {PURE_PREFIX}x HTTP/1.1", f"Host: {HOST}", f"X-Key: {API_KEY}", framing, *fields]
        head = "\r\n".join([*lines, f"X-Attempt-Id: {request_id}", "", ""]).encode()
        return head + (b"%x\r\n%s\r\n0\r\n\r\n" % (size, body) if chunked else body)

    async def status(self, data: bytes) -> int:
        """Send a request; return the status of its response."""
        self.end.send(data)
        reader = h11.Connection(h11.CLIENT)
        reader.send(h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "0")]))
        reader.send(h11.EndOfMessage())
        code = 0
        with trio.fail_after(10.0):
            while True:
                event = reader.next_event()
                if event is h11.NEED_DATA:
                    assert self.end.received or await self.end.wait_for_more(), "the connection ended"
                    reader.receive_data(await self.end.read(len(self.end.received)))
                elif isinstance(event, h11.Response):
                    code = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    return code


async def send_body(here: KeptConnection, size: int, chunked: bool = False) -> int:
    return await here.status(here.request(size, chunked))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(("size", "raised"), [(2_000, 4_000), (300_000, 400_000)])
def test_a_raised_limit_of_bodies_holds_on_a_kept_connection(size: int, raised: int, chunked: bool) -> None:
    """Guards against 413 for what the configuration in force allows, on a connection kept from before."""

    async def scene(here: KeptConnection) -> None:
        assert await send_body(here, 10) != 413
        here.change(max_body_bytes=raised)
        assert await send_body(here, size, chunked) != 413

    KeptConnection(scene, max_body_bytes=1_000).run()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [2_000, 80_000])
def test_a_lowered_limit_of_bodies_holds_on_a_kept_connection(size: int, chunked: bool) -> None:
    """Guards against a body that the configuration in force forbids, on a connection kept from before."""

    async def scene(here: KeptConnection) -> None:
        assert await send_body(here, 10) != 413
        here.change(max_body_bytes=1_000)
        assert await send_body(here, size, chunked) == 413

    KeptConnection(scene).run()


def test_a_changed_limit_of_heads_holds_on_a_kept_connection() -> None:
    """Guards against 431 for a head that the configuration in force allows, and the other way round."""

    async def scene(here: KeptConnection) -> None:
        long = f"X-Long: {'x' * 20_000}"
        here.change(max_header_bytes=40_000)
        assert await here.status(here.request(0, False, long)) != 431
        here.change(max_header_bytes=16_384)
        assert await here.status(here.request(0, False, long)) == 431

    KeptConnection(scene).run()


def test_a_lowered_idle_time_holds_on_a_kept_connection() -> None:
    """Guards against connections that idle beyond what the configuration in force allows."""

    async def scene(here: KeptConnection) -> None:
        assert await send_body(here, 10) != 413
        here.change(idle_timeout_s=1)
        with trio.fail_after(2.0):
            assert not await here.end.wait_for_more()

    KeptConnection(scene, idle_timeout_s=60).run()
