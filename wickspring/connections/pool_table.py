"""The pools of all servers: which connections and waiting requests there are, and the actions to return."""

from __future__ import annotations

from collections import Counter

from wickspring import interface as api
from wickspring.connections.model import (
    Action,
    CloseConnection,
    ConnectionRequest,
    ConnectionState,
    PooledConnection,
    RejectRequest,
    ServerPool,
)


class PoolTable:
    """Keeps pools, counts and the queue of actions consistent with each other."""

    def __init__(self) -> None:
        self.pools: dict[api.ServerId, ServerPool] = {}
        # Pools with a queue that connections may be dialed for, in the order of their turns.
        self.waiting: dict[ServerPool, None] = {}
        # Connections that are up and carry nothing, the one idle for longest first. A process that is short
        # of descriptors asks for it at each dial, so it must not be searched for among all.
        self.idle: dict[PooledConnection, None] = {}
        self.connection_count = 0
        self.counters: Counter[str] = Counter()
        self.actions: list[Action] = []

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call."""
        actions, self.actions = self.actions, []
        return actions

    def is_current(self, pool: ServerPool) -> bool:
        """Tell whether a pool has not been replaced or removed."""
        return self.pools.get(pool.server) is pool

    def add(self, connection: PooledConnection) -> None:
        """Add a connection that is being dialed."""
        connection.pool.connections.append(connection)
        self.connection_count += 1

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that has ended; nothing for one that is removed already."""
        if connection.state is ConnectionState.CLOSED:
            return
        connection.state = ConnectionState.CLOSED
        connection.capacity = 0
        self.idle.pop(connection, None)
        connection.pool.connections.remove(connection)
        self.connection_count -= 1

    def became_idle(self, connection: PooledConnection, now: float) -> None:
        """Record that a connection carries nothing from now on."""
        connection.idle_since = now
        self.idle.pop(connection, None)
        if connection.is_idle:
            self.idle[connection] = None

    def close(self, connection: PooledConnection, reason: str) -> None:
        """Remove a connection and have it closed."""
        self.counters[f"ended[{reason}]"] += 1
        self.remove(connection)
        self.actions.append(CloseConnection(connection))

    def reject(self, pool: ServerPool, request: ConnectionRequest, reason: str) -> None:
        """Take a request out of its queue and have it told that no connection came up."""
        pool.queue.remove(request)
        if not pool.queue:
            self.waiting.pop(pool, None)
        self.counters[f"no_connection[{reason}]"] += 1
        self.actions.append(RejectRequest(request))

    def longest_idle(self, other_than: ServerPool | None = None) -> PooledConnection | None:
        """Return the connection idle for longest, leaving out one pool; None where none is idle."""
        return next((connection for connection in self.idle if connection.pool is not other_than), None)

    def close_longest_idle(self, reason: str, other_than: ServerPool | None = None) -> bool:
        """Close the connection idle for longest, leaving out one pool; False where none is idle."""
        connection = self.longest_idle(other_than)
        if connection is None:
            return False
        self.close(connection, reason)
        return True

    def median_pool_size(self) -> float:
        """Return how many connections a server has in the middle of all; there must be a pool."""
        sizes = sorted(len(pool.connections) for pool in self.pools.values())
        return float(sizes[len(sizes) // 2])

    def forget_server(self, pool: ServerPool) -> None:
        """Remove an empty pool."""
        self.waiting.pop(pool, None)
        del self.pools[pool.server]

    def replace(self, old: ServerPool, new: ServerPool) -> None:
        """Put a pool in the place of that of the same server at another address, or before a restart.

        The requests that wait move over.
        """
        self.waiting.pop(old, None)
        new.queue = old.queue
        for request in new.queue:
            request.address = new.address
        if new.queue:
            self.waiting[new] = None
        self.pools[new.server] = new
