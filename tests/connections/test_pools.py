"""The pools' decisions, in virtual time: no socket, no clock."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from wickspring.connections.limits import (
    Bucket,
    ConnectionLimits,
    Window,
    most_connections,
    within_grace,
)
from wickspring.connections.pools import (
    Action,
    Assign,
    Close,
    Conn,
    Dial,
    End,
    Pools,
    Refuse,
    Standing,
    State,
    Want,
)

A, B = b"a", b"b"
PLACE = ("127.0.0.1", 1)


class Rig:
    """Pools, a clock of the test's own, and dials that it ends."""

    def __init__(self, idle_close: float = 30_000.0, **changes: Any) -> None:
        base = ConnectionLimits(jitter=0.0, ahead_most=0)
        self.standing: dict[bytes, Standing] = {}
        limits = msgspec.structs.replace(base, **changes)
        self.pools = Pools(limits, idle_close, lambda server, _: self.standing.get(server, Standing(True)), 1)
        self.now = 1_000_000.0
        self.assigned: list[Assign] = []
        self.dials: list[Conn] = []
        self.closes: list[Conn] = []
        self.refused: list[Want] = []

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Assign):
                self.assigned.append(action)
            elif isinstance(action, Dial):
                self.dials.append(action.conn)
            elif isinstance(action, Close):
                self.closes.append(action.conn)
            else:
                assert isinstance(action, Refuse)
                self.refused.append(action.want)

    def want(self, server: bytes = A, once: bool = False, **more: Any) -> Want:
        want = Want(server, PLACE, once, self.now + 2000.0, **more)
        self.take(self.pools.want(self.now, want))
        return want

    def up(self, conn: Conn | None = None) -> Conn:
        conn = self.dials.pop(0) if conn is None else conn
        self.take(self.pools.up(self.now, conn, 1))
        return conn

    def fail(self) -> None:
        self.take(self.pools.dial_failed(self.now, self.dials.pop(0)))

    def done(self, want: Want) -> None:
        self.take(self.pools.done(self.now, want, answered=True))

    def pass_time(self, ms: float, step: float = 10.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + step)
            self.take(self.pools.due(self.now))

    def sweep(self, ms: float = 0.0) -> None:
        self.now += ms
        self.take(self.pools.sweep(self.now))

    def served(self, once: bool = False, wait: float = 0.0) -> Conn:
        """Have one request carried, and return its connection, now idle for `wait`."""
        want = self.want(once=once)
        if want.conn is None:
            self.up()
        conn = want.conn
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
    assert rig.want().conn is two
    assert rig.want().conn is one
    assert not rig.dials


def test_who_waits_for_a_dial_takes_a_connection_that_comes_free_first() -> None:
    rig = Rig()
    busy = rig.want()
    conn = rig.up()
    waiting = rig.want()
    assert waiting.conn is None
    assert len(rig.dials) == 1
    rig.done(busy)
    assert waiting.conn is conn
    spare = rig.up()  # the dial's connection is kept for the next
    assert rig.want().conn is spare


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
    assert rig.pools.pools[A].fails == 0


def test_waits_end_in_time_and_never_past_the_requests_own() -> None:
    rig = Rig(wait_ms=200.0, dials_at_once_per_server=1)
    rig.want()
    late = Want(A, PLACE, False, rig.now + 50.0)
    rig.take(rig.pools.want(rig.now, late))
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
    conns = [conn for pool in rig.pools.pools.values() for conn in pool.conns]
    assert len(conns) == 4 * servers
    for conn in conns:
        rig.take(rig.pools.closed(rig.now, conn, End.PEER))
    before, served = rig.pools.tally["dials"], 0
    for step in range(200):  # 2 s at 200 requests a second, each out for 20 ms
        for _ in range(2):
            rig.want(names[(7 * step) % servers])
        rig.pass_time(10.0)
        while rig.dials:
            rig.up()
        for assign in rig.assigned:
            if assign.want.conn is not None and rig.now - assign.want.began > 20.0:
                rig.done(assign.want)
                served += 1
    assert rig.pools.tally["dials"] - before <= 100.0 * 2.0 + 10.0 + 1.0
    assert served >= 180


def test_a_full_ingress_closes_what_idles_elsewhere_for_a_dial() -> None:
    rig = Rig()
    rig.pools.most = 2
    idle = rig.served()
    rig.want(B)
    assert len(rig.dials) == 1
    rig.want(B)
    assert rig.closes == [idle]
    rig.want(B)
    assert rig.pools.total == 2
    assert len(rig.dials) == 2


def test_the_bound_leaves_clients_their_descriptors() -> None:
    limits = ConnectionLimits()
    assert most_connections(limits, 256, 0) == 232
    assert most_connections(limits, 256, 179) == 53
    assert most_connections(limits, 256, 250) == 42
    assert most_connections(msgspec.structs.replace(limits, most=20), 256, 0) == 20


def race(rig: Rig, closes: int, idle: float) -> None:
    """Let requests be lost that were written `idle` after an answer, one in four."""
    for _ in range(closes):
        for lost in (True, False, False, False):
            rig.served(wait=idle)
            want = rig.want()
            conn = want.conn
            if conn is None:
                conn = rig.up()
            if lost:
                rig.pools.lost(rig.now, want, heard=False)
                rig.take(rig.pools.closed(rig.now, conn, End.PEER))
            else:
                rig.done(want)
            rig.now += 5.0


def test_what_must_not_run_twice_gets_a_connection_past_its_dangerous_time() -> None:
    rig = Rig()
    race(rig, closes=10, idle=5.0)
    safe = rig.served(wait=300.0)
    assert rig.want(once=True).conn is safe  # idle for long enough: survivors are safe
    fresh = rig.served(wait=5.0)
    for conn in list(rig.pools.pools[A].conns):
        if conn is not fresh:
            rig.take(rig.pools.closed(rig.now, conn, End.HERE))
    want = rig.want(once=True)
    assert want.conn is None  # just answered: one in four of these is lost
    assert len(rig.dials) == 1
    dialled = rig.up()
    assert want.conn is dialled


def test_what_was_learnt_fades() -> None:
    rig = Rig()
    race(rig, closes=10, idle=5.0)
    for _ in range(800):
        rig.sweep(250.0)
    conn = rig.served(wait=5.0)
    assert rig.want(once=True).conn is conn


def test_spoilt_answers_are_no_sign_of_dead_connections() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(40):
        conn = rig.served(wait=5.0)
        want = rig.want()
        assert want.conn is conn
        rig.pools.lost(rig.now, want, heard=True)
        rig.take(rig.pools.closed(rig.now, conn, End.PEER))
    conn = rig.served(wait=5.0)
    assert rig.want(once=True).conn is conn
    assert rig.pools.tally["sent_on_dead"] == 0


def test_servers_that_lose_fresh_requests_as_well_are_not_dialled_for_each() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(60):
        want = rig.want()
        if want.conn is None:
            rig.up()
        conn = want.conn
        assert conn is not None
        if number % 3 == 0 and want.idle <= 10.0:
            rig.pools.lost(rig.now, want, heard=False)
            rig.take(rig.pools.closed(rig.now, conn, End.PEER))
        else:
            rig.done(want)
            rig.now += 5.0
            if number % 2:
                rig.take(rig.pools.closed(rig.now, conn, End.HERE))
    rig.served(wait=5.0)
    assert rig.want().conn is not None


def test_clean_closes_do_not_make_every_connection_doubtful() -> None:
    """A server that closes idle connections at random, and no request is ever lost to it."""
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for number in range(300):
        conn = rig.served(wait=60.0)
        if number % 6 == 0:
            rig.take(rig.pools.closed(rig.now, conn, End.PEER))
    conn = rig.served(wait=60.0)
    assert rig.want(once=True).conn is conn


def test_an_age_at_which_a_server_ends_connections_is_learnt() -> None:
    rig = Rig(dials_per_s=1e4, dials_per_s_per_server=1e4)
    for _ in range(30):
        start = rig.now
        conn = rig.served()
        while rig.now < start + 6000.0:
            rig.now += 100.0
            want = rig.want()
            if want.conn is not conn:
                break
            rig.done(want)
        if conn.state is State.UP:
            rig.now += 50.0
            rig.take(rig.pools.closed(rig.now, conn, End.PEER))
        for other in list(rig.pools.pools[A].conns):
            rig.take(rig.pools.closed(rig.now, other, End.HERE))
        rig.dials.clear()
    hazards = rig.pools.hazards
    assert hazards.foretold(A, 50.0, 6000.0, False) > 1.3 * hazards.foretold(A, 50.0, 1000.0, False)


def test_a_silent_loss_counts_only_where_the_server_answered_later_work() -> None:
    rig = Rig()
    for _ in range(10):
        old = rig.served(wait=500.0)
        want = rig.want()
        assert want.conn is old or want.conn is None
        if want.conn is None:
            break
        rig.now += 1.0
        later = rig.want()
        rig.up()
        rig.now += 20.0
        rig.done(later)
        rig.pools.silent(want)
        rig.take(rig.pools.closed(rig.now, old, End.HERE))
        for conn in list(rig.pools.pools[A].conns):
            rig.take(rig.pools.closed(rig.now, conn, End.HERE))
    assert rig.pools.tally["sent_on_silent"] >= 1
    assert rig.pools.hazards.risk(A, 500.0, 500.0, False) > 0.1
    alone = Rig()
    alone.served(wait=500.0)
    alone.pools.silent(alone.want())  # nothing else was answered: it may be slow, or gone
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
    ends = sorted(rig.up().ends_at - rig.now for _ in range(12))
    assert 50_000.0 <= ends[0] < ends[-1] <= 100_000.0
    assert ends[-1] - ends[0] > 10_000.0


def test_a_drain_ends_idle_connections_and_waits_of_new_work_alone() -> None:
    rig = Rig()
    idle = rig.served()
    rig.standing[A] = Standing(False)
    rig.sweep()
    assert rig.closes == [idle]
    work = rig.want()
    assert work in rig.refused
    rig.want(work=False)  # a probe may go there
    assert len(rig.dials) == 1


def test_a_new_start_at_an_old_address_begins_anew() -> None:
    rig = Rig()
    race(rig, closes=5, idle=5.0)
    assert A in rig.pools.hazards.servers
    old = rig.served()
    rig.standing[A] = Standing(True, 0.2, started=5.0)
    want = rig.want()
    assert want.conn is None
    assert old in rig.closes
    assert A not in rig.pools.hazards.servers


def test_what_is_known_of_a_server_goes_with_it() -> None:
    rig = Rig()
    race(rig, closes=5, idle=5.0)
    rig.standing[A] = Standing(False)
    for _ in range(3):
        rig.sweep(250.0)
    assert not rig.pools.pools
    assert not rig.pools.hazards.servers
    assert rig.pools.total == rig.pools.dialing == 0


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
    rig.standing[cold] = Standing(True, warmth, started=rig.now)
    wants = [rig.want(cold) for _ in range(30)]
    assert len(rig.dials) <= 10 * warmth
    while rig.dials:
        rig.up()
    for want in wants:
        if want.conn is not None:
            rig.done(want)
    while rig.pools.pools[cold].line:
        rig.pass_time(10.0)
    for conn in list(rig.pools.pools[cold].conns):
        rig.take(rig.pools.closed(rig.now, conn, End.PEER))
    for _ in range(4):
        rig.sweep(1.0)
    ahead = [conn for conn in rig.dials if conn.server == cold and conn.ahead]
    assert len(ahead) <= max(0.0, 6 * warmth)


def test_opening_ahead_follows_misses_and_stops_with_them() -> None:
    rig = Rig(ahead_most=2)
    for _ in range(20):
        want = rig.want()
        conn = rig.up() if rig.dials else want.conn
        assert conn is not None
        rig.done(want)
        rig.take(rig.pools.closed(rig.now, conn, End.PEER))
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
    rig.take(rig.pools.up(rig.now, conn, 8))
    assert all(want.conn is conn for want in wants)
    while rig.dials:
        rig.take(rig.pools.up(rig.now, rig.dials.pop(), 8))
    for _ in range(6):
        rig.want()
    rig.take(rig.pools.room(rig.now, conn, 0))  # GOAWAY
    rig.done(wants[0])
    late = rig.want()
    assert late.conn is not conn
    rig.done(wants[1])
    assert conn in rig.closes or conn.load > 0


def test_a_connection_found_dead_passes_its_request_on_unsent() -> None:
    rig = Rig()
    rig.served(wait=50.0)
    want = rig.want(once=True)
    assert want.conn is not None
    rig.take(rig.pools.stale(rig.now, want))
    assert len(rig.dials) == 1
    fresh = rig.up()
    assert want.conn is fresh


def test_giving_up_leaves_the_line() -> None:
    rig = Rig()
    want = rig.want()
    rig.pools.gave_up(want)
    conn = rig.up()
    assert conn.load == 0
    assert want.conn is None


def test_bucket_and_window() -> None:
    bucket = Bucket(100.0)
    taken = 0
    for step in range(1000):
        if bucket.has(float(step)):
            bucket.take(float(step))
            taken += 1
    assert 100 <= taken <= 111
    window = Window(64)
    for step in range(50):
        window.failed(float(step * 100), b"one", 8)  # a single server that is down cuts nothing
    assert window.size == 64.0
    for step in range(50):
        window.failed(10_000.0 + step * 10.0, b"s%d" % (step % 6), 8)
    assert window.size < 32.0
    for _ in range(4000):
        window.succeeded()
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
    rig.standing[A] = Standing(True, 0.2, started=5.0)  # told late: the connection is to the new process
    other = rig.want()
    fresh = rig.up()
    assert other.conn is fresh
    rig.done(want)
    assert conn in rig.closes
    rig.done(other)
    assert rig.want().conn is fresh
    assert rig.pools.total == 1


@pytest.mark.parametrize(("grace", "wait"), [(1000.0, 200.0), (250.0, 200.0), (100.0, 80.0), (0.0, 200.0)])
def test_no_request_waits_for_a_connection_past_the_grace_of_a_drain(grace: float, wait: float) -> None:
    assert within_grace(ConnectionLimits(wait_ms=200.0), grace).wait_ms == wait
