"""The pools of connections to servers, as a reducer: events in, actions out. No I/O.

A request that wants a connection gets an idle one that is good enough for its class, or waits in the queue
of its server. Nothing here ever hands a request to a connection twice: one that was assigned is the caller's,
and ends with the connection.

Times are milliseconds; every method that takes `now` may be given any clock that does not go back.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from wickspring import interface as api
from wickspring.connections import preconnect, retirement
from wickspring.connections.dial_limits import TokenBucket
from wickspring.connections.dialer import Dialer
from wickspring.connections.limits import ConnectionLimits
from wickspring.connections.loss_records import LossRecorder
from wickspring.connections.model import (
    Action,
    AssignConnection,
    CloseConnection,
    ClosedBy,
    ConnectionRequest,
    ConnectionState,
    PooledConnection,
    PoolSettings,
    ServerPool,
    ServerStatus,
    StatusLookup,
)
from wickspring.connections.pool_table import PoolTable
from wickspring.connections.selection import select_connection

QUEUE_RETRY_MS = 10.0  # until a queue that could not be served is looked at again


class ConnectionPools:
    """All pools of one gateway."""

    def __init__(
        self,
        limits: ConnectionLimits,
        server_idle_timeout_ms: float,
        status_of: StatusLookup,
        seed: int,
        peer_state: api.PeerState | None = None,
    ) -> None:
        self.settings = PoolSettings(limits, server_idle_timeout_ms)
        self._status_of = status_of
        self._random = Random(seed)
        self._table = PoolTable()
        self.pools = self._table.pools
        self.counters = self._table.counters
        self._losses = LossRecorder(self.counters)
        self.hazards = self._losses.hazards
        self._dialer = Dialer(
            self._table, self.settings, status_of, self._random, peer_state or api.PeerState()
        )

    @property
    def connection_count(self) -> int:
        """How many connections are up or being dialed."""
        return self._table.connection_count

    @property
    def dials_in_progress(self) -> int:
        """How many connections are being dialed."""
        return self._dialer.in_progress

    @property
    def idle_connections(self) -> Iterable[PooledConnection]:
        """The connections that are up and carry nothing, the one idle for longest first."""
        return self._table.idle

    @property
    def has_waiting_requests(self) -> bool:
        """Whether a request waits for a connection."""
        return bool(self._table.waiting)

    # Events of requests.

    def request_connection(
        self, now: float, request: ConnectionRequest, expected_capacity: int = 1
    ) -> list[Action]:
        """Find a connection for a request, or put it in the queue.

        `expected_capacity` is how many requests a new connection will carry at once.
        """
        if self._losses.pending:
            self._losses.settle(now)
        pool = self._pool_for(now, request, expected_capacity)
        connection = select_connection(now, pool, request, self.settings, self.hazards)
        if connection is not None:
            self._assign(now, request, connection)
        else:
            self._enqueue(now, pool, request)
        return self._table.take_actions()

    def request_finished(self, now: float, request: ConnectionRequest, answered: bool) -> list[Action]:
        """Free the place of a request that was answered in full, or whose stream could be reset."""
        connection = request.connection
        if connection is None:
            return []
        request.connection = None
        pool = self.pools.get(connection.server)
        if answered:
            self._losses.request_ended(request, lost=False)
            if pool is not None:
                pool.latest_answered_at = max(pool.latest_answered_at, request.assigned_at)
        connection.in_flight -= 1
        if not connection.in_flight:
            self._table.became_idle(connection, now)
        if connection.state is not ConnectionState.UP:
            return []
        if pool is None or pool is not connection.pool:  # replaced meanwhile, or gone
            if not connection.in_flight:
                self._table.close(connection, "left")
        elif retirement.is_worn_out(connection, now):
            self._retire_after_request(now, connection)
        else:
            self._reuse(now, pool, connection)
        return self._table.take_actions()

    def request_lost(self, now: float, request: ConnectionRequest, received_bytes: bool) -> None:
        """Record that a request was written and then lost with its connection.

        Where bytes had been received meanwhile the connection lived: a corrupt or cut response is no sign of
        a close that crossed the request.
        """
        if received_bytes:
            self._losses.request_ended(request, lost=False)
        else:
            self._losses.request_lost(now, request, self._table.connection_count)
        request.connection = None

    def request_unanswered(self, request: ConnectionRequest) -> None:
        """Record that a request was given up without one byte received on its connection since.

        Where one that began later has been answered on another, the server lives and the way is dead: what
        stands between drops connections without a word.
        """
        connection = request.connection
        pool = self.pools.get(connection.server) if connection is not None else None
        if pool is not None and pool.latest_answered_at > request.assigned_at:
            self._losses.request_ended(request, lost=True)
            self.counters["sent_on_silent"] += 1

    def connection_stale(self, now: float, request: ConnectionRequest) -> list[Action]:
        """Find another connection: the assigned one was closed before a byte of the request went out."""
        connection, request.connection = request.connection, None
        if connection is not None:
            connection.in_flight -= 1
            self._losses.found_stale(now, connection, request, self._table.connection_count)
            self._table.remove(connection)
        return self.request_connection(now, request)

    def request_cancelled(self, request: ConnectionRequest) -> None:
        """Take a request that waits no longer out of its queue."""
        pool = self.pools.get(request.server)
        if pool is not None and request in pool.queue:
            pool.queue.remove(request)

    # Events of connections.

    def dial_succeeded(self, now: float, connection: PooledConnection, capacity: int) -> list[Action]:
        """Take in a connection that is up and carries so many requests at once."""
        if connection.state is ConnectionState.CLOSED:
            return [CloseConnection(connection)]
        pool = self._dialer.dial_ended(connection)
        connection.state = ConnectionState.UP
        connection.capacity = capacity
        self._table.became_idle(connection, now)
        retirement.schedule_retirement(connection, now, self.settings.limits, self._random)
        if pool is None or capacity <= 0:
            self._table.close(connection, "moved")
        else:
            self._dialer.succeeded(pool, capacity)
            self._serve_queue(now, pool)
            if not connection.in_flight and not connection.preconnected:
                self.counters["spare"] += 1  # who waited for it was served by another
        self._dialer.dial_for_all(now)
        return self._table.take_actions()

    def dial_failed(self, now: float, connection: PooledConnection) -> list[Action]:
        """Reject one waiting request, or all of them where no other connection can come."""
        pool = self._dialer.dial_ended(connection)
        self._table.remove(connection)
        self.counters["dials_failed"] += 1
        if pool is not None:
            self._dialer.failed(now, pool)
            if pool.queue:
                self._table.reject(pool, pool.queue[0], "dial_failed")
            if not pool.dials_in_progress and not pool.has_requests_in_flight:
                while pool.queue:
                    self._table.reject(pool, pool.queue[0], "dial_failed")
        self._dialer.dial_for_all(now)
        return self._table.take_actions()

    def dial_not_made(self, connection: PooledConnection) -> list[Action]:
        """Record that a dial could not be made for want of a descriptor: that says nothing of the server.

        Requests go on waiting, and an idle connection makes room for the next dial.
        """
        self._dialer.dial_ended(connection)
        self._table.remove(connection)
        self.counters["dials_not_made"] += 1
        self._table.close_longest_idle("made_room")
        return self._table.take_actions()

    def close_longest_idle(self) -> list[Action]:
        """Close the connection idle for longest, whatever the limit says; no action where none is idle."""
        self._table.close_longest_idle("made_room")
        return self._table.take_actions()

    def limit_connections(self, max_connections: int) -> list[Action]:
        """Change how many connections there may be: idle ones beyond that are closed, longest idle first."""
        self.settings.max_connections = max_connections
        while self._table.connection_count > max_connections:
            if not self._table.close_longest_idle("made_room"):
                break  # all others carry requests, or are being dialed
        return self._table.take_actions()

    def capacity_changed(self, now: float, connection: PooledConnection, capacity: int) -> list[Action]:
        """Change how many requests a connection carries at once; 0 for none any more."""
        connection.capacity = capacity
        pool = self.pools.get(connection.server)
        if capacity <= 0 and connection.is_idle:
            self._table.close(connection, "going")
        elif pool is not None and pool.queue:
            self._serve_queue(now, pool)
        return self._table.take_actions()

    def connection_closed(
        self, now: float, connection: PooledConnection, closed_by: ClosedBy
    ) -> list[Action]:
        """Remove a connection that has ended; each of its requests is reported lost or was never written."""
        if connection.state is ConnectionState.CLOSED:
            return []
        if closed_by is ClosedBy.PEER and not connection.in_flight and connection.capacity:
            self._losses.closed_idle(now, connection, self._table.connection_count)
        self._dialer.dial_ended(connection)
        self._table.remove(connection)
        self._dialer.dial_for_all(now)
        return self._table.take_actions()

    # Events of time.

    def retry_queues(self, now: float) -> list[Action]:
        """Serve queues again: time has made dials possible or idle connections good; end waits."""
        for pool in list(self._table.waiting):
            for request in [request for request in pool.queue if request.queue_deadline <= now]:
                self._table.reject(pool, request, "waited")
            self._serve_queue(now, pool, dial=False)
        self._dialer.dial_for_all(now)
        return self._table.take_actions()

    def next_retry(self, now: float) -> float:
        """Return when `retry_queues` is to be called; infinity where nobody waits."""
        return now + QUEUE_RETRY_MS if self._table.waiting else math.inf

    def maintain(self, now: float) -> list[Action]:
        """Retire connections, forget servers that are gone, and preconnect; call it a few times a second."""
        self.hazards.decay(now)
        self._losses.settle(now)
        for pool in list(self.pools.values()):
            status = self._status_of(pool.server, now)
            self._retire_idle(now, pool, status)
            if not self.settings.shutting_down:
                self._maintain_pool(now, pool, status)
        for server in [server for server in self.hazards.servers if server not in self.pools]:
            self.hazards.forget(server)
        return self._table.take_actions()

    def _maintain_pool(self, now: float, pool: ServerPool, status: ServerStatus) -> None:
        if not status.accepts_work:
            if not pool.connections and not pool.queue:
                self._table.forget_server(pool)
                self.hazards.forget(pool.server)
        elif self.settings.limits.ahead_most and status.warmth > 0.0:
            self._preconnect(now, pool, status)

    def _retire_idle(self, now: float, pool: ServerPool, status: ServerStatus) -> None:
        for connection in list(pool.connections):
            if connection.is_idle:
                reason = retirement.retirement_reason(now, connection, status, self.settings, self.hazards)
                if reason:
                    self._table.close(connection, reason)

    def _preconnect(self, now: float, pool: ServerPool, status: ServerStatus) -> None:
        """Open connections ahead of need; a server that warms up gets its share of them at most."""
        for _ in range(preconnect.missing_connections(now, pool, self.settings, self.hazards)):
            fair_size = status.warmth * self._table.median_pool_size() if status.warmth < 1.0 else math.inf
            if len(pool.connections) + 1 > fair_size:
                self.counters["ahead_held_cold"] += 1
                return
            if not self._dialer.may_preconnect(now, pool, status.warmth):
                return
            self._dialer.open(now, pool, preconnected=True)

    # Pools and queues.

    def _pool_for(self, now: float, request: ConnectionRequest, expected_capacity: int) -> ServerPool:
        """Return the pool of a request's server; a new one where the server has moved or restarted."""
        started_at = self._status_of(request.server, now).started_at
        pool = self.pools.get(request.server)
        if pool is not None and pool.address == request.address and pool.started_at == started_at:
            return pool
        bucket = TokenBucket(self.settings.limits.dials_per_s_per_server)
        new = ServerPool(request.server, request.address, bucket, expected_capacity)
        new.started_at = started_at
        new.miss_rate_at = now
        if pool is None:
            self.pools[new.server] = new
        else:
            self._close_all_idle(pool)
            self.hazards.forget(pool.server)
            self._table.replace(pool, new)
        return new

    def _close_all_idle(self, pool: ServerPool) -> None:
        """Close what carries no request; what is in flight may still be answered."""
        for connection in list(pool.connections):
            if connection.is_idle or connection.state is ConnectionState.DIALING:
                self._dialer.dial_ended(connection)
                self._table.close(connection, "moved")

    def _enqueue(self, now: float, pool: ServerPool, request: ConnectionRequest) -> None:
        """Have a request wait, or reject it where no connection can come in time."""
        request.queue_deadline = min(request.deadline, now + self.settings.limits.wait_ms)
        preconnect.record_miss(now, pool)
        pool.queue.append(request)
        self._table.waiting[pool] = None
        self._dialer.dial_for(now, pool)
        paused = not pool.dials_in_progress and now < pool.paused_until
        if paused and not pool.has_requests_in_flight and request in pool.queue:
            self._table.reject(pool, request, "paused")  # another server may be better

    def _assign(self, now: float, request: ConnectionRequest, connection: PooledConnection) -> None:
        request.connection = connection
        self._losses.assigned(now, connection, request)
        self.counters["reuses" if connection.requests_assigned else "firsts"] += 1
        self._table.idle.pop(connection, None)
        connection.in_flight += 1
        connection.requests_assigned += 1
        self._table.actions.append(AssignConnection(request, connection))

    def _retire_after_request(self, now: float, connection: PooledConnection) -> None:
        connection.capacity = 0
        if not connection.in_flight:
            self._table.close(connection, "retired")
            self._dialer.dial_for_all(now)

    def _reuse(self, now: float, pool: ServerPool, connection: PooledConnection) -> None:
        """Make a connection the last used of its pool, and give it to who waits."""
        if pool.connections[-1] is not connection:
            pool.connections.remove(connection)
            pool.connections.append(connection)
        if pool.queue:
            self._serve_queue(now, pool)

    def _serve_queue(self, now: float, pool: ServerPool, dial: bool = True) -> None:
        """Give the queue what is free now, in its order; who may not take it leaves it to the next."""
        for request in list(pool.queue):
            if all(connection.free_slots <= 0 for connection in pool.connections):
                break
            connection = select_connection(now, pool, request, self.settings, self.hazards)
            if connection is not None:
                pool.queue.remove(request)
                self._assign(now, request, connection)
        if not pool.queue:
            self._table.waiting.pop(pool, None)
            return
        self._table.waiting[pool] = None
        if dial:
            self._dialer.dial_for(now, pool)
