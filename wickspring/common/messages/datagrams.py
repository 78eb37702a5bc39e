"""Messages between data planes over UDP: SWIM probes, and changes of endpoints.

Each carries the address of its sender, which the receiver compares with where the datagram came from.
"""

from __future__ import annotations

from typing import TypeAlias, get_args

import msgspec

from wickspring.common.config_version import ConfigVersion, version_from_wire
from wickspring.common.messages.base import IpAddress, Message, MessageDecoder
from wickspring.common.messages.shared import EndpointRecord


class MembershipDigest(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What the sender knows of members whose names lie in a range (`membership.anti_entropy.Digest`)."""

    low: str  # the first name of the range; both ends empty: all names
    high: str  # the end of the range, exclusive
    versions: dict[str, tuple[float, int, int]]  # by member: incarnation, heartbeat, content number


class StateDigest(msgspec.Struct, array_like=True, frozen=True):
    """What data planes compare to find out who is behind."""

    config_version: int
    config_digest: bytes
    departure_count: int
    endpoints_digest: int  # `endpoints.endpoints_digest`

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the sender's configuration; None where it has none."""
        return version_from_wire(self.config_version, self.config_digest)


class MemberEntry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One member's entry (`membership.anti_entropy.Entry`)."""

    ip: IpAddress
    incarnation: float
    heartbeat: int
    content_number: int
    has_left: bool | None  # None: only the heartbeat is newer, the content is unchanged


class MemberSuspicion(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member that somebody could not reach (`membership.suspicions.Suspicion`)."""

    name: str
    incarnation: float
    heartbeat: int
    suspected_by: str


class GossipProbe(Message, tag="probe", frozen=True, forbid_unknown_fields=True):
    """Probes a member; answered by `GossipAck`. What the receiver learns from it is merged first."""

    sender: str
    probe_number: int
    members: MembershipDigest
    state: StateDigest
    suspicions: list[MemberSuspicion]


class GossipAck(Message, tag="word", frozen=True, forbid_unknown_fields=True):
    """Answers `GossipProbe`: the sender is alive, and these entries are newer than those of the probe."""

    sender: str
    probe_number: int
    entries: list[MemberEntry]
    state: StateDigest
    suspicions: list[MemberSuspicion]


class ProbeRequest(Message, tag="reach", frozen=True):
    """Asks the receiver to probe a member that did not answer the sender (SWIM's ping-req)."""

    sender: str
    probe_number: int
    target: IpAddress


class ProbeRequestAck(Message, tag="reached", frozen=True):
    """Answers `ProbeRequest` where the member has answered the sender's probe."""

    sender: str
    probe_number: int


class GossipedEndpoints(Message, tag="servers", frozen=True):
    """`EndpointsChanged`, passed on to a few other data planes by one to whom it was new."""

    sender: str
    endpoints: list[EndpointRecord]


class GossipedDepartures(Message, tag="leaving", frozen=True):
    """`EndpointsDeparting`, passed on to a few other data planes by one to whom it was new."""

    sender: str
    states: dict[str, int]


Datagram: TypeAlias = (
    GossipProbe | GossipAck | ProbeRequest | ProbeRequestAck | GossipedEndpoints | GossipedDepartures
)
DATAGRAMS: MessageDecoder[Datagram] = MessageDecoder(get_args(Datagram))
