"""`POST /config/replace` and `GET /config/read`: the configuration, written and read by operators."""

from __future__ import annotations

import re

import msgspec

from wickspring.common import logs
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.calls import (
    NO_QUORUM,
    ApiRequest,
    ApiResponse,
    ControlPlaneHandler,
    error_response,
)
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.controlplane.api.update_errors import not_committed_response
from wickspring.controlplane.replication.replica import CommitOutcome, Update


class ConfigReplace(ControlPlaneHandler):
    """Handles `POST /config/replace`."""

    method = "POST"
    path = re.compile(r"/config/replace\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Validate a configuration, and acknowledge it once it is committed."""
        validated = validate_config(request.body)
        if validated.is_error():  # depends on the document alone, so it is refused without a quorum too
            logs.log_event("config_rejected", reason=validated.error.reason)
            return error_response(validated.error)
        version = validated.ok
        result = await self._control_plane.updates.commit(Update(version, request.body))
        if result.outcome is not CommitOutcome.COMMITTED:
            return not_committed_response(result.outcome, "configuration", version)
        logs.log_event("config_acknowledged", version=version)
        return ApiResponse(200, msgspec.json.encode({"generation": f"r{version}"}))


class ConfigRead(ControlPlaneHandler):
    """Handles `GET /config/read`."""

    method = "GET"
    path = re.compile(r"/config/read\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Return the newest committed configuration, as its operator sent it."""
        replica = await self._control_plane.updates.read()
        if replica is None:
            return error_response(NO_QUORUM)
        if not replica.config.document:
            return error_response(ErrorDetail(ErrorKind.NO_CONFIG))
        return ApiResponse(200, replica.config.document)
