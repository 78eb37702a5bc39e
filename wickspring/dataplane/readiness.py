"""Readiness: when the start of this data plane is complete, and the probe by which the platform asks.

The listener of the probe also gives the metrics of the process.

`DataPlane.is_ready` in `dataplane.process` decides: the start is complete, and the process does not drain.
"""

from __future__ import annotations

from typing import Protocol

import trio

from wickspring.common import logs
from wickspring.common.metrics import METRICS_PATH, Sample, render_metrics
from wickspring.dataplane.control_client.client import ControlClient
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.net.calls import Client
from wickspring.net.clock import Clock
from wickspring.net.front_limits import FrontLimits
from wickspring.net.http1_front import Http1Connection
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.link import Link

READY_BY_ONE_MS = 2500.0  # since the start, after which one control plane's endpoints suffice to be ready
READINESS_PATH = "/readiness"
PROBE_FDS = 64
MISSES_UNTIL_OUT = 2  # probes in a row not answered 200, after which the platform sends no more clients
PROBE_LIMITS = FrontLimits(idle_ms=15_000.0)


class StartupCheck:
    """Tells when a data plane that starts knows enough to forward requests; from then on it always does."""

    def __init__(self, clock: Clock, control_client: ControlClient, endpoints: EndpointTable) -> None:
        self._clock = clock
        self._control_client = control_client
        self._endpoints = endpoints
        self._started_at = clock.now()
        self._is_complete = False

    def is_complete(self) -> bool:
        """Return whether a configuration and enough endpoints have been received since the start."""
        if not self._is_complete and self._knows_enough():
            self._is_complete = True
            version = self._control_client.config.routing_table.version
            logs.log_event("ready", version=version, endpoints=len(self._endpoints.by_id))
        return self._is_complete

    def _knows_enough(self) -> bool:
        control_client = self._control_client
        if not self._endpoints.accepting:
            return False
        if control_client.is_synchronized:
            return True
        if self._clock.now() - self._started_at <= READY_BY_ONE_MS:
            return False
        has_config = control_client.config.routing_table.version is not None
        return has_config and bool(control_client.endpoint_sync.complete_from)


class ProbedProcess(Protocol):
    """A process whose readiness is probed, and whose metrics are read."""

    @property
    def is_ready(self) -> bool:
        """Whether clients are to connect."""

    def metrics(self) -> list[Sample]:
        """Return the metrics of the process."""


class ReadinessProbe(HttpServer):
    """Answers the platform on a listener of its own."""

    def __init__(self, process: ProbedProcess, nursery: trio.Nursery, memory_mb: float) -> None:
        super().__init__(nursery, memory_mb)
        self._process = process
        self._misses = 0  # probes in a row that were answered by something else than 200

    @property
    def platform_knows(self) -> bool:
        """Whether the platform has been told often enough that no more clients are to connect."""
        return self._misses >= MISSES_UNTIL_OUT

    @property
    def max_descriptors(self) -> int:
        """How many descriptors are for probes."""
        return PROBE_FDS

    @property
    def active_streams(self) -> int:
        """No body is streamed here."""
        return 0

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Give the metrics, or answer 200 while clients are to connect, else 503."""
        if request.target == METRICS_PATH:
            client.respond(200, "", render_metrics(self._process.metrics()))
            return
        ready = self._process.is_ready and request.target.startswith(READINESS_PATH)
        self._misses = 0 if ready else self._misses + 1
        client.respond(200 if ready else 503, "", b"")

    def client_disconnected(self, request_number: int) -> None:
        """No request is in progress here."""


async def serve_readiness(link: Link, probe: ReadinessProbe) -> None:
    """Serve one connection of the platform."""
    await probe.serve(Http1Connection(link, probe, limits=lambda: PROBE_LIMITS), link)
