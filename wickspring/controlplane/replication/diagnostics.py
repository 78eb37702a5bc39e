"""Descriptions for operators of what the replicas of other nodes are missing: `behind` in `ctl chain`."""

from __future__ import annotations

from wickspring.common.config_version import version_label, version_order
from wickspring.common.messages import NodeStatus
from wickspring.controlplane.replication.chain import ReplicationChain


def reasons_behind(
    chain: ReplicationChain, address: str, status: NodeStatus | None, reachable: bool
) -> list[str]:
    """Describe in what another node's replica is behind this one's; nothing where it is as good."""
    if status is None:
        return ["never heard"]
    reasons = []
    if not reachable:
        reasons.append("silent")
    voter_disks = dict(chain.view.voters)
    if voter_disks.get(address, status.disk_id) != status.disk_id:
        reasons.append("its disk is another than the view's: emptied, and not taken in again")
    if status.is_unhealthy:
        reasons.append("its disk does not come back in time, or it is ending")
    if status.epoch < chain.view.epoch:
        reasons.append(f"epoch {status.epoch} of {chain.view.epoch}")
    return reasons + _missing_commits(chain, status)


def _missing_commits(chain: ReplicationChain, status: NodeStatus) -> list[str]:
    """Describe the committed state that a node is missing."""
    reasons = []
    committed = chain.committed
    config = committed.config
    if (status.config_epoch, version_order(status.committed_version)) < config.rank:
        found = f"{version_label(status.committed_version)} of epoch {status.config_epoch}"
        reasons.append(f"{found}, not {version_label(config.version)} of {config.epoch}")
    count = len(committed.departures)
    if status.departure_count < count:
        reasons.append(f"{status.departure_count} of {count} leaving servers")
    elif status.departure_count == count and status.departure_checksum != committed.departures_checksum:
        reasons.append("other leaving servers")
    return reasons
