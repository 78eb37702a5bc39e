from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.policy_gateway import Gateway, make_settings


@pytest.fixture
def gateway() -> Callable[..., Gateway]:
    def build(**changes: Any) -> Gateway:
        servers = changes.pop("servers", 4)
        front = Gateway(make_settings(**changes))
        front.list_servers(*(front.entry(n) for n in range(servers)))
        return front

    return build
