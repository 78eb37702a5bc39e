"""Connection pools driven in virtual time, without sockets: a harness for the tests of the pools."""

from __future__ import annotations

from typing import Any

import msgspec

from wickspring.connections.limits import (
    ConnectionLimits,
)
from wickspring.connections.model import (
    Action,
    AssignConnection,
    CloseConnection,
    ConnectionRequest,
    OpenConnection,
    PooledConnection,
    RejectRequest,
    ServerStatus,
)
from wickspring.connections.pools import ConnectionPools

SERVER_A, SERVER_B = b"a", b"b"
ADDRESS = ("127.0.0.1", 1)


class PoolHarness:
    """Connection pools with a virtual clock, whose dials the test completes or fails."""

    def __init__(self, idle_close: float = 30_000.0, **changes: Any) -> None:
        base = ConnectionLimits(jitter=0.0, ahead_most=0)
        self.server_statuses: dict[bytes, ServerStatus] = {}
        limits = msgspec.structs.replace(base, **changes)
        self.pools = ConnectionPools(
            limits, idle_close, lambda server, _: self.server_statuses.get(server, ServerStatus(True)), 1
        )
        self.now = 1_000_000.0
        self.assignments: list[AssignConnection] = []
        self.dials: list[PooledConnection] = []
        self.closed: list[PooledConnection] = []
        self.rejected: list[ConnectionRequest] = []

    def apply(self, actions: list[Action]) -> None:
        """Record the actions of the pools, as the network layer would carry them out."""
        for action in actions:
            if isinstance(action, AssignConnection):
                self.assignments.append(action)
            elif isinstance(action, OpenConnection):
                self.dials.append(action.connection)
            elif isinstance(action, CloseConnection):
                self.closed.append(action.connection)
            else:
                assert isinstance(action, RejectRequest)
                self.rejected.append(action.request)

    def request(self, server: bytes = SERVER_A, once: bool = False, **more: Any) -> ConnectionRequest:
        """Ask for a connection to a server, and return the request."""
        request = ConnectionRequest(server, ADDRESS, once, self.now + 2000.0, **more)
        self.apply(self.pools.request_connection(self.now, request))
        return request

    def complete_dial(self, connection: PooledConnection | None = None) -> PooledConnection:
        """Complete a dial, by default the oldest, and return its connection."""
        connection = self.dials.pop(0) if connection is None else connection
        self.apply(self.pools.dial_succeeded(self.now, connection, 1))
        return connection

    def fail_dial(self) -> None:
        """Fail the oldest dial."""
        self.apply(self.pools.dial_failed(self.now, self.dials.pop(0)))

    def finish(self, request: ConnectionRequest) -> None:
        """Finish a request with a response."""
        self.apply(self.pools.request_finished(self.now, request, answered=True))

    def advance(self, ms: float, step: float = 10.0) -> None:
        """Advance the clock by `ms` milliseconds, retrying the queues at every `step`."""
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + step)
            self.apply(self.pools.retry_queues(self.now))

    def sweep(self, ms: float = 0.0) -> None:
        """Advance the clock by `ms` milliseconds, then run the periodic maintenance."""
        self.now += ms
        self.apply(self.pools.maintain(self.now))

    def serve_request(self, once: bool = False, wait: float = 0.0) -> PooledConnection:
        """Serve one request, and return its connection after it was idle for `wait` milliseconds."""
        request = self.request(once=once)
        if request.connection is None:
            self.complete_dial()
        connection = request.connection
        assert connection is not None
        self.finish(request)
        self.now += wait
        return connection
