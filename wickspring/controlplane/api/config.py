"""`POST /config/replace` and `GET /config/read`: the configuration, written and read by operators."""

from __future__ import annotations

import re

import msgspec

from wickspring.common import logs
from wickspring.common.digest import digest_of
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.calls import (
    NO_QUORUM,
    ApiRequest,
    ApiResponse,
    ControlPlaneHandler,
    error_response,
)
from wickspring.controlplane.api.config_validation import validate_config, validate_stored_config
from wickspring.controlplane.api.update_errors import not_committed_response
from wickspring.controlplane.replication.replica import CommitOutcome, Update


class ConfigReplace(ControlPlaneHandler):
    """Handles `POST /config/replace`."""

    method = "POST"
    path = re.compile(r"/config/replace\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Validate a configuration, and acknowledge it once it is committed."""
        validated = validate_config(request.body)
        if validated.is_error():
            return await self._refuse(request.body, validated.error)
        version = validated.ok
        result = await self._control_plane.updates.commit(Update(version, request.body))
        if result.outcome is not CommitOutcome.COMMITTED:
            return not_committed_response(result.outcome, "configuration", version)
        logs.log_event("config_acknowledged", version=version)
        return _acknowledgement(version)

    async def _refuse(self, body: bytes, error: ErrorDetail) -> ApiResponse:
        """Refuse a document, unless it has been acknowledged before the rule that it breaks was added.

        A document that has never been valid is refused without a quorum too.
        """
        stored = validate_stored_config(body)
        if stored.is_ok():
            replica = await self._control_plane.updates.read()
            if replica is None:
                return error_response(NO_QUORUM)
            if replica.config.holds(stored.ok, digest_of(body)):
                return _acknowledgement(stored.ok)
        logs.log_event("config_rejected", reason=error.reason)
        return error_response(error)


def _acknowledgement(version: int) -> ApiResponse:
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
        if replica.config.version is None:
            return error_response(ErrorDetail(ErrorKind.NO_CONFIG))
        return ApiResponse(200, replica.config.document)
