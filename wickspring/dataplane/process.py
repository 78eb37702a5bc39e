"""The data plane: builds and connects its components, and carries their calls to each other."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from wickspring import interface as api
from wickspring.common import logs
from wickspring.common.connection import PeerConnection, accept_connections
from wickspring.common.messages import (
    ConfigOffer,
    EndpointRecord,
    EndpointSnapshot,
    GossipedDepartures,
    GossipedEndpoints,
    PeerReply,
    StateDigest,
)
from wickspring.common.routing_table import RoutingTable
from wickspring.common.settings import NodeSettings
from wickspring.connections.limits import ConnectionLimits
from wickspring.dataplane.control_client.client import ControlClient
from wickspring.dataplane.control_client.listener import UsageReports
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.gossip import GossipNode
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.dataplane.request.admission import Admission
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import IncomingRequest, RequestContext
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.request.startup_queue import StartupQueue
from wickspring.dataplane.upstream import ConnectionDefaults, UpstreamConnection
from wickspring.interface import Readiness
from wickspring.net.calls import Client
from wickspring.net.datagrams import Udp
from wickspring.net.http1_front import Patience
from wickspring.net.http_server import HttpRequest, HttpServer
from wickspring.net.upstream.manager import Upstream

CONNECTION_SHARE = 0.9  # of an endpoint's connections that all data planes together open
MIN_CONNECTIONS = 3  # to one endpoint
MAX_CONNECTIONS = 64
DEFAULT_DATA_PLANE_COUNT = 16  # that share an endpoint's connections, until their number is reported
RESERVED_FDS = 200  # descriptors that are not for clients or endpoints
FORGET_ENDPOINT_MS = 20_000.0
READY_BY_ONE_MS = 2500.0  # since the start, after which one control plane's endpoints suffice to be ready
STATISTICS_MS = 10_000.0
DRAIN_POLL_S = 0.02

INITIAL_LIMITS = ConnectionLimits(
    most_per_server=MIN_CONNECTIONS,
    wait_ms=400.0,
    ahead_most=0,
    pause_first_ms=60.0,
    pause_most_ms=500.0,
    idle_share=0.85,
)


@dataclass(slots=True, frozen=True)
class _PoolEntry:
    """An endpoint as the connection pools know it, and whether it accepted requests by then."""

    accepts: bool
    entry: api.ServerEntry


class DataPlane(HttpServer):
    """The components of one data plane process, and its life cycle."""

    executes_partial_requests = True  # endpoints may execute a request by a part of its body

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, settings.limits.memory_mb)
        self.settings = settings
        self.random = Random(seed)
        self.started_at = self.clock.now()
        self.limits = INITIAL_LIMITS
        self.patience = Patience()
        self._ready = False
        self._pool_entries: dict[str, _PoolEntry] = {}
        self.endpoints = EndpointTable()
        self.endpoint_selector = EndpointSelector(
            self.endpoints, settings.zone, self.random.getrandbits(32), self._has_idle_connection
        )
        rules = settings.guarantees
        self.quota = QuotaPolicy(rules.quota_window_s, rules.quota_excess, rules.quota_slack)
        self.control_client = ControlClient(settings, self.clock, nursery, self.random, self.endpoints, self)
        self.datagrams = Udp(settings.ip, settings.peer_port)
        address = settings.ip, settings.peer_port
        self.gossip = GossipNode(address, self.clock, nursery, self.random, self, self.datagrams)
        self.upstream = self._build_upstream()
        self.request_context = self._build_request_context()
        self.responder = Responder(self.request_context)
        self.forwarder = Forwarder(self.request_context, self.responder)
        self.admission = Admission(self.request_context, self.forwarder, self.responder)
        self.startup_queue = StartupQueue(self.request_context, self.responder, self._handle)

    def _build_upstream(self) -> Upstream:
        return Upstream(
            ConnectionDefaults(self.random.getrandbits(32)),
            self.limits,
            lambda: self.max_descriptors,
            lambda: len(self.connections),
            self.clock,
            self.timers,
            self.nursery,
            self._pool_entry,
            UpstreamConnection,
        )

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
    def active_streams(self) -> int:
        """How many requests with a streamed body or a streamed response are in flight."""
        requests = self.request_context.requests.values()
        return sum(request.body_stream is not None or request.streaming_attempt > 0 for request in requests)

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Handle a request that a front has read from a client connection."""
        self._handle(
            IncomingRequest(
                client, request.method, request.target, request.headers, request.body, request.body_stream
            )
        )

    def _handle(self, incoming: IncomingRequest) -> None:
        context = self.request_context
        context.event_counts["requests"] += 1
        if context.can_route():
            self.admission.admit(incoming)
        else:
            self.startup_queue.enqueue(incoming)

    def client_disconnected(self, request_number: int) -> None:
        """Note that a client has disconnected; an attempt that has been sent may still end."""
        self.startup_queue.on_client_gone(request_number)
        self.responder.on_client_gone(request_number)

    def data_plane_count(self) -> int:
        """Return how many data planes there are, by the highest count; 0 where it is not known."""
        members = self.gossip.size
        return max(self.control_client.data_plane_count, members if members > 1 else 0)

    # `ControlListener`: what the control plane reports.

    def usage_reports(self) -> UsageReports:
        """Return the recent usage of all tenants at this data plane."""
        return self.quota.reports(self.clock.now())

    def on_routing_table(self, routing_table: RoutingTable) -> None:
        """Adapt timeouts and connection limits to a new configuration."""
        bounds = routing_table.client_limits
        self.patience = Patience(
            silent=1000.0 * bounds.idle_timeout_s,
            head=1000.0 * bounds.header_timeout_s,
            idle=1000.0 * bounds.idle_timeout_s,
            most_head=bounds.max_head_bytes,
            most_body=bounds.max_body_bytes,
        )
        caps = [
            service.max_connections
            for service in routing_table.services.values()
            if service.max_connections > 0
        ]
        data_planes = max(1, self.data_plane_count() or DEFAULT_DATA_PLANE_COUNT)
        share = int(CONNECTION_SHARE * min(caps, default=MAX_CONNECTIONS) / data_planes)
        per_endpoint = max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, share))
        self.limits = msgspec.structs.replace(self.limits, most_per_server=per_endpoint)
        self.upstream.limits = self.limits
        self.upstream.pools.limits = self.limits

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

    # `GossipHost`: what other data planes compare and fetch.

    def state_digest(self) -> StateDigest:
        """Return what other data planes compare with theirs."""
        adopted = self.control_client.config.adoption
        departure_count = len(self.endpoints.departures)
        return StateDigest(adopted.version, adopted.digest, departure_count, self.endpoints.digest())

    def send_state(self, connection: PeerConnection, version: int, digest: bytes) -> None:
        """Send another data plane all that is known here."""
        control_client = self.control_client
        config = control_client.config
        own_version, own_digest = config.adoption.version, config.adoption.digest
        if own_version > version or (own_version == version and own_digest != digest):
            status = control_client.config_status
            connection.send(ConfigOffer(own_version, config.compressed_document, own_digest, status))
        now = self.clock.now()
        candidates = self.endpoints.candidates.values()
        records = [
            candidate.endpoint.to_record(now) for candidate in candidates if not candidate.unresponsive
        ]
        connection.send(EndpointSnapshot(records, self.endpoints.departures, control_client.in_contact))

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Take in what another data plane reports."""
        self.control_client.on_peer_message(connection, message)

    def on_gossiped_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Take in endpoints that another data plane has passed on."""
        self.control_client.endpoint_sync.on_changes(endpoints)

    def on_gossiped_departures(self, states: dict[str, int]) -> None:
        """Take in departures that another data plane has passed on."""
        self.control_client.endpoint_sync.on_departures(states)

    def is_isolated(self) -> bool:
        """Return whether no control plane is in reach."""
        return not self.control_client.connections.live

    # Connections to endpoints.

    def _pool_entry(self, server: api.ServerId) -> api.ServerEntry | None:
        """Return an endpoint as the connection pools are to see it; None where it is forgotten."""
        endpoint_id = server.decode()
        if endpoint_id not in self.endpoints.candidates:
            self._pool_entries.pop(endpoint_id, None)
            return None
        accepts = self.endpoints.accepts(endpoint_id)
        known = self._pool_entries.get(endpoint_id)
        if known is None or known.accepts != accepts:
            readiness = Readiness.READY if accepts else Readiness.DRAINING
            known = _PoolEntry(accepts, api.ServerEntry(server, 0, 0, readiness, 1.0, 0.0))
            self._pool_entries[endpoint_id] = known
        return known.entry

    def _has_idle_connection(self, endpoint_id: str) -> bool:
        pool = self.upstream.pools.pools.get(endpoint_id.encode())
        return pool is not None and any(conn.free > 0 for conn in pool.conns)

    # Life cycle.

    def start(self, peer_listener: socket.socket) -> None:
        """Start the tasks of this data plane; other data planes connect to `peer_listener`."""
        nursery = self.nursery
        nursery.start_soon(self.timers.run)
        nursery.start_soon(self.control_client.run)
        nursery.start_soon(self.gossip.run)
        nursery.start_soon(accept_connections, peer_listener, self.clock, nursery, self.gossip.serve)
        self.expire_connections()
        self.maintain()

    def maintain(self) -> None:
        """Forget departed endpoints and log metrics, then do so again every `STATISTICS_MS`."""
        self.call_later(STATISTICS_MS * self.random.uniform(0.9, 1.1), self.maintain)
        self.endpoints.forget(self.clock.now(), FORGET_ENDPOINT_MS)
        logs.log_event(
            "metrics",
            requests_in_flight=len(self.request_context.requests),
            connections=len(self.connections),
            **self.request_context.event_counts,
            **self.upstream.report(),
        )

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready for client connections (readiness probe)."""
        if self.draining:
            return False
        if not self._ready and self._knows_enough():
            self._ready = True
            version = self.control_client.config.routing_table.version
            logs.log_event("ready", version=version, endpoints=len(self.endpoints.candidates))
        return self._ready

    def _knows_enough(self) -> bool:
        control_client = self.control_client
        if not self.endpoints.services:
            return False
        if control_client.is_synchronized:
            return True
        if self.clock.now() - self.started_at <= READY_BY_ONE_MS:
            return False
        return bool(
            control_client.config.routing_table.version and control_client.endpoint_sync.complete_from
        )

    async def drain(self) -> None:
        """Wait until all requests in progress have ended, then close the connections of clients."""
        while self.request_context.requests or any(not one.is_idle() for one in self.connections):
            await trio.sleep(DRAIN_POLL_S)
        for connection in list(self.connections):
            connection.close_if_unread()
