"""Anti-entropy among data planes: one that is behind another fetches the other's state over a connection.

Data planes compare digests of their state with each probe (`dataplane.gossip`). The one that finds itself
behind connects to the other and sends `FetchState`; the other answers with its configuration and endpoints,
and closes the connection. No version of the configuration ever goes back (`policy.config_adoption`).
"""

from __future__ import annotations

from typing import Protocol

import trio

from wickspring.common.config_version import ConfigVersion, is_newer, version_from_wire
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import (
    PEER_REPLIES,
    PEER_REQUESTS,
    EndpointRecord,
    FetchState,
    PeerReply,
    PeerRequest,
    StateDigest,
)
from wickspring.fault_isolation import FaultStep, run_isolated
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect

FETCH_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_MS = 300.0


class LocalState(Protocol):
    """What a data plane knows, as other data planes compare, fetch and extend it."""

    def digest(self) -> StateDigest:
        """Return what data planes compare to find out who is behind."""

    def send(self, connection: PeerConnection, version: ConfigVersion, digest: bytes) -> None:
        """Send all that is known; the configuration only if newer than, or of another text than, these."""

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Handle what another data plane has sent in answer to a fetch."""

    def on_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Update endpoints that another data plane has passed on."""

    def on_departures(self, states: dict[str, int]) -> None:
        """Record departures that another data plane has passed on, as states by endpoint id."""

    def is_isolated(self) -> bool:
        """Return whether no control plane is reachable."""


class StateExchange:
    """Fetches the state of data planes that are ahead, and sends the own state to those that fetch it."""

    def __init__(self, port: int, clock: Clock, nursery: trio.Nursery, local_state: LocalState) -> None:
        self.local_state = local_state
        self._port = port
        self._clock = clock
        self._nursery = nursery
        self._is_fetching = False

    def compare(self, ip: str, theirs: StateDigest) -> None:
        """Fetch the state of a data plane that is ahead, or, while isolated, of one that differs."""
        if self._is_fetching or not self._is_wanted(theirs):
            return
        self._is_fetching = True
        self._nursery.start_soon(run_isolated, FaultStep.PEER_MESSAGE, self._fetch_once, ip)

    def _is_wanted(self, theirs: StateDigest) -> bool:
        own = self.local_state.digest()
        is_newer_config = is_newer(theirs.version, own.version)
        if is_newer_config or theirs.departure_count > own.departure_count:
            return True
        other_text = theirs.version == own.version and theirs.config_digest != own.config_digest
        differs = other_text or theirs.endpoints_digest != own.endpoints_digest
        return differs and self.local_state.is_isolated()

    async def _fetch_once(self, ip: str) -> None:
        try:
            await self.fetch(ip)
        finally:
            self._is_fetching = False

    async def fetch(self, ip: str) -> None:
        """Fetch the state of a data plane, for `FETCH_TIMEOUT_S` at most."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            sock = await connect((ip, self._port), CONNECT_TIMEOUT_MS)
            if sock is not None:
                await self._read_state(PeerConnection(Link(sock, self._nursery), self._clock))

    async def _read_state(self, connection: PeerConnection) -> None:
        own = self.local_state.digest()
        try:
            connection.send(FetchState(own.config_version, own.config_digest))
            await connection.read(self.local_state.on_peer_message, PEER_REPLIES)
        finally:
            connection.close()

    async def serve(self, connection: PeerConnection) -> None:
        """Send the state to a data plane that fetches it."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            await connection.read(self.on_fetch, PEER_REQUESTS)
        connection.close()

    def on_fetch(self, connection: PeerConnection, request: PeerRequest) -> None:
        """Answer a fetch, and close the connection once all is sent."""
        version = version_from_wire(request.config_version, request.config_digest)
        self.local_state.send(connection, version, request.config_digest)
        connection.link.finish()
