"""The state of this data plane, as other data planes compare, fetch and extend it."""

from __future__ import annotations

from wickspring.common.config_version import ConfigVersion, is_newer, version_to_wire
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import ConfigOffer, EndpointRecord, EndpointSnapshot, PeerReply, StateDigest
from wickspring.dataplane.control_client.client import ControlClient
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.net.clock import Clock


class DataPlaneState:
    """Implements `state_exchange.LocalState` by the configuration and the endpoint table."""

    def __init__(self, clock: Clock, control_client: ControlClient, endpoints: EndpointTable) -> None:
        self._clock = clock
        self._control_client = control_client
        self._endpoints = endpoints

    def digest(self) -> StateDigest:
        """Return what other data planes compare with theirs."""
        adopted = self._control_client.config.adoption
        departure_count = len(self._endpoints.departures)
        return StateDigest(
            version_to_wire(adopted.version), adopted.digest, departure_count, self._endpoints.digest()
        )

    def send(self, connection: PeerConnection, version: ConfigVersion, digest: bytes) -> None:
        """Send all that is known; the configuration only if newer than, or of another text than, these."""
        self._send_config(connection, version, digest)
        now = self._clock.now()
        records = [
            known.endpoint.to_record(now)
            for known in self._endpoints.by_id.values()
            if not known.unresponsive
        ]
        in_contact = self._control_client.in_contact
        connection.send(EndpointSnapshot(records, self._endpoints.departures, in_contact))

    def _send_config(self, connection: PeerConnection, version: ConfigVersion, digest: bytes) -> None:
        config = self._control_client.config
        own_version = config.adoption.version
        own_digest = config.adoption.digest
        if own_version is None:
            return
        if is_newer(own_version, version) or (own_version == version and own_digest != digest):
            status = self._control_client.config_status
            connection.send(ConfigOffer(own_version, config.compressed_document, own_digest, status))

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Handle what another data plane has sent in answer to a fetch."""
        self._control_client.on_peer_message(connection, message)

    def on_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Update endpoints that another data plane has passed on."""
        self._control_client.endpoint_sync.on_changes(endpoints)

    def on_departures(self, states: dict[str, int]) -> None:
        """Record departures that another data plane has passed on, as states by endpoint id."""
        self._control_client.endpoint_sync.on_departures(states)

    def is_isolated(self) -> bool:
        """Return whether no control plane is reachable."""
        return not self._control_client.connections.live
