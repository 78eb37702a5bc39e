"""One listening socket of the ingress, and the task that accepts on it."""

from __future__ import annotations

import socket

import trio

from wickspring.net.listening import RefuseFirst, Serve, accept
from wickspring.net.runtime import Runtime


class FrontListener:
    """Accepts clients' connections while it is open; the socket listens all the time."""

    def __init__(
        self,
        listener: socket.socket,
        runtime: Runtime,
        serve: Serve[Runtime],
        refuse_first: RefuseFirst[Runtime] | None = None,
    ) -> None:
        self.listener = listener
        self.runtime = runtime
        self.serve = serve
        self.refuse_first = refuse_first
        self._scope: trio.CancelScope | None = None

    async def _run(self, scope: trio.CancelScope) -> None:
        with scope:
            await accept(self.listener, self.runtime, self.serve, self.refuse_first)

    def open(self) -> None:
        """Accept from now on."""
        if self._scope is None:
            self._scope = trio.CancelScope()
            self.runtime.nursery.start_soon(self._run, self._scope)

    def pause(self) -> None:
        """Accept nothing more; new connections wait in the kernel's queue."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
