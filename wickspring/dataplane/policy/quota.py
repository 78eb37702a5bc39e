"""Quotas: one add a request to the tenant's count, and what is done while nobody answers an add.

The keeper of a tenant's count tells the total in the rule's span with each add; the pilot refuses where that
is past the limit. It remembers what it has sent on itself, and which part of the total that was. While the
keeper is silent it goes on within that part of the ceiling, less a margin: all parts together stay under the
ceiling, and what a pilot has sent on before counts in its part. It tells the next keeper all of it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from wickspring.common.quota_rule import ISOLATED_SHARE, WINDOWS_PER_SPAN, quota_ceiling
from wickspring.common.routing_table import Tenant

PART_LEAST = 0.25  # of an even part, for a pilot that does not know its own
PART_MEMORY = 12.0  # answers in the mean of the part
FEW = 6  # units in a total that says nothing yet of parts


@dataclass(slots=True)
class TenantUsage:
    """What this pilot knows of one tenant's count."""

    windows: deque[list[int]] = field(default_factory=deque)  # number and own units, oldest first
    own: int = 0
    part: float = -1.0  # of the total that is its own; below 0: not known


@dataclass(slots=True, frozen=True)
class QuotaDecision:
    """Whether a request goes on; else ms after which to come back."""

    goes: bool
    wait: float = 0.0


class QuotaPolicy:
    """All tenants' accounts at this pilot."""

    def __init__(self, span_s: float, excess: float, slack: float) -> None:
        self.span_s, self.excess, self.slack = span_s, excess, slack
        self.window_ms = 1000.0 * span_s / WINDOWS_PER_SPAN
        self.accounts: dict[str, TenantUsage] = {}

    def _account(self, now: float, tenant: str) -> tuple[int, TenantUsage]:
        window = int(now / self.window_ms)
        account = self.accounts.setdefault(tenant, TenantUsage())
        while account.windows and account.windows[0][0] < window - WINDOWS_PER_SPAN:
            account.own -= account.windows.popleft()[1]
        return window, account

    def sent(self, now: float, tenant: str) -> None:
        """Note a unit as sent on, from the moment of its add: what is taken back is taken off again."""
        window, account = self._account(now, tenant)
        if account.windows and account.windows[-1][0] == window:
            account.windows[-1][1] += 1
        else:
            account.windows.append([window, 1])
        account.own += 1

    def taken_back(self, now: float, tenant: str) -> bool:
        """Take off a unit that was not used; False where none is left to take off."""
        _, account = self._account(now, tenant)
        for entry in reversed(account.windows):
            if entry[1] > 0:
                entry[1] -= 1
                account.own -= 1
                return True
        return False

    def counted(self, now: float, tenant: str, total: int, limit: int, wait: float) -> QuotaDecision:
        """Rule on a request by the total that its add has come to."""
        _, account = self._account(now, tenant)
        if total > limit:
            self.taken_back(now, tenant)
            return QuotaDecision(False, wait)
        if total >= FEW:
            part = min(1.0, account.own / total)
            account.part = part if account.part < 0 else account.part + (part - account.part) / PART_MEMORY
        return QuotaDecision(True)

    def alone(self, now: float, tenant: Tenant, data_planes: int) -> QuotaDecision:
        """Rule on a request whose add nobody has answered; its unit is noted already."""
        _, account = self._account(now, tenant.name)
        whole = quota_ceiling(tenant.rate, tenant.burst, self.span_s, self.excess, self.slack)
        part = account.part if account.part >= 0 else PART_LEAST / max(1, data_planes)
        if account.own <= ISOLATED_SHARE * part * whole:
            return QuotaDecision(True)
        self.taken_back(now, tenant.name)
        oldest = account.windows[0][0] if account.windows else int(now / self.window_ms)
        return QuotaDecision(
            False, max(self.window_ms, (oldest + WINDOWS_PER_SPAN + 1) * self.window_ms - now)
        )

    def past(self, now: float) -> list[tuple[str, list[tuple[int, int]]]]:
        """Return all that was sent on within the span, windows ago and units, for a keeper."""
        told = []
        for tenant in list(self.accounts):
            window, account = self._account(now, tenant)
            if account.own > 0:
                told.append((tenant, [(window - at, units) for at, units in account.windows if units]))
        return told
