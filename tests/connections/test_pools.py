"""The pools' decisions, in virtual time: no socket, no clock."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from wickspring.connections.dial_limits import DialWindow, TokenBucket
from wickspring.connections.limits import (
    ConnectionLimits,
    limit_wait_to_grace,
    max_server_connections,
)
from wickspring.connections.model import (
    Action,
    AssignConnection,
    CloseConnection,
    ClosedBy,
    ConnectionRequest,
    ConnectionState,
    OpenConnection,
    PooledConnection,
    RejectRequest,
    ServerStatus,
)
from wickspring.connections.pools import ConnectionPools

A, B = b"a", b"b"
PLACE = ("127.0.0.1", 1)


class Rig:
    """Pools, a clock of the test's own, and dials that it ends."""

    def __init__(self, idle_close: float = 30_000.0, **changes: Any) -> None:
        base = ConnectionLimits(jitter=0.0, ahead_most=0)
        self.standing: dict[bytes, ServerStatus] = {}
        limits = msgspec.structs.replace(base, **changes)
        self.pools = ConnectionPools(
            limits, idle_close, lambda server, _: self.standing.get(server, ServerStatus(True)), 1
        )
        self.now = 1_000_000.0
        self.assigned: list[AssignConnection] = []
        self.dials: list[PooledConnection] = []
        self.closes: list[PooledConnection] = []
        self.refused: list[ConnectionRequest] = []

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, AssignConnection):
                self.assigned.append(action)
            elif isinstance(action, OpenConnection):
                self.dials.append(action.connection)
            elif isinstance(action, CloseConnection):
                self.closes.append(action.connection)
            else:
                assert isinstance(action, RejectRequest)
                self.refused.append(action.request)

    def want(self, server: bytes = A, once: bool = False, **more: Any) -> ConnectionRequest:
        want = ConnectionRequest(server, PLACE, once, self.now + 2000.0, **more)
        self.take(self.pools.request_connection(self.now, want))
        return want

    def up(self, conn: PooledConnection | None = None) -> PooledConnection:
        conn = self.dials.pop(0) if conn is None else conn
        self.take(self.pools.dial_succeeded(self.now, conn, 1))
        return conn

    def fail(self) -> None:
        self.take(self.pools.dial_failed(self.now, self.dials.pop(0)))

    def done(self, want: ConnectionRequest) -> None:
        self.take(self.pools.request_finished(self.now, want, answered=True))

    def pass_time(self, ms: float, step: float = 10.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + step)
            self.take(self.pools.retry_queues(self.now))

    def sweep(self, ms: float = 0.0) -> None:
        self.now += ms
        self.take(self.pools.maintain(self.now))

    def served(self, once: bool = False, wait: float = 0.0) -> PooledConnection:
        """Have one request carried, and return its connection, now idle for `wait`."""
        want = self.want(once=once)
        if want.connection is None:
            self.up()
        conn = want.connection
        assert conn is not None
        self.done(want)
        self.now += wait
        return conn


def test_an_idle_connection_is_used_again_and_the_last_used_first() -> None:
    rig = Rig()
    first, second = rig.want(), rig.want()
    one, two = rig.up(), rig.up()
    rig.done(first)
    rig.done(second)
    assert rig.want().connection is two
    assert rig.want().connection is one
    assert not rig.dials


def test_who_waits_for_a_dial_takes_a_connection_that_comes_free_first() -> None:
    rig = Rig()
    busy = rig.want()
    conn = rig.up()
    waiting = rig.want()
    assert waiting.connection is None
    assert len(rig.dials) == 1
    rig.done(busy)
    assert waiting.connection is conn
    spare = rig.up()  # the dial's connection is kept for the next
    assert rig.want().connection is spare


def test_a_failed_dial_tells_one_and_all_where_nothing_else_can_come() -> None:
    rig = Rig()
    first, second = rig.want(), rig.want()
    rig.fail()
    assert rig.refused == [first]
    rig.fail()
    assert rig.refused == [first, second]
    third = rig.want()  # in the pause: at once, so that another server can be tried
    assert rig.refused[-1] is third
    assert not rig.dials


def test_pauses_grow_and_end_with_a_success() -> None:
    rig = Rig(pause_first_ms=100.0, pause_most_ms=1000.0)
    spans = []
    for _ in range(6):
        start = rig.now
        while not rig.dials:
            rig.want()
            rig.now += 5.0
        spans.append(rig.now - start)
        rig.fail()
    assert spans[1] < spans[3] < spans[5] <= 1010.0
    rig.now += 2000.0
    rig.want()
    rig.up()
    assert rig.pools.pools[A].failed_dials == 0


def test_waits_end_in_time_and_never_past_the_requests_own() -> None:
    rig = Rig(wait_ms=200.0, dials_at_once_per_server=1)
    rig.want()
    late = ConnectionRequest(A, PLACE, False, rig.now + 50.0)
    rig.take(rig.pools.request_connection(rig.now, late))
    other = rig.want()
    rig.pass_time(60.0)
    assert late in rig.refused
    assert other not in rig.refused
    rig.pass_time(200.0)
    assert other in rig.refused


def test_dials_are_bounded_at_once_per_server_and_in_all() -> None:
    rig = Rig(dials_at_once_per_server=3, dials_at_once=5)
    for _ in range(10):
        rig.want(A)
    assert len(rig.dials) == 3
    for _ in range(10):
        rig.want(B)
    assert len(rig.dials) == 5
    rig.up()
    assert len(rig.dials) == 5  # one came up, one more is begun


@pytest.mark.parametrize("servers", [8, 60])
def test_after_a_reset_of_all_dials_keep_their_rate_while_requests_are_served(servers: int) -> None:
    rig = Rig(dials_per_s=100.0, dials_per_s_per_server=20.0)
    names = [f"s{n}".encode() for n in range(servers)]
    out = []
    for name in names * 4:
        out.append(rig.want(name))
        rig.pass_time(10.0)
        while rig.dials:
            rig.up()
    for want in out:
        rig.done(want)
    conns = [conn for pool in rig.pools.pools.values() for conn in pool.connections]
    assert len(conns) == 4 * servers
    for conn in conns:
        rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
    before, served = rig.pools.counters["dials"], 0
    for step in range(200):  # 2 s at 200 requests a second, each out for 20 ms
        for _ in range(2):
            rig.want(names[(7 * step) % servers])
        rig.pass_time(10.0)
        while rig.dials:
            rig.up()
        for assign in rig.assigned:
            if assign.request.connection is not None and rig.now - assign.request.assigned_at > 20.0:
                rig.done(assign.request)
                served += 1
    assert rig.pools.counters["dials"] - before <= 100.0 * 2.0 + 10.0 + 1.0
    assert served >= 180


def test_a_full_ingress_closes_what_idles_elsewhere_for_a_dial() -> None:
    rig = Rig()
    rig.pools.settings.max_connections = 2
    idle = rig.served()
    rig.want(B)
    assert len(rig.dials) == 1
    rig.want(B)
    assert rig.closes == [idle]
    rig.want(B)
    assert rig.pools.connection_count == 2
    assert len(rig.dials) == 2


def test_the_bound_leaves_clients_their_descriptors() -> None:
    limits = ConnectionLimits()
    assert max_server_connections(limits, 256, 0) == 232
    assert max_server_connections(limits, 256, 179) == 53
    assert max_server_connections(limits, 256, 250) == 42
    assert max_server_connections(msgspec.structs.replace(limits, most=20), 256, 0) == 20


def race(rig: Rig, closes: int, idle: float) -> None:
    """Let requests be lost that were written `idle` after an answer, one in four."""
    for _ in range(closes):
        for lost in (True, False, False, False):
            rig.served(wait=idle)
            want = rig.want()
            conn = want.connection
            if conn is None:
                conn = rig.up()
            if lost:
                rig.pools.request_lost(rig.now, want, received_bytes=False)
                rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
            else:
                rig.done(want)
            rig.now += 5.0


def test_what_must_not_run_twice_gets_a_connection_past_its_dangerous_time() -> None:
    rig = Rig()
    race(rig, closes=10, idle=5.0)
    safe = rig.served(wait=300.0)
    assert rig.want(once=True).connection is safe  # idle for long enough: survivors are safe
    fresh = rig.served(wait=5.0)
    for conn in list(rig.pools.pools[A].connections):
        if conn is not fresh:
            rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.LOCAL))
    want = rig.want(once=True)
    assert want.connection is None  # just answered: one in four of these is lost
    assert len(rig.dials) == 1
    dialled = rig.up()
    assert want.connection is dialled


def test_what_was_learnt_fades() -> None:
    rig = Rig()
    race(rig, closes=10, idle=5.0)
    for _ in range(800):
        rig.sweep(250.0)
    conn = rig.served(wait=5.0)
    assert rig.want(once=True).connection is conn


def test_spoilt_answers_are_no_sign_of_dead_connections() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(40):
        conn = rig.served(wait=5.0)
        want = rig.want()
        assert want.connection is conn
        rig.pools.request_lost(rig.now, want, received_bytes=True)
        rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
    conn = rig.served(wait=5.0)
    assert rig.want(once=True).connection is conn
    assert rig.pools.counters["sent_on_dead"] == 0


def test_servers_that_lose_fresh_requests_as_well_are_not_dialled_for_each() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(60):
        want = rig.want()
        if want.connection is None:
            rig.up()
        conn = want.connection
        assert conn is not None
        if number % 3 == 0 and want.idle_ms <= 10.0:
            rig.pools.request_lost(rig.now, want, received_bytes=False)
            rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
        else:
            rig.done(want)
            rig.now += 5.0
            if number % 2:
                rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.LOCAL))
    rig.served(wait=5.0)
    assert rig.want().connection is not None


def test_clean_closes_do_not_make_every_connection_doubtful() -> None:
    """A server that closes idle connections at random, and no request is ever lost to it."""
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(300):
        conn = rig.served(wait=60.0)
        if number % 6 == 0:
            rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
    conn = rig.served(wait=60.0)
    assert rig.want(once=True).connection is conn


def test_an_age_at_which_a_server_ends_connections_is_learnt() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(30):
        start = rig.now
        conn = rig.served()
        while rig.now < start + 6000.0:
            rig.now += 100.0
            want = rig.want()
            if want.connection is not conn:
                break
            rig.done(want)
        if conn.state is ConnectionState.UP:
            rig.now += 50.0
            rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
        for other in list(rig.pools.pools[A].connections):
            rig.take(rig.pools.connection_closed(rig.now, other, ClosedBy.LOCAL))
        rig.dials.clear()
    hazards = rig.pools.hazards
    assert hazards.closing_risk(A, 50.0, 6000.0, False) > 1.3 * hazards.closing_risk(A, 50.0, 1000.0, False)


def test_a_silent_loss_counts_only_where_the_server_answered_later_work() -> None:
    rig = Rig()
    for _ in range(10):
        old = rig.served(wait=500.0)
        want = rig.want()
        assert want.connection is old or want.connection is None
        if want.connection is None:
            break
        rig.now += 1.0
        later = rig.want()
        rig.up()
        rig.now += 20.0
        rig.done(later)
        rig.pools.request_unanswered(want)
        rig.take(rig.pools.connection_closed(rig.now, old, ClosedBy.LOCAL))
        for conn in list(rig.pools.pools[A].connections):
            rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.LOCAL))
    assert rig.pools.counters["sent_on_silent"] >= 1
    assert rig.pools.hazards.risk(A, 500.0, 500.0, False) > 0.1
    alone = Rig()
    alone.served(wait=500.0)
    alone.pools.request_unanswered(alone.want())  # nothing else was answered: it may be slow, or gone
    assert alone.pools.hazards.risk(A, 500.0, 500.0, False) < 0.01


def test_connections_are_retired_by_age_uses_and_idle_time() -> None:
    rig = Rig(age_most_s=10.0, uses_most=3)
    conn = rig.served()
    for _ in range(2):
        assert rig.served() is conn
    assert rig.closes == [conn]
    aged = rig.served()
    rig.sweep(10_001.0)
    assert rig.closes[-1] is aged
    rig = Rig(idle_close=10_000.0)
    idle = rig.served()
    rig.sweep(6_001.0)
    assert rig.closes == [idle]


def test_ages_are_spread_so_that_connections_opened_together_do_not_end_together() -> None:
    rig = Rig(age_most_s=100.0, jitter=0.5, dials_per_s_per_server=1000.0)
    for _ in range(12):
        rig.want()
    ends = sorted(rig.up().retire_at - rig.now for _ in range(12))
    assert 50_000.0 <= ends[0] < ends[-1] <= 100_000.0
    assert ends[-1] - ends[0] > 10_000.0


def test_a_drain_ends_idle_connections_and_waits_of_new_work_alone() -> None:
    rig = Rig()
    idle = rig.served()
    rig.standing[A] = ServerStatus(False)
    rig.sweep()
    assert rig.closes == [idle]
    work = rig.want()
    assert work in rig.refused
    rig.want(new_work=False)  # a probe may go there
    assert len(rig.dials) == 1


def test_a_new_start_at_an_old_address_begins_anew() -> None:
    rig = Rig()
    race(rig, closes=5, idle=5.0)
    assert A in rig.pools.hazards.servers
    old = rig.served()
    rig.standing[A] = ServerStatus(True, 0.2, started_at=5.0)
    want = rig.want()
    assert want.connection is None
    assert old in rig.closes
    assert A not in rig.pools.hazards.servers


def test_what_is_known_of_a_server_goes_with_it() -> None:
    rig = Rig()
    race(rig, closes=5, idle=5.0)
    rig.standing[A] = ServerStatus(False)
    for _ in range(3):
        rig.sweep(250.0)
    assert not rig.pools.pools
    assert not rig.pools.hazards.servers
    assert rig.pools.connection_count == rig.pools.dials_in_progress == 0


@pytest.mark.parametrize("warmth", [0.2, 0.5])
def test_a_cold_server_gets_its_share_of_connections_ahead_and_of_dials(warmth: float) -> None:
    rig = Rig(ahead_most=4, dials_at_once_per_server=10)
    for name in (A, B, b"c", b"d"):
        wants = [rig.want(name) for _ in range(6)]
        while rig.dials:
            rig.up()
        for want in wants:
            rig.done(want)
    cold = b"cold"
    rig.standing[cold] = ServerStatus(True, warmth, started_at=rig.now)
    wants = [rig.want(cold) for _ in range(30)]
    assert len(rig.dials) <= 10 * warmth
    while rig.dials:
        rig.up()
    for want in wants:
        if want.connection is not None:
            rig.done(want)
    while rig.pools.pools[cold].queue:
        rig.pass_time(10.0)
    for conn in list(rig.pools.pools[cold].connections):
        rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
    for _ in range(4):
        rig.sweep(1.0)
    ahead = [conn for conn in rig.dials if conn.server == cold and conn.preconnected]
    assert len(ahead) <= max(0.0, 6 * warmth)


def test_opening_ahead_follows_misses_and_stops_with_them() -> None:
    rig = Rig(ahead_most=2)
    for _ in range(20):
        want = rig.want()
        conn = rig.up() if rig.dials else want.connection
        assert conn is not None
        rig.done(want)
        rig.take(rig.pools.connection_closed(rig.now, conn, ClosedBy.PEER))
        rig.now += 20.0
    rig.sweep()
    assert 1 <= len(rig.dials) <= 2
    for _ in range(5):  # those under way count, and so do those that came up and idle
        rig.sweep()
    assert len(rig.dials) <= 2
    quiet = Rig(ahead_most=2)
    quiet.served()
    quiet.sweep(5000.0)
    assert not quiet.dials


def test_streams_are_room_and_a_connection_that_goes_takes_no_more() -> None:
    rig = Rig()
    wants = [rig.want() for _ in range(2)]
    conn = rig.dials.pop(0)
    rig.take(rig.pools.dial_succeeded(rig.now, conn, 8))
    assert all(want.connection is conn for want in wants)
    while rig.dials:
        rig.take(rig.pools.dial_succeeded(rig.now, rig.dials.pop(), 8))
    for _ in range(6):
        rig.want()
    rig.take(rig.pools.capacity_changed(rig.now, conn, 0))  # GOAWAY
    rig.done(wants[0])
    late = rig.want()
    assert late.connection is not conn
    rig.done(wants[1])
    assert conn in rig.closes or conn.in_flight > 0


def test_a_connection_found_dead_passes_its_request_on_unsent() -> None:
    rig = Rig()
    rig.served(wait=50.0)
    want = rig.want(once=True)
    assert want.connection is not None
    rig.take(rig.pools.connection_stale(rig.now, want))
    assert len(rig.dials) == 1
    fresh = rig.up()
    assert want.connection is fresh


def test_giving_up_leaves_the_line() -> None:
    rig = Rig()
    want = rig.want()
    rig.pools.request_cancelled(want)
    conn = rig.up()
    assert conn.in_flight == 0
    assert want.connection is None


def test_bucket_and_window() -> None:
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
def test_limits_that_make_no_sense_are_named(key: str, value: float) -> None:
    assert key in msgspec.structs.replace(ConnectionLimits(), **{key: value}).faults()


def test_a_request_that_outlives_its_servers_new_start_ends_as_usual() -> None:
    rig = Rig()
    want = rig.want()
    conn = rig.up()
    rig.standing[A] = ServerStatus(
        True, 0.2, started_at=5.0
    )  # told late: the connection is to the new process
    other = rig.want()
    fresh = rig.up()
    assert other.connection is fresh
    rig.done(want)
    assert conn in rig.closes
    rig.done(other)
    assert rig.want().connection is fresh
    assert rig.pools.connection_count == 1


@pytest.mark.parametrize(("grace", "wait"), [(1000.0, 200.0), (250.0, 200.0), (100.0, 80.0), (0.0, 200.0)])
def test_no_request_waits_for_a_connection_past_the_grace_of_a_drain(grace: float, wait: float) -> None:
    assert limit_wait_to_grace(ConnectionLimits(wait_ms=200.0), grace).wait_ms == wait
