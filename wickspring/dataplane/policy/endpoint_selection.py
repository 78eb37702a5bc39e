"""Which server a request goes to, by what this pilot has seen of each and what it has been told."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from wickspring.common.endpoints import READY, Endpoint

NEAR_DRAWS, FAR_DRAWS = 4, 2  # servers drawn of the own zone and of others, of which the best is taken
MEMORY = 10.0  # answers in a mean
SLOW_LEAST, SLOW_MOST = 0.3, 5.0
SHUN_MS, SHUN_MOST = 400.0, 4  # after a failure, doubled with each further one in a row
COLD_COST = 2.0  # times as much a cold server costs
OTHER_ZONE_COST = 1.4  # times as much as one in the own zone
QUIET_TIMES = 2.5  # usual answer times that a server may be silent before each further one costs
DIAL_COST = 1.3  # times as much one costs to which a connection must be opened
LOST_COST = 4.0  # times as much one costs that the lighthouses no longer hear


@dataclass(slots=True, eq=False)
class EndpointState:
    """One server as this pilot knows it."""

    server: Endpoint
    out: dict[int, float] = field(default_factory=dict)  # tries out, and when each was sent
    slow: float = 1.0  # its answer times, by those of its service
    failures: int = 0  # in a row
    shunned_until: float = 0.0
    lost: bool = False
    heard_at: float = 0.0


class EndpointSelector:
    """The servers of all services, and which one to take."""

    def __init__(self, zone: str, seed: int, warm: Callable[[str], bool] = lambda _: True) -> None:
        self.zone, self.random, self.warm = zone, Random(seed), warm
        self.candidates: dict[str, EndpointState] = {}
        self.services: dict[str, dict[str, EndpointState]] = {}  # those that take work
        self.leaving: dict[str, int] = {}
        self.usual: dict[str, float] = {}  # mean answer time of a route, ms

    # News.

    def heard(self, now: float, server: Endpoint, fresh: bool = True) -> bool:
        """Take in what is told of a server; True where that is news.

        What is not fresh, of a lighthouse that may not know who has ended, brings no lost one back.
        """
        known = self.candidates.get(server.id)
        news = known is None or (known.lost and fresh) or server.state > known.server.state
        if known is None:
            known = self.candidates[server.id] = EndpointState(server, heard_at=now)
        elif server.seq >= known.server.seq or server.state > known.server.state:
            state = max(server.state, known.server.state)
            if state != server.state:
                server = Endpoint(
                    server.id,
                    server.service,
                    server.address,
                    server.zone,
                    server.slots,
                    state,
                    server.seq,
                    server.cold_until,
                    server.generation,
                )
            if known.server.service != server.service:
                self.services.get(known.server.service, {}).pop(server.id, None)
            known.server = server
        known.lost = known.lost and not fresh
        self._place(known)
        return news

    def left(self, leaving: dict[str, int]) -> dict[str, int]:
        """Take in who leaves, for good; return those for whom that is news."""
        news = {id_: state for id_, state in leaving.items() if self.leaving.get(id_, READY) < state}
        for id_, state in news.items():
            self.leaving[id_] = max(state, self.leaving.get(id_, READY))
            candidate = self.candidates.get(id_)
            if candidate is not None:
                self._place(candidate)
        return news

    def silent(self, ids: list[str]) -> None:
        """Take in whom the lighthouses no longer hear."""
        for id_ in ids:
            candidate = self.candidates.get(id_)
            if candidate is not None:
                candidate.lost = True

    def _place(self, candidate: EndpointState) -> None:
        server = candidate.server
        takes = max(server.state, self.leaving.get(server.id, READY)) == READY
        place = self.services.setdefault(server.service, {})
        if takes:
            place[server.id] = candidate
        else:
            place.pop(server.id, None)

    def takes(self, id_: str) -> bool:
        """Tell whether new work may go to a server."""
        candidate = self.candidates.get(id_)
        return candidate is not None and id_ in self.services.get(candidate.server.service, ())

    # Choosing.

    def cost(self, now: float, candidate: EndpointState, usual: float) -> float:
        """Return about how long an answer takes there, by the usual time."""
        slots = max(1, candidate.server.slots)
        cost = candidate.slow * (1.0 + len(candidate.out) / slots)
        if candidate.server.cold_until > now:
            cost *= COLD_COST
        if candidate.server.zone != self.zone:
            cost *= OTHER_ZONE_COST
        if candidate.lost:
            cost *= LOST_COST
        if not self.warm(candidate.server.id):
            cost *= DIAL_COST
        if candidate.out and usual > 0:
            quiet = (now - max(candidate.heard_at, next(iter(candidate.out.values())))) / usual
            cost *= 1.0 + max(0.0, quiet - QUIET_TIMES)
        if now < candidate.shunned_until:
            cost *= 10.0 + candidate.failures
        return cost

    def pick(
        self, now: float, service: str, route: str, tried: set[str], offers: Sequence[tuple[str, float]] = ()
    ) -> EndpointState | None:
        """Choose a server of a service that has not been tried, if there is one of those offered."""
        best, least = None, float("inf")
        for id_, cost in offers:
            candidate = self.services.get(service, {}).get(id_)
            if candidate is None or id_ in tried or now < candidate.shunned_until:
                continue
            cost *= 1.0 if self.warm(id_) else DIAL_COST
            if cost < least:
                best, least = candidate, cost
        if best is not None:
            return best
        takes = [one for id_, one in self.services.get(service, {}).items() if id_ not in tried]
        if not takes:
            return None
        well = [one for one in takes if now >= one.shunned_until and not one.lost]
        near = [one for one in well or takes if one.server.zone == self.zone]
        far = [one for one in well or takes if one.server.zone != self.zone]
        drawn = self.random.sample(near, min(NEAR_DRAWS, len(near)))
        drawn += self.random.sample(far, min(FAR_DRAWS + NEAR_DRAWS - len(drawn), len(far)))
        usual = self.usual.get(route, 0.0)
        return min(drawn, key=lambda one: (self.cost(now, one, usual), self.random.random()))

    # What becomes of tries.

    def sent(self, now: float, candidate: EndpointState, number: int) -> None:
        """Note a try as out."""
        candidate.out[number] = now

    def ended(
        self,
        now: float,
        candidate: EndpointState,
        number: int,
        route: str,
        good: bool | None,
        silent: bool = False,
    ) -> float:
        """Note how a try ended: a whole answer, a failure (or silence), or neither (turned away).

        Return its time by what is usual, 0 where that says nothing of the server, below 0 where it failed.
        """
        begun = candidate.out.pop(number, now)
        if good is None:
            candidate.heard_at = now
            return 0.0
        if good:
            candidate.heard_at, candidate.failures, candidate.shunned_until, candidate.lost = (
                now,
                0,
                0.0,
                False,
            )
            took = max(1.0, now - begun)
            usual = self.usual.get(route, 0.0)
            self.usual[route] = usual + (took - usual) / (4 * MEMORY) if usual else took
            slow = min(SLOW_MOST, max(SLOW_LEAST, took / max(1.0, self.usual[route])))
            candidate.slow += (slow - candidate.slow) / MEMORY
            return slow
        if silent and candidate.heard_at > begun:
            return 0.0  # it has answered others since: it has too much to do, and shunning it would not help
        candidate.failures = min(SHUN_MOST, candidate.failures + 1)
        candidate.shunned_until = now + SHUN_MS * 2.0 ** (candidate.failures - 1) * self.random.uniform(
            0.7, 1.3
        )
        return -1.0

    def forget(self, now: float, after_ms: float) -> None:
        """Forget servers that have left or are long lost and owe no answer."""
        for id_, candidate in list(self.candidates.items()):
            if (
                not candidate.out
                and (not self.takes(id_) or candidate.lost)
                and now - candidate.heard_at > after_ms
            ):
                self.services.get(candidate.server.service, {}).pop(id_, None)
                del self.candidates[id_]
