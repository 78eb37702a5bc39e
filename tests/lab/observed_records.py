"""Records of a single request, and the count of the rules that one breaks."""

from __future__ import annotations

from typing import Any

from tests.lab.short_scenarios import SMALL
from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.checks.rules import Rule, check
from wickspring.lab.experiments import scenario
from wickspring.lab.reports.record import Arrival, Record
from wickspring.lab.traffic import schedule


def record_with_request(
    kind: int,
) -> tuple[Record, schedule.ScheduledRequest, dict[str, schedule.ScheduledRequest]]:
    """Return a record with the body served for one request of a class, the request, and it by its call id."""
    firm = schedule.Firm(1, 0, 1, 0, False)
    one = schedule.ScheduledRequest(0, 100.0, firm, kind, 1, 10.0, 1000.0, 0, "id", "key")
    record = Record()
    record.served_bodies["id"] = {b"body"}
    return record, one, {"id": one}


def make_arrival(server: str = "s", hall: int = 0, at: float = 105.0, **more: Any) -> Arrival:
    """Return the arrival of that request at a server, executed and answered unless `more` says otherwise."""
    return Arrival(server, hall, "id", at, at, False, **{"started": True, "answered": True, **more})


def count_violations(
    record: Record, requests: dict[str, schedule.ScheduledRequest], site: str = ""
) -> dict[str, int]:
    """Return how often each rule is broken, without those that are kept."""
    findings = check(ObservedRun(scenario.parse(SMALL, "", site), record, requests))
    counts = {rule.value: findings.count(rule) for rule in Rule}
    assert set(findings.violations) == set(Rule)
    assert findings.total == sum(counts.values())
    return {name: count for name, count in counts.items() if count}
