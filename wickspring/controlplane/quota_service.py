"""Counts of tenants' requests, kept for data planes while this node holds the lease for them."""

from __future__ import annotations

from wickspring.common import logs
from wickspring.common.messages import (
    AddQuota,
    QuotaOwnerMoved,
    QuotaShares,
    QuotaTotal,
    ReplicatedCounts,
    UsageReport,
)
from wickspring.common.quota_rule import WINDOWS_PER_SPAN
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions, PeerSession


class QuotaService:
    """Answers and records what data planes send on of a tenant's requests."""

    def __init__(self, components: Components, data_planes: DataPlaneSessions) -> None:
        self._clock = components.clock
        self._counter = components.quota_counter
        self._replication = components.replication
        self._config_distributor = components.config_distributor
        self._known_data_planes = components.known_data_planes
        self._data_planes = data_planes
        self._reachable_nodes: set[str] = set()  # when counts were replicated last
        self._announced_epoch = 0  # of the view in which `counting_started` was logged last

    def acquire(self, session: PeerSession, request: AddQuota) -> None:
        """Count one unit for a data plane, and answer with the count and its limit.

        Where this node does not own counts in that epoch, the answer is that they have moved.
        """
        tenant = self._config_distributor.routing_table.tenants.get(request.tenant)
        replication = self._replication
        if tenant is None or not replication.may_use_lease or request.epoch != replication.lease.epoch:
            session.send(QuotaOwnerMoved(request.request_number))
            return
        self._announce_counting(request.epoch)
        decision = self._counter.acquire(
            self._clock.now(), tenant.name, session.name, tenant.rate, tenant.burst, request.is_retry
        )
        session.send(
            QuotaTotal(request.request_number, decision.total, decision.limit, round(decision.wait_ms))
        )

    def _announce_counting(self, epoch: int) -> None:
        """Log once for each view, and each start of the process, that counts are kept here, and from what."""
        if epoch == self._announced_epoch:
            return
        self._announced_epoch = epoch
        logs.log_event(
            "counting_started",
            epoch=epoch,
            data_planes=self._data_planes.live_count,
            unresponsive=len(self._counter.unresponsive_for_ms(self._clock.now())),
        )

    def record_spent(self, data_plane: str, tenant_name: str) -> None:
        """Count a unit that a data plane has sent on without an answer from here."""
        tenant = self._config_distributor.routing_table.tenants.get(tenant_name)
        if tenant is not None:
            self._counter.record_spent(self._clock.now(), tenant.name, data_plane, tenant.rate, tenant.burst)

    def give_back(self, data_plane: str, tenant_name: str) -> None:
        """Return the unit of a request that has not run and never will."""
        self._counter.give_back(tenant_name, data_plane)

    def receive_usage_report(self, data_plane: str, report: UsageReport) -> None:
        """Replace what is known of a data plane's use of a tenant's quota by its own report."""
        now = self._clock.now()
        self._counter.receive_usage_report(now, report.tenant, data_plane, report.windows, report.share)

    def data_plane_connected(self, data_plane: str) -> None:
        """Record that a data plane is in reach again."""
        self._known_data_planes.record_seen(self._clock.now(), [data_plane])
        self._counter.mark_responsive(data_plane)

    def data_plane_ended(self, data_plane: str) -> None:
        """Record that a data plane's connection was closed: it may be starting again."""
        self._counter.mark_ended(self._clock.now(), data_plane)

    def data_plane_timed_out(self, data_plane: str) -> None:
        """Record that a data plane is out of reach: it may go on in isolation."""
        self._counter.mark_unresponsive(self._clock.now(), data_plane)

    def start_view(self) -> None:
        """Start counting in a new view, from what the data planes and the owner before have reported."""
        self._reserve_for_unreached()
        self._counter.start_view(self._clock.now())

    def _reserve_for_unreached(self) -> None:
        """Reserve units for the known data planes that are not connected here: they may go on in isolation.

        Whichever node has answered them last, it was not this one, or not this process.
        """
        now = self._clock.now()
        for data_plane in sorted(self._known_data_planes.names(now) - self._data_planes.names()):
            self._counter.mark_unresponsive(now, data_plane)

    # The data planes that a restart must not forget.

    def restore(self) -> None:
        """Start with the data planes on this node's disk, none of which has connected yet."""
        self._known_data_planes.restore(self._clock.now(), self._replication.store.load_data_planes())
        self._reserve_for_unreached()

    async def save_data_planes(self) -> None:
        """Save which data planes there are, where that has changed; a disk that refuses is tried again."""
        now = self._clock.now()
        self._known_data_planes.record_seen(now, self._data_planes.names())
        names = self._known_data_planes.unsaved(now)
        if names is not None and await self._replication.save_data_planes(names):
            self._known_data_planes.saved(names)

    # Replication.

    def replicate(self) -> None:
        """Send the counts of tenants that have used up much to the other nodes, while this one owns them."""
        tenants = self._config_distributor.routing_table.tenants
        bursts = {name: tenant.burst for name, tenant in tenants.items()}
        now = self._clock.now()
        counts = self._counter.low_tenants(now, bursts)
        joined = self._joined_nodes()
        if counts and self._replication.holds_lease:
            self._replicate_span(now, bursts, joined)
            self._replication.peers.broadcast(ReplicatedCounts(counts))
        unresponsive = self._counter.unresponsive_for_ms(now)
        if (counts or unresponsive) and self._replication.holds_lease:
            self._replication.peers.broadcast(QuotaShares(unresponsive, self._counter.shares(now, counts)))

    def _joined_nodes(self) -> list[str]:
        """Return the nodes that have come into reach since this was asked last."""
        reachable = set(self._replication.peers.reachable())
        joined = reachable - self._reachable_nodes
        self._reachable_nodes = reachable
        return sorted(joined)

    def _replicate_span(self, now: float, bursts: dict[str, float], nodes: list[str]) -> None:
        """Send the counts of the whole span to nodes that have not received them window by window."""
        if nodes:
            span = ReplicatedCounts(self._counter.low_tenants(now, bursts, WINDOWS_PER_SPAN))
            for address in nodes:
                self._replication.peers.send(address, span)

    def receive_replicated(self, counts: ReplicatedCounts) -> None:
        """Take over the counts that another node has replicated."""
        now = self._clock.now()
        for tenant_name, windows in counts.windows_by_tenant.items():
            self._counter.receive_replicated(now, tenant_name, windows)

    def receive_shares(self, shares: QuotaShares) -> None:
        """Take over which data planes an owner of counts does not reach, and their shares of its counts.

        A data plane that is connected here is not unresponsive, whatever another node says.
        """
        now = self._clock.now()
        for tenant_name, shares_by_data_plane in shares.shares_by_tenant.items():
            self._counter.receive_shares(tenant_name, shares_by_data_plane)
            self._known_data_planes.record_seen(now, shares_by_data_plane)
        connected = self._data_planes.names()
        for data_plane, remaining_ms in shares.unresponsive_ms.items():
            if data_plane not in connected:
                self._counter.mark_unresponsive(now, data_plane, remaining_ms)
