"""The one reducer: every change of state of the ingress happens in `Reducer.reduce`.

It owns the decision module, hands it events, and turns its actions into effects. It keeps the few facts
that the rules hang on (which attempts are out, which may have run) and holds the module's actions to them.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from wickspring import interface as api
from wickspring.core.effects import (
    AttemptEnded,
    Effect,
    EndStreamedResponse,
    Event,
    RequestArrived,
    RequestBodyCommitted,
    RequestBodySent,
    ResponseKind,
    ResponseStreamReady,
    SendResponse,
    StartAttempt,
    StartStreamedResponse,
    StopAttempt,
    SweepDue,
)
from wickspring.core.invariants import check_invariant
from wickspring.policy import Policy

OVERDUE = 10.0  # ms before the deadline at which a request still open is failed by the sweep


@dataclass(slots=True)
class Attempt:
    """An attempt that is out."""

    entry: api.ServerEntry
    sent_at: float


@dataclass(slots=True)
class Pending:
    """A request that still waits for its final answer, or whose attempts are still out."""

    request: api.Request
    kind: api.ClassSettings
    call_id: str = ""
    sent: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    ran: list[Attempt] = field(default_factory=list)  # ended, and may have run
    over: bool = False
    until: float = 0.0  # by when it is to be answered; no time while bytes of it flow
    flows: bool = False  # what is not held of its body has been taken: no further attempt
    whole_at: float = 0.0  # when the last byte of a long body was written
    passes: int | None = None  # the attempt whose answer is being passed on,
    passes_from: float = 0.0  # since when

    def first_exposed(self) -> Attempt | None:
        """Return the earliest attempt that may have run or may yet."""
        return min([*self.ran, *self.out.values()], key=lambda attempt: attempt.sent_at, default=None)

    def may_refuse(self) -> bool:
        """Tell whether a refusal, which says that asking again is harmless, would be true."""
        if self.kind.effect is api.Effect.SAFE or not (self.ran or self.out):
            return True
        return self.kind.effect is api.Effect.KEYED and self.kind.group is api.Group.ALL


class Reducer:
    """State of one ingress; feed it events, carry out what it returns, in order."""

    def __init__(self, settings: api.Settings, shared: api.PeerState | None = None) -> None:
        self.settings = settings
        self.policy = Policy(settings, shared)
        self.pending: dict[int, Pending] = {}
        self.entries: dict[api.ServerId, api.ServerEntry] = {}
        self.counters: Counter[str] = Counter()
        self._open: dict[str, int] = {}  # call ids of pending requests
        self._unsafe: dict[str, float] = {}  # call ids that may have run and must not again, until when
        self._elsewhere: dict[str, float] = {}  # call ids under way at the process before this, until when
        self._effects: list[Effect] = []
        self._queue: deque[api.Event] = deque()

    def reduce(self, now: float, event: Event) -> list[Effect]:
        """Take one event in and return the effects that it asks for."""
        effects: list[Effect] = []
        self._effects = effects
        if isinstance(event, SweepDue):
            self._sweep(now)
        else:
            noted = self._note(now, event)
            if noted is not None:
                self._queue.append(noted)
        while self._queue:
            # What an action ends at once (a cancelled or moot attempt) is told to the module afterwards.
            for action in self.policy.handle(now, self._queue.popleft()):
                self._act(now, action)
        return effects

    def may_send(self, server: api.ServerId) -> bool:
        """Tell whether new work may still go to a server; asked again just before the first byte."""
        entry = self.entries.get(server)
        return entry is not None and entry.readiness is api.Readiness.READY

    @property
    def waiting(self) -> int:
        """How many requests are owed a final answer."""
        return sum(not pending.over for pending in self.pending.values())

    # Between two processes of one ingress.

    def open_ids(self) -> dict[str, float]:
        """Return the call ids under way, each with the time by which it is answered."""
        return {name: self.pending[number].until for name, number in self._open.items()}

    def spent_ids(self) -> dict[str, float]:
        """Return the call ids that may have run and must not again, and until when."""
        return self._unsafe

    def adopt_ids(self, under_way: dict[str, float], spent: dict[str, float]) -> None:
        """Take note of the ids of the process before this one, which answers those under way itself."""
        self._elsewhere.update(under_way)
        for name, until in spent.items():
            self._unsafe[name] = max(until, self._unsafe.get(name, 0.0))

    # Events: note what the rules hang on, then let the module decide.

    def _note(
        self,
        now: float,
        event: api.Event
        | RequestArrived
        | RequestBodyCommitted
        | RequestBodySent
        | ResponseStreamReady
        | AttemptEnded,
    ) -> api.Event | None:
        if isinstance(event, AttemptEnded):
            return self._ended(now, event)
        if isinstance(event, RequestBodyCommitted | ResponseStreamReady):
            return self._streams(now, event)
        if isinstance(event, RequestBodySent):
            held = self.pending.get(event.request)
            if held is not None:
                held.until = math.inf if held.passes is not None else event.deadline
                held.whole_at = now
            return None
        if isinstance(event, RequestArrived):
            return self._arrived(now, event.request, event.call_id)
        if isinstance(event, api.Request):
            return self._arrived(now, event, "")
        if isinstance(event, api.Withdrawn):
            pending = self.pending.get(event.request)
            if pending is None or pending.over:
                return None
            if pending.flows or pending.passes is not None:  # the module leaves what streams to the core
                for number in list(pending.out):
                    self._stop(now, api.Cancel(event.request, number))
            self._close(pending, "withdrawn")
        elif isinstance(event, api.ServerList):
            self._list(event)
        return event

    def _streams(
        self, now: float, event: RequestBodyCommitted | ResponseStreamReady
    ) -> api.StreamStarted | None:
        """Give a request over to one attempt: the others stop, and the module leaves it alone."""
        pending = self.pending.get(event.request)
        if pending is None or pending.over or event.attempt not in pending.out or pending.passes is not None:
            return None
        first = not pending.flows
        for number in [number for number in pending.out if number != event.attempt]:
            self._stop(now, api.Cancel(event.request, number))
        pending.until = math.inf
        if isinstance(event, RequestBodyCommitted):
            pending.flows = True
        else:
            pending.passes, pending.passes_from = event.attempt, now
            self._effects.append(StartStreamedResponse(event.request, event.attempt))
        server = pending.out[event.attempt].entry.server
        return api.StreamStarted(event.request, event.attempt, server) if first else None

    def owns(self, request: int, attempt: int) -> bool:
        """Tell whether a request that streams belongs to this attempt."""
        pending = self.pending.get(request)
        return pending is not None and not pending.over and attempt in pending.out

    def _arrived(self, now: float, request: api.Request, call_id: str) -> api.Request | None:
        if not check_invariant(request.request not in self.pending, "request number used once"):
            return None
        kind = self.settings.classes[request.class_index]
        pending = Pending(request, kind, call_id, until=request.deadline)
        self.pending[request.request] = pending
        self.counters["taken"] += 1
        if call_id in self._open or self._elsewhere.get(call_id, 0.0) > now:
            # Whoever says another's id: what was asked first goes on unharmed, and ticket servers, which know
            # requests by their ids, never see two under one.
            self._answer(pending, ResponseKind.REJECTED)
            return None
        if call_id:
            self._open[call_id] = request.request
        if call_id in self._unsafe:
            # Every try of a client has an id of its own, so this is one request sent again on its way here,
            # as HTTP/2 libraries do after a reset. The first may have run, though nobody waits for it now.
            self.counters["sent_again"] += 1
            self._answer(pending, ResponseKind.FAILED)
            return None
        return request

    def _list(self, event: api.ServerList) -> None:
        if event.kind in (api.ListKind.CACHED, api.ListKind.COMPLETE):
            self.entries.clear()
        for entry in event.entries:
            self.entries[entry.server] = entry
            if entry.readiness is api.Readiness.GONE:  # ids come and go all day: what is gone is not kept
                del self.entries[entry.server]

    def _ended(self, now: float, event: AttemptEnded) -> api.Outcome | None:
        pending = self.pending.get(event.request)
        attempt = pending.out.pop(event.attempt, None) if pending is not None else None
        if pending is None or attempt is None:
            return None  # stopped a moment ago; its end has been told
        if not event.status.never_ran:
            pending.ran.append(attempt)
        elapsed = (pending.passes_from or now) - max(attempt.sent_at, pending.whole_at)
        if pending.passes == event.attempt and not pending.over:
            whole = event.status is api.Status.OK
            self._close(pending, "served" if whole else "failed")
            self._effects.append(EndStreamedResponse(event.request, whole))
        elif event.status is api.Status.OK and not pending.over:
            self._answer(pending, ResponseKind.SERVED, body=event.body)
        over = pending.over
        self._forget(pending)
        return api.Outcome(
            event.request,
            event.attempt,
            attempt.entry.server,
            event.status,
            over,
            max(0.0, elapsed),
            event.load,
            event.settled_units,
            event.fleet_use,
        )

    def _sweep(self, now: float) -> None:
        """Fail what the module has let run past its time: the client must never be left without."""
        while self._unsafe and next(iter(self._unsafe.values())) < now:  # about in order of time
            del self._unsafe[next(iter(self._unsafe))]
        if self._elsewhere and max(self._elsewhere.values()) < now:
            self._elsewhere.clear()
        for pending in list(self.pending.values()):
            if not pending.over and now > pending.until - OVERDUE:
                if pending.flows:  # the module does not look after it any more
                    for number in list(pending.out):
                        self._stop(now, api.Cancel(pending.request.request, number))
                else:
                    check_invariant(False, "answered before the deadline")
                self._answer(pending, ResponseKind.FAILED)
                self._queue.append(api.Withdrawn(pending.request.request))

    # Actions of the module.

    def _act(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(now, action)
        elif isinstance(action, api.Refuse | api.Fail):
            pending = self.pending.get(action.request)
            if pending is None or pending.over:
                return
            if isinstance(action, api.Refuse) and check_invariant(
                pending.may_refuse(), "refusal of what never ran"
            ):
                self._answer(pending, ResponseKind.REFUSED, action.retry_after)
            else:
                self._answer(pending, ResponseKind.FAILED)
            self._forget(pending)
        elif isinstance(action, api.Cancel):
            self._stop(now, action)
        else:
            self._effects.append(action)

    def _send(self, now: float, send: api.Send) -> None:
        pending = self.pending.get(send.request)
        if pending is None:
            return
        number, entry = pending.sent, self.entries.get(send.server)
        pending.sent += 1
        # The module never asks for any of these; should it err, the attempt is not made.
        if (
            entry is None
            or pending.over
            or number >= self.settings.most_attempts
            or pending.flows
            or not check_invariant(self._may_repeat(now, pending, entry), "no forbidden copy")
            or not check_invariant(entry.readiness is api.Readiness.READY, "nothing new to a draining server")
        ):
            moot, over = api.Status.MOOT, pending.over
            self._queue.append(api.Outcome(send.request, number, send.server, moot, over, 0.0, (), 0.0, 0))
            return
        pending.out[number] = Attempt(entry, now)
        self.counters["attempts"] += 1
        if pending.kind.effect is api.Effect.UNSAFE and pending.call_id:
            self._unsafe[pending.call_id] = max(pending.request.deadline, now + pending.kind.deadline)
        until = pending.request.deadline
        until = min(until, now + send.timeout) if send.timeout else until
        self._effects.append(StartAttempt(send.request, number, send.server, until))

    def _may_repeat(self, now: float, pending: Pending, entry: api.ServerEntry) -> bool:
        first, kind = pending.first_exposed(), pending.kind
        if first is None:
            return True
        if pending.out and not self.settings.parallel_attempts:
            return False
        if kind.effect is not api.Effect.KEYED:
            return kind.effect is api.Effect.SAFE
        if now > first.sent_at + kind.repeat_window:
            return False
        if kind.group is api.Group.ZONE:
            return entry.zone == first.entry.zone
        return kind.group is api.Group.ALL or entry.cell == first.entry.cell

    def _stop(self, now: float, cancel: api.Cancel) -> None:
        pending = self.pending.get(cancel.request)
        attempt = pending.out.pop(cancel.attempt, None) if pending is not None else None
        if pending is None or attempt is None:
            return
        pending.ran.append(attempt)
        self._effects.append(StopAttempt(cancel.request, cancel.attempt))
        server, spent = attempt.entry.server, now - attempt.sent_at
        self._queue.append(
            api.Outcome(
                cancel.request, cancel.attempt, server, api.Status.CANCELLED, pending.over, spent, (), 0.0, 0
            )
        )
        self._forget(pending)

    # Ends.

    def _answer(
        self, pending: Pending, kind: ResponseKind, retry_after: float = 0.0, body: bytes = b""
    ) -> None:
        if check_invariant(not pending.over, "one final answer"):
            self._close(pending, kind.value)
            self._effects.append(SendResponse(pending.request.request, kind, retry_after, body))

    def _close(self, pending: Pending, word: str) -> None:
        pending.over = True
        self.counters[word] += 1
        self._forget(pending)

    def _forget(self, pending: Pending) -> None:
        if pending.over and not pending.out:
            self.pending.pop(pending.request.request, None)
            if self._open.get(pending.call_id) == pending.request.request:
                del self._open[pending.call_id]
