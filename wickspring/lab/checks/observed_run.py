"""The input of all checks: what a run was to do, and what was observed of it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.traffic.schedule import Plan, ScheduledRequest


@dataclass(slots=True, frozen=True)
class ObservedRun:
    """One run of a scenario."""

    scenario: Scenario
    record: Record
    requests: dict[str, ScheduledRequest]  # by call id
    plans: tuple[Plan, ...] = ()

    def forwarded_requests(self) -> Iterator[tuple[float, ScheduledRequest]]:
        """Yield each request once, with when its first attempt had reached a ticket server completely."""
        seen = set[str]()
        for arrival in sorted(self.record.arrivals, key=lambda arrival: arrival.received_at):
            request = self.requests.get(arrival.call_id)
            if request is not None and arrival.call_id not in seen:
                seen.add(arrival.call_id)
                yield arrival.received_at, request
