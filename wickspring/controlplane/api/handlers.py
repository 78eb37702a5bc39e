"""The resources of the control plane's HTTP API."""

from __future__ import annotations

from wickspring.controlplane.api.calls import ApiHandler, ControlPlaneApi, ControlPlaneHandler
from wickspring.controlplane.api.config import ConfigRead, ConfigReplace
from wickspring.controlplane.api.deregister import Deregister
from wickspring.controlplane.api.heartbeat import Heartbeat
from wickspring.controlplane.api.metrics import Metrics
from wickspring.controlplane.api.snapshot import SnapshotDownload, SnapshotRestore
from wickspring.controlplane.api.status import Status

HANDLERS: tuple[type[ControlPlaneHandler], ...] = (
    Heartbeat,
    Deregister,
    ConfigReplace,
    ConfigRead,
    SnapshotDownload,
    SnapshotRestore,
    Status,
    Metrics,
)


def create_handlers(control_plane: ControlPlaneApi) -> list[ApiHandler]:
    """Return one handler for each method of each resource."""
    return [handler(control_plane) for handler in HANDLERS]
