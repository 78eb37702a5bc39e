"""The state of one control-plane node, collected for operators as `GET /status` answers it."""

from __future__ import annotations

import msgspec

from wickspring.common.config_version import generation_of, version_to_wire
from wickspring.common.endpoints import Endpoint
from wickspring.common.messages import NodeStatus
from wickspring.common.status import ReplicationStatus
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.controlplane.replication.node import ReplicationNode

_ENDPOINT_STATES = ("ready", "draining", "gone")
_DIGITS = 1


class UnknownNodeStatus(msgspec.Struct, frozen=True, rename={"is_live": "live"}):
    """Another control-plane node that has reported nothing yet."""

    is_live: bool
    behind: list[str]  # in what its copy is older than this node's, and why


class PeerNodeStatus(
    UnknownNodeStatus, frozen=True, rename={"is_live": "live", "unhealthy": "ill", "reachable": "sees"}
):
    """Another control-plane node, with what it reported last of itself."""

    disk: str
    epoch: int
    safe_epoch: int
    version: int  # 0 for r0 and for none; `generation` tells them apart
    leaving: int
    leaving_sum: int
    identity: bytes
    unhealthy: bool
    zone: str
    control: str
    reachable: list[str]
    generation: str | None  # its committed configuration; None where it knows of none


class EndpointStatus(msgspec.Struct, frozen=True, rename={"heartbeat_age_s": "silent_s"}):
    """One endpoint; `heartbeat_age_s` is the time since its last heartbeat."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int
    heartbeat_age_s: float


class QuotaCountStatus(msgspec.Struct, frozen=True, rename={"remaining": "left"}):
    """The count of one tenant: units in the span, and those that the present window still has."""

    in_span: int
    remaining: float


class ControlPlaneStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "replication": "chain",
        "peer_nodes": "core",
        "data_planes": "pilots",
        "endpoints": "servers",
        "quota_counts": "counts",
    },
):
    """The state of one control-plane node."""

    node: str
    replication: ReplicationStatus
    peer_nodes: dict[str, UnknownNodeStatus]  # by address
    data_planes: list[str]
    endpoints: list[EndpointStatus]
    quota_counts: dict[str, QuotaCountStatus]  # by tenant


def collect_status(components: Components, data_planes: DataPlaneSessions) -> ControlPlaneStatus:
    """Return the present state of a node."""
    replication = components.replication
    return ControlPlaneStatus(
        node=components.settings.node_name,
        replication=_replication_status(replication, components.contact.observe().label),
        peer_nodes={ip: _peer_status(replication, ip) for ip in replication.peers.addresses},
        data_planes=sorted(data_planes.live_names()),
        endpoints=_endpoint_statuses(components),
        quota_counts=_quota_statuses(components.quota_counter),
    )


def _replication_status(replication: ReplicationNode, contact: str) -> ReplicationStatus:
    chain = replication.chain
    return ReplicationStatus(
        epoch=chain.view.epoch,
        members=[ip for ip, _ in chain.view.chain],
        voters=[ip for ip, _ in chain.view.voters],
        is_member=chain.is_member,
        contact=contact,
        frozen=chain.frozen,
        steady=replication.holds_lease,
        stored_version=version_to_wire(chain.replica.config.version),
        committed_version=version_to_wire(chain.committed.config.version),
        disk_id=chain.me.disk_id,
        tolerance_shortfalls=replication.tolerance_shortfalls(),
        stored_generation=generation_of(chain.replica.config.version),
        committed_generation=generation_of(chain.committed.config.version),
    )


def _peer_status(replication: ReplicationNode, ip: str) -> UnknownNodeStatus:
    is_live = replication.peers.is_reachable(ip)
    behind = replication.reasons_behind(ip)
    reported: NodeStatus | None = replication.peers.statuses.get(ip)
    if reported is None:
        return UnknownNodeStatus(is_live, behind)
    return PeerNodeStatus(
        is_live=is_live,
        behind=behind,
        disk=reported.disk_id,
        epoch=reported.epoch,
        safe_epoch=reported.config_epoch,
        version=version_to_wire(reported.committed_version),
        generation=generation_of(reported.committed_version),
        leaving=reported.departure_count,
        leaving_sum=reported.departure_checksum,
        identity=reported.config_identity,
        unhealthy=reported.is_unhealthy,
        zone=reported.zone,
        control=reported.control_address,
        reachable=reported.reachable_ips,
    )


def _endpoint_statuses(components: Components) -> list[EndpointStatus]:
    now = components.clock.now()
    last_heartbeat_at = components.registry.last_heartbeat_at
    return [
        _endpoint_status(endpoint, now - last_heartbeat_at.get(endpoint.id, now))
        for endpoint in components.registry.endpoints.values()
    ]


def _endpoint_status(endpoint: Endpoint, heartbeat_age_ms: float) -> EndpointStatus:
    return EndpointStatus(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        zone=endpoint.zone,
        state=_ENDPOINT_STATES[endpoint.state],
        slots=endpoint.slots,
        heartbeat_age_s=round(heartbeat_age_ms / 1000.0, _DIGITS),
    )


def _quota_statuses(counter: QuotaCounter) -> dict[str, QuotaCountStatus]:
    return {
        tenant: QuotaCountStatus(usage.total, round(max(0.0, usage.tokens or 0.0), _DIGITS))
        for tenant, usage in counter.usage.items()
    }
