"""Stand-ins for clients and servers of a simulated gateway."""

from __future__ import annotations

from collections.abc import Callable

from wickspring.dataplane.upstream import BufferedResponse
from wickspring.interface import Status
from wickspring.net.calls import INTERNAL_SERVER_ERROR
from wickspring.net.octets import header
from wickspring.net.upstream.exchange import ServerExchange
from wickspring.net.upstream.manager import UpstreamManager

SERVICE_TIME_MS = 50.0
SEAL = [header("x-server-seal", "1.1.1.1.1.1")]  # present in any success of a server


class StubUpstream(UpstreamManager):
    """Upstream connections without a network: each attempt succeeds after `SERVICE_TIME_MS`."""

    def start(self, exchange: ServerExchange) -> None:
        """Answer an attempt later."""
        on_end = exchange.on_end
        response = BufferedResponse(Status.OK, code=200, pairs=SEAL)
        self.timers.at(self.clock.now() + SERVICE_TIME_MS, lambda: on_end(response))


class StubCaller:
    """The receiving side of a request from a client, a server or an operator; only the status is used."""

    def __init__(self, on_status: Callable[[int], None] = lambda _: None) -> None:
        self._on_status = on_status

    def request_accepted(self, number: int, budget: float) -> None:
        """Ignore that the request was accepted."""

    def begin_response(self, length: int | None) -> None:
        """Ignore the start of a streamed response."""

    def write_body(self, data: bytes) -> None:
        """Drop a piece of a streamed response."""

    async def wait_writable(self) -> bool:
        """Return at once: there is always room for more."""
        return True

    def end_response(self, complete: bool) -> None:
        """Ignore the end of a streamed response."""

    def fail_request(self) -> None:
        """Report a fault of the program."""
        self._on_status(INTERNAL_SERVER_ERROR)

    def respond(self, status: int, retry_after: str, body: bytes) -> None:
        """Report the status of a complete response."""
        self._on_status(status)
