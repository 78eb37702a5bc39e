"""Gossip membership: anti-entropy, failure detection and refuted suspicions, in virtual time."""

from __future__ import annotations

from random import Random

from wickspring.membership.anti_entropy import AntiEntropyTable
from wickspring.membership.members import MemberInfo, MemberState
from wickspring.membership.suspicions import Suspicion
from wickspring.membership.swim import Membership


def exchange(one: Membership[MemberInfo], other: Membership[MemberInfo], now: float) -> None:
    """Exchange one round of gossip between two members, as their links do."""
    for member in (one, other):
        member.now = max(member.now, now)
    suspicions = one.take_suspicions(other.owner, 6)
    updates = one.take_pending(4)
    delta = other.delta(one.digest(8), 16)
    other.merge_entries(updates)
    other.merge_suspicions(suspicions)
    other.record_contact(one.owner)
    one.merge_entries((*delta.entries, *other.take_pending(4)))
    one.merge_suspicions(other.take_suspicions(one.owner, 6))
    one.record_contact(other.owner)
    other.merge_entries(one.requested_entries(delta.requested, 16).entries)


class Fleet:
    """Members that gossip in rounds, with partitions and crashes."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.names = [f"n{number:03}" for number in range(count)]
        self.members = {name: self.begin(name, 0.0, seed + at) for at, name in enumerate(self.names)}
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.dead: set[str] = set()
        self.now, self.random = 0.0, Random(seed)

    @staticmethod
    def begin(name: str, now: float, seed: int = 0) -> Membership[MemberInfo]:
        return Membership(name, now, MemberInfo(f"at-{name}"), 0.5, seed, now)

    def reaches(self, one: str, other: str) -> bool:
        return not ({one, other} & self.dead or (one, other) in self.cut or (other, one) in self.cut)

    def rounds(self, count: int) -> None:
        for _ in range(count):
            self.now += 0.5
            for name in self.random.sample(self.names, len(self.names)):
                if name in self.dead:
                    continue
                mine = self.members[name]
                mine.tick(self.now)
                target = mine.next_probe_target() or self.names[0]
                if target == name:
                    continue
                if self.reaches(name, target):
                    exchange(mine, self.members[target], self.now)
                elif any(
                    self.reaches(name, h) and self.reaches(h, target) for h in mine.select_helpers(target)
                ):
                    mine.record_indirect_contact(target)
                else:
                    mine.suspect(target)


def test_digests_and_piggybacked_updates_converge_on_all_members() -> None:
    fleet = Fleet(60)
    fleet.rounds(24)
    assert all(len(one.entries) == 60 for one in fleet.members.values())
    sizes = [len(one.digest(8).versions) for one in fleet.members.values()]
    assert max(sizes) <= 9  # of any number of members: eight ranges and the own entry
    fleet.members["n007"].update_own(MemberInfo("moved"))
    fleet.rounds(9)
    updated = sum(one.info_of("n007") == MemberInfo("moved") for one in fleet.members.values())
    assert updated == 60


def test_a_digest_range_covers_names_known_only_to_the_other_side() -> None:
    one, other = AntiEntropyTable("b", 1.0, "b"), AntiEntropyTable("e", 1.0, "e")
    for name in "acdfgh":
        other.merge([AntiEntropyTable(name, 1.0, name).own])
    found = set[str]()
    for _ in range(14):
        delta = other.delta(one.digest(2), 2)
        one.merge(delta.entries)
        found |= {entry.owner for entry in delta.entries}
    assert found == set("acdefgh")


def test_only_a_member_unreachable_to_all_is_declared_dead() -> None:
    fleet = Fleet(12)
    fleet.rounds(20)
    fleet.dead.add("n005")
    fleet.cut |= {("n001", "n002"), ("n002", "n001")}
    fleet.rounds(40)
    living = [one for name, one in fleet.members.items() if name != "n005"]
    assert all(one.state_of("n005") is MemberState.DEAD for one in living)
    assert fleet.members["n001"].state_of("n002") is not MemberState.DEAD
    assert all(one.state_of("n002") is MemberState.ALIVE for one in living[3:])
    fleet.dead.clear()
    fleet.members["n005"] = fleet.begin("n005", fleet.now, 99)  # a new incarnation refutes the suspicions
    fleet.rounds(20)
    assert all(one.state_of("n005") is MemberState.ALIVE for one in fleet.members.values())


def test_both_sides_of_a_healed_partition_rejoin_and_keep_all_members() -> None:
    fleet = Fleet(10)
    fleet.rounds(20)
    half, rest = fleet.names[:5], fleet.names[5:]
    fleet.cut = {(one, other) for one in half for other in rest}
    fleet.rounds(40)
    assert all(fleet.members[one].state_of(other) is MemberState.DEAD for one in half for other in rest)
    assert all(fleet.members[one].state_of(other) is MemberState.ALIVE for one in half for other in half)
    fleet.cut.clear()
    fleet.rounds(40)
    assert all(
        one.state_of(other) is MemberState.ALIVE for one in fleet.members.values() for other in fleet.names
    )


def test_a_resumed_member_delays_its_verdicts_and_suspicions_are_refuted() -> None:
    fleet = Fleet(6)
    fleet.rounds(15)
    one = fleet.members["n000"]
    one.suspect("n001")
    assert one.state_of("n001") is MemberState.SUSPECTED
    one.tick(fleet.now + 60.0)  # paused for a minute: no evidence against n001
    assert one.state_of("n001") is MemberState.SUSPECTED
    other = fleet.members["n001"]
    before = other.own.version
    exchange(one, other, fleet.now + 60.0)
    assert other.own.version > before  # it was sent the suspicion, and has refuted it
    assert one.state_of("n001") is MemberState.ALIVE
    old = Membership("n001", 5.0, MemberInfo("x"), 0.5, 1, 0.0)
    old.merge_suspicions([Suspicion("n001", 9.0, 3, "n002")])  # of an incarnation whose clock was ahead
    assert old.own.version > (9.0, 3)
