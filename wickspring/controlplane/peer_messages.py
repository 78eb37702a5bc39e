"""Messages from other control-plane nodes that are no part of the replication protocol."""

from __future__ import annotations

from wickspring.common.connection import Message
from wickspring.controlplane.endpoint_service import EndpointService
from wickspring.controlplane.quota_service import QuotaService
from wickspring.controlplane.replication.node import ReplicationNode


class NodeMessageHandler:
    """Dispatches what other nodes replicate of endpoints and counts."""

    def __init__(self, replication: ReplicationNode, endpoints: EndpointService, quota: QuotaService) -> None:
        self._replication = replication
        self._endpoints = endpoints
        self._quota = quota
        self._handlers = {
            "servers": self._on_endpoints,
            "shadow": self._on_replicated_counts,
            "shares": self._on_quota_shares,
            "alive": self._on_liveness,
            "tell": self._on_endpoint_request,
        }

    def receive(self, node_ip: str, message: Message) -> None:
        """Handle a message of another node; those with unknown names are ignored."""
        handler = self._handlers.get(message[0])
        if handler is not None:
            handler(node_ip, message)

    def _on_endpoints(self, node_ip: str, message: Message) -> None:
        self._endpoints.receive_endpoints(message[1])

    def _on_replicated_counts(self, node_ip: str, message: Message) -> None:
        self._quota.receive_replicated(message[1])

    def _on_quota_shares(self, node_ip: str, message: Message) -> None:
        self._quota.receive_shares(message[1], message[2])

    def _on_liveness(self, node_ip: str, message: Message) -> None:
        sequences = [(str(endpoint_id), int(sequence)) for endpoint_id, sequence in message[1]]
        missing = self._endpoints.receive_liveness(sequences)
        if missing:
            self._replication.say(node_ip, "tell", missing)

    def _on_endpoint_request(self, node_ip: str, message: Message) -> None:
        endpoint_ids = [str(endpoint_id) for endpoint_id in message[1]]
        self._replication.say(node_ip, "servers", self._endpoints.pack_known(endpoint_ids))
