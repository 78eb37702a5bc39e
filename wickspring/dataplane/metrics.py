"""The metrics of a data plane: counters since its start, and its present state."""

from __future__ import annotations

from collections.abc import Mapping

from wickspring.common.metrics import Sample, event_samples
from wickspring.dataplane.control_client.client import ControlClient
from wickspring.dataplane.policy.quota import QuotaPolicy


def collect_samples(
    statistics: Mapping[str, object], control_client: ControlClient, quota: QuotaPolicy
) -> list[Sample]:
    """Return all samples.

    Args:
        statistics: the values of the log event `metrics`.
        control_client: shows which nodes of the control plane are in reach.
        quota: shows the units of each tenant in the present span, and this data plane's share of them.
    """
    samples = event_samples(statistics)
    samples.append(Sample("control_planes_reachable", len(control_client.connections.live)))
    for tenant, usage in quota.usages.items():
        labels = {"tenant": tenant}
        samples.append(Sample("quota_units_in_span", usage.units, labels))
        samples.append(Sample("quota_share", usage.share, labels))
    return samples
