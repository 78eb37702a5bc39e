"""Chooses voters and chain of the next view by the wanted fault tolerance, the zones and the health of nodes.

`next_view` is a pure and idempotent function: the same observation gives the same view, and from that view
the same members again, so nodes with equal observations do not revert each other's changes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from wickspring.controlplane.replication.view import ClusterObservation, FaultTolerance, Member, View
from wickspring.core.invariants import check_invariant


class _VoterSelection:
    """The choice of the next voters, step by step; each step changes `chosen`."""

    def __init__(self, view: View, observation: ClusterObservation, tolerance: FaultTolerance) -> None:
        self.view = view
        self.observation = observation
        self.tolerance = tolerance
        self.chosen = [member for member in view.voters if observation.is_healthy(member)]
        self.spares = observation.candidates(view)

    def _crowding(self, member: Member) -> tuple[int, str]:
        """Return how many of the chosen are in a member's zone; the address makes the order total."""
        zone_of = self.observation.zone_of
        zone = zone_of(member)
        return sum(zone_of(other) == zone for other in self.chosen), member.address

    def _zone_excess(self, voters: Collection[Member]) -> int:
        """Return by how many voters the zones that may be lost exceed what may be lost."""
        shares = sorted(Counter(map(self.observation.zone_of, voters)).values(), reverse=True)
        return max(0, sum(shares[: self.tolerance.zones]) - (len(voters) - 1) // 2)

    def add_spares(self) -> None:
        """Add candidates from the least crowded zones until there are as many voters as needed."""
        while len(self.chosen) < self.tolerance.voters and self.spares:
            self.spares.sort(key=self._crowding)
            self.chosen.append(self.spares.pop(0))

    def spread_over_zones(self) -> None:
        """Add, exchange or drop voters while that lets the loss of the tolerated zones be survived."""
        while self.tolerance.zones and (excess := self._zone_excess(self.chosen)):
            better = min(self._variants(), key=self._zone_excess, default=self.chosen)
            if self._zone_excess(better) >= excess:
                return
            self.chosen = better
            self.spares = [member for member in self.spares if member not in better]

    def _variants(self) -> list[list[Member]]:
        """Return the sets of voters that differ from the chosen in one member."""
        self.spares.sort(key=self._crowding)
        head = self.view.chain[:1]
        replaceable = [member for member in self.chosen if member not in head]
        crowded = max(replaceable, key=self._crowding, default=None)
        variants = []
        for spare in self.spares[:1]:
            variants.append([*self.chosen, spare])
            variants.append([spare if member == crowded else member for member in self.chosen])
        if len(self.chosen) > self.tolerance.voters:
            # Of four voters, two of them in one zone, that zone may not be lost; of three it may.
            variants.append([member for member in self.chosen if member != crowded])
        return variants

    def keep_absent(self) -> None:
        """Keep unhealthy voters where the healthy ones are too few: they may recover, and then count.

        An even number of voters decides no better than one more.
        """
        replaced = {member.address for member in self.chosen}
        absent = [
            member
            for member in self.view.voters
            if member not in self.chosen and member.address not in replaced
        ]
        absent.sort(key=lambda member: not self.observation.is_present(member))
        if len(self.chosen) % 2 == 0 and len(self.chosen) < self.tolerance.voters:
            self.chosen += absent[:1]
        present = [
            member for member in absent if member not in self.chosen and self.observation.is_present(member)
        ]
        self.chosen += present[: max(0, self.tolerance.voters - len(self.chosen))]

    def in_order(self) -> tuple[Member, ...]:
        """Return the chosen voters, those of the present view first and in its order."""
        kept = [member for member in self.view.voters if member in self.chosen]
        added = [member for member in self.chosen if member not in kept]
        return (*kept, *added)


def _next_voters(
    view: View, observation: ClusterObservation, tolerance: FaultTolerance
) -> tuple[Member, ...]:
    selection = _VoterSelection(view, observation, tolerance)
    selection.add_spares()
    selection.spread_over_zones()
    selection.keep_absent()
    return selection.in_order()


def _next_chain(
    view: View, voters: tuple[Member, ...], observation: ClusterObservation, tolerance: FaultTolerance
) -> tuple[Member, ...]:
    chain = [member for member in view.chain if member in voters and observation.is_healthy(member)]
    for member in voters:
        if member in chain or not observation.is_healthy(member):
            continue
        if all(observation.are_connected(member, other) for other in chain):
            chain.append(member)
    for member in (*view.chain, *voters):  # a slow replica, or one about to stop, is better than too few
        missing = len(chain) < tolerance.replicas and member in voters and member not in chain
        if missing and observation.is_present(member):
            chain.append(member)
    return tuple(chain)


def next_view(view: View, observation: ClusterObservation, tolerance: FaultTolerance) -> View:
    """Return the view that should follow; with the same voters and chain where nothing should change."""
    voters = _next_voters(view, observation, tolerance)
    chain = _next_chain(view, voters, observation, tolerance)
    check_invariant(set(chain) <= set(voters), "the chain is a subset of the voters")
    return View(view.epoch + 1, voters, chain)


def differs(view: View, following: View) -> bool:
    """Return whether two views differ in their sets of voters or of chain members; order does not count."""
    return set(view.voters) != set(following.voters) or set(view.chain) != set(following.chain)


def tolerance_shortfalls(
    view: View, tolerance: FaultTolerance, zones: Mapping[str, str], regions: Mapping[str, str]
) -> list[str]:
    """Describe what of the setting `tolerates` a view does not meet, if anything.

    `zones` gives the zone of an address, `regions` the region of a zone.
    """
    shortfalls = _machine_shortfalls(view, tolerance)
    by_zone = {member.address: zones.get(member.address, member.address) for member in view.voters}
    by_region = {address: regions.get(zone, zone) for address, zone in by_zone.items()}
    shortfalls += _area_shortfalls(view, "zones", tolerance.zones, by_zone)
    shortfalls += _area_shortfalls(view, "regions", tolerance.regions, by_region)
    return shortfalls


def _max_lost_voters(view: View) -> int:
    return (len(view.voters) - 1) // 2


def _machine_shortfalls(view: View, tolerance: FaultTolerance) -> list[str]:
    shortfalls = []
    setting = f"tolerates.machines={tolerance.machines}"
    may_be_lost = _max_lost_voters(view)
    if tolerance.machines > may_be_lost:
        shortfalls.append(f"{setting}: {len(view.voters)} voters tolerate the loss of {may_be_lost}")
    if tolerance.replicas > len(view.chain):
        shortfalls.append(f"{setting}: the number of replicas is {len(view.chain)}")
    return shortfalls


def _area_shortfalls(view: View, name: str, tolerated: int, area_of: Mapping[str, str]) -> list[str]:
    """Describe whether the loss of that many failure domains is survived; `area_of` gives that of an address.

    A failure domain is a zone or a region, as `name` says.
    """
    shares = Counter(area_of[member.address] for member in view.voters).most_common(tolerated)
    lost = sum(count for _, count in shares)
    if lost > _max_lost_voters(view):
        return [f"tolerates.{name}={tolerated}: {lost} of {len(view.voters)} voters may be lost at once"]
    largest = {area for area, _ in shares}
    if tolerated and {area_of[member.address] for member in view.chain} <= largest:
        return [f"tolerates.{name}={tolerated}: all replicas may be lost at once"]
    return []
