"""A listener that stops accepting while a server holds as many connections as it may."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Sized

import trio

BACKLOG = 256
RESUME_DELAY_S = 0.01  # from the end of a connection until the server may accept again


class LimitedListener:
    """Accepts connections at one loopback address, which it keeps after a restart.

    With `max_connections` above 0 it stops listening while `connections` has so many, and refuses others.
    """

    def __init__(
        self,
        serve: Callable[[trio.socket.SocketType], Awaitable[object]],
        connections: Sized,
        max_connections: int,
    ) -> None:
        self.address = ""  # empty: not started yet
        self._serve = serve
        self._connections = connections
        self._max_connections = max_connections
        self._socket: trio.socket.SocketType | None = None
        self._nursery: trio.Nursery | None = None
        self._accepting: trio.CancelScope | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen; tasks of the connections run in this nursery."""
        self._nursery = nursery
        await self._listen()

    def stop(self) -> None:
        """Stop accepting, for good or until the next start."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def resume(self) -> None:
        """After the end of a connection: listen again after a pause, if it had stopped and has room."""
        if not self._max_connections:
            return
        await trio.sleep(RESUME_DELAY_S)
        is_full = len(self._connections) >= self._max_connections
        if is_full or self._socket is None or self._socket.fileno() >= 0:
            return
        self._socket = None  # so that no other task resumes as well
        await self._listen()

    async def _listen(self) -> None:
        assert self._nursery is not None
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        await sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._socket = sock
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, sock, self._accepting, self._nursery)

    async def _accept(
        self, listener: trio.socket.SocketType, scope: trio.CancelScope, nursery: trio.Nursery
    ) -> None:
        with scope, listener:
            while True:
                sock, _ = await listener.accept()
                nursery.start_soon(self._serve, sock)
                # The connection just accepted is not among them yet.
                if self._max_connections and len(self._connections) + 1 >= self._max_connections:
                    return
