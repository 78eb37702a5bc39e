"""Connections, pools, requests for connections, and the actions that pools return. No I/O.

Times are milliseconds of one clock that does not go back.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from wickspring import interface as api
from wickspring.connections.dial_limits import TokenBucket
from wickspring.connections.limits import ConnectionLimits

Address = tuple[str, int]


class ConnectionState(Enum):
    """Of a connection to a server."""

    DIALING = "dialing"
    UP = "up"
    CLOSED = "closed"


class ClosedBy(Enum):
    """Which side ended a connection."""

    PEER = "peer"  # closed by the server, or found dead
    LOCAL = "local"


@dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection, of either protocol; an HTTP/1.1 one has a capacity of one request."""

    pool: ServerPool  # that it was dialed for; a server that moves or restarts has another one
    dialed_at: float
    state: ConnectionState = ConnectionState.DIALING
    capacity: int = 0  # requests that it may carry at once; 0 once it takes no more
    in_flight: int = 0  # requests on it
    requests_assigned: int = 0  # over its lifetime
    idle_since: float = 0.0
    retire_at: float = math.inf
    retire_after_requests: int = 0
    preconnected: bool = False  # opened ahead of need

    @property
    def server(self) -> api.ServerId:
        """The server that it leads to."""
        return self.pool.server

    @property
    def address(self) -> Address:
        """Host and port that it leads to."""
        return self.pool.address

    @property
    def free_slots(self) -> int:
        """How many more requests it takes now."""
        return self.capacity - self.in_flight if self.state is ConnectionState.UP else 0

    @property
    def is_idle(self) -> bool:
        """Whether it is up and carries nothing."""
        return self.state is ConnectionState.UP and not self.in_flight


@dataclass(slots=True, eq=False)
class ConnectionRequest:
    """A request for a connection, and what its outcome is to be recorded with."""

    server: api.ServerId
    address: Address
    at_most_once: bool  # it must not run twice
    deadline: float
    new_work: bool = True  # a probe, which is none, may go to a server that drains
    queue_deadline: float = 0.0  # end of its wait in the queue
    connection: PooledConnection | None = None
    assigned_at: float = 0.0
    idle_ms: float = -1.0  # that its connection had been idle; -1 where it was carrying others
    first_on_connection: bool = False
    predicted_loss: float = 0.0  # probability that its server was just closing the connection


@dataclass(slots=True, frozen=True)
class AssignConnection:
    """Write the request on this connection, or report the connection stale if it turns out to be dead."""

    request: ConnectionRequest
    connection: PooledConnection


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """Dial this connection."""

    connection: PooledConnection


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Close this connection; it carries nothing."""

    connection: PooledConnection


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """There is no connection for this request: report that none came up. Nothing of it was sent."""

    request: ConnectionRequest


Action = AssignConnection | OpenConnection | CloseConnection | RejectRequest


@dataclass(slots=True, eq=False)
class ServerPool:
    """The connections to one server, and the requests that wait for one."""

    server: api.ServerId
    address: Address
    dial_bucket: TokenBucket
    expected_capacity: int  # requests that a new connection will take
    connections: list[PooledConnection] = field(default_factory=list)  # the last used at the end
    queue: deque[ConnectionRequest] = field(default_factory=deque)
    dials_in_progress: int = 0
    failed_dials: int = 0  # in a row
    paused_until: float = -math.inf  # after failed dials
    miss_rate: float = 0.0  # requests a second that found no connection, decaying
    miss_rate_at: float = 0.0  # when `miss_rate` was computed
    latest_answered_at: float = -math.inf  # when the last answered request had been assigned
    started_at: float = 0.0  # of the server, by the server list
    dial_budget: str = field(init=False)  # name of the dial budget that all gateways share there

    def __post_init__(self) -> None:
        """Name the budget."""
        self.dial_budget = f"dials {self.server.decode('latin-1')}"

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether a connection of it may become free again."""
        return any(connection.in_flight for connection in self.connections)


@dataclass(slots=True, frozen=True)
class ServerStatus:
    """What the server list says of a server."""

    accepts_work: bool
    warmth: float = 1.0  # 0 to 1, below 1 shortly after its start
    started_at: float = 0.0


StatusLookup = Callable[[api.ServerId, float], ServerStatus]


@dataclass(slots=True)
class PoolSettings:
    """What all parts of the pools read, and their owner may change while they run."""

    limits: ConnectionLimits
    server_idle_timeout_ms: float  # after which servers close idle connections
    max_connections: int = 1 << 30  # in all; the owner sets it as its descriptors allow
    shutting_down: bool = False  # nothing idle is kept and nothing is opened ahead

    def oldest_idle_since(self, now: float) -> float:
        """Return the time since which a connection may have been idle at most."""
        return now - self.limits.idle_share * self.server_idle_timeout_ms
