"""Counts of tenants' requests, kept for data planes while this node holds the lease for them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions, PeerSession

WindowCounts = Iterable[tuple[int, int]]  # windows ago, and units spent then


class QuotaService:
    """Answers and records what data planes send on of a tenant's requests."""

    def __init__(self, components: Components, data_planes: DataPlaneSessions) -> None:
        self._clock = components.clock
        self._counter = components.quota_counter
        self._replication = components.replication
        self._config_distributor = components.config_distributor
        self._data_planes = data_planes

    def acquire(
        self, session: PeerSession, request_number: int, tenant_name: str, is_retry: bool, epoch: int
    ) -> None:
        """Count one unit for a data plane, and answer with the count and its limit.

        Where this node does not own counts in that epoch, the answer is that they have moved.
        """
        tenant = self._config_distributor.routing_table.tenants.get(tenant_name)
        replication = self._replication
        if tenant is None or not replication.keeps or epoch != replication.lease.epoch:
            session.send("moved", request_number)
            return
        total, limit, wait_ms = self._counter.add(
            self._clock.now(), tenant_name, session.name, tenant.rate, tenant.burst, is_retry
        )
        session.send("sum", request_number, total, limit, round(wait_ms))

    def record_spent(self, data_plane: str, tenant_name: str) -> None:
        """Count a unit that a data plane has sent on without an answer from here."""
        tenant = self._config_distributor.routing_table.tenants.get(tenant_name)
        if tenant is not None:
            self._counter.spent(self._clock.now(), tenant.name, data_plane, tenant.rate, tenant.burst)

    def give_back(self, data_plane: str, tenant_name: str) -> None:
        """Return the unit of a request that has not run and never will."""
        self._counter.give_back(self._clock.now(), tenant_name, data_plane)

    def receive_usage_report(self, data_plane: str, tenant_name: str, counts: WindowCounts) -> None:
        """Replace what is known of a data plane's use of a tenant's quota by its own report."""
        self._counter.past(self._clock.now(), tenant_name, data_plane, counts)

    def data_plane_connected(self, data_plane: str) -> None:
        """Record that a data plane is in reach again."""
        self._counter.back(data_plane)

    def data_plane_timed_out(self, data_plane: str) -> None:
        """Record that a data plane is out of reach: it may go on in isolation."""
        self._counter.went_silent(self._clock.now(), data_plane)

    def start_view(self) -> None:
        """Start counting in a new view, from what the data planes and the owner before have reported."""
        self._counter.begin(self._clock.now())

    def replicate(self) -> None:
        """Send the counts of tenants that have used up much to the other nodes, while this one owns them."""
        tenants = self._config_distributor.routing_table.tenants
        bursts = {name: tenant.burst for name, tenant in tenants.items()}
        now = self._clock.now()
        counts = self._counter.much_used(now, bursts)
        if counts and self._replication.steady:
            self._replication.say_all("shadow", counts)
        unresponsive = self._counter.silent_for(now)
        if (counts or unresponsive) and self._replication.steady:
            self._replication.say_all("shares", unresponsive, self._counter.shares(now, counts))

    def receive_replicated(self, counts_by_tenant: Mapping[Any, Iterable[tuple[Any, Any]]]) -> None:
        """Take over the counts that another node has replicated."""
        now = self._clock.now()
        for tenant_name, counts in counts_by_tenant.items():
            self._counter.shadowed(now, str(tenant_name), [(int(ago), int(units)) for ago, units in counts])

    def receive_shares(
        self, unresponsive: Mapping[Any, Any], shares_by_tenant: Mapping[Any, Mapping[Any, Any]]
    ) -> None:
        """Take over which data planes an owner of counts does not reach, and their shares of its counts.

        A data plane that is connected here is not unresponsive, whatever another node says.
        """
        now = self._clock.now()
        for tenant_name, shares in shares_by_tenant.items():
            self._counter.take_shares(
                str(tenant_name), {str(data_plane): float(share) for data_plane, share in shares.items()}
            )
        connected = self._data_planes.names()
        for data_plane, remaining_ms in unresponsive.items():
            if data_plane not in connected:
                self._counter.went_silent(now, str(data_plane), float(remaining_ms))
