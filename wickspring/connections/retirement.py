"""When a connection is retired: by age, requests carried, idle time, or the risk of a loss. No I/O.

The limits are `ConnectionLimits`. A connection that is retired while it carries requests takes no more, and
is closed once they have ended (`pools`); no time limit of its own ends it earlier.
"""

from __future__ import annotations

from random import Random

from wickspring.connections.hazard import Hazards
from wickspring.connections.limits import ConnectionLimits
from wickspring.connections.model import PooledConnection, PoolSettings, ServerStatus

RISK_LOOKAHEAD_MS = 1000.0  # a connection that is too risky now and still after so long is retired


def schedule_retirement(
    connection: PooledConnection, now: float, limits: ConnectionLimits, random: Random
) -> None:
    """Set the age and the number of requests at which a new connection retires, with jitter."""
    connection.retire_at = now + 1000.0 * limits.age_most_s * _jitter_factor(limits, random)
    connection.retire_after_requests = max(1, int(limits.uses_most * _jitter_factor(limits, random)))


def _jitter_factor(limits: ConnectionLimits, random: Random) -> float:
    return 1.0 - limits.jitter * random.random()


def is_worn_out(connection: PooledConnection, now: float) -> bool:
    """Tell whether a connection takes no more requests once those on it have ended."""
    return (
        connection.capacity <= 0
        or connection.requests_assigned >= connection.retire_after_requests
        or now >= connection.retire_at
    )


def retirement_reason(
    now: float, connection: PooledConnection, status: ServerStatus, settings: PoolSettings, hazards: Hazards
) -> str:
    """Return why an idle connection is to be closed; empty where it is kept."""
    if settings.shutting_down or not status.accepts_work:
        return "left"
    if connection.idle_since < settings.oldest_idle_since(now) or now >= connection.retire_at:
        return "retired"
    if _stays_risky(now, connection, settings.limits.repeat_risk, hazards):
        return "retired_doubtful"
    return ""


def _stays_risky(now: float, connection: PooledConnection, limit: float, hazards: Hazards) -> bool:
    """Tell whether the risk of a loss is above the limit, now and `RISK_LOOKAHEAD_MS` later."""
    idle_ms, age_ms = now - connection.idle_since, now - connection.dialed_at
    unused = not connection.requests_assigned
    if hazards.risk(connection.server, idle_ms, age_ms, unused) <= limit:
        return False
    idle_ms, age_ms = idle_ms + RISK_LOOKAHEAD_MS, age_ms + RISK_LOOKAHEAD_MS
    return hazards.risk(connection.server, idle_ms, age_ms, unused) > limit
