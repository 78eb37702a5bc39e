"""Short forms of the laboratory's scenarios, and the check of their results."""

from __future__ import annotations

from typing import Any

import msgspec

from wickspring.lab.experiments import scenario
from wickspring.lab.reports.result import Result

SMALL = """
name = "small"
about = "for a test"
seconds = 3.0
[servers]
count = 4
[clients]
rate = 80.0
work_ms = [5.0, 5.0, 5.0]
"""


def load_short(name: str, seconds: float, site: str = "", **changes: Any) -> scenario.Scenario:
    """Return a shipped scenario, shortened; its faults come in the same order, sooner."""
    one = scenario.load(name, site)
    shrink = seconds / one.seconds
    faults = tuple(
        msgspec.structs.replace(fault, at_s=fault.at_s * shrink, for_s=fault.for_s * shrink)
        for fault in one.fault
    )
    return msgspec.structs.replace(one, seconds=seconds, fault=faults, **changes)


def assert_rules_kept(result: Result) -> Result:
    """Check that a run broke no rule; late answers are excused, as a busy machine causes them."""
    broken = [text for text in result.violations if not text.startswith("late:")]
    assert broken == [], "\n".join([*broken, f"gateways: {result.gateway}"])
    assert result.rules_broken == result.answers_late
    assert result.served + result.refused + result.failed == result.requests
    return result


def parse_tinting(**more: Any) -> scenario.Scenario:
    """Return the small scenario on the site that has cells, ceilings and single attempts."""
    return msgspec.structs.replace(scenario.parse(SMALL, "", "tinting"), **more)


def with_little_load(one: scenario.Scenario) -> scenario.Scenario:
    """Return a scenario with one second of 20 requests a second."""
    clients = msgspec.structs.replace(one.clients, rate=20.0)
    return msgspec.structs.replace(one, seconds=1.0, clients=clients, hot_caller=(), hot_key=())
