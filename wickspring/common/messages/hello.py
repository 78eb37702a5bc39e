"""The message that opens a connection to a process of the control plane."""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from wickspring.common.config_version import ConfigVersion, version_from_wire
from wickspring.common.messages.base import IpAddress, Message

ROLE_NODE = "core"  # names are fixed by the wire
ROLE_DATA_PLANE = "pilot"


class HelloAttributes(
    msgspec.Struct, frozen=True, rename={"config_version": "version", "config_digest": "digest"}
):
    """What the caller says of itself: a data plane its configuration and zone, a node nothing."""

    config_version: int | UnsetType = UNSET
    config_digest: bytes | UnsetType = UNSET
    zone: str | UnsetType = UNSET


class Hello(Message, tag="hello", frozen=True):
    """The first message on a connection to a control-plane node, sent by the process that connects.

    The receiver notes the caller's address and role. It answers a data plane with `ClusterView`,
    `DataPlanePeers`, `EndpointSnapshot` and, where the data plane's is older, `ConfigOffer`; it connects
    back to a node. Any role but `ROLE_NODE` is taken for a data plane's.
    """

    role: str
    ip: IpAddress
    attributes: HelloAttributes

    @property
    def is_node(self) -> bool:
        """Tell whether a control-plane node has connected."""
        return self.role == ROLE_NODE

    @property
    def config_version(self) -> ConfigVersion:
        """Return the version of the sender's configuration; None where it has none."""
        version = self.attributes.config_version
        return None if version is UNSET else version_from_wire(version, self.config_digest)

    @property
    def config_digest(self) -> bytes:
        """Return the digest of the sender's configuration; empty where it has none."""
        digest = self.attributes.config_digest
        return b"" if digest is UNSET else digest
