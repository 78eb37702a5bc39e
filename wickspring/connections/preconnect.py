"""How many connections to open ahead of need: as many as requests lately had to wait for. No I/O."""

from __future__ import annotations

import math

from wickspring.connections.hazard import Hazards
from wickspring.connections.model import PooledConnection, PoolSettings, ServerPool

MISS_MEMORY_MS = 2000.0  # time in which the miss rate falls to 1/e
COVERED_S = 0.1  # the misses of so long are opened ahead, rounded


def record_miss(now: float, pool: ServerPool) -> None:
    """Record that a request found no connection."""
    pool.miss_rate = _miss_rate(now, pool) + 1000.0 / MISS_MEMORY_MS
    pool.miss_rate_at = now


def _miss_rate(now: float, pool: ServerPool) -> float:
    return pool.miss_rate * math.exp((pool.miss_rate_at - now) / MISS_MEMORY_MS)


def missing_connections(now: float, pool: ServerPool, settings: PoolSettings, hazards: Hazards) -> int:
    """Return how many connections to open ahead; negative or 0 for none."""
    target = min(settings.limits.ahead_most, int(_miss_rate(now, pool) * COVERED_S + 0.5))
    if target <= 0 or pool.queue:
        return 0
    limit = settings.limits.once_risk
    usable = sum(_is_usable(now, connection, limit, hazards) for connection in pool.connections)
    return target - usable - pool.dials_in_progress


def _is_usable(now: float, connection: PooledConnection, risk_limit: float, hazards: Hazards) -> bool:
    """Tell whether an idle connection is good enough for any request.

    An unused one counts as such: else a server whose connections are all risky would get ever more of them.
    """
    if not connection.is_idle:
        return False
    if not connection.requests_assigned:
        return True
    idle_ms, age_ms = now - connection.idle_since, now - connection.dialed_at
    return hazards.risk(connection.server, idle_ms, age_ms, False) <= risk_limit
