"""`POST /servers/ID/deregister`: a server reports that it ends."""

from __future__ import annotations

import re

from wickspring.common.endpoints import GONE
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, ControlPlaneHandler, error_response


class Deregister(ControlPlaneHandler):
    """Handles `POST /servers/ID/deregister`."""

    method = "POST"
    path = re.compile(r"/servers/(?P<id>[^/]{1,200})/deregister\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Acknowledge the end of a server once it is committed; its id is never used again."""
        if await self._control_plane.endpoints.commit_departure(request.parts["id"], GONE):
            return ApiResponse(200)
        return error_response(ErrorDetail(ErrorKind.NOT_COMMITTED, "deregister"))
