"""The one reducer: every change of state of the ingress happens in `Reducer.reduce`.

It owns the decision module, hands it events, and turns its actions into effects. It keeps the few facts that
the rules depend on (which attempts are in flight, which may have run) and holds the module's actions to
them. No I/O, no clock.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from wickspring import interface as api
from wickspring.core.call_ids import CallIds
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
from wickspring.core.pending_request import Attempt, PendingRequest
from wickspring.policy import Policy

OVERDUE_MS = 10.0  # before the deadline, at which a request still open is failed by the sweep


class Reducer:
    """State of one ingress; feed it events, carry out what it returns, in order."""

    def __init__(self, settings: api.Settings, peer_state: api.PeerState | None = None) -> None:
        self.settings = settings
        self.policy = Policy(settings, peer_state)
        self.pending: dict[int, PendingRequest] = {}  # by the request's number
        self.entries: dict[api.ServerId, api.ServerEntry] = {}
        self.counters: Counter[str] = Counter()
        self.call_ids = CallIds()
        self._effects: list[Effect] = []
        self._queue: deque[api.Event] = deque()  # for the decision module
        # Each returns the event for the decision module, if it is to be told one.
        self._event_handlers: dict[type, Callable[[float, Any], api.Event | None]] = {
            AttemptEnded: self._on_attempt_ended,
            RequestArrived: self._on_request_arrived,
            RequestBodyCommitted: self._on_body_committed,
            RequestBodySent: self._on_body_sent,
            ResponseStreamReady: self._on_response_stream_ready,
            SweepDue: self._on_sweep_due,
            api.Request: self._on_request,
            api.ServerList: self._on_server_list,
            api.Withdrawn: self._on_withdrawn,
        }
        self._action_handlers: dict[type, Callable[[float, Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
        }

    def reduce(self, now: float, event: Event) -> list[Effect]:
        """Take one event in and return the effects that it asks for."""
        effects: list[Effect] = []
        self._effects = effects
        handler = self._event_handlers.get(type(event), _pass_through)
        policy_event = handler(now, event)
        if policy_event is not None:
            self._queue.append(policy_event)
        while self._queue:
            # What an action ends at once (a cancelled or moot attempt) is told to the module afterwards.
            for action in self.policy.handle(now, self._queue.popleft()):
                self._perform(now, action)
        return effects

    def may_send(self, server: api.ServerId) -> bool:
        """Tell whether new work may still go to a server; asked again just before the first byte."""
        entry = self.entries.get(server)
        return entry is not None and entry.readiness is api.Readiness.READY

    def owns(self, request: int, attempt: int) -> bool:
        """Tell whether a request that is streamed belongs to this attempt."""
        pending = self.pending.get(request)
        return pending is not None and not pending.answered and attempt in pending.in_flight

    def open_ids(self) -> dict[str, float]:
        """Return the call ids under way, each with the time by which it is answered, ms."""
        return {call_id: self.pending[number].deadline for call_id, number in self.call_ids.open.items()}

    # Events of a request.

    def _on_request(self, now: float, request: api.Request) -> api.Request | None:
        return self._accept(now, request, "")

    def _on_request_arrived(self, now: float, event: RequestArrived) -> api.Request | None:
        return self._accept(now, event.request, event.call_id)

    def _accept(self, now: float, request: api.Request, call_id: str) -> api.Request | None:
        if not check_invariant(request.request not in self.pending, "request number used once"):
            return None
        request_class = self.settings.classes[request.class_index]
        pending = PendingRequest(request, request_class, call_id, deadline=request.deadline)
        self.pending[request.request] = pending
        self.counters["taken"] += 1
        if self.call_ids.is_open(call_id, now):
            # Whoever gives another's id: the first request goes on unharmed, and servers, which know requests
            # by their ids, never see two under one.
            self._respond(pending, ResponseKind.REJECTED)
            return None
        self.call_ids.add(call_id, request.request)
        if call_id in self.call_ids.unrepeatable:
            # Every try of a client has an id of its own, so this is one request sent again on its way here,
            # as HTTP/2 libraries do after a reset. The first may have run, though nobody waits for it now.
            self.counters["sent_again"] += 1
            self._respond(pending, ResponseKind.FAILED)
            return None
        return request

    def _on_withdrawn(self, now: float, event: api.Withdrawn) -> api.Withdrawn | None:
        pending = self.pending.get(event.request)
        if pending is None or pending.answered:
            return None
        if pending.body_committed or pending.streaming_attempt is not None:
            self._cancel_all(now, pending)  # the module leaves what is streamed to the reducer
        self._close(pending, "withdrawn")
        return event

    def _on_body_sent(self, now: float, event: RequestBodySent) -> None:
        pending = self.pending.get(event.request)
        if pending is not None:
            pending.deadline = math.inf if pending.streaming_attempt is not None else event.deadline
            pending.body_sent_at = now

    def _on_body_committed(self, now: float, event: RequestBodyCommitted) -> api.StreamStarted | None:
        pending = self._streamable(event)
        if pending is None:
            return None
        self._cancel_all(now, pending, but=event.attempt)
        is_first = pending.start_streaming()
        pending.body_committed = True
        return self._stream_started(pending, event.attempt) if is_first else None

    def _on_response_stream_ready(self, now: float, event: ResponseStreamReady) -> api.StreamStarted | None:
        pending = self._streamable(event)
        if pending is None:
            return None
        self._cancel_all(now, pending, but=event.attempt)
        is_first = pending.start_streaming()
        pending.streaming_attempt, pending.streaming_since = event.attempt, now
        self._effects.append(StartStreamedResponse(event.request, event.attempt))
        return self._stream_started(pending, event.attempt) if is_first else None

    def _streamable(self, event: RequestBodyCommitted | ResponseStreamReady) -> PendingRequest | None:
        """Return the request that an attempt may take over alone; None where that is too late."""
        pending = self.pending.get(event.request)
        if pending is None or pending.answered or pending.streaming_attempt is not None:
            return None
        return pending if event.attempt in pending.in_flight else None

    def _stream_started(self, pending: PendingRequest, attempt: int) -> api.StreamStarted:
        """Return the event by which the module leaves a request to one attempt."""
        return api.StreamStarted(pending.number, attempt, pending.in_flight[attempt].entry.server)

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> api.Outcome | None:
        pending = self.pending.get(event.request)
        attempt = pending.in_flight.pop(event.attempt, None) if pending is not None else None
        if pending is None or attempt is None:
            return None  # stopped a moment ago; its end has been told
        if not event.status.never_ran:
            pending.may_have_run.append(attempt)
        latency = pending.latency(attempt, now)
        if pending.streaming_attempt == event.attempt and not pending.answered:
            complete = event.status is api.Status.OK
            self._close(pending, "served" if complete else "failed")
            self._effects.append(EndStreamedResponse(event.request, complete))
        elif event.status is api.Status.OK and not pending.answered:
            self._respond(pending, ResponseKind.SERVED, body=event.body)
        answered = pending.answered
        self._forget(pending)
        return api.Outcome(
            event.request,
            event.attempt,
            attempt.entry.server,
            event.status,
            answered,
            latency,
            event.load,
            event.settled_units,
            event.fleet_use,
        )

    # Other events.

    def _on_server_list(self, now: float, event: api.ServerList) -> api.ServerList:
        if event.kind in (api.ListKind.CACHED, api.ListKind.COMPLETE):
            self.entries.clear()
        for entry in event.entries:
            self.entries[entry.server] = entry
            if entry.readiness is api.Readiness.GONE:  # ids come and go all day: what is gone is not kept
                del self.entries[entry.server]
        return event

    def _on_sweep_due(self, now: float, event: SweepDue) -> None:
        """Fail what the module has let run past its time: no client may be left without an answer."""
        self.call_ids.expire(now)
        judged_at = now if event.at is None else event.at
        for pending in list(self.pending.values()):
            if not pending.answered and judged_at > pending.deadline - OVERDUE_MS:
                self._fail_overdue(now, pending)

    def _fail_overdue(self, now: float, pending: PendingRequest) -> None:
        if pending.body_committed:  # the module does not look after it any more
            self._cancel_all(now, pending)
        else:
            check_invariant(False, "answered before the deadline")
        self._respond(pending, ResponseKind.FAILED)
        self._queue.append(api.Withdrawn(pending.number))

    # Actions of the module.

    def _perform(self, now: float, action: api.Action) -> None:
        handler = self._action_handlers.get(type(action), self._pass_on)
        handler(now, action)

    def _pass_on(self, now: float, action: api.SetTimer | api.Probe | api.Count | api.FollowList) -> None:
        self._effects.append(action)

    def _send(self, now: float, send: api.Send) -> None:
        pending = self.pending.get(send.request)
        if pending is None:
            return
        number, entry = pending.sent, self.entries.get(send.server)
        pending.sent += 1
        if entry is None or not self._attempt_allowed(now, pending, number, entry):
            self._report_unsent(pending, number, send.server)
            return
        pending.in_flight[number] = Attempt(entry, now)
        self.counters["attempts"] += 1
        if pending.request_class.effect is api.Effect.UNSAFE:
            until = max(pending.request.deadline, now + pending.request_class.deadline)
            self.call_ids.forbid_repeat(pending.call_id, until)
        deadline = pending.request.deadline
        if send.timeout:
            deadline = min(deadline, now + send.timeout)
        self._effects.append(StartAttempt(send.request, number, send.server, deadline))

    def _attempt_allowed(
        self, now: float, pending: PendingRequest, number: int, entry: api.ServerEntry
    ) -> bool:
        """Hold an attempt to the rules: the module never asks for any other; should it err, none is made."""
        if pending.answered or number >= self.settings.max_attempts or pending.body_committed:
            return False
        may_repeat = pending.may_repeat_on(entry, now, self.settings.parallel_attempts)
        if not check_invariant(may_repeat, "no forbidden copy"):
            return False
        return check_invariant(entry.readiness is api.Readiness.READY, "nothing new to a draining server")

    def _report_unsent(self, pending: PendingRequest, attempt: int, server: api.ServerId) -> None:
        moot, answered = api.Status.MOOT, pending.answered
        self._queue.append(api.Outcome(pending.number, attempt, server, moot, answered, 0.0, (), 0.0, 0))

    def _refuse(self, now: float, action: api.Refuse) -> None:
        pending = self.pending.get(action.request)
        if pending is None or pending.answered:
            return
        if check_invariant(pending.may_refuse(), "refusal of what never ran"):
            self._respond(pending, ResponseKind.REFUSED, action.retry_after)
        else:
            self._respond(pending, ResponseKind.FAILED)
        self._forget(pending)

    def _fail(self, now: float, action: api.Fail) -> None:
        pending = self.pending.get(action.request)
        if pending is not None and not pending.answered:
            self._respond(pending, ResponseKind.FAILED)
            self._forget(pending)

    def _cancel(self, now: float, cancel: api.Cancel) -> None:
        pending = self.pending.get(cancel.request)
        attempt = pending.in_flight.pop(cancel.attempt, None) if pending is not None else None
        if pending is None or attempt is None:
            return
        pending.may_have_run.append(attempt)
        self._effects.append(StopAttempt(cancel.request, cancel.attempt))
        server, elapsed, cancelled = attempt.entry.server, now - attempt.sent_at, api.Status.CANCELLED
        self._queue.append(
            api.Outcome(
                cancel.request, cancel.attempt, server, cancelled, pending.answered, elapsed, (), 0.0, 0
            )
        )
        self._forget(pending)

    def _cancel_all(self, now: float, pending: PendingRequest, but: int | None = None) -> None:
        """Cancel the attempts in flight, all `but` one."""
        for number in [number for number in pending.in_flight if number != but]:
            self._cancel(now, api.Cancel(pending.number, number))

    # Ends.

    def _respond(
        self, pending: PendingRequest, kind: ResponseKind, retry_after: float = 0.0, body: bytes = b""
    ) -> None:
        if check_invariant(not pending.answered, "one final answer"):
            self._close(pending, kind.value)
            self._effects.append(SendResponse(pending.number, kind, retry_after, body))

    def _close(self, pending: PendingRequest, counter: str) -> None:
        pending.answered = True
        self.counters[counter] += 1
        self._forget(pending)

    def _forget(self, pending: PendingRequest) -> None:
        """Drop a request that is answered and has no attempt in flight."""
        if pending.answered and not pending.in_flight:
            self.pending.pop(pending.number, None)
            self.call_ids.remove(pending.call_id, pending.number)


def _pass_through(now: float, event: api.Event) -> api.Event:
    return event
