"""A large site in virtual time: the real decision module, reducer and pools, and no socket.

Gateways are told of a subset of the servers each, as sites of this size do. A dial costs the server a piece
of a core's time and comes up when that has been done, or not at all within the dial's time-out; so a storm of
dials takes the very capacity that requests need. What is seen is recorded as in a run on sockets and held to
the rules by the same checker.
"""

from __future__ import annotations

import math
import resource
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from wickspring import interface as api
from wickspring.config import build_settings, flatten
from wickspring.connections import model as pooling
from wickspring.connections.limits import ConnectionLimits, max_server_connections
from wickspring.connections.pools import ConnectionPools
from wickspring.core import effects as core
from wickspring.core.reducer import Reducer
from wickspring.lab.emulation.site import Progress
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.scenario import Fault, FaultKind, Scenario
from wickspring.lab.reports.record import Answer, Arrival, ClientRequest, Record, ServerEvent
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation.timeline import Timeline
from wickspring.lab.traffic import schedule as scripts

EPOCH = 1_000_000_000.0  # the gateways' clock at the beginning of a run, ms
SWEEP_MS, POOL_SWEEP_MS, REPORT_MS = 100.0, 250.0, 500.0
TAIL_MS = 4000.0  # after the last arrival, until all is answered
UNBOUNDED = 1e6
STATUS = {core.ResponseKind.SERVED: 200, core.ResponseKind.REFUSED: 429, core.ResponseKind.FAILED: 502}


@dataclass(slots=True, eq=False, kw_only=True)
class Wish(pooling.ConnectionRequest):
    """An attempt that wants a connection, or has one."""

    request: int
    attempt: int
    one: scripts.ScheduledRequest
    over: bool = False


class VirtualServer:
    """Cores that serve pieces of work in the order of coming; its connections' other ends."""

    def __init__(self, site: VirtualSite, index: int) -> None:
        self.site, self.name = site, f"s-{index}"
        self.hall = index % site.scenario.servers.halls
        self.entry = api.ServerEntry(self.name.encode(), self.hall, 0, api.Readiness.READY, 1.0, 0.0)
        self.free = site.scenario.servers.cores
        self.line: deque[tuple[float, Callable[[], None]]] = deque()
        self.most_waiting = 0
        self.slow = 1.0

    def work(self, ms: float, done: Callable[[], None]) -> None:
        """Take a piece of work; `done` is called once it has been carried out."""
        if self.free:
            self.free -= 1
            self._begin(ms, done)
        else:
            self.line.append((ms, done))
            self.most_waiting = max(self.most_waiting, len(self.line))

    def _begin(self, ms: float, done: Callable[[], None]) -> None:
        def end() -> None:
            if self.line:
                self._begin(*self.line.popleft())
            else:
                self.free += 1
            done()

        timeline = self.site.timeline
        timeline.at(timeline.now + ms * self.slow, end)


class VirtualGateway:
    """One gateway: reducer, module and pools as in service, its effects carried out on the timeline."""

    def __init__(
        self, site: VirtualSite, number: int, settings: api.Settings, limits: ConnectionLimits
    ) -> None:
        self.site, self.settings, self.number = site, settings, number
        self.reducer = Reducer(settings)
        self.pools = ConnectionPools(limits, settings.idle_close, self._look, settings.seed)
        self.pools.settings.max_connections = max_server_connections(
            limits, site.scenario.ingresses.sockets, 0
        )
        self.conns: dict[pooling.PooledConnection, list[Wish]] = {}
        self.asked: dict[int, ClientRequest] = {}
        self.wishes: dict[tuple[int, int], Wish] = {}
        self._wakes = math.inf
        self._news: deque[core.Event] = deque()
        self._busy = False
        jitter = site.random.random()
        site.timeline.every(SWEEP_MS, jitter, lambda: self.dispatch(core.SweepDue()))
        site.timeline.every(POOL_SWEEP_MS, jitter, lambda: self._perform(self.pools.maintain(self.now)))

    @property
    def now(self) -> float:
        """Return the gateway's own time, ms."""
        return EPOCH + self.site.timeline.now

    def _look(self, server: api.ServerId, _: float) -> pooling.ServerStatus:
        entry = self.reducer.entries.get(server)
        return pooling.ServerStatus(entry is not None and entry.readiness is api.Readiness.READY)

    def dispatch(self, event: core.Event) -> None:
        """Reduce an event and carry out what follows."""
        self._news.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._news:
                for effect in self.reducer.reduce(self.now, self._news.popleft()):
                    self._effect(effect)
        finally:
            self._busy = False

    def ask(self, asked: ClientRequest) -> None:
        """Take a client's request."""
        one = asked.scheduled
        request = api.Request(
            len(self.asked) + 1,
            one.kind,
            one.firm.plan,
            one.firm.customer,
            self.now + one.budget_ms - 2.0,
            float(one.units),
            one.firm.spread,
            one.firm.first,
        )
        self.asked[request.request] = asked
        asked.sent_at = self.site.timeline.now
        self.dispatch(core.RequestArrived(request, one.call_id))

    def _effect(self, effect: core.Effect) -> None:
        site, timeline = self.site, self.site.timeline
        if isinstance(effect, core.SendResponse):
            body = effect.body if effect.kind is core.ResponseKind.SERVED else b""
            self.asked[effect.request].answers.append(Answer(timeline.now, STATUS[effect.kind], body))
        elif isinstance(effect, core.StartAttempt):
            one = self.asked[effect.request].scheduled
            once = site.scenario.shape.kind[one.kind].effect == "once"
            wish = Wish(
                effect.server,
                ("", 0),
                once,
                effect.until,
                request=effect.request,
                attempt=effect.attempt,
                one=one,
            )
            self.wishes[effect.request, effect.attempt] = wish
            timeline.at(effect.until - EPOCH, partial(self._stop, wish, api.Status.TIMEOUT))
            self._perform(self.pools.request_connection(self.now, wish))
        elif isinstance(effect, core.StopAttempt):
            stopped = self.wishes.get((effect.request, effect.attempt))
            if stopped is not None:
                self._stop(stopped, None)
        elif isinstance(effect, api.Count):
            total = site.totals[effect.name] = site.totals.get(effect.name, 0.0) + effect.amount
            site.record.counters["counter_calls"] += 1
            took = site.scenario.counter.ms
            answer = api.CountAnswer(effect.name, api.Status.OK, total, took)
            timeline.at(timeline.now + took, partial(self.dispatch, answer))
        elif isinstance(effect, api.SetTimer):
            timeline.at(timeline.now + effect.delay, partial(self.dispatch, api.TimerFired(effect.token)))
        elif isinstance(effect, api.Probe):
            answer_at = timeline.now + 2.0 * site.scenario.servers.hop_ms + 0.2
            result = api.ProbeResult(effect.server, api.Status.OK, 0.2, ())
            timeline.at(answer_at, partial(self.dispatch, result))

    # Connections.

    def _perform(self, actions: list[pooling.Action]) -> None:
        site, timeline = self.site, self.site.timeline
        for action in actions:
            if isinstance(action, pooling.AssignConnection):
                wish = action.request
                assert isinstance(wish, Wish)
                if wish.over:
                    self._perform(self.pools.request_finished(self.now, wish, answered=False))
                else:
                    self._begin(wish, action.connection)
            elif isinstance(action, pooling.OpenConnection):
                conn = action.connection
                self.conns[conn] = []
                site.record.counters["dials_begun"] += 1
                timeline.at(timeline.now + self.settings.dial_timeout, partial(self._not_up, conn))
                server = site.servers[conn.server]
                server.work(site.scenario.servers.open_ms, partial(self._up, conn, server))
            elif isinstance(action, pooling.CloseConnection):
                if self.conns.pop(action.connection, None) is not None:
                    site.record.ends.append(ServerEvent(timeline.now, action.connection.server.decode()))
            elif isinstance(action.request, Wish):
                self._end(action.request, api.Status.CONNECT_FAILED)
        due = self.pools.next_retry(self.now)
        if due < self._wakes:
            self._wakes = due
            timeline.at(due - EPOCH, self._due)

    def _due(self) -> None:
        self._wakes = math.inf
        self._perform(self.pools.retry_queues(self.now))

    def _up(self, conn: pooling.PooledConnection, server: VirtualServer) -> None:
        if conn.state is pooling.ConnectionState.DIALING:
            self.site.record.dials.append(ServerEvent(self.site.timeline.now, server.name))
            self._perform(self.pools.dial_succeeded(self.now, conn, 1))

    def _not_up(self, conn: pooling.PooledConnection) -> None:
        if conn.state is pooling.ConnectionState.DIALING:
            self.conns.pop(conn, None)
            self._perform(self.pools.dial_failed(self.now, conn))

    def _begin(self, wish: Wish, conn: pooling.PooledConnection) -> None:
        site, timeline = self.site, self.site.timeline
        self.conns[conn].append(wish)
        server = site.servers[wish.server]
        arrival = Arrival(
            server.name,
            server.hall,
            wish.one.call_id,
            timeline.now,
            timeline.now,
            conn.requests_assigned > 1,
            started=True,
        )
        site.record.arrivals.append(arrival)
        server.work(wish.one.work_ms, partial(self._answered, wish, conn, arrival, server))

    def _answered(
        self, wish: Wish, conn: pooling.PooledConnection, arrival: Arrival, server: VirtualServer
    ) -> None:
        if wish.over or wish not in self.conns.get(conn, ()):
            return
        self.conns[conn].remove(wish)
        arrival.answered = True
        body = f"{server.name} {wish.one.call_id}".encode()
        self.site.record.served_bodies.setdefault(wish.one.call_id, set()).add(body)
        self._perform(self.pools.request_finished(self.now, wish, answered=True))
        self._end(wish, api.Status.OK, body)

    def _end(self, wish: Wish, status: api.Status, body: bytes = b"") -> None:
        if not wish.over:
            wish.over = True
            self.wishes.pop((wish.request, wish.attempt), None)
            self.dispatch(core.AttemptEnded(wish.request, wish.attempt, status, body=body))

    def _stop(self, wish: Wish, status: api.Status | None) -> None:
        if wish.over:
            return
        conn = wish.connection
        if conn is None:
            self.pools.request_cancelled(wish)
        else:
            self.pools.request_unanswered(wish)
        if status is not None:
            self._end(wish, status)
        wish.over = True
        self.wishes.pop((wish.request, wish.attempt), None)
        if conn is not None:
            self._break(conn, pooling.ClosedBy.LOCAL)

    def _break(self, conn: pooling.PooledConnection, end: pooling.ClosedBy) -> None:
        """End a connection; what was on it may have run."""
        wishes = self.conns.pop(conn, None)
        if wishes is None:
            return
        self.site.record.ends.append(ServerEvent(self.site.timeline.now, conn.server.decode()))
        for wish in wishes:
            if not wish.over:
                self.pools.request_lost(self.now, wish, received_bytes=False)
        self._perform(self.pools.connection_closed(self.now, conn, end))
        for wish in wishes:
            self._end(wish, api.Status.RESET)

    def break_all(self, over_ms: float) -> None:
        """Have every connection that is up break within some time."""
        timeline, random = self.site.timeline, self.site.random
        for conn in self.conns:
            if conn.state is pooling.ConnectionState.UP:
                when = timeline.now + over_ms * random.random()
                timeline.at(when, partial(self._break, conn, pooling.ClosedBy.PEER))


class VirtualSite:
    """All gateways and servers of a run."""

    def __init__(self, scenario: Scenario, seed: int, script: scripts.Script) -> None:
        self.scenario, self.random = scenario, Random(f"virtual {seed}")
        self.timeline, self.record = Timeline(), Record()
        self.totals: dict[int, float] = {}
        made = [VirtualServer(self, index) for index in range(scenario.servers.count)]
        self.servers = {server.entry.server: server for server in made}
        limits = scenario.ingresses.connections
        if not scenario.virtual.bounded:
            limits = ConnectionLimits(
                dials_at_once=int(UNBOUNDED),
                dials_at_once_per_server=int(UNBOUNDED),
                dials_per_s=UNBOUNDED,
                dials_per_s_per_server=UNBOUNDED,
                pause_first_ms=1e-3,
                pause_most_ms=1e-3,
                wait_ms=2000.0,
            )
        self.gateways = []
        for number in range(scenario.ingresses.count):
            pairs = flatten(scripts.gateway_settings(scenario, script, number))
            # The module shares what the servers can bear among the gateways that use the same ones.
            pairs["Siblings"] = str(self._sharing(len(made)))
            gateway = VirtualGateway(self, number, build_settings(pairs, seed + number), limits)
            told = self._subset(made, number)
            gateway.dispatch(api.ServerList(api.ListKind.COMPLETE, tuple(one.entry for one in told)))
            self.gateways.append(gateway)

    def _sharing(self, servers: int) -> int:
        size = min(self.scenario.virtual.subset or servers, servers)
        return max(1, round(self.scenario.ingresses.count * size / servers))

    def _subset(self, servers: list[VirtualServer], number: int) -> list[VirtualServer]:
        """Deal the servers out in rounds, shuffled alike for all of a round: each has as many gateways."""
        size = min(self.scenario.virtual.subset or len(servers), len(servers))
        rounds, place = divmod(number, max(1, len(servers) // size))
        dealt = list(servers)
        Random(f"subset {rounds}").shuffle(dealt)
        return dealt[place * size : (place + 1) * size]

    def fault(self, fault: Fault) -> None:
        """Plan one fault."""
        chosen = list(self.servers.values())
        if fault.servers:
            chosen = [chosen[index] for index in fault.servers]

        def slow(times: float) -> None:
            for server in chosen:
                server.slow = times

        def cut() -> None:
            for gateway in self.gateways:
                gateway.break_all(self.scenario.virtual.reset_hold_ms)

        at = 1000.0 * fault.at_s
        if fault.kind == FaultKind.RESET_ALL:
            self.timeline.at(at, cut)
        elif fault.kind == FaultKind.SLOW:
            self.timeline.at(at, partial(slow, fault.size))
            self.timeline.at(at + 1000.0 * fault.for_s, partial(slow, 1.0))


def run(scenario: Scenario, seed: int, progress: Progress | None = None) -> Result:
    """Run a scenario in virtual time."""
    script = scripts.draw_script(scenario, seed)
    site = VirtualSite(scenario, seed, script)
    timeline, record = site.timeline, site.record
    for fault in scenario.fault:
        site.fault(fault)
    for one in script.requests:
        asked = ClientRequest(one)
        record.requests.append(asked)
        timeline.at(one.at_ms, partial(site.gateways[one.ingress].ask, asked))
    end, used = 1000.0 * scenario.seconds + TAIL_MS, time.process_time()
    while timeline.now < end:
        timeline.run(min(end, timeline.now + REPORT_MS))
        if progress is not None:
            progress(min(timeline.now / 1000.0, scenario.seconds), record)
    tries = {one.call_id: one for one in script.requests}
    result = evaluate(scenario, seed, script, tries, record)
    tally: Counter[str] = Counter()
    for gateway in site.gateways:
        tally.update(gateway.pools.counters)
        tally.update(gateway.reducer.counters)
    result.gateway = {name: float(value) for name, value in tally.items()}
    result.gateway["server_line_most"] = float(max(one.most_waiting for one in site.servers.values()))
    result.instances = len(site.gateways)
    result.cpu_ms_per_request = 1000.0 * (time.process_time() - used) / max(1, result.requests)
    result.peak_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result
