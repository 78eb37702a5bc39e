"""The HTTP server of the control plane: finds the handler of each call and has it answered."""

from __future__ import annotations

from collections.abc import Sequence

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
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import Client
from wickspring.net.fault_isolation import FaultStep, run_isolated
from wickspring.net.front_limits import FrontLimits
from wickspring.net.http1_front import Http1Connection
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link

MAX_BODY_BYTES = 4 << 20  # of one call; a configuration is the largest
_CLIENT_LIMITS = FrontLimits(first_byte_ms=10_000.0, head_ms=5_000.0, body_ms=10_000.0, idle_ms=30_000.0)


class ApiServer(HttpServer):
    """Serves the connections of servers and operators."""

    def __init__(self, nursery: trio.Nursery, limits: Limits) -> None:
        super().__init__(nursery, limits.memory_mb)
        self.handlers: Sequence[ApiHandler] = ()
        self._limits = limits
        self._last_call_number = 0

    @property
    def max_descriptors(self) -> int:
        """Return how many file descriptors this process may have."""
        return self._limits.max_fds

    @property
    def active_streams(self) -> int:
        """Return how many long bodies are being transferred: none, they are read whole."""
        return 0

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Find the handler of a call and start it; without one, the call is answered at once."""
        path = request.target.partition("?")[0]
        try:
            handler, parts = find_handler(self.handlers, request.method, path)
        except LookupError:
            response = error_response(ErrorDetail(ErrorKind.NOT_FOUND, path))
            client.respond(response.status, "", response.body)
            return
        self._last_call_number += 1
        client.request_accepted(self._last_call_number, 0.0)
        call = ApiRequest(request.method, path, request.body, parts)
        self.nursery.start_soon(
            run_isolated, FaultStep.API_CALL, self._answer, client, handler, call, request.body_stream
        )

    async def _answer(
        self, client: Client, handler: ApiHandler, request: ApiRequest, body_stream: BodyStream | None
    ) -> None:
        if body_stream is not None and not await self._read_body(request, body_stream):
            client.respond(413, "", b"")
            return
        try:
            response = await handler.call(request)
        except Exception as error:  # the fault of one call must not end the process
            logs.log_event("request_failed", path=request.path, reason=repr(error))
            response = ApiResponse(500)
        client.respond(response.status, response.retry_after, response.body)

    async def _read_body(self, request: ApiRequest, body_stream: BodyStream) -> bool:
        """Read the rest of a body; False where it is too large."""
        while await body_stream.wait_readable():
            request.body += body_stream.read_available()
            if len(request.body) > MAX_BODY_BYTES:
                body_stream.close()
                return False
        return True

    def client_disconnected(self, request_number: int) -> None:
        """Do nothing for a caller that has gone away: its call goes on."""


async def serve_http(link: Link, server: HttpServer) -> None:
    """Serve one HTTP connection."""
    await server.serve(Http1Connection(link, server, limits=lambda: _CLIENT_LIMITS), link)
