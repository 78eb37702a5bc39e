"""The metrics of a control-plane node: its data planes, and the counts of tenants that it owns or keeps."""

from __future__ import annotations

from wickspring.common.metrics import Sample
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions


def collect_samples(components: Components, data_planes: DataPlaneSessions) -> list[Sample]:
    """Return all samples."""
    replication = components.replication
    counter = components.quota_counter
    samples = [
        Sample("epoch", replication.chain.view.epoch),
        Sample("lease_held", replication.holds_lease),
        Sample("data_planes_connected", data_planes.live_count),
        Sample("data_planes_unresponsive", len(counter.unresponsive.until)),
    ]
    for tenant, usage in counter.usage.items():
        labels = {"tenant": tenant}
        samples.append(Sample("quota_units_in_span", usage.total, labels))
        samples.append(Sample("quota_units_reserved", usage.reserved, labels))
        samples.append(Sample("quota_units_remaining", max(0.0, usage.tokens or 0.0), labels))
    return samples
