"""`GET /metrics`: the metrics of one control-plane node, as text."""

from __future__ import annotations

import re

from wickspring.common.metrics import METRICS_PATH, render_metrics
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, ControlPlaneHandler


class Metrics(ControlPlaneHandler):
    """Handles `GET /metrics`."""

    method = "GET"
    path = re.compile(rf"{METRICS_PATH}\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Return the metrics in the text exposition format."""
        return ApiResponse(200, render_metrics(self._control_plane.metrics()))
