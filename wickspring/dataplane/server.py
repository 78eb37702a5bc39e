"""The start of a data plane, the connections of its clients, and its orderly end."""

from __future__ import annotations

import trio

from wickspring.common import logs
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.dataplane.process import DataPlane
from wickspring.dataplane.readiness import ReadinessProbe, serve_readiness
from wickspring.dataplane.shutdown import GracefulShutdown
from wickspring.net.early_refusal import refuse_first_request
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link
from wickspring.net.listening import accept


async def serve(link: Link, data_plane: DataPlane) -> None:
    """Serve one client's connection."""
    await data_plane.serve(Http1Connection(link, data_plane, limits=lambda: data_plane.front_limits), link)


async def run(started: Bootstrap, seed: int, ended: trio.Event) -> None:
    """Run a data plane until `ended` is set; raise GatewayError where the settings name no listeners."""
    settings = started.settings
    front = started.client_listener
    ready = started.readiness_listener
    if front is None or ready is None:
        raise GatewayError(
            ErrorDetail(ErrorKind.BAD_SETTINGS, "bind: a data plane needs front_http and ready_addr")
        )
    async with trio.open_nursery() as nursery:
        data_plane = DataPlane(settings, nursery, seed)
        data_plane.start(started.peer_listener)
        probe = ReadinessProbe(data_plane, nursery, data_plane.memory_mb)
        nursery.start_soon(probe.timers.run)
        probe.expire_connections()
        nursery.start_soon(accept, ready, probe, serve_readiness)
        nursery.start_soon(accept, front, data_plane, serve, refuse_first_request)
        logs.log_event("started", ip=settings.ip, zone=settings.zone)
        await ended.wait()
        shutdown = GracefulShutdown(data_plane, front, serve, lambda: probe.platform_knows)
        await shutdown.run(started.termination.time_left_s(settings.guarantees.grace_s))
        nursery.cancel_scope.cancel()
