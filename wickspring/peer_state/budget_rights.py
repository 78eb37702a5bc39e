"""The rights that one data plane holds of all budgets: spending them, and lending them among data planes.

No I/O, no clock; times are ms of the data plane's clock. `budgets.py` has the rules for a single budget.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.peer_state import budgets
from wickspring.peer_state.budget_catalog import MS_PER_S, BudgetCatalog
from wickspring.peer_state.budget_view import BudgetView
from wickspring.peer_state.budgets import BudgetTerms, Grant, HeldRights, LoanReturn, Offer, RightsRequest
from wickspring.peer_state.recent_usage import NEVER, RecentUsage
from wickspring.settings.peers_file import Bounds

MAX_BUDGETS = 1024  # of which something is held at a time; there are no rights of any further one
MAX_REQUESTS = 8  # and renewals, in one exchange
REPEAT_REQUEST_MS = 200.0  # before the same data plane is sent a request for the same rights again
GOLDEN_RATIO = 0.618
REQUEST_NUMBER_BITS = 40  # random, so that numbers of an earlier process are not used again
REQUEST_SEQUENCE_BITS = 12


class BudgetRights(api.PeerState):
    """One data plane's rights of all budgets."""

    def __init__(self, settings: api.Settings, bounds: Bounds, started_at: float, seed: int) -> None:
        self.catalog = BudgetCatalog(settings, bounds)
        self.started_at = started_at
        self.slot = settings.own_number
        self.slots = self.catalog.slots
        self.held: dict[str, HeldRights] = {}
        self.refused_count = 0  # rights requested in vain, in all
        self.waits_for_predecessor = False  # which may still spend: no own part yet
        self.spent_log: list[tuple[float, str]] | None = None  # of all rights spent, where one is kept
        self.on_refused: Callable[[], None] = lambda: None
        self._usage: dict[str, RecentUsage] = {}
        self._last_number = Random(seed).getrandbits(REQUEST_NUMBER_BITS) << REQUEST_SEQUENCE_BITS
        self._requested_at: dict[tuple[str, int], float] = {}  # by budget and slot

    def concurrency_budget(self, request: api.Request) -> str:
        """Name the budget of a customer's concurrent attempts; empty where its plan has none by rights."""
        return self.catalog.concurrency_budget(request)

    def opens_at(self) -> float:
        """Return from when connections may be opened by own rights."""
        if not self.catalog.bounds.dials_per_server_s:
            return self.started_at
        return self.started_at + budgets.CLOCK_RATIO * MS_PER_S

    # Succession of processes in one slot.

    def take_over(self, now: float) -> None:
        """Take over the own parts: the process before this one has stopped spending."""
        self.waits_for_predecessor = False
        self.started_at = now
        for name, held in list(self.held.items()):
            terms = self.catalog.terms(name)
            if terms is not None:  # what is borrowed stays; the own part comes as to any process that starts
                part = self.catalog.part(name, terms, self.slot)
                own = budgets.initial_rights(part, terms, now, now)
                self.held[name] = msgspec.structs.replace(held, part=own.part, own_in_use=(), lent=own.lent)

    def hand_over(self, now: float) -> None:
        """Spend nothing any more: the process after this one takes over the own parts."""
        self.waits_for_predecessor = True
        for name, held in list(self.held.items()):
            self.held[name] = msgspec.structs.replace(
                budgets.expire(held, now), part=0, own_in_use=(), lent=()
            )

    # Spending.

    def may_take(self, now: float, name: str) -> bool:
        """Tell whether a right may be spent; what no budget bounds always may."""
        terms = self.catalog.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        if held is not None and held.free > 0:
            return True
        self._refuse(now, name, terms)
        return False

    def take(self, now: float, name: str) -> bool:
        """Spend a right; False where there is none."""
        terms = self.catalog.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        after = budgets.spend(held, now, terms) if held is not None else None
        if after is None:
            self._refuse(now, name, terms)
            return False
        self.held[name] = after
        self._usage_of(name).record(now, after.in_use, terms.hold_ms)
        if self.spent_log is not None:
            self.spent_log.append((now, name))
        return True

    def release(self, now: float, name: str) -> None:
        """Free a right whose use is over for certain."""
        held = self.held.get(name) if name else None
        if held is not None:
            self.held[name] = budgets.release(held, now)

    def _held(self, now: float, name: str, terms: BudgetTerms) -> HeldRights | None:
        """Return the rights of a budget, from its first use on; None where too many budgets are in use."""
        held = self.held.get(name)
        if held is not None:
            return budgets.expire(held, now)
        if len(self.held) >= MAX_BUDGETS:
            self.expire_rights(now)
            if len(self.held) >= MAX_BUDGETS:
                return None
        part = 0 if self.waits_for_predecessor else self.catalog.part(name, terms, self.slot)
        held = self.held[name] = budgets.initial_rights(part, terms, self.started_at, now)
        return held

    def _usage_of(self, name: str) -> RecentUsage:
        usage = self._usage.pop(name, None) or RecentUsage()
        self._usage[name] = usage
        while len(self._usage) > MAX_BUDGETS:
            del self._usage[next(iter(self._usage))]
        return usage

    def _refuse(self, now: float, name: str, terms: BudgetTerms) -> None:
        usage = self._usage_of(name)
        usage.refuse(now, terms.rights)
        self.refused_count += 1
        self.on_refused()

    def expire_rights(self, now: float) -> None:
        """End what time has ended, and forget budgets of which nothing is held."""
        for name, held in list(self.held.items()):
            after = budgets.expire(held, now)
            if after.is_forgettable:
                del self.held[name]
            else:
                self.held[name] = after

    # Borrowing.

    def slots_to_request_from(self, now: float) -> list[int]:
        """Return the slots to request rights from that were refused here."""
        slots: dict[int, None] = {}
        for name, usage in self._usage.items():
            terms = self.catalog.terms(name) if usage.is_wanted(now) else None
            if terms is None:
                continue
            for step in range(1, self.slots):
                slot = (self.slot + step * _stride(self.slots)) % self.slots
                if not self._requested_lately(now, name, slot) and self.catalog.part(name, terms, slot) > 0:
                    slots[slot] = None
                    if len(slots) >= MAX_REQUESTS:
                        break
        return list(slots)

    def _requested_lately(self, now: float, name: str, slot: int) -> bool:
        return self._requested_at.get((name, slot), NEVER) > now - REPEAT_REQUEST_MS

    def requests_for(
        self, now: float, lender: str, slot: int
    ) -> tuple[tuple[RightsRequest, ...], tuple[LoanReturn, ...]]:
        """Return renewals, requests and returned loans to send to the holder of a slot."""
        requests, returns = self._renew_or_return(now, lender)
        for name, usage in list(self._usage.items()):
            if len(requests) >= MAX_REQUESTS or not usage.is_wanted(now):
                continue
            terms = self.catalog.terms(name)
            if terms is None or self.catalog.part(name, terms, slot) <= 0:
                continue
            held = self._held(now, name, terms)
            if held is not None:
                request = RightsRequest(name, self._next_number(), max(1, usage.refused))
                if self._record_request(now, request, held, terms, slot):
                    requests.append(request)
        return tuple(requests), tuple(returns)

    def _renew_or_return(self, now: float, lender: str) -> tuple[list[RightsRequest], list[LoanReturn]]:
        """Renew the loans of a lender that are in use, and return those that are not."""
        requests = list[RightsRequest]()
        returns = list[LoanReturn]()
        for name, held in list(self.held.items()):
            terms = self.catalog.terms(name) if held.borrowed else None
            if terms is None:
                continue
            held = budgets.expire(held, now)
            usage = self._usage_of(name)
            usage.record(now, held.in_use, terms.hold_ms)
            for loan in [loan for loan in held.borrowed if loan.peer == lender]:
                remaining = held.free + held.in_use - loan.amount
                if remaining >= usage.recent_peak and not usage.is_wanted(now):
                    held, returned = budgets.return_loan(held, now, name, loan.number)
                    returns += [returned] if returned is not None else []
                elif loan.expires_at - now < terms.lease_ms / 2 and len(requests) < MAX_REQUESTS:
                    request = RightsRequest(name, self._next_number(), loan.amount, loan.number)
                    requested = budgets.record_request(held, now, terms, request)
                    if requested is not None:
                        held = requested
                        requests.append(request)
            self.held[name] = held
        return requests, returns

    def _record_request(
        self, now: float, request: RightsRequest, held: HeldRights, terms: BudgetTerms, slot: int
    ) -> bool:
        """Record that a request is sent; False where it may not be."""
        name = request.budget
        if self._requested_lately(now, name, slot):
            return False
        after = budgets.record_request(held, now, terms, request)
        if after is None:
            return False
        self.held[name] = after
        self._requested_at.pop((name, slot), None)
        self._requested_at[name, slot] = now
        while len(self._requested_at) > MAX_BUDGETS:
            del self._requested_at[next(iter(self._requested_at))]
        return True

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def on_granted(self, now: float, lender: str, grant: Grant) -> None:
        """Take in the answer to a request."""
        terms = self.catalog.terms(grant.budget)
        held = self.held.get(grant.budget)
        if terms is None or held is None or not 0 < grant.amount <= terms.rights:
            return
        after = self.held[grant.budget] = budgets.accept_grant(held, now, terms, lender, grant)
        if after.free > 0 and grant.budget in self._usage:
            self._usage[grant.budget].satisfy()

    # Lending.

    def lend(self, now: float, borrower: str, request: RightsRequest) -> Grant | None:
        """Answer a request; None where nothing can be lent."""
        terms = self.catalog.terms(request.budget)
        held = self._held(now, request.budget, terms) if terms is not None else None
        if terms is None or held is None:
            return None
        usage = self._usage_of(request.budget)
        usage.record(now, held.in_use, terms.hold_ms)
        reserve = held.part if usage.is_wanted(now) else usage.recent_peak
        offer = Offer(self._next_number(), reserve)
        after, grant = budgets.lend(held, now, terms, borrower, request, offer)
        self.held[request.budget] = after
        return grant

    def on_returned(self, now: float, borrower: str, returned: LoanReturn) -> None:
        """Take in that a borrower has returned a loan."""
        held = self.held.get(returned.budget)
        if held is not None:
            self.held[returned.budget] = budgets.accept_return(held, now, borrower, returned)

    # Status.

    def table(self, now: float) -> list[BudgetView]:
        """Return the status of each budget that is in use."""
        rows = []
        for name, held in sorted(self.held.items()):
            terms = self.catalog.terms(name)
            if terms is not None:
                held = budgets.expire(held, now)
                borrowed = sum(loan.amount for loan in held.borrowed)
                rows.append(
                    BudgetView(
                        name,
                        terms.rights,
                        held.part,
                        held.free,
                        held.in_use,
                        held.total_lent,
                        borrowed,
                    )
                )
        return rows


def _stride(slots: int) -> int:
    """Return a step that visits every slot, and not neighbours one after another."""
    step = max(1, int(slots * GOLDEN_RATIO))
    while math.gcd(step, slots) > 1:
        step += 1
    return step
