"""Estimated risk that an idle connection is closed as it is used, learnt from lost requests."""

from __future__ import annotations

from tests.support.connection_pools import SERVER_A, PoolHarness
from wickspring.connections.model import (
    ClosedBy,
    ConnectionState,
    ServerStatus,
)


def lose_one_request_in_four(harness: PoolHarness, closes: int, idle: float) -> None:
    """Let requests be lost that were written `idle` after an answer, one in four."""
    for _ in range(closes):
        for lost in (True, False, False, False):
            harness.serve_request(wait=idle)
            request = harness.request()
            connection = request.connection
            if connection is None:
                connection = harness.complete_dial()
            if lost:
                harness.pools.request_lost(harness.now, request, received_bytes=False)
                harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
            else:
                harness.finish(request)
            harness.now += 5.0


def test_a_non_repeatable_request_avoids_connections_of_a_risky_idle_time() -> None:
    harness = PoolHarness()
    lose_one_request_in_four(harness, closes=10, idle=5.0)
    safe = harness.serve_request(wait=300.0)
    assert harness.request(once=True).connection is safe  # idle for long enough: survivors are safe
    fresh = harness.serve_request(wait=5.0)
    for connection in list(harness.pools.pools[SERVER_A].connections):
        if connection is not fresh:
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.LOCAL))
    request = harness.request(once=True)
    assert request.connection is None  # just answered: one in four of these is lost
    assert len(harness.dials) == 1
    dialled = harness.complete_dial()
    assert request.connection is dialled


def test_a_learnt_close_hazard_decays() -> None:
    harness = PoolHarness()
    lose_one_request_in_four(harness, closes=10, idle=5.0)
    for _ in range(800):
        harness.sweep(250.0)
    connection = harness.serve_request(wait=5.0)
    assert harness.request(once=True).connection is connection


def test_partial_responses_do_not_count_as_stale_connections() -> None:
    harness = PoolHarness(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(40):
        connection = harness.serve_request(wait=5.0)
        request = harness.request()
        assert request.connection is connection
        harness.pools.request_lost(harness.now, request, received_bytes=True)
        harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
    connection = harness.serve_request(wait=5.0)
    assert harness.request(once=True).connection is connection
    assert harness.pools.counters["sent_on_dead"] == 0


def test_losses_on_fresh_connections_do_not_force_a_dial_for_each_request() -> None:
    harness = PoolHarness(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(60):
        request = harness.request()
        if request.connection is None:
            harness.complete_dial()
        connection = request.connection
        assert connection is not None
        if number % 3 == 0 and request.idle_ms <= 10.0:
            harness.pools.request_lost(harness.now, request, received_bytes=False)
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
        else:
            harness.finish(request)
            harness.now += 5.0
            if number % 2:
                harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.LOCAL))
    harness.serve_request(wait=5.0)
    assert harness.request().connection is not None


def test_closes_without_a_lost_request_do_not_raise_the_risk() -> None:
    """A server that closes idle connections at random, and no request is ever lost to it."""
    harness = PoolHarness(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(300):
        connection = harness.serve_request(wait=60.0)
        if number % 6 == 0:
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
    connection = harness.serve_request(wait=60.0)
    assert harness.request(once=True).connection is connection


def test_the_age_at_which_a_server_closes_connections_is_learnt() -> None:
    harness = PoolHarness(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(30):
        start = harness.now
        connection = harness.serve_request()
        while harness.now < start + 6000.0:
            harness.now += 100.0
            request = harness.request()
            if request.connection is not connection:
                break
            harness.finish(request)
        if connection.state is ConnectionState.UP:
            harness.now += 50.0
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
        for other in list(harness.pools.pools[SERVER_A].connections):
            harness.apply(harness.pools.connection_closed(harness.now, other, ClosedBy.LOCAL))
        harness.dials.clear()
    hazards = harness.pools.hazards
    assert hazards.closing_risk(SERVER_A, 50.0, 6000.0, False) > 1.3 * hazards.closing_risk(
        SERVER_A, 50.0, 1000.0, False
    )


def test_an_unanswered_request_counts_as_lost_only_after_a_later_response() -> None:
    harness = PoolHarness()
    for _ in range(10):
        old = harness.serve_request(wait=500.0)
        request = harness.request()
        assert request.connection is old or request.connection is None
        if request.connection is None:
            break
        harness.now += 1.0
        later = harness.request()
        harness.complete_dial()
        harness.now += 20.0
        harness.finish(later)
        harness.pools.request_unanswered(request)
        harness.apply(harness.pools.connection_closed(harness.now, old, ClosedBy.LOCAL))
        for connection in list(harness.pools.pools[SERVER_A].connections):
            harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.LOCAL))
    assert harness.pools.counters["sent_on_silent"] >= 1
    assert harness.pools.hazards.risk(SERVER_A, 500.0, 500.0, False) > 0.1
    alone = PoolHarness()
    alone.serve_request(wait=500.0)
    alone.pools.request_unanswered(alone.request())  # nothing else was answered: it may be slow, or gone
    assert alone.pools.hazards.risk(SERVER_A, 500.0, 500.0, False) < 0.01


def test_a_restarted_server_gets_new_connections_and_no_learnt_hazards() -> None:
    harness = PoolHarness()
    lose_one_request_in_four(harness, closes=5, idle=5.0)
    assert SERVER_A in harness.pools.hazards.servers
    old = harness.serve_request()
    harness.server_statuses[SERVER_A] = ServerStatus(True, 0.2, started_at=5.0)
    request = harness.request()
    assert request.connection is None
    assert old in harness.closed
    assert SERVER_A not in harness.pools.hazards.servers


def test_the_state_of_a_removed_server_is_discarded() -> None:
    harness = PoolHarness()
    lose_one_request_in_four(harness, closes=5, idle=5.0)
    harness.server_statuses[SERVER_A] = ServerStatus(False)
    for _ in range(3):
        harness.sweep(250.0)
    assert not harness.pools.pools
    assert not harness.pools.hazards.servers
    assert harness.pools.connection_count == harness.pools.dials_in_progress == 0
