"""Messages from a data plane to a control-plane node, over the connection that the data plane opened."""

from __future__ import annotations

from typing import TypeAlias, get_args

from msgspec import UNSET, UnsetType

from wickspring.common.messages.base import Message, MessageDecoder, encode_wire_message
from wickspring.common.messages.hello import Hello


class AddQuota(Message, tag="add", frozen=True):
    """Asks for one unit of a tenant's quota; sent for each request of a tenant with a limit.

    The owner of the count answers with `QuotaTotal`, or with `QuotaOwnerMoved` where it is not the owner.
    """

    request_number: int
    tenant: str
    is_retry: bool  # the client was refused before and has come back
    epoch: int  # of the view by which the receiver was chosen: the fencing token


class RequestEndpointAdvice(Message, tag="berth", frozen=True):
    """Asks for the endpoints of a service that are best taken now; sent before a request is forwarded.

    The receiver answers with `EndpointAdvice`.
    """

    request_number: int
    service: str
    zone: str  # of the data plane


class RequestStarted(Message, tag="out", frozen=True):
    """Reports that a request is sent to an endpoint, so that the receiver counts it as in flight."""

    endpoint_id: str


class RequestFinished(Message, tag="in", frozen=True):
    """Reports the end of a request that `RequestStarted` was sent for."""

    endpoint_id: str
    latency_ratio: float  # to the typical latency; 0 where it was turned away, below 0 where it failed


class QuotaSpent(Message, tag="spent", frozen=True):
    """Reports a unit that was spent without the owner's answer; the receiver adds it to the count."""

    tenant: str


class QuotaRefund(Message, tag="back", frozen=True):
    """Gives back the unit of a request that has not run and never will."""

    tenant: str


class UsageReport(Message, tag="past", frozen=True):
    """Reports what the sender has spent of late, after `Hello` and when the view changes.

    The receiver puts it in the place of what it has counted for the sender, from the oldest window on.
    """

    tenant: str
    windows: list[tuple[int, int]]  # how many windows ago, units spent in that window
    share: float = 0.0  # of all units of the tenant, that is the sender's; 0 where it is not known

    def encode(self) -> bytes:
        """Return the bytes for the wire; a share that is not known is left out, as earlier versions do."""
        if self.share:
            return super().encode()
        return encode_wire_message((self.wire_name, self.tenant, self.windows))


class DataPlaneHeartbeat(Message, tag="tick", frozen=True):
    """Shows that the sender is alive; sent every `connection.HEARTBEAT_MS`.

    The configuration is left out, both fields together, while it is the one last reported on this
    connection. The receiver answers with `ControlPlaneHeartbeatReply`. Without a configuration it is sent as
    `_BARE_HEARTBEAT`, which has no fields: `encode` must change for a further field to be sent then.
    """

    config_version: int | UnsetType = UNSET
    config_digest: bytes | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Refuse one of the two fields without the other."""
        if (self.config_version is UNSET) != (self.config_digest is UNSET):
            raise ValueError("a configuration is reported by its version and its digest")

    def encode(self) -> bytes:
        """Return the bytes for the wire; fields that are not set are left out."""
        return _BARE_HEARTBEAT if self.config_version is UNSET else super().encode()


_BARE_HEARTBEAT = b"\x91\xa4tick"  # the array ["tick"]


class RequestFullState(Message, tag="whole", frozen=True):
    """Asks for all endpoints; sent when the digests of the two sides differ.

    The receiver answers with `ClusterView` and `EndpointSnapshot`.
    """


DataPlaneRequest: TypeAlias = (
    Hello
    | AddQuota
    | RequestEndpointAdvice
    | RequestStarted
    | RequestFinished
    | QuotaSpent
    | QuotaRefund
    | UsageReport
    | DataPlaneHeartbeat
    | RequestFullState
)
DATA_PLANE_REQUESTS: MessageDecoder[DataPlaneRequest] = MessageDecoder(get_args(DataPlaneRequest))
