"""The chain of core machines: its real transitions in virtual time, under everything that may befall it."""

from __future__ import annotations

import pytest

from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import LEASE_MS, Lease, granted_epoch
from wickspring.controlplane.replication.next_view import differs, next_view
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.replication.view import (
    ClusterObservation,
    FaultTolerance,
    Member,
    PeerObservation,
    View,
)
from wickspring.lab.faults.chaos import Chaos
from wickspring.lab.faults.episodes import Episodes
from wickspring.lab.simulation.exploration_steps import Exploration, Return
from wickspring.lab.simulation.replication.group import ANSWER_MS, SimulatedGroup
from wickspring.lab.simulation.state_exploration import ONE_VERSION, explore

ONE, TWO, THREE, ZONE = FaultTolerance(1), FaultTolerance(2), FaultTolerance(3), FaultTolerance(1, 1)


@pytest.mark.parametrize(
    ("machines", "seeds", "zones", "tolerance", "runs"),
    [
        (3, 3, 0, ONE, 400),
        (4, 3, 0, ONE, 200),
        (5, 3, 0, ONE, 100),
        (5, 5, 0, TWO, 60),
        (6, 6, 3, ZONE, 50),
        (7, 7, 0, THREE, 30),
    ],
)
def test_nothing_acknowledged_is_lost(
    machines: int, seeds: int, zones: int, tolerance: FaultTolerance, runs: int
) -> None:
    """Writers reuse numbers with other texts; the core answers once all is well, and copies become one."""
    acks = refusals = reads = usable = 0
    for run in range(runs):
        core = Chaos(1000 * machines + run, machines, seeds, zones=zones, tolerance=tolerance)
        core.play(9_000.0)
        acks, refusals = acks + core.checker.acks, refusals + core.checker.refusals
        reads, usable = reads + core.checker.reads, usable + core.usable_leases
    assert acks > 6 * runs  # and it is no core that refuses everything
    assert refusals > runs
    assert reads > 6 * runs
    assert usable > 40 * runs


def test_a_second_disk_is_not_lost_while_the_first_is_being_replaced() -> None:
    """Guards against a model that loses two disks of three at once, and blames the group for it."""
    Chaos(50_064, 3).play(25_000.0)


@pytest.mark.parametrize(
    ("machines", "seeds", "zones", "tolerance", "runs"),
    [
        (3, 3, 0, ONE, 60),
        (5, 5, 0, TWO, 60),
        (6, 6, 3, ZONE, 40),
        (5, 3, 3, ZONE, 40),
        (7, 7, 0, THREE, 20),
    ],
)
def test_it_goes_on_while_all_that_is_tolerated_is_away(
    machines: int, seeds: int, zones: int, tolerance: FaultTolerance, runs: int
) -> None:
    """Losses up to what is tolerated, one after another, each as soon as the one before is over."""
    wipes = replaced = left = 0
    for run in range(runs):
        core = Episodes(run, machines, seeds, zones=zones, tolerance=tolerance)
        core.play(4)
        assert core.slowest < ANSWER_MS
        wipes, replaced, left = wipes + core.wipes, replaced + core.replaced, left + core.left
    assert wipes > runs / 2
    assert replaced > runs / 4
    assert left > runs / 20


@pytest.mark.parametrize(
    ("duration_ms", "wait", "kept"),  # as it is; kept too long; used without a wait after a view
    [(LEASE_MS, True, True), (3000.0, True, False), (LEASE_MS, False, False)],
)
def test_a_lease_of_the_previous_view_has_expired_when_the_next_is_used(
    duration_ms: float, wait: bool, kept: bool
) -> None:
    """The head receives nothing about the view that the other two agree on; they receive its messages."""

    class Other(Lease):
        def is_usable(self, now: float, chain: ReplicationChain) -> bool:
            return super().is_usable(now, chain) if wait else self.is_held(now, chain)

    Other.duration_ms = duration_ms
    members = tuple(Member(ip, "first") for ip in "abc")
    chains = {
        ip: ReplicationChain(Member(ip, "first"), View(1, members, members), at)
        for at, ip in enumerate("abc")
    }
    leases = {ip: Other() for ip in "ab"}
    chains["b"].start(0.0)
    for ip, one in leases.items():
        one.install(0.0, chains[ip].view)
    reach = {
        "a": PeerObservation(True, "first", unhealthy=True, epoch=1),
        "c": PeerObservation(True, "first", epoch=1),
    }
    used, together = set(), 0
    for now in range(0, 4000, 5):
        if now % 200 == 0:
            if granted_epoch(chains["b"]) == 1:  # what it says later does not reach the head
                leases["a"].on_grant(Member("b", "first"), now, 1)
            leases["b"].on_grant(Member("c", "first"), now, granted_epoch(chains["c"]))
            if now >= 1200:
                chains["b"].tick(now, reach)
        while chains["b"].effects.messages or chains["c"].effects.messages:
            for ip in "bc":
                for to, message in chains[ip].take_effects().messages:
                    if to != "a":
                        chains[to].receive(now, ip, message)
        leases["b"].install(now, chains["b"].view)
        holders = [ip for ip, one in leases.items() if one.is_usable(now, chains[ip])]
        used |= {(ip, leases[ip].epoch) for ip in holders}
        together += len({leases[ip].epoch for ip in holders}) > 1
    assert used == {("a", 1), ("b", 1), ("b", 2)}
    assert (together == 0) == kept


def test_a_node_outside_the_view_has_no_usable_lease() -> None:
    chain, lease = ReplicationChain(Member("a", "new"), View(), 1), Lease()
    lease.install(0.0, chain.view)
    assert not lease.is_usable(5000.0, chain)


def test_replicas_with_equally_many_but_different_departures_are_reconciled() -> None:
    core = SimulatedGroup(3, 4)
    core.run(3000.0)
    spare, head = core.nodes["m3"].chain, core.nodes["m0"].chain
    assert spare is not None and head is not None and not spare.is_member
    head.committed.add_departures({"i1": 1, "i2": 2})
    spare.committed.add_departures({"i1": 1, "i3": 1})
    core.run(5000.0)
    for node in core.nodes.values():
        assert node.chain is not None
        assert node.chain.committed.departures == {"i1": 1, "i2": 2, "i3": 1}
        assert (
            node.chain.committed.departures_checksum
            == Replica(departures=dict(node.chain.committed.departures)).departures_checksum
        )


def test_four_voters_with_two_in_one_zone_are_changed() -> None:
    """The loss of that zone would leave two of four: a spare is added, or one of the two left out."""
    members = tuple(Member(ip, "first") for ip in ("m0", "m1", "m2", "m5"))
    zones = {"m1": "z1", "m2": "z2", "m3": "z0", "m4": "z1", "m5": "z2"}
    for there in (("m1", "m2", "m5"), tuple(zones)):
        reach = {ip: PeerObservation(True, "first", zone=zones[ip]) for ip in there}
        observation = ClusterObservation(Member("m0", "first"), "z0", False, reach)
        view = View(2, members, members)
        following = next_view(view, observation, ZONE)
        assert len(following.voters) == (3 if len(there) == 3 else 5)
        most = max(
            sum(observation.zone_of(one) == zone for one in following.voters) for zone in ("z0", "z1", "z2")
        )
        assert most <= (len(following.voters) - 1) // 2
        assert not differs(following, next_view(following, observation, ZONE))


def test_one_document_under_two_versions_keeps_its_complete_history() -> None:
    """An update back to an earlier document has the same digest, but another history."""
    held = Replica().config.successor(4, b"x", 1)
    repeated = held.successor(5, b"y", 1).successor(6, b"x", 1)
    assert repeated.digest == held.digest
    assert repeated.identity != held.identity
    unabbreviated = type(repeated).unpack(repeated.abbreviated_for(held.identity).pack())
    assert unabbreviated == repeated and unabbreviated.complete
    abbreviated = type(repeated).unpack(repeated.abbreviated_for(repeated.identity).pack())
    assert not abbreviated.complete and not abbreviated.completed_from(held).complete
    assert abbreviated.completed_from(repeated) == repeated


@pytest.mark.parametrize(
    ("lost_node", "states_of_one_version", "states_of_two_versions"),
    [("a", 17_505, 20_200), ("b", 9_969, 11_391), ("c", 24_104, 28_002)],
)
def test_no_order_of_events_breaks_a_small_group(
    lost_node: str, states_of_one_version: int, states_of_two_versions: int
) -> None:
    """Two writers submit two documents of one version, or of two; all states are visited, by their number."""
    assert explore(ONE_VERSION, Exploration(lost_node)) == states_of_one_version
    assert explore((Update(1, b"1"), Update(2, b"2")), Exploration(lost_node)) == states_of_two_versions


@pytest.mark.parametrize("returns", [Return.WITH_EMPTY_DISK, Return.WITH_DISK])
def test_some_orders_of_events_where_the_lost_node_returns(returns: Return) -> None:
    """Bounded: there are more states than 200,000 of these."""
    assert explore(ONE_VERSION, Exploration("a", returns=returns), max_states=5_000) > 5_000
