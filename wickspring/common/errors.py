"""The closed list of error kinds of the gateway, and the table from kind to answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """Everything that can go wrong with a request, a call or an order. No other kinds are answered."""

    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    BAD_REQUEST = "bad_request"
    OVER_QUOTA = "over_quota"
    NO_SERVER = "no_server"  # none could take it; it has not run
    MAY_HAVE_RUN = "may_have_run"
    TIMED_OUT = "timed_out"
    AT_WORK = "at_work"  # a request with this id is under way here
    NOT_READY = "not_ready"
    INVALID_CONFIG = "invalid_config"
    INVALID_SNAPSHOT = "invalid_snapshot"
    NOT_SAFE_YET = "not_safe_yet"  # the core could not make it safe in time; it may hold later
    VERSION_TAKEN = "version_taken"  # another text is kept under this number
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    NO_CONFIG = "no_config"
    BAD_SETTINGS = "bad_settings"


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """How a kind is answered: status, and whether the answer tells when to come back."""

    status: int
    comes_back: bool = False


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.NO_ROUTE: ErrorResponse(404),
    ErrorKind.NO_KEY: ErrorResponse(401),
    ErrorKind.BAD_REQUEST: ErrorResponse(400),
    ErrorKind.OVER_QUOTA: ErrorResponse(429, comes_back=True),
    ErrorKind.NO_SERVER: ErrorResponse(503, comes_back=True),
    ErrorKind.MAY_HAVE_RUN: ErrorResponse(502),
    ErrorKind.TIMED_OUT: ErrorResponse(504),
    ErrorKind.AT_WORK: ErrorResponse(409),
    ErrorKind.NOT_READY: ErrorResponse(503, comes_back=True),
    ErrorKind.INVALID_CONFIG: ErrorResponse(400),
    ErrorKind.INVALID_SNAPSHOT: ErrorResponse(400),
    ErrorKind.NOT_SAFE_YET: ErrorResponse(503, comes_back=True),
    ErrorKind.VERSION_TAKEN: ErrorResponse(409),
    ErrorKind.NOT_FOUND: ErrorResponse(404),
    ErrorKind.TOO_LARGE: ErrorResponse(413),
    ErrorKind.NO_CONFIG: ErrorResponse(404),
    ErrorKind.BAD_SETTINGS: ErrorResponse(500),
}


@dataclass(slots=True, frozen=True)
class ErrorDetail:
    """One error: its kind, and words for whoever reads the answer."""

    kind: ErrorKind
    reason: str = ""

    @property
    def status(self) -> int:
        """Return the status it is answered with."""
        return ERROR_RESPONSES[self.kind].status


class GatewayError(Exception):
    """A fault on its way up; the message is its reason."""

    def __init__(self, fault: ErrorDetail) -> None:
        super().__init__(f"{fault.kind.value}: {fault.reason}")
        self.fault = fault
