"""One control-plane node in its replication group: event loop, persistence, and queries.

The chain (`chain`) is a state machine; this module gives it one event after another, saves what it keeps, and
only then sends its messages and announces its outcomes. Connections are in `peers`, the tickets of updates in
`update_submission`.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from random import Random
from typing import Protocol

import trio

from wickspring.common import logs
from wickspring.common.connection import DECODE_ERRORS, PeerConnection
from wickspring.common.messages import (
    ChainMessage,
    ListNodes,
    Message,
    NodeHeartbeat,
    NodeHeartbeatReply,
    NodeList,
    NodeRequest,
    NodeStatus,
    SubmitUpdate,
    UpdateOutcome,
)
from wickspring.common.messages.between_nodes import node_status_version
from wickspring.common.settings import NodeSettings
from wickspring.controlplane.replication import diagnostics, messages
from wickspring.controlplane.replication.lease import Lease, granted_epoch
from wickspring.controlplane.replication.next_view import tolerance_shortfalls
from wickspring.controlplane.replication.packing import PackedFields
from wickspring.controlplane.replication.peers import REACHABLE_MS, PeerSet
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.replication.startup import load_chain
from wickspring.controlplane.replication.update_submission import UpdateResult, UpdateSubmitter
from wickspring.controlplane.replication.view import Member
from wickspring.controlplane.storage import ReplicaStore
from wickspring.fault_isolation import FaultStep, isolate_faults, run_isolated
from wickspring.net.clock import Clock

HEARTBEAT_MS = 200.0
HEARTBEAT_JITTER = 0.15  # share of the interval by which it varies
SLOW_SAVE_MS = 600.0  # that a save may take until this node reports its disk as slow
SAVE_RETRY_S = 0.2


class ReplicationListener(Protocol):
    """The part of the control plane that uses the replicated state."""

    def on_committed(self, replica: Replica) -> None:
        """Handle a change of what is committed."""

    def on_view_change(self) -> None:
        """Handle that another view has been installed and saved."""

    def on_peer_message(self, address: str, message: NodeRequest) -> None:
        """Handle a message of another node that is no part of the replication protocol."""


class ReplicationNode:
    """One member of the replication group: runs the chain, and saves its state.

    `run` and `send_heartbeats` are tasks for as long as the process lives. `stopping` is set by the process
    when it is about to end.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: ReplicaStore,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        listener: ReplicationListener,
    ) -> None:
        self._settings = settings
        self._ip = settings.ip
        self.store = store
        self._clock = clock
        self._nursery = nursery
        self._random = random
        self._listener = listener
        self.stopping = False
        self.lease = Lease()
        self.peers = PeerSet(settings, clock, nursery, random, self)
        self.chain = load_chain(settings, store, random.getrandbits(32))
        self._updates = UpdateSubmitter(self)
        self._saving_since: float | None = None  # ms
        self._events: list[Callable[[], None]] = []
        self._has_events = trio.Event()
        self._disk = trio.Lock()  # one thread at a time writes

    # Updates.

    async def submit(self, update: Update, read: bool = False) -> UpdateResult:
        """Have an update committed by the head, whichever node that is; NOT_YET where that takes too long.

        With `read`, the result of a committed update has the state that is committed at the head.
        """
        return await self._updates.submit(update, read)

    def submit_in_background(self, update: Update) -> None:
        """Submit an update without waiting for its outcome."""
        self._nursery.start_soon(run_isolated, FaultStep.PEER_MESSAGE, self.submit, update, False)

    def submit_to_chain(self, ticket: int, update: Update) -> None:
        """Hand an update to this node's chain."""
        self._add_event(lambda: self.chain.submit(self._clock.now(), ticket, update))

    def cancel_in_chain(self, ticket: int) -> None:
        """Have this node's chain forget a ticket."""
        self._add_event(lambda: self.chain.cancel(ticket))

    def send(self, address: str, message: Message) -> bool:
        """Send a message to another node; False where there is no connection."""
        return self.peers.send(address, message)

    # Messages.

    def on_message(self, connection: PeerConnection, message: NodeRequest) -> None:
        """Handle a message on a connection that another node opened; raises one of `DECODE_ERRORS`."""
        address = connection.peer_address
        match message:
            case NodeHeartbeat():
                grant = granted_epoch(self.chain)
                connection.send(NodeHeartbeatReply(self._ip, self.status(), message.sent_at_ms, grant))
            case ListNodes():
                connection.send(NodeList(self.peers.reachable()))
            case ChainMessage():
                self._add_event(lambda: self._on_chain_message(address, message.payload))
            case SubmitUpdate():
                self._updates.on_submit(address, message)
            case UpdateOutcome():
                self._updates.on_update_outcome(message)
            case _:
                self._listener.on_peer_message(address, message)

    def _on_chain_message(self, address: str, packed: object) -> None:
        message = messages.decode(packed)
        if message is not None:
            self.chain.receive(self._clock.now(), address, message)

    def on_peer_connected(self, address: str) -> None:
        """Have the chain send again what a successor may have missed."""
        self._add_event(lambda: self.chain.on_peer_reachable(address))

    def on_heartbeat_reply(self, reply: NodeHeartbeatReply) -> None:
        """Record the lease that another node grants."""
        self.lease.on_grant(Member(reply.ip, reply.status.disk_id), reply.asked_at_ms, reply.granted_epoch)

    # The event loop: messages are sent only once the state they tell of is saved.

    def _add_event(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        self._has_events.set()

    async def send_heartbeats(self) -> None:
        """Start the chain; then periodically send heartbeats, and have the chain observe its peers."""
        self._add_event(lambda: self.chain.start(self._clock.now()))
        while True:
            self.peers.send_heartbeats()
            self.chain.stopping = self.stopping
            self.chain.disk_slow = self._is_disk_slow()
            self._add_event(lambda: self.chain.tick(self._clock.now(), self.peers.observations()))
            jitter = self._random.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)
            await trio.sleep(HEARTBEAT_MS * jitter / 1000.0)

    def _is_disk_slow(self) -> bool:
        return self._saving_since is not None and self._clock.now() - self._saving_since > SLOW_SAVE_MS

    async def run(self) -> None:
        """Give the chain one event after another, save, and carry out its effects."""
        while True:
            await self._has_events.wait()
            self._has_events = trio.Event()
            self._handle_events()
            effects = self.chain.take_effects()
            if self.chain.dirty:
                self.chain.dirty = False
                await self._save()
            for address, message in effects.messages:
                self.send(address, ChainMessage(message.encode()))
            for ticket, outcome in effects.outcomes:
                self._updates.on_outcome(ticket, outcome)
            if self.lease.install(self._clock.now(), self.chain.view):
                self._announce_view()
            if effects.newly_committed:
                self._listener.on_committed(self.chain.committed)

    def _handle_events(self) -> None:
        events = self._events
        self._events = []
        for event in events:
            with isolate_faults(FaultStep.PEER_MESSAGE):
                self._handle_event(event)

    def _handle_event(self, event: Callable[[], None]) -> None:
        try:
            event()
        except (*DECODE_ERRORS, AssertionError) as error:
            logs.log_event("replication_message_invalid", reason=error)

    def _announce_view(self) -> None:
        view = self.chain.view
        logs.log_event(
            "view_installed",
            epoch=view.epoch,
            voters=",".join(voter.address for voter in view.voters),
            chain=",".join(member.address for member in view.chain),
            member=self.chain.is_member,
        )
        self._listener.on_view_change()

    async def _save(self) -> None:
        """Save the durable state; retry while the disk refuses."""
        durable = {**self.chain.durable(), "disk": self.chain.me.disk_id}
        replica = self.chain.replica.copy()
        self._saving_since = self._clock.now()
        while not await self._try_to_save(lambda: self.store.save(durable, replica)):
            await trio.sleep(SAVE_RETRY_S)
        self._saving_since = None

    async def save_endpoints(self, endpoints: PackedFields) -> None:
        """Save the known endpoints, packed; where the disk refuses, the next change tries again."""
        await self._try_to_save(lambda: self.store.save_endpoints(endpoints))

    async def save_data_planes(self, names: list[str]) -> bool:
        """Save the known data planes; False where the disk refuses."""
        return await self._try_to_save(lambda: self.store.save_data_planes(names))

    async def _try_to_save(self, save: Callable[[], None]) -> bool:
        try:
            async with self._disk:
                await trio.to_thread.run_sync(save)
        except (sqlite3.Error, OSError) as error:
            logs.log_event("store_save_failed", reason=error)
            return False
        return True

    # Queries.

    def status(self) -> NodeStatus:
        """Return what this node reports of itself."""
        chain = self.chain
        committed = chain.committed
        return NodeStatus(
            disk_id=chain.me.disk_id,
            epoch=chain.view.epoch,
            config_epoch=committed.config.epoch,
            config_version=node_status_version(committed.config.version),
            departure_count=len(committed.departures),
            departure_checksum=committed.departures_checksum,
            config_identity=chain.replica.config.identity,
            is_unhealthy=chain.disk_slow or chain.stopping,
            zone=self._settings.zone,
            control_address=self._settings.bind.control_addr,
            reachable_ips=self.peers.reachable(),
        )

    @property
    def in_contact(self) -> bool:
        """Return whether a majority of the voters has answered recently, of the same epoch as this node's.

        Answers count by when they were asked for: after a cut, connections are up again before what is
        received on them is new.
        """
        view = self.chain.view
        since = self._clock.now() - REACHABLE_MS
        in_contact = [
            voter for voter in view.voters if voter == self.chain.me or self._has_answered(voter, since)
        ]
        return bool(view.epoch) and view.is_majority(in_contact)

    def _has_answered(self, voter: Member, since: float) -> bool:
        status = self.peers.statuses.get(voter.address)
        if status is None or not self.peers.answered_since(voter.address, since):
            return False
        return (status.disk_id, status.epoch) == (voter.disk_id, self.chain.view.epoch)

    @property
    def may_stop(self) -> bool:
        """Return whether this node may end: nothing depends on it alone, or there is no other node."""
        return self.chain.may_stop or not self.peers.statuses

    @property
    def holds_lease(self) -> bool:
        """Return whether a majority of the voters grants this node the lease."""
        return self.lease.is_held(self._clock.now(), self.chain)

    @property
    def may_use_lease(self) -> bool:
        """Return whether this node holds the lease, and all leases of earlier views have expired."""
        return self.lease.is_usable(self._clock.now(), self.chain)

    def reasons_behind(self, address: str) -> list[str]:
        """Describe in what another node's replica is behind this one's; nothing where it is as good."""
        status = self.peers.statuses.get(address)
        reachable = self.peers.is_reachable(address)
        return diagnostics.reasons_behind(self.chain, address, status, reachable)

    def tolerance_shortfalls(self) -> list[str]:
        """Describe what of the setting `tolerates` the present view does not meet, if anything."""
        zones = {address: status.zone for address, status in self.peers.statuses.items()}
        zones[self._ip] = self._settings.zone
        return tolerance_shortfalls(self.chain.view, self.chain.tolerance, zones, self._settings.zones)
