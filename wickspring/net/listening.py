"""Listening sockets: opening them, accepting on them, and ending without resetting who waits in line."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from wickspring.logs import kv
from wickspring.net.http_server import HttpServer
from wickspring.net.link import Link
from wickspring.net.sockets import listen as listen

log = logging.getLogger(__name__)

AnyServer = TypeVar("AnyServer", bound=HttpServer)
Serve = Callable[[Link, AnyServer], Awaitable[None]]


async def accept(listener: socket.socket, server: AnyServer, serve: Serve[AnyServer]) -> None:
    """Accept until the listener is closed; short of descriptors, end the quietest connection or wait."""
    while True:
        while len(server.connections) >= server.max_connections:
            # Clients that hold connections and say nothing must not shut the others out.
            server.closed_counts["waits_at_the_door"] += 1
            server.close_idle_connections()
            await trio.sleep(0.01)
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            try:
                await trio.lowlevel.wait_readable(listener)
            except trio.ClosedResourceError:
                return
        except OSError as error:
            if error.errno == errno.EBADF:
                return
            log.warning("accept_failed", extra=kv(reason=error))
            await trio.sleep(0.01)
        else:
            server.nursery.start_soon(serve, Link(sock, server.nursery), server)
            await trio.lowlevel.checkpoint()  # a crowd at the door must not keep those inside waiting


def close_listener(listener: socket.socket) -> None:
    """Stop accepting."""
    trio.lowlevel.notify_closing(listener)
    listener.close()


def take_rest(listener: socket.socket, server: AnyServer, serve: Serve[AnyServer]) -> None:
    """Accept what waits in the kernel's line: closing the listener would reset it."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:  # none left, most of all
            return
        server.nursery.start_soon(serve, Link(sock, server.nursery), server)
