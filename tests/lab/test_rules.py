"""The checker of the rules: each rule that is broken on purpose is found, and no other."""

from __future__ import annotations

import pytest

from tests.lab.observed_records import count_violations, make_arrival, record_with_request
from tests.lab.short_scenarios import SMALL, parse_tinting
from wickspring.lab.checks.copies import find_forbidden
from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.checks.quotas import quota_excess
from wickspring.lab.checks.rules import Rule, check
from wickspring.lab.experiments import scenario
from wickspring.lab.reports.record import (
    Announcement,
    Answer,
    Arrival,
    ClientRequest,
    ColdLoad,
    Outage,
)
from wickspring.lab.traffic import schedule


@pytest.mark.parametrize(
    ("answers", "sent", "broken"),
    [
        ([Answer(150.0, 200, b"body")], 101.0, {}),
        ([Answer(150.0, 429, b"")], 101.0, {}),
        ([], -1.0, {}),  # never taken
        ([], 101.0, {"lost": 1}),
        ([Answer(150.0, 200, b"body"), Answer(151.0, 200, b"body")], 101.0, {"doubled": 1}),
        ([Answer(1500.0, 502, b"")], 101.0, {"late": 1}),
        ([Answer(150.0, 200, b"another's")], 101.0, {"foreign": 1}),
    ],
)
def test_broken_rules_of_answers_are_found(
    answers: list[Answer], sent: float, broken: dict[str, int]
) -> None:
    record, one, requests = record_with_request(0)
    record.requests.append(ClientRequest(one, sent_at=sent, answers=answers))
    assert count_violations(record, requests) == broken


@pytest.mark.parametrize(
    ("kind", "second", "broken"),
    [
        (0, make_arrival(hall=1, at=4000.0), {}),
        (1, make_arrival(at=2000.0), {}),
        (1, make_arrival(hall=1, at=2000.0), {"forbidden": 1}),
        (1, make_arrival(at=3000.0), {"forbidden": 1}),
        (2, make_arrival(at=200.0), {"forbidden": 1}),
        (2, make_arrival(at=200.0, started=False), {}),  # turned away: it never ran
        (2, make_arrival(at=200.0, started=False, answered=False), {"forbidden": 1}),  # it may have
    ],
)
def test_forbidden_copies_are_found(kind: int, second: Arrival, broken: dict[str, int]) -> None:
    record, _, requests = record_with_request(kind)
    record.arrivals += [make_arrival(), second]
    assert count_violations(record, requests) == broken


@pytest.mark.parametrize(("after", "broken"), [(400.0, {}), (600.0, {"drains": 1})])
def test_requests_after_a_drain_are_found_from_its_last_announcement(
    after: float, broken: dict[str, int]
) -> None:
    record, _, requests = record_with_request(0)
    record.announcements += [
        Announcement(0, "s", "up", 0.0),
        Announcement(0, "s", "draining", 50.0),
        Announcement(1, "s", "draining", 90.0),
    ]
    record.arrivals.append(make_arrival(at=90.0 + after))
    assert count_violations(record, requests) == broken


@pytest.mark.parametrize(("work", "broken"), [(20.0, {}), (60.0, {"cold": 1})])
def test_an_overloaded_cold_server_is_found(work: float, broken: dict[str, int]) -> None:
    record, _, requests = record_with_request(0)
    record.cold_loads += [ColdLoad("s", 10.0 * n, work, 0.4) for n in range(100)]
    assert count_violations(record, requests) == broken


def test_excess_over_a_quota_is_measured() -> None:
    record, one, _ = record_with_request(0)
    requests = {}
    for number in range(10):
        again = schedule.ScheduledRequest(number, 0.0, one.firm, 0, 1, 1.0, 100.0, 0, f"id{number}", "")
        requests[again.call_id] = again
        record.arrivals += [Arrival("s", 0, again.call_id, 0.0, 0.0, False)] * 2  # copies count once
    plans = (schedule.Plan(1.0, 8.0),)
    excess = quota_excess(ObservedRun(scenario.parse(SMALL, ""), record, requests, plans))
    assert excess.share == pytest.approx(0.2)
    assert excess.worst == pytest.approx(2 / 8)


def test_overlapping_attempts_are_found_where_the_site_forbids_them() -> None:
    record, _, requests = record_with_request(0)
    record.arrivals += [make_arrival(), make_arrival(at=130.0, overlaps=True)]
    assert count_violations(record, requests) == {}
    assert count_violations(record, requests, "tinting") == {"beside": 1}


def test_a_keyed_copy_outside_its_cell_is_found_where_the_site_has_cells() -> None:
    record, _, requests = record_with_request(2)  # tint-record
    record.arrivals += [make_arrival(), make_arrival(at=1500.0, cell=1)]
    assert list(find_forbidden(ObservedRun(parse_tinting(), record, requests))) == ["id"]
    record.arrivals[1].cell = 0
    assert count_violations(record, requests, "tinting") == {}
    record.arrivals[1].received_at = 105.0 + 1500.0 + 60.0
    assert list(find_forbidden(ObservedRun(parse_tinting(), record, requests))) == ["id"]


@pytest.mark.parametrize(("units", "broken"), [(30, False), (40, True)])
def test_requests_above_a_ceiling_are_found(units: int, broken: bool) -> None:
    record, one, _ = record_with_request(0)
    plan = schedule.Plan(1.0, 8.0, ceiling_rate=2.0, ceiling_burst=16.0, ceiling_slack=4.0)
    requests = {}
    for number in range(units):
        again = schedule.ScheduledRequest(number, 0.0, one.firm, 0, 1, 1.0, 100.0, 0, f"id{number}", "")
        requests[again.call_id] = again
        at = 200.0 * number  # five a second, where two are allowed: 16 + 2 t + 4.3 at most
        record.arrivals += [Arrival("s", 0, again.call_id, at, at, False, started=True, answered=True)] * 2
    findings = check(ObservedRun(parse_tinting(), record, requests, (plan,)))
    assert bool(findings.count(Rule.CEILINGS)) == broken


def test_requests_of_a_killed_ingress_do_not_count_as_lost() -> None:
    record, one, requests = record_with_request(0)
    record.requests.append(ClientRequest(one, sent_at=101.0, broken_at=140.0, ingress=0))
    record.outages += [
        Outage(1, 130.0, 900.0),  # another ingress
        Outage(0, 150.0, 900.0),  # later
        Outage(0, 20.0, 90.0),  # earlier
    ]
    assert count_violations(record, requests) == {"lost": 1}
    record.outages.append(Outage(0, 130.0, 900.0))
    assert count_violations(record, requests) == {}
