"""The services of one control-plane node that act on its components."""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.controlplane.data_plane_sessions import DataPlaneSessions
from wickspring.controlplane.endpoint_service import EndpointService
from wickspring.controlplane.quota_service import QuotaService
from wickspring.controlplane.view_announcements import ViewAnnouncer


@dataclass(slots=True, frozen=True)
class Services:
    """What the handlers of messages and the periodic tasks call."""

    data_planes: DataPlaneSessions
    endpoints: EndpointService
    quota: QuotaService
    view: ViewAnnouncer
