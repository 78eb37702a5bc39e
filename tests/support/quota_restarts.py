"""A quota while processes are killed and start again: data planes, the owner of the count, the core."""

from __future__ import annotations

from random import Random

from tests.dataplane.test_policy import EXCESS, SLACK, SPAN_S
from tests.support.quota_simulation import (
    NEVER_MS,
    TENANT,
    VIEW_BEFORE_TAKEOVER_MS,
    QuotaSimulation,
    SimulatedControlPlane,
)
from wickspring.common.routing_table import Tenant
from wickspring.dataplane.policy.quota import QuotaPolicy


class RestartSimulation(QuotaSimulation):
    """The same, with data planes that are killed together and come back, before or after the owner's end.

    The owner's node comes back with an empty disk, and may then become the owner again. In every other
    simulation the owner lives on, and in every other one no data plane is cut off.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.events = Random(f"restarts {seed}")  # apart, as the draws of `QuotaSimulation` are kept
        draw = self.events.uniform
        rate = self.events.choice((12.0, 63.0, 95.0, 150.0))
        self.tenant = Tenant(TENANT, 0, rate, rate * self.events.choice((0.5, 1.0)))
        if self.events.random() < 0.5:
            self.cut_at = self.heal_at = NEVER_MS
        self.owner_ends_again_at = NEVER_MS
        self.node_returns_at = self.owner_ends_at + draw(500.0, 4000.0)
        if self.events.random() < 0.5:
            self.owner_ends_at = self.node_returns_at = NEVER_MS
        self.kill_at = self.high_load_at + draw(-500.0, 4500.0)
        self.restart_at = self.kill_at + draw(500.0, 3000.0)
        self.connect_at = self.restart_at + draw(10.0, 400.0)  # until when they decide alone
        self.ownership_returns_at = NEVER_MS
        self.ended_node: SimulatedControlPlane | None = None
        self.killed: list[str] = []

    def _choose_data_plane(self) -> str:
        """Return a data plane that runs: clients of one that does not go on to another."""
        name = super()._choose_data_plane()
        if self.data_planes[name].running:
            return name
        return self.events.choice([name for name in self.data_planes if self.data_planes[name].running])

    def _run_due_events(self, now: float) -> None:
        super()._run_due_events(now)
        if now >= self.kill_at:
            self.kill_at = NEVER_MS
            self._kill_data_planes(now)
        if now >= self.restart_at:
            self.restart_at = NEVER_MS
            self._restart_data_planes(now)
        if now >= self.connect_at:
            self.connect_at = NEVER_MS
            self._connect_restarted(now)
        if now >= self.node_returns_at:
            self.node_returns_at = NEVER_MS
            self._return_node(now)
        if now >= self.ownership_returns_at and self.owner is not None:
            self.ownership_returns_at = NEVER_MS
            self._return_ownership(now)

    def _kill_data_planes(self, now: float) -> None:
        self.killed = self.events.sample(list(self.data_planes), self.events.choice((3, 6, 9)))
        for name in self.killed:
            self.data_planes[name].running = False
            for control_plane in self.control_planes:  # its connections are reset
                if control_plane.running and self.data_planes[name].cut_at is None:
                    control_plane.quota_counter.mark_ended(control_plane.local_time(now), name)

    def _restart_data_planes(self, now: float) -> None:
        """Start them with no usage; they are not connected yet."""
        for name in self.killed:
            data_plane = self.data_planes[name]
            data_plane.quota = QuotaPolicy(SPAN_S, EXCESS, SLACK)
            data_plane.running = True
            data_plane.cut_at = now

    def _connect_restarted(self, now: float) -> None:
        for name in self.killed:
            self.data_planes[name].cut_at = None
            self._connect_to_all(now, name)

    def _end_owner(self, now: float) -> None:
        self.ended_node = self.owner
        super()._end_owner(now)
        if self.ended_node is not None:
            self.ended_node.running = False

    def _return_node(self, now: float) -> None:
        """Start the ended owner's node with nothing on its disk."""
        node = self.ended_node
        if node is None:
            return
        node.running = True
        node.restart(now, set(self.data_planes), keeps_disk=False)
        for name, data_plane in self.data_planes.items():
            if data_plane.reachable:
                self._connect(now, name, node)
        self.ownership_returns_at = now + self.events.uniform(300.0, 1500.0)

    def _return_ownership(self, now: float) -> None:
        """Start a view in which the node that has come back owns the count."""
        self.owner = None
        self.next_owner = self.ended_node
        self._start_view(now)
        self.takeover_at = now + VIEW_BEFORE_TAKEOVER_MS


class CoreRestartSimulation(QuotaSimulation):
    """All control planes are killed at once and come back, while data planes are cut off.

    Nobody that has counted is left. The data planes in reach connect to the new processes, those cut off once
    the partition heals. In every fourth simulation none is cut off.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.events = Random(f"core restarts {seed}")  # apart, as the draws of `QuotaSimulation` are kept
        draw = self.events.uniform
        rate = self.events.choice((12.0, 63.0, 109.0, 150.0))
        self.tenant = Tenant(TENANT, 0, rate, rate * self.events.choice((0.5, 1.0)))
        self.core_ends_at = self.high_load_at + draw(-1500.0, 3000.0)
        self.core_returns_at = self.core_ends_at + draw(400.0, 1200.0)
        self.cut_at = self.core_ends_at + draw(-1200.0, 600.0)
        self.heal_at = self.cut_at + draw(1500.0, 7000.0)
        if seed % 4 == 3:
            self.cut_at = self.heal_at = NEVER_MS
        self.owner_ends_at = self.owner_ends_again_at = NEVER_MS

    def _run_due_events(self, now: float) -> None:
        super()._run_due_events(now)
        if now >= self.core_ends_at:
            self.core_ends_at = NEVER_MS
            self._kill_core()
        if now >= self.core_returns_at:
            self.core_returns_at = NEVER_MS
            self._return_core(now)

    def _kill_core(self) -> None:
        for control_plane in self.control_planes:
            control_plane.running = False
        self.owner = None

    def _return_core(self, now: float) -> None:
        """Start all control planes with no counts, in the view that they had."""
        for control_plane in self.control_planes:
            control_plane.running = True
            control_plane.restart(now, set(self.data_planes))
        for name, data_plane in self.data_planes.items():
            if data_plane.reachable:
                self._connect_to_all(now, name)
        self.next_owner = self.control_planes[0]
        self.takeover_at = now + VIEW_BEFORE_TAKEOVER_MS
