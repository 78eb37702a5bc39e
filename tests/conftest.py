"""Fixtures of all tests, and which of them may not run beside one another."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.support.policy_gateway import Gateway, make_settings

TESTS = Path(__file__).parent

REAL_TIME_PATHS = (
    "agent",
    "lab",
    "net",
    "system",
    "common/test_malformed_input.py",
    "connections",
)
"""Below `tests`: what starts processes, shares loopback addresses or waits by the wall clock."""


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Give all real-time tests to one worker of pytest-xdist, which runs them one at a time."""
    for item in items:
        if _is_real_time(item):
            item.add_marker(pytest.mark.real_time)
            item.add_marker(pytest.mark.xdist_group("real_time"))


def _is_real_time(item: pytest.Item) -> bool:
    path = item.path.relative_to(TESTS)
    return any(path.is_relative_to(real_time_path) for real_time_path in REAL_TIME_PATHS)


@pytest.fixture
def gateway() -> Callable[..., Gateway]:
    """Return a function that builds a gateway of changed settings with `servers` listed servers."""

    def build(**changes: Any) -> Gateway:
        servers = changes.pop("servers", 4)
        front = Gateway(make_settings(**changes))
        front.list_servers(*(front.entry(n) for n in range(servers)))
        return front

    return build
