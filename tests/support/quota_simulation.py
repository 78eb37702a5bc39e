"""A tenant's quota in virtual time: data planes, owners of its count, and what happens to them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from tests.dataplane.test_policy import EXCESS, SLACK, SPAN_S, most_in_a_span
from wickspring.common.connection import RECEIVE_TIMEOUT_MS
from wickspring.common.quota_rule import WINDOWS_PER_SPAN, quota_ceiling
from wickspring.common.routing_table import Tenant
from wickspring.controlplane.maintenance import INTERVAL_MS
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.dataplane.policy.quota import QuotaPolicy

DATA_PLANE_COUNT = 11
CONTROL_PLANE_COUNT = 3
DURATION_MS = 22_000.0
NEVER_MS = DURATION_MS  # the time of an event that does not happen, or has happened
TENANT = "t"
TYPICAL_LOAD = 0.62  # of the tenant, relative to its rate
HIGH_LOAD = 6.0
TAKEOVER_MS = (900.0, 1900.0)  # shortest and longest, from an owner's end until the next one counts
VIEW_BEFORE_TAKEOVER_MS = 500.0  # of those, from the view that names the next owner


@dataclass
class Process:
    """A process on a machine with a steady clock of its own."""

    clock_offset_ms: float
    running: bool = True

    def local_time(self, now: float) -> float:
        """Return what its clock shows."""
        return now + self.clock_offset_ms


@dataclass
class SimulatedDataPlane(Process):
    """A data plane's side of the quota."""

    quota: QuotaPolicy = field(default_factory=lambda: QuotaPolicy(SPAN_S, EXCESS, SLACK))
    cut_at: float | None = None

    @property
    def reachable(self) -> bool:
        return self.running and self.cut_at is None

    def timed_out(self, now: float) -> bool:
        """Return whether it has been isolated for so long that control planes notice."""
        return self.cut_at is not None and now - self.cut_at >= RECEIVE_TIMEOUT_MS


@dataclass
class SimulatedControlPlane(Process):
    """A control-plane node's side of the quota: it may own the count."""

    quota_counter: QuotaCounter = field(default_factory=lambda: QuotaCounter(SPAN_S, EXCESS, SLACK))
    unresponsive: set[str] = field(default_factory=set)  # data planes that it knows to have timed out
    has_joined: bool = False  # started again, and the owner has not replicated counts since

    def restart(self, now: float, data_planes: set[str], keeps_disk: bool = True) -> None:
        """Start again with no counts; no data plane is connected, and the disk names all of them."""
        self.quota_counter = QuotaCounter(SPAN_S, EXCESS, SLACK)
        self.unresponsive = set(data_planes)
        self.has_joined = True
        if keeps_disk:
            for name in data_planes:
                self.quota_counter.mark_unresponsive(self.local_time(now), name)


class QuotaSimulation:
    """A tenant with a time of high load, while the owner is lost and data planes are cut off."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        rate = self.random.choice((12.0, 30.0, 71.0))
        self.tenant = Tenant(TENANT, 0, rate, rate * self.random.choice((0.5, 1.0)))
        uniform = self.random.uniform
        self.data_planes = {f"g{n}": SimulatedDataPlane(uniform(0.0, 1e6)) for n in range(DATA_PLANE_COUNT)}
        self.weights = [self.random.choice((1.0, 1.0, 2.0)) for _ in self.data_planes]
        self.control_planes = [SimulatedControlPlane(uniform(0.0, 1e6)) for _ in range(CONTROL_PLANE_COUNT)]
        self.owner: SimulatedControlPlane | None = self.control_planes[0]
        self.next_owner: SimulatedControlPlane | None = None
        self.allowed_at: list[float] = []
        self.maintained_at = 0.0
        # The times of the events; the order of the draws is kept, so that a seed stays the same history.
        self.high_load_at = uniform(11e3, 13e3)
        self.cut_at = uniform(11e3, 14e3)
        self.owner_ends_at = uniform(12e3, 15.5e3)
        self.heal_at = self.cut_at + uniform(3000, 7000)
        self.owner_ends_again_at = NEVER_MS
        if self.random.random() < 0.5:
            self.owner_ends_again_at = self.owner_ends_at + uniform(2500, 5000)
        self.view_change_at = NEVER_MS
        self.takeover_at = NEVER_MS

    def run(self) -> None:
        """Run it, request by request."""
        now = 0.0
        while now < DURATION_MS:
            load = HIGH_LOAD if now > self.high_load_at else TYPICAL_LOAD
            now += 1000.0 * self.random.expovariate(self.tenant.rate * load)
            self._run_due_events(now)
            if now - self.maintained_at >= INTERVAL_MS:
                self.maintained_at = now
                self._maintain(now)
            name = self._choose_data_plane()
            if self._is_allowed(now, name):
                self.allowed_at.append(now)

    def _choose_data_plane(self) -> str:
        """Return the data plane that receives the next request."""
        return self.random.choices(list(self.data_planes), self.weights)[0]

    def _run_due_events(self, now: float) -> None:
        if now >= self.cut_at:
            self.cut_at = NEVER_MS
            self._cut_data_planes(now)
        if now >= self.owner_ends_at:
            self.owner_ends_at = self.owner_ends_again_at
            self.owner_ends_again_at = NEVER_MS
            self._end_owner(now)
        if now >= self.view_change_at:
            self.view_change_at = NEVER_MS
            self._start_view(now)
        if now >= self.takeover_at:
            self.takeover_at = NEVER_MS
            self.owner = self.next_owner
            self.next_owner = None
        if now >= self.heal_at:
            self.heal_at = NEVER_MS
            self._heal(now)

    def _cut_data_planes(self, now: float) -> None:
        data_planes = list(self.data_planes.values())
        for data_plane in self.random.sample(data_planes, self.random.choice((1, 2, 3))):
            data_plane.cut_at = now

    def _heal(self, now: float) -> None:
        for name, data_plane in self.data_planes.items():
            if data_plane.cut_at is not None:
                data_plane.cut_at = None
                self._connect_to_all(now, name)

    def _end_owner(self, now: float) -> None:
        """End the owner; it starts again with no counts, and the reachable data planes connect to it."""
        ended = self.owner
        if ended is None:
            return
        self.owner = None
        candidates = [control_plane for control_plane in self.control_planes if control_plane is not ended]
        self.next_owner = self.random.choice(candidates)
        ended.restart(now, set(self.data_planes))
        for name, data_plane in self.data_planes.items():
            if data_plane.reachable:
                self._connect(now, name, ended)
        self.takeover_at = now + self.random.uniform(*TAKEOVER_MS)
        self.view_change_at = self.takeover_at - VIEW_BEFORE_TAKEOVER_MS

    def _connect_to_all(self, now: float, name: str) -> None:
        for control_plane in self.control_planes:
            if control_plane.running:
                self._connect(now, name, control_plane)

    def _connect(self, now: float, name: str, control_plane: SimulatedControlPlane) -> None:
        control_plane.quota_counter.mark_responsive(name)
        control_plane.unresponsive.discard(name)
        self._report_usage(now, name, control_plane)

    def _report_usage(self, now: float, name: str, control_plane: SimulatedControlPlane) -> None:
        data_plane = self.data_planes[name]
        received_at = control_plane.local_time(now)
        for tenant, windows, share in data_plane.quota.reports(data_plane.local_time(now)):
            control_plane.quota_counter.receive_usage_report(received_at, tenant, name, windows, share)

    def _start_view(self, now: float) -> None:
        """Name the next owner; the reachable data planes report their usage to all control planes."""
        for control_plane in self.control_planes:
            control_plane.quota_counter.start_view(control_plane.local_time(now))
            for name, data_plane in self.data_planes.items():
                if data_plane.reachable and control_plane.running:
                    self._report_usage(now, name, control_plane)

    def _maintain(self, now: float) -> None:
        """Have control planes notice data planes that have timed out, and the owner replicate its count."""
        for control_plane in self.control_planes:
            for name, data_plane in self.data_planes.items():
                if data_plane.timed_out(now) and name not in control_plane.unresponsive:
                    control_plane.unresponsive.add(name)
                    control_plane.quota_counter.mark_unresponsive(control_plane.local_time(now), name)
        if self.owner is not None:
            self._replicate_counts(now, self.owner)

    def _replicate_counts(self, now: float, owner: SimulatedControlPlane) -> None:
        """Send the owner's count to the others, if little of it is left."""
        sent_at = owner.local_time(now)
        bursts = {TENANT: self.tenant.burst}
        counts = owner.quota_counter.low_tenants(sent_at, bursts)
        if not counts:
            for replica in self.control_planes:
                replica.has_joined = replica.has_joined and not replica.running
            return
        span = owner.quota_counter.low_tenants(sent_at, bursts, WINDOWS_PER_SPAN)
        unresponsive_for_ms = owner.quota_counter.unresponsive_for_ms(sent_at)
        shares = owner.quota_counter.shares(sent_at, counts)
        for replica in self.control_planes:
            if replica is owner or not replica.running:
                continue
            received_at = replica.local_time(now)
            units = span[TENANT] if replica.has_joined else counts[TENANT]
            replica.has_joined = False
            replica.quota_counter.receive_replicated(received_at, TENANT, units)
            replica.quota_counter.receive_shares(TENANT, shares[TENANT])
            for name in set(unresponsive_for_ms) & replica.unresponsive:
                replica.quota_counter.mark_unresponsive(received_at, name, unresponsive_for_ms[name])

    def _is_allowed(self, now: float, name: str) -> bool:
        """Have a data plane decide on a request."""
        data_plane = self.data_planes[name]
        tenant = self.tenant
        local_now = data_plane.local_time(now)
        data_plane.quota.charge(local_now, TENANT)
        if data_plane.reachable and self.owner is not None:
            total, limit, wait = self.owner.quota_counter.acquire(
                self.owner.local_time(now), TENANT, name, tenant.rate, tenant.burst
            )
            return data_plane.quota.decide(local_now, TENANT, total, limit, wait).allowed
        allowed = data_plane.quota.decide_alone(local_now, tenant, DATA_PLANE_COUNT).allowed
        next_owner = self.next_owner if self.view_change_at == NEVER_MS else None
        if allowed and next_owner is not None and data_plane.reachable:
            next_owner.quota_counter.record_spent(
                next_owner.local_time(now), TENANT, name, tenant.rate, tenant.burst
            )
        return allowed


def excess(simulation: QuotaSimulation) -> float:
    """Run a simulation; return by how many requests its fullest span passes the ceiling.

    Below 0 it does not.
    """
    simulation.run()
    tenant = simulation.tenant
    ceiling = quota_ceiling(tenant.rate, tenant.burst, SPAN_S, EXCESS, SLACK)
    return most_in_a_span(simulation.allowed_at, 1000.0 * SPAN_S) - ceiling
