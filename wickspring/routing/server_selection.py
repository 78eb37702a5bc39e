"""Which server an attempt goes to: the cheapest of a random sample. No I/O, no clock."""

from __future__ import annotations

import math
from random import Random

from wickspring import interface as api
from wickspring.routing.concurrency_limit import ConcurrencyLimit
from wickspring.routing.lost_responses import LatencyBySize
from wickspring.routing.routed_request import RoutedRequest
from wickspring.routing.server_table import Server, ServerTable

DRAWS = 8  # servers drawn for one attempt
SUBSET_DRAWS = 6  # of them from the subset
COLD_DRAWS = 2  # of them open to servers that warm up, where few gateways share the load
COLD_CHANCE = 0.5  # of taking such a server, times its warmth
COLD_FLEET_LOAD = 2.5  # times the warmth of all servers: part of the requests sent while most are cold
OUTSIDE_SUBSET_COST = 2.0  # factor for a server without a connection from here yet
CROSS_ZONE_COST = 1.0  # requests more that a server of the own zone may have
ATTEMPTED_COST = 100.0  # for a server that the request has been sent to
EJECTED_COST = 1000.0
MIN_WEIGHT = 1e-3  # of a server


class ServerSelector:
    """Chooses the server of an attempt: the cheapest of a random sample.

    That is the power of two choices (Mitzenmacher, 2001) with a larger sample. Up to four gateways each see
    enough of the load by their own attempts; of more, each goes by the servers' latencies as well
    (`load_visibility`).
    """

    def __init__(
        self, settings: api.Settings, table: ServerTable, peer_state: api.PeerState, random: Random
    ) -> None:
        self.concurrency_limit = ConcurrencyLimit()
        self.latency_by_size = LatencyBySize()
        self._table, self._peer_state, self._random = table, peer_state, random
        self._zone = settings.zone
        self._visibility = table.load_visibility
        self._few_gateways = table.load_visibility >= 1.0
        targets = [kind.target_latency for kind in settings.classes]
        self._target_latency = sum(targets) / max(1, len(targets))  # mean, ms

    def choose(self, now: float, routed: RoutedRequest, in_flight: int) -> Server | None:
        """Return the server for an attempt, with `in_flight` others; None where the limit is reached."""
        table, random = self._table, self._random.random
        # A random part of an attempt, since the limit of one of many gateways may be less than one.
        limit = self.concurrency_limit
        if not table.ready or not limit.allows(in_flight + random(), table.servers_per_gateway):
            return None
        table.update_warmth(now)
        warmth = table.fleet_warmth
        if warmth < 1.0 / COLD_FLEET_LOAD and random() > COLD_FLEET_LOAD * warmth:
            return None  # all servers together can take no more
        sample = self._sample(now, routed)
        if not sample and routed.may_have_run_on is not None:
            sample = self._warm_group(now, routed)
        work = self.work(routed)
        sample.sort(key=lambda server: self._cost(now, routed, server, work))
        return next((server for server in sample if self._may_use(now, server)), None)

    def _sample(self, now: float, routed: RoutedRequest) -> list[Server]:
        table, random, few_gateways = self._table, self._random.random, self._few_gateways
        sample: list[Server] = []
        subset_draws = SUBSET_DRAWS * table.subset_warmth  # fewer where the subset is colder than the others
        for draw in range(DRAWS if table.subset is table.ready else 2 * DRAWS):
            if draw >= DRAWS and sample:
                break  # the second round is for a subset that is cold, or not in the request's group
            servers = table.subset if draw < subset_draws else table.ready
            server = servers[int(random() * len(servers))]
            warmth = table.warmth(server, now)
            if warmth < 1.0:
                # One of many gateways does not see the burst that a few cautious ones send to the warm
                # servers: where most are new, each gets its part by its warmth, which is far from
                # overloading it.
                chance = COLD_CHANCE * warmth if few_gateways else warmth
                if (few_gateways and draw >= COLD_DRAWS) or random() > chance:
                    continue
            if routed.may_repeat_on(server.entry, now):
                sample.append(server)
        return sample

    def _warm_group(self, now: float, routed: RoutedRequest) -> list[Server]:
        """Return the warm servers that a request may be repeated on; draws easily miss a small group."""
        table = self._table
        warm = [server for server in table.ready if table.warmth(server, now) >= 1.0]
        return [server for server in warm if routed.may_repeat_on(server.entry, now)]

    def _may_use(self, now: float, server: Server) -> bool:
        """Take one of the attempts that all gateways together may make at a server that warms up."""
        if self._table.warmth(server, now) >= 1.0:
            return True
        return self._peer_state.take(now, f"cold {server.entry.server.decode('latin-1')}")

    def _cost(self, now: float, routed: RoutedRequest, server: Server, work: float) -> float:
        """Return a server's work relative to its size; far more where it is ejected or has been tried."""
        entry = server.entry
        cost = (server.send_order.work + work) * self._latency_factor(now, server)
        cost = cost / max(entry.weight, MIN_WEIGHT) / self._warmth_divisor(now, server)
        if entry.zone != self._zone and not self.concurrency_limit.slow:
            cost += CROSS_ZONE_COST * self._visibility
        if entry.server in routed.attempted:
            cost += ATTEMPTED_COST
        if not server.in_subset:
            cost *= max(1.0, OUTSIDE_SUBSET_COST * self._table.subset_warmth)
        if now < server.ejected_until_for(routed.request):
            cost += EJECTED_COST
        return cost

    def _warmth_divisor(self, now: float, server: Server) -> float:
        if self._few_gateways and not server.in_flight:
            return 1.0  # one request is not too much: else it would be unused until it is warm
        # For one of many, the chance of a draw has accounted for warmth.
        return math.pow(self._table.warmth(server, now), self._visibility)

    def _latency_factor(self, now: float, server: Server) -> float:
        if self._few_gateways:
            return 1.0
        waiting = (now - server.latency.waiting_since) / self._target_latency if server.in_flight else 0.0
        typical = self.concurrency_limit.mean_latency
        return server.latency.cost_factor(now, typical, 1.0 - self._visibility, waiting)

    def work(self, routed: RoutedRequest) -> float:
        """Return what a request adds to a server; one of many gateways sees too few answers to weigh it."""
        return self.latency_by_size.relative_work(routed.request.units) if self._few_gateways else 1.0

    def record_latency(self, now: float, latency: float, in_flight: int) -> None:
        """Adapt the concurrency limit to an answer's latency, in target latencies."""
        self.concurrency_limit.record(now, latency, in_flight, self._table.servers_per_gateway)

    def record_attempt(self, now: float, server: Server, latency: float, answered: bool) -> None:
        """Take the latency of an attempt, in target latencies, into the estimate of its server."""
        typical = self.concurrency_limit.mean_latency
        server.latency.record(now, latency, answered, typical, 1.0 - self._visibility)
