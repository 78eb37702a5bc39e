"""The closed list of error kinds of the gateway, and how each is answered over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """Everything that can go wrong with a request, an API call or an update; the values are answered."""

    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    BAD_REQUEST = "bad_request"
    OVER_QUOTA = "over_quota"
    NO_SERVER = "no_server"  # no endpoint could take the request, and it has not run
    MAY_HAVE_RUN = "may_have_run"
    TIMED_OUT = "timed_out"
    EXPIRED = "expired"  # its client's time was over before it was read; it has not run
    IN_PROGRESS = "at_work"  # this data plane is handling a request with the same id
    NOT_READY = "not_ready"
    INVALID_CONFIG = "invalid_config"
    INVALID_SNAPSHOT = "invalid_snapshot"
    NOT_COMMITTED = "not_safe_yet"  # not within the time limit; it may be committed later
    VERSION_TAKEN = "version_taken"  # another document is committed under this version
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    NO_CONFIG = "no_config"
    BAD_SETTINGS = "bad_settings"
    INTERNAL_FAULT = "internal_fault"  # of this program, in handling the request; it may have run


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """How a kind is answered."""

    status: int
    has_retry_after: bool = False  # the header `retry-after` says when to try again


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.NO_ROUTE: ErrorResponse(404),
    ErrorKind.NO_KEY: ErrorResponse(401),
    ErrorKind.BAD_REQUEST: ErrorResponse(400),
    ErrorKind.OVER_QUOTA: ErrorResponse(429, has_retry_after=True),
    ErrorKind.NO_SERVER: ErrorResponse(503, has_retry_after=True),
    ErrorKind.MAY_HAVE_RUN: ErrorResponse(502),
    ErrorKind.TIMED_OUT: ErrorResponse(504),
    ErrorKind.EXPIRED: ErrorResponse(503, has_retry_after=True),
    ErrorKind.IN_PROGRESS: ErrorResponse(409),
    ErrorKind.NOT_READY: ErrorResponse(503, has_retry_after=True),
    ErrorKind.INVALID_CONFIG: ErrorResponse(400),
    ErrorKind.INVALID_SNAPSHOT: ErrorResponse(400),
    ErrorKind.NOT_COMMITTED: ErrorResponse(503, has_retry_after=True),
    ErrorKind.VERSION_TAKEN: ErrorResponse(409),
    ErrorKind.NOT_FOUND: ErrorResponse(404),
    ErrorKind.TOO_LARGE: ErrorResponse(413),
    ErrorKind.NO_CONFIG: ErrorResponse(404),
    ErrorKind.BAD_SETTINGS: ErrorResponse(500),
    ErrorKind.INTERNAL_FAULT: ErrorResponse(500),
}


@dataclass(slots=True, frozen=True)
class ErrorDetail:
    """One error: its kind, and an explanation for readers of the answer or the log."""

    kind: ErrorKind
    reason: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status it is answered with."""
        return ERROR_RESPONSES[self.kind].status


class GatewayError(Exception):
    """An error of one of the known kinds, raised with `from` where another error caused it."""

    def __init__(self, detail: ErrorDetail) -> None:
        super().__init__(f"{detail.kind.value}: {detail.reason}")
        self.detail = detail


def settings_error(reason: str) -> GatewayError:
    """Return the error for settings that cannot be used; the reason names the field."""
    return GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, reason))
