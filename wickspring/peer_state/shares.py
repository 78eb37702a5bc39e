"""All that one ingress shares with the others: its rights, its counts, its judgements. No I/O and no clock.

The decision module and the pools ask it for rights and tell it what they see; the talk between ingresses
takes out what there is to say to one of them, and puts in what that one has said. Times are ms of the
ingress's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.config import Bounds
from wickspring.peer_state import budgets, counts
from wickspring.peer_state.budgets import Ask, Back, Grant, Held, Terms
from wickspring.peer_state.judgements import Judge, Words

BUDGETS_MOST = 1024  # of which something is held at a time; without a place there is no right
DENIED_MS = 1500.0  # that a refused right is remembered as wanted
ASKS_EACH, WORDS_EACH = 8, 48  # asks and renewals, and counts, in one talk
FRESH_MS = 1500.0  # since a mate was last heard, in which its silence means that there is nothing new
SECOND = 1000.0
MATE_OF_MS = 10_000.0  # after its last customer an ingress is no mate any more
ASK_AGAIN_MS = 200.0  # before the same ingress is asked for the same rights again
LEASE_HOLDS, LEASE_LEAST_MS = 2.0, 2000.0  # of a budget, for which rights are lent, unless lease_s is less
PEAK_HOLDS = 2.0  # holds over which what was used at once is remembered


class Parts(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What one ingress says to another, beside the gossip."""

    asks: tuple[Ask, ...] = ()
    grants: tuple[Grant, ...] = ()
    backs: tuple[Back, ...] = ()
    told: tuple[counts.Told, ...] = ()
    relayed: tuple[counts.Relayed, ...] = ()


@dataclass(slots=True)
class _Use:
    """What is lately used of a budget here, and wanted."""

    peak: int = 0
    before: int = 0  # the peak of the turn before
    turned: float = 0.0
    denied: int = 0
    denied_at: float = -1e12

    def note(self, now: float, out: int, hold: float) -> None:
        while now - self.turned >= hold:  # two turns at most: after a long time both are empty
            self.before, self.peak = self.peak, 0
            self.turned = max(self.turned + hold, now - 2.0 * hold)
        self.peak = max(self.peak, out)

    @property
    def lately(self) -> int:
        return max(self.peak, self.before)


def server_name(server: api.ServerId) -> str:
    """Return a server's id as words carry it; any bytes go, and come back."""
    return server.decode("latin-1")


class Shares(api.Shared):
    """One ingress's share of everything."""

    def __init__(
        self,
        settings: api.Settings,
        bounds: Bounds,
        life: float,
        started: float,
        seed: int,
        tells_counts: bool = True,
    ) -> None:
        self.tells_counts = tells_counts
        self.settings, self.bounds, self.started = settings, bounds, started
        self.slot, self.slots = settings.own_number, max(1, settings.gateways)
        self.ledger = counts.Ledger(self.slot, self.slots, life)
        self.judge = Judge()
        self.held: dict[str, Held] = {}
        self.use: dict[str, _Use] = {}
        self.heard: dict[int, float] = {}  # by slot: when it was last talked to
        self.spent: list[tuple[float, str]] | None = None  # an account of all rights spent, where one is kept
        self._mates: dict[int, float] = {}  # slots of customers' sets, and the end of their last window
        self.wished: Callable[[], None] = lambda: None  # called where a right is refused
        self.denied = 0  # rights asked for in vain, in all
        self.overdue = False  # a process of this slot before this one may still spend: nothing is the own yet
        self._numbers = Random(seed).getrandbits(40) << 12
        self._asked: dict[tuple[str, int], float] = {}  # by budget and slot: when it was last asked for
        self._deadline = max((kind.deadline for kind in settings.classes), default=0.0)

    # Budgets.

    def terms(self, name: str) -> Terms | None:
        """Return what holds of a budget, by its name; None where there is none."""
        kind, _, rest = name.partition(" ")
        bounds = self.bounds
        per_s = {"retries": bounds.retries_per_s, "probes": bounds.probes_per_s}
        if kind in per_s and not rest:
            return self._terms(per_s[kind], SECOND)
        if kind == "dials" and rest:
            return self._terms(bounds.dials_per_server_s, SECOND)
        if kind == "cold" and rest:
            return self._terms(bounds.cold_attempts, self.settings.overload_time)
        if kind == "cap" and bounds.capped_plans:
            numbers = rest.split(" ")
            if len(numbers) == 4 and all(one.isascii() and one.isdigit() for one in numbers):
                plan = int(numbers[0])
                most = self.settings.plans[plan].most_open if plan < len(self.settings.plans) else 0
                return self._terms(most, self._deadline)
        return None

    def _terms(self, rights: int, hold: float) -> Terms | None:
        """Lend for a few holds: a process that starts waits for as long before it spends what may be lent."""
        lease = min(SECOND * self.bounds.lease_s, max(LEASE_LEAST_MS, LEASE_HOLDS * hold))
        return Terms(rights, hold, lease) if rights > 0 else None

    def part(self, name: str, terms: Terms, slot: int) -> int:
        """Return a slot's own part. That of a customer's cap is dealt among its set alone."""
        kind, _, rest = name.partition(" ")
        if kind != "cap":
            return budgets.part_of(terms.rights, self.slots, slot, name)
        _, _, first, spread = map(int, rest.split(" "))
        spread = max(1, min(spread, self.slots))
        place = (slot - first) % self.slots
        return budgets.part_of(terms.rights, spread, place, name) if place < spread else 0

    def _held(self, now: float, name: str, terms: Terms) -> Held | None:
        held = self.held.get(name)
        if held is not None:
            return budgets.settle(held, now)
        if len(self.held) >= BUDGETS_MOST:
            self._tidy(now)
            if len(self.held) >= BUDGETS_MOST:
                return None
        part = 0 if self.overdue else self.part(name, terms, self.slot)
        held = self.held[name] = budgets.begun(part, terms, self.started, now)
        return held

    def begin(self, now: float) -> None:
        """Take the own parts up: the process before this one has stopped spending."""
        self.overdue, self.started = False, now
        for name, held in list(self.held.items()):
            terms = self.terms(name)
            if terms is not None:  # what is borrowed stays; the own part comes as to any process that starts
                own = budgets.begun(self.part(name, terms, self.slot), terms, now, now)
                self.held[name] = msgspec.structs.replace(held, part=own.part, busy=(), lent=own.lent)

    def retire(self, now: float) -> None:
        """Spend nothing any more: the process after this one takes the own parts up."""
        self.overdue = True
        for name, held in list(self.held.items()):
            self.held[name] = msgspec.structs.replace(budgets.settle(held, now), part=0, busy=(), lent=())

    def free(self, now: float, name: str) -> bool:
        """Tell whether a right may be spent; what no budget bounds always may."""
        terms = self.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        if held is not None and held.free > 0:
            return True
        self._deny(now, name, terms)
        return False

    def take(self, now: float, name: str) -> bool:
        """Spend a right, where there is one."""
        terms = self.terms(name)
        if terms is None:
            return True
        held = self._held(now, name, terms)
        after = budgets.spend(held, now, terms) if held is not None else None
        if after is None:
            self._deny(now, name, terms)
            return False
        self.held[name] = after
        self._used(name).note(now, after.out, PEAK_HOLDS * terms.hold)
        if self.spent is not None:
            self.spent.append((now, name))
        return True

    def release(self, now: float, name: str) -> None:
        """Free a right whose use is over for certain."""
        held = self.held.get(name) if name else None
        if held is not None:
            self.held[name] = budgets.release(held, now)

    def _used(self, name: str) -> _Use:
        use = self.use.pop(name, None) or _Use()
        self.use[name] = use
        while len(self.use) > BUDGETS_MOST:
            del self.use[next(iter(self.use))]
        return use

    def _deny(self, now: float, name: str, terms: Terms) -> None:
        use = self._used(name)
        use.denied = min(terms.rights, use.denied + 1 if now - use.denied_at < DENIED_MS else 1)
        use.denied_at = now
        self.denied += 1
        self.wished()

    def _tidy(self, now: float) -> None:
        for name, held in list(self.held.items()):
            after = budgets.settle(held, now)
            if after.idle:
                del self.held[name]
            else:
                self.held[name] = after

    def wanted(self, now: float) -> list[int]:
        """Return the slots to be asked for rights that were refused, those most likely to have some first."""
        slots: dict[int, None] = {}
        for name, use in self.use.items():
            terms = self.terms(name) if now - use.denied_at < DENIED_MS else None
            if terms is None:
                continue
            for step in range(1, self.slots):
                slot = (self.slot + step * _stride(self.slots)) % self.slots
                again = self._asked.get((name, slot), -1e12) > now - ASK_AGAIN_MS
                if not again and self.part(name, terms, slot) > 0:
                    slots[slot] = None
                    if len(slots) >= ASKS_EACH:
                        break
        return list(slots)

    def cap(self, request: api.Request) -> str:
        """Name the budget of a customer's attempts out at once; empty where its plan has none by rights."""
        if not self.bounds.capped_plans or self.settings.plans[request.plan_index].most_open <= 0:
            return ""
        return f"cap {request.plan_index} {request.customer} {request.first_gateway} {request.spread}"

    def table(self, now: float) -> list[tuple[str, int, int, int, int, int, int]]:
        """Return each budget that is in use: name, rights, part, free, busy, lent, borrowed."""
        rows = []
        for name, held in sorted(self.held.items()):
            terms = self.terms(name)
            if terms is not None:
                held = budgets.settle(held, now)
                lent = sum(loan.amount for loan in held.lent)
                borrowed = sum(loan.amount for loan in held.borrowed)
                rows.append((name, terms.rights, held.part, held.free, held.out, lent, borrowed))
        return rows

    def opens_at(self) -> float:
        """Return from when connections may be opened by own rights."""
        return self.started + budgets.SPREAD * SECOND if self.bounds.dials_per_server_s else self.started

    # Counts.

    def sent_on(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> None:
        """Note units sent on in a customer's window, which ends then."""
        told = self.ledger.note(customer, window, units, until, first, spread) if self.tells_counts else ()
        for slot in told:
            self._mates[slot] = max(until, self._mates.get(slot, until))

    def mates(self, now: float) -> list[int]:
        """Return the slots to be talked to about counts."""
        for slot in [slot for slot, until in self._mates.items() if now - until > MATE_OF_MS]:
            del self._mates[slot]
        return list(self._mates)

    def others(self, customer: int, window: int) -> float:
        """Return the units that others have told in a window."""
        return self.ledger.others(customer, window)

    def hears(self, now: float, first: int, spread: int) -> bool:
        """Tell whether all the others of a customer's set have been heard of late."""
        among = counts.mates(first, spread, self.slots, self.slot)
        return self.tells_counts and all(now - self.heard.get(slot, -1e12) < FRESH_MS for slot in among)

    # Judgements.

    def judged(self, now: float, server: api.ServerId, started: float, good: bool) -> None:
        """Note how an attempt at a server ended."""
        self.judge.seen(now, server_name(server), started, good)

    def words(self, now: float) -> Words:
        """Return what to tell of servers."""
        return self.judge.words(now)

    # The talk.

    def say(self, now: float, name: str, slot: int) -> Parts:
        """Return what there is to say to another ingress, as the one that begins."""
        asks, backs = self._loans(now, name)
        for budget, use in list(self.use.items()):
            if len(asks) >= ASKS_EACH or now - use.denied_at >= DENIED_MS:
                continue
            terms = self.terms(budget)
            if terms is None or self.part(budget, terms, slot) <= 0:
                continue
            held = self._held(now, budget, terms)
            if held is not None:
                want = Ask(budget, self._next(), max(1, use.denied))
                self._asking(now, want, held, terms, slot, asks)
        return Parts(tuple(asks), (), tuple(backs), *self._counts(now, slot))

    def _loans(self, now: float, name: str) -> tuple[list[Ask], list[Back]]:
        """Keep the loans from an ingress that are in use, and give back those that are not."""
        asks, backs = list[Ask](), list[Back]()
        for budget, held in list(self.held.items()):
            terms = self.terms(budget) if held.borrowed else None
            if terms is None:
                continue
            held = budgets.settle(held, now)
            use = self._used(budget)
            use.note(now, held.out, PEAK_HOLDS * terms.hold)
            for loan in [loan for loan in held.borrowed if loan.other == name]:
                spare = held.free + held.out - loan.amount >= use.lately and now - use.denied_at >= DENIED_MS
                if spare:
                    held, back = budgets.give_back(held, now, budget, loan.number)
                    backs += [back] if back is not None else []
                elif loan.until - now < terms.lease / 2 and len(asks) < ASKS_EACH:
                    want = Ask(budget, self._next(), loan.amount, loan.number)
                    asked = budgets.ask(held, now, terms, want)
                    if asked is not None:
                        held = asked
                        asks.append(want)
            self.held[budget] = held
        return asks, backs

    def _asking(self, now: float, want: Ask, held: Held, terms: Terms, slot: int, asks: list[Ask]) -> None:
        if self._asked.get((want.budget, slot), -1e12) > now - ASK_AGAIN_MS:
            return
        after = budgets.ask(held, now, terms, want)
        if after is not None:
            self.held[want.budget] = after
            self._asked.pop((want.budget, slot), None)
            self._asked[want.budget, slot] = now
            while len(self._asked) > BUDGETS_MOST:
                del self._asked[next(iter(self._asked))]
            asks.append(want)

    def _next(self) -> int:
        self._numbers += 1
        return self._numbers

    def _counts(self, now: float, slot: int) -> tuple[tuple[counts.Told, ...], tuple[counts.Relayed, ...]]:
        return self.ledger.tell(now, slot, WORDS_EACH), self.ledger.relay(now, slot, WORDS_EACH)

    def hear(self, now: float, name: str, slot: int, life: float, parts: Parts) -> None:
        """Take in what another ingress has said."""
        self.heard[slot] = now
        self.ledger.hear(now, slot, life, parts.told, parts.relayed)
        for back in parts.backs:
            if back.budget in self.held:
                self.held[back.budget] = budgets.take_back(self.held[back.budget], now, name, back)
        for grant in parts.grants:
            terms, held = self.terms(grant.budget), self.held.get(grant.budget)
            if terms is not None and held is not None and 0 < grant.amount <= terms.rights:
                self.held[grant.budget] = after = budgets.accept(held, now, terms, name, grant)
                if after.free > 0 and grant.budget in self.use:
                    self.use[grant.budget].denied_at = -1e12

    def answer(self, now: float, name: str, slot: int, life: float, parts: Parts) -> Parts:
        """Take in what another ingress has said, and return what to say to it."""
        self.hear(now, name, slot, life, parts)
        grants = []
        for want in parts.asks[:ASKS_EACH]:
            terms = self.terms(want.budget)
            held = self._held(now, want.budget, terms) if terms is not None else None
            if terms is None or held is None:
                continue
            use = self._used(want.budget)
            use.note(now, held.out, PEAK_HOLDS * terms.hold)
            keep = held.part if now - use.denied_at < DENIED_MS else use.lately
            after, grant = budgets.lend(held, now, terms, name, want, self._next(), keep)
            self.held[want.budget] = after
            if grant is not None:
                grants.append(grant)
        return Parts((), tuple(grants), (), *self._counts(now, slot))

    def lost(self, slot: int, parts: Parts) -> None:
        """Note that what was said may not have been heard; asks that went out end by themselves."""
        self.ledger.untold(slot, parts.told)

    def settle(self, now: float) -> None:
        """Let go what is over; a few times a second."""
        self._tidy(now)
        self.ledger.settle(now)

    def keep_servers(self, servers: Iterable[api.ServerId]) -> None:
        """Forget what is known of other servers."""
        self.judge.keep(map(server_name, servers))


def _stride(slots: int) -> int:
    """Return a step that comes upon every slot, and not upon neighbours one after another."""
    step = max(1, int(slots * 0.618))
    while math.gcd(step, slots) > 1:
        step += 1
    return step
