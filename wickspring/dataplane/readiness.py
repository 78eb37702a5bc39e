"""The readiness probe of the platform: whether clients are to connect to this data plane."""

from __future__ import annotations

from typing import Protocol

import trio

from wickspring.net.calls import Client
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link

READINESS_PATH = "/readiness"
PROBE_FDS = 64
PROBE_IDLE_MS = 15_000.0


class HasReadiness(Protocol):
    """A process whose readiness is probed."""

    @property
    def is_ready(self) -> bool:
        """Whether clients are to connect."""


class ReadinessProbe(HttpServer):
    """Answers the platform on a listener of its own."""

    def __init__(self, process: HasReadiness, nursery: trio.Nursery, memory_mb: float) -> None:
        super().__init__(nursery, memory_mb)
        self._process = process

    @property
    def max_descriptors(self) -> int:
        """How many descriptors are for probes."""
        return PROBE_FDS

    @property
    def active_streams(self) -> int:
        """No body is streamed here."""
        return 0

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Answer 200 while clients are to connect, else 503."""
        ready = self._process.is_ready and request.target.startswith(READINESS_PATH)
        client.respond(200 if ready else 503, "", b"")

    def client_disconnected(self, request_number: int) -> None:
        """No request is in progress here."""


async def serve_readiness(link: Link, probe: ReadinessProbe) -> None:
    """Serve one connection of the platform."""
    await probe.serve(Http1Connection(link, probe, patience=Patience(idle=PROBE_IDLE_MS)), link)
