"""The ingress between its sockets and its reducer: events in, effects carried out."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from wickspring import interface as api
from wickspring.config import Instance
from wickspring.connections.limits import limit_wait_to_grace
from wickspring.connections.model import PooledConnection
from wickspring.core import effects as core
from wickspring.core.invariants import broken
from wickspring.core.reducer import Reducer
from wickspring.fault_isolation import FaultStep, fault_figures, isolate_faults
from wickspring.logs import kv
from wickspring.net.attempts import SWEEP_MS, TRANSIT_MS, AttemptRunner
from wickspring.net.calls import CALL_PATH, READY_PATH, CallError, CallReader, Client
from wickspring.net.counter import Counter
from wickspring.net.discovery import Directory, Discovery, WatchPauses
from wickspring.net.http_server import EXPIRE_EVERY_MS, HttpRequest, HttpServer
from wickspring.net.open_requests import OpenRequest, OpenRequests
from wickspring.net.upstream.exchange import ServerConnection
from wickspring.net.upstream.http1 import Http1ServerConnection
from wickspring.net.upstream.manager import UpstreamManager
from wickspring.routing.maintenance import Maintenance
from wickspring.tenants import TenantPlans, TenantsError

if TYPE_CHECKING:
    from wickspring.net.peers import Peers

log = logging.getLogger(__name__)

REPORT_MS = 10_000.0  # between two log lines of figures
TENANTS_MS = 2000.0  # between two looks at the file of tenants
MIN_DESCRIPTOR_SHARE = 4  # a quarter of the descriptors is this process's own during a hot restart


class Runtime(HttpServer):
    """One ingress process."""

    def __init__(self, instance: Instance, nursery: trio.Nursery) -> None:
        super().__init__(nursery, instance.limits.memory_mb)
        settings = instance.settings
        self.instance = instance
        self.peers = self._join_peers() if instance.peers.enabled else None
        peer_state = self.peers.shares if self.peers is not None else None
        self.reducer = Reducer(settings, peer_state)
        self.maintenance = Maintenance()
        self.tenant_plans = TenantPlans(instance.tenants) if instance.tenants is not None else None
        self.calls = CallReader(settings, self.tenant_plans)
        self.directory = Directory(settings.zones)
        pauses = WatchPauses(settings.seed, settings.gateways, settings.drain_grace)
        self.discovery = Discovery(instance.discovery, self.directory, nursery, self.on_server_list, pauses)
        limits = limit_wait_to_grace(instance.connections, settings.drain_grace)
        self.upstream = UpstreamManager(self, settings, limits, peer_state)
        self.counter = Counter(
            instance.counter, settings, self.clock, self.timers, nursery, self._on_count_answer
        )
        self.ready = False
        self.peer_descriptors = 0  # that the other process of a hot restart has
        self._open_requests = OpenRequests()
        self._attempts = AttemptRunner(
            self.reducer, self.upstream, self.directory, self._open_requests, self.dispatch
        )
        self._handlers = self._effect_handlers()
        self._events: deque[core.Event] = deque()
        self._dispatching = False
        self._last_number = 0
        self.call_later(SWEEP_MS, self._sweep)
        self.call_later(EXPIRE_EVERY_MS, self.expire_connections)
        self.call_later(REPORT_MS, self._report)
        self._read_tenants()

    # Other ingresses, and the counter.

    def _join_peers(self) -> Peers:
        """Become one of the ingresses that talk to each other."""
        from wickspring.net.peers import Peers  # loaded only where they do
        from wickspring.peer_state.shares import Shares

        settings, peers, now = self.instance.settings, self.instance.peers, self.clock.now()
        shares = Shares(settings, peers.budgets, round(now), now, settings.seed, peers.counts)
        return Peers(self.instance, shares, self.clock, self.dispatch, self._start_times)

    def _start_times(self) -> dict[api.ServerId, float]:
        """Return the servers that take work, and when each was started by the server list."""
        entries = self.reducer.entries.values()
        return {entry.server: entry.started_at for entry in entries if entry.readiness is api.Readiness.READY}

    def _on_count_answer(self, answer: api.CountAnswer) -> None:
        if self.peers is not None:
            self.peers.record_counter_answer(answer)
        self.dispatch(answer)

    # Connections to servers.

    def server_entry(self, server: api.ServerId) -> api.ServerEntry | None:
        """Return what the server list says of a server; None where it does not have it."""
        return self.reducer.entries.get(server)

    def _speaks_http2(self, server: api.ServerId) -> bool:
        names = self.instance.http2.servers if self.instance.http2.enabled else ()
        return "*" in names or server.decode() in names

    def make_server_connection(
        self, upstream: UpstreamManager, connection: PooledConnection
    ) -> ServerConnection:
        """Return a connection of the protocol that its server speaks."""
        if not self._speaks_http2(connection.server):
            return Http1ServerConnection(upstream, connection)
        from wickspring.net.upstream.http2 import Http2ServerConnection  # a megabyte: loaded only where used

        return Http2ServerConnection(upstream, connection)

    def expected_capacity(self, server: api.ServerId) -> int:
        """Return how many requests a new connection to a server will carry at once."""
        return self.instance.settings.streams_per_connection if self._speaks_http2(server) else 1

    # Clients.

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Handle one request, of either front; its response may be given before this returns."""
        if request.target == READY_PATH:
            client.respond(200 if self.ready else 503, "", b"")
            return
        if request.target.partition("?")[0] != CALL_PATH:
            client.respond(404, "", b"no such path\n")
            return
        try:
            call = self.calls.read(request.method, request.target, request.headers, request.body)
        except CallError as error:
            client.respond(error.status, "", f"bad {error}\n".encode())
            return
        if not self.has_room(client, request, call.budget):
            return
        arrived_at = self.clock.now() if request.arrived_at is None else request.arrived_at
        deadline = arrived_at + call.budget - TRANSIT_MS
        if deadline <= self.clock.now():
            self.refuse_early(client, "refused_after_its_time")
            return
        self._last_number += 1
        number = self._last_number
        client.request_accepted(number, call.budget)
        self._open_requests.requests[number] = OpenRequest(call, client)
        if request.body_stream is not None:
            self._open_requests.body_streams[number] = request.body_stream
        arrival = api.Request(
            number,
            call.class_index,
            call.plan_index,
            call.customer,
            deadline,
            call.units,
            call.spread,
            call.first,
            call.repeat,
        )
        self.dispatch(core.RequestArrived(arrival, call.call_id))

    def client_time_ms(self, target: str, headers: Mapping[str, str]) -> float | None:
        """Return how long the client of a request waits; None where it is to be handled whatever happens."""
        return self.calls.read_budget(headers) if target.partition("?")[0] == CALL_PATH else None

    def client_disconnected(self, request_number: int) -> None:
        """Forget a client that has gone away: it is owed no response."""
        self._open_requests.forget(request_number)
        self.dispatch(api.Withdrawn(request_number))

    @property
    def active_streams(self) -> int:
        """How many requests with a streamed body or a streamed response are in progress."""
        return self._open_requests.active_streams

    @property
    def pending_responses(self) -> int:
        """How many clients wait for a response."""
        return len(self._open_requests.requests)

    @property
    def requests_in_progress(self) -> int:
        """How many requests wait for a response."""
        return len(self._open_requests.requests)

    def limit_server_connections(self) -> None:
        """Keep the connections to ticket servers to what clients leave."""
        self.upstream.limit_connections()

    def close_idle_server_connection(self) -> bool:
        """Close a connection to a ticket server that carries nothing; False where there is none."""
        return self.upstream.close_longest_idle()

    @property
    def max_descriptors(self) -> int:
        """How many file descriptors this process may have for connections."""
        total = self.instance.limits.sockets
        return max(total - self.peer_descriptors, total // MIN_DESCRIPTOR_SHARE)

    # The server list, from discovery and from operators.

    def on_server_list(self, server_list: api.ServerList) -> None:
        """Take in what discovery sends, without the servers that operators have taken out."""
        self.dispatch(self.maintenance.apply(server_list))

    def exclude(self, server: api.ServerId) -> bool:
        """Take a server out; False where nobody has such an id."""
        known = self.maintenance.knows(server)
        for change in self.maintenance.exclude(server) if known else ():
            self.dispatch(change)
        return known

    def include(self, server: api.ServerId, at: float | None = None) -> bool:
        """Put it back, as from a time; False where nobody has such an id."""
        known = self.maintenance.knows(server)
        at = self.clock.now() if at is None else at
        for change in self.maintenance.include(server, at) if known else ():
            self.dispatch(change)
        return known

    # Events in, effects out.

    def dispatch(self, event: core.Event) -> None:
        """Reduce an event and carry out what follows; events that effects cause wait their turn."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._reduce(self._events.popleft())
        finally:
            self._dispatching = False

    def _reduce(self, event: core.Event) -> None:
        """Reduce one event; a fault in that, or in one of its effects, ends the request that it is of."""
        effects: list[core.Effect] = []
        with isolate_faults(FaultStep.HANDLE_REQUEST, partial(self._on_failed, event)):
            effects = self.reducer.reduce(self.clock.now(), event)
        for effect in effects:
            with isolate_faults(FaultStep.HANDLE_REQUEST, partial(self._on_failed, effect)):
                self._carry_out(effect)

    def _carry_out(self, effect: core.Effect) -> None:
        handler = self._handlers.get(type(effect))
        if handler is not None:
            handler(effect)

    def _on_failed(self, subject: core.Event | core.Effect) -> None:
        """Answer the client of the request that an event or effect is of, where there is one."""
        broken["no event raises"] += 1
        number = getattr(subject, "request", None)
        if isinstance(number, api.Request):
            number = number.request
        open_request = self._open_requests.requests.get(number) if isinstance(number, int) else None
        if open_request is not None:
            open_request.client.fail_request()

    def _effect_handlers(self) -> dict[type[core.Effect], Callable[[Any], None]]:
        """Return what carries out each effect; `api.FollowList` needs nothing, the watch is always open."""
        return {
            core.SendResponse: self._open_requests.send_response,
            core.StartStreamedResponse: self._open_requests.start_streamed_response,
            core.EndStreamedResponse: self._open_requests.end_streamed_response,
            core.StartAttempt: self._attempts.start,
            core.StopAttempt: self._attempts.stop,
            api.Count: self.counter.call,
            api.SetTimer: self._set_timer,
            api.Probe: self._attempts.probe,
        }

    def _set_timer(self, effect: api.SetTimer) -> None:
        self.call_later(effect.delay, partial(self.dispatch, api.TimerFired(effect.token)))

    # Periodic work.

    def _sweep(self) -> None:
        """Sweep after the timers that are due by now: in a late turn, those of requests may still come."""
        self.call_later(0.0, partial(self.dispatch, core.SweepDue(self.clock.now())))
        self.call_later(SWEEP_MS, self._sweep)

    def _read_tenants(self) -> None:
        if self.tenant_plans is None:
            return
        self.call_later(TENANTS_MS, self._read_tenants)
        try:
            if self.tenant_plans.refresh():
                log.info("tenants", extra=kv(count=len(self.tenant_plans.plans)))
        except TenantsError as error:  # what was read before stays in force
            log.warning("tenants_unusable", extra=kv(reason=error))

    def report(self) -> dict[str, object]:
        """Return the figures of this process."""
        return {
            "owed": self.pending_responses,
            "flowing": self.active_streams,
            "connections": len(self.connections),
            **self.upstream.report(),
            "cpu_s": time.process_time(),
            **self.delay_figures(),
            **self.reducer.counters,
            **{f"let_go[{reason}]": times for reason, times in self.closed_counts.items()},
            **self.unanswered.figures(),
            **fault_figures(),
            **{f"broken[{name.replace(' ', '_')}]": times for name, times in broken.items()},
        }

    def _report(self) -> None:
        log.info("figures", extra=kv(**self.report()))
        self.call_later(REPORT_MS, self._report)
