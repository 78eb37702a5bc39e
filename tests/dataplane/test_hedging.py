"""What becomes of the attempts of a hedged request that have lost."""

from __future__ import annotations

from typing import cast

import pytest
import trio

from tests.dataplane.test_request_path import head
from wickspring.connections.model import PooledConnection
from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.faulty_server import FaultyServer, ReceivedRequest
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd, PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation
from wickspring.net.link import Link

SLOW_S = 1.5
NOTICED_WITHIN_S = 0.02  # a few times the latency of a connection in memory


class SlowFirstServer(FaultyServer):
    """Is slow with the first request that any server receives, and quick with the others."""

    long = False

    async def _reply(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        if len(self.ledger.sent_to[request.id]) == 1:
            await trio.sleep(SLOW_S)
        end.send(self._compose(request, executed=True).data)
        return True

    def _body(self, request: ReceivedRequest, executed: bool) -> bytes:
        return b"x" * (200_000 if self.long else 10)


class HedgedRequests(Simulation):
    """One client with one request, whose first attempt is slow."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.links: list[DataPlaneEnd] = []  # to servers
        self.open_links: int = -1  # once the client has its response
        for name in self.faulty_servers:
            self.faulty_servers[name] = SlowFirstServer(name, self.ledger, 0.0)

    async def _connect(self, conn: PooledConnection) -> Link | None:
        link = DataPlaneEnd(self.random, float("inf"))
        self.links.append(link)
        self.nursery.start_soon(self.faulty_servers[conn.server.decode()].serve, link.peer)
        return cast(Link, link)

    async def client(self, number: int) -> None:
        end = self.connect_client()
        self.ledger.requests["a"] = PURE_PREFIX, 0
        end.send(head(PURE_PREFIX, "a"))
        await self.read(end, "a", b"")
        await trio.sleep(NOTICED_WITHIN_S)
        self.open_links = sum(not link.broken for link in self.links)


@pytest.mark.parametrize("is_long", [False, True])
def test_the_loser_of_a_hedged_request_is_cancelled(is_long: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowFirstServer, "long", is_long)
    simulation = HedgedRequests(1, client_count=1, fault_share=0.0)
    simulation.run()
    assert len(simulation.ledger.sent_to["a"]) == 2 and simulation.ledger.seen["told[200]"] == 1
    assert simulation.open_links == 1
    assert simulation.data_plane.request_context.event_counts["attempts[cancelled]"] == 1
