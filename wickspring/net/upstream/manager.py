"""Carries out what the pools decide, and tells them what becomes of dials, connections and jobs."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from wickspring import interface as api
from wickspring.connections.limits import ConnectionLimits, max_server_connections
from wickspring.connections.model import (
    Action,
    AssignConnection,
    CloseConnection,
    ClosedBy,
    ConnectionState,
    OpenConnection,
    PooledConnection,
    ServerStatus,
)
from wickspring.connections.pools import ConnectionPools
from wickspring.interface import Readiness, Status
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect
from wickspring.net.timers import Timers
from wickspring.net.upstream.carrier import Carrier, Job, Reply

log = logging.getLogger(__name__)

SWEEP_MS = 250.0
GONE = ServerStatus(False)


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
        make: Callable[[Upstream, PooledConnection], Carrier],
        expect: Callable[[api.ServerId], int] = lambda _: 1,
        shared: api.PeerState | None = None,
    ) -> None:
        self.settings, self.limits = settings, limits
        self.clock, self.timers, self.nursery = clock, timers, nursery
        self._sockets, self._clients, self._entry = sockets, clients, entry
        self._make, self._expect = make, expect
        self.pools = ConnectionPools(limits, settings.idle_close, self._look, settings.seed, shared)
        self._carriers: dict[PooledConnection, Carrier] = {}
        self._standings: dict[api.ServerId, tuple[api.ServerEntry, ServerStatus]] = {}  # of warm servers
        self._wakes = math.inf
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)

    def _look(self, server: api.ServerId, now: float) -> ServerStatus:
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

    def _standing(self, entry: api.ServerEntry, now: float) -> ServerStatus:
        takes = entry.readiness is Readiness.READY
        if entry.started_at <= 0.0:
            return ServerStatus(takes)
        cold = self.settings.cold_capacity
        share = max(0.0, now - entry.started_at) / max(1.0, self.settings.cold_time)
        return ServerStatus(takes, min(1.0, cold + (1.0 - cold) * share), entry.started_at)

    def may_send(self, server: api.ServerId) -> bool:
        """Tell whether new work may go to a server; asked again just before the first byte."""
        entry = self._entry(server)
        return entry is not None and entry.readiness is Readiness.READY

    def start(self, job: Job) -> None:
        """Carry a job on a connection that has room, or on a new one."""
        job.timer = self.timers.at(job.deadline, partial(self.stop, job, Reply(Status.TIMEOUT)))
        self._bound()
        self._perform(self.pools.request_connection(self.clock.now(), job, self._expect(job.server)))

    def stop(self, job: Job, reply: Reply | None = None) -> None:
        """Stop waiting for a job; with a reply its end is told, without one it is not."""
        if job.ended:
            return
        carrier = job.carrier
        if carrier is None:
            self.pools.request_cancelled(job)
        elif not carrier.heard(job):
            self.pools.request_unanswered(job)
        if reply is None:
            job.retire()
        else:
            job.end(reply)
        if carrier is not None:
            carrier.abandon(job)

    # From the connections.

    async def connect(self, conn: PooledConnection) -> Link | None:
        """Dial; None where it failed, which the pools know then, or was closed by this side meanwhile."""
        sock = await connect(conn.address, self.settings.dial_timeout)
        if conn.state is ConnectionState.CLOSED:
            if sock is not None:
                sock.close()
            return None
        if sock is None:
            self.dial_failed(conn)
            return None
        return Link(sock, self.nursery)

    def up(self, conn: PooledConnection, room: int) -> None:
        """Take in a dial that has succeeded; its connection takes so many jobs at once."""
        self._perform(self.pools.dial_succeeded(self.clock.now(), conn, room))

    def dial_failed(self, conn: PooledConnection) -> None:
        """Take in a dial that has failed."""
        self._carriers.pop(conn, None)
        self._perform(self.pools.dial_failed(self.clock.now(), conn))

    def room(self, conn: PooledConnection, room: int) -> None:
        """Change how many jobs a connection takes at once."""
        if conn.capacity != room:
            self._perform(self.pools.capacity_changed(self.clock.now(), conn, room))

    def finish(self, job: Job, reply: Reply) -> None:
        """Free the place of a job on a connection that goes on: it was answered, or never written."""
        answered = reply.status is not Status.CONNECT_FAILED
        self._perform(self.pools.request_finished(self.clock.now(), job, answered))
        job.end(reply)

    def left(self, job: Job) -> None:
        """Free the place of a job that was given up, on a connection that goes on."""
        self._perform(self.pools.request_finished(self.clock.now(), job, answered=False))

    def closed(self, conn: PooledConnection, end: ClosedBy, lost: list[tuple[Job, Reply, bool]]) -> None:
        """Remove a connection that has ended with these jobs, of which bytes may have been received."""
        self._carriers.pop(conn, None)
        for job, reply, heard in lost:
            if reply.status is Status.RESET:
                self.pools.request_lost(self.clock.now(), job, heard)
        self._perform(self.pools.connection_closed(self.clock.now(), conn, end))
        for job, reply, _ in lost:
            job.end(reply)

    def leave(self) -> None:
        """ClosedBy what is idle, now and from now on: another process of this ingress opens its own."""
        self.pools.settings.shutting_down = True
        self._perform(self.pools.maintain(self.clock.now()))

    def report(self) -> dict[str, object]:
        """Return the figures of all pools."""
        pools = self.pools
        return {
            "server_connections": pools.connection_count,
            "dialing": pools.dials_in_progress,
            **pools.counters,
        }

    # Carrying out.

    def _perform(self, actions: list[Action]) -> None:
        if not actions and not self.pools.has_waiting_requests:
            return  # as after nearly every answer
        for action in actions:
            if isinstance(action, AssignConnection):
                self._assign(action)
            elif isinstance(action, OpenConnection):
                carrier = self._carriers[action.connection] = self._make(self, action.connection)
                self.nursery.start_soon(self._run, carrier)
            elif isinstance(action, CloseConnection):
                ended = self._carriers.pop(action.connection, None)
                if ended is not None:
                    ended.close()
            elif isinstance(action.request, Job):
                action.request.end(Reply(Status.CONNECT_FAILED))
        self._wake()

    def _assign(self, assign: AssignConnection) -> None:
        job, carrier, now = assign.request, self._carriers.get(assign.connection), self.clock.now()
        if not isinstance(job, Job):
            return
        if job.ended or carrier is None:
            self._perform(self.pools.request_finished(now, job, answered=False))
        elif job.idle_ms >= 0.0 and carrier.stale():
            # A server closes what is idle; its close may have come and not been read yet, and work
            # written after it would count as possibly run.
            follows = self.pools.connection_stale(now, job)
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
        self.pools.settings.max_connections = max_server_connections(
            self.limits, self._sockets(), self._clients()
        )

    def _wake(self) -> None:
        """See to it that lines are looked at again when time alone may have made room."""
        now = self.clock.now()
        due = self.pools.next_retry(now)
        if due < self._wakes:
            self._wakes = due
            self.timers.at(due, self._due)

    def _due(self) -> None:
        self._wakes = math.inf
        self._bound()
        self._perform(self.pools.retry_queues(self.clock.now()))

    def _sweep(self) -> None:
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)
        self._bound()
        self._perform(self.pools.maintain(self.clock.now()))
        for server in [server for server in self._standings if self._entry(server) is None]:
            del self._standings[server]
