"""A quantity of which all ingresses together may use only so much, held as rights. Pure; times are ms.

A budget has B rights. A right that is spent is busy for a hold (the window of a rate, or the longest that
what it pays for can last) and then free again, so never more than B are spent in any hold. Every right has
a home: each of the N slots of the fleet is home to an even part of B, which it needs nobody's word to
spend. A home lends what it does not need; a loan ends by itself, and no message is needed for it to end:

    the borrower holds it for `lease` ms by its own clock, from the moment in which it asked;
    the home has it back after (lease + hold) x SPREAD ms by its own clock, from the moment in which it lent.

The home lent after it was asked, and SPREAD covers clocks whose rates differ from true time by 1% either
way, so when the home has the rights back, the borrower cannot spend them any more and what it spent them on
is over:

    own parts free + own parts busy + lent out and not back = part,   and the parts add up to B         (I)
    spent by a borrower from a loan in any hold <= the loan, which its home counts as lent              (II)

(I) and (II) hold at each ingress by itself, so messages lost, repeated or late, cuts, pauses and deaths
cannot break them. A process that starts does not know what its earlier life spent and lent; it takes all of
its part for lent to that life until the time for it is over (`begun`). A half of each part is never lent: an
ingress that hears nobody serves by that, and by what has come back.

Which rights go where is a matter of use alone, and none of safety: who was refused a right asks, and who has
more than it has lately used lends.
"""

from __future__ import annotations

from zlib import crc32

import msgspec

DRIFT = 0.01  # by which a clock's rate may differ from true time
SPREAD = (1.0 + DRIFT) / (1.0 - DRIFT)
EARLIER_LIFE = ""  # to which a process that starts takes its own part to be lent
LOANS_MOST, ASKS_MOST = 64, 8  # of one budget: loans either way, asks that are out
EARLY = 1e-6  # ms by which sums of times may fall short


class Terms(msgspec.Struct, frozen=True):
    """What all ingresses hold of one budget alike; it follows from settings and lists."""

    rights: int
    hold: float
    lease: float

    @property
    def back(self) -> float:
        """Return ms after which what was lent is back by the home's own clock."""
        return (self.lease + self.hold) * SPREAD


class Loan(msgspec.Struct, frozen=True):
    """Rights lent or borrowed."""

    other: str
    number: int
    amount: int
    until: float


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """A wish for rights, or (`renew`) to keep a loan."""

    budget: str
    number: int
    amount: int
    renew: int = 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """An answer to an ask: so many rights, as a loan of this number."""

    budget: str
    ask: int
    number: int
    amount: int


class Back(msgspec.Struct, frozen=True, array_like=True):
    """A loan given back before its time; its borrower holds it no more."""

    budget: str
    number: int


class Held(msgspec.Struct, frozen=True):
    """One ingress's rights of one budget."""

    part: int  # whose home this is
    busy: tuple[float, ...] = ()  # of the own: until when
    lent: tuple[Loan, ...] = ()
    borrowed: tuple[Loan, ...] = ()
    used: tuple[tuple[int, float], ...] = ()  # of the borrowed, by loan: until when they are busy
    asked: tuple[tuple[int, float, int], ...] = ()  # asks that are out: number, when, and the loan to keep

    @property
    def floor(self) -> int:
        """Return how many of the part are never lent."""
        return self.part // 2

    @property
    def own_free(self) -> int:
        """Return how many of the part may be spent now, once settled."""
        return self.part - len(self.busy) - sum(loan.amount for loan in self.lent)

    def loan_free(self, loan: Loan) -> int:
        """Return how many of a borrowed loan may be spent now."""
        return loan.amount - sum(number == loan.number for number, _ in self.used)

    @property
    def free(self) -> int:
        """Return how many may be spent now, once settled."""
        return self.own_free + sum(self.loan_free(loan) for loan in self.borrowed)

    @property
    def out(self) -> int:
        """Return how many are busy here."""
        return len(self.busy) + len(self.used)

    @property
    def idle(self) -> bool:
        """Tell whether nothing would be lost by forgetting this."""
        return not (self.busy or self.lent or self.borrowed or self.asked)


def part_of(rights: int, slots: int, slot: int, name: str) -> int:
    """Return a slot's part of a budget; what does not go round is dealt from a place that the name says."""
    place = (slot + crc32(name.encode())) % slots
    return rights // slots + (place < rights % slots)


def begun(part: int, terms: Terms, started: float, now: float) -> Held:
    """Return the rights of a process that started then, as of its first use of a budget.

    An earlier life may have spent what is never lent until the very start, and lent the rest.
    """
    held = Held(part)
    kept, given = part // 2, part - part // 2
    loans = (
        Loan(EARLIER_LIFE, 1, kept, started + terms.hold * SPREAD),
        Loan(EARLIER_LIFE, 2, given, started + terms.back),
    )
    return settle(msgspec.structs.replace(held, lent=tuple(loan for loan in loans if loan.amount)), now)


def settle(held: Held, now: float) -> Held:
    """Let go what time has ended: loans either way, and rights that were busy."""
    if held.idle:
        return held
    borrowed = tuple(loan for loan in held.borrowed if now < loan.until)
    numbers = {loan.number for loan in borrowed}
    return msgspec.structs.replace(
        held,
        busy=tuple(until for until in held.busy if now < until - EARLY),
        lent=tuple(loan for loan in held.lent if now < loan.until - EARLY),
        borrowed=borrowed,
        used=tuple((n, until) for n, until in held.used if n in numbers and now < until - EARLY),
    )


def spend(held: Held, now: float, terms: Terms) -> Held | None:
    """Spend one right, a borrowed one first: those end, and the own may be lent; None where none is free."""
    held = settle(held, now)
    for loan in sorted(held.borrowed, key=lambda loan: loan.until):
        if held.loan_free(loan) > 0:
            return msgspec.structs.replace(held, used=(*held.used, (loan.number, now + terms.hold)))
    if held.own_free <= 0:
        return None
    return msgspec.structs.replace(held, busy=(*held.busy, now + terms.hold))


def release(held: Held, now: float) -> Held:
    """Free one right whose use is over for certain before its hold is.

    Rights are alike, so it need not be the one that was spent: it is the one that would be free first, which
    leaves those that are busy for no shorter than the uses that go on.
    """
    held = settle(held, now)
    own = min(held.busy, default=None)
    borrowed = min(held.used, key=lambda pair: pair[1], default=None)
    if borrowed is not None and (own is None or borrowed[1] < own):
        at = held.used.index(borrowed)
        return msgspec.structs.replace(held, used=held.used[:at] + held.used[at + 1 :])
    if own is None:
        return held
    at = held.busy.index(own)
    return msgspec.structs.replace(held, busy=held.busy[:at] + held.busy[at + 1 :])


def ask(held: Held, now: float, terms: Terms, want: Ask) -> Held | None:
    """Note an ask that goes out now; None where too many are out, or the loan to keep has ended."""
    held = settle(held, now)
    out = tuple(one for one in held.asked if now < one[1] + terms.lease)
    if len(out) >= ASKS_MOST or (want.renew and all(loan.number != want.renew for loan in held.borrowed)):
        return None
    return msgspec.structs.replace(held, asked=(*out, (want.number, now, want.renew)))


def lend(
    held: Held, now: float, terms: Terms, borrower: str, want: Ask, number: int, keep: int
) -> tuple[Held, Grant | None]:
    """Answer an ask, `keep` being what is lately used here; None where nothing can be given.

    A loan that is renewed is out until its new end: should the answer be lost, the borrower goes by the old.
    """
    held = settle(held, now)
    until = now + terms.back
    if want.renew:
        mine = [loan for loan in held.lent if (loan.other, loan.number) == (borrower, want.renew)]
        if not mine or held.own_free < keep - held.out:
            return held, None  # ended, or wanted here: it goes on to its end, and comes back
        later = msgspec.structs.replace(mine[0], until=max(until, mine[0].until))
        lent = tuple(later if loan is mine[0] else loan for loan in held.lent)
        grant = Grant(want.budget, want.number, later.number, later.amount)
        return msgspec.structs.replace(held, lent=lent), grant
    given = sum(loan.amount for loan in held.lent)
    lendable = min(held.own_free, held.part - held.floor - given, held.part - given - keep)
    amount = min(want.amount, lendable)
    if amount <= 0 or len(held.lent) >= LOANS_MOST or borrower == EARLIER_LIFE:
        return held, None
    loan = Loan(borrower, number, amount, until)
    grant = Grant(want.budget, want.number, number, amount)
    return msgspec.structs.replace(held, lent=(*held.lent, loan)), grant


def accept(held: Held, now: float, terms: Terms, lender: str, grant: Grant) -> Held:
    """Take in the answer to an ask that is out, and to none else.

    One that comes again finds its ask gone. Else a loan that was given back meanwhile would be held here
    and at its home; for the same reason a loan that was to be kept is not taken for a new one.
    """
    held = settle(held, now)
    found = [one for one in held.asked if one[0] == grant.ask]
    if not found:
        return held
    _, at, renew = found[0]
    held = msgspec.structs.replace(held, asked=tuple(one for one in held.asked if one is not found[0]))
    until = at + terms.lease
    if now >= until or grant.amount <= 0:
        return held
    if renew:
        borrowed = tuple(
            msgspec.structs.replace(loan, until=max(loan.until, until))
            if (loan.other, loan.number) == (lender, grant.number) and renew == grant.number
            else loan
            for loan in held.borrowed
        )
        return msgspec.structs.replace(held, borrowed=borrowed)
    if len(held.borrowed) >= LOANS_MOST or any(loan.number == grant.number for loan in held.borrowed):
        return held
    loan = Loan(lender, grant.number, grant.amount, until)
    return msgspec.structs.replace(held, borrowed=(*held.borrowed, loan))


def give_back(held: Held, now: float, budget: str, number: int) -> tuple[Held, Back | None]:
    """Let go of a borrowed loan of which nothing is busy; the word of it may be lost."""
    held = settle(held, now)
    kept = tuple(loan for loan in held.borrowed if loan.number != number)
    if len(kept) == len(held.borrowed) or any(n == number for n, _ in held.used):
        return held, None
    return msgspec.structs.replace(held, borrowed=kept), Back(budget, number)


def take_back(held: Held, now: float, borrower: str, back: Back) -> Held:
    """Take in that a borrower has let go of a loan; for one that is not out it changes nothing."""
    held = settle(held, now)
    rest = tuple(loan for loan in held.lent if (loan.other, loan.number) != (borrower, back.number))
    return msgspec.structs.replace(held, lent=rest)
