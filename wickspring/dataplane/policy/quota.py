"""Quotas: each request adds a unit to its tenant's count, whose total decides; a rule while nobody answers.

The owner of a tenant's count reports the total in the rule's span with each unit that is added; above the
limit the data plane refuses. While the owner does not answer, the data plane goes on within its own share of
the ceiling, less a margin, and reports its units to the next owner. That right is a lease: each answer renews
it, and it ends before the owner stops to reserve for it (`common.quota_rule.isolation_ms`). One that does not
know its share may have been started while the owner has given out all; it goes on within its even part of
what the ceiling leaves beside that. No I/O; times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from wickspring.common.quota_rule import (
    ISOLATED_SHARE,
    WINDOWS_PER_SPAN,
    isolation_ms,
    quota_ceiling,
    quota_margin,
)
from wickspring.common.routing_table import Tenant

SHARE_SMOOTHING = 12  # replies in the moving average of the share; of fewer it is the mean
SHARE_DIGITS = 3
MIN_TOTAL = 6  # units in a total, below which it says nothing of shares


@dataclass(slots=True)
class TenantUsage:
    """What this data plane knows of one tenant's count."""

    windows: deque[list[int]] = field(default_factory=deque)  # window number and own units, oldest first
    units: int = 0  # own, in all windows
    share: float = 0.0  # of the total that is its own; not known before the first reply
    replies: int = 0  # that the share has been averaged over
    answered_at: float = 0.0  # when the owner has allowed a unit last; the share holds for a while from then


class TenantReport(NamedTuple):
    """What one data plane reports of a tenant to the owner of its count."""

    tenant: str
    windows: list[tuple[int, int]]  # how many windows ago, and the units spent in that window
    share: float  # of all units, that is its own; 0 where it is not known


@dataclass(slots=True, frozen=True)
class QuotaDecision:
    """Whether a request is allowed; else after how many milliseconds its client may come back."""

    allowed: bool
    retry_after_ms: float = 0.0


class QuotaPolicy:
    """The usage of all tenants at this data plane."""

    def __init__(self, span_s: float, excess: float, slack: float) -> None:
        self.span_s = span_s
        self.excess = excess
        self.slack = slack
        self.window_ms = 1000.0 * span_s / WINDOWS_PER_SPAN
        self.usages: dict[str, TenantUsage] = {}

    def _usage(self, now: float, tenant: str) -> tuple[int, TenantUsage]:
        window = int(now / self.window_ms)
        usage = self.usages.setdefault(tenant, TenantUsage())
        while usage.windows and usage.windows[0][0] < window - WINDOWS_PER_SPAN:
            usage.units -= usage.windows.popleft()[1]
        return window, usage

    def charge(self, now: float, tenant: str) -> None:
        """Count a unit as spent, from the moment that the owner is asked to add it."""
        window, usage = self._usage(now, tenant)
        if usage.windows and usage.windows[-1][0] == window:
            usage.windows[-1][1] += 1
        else:
            usage.windows.append([window, 1])
        usage.units += 1

    def refund(self, now: float, tenant: str) -> bool:
        """Take off a unit that was not spent; False where none is left to take off."""
        _, usage = self._usage(now, tenant)
        for window in reversed(usage.windows):
            if window[1] > 0:
                window[1] -= 1
                usage.units -= 1
                return True
        return False

    def decide(self, now: float, tenant: str, total: int, limit: int, retry_after_ms: float) -> QuotaDecision:
        """Decide on a request by the total that the owner has reported for its unit."""
        _, usage = self._usage(now, tenant)
        if total > limit:
            self.refund(now, tenant)
            return QuotaDecision(False, retry_after_ms)
        if not self._holds_share(now, usage):
            usage.replies = 0
        usage.answered_at = now
        if total >= MIN_TOTAL:
            usage.replies += 1
            weight = 1.0 / min(usage.replies, SHARE_SMOOTHING)
            usage.share += (min(1.0, usage.units / total) - usage.share) * weight
        return QuotaDecision(True)

    def decide_alone(self, now: float, tenant: Tenant, data_plane_count: int) -> QuotaDecision:
        """Decide on a request that is charged already, and whose owner has not answered."""
        present, usage = self._usage(now, tenant.name)
        if usage.units <= self._isolated_limit(now, tenant, usage, data_plane_count):
            return QuotaDecision(True)
        self.refund(now, tenant.name)
        oldest = usage.windows[0][0] if usage.windows else present
        expires_at = (oldest + WINDOWS_PER_SPAN + 1) * self.window_ms
        return QuotaDecision(False, max(self.window_ms, expires_at - now))

    def _holds_share(self, now: float, usage: TenantUsage) -> bool:
        """Return whether a share is known, and the owner still reserves for it."""
        return usage.replies > 0 and now - usage.answered_at < isolation_ms(self.span_s)

    def _isolated_limit(self, now: float, tenant: Tenant, usage: TenantUsage, data_plane_count: int) -> float:
        """Return up to how many units in the span this data plane goes on without the owner's answer."""
        rule = (tenant.rate, tenant.burst, self.span_s, self.excess, self.slack)
        if self._holds_share(now, usage):
            return ISOLATED_SHARE * usage.share * quota_ceiling(*rule)
        return quota_margin(*rule) / max(1, data_plane_count)

    def reports(self, now: float) -> list[TenantReport]:
        """Return what has been spent of each tenant's quota in the span."""
        reports = []
        for tenant in list(self.usages):
            present, usage = self._usage(now, tenant)
            if usage.units > 0:
                windows = [(present - number, units) for number, units in usage.windows if units]
                share = round(usage.share, SHARE_DIGITS) if self._holds_share(now, usage) else 0.0
                reports.append(TenantReport(tenant, windows, share))
        return reports
