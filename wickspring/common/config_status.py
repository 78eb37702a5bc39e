"""Commit status of a copy of the configuration, and quorum contact of a node, as processes report them.

The numbers are fixed by the wire (`ConfigOffer`, `ControlPlaneHeartbeatReply`); a higher one means more.
"""

from __future__ import annotations

from enum import IntEnum


class ConfigStatus(IntEnum):
    """Whether the sender knows the configuration that it sends to be committed, and to be the newest."""

    STORED = 0  # on a node's disk; whether it was ever committed is not known
    COMMITTED = 1  # it has been committed; there may be newer ones
    CURRENT = 2  # committed, and sent by a process in contact with a majority of the control plane

    @property
    def label(self) -> str:
        """Return the name in logs, which operators know (`docs/operators/gateway.md`)."""
        return _CONFIG_STATUS_LABELS[self]


class QuorumContact(IntEnum):
    """Whether a control-plane node reaches a majority of the voters, and whether for long enough."""

    NONE = 0  # no majority answers: what the node knows may be old, and it confirms nothing
    RECENT = 1  # a majority answers, but not for long enough to have reported every endpoint
    STABLE = 2  # a majority has answered for longer than endpoints need to send a heartbeat

    @property
    def label(self) -> str:
        """Return the name in the JSON of a node's status, which is fixed."""
        return _QUORUM_CONTACT_LABELS[self]


_CONFIG_STATUS_LABELS = {
    ConfigStatus.STORED: "held",
    ConfigStatus.COMMITTED: "safe",
    ConfigStatus.CURRENT: "current",
}
_QUORUM_CONTACT_LABELS = {
    QuorumContact.NONE: "none",
    QuorumContact.RECENT: "fresh",
    QuorumContact.STABLE: "settled",
}
