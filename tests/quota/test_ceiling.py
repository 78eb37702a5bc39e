"""The hard ceiling over a customer's gateways: its transitions explored, then several policies together."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from pyModelChecking import Kripke
from pyModelChecking.CTL import AG, EF, AtomicProposition, Not, modelcheck

from tests.support.policy_gateway import PLAN, Gateway, make_settings
from wickspring import interface as api
from wickspring.interface import Status
from wickspring.quota.ceiling_share import CeilingShare, initial_share
from wickspring.quota.customer_quota import new_quota

# The real transitions of a small fleet, explored exhaustively.

CAPACITY = {2: 2.0, 3: 1.0}  # units that each of so many gateways' parts holds; one fills by one unit a tick
Shares = tuple[
    tuple[float, float, bool], ...
]  # of each gateway: share, headroom, whether the previous window is unread
State = tuple[
    float, Shares, tuple[float, ...]
]  # C, what each gateway knows, what others have forwarded unseen by it


def steps(kind: type[CeilingShare], state: State) -> Iterator[State]:
    """Yield what one tick, one unit forwarded, a read, a new window or counts lost make of a state."""
    store, shares, unseen = state
    spread = len(shares)
    most = CAPACITY[spread] * spread

    def at(number: int) -> CeilingShare:
        share, headroom, unread = shares[number]
        return kind(float(spread), CAPACITY[spread], spread, share, headroom, 0.0, unread)

    def put(ones: list[CeilingShare]) -> Shares:
        return tuple(
            (one.share, max(one.headroom, CAPACITY[spread] - most), one.previous_unread) for one in ones
        )

    def every_one(do: Callable[[CeilingShare], None]) -> Shares:
        ones = [at(number) for number in range(spread)]
        for one in ones:
            do(one)
        return put(ones)

    yield min(most, store + spread), every_one(lambda one: one.refill(1.0)), unseen
    turned = every_one(lambda one: one.start_window(0.0, True))
    yield store, turned, tuple(units * one[2] for units, one in zip(unseen, turned, strict=True))
    for number in range(spread):
        seen_by_it = (*unseen[:number], 0.0, *unseen[number + 1 :])
        for seen in (True, False):
            ones, others_units = [at(each) for each in range(spread)], unseen
            if seen and not ones[number].previous_unread:  # else the adds are in the window before
                ones[number].charge_others(unseen[number], True)
                others_units = seen_by_it
            if ones[number].available(seen) >= 1.0:
                ones[number].spend(1.0, seen)
                others_units = tuple(
                    min(units + (each != number), most) for each, units in enumerate(others_units)
                )
                yield store - 1.0, put(ones), others_units
            elif seen:
                yield store, put(ones), others_units  # a read, and a refusal
        ones = [at(each) for each in range(spread)]
        ones[number].finish_previous(unseen[number], 0.0)
        yield store, put(ones), seen_by_it
        ones = [at(each) for each in range(spread)]
        ones[number].charge_others(0.0, False)  # counts lost: what the others had added is not known any more
        yield store, put(ones), seen_by_it


def broken(kind: type[CeilingShare], spread: int) -> tuple[bool, bool]:
    """Tell whether the ceiling can be passed, and whether a gateway can forward more than its share."""
    full = CAPACITY[spread]
    start: State = (full * spread, ((full, full, False),) * spread, (0.0,) * spread)
    numbers, queue = {start: 0}, [start]
    edges, marks = list[tuple[int, int]](), dict[int, set[str]]()
    while queue:
        state = queue.pop()
        here, (store, shares, _) = numbers[state], state
        passed = store < 0.0
        more = any(headroom >= 1.0 > share and not unread for share, headroom, unread in shares)
        marks[here] = {word for word, true in (("passed", passed), ("more", more)) if true}
        if passed:
            edges.append((here, here))
            continue
        for after in steps(kind, state):
            if after not in numbers:
                numbers[after] = len(numbers)
                assert len(numbers) <= 150_000, "more states than the test is made for"
                queue.append(after)
            edges.append((here, numbers[after]))
    kripke = Kripke(S0=[0], R=edges, L=marks)
    never, once = AG(Not(AtomicProposition("passed"))), EF(AtomicProposition("more"))
    return 0 not in modelcheck(kripke, never), 0 in modelcheck(kripke, once)


class RefillsAtFullRate(CeilingShare):
    """A share that refills at the full rate."""

    def refill(self, elapsed_ms: float) -> None:
        self.share = self.headroom = min(self.capacity, self.share + self.rate * elapsed_ms)


class IgnoresOthers(CeilingShare):
    """Others' adds pass unnoticed."""

    def charge_others(self, units: float, follows: bool) -> None:
        super().charge_others(0.0, follows)


class HoldsFullCeiling(CeilingShare):
    """The headroom may hold what all shares hold together."""

    def refill(self, elapsed_ms: float) -> None:
        self.share = min(self.capacity, self.share + self.rate * elapsed_ms / self.spread)
        self.headroom = min(self.capacity * self.spread, self.headroom + self.rate * elapsed_ms)


class SpendsUnpaid(CeilingShare):
    """What is forwarded by the headroom leaves the share as it is."""

    def spend(self, units: float, counted: bool) -> None:
        kept = self.share
        super().spend(units, counted)
        self.share = kept if self.headroom >= 0.0 else self.share


class SpendsUnread(CeilingShare):
    """What is forwarded without a read leaves the share as it is, as if others had left enough."""

    def spend(self, units: float, counted: bool) -> None:
        super().spend(units, True)


class SkipsPreviousWindow(CeilingShare):
    """A new window leaves out what was added late in the old one."""

    def start_window(self, previous_total: float, follows: bool) -> None:
        pass


class AssumesNoOthers(CeilingShare):
    """Where totals do not follow, the share is taken for what the others leave."""

    def reset_headroom(self) -> None:
        self.headroom, self.previous_unread = self.share, False


class UsesOldTotals(CeilingShare):
    """Without the counter's answer the last total is taken to hold."""

    def available(self, counted: bool) -> float:
        return max(self.share, self.headroom)


def test_no_interleaving_exceeds_the_ceiling_and_unused_shares_are_available() -> None:
    assert broken(CeilingShare, 2) == (False, True)
    assert not broken(CeilingShare, 3)[0]


@pytest.mark.parametrize(
    "defect",
    [
        RefillsAtFullRate,
        IgnoresOthers,
        HoldsFullCeiling,
        SpendsUnpaid,
        SpendsUnread,
        SkipsPreviousWindow,
        AssumesNoOthers,
        UsesOldTotals,
    ],
)
def test_a_seeded_ceiling_defect_is_detected(defect: type[CeilingShare]) -> None:
    assert broken(defect, 2)[0]


# Several policies with one counter, in virtual time.

RATE, BURST, SLACK = 0.009, 16.0, 4.0  # units a ms, units, units
START = 1_000_000.0  # ms


class Site:
    """One customer's requests through a set of gateways, its counter, and the ceiling's store."""

    def __init__(self, ceiling: float, gateways: int = 3, seed: int = 1) -> None:
        self.plan = replace(
            PLAN,
            rate=RATE,
            burst=BURST,
            ceiling_rate=ceiling * RATE,
            ceiling_burst=ceiling * BURST,
            ceiling_slack=SLACK,
        )
        self.random, self.send_order = Random(seed), count()
        self.now = START
        self.events: list[tuple[float, int, int, Gateway, api.Event]] = []
        self.totals: dict[int, float] = {}
        self.up = True
        self.fronts = [self.start(number, gateways) for number in range(gateways)]
        self.store, self.least, self.at = self.plan.ceiling_burst, self.plan.ceiling_burst, START
        self.quota, self.inside, self.sent = BURST, 0.0, 0.0

    def start(self, number: int, gateways: int) -> Gateway:
        settings = make_settings(
            plan={},
            gateways=gateways,
            own_number=number,
            seed=number + 1,
            max_attempts=1,
            may_probe=False,
            parallel_attempts=False,
            plans=(self.plan,),
        )
        front = Gateway(settings)
        front.now = self.now
        front.list_servers(*(front.entry(n) for n in range(60)))
        return front

    def crash(self, number: int) -> None:
        self.fronts[number] = self.start(number, len(self.fronts))

    def lose(self, part: float) -> None:
        self.totals = {name: total * (1.0 - part) for name, total in self.totals.items()}

    def ask(self, number: int, units: float) -> None:
        """Let the clock come to now, then have one request in at a gateway."""
        while self.events and self.events[0][0] <= self.now:
            at, _, _, front, event = heappop(self.events)
            self.feed(front, at, event)
        front = self.fronts[number]
        front.next_id += 1
        deadline = self.now + 4000.0
        self.feed(front, self.now, api.Request(front.next_id, 0, 0, 7, deadline, units, len(self.fronts), 0))

    def feed(self, front: Gateway, now: float, event: api.Event) -> None:
        front.now = now
        for action in front.feed(event):
            if isinstance(action, api.Count):
                answer, after = api.CountAnswer(action.name, Status.TIMEOUT, 0.0, 50.0), 50.0
                if self.up:
                    self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
                    answer = api.CountAnswer(action.name, Status.OK, self.totals[action.name], 4.0)
                    after = 4.0
                heappush(self.events, (now + after, next(self.send_order), 0, front, answer))
            elif isinstance(action, api.Send):
                self.out(now, front.policy.requests[action.request].request.units)
                done = api.Outcome(action.request, 0, action.server, Status.OK, True, 60.0, (), 0.0, 0)
                heappush(self.events, (now + 60.0, next(self.send_order), 0, front, done))

    def out(self, now: float, units: float) -> None:
        passed, self.at = now - self.at, now
        self.store = min(self.plan.ceiling_burst, self.store + self.plan.ceiling_rate * passed) - units
        self.quota = min(BURST, self.quota + RATE * passed)
        self.least, self.sent = min(self.least, self.store), self.sent + units
        if self.quota >= units:
            self.quota, self.inside = self.quota - units, self.inside + units

    def play(self, seconds: float, weights: tuple[float, ...], times: float = 4.0) -> None:
        """Have so many times the quota asked for, spread over the gateways by weight."""
        until, choice = self.now + 1000.0 * seconds, range(len(self.fronts))
        while self.now < until:
            units = float(self.random.choice((1, 2, 3, 4)))
            self.now += self.random.expovariate(times * RATE / 2.5)
            self.ask(self.random.choices(choice, weights)[0], units)


@pytest.mark.parametrize("ceiling", [1.6, 1.78, 2.56])
@pytest.mark.parametrize("weights", [(5.0, 2.0, 1.0), (1.0, 0.0, 0.0)])
def test_a_ceiling_withholds_hardly_any_quota_however_unevenly_requests_come_in(
    ceiling: float, weights: tuple[float, ...]
) -> None:
    # By even parts alone one gateway of three could send on 0.53 to 0.85 of the quota.
    site = Site(ceiling)
    site.play(60.0, weights)
    assert site.least >= -SLACK
    assert site.inside >= 0.95 * (BURST + RATE * 60_000.0)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("ceiling", [1.6, 1.78])
def test_no_fault_passes_a_ceiling(ceiling: float, seed: int) -> None:
    # Crashes, counts lost in full or in part, an unresponsive counter that restarts empty, and requests that
    # gather on one gateway and move to another, each at a time when the ceiling is what holds them.
    site = Site(ceiling, seed=seed)
    random = Random(seed)
    for _ in range(12):
        weights = random.choice([(5.0, 2.0, 1.0), (1.0, 0.0, 0.0), (0.0, 0.0, 1.0), (1.0, 1.0, 1.0)])
        site.play(random.uniform(0.3, 4.0), weights, times=random.choice((1.0, 4.0, 7.0)))
        fault = random.randrange(4)
        if fault == 0:
            for number in random.sample(range(3), 2):
                site.crash(number)
        elif fault == 1:
            site.lose(random.choice((0.3, 0.6, 1.0)))
        elif fault == 2:
            site.up = False
            site.play(random.uniform(0.5, 4.0), random.choice([(1.0, 0.0, 0.0), (0.0, 1.0, 1.0)]), times=7.0)
            site.up, site.totals = True, {}
    assert site.sent > BURST
    assert site.least >= -SLACK


@pytest.mark.parametrize("total", [0.0, 2.0])
def test_a_total_below_the_own_additions_reveals_lost_counts(total: float) -> None:
    site = Site(2.0)
    site.play(1.0, (1.0, 0.0, 0.0), times=1.0)
    account = site.fronts[0].policy.quotas[7]
    account.confirmed, account.total = 6.0, 6.0
    account.record_total(site.now, 1.0, total)
    assert account.ceiling.headroom < account.ceiling.share  # nothing is known of the others


def test_a_gateway_of_a_large_fleet_uses_its_share_without_reading() -> None:
    # Its totals are estimates: an add past the part would be refused after it, and stay in the count.
    settings = Site(2.0, gateways=12).fronts[0].policy.settings
    request = api.Request(1, 0, 0, 7, START + 4000.0, 4.0, 12, 0)
    one = new_quota(request, settings, START)
    assert one.windows.flat
    one.ceiling.share, one.ceiling.headroom = 1.0, one.ceiling.capacity + 8.0
    one.ceiling.start_window(0.0, True)
    assert not one.must_read_previous(4.0)
    one.ceiling.finish_previous(0.0, 0.0)
    assert one.available(True) == 1.0


def test_a_plan_without_a_ceiling_has_no_bound() -> None:
    assert initial_share(PLAN, 3).available(False) == float("inf")
