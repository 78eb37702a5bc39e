"""What becomes of a request whose client has left before its response."""

from __future__ import annotations

from typing import cast

import pytest
import trio

from tests.dataplane.test_request_path import head
from wickspring.connections.model import PooledConnection
from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.faulty_server import FaultyServer, ReceivedRequest
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd, PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation
from wickspring.net.link import Link

LEAVES_AFTER_S = 0.15  # longer than dialling and sending take, shorter than any response
NOTICED_WITHIN_S = 0.02  # a few times the latency of a connection in memory
REFUSED_AFTER_S = 0.3  # after the client has left
PATHS = {"idempotent": PURE_PREFIX, "non-idempotent": EFFECTFUL_PREFIX}


class LateRefusals(FaultyServer):
    """Says that it has not executed a request, some time after it has come."""

    async def _ends_early(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        return False

    async def _reply(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        await trio.sleep(REFUSED_AFTER_S)
        end.send(self._compose(request, executed=False).data)
        return True


class LeavingClients(Simulation):
    """Clients that send one request each, and leave before its response is complete."""

    path = PURE_PREFIX
    refuses = False
    connect_s = 0.0  # that a connection to a server takes

    def __post_init__(self) -> None:
        super().__post_init__()
        self.links: list[DataPlaneEnd] = []  # to servers
        self.open_links_after_leaving: list[int] = []  # by client: of those with a request, how many are open
        if self.refuses:
            for name in self.faulty_servers:
                self.faulty_servers[name] = LateRefusals(name, self.ledger, 1.0, ("turned_away",))

    async def _connect(self, conn: PooledConnection) -> Link | None:
        link = DataPlaneEnd(self.random, float("inf"))
        self.links.append(link)
        await trio.sleep(self.connect_s)
        self.nursery.start_soon(self.faulty_servers[conn.server.decode()].serve, link.peer)
        return cast(Link, link)

    async def client(self, number: int) -> None:
        request_id, end = f"a{number}", self.connect_client()
        self.ledger.requests[request_id] = self.path, 0
        end.send(head(self.path, request_id))
        await trio.sleep(LEAVES_AFTER_S)
        end.close()
        await trio.sleep(NOTICED_WITHIN_S)
        self.open_links_after_leaving.append(sum(not link.broken for link in self.links))
        await trio.sleep(2.0 * REFUSED_AFTER_S)


def run_leaving_clients(
    path: str, fault: str, seed: int = 1, refuses: bool = False, connect_s: float = 0.0
) -> LeavingClients:
    attributes = {"path": path, "refuses": refuses, "connect_s": connect_s}
    simulation_class = type("Leaving", (LeavingClients,), attributes)
    simulation: LeavingClients = simulation_class(seed, fault_share=1.0, only_faults=(fault,))
    simulation.run()
    return simulation


@pytest.mark.parametrize("fault", ["silent", "drips"])
def test_an_idempotent_request_is_cancelled_at_its_endpoint(fault: str) -> None:
    """Also where the response is being streamed: `drips` sends it in pieces, with pauses."""
    for seed in range(10):
        simulation = run_leaving_clients(PURE_PREFIX, fault, seed)
        assert simulation.ledger.seen[fault] >= simulation.client_count
        assert simulation.open_links_after_leaving[-1] == 0


def test_a_non_idempotent_request_may_end_at_its_endpoint() -> None:
    simulation = run_leaving_clients(EFFECTFUL_PREFIX, "silent")
    assert simulation.open_links_after_leaving == [simulation.client_count] * simulation.client_count


@pytest.mark.parametrize("kind", list(PATHS))
def test_no_further_attempt_follows_once_the_client_has_left(kind: str) -> None:
    simulation = run_leaving_clients(PATHS[kind], "turned_away", refuses=True)
    assert all(len(endpoints) == 1 for endpoints in simulation.ledger.sent_to.values())


@pytest.mark.parametrize("kind", list(PATHS))
def test_what_still_waits_for_a_connection_is_not_sent_once_the_client_has_left(kind: str) -> None:
    simulation = run_leaving_clients(PATHS[kind], "silent", connect_s=2.0 * LEAVES_AFTER_S)
    assert len(simulation.links) >= simulation.client_count
    assert not any(simulation.ledger.sent_to.values())


def test_a_cancelled_attempt_says_nothing_of_its_endpoint() -> None:
    simulation = run_leaving_clients(PURE_PREFIX, "silent")
    endpoints = simulation.data_plane.endpoints.by_id.values()
    assert not any(endpoint.in_flight or endpoint.failures for endpoint in endpoints)
    assert simulation.data_plane.request_context.event_counts["attempts[cancelled]"] >= 3
