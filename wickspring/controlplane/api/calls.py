"""What a call of a server or an operator is, what is answered, and what its handlers ask of a lighthouse."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from wickspring.common.endpoints import Endpoint
from wickspring.common.errors import ERROR_RESPONSES, ErrorDetail
from wickspring.controlplane.replication.node import UpdateResult
from wickspring.controlplane.replication.replica import Update
from wickspring.net.clock import Clock

BACK_S = 0.25  # after which a call that could not be made safe may come again


@dataclass(slots=True)
class ApiRequest:
    """One call."""

    method: str
    path: str
    body: bytes
    parts: dict[str, str] = field(default_factory=dict)  # of the path, by name


@dataclass(slots=True)
class ApiResponse:
    """What is answered."""

    status: int
    body: bytes = b"{}"
    retry_after: str = ""


def error_response(what: ErrorDetail) -> ApiResponse:
    """Answer a fault by its kind."""
    said = msgspec.json.encode({"kind": what.kind.value, "reason": what.reason})
    return ApiResponse(what.status, said, f"{BACK_S}" if ERROR_RESPONSES[what.kind].comes_back else "")


class ControlPlaneApi(Protocol):
    """The lighthouse, as its handlers know it."""

    clock: Clock

    @property
    def cut_off(self) -> bool:
        """Tell whether it has been out of contact for so long that callers are better off elsewhere."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the view that it knows."""

    async def order(self, order: Update, read: bool = False) -> UpdateResult:
        """Have an order made safe."""

    async def leaves(self, server: str, state: int) -> bool:
        """Have it made safe that a server leaves."""

    def beat(self, server: Endpoint) -> None:
        """Take a beat."""

    def beat_target(self, zone: str) -> str:
        """Name where a server's beats are best sent."""

    def status(self) -> dict[str, Any]:
        """Return what is known here."""
