"""Views of the core: who decides (voters), who keeps copies (the chain), and which view should follow.

A member is an address with the id of its disk: one that comes back with an empty disk is another member, has
no vote and is no copy until a view takes it in. The chain is a part of the voters, the head first.

`next_view` is one function for whoever looks: the same facts give the same view, and a view that it has
given is followed by itself, so machines that see the same do not undo each other's changes.

No I/O and no clock here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any

from wickspring.controlplane.replication.replica import LEAVING_MOST, Replica
from wickspring.core.invariants import holds

Member = tuple[str, str]  # address, id of its disk
VOTERS_LEAST = 3  # one may be lost while another is away


def _members(told: Any) -> tuple[Member, ...]:
    return tuple((str(ip), str(disk)) for ip, disk in told)


@dataclass(slots=True, frozen=True)
class View:
    """Epoch, voters, and the chain, its head first. Epoch 0 is no view at all."""

    epoch: int = 0
    voters: tuple[Member, ...] = ()
    chain: tuple[Member, ...] = ()

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> str:
        """Return the head's address, or nothing."""
        return self.chain[0][0] if self.chain else ""

    def decides(self, members: Collection[Member]) -> bool:
        """Tell whether these are a majority of the voters."""
        return len(set(members) & set(self.voters)) >= self.majority

    def pack(self) -> list[Any]:
        """Return it for a message."""
        return [self.epoch, [list(one) for one in self.voters], [list(one) for one in self.chain]]

    @staticmethod
    def unpack(told: Any) -> View:
        """Read it from a message."""
        return View(int(told[0]), _members(told[1]), _members(told[2]))


@dataclass(slots=True, frozen=True)
class FaultTolerance:
    """What may be lost at once: machines, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def voters(self) -> int:
        """How many voters bear the loss of that many machines."""
        return max(VOTERS_LEAST, 2 * max(self.machines, self.zones, self.regions) + 1)

    @property
    def copies(self) -> int:
        """How many copies leave one after the loss of that many machines."""
        return self.machines + 1


@dataclass(slots=True, frozen=True)
class PeerObservation:
    """What is known of another core machine at this moment."""

    live: bool
    disk: str = ""
    hampered: bool = False  # its disk does not come back, or it is about to end
    zone: str = ""
    epoch: int = 0  # of the view that it has taken up
    safe_epoch: int = 0  # rank of what it knows to be safe: epoch,
    version: int = 0  # and number
    leaving: int = 0  # how many servers it knows to be leaving,
    leaving_sum: int = 0  # and a number for all of them
    identity: bytes = b""  # of the configuration that it holds, safe or not
    sees: frozenset[str] = frozenset()  # addresses of machines that it reaches, where it says so

    def lacks(self, safe: Replica) -> bool:
        """Tell whether it knows less of what is safe than another: the sweep that finds old copies."""
        if (self.safe_epoch, self.version) < safe.config.rank or self.leaving < len(safe.leaving):
            return True
        return self.leaving == len(safe.leaving) < LEAVING_MOST and self.leaving_sum != safe.leaving_sum


@dataclass(slots=True)
class ClusterObservation:
    """What one voter sees when it thinks about the next view."""

    me: Member
    zone: str
    hampered: bool  # this machine itself
    reach: Mapping[str, PeerObservation]
    there: frozenset[Member] = frozenset()  # who has just promised: there, whatever was heard before

    def zone_of(self, member: Member) -> str:
        """Return a member's zone; its own name stands for one that is not known."""
        if member == self.me:
            return self.zone or member[0]
        known = self.reach.get(member[0])
        return known.zone if known is not None and known.zone else member[0]

    def is_there(self, member: Member) -> bool:
        """Tell whether a member answers, with the disk that it is known by."""
        known = self.reach.get(member[0])
        return member in (self.me, *self.there) or (
            known is not None and known.live and known.disk == member[1]
        )

    def is_well(self, member: Member) -> bool:
        """Tell whether a member answers and can keep a copy."""
        if member == self.me:
            return not self.hampered
        known = self.reach.get(member[0])
        return self.is_there(member) and not (known is not None and known.hampered)

    def sees(self, one: Member, other: Member) -> bool:
        """Tell whether two machines reach each other, as far as they have said."""
        for here, there in ((one, other), (other, one)):
            known = self.reach.get(here[0])
            if here != self.me and known is not None and known.sees and there[0] not in known.sees:
                return False
        return True

    def outside(self, view: View) -> list[Member]:
        """Return the machines that could be taken in as voters."""
        found = [(ip, one.disk) for ip, one in sorted(self.reach.items()) if one.disk]
        kept = [one for one in view.chain if self.is_well(one)]
        return [
            one
            for one in found
            if one not in view.voters and self.is_well(one) and all(self.sees(one, other) for other in kept)
        ]


def _crowd(voters: Collection[Member], scene: ClusterObservation, zones: int) -> int:
    """Return by how many voters the zones that may be lost exceed what may be lost."""
    shares = sorted(Counter(map(scene.zone_of, voters)).values(), reverse=True)
    return max(0, sum(shares[:zones]) - (len(voters) - 1) // 2)


def _voters(view: View, scene: ClusterObservation, tolerance: FaultTolerance) -> tuple[Member, ...]:
    chosen = [one for one in view.voters if scene.is_well(one)]
    spare = scene.outside(view)

    def crowded(one: Member) -> tuple[int, str]:
        return sum(scene.zone_of(other) == scene.zone_of(one) for other in chosen), one[0]

    while len(chosen) < tolerance.voters and spare:
        spare.sort(key=crowded)
        chosen.append(spare.pop(0))
    while tolerance.zones and (over := _crowd(chosen, scene, tolerance.zones)):
        spare.sort(key=crowded)
        gone = max((one for one in chosen if one not in view.chain[:1]), key=crowded, default=None)
        ways = [[*chosen, one] for one in spare[:1]]
        ways += [[one if other == gone else other for other in chosen] for one in spare[:1]]
        if len(chosen) > tolerance.voters:  # of four, two in one zone, no zone may go; of three it may
            ways.append([one for one in chosen if one != gone])
        better = min(ways, key=lambda way: _crowd(way, scene, tolerance.zones), default=chosen)
        if _crowd(better, scene, tolerance.zones) >= over:
            break
        chosen, spare = better, [one for one in spare if one not in better]
    # An even number decides no better than one more; whoever is away may come back, and then counts.
    replaced = {ip for ip, _ in chosen}
    away = [one for one in view.voters if one not in chosen and one[0] not in replaced]
    away.sort(key=lambda one: not scene.is_there(one))
    if len(chosen) % 2 == 0 and len(chosen) < tolerance.voters:
        chosen += away[:1]
    chosen += [one for one in away if one not in chosen and scene.is_there(one)][
        : max(0, tolerance.voters - len(chosen))
    ]
    old = [one for one in view.voters if one in chosen]
    return (*old, *(one for one in chosen if one not in old))


def next_view(view: View, scene: ClusterObservation, tolerance: FaultTolerance) -> View:
    """Return the view that should follow; with the same voters and chain where nothing should change."""
    voters = _voters(view, scene, tolerance)
    chain = [one for one in view.chain if one in voters and scene.is_well(one)]
    for one in voters:
        if one not in chain and scene.is_well(one) and all(scene.sees(one, other) for other in chain):
            chain.append(one)
    for one in (*view.chain, *voters):  # rather a slow copy, or one that is about to end, than too few
        if len(chain) < tolerance.copies and one in voters and one not in chain and scene.is_there(one):
            chain.append(one)
    holds(set(chain) <= set(voters), "the chain is a part of the voters")
    return View(view.epoch + 1, voters, tuple(chain))


def differs(view: View, following: View) -> bool:
    """Tell whether another view should follow."""
    return set(view.voters) != set(following.voters) or set(view.chain) != set(following.chain)


def tolerance_shortfalls(
    view: View, tolerance: FaultTolerance, zones: Mapping[str, str], regions: Mapping[str, str]
) -> list[str]:
    """Say what of `tolerates` a view does not bear, if anything; `zones` by address, `regions` by zone."""
    short = []
    may_go = (len(view.voters) - 1) // 2
    if tolerance.machines > may_go:
        short.append(f"tolerates.machines={tolerance.machines}: {len(view.voters)} voters bear {may_go}")
    if tolerance.copies > len(view.chain):
        short.append(f"tolerates.machines={tolerance.machines}: copies are {len(view.chain)}")
    by_zone = {ip: zones.get(ip, ip) for ip, _ in view.voters}
    by_region = {ip: regions.get(zone, zone) for ip, zone in by_zone.items()}
    for name, most, where in (("zones", tolerance.zones, by_zone), ("regions", tolerance.regions, by_region)):
        shares = Counter(where[ip] for ip, _ in view.voters).most_common(most)
        lost = sum(count for _, count in shares)
        if lost > may_go:
            short.append(f"tolerates.{name}={most}: {lost} of {len(view.voters)} voters may go at once")
        elif most and {where[ip] for ip, _ in view.chain} <= {name for name, _ in shares}:
            short.append(f"tolerates.{name}={most}: all copies may go at once")
    return short
