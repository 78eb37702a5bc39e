"""What clients, stand-in servers and the operator have observed during a soak, in seconds of trio's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from wickspring.common.config_version import ConfigVersion
from wickspring.lab.emulation.stand_in_server import Execution

NO_ANSWER = 0  # in place of a status: the connection has ended without a complete answer


@dataclass(slots=True)
class SoakRequest:
    """One request, as its client observed it."""

    id: str
    effectful: bool
    data_plane: str
    sent_at: float
    status: int = NO_ANSWER
    body: bytes = b""
    fully_sent_at: float | None = None  # its last byte; None where not all of it was sent
    ended_at: float = 0.0
    left_at: float | None = None  # when its client closed the connection, well before its deadline
    timed_out: bool = False  # its client has waited past the deadline
    user: bytes = b""  # a field that is sent, and that servers echo
    echoed_user: bytes = b""


@dataclass(slots=True, frozen=True)
class Trouble:
    """A time in which a process was killed, paused or not there, by no plan that it knew of."""

    process: str
    begins_at: float
    ends_at: float


@dataclass(slots=True)
class Observations:
    """All of a run."""

    requests: list[SoakRequest] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    acknowledged_version: ConfigVersion = None  # the highest
    read_back_version: ConfigVersion = None  # at the end
    own_ends: list[str] = field(default_factory=list)  # processes that ended by themselves
    not_ready: list[str] = field(default_factory=list)  # data planes that are not ready at the end
