"""A quantity of which all data planes together may use only so much, held as rights. Pure; times are ms.

A budget has B rights. A right that is spent is in use for a hold (the window of a rate, or the longest that
what it pays for can last) and then free again, so never more than B are spent in any hold. Every right has a
home: each of the N slots of the fleet is home to an even part of B, which it needs nobody's message to spend.
A home lends what it does not need, under a lease (Gray and Cheriton, 1989): a loan ends by itself, and no
message is needed for it to end:

    the borrower holds it for `lease_ms` by its own clock, from the moment in which it sent its request;
    the home has it back after (lease_ms + hold_ms) x CLOCK_RATIO by its own clock, from when it lent.

The home lent after the request was sent, and CLOCK_RATIO covers clocks whose rates differ from true time by
MAX_CLOCK_DRIFT either way, so when the home has the rights back, the borrower cannot spend them any more and
what it spent them on is over:

    own part: free + in use + lent out and not back = part,     and the parts add up to B               (I)
    spent by a borrower from a loan in any hold <= the loan, which its home counts as lent              (II)

(I) and (II) hold at each data plane by itself, so messages lost, repeated or late, partitions, pauses and
crashes cannot break them. A process that starts does not know what the process before it in its slot spent
and lent; it takes all of its part as lent to that one until the time for it is over (`initial_rights`). A
half of each part is never lent: a data plane that receives from nobody serves by that, and by what has come
back.

Which rights go where is a matter of use alone, and none of safety: who was refused a right requests some, and
who has more than it has lately used lends.
"""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

import msgspec

MAX_CLOCK_DRIFT = 0.01  # by which a clock's rate may differ from true time
CLOCK_RATIO = (1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT)
PREVIOUS_PROCESS = ""  # the borrower to which a process that starts takes its own part as lent
MAX_LOANS = 64  # of one budget, either way
MAX_PENDING_REQUESTS = 8  # of one budget
ROUNDING_MS = 1e-6  # by which sums of times may fall short


class BudgetTerms(msgspec.Struct, frozen=True):
    """What all data planes know of one budget alike; it follows from settings and lists."""

    rights: int
    hold_ms: float
    lease_ms: float

    @property
    def return_ms(self) -> float:
        """The time after which what was lent is back, by the home's own clock."""
        return (self.lease_ms + self.hold_ms) * CLOCK_RATIO


class Loan(msgspec.Struct, frozen=True):
    """Rights lent to or borrowed from a peer."""

    peer: str
    number: int
    amount: int
    expires_at: float


class RightsRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for rights, or to keep a loan; the order of the fields is fixed by the wire."""

    budget: str
    number: int
    amount: int
    renewed_loan: int = 0  # 0 where rights are requested anew


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a request: a loan; the order of the fields is fixed by the wire."""

    budget: str
    request_number: int
    loan_number: int
    amount: int


class LoanReturn(msgspec.Struct, frozen=True, array_like=True):
    """A loan returned before its end; its borrower holds it no more. The wire fixes the order."""

    budget: str
    loan_number: int


class BorrowedUse(NamedTuple):
    """A borrowed right that is in use."""

    loan_number: int
    until: float


class PendingRequest(NamedTuple):
    """A request that has been sent and not answered."""

    number: int
    sent_at: float
    renewed_loan: int


class Offer(NamedTuple):
    """What a lender answers a request with."""

    loan_number: int
    reserve: int  # rights that the lender keeps, by what it lately used


class HeldRights(msgspec.Struct, frozen=True):
    """One data plane's rights of one budget."""

    part: int  # of which this data plane is the home
    own_in_use: tuple[float, ...] = ()  # the time at which each is free again
    lent: tuple[Loan, ...] = ()
    borrowed: tuple[Loan, ...] = ()
    borrowed_in_use: tuple[BorrowedUse, ...] = ()
    pending: tuple[PendingRequest, ...] = ()

    @property
    def never_lent(self) -> int:
        """How many of the part are never lent."""
        return self.part // 2

    @property
    def total_lent(self) -> int:
        """How many of the part are lent."""
        return sum(loan.amount for loan in self.lent)

    @property
    def own_free(self) -> int:
        """How many of the part may be spent now, once expired."""
        return self.part - len(self.own_in_use) - self.total_lent

    def free_of_loan(self, loan: Loan) -> int:
        """Return how many of a borrowed loan may be spent now."""
        return loan.amount - sum(use.loan_number == loan.number for use in self.borrowed_in_use)

    @property
    def free(self) -> int:
        """How many may be spent now, once expired."""
        return self.own_free + sum(self.free_of_loan(loan) for loan in self.borrowed)

    @property
    def in_use(self) -> int:
        """How many are in use here."""
        return len(self.own_in_use) + len(self.borrowed_in_use)

    @property
    def is_forgettable(self) -> bool:
        """Whether nothing would be lost by forgetting this."""
        return not (self.own_in_use or self.lent or self.borrowed or self.pending)


def part_of(rights: int, slots: int, slot: int, name: str) -> int:
    """Return a slot's part of a budget; the remainder is dealt from a slot that the name selects."""
    place = (slot + crc32(name.encode())) % slots
    return rights // slots + (place < rights % slots)


def initial_rights(part: int, terms: BudgetTerms, started_at: float, now: float) -> HeldRights:
    """Return the rights of a process that started then, as of its first use of a budget.

    The process before it in its slot may have spent what is never lent until the very start, and lent the
    rest.
    """
    held = HeldRights(part)
    kept, lendable = part // 2, part - part // 2
    loans = (
        Loan(PREVIOUS_PROCESS, 1, kept, started_at + terms.hold_ms * CLOCK_RATIO),
        Loan(PREVIOUS_PROCESS, 2, lendable, started_at + terms.return_ms),
    )
    return expire(msgspec.structs.replace(held, lent=tuple(loan for loan in loans if loan.amount)), now)


def expire(held: HeldRights, now: float) -> HeldRights:
    """Drop what time has ended: loans either way, and uses."""
    if held.is_forgettable:
        return held
    borrowed = tuple(loan for loan in held.borrowed if now < loan.expires_at)
    numbers = {loan.number for loan in borrowed}
    return msgspec.structs.replace(
        held,
        own_in_use=tuple(until for until in held.own_in_use if now < until - ROUNDING_MS),
        lent=tuple(loan for loan in held.lent if now < loan.expires_at - ROUNDING_MS),
        borrowed=borrowed,
        borrowed_in_use=tuple(
            use
            for use in held.borrowed_in_use
            if use.loan_number in numbers and now < use.until - ROUNDING_MS
        ),
    )


# Spending.


def spend(held: HeldRights, now: float, terms: BudgetTerms) -> HeldRights | None:
    """Spend one right, a borrowed one first: those end, and the own may be lent; None where none is free."""
    held = expire(held, now)
    until = now + terms.hold_ms
    for loan in sorted(held.borrowed, key=lambda loan: loan.expires_at):
        if held.free_of_loan(loan) > 0:
            uses = (*held.borrowed_in_use, BorrowedUse(loan.number, until))
            return msgspec.structs.replace(held, borrowed_in_use=uses)
    if held.own_free <= 0:
        return None
    return msgspec.structs.replace(held, own_in_use=(*held.own_in_use, until))


def release(held: HeldRights, now: float) -> HeldRights:
    """Free one right whose use is over for certain before its hold is.

    Rights are alike, so it need not be the one that was spent: it is the one that would be free first, which
    leaves the others in use for no shorter than the uses that go on.
    """
    held = expire(held, now)
    own = min(held.own_in_use, default=None)
    borrowed = min(held.borrowed_in_use, key=lambda use: use.until, default=None)
    if borrowed is not None and (own is None or borrowed.until < own):
        uses = list(held.borrowed_in_use)
        uses.remove(borrowed)
        return msgspec.structs.replace(held, borrowed_in_use=tuple(uses))
    if own is None:
        return held
    own_uses = list(held.own_in_use)
    own_uses.remove(own)
    return msgspec.structs.replace(held, own_in_use=tuple(own_uses))


# Borrowing and lending.


def record_request(
    held: HeldRights, now: float, terms: BudgetTerms, request: RightsRequest
) -> HeldRights | None:
    """Record a request that is sent now; None where too many are pending, or the loan to keep has ended."""
    held = expire(held, now)
    pending = tuple(earlier for earlier in held.pending if now < earlier.sent_at + terms.lease_ms)
    if len(pending) >= MAX_PENDING_REQUESTS:
        return None
    renewed = request.renewed_loan
    if renewed and all(loan.number != renewed for loan in held.borrowed):
        return None
    return msgspec.structs.replace(held, pending=(*pending, PendingRequest(request.number, now, renewed)))


def lend(
    held: HeldRights, now: float, terms: BudgetTerms, borrower: str, request: RightsRequest, offer: Offer
) -> tuple[HeldRights, Grant | None]:
    """Answer a request; None where nothing can be lent."""
    held = expire(held, now)
    expires_at = now + terms.return_ms
    if request.renewed_loan:
        return _renew_loan(held, expires_at, borrower, request, offer.reserve)
    lendable = min(
        held.own_free,
        held.part - held.never_lent - held.total_lent,
        held.part - held.total_lent - offer.reserve,
    )
    amount = min(request.amount, lendable)
    if amount <= 0 or len(held.lent) >= MAX_LOANS or borrower == PREVIOUS_PROCESS:
        return held, None
    loan = Loan(borrower, offer.loan_number, amount, expires_at)
    grant = Grant(request.budget, request.number, offer.loan_number, amount)
    return msgspec.structs.replace(held, lent=(*held.lent, loan)), grant


def _renew_loan(
    held: HeldRights, expires_at: float, borrower: str, request: RightsRequest, reserve: int
) -> tuple[HeldRights, Grant | None]:
    """Let a borrower keep a loan for longer; None where it has ended, or its rights are wanted here.

    The loan is out until its new end: should the answer be lost, the borrower goes by the old one.
    """
    loans = [loan for loan in held.lent if (loan.peer, loan.number) == (borrower, request.renewed_loan)]
    if not loans or held.own_free < reserve - held.in_use:
        return held, None
    renewed = msgspec.structs.replace(loans[0], expires_at=max(expires_at, loans[0].expires_at))
    lent = tuple(renewed if loan is loans[0] else loan for loan in held.lent)
    grant = Grant(request.budget, request.number, renewed.number, renewed.amount)
    return msgspec.structs.replace(held, lent=lent), grant


def accept_grant(held: HeldRights, now: float, terms: BudgetTerms, lender: str, grant: Grant) -> HeldRights:
    """Take in the answer to a request that is pending, and to none else.

    A grant that is received again finds its request gone. Else a loan that was returned meanwhile would be
    held here and at its home; for the same reason a loan that was to be kept is not taken for a new one.
    """
    held = expire(held, now)
    found = [request for request in held.pending if request.number == grant.request_number]
    if not found:
        return held
    request = found[0]
    pending = tuple(other for other in held.pending if other is not request)
    held = msgspec.structs.replace(held, pending=pending)
    expires_at = request.sent_at + terms.lease_ms
    if now >= expires_at or grant.amount <= 0:
        return held
    if request.renewed_loan:
        if request.renewed_loan != grant.loan_number:
            return held
        return _extend_loan(held, expires_at, lender, grant.loan_number)
    if len(held.borrowed) >= MAX_LOANS or any(loan.number == grant.loan_number for loan in held.borrowed):
        return held
    loan = Loan(lender, grant.loan_number, grant.amount, expires_at)
    return msgspec.structs.replace(held, borrowed=(*held.borrowed, loan))


def _extend_loan(held: HeldRights, expires_at: float, lender: str, loan_number: int) -> HeldRights:
    """Hold a borrowed loan for longer."""
    borrowed = tuple(
        msgspec.structs.replace(loan, expires_at=max(loan.expires_at, expires_at))
        if (loan.peer, loan.number) == (lender, loan_number)
        else loan
        for loan in held.borrowed
    )
    return msgspec.structs.replace(held, borrowed=borrowed)


def return_loan(
    held: HeldRights, now: float, budget: str, loan_number: int
) -> tuple[HeldRights, LoanReturn | None]:
    """Let go of a borrowed loan of which nothing is in use; the message of it may be lost."""
    held = expire(held, now)
    kept = tuple(loan for loan in held.borrowed if loan.number != loan_number)
    in_use = any(use.loan_number == loan_number for use in held.borrowed_in_use)
    if len(kept) == len(held.borrowed) or in_use:
        return held, None
    return msgspec.structs.replace(held, borrowed=kept), LoanReturn(budget, loan_number)


def accept_return(held: HeldRights, now: float, borrower: str, returned: LoanReturn) -> HeldRights:
    """Take in that a borrower has returned a loan; for one that is not lent it changes nothing."""
    held = expire(held, now)
    lent = tuple(loan for loan in held.lent if (loan.peer, loan.number) != (borrower, returned.loan_number))
    return msgspec.structs.replace(held, lent=lent)
