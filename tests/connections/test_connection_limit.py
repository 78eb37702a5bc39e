"""The bound of all connections to servers, as clients take descriptors away and give them back."""

from __future__ import annotations

from random import Random

import pytest

from tests.support.connection_pools import SERVER_A, SERVER_B, PoolHarness
from wickspring.connections.model import ClosedBy, ConnectionRequest, ConnectionState, PooledConnection

SERVERS = 400


def test_idle_connections_beyond_a_lowered_limit_are_closed_longest_idle_first() -> None:
    harness = PoolHarness()
    requests = [harness.request() for _ in range(4)]
    connections = [harness.complete_dial() for _ in range(4)]
    for request in requests[1:]:  # the first stays in flight
        harness.now += 10.0
        harness.finish(request)
    harness.apply(harness.pools.limit_connections(2))
    assert harness.closed == connections[1:3]
    harness.apply(harness.pools.limit_connections(0))
    assert harness.closed == connections[1:4]  # what carries a request stays
    assert harness.pools.connection_count == 1


def test_a_dial_without_a_descriptor_does_not_count_against_its_server() -> None:
    harness = PoolHarness()
    idle = harness.serve_request()
    waiting = harness.request(SERVER_B)
    harness.apply(harness.pools.dial_not_made(harness.dials.pop()))
    assert not harness.rejected
    assert harness.closed == [idle]  # its descriptor is for the next dial
    assert harness.pools.counters["dials_failed"] == 0
    harness.advance(20.0)
    assert harness.complete_dial().server == SERVER_B
    assert waiting.connection is not None
    assert harness.pools.pools[SERVER_A].paused_until < harness.now


def test_room_for_a_dial_is_found_without_a_look_at_every_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against work that grows with all pools: it took a process at its limit a fifth of its time."""
    harness = PoolHarness(dials_per_s=1e6)
    for number in range(SERVERS):
        request = harness.request(b"%d" % number)
        harness.complete_dial()
        harness.finish(request)
        harness.now += 1.0
    harness.apply(harness.pools.limit_connections(SERVERS))
    opened = [pool.connections[0] for pool in harness.pools.pools.values()]
    looks = 0

    def count_look(connection: PooledConnection) -> bool:
        nonlocal looks
        looks += 1
        return connection.state is ConnectionState.UP and not connection.in_flight

    monkeypatch.setattr(PooledConnection, "is_idle", property(count_look))
    for number in range(50):
        harness.request(b"further %d" % number)
        harness.complete_dial()
    assert harness.closed == opened[:50]  # the longest idle first
    assert looks < 10 * 50


@pytest.mark.parametrize("seed", range(20))
def test_the_connections_known_to_be_idle_are_those_that_are(seed: int) -> None:
    random, harness = Random(seed), PoolHarness(dials_per_s=1e6, dials_per_s_per_server=1e6)
    requests: list[ConnectionRequest] = []
    for _ in range(400):
        harness.now += 1.0
        step = random.random()
        busy = [request for request in requests if request.connection is not None]
        if step < 0.4:
            requests.append(harness.request(b"%d" % random.randrange(12)))
        elif step < 0.65 and harness.dials:
            harness.complete_dial()
        elif step < 0.7 and harness.dials:
            harness.fail_dial()
        elif step < 0.9 and busy:
            harness.finish(random.choice(busy))
        elif busy and (connection := random.choice(busy).connection) is not None:
            for lost in [request for request in busy if request.connection is connection]:
                harness.pools.request_lost(harness.now, lost, received_bytes=False)
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
        else:
            harness.apply(harness.pools.limit_connections(random.randrange(4, 20)))
        pools = harness.pools.pools.values()
        idle = [connection for pool in pools for connection in pool.connections if connection.is_idle]
        assert list(harness.pools.idle_connections) == sorted(idle, key=lambda one: one.idle_since)
