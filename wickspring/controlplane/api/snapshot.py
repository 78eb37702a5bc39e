"""`GET /snapshot` and `POST /snapshot`: the replicated state, saved and restored by operators."""

from __future__ import annotations

import re

import msgspec

from wickspring.common import logs
from wickspring.common.config_version import version_label
from wickspring.controlplane.api.calls import (
    NO_QUORUM,
    ApiRequest,
    ApiResponse,
    ControlPlaneHandler,
    error_response,
)
from wickspring.controlplane.api.update_errors import not_committed_response
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.replica import CommitOutcome


class SnapshotDownload(ControlPlaneHandler):
    """Handles `GET /snapshot`."""

    method = "GET"
    path = re.compile(r"/snapshot\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Return a snapshot of the committed state."""
        updates = self._control_plane.updates
        replica = await updates.read()
        if replica is None:
            return error_response(NO_QUORUM)
        return ApiResponse(200, snapshot.pack(replica, updates.epoch))


class SnapshotRestore(ControlPlaneHandler):
    """Handles `POST /snapshot`."""

    method = "POST"
    path = re.compile(r"/snapshot\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Merge a snapshot into the replicated state; acknowledged once that is committed."""
        unpacked = snapshot.unpack(request.body)
        if unpacked.is_error():
            return error_response(unpacked.error)
        update = unpacked.ok
        result = await self._control_plane.updates.commit(update, read=True)
        if result.outcome is not CommitOutcome.COMMITTED or result.replica is None:
            return not_committed_response(result.outcome, "snapshot", update.version)
        current = version_label(result.replica.config.version)
        leaving = len(result.replica.departures)
        logs.log_event(
            "snapshot_restored", version=update.version, current_version=current, departures=leaving
        )
        return ApiResponse(200, msgspec.json.encode({"generation": current, "leaving": leaving}))
