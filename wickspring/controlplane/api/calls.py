"""Requests, responses and handlers of the control plane's HTTP API, and the interfaces that handlers use.

A handler answers one method of one resource. Handlers depend on `ControlPlaneApi` alone, so tests can run
them without sockets.
"""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar, NamedTuple, Protocol

import msgspec

from wickspring.common.endpoints import Endpoint
from wickspring.common.errors import ERROR_RESPONSES, ErrorDetail, ErrorKind
from wickspring.common.metrics import Sample
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.replication.update_submission import UpdateResult
from wickspring.controlplane.status import ControlPlaneStatus
from wickspring.net.clock import Clock

RETRY_AFTER_S = 0.25  # sent to callers whose update could not be committed in time
NO_QUORUM = ErrorDetail(ErrorKind.NOT_COMMITTED, "no majority of the core answers")


@dataclass(slots=True)
class ApiRequest:
    """An HTTP request to the API."""

    method: str
    path: str
    body: bytes
    parts: dict[str, str] = field(default_factory=dict)  # the named parts of the path


@dataclass(slots=True)
class ApiResponse:
    """An HTTP response of the API; `retry_after` is in decimal seconds, empty for none."""

    status: int
    body: bytes = b"{}"
    retry_after: str = ""


def error_response(error: ErrorDetail) -> ApiResponse:
    """Return the response for an error, with `retry_after` where its kind is worth a retry."""
    body = msgspec.json.encode({"kind": error.kind.value, "reason": error.reason})
    retry_after = f"{RETRY_AFTER_S}" if ERROR_RESPONSES[error.kind].has_retry_after else ""
    return ApiResponse(error.status, body, retry_after)


class UpdateCommitter(Protocol):
    """Commits updates to the replicated state."""

    @property
    def out_of_contact(self) -> bool:
        """Return whether a quorum has been out of reach for so long that callers should try another node."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the view that this node knows."""

    async def commit(self, update: Update, read: bool = False) -> UpdateResult:
        """Have an update committed; with `read`, the result brings the state at the head of the chain."""

    async def read(self) -> Replica | None:
        """Return the committed state as of now; None where it cannot be read in time."""


class EndpointDirectory(Protocol):
    """Registers endpoints by their heartbeats, and commits their departures."""

    def receive_heartbeat(self, endpoint: Endpoint) -> None:
        """Register an endpoint, or renew its registration."""

    async def commit_departure(self, endpoint_id: str, state: int) -> bool:
        """Have the departure of an endpoint committed; False where that took too long."""

    def heartbeat_target(self, zone: str) -> str:
        """Return the address that an endpoint in this zone best sends its heartbeats to."""


class ControlPlaneApi(Protocol):
    """What the API handlers use of the control-plane node that they run in."""

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""

    @property
    def updates(self) -> UpdateCommitter:
        """Return the committer of updates."""

    @property
    def endpoints(self) -> EndpointDirectory:
        """Return the registry of endpoints."""

    def status(self) -> ControlPlaneStatus:
        """Return the status of this node, as `GET /status` reports it."""

    def metrics(self) -> list[Sample]:
        """Return the metrics of this node, as `GET /metrics` reports them."""


class ApiHandler(Protocol):
    """Answers one method of one resource."""

    @property
    def method(self) -> str:
        """Return the HTTP method."""

    @property
    def path(self) -> re.Pattern[str]:
        """Return the pattern that the whole path matches."""

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Answer one call."""


class ControlPlaneHandler(ABC):
    """An `ApiHandler` that uses a control-plane node; a subclass is one method of one resource."""

    method: ClassVar[str]
    path: ClassVar[re.Pattern[str]]

    def __init__(self, control_plane: ControlPlaneApi) -> None:
        self._control_plane = control_plane

    @abstractmethod
    async def call(self, request: ApiRequest) -> ApiResponse:
        """Answer one call."""


class MatchedHandler(NamedTuple):
    """The handler of a call, and the named parts of its path."""

    handler: ApiHandler
    parts: dict[str, str]


def find_handler(handlers: Iterable[ApiHandler], method: str, path: str) -> MatchedHandler:
    """Return the handler of a call.

    Raises:
        LookupError: no handler has this method and path.
    """
    for handler in handlers:
        match = handler.path.match(path)
        if match is not None and handler.method == method:
            return MatchedHandler(handler, match.groupdict())
    raise LookupError(path)
