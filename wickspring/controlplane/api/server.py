"""The HTTP server of the control plane: finds the handler of each call and has it answered."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import trio

from wickspring.common import logs
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.common.settings import Limits
from wickspring.controlplane.api.calls import (
    ApiHandler,
    ApiRequest,
    ApiResponse,
    error_response,
    find_handler,
)
from wickspring.net.calls import Client
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.link import Link

MAX_BODY_BYTES = 4 << 20  # of one call; a configuration is the largest
_PATIENCE = Patience(silent=10_000.0, head=5_000.0, body=10_000.0, idle=30_000.0)  # ms


class ApiServer(Host):
    """Serves the connections of servers and operators."""

    def __init__(self, nursery: trio.Nursery, limits: Limits) -> None:
        super().__init__(nursery, limits.memory_mb)
        self.handlers: Sequence[ApiHandler] = ()
        self._limits = limits
        self._last_call_number = 0

    @property
    def sockets(self) -> int:
        """Return how many file descriptors this process may have."""
        return self._limits.max_fds

    @property
    def flowing(self) -> int:
        """Return how many long bodies are being transferred: none, they are read whole."""
        return 0

    def ask(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None = None,
    ) -> None:
        """Find the handler of a call and start it; without one, the call is answered at once."""
        path = target.partition("?")[0]
        try:
            handler, parts = find_handler(self.handlers, method, path)
        except LookupError:
            response = error_response(ErrorDetail(ErrorKind.NOT_FOUND, path))
            client.answer(response.status, "", response.body)
            return
        self._last_call_number += 1
        client.accepted(self._last_call_number, 0.0)
        request = ApiRequest(method, path, body, parts)
        self.nursery.start_soon(self._answer, client, handler, request, feed)

    async def _answer(
        self, client: Client, handler: ApiHandler, request: ApiRequest, feed: Feed | None
    ) -> None:
        if feed is not None and not await self._read_body(request, feed):
            client.answer(413, "", b"")
            return
        try:
            response = await handler.call(request)
        except Exception as error:  # the fault of one call must not end the process
            logs.log_event("request_failed", path=request.path, reason=repr(error))
            response = ApiResponse(500)
        client.answer(response.status, response.retry_after, response.body)

    async def _read_body(self, request: ApiRequest, feed: Feed) -> bool:
        """Read the rest of a body; False where it is too large."""
        while await feed.ready():
            request.body += feed.take()
            if len(request.body) > MAX_BODY_BYTES:
                feed.close()
                return False
        return True

    def leave(self, number: int) -> None:
        """Do nothing for a caller that has gone away: its call goes on."""


async def serve_http(link: Link, server: Host) -> None:
    """Serve one HTTP connection."""
    await server.serve(Http1Connection(link, server, patience=_PATIENCE), link)
