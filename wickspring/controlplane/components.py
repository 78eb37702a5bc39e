"""The parts of one control-plane node that its message handlers and periodic tasks share."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from wickspring.common.settings import NodeSettings
from wickspring.controlplane.config_distribution import ConfigDistributor
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.controlplane.known_data_planes import KnownDataPlanes
from wickspring.controlplane.load_tracker import LoadTracker
from wickspring.controlplane.quorum_contact import QuorumContactObserver
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.net.clock import Clock


@dataclass(slots=True, frozen=True)
class Components:
    """What a control-plane node consists of; the objects themselves change, the set of them does not."""

    settings: NodeSettings
    clock: Clock
    random: Random
    replication: ReplicationNode
    contact: QuorumContactObserver
    registry: EndpointRegistry
    load_tracker: LoadTracker
    quota_counter: QuotaCounter
    config_distributor: ConfigDistributor
    known_data_planes: KnownDataPlanes
