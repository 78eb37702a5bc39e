"""Carries out the reducer's effects, and brings it what the sockets say."""

from __future__ import annotations

import logging
import time
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import trio

from wickspring import interface as api
from wickspring.config import Instance
from wickspring.connections.limits import limit_wait_to_grace
from wickspring.connections.model import PooledConnection
from wickspring.core import effects as core
from wickspring.core.invariants import broken
from wickspring.core.reducer import Reducer
from wickspring.logs import kv
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import (
    CALL_PATH,
    READY_PATH,
    STATUS,
    Call,
    CallError,
    CallReader,
    Client,
    retry_after,
)
from wickspring.net.counter import Counter
from wickspring.net.discovery import Directory, Discovery
from wickspring.net.http_server import EXPIRE_EVERY_MS, HttpRequest, HttpServer
from wickspring.net.upstream.carrier import Carrier, Job, Reply
from wickspring.net.upstream.http1 import Http1Link
from wickspring.net.upstream.manager import Upstream
from wickspring.net.upstream.reports import read_load
from wickspring.routing.maintenance import Maintenance
from wickspring.tenants import PlanBook, TenantsError

if TYPE_CHECKING:
    from wickspring.net.peers import Peers

log = logging.getLogger(__name__)

SWEEP_MS = 100.0
REPORT_MS = 10_000.0
PROBE_MS = 1000.0
TENANTS_MS = 2000.0
TRANSIT_MS = 2.0  # a budget runs from when the client sent the request; so much may have passed


class Runtime(HttpServer):
    """The ingress between its sockets and its reducer."""

    def __init__(self, instance: Instance, nursery: trio.Nursery) -> None:
        super().__init__(nursery, instance.limits.memory_mb)
        settings = instance.settings
        self.instance = instance
        self.peers = self._join() if instance.peers.enabled else None
        shared = self.peers.shares if self.peers is not None else None
        self.reducer = Reducer(settings, shared)
        self.maintenance = Maintenance()
        self.book = PlanBook(instance.tenants) if instance.tenants is not None else None
        self.calls = CallReader(settings, self.book)
        self.directory = Directory(settings.zones)
        self.discovery = Discovery(
            instance.discovery,
            self.directory,
            nursery,
            self.listed,
            settings.seed,
            settings.gateways,
            settings.drain_grace,
        )
        self.upstream = Upstream(
            settings,
            limit_wait_to_grace(instance.connections, settings.drain_grace),
            lambda: self.max_descriptors,
            lambda: len(self.connections),
            self.clock,
            self.timers,
            nursery,
            self.reducer.entries.get,
            self._make_carrier,
            self._expect,
            shared,
        )
        self.counter = Counter(instance.counter, settings, self.clock, self.timers, nursery, self._counted)
        self.ready = False
        self.peer_holds = 0  # descriptors that the other process has
        self._clients: dict[int, tuple[Call, Client]] = {}
        self._body_streams: dict[int, BodyStream] = {}  # of long bodies on their way
        self._passing: dict[int, int | None] = {}  # long answers on their way, with their lengths
        self._jobs: dict[tuple[int, int], Job] = {}
        self._news: deque[core.Event] = deque()
        self._dispatching = False
        self._last_number = 0
        self.call_later(SWEEP_MS, self._sweep)
        self.call_later(EXPIRE_EVERY_MS, self.expire_connections)
        self.call_later(REPORT_MS, self._report)
        self._read_tenants()

    def _join(self) -> Peers:
        """Become one of the ingresses that talk to each other."""
        from wickspring.net.peers import Peers  # paid for only where they do
        from wickspring.peer_state.shares import Shares

        settings, peers, now = self.instance.settings, self.instance.peers, self.clock.now()
        shares = Shares(settings, peers.budgets, round(now), now, settings.seed, peers.counts)
        return Peers(self.instance, shares, self.clock, self.dispatch, self._started)

    def _started(self) -> dict[api.ServerId, float]:
        """Return the ticket servers that take work, and when each was started as the list says."""
        ready = (one for one in self.reducer.entries.values() if one.readiness is api.Readiness.READY)
        return {entry.server: entry.started_at for entry in ready}

    def _counted(self, answer: api.CountAnswer) -> None:
        if self.peers is not None:
            self.peers.record_counter_answer(answer)
        self.dispatch(answer)

    def _speaks2(self, server: api.ServerId) -> bool:
        speakers = self.instance.http2.servers if self.instance.http2.enabled else ()
        return "*" in speakers or server.decode() in speakers

    def _make_carrier(self, upstream: Upstream, conn: PooledConnection) -> Carrier:
        if not self._speaks2(conn.server):
            return Http1Link(upstream, conn)
        from wickspring.net.upstream.http2 import Http2Link  # a megabyte, paid for only where it is spoken

        return Http2Link(upstream, conn)

    def _expect(self, server: api.ServerId) -> int:
        return self.instance.settings.streams_per_connection if self._speaks2(server) else 1

    # From the fronts.

    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Handle one request, of either front; its response may be given before this returns."""
        if request.target == READY_PATH:
            client.respond(200 if self.ready else 503, "", b"")
            return
        if request.target.partition("?")[0] != CALL_PATH:
            client.respond(404, "", b"no such path\n")
            return
        try:
            call = self.calls.read(request.method, request.target, request.headers, request.body)
        except CallError as error:
            client.respond(error.status, "", f"bad {error}\n".encode())
            return
        self._last_number += 1
        number = self._last_number
        client.request_accepted(number, call.budget)
        self._clients[number] = (call, client)
        if request.body_stream is not None:
            self._body_streams[number] = request.body_stream
        deadline = self.clock.now() + call.budget - TRANSIT_MS
        arrival = api.Request(
            number,
            call.class_index,
            call.plan_index,
            call.customer,
            deadline,
            call.units,
            call.spread,
            call.first,
            call.repeat,
        )
        self.dispatch(core.RequestArrived(arrival, call.call_id))

    def client_disconnected(self, request_number: int) -> None:
        """Forget a client that has gone away: it is owed no response."""
        self._clients.pop(request_number, None)
        self._close_body_stream(request_number)
        self._passing.pop(request_number, None)
        self.dispatch(api.Withdrawn(request_number))

    def _close_body_stream(self, number: int) -> None:
        body_stream = self._body_streams.pop(number, None)
        if body_stream is not None:
            body_stream.close()

    @property
    def active_streams(self) -> int:
        """How many long bodies and answers are on their way."""
        return len(self._body_streams.keys() | self._passing.keys())

    @property
    def owed(self) -> int:
        """How many clients wait for an answer."""
        return len(self._clients)

    @property
    def max_descriptors(self) -> int:
        """How many descriptors this process may have."""
        return max(self.instance.limits.sockets - self.peer_holds, self.instance.limits.sockets // 4)

    # News of ticket servers, from discovery and from operators.

    def listed(self, news: api.ServerList) -> None:
        """Take in what discovery says, seen through what operators have taken out."""
        self.dispatch(self.maintenance.listed(news))

    def exclude(self, server: api.ServerId) -> bool:
        """Take a ticket server out; False where nobody has such an id."""
        known = self.maintenance.knows(server)
        for change in self.maintenance.exclude(server) if known else ():
            self.dispatch(change)
        return known

    def include(self, server: api.ServerId, at: float | None = None) -> bool:
        """Put it back, as from a time; False where nobody has such an id."""
        known = self.maintenance.knows(server)
        at = self.clock.now() if at is None else at
        for change in self.maintenance.include(server, at) if known else ():
            self.dispatch(change)
        return known

    # Events in, effects out.

    def dispatch(self, event: core.Event) -> None:
        """Reduce an event and carry out what follows; events that effects cause wait their turn."""
        self._news.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._news:
                news = self._news.popleft()
                try:
                    for effect in self.reducer.reduce(self.clock.now(), news):
                        self._perform(effect)
                except Exception as error:  # one request's trouble must not take the others down
                    broken["no event raises"] += 1
                    log.exception("event_failed", extra=kv(reason=error))
        finally:
            self._dispatching = False

    def _perform(self, effect: core.Effect) -> None:
        if isinstance(effect, core.SendResponse):
            self._answer(effect)
        elif isinstance(effect, core.StartStreamedResponse):
            self._clients[effect.request][1].begin_response(self._passing[effect.request])
        elif isinstance(effect, core.EndStreamedResponse):
            self._passing.pop(effect.request, None)
            self._close_body_stream(effect.request)
            passed = self._clients.pop(effect.request, None)
            if passed is not None:
                passed[1].end_response(effect.complete)
        elif isinstance(effect, core.StartAttempt):
            self._start(effect)
        elif isinstance(effect, core.StopAttempt):
            job = self._jobs.pop((effect.request, effect.attempt), None)
            if job is not None:
                self.upstream.stop(job)
        elif isinstance(effect, api.Count):
            self.counter.call(effect)
        elif isinstance(effect, api.SetTimer):
            self.call_later(effect.delay, partial(self.dispatch, api.TimerFired(effect.token)))
        elif isinstance(effect, api.Probe):
            self._probe(effect)
        # api.FollowList: the watch of discovery is always open

    def _answer(self, answer: core.SendResponse) -> None:
        client = self._clients.pop(answer.request, None)
        self._close_body_stream(answer.request)
        if client is None:
            return
        advice = retry_after(answer.retry_after) if answer.kind is core.ResponseKind.REFUSED else ""
        client[1].respond(STATUS[answer.kind], advice, answer.body)

    def _start(self, start: core.StartAttempt) -> None:
        client = self._clients.get(start.request)
        if client is None:
            self.dispatch(core.AttemptEnded(start.request, start.attempt, api.Status.MOOT))
            return
        call = client[0]
        left = max(1, int(start.until - self.clock.now()))
        headers = [("X-Call-Id", call.call_id), ("X-Budget-Ms", str(left))]
        if call.key:
            headers.append(("Idempotency-Key", call.key))
        ended = partial(self._attempt_ended, start.request, start.attempt)
        address = self.directory.addresses.get(start.server)
        if address is None:
            ended(Reply(api.Status.CONNECT_FAILED))
            return
        once = self.instance.settings.classes[call.class_index].effect is api.Effect.UNSAFE
        job = Job(
            start.server,
            address,
            once,
            start.until,
            method=call.method,
            target=call.target,
            headers=headers,
            body=call.body,
            done=ended,
            body_stream=self._body_streams.get(start.request),
        )
        job.flows = partial(self._flows, job, start)
        job.uploaded = partial(self._uploaded, job, start, call.budget)
        job.begins = partial(self._begins, start)
        self._jobs[start.request, start.attempt] = job
        self.upstream.start(job)

    def _flows(self, job: Job, start: core.StartAttempt) -> bool:
        """Note that an attempt takes what is not held of a body; False where it may not any more."""
        if job.timer is not None and job.timer.action is not None:
            self.dispatch(core.RequestBodyCommitted(start.request, start.attempt))
            job.untimed()
        return self.reducer.owns(start.request, start.attempt)

    def _uploaded(self, job: Job, start: core.StartAttempt, budget: float) -> None:
        deadline = job.deadline = self.clock.now() + budget - TRANSIT_MS - SWEEP_MS  # the sweep sees to it
        self.dispatch(core.RequestBodySent(start.request, deadline))

    def _begins(self, start: core.StartAttempt, length: int | None) -> Client | None:
        """Begin a long answer; None where another attempt's has won, or nobody waits for it."""
        if start.request not in self._clients or start.request in self._passing:
            return None
        self._passing[start.request] = length
        self.dispatch(core.ResponseStreamReady(start.request, start.attempt))
        client = self._clients.get(start.request)
        if client is None or not self.reducer.owns(start.request, start.attempt):
            self._passing.pop(start.request, None)
            return None
        return client[1]

    def _attempt_ended(self, request: int, attempt: int, reply: Reply) -> None:
        self._jobs.pop((request, attempt), None)
        self.dispatch(
            core.AttemptEnded(
                request, attempt, reply.status, reply.load, reply.body, reply.settled_units, reply.fleet_use
            )
        )

    def _probe(self, probe: api.Probe) -> None:
        asked = self.clock.now()

        def ended(reply: Reply) -> None:
            elapsed = self.clock.now() - asked
            load = reply.load or read_load(reply.body, fields)
            self.dispatch(api.ProbeResult(probe.server, reply.status, elapsed, load))

        fields = self.instance.settings.load_fields
        path = "/metrics/load" if fields else "/alive"
        address = self.directory.addresses.get(probe.server)
        if address is None:
            ended(Reply(api.Status.CONNECT_FAILED))
            return
        until = asked + PROBE_MS
        job = Job(
            probe.server,
            address,
            False,
            until,
            new_work=False,
            method="GET",
            target=path,
            headers=[],
            body=b"",
            done=ended,
        )
        self.upstream.start(job)

    # Upkeep.

    def _sweep(self) -> None:
        self.dispatch(core.SweepDue())
        self.call_later(SWEEP_MS, self._sweep)

    def _read_tenants(self) -> None:
        if self.book is None:
            return
        self.call_later(TENANTS_MS, self._read_tenants)
        try:
            if self.book.refresh():
                log.info("tenants", extra=kv(count=len(self.book.plans)))
        except TenantsError as error:  # what was read before stays in force
            log.warning("tenants_unusable", extra=kv(reason=error))

    def report(self) -> dict[str, object]:
        """Return the figures of this process."""
        return {
            "owed": self.owed,
            "flowing": self.active_streams,
            "connections": len(self.connections),
            **self.upstream.report(),
            "cpu_s": time.process_time(),
            **self.reducer.counters,
            **{f"let_go[{reason}]": times for reason, times in self.closed_counts.items()},
            **{f"broken[{name.replace(' ', '_')}]": times for name, times in broken.items()},
        }

    def _report(self) -> None:
        log.info("figures", extra=kv(**self.report()))
        self.call_later(REPORT_MS, self._report)
