"""Counts of tenants' requests: data planes acquire one unit for each request. No I/O; times are ms.

One control-plane node owns the count of each tenant. Its windows are short and numbered by its own steady
clock, so no other process needs to know the time. No edge between windows lets a tenant use two limits close
together: every sliding span stays under the ceiling of the rule, though it touches one window more than it is
long (`wickspring.common.quota_rule`).

A client that comes back after a refusal is marked as a retry. While a tenant asks for more than it may have,
first attempts go first: else the same few units are asked for again and again, and whoever was refused once
is refused twice.

What a data plane out of reach may use in isolation is reserved for it (`quota_reservations`): units given out
and units reserved stay together under the ceiling. The time of the reservation (`reservation_ms` of the rule)
counts from when its connection has timed out, or from the start of this process. The data plane itself ends
its isolation a span earlier, so nothing is given out twice.

The nodes that do not own a count receive it while it runs low, so what data planes have used that ended
together with the owner is not forgotten. They receive each data plane's share too: so the next owner reserves
for the data planes that are unresponsive when it starts, whoever noticed it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wickspring.common.quota_rule import (
    EXTRA_BURST_UNITS,
    WINDOWS_PER_SPAN,
    quota_ceiling,
    quota_margin,
    reservation_ms,
)
from wickspring.controlplane.quota_reservations import UnresponsiveDataPlanes, reserved_units
from wickspring.controlplane.tenant_usage import TenantUsage, WindowUnits

REPLICATED_WINDOWS = 8
LOW_TOKENS_SHARE = 0.5  # of the burst, below which a tenant's count is replicated
SHARE_DIGITS = 3
FIRST_ATTEMPT_SHARE = 0.2  # of the burst, that is kept for first attempts
MIN_FIRST_ATTEMPT_UNITS = 4.0
MIN_REFILL_UNITS = 1e-9  # keeps the wait of a tenant without a rate finite


class QuotaDecision(NamedTuple):
    """The answer to one acquired unit; it is granted where `total` does not exceed `limit`."""

    total: int  # units in the span, with this one
    limit: int
    wait_ms: float  # until the window in which another attempt is worth it


class QuotaCounter:
    """The counts that this node owns, and what is replicated to it of the others."""

    def __init__(self, span_s: float, excess: float, slack: float) -> None:
        self.span_s = span_s
        self.excess = excess
        self.slack = slack
        self.window_ms = 1000.0 * span_s / WINDOWS_PER_SPAN
        self.usage: dict[str, TenantUsage] = {}  # by tenant
        self.unresponsive = UnresponsiveDataPlanes()

    # Data planes.

    def acquire(
        self, now: float, tenant: str, data_plane: str, rate: float, burst: float, is_retry: bool = False
    ) -> QuotaDecision:
        """Acquire one unit for a request.

        A unit past the limit is not counted: the data plane refuses its request by the decision.
        """
        window = int(now / self.window_ms)
        refill = rate * self.window_ms / 1000.0
        usage = self._usage_in(window, tenant, refill, burst)
        kept = max(MIN_FIRST_ATTEMPT_UNITS, FIRST_ATTEMPT_SHARE * burst) if is_retry else 0.0
        ceiling = quota_ceiling(rate, burst, self.span_s, self.excess, self.slack)
        # One window's refill is kept: the reports of data planes may be out of step by a window.
        reserved = self._reserved_in(now, window, usage, ceiling)
        if reserved:
            margin = quota_margin(rate, burst, self.span_s, self.excess, self.slack)
            reserved += margin * self.unresponsive.starting_share(now)
        room = ceiling - reserved - usage.total - refill
        available = min((usage.tokens or 0.0) - kept, room)
        limit = usage.total + max(0, int(available))
        if usage.total + 1 > limit:
            windows = max(1.0, (1.0 - available) / max(refill, MIN_REFILL_UNITS))
            return QuotaDecision(usage.total + 1, limit, (window + windows) * self.window_ms - now)
        usage.add_unit(window, data_plane)
        return QuotaDecision(usage.total, limit, (window + 1) * self.window_ms - now)

    def record_spent(self, now: float, tenant: str, data_plane: str, rate: float, burst: float) -> None:
        """Count a unit that a data plane has used on its own while this node gave none out."""
        window = self._window(now)
        refill = rate * self.window_ms / 1000.0
        self._usage_in(window, tenant, refill, burst).add_unit(window, data_plane)

    def give_back(self, tenant: str, data_plane: str) -> None:
        """Take off the unit of a request that has not run and never will."""
        usage = self.usage.get(tenant)
        if usage is not None:
            usage.remove_unit(data_plane)

    def receive_usage_report(
        self, now: float, tenant: str, data_plane: str, reported: WindowUnits, share: float = 0.0
    ) -> None:
        """Replace what is known of a data plane's use by its own report; a share of 0 is not known."""
        usage = self.usage.setdefault(tenant, TenantUsage())
        usage.replace_reported(self._window(now), data_plane, reported)
        if share > 0.0:
            usage.reported_shares[data_plane] = min(1.0, share)

    def mark_unresponsive(self, now: float, data_plane: str, lasts_ms: float | None = None) -> None:
        """Reserve units for a data plane that has timed out: it may go on in isolation.

        Its shares are taken when that is noted first. Later the span holds less and less of its units, and of
        others' from the same time, so a share of them would grow towards the whole.
        """
        longest_ms = reservation_ms(self.span_s)
        reserved_ms = longest_ms if lasts_ms is None else min(lasts_ms, longest_ms)
        if not self.unresponsive.mark(now, data_plane, reserved_ms):
            return
        window = self._window(now)
        for usage in self.usage.values():
            share = max(usage.shares.get(data_plane, 0.0), usage.share_of(window, data_plane))
            if share > 0.0:
                usage.shares[data_plane] = share

    def mark_responsive(self, data_plane: str) -> None:
        """Reserve nothing any more for a data plane that is in reach again."""
        self.unresponsive.clear(data_plane)

    def mark_ended(self, now: float, data_plane: str) -> None:
        """Reserve nothing any more for a data plane that has ended; it may be starting again."""
        self.unresponsive.mark_ended(now, data_plane, reservation_ms(self.span_s))

    # Replication.

    def low_tenants(
        self, now: float, bursts: Mapping[str, float], window_count: int = REPLICATED_WINDOWS
    ) -> dict[str, list[tuple[int, int]]]:
        """Return the last windows, by how long ago, of the tenants that have used up much of their bursts."""
        window = self._window(now)
        oldest = window - window_count
        low: dict[str, list[tuple[int, int]]] = {}
        for tenant, usage in self.usage.items():
            if usage.tokens is None or usage.tokens >= LOW_TOKENS_SHARE * bursts.get(tenant, 0.0):
                continue
            recent = [(window - number, units) for number, units in usage.windows if number >= oldest]
            if recent:
                low[tenant] = recent
        return low

    def receive_replicated(self, now: float, tenant: str, replicated: WindowUnits) -> None:
        """Take over what another node has counted while it owned a tenant's count."""
        self.usage.setdefault(tenant, TenantUsage()).merge_replicated(self._window(now), replicated)

    def unresponsive_for_ms(self, now: float) -> dict[str, float]:
        """Return the unresponsive data planes, and for how many ms more units are reserved for them."""
        return self.unresponsive.remaining_ms(now)

    def shares(self, now: float, tenants: Iterable[str]) -> dict[str, dict[str, float]]:
        """Return the data planes' shares of these tenants' counts, for the next owner."""
        window = self._window(now)
        return {tenant: self._shares_of(window, self.usage[tenant]) for tenant in tenants}

    def _shares_of(self, window: int, usage: TenantUsage) -> dict[str, float]:
        shares = {
            data_plane: round(usage.share_of(window, data_plane), SHARE_DIGITS)
            for data_plane in usage.by_data_plane
        }
        for data_plane in self.unresponsive.until:
            if data_plane in usage.shares:
                shares[data_plane] = usage.shares[data_plane]
        return {data_plane: share for data_plane, share in shares.items() if share > 0.0}

    def receive_shares(self, tenant: str, shares: Mapping[str, float]) -> None:
        """Take over the data planes' shares of a count that another node owns."""
        usage = self.usage.setdefault(tenant, TenantUsage())
        usage.shares = {data_plane: min(1.0, max(0.0, share)) for data_plane, share in shares.items()}

    def start_view(self, now: float) -> None:
        """Start to own counts: whatever others have counted is part of them from now on."""
        window = self._window(now)
        for usage in self.usage.values():
            usage.recompute(window)

    # Windows and reservations.

    def _window(self, now: float) -> int:
        return int(now / self.window_ms)

    def _usage_in(self, window: int, tenant: str, refill: float, burst: float) -> TenantUsage:
        """Return a tenant's usage, advanced to a window; `refill` units come with each."""
        usage = self.usage.get(tenant)
        if usage is None:
            usage = self.usage[tenant] = TenantUsage()
        if usage.tokens is None or usage.tokens_window != window:
            usage.advance(window, refill, refill + burst + EXTRA_BURST_UNITS)
        return usage

    def _reserved_in(self, now: float, window: int, usage: TenantUsage, ceiling: float) -> float:
        """Return the units that are reserved in a window; they are computed once in each."""
        if usage.reserved_window != window:
            usage.reserved_window = window
            unresponsive = self.unresponsive.active(now)
            never_connected = self.unresponsive.never_connected(unresponsive)
            usage.reserved = reserved_units(usage, window, unresponsive, never_connected, ceiling)
        return usage.reserved
