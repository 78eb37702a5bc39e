"""One ingress in virtual time: the real reducer and decision module, their effects on the timeline."""

from __future__ import annotations

from collections import Counter, deque
from functools import partial

from wickspring import interface as api
from wickspring.connections import model
from wickspring.connections.limits import ConnectionLimits
from wickspring.core import effects as core
from wickspring.core.reducer import Reducer
from wickspring.lab.reports.record import Answer, ClientRequest
from wickspring.lab.simulation.ingress_site.virtual_connections import (
    EPOCH_MS,
    Attempt,
    SimulatedSite,
    VirtualConnections,
)

SWEEP_MS = 100.0
FRONT_MARGIN_MS = 2.0  # by which an ingress's deadline lies before the client's
PROBE_MS = 0.2  # that a server takes to answer a probe
STATUS = {core.ResponseKind.SERVED: 200, core.ResponseKind.REFUSED: 429, core.ResponseKind.FAILED: 502}


class QuotaTotals:
    """The counter that all ingresses of a run share; it keeps every count."""

    def __init__(self) -> None:
        self._totals: dict[int, float] = {}

    def add(self, name: int, amount: float) -> float:
        """Add to a count, and return its total."""
        self._totals[name] = self._totals.get(name, 0.0) + amount
        return self._totals[name]


class VirtualIngress:
    """One ingress, and the client requests that it has been sent."""

    def __init__(
        self,
        site: SimulatedSite,
        totals: QuotaTotals,
        settings: api.Settings,
        limits: ConnectionLimits,
    ) -> None:
        self.reducer = Reducer(settings)
        self._site = site
        self._totals = totals
        self._requests: dict[int, ClientRequest] = {}
        self._attempts: dict[tuple[int, int], Attempt] = {}  # by request and number
        self._events: deque[core.Event] = deque()
        self._is_reducing = False
        self.connections = VirtualConnections(site, settings, limits, self._look_up, self._on_ended)
        first = site.random.random()
        site.timeline.every(SWEEP_MS, first, lambda: self.dispatch(core.SweepDue()))
        self.connections.start_sweeps(first)

    @property
    def now(self) -> float:
        """Return the ingress's own time, ms."""
        return EPOCH_MS + self._site.timeline.now

    @property
    def counters(self) -> Counter[str]:
        """Return what the pools and the reducer count."""
        total: Counter[str] = Counter()
        total.update(self.connections.pools.counters)
        total.update(self.reducer.counters)
        return total

    def _look_up(self, server: api.ServerId, _: float) -> model.ServerStatus:
        entry = self.reducer.entries.get(server)
        return model.ServerStatus(entry is not None and entry.readiness is api.Readiness.READY)

    def dispatch(self, event: core.Event) -> None:
        """Reduce an event and carry out its effects; an event of these is reduced after them."""
        self._events.append(event)
        if self._is_reducing:
            return
        self._is_reducing = True
        try:
            while self._events:
                for effect in self.reducer.reduce(self.now, self._events.popleft()):
                    self._carry_out(effect)
        finally:
            self._is_reducing = False

    def accept(self, client_request: ClientRequest) -> None:
        """Take a client's request."""
        scheduled = client_request.scheduled
        request = api.Request(
            len(self._requests) + 1,
            scheduled.kind,
            scheduled.firm.plan,
            scheduled.firm.customer,
            self.now + scheduled.budget_ms - FRONT_MARGIN_MS,
            float(scheduled.units),
            scheduled.firm.spread,
            scheduled.firm.first,
        )
        self._requests[request.request] = client_request
        client_request.sent_at = self._site.timeline.now
        self.dispatch(core.RequestArrived(request, scheduled.call_id))

    # Effects.

    def _carry_out(self, effect: core.Effect) -> None:
        timeline = self._site.timeline
        match effect:
            case core.SendResponse():
                self._send_response(effect)
            case core.StartAttempt():
                self._start_attempt(effect)
            case core.StopAttempt():
                attempt = self._attempts.get((effect.request, effect.attempt))
                if attempt is not None:
                    self.connections.stop(attempt, None)
            case api.Count():
                self._count(effect)
            case api.SetTimer():
                timeline.at(timeline.now + effect.delay, partial(self.dispatch, api.TimerFired(effect.token)))
            case api.Probe():
                self._probe(effect)

    def _send_response(self, effect: core.SendResponse) -> None:
        body = effect.body if effect.kind is core.ResponseKind.SERVED else b""
        answer = Answer(self._site.timeline.now, STATUS[effect.kind], body)
        self._requests[effect.request].answers.append(answer)

    def _start_attempt(self, effect: core.StartAttempt) -> None:
        scheduled = self._requests[effect.request].scheduled
        attempt = Attempt(
            effect.server,
            ("", 0),
            self._site.scenario.shape.kind[scheduled.kind].effect == "once",
            effect.deadline,
            request=effect.request,
            number=effect.attempt,
            scheduled=scheduled,
        )
        self._attempts[effect.request, effect.attempt] = attempt
        time_out = partial(self.connections.stop, attempt, api.Status.TIMEOUT)
        self._site.timeline.at(effect.deadline - EPOCH_MS, time_out)
        self.connections.start(attempt)

    def _on_ended(self, attempt: Attempt, status: api.Status | None, body: bytes) -> None:
        self._attempts.pop((attempt.request, attempt.number), None)
        if status is not None:
            self.dispatch(core.AttemptEnded(attempt.request, attempt.number, status, body=body))

    def _count(self, effect: api.Count) -> None:
        site = self._site
        total = self._totals.add(effect.name, effect.amount)
        site.record.counters["counter_calls"] += 1
        duration_ms = site.scenario.counter.ms
        answer = api.CountAnswer(effect.name, api.Status.OK, total, duration_ms)
        site.timeline.at(site.timeline.now + duration_ms, partial(self.dispatch, answer))

    def _probe(self, effect: api.Probe) -> None:
        site = self._site
        answered_at = site.timeline.now + 2.0 * site.scenario.servers.hop_ms + PROBE_MS
        result = api.ProbeResult(effect.server, api.Status.OK, PROBE_MS, ())
        site.timeline.at(answered_at, partial(self.dispatch, result))
