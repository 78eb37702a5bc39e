"""Limits that follow from a configuration: connections to endpoints; what a client may send, and how long."""

from __future__ import annotations

import msgspec

from wickspring.common.routing_table import ClientLimits, RoutingTable
from wickspring.connections.limits import ConnectionLimits
from wickspring.dataplane.request.validation import longest_ms
from wickspring.net.front_limits import FrontLimits
from wickspring.net.request_body import ArrivingRequest

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


def body_expires_at(request: ArrivingRequest, routing_table: RoutingTable) -> float:
    """Return until when the body of a request may take to come (ms).

    A pause is bounded by the operator's idle timeout. The whole is bounded by the time of the request, which
    ends it with a response once it has been passed on; before that, a client with a short deadline still has
    what the size of its body allows.
    """
    stalls_at = request.last_received_at + request.limits.idle_ms
    if request.is_passed_on:
        return stalls_at
    by_time = request.body.started_at + longest_ms(routing_table, request.headers, request.target)
    by_size = request.body.expires_at(request.limits.body_ms)
    return min(stalls_at, max(by_time, by_size))


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
