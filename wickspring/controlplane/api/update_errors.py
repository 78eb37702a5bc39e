"""The response to an update that was not committed, alike for all resources that take one."""

from __future__ import annotations

from wickspring.common import logs
from wickspring.common.config_version import ConfigVersion, version_label
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.calls import ApiResponse, error_response
from wickspring.controlplane.replication.replica import CommitOutcome


def not_committed_response(
    outcome: CommitOutcome, subject: str, version: ConfigVersion = None
) -> ApiResponse:
    """Return the response to an update that was not committed; only a conflict is refused for good.

    Args:
        outcome: what became of the update.
        subject: what the update was for, named in the reason of the error.
        version: the configuration version that it brought, None where it brought none.
    """
    if outcome is CommitOutcome.CONFLICT:
        logs.log_event("config_conflict", version=version)
        return error_response(
            ErrorDetail(ErrorKind.VERSION_TAKEN, f"{version_label(version)} is another text's")
        )
    if version is not None:
        logs.log_event("config_not_committed", version=version)
    return error_response(ErrorDetail(ErrorKind.NOT_COMMITTED, subject))
