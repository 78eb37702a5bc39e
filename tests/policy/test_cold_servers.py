"""The hardest case of cold servers: six in ten are replaced in seconds, and forty gateways go on sending."""

from __future__ import annotations

from collections import deque
from functools import partial
from heapq import heapreplace
from random import Random

import pytest

from tests.policy.test_many_policies import fleet, sends
from tests.support.policy_gateway import Gateway, every
from wickspring import interface as api
from wickspring.interface import Readiness, Status
from wickspring.lab.simulation.timeline import Timeline

GATEWAYS, SERVERS, REPLACED = 40, 60, 36
CORES, WORK_MS = 2, 200.0  # so a warm server does ten requests a second
COLD, WARM_MS = 0.2, 10_000.0  # part of that of a new one, and the time until it has all
FALL, FALL_MS = 4.0, 1500.0  # times its present capacity, for so long, that overload a server
FIRST_MS, SPREAD_MS, LATE_MS, END_MS = 3000.0, 7000.0, (500.0, 3000.0), 16_000.0


class Server:
    """Cores that serve in the order of coming, the slower the colder."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.entry, self.born = site, Gateway.entry(number), -WARM_MS
        self.cores = [0.0] * CORES  # a heap of when each is free
        self.sends = deque[float]()  # of the last moments, since it is new
        self.peak = 0.0  # of these against what pushes it over

    def warmth(self, now: float) -> float:
        return min(1.0, COLD + (1.0 - COLD) * (now - self.born) / WARM_MS)

    def take(self, gateway: int, send: api.Send) -> None:
        now = self.site.timeline.now
        if self.warmth(now) < 1.0:
            self.sends.append(now)
            while self.sends[0] < now - FALL_MS:
                self.sends.popleft()
            budget = FALL * CORES / WORK_MS * self.warmth(max(self.born, now - FALL_MS)) * FALL_MS
            self.peak = max(self.peak, len(self.sends) / budget)
        work = WORK_MS / self.warmth(now) * self.site.random.expovariate(1.0)
        end = max(now, self.cores[0]) + work
        heapreplace(self.cores, end)
        self.site.timeline.at(end, partial(self.site.answered, gateway, send, now))


class Site:
    """Forty policies that receive each list a little later."""

    def __init__(self, rate: float, seed: int) -> None:
        self.timeline, self.random, self.rate, self.served = Timeline(), Random(seed), rate, 0
        self.servers = {Gateway.entry(n).server: Server(self, n) for n in range(SERVERS)}
        plan = {"rate": 1.0, "burst": 1000.0}
        changes = {"plan": plan, "cold_capacity": COLD, "cold_time": WARM_MS}
        self.gateways = fleet(GATEWAYS, SERVERS, gateways=GATEWAYS, zone=0, **changes)
        self.start = self.gateways[0].now
        for number in range(REPLACED):
            self.timeline.at(FIRST_MS + SPREAD_MS * self.random.random(), partial(self.replace, number))
        self.timeline.at(0.0, self.arrive)

    def replace(self, number: int) -> None:
        """Have a server's place taken by a new one under another id; all hear of it in their own time."""
        now = self.timeline.now
        gone = Gateway.entry(number, readiness=Readiness.GONE)
        new = Gateway.entry(number + 100, started_at=self.start + now)
        assert new.server not in self.servers
        fresh = self.servers[new.server] = Server(self, number + 100)
        fresh.born = now
        for front in self.gateways:
            late = self.random.uniform(*LATE_MS)
            self.timeline.at(now + late, partial(self.receive_list, front, gone, new))

    def receive_list(self, front: Gateway, *entries: api.ServerEntry) -> None:
        front.now = self.start + self.timeline.now
        front.list_servers(*entries, kind=api.ListKind.CHANGES)

    def arrive(self) -> None:
        number = self.random.randrange(GATEWAYS)
        front = self.gateways[number]
        customer = self.random.randrange(300)
        front.now = self.start + self.timeline.now
        self.send(number, sends(front, customer, spread=25))
        self.timeline.at(self.timeline.now + self.random.expovariate(self.rate / 1000.0), self.arrive)

    def send(self, number: int, made: list[api.Send]) -> None:
        for send in made:
            self.servers[send.server].take(number, send)

    def answered(self, number: int, send: api.Send, sent: float) -> None:
        front = self.gateways[number]
        front.now, self.served = self.start + self.timeline.now, self.served + 1
        over = front.outcome(send, Status.OK, elapsed=self.timeline.now - sent)
        self.send(number, every(over, api.Send))


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_no_new_server_is_overloaded_while_six_in_ten_are_replaced(seed: int) -> None:
    site = Site(rate=0.9 * SERVERS * CORES / WORK_MS * 1000.0, seed=seed)
    site.timeline.run(END_MS)
    peaks = [site.servers[Gateway.entry(number + 100).server].peak for number in range(REPLACED)]
    assert 0.1 < max(peaks) < 0.55  # of what pushes one over; 0.63 to 0.68 without care for cold ones
    assert site.served > 0.4 * site.rate * END_MS / 1000.0
