"""Messages from a control-plane node to a data plane, over the connection that the data plane opened."""

from __future__ import annotations

from typing import Annotated, TypeAlias, get_args

import msgspec

from wickspring.common.config_status import QuorumContact
from wickspring.common.messages.base import IpAddress, Message, MessageDecoder
from wickspring.common.messages.shared import (
    ConfigOffer,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointSnapshot,
)


class QuotaTotal(Message, tag="sum", frozen=True):
    """Answers `AddQuota`: the request is within the quota while `total` is not above `limit`."""

    request_number: int
    total: int  # units in the span of the quota, with the one asked for
    limit: int
    window_remaining_ms: int | float  # until a refused client may come back


class QuotaOwnerMoved(Message, tag="moved", frozen=True):
    """Answers `AddQuota` where the receiver may not count; the data plane decides by itself."""

    request_number: int


class EndpointAdvice(Message, tag="berths", frozen=True):
    """Answers `RequestEndpointAdvice`; the data plane leaves out those that it knows to be unfit."""

    request_number: int
    offers: list[tuple[str, float]]  # endpoint id and cost, the lowest cost first
    known_endpoints: int  # ready endpoints of the service that the sender knows


class EndpointsLost(Message, tag="lost", frozen=True):
    """Endpoints whose heartbeats have stopped; sent by a node with stable contact to the quorum.

    The receiver takes them for lost until they are reported again.
    """

    endpoint_ids: list[str]


class DataPlanePeers(Message, tag="pilots", frozen=True):
    """Some other data planes, sent after `Hello`; the receiver begins to gossip with them."""

    ips: list[IpAddress]


class ClusterView(Message, tag="view", frozen=True):
    """The control plane as the sender knows it; sent after `Hello`, and when it changes.

    The receiver connects to all nodes named. It takes up a view of a higher epoch than its own: owners of
    counts are chosen anew, and usage is reported to them.
    """

    epoch: int
    chain: list[IpAddress]
    nodes: Annotated[list[IpAddress], msgspec.Meta(min_length=1)]  # reachable from the sender, itself first
    data_plane_count: int


class ControlPlaneHeartbeatReply(Message, tag="tock", frozen=True):
    """Answers `DataPlaneHeartbeat`.

    The receiver compares the digest of endpoints with its own, and takes the configuration as confirmed
    where the sender is in contact with the quorum.
    """

    epoch: int
    config_version: int
    data_plane_count: int
    endpoints_digest: int  # `endpoints.endpoints_digest`
    config_digest: bytes  # empty while it is the one last sent on this connection
    contact: QuorumContact


ControlPlaneMessage: TypeAlias = (
    QuotaTotal
    | QuotaOwnerMoved
    | EndpointAdvice
    | EndpointsChanged
    | EndpointsDeparting
    | EndpointsLost
    | EndpointSnapshot
    | DataPlanePeers
    | ConfigOffer
    | ClusterView
    | ControlPlaneHeartbeatReply
)
CONTROL_PLANE_MESSAGES: MessageDecoder[ControlPlaneMessage] = MessageDecoder(get_args(ControlPlaneMessage))
