"""Carries out what the pools decide, and tells them what becomes of dials, connections and jobs."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from wickspring import interface as api
from wickspring.connections.limits import ConnectionLimits, most_connections
from wickspring.connections.pools import Action, Assign, Close, Conn, Dial, End, Pools, Standing, State
from wickspring.interface import Readiness, Status
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect
from wickspring.net.timers import Timers
from wickspring.net.upstream.carrier import Carrier, Job, Reply

log = logging.getLogger(__name__)

SWEEP_MS = 250.0
GONE = Standing(False)


class Dialled(Protocol):
    """What a program tells of the servers that it dials; `interface.Settings` among others has it."""

    @property
    def seed(self) -> int:
        """Where chance begins."""

    @property
    def dial_timeout(self) -> float:
        """Milliseconds for a connection to come up."""

    @property
    def idle_close(self) -> float:
        """Milliseconds after which servers end idle connections."""

    @property
    def cold_capacity(self) -> float:
        """Share of its connections that a server that has just started gets."""

    @property
    def cold_time(self) -> float:
        """Milliseconds until a started server is warm."""

    @property
    def load_fields(self) -> tuple[str, ...]:
        """Names of the figures in a load report."""

    @property
    def streams_per_connection(self) -> int:
        """Requests that one connection carries at once, where the protocol lets it."""


class Upstream:
    """Starts and stops jobs; owns the connections."""

    def __init__(
        self,
        settings: Dialled,
        limits: ConnectionLimits,
        sockets: Callable[[], int],
        clients: Callable[[], int],
        clock: Clock,
        timers: Timers,
        nursery: trio.Nursery,
        entry: Callable[[api.ServerId], api.ServerEntry | None],
        make: Callable[[Upstream, Conn], Carrier],
        expect: Callable[[api.ServerId], int] = lambda _: 1,
        shared: api.PeerState | None = None,
    ) -> None:
        self.settings, self.limits = settings, limits
        self.clock, self.timers, self.nursery = clock, timers, nursery
        self._sockets, self._clients, self._entry = sockets, clients, entry
        self._make, self._expect = make, expect
        self.pools = Pools(limits, settings.idle_close, self._look, settings.seed, shared)
        self._carriers: dict[Conn, Carrier] = {}
        self._standings: dict[api.ServerId, tuple[api.ServerEntry, Standing]] = {}  # of warm servers
        self._wakes = math.inf
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)

    def _look(self, server: api.ServerId, now: float) -> Standing:
        entry = self._entry(server)
        if entry is None:
            return GONE
        known = self._standings.get(server)
        if known is not None and known[0] is entry:
            return known[1]
        standing = self._standing(entry, now)
        if standing.warmth >= 1.0:  # it stays so for as long as the list says the same
            self._standings[server] = entry, standing
        return standing

    def _standing(self, entry: api.ServerEntry, now: float) -> Standing:
        takes = entry.readiness is Readiness.READY
        if entry.started_at <= 0.0:
            return Standing(takes)
        cold = self.settings.cold_capacity
        share = max(0.0, now - entry.started_at) / max(1.0, self.settings.cold_time)
        return Standing(takes, min(1.0, cold + (1.0 - cold) * share), entry.started_at)

    def may_send(self, server: api.ServerId) -> bool:
        """Tell whether new work may go to a server; asked again just before the first byte."""
        entry = self._entry(server)
        return entry is not None and entry.readiness is Readiness.READY

    def start(self, job: Job) -> None:
        """Carry a job on a connection that has room, or on a new one."""
        job.timer = self.timers.at(job.until, partial(self.stop, job, Reply(Status.TIMEOUT)))
        self._bound()
        self._perform(self.pools.want(self.clock.now(), job, self._expect(job.server)))

    def stop(self, job: Job, reply: Reply | None = None) -> None:
        """Stop waiting for a job; with a reply its end is told, without one it is not."""
        if job.ended:
            return
        carrier = job.carrier
        if carrier is None:
            self.pools.gave_up(job)
        elif not carrier.heard(job):
            self.pools.silent(job)
        if reply is None:
            job.retire()
        else:
            job.end(reply)
        if carrier is not None:
            carrier.abandon(job)

    # From the connections.

    async def connect(self, conn: Conn) -> Link | None:
        """Dial; None where it failed, which has been told then, or was closed from here meanwhile."""
        sock = await connect(conn.address, self.settings.dial_timeout)
        if conn.state is State.CLOSED:
            if sock is not None:
                sock.close()
            return None
        if sock is None:
            self.dial_failed(conn)
            return None
        return Link(sock, self.nursery)

    def up(self, conn: Conn, room: int) -> None:
        """Take in a dial that has succeeded; its connection takes so many jobs at once."""
        self._perform(self.pools.up(self.clock.now(), conn, room))

    def dial_failed(self, conn: Conn) -> None:
        """Take in a dial that has failed."""
        self._carriers.pop(conn, None)
        self._perform(self.pools.dial_failed(self.clock.now(), conn))

    def room(self, conn: Conn, room: int) -> None:
        """Change how many jobs a connection takes at once."""
        if conn.room != room:
            self._perform(self.pools.room(self.clock.now(), conn, room))

    def finish(self, job: Job, reply: Reply) -> None:
        """Free the place of a job on a connection that goes on: it was answered, or never written."""
        answered = reply.status is not Status.CONNECT_FAILED
        self._perform(self.pools.done(self.clock.now(), job, answered))
        job.end(reply)

    def left(self, job: Job) -> None:
        """Free the place of a job that was given up, on a connection that goes on."""
        self._perform(self.pools.done(self.clock.now(), job, answered=False))

    def closed(self, conn: Conn, end: End, lost: list[tuple[Job, Reply, bool]]) -> None:
        """Remove a connection that has ended with these jobs, of which bytes may have been received."""
        self._carriers.pop(conn, None)
        for job, reply, heard in lost:
            if reply.status is Status.RESET:
                self.pools.lost(self.clock.now(), job, heard)
        self._perform(self.pools.closed(self.clock.now(), conn, end))
        for job, reply, _ in lost:
            job.end(reply)

    def leave(self) -> None:
        """End what is idle, now and from now on: another process of this ingress opens its own."""
        self.pools.leaving = True
        self._perform(self.pools.sweep(self.clock.now()))

    def report(self) -> dict[str, object]:
        """Return the figures of all pools."""
        pools = self.pools
        return {"server_connections": pools.total, "dialing": pools.dialing, **pools.tally}

    # Carrying out.

    def _perform(self, actions: list[Action]) -> None:
        if not actions and not self.pools.hungry:
            return  # as after nearly every answer
        for action in actions:
            if isinstance(action, Assign):
                self._assign(action)
            elif isinstance(action, Dial):
                carrier = self._carriers[action.conn] = self._make(self, action.conn)
                self.nursery.start_soon(self._run, carrier)
            elif isinstance(action, Close):
                ended = self._carriers.pop(action.conn, None)
                if ended is not None:
                    ended.close()
            elif isinstance(action.want, Job):
                action.want.end(Reply(Status.CONNECT_FAILED))
        self._wake()

    def _assign(self, assign: Assign) -> None:
        job, carrier, now = assign.want, self._carriers.get(assign.conn), self.clock.now()
        if not isinstance(job, Job):
            return
        if job.ended or carrier is None:
            self._perform(self.pools.done(now, job, answered=False))
        elif job.idle >= 0.0 and carrier.stale():
            # A server closes what is idle; its close may have come and not been read yet, and work
            # written after it would count as possibly run.
            follows = self.pools.stale(now, job)
            carrier.close()
            self._perform(follows)
        else:
            job.carrier = carrier
            carrier.begin(job)

    async def _run(self, carrier: Carrier) -> None:
        try:
            await carrier.run()
        except Exception as error:  # one server's oddity must not end the ingress
            log.exception("server_connection_failed", extra=kv(reason=error))
        finally:
            carrier.close()

    # Upkeep.

    def _bound(self) -> None:
        self.pools.most = most_connections(self.limits, self._sockets(), self._clients())

    def _wake(self) -> None:
        """See to it that lines are looked at again when time alone may have made room."""
        now = self.clock.now()
        due = self.pools.next_due(now)
        if due < self._wakes:
            self._wakes = due
            self.timers.at(due, self._due)

    def _due(self) -> None:
        self._wakes = math.inf
        self._bound()
        self._perform(self.pools.due(self.clock.now()))

    def _sweep(self) -> None:
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)
        self._bound()
        self._perform(self.pools.sweep(self.clock.now()))
        for server in [server for server in self._standings if self._entry(server) is None]:
            del self._standings[server]
