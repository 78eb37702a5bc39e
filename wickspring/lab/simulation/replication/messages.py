"""The messages between simulated control-plane nodes, other than those of the replication chain.

Chain messages cross the simulated network encoded, as on a socket; these are delivered as they are.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.controlplane.replication.messages import ReplicationMessage
from wickspring.controlplane.replication.replica import CommitOutcome, Update
from wickspring.controlplane.replication.view import PeerObservation


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """A node's periodic status; the receiver answers with `LeaseGrant`."""

    observation: PeerObservation  # of the sender, as the receiver's chain takes it
    sent_at: float  # ms, by the sender's clock
    known_addresses: frozenset[str]


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """The answer to a status: the sender grants a lease in an epoch."""

    disk_id: str  # of the sender
    status_sent_at: float  # ms, by the clock of the node that sent the status
    epoch: int


@dataclass(slots=True, frozen=True)
class SubmitUpdate:
    """Any node to the head: enter this update, and send the outcome back."""

    ticket: int
    update: Update


@dataclass(slots=True, frozen=True)
class UpdateOutcome:
    """Head to the node that has forwarded an update: how it ended."""

    ticket: int
    outcome: CommitOutcome


class UpdateAcknowledged:
    """A head has acknowledged an update. No message: an event that a fault may wait for."""


# Delivered as they are; a chain message is encoded.
DirectMessage = NodeStatus | LeaseGrant | SubmitUpdate | UpdateOutcome
SimulatedMessage = DirectMessage | ReplicationMessage
# What a fault may wait for: a message of a type is sent, or a head acknowledges an update.
FaultEvent = type[SimulatedMessage] | type[UpdateAcknowledged]
