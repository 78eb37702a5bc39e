"""The end of all client connections once a process has been told to end (SIGTERM).

Each connection ends for itself, as soon as nothing is owed on it, whatever goes on on others; and nothing is
taken so late that it could not be answered. The rule stands in `docs/design/graceful-shutdown.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from wickspring.net.calls import FIRST_BYTE_MS
from wickspring.net.unanswered import EndReason

if TYPE_CHECKING:
    from wickspring.net.http_server import Connection, HttpServer

POLL_S = 0.02  # between two looks at all connections


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """How far the steps of a drain may reach, in milliseconds since it began."""

    take_ms: float  # requests are taken; later ones are refused
    answer_ms: float  # requests in progress may be answered
    close_ms: float  # responses may leave; then the process ends


def close_idle_connections(server: HttpServer) -> None:
    """Close the connections that are idle now and have had a request; those that are new may be about to.

    To be called before the listener closes: a client whose request crosses the close can then come again.
    """
    for connection in list(server.connections):
        if not connection.is_new:
            _close_unless_handed_over(server, connection)


async def close_connections(server: HttpServer, first_request_ms: float = FIRST_BYTE_MS) -> bool:
    """Close each client connection once it is idle; return False where some are left when time is over.

    One that has had no request yet is kept for `first_request_ms`, by default as long as in service: its
    client may run late, has nobody else to connect to, and a request that crosses the close is lost.
    """
    left_ms = server.drain_ends_at - server.clock.now()
    with trio.move_on_after(max(0.0, left_ms) / 1000.0):
        while server.connections or server.starting_connections or server.has_unfinished_work:
            for connection in list(server.connections):
                if not _awaits_first_request(server, connection, first_request_ms):
                    _close_unless_handed_over(server, connection)
            await trio.sleep(POLL_S)
    return not server.connections and not server.starting_connections


def _close_unless_handed_over(server: HttpServer, connection: Connection) -> None:
    """Close a connection where it is idle, unless another process takes it over then."""
    if not (server.handing_over and connection.can_be_handed_over):
        connection.close_if_idle(EndReason.DRAINED)


def _awaits_first_request(server: HttpServer, connection: Connection, first_request_ms: float) -> bool:
    """Tell whether the first request on a connection may still be on its way."""
    return connection.is_new and server.clock.now() < connection.accepted_at + first_request_ms
