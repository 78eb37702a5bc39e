"""Connection pools in virtual time: assignment, waiting, retirement and drains."""

from __future__ import annotations

from tests.support.connection_pools import ADDRESS, SERVER_A, PoolHarness
from wickspring.connections.model import (
    ConnectionRequest,
    ServerStatus,
)


def test_idle_connections_are_reused_most_recently_used_first() -> None:
    harness = PoolHarness()
    first, second = harness.request(), harness.request()
    one, two = harness.complete_dial(), harness.complete_dial()
    harness.finish(first)
    harness.finish(second)
    assert harness.request().connection is two
    assert harness.request().connection is one
    assert not harness.dials


def test_a_request_waiting_for_a_dial_takes_a_released_connection() -> None:
    harness = PoolHarness()
    busy = harness.request()
    connection = harness.complete_dial()
    waiting = harness.request()
    assert waiting.connection is None
    assert len(harness.dials) == 1
    harness.finish(busy)
    assert waiting.connection is connection
    spare = harness.complete_dial()  # the dial's connection is kept for the next
    assert harness.request().connection is spare


def test_a_waiting_request_is_rejected_by_its_deadline_or_the_wait_limit() -> None:
    harness = PoolHarness(wait_ms=200.0, dials_at_once_per_server=1)
    harness.request()
    late = ConnectionRequest(SERVER_A, ADDRESS, False, harness.now + 50.0)
    harness.apply(harness.pools.request_connection(harness.now, late))
    other = harness.request()
    harness.advance(60.0)
    assert late in harness.rejected
    assert other not in harness.rejected
    harness.advance(200.0)
    assert other in harness.rejected


def test_connections_are_retired_by_age_uses_and_idle_time() -> None:
    harness = PoolHarness(age_most_s=10.0, uses_most=3)
    connection = harness.serve_request()
    for _ in range(2):
        assert harness.serve_request() is connection
    assert harness.closed == [connection]
    aged = harness.serve_request()
    harness.sweep(10_001.0)
    assert harness.closed[-1] is aged
    harness = PoolHarness(idle_close=10_000.0)
    idle = harness.serve_request()
    harness.sweep(6_001.0)
    assert harness.closed == [idle]


def test_maximum_ages_of_connections_opened_together_are_jittered() -> None:
    harness = PoolHarness(age_most_s=100.0, jitter=0.5, dials_per_s_per_server=1000.0)
    for _ in range(12):
        harness.request()
    ends = sorted(harness.complete_dial().retire_at - harness.now for _ in range(12))
    assert 50_000.0 <= ends[0] < ends[-1] <= 100_000.0
    assert ends[-1] - ends[0] > 10_000.0


def test_a_drain_closes_idle_connections_and_rejects_only_new_requests() -> None:
    harness = PoolHarness()
    idle = harness.serve_request()
    harness.server_statuses[SERVER_A] = ServerStatus(False)
    harness.sweep()
    assert harness.closed == [idle]
    work = harness.request()
    assert work in harness.rejected
    harness.request(new_work=False)  # a probe may go there
    assert len(harness.dials) == 1


def test_concurrent_streams_are_assigned_until_the_connection_gets_goaway() -> None:
    harness = PoolHarness()
    requests = [harness.request() for _ in range(2)]
    connection = harness.dials.pop(0)
    harness.apply(harness.pools.dial_succeeded(harness.now, connection, 8))
    assert all(request.connection is connection for request in requests)
    while harness.dials:
        harness.apply(harness.pools.dial_succeeded(harness.now, harness.dials.pop(), 8))
    for _ in range(6):
        harness.request()
    harness.apply(harness.pools.capacity_changed(harness.now, connection, 0))  # GOAWAY
    harness.finish(requests[0])
    late = harness.request()
    assert late.connection is not connection
    harness.finish(requests[1])
    assert connection in harness.closed or connection.in_flight > 0


def test_the_request_of_a_stale_connection_is_moved_to_a_new_one() -> None:
    harness = PoolHarness()
    harness.serve_request(wait=50.0)
    request = harness.request(once=True)
    assert request.connection is not None
    harness.apply(harness.pools.connection_stale(harness.now, request))
    assert len(harness.dials) == 1
    fresh = harness.complete_dial()
    assert request.connection is fresh


def test_a_cancelled_request_leaves_the_queue() -> None:
    harness = PoolHarness()
    request = harness.request()
    harness.pools.request_cancelled(request)
    connection = harness.complete_dial()
    assert connection.in_flight == 0
    assert request.connection is None


def test_a_request_in_flight_across_a_server_restart_finishes_normally() -> None:
    harness = PoolHarness()
    request = harness.request()
    connection = harness.complete_dial()
    harness.server_statuses[SERVER_A] = ServerStatus(
        True, 0.2, started_at=5.0
    )  # announced late: the connection is to the new process
    other = harness.request()
    fresh = harness.complete_dial()
    assert other.connection is fresh
    harness.finish(request)
    assert connection in harness.closed
    harness.finish(other)
    assert harness.request().connection is fresh
    assert harness.pools.connection_count == 1
