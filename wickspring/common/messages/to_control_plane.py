"""What arrives on a connection that a control-plane node has accepted, from a data plane or another node."""

from __future__ import annotations

from typing import TypeAlias, get_args

from wickspring.common.messages.base import MessageDecoder, WireMessage
from wickspring.common.messages.between_nodes import NODE_REQUESTS, NodeRequest
from wickspring.common.messages.from_data_plane import DataPlaneRequest
from wickspring.common.messages.hello import Hello

ControlPlaneRequest: TypeAlias = DataPlaneRequest | NodeRequest


class ControlPlaneRequestDecoder(MessageDecoder[ControlPlaneRequest]):
    """The decoder of one accepted connection; it is not shared between connections.

    Some names stand for other messages when a node sends them. The decoder takes the sender for a data plane
    until its `Hello` says that it is a node.
    """

    def __init__(self) -> None:
        super().__init__(get_args(DataPlaneRequest))

    def decode(self, wire_message: WireMessage) -> ControlPlaneRequest | None:
        """Return the message, or None where its name is not known; raises as `MessageDecoder.decode`."""
        message = super().decode(wire_message)
        if isinstance(message, Hello) and message.is_node:
            self._kinds = dict(NODE_REQUESTS.kinds)
        return message
