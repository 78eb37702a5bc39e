"""The rights that one data plane holds of all budgets: spending them, and lending them among data planes.

No I/O, no clock; times are ms of the data plane's clock. `budgets.py` has the rules for a single budget.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.peer_state import budgets
from wickspring.peer_state.budgets import Ask, Back, Grant, Held, Terms
from wickspring.settings.peers_file import Bounds

MAX_BUDGETS = 1024  # of which something is held at a time; without a place there is no right
REFUSAL_MEMORY_MS = 1500.0  # for which a refused right is remembered as wanted
MAX_ASKS = 8  # requests and renewals in one exchange
REPEAT_ASK_MS = 200.0  # before the same data plane is asked for the same rights again
LEASE_HOLDS = 2.0  # holds for which rights are lent, unless lease_s is less
MIN_LEASE_MS = 2000.0
PEAK_HOLDS = 2.0  # holds over which what was in use at once is remembered
MS_PER_S = 1000.0
NEVER = -1e12
GOLDEN_RATIO = 0.618
REQUEST_NUMBER_BITS = 40  # random, so that numbers of an earlier process are not used again
REQUEST_SEQUENCE_BITS = 12


@dataclass(slots=True)
class _Usage:
    """What is lately used of a budget here, and wanted."""

    peak: int = 0
    previous_peak: int = 0
    period_started_at: float = 0.0
    refused: int = 0
    refused_at: float = NEVER

    def record(self, now: float, in_use: int, period_ms: float) -> None:
        """Record how many rights are in use."""
        while now - self.period_started_at >= period_ms:  # twice at most: after a long time both are empty
            self.previous_peak = self.peak
            self.peak = 0
            self.period_started_at = max(self.period_started_at + period_ms, now - 2.0 * period_ms)
        self.peak = max(self.peak, in_use)

    @property
    def recent_peak(self) -> int:
        return max(self.peak, self.previous_peak)

    def is_wanted(self, now: float) -> bool:
        """Tell whether a right was refused lately."""
        return now - self.refused_at < REFUSAL_MEMORY_MS


class BudgetRights(api.PeerState):
    """One data plane's rights of all budgets."""

    def __init__(self, settings: api.Settings, bounds: Bounds, started: float, seed: int) -> None:
        self.settings = settings
        self.bounds = bounds
        self.started = started
        self.slot = settings.own_number
        self.slots = max(1, settings.gateways)
        self.held: dict[str, Held] = {}
        self.denied = 0  # rights requested in vain, in all
        self.overdue = False  # a process of this slot before this one may still spend: no own part yet
        self.spent: list[tuple[float, str]] | None = None  # a log of all rights spent, where one is kept
        self.on_refused: Callable[[], None] = lambda: None
        self._usage: dict[str, _Usage] = {}
        self._last_number = Random(seed).getrandbits(REQUEST_NUMBER_BITS) << REQUEST_SEQUENCE_BITS
        self._asked_at: dict[tuple[str, int], float] = {}  # by budget and slot
        self._deadline = max((kind.deadline for kind in settings.classes), default=0.0)

    # Terms and parts.

    def terms(self, name: str) -> Terms | None:
        """Return the terms of a budget by its name; None where there is no such budget."""
        kind, _, rest = name.partition(" ")
        bounds = self.bounds
        if kind == "retries" and not rest:
            return _terms(bounds, bounds.retries_per_s, MS_PER_S)
        if kind == "probes" and not rest:
            return _terms(bounds, bounds.probes_per_s, MS_PER_S)
        if kind == "dials" and rest:
            return _terms(bounds, bounds.dials_per_server_s, MS_PER_S)
        if kind == "cold" and rest:
            return _terms(bounds, bounds.cold_attempts, self.settings.overload_time)
        if kind == "cap" and bounds.capped_plans:
            return self._cap_terms(rest)
        return None

    def _cap_terms(self, rest: str) -> Terms | None:
        """Return the terms of a customer's cap, named "cap PLAN CUSTOMER FIRST SPREAD"."""
        numbers = rest.split(" ")
        if len(numbers) != 4 or not all(number.isascii() and number.isdigit() for number in numbers):
            return None
        plan = int(numbers[0])
        rights = self.settings.plans[plan].max_in_flight if plan < len(self.settings.plans) else 0
        return _terms(self.bounds, rights, self._deadline)

    def part(self, name: str, terms: Terms, slot: int) -> int:
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

    def opens_at(self) -> float:
        """Return from when connections may be opened by own rights."""
        return self.started + budgets.SPREAD * MS_PER_S if self.bounds.dials_per_server_s else self.started

    # Succession of processes in one slot.

    def begin(self, now: float) -> None:
        """Take over the own parts: the process before this one has stopped spending."""
        self.overdue = False
        self.started = now
        for name, held in list(self.held.items()):
            terms = self.terms(name)
            if terms is not None:  # what is borrowed stays; the own part comes as to any process that starts
                own = budgets.begun(self.part(name, terms, self.slot), terms, now, now)
                self.held[name] = msgspec.structs.replace(held, part=own.part, busy=(), lent=own.lent)

    def retire(self, now: float) -> None:
        """Spend nothing any more: the process after this one takes over the own parts."""
        self.overdue = True
        for name, held in list(self.held.items()):
            self.held[name] = msgspec.structs.replace(budgets.settle(held, now), part=0, busy=(), lent=())

    # Spending.

    def may_take(self, now: float, name: str) -> bool:
        """Tell whether a right may be spent; what no budget bounds always may."""
        terms = self.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        if held is not None and held.free > 0:
            return True
        self._refuse(now, name, terms)
        return False

    def take(self, now: float, name: str) -> bool:
        """Spend a right; False where there is none."""
        terms = self.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        after = budgets.spend(held, now, terms) if held is not None else None
        if after is None:
            self._refuse(now, name, terms)
            return False
        self.held[name] = after
        self._usage_of(name).record(now, after.out, PEAK_HOLDS * terms.hold)
        if self.spent is not None:
            self.spent.append((now, name))
        return True

    def release(self, now: float, name: str) -> None:
        """Free a right whose use is over for certain."""
        held = self.held.get(name) if name else None
        if held is not None:
            self.held[name] = budgets.release(held, now)

    def _held(self, now: float, name: str, terms: Terms) -> Held | None:
        """Return the rights of a budget, from its first use on; None where too many budgets are in use."""
        held = self.held.get(name)
        if held is not None:
            return budgets.settle(held, now)
        if len(self.held) >= MAX_BUDGETS:
            self.expire_rights(now)
            if len(self.held) >= MAX_BUDGETS:
                return None
        part = 0 if self.overdue else self.part(name, terms, self.slot)
        held = self.held[name] = budgets.begun(part, terms, self.started, now)
        return held

    def _usage_of(self, name: str) -> _Usage:
        usage = self._usage.pop(name, None) or _Usage()
        self._usage[name] = usage
        while len(self._usage) > MAX_BUDGETS:
            del self._usage[next(iter(self._usage))]
        return usage

    def _refuse(self, now: float, name: str, terms: Terms) -> None:
        usage = self._usage_of(name)
        usage.refused = min(terms.rights, usage.refused + 1 if usage.is_wanted(now) else 1)
        usage.refused_at = now
        self.denied += 1
        self.on_refused()

    def expire_rights(self, now: float) -> None:
        """End what time has ended, and forget budgets of which nothing is held."""
        for name, held in list(self.held.items()):
            after = budgets.settle(held, now)
            if after.idle:
                del self.held[name]
            else:
                self.held[name] = after

    # Borrowing.

    def slots_to_ask(self, now: float) -> list[int]:
        """Return the slots to be asked for rights that were refused here."""
        slots: dict[int, None] = {}
        for name, usage in self._usage.items():
            terms = self.terms(name) if usage.is_wanted(now) else None
            if terms is None:
                continue
            for step in range(1, self.slots):
                slot = (self.slot + step * _stride(self.slots)) % self.slots
                if not self._asked_lately(now, name, slot) and self.part(name, terms, slot) > 0:
                    slots[slot] = None
                    if len(slots) >= MAX_ASKS:
                        break
        return list(slots)

    def _asked_lately(self, now: float, name: str, slot: int) -> bool:
        return self._asked_at.get((name, slot), NEVER) > now - REPEAT_ASK_MS

    def ask_for_rights(self, now: float, lender: str, slot: int) -> tuple[tuple[Ask, ...], tuple[Back, ...]]:
        """Return renewals, requests and returned loans to send to the holder of a slot."""
        asks, backs = self._renew_or_return(now, lender)
        for name, usage in list(self._usage.items()):
            if len(asks) >= MAX_ASKS or not usage.is_wanted(now):
                continue
            terms = self.terms(name)
            if terms is None or self.part(name, terms, slot) <= 0:
                continue
            held = self._held(now, name, terms)
            if held is not None:
                request = Ask(name, self._next_number(), max(1, usage.refused))
                if self._record_ask(now, request, held, terms, slot):
                    asks.append(request)
        return tuple(asks), tuple(backs)

    def _renew_or_return(self, now: float, lender: str) -> tuple[list[Ask], list[Back]]:
        """Renew the loans of a lender that are in use, and return those that are not."""
        asks = list[Ask]()
        backs = list[Back]()
        for name, held in list(self.held.items()):
            terms = self.terms(name) if held.borrowed else None
            if terms is None:
                continue
            held = budgets.settle(held, now)
            usage = self._usage_of(name)
            usage.record(now, held.out, PEAK_HOLDS * terms.hold)
            for loan in [loan for loan in held.borrowed if loan.other == lender]:
                remaining = held.free + held.out - loan.amount
                if remaining >= usage.recent_peak and not usage.is_wanted(now):
                    held, back = budgets.give_back(held, now, name, loan.number)
                    backs += [back] if back is not None else []
                elif loan.until - now < terms.lease / 2 and len(asks) < MAX_ASKS:
                    request = Ask(name, self._next_number(), loan.amount, loan.number)
                    asked = budgets.ask(held, now, terms, request)
                    if asked is not None:
                        held = asked
                        asks.append(request)
            self.held[name] = held
        return asks, backs

    def _record_ask(self, now: float, request: Ask, held: Held, terms: Terms, slot: int) -> bool:
        """Record that a request is sent; False where it may not be."""
        name = request.budget
        if self._asked_lately(now, name, slot):
            return False
        after = budgets.ask(held, now, terms, request)
        if after is None:
            return False
        self.held[name] = after
        self._asked_at.pop((name, slot), None)
        self._asked_at[name, slot] = now
        while len(self._asked_at) > MAX_BUDGETS:
            del self._asked_at[next(iter(self._asked_at))]
        return True

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def on_granted(self, now: float, lender: str, grant: Grant) -> None:
        """Take in the answer to a request."""
        terms = self.terms(grant.budget)
        held = self.held.get(grant.budget)
        if terms is None or held is None or not 0 < grant.amount <= terms.rights:
            return
        after = self.held[grant.budget] = budgets.accept(held, now, terms, lender, grant)
        if after.free > 0 and grant.budget in self._usage:
            self._usage[grant.budget].refused_at = NEVER

    # Lending.

    def lend(self, now: float, borrower: str, request: Ask) -> Grant | None:
        """Answer a request; None where nothing can be lent."""
        terms = self.terms(request.budget)
        held = self._held(now, request.budget, terms) if terms is not None else None
        if terms is None or held is None:
            return None
        usage = self._usage_of(request.budget)
        usage.record(now, held.out, PEAK_HOLDS * terms.hold)
        reserve = held.part if usage.is_wanted(now) else usage.recent_peak
        number = self._next_number()
        after, grant = budgets.lend(held, now, terms, borrower, request, number, reserve)
        self.held[request.budget] = after
        return grant

    def on_returned(self, now: float, borrower: str, back: Back) -> None:
        """Take in that a borrower has returned a loan."""
        held = self.held.get(back.budget)
        if held is not None:
            self.held[back.budget] = budgets.take_back(held, now, borrower, back)

    # Status.

    def table(self, now: float) -> list[tuple[str, int, int, int, int, int, int]]:
        """Return each budget that is in use: name, rights, part, free, in use, lent, borrowed."""
        rows = []
        for name, held in sorted(self.held.items()):
            terms = self.terms(name)
            if terms is not None:
                held = budgets.settle(held, now)
                lent = sum(loan.amount for loan in held.lent)
                borrowed = sum(loan.amount for loan in held.borrowed)
                rows.append((name, terms.rights, held.part, held.free, held.out, lent, borrowed))
        return rows


def _terms(bounds: Bounds, rights: int, hold: float) -> Terms | None:
    """Lend for a few holds: a process that starts waits for as long before it spends what may be lent."""
    lease = min(MS_PER_S * bounds.lease_s, max(MIN_LEASE_MS, LEASE_HOLDS * hold))
    return Terms(rights, hold, lease) if rights > 0 else None


def _stride(slots: int) -> int:
    """Return a step that visits every slot, and not neighbours one after another."""
    step = max(1, int(slots * GOLDEN_RATIO))
    while math.gcd(step, slots) > 1:
        step += 1
    return step
