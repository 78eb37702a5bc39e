"""The HTTP server of the control plane: finds the handler of each call and has it answered."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

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
from wickspring.fault_isolation import FaultStep, run_isolated
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import Client
from wickspring.net.front_limits import FrontLimits
from wickspring.net.http1_front import Http1Connection
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link

MAX_BODY_BYTES = 4 << 20  # of one call; a configuration is the largest
BODIES_SHARE = 0.25  # of the memory, for the bodies that are being read together
_CLIENT_LIMITS = FrontLimits(
    first_byte_ms=10_000.0,
    head_ms=5_000.0,
    body_ms=10_000.0,
    idle_ms=30_000.0,
    max_body_bytes=MAX_BODY_BYTES,
)


class BodyEnd(Enum):
    """How the body of a call has ended."""

    COMPLETE = "complete"
    TOO_LONG = "too_long"
    BROKEN_OFF = "broken_off"  # its connection ended before


class ApiServer(HttpServer):
    """Serves the connections of servers and operators."""

    def __init__(self, nursery: trio.Nursery, limits: Limits) -> None:
        super().__init__(nursery, limits.memory_mb)
        self.handlers: Sequence[ApiHandler] = ()
        self._limits = limits
        self._last_call_number = 0
        self._body_streams: dict[int, BodyStream] = {}  # of calls whose bodies are being read, by number

    @property
    def max_descriptors(self) -> int:
        """Return how many file descriptors this process may have."""
        return self._limits.max_fds

    @property
    def active_streams(self) -> int:
        """Return how many long bodies are being read."""
        return len(self._body_streams)

    @property
    def can_stream(self) -> bool:
        """Whether one more long body can be read whole beside those that are being read."""
        bodies = len(self._body_streams) + 1
        return bodies * MAX_BODY_BYTES <= BODIES_SHARE * self.memory_mb * 2**20

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
        number = self._last_call_number
        client.request_accepted(number, 0.0)
        call = ApiRequest(request.method, path, request.body, parts)
        if request.body_stream is not None:
            self._body_streams[number] = request.body_stream
        self.nursery.start_soon(run_isolated, FaultStep.API_CALL, self._answer, client, handler, call, number)

    async def _answer(self, client: Client, handler: ApiHandler, request: ApiRequest, number: int) -> None:
        """Answer a call; one whose connection ends before its body is whole is dropped."""
        body_stream = self._body_streams.get(number)
        if body_stream is not None:
            try:
                end = await _read_body(request, body_stream)
            finally:
                self._body_streams.pop(number, None)
            if end is BodyEnd.TOO_LONG:
                client.respond(413, "", b"")
            if end is not BodyEnd.COMPLETE:
                return
        try:
            response = await handler.call(request)
        except Exception as error:  # the fault of one call must not end the process
            logs.log_event("request_failed", path=request.path, reason=repr(error))
            response = ApiResponse(500)
        client.respond(response.status, response.retry_after, response.body)

    def client_disconnected(self, request_number: int) -> None:
        """End a call whose body will not come whole; one that has come whole goes on without its caller."""
        body_stream = self._body_streams.get(request_number)
        if body_stream is not None and not body_stream.ended:
            body_stream.close()


async def _read_body(request: ApiRequest, body_stream: BodyStream) -> BodyEnd:
    """Read the rest of a body."""
    while await body_stream.wait_readable():
        request.body += body_stream.read_available()
        if len(request.body) > MAX_BODY_BYTES:
            body_stream.close()
            return BodyEnd.TOO_LONG
    return BodyEnd.COMPLETE if body_stream.ended else BodyEnd.BROKEN_OFF


async def serve_http(link: Link, server: HttpServer) -> None:
    """Serve one HTTP connection."""
    await server.serve(Http1Connection(link, server, limits=lambda: _CLIENT_LIMITS), link)
