"""Opens connections for requests that wait, as far as the limits on dials go. No I/O.

Dials are made for a queue and not for single requests: whoever comes first in the queue takes the first
connection that is up or becomes free.
"""

from __future__ import annotations

import math
from random import Random

from wickspring import interface as api
from wickspring.connections.dial_limits import DialWindow, TokenBucket, redial_pause_ms
from wickspring.connections.model import (
    ConnectionState,
    OpenConnection,
    PooledConnection,
    PoolSettings,
    ServerPool,
    StatusLookup,
)
from wickspring.connections.pool_table import PoolTable


class Dialer:
    """Decides when a connection is dialed."""

    def __init__(
        self,
        table: PoolTable,
        settings: PoolSettings,
        status_of: StatusLookup,
        random: Random,
        peer_state: api.PeerState,
    ) -> None:
        self._table = table
        self._settings = settings
        self._status_of = status_of
        self._random = random
        self._peer_state = peer_state  # shared with the other gateways: dials to one server
        self._bucket = TokenBucket(settings.limits.dials_per_s)
        self.window = DialWindow(settings.limits.dials_at_once)
        self.in_progress = 0

    def dial_for_all(self, now: float) -> None:
        """Give the queues of all pools the dials that have become possible, in turns."""
        table = self._table
        for pool in list(table.waiting):
            if not pool.queue:
                table.waiting.pop(pool, None)
                continue
            if self.in_progress >= self.window.size or not self._bucket.has_token(now):
                table.counters["dials_held"] += 1
                return
            if self._is_full() and table.longest_idle() is None:
                table.counters["full"] += 1
                return  # for all of them alike: no use in looking again for each
            dials_before = pool.dials_in_progress
            self.dial_for(now, pool)
            if pool.dials_in_progress > dials_before:  # to the end of the round
                table.waiting.pop(pool, None)
                table.waiting[pool] = None

    def dial_for(self, now: float, pool: ServerPool) -> None:
        """Dial for those in the queue whom no dial in progress will serve, as far as the limits go."""
        needed = math.ceil(len(pool.queue) / max(1, pool.expected_capacity)) - pool.dials_in_progress
        if needed <= 0:
            return
        status = self._status_of(pool.server, now)
        if not status.accepts_work:
            self._reject_new_work(pool)
            needed = min(needed, len(pool.queue))
        for _ in range(needed):
            if not self.may_dial(now, pool, status.warmth) or not self._make_room(pool):
                return
            self.open(now, pool)

    def _reject_new_work(self, pool: ServerPool) -> None:
        for request in [request for request in pool.queue if request.new_work]:
            self._table.reject(pool, request, "drains")

    def _is_full(self) -> bool:
        return self._table.connection_count >= self._settings.max_connections

    def _make_room(self, pool: ServerPool) -> bool:
        """Close an idle connection of another server if there are as many as there may be."""
        if not self._is_full():
            return True
        if self._table.close_longest_idle("made_room", other_than=pool):
            return True
        self._table.counters["full"] += 1
        return False

    def may_dial(self, now: float, pool: ServerPool, warmth: float) -> bool:
        """Tell whether the limits allow a dial to a server of this warmth (0 to 1) now."""
        limits = self._settings.limits
        if now < pool.paused_until or len(pool.connections) >= limits.most_per_server:
            return False
        held = self._is_dial_held(now, pool, warmth)
        self._table.counters["dials_held"] += held
        return not held

    def _is_dial_held(self, now: float, pool: ServerPool, warmth: float) -> bool:
        at_once = max(1, math.floor(warmth * self._settings.limits.dials_at_once_per_server))
        if pool.dials_in_progress >= at_once or self.in_progress >= self.window.size:
            return True
        if not pool.dial_bucket.has_token(now) or not self._bucket.has_token(now):
            return True
        return not self._peer_state.may_take(now, pool.dial_budget)

    def may_preconnect(self, now: float, pool: ServerPool, warmth: float) -> bool:
        """Tell whether a connection may be opened ahead of need: none is closed for it."""
        return not self._is_full() and self.may_dial(now, pool, warmth)

    def open(self, now: float, pool: ServerPool, preconnected: bool = False) -> None:
        """Dial a connection."""
        pool.dial_bucket.take(now)
        self._bucket.take(now)
        self._peer_state.take(now, pool.dial_budget)
        connection = PooledConnection(pool, now, preconnected=preconnected)
        self._table.add(connection)
        pool.dials_in_progress += 1
        self.in_progress += 1
        self._table.counters["dials"] += 1
        self._table.counters["ahead"] += preconnected
        self._table.actions.append(OpenConnection(connection))

    def dial_ended(self, connection: PooledConnection) -> ServerPool | None:
        """Record the end of a dial; None where its pool has been replaced or removed, or it had ended."""
        if connection.state is not ConnectionState.DIALING:
            return None
        self.in_progress -= 1
        connection.pool.dials_in_progress -= 1
        return connection.pool if self._table.is_current(connection.pool) else None

    def succeeded(self, pool: ServerPool, capacity: int) -> None:
        """Record that a dial came up, on a connection that takes so many requests at once."""
        pool.failed_dials = 0
        pool.expected_capacity = capacity
        self.window.dial_succeeded()

    def failed(self, now: float, pool: ServerPool) -> None:
        """Record a failed dial: the server is left alone for a while."""
        pool.failed_dials += 1
        self.window.dial_failed(now, pool.server, len(self._table.pools))
        pause_ms = redial_pause_ms(self._settings.limits, pool.failed_dials, self._random)
        pool.paused_until = now + pause_ms
