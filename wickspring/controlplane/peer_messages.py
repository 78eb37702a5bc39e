"""Messages from other control-plane nodes that are no part of the replication protocol."""

from __future__ import annotations

from wickspring.common.messages import (
    EndpointHeartbeats,
    EndpointsChanged,
    NodeRequest,
    QuotaShares,
    ReplicatedCounts,
    RequestEndpoints,
)
from wickspring.controlplane.endpoint_service import EndpointService
from wickspring.controlplane.quota_service import QuotaService
from wickspring.controlplane.replication.node import ReplicationNode


class NodeMessageHandler:
    """Dispatches what other nodes replicate of endpoints and counts."""

    def __init__(self, replication: ReplicationNode, endpoints: EndpointService, quota: QuotaService) -> None:
        self._replication = replication
        self._endpoints = endpoints
        self._quota = quota

    def receive(self, node_ip: str, message: NodeRequest) -> None:
        """Handle a message of another node; those of the replication protocol are ignored."""
        match message:
            case EndpointsChanged():
                self._endpoints.receive_endpoints(message.endpoints)
            case EndpointHeartbeats():
                self._on_heartbeats(node_ip, message)
            case RequestEndpoints():
                self._on_endpoint_request(node_ip, message)
            case ReplicatedCounts():
                self._quota.receive_replicated(message)
            case QuotaShares():
                self._quota.receive_shares(message)

    def _on_heartbeats(self, node_ip: str, heartbeats: EndpointHeartbeats) -> None:
        missing = self._endpoints.receive_liveness(heartbeats.sequences)
        if missing:
            self._replication.send(node_ip, RequestEndpoints(missing))

    def _on_endpoint_request(self, node_ip: str, request: RequestEndpoints) -> None:
        records = self._endpoints.known_records(request.endpoint_ids)
        self._replication.send(node_ip, EndpointsChanged(records))
