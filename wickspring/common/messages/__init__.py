"""The messages between the processes of the system, one class each.

On the wire a message is a msgpack array: its name, then its fields in order. A name is fixed by the wire and
often older than the class (`tick` is `NodeHeartbeat` between nodes and `DataPlaneHeartbeat` from a data
plane), so the same name may stand for different classes in different directions. There is one module and one
closed union of classes for each direction:

===================================  =====================  ============================
Direction                            Union                  Decoder
===================================  =====================  ============================
data plane -> control plane          `DataPlaneRequest`     `DATA_PLANE_REQUESTS`
control plane -> data plane          `ControlPlaneMessage`  `CONTROL_PLANE_MESSAGES`
control-plane node -> node           `NodeRequest`          `NODE_REQUESTS`
the called node -> calling node      `NodeReply`            `NODE_REPLIES`
data plane -> data plane (fetch)     `PeerRequest`          `PEER_REQUESTS`
the called data plane -> caller      `PeerReply`            `PEER_REPLIES`
data plane -> data plane (UDP)       `Datagram`             `DATAGRAMS`
===================================  =====================  ============================

A control-plane node accepts connections of both data planes and nodes, and chooses the decoder by what the
sender says in its `Hello` (`controlplane.peer_server`).

A decoder checks the number and the types of the fields. It raises `msgspec.ValidationError` (one of
`connection.DECODE_ERRORS`) for a message that does not fit its class, and returns None for a name that is not
of its direction: a newer version may send more kinds of messages, and those must not end a connection.

To add a message:

1. Write a class in the module of its direction: `class Name(Message, tag="name_on_the_wire")`, with typed
   fields, units in their names, and a docstring that says who sends it, when, and what the receiver does.
2. Add it to the union below the classes; the decoder follows the union.
3. Handle it where the union is matched on. mypy names a `match` with `assert_never` that lacks a case.
4. Add a recorded example to `tests/fixtures/messages.json` and its class to
   `tests/common/test_compatibility.py`, which fails for a class without an example.

To add a field to a message, put it last and give it a default: an older sender leaves it out, and an older
receiver passes over what follows the fields that it knows, except in classes with `forbid_unknown_fields`.
Never reorder, retype or remove a field.
"""

from wickspring.common.messages.base import (
    IpAddress,
    Message,
    MessageDecoder,
    WireMessage,
)
from wickspring.common.messages.between_data_planes import (
    PEER_REPLIES,
    PEER_REQUESTS,
    FetchState,
    PeerReply,
    PeerRequest,
)
from wickspring.common.messages.between_nodes import (
    NODE_REPLIES,
    NODE_REQUESTS,
    ChainMessage,
    EndpointHeartbeats,
    ListNodes,
    NodeHeartbeat,
    NodeHeartbeatReply,
    NodeList,
    NodeReply,
    NodeRequest,
    NodeStatus,
    QuotaShares,
    ReplicatedCounts,
    RequestEndpoints,
    SubmitUpdate,
    UpdateOutcome,
)
from wickspring.common.messages.datagrams import (
    DATAGRAMS,
    Datagram,
    GossipAck,
    GossipedDepartures,
    GossipedEndpoints,
    GossipProbe,
    MemberEntry,
    MembershipDigest,
    MemberSuspicion,
    ProbeRequest,
    ProbeRequestAck,
    StateDigest,
)
from wickspring.common.messages.from_control_plane import (
    CONTROL_PLANE_MESSAGES,
    ClusterView,
    ControlPlaneHeartbeatReply,
    ControlPlaneMessage,
    DataPlanePeers,
    EndpointAdvice,
    EndpointsLost,
    QuotaOwnerMoved,
    QuotaTotal,
)
from wickspring.common.messages.from_data_plane import (
    DATA_PLANE_REQUESTS,
    AddQuota,
    DataPlaneHeartbeat,
    DataPlaneRequest,
    QuotaRefund,
    QuotaSpent,
    RequestEndpointAdvice,
    RequestFinished,
    RequestFullState,
    RequestStarted,
    UsageReport,
)
from wickspring.common.messages.hello import (
    ROLE_DATA_PLANE,
    ROLE_NODE,
    Hello,
    HelloAttributes,
)
from wickspring.common.messages.shared import (
    ConfigOffer,
    EndpointRecord,
    EndpointsChanged,
    EndpointsDeparting,
    EndpointSnapshot,
)

__all__ = [
    "CONTROL_PLANE_MESSAGES",
    "DATAGRAMS",
    "DATA_PLANE_REQUESTS",
    "NODE_REPLIES",
    "NODE_REQUESTS",
    "PEER_REPLIES",
    "PEER_REQUESTS",
    "ROLE_DATA_PLANE",
    "ROLE_NODE",
    "AddQuota",
    "ChainMessage",
    "ClusterView",
    "ConfigOffer",
    "ControlPlaneHeartbeatReply",
    "ControlPlaneMessage",
    "DataPlaneHeartbeat",
    "DataPlanePeers",
    "DataPlaneRequest",
    "Datagram",
    "EndpointAdvice",
    "EndpointHeartbeats",
    "EndpointRecord",
    "EndpointSnapshot",
    "EndpointsChanged",
    "EndpointsDeparting",
    "EndpointsLost",
    "FetchState",
    "GossipAck",
    "GossipProbe",
    "GossipedDepartures",
    "GossipedEndpoints",
    "Hello",
    "HelloAttributes",
    "IpAddress",
    "ListNodes",
    "MemberEntry",
    "MemberSuspicion",
    "MembershipDigest",
    "Message",
    "MessageDecoder",
    "NodeHeartbeat",
    "NodeHeartbeatReply",
    "NodeList",
    "NodeReply",
    "NodeRequest",
    "NodeStatus",
    "PeerReply",
    "PeerRequest",
    "ProbeRequest",
    "ProbeRequestAck",
    "QuotaOwnerMoved",
    "QuotaRefund",
    "QuotaShares",
    "QuotaSpent",
    "QuotaTotal",
    "ReplicatedCounts",
    "RequestEndpointAdvice",
    "RequestEndpoints",
    "RequestFinished",
    "RequestFullState",
    "RequestStarted",
    "StateDigest",
    "SubmitUpdate",
    "UpdateOutcome",
    "UsageReport",
    "WireMessage",
]
