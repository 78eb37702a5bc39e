"""Dials of the connection pools: rate and concurrency limits, backoff, and preconnecting."""

from __future__ import annotations

import msgspec
import pytest

from tests.support.connection_pools import SERVER_A, SERVER_B, PoolHarness
from wickspring.connections.dial_limits import DialWindow, TokenBucket
from wickspring.connections.limits import (
    ConnectionLimits,
    limit_wait_to_grace,
    max_server_connections,
)
from wickspring.connections.model import (
    ClosedBy,
    ServerStatus,
)


def test_a_failed_dial_rejects_one_request_and_backoff_rejects_new_ones() -> None:
    harness = PoolHarness()
    first, second = harness.request(), harness.request()
    harness.fail_dial()
    assert harness.rejected == [first]
    harness.fail_dial()
    assert harness.rejected == [first, second]
    third = harness.request()  # in the pause: at once, so that another server can be tried
    assert harness.rejected[-1] is third
    assert not harness.dials


def test_dial_backoff_grows_and_is_reset_by_a_success() -> None:
    harness = PoolHarness(pause_first_ms=100.0, pause_most_ms=1000.0)
    spans = []
    for _ in range(6):
        start = harness.now
        while not harness.dials:
            harness.request()
            harness.now += 5.0
        spans.append(harness.now - start)
        harness.fail_dial()
    assert spans[1] < spans[3] < spans[5] <= 1010.0
    harness.now += 2000.0
    harness.request()
    harness.complete_dial()
    assert harness.pools.pools[SERVER_A].failed_dials == 0


def test_concurrent_dials_are_limited_per_server_and_in_total() -> None:
    harness = PoolHarness(dials_at_once_per_server=3, dials_at_once=5)
    for _ in range(10):
        harness.request(SERVER_A)
    assert len(harness.dials) == 3
    for _ in range(10):
        harness.request(SERVER_B)
    assert len(harness.dials) == 5
    harness.complete_dial()
    assert len(harness.dials) == 5  # one came up, one more is begun


@pytest.mark.parametrize("servers", [8, 60])
def test_dials_keep_their_rate_limit_after_all_connections_are_reset(servers: int) -> None:
    harness = PoolHarness(dials_per_s=100.0, dials_per_s_per_server=20.0)
    names = [f"s{n}".encode() for n in range(servers)]
    out = []
    for name in names * 4:
        out.append(harness.request(name))
        harness.advance(10.0)
        while harness.dials:
            harness.complete_dial()
    for request in out:
        harness.finish(request)
    connections = [connection for pool in harness.pools.pools.values() for connection in pool.connections]
    assert len(connections) == 4 * servers
    for connection in connections:
        harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
    before, served = harness.pools.counters["dials"], 0
    for step in range(200):  # 2 s at 200 requests a second, each out for 20 ms
        for _ in range(2):
            harness.request(names[(7 * step) % servers])
        harness.advance(10.0)
        while harness.dials:
            harness.complete_dial()
        for assign in harness.assignments:
            if assign.request.connection is not None and harness.now - assign.request.assigned_at > 20.0:
                harness.finish(assign.request)
                served += 1
    assert harness.pools.counters["dials"] - before <= 100.0 * 2.0 + 10.0 + 1.0
    assert served >= 180


def test_at_the_connection_limit_an_idle_connection_is_closed_for_a_dial() -> None:
    harness = PoolHarness()
    harness.pools.settings.max_connections = 2
    idle = harness.serve_request()
    harness.request(SERVER_B)
    assert len(harness.dials) == 1
    harness.request(SERVER_B)
    assert harness.closed == [idle]
    harness.request(SERVER_B)
    assert harness.pools.connection_count == 2
    assert len(harness.dials) == 2


def test_the_connection_limit_reserves_descriptors_for_clients() -> None:
    limits = ConnectionLimits()
    assert max_server_connections(limits, 256, 0) == 232
    assert max_server_connections(limits, 256, 179) == 53
    assert max_server_connections(limits, 256, 250) == 42
    assert max_server_connections(msgspec.structs.replace(limits, most=20), 256, 0) == 20


@pytest.mark.parametrize("warmth", [0.2, 0.5])
def test_dials_and_preconnections_of_a_cold_server_are_scaled_by_its_warmth(warmth: float) -> None:
    harness = PoolHarness(ahead_most=4, dials_at_once_per_server=10)
    for name in (SERVER_A, SERVER_B, b"c", b"d"):
        requests = [harness.request(name) for _ in range(6)]
        while harness.dials:
            harness.complete_dial()
        for request in requests:
            harness.finish(request)
    cold = b"cold"
    harness.server_statuses[cold] = ServerStatus(True, warmth, started_at=harness.now)
    requests = [harness.request(cold) for _ in range(30)]
    assert len(harness.dials) <= 10 * warmth
    while harness.dials:
        harness.complete_dial()
    for request in requests:
        if request.connection is not None:
            harness.finish(request)
    while harness.pools.pools[cold].queue:
        harness.advance(10.0)
    for connection in list(harness.pools.pools[cold].connections):
        harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
    for _ in range(4):
        harness.sweep(1.0)
    ahead = [
        connection for connection in harness.dials if connection.server == cold and connection.preconnected
    ]
    assert len(ahead) <= max(0.0, 6 * warmth)


def test_preconnecting_follows_pool_misses_and_stops_without_them() -> None:
    harness = PoolHarness(ahead_most=2)
    for _ in range(20):
        request = harness.request()
        connection = harness.complete_dial() if harness.dials else request.connection
        assert connection is not None
        harness.finish(request)
        harness.apply(harness.pools.connection_closed(harness.now, connection, ClosedBy.PEER))
        harness.now += 20.0
    harness.sweep()
    assert 1 <= len(harness.dials) <= 2
    for _ in range(5):  # those under way count, and so do those that came up and idle
        harness.sweep()
    assert len(harness.dials) <= 2
    quiet = PoolHarness(ahead_most=2)
    quiet.serve_request()
    quiet.sweep(5000.0)
    assert not quiet.dials


def test_the_token_bucket_and_the_dial_window_limit_dials() -> None:
    bucket = TokenBucket(100.0)
    taken = 0
    for step in range(1000):
        if bucket.has_token(float(step)):
            bucket.take(float(step))
            taken += 1
    assert 100 <= taken <= 111
    window = DialWindow(64)
    for step in range(50):
        window.dial_failed(float(step * 100), b"one", 8)  # a single server that is down cuts nothing
    assert window.size == 64.0
    for step in range(50):
        window.dial_failed(10_000.0 + step * 10.0, b"s%d" % (step % 6), 8)
    assert window.size < 32.0
    for _ in range(4000):
        window.dial_succeeded()
    assert window.size == 64.0


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("wait_ms", 0),
        ("most", -1),
        ("dials_at_once", 0),
        ("pause_most_ms", 1),
        ("once_risk", 1.5),
        ("jitter", -1),
    ],
)
def test_an_invalid_connection_limit_is_reported_by_key(key: str, value: float) -> None:
    assert key in msgspec.structs.replace(ConnectionLimits(), **{key: value}).faults()


@pytest.mark.parametrize(("grace", "wait"), [(1000.0, 200.0), (250.0, 200.0), (100.0, 80.0), (0.0, 200.0)])
def test_the_connection_wait_is_limited_to_the_drain_grace(grace: float, wait: float) -> None:
    assert limit_wait_to_grace(ConnectionLimits(wait_ms=200.0), grace).wait_ms == wait
