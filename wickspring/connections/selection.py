"""Which idle connection is good enough for a request. No I/O."""

from __future__ import annotations

from wickspring.connections.hazard import Hazards
from wickspring.connections.model import ConnectionRequest, PooledConnection, PoolSettings, ServerPool

NEGLIGIBLE_RISK = 0.004  # below it connections are as good as each other, and the last used goes first
FRESH_MS = 10.0  # after coming up a connection is as good as any dial could bring, whatever was learnt


def select_connection(
    now: float, pool: ServerPool, request: ConnectionRequest, settings: PoolSettings, hazards: Hazards
) -> PooledConnection | None:
    """Return the connection last used of those good enough, so that spare ones fall idle and are closed."""
    limits = settings.limits
    lowest_risk = limits.once_risk if request.at_most_once else limits.repeat_risk
    oldest = settings.oldest_idle_since(now)
    best = None
    for connection in reversed(pool.connections):
        if connection.free_slots <= 0:
            continue
        if connection.in_flight:
            return connection  # it carries others, so it is alive
        idle_since = connection.idle_since
        if idle_since < oldest or now >= connection.retire_at:
            continue
        unused = not connection.requests_assigned
        if unused and now - idle_since <= FRESH_MS:
            return connection  # else who finds it not good enough would dial for another, and another
        risk = hazards.risk(pool.server, now - idle_since, now - connection.dialed_at, unused)
        if risk <= NEGLIGIBLE_RISK:
            return connection
        if risk <= lowest_risk:
            best, lowest_risk = connection, risk
    return best
