"""The readiness probe of the platform: whether clients are to connect to this data plane."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import trio

from wickspring.net.calls import Client
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.link import Link

READINESS_PATH = "/readiness"
PROBE_FDS = 64
PROBE_IDLE_MS = 15_000.0


class HasReadiness(Protocol):
    """A process whose readiness is probed."""

    @property
    def is_ready(self) -> bool:
        """Whether clients are to connect."""


class ReadinessProbe(Host):
    """Answers the platform on a listener of its own."""

    def __init__(self, process: HasReadiness, nursery: trio.Nursery, memory_mb: float) -> None:
        super().__init__(nursery, memory_mb)
        self._process = process

    @property
    def sockets(self) -> int:
        """How many descriptors are for probes."""
        return PROBE_FDS

    @property
    def flowing(self) -> int:
        """No body is streamed here."""
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
        """Answer 200 while clients are to connect, else 503."""
        ready = self._process.is_ready and target.startswith(READINESS_PATH)
        client.answer(200 if ready else 503, "", b"")

    def leave(self, number: int) -> None:
        """No request is in progress here."""


async def serve_readiness(link: Link, probe: ReadinessProbe) -> None:
    """Serve one connection of the platform."""
    await probe.serve(Http1Connection(link, probe, patience=Patience(idle=PROBE_IDLE_MS)), link)
