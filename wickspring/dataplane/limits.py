"""Limits that follow from a configuration: connections to endpoints, and what one client may send."""

from __future__ import annotations

import msgspec

from wickspring.common.routing_table import ClientLimits, RoutingTable
from wickspring.connections.limits import ConnectionLimits
from wickspring.net.front_limits import FrontLimits

CONNECTION_SHARE = 0.9  # of an endpoint's connections that all data planes together open
MIN_CONNECTIONS = 3  # to one endpoint
MAX_CONNECTIONS = 64
DEFAULT_DATA_PLANE_COUNT = 16  # that share an endpoint's connections, until their number is reported

INITIAL_LIMITS = ConnectionLimits(
    most_per_server=MIN_CONNECTIONS,
    wait_ms=400.0,
    ahead_most=0,
    pause_first_ms=60.0,
    pause_most_ms=500.0,
    idle_share=0.85,
)


def front_limits(limits: ClientLimits) -> FrontLimits:
    """Return the timeouts and sizes that connections of clients are held to."""
    return FrontLimits(
        first_byte_ms=1000.0 * limits.idle_timeout_s,
        head_ms=1000.0 * limits.header_timeout_s,
        idle_ms=1000.0 * limits.idle_timeout_s,
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
    )


def connection_limits(routing_table: RoutingTable, data_plane_count: int) -> ConnectionLimits:
    """Return the limits on connections to one endpoint for this data plane's even share of them.

    Args:
        routing_table: the configuration in use; the lowest limit of any of its services counts.
        data_plane_count: how many data planes there are; 0 where that is not known.
    """
    service_limits = [
        service.max_connections for service in routing_table.services.values() if service.max_connections > 0
    ]
    data_planes = max(1, data_plane_count or DEFAULT_DATA_PLANE_COUNT)
    share = int(CONNECTION_SHARE * min(service_limits, default=MAX_CONNECTIONS) / data_planes)
    per_endpoint = max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, share))
    return msgspec.structs.replace(INITIAL_LIMITS, most_per_server=per_endpoint)
