"""The connections of one ingress in virtual time: the real pools, with their actions on the timeline."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random

from wickspring import interface as api
from wickspring.connections import model
from wickspring.connections.limits import ConnectionLimits, max_server_connections
from wickspring.connections.pools import ConnectionPools
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Arrival, Record, ServerEvent
from wickspring.lab.simulation.ingress_site.virtual_server import VirtualServer
from wickspring.lab.simulation.timeline import Timeline
from wickspring.lab.traffic.schedule import ScheduledRequest

EPOCH_MS = 1_000_000_000.0  # the ingresses' clock at the beginning of a run
POOL_SWEEP_MS = 250.0


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt(model.ConnectionRequest):
    """An attempt of a request: it waits for a connection, or has one."""

    request: int
    number: int
    scheduled: ScheduledRequest
    has_ended: bool = False


@dataclass(slots=True, frozen=True)
class SimulatedSite:
    """What all ingresses of one run share."""

    scenario: Scenario
    timeline: Timeline
    random: Random
    record: Record
    servers: Mapping[api.ServerId, VirtualServer]


class VirtualConnections:
    """The pools of one ingress, and its connections with the attempts on each.

    `look_up` describes a server to the pools; `on_ended` is called for each attempt once, with its status, or
    None for one that was stopped on purpose, and the body of its response.
    """

    def __init__(
        self,
        site: SimulatedSite,
        settings: api.Settings,
        limits: ConnectionLimits,
        look_up: Callable[[api.ServerId, float], model.ServerStatus],
        on_ended: Callable[[Attempt, api.Status | None, bytes], None],
    ) -> None:
        self.pools = ConnectionPools(limits, settings.idle_close, look_up, settings.seed)
        max_connections = max_server_connections(limits, site.scenario.ingresses.sockets, 0)
        self.pools.settings.max_connections = max_connections
        self._site = site
        self._dial_timeout_ms = settings.dial_timeout
        self._on_ended = on_ended
        self._attempts: dict[model.PooledConnection, list[Attempt]] = {}  # on each connection
        self._wakes_at = math.inf  # ms, by the ingress's clock: the earliest timer of the pools

    @property
    def now(self) -> float:
        """Return the ingress's own time, ms."""
        return EPOCH_MS + self._site.timeline.now

    def start_sweeps(self, first: float) -> None:
        """Sweep the pools periodically, first after this share of the period."""
        self._site.timeline.every(POOL_SWEEP_MS, first, lambda: self._perform(self.pools.maintain(self.now)))

    def start(self, attempt: Attempt) -> None:
        """Have an attempt get a connection."""
        self._perform(self.pools.request_connection(self.now, attempt))

    def stop(self, attempt: Attempt, status: api.Status | None) -> None:
        """End an attempt with its connection."""
        if attempt.has_ended:
            return
        connection = attempt.connection
        if connection is None:
            self.pools.request_cancelled(attempt)
        else:
            self.pools.request_unanswered(attempt)
        self._end(attempt, status)
        if connection is not None:
            self._break(connection, model.ClosedBy.LOCAL)

    def break_all(self, within_ms: float) -> None:
        """Have the servers close every connection within some time."""
        timeline, random = self._site.timeline, self._site.random
        for connection in self._attempts:
            if connection.state is model.ConnectionState.UP:
                at = timeline.now + within_ms * random.random()
                timeline.at(at, partial(self._break, connection, model.ClosedBy.PEER))

    # Actions of the pools.

    def _perform(self, actions: list[model.Action]) -> None:
        for action in actions:
            match action:
                case model.AssignConnection(request, connection):
                    self._assign(_as_attempt(request), connection)
                case model.OpenConnection(connection):
                    self._dial(connection)
                case model.CloseConnection(connection):
                    if self._attempts.pop(connection, None) is not None:
                        self._record_end(connection)
                case model.RejectRequest(request):
                    self._end(_as_attempt(request), api.Status.CONNECT_FAILED)
        due_at = self.pools.next_retry(self.now)
        if due_at < self._wakes_at:
            self._wakes_at = due_at
            self._site.timeline.at(due_at - EPOCH_MS, self._wake)

    def _wake(self) -> None:
        self._wakes_at = math.inf
        self._perform(self.pools.retry_queues(self.now))

    def _dial(self, connection: model.PooledConnection) -> None:
        site = self._site
        self._attempts[connection] = []
        site.record.counters["dials_begun"] += 1
        site.timeline.at(site.timeline.now + self._dial_timeout_ms, partial(self._fail_dial, connection))
        server = site.servers[connection.server]
        server.work(site.scenario.servers.open_ms, partial(self._on_established, connection, server))

    def _on_established(self, connection: model.PooledConnection, server: VirtualServer) -> None:
        if connection.state is model.ConnectionState.DIALING:
            self._site.record.dials.append(ServerEvent(self._site.timeline.now, server.name))
            self._perform(self.pools.dial_succeeded(self.now, connection, 1))

    def _fail_dial(self, connection: model.PooledConnection) -> None:
        """Fail a dial that is not established at its time-out."""
        if connection.state is model.ConnectionState.DIALING:
            self._attempts.pop(connection, None)
            self._perform(self.pools.dial_failed(self.now, connection))

    def _assign(self, attempt: Attempt, connection: model.PooledConnection) -> None:
        """Send an attempt on a connection; one that has ended meanwhile is not sent."""
        if attempt.has_ended:
            self._perform(self.pools.request_finished(self.now, attempt, answered=False))
            return
        site = self._site
        now = site.timeline.now
        self._attempts[connection].append(attempt)
        server = site.servers[attempt.server]
        arrival = Arrival(
            server=server.name,
            hall=server.hall,
            call_id=attempt.scheduled.call_id,
            first_byte_at=now,
            received_at=now,
            reused=connection.requests_assigned > 1,
            started=True,
        )
        site.record.arrivals.append(arrival)
        on_done = partial(self._on_answered, attempt, connection, arrival)
        server.work(attempt.scheduled.work_ms, on_done)

    def _on_answered(self, attempt: Attempt, connection: model.PooledConnection, arrival: Arrival) -> None:
        if attempt.has_ended or attempt not in self._attempts.get(connection, ()):
            return
        self._attempts[connection].remove(attempt)
        arrival.answered = True
        body = f"{arrival.server} {arrival.call_id}".encode()
        self._site.record.served_bodies.setdefault(arrival.call_id, set()).add(body)
        self._perform(self.pools.request_finished(self.now, attempt, answered=True))
        self._end(attempt, api.Status.OK, body)

    def _end(self, attempt: Attempt, status: api.Status | None, body: bytes = b"") -> None:
        if not attempt.has_ended:
            attempt.has_ended = True
            self._on_ended(attempt, status, body)

    def _break(self, connection: model.PooledConnection, end: model.ClosedBy) -> None:
        """End a connection; what was on it may have been executed."""
        attempts = self._attempts.pop(connection, None)
        if attempts is None:
            return
        self._record_end(connection)
        for attempt in attempts:
            if not attempt.has_ended:
                self.pools.request_lost(self.now, attempt, received_bytes=False)
        self._perform(self.pools.connection_closed(self.now, connection, end))
        for attempt in attempts:
            self._end(attempt, api.Status.RESET)

    def _record_end(self, connection: model.PooledConnection) -> None:
        event = ServerEvent(self._site.timeline.now, connection.server.decode())
        self._site.record.ends.append(event)


def _as_attempt(request: model.ConnectionRequest) -> Attempt:
    assert isinstance(request, Attempt)
    return request
