"""The data plane: builds and connects its components, and carries their calls to each other."""

from __future__ import annotations

import math
import socket
from collections.abc import Mapping
from random import Random

import trio

from wickspring import interface as api
from wickspring.common import logs
from wickspring.common.connection import accept_connections
from wickspring.common.messages import (
    EndpointRecord,
    GossipedDepartures,
    GossipedEndpoints,
)
from wickspring.common.metrics import Sample
from wickspring.common.routing_table import RoutingTable
from wickspring.common.settings import NodeSettings
from wickspring.connections.model import PooledConnection
from wickspring.dataplane.control_client.client import ControlClient
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.gossip import GossipNode
from wickspring.dataplane.limits import INITIAL_LIMITS, body_expires_at, connection_limits, front_limits
from wickspring.dataplane.local_state import DataPlaneState
from wickspring.dataplane.metrics import collect_samples
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy, TenantReport
from wickspring.dataplane.pool_directory import PoolDirectory
from wickspring.dataplane.readiness import StartupCheck
from wickspring.dataplane.request.admission import Admission
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import IncomingRequest, RequestContext
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.request.startup_queue import StartupQueue
from wickspring.dataplane.request.validation import client_deadline_ms
from wickspring.dataplane.state_exchange import StateExchange
from wickspring.dataplane.upstream import ConnectionDefaults, UpstreamConnection
from wickspring.fault_isolation import fault_figures
from wickspring.net.calls import Client
from wickspring.net.connection_drain import DrainTimes
from wickspring.net.datagrams import Udp
from wickspring.net.front_limits import FrontLimits
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.octets import NO_OCTETS, Headers
from wickspring.net.request_body import ArrivingRequest
from wickspring.net.upstream.manager import UpstreamManager

RESERVED_FDS = 200  # descriptors that are not for clients or endpoints
FORGET_ENDPOINT_MS = 20_000.0
STATISTICS_MS = 10_000.0


class DataPlane(HttpServer):
    """The components of one data plane process, and its life cycle."""

    executes_partial_requests = True  # endpoints may execute a request by a part of its body

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, settings.limits.memory_mb)
        self.settings = settings
        self.random = Random(seed)
        self.limits = INITIAL_LIMITS
        self.front_limits = FrontLimits()
        self.endpoints = EndpointTable()
        self.endpoint_selector = EndpointSelector(
            self.endpoints, settings.zone, self.random.getrandbits(32), self._has_idle_connection
        )
        rules = settings.guarantees
        self.quota = QuotaPolicy(rules.quota_window_s, rules.quota_excess, rules.quota_slack)
        self.control_client = ControlClient(settings, self.clock, nursery, self.random, self.endpoints, self)
        self._startup = StartupCheck(self.clock, self.control_client, self.endpoints)
        self.local_state = DataPlaneState(self.clock, self.control_client, self.endpoints)
        self.state_exchange = StateExchange(settings.peer_port, self.clock, nursery, self.local_state)
        self.datagrams = Udp(settings.ip, settings.peer_port)
        self.gossip = GossipNode(
            settings.ip, self.clock, nursery, self.random, self.state_exchange, self.datagrams
        )
        self.server_entry = PoolDirectory(self.endpoints).entry
        self.upstream = self._build_upstream()
        self.request_context = self._build_request_context()
        self.responder = Responder(self.request_context)
        self.forwarder = Forwarder(self.request_context, self.responder)
        self.admission = Admission(self.request_context, self.forwarder, self.responder)
        self.startup_queue = StartupQueue(self.request_context, self.responder, self._handle_waiting)

    def _build_upstream(self) -> UpstreamManager:
        return UpstreamManager(self, ConnectionDefaults(self.random.getrandbits(32)), self.limits)

    def make_server_connection(
        self, upstream: UpstreamManager, connection: PooledConnection
    ) -> UpstreamConnection:
        """Return a connection to an endpoint."""
        return UpstreamConnection(upstream, connection)

    def expected_capacity(self, server: api.ServerId) -> int:
        """Return how many requests a new connection to an endpoint will carry at once: HTTP/1.1 has one."""
        return 1

    def _build_request_context(self) -> RequestContext:
        return RequestContext(
            settings=self.settings,
            clock=self.clock,
            timers=self.timers,
            random=self.random,
            endpoints=self.endpoints,
            endpoint_selector=self.endpoint_selector,
            quota=self.quota,
            config=self.control_client.config,
            quota_client=self.control_client.quota,
            load_client=self.control_client.load,
            upstream=self.upstream,
            data_plane_count=self.data_plane_count,
        )

    # Clients.

    @property
    def max_descriptors(self) -> int:
        """The most file descriptors for connections to clients and endpoints; a number, not the sockets."""
        return self.settings.limits.max_fds - RESERVED_FDS

    @property
    def requests_in_progress(self) -> int:
        """How many requests are in progress."""
        return len(self.request_context.requests)

    def limit_server_connections(self) -> None:
        """Keep the connections to endpoints to what clients leave."""
        self.upstream.limit_connections()

    def close_idle_server_connection(self) -> bool:
        """Close a connection to an endpoint that carries nothing; False where there is none."""
        return self.upstream.close_longest_idle()

    def body_expires_at(self, request: ArrivingRequest) -> float:
        """Return until when a body may take to come (ms): by the operator's and the client's limits."""
        return body_expires_at(request, self.control_client.config.routing_table)

    @property
    def active_streams(self) -> int:
        """How many requests with a streamed body or a streamed response are in flight."""
        requests = self.request_context.requests.values()
        return sum(request.body_stream is not None or request.streaming_attempt > 0 for request in requests)

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Handle a request that a front has read from a client connection."""
        if not self.has_room(client, request, self.client_time_ms(request.target, request.headers)):
            return
        self._handle(
            IncomingRequest(
                client,
                request.method,
                request.target,
                request.headers,
                request.body,
                request.body_stream,
                self.clock.now() if request.began_at is None else request.began_at,
            )
        )

    def client_time_ms(self, target: str, headers: Headers) -> float:
        """Return how long the client of a request waits; where it does not say, how long its route does."""
        deadline_ms = client_deadline_ms(headers)
        if math.isfinite(deadline_ms):
            return deadline_ms
        route = self.request_context.config.routing_table.route(headers.get("host", NO_OCTETS), target)
        return deadline_ms if route is None else 1000.0 * route.timeout_s

    def _handle(self, incoming: IncomingRequest) -> None:
        context = self.request_context
        context.event_counts["requests"] += 1
        if context.can_route():
            self.admission.admit(incoming)
        else:
            self.startup_queue.enqueue(incoming)

    def _handle_waiting(self, incoming: IncomingRequest) -> None:
        """Handle a request that has waited for the start; a fault in it is contained as in `take_request`."""
        with self.contain_faults(incoming.client):
            self._handle(incoming)

    def client_disconnected(self, request_number: int) -> None:
        """Note that a client has disconnected."""
        self.startup_queue.on_client_disconnected(request_number)
        self.responder.on_client_disconnected(request_number)

    def describe_request(self, number: int) -> Mapping[str, object]:
        """Return the id, the route and the attempts of a request in progress, for the log."""
        request = self.request_context.requests.get(number)
        if request is None:
            return {"request": number}
        attempts = request.attempts
        return {
            "request": request.id,
            "route": attempts.route.name,
            "attempts": attempts.sent,
            "attempts_in_flight": attempts.in_flight,
        }

    def data_plane_count(self) -> int:
        """Return how many data planes there are, by the highest count; 0 where it is not known."""
        members = self.gossip.size
        return max(self.control_client.data_plane_count, members if members > 1 else 0)

    # `ControlListener`: what the control plane reports.

    def usage_reports(self) -> list[TenantReport]:
        """Return the recent usage of all tenants at this data plane."""
        return self.quota.reports(self.clock.now())

    def on_routing_table(self, routing_table: RoutingTable) -> None:
        """Adapt timeouts and connection limits to a new configuration."""
        self.front_limits = front_limits(routing_table.client_limits)
        self.limits = connection_limits(routing_table, self.data_plane_count())
        self.upstream.limits = self.limits
        self.upstream.pools.settings.limits = self.limits

    def on_new_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Pass endpoints on to other data planes that are new or have changed."""
        self.gossip.broadcast(GossipedEndpoints(self.settings.ip, endpoints))

    def on_new_departures(self, states: dict[str, int]) -> None:
        """Pass departures of endpoints on to other data planes."""
        self.gossip.broadcast(GossipedDepartures(self.settings.ip, states))

    def on_data_planes(self, ips: list[str]) -> None:
        """Contact other data planes that the control plane has named."""
        self.gossip.join(ips)

    def on_state_received(self) -> None:
        """Admit the requests queued until the first configuration and endpoints were received."""
        self.startup_queue.admit_waiting()

    # Connections to endpoints.

    def _has_idle_connection(self, endpoint_id: str) -> bool:
        pool = self.upstream.pools.pools.get(endpoint_id.encode())
        return pool is not None and any(connection.free_slots > 0 for connection in pool.connections)

    # Life cycle.

    def start(self, peer_listener: socket.socket) -> None:
        """Start the tasks of this data plane; other data planes connect to `peer_listener`."""
        nursery = self.nursery
        self.monitor_loop()
        nursery.start_soon(self.timers.run)
        nursery.start_soon(self.control_client.run)
        nursery.start_soon(self.gossip.run)
        nursery.start_soon(accept_connections, peer_listener, self.clock, nursery, self.state_exchange.serve)
        self.expire_connections()
        self.maintain()

    def maintain(self) -> None:
        """Forget departed endpoints and log metrics, then do so again every `STATISTICS_MS`."""
        self.call_later(STATISTICS_MS * self.random.uniform(0.9, 1.1), self.maintain)
        self.endpoints.forget(self.clock.now(), FORGET_ENDPOINT_MS)
        logs.log_event("metrics", **self._statistics())

    def _statistics(self) -> dict[str, object]:
        return {
            "requests_in_flight": len(self.request_context.requests),
            "connections": len(self.connections),
            **self.request_context.event_counts,
            **{f"connections_closed[{reason}]": count for reason, count in self.closed_counts.items()},
            **self.unanswered.figures(),
            **fault_figures(),
            **self.delay_figures(),
            **self.upstream.report(),
        }

    def metrics(self) -> list[Sample]:
        """Return the metrics of this data plane."""
        return collect_samples(self._statistics(), self.control_client, self.quota)

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready for client connections (readiness probe)."""
        return not self.draining and self._startup.is_complete()

    def begin_drain(self, times: DrainTimes) -> None:
        """Note that this process has been told to end: no request is promised a later response."""
        super().begin_drain(times)
        self.request_context.answers_until = self.clock.now() + times.answer_ms
        self.responder.limit_deadlines()

    @property
    def has_unfinished_work(self) -> bool:
        """Whether requests are in progress, also such as may run only once and whose clients have left."""
        return bool(self.request_context.requests)
