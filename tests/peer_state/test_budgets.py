"""Rights of shared budgets: model checking for small fleets, random schedules for larger ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pyModelChecking import Kripke
from pyModelChecking.CTL import AG, EF, AtomicProposition, Not, modelcheck

from wickspring.peer_state import budgets
from wickspring.peer_state.budgets import (
    BorrowedUse,
    BudgetTerms,
    Grant,
    HeldRights,
    Loan,
    LoanReturn,
    Offer,
    PendingRequest,
    RightsRequest,
)

BUDGET = "b"
MAX_MESSAGES_IN_FLIGHT = 2


class ExploredFaults(NamedTuple):
    """The faults and interleavings that a model explores."""

    may_crash: tuple[int, ...] = ()  # ingresses that may crash
    sequential: bool = False  # exchanges do not overlap


Message = tuple[int, int, Any]  # from, to, what
State = tuple[tuple[HeldRights | None, ...], tuple[Message, ...], tuple[float, ...]]  # and the ages of uses
Found = dict[State, list[State]]  # of a model whose clocks show 0 at every moment


@pytest.fixture
def equal_clock_rates(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let all clocks run at one rate, so that the explored times are integers."""
    monkeypatch.setattr(budgets, "CLOCK_RATIO", 1.0)


def after_one_tick(held: HeldRights | None) -> HeldRights | None:
    """Return the rights of one ingress one tick later."""
    if held is None:
        return None

    def loans(some: tuple[Loan, ...]) -> tuple[Loan, ...]:
        return tuple(msgspec.structs.replace(loan, expires_at=loan.expires_at - 1.0) for loan in some)

    later = msgspec.structs.replace(
        held,
        own_in_use=tuple(until - 1.0 for until in held.own_in_use),
        lent=loans(held.lent),
        borrowed=loans(held.borrowed),
        borrowed_in_use=tuple(BorrowedUse(number, until - 1.0) for number, until in held.borrowed_in_use),
        pending=tuple(
            PendingRequest(number, at - 1.0, renew) for number, at, renew in held.pending if at > -4.0
        ),
    )
    return budgets.expire(later, 0.0)


def unused_loan_number(state: State) -> int:
    """Return the lowest loan number that is not in use."""
    helds, flight, _ = state
    used = {part for _, _, what in flight for part in msgspec.structs.astuple(what) if isinstance(part, int)}
    for held in helds:
        if held is not None:
            used |= {loan.number for loan in (*held.lent, *held.borrowed)}
            used |= {number for one in held.pending for number in (one.number, one.renewed_loan)}
    return next(number for number in range(3, 100) if number not in used)


def successors(
    state: State, parts: tuple[int, ...], terms: BudgetTerms, faults: ExploredFaults
) -> Iterator[State]:
    """Yield the successors of a state: a tick, a local action, or the delivery or loss of a message."""
    helds, flight, uses = state

    def put(
        place: int, held: HeldRights | None, sent: tuple[Message, ...] = flight, used: Any = uses
    ) -> State:
        return (*helds[:place], held, *helds[place + 1 :]), tuple(sorted(sent, key=repr)), used

    yield (
        tuple(map(after_one_tick, helds)),
        flight,
        tuple(age + 1.0 for age in uses if age + 1.0 < terms.hold_ms),
    )
    begins = not flight if faults.sequential else all(isinstance(what, Grant) for _, _, what in flight)
    for place, held in enumerate(helds):
        if held is None:
            yield put(place, budgets.initial_rights(parts[place], terms, 0.0, 0.0))
            continue
        spent = budgets.spend(held, 0.0, terms)
        if spent is not None:
            yield put(place, spent, used=(*uses, 0.0))
        if place in faults.may_crash and None not in helds:
            yield put(place, None)
        if len(flight) >= MAX_MESSAGES_IN_FLIGHT or not begins:
            continue
        for other in range(len(helds)):
            wants = (
                [RightsRequest(BUDGET, unused_loan_number(state), 1)]
                if parts[other] and other != place
                else []
            )
            wants += [
                RightsRequest(BUDGET, unused_loan_number(state), loan.amount, loan.number)
                for loan in held.borrowed
                if loan.peer == str(other)
            ]
            for want in wants:
                asked = budgets.record_request(held, 0.0, terms, want) if not held.pending else None
                if asked is not None:
                    yield put(place, asked, (*flight, (place, other, want)))
        for loan in held.borrowed:
            after, back = budgets.return_loan(held, 0.0, BUDGET, loan.number)
            if back is not None:
                yield put(place, after, (*flight, (place, int(loan.peer), back)))
    for index, (source, to, what) in enumerate(flight):
        rest = flight[:index] + flight[index + 1 :]
        yield helds, rest, uses  # lost
        target = helds[to]
        if target is None:
            continue
        for left in (rest, flight):  # delivered once, or to be delivered again
            if isinstance(what, RightsRequest):
                after, grant = budgets.lend(
                    target, 0.0, terms, str(source), what, Offer(unused_loan_number(state), 0)
                )
                answer = (
                    ((to, source, grant),) if grant is not None and len(left) < MAX_MESSAGES_IN_FLIGHT else ()
                )
                yield put(to, after, (*left, *answer))
            elif isinstance(what, Grant):
                yield put(to, budgets.accept_grant(target, 0.0, terms, str(source), what), left)
            else:
                yield put(to, budgets.accept_return(target, 0.0, str(source), what), left)


def explore(parts: tuple[int, ...], terms: BudgetTerms, faults: ExploredFaults, most: int = 150_000) -> Found:
    """Return each reachable state with its successors; assert that none exceeds the budget."""
    todo: deque[State] = deque([(tuple(HeldRights(part) for part in parts), (), ())])
    found: Found = {}
    while todo:
        state = todo.popleft()
        if state not in found:
            assert len(state[2]) <= terms.rights, "over the bound"
            found[state] = list(successors(state, parts, terms, faults))
            todo += [after for after in found[state] if after not in found]
        assert len(found) < most
    return found


TWO = (1, 0), BudgetTerms(rights=1, hold_ms=2.0, lease_ms=2.0), ExploredFaults(may_crash=(0,))
SMALL = (1, 0), BudgetTerms(rights=1, hold_ms=2.0, lease_ms=1.0), ExploredFaults(may_crash=(0,))
THREE = (
    (1, 0, 0),
    BudgetTerms(rights=1, hold_ms=1.0, lease_ms=1.0),
    ExploredFaults(may_crash=(0,), sequential=True),
)


@pytest.mark.usefixtures("equal_clock_rates")
@pytest.mark.parametrize(("parts", "terms", "faults"), [TWO, THREE], ids=["explored-two", "explored-three"])
def test_no_fault_exceeds_a_budget_or_loses_a_right(
    parts: tuple[int, ...], terms: BudgetTerms, faults: ExploredFaults
) -> None:
    found = explore(parts, terms, faults)
    assert any(
        held is not None and held.borrowed_in_use for helds, _, _ in found for held in helds
    )  # borrowed rights are used
    place = {state: number for number, state in enumerate(found)}
    all_free = {
        number
        for state, number in place.items()
        if all(held is not None for held in state[0])
        and sum(held.free for held in state[0] if held is not None) == terms.rights
    }
    backward = dict[int, set[int]]()
    for state, afters in found.items():
        for after in afters:
            backward.setdefault(place[after], set()).add(place[state])
    reaches, todo = set(all_free), list(all_free)
    while todo:
        for before in backward.get(todo.pop(), ()):
            if before not in reaches:
                reaches.add(before)
                todo.append(before)
    assert len(reaches) == len(found)  # from every state all rights can become free again


@pytest.mark.usefixtures("equal_clock_rates")
def test_the_budget_holds_on_every_explored_path_in_ctl() -> None:
    parts, terms, faults = (
        (1, 0),
        BudgetTerms(rights=1, hold_ms=1.0, lease_ms=1.0),
        ExploredFaults(may_crash=(0,), sequential=True),
    )
    found = explore(parts, terms, faults)
    place = {state: number for number, state in enumerate(found)}
    labels = {}
    for state, number in place.items():
        free = sum(held.free for held in state[0] if held is not None)
        marks = {"overspent": len(state[2]) > 1, "all_free": free == 1, "created": free + len(state[2]) > 1}
        labels[number] = {mark for mark, holds in marks.items() if holds}
    edges = [(place[state], place[after]) for state, afters in found.items() for after in afters]
    kripke = Kripke(S=list(labels), S0=[0], R=edges, L=labels)
    for formula in (
        AG(Not(AtomicProposition("overspent"))),
        AG(Not(AtomicProposition("created"))),
        AG(EF(AtomicProposition("all_free"))),
    ):
        assert 0 in modelcheck(kripke, formula)


def defects() -> dict[str, Callable[[pytest.MonkeyPatch], None]]:
    real_lend, real_accept = budgets.lend, budgets.accept_grant
    real_give, real_take = budgets.return_loan, budgets.accept_return

    def back_too_soon(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(BudgetTerms, "return_ms", property(lambda self: self.lease_ms))

    def lost_when_given_back(patch: pytest.MonkeyPatch) -> None:
        def take(held: HeldRights, now: float, borrower: str, back: LoanReturn) -> HeldRights:
            after = real_take(held, now, borrower, back)
            return msgspec.structs.replace(after, part=held.part - len(held.lent) + len(after.lent))

        patch.setattr(budgets, "accept_return", take)

    def twice_accepted(patch: pytest.MonkeyPatch) -> None:
        def accept(held: HeldRights, now: float, terms: BudgetTerms, lender: str, grant: Grant) -> HeldRights:
            after = real_accept(held, now, terms, lender, grant)
            return msgspec.structs.replace(after, pending=held.pending)

        patch.setattr(budgets, "accept_grant", accept)

    def held_from_the_answer(patch: pytest.MonkeyPatch) -> None:
        def accept(held: HeldRights, now: float, terms: BudgetTerms, lender: str, grant: Grant) -> HeldRights:
            fresh = tuple(PendingRequest(number, now, renew) for number, _, renew in held.pending)
            return real_accept(msgspec.structs.replace(held, pending=fresh), now, terms, lender, grant)

        patch.setattr(budgets, "accept_grant", accept)

    def forgets_its_loans(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(budgets, "initial_rights", lambda part, terms, started, now: HeldRights(part))

    def kept_when_given_back(patch: pytest.MonkeyPatch) -> None:
        def give(
            held: HeldRights, now: float, budget: str, number: int
        ) -> tuple[HeldRights, LoanReturn | None]:
            return held, real_give(held, now, budget, number)[1]

        patch.setattr(budgets, "return_loan", give)

    def given_back_in_use(patch: pytest.MonkeyPatch) -> None:
        def give(
            held: HeldRights, now: float, budget: str, number: int
        ) -> tuple[HeldRights, LoanReturn | None]:
            idle = msgspec.structs.replace(held, borrowed_in_use=())
            return real_give(idle, now, budget, number)

        patch.setattr(budgets, "return_loan", give)

    def lent_twice(patch: pytest.MonkeyPatch) -> None:
        def lend(held: HeldRights, *rest: Any) -> tuple[HeldRights, Grant | None]:
            after, grant = real_lend(held, *rest)
            return (held if grant is not None else after), grant

        patch.setattr(budgets, "lend", lend)

    return {
        one.__name__: one
        for one in (
            back_too_soon,
            lost_when_given_back,
            twice_accepted,
            held_from_the_answer,
            forgets_its_loans,
            kept_when_given_back,
            given_back_in_use,
            lent_twice,
        )
    }


@pytest.mark.usefixtures("equal_clock_rates")
@pytest.mark.parametrize("name", defects())
def test_a_seeded_budget_defect_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    defects()[name](monkeypatch)
    parts, terms, faults = SMALL
    with pytest.raises(AssertionError):
        for may_crash in ((), faults.may_crash):  # a crash returns rights that a defect loses
            test_no_fault_exceeds_a_budget_or_loses_a_right(parts, terms, ExploredFaults(may_crash))


# Random schedules of more ingresses, whose clocks differ in rate and start.


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(2, 7), st.integers(1, 12))
def test_random_schedules_never_exceed_the_budget(seed: int, slots: int, rights: int) -> None:
    random = Random(seed)
    terms = BudgetTerms(rights, hold_ms=1000.0, lease_ms=3000.0)
    rates = [
        1.0 + random.choice((-1.0, 1.0, random.uniform(-1, 1))) * budgets.MAX_CLOCK_DRIFT
        for _ in range(slots)
    ]
    zeros = [random.uniform(0.0, 1e9) for _ in range(slots)]
    parts = [budgets.part_of(rights, slots, slot, BUDGET) for slot in range(slots)]
    assert sum(parts) == rights
    helds, stopped = [HeldRights(part) for part in parts], [-1.0] * slots
    true, number, spent, flight = 0.0, 10, list[float](), list[Message]()
    for _ in range(700):
        true += random.choice((0.0, 1.0, 30.0, random.uniform(0.0, 400.0)))
        place = random.randrange(slots)
        now, held = zeros[place] + true * rates[place], helds[place]
        if true < stopped[place]:
            continue
        number += 1
        match random.randrange(9):
            case 0 | 1 | 2:
                after = budgets.spend(held, now, terms)
                if after is not None:
                    helds[place] = after
                    spent.append(true)
            case 3:
                other = random.randrange(slots)
                mine = [loan for loan in held.borrowed if loan.peer == str(other)]
                renew = random.choice(mine).number if mine and random.random() < 0.5 else 0
                want = RightsRequest(BUDGET, number, random.randint(1, 4), renew)
                asked = budgets.record_request(held, now, terms, want) if other != place else None
                if asked is not None:
                    helds[place] = asked
                    flight.append((place, other, want))
            case 4 if held.borrowed:
                loan = random.choice(held.borrowed)
                helds[place], back = budgets.return_loan(held, now, BUDGET, loan.number)
                flight += [(place, int(loan.peer), back)] if back is not None else []
            case 5 if random.random() < 0.1:
                helds[place] = budgets.initial_rights(
                    parts[place], terms, now, now
                )  # killed, and back at once
            case 6 if random.random() < 0.1:
                stopped[place] = true + random.uniform(0.0, 6000.0)
            case _ if flight:
                index = random.randrange(len(flight))
                source, to, what = flight[index] if random.random() < 0.2 else flight.pop(index)
                if random.random() < 0.2 or true < stopped[to]:
                    continue
                at = zeros[to] + true * rates[to]
                if isinstance(what, RightsRequest):
                    helds[to], grant = budgets.lend(helds[to], at, terms, str(source), what, Offer(number, 0))
                    flight += [(to, source, grant)] if grant is not None else []
                elif isinstance(what, Grant):
                    helds[to] = budgets.accept_grant(helds[to], at, terms, str(source), what)
                else:
                    helds[to] = budgets.accept_return(helds[to], at, str(source), what)
    real = terms.hold_ms / (1.0 + budgets.MAX_CLOCK_DRIFT)  # the least that a hold is by any clock
    for index, at in enumerate(spent):
        assert sum(at <= other < at + real - 0.01 for other in spent[index:]) <= rights
    for place in range(slots):  # and in the end all are back
        now = zeros[place] + (true + 60_000.0) * rates[place]
        helds[place] = budgets.expire(helds[place], now)
    assert [held.own_free for held in helds] == parts


def test_a_finished_use_does_not_shorten_the_busy_time_of_others() -> None:
    terms = BudgetTerms(4, hold_ms=100.0, lease_ms=1000.0)
    held = HeldRights(3)
    for at in (0.0, 10.0, 20.0):
        after = budgets.spend(held, at, terms)
        assert after is not None
        held = after
    assert budgets.spend(held, 30.0, terms) is None
    held = budgets.release(held, 40.0)  # whichever it was
    assert held.own_in_use == (110.0, 120.0)
    assert budgets.spend(held, 50.0, terms) is not None


def test_half_of_a_share_and_rights_in_use_are_never_lent() -> None:
    terms = BudgetTerms(8, hold_ms=100.0, lease_ms=1000.0)
    want = RightsRequest(BUDGET, 1, 8)
    held, grant = budgets.lend(HeldRights(8), 0.0, terms, "b", want, Offer(5, 0))
    assert grant == Grant(BUDGET, 1, 5, 4)
    assert held.own_free == 4
    assert budgets.lend(held, 0.0, terms, "c", want, Offer(6, 0))[1] is None
    assert budgets.lend(HeldRights(8), 0.0, terms, "b", want, Offer(5, 7))[1] == Grant(BUDGET, 1, 5, 1)
    assert budgets.expire(held, terms.return_ms - 1.0).own_free == 4
    assert budgets.expire(held, terms.return_ms).own_free == 8
