"""Listening sockets: opening them, accepting on them, and ending without resetting who waits in line.

What waits in the kernel's queue of a listener may hold a request whose client's time runs. So the queue is
emptied quickly, and a process without a descriptor for it closes an idle connection to a server.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.logs import kv
from wickspring.net.http_server import HttpServer
from wickspring.net.link import Link
from wickspring.net.sockets import listen as listen
from wickspring.net.sockets import stop_deferring as stop_deferring

log = logging.getLogger(__name__)

MAX_ACCEPTED_AT_ONCE = 64  # connections accepted before other tasks have their turn
ACCEPT_RETRY_S = 0.01  # where there is no room for a connection, or no descriptor
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE)

AnyServer = TypeVar("AnyServer", bound=HttpServer)
Serve = Callable[[Link, AnyServer], Awaitable[None]]
RefuseFirst = Callable[[Link, AnyServer], None]
"""Answers what has come with a new connection, where that is refused at once."""


async def accept(
    listener: socket.socket,
    server: AnyServer,
    serve: Serve[AnyServer],
    refuse_first: RefuseFirst[AnyServer] | None = None,
) -> None:
    """Accept until the listener is closed; short of descriptors, end the quietest connection or wait."""
    while True:
        await _wait_for_room(server)
        try:
            _accept_some(listener, server, serve, refuse_first)
        except BlockingIOError:
            try:
                await trio.lowlevel.wait_readable(listener)
            except trio.ClosedResourceError:
                return
        except OSError as error:
            if error.errno == errno.EBADF:
                return
            await _on_accept_error(server, error)
        else:
            await trio.lowlevel.checkpoint()  # those inside must not wait for a long queue at the door


async def _wait_for_room(server: HttpServer) -> None:
    """Wait until there may be one more client connection.

    Clients that hold connections and say nothing must not shut the others out, nor those that have their
    response and are slow to close.
    """
    while server.room_for_connections <= 0:
        if server.close_lingering_connections():
            await trio.lowlevel.checkpoint()
            continue
        server.closed_counts["waits_at_the_door"] += 1
        server.close_idle_connections()
        await trio.sleep(ACCEPT_RETRY_S)
    server.limit_server_connections()


def _accept_some(
    listener: socket.socket,
    server: AnyServer,
    serve: Serve[AnyServer],
    refuse_first: RefuseFirst[AnyServer] | None,
) -> None:
    """Accept what waits, as far as there is room, `MAX_ACCEPTED_AT_ONCE` at most.

    Raises OSError where nothing waits any more (BlockingIOError), or it cannot be accepted.
    """
    for _ in range(min(server.room_for_connections, MAX_ACCEPTED_AT_ONCE)):
        sock, _ = listener.accept()
        link = Link(sock, server.nursery)
        if refuse_first is not None:
            with isolate_faults(FaultStep.CLIENT_CONNECTION):
                refuse_first(link, server)
        start_serving(link, server, serve)


def start_serving(link: Link, server: AnyServer, serve: Serve[AnyServer]) -> None:
    """Serve a connection in a task of its own, and count it until that runs."""
    server.starting_connections += 1
    server.nursery.start_soon(_serve_started, link, server, serve)


async def _serve_started(link: Link, server: AnyServer, serve: Serve[AnyServer]) -> None:
    server.starting_connections -= 1  # `serve` counts it among the connections before it waits for anything
    await serve(link, server)


async def _on_accept_error(server: HttpServer, error: OSError) -> None:
    """Make room where no descriptor is left; where nothing can be closed, and after other errors, wait."""
    server.closed_counts[f"accept_failed[{errno.errorcode.get(error.errno or 0, 'other')}]"] += 1
    if error.errno in NO_DESCRIPTOR_ERRNOS and server.close_idle_server_connection():
        await trio.lowlevel.checkpoint()
        return
    log.warning("accept_failed", extra=kv(reason=error))
    await trio.sleep(ACCEPT_RETRY_S)


def close_listener(listener: socket.socket) -> None:
    """Stop accepting."""
    trio.lowlevel.notify_closing(listener)
    listener.close()


def stop_accepting(listener: socket.socket, server: AnyServer, serve: Serve[AnyServer]) -> None:
    """Accept what waits in the kernel's queue, and close the listener, which would reset it."""
    take_rest(listener, server, serve)
    close_listener(listener)


def take_rest(listener: socket.socket, server: AnyServer, serve: Serve[AnyServer]) -> None:
    """Accept what waits in the kernel's queue."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:  # none left, most of all
            return
        start_serving(Link(sock, server.nursery), server, serve)
