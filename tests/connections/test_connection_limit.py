"""The bound of all connections to servers, as clients take descriptors away and give them back."""

from __future__ import annotations

from tests.support.connection_pools import SERVER_A, SERVER_B, PoolHarness


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
