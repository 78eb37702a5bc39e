"""How much every server of a service has to do, as one lighthouse hears it of all pilots. No I/O; ms.

A pilot sees its own requests alone: one of eight, or of eighty. So each asks the lighthouse that watches
over a service for the servers best taken now, says where it sends, and when that is over. What it is told is
advice: it leaves out whom it knows to drain or to fail, and without an answer in time it chooses by itself. A
server that answers nobody keeps what was sent there, and so is passed over by all.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

from wickspring.common.endpoints import Endpoint

OFFERS = 4  # servers named in one answer
MEMORY = 12.0  # answers in the mean of a server's speed
SLOW_LEAST, SLOW_MOST = 0.4, 4.0
OTHER_ZONE_COST, COLD_COST = 1.4, 2.0  # times as much one costs
SHUN_MS, SHUN_COST = 700.0, 6.0  # after a failure
EVEN = 0.03  # share by which costs are mixed, so that pilots that ask at once are not all told the same


class LoadTracker:
    """What is out at each server."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.out: Counter[str] = Counter()
        self.by_data_plane: dict[str, Counter[str]] = {}
        self.slow: dict[str, float] = {}  # answer times, by those usual for the request
        self.shunned: dict[str, float] = {}  # until when

    def sent(self, data_plane: str, server: str) -> None:
        """Note that a pilot has sent a request to a server."""
        self.out[server] += 1
        self.by_data_plane.setdefault(data_plane, Counter())[server] += 1

    def ended(self, now: float, data_plane: str, server: str, ratio: float) -> None:
        """Note its end: its time by what is usual, 0 where it was turned away, below 0 where it failed."""
        mine = self.by_data_plane.get(data_plane)
        if mine is not None and mine[server] > 0:
            mine[server] -= 1
            self.out[server] -= 1
        if ratio > 0:
            slow = self.slow.get(server, 1.0)
            self.slow[server] = slow + (min(SLOW_MOST, max(SLOW_LEAST, ratio)) - slow) / MEMORY
        elif ratio < 0:
            self.shunned[server] = now + SHUN_MS

    def gone(self, data_plane: str) -> None:
        """Forget what a pilot has out: it has ended, or tells anew."""
        for server, units in self.by_data_plane.pop(data_plane, Counter()).items():
            self.out[server] -= units

    def forget(self, server: str) -> None:
        """Forget a server."""
        for book in (self.out, self.slow, self.shunned):
            book.pop(server, None)

    def cost(self, now: float, server: Endpoint, zone: str) -> float:
        """Return about how long an answer takes there, by the usual time."""
        cost = self.slow.get(server.id, 1.0) * (1.0 + self.out[server.id] / max(1, server.slots))
        if server.zone != zone:
            cost *= OTHER_ZONE_COST
        if server.cold_until > now:
            cost *= COLD_COST
        if self.shunned.get(server.id, 0.0) > now:
            cost *= SHUN_COST
        return cost * (1.0 + EVEN * self.random.random())

    def offers(self, now: float, zone: str, servers: Iterable[Endpoint]) -> list[tuple[str, float]]:
        """Return those of a service's servers that are best taken now, with their costs."""
        costs = [(self.cost(now, one, zone), one.id) for one in servers]
        return [(id_, round(cost, 2)) for cost, id_ in sorted(costs)[:OFFERS]]
