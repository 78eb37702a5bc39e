"""The response to an update that was not committed, alike for all resources that take one."""

from __future__ import annotations

from wickspring.common import logs
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.controlplane.api.calls import ApiResponse, error_response
from wickspring.controlplane.replication.replica import CommitOutcome


def not_committed_response(outcome: CommitOutcome, subject: str, version: int = 0) -> ApiResponse:
    """Return the response to an update that was not committed; only a conflict is refused for good.

    Args:
        outcome: what became of the update.
        subject: what the update was for, named in the reason of the error.
        version: the configuration version that it brought, 0 for none.
    """
    if outcome is CommitOutcome.CONFLICT:
        logs.log_event("config_conflict", version=version)
        return error_response(ErrorDetail(ErrorKind.VERSION_TAKEN, f"r{version} is another text's"))
    if version:
        logs.log_event("config_not_committed", version=version)
    return error_response(ErrorDetail(ErrorKind.NOT_COMMITTED, subject))
