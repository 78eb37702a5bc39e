"""Fixtures for all tests, and the list of those that run in real time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.known_red import mark_known_red, read_known_red
from tests.support.loopback import reserve_loopback_net
from tests.support.policy_gateway import Gateway, make_settings
from wickspring.fault_isolation import fault_counts

TESTS = Path(__file__).parent

REAL_TIME_PATHS = (
    "agent/test_agent.py",
    "common/test_malformed_input.py",
    "fleet/test_node.py",
    "fleet/test_processes.py",
    "fleet/test_wire.py",
    "lab",
    "net",
    "system/test_example.py",
    "system/test_gateway_processes.py",
    "system/test_signals_while_loading.py",
)
"""Below `tests`: what starts processes, takes loopback networks or waits by the wall clock."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the real-time tests, which CI runs apart from the others, and those that are known to fail."""
    mark_known_red(items, read_known_red())
    for item in items:
        path = item.path.relative_to(TESTS)
        if any(path.is_relative_to(real_time_path) for real_time_path in REAL_TIME_PATHS):
            item.add_marker(pytest.mark.real_time)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail, whichever of them were run."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry.test}: {entry.observation} (issue {entry.issue})")


@pytest.fixture(autouse=True)
def no_contained_faults(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which a fault of the program was contained, unless the test asks for faults.

    A broken invariant or an exception that is contained would else pass for a request that failed.
    """
    fault_counts.clear()
    yield
    if request.node.get_closest_marker("raises_faults") is None:
        assert not fault_counts, dict(fault_counts)


@pytest.fixture
def gateway() -> Callable[..., Gateway]:
    """Return a function that builds a gateway of changed settings with `servers` listed servers."""

    def build(**changes: Any) -> Gateway:
        servers = changes.pop("servers", 4)
        front = Gateway(make_settings(**changes))
        front.list_servers(*(front.entry(n) for n in range(servers)))
        return front

    return build


@pytest.fixture
def loopback_net() -> Iterator[int]:
    """Reserve a loopback network for one test; return its number N of 127.N.0.0/16."""
    with reserve_loopback_net() as net:
        yield net
