"""Messages between the nodes of the control plane.

Each node opens a connection to each other. `NodeRequest` goes from the node that connected; only `NodeReply`
comes back on the same connection.
"""

from __future__ import annotations

from typing import Any, TypeAlias, get_args

import msgspec

from wickspring.common.config_version import ConfigVersion
from wickspring.common.messages.base import IpAddress, Message, MessageDecoder
from wickspring.common.messages.hello import Hello
from wickspring.common.messages.shared import EndpointsChanged

_NO_CONFIG_NUMBER = 0  # as nodes of earlier versions report it
_VERSION_0_NUMBER = -1  # no digest beside it would tell r0 from no configuration


def node_status_version(version: ConfigVersion) -> int:
    """Return the number that stands for a version in `NodeStatus`."""
    if version is None:
        return _NO_CONFIG_NUMBER
    return version or _VERSION_0_NUMBER


class NodeStatus(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """How a node is, as it reports with each heartbeat."""

    disk_id: str
    epoch: int  # of its view
    config_epoch: int  # in which its committed configuration was written
    config_version: int  # of its committed configuration, by `node_status_version`
    departure_count: int  # of committed departures
    departure_checksum: int
    config_identity: bytes  # of the stored configuration, with its history
    is_unhealthy: bool  # its disk is too slow, or it is stopping
    zone: str
    control_address: str  # IP:port of its API
    reachable_ips: list[str]  # the nodes that it reaches

    @property
    def committed_version(self) -> ConfigVersion:
        """Return the version of the node's committed configuration; None where it knows of none."""
        if self.config_version == _NO_CONFIG_NUMBER:
            return None
        return max(self.config_version, 0)


class NodeHeartbeat(Message, tag="tick", frozen=True):
    """Shows that the sender is alive and asks for its lease to be extended.

    Sent to every node each `replication.node.HEARTBEAT_MS`; answered by `NodeHeartbeatReply`.
    """

    sent_at_ms: float  # by the sender's clock


class ListNodes(Message, tag="cores", frozen=True):
    """Asks which nodes the receiver reaches; answered by `NodeList`."""


class ChainMessage(Message, tag="chain", frozen=True):
    """A message of the replication protocol; the receiver queues it for its chain.

    The payload is an array that `controlplane.replication` defines and checks: what is wrong with it is
    logged there, and does not end the connection.
    """

    payload: Any  # of any form: checked by the decoder of the protocol


class SubmitUpdate(Message, tag="enter", frozen=True):
    """Asks the head of the chain to commit an update for the sender; answered by `UpdateOutcome`."""

    ticket: int  # of the sender
    update: tuple[int, bytes, dict[str, int]]  # `Update.pack`: version, document, departures
    with_state: bool  # the committed state is wanted with the answer


class UpdateOutcome(Message, tag="entered", frozen=True):
    """Answers `SubmitUpdate`; sent on the connection that the head opened itself."""

    ticket: int  # of the update's sender
    outcome: int  # `replica.CommitOutcome`
    state: object  # `Replica.pack`, or None where it was not asked for or not committed


class ReplicatedCounts(Message, tag="shadow", frozen=True):
    """Recent usage of tenants with little quota left, sent by the owner of their counts to all nodes.

    The receiver keeps it in case it becomes the owner.
    """

    windows_by_tenant: dict[str, list[tuple[int, int]]]  # how many windows ago, units spent in that window


class QuotaShares(Message, tag="shares", frozen=True):
    """What the next owner of counts must reserve for, sent by their owner to all nodes.

    The receiver keeps it in case it becomes the owner. A data plane that it reaches itself is not taken for
    unresponsive.
    """

    unresponsive_ms: dict[str, float]  # by data plane: for how long units are still reserved for it
    shares_by_tenant: dict[str, dict[str, float]]  # of the units in the span, by tenant and data plane


class EndpointHeartbeats(Message, tag="alive", frozen=True):
    """Endpoints whose heartbeats the sender has received since the last such message.

    The receiver notes them as alive, and asks by `RequestEndpoints` for those that it does not know.
    """

    sequences: list[tuple[str, int]]  # endpoint id, sequence number of its last heartbeat


class RequestEndpoints(Message, tag="tell", frozen=True):
    """Asks for endpoints by id; answered by `EndpointsChanged` with those that the receiver knows."""

    endpoint_ids: list[str]


class NodeHeartbeatReply(Message, tag="tock", frozen=True):
    """Answers `NodeHeartbeat`; the receiver notes the status and the grant of the lease."""

    ip: str  # of the sender
    status: NodeStatus
    asked_at_ms: float  # `sent_at_ms` of the heartbeat
    granted_epoch: int  # for which the lease is granted; 0: it is not


class NodeList(Message, tag="cores", frozen=True):
    """Answers `ListNodes`; the receiver connects to those that it does not know."""

    ips: list[IpAddress]


NodeRequest: TypeAlias = (
    Hello
    | NodeHeartbeat
    | ListNodes
    | ChainMessage
    | SubmitUpdate
    | UpdateOutcome
    | EndpointsChanged
    | ReplicatedCounts
    | QuotaShares
    | EndpointHeartbeats
    | RequestEndpoints
)
NODE_REQUESTS: MessageDecoder[NodeRequest] = MessageDecoder(get_args(NodeRequest))

NodeReply: TypeAlias = NodeHeartbeatReply | NodeList
NODE_REPLIES: MessageDecoder[NodeReply] = MessageDecoder(get_args(NodeReply))
