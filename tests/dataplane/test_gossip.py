"""Gossip among data planes in virtual time: joins, failures, and the spread of a version."""

from __future__ import annotations

import pytest

from wickspring.lab.simulation.gossip import measure

LINK_SHARE_BYTES_S = 2500.0  # a hundredth of a link of 2 Mbit/s


@pytest.mark.parametrize(("data_planes", "seed"), [(12, 1), (12, 2), (40, 3)])
def test_membership_and_a_new_version_reach_all_data_planes(data_planes: int, seed: int) -> None:
    found = measure(data_planes, seed)
    assert 0.0 <= found["all_known_s"] < 30.0
    assert found["false_failures_max"] == 0 and found["bytes_s_max"] < LINK_SHARE_BYTES_S
    assert 0.0 <= found["config_half_s"] < 5.0 and 0.0 <= found["config_all_s"] < 5.0
    # One that no suspicion reaches finds out by its own probe: a round for each of the others, and a timeout.
    own_turn_s = 1.2 * data_planes + 25.0
    assert 0.0 < found["failure_half_s"] < 25.0 and 0.0 < found["failure_all_s"] < own_turn_s
    assert 0.0 < found["muted_failure_s"] < own_turn_s and 0.0 <= found["muted_recovery_s"] < own_turn_s
