"""Which budgets there are, by name: their terms, and each slot's part of them.

Names are "retries", "probes", "dials SERVER", "cold SERVER" and "cap PLAN CUSTOMER FIRST SPREAD". No I/O, no
clock; times are ms.
"""

from __future__ import annotations

from wickspring import interface as api
from wickspring.peer_state import budgets
from wickspring.peer_state.budgets import BudgetTerms
from wickspring.settings.peers_file import Bounds

LEASE_HOLDS = 2.0  # holds for which rights are lent, unless lease_s is less
MIN_LEASE_MS = 2000.0
MS_PER_S = 1000.0
CAP_FIELDS = 4  # numbers in the name of a customer's cap


class BudgetCatalog:
    """The terms of all budgets, as settings and bounds define them."""

    def __init__(self, settings: api.Settings, bounds: Bounds) -> None:
        self.settings = settings
        self.bounds = bounds
        self.slots = max(1, settings.gateways)
        self._longest_request_ms = max((kind.deadline for kind in settings.classes), default=0.0)

    def terms(self, name: str) -> BudgetTerms | None:
        """Return the terms of a budget by its name; None where there is no such budget."""
        kind, _, rest = name.partition(" ")
        bounds = self.bounds
        if kind == "retries" and not rest:
            return self._terms(bounds.retries_per_s, MS_PER_S)
        if kind == "probes" and not rest:
            return self._terms(bounds.probes_per_s, MS_PER_S)
        if kind == "dials" and rest:
            return self._terms(bounds.dials_per_server_s, MS_PER_S)
        if kind == "cold" and rest:
            return self._terms(bounds.cold_attempts, self.settings.overload_time)
        if kind == "cap" and bounds.capped_plans:
            return self._cap_terms(rest)
        return None

    def _cap_terms(self, rest: str) -> BudgetTerms | None:
        """Return the terms of a customer's cap by the numbers of its name."""
        numbers = rest.split(" ")
        if len(numbers) != CAP_FIELDS or not all(n.isascii() and n.isdigit() for n in numbers):
            return None
        plan = int(numbers[0])
        rights = self.settings.plans[plan].max_in_flight if plan < len(self.settings.plans) else 0
        return self._terms(rights, self._longest_request_ms)

    def _terms(self, rights: int, hold_ms: float) -> BudgetTerms | None:
        """Lend for a few holds: a process that starts waits for as long before it spends what may be lent."""
        if rights <= 0:
            return None
        lease_ms = min(MS_PER_S * self.bounds.lease_s, max(MIN_LEASE_MS, LEASE_HOLDS * hold_ms))
        return BudgetTerms(rights, hold_ms, lease_ms)

    def part(self, name: str, terms: BudgetTerms, slot: int) -> int:
        """Return a slot's own part. That of a customer's cap is dealt among the customer's set alone."""
        kind, _, rest = name.partition(" ")
        if kind != "cap":
            return budgets.part_of(terms.rights, self.slots, slot, name)
        _, _, first, spread = map(int, rest.split(" "))
        spread = max(1, min(spread, self.slots))
        place = (slot - first) % self.slots
        return budgets.part_of(terms.rights, spread, place, name) if place < spread else 0

    def concurrency_budget(self, request: api.Request) -> str:
        """Name the budget of a customer's concurrent attempts; empty where its plan has none by rights."""
        if not self.bounds.capped_plans or self.settings.plans[request.plan_index].max_in_flight <= 0:
            return ""
        return f"cap {request.plan_index} {request.customer} {request.first_gateway} {request.spread}"
