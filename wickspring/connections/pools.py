"""The pools of connections to ticket servers, as a reducer: facts in, actions out.

A request that wants a connection gets an idle one that is good enough for its class, or waits in its server's
line. Dials are made for the line and not for single requests: whoever comes first in the line takes the first
connection that is up or becomes free. Nothing here ever hands a request to a connection twice: one that was
assigned is the caller's, and ends with the connection.

Times are milliseconds; every method that takes `now` may be given any clock that does not go back.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from random import Random

from wickspring import interface as api
from wickspring.connections.hazard import Hazards
from wickspring.connections.limits import Bucket, ConnectionLimits, Window, pause

Address = tuple[str, int]
GOOD = 0.004  # risk below which connections are taken for alike, and the last used goes first
BURST_MS = 100.0  # closes within so long are one outage,
BURST_LEAST, BURST_SHARE = 6, 0.4  # where they are so many, and such a share of all connections
LOSS_MS = 60.0  # after its write within which a request's loss says that the connection was closing
RETRY_LINE_MS = 10.0  # until a line that could not be served is looked at again
FRESH_MS = 10.0  # after coming up a connection is as good as any dial could bring, whatever was learnt
AHEAD_S = 0.1  # misses (requests that had to wait for a dial) of so many seconds are opened ahead, rounded
MISS_MEMORY_MS = 2000.0
LOOK_AHEAD_MS = 1000.0  # a connection that is not trusted now nor after so long is retired


class State(Enum):
    """Of a connection."""

    DIALING = "dialing"
    UP = "up"
    CLOSED = "closed"


class End(Enum):
    """How a connection ended."""

    PEER = "peer"  # closed by the server, or found dead
    HERE = "here"  # closed from here


@dataclass(slots=True, eq=False)
class Conn:
    """One connection, of either protocol; an HTTP/1.1 one has room for one request."""

    pool: Pool  # that it was dialled for; a server that moves or starts anew has another one
    born: float
    state: State = State.DIALING
    room: int = 0  # requests that it may carry at once; 0 once it takes no more
    load: int = 0  # requests on it
    uses: int = 0
    idle_since: float = 0.0
    ends_at: float = math.inf  # its age, and
    last_use: int = 0  # the number of requests, at which it is retired
    ahead: bool = False  # opened ahead of need

    @property
    def server(self) -> api.ServerId:
        """Whose connection it is."""
        return self.pool.server

    @property
    def address(self) -> Address:
        """Where it leads."""
        return self.pool.address

    @property
    def free(self) -> int:
        """How many more requests it takes."""
        return self.room - self.load if self.state is State.UP else 0


@dataclass(slots=True, eq=False)
class Want:
    """A request's wish for a connection, and what is to be learnt from how it fares."""

    server: api.ServerId
    address: Address
    once: bool  # it must not run twice
    until: float
    work: bool = True  # new work; a probe may go to a server that drains
    ends: float = 0.0  # of its wait in the line
    conn: Conn | None = None
    began: float = 0.0
    idle: float = -1.0  # ms that its connection had been idle; -1 where it was carrying others
    unused: bool = False  # it was that connection's first
    foretold: float = 0.0  # chance that its server was just closing it


@dataclass(slots=True, frozen=True)
class Assign:
    """Write the request on this connection, or report `stale` if it turns out to be dead."""

    want: Want
    conn: Conn


@dataclass(slots=True, frozen=True)
class Dial:
    """Open this connection."""

    conn: Conn


@dataclass(slots=True, frozen=True)
class Close:
    """Close this connection; it carries nothing."""

    conn: Conn


@dataclass(slots=True, frozen=True)
class Refuse:
    """No connection for this request: tell that none came up. Nothing of it was sent."""

    want: Want


Action = Assign | Dial | Close | Refuse


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one server."""

    server: api.ServerId
    address: Address
    bucket: Bucket
    expect: int  # requests that a new connection will take
    conns: list[Conn] = field(default_factory=list)  # the last used at the end
    line: deque[Want] = field(default_factory=deque)
    dialing: int = 0
    fails: int = 0  # dials in a row
    paused_until: float = -math.inf
    misses: float = 0.0  # wants a second that found no connection, of late
    missed_at: float = 0.0
    answered: float = -math.inf  # when the last request that was answered began
    started: float = 0.0  # of the server, as the list says
    dials: str = field(init=False)  # budget of dials there over all gateways

    def __post_init__(self) -> None:
        """Name the budget."""
        self.dials = f"dials {self.server.decode('latin-1')}"


@dataclass(slots=True, frozen=True)
class Standing:
    """What the list says of a server: whether new work may go there, its warmth (0 to 1), its last start."""

    takes: bool
    warmth: float = 1.0
    started: float = 0.0


Look = Callable[[api.ServerId, float], Standing]


class Pools:
    """All pools of one ingress."""

    def __init__(
        self,
        limits: ConnectionLimits,
        idle_close: float,
        look: Look,
        seed: int,
        shared: api.PeerState | None = None,
    ) -> None:
        self.shared = shared or api.PeerState()  # with the other gateways: dials at one server
        self.limits, self.idle_close, self.look = limits, idle_close, look
        self.random = Random(seed)
        self.hazards = Hazards()
        self.pools: dict[api.ServerId, Pool] = {}
        self.most = 1 << 30  # connections in all; the host sets it as its descriptors allow
        self.leaving = False  # this process ends: nothing idle is kept and nothing opened ahead
        self.total = 0
        self.dialing = 0
        self.tally: Counter[str] = Counter()
        self.window = Window(limits.dials_at_once)
        self._bucket = Bucket(limits.dials_per_s)
        self.hungry: dict[Pool, None] = {}  # those with a line that dials may be made for, in order of coming
        self._actions: list[Action] = []
        self._ends: list[Callable[[], None]] = []  # closes and losses, to be learnt from
        self._ends_from, self._ends_of = 0.0, 0  # when the first of them came, and connections at that time

    # Facts.

    def want(self, now: float, want: Want, expect: int = 1) -> list[Action]:
        """Find a connection for a request, or put it in the line."""
        if self._ends:
            self._settle(now)
        pool = self._pool(now, want, expect)
        conn = self._pick(now, pool, want)
        if conn is not None:
            self._assign(now, pool, want, conn)
        else:
            want.ends = min(want.until, now + self.limits.wait_ms)
            self._miss(now, pool)
            pool.line.append(want)
            self.hungry[pool] = None
            self._dial(now, pool)
            hopeless = not pool.dialing and now < pool.paused_until and not any(c.load for c in pool.conns)
            if hopeless and want in pool.line:
                self._refuse(pool, want, "paused")  # nothing can come free; another server may be better
        return self._take()

    def up(self, now: float, conn: Conn, room: int) -> list[Action]:
        """Take in a dial that has succeeded."""
        if conn.state is State.CLOSED:
            return [Close(conn)]
        pool = self._dialed(conn)
        conn.state, conn.room, conn.idle_since = State.UP, room, now
        conn.ends_at = now + 1000.0 * self.limits.age_most_s * self._cut()
        conn.last_use = max(1, int(self.limits.uses_most * self._cut()))
        if pool is None or room <= 0:
            self._close(conn, "moved")
        else:
            pool.fails, pool.expect = 0, room
            self.window.succeeded()
            self._serve(now, pool)
            if not conn.load and not conn.ahead:
                self.tally["spare"] += 1  # who waited for it was served by another
        self._feed(now)
        return self._take()

    def dial_failed(self, now: float, conn: Conn) -> list[Action]:
        """Take in a failed dial: one waiting request learns of it, all where no other connection can come."""
        pool = self._dialed(conn)
        self._gone(conn)
        self.tally["dials_failed"] += 1
        if pool is not None:
            pool.fails += 1
            self.window.failed(now, conn.server, len(self.pools))
            pool.paused_until = now + pause(self.limits, pool.fails, self.random)
            if pool.line:
                self._refuse(pool, pool.line[0], "dial_failed")
            if not pool.dialing and not any(other.load for other in pool.conns):
                while pool.line:
                    self._refuse(pool, pool.line[0], "dial_failed")
        self._feed(now)
        return self._take()

    def done(self, now: float, want: Want, answered: bool) -> list[Action]:
        """Free the place of a request that was answered in full, or whose stream could be reset."""
        conn = want.conn
        if conn is None:
            return []
        want.conn = None
        pool = self.pools.get(conn.server)
        if answered:
            self._fared(want, lost=False)
            if pool is not None:
                pool.answered = max(pool.answered, want.began)
        conn.load -= 1
        if not conn.load:
            conn.idle_since = now
        if conn.state is not State.UP:
            return []
        if pool is not conn.pool:  # its pool has been replaced meanwhile, or is gone
            if not conn.load:
                self._close(conn, "left")
        elif conn.room <= 0 or conn.uses >= conn.last_use or now >= conn.ends_at:
            conn.room = 0
            if not conn.load:
                self._close(conn, "retired")
                self._feed(now)
        else:
            if pool.conns[-1] is not conn:
                pool.conns.remove(conn)
                pool.conns.append(conn)
            if pool.line:
                self._serve(now, pool)
        return self._take()

    def lost(self, now: float, want: Want, heard: bool) -> None:
        """Learn that a request was written and then lost with its connection.

        Where bytes had been `heard` meanwhile the connection lived: a spoilt or cut answer is no sign of a
        close that crossed the request.
        """
        if heard:
            self._fared(want, lost=False)
        elif now - want.began <= LOSS_MS:  # later, the server was at work on it, and ended
            self.tally["sent_on_dead"] += want.idle >= 0.0
            self._learn(now, partial(self._fared, want, lost=True))
        want.conn = None

    def silent(self, want: Want) -> None:
        """Note that a request was given up without one byte received on its connection since.

        Where one that began later has been answered on another, the server lives and the way is dead: what
        stands between drops links without a word.
        """
        conn = want.conn
        pool = self.pools.get(conn.server) if conn is not None else None
        if pool is not None and pool.answered > want.began:
            self._fared(want, lost=True)
            self.tally["sent_on_silent"] += 1

    def stale(self, now: float, want: Want) -> list[Action]:
        """Note that the connection a request was assigned to was closed before a byte went out."""
        conn, want.conn = want.conn, None
        if conn is not None:
            conn.load -= 1
            idle, age = max(want.idle, 0.0), now - conn.born
            self._learn(now, partial(self.hazards.spell, conn.server, idle, age, want.unused, closed=True))
            self.tally["found_closed"] += 1
            self._gone(conn)
        return self.want(now, want)

    def room(self, now: float, conn: Conn, room: int) -> list[Action]:
        """Change how many requests a connection takes at once; 0 for none any more."""
        conn.room = room
        pool = self.pools.get(conn.server)
        if room <= 0 and not conn.load and conn.state is State.UP:
            self._close(conn, "going")
        elif pool is not None and pool.line:
            self._serve(now, pool)
        return self._take()

    def closed(self, now: float, conn: Conn, end: End) -> list[Action]:
        """Remove a connection that has ended; each of its requests is known as `lost` or never written."""
        if conn.state is State.CLOSED:
            return []
        if end is End.PEER and not conn.load and conn.room:
            idle, age = now - conn.idle_since, now - conn.born
            spell = partial(self.hazards.spell, conn.server, idle, age, not conn.uses, closed=True)
            self._learn(now, spell)
            self.tally["closed_idle"] += 1
        if conn.state is State.DIALING:
            self._dialed(conn)
        self._gone(conn)
        self._feed(now)
        return self._take()

    def gave_up(self, want: Want) -> None:
        """Take a request out of the queue, as it waits no longer."""
        pool = self.pools.get(want.server)
        if pool is not None and want in pool.line:
            pool.line.remove(want)

    def due(self, now: float) -> list[Action]:
        """Serve lines again: time has made dials possible or idle connections good; end waits."""
        for pool in list(self.hungry):
            for want in [want for want in pool.line if want.ends <= now]:
                self._refuse(pool, want, "waited")
            self._serve(now, pool, dial=False)
        self._feed(now)
        return self._take()

    def next_due(self, now: float) -> float:
        """Return when `due` is to be called; infinity where nobody waits."""
        return now + RETRY_LINE_MS if self.hungry else math.inf

    def sweep(self, now: float) -> list[Action]:
        """Retire, forget servers that have gone, and open ahead of need; call it a few times a second."""
        self.hazards.fade(now)
        self._settle(now)
        for server, pool in list(self.pools.items()):
            standing = self.look(server, now)
            self._retire(now, pool, standing)
            if self.leaving:
                continue
            if not standing.takes:
                if not pool.conns and not pool.line:
                    self.hungry.pop(pool, None)
                    del self.pools[server]
                    self.hazards.forget(server)
            elif self.limits.ahead_most and standing.warmth > 0.0:
                self._open_ahead(now, pool, standing)
        for server in [server for server in self.hazards.servers if server not in self.pools]:
            self.hazards.forget(server)
        return self._take()

    # What is learnt.

    def _learn(self, now: float, lesson: Callable[[], None]) -> None:
        """Keep a close or loss for a moment: where most connections end at once, none tells of itself."""
        self._settle(now)
        if not self._ends:
            self._ends_from, self._ends_of = now, self.total
        self._ends.append(lesson)

    def _settle(self, now: float) -> None:
        if not self._ends or now - self._ends_from < BURST_MS:
            return
        ends, self._ends = self._ends, []
        if len(ends) >= max(BURST_LEAST, BURST_SHARE * self._ends_of):
            self.tally["outages"] += 1
            return
        for lesson in ends:
            lesson()

    # What is decided.

    def _take(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _cut(self) -> float:
        return 1.0 - self.limits.jitter * self.random.random()

    def _pool(self, now: float, want: Want, expect: int) -> Pool:
        started = self.look(want.server, now).started
        pool = self.pools.get(want.server)
        if pool is not None and pool.address == want.address and pool.started == started:
            return pool
        if pool is not None:  # moved or started anew; what is out may still answer
            for conn in list(pool.conns):
                if conn.state is State.UP and not conn.load:
                    self._close(conn, "moved")
                elif conn.state is State.DIALING:
                    self._dialed(conn)
                    self._close(conn, "moved")
            self.hazards.forget(want.server)
        bucket = Bucket(self.limits.dials_per_s_per_server)
        fresh = Pool(want.server, want.address, bucket, expect, started=started, missed_at=now)
        if pool is not None:
            self.hungry.pop(pool, None)
            fresh.line = pool.line
            for waiting in fresh.line:
                waiting.address = want.address
            if fresh.line:
                self.hungry[fresh] = None
        self.pools[want.server] = fresh
        return fresh

    def _pick(self, now: float, pool: Pool, want: Want) -> Conn | None:
        """Return the connection last used of those good enough, so that spare ones fall idle and go."""
        best, least = None, self.limits.once_risk if want.once else self.limits.repeat_risk
        oldest = now - self.limits.idle_share * self.idle_close
        for conn in reversed(pool.conns):
            if conn.free <= 0:
                continue
            if conn.load:
                return conn  # it carries others, so it is alive
            if conn.idle_since < oldest or now >= conn.ends_at:
                continue
            if not conn.uses and now - conn.idle_since <= FRESH_MS:
                return conn  # else who finds it not good enough would dial for another, and another
            risk = self.hazards.risk(pool.server, now - conn.idle_since, now - conn.born, not conn.uses)
            if risk <= GOOD:
                return conn
            if risk <= least:
                best, least = conn, risk
        return best

    def _assign(self, now: float, pool: Pool, want: Want, conn: Conn) -> None:
        want.conn, want.began = conn, now
        want.idle, want.unused = -1.0, not conn.uses
        if not conn.load:
            want.idle = now - conn.idle_since
            if conn.uses or conn.ahead or want.idle > 0.0:
                age = now - conn.born
                want.foretold = self.hazards.begun(pool.server, want.idle, age, want.unused)
        self.tally["reuses" if conn.uses else "firsts"] += 1
        conn.load += 1
        conn.uses += 1
        self._actions.append(Assign(want, conn))

    def _fared(self, want: Want, lost: bool) -> None:
        if want.unused and 0.0 <= want.idle <= FRESH_MS:
            self.hazards.fared_fresh(want.server, lost)
        elif want.idle >= 0.0:
            self.hazards.fared(want.server, want.idle, want.unused, lost, want.foretold)

    def _serve(self, now: float, pool: Pool, dial: bool = True) -> None:
        """Give the line what is free now, in its order; who may not take it leaves it to the next."""
        for want in list(pool.line):
            if all(conn.free <= 0 for conn in pool.conns):
                break
            conn = self._pick(now, pool, want)
            if conn is not None:
                pool.line.remove(want)
                self._assign(now, pool, want, conn)
        if pool.line:
            self.hungry[pool] = None
            if dial:
                self._dial(now, pool)
        else:
            self.hungry.pop(pool, None)

    def _feed(self, now: float) -> None:
        """Let the lines of all pools have the dials that have become possible, one after another."""
        for pool in list(self.hungry):
            if not pool.line:
                self.hungry.pop(pool, None)
                continue
            if self.dialing >= self.window.size or not self._bucket.has(now):
                self.tally["dials_held"] += 1
                return
            if self.total >= self.most and self._idlest() is None:
                self.tally["full"] += 1
                return  # for all of them alike: no use in looking again for each
            before = pool.dialing
            self._dial(now, pool)
            if pool.dialing > before:  # to the end of the round
                self.hungry.pop(pool, None)
                self.hungry[pool] = None

    def _dial(self, now: float, pool: Pool) -> None:
        """Dial for those in the line whom no dial under way will serve, as far as the limits go."""
        need = math.ceil(len(pool.line) / max(1, pool.expect)) - pool.dialing
        if need <= 0:
            return
        standing = self.look(pool.server, now)
        if not standing.takes:
            for want in [want for want in pool.line if want.work]:
                self._refuse(pool, want, "drains")
            need = min(need, len(pool.line))
        for _ in range(need):
            if not self._may_dial(now, pool, standing.warmth):
                return
            if self.total >= self.most:
                idlest = self._idlest(besides=pool)
                if idlest is None:
                    self.tally["full"] += 1
                    return
                self._close(idlest, "made_room")
            self._open(now, pool, ahead=False)

    def _may_dial(self, now: float, pool: Pool, warmth: float) -> bool:
        limits = self.limits
        at_once = max(1, math.floor(warmth * limits.dials_at_once_per_server))
        if now < pool.paused_until or len(pool.conns) >= limits.most_per_server:
            return False
        full = pool.dialing >= at_once or self.dialing >= self.window.size
        held = full or not pool.bucket.has(now) or not self._bucket.has(now)
        held = held or not self.shared.may_take(now, pool.dials)
        self.tally["dials_held"] += held
        return not held

    def _open(self, now: float, pool: Pool, ahead: bool) -> None:
        pool.bucket.take(now)
        self._bucket.take(now)
        self.shared.take(now, pool.dials)
        conn = Conn(pool, now, ahead=ahead)
        pool.conns.append(conn)
        pool.dialing += 1
        self.dialing += 1
        self.total += 1
        self.tally["dials"] += 1
        self.tally["ahead"] += ahead
        self._actions.append(Dial(conn))

    def _idlest(self, besides: Pool | None = None) -> Conn | None:
        """Return the connection idle for longest, at another server than the one to be dialled, or none."""
        idle = (
            conn
            for pool in self.pools.values()
            if pool is not besides
            for conn in pool.conns
            if conn.state is State.UP and not conn.load
        )
        return min(idle, key=lambda conn: conn.idle_since, default=None)

    def _dialed(self, conn: Conn) -> Pool | None:
        """Note the end of a dial; None where the connection's pool is no more."""
        if conn.state is not State.DIALING:
            return None
        self.dialing -= 1
        conn.pool.dialing -= 1
        return conn.pool if self.pools.get(conn.server) is conn.pool else None

    def _miss(self, now: float, pool: Pool) -> None:
        keep = math.exp((pool.missed_at - now) / MISS_MEMORY_MS)
        pool.misses = pool.misses * keep + 1000.0 / MISS_MEMORY_MS
        pool.missed_at = now

    def _open_ahead(self, now: float, pool: Pool, standing: Standing) -> None:
        """Have as many good idle connections as were missed of late; a cold server gets its share at most."""
        misses = pool.misses * math.exp((pool.missed_at - now) / MISS_MEMORY_MS)
        target = min(self.limits.ahead_most, int(misses * AHEAD_S + 0.5))
        if target <= 0 or pool.line:
            return
        limits = self.limits
        good = sum(
            conn.state is State.UP
            and not conn.load
            and (
                not conn.uses  # else a server whose connections are all doubtful would get ever more of them
                or self.hazards.risk(pool.server, now - conn.idle_since, now - conn.born, False)
                <= limits.once_risk
            )
            for conn in pool.conns
        )
        for _ in range(target - good - pool.dialing):
            if standing.warmth < 1.0 and len(pool.conns) + 1 > standing.warmth * self._usual():
                self.tally["ahead_held_cold"] += 1
                return
            if self.total >= self.most or not self._may_dial(now, pool, standing.warmth):
                return
            self._open(now, pool, ahead=True)

    def _usual(self) -> float:
        """Return how many connections a server has in the middle of all."""
        sizes = sorted(len(pool.conns) for pool in self.pools.values())
        return float(sizes[len(sizes) // 2])

    def _retire(self, now: float, pool: Pool, standing: Standing) -> None:
        oldest = now - self.limits.idle_share * self.idle_close
        for conn in list(pool.conns):
            if conn.state is not State.UP or conn.load:
                continue
            idle, age, unused = now - conn.idle_since, now - conn.born, not conn.uses
            if self.leaving or not standing.takes:
                self._close(conn, "left")
            elif conn.idle_since < oldest or now >= conn.ends_at:
                self._close(conn, "retired")
            elif (
                self.hazards.risk(pool.server, idle, age, unused) > self.limits.repeat_risk
                and self.hazards.risk(pool.server, idle + LOOK_AHEAD_MS, age + LOOK_AHEAD_MS, unused)
                > self.limits.repeat_risk
            ):
                self._close(conn, "retired_doubtful")

    def _refuse(self, pool: Pool, want: Want, why: str) -> None:
        pool.line.remove(want)
        if not pool.line:
            self.hungry.pop(pool, None)
        self.tally[f"no_connection[{why}]"] += 1
        self._actions.append(Refuse(want))

    def _close(self, conn: Conn, why: str) -> None:
        self.tally[f"ended[{why}]"] += 1
        self._gone(conn)
        self._actions.append(Close(conn))

    def _gone(self, conn: Conn) -> None:
        if conn.state is State.CLOSED:
            return
        conn.state, conn.room = State.CLOSED, 0
        self.total -= 1
        conn.pool.conns.remove(conn)
