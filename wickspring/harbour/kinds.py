"""The closed list of error kinds of the gateway, and the table from kind to answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
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
class Answer:
    """How a kind is answered: status, and whether the answer tells when to come back."""

    status: int
    comes_back: bool = False


ANSWERS: dict[Kind, Answer] = {
    Kind.NO_ROUTE: Answer(404),
    Kind.NO_KEY: Answer(401),
    Kind.BAD_REQUEST: Answer(400),
    Kind.OVER_QUOTA: Answer(429, comes_back=True),
    Kind.NO_SERVER: Answer(503, comes_back=True),
    Kind.MAY_HAVE_RUN: Answer(502),
    Kind.TIMED_OUT: Answer(504),
    Kind.AT_WORK: Answer(409),
    Kind.NOT_READY: Answer(503, comes_back=True),
    Kind.INVALID_CONFIG: Answer(400),
    Kind.INVALID_SNAPSHOT: Answer(400),
    Kind.NOT_SAFE_YET: Answer(503, comes_back=True),
    Kind.VERSION_TAKEN: Answer(409),
    Kind.NOT_FOUND: Answer(404),
    Kind.TOO_LARGE: Answer(413),
    Kind.NO_CONFIG: Answer(404),
    Kind.BAD_SETTINGS: Answer(500),
}


@dataclass(slots=True, frozen=True)
class Fault:
    """One error: its kind, and words for whoever reads the answer."""

    kind: Kind
    reason: str = ""

    @property
    def status(self) -> int:
        """Return the status it is answered with."""
        return ANSWERS[self.kind].status


class FaultError(Exception):
    """A fault on its way up; the message is its reason."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.kind.value}: {fault.reason}")
        self.fault = fault
