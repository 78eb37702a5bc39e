"""What becomes of connections and requests, recorded for the estimates of `hazard`. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

from wickspring.connections.hazard import Hazards
from wickspring.connections.model import ConnectionRequest, PooledConnection
from wickspring.connections.selection import FRESH_MS

OUTAGE_MS = 100.0  # closes and losses within so long are one outage,
MIN_OUTAGE_SIZE = 6  # where they are so many,
MIN_OUTAGE_SHARE = 0.4  # and such a share of all connections
CLOSE_RACE_MS = 60.0  # after its write within which a lost request shows that the connection was closing


class LossRecorder:
    """Holds closes and losses back for a moment: where most connections end at once, none tells of itself."""

    def __init__(self, counters: Counter[str]) -> None:
        self.hazards = Hazards()
        self.pending: list[Callable[[], None]] = []  # closes and losses that are held back
        self._counters = counters
        self._pending_since = 0.0
        self._connections_then = 0  # how many there were when the first of them came

    def settle(self, now: float) -> None:
        """Record what was held back for long enough, or drop it as an outage."""
        if not self.pending or now - self._pending_since < OUTAGE_MS:
            return
        records, self.pending = self.pending, []
        if len(records) >= max(MIN_OUTAGE_SIZE, MIN_OUTAGE_SHARE * self._connections_then):
            self._counters["outages"] += 1
            return
        for record in records:
            record()

    def _hold_back(self, now: float, connection_count: int, record: Callable[[], None]) -> None:
        self.settle(now)
        if not self.pending:
            self._pending_since, self._connections_then = now, connection_count
        self.pending.append(record)

    def assigned(self, now: float, connection: PooledConnection, request: ConnectionRequest) -> None:
        """Note the connection's state with a request that is about to be written on it."""
        request.assigned_at = now
        request.first_on_connection = not connection.requests_assigned
        request.idle_ms = -1.0
        if connection.in_flight:
            return
        request.idle_ms = idle_ms = now - connection.idle_since
        if connection.requests_assigned or connection.preconnected or idle_ms > 0.0:
            request.predicted_loss = self.hazards.record_reuse(
                connection.pool.server, idle_ms, now - connection.dialed_at, request.first_on_connection
            )

    def request_ended(self, request: ConnectionRequest, lost: bool) -> None:
        """Record whether a request that was written was lost with its connection."""
        if request.first_on_connection and 0.0 <= request.idle_ms <= FRESH_MS:
            self.hazards.record_fresh_outcome(request.server, lost)
        elif request.idle_ms >= 0.0:
            self.hazards.record_outcome(
                request.server, request.idle_ms, request.first_on_connection, lost, request.predicted_loss
            )

    def request_lost(self, now: float, request: ConnectionRequest, connection_count: int) -> None:
        """Record a request that was written and lost, unless its server had been at work on it for long."""
        if now - request.assigned_at <= CLOSE_RACE_MS:
            self._counters["sent_on_dead"] += request.idle_ms >= 0.0
            self._hold_back(now, connection_count, partial(self.request_ended, request, lost=True))

    def found_stale(
        self, now: float, connection: PooledConnection, request: ConnectionRequest, connection_count: int
    ) -> None:
        """Record that a connection turned out to be closed before a byte of a request went out."""
        self._counters["found_closed"] += 1
        idle_ms, unused = max(request.idle_ms, 0.0), request.first_on_connection
        self._hold_back_close(now, connection, idle_ms, unused, connection_count)

    def closed_idle(self, now: float, connection: PooledConnection, connection_count: int) -> None:
        """Record that a server closed an idle connection."""
        self._counters["closed_idle"] += 1
        idle_ms, unused = now - connection.idle_since, not connection.requests_assigned
        self._hold_back_close(now, connection, idle_ms, unused, connection_count)

    def _hold_back_close(
        self, now: float, connection: PooledConnection, idle_ms: float, unused: bool, connection_count: int
    ) -> None:
        record = partial(
            self.hazards.record_idle_end,
            connection.server,
            idle_ms,
            now - connection.dialed_at,
            unused,
            closed=True,
        )
        self._hold_back(now, connection_count, record)
