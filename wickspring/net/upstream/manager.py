"""Carries out what the pools decide, and tells them what becomes of dials, connections and exchanges."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from functools import partial
from typing import NamedTuple, Protocol

import trio

from wickspring import interface as api
from wickspring.connections.limits import CLIENT_HEADROOM, ConnectionLimits, max_server_connections
from wickspring.connections.model import (
    Action,
    AssignConnection,
    CloseConnection,
    ClosedBy,
    ConnectionState,
    OpenConnection,
    PooledConnection,
    ServerStatus,
)
from wickspring.connections.pools import ConnectionPools
from wickspring.fault_isolation import FaultStep, count_fault, isolate_faults
from wickspring.interface import Readiness, Status
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.link import DialError, DialFailure, Link, dial
from wickspring.net.timers import Timers
from wickspring.net.upstream.exchange import ExchangeResult, ServerConnection, ServerExchange

log = logging.getLogger(__name__)

MAINTENANCE_MS = 250.0  # between two calls of `ConnectionPools.maintain`
UNKNOWN_SERVER = ServerStatus(accepts_work=False)


class UpstreamSettings(Protocol):
    """What a program tells of the servers that it dials; `interface.Settings` among others has it.

    Times are milliseconds.
    """

    @property
    def seed(self) -> int:
        """Seed of the pools' random choices."""

    @property
    def dial_timeout(self) -> float:
        """Time for a connection to come up."""

    @property
    def idle_close(self) -> float:
        """Time after which servers close idle connections."""

    @property
    def cold_capacity(self) -> float:
        """Share of its connections that a server that has just started gets."""

    @property
    def cold_time(self) -> float:
        """Time until a started server is warm."""

    @property
    def load_fields(self) -> tuple[str, ...]:
        """Names of the figures in a load report."""

    @property
    def streams_per_connection(self) -> int:
        """How many requests one connection carries at once, where the protocol lets it."""


class UpstreamOwner(Protocol):
    """The process whose requests go to servers."""

    clock: Clock
    timers: Timers
    nursery: trio.Nursery

    @property
    def max_descriptors(self) -> int:
        """How many file descriptors there may be for connections to clients and servers."""

    @property
    def connections(self) -> Collection[object]:
        """The connections of clients."""

    def server_entry(self, server: api.ServerId) -> api.ServerEntry | None:
        """Return what the server list says of a server; None where it does not have it."""

    def make_server_connection(
        self, upstream: UpstreamManager, connection: PooledConnection
    ) -> ServerConnection:
        """Return a connection of the protocol that its server speaks."""

    def expected_capacity(self, server: api.ServerId) -> int:
        """Return how many requests a new connection to a server will carry at once."""


class LostExchange(NamedTuple):
    """An exchange that ended with its connection."""

    exchange: ServerExchange
    result: ExchangeResult
    received_bytes: bool  # since the exchange began


def finish_lost(lost: list[LostExchange]) -> None:
    """End exchanges that ended with their connection."""
    for exchange, result, _ in lost:
        exchange.finish(result)


class UpstreamManager:
    """Starts and stops exchanges; owns the connections to servers."""

    def __init__(
        self,
        owner: UpstreamOwner,
        settings: UpstreamSettings,
        limits: ConnectionLimits,
        peer_state: api.PeerState | None = None,
    ) -> None:
        self._owner = owner
        self.settings, self.limits = settings, limits
        self.clock, self.timers, self.nursery = owner.clock, owner.timers, owner.nursery
        self.pools = ConnectionPools(limits, settings.idle_close, self._status_of, settings.seed, peer_state)
        self._connections: dict[PooledConnection, ServerConnection] = {}
        # Of warm servers, whose status stays for as long as the list says the same.
        self._statuses: dict[api.ServerId, tuple[api.ServerEntry, ServerStatus]] = {}
        self._retry_at = math.inf
        self.timers.at(self.clock.now() + MAINTENANCE_MS, self._maintain)

    # The servers' status.

    def _status_of(self, server: api.ServerId, now: float) -> ServerStatus:
        entry = self._owner.server_entry(server)
        if entry is None:
            return UNKNOWN_SERVER
        known = self._statuses.get(server)
        if known is not None and known[0] is entry:
            return known[1]
        status = self._read_status(entry, now)
        if status.warmth >= 1.0:
            self._statuses[server] = entry, status
        return status

    def _read_status(self, entry: api.ServerEntry, now: float) -> ServerStatus:
        accepts_work = entry.readiness is Readiness.READY
        if entry.started_at <= 0.0:
            return ServerStatus(accepts_work)
        cold = self.settings.cold_capacity
        progress = max(0.0, now - entry.started_at) / max(1.0, self.settings.cold_time)
        warmth = min(1.0, cold + (1.0 - cold) * progress)
        return ServerStatus(accepts_work, warmth, entry.started_at)

    def accepts_work(self, server: api.ServerId) -> bool:
        """Tell whether new work may go to a server; asked again just before the first byte."""
        entry = self._owner.server_entry(server)
        return entry is not None and entry.readiness is Readiness.READY

    # Exchanges.

    def start(self, exchange: ServerExchange) -> None:
        """Carry an exchange on a connection that has room, or on a new one."""
        timed_out = partial(self.stop, exchange, ExchangeResult(Status.TIMEOUT))
        exchange.timer = self.timers.at(exchange.deadline, timed_out)
        self.limit_connections()
        expected_capacity = self._owner.expected_capacity(exchange.server)
        self._perform(self.pools.request_connection(self.clock.now(), exchange, expected_capacity))

    def stop(self, exchange: ServerExchange, result: ExchangeResult | None = None) -> None:
        """Stop waiting for an exchange; a result is reported, None reports nothing."""
        if exchange.ended:
            return
        server_connection = exchange.server_connection
        if server_connection is None:
            self.pools.request_cancelled(exchange)
        elif not server_connection.has_received(exchange):
            self.pools.request_unanswered(exchange)
        if result is None:
            exchange.discard()
        else:
            exchange.finish(result)
        if server_connection is not None:
            server_connection.cancel(exchange)

    def cancel(self, exchange: ServerExchange) -> None:
        """End an exchange whose response nobody wants any more, and report it as cancelled.

        A connection of HTTP/1.1 that carries it is closed: nothing else tells the server to stop. Unlike
        `stop`, this is no sign of a connection that has died.
        """
        if exchange.ended:
            return
        server_connection = exchange.server_connection
        if server_connection is None:
            self.pools.request_cancelled(exchange)
        exchange.finish(ExchangeResult(Status.CANCELLED))
        if server_connection is not None:
            server_connection.cancel(exchange)

    def finish(self, exchange: ServerExchange, result: ExchangeResult) -> None:
        """End an exchange on a connection that goes on: it was answered, or its request never written."""
        answered = result.status is not Status.CONNECT_FAILED
        self._perform(self.pools.request_finished(self.clock.now(), exchange, answered))
        exchange.finish(result)

    def release(self, exchange: ServerExchange) -> None:
        """Free the place of an exchange that was cancelled, on a connection that goes on."""
        self._perform(self.pools.request_finished(self.clock.now(), exchange, answered=False))

    # Connections.

    async def connect(self, connection: PooledConnection) -> Link | None:
        """Dial; None where it failed, which the pools know then, or was closed by this side meanwhile."""
        try:
            sock = await dial(connection.address, self.settings.dial_timeout)
        except DialError as error:
            if connection.state is not ConnectionState.CLOSED:
                self._dial_ended(connection, error.failure)
            return None
        if connection.state is ConnectionState.CLOSED:
            sock.close()
            return None
        return Link(sock, self.nursery)

    def _dial_ended(self, connection: PooledConnection, failure: DialFailure) -> None:
        """Record that a dial did not come up: by the server's fault, or for want of descriptors here."""
        self.pools.counters[f"dial_errors[{failure.value}]"] += 1
        if failure is not DialFailure.NO_RESOURCES:
            self.dial_failed(connection)
            return
        self._connections.pop(connection, None)
        self._perform(self.pools.dial_not_made(connection))

    def dial_succeeded(self, connection: PooledConnection, capacity: int) -> None:
        """Record that a connection is up and carries so many exchanges at once."""
        self._perform(self.pools.dial_succeeded(self.clock.now(), connection, capacity))

    def dial_failed(self, connection: PooledConnection) -> None:
        """Record that a dial has failed."""
        self._connections.pop(connection, None)
        self._perform(self.pools.dial_failed(self.clock.now(), connection))

    def capacity_changed(self, connection: PooledConnection, capacity: int) -> None:
        """Record how many exchanges a connection carries at once."""
        if connection.capacity != capacity:
            self._perform(self.pools.capacity_changed(self.clock.now(), connection, capacity))

    def connection_closed(
        self, connection: PooledConnection, closed_by: ClosedBy, lost: list[LostExchange]
    ) -> None:
        """Remove a connection that has ended; its caller ends the exchanges that were lost with it."""
        self._connections.pop(connection, None)
        for exchange, result, received_bytes in lost:
            if result.status is Status.RESET:
                self.pools.request_lost(self.clock.now(), exchange, received_bytes)
        self._perform(self.pools.connection_closed(self.clock.now(), connection, closed_by))

    def close_idle_from_now_on(self) -> None:
        """Close what is idle, now and from now on: another process of this gateway opens its own."""
        self.pools.settings.shutting_down = True
        self._perform(self.pools.maintain(self.clock.now()))

    def report(self) -> dict[str, object]:
        """Return the figures of all pools."""
        pools = self.pools
        return {
            "server_connections": pools.connection_count,
            "dialing": pools.dials_in_progress,
            **pools.counters,
        }

    # Actions of the pools.

    def _perform(self, actions: list[Action]) -> None:
        if not actions and not self.pools.has_waiting_requests:
            return  # as after nearly every response
        for action in actions:
            with isolate_faults(FaultStep.SERVER_CONNECTION):  # each is of another request or connection
                self._perform_one(action)
        self._schedule_retry()

    def _perform_one(self, action: Action) -> None:
        if isinstance(action, AssignConnection):
            self._assign(action)
        elif isinstance(action, OpenConnection):
            self._open(action.connection)
        elif isinstance(action, CloseConnection):
            closing = self._connections.pop(action.connection, None)
            if closing is not None:
                closing.close()
        elif isinstance(action.request, ServerExchange):
            action.request.finish(ExchangeResult(Status.CONNECT_FAILED))

    def _open(self, connection: PooledConnection) -> None:
        server_connection = self._owner.make_server_connection(self, connection)
        self._connections[connection] = server_connection
        self.nursery.start_soon(self._run, server_connection)

    def _assign(self, assignment: AssignConnection) -> None:
        exchange = assignment.request
        server_connection = self._connections.get(assignment.connection)
        now = self.clock.now()
        if not isinstance(exchange, ServerExchange):
            return
        if exchange.ended or server_connection is None:
            self._perform(self.pools.request_finished(now, exchange, answered=False))
        elif exchange.idle_ms >= 0.0 and server_connection.is_stale():
            # A server closes what is idle (RFC 9112, section 9.5); its close may have arrived and not been
            # read yet, and work written after it would count as possibly run.
            actions = self.pools.connection_stale(now, exchange)
            server_connection.close()
            self._perform(actions)
        else:
            exchange.server_connection = server_connection
            with isolate_faults(FaultStep.SEND_REQUEST, partial(server_connection.fail, exchange)):
                server_connection.begin(exchange)

    async def _run(self, server_connection: ServerConnection) -> None:
        try:
            await server_connection.run()
        except Exception as error:  # one server's oddity must not end the process
            log.exception("server_connection_failed", extra=kv(reason=error))
            count_fault(FaultStep.SERVER_CONNECTION)
        finally:
            with isolate_faults(FaultStep.CLOSE_SERVER_CONNECTION, server_connection.fail_all):
                server_connection.close()

    # Maintenance.

    def limit_connections(self) -> None:
        """Keep to the descriptors that clients leave: idle connections beyond them are closed."""
        owner = self._owner
        clients = len(owner.connections) + CLIENT_HEADROOM
        max_connections = max_server_connections(self.limits, owner.max_descriptors, clients)
        self._perform(self.pools.limit_connections(max_connections))

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; False where none is."""
        actions = self.pools.close_longest_idle()
        self._perform(actions)
        return bool(actions)

    def _schedule_retry(self) -> None:
        """Have queues served again when time alone may have made room."""
        retry_at = self.pools.next_retry(self.clock.now())
        if retry_at < self._retry_at:
            self._retry_at = retry_at
            self.timers.at(retry_at, self._retry_queues)

    def _retry_queues(self) -> None:
        self._retry_at = math.inf
        self.limit_connections()
        self._perform(self.pools.retry_queues(self.clock.now()))

    def _maintain(self) -> None:
        self.timers.at(self.clock.now() + MAINTENANCE_MS, self._maintain)
        self.limit_connections()
        self._perform(self.pools.maintain(self.clock.now()))
        for server in [server for server in self._statuses if self._owner.server_entry(server) is None]:
            del self._statuses[server]
