"""A data plane's policies and a control plane's counts, without I/O and under random load."""

from __future__ import annotations

from random import Random

import pytest

from wickspring.common.endpoints import DRAINING, READY, Endpoint
from wickspring.common.errors import ErrorKind
from wickspring.common.quota_rule import isolation_ms, quota_ceiling, quota_margin, reservation_ms
from wickspring.common.routes import Route
from wickspring.common.routing_table import Tenant
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.policy.attempts import AttemptOutcome, Attempts
from wickspring.dataplane.policy.endpoint_selection import AttemptResult, EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.dataplane.policy.retry_budget import RetryBudget

SPAN_S, EXCESS, SLACK = 5.0, 0.1, 20.0


def most_in_a_span(times: list[float], span_ms: float) -> int:
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - span_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("seed", range(12))
def test_no_sliding_span_exceeds_the_ceiling_while_owners_are_lost(seed: int) -> None:
    """Data planes add, or decide alone while there is no owner; new owners start from usage reports."""
    random = Random(seed)
    tenant = Tenant("t", 0, random.choice((7.0, 33.0, 63.0)), random.choice((0.0, 33.0, 63.0)))
    data_planes = [QuotaPolicy(SPAN_S, EXCESS, SLACK) for _ in range(8)]
    weights = [random.choice((1.0, 1.0, 4.0)) for _ in data_planes]
    owner: QuotaCounter | None = QuotaCounter(SPAN_S, EXCESS, SLACK)
    now, sent, away_until = 1e6, list[float](), 0.0
    cut: set[int] = set()  # data planes that no owner receives from
    while now < 1e6 + 60_000.0:
        hot = 8.0 if 20_000.0 < now - 1e6 < 40_000.0 else 0.6
        now += random.expovariate(max(1.0, tenant.rate) * hot) * 1000.0
        if owner is not None and random.random() < 0.0008:
            owner, away_until = None, now + random.uniform(200.0, 3000.0)
        if owner is None and now >= away_until:
            owner, cut = QuotaCounter(SPAN_S, EXCESS, SLACK), set()
            for number, data_plane in enumerate(data_planes):
                for name, reported, share in data_plane.reports(now):
                    owner.receive_usage_report(now, name, f"p{number}", reported, share)
        if owner is not None and random.random() < 0.0004:
            for number in cut:
                for name, reported, share in data_planes[number].reports(now):
                    owner.receive_usage_report(now, name, f"p{number}", reported, share)
                owner.mark_responsive(f"p{number}")
            cut = set(random.sample(range(8), random.choice((0, 1, 2))))
            for number in cut:
                owner.mark_unresponsive(now, f"p{number}")
        number = random.choices(range(8), weights)[0]
        data_plane = data_planes[number]
        data_plane.charge(now, "t")
        if owner is None or number in cut:
            decision = data_plane.decide_alone(now, tenant, 8)
        else:
            again = random.random() < 0.3
            total, limit, wait = owner.acquire(now, "t", f"p{number}", tenant.rate, tenant.burst, again)
            decision = data_plane.decide(now, "t", total, limit, wait)
        if decision.allowed:
            sent.append(now)
        else:
            assert 0.0 < decision.retry_after_ms < 60_000.0
    ceiling = quota_ceiling(tenant.rate, tenant.burst, SPAN_S, EXCESS, SLACK)
    assert most_in_a_span(sent, 1000.0 * SPAN_S) <= ceiling
    quiet = [at for at in sent if at < 1e6 + 20_000.0]
    assert len(quiet) > 0.4 * tenant.rate * 20.0  # and what is owed goes


def test_an_owner_allows_the_rate_and_the_burst_once() -> None:
    counter, granted = QuotaCounter(SPAN_S, EXCESS, SLACK), 0
    for step in range(10_000):  # ten times the rate, for ten seconds
        total, limit, _ = counter.acquire(float(step), "t", "p", 50.0, 50.0)
        granted += total <= limit
    assert 550 <= granted <= 50 * 10 * 1.05 + 60
    # Those who come again get nothing while those who come first use it all up.
    total, limit, wait = counter.acquire(10_000.0, "t", "p", 50.0, 50.0, True)
    assert total > limit and wait > 0.0


def test_an_unused_unit_is_refunded() -> None:
    counter = QuotaCounter(SPAN_S, EXCESS, SLACK)
    given = [counter.acquire(1000.0, "t", "p", 1.0, 0.0) for _ in range(10)]
    spent = sum(total <= limit for total, limit, _ in given)
    counter.give_back("t", "p")
    total, limit, _ = counter.acquire(1000.0, "t", "p", 1.0, 0.0)
    assert spent < 10 and total == limit
    total, limit, _ = counter.acquire(1000.0, "t", "p", 1.0, 0.0)
    assert total > limit


@pytest.mark.parametrize("data_plane_count", [1, 8, 40])
def test_retries_of_all_data_planes_stay_within_the_shared_budget(data_plane_count: int) -> None:
    random, ratio, slack, window = Random(data_plane_count), 0.2, 56.0, 10.0
    budgets = [RetryBudget(ratio, window, slack) for _ in range(data_plane_count)]
    now, retries, firsts = 0.0, [], []
    while now < 60_000.0:
        now += random.expovariate(0.2)
        budget = random.choice(budgets)
        budget.record_first(now)
        firsts.append(now)
        if random.random() < 0.6 and budget.try_acquire(now, data_plane_count):
            retries.append(now)
    for start in range(0, 50_000, 500):

        def within(times: list[float], at: float = float(start)) -> int:
            return sum(at <= sent_at < at + 1000.0 * window for sent_at in times)

        assert within(retries) <= ratio * within(firsts) + slack
    assert len(retries) > 0.1 * len(firsts)


def server(number: int, service: str = "s", zone: str = "a", state: int = READY, seq: int = 1) -> Endpoint:
    return Endpoint(f"i{number}", service, f"10.0.0.{number}:80", zone, 2, state, seq)


def test_a_departed_endpoint_is_never_selected_whatever_is_reported_later() -> None:
    table = EndpointTable()
    selector = EndpointSelector(table, "a", 1)
    for number in range(3):
        table.update(0.0, server(number))
    table.record_departures({"i0": DRAINING})
    table.update(1.0, server(0, seq=9))  # a late report that it is ready
    table.update(1.0, server(1, state=DRAINING, seq=2))
    table.update(2.0, server(1, seq=1))
    picks = [selector.pick(3.0, "s", "r", set()) for _ in range(50)]
    assert {pick.endpoint.id for pick in picks if pick is not None} == {"i2"}
    assert selector.pick(3.0, "s", "r", {"i2"}) is None
    assert not table.accepts("i0") and not table.accepts("i1")


def test_ejected_and_unresponsive_endpoints_are_selected_last() -> None:
    table = EndpointTable()
    selector = EndpointSelector(table, "a", 2)
    for number in range(4):
        table.update(0.0, server(number))
    for number, candidate in enumerate(table.by_id.values()):
        result = AttemptResult.SUCCESS if number else AttemptResult.FAILURE
        selector.attempt_started(0.0, candidate, number)
        selector.attempt_ended(100.0, candidate, number, "r", result)
    unresponsive = table.by_id["i1"]
    selector.attempt_started(100.0, unresponsive, 9)
    chosen = [selected.endpoint.id for _ in range(200) if (selected := selector.pick(600.0, "s", "r", set()))]
    assert chosen.count("i0") == 0 and chosen.count("i1") < 10
    assert selector.pick(100.0, "s", "r", {"i1", "i2", "i3"}) is table.by_id["i0"]  # better than none


def route(pure: bool, max_attempts: int = 2) -> Route:
    return Route("r", "/r/", pure, 2.0, 0.3, 0, False, max_attempts, (("s", 1.0),))


@pytest.mark.parametrize("seed", range(200))
def test_a_non_idempotent_request_never_has_two_attempts_in_flight(seed: int) -> None:
    """Random outcomes: no second attempt unless the first is known not to have run, no false promise."""
    random = Random(seed)
    pure = random.random() < 0.5
    attempts = Attempts(route(pure, random.randint(1, 4)), "s", 0.0, 2000.0)
    may_have_run, now = False, 0.0
    out: list[str] = []
    while now < 1990.0:
        now += random.uniform(0.0, 200.0)
        if out and random.random() < 0.6:
            outcome = random.choice(
                [outcome for outcome in AttemptOutcome if outcome is not AttemptOutcome.ANSWERED]
            )
            out.pop()
            attempts.finish(outcome)
            may_have_run |= not outcome.not_executed
        elif attempts.may_send(now):
            assert pure or (not may_have_run and not out)
            attempts.start(f"i{attempts.sent}")
            out.append("x")
        if attempts.final_error is ErrorKind.NO_SERVER:
            assert not may_have_run and not out
    assert attempts.sent <= attempts.route.max_attempts


@pytest.mark.parametrize(("reported", "kept"), [(True, True), (False, False)])
def test_the_shares_of_unreachable_data_planes_are_reserved(reported: bool, kept: bool) -> None:
    """Half of a hot tenant's data planes are cut off; without the reservation the ceiling is passed."""
    random, tenant = Random(3), Tenant("t", 0, 63.0, 63.0)
    data_planes, owner = (
        [QuotaPolicy(SPAN_S, EXCESS, SLACK) for _ in range(8)],
        QuotaCounter(SPAN_S, EXCESS, SLACK),
    )
    now, sent, cut = 0.0, list[float](), False
    while now < 25_000.0:
        now += random.expovariate(0.4)
        if now > 10_000.0 and not cut:
            cut = True
            for number in range(4):
                if reported:
                    owner.mark_unresponsive(now, f"p{number}")
        number = random.randrange(8)
        data_plane = data_planes[number]
        data_plane.charge(now, "t")
        if cut and number < 4:
            decision = data_plane.decide_alone(now, tenant, 8)
        else:
            total, limit, wait = owner.acquire(now, "t", f"p{number}", tenant.rate, tenant.burst)
            decision = data_plane.decide(now, "t", total, limit, wait)
        if decision.allowed:
            sent.append(now)
    ceiling = quota_ceiling(tenant.rate, tenant.burst, SPAN_S, EXCESS, SLACK)
    assert (most_in_a_span(sent, 1000.0 * SPAN_S) <= ceiling) == kept


@pytest.mark.parametrize("reported", [True, False])
def test_what_ended_together_with_its_owner_is_not_forgotten(reported: bool) -> None:
    owner, other, units = QuotaCounter(SPAN_S, EXCESS, SLACK), QuotaCounter(SPAN_S, EXCESS, SLACK), 0
    for step in range(2000):
        now = float(step)
        total, limit, _ = owner.acquire(now, "t", "p", 63.0, 63.0)
        units += total <= limit
        if reported and step % 250 == 0:
            for name, windows in owner.low_tenants(now, {"t": 63.0}).items():
                other.receive_replicated(now, name, windows)
    other.start_view(2000.0)  # and data plane p, which alone could report, has ended too
    given = 0
    for step in range(2000, 5000):
        total, limit, _ = other.acquire(float(step), "t", "q", 63.0, 63.0)
        given += total <= limit
    ceiling = quota_ceiling(63.0, 63.0, SPAN_S, EXCESS, SLACK)
    assert (units + given <= ceiling) == reported


@pytest.mark.parametrize("burst", [0.0, 33.0, 95.0])
def test_data_planes_that_know_no_share_spend_only_what_the_owner_leaves(burst: float) -> None:
    tenant = Tenant("t", 0, 95.0, burst)
    counter, granted = QuotaCounter(SPAN_S, EXCESS, SLACK), 0
    for now in range(10_000, 15_000, 2):  # far more than may be given out
        decision = counter.acquire(float(now), "t", "ended", tenant.rate, tenant.burst)
        granted += decision.total <= decision.limit
    restarted = [QuotaPolicy(SPAN_S, EXCESS, SLACK) for _ in range(8)]
    for data_plane in restarted:
        for _ in range(100):
            data_plane.charge(14_999.0, "t")
            granted += data_plane.decide_alone(14_999.0, tenant, len(restarted)).allowed
    assert granted <= quota_ceiling(tenant.rate, tenant.burst, SPAN_S, EXCESS, SLACK)


def test_a_share_ends_before_the_owner_stops_to_reserve_for_it() -> None:
    tenant, data_plane = Tenant("t", 0, 95.0, 95.0), QuotaPolicy(SPAN_S, EXCESS, SLACK)
    for total in range(1, 21):
        data_plane.charge(0.0, "t")
        assert data_plane.decide(0.0, "t", total, 100, 100.0).allowed
    last_ms = isolation_ms(SPAN_S) - 1.0
    assert last_ms + 1000.0 * SPAN_S < reservation_ms(SPAN_S)
    margin = quota_margin(tenant.rate, tenant.burst, SPAN_S, EXCESS, SLACK) / 8
    for now, is_large in ((last_ms, True), (last_ms + 30_000.0, False)):
        allowed = 0
        for _ in range(400):
            data_plane.charge(now, "t")
            allowed += data_plane.decide_alone(now, tenant, 8).allowed
        assert (allowed > margin) == is_large
