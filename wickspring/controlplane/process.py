"""The control-plane process: assembles one node, runs it, and drains it."""

from __future__ import annotations

import socket
from functools import partial
from random import Random

import trio

from wickspring.common import logs
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.connection import accept_connections
from wickspring.common.messages import NodeRequest
from wickspring.common.metrics import Sample, event_samples
from wickspring.common.quota_rule import reservation_ms
from wickspring.common.settings import NodeSettings
from wickspring.controlplane.api.handlers import create_handlers
from wickspring.controlplane.api.server import ApiServer, serve_http
from wickspring.controlplane.components import Components
from wickspring.controlplane.config_distribution import ConfigDistributor
from wickspring.controlplane.data_plane_messages import DataPlaneMessageHandler
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.controlplane.endpoint_service import EndpointService
from wickspring.controlplane.known_data_planes import KnownDataPlanes
from wickspring.controlplane.load_tracker import LoadTracker
from wickspring.controlplane.maintenance import Maintenance
from wickspring.controlplane.metrics import collect_samples
from wickspring.controlplane.peer_messages import NodeMessageHandler
from wickspring.controlplane.peer_server import PeerServer
from wickspring.controlplane.quorum_contact import QuorumContactObserver
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.controlplane.quota_service import QuotaService
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.controlplane.replication.replica import Replica
from wickspring.controlplane.services import Services
from wickspring.controlplane.status import ControlPlaneStatus, collect_status
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.update_service import UpdateService
from wickspring.controlplane.view_announcements import ViewAnnouncer
from wickspring.net.clock import Clock
from wickspring.net.connection_drain import DrainTimes, close_connections
from wickspring.net.listening import accept, stop_accepting

DRAIN_SHARE = 0.85  # of the grace period: the longest wait for other nodes to take over; calls are taken
CLOSE_SHARE = 0.97  # of the grace period: the longest wait for calls in progress
LAST_CALLS_S = 1.0  # for calls in progress, once other nodes have taken over
FIRST_CALL_MS = 500.0  # for the first call on a connection that was accepted last
DRAIN_POLL_S = 0.05


class ControlPlane:
    """One control-plane node: its parts, and the listener of the replication protocol."""

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        self.settings = settings
        self.api_server = ApiServer(nursery, settings.limits)
        self.components = self._create_components(nursery, Random(seed))
        self.data_planes = DataPlaneSessions()
        self.updates = UpdateService(self.components.contact, self.components.replication)
        self.endpoints = EndpointService(self.components, self.data_planes, self.updates)
        self.quota = QuotaService(self.components, self.data_planes)
        self.view = ViewAnnouncer(self.components, self.data_planes)
        services = Services(self.data_planes, self.endpoints, self.quota, self.view)
        self._data_plane_messages = DataPlaneMessageHandler(self.components, services)
        self._node_messages = NodeMessageHandler(self.replication, self.endpoints, self.quota)
        self.peer_server = PeerServer(self.replication, self._data_plane_messages)
        self.maintenance = Maintenance(self.components, services)
        self.api_server.handlers = create_handlers(self)
        self.restore()

    def _create_components(self, nursery: trio.Nursery, random: Random) -> Components:
        settings = self.settings
        heartbeat_ms = 1000.0 * settings.heartbeat_s
        guarantees = settings.guarantees
        replication = ReplicationNode(
            settings,
            ReplicaStore(settings.data_dir or "."),
            self.clock,
            nursery,
            random,
            self,
        )
        return Components(
            settings=settings,
            clock=self.clock,
            random=random,
            replication=replication,
            contact=QuorumContactObserver(self.clock, replication, heartbeat_ms),
            registry=EndpointRegistry(heartbeat_ms),
            load_tracker=LoadTracker(random.getrandbits(32)),
            quota_counter=QuotaCounter(
                guarantees.quota_window_s, guarantees.quota_excess, guarantees.quota_slack
            ),
            config_distributor=ConfigDistributor(),
            known_data_planes=KnownDataPlanes(reservation_ms(guarantees.quota_window_s)),
        )

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self.api_server.clock

    @property
    def replication(self) -> ReplicationNode:
        """Return this node's part in the replication protocol."""
        return self.components.replication

    def restore(self) -> None:
        """Start with the endpoints and the data planes on this node's disk.

        The stored configuration is not sent to data planes yet: it may be old or uncommitted.
        """
        self.endpoints.restore()
        self.quota.restore()

    def on_committed(self, replica: Replica) -> None:
        """Send data planes what has been committed."""
        if self.components.config_distributor.publish(replica.config):
            for session in self.data_planes:
                self._data_plane_messages.offer_config(session)
        self.endpoints.apply_committed(replica)

    def on_view_change(self) -> None:
        """Reset the quota counts, and announce the view to data planes."""
        self.quota.start_view()
        self.view.broadcast()

    def on_peer_message(self, address: str, message: NodeRequest) -> None:
        """Handle a message of another node that is no part of the replication protocol."""
        self._node_messages.receive(address, message)

    def status(self) -> ControlPlaneStatus:
        """Return the state of this node, for operators."""
        return collect_status(self.components, self.data_planes)

    def metrics(self) -> list[Sample]:
        """Return the metrics of this node."""
        samples = collect_samples(self.components, self.data_planes)
        return [*samples, *event_samples(self.api_server.unanswered.figures())]


async def drain(control_plane: ControlPlane, grace_s: float) -> None:
    """Wait until nothing depends on this node alone, or what is left of the grace period is nearly over."""
    close_ms = 1000.0 * CLOSE_SHARE * grace_s
    times = DrainTimes(take_ms=1000.0 * DRAIN_SHARE * grace_s, answer_ms=close_ms, close_ms=close_ms)
    control_plane.api_server.begin_drain(times)
    control_plane.replication.stopping = True
    with trio.move_on_after(DRAIN_SHARE * grace_s):
        while not control_plane.replication.may_stop:
            await trio.sleep(DRAIN_POLL_S)


async def finish_calls(api_server: ApiServer, listener: socket.socket | None) -> None:
    """Take no more connections, and answer the calls in progress."""
    if listener is not None:
        stop_accepting(listener, api_server, serve_http)
    with trio.move_on_after(LAST_CALLS_S):
        await close_connections(api_server, FIRST_CALL_MS)


async def run(started: Bootstrap, seed: int, ended: trio.Event) -> None:
    """Run a control-plane node until `ended` is set, and drain it then."""
    async with trio.open_nursery() as nursery:
        control_plane = ControlPlane(started.settings, nursery, seed)
        replication = control_plane.replication
        _start_tasks(control_plane, started, nursery)
        logs.log_event(
            "started",
            disk=replication.chain.me.disk_id,
            epoch=replication.chain.view.epoch,
            stored_version=replication.chain.replica.config.version,
        )
        await ended.wait()
        await drain(control_plane, started.termination.time_left_s(started.settings.guarantees.grace_s))
        await finish_calls(control_plane.api_server, started.api_listener)
        logs.log_event("stopped", epoch=replication.chain.view.epoch)
        nursery.cancel_scope.cancel()


def _start_tasks(control_plane: ControlPlane, started: Bootstrap, nursery: trio.Nursery) -> None:
    """Start everything that a node does for as long as it lives."""
    api_server = control_plane.api_server
    serve_peer = control_plane.peer_server.serve
    nursery.start_soon(api_server.timers.run)
    nursery.start_soon(control_plane.replication.run)
    nursery.start_soon(
        partial(accept_connections, started.peer_listener, control_plane.clock, nursery, serve_peer)
    )
    nursery.start_soon(control_plane.replication.send_heartbeats)
    nursery.start_soon(control_plane.maintenance.run)
    api_server.expire_connections()
    if started.api_listener is not None:
        nursery.start_soon(accept, started.api_listener, api_server, serve_http)
