"""Limits that follow from a configuration, and the owners of counts that follow from a view."""

from __future__ import annotations

import pytest

from wickspring.common.routing_table import ClientLimits, RoutingTable, Service
from wickspring.dataplane.control_client.owners import Owners
from wickspring.dataplane.limits import (
    DEFAULT_DATA_PLANE_COUNT,
    MAX_CONNECTIONS,
    MIN_CONNECTIONS,
    connection_limits,
    front_limits,
)


@pytest.mark.parametrize(
    ("service_limits", "data_planes", "expected"),
    [
        ((), 1, 57),  # 0.9 of the most
        ((100, 0, 40), 4, 9),  # 0.9 of the lowest limit, shared by four
        ((5,), 40, MIN_CONNECTIONS),
        ((10_000,), 1, MAX_CONNECTIONS),
        ((320,), 0, 18),  # 0.9 of the limit, shared by the default count
    ],
)
def test_connections_are_an_even_share_of_the_lowest_limit(
    service_limits: tuple[int, ...], data_planes: int, expected: int
) -> None:
    services = {str(number): Service(str(number), "/", limit) for number, limit in enumerate(service_limits)}
    limits = connection_limits(RoutingTable(services=services), data_planes)
    assert DEFAULT_DATA_PLANE_COUNT == 16 and limits.most_per_server == expected


def test_timeouts_of_clients_are_milliseconds() -> None:
    limits = front_limits(ClientLimits(1000, 2000, 3.0, 15.0))
    assert (limits.head_ms, limits.idle_ms, limits.max_head_bytes, limits.max_body_bytes) == (
        3000.0,
        15_000.0,
        1000,
        2000,
    )


def test_owners_follow_the_view_of_the_highest_epoch() -> None:
    owners = Owners()
    assert owners.owner("t") == ""
    first = ["10.1.0.1", "10.1.0.2", "10.1.0.3"]
    assert owners.update_view(1, first) and not owners.update_view(1, ["10.9.0.1"])
    chosen = {f"t{number}": owners.owner(f"t{number}") for number in range(100)}
    assert set(chosen.values()) == set(first)
    assert owners.update_view(2, first[:2])
    moved = {key for key, ip in chosen.items() if owners.owner(key) != ip}
    assert moved == {key for key, ip in chosen.items() if ip == first[2]}  # only keys of the lost member
