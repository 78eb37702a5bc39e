"""Messages between data planes over TCP: one that is behind fetches what another knows."""

from __future__ import annotations

from typing import TypeAlias, get_args

from wickspring.common.messages.base import Message, MessageDecoder
from wickspring.common.messages.shared import (
    ConfigOffer,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointSnapshot,
)


class FetchState(Message, tag="fetch", frozen=True):
    """Asks for all that the receiver knows; sent after gossip has shown that the sender is behind.

    The receiver answers with `ConfigOffer`, where its configuration is newer or another text, and with
    `EndpointSnapshot`, and closes the connection.
    """

    config_version: int  # of the sender
    config_digest: bytes


PeerRequest: TypeAlias = FetchState
PEER_REQUESTS: MessageDecoder[PeerRequest] = MessageDecoder((FetchState,))

PeerReply: TypeAlias = ConfigOffer | EndpointSnapshot | EndpointsChanged | EndpointsDeparting
PEER_REPLIES: MessageDecoder[PeerReply] = MessageDecoder(get_args(PeerReply))
