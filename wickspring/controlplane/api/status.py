"""`GET /status`: the state of one control-plane node, for operators."""

from __future__ import annotations

import re

import msgspec

from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, ControlPlaneHandler


class Status(ControlPlaneHandler):
    """Handles `GET /status`."""

    method = "GET"
    path = re.compile(r"/status\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Return the status as JSON."""
        return ApiResponse(200, msgspec.json.encode(self._control_plane.status()))
