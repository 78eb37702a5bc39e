"""The start of a data plane, the connections of its clients, and its orderly end."""

from __future__ import annotations

import socket

import trio

from wickspring.common import logs
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.dataplane.process import DataPlane
from wickspring.dataplane.readiness import ReadinessProbe, serve_readiness
from wickspring.net.http1_front import Http1Connection
from wickspring.net.link import Link
from wickspring.net.listening import accept, close_listener, take_rest

DRAIN_ACCEPT_S = 0.4  # after SIGTERM, in which connections that are on their way are still accepted
DRAIN_SHARE = 0.93  # of the time between SIGTERM and SIGKILL that requests in progress have
CLOSE_S = 0.1  # for the last bytes to go out


async def serve(link: Link, data_plane: DataPlane) -> None:
    """Serve one client's connection."""
    await data_plane.serve(Http1Connection(link, data_plane, limits=data_plane.front_limits), link)


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
        nursery.start_soon(accept, front, data_plane, serve)
        logs.log_event("started", ip=settings.ip, zone=settings.zone)
        await ended.wait()
        await _shut_down(data_plane, front)
        nursery.cancel_scope.cancel()


async def _shut_down(data_plane: DataPlane, front: socket.socket) -> None:
    """Take the last connections that are on their way, and let requests in progress end."""
    requests = data_plane.request_context.requests
    data_plane.begin_drain()
    logs.log_event("draining", requests_in_flight=len(requests))
    with trio.move_on_after(DRAIN_SHARE * data_plane.settings.guarantees.grace_s):
        await trio.sleep(DRAIN_ACCEPT_S)
        take_rest(front, data_plane, serve)
        close_listener(front)
        await data_plane.drain()
        await trio.sleep(CLOSE_S)
    logs.log_event("stopped", requests_in_flight=len(requests))
