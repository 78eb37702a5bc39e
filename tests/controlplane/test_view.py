"""Which view follows which: voters and copies by what is to be borne, by zones, and by who is there."""

from __future__ import annotations

from random import Random

import pytest

from wickspring.controlplane.replication.next_view import differs, next_view, tolerance_shortfalls
from wickspring.controlplane.replication.view import (
    ClusterObservation,
    FaultTolerance,
    Member,
    PeerObservation,
    View,
)


def nodes(zones: str) -> list[tuple[Member, str]]:
    return [(Member(f"m{at}", f"d{at}"), zone) for at, zone in enumerate(zones)]


def observed_by(me: Member, zones: str, unreachable: str = "", unhealthy: str = "") -> ClusterObservation:
    reach = {
        ip: PeerObservation(ip != unreachable, disk, ip == unhealthy, zone)
        for (ip, disk), zone in nodes(zones)
        if ip != me[0]
    }
    return ClusterObservation(me, dict(nodes(zones))[me], False, reach)


@pytest.mark.parametrize(
    ("zones", "tolerance", "voters"),
    [
        ("abc", FaultTolerance(), 3),
        ("abcd", FaultTolerance(), 3),
        ("abcab", FaultTolerance(2), 5),
        ("abcd", FaultTolerance(2), 4),
        ("aabbcc", FaultTolerance(1, 1), 3),
        ("aabbcc", FaultTolerance(2, 1), 5),
        ("aaabbcc", FaultTolerance(3, 1), 7),
    ],
)
def test_a_core_grows_from_its_seeds_as_far_as_it_has_to(
    zones: str, tolerance: FaultTolerance, voters: int
) -> None:
    """The three seeds may lie anywhere; where the nodes suffice, nothing is short in the end."""
    for seed in range(50):
        seeds = tuple(Random(seed).sample([member for member, _ in nodes(zones)], 3))
        view = View(1, seeds, seeds)
        for _ in range(4):
            view = next_view(view, observed_by(view.chain[0], zones), tolerance)
        assert not differs(view, next_view(view, observed_by(view.chain[0], zones), tolerance))
        assert len(view.voters) == len(view.chain) == voters
        shortfalls = tolerance_shortfalls(view, tolerance, {ip: zone for (ip, _), zone in nodes(zones)}, {})
        assert bool(shortfalls) == (len(zones) < tolerance.voters), shortfalls


def test_who_is_lost_leaves_the_chain_and_keeps_a_vote_until_replaced() -> None:
    members = tuple(member for member, _ in nodes("abc"))
    unreachable = observed_by(members[0], "abc", unreachable="m2")
    after = next_view(View(1, members, members), unreachable, FaultTolerance())
    assert after.chain == members[:2] and set(after.voters) == set(members)
    beside_a_spare = observed_by(members[0], "abcd", unreachable="m2")
    with_spare = next_view(View(1, members, members), beside_a_spare, FaultTolerance())
    assert with_spare.chain == with_spare.voters == (*members[:2], ("m3", "d3"))


def test_an_emptied_disk_is_another_member() -> None:
    members = tuple(member for member, _ in nodes("abc"))
    observation = observed_by(members[0], "abc")
    emptied = ClusterObservation(
        observation.me, "a", False, {**observation.peers, "m2": PeerObservation(True, "new", False, "c")}
    )
    assert next_view(View(1, members, members), emptied, FaultTolerance()).chain == (
        *members[:2],
        ("m2", "new"),
    )


def test_the_last_replicas_stay_although_their_nodes_are_unhealthy_or_stopping() -> None:
    members = tuple(member for member, _ in nodes("abc"))
    observation = observed_by(members[0], "abc", unreachable="m1", unhealthy="m2")
    assert next_view(View(1, members, members), observation, FaultTolerance()).chain == (
        members[0],
        members[2],
    )
    stopping = ClusterObservation(observation.me, "a", True, observation.peers)
    assert set(next_view(View(1, members, members), stopping, FaultTolerance()).chain) == {
        members[0],
        members[2],
    }


def test_two_nodes_that_cannot_reach_each_other_are_not_in_one_chain() -> None:
    """Else the view would change to and fro between one who sees both and one who misses the other."""
    members = tuple(member for member, _ in nodes("abc"))
    reach = {
        "m1": PeerObservation(True, "d1", False, "b", reachable_peers=frozenset({"m0", "m2"})),
        # m0 still receives from it.
        "m2": PeerObservation(True, "d2", False, "c", reachable_peers=frozenset({"m1"})),
    }
    view = View(2, members, members[:2])
    assert not differs(
        view, next_view(view, ClusterObservation(members[0], "a", False, reach), FaultTolerance())
    )


def test_faults_that_a_view_does_not_tolerate_are_reported() -> None:
    members = tuple(member for member, _ in nodes("aab"))
    view, zones = View(1, members, members), {"m0": "a", "m1": "a", "m2": "b"}
    assert tolerance_shortfalls(view, FaultTolerance(1), zones, {}) == []
    assert tolerance_shortfalls(view, FaultTolerance(2), zones, {}) == [
        "tolerates.machines=2: 3 voters tolerate the loss of 1"
    ]
    assert tolerance_shortfalls(view, FaultTolerance(1, 1), zones, {}) == [
        "tolerates.zones=1: 2 of 3 voters may be lost at once"
    ]
    region = {"a": "r", "b": "r"}
    assert tolerance_shortfalls(view, FaultTolerance(1, 0, 1), zones, region) == [
        "tolerates.regions=1: 3 of 3 voters may be lost at once"
    ]
    single_member = View(2, members, members[:1])
    assert tolerance_shortfalls(single_member, FaultTolerance(1), zones, {}) == [
        "tolerates.machines=1: the number of replicas is 1"
    ]
