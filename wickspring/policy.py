"""Every decision of an ingress: admission, choice of a server, retries, hedging and final answers.

A state machine without I/O or clock; its settings, events and actions are the types of `interface.py`. All
randomness comes from one generator seeded by the settings, so the same events always give the same actions.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from wickspring import interface as api
from wickspring.interface import LONG_AGO, Effect, Status
from wickspring.quota.counter_calls import CounterCall, CounterCalls
from wickspring.quota.customer_quota import CustomerQuota, new_quota
from wickspring.routing.concurrency_limit import ConcurrencyLimit
from wickspring.routing.retry_budget import RetryBudget
from wickspring.routing.routed_request import DEADLINE_MARGIN_MS
from wickspring.routing.server_selection import ServerSelector
from wickspring.routing.server_table import Server, ServerTable
from wickspring.state import ActiveRequest

QUOTA_TTL_MS = 60_000.0  # unused, after which a customer's state says no more than a new one would
MAX_ASKED_RATIO = 1.5  # use relative to the quota up to which the counter is asked while it is overloaded
ANSWERS_IN_MEAN = 8.0  # of latencies and of the ratio of full answers
FULL_RATIO = 0.1  # of every plan's attempts turned away as full, above which the servers are full

# Attempts without an answer
QUIET_PART = 0.35  # of the target latency, before an attempt is looked into,
QUIET_MEANS = 3.0  # and mean latencies
PROBE_TIMEOUT_MS = 60.0
STALL_MS = 60.0  # by which a timer comes late after a stall of this process
QUEUE_PART = 0.12  # of the target latency: a request that waits longer for a server would be late
CLOCK_ROUNDING_MS = 0.01
LIST_TIMER = -1  # in place of a request's number: ask for the server list again
LIST_RETRIES = 10  # within the time in which a list must be asked for


class Policy:
    """Decides for one gateway. Feed it each event with the time; carry out the actions in order."""

    def __init__(self, settings: api.Settings, peer_state: api.PeerState | None = None) -> None:
        self.settings, self.peer_state = settings, peer_state or api.PeerState()
        self.now = LONG_AGO
        self.random = Random(settings.seed)
        self.quotas: dict[int, CustomerQuota] = {}  # by customer, the longest unused first
        self.counter_calls = CounterCalls(settings.count_timeout)
        self.server_table = ServerTable(settings)
        self.selector = ServerSelector(settings, self.server_table, self.peer_state, self.random)
        self.requests: dict[int, ActiveRequest] = {}
        self.attempts: dict[tuple[int, int], tuple[Server, CustomerQuota]] = {}  # also of answered requests
        self.streams: dict[tuple[int, int], Server] = {}  # attempts whose bytes flow: they use no concurrency
        self.retry_budget = RetryBudget()
        self.full_ratio = [0.0 for _ in settings.plans]  # part of each plan's attempts that were turned away
        self.mean_latency_ms = [0.0 for _ in settings.classes]
        self.timer_token = 0  # of the earliest timer that has been asked for
        self._timer_at = math.inf
        self._due: list[tuple[float, int]] = []  # heap: when to look at a request, and its number
        self._queue: list[
            tuple[float, float, int]
        ] = []  # heap of requests without a server: -value, end, number
        self._actions: list[api.Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.Outcome: self._on_outcome,
            api.CountAnswer: self._on_count,
            api.TimerFired: self._on_timer,
            api.ProbeResult: self._on_probe,
            api.ServerList: self._on_server_list,
            api.StreamStarted: self._on_stream_started,
            api.Withdrawn: self._on_withdrawn,
            api.Avoid: lambda event: self.server_table.eject_until(event.servers),
            api.PeerMessage: lambda _: None,  # ignored: gateways share their counts through the counter
        }

    @property
    def concurrency_limit(self) -> ConcurrencyLimit:
        """The limit on this gateway's attempts in flight."""
        return self.selector.concurrency_limit

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event in and return what to do."""
        self._actions = []
        if self.now == LONG_AGO and self.settings.list_on_request:
            self._actions.append(api.FollowList())
        self.now = now
        self._handlers[type(event)](event)
        if self._due and self._due[0][0] < self._timer_at:  # timers by need: an idle gateway costs nothing
            self._timer_at = self._due[0][0]
            self.timer_token += 1
            self._actions.append(api.SetTimer(self.timer_token, max(0.0, self._timer_at - now)))
        return self._actions

    # Quota: one add per request to the customer's count of the window; refusal when the quota is spent.

    def _on_request(self, request: api.Request) -> None:
        quota = self._quota_of(request)
        request_class = self.settings.classes[request.class_index]
        active = ActiveRequest(request, request_class, quota=quota, arrived_at=self.now)
        self.requests[request.request] = active
        self.retry_budget.earn(self.concurrency_limit.slow)
        quota.last_units = request.units
        self.counter_calls.record_request(request.units)
        quota.refill(self.now)
        peer_usage = self.peer_state.peer_usage
        quota.record_peer_usage(
            peer_usage(quota.customer, quota.window), peer_usage(quota.customer, quota.window - 1)
        )
        self._drop_unused_quotas()
        if request.deadline - self.now < 2 * DEADLINE_MARGIN_MS:
            self._refuse(active)  # nothing could be answered in what is left
            return
        heappush(self._due, (request.deadline - DEADLINE_MARGIN_MS, request.request))
        if self.settings.may_count and quota.must_read_previous(request.units):
            self._call_counter(CounterCall(quota, quota.window - 1, 0.0))
        self._decide(active)

    def _quota_of(self, request: api.Request) -> CustomerQuota:
        quota = self.quotas.pop(request.customer, None)
        budget = self.peer_state.concurrency_budget
        quota = quota or new_quota(request, self.settings, self.now, budget(request))
        self.quotas[request.customer] = quota
        return quota

    def _drop_unused_quotas(self) -> None:
        while (oldest := next(iter(self.quotas.values()))).updated_at < self.now - QUOTA_TTL_MS:
            del self.quotas[oldest.customer]

    def _decide(self, active: ActiveRequest) -> None:
        """Admit or refuse a request, or ask the counter first."""
        quota, units = active.quota, active.request.units
        if quota.plan.rate <= 0:
            if quota.ceiling.available(False) >= units:
                self._admit(active)
            else:
                self._refuse(active)
        elif self._is_spent(quota, units):
            self._refuse(active)
        elif self.settings.may_count and self.random.random() < (
            probability := self.counter_calls.probability_for(quota)
        ):
            self._ask_counter(active, probability)
        elif self._decide_without_counter(active):
            quota.unreported += units  # added with the next call

    def _is_spent(self, quota: CustomerQuota, units: float) -> bool:
        """Tell whether to refuse without a call: a burst of requests must not overload the counter.

        The quota is spent if by what is being asked for, or is far exceeded while the counter is overloaded.
        """
        if quota.available(True) - quota.pending < units:
            return True
        return self.counter_calls.probability < 1.0 and self._is_over_quota(quota, MAX_ASKED_RATIO)

    def _is_over_quota(self, quota: CustomerQuota, ratio: float) -> bool:
        """Tell at random whether a request is beyond `ratio` times a quota that was exceeded of late."""
        recent = quota.recent_usage_ratio(self.now)
        return recent > ratio and self.random.random() > ratio / recent

    def _ask_counter(self, active: ActiveRequest, probability: float) -> None:
        quota, units = active.quota, active.request.units
        active.awaiting_count = True
        # Of many gateways each call stands for those not made too: the next one from here would come too
        # late.
        amount = units / probability if quota.windows.flat else units + quota.unreported
        quota.unreported = 0.0
        self._call_counter(CounterCall(quota, quota.window, amount, active.request.request, units))

    def _call_counter(self, call: CounterCall) -> None:
        self._actions.append(self.counter_calls.start(call))

    def _on_count(self, answer: api.CountAnswer) -> None:
        call = self.counter_calls.finish(answer.name)
        if call is None:
            return
        call.quota.refill(self.now)
        self.counter_calls.adapt(self.now, answer)
        self._record_count(call, answer)
        active = self.requests.get(call.request)
        if active is not None and active.awaiting_count:
            active.awaiting_count = False
            self._decide_by_count(active, call, answer)

    def _record_count(self, call: CounterCall, answer: api.CountAnswer) -> None:
        quota, counted = call.quota, answer.status is Status.OK
        if call.window == quota.window and counted:
            quota.record_total(self.now, call.amount, answer.total)
        elif call.window == quota.window and answer.status.never_ran:
            quota.unreported += call.amount
        elif call.window == quota.window - 1 and counted:
            quota.ceiling.finish_previous(answer.total, call.amount)

    def _decide_by_count(self, active: ActiveRequest, call: CounterCall, answer: api.CountAnswer) -> None:
        quota, units = active.quota, active.request.units
        exact = call.window == quota.window and not quota.windows.flat  # totals of flat ones are estimates
        if answer.status is not Status.OK:
            self._decide_without_counter(active)
            return
        if quota.available(exact) >= units:
            self._admit(active, exact)
            return
        # A refused request takes nothing from the quota: its units come off again, at once or with a later
        # call.
        if exact:
            quota.unreported -= units
        if self.counter_calls.probability >= 1.0 and quota.unreported < 0.0:
            self._call_counter(CounterCall(quota, quota.window, quota.unreported))
            quota.unreported = 0.0
        self._refuse(active)

    def _decide_without_counter(self, active: ActiveRequest) -> bool:
        """Admit by the own share of the quota, less for a customer that was seen to exceed it.

        Where all peers of the customer's set report what they forward, by what these have left.
        """
        quota, units = active.quota, active.request.units
        if self.peer_state.receives_all_counts(self.now, quota.first_gateway, quota.spread):
            quota.peers_received_at = self.now
            fits = quota.available(False) >= units
        else:
            fits = quota.available_locally() >= units and not self._is_over_quota(quota, 1.0)
        if fits:
            return self._admit(active)
        self._refuse(active)
        return False

    def _admit(self, active: ActiveRequest, counted: bool = False) -> bool:
        quota, units = active.quota, active.request.units
        if self._at_concurrency_cap(quota):
            self._refuse(active)
            return False
        quota.spend(units, counted)
        window_end = self.now + quota.window_left
        self.peer_state.record_usage(
            quota.customer, quota.window, units, window_end, quota.first_gateway, quota.spread
        )
        self._send(active)
        return True

    def _at_concurrency_cap(self, quota: CustomerQuota) -> bool:
        if quota.concurrency_budget:
            return not self.peer_state.may_take(self.now, quota.concurrency_budget)
        return quota.at_concurrency_cap(self.now)

    # Attempts and final answers.

    def _send(self, active: ActiveRequest) -> None:
        """Make the next attempt, or have the request wait for a server."""
        budget = active.quota.concurrency_budget
        more = len(active.attempted) < self.settings.max_attempts
        server = None
        if more and self.peer_state.may_take(self.now, budget):
            server = self.selector.choose(self.now, active, len(self.attempts))
        if server is not None:
            self._start_attempt(active, server)
        elif active.request.repeat and not active.attempted:
            self._refuse(active)  # first tries before a client's repeats, while the limit is reached
        elif not active.in_flight and not active.queued:
            self._enqueue(active)

    def _start_attempt(self, active: ActiveRequest, server: Server) -> None:
        number, attempt = active.request.request, len(active.attempted)
        active.attempted.append(server.entry.server)
        active.queued, active.last_sent_at, active.probed_at = False, self.now, None
        active.in_flight[attempt] = server
        self.attempts[number, attempt] = server, active.quota
        if active.may_have_run_on is None:
            active.may_have_run_on, active.may_have_run_at = server, self.now
        server.latency.attempt_started(self.now, server.in_flight)
        server.in_flight += 1
        server.send_order.add((number, attempt), self.selector.work(active))
        active.quota.in_flight.add(self.now, 1)
        self.peer_state.take(self.now, active.quota.concurrency_budget)
        heappush(self._due, (self.now + self._quiet_time(active), number))
        self._actions.append(api.Send(number, server.entry.server, 0.0))

    def _enqueue(self, active: ActiveRequest) -> None:
        active.queued = True
        until = max(self.now, self._queue_end(active))
        heappush(self._queue, (-active.request_class.value, until, active.request.request))
        heappush(self._due, (until, active.request.request))

    def _queue_end(self, active: ActiveRequest) -> float:
        return active.arrived_at + QUEUE_PART * active.request_class.target_latency

    def _serve_queue(self) -> None:
        """Send what waits, the most valuable first, then the most urgent."""
        while self._queue:
            active = self.requests.get(heappop(self._queue)[2])
            if active is not None and active.queued:
                active.queued = False
                self._send(active)
                if active.queued:
                    return

    def _quiet_time(self, active: ActiveRequest) -> float:
        """Return for how long an attempt may go unanswered before it is looked into, ms."""
        request = active.request
        target = min(active.request_class.target_latency, request.deadline - active.arrived_at)
        of_size = self.selector.latency_by_size.mean(request.units)
        usual = max(self.mean_latency_ms[request.class_index], of_size)
        return max(QUIET_PART * target, QUIET_MEANS * usual)

    def _on_outcome(self, outcome: api.Outcome) -> None:
        key = outcome.request, outcome.attempt
        answered = outcome.status is Status.OK
        server = self.streams.pop(key, None) or self._end_attempt(key, answered)
        if server is None:
            return
        self._record_health(server, outcome.status)
        active = self.requests.get(outcome.request)
        if active is None:
            return
        if answered or outcome.status is Status.CANCELLED:
            latency = outcome.elapsed / active.request_class.target_latency
            self.selector.record_attempt(self.now, server, latency, answered)
        active.in_flight.pop(outcome.attempt, None)
        active.outcome_unknown |= not outcome.status.never_ran
        if not active.in_flight and not active.outcome_unknown:
            active.may_have_run_on = None
        self._record_by_class(active, server, outcome)
        if outcome.over:
            self._end(active)
            self._settle(active, outcome)
        elif not active.in_flight:
            self._retry(active, outcome.status)
        self._serve_queue()

    def _end_attempt(self, key: tuple[int, int], answered: bool = False) -> Server | None:
        """Count an attempt as in flight no longer, `answered` or not."""
        server, quota = self.attempts.pop(key, (None, None))
        if server is not None and quota is not None:
            server.in_flight -= 1
            server.send_order.remove(key, answered)
            quota.in_flight.add(self.now, -1)
            self.peer_state.release(self.now, quota.concurrency_budget)
            server.latency.attempt_ended(self.now)
        return server

    def _settle(self, active: ActiveRequest, outcome: api.Outcome) -> None:
        """Add what an answer has used beyond, or less than, the units of its request."""
        settings, quota = self.settings, active.quota
        if outcome.status is not Status.OK or outcome.settled_units <= 0:
            return
        if settings.settles_later and settings.may_count:
            difference = outcome.settled_units - active.request.units
            self._call_counter(CounterCall(quota, quota.window, difference))

    def _retry(self, active: ActiveRequest, status: Status) -> None:
        """Try once more where class, budget and time allow; else give the final answer."""
        late = self.now >= active.request.deadline - DEADLINE_MARGIN_MS
        if late or len(active.attempted) >= self.settings.max_attempts:
            self._give_up(active)
        elif status is Status.CONNECT_FAILED or self._take_retry():  # a failed connection loads no server
            self._send(active)
        else:
            self._give_up(active)

    def _take_retry(self) -> bool:
        """Take a further attempt out of the budget here, and out of that of all gateways."""
        if self.retry_budget.balance < 1.0 or not self.peer_state.take(self.now, "retries"):
            return False
        self.retry_budget.balance -= 1.0
        return True

    def _give_up(self, active: ActiveRequest) -> None:
        if active.may_refuse():
            self._refuse(active)
        else:
            self._actions.append(api.Fail(active.request.request))
            self._end(active)

    def _refuse(self, active: ActiveRequest) -> None:
        self._actions.append(api.Refuse(active.request.request, active.quota.window_left))
        self._end(active)

    def _end(self, active: ActiveRequest) -> None:
        del self.requests[active.request.request]
        if not active.streaming:
            self._cancel(active)

    def _cancel(self, active: ActiveRequest) -> None:
        if self.settings.may_cancel:
            number = active.request.request
            self._actions += [api.Cancel(number, attempt) for attempt in active.in_flight]

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        """Leave a request to its stream: no deadline, no further attempts, no part of the limit."""
        active = self.requests.get(event.request)
        if active is None:
            return
        active.streaming = True
        key = event.request, event.attempt
        server = self._end_attempt(key)
        if server is not None:
            self.streams[key] = server
            self._serve_queue()  # the next outcome may come late

    def _on_withdrawn(self, event: api.Withdrawn) -> None:
        active = self.requests.get(event.request)
        if active is not None:
            self._end(active)

    # Health: what is seen of each server.

    def _on_server_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            heappush(self._due, (self.now + self.settings.list_ask_within / LIST_RETRIES, LIST_TIMER))
            return
        self.server_table.update(event)
        self._serve_queue()

    def _record_health(self, server: Server, status: Status) -> None:
        """Eject a server that fails; cancelled attempts say nothing."""
        if status in (Status.CANCELLED, Status.MOOT):
            return
        if status is Status.FULL:
            server.last_received_at = self.now
            return
        success = status is Status.OK
        self.peer_state.record_outcome(self.now, server.entry.server, server.entry.started_at, success)
        if success:
            server.record_success(self.now)
        else:
            server.eject(self.now)

    def _record_by_class(self, active: ActiveRequest, server: Server, outcome: api.Outcome) -> None:
        """Learn by class and plan: a server may serve others well and fail for one class or plan."""
        if outcome.status is Status.FULL:
            self._record_full(active, server)
        elif outcome.status is Status.OK:
            self._record_success(active, server, outcome.elapsed)

    def _record_full(self, active: ActiveRequest, server: Server) -> None:
        plan = active.request.plan_index
        self.full_ratio[plan] += (1.0 - self.full_ratio[plan]) / ANSWERS_IN_MEAN
        server.eject_plan(plan, self.now)
        if min(self.full_ratio) > FULL_RATIO:  # full for one plan alone is that plan's throttle
            self._record_target_missed()

    def _record_success(self, active: ActiveRequest, server: Server, elapsed: float) -> None:
        index, plan = active.request.class_index, active.request.plan_index
        self.full_ratio[plan] += (0.0 - self.full_ratio[plan]) / ANSWERS_IN_MEAN
        latency = elapsed / active.request_class.target_latency
        self.selector.record_latency(self.now, latency, len(self.attempts))
        server.ejected_for.pop(index, None)
        server.last_success_at[index] = self.now
        self.selector.latency_by_size.record(active.request.units, elapsed)
        self.mean_latency_ms[index] += (elapsed - self.mean_latency_ms[index]) / ANSWERS_IN_MEAN

    def _record_target_missed(self) -> None:
        self.selector.record_latency(self.now, 1.0, len(self.attempts))

    def _on_probe(self, result: api.ProbeResult) -> None:
        server = self.server_table.servers.get(result.server)
        if server is not None and result.status in (Status.OK, Status.FULL):
            server.last_received_at = self.now  # its load report is ignored: it is late

    def _on_timer(self, timer: api.TimerFired) -> None:
        if timer.token != self.timer_token:
            return
        stalled = self.now - self._timer_at > STALL_MS
        self._timer_at = math.inf
        while self._due and self._due[0][0] <= self.now + CLOCK_ROUNDING_MS:
            number = heappop(self._due)[1]
            if number == LIST_TIMER:
                self._actions.append(api.FollowList())
            active = self.requests.get(number)
            if active is not None and not active.streaming:
                self._check_due(active, stalled)

    def _check_due(self, active: ActiveRequest, stalled: bool) -> None:
        """Look at a request that is due; after a stall of this process, once late events are read."""
        if self.now >= active.request.deadline - DEADLINE_MARGIN_MS:
            if active.in_flight:  # no answer within the client's time tells of latency as an answer does
                self._record_target_missed()
            self._give_up(active)
        elif stalled:
            heappush(self._due, (self.now + DEADLINE_MARGIN_MS, active.request.request))
        elif active.queued and self.now >= self._queue_end(active):
            self._give_up(active)
        elif active.in_flight:
            self._check_quiet(active)

    def _check_quiet(self, active: ActiveRequest) -> None:
        """Hedge or move a request whose last attempt is unanswered, where its class allows it to run again.

        With parallel attempts that is a hedged request (Dean and Barroso, "The Tail at Scale", 2013).
        """
        quiet_time = self._quiet_time(active)
        if active.probed_at is None and self.now < active.last_sent_at + quiet_time:
            return  # a later attempt has a timer of its own
        server = list(active.in_flight.values())[-1]
        class_index = active.request.class_index
        if self._response_lost(active, server):
            self._repeat_lost(active)
        elif server.last_success_at.get(class_index, LONG_AGO) > active.last_sent_at:
            self._check_again(active, quiet_time)  # busy, not down: a copy would load it more
        elif self.settings.parallel_attempts:
            server.eject_class(class_index, self.now)  # it may serve others, but not this class
            if self._may_move(active) and self._take_retry():
                self._send(active)
        else:
            self._check_liveness(active, server, quiet_time)

    def _may_move(self, active: ActiveRequest) -> bool:
        return active.request_class.effect is not Effect.UNSAFE and self.retry_budget.balance >= 1.0

    def _response_lost(self, active: ActiveRequest, server: Server) -> bool:
        """Tell whether a request may run again and its response is lost, the server being well."""
        if not server.send_order.is_overtaken((active.request.request, max(active.in_flight))):
            return False
        waited_ms = self.now - active.last_sent_at
        overdue = self.selector.latency_by_size.overdue(active.request.units, waited_ms)
        return overdue and self._may_move(active)

    def _repeat_lost(self, active: ActiveRequest) -> None:
        if not self.settings.parallel_attempts:
            self._cancel(active)
        elif self._take_retry():
            self._send(active)

    def _check_liveness(self, active: ActiveRequest, server: Server, quiet_time: float) -> None:
        """Probe a server that has not answered; move the request if it is down."""
        probed_at = active.probed_at
        if probed_at is None and self.settings.may_probe and self.peer_state.take(self.now, "probes"):
            active.probed_at = self.now
            self._actions.append(api.Probe(server.entry.server))
            self._check_again(active, PROBE_TIMEOUT_MS)
        elif server.last_received_at >= (probed_at or active.last_sent_at):
            active.probed_at = None  # up, and slow: moving the work would do it twice
            self._check_again(active, quiet_time)
        else:
            server.eject(self.now)
            if self._may_move(active):
                self._cancel(active)

    def _check_again(self, active: ActiveRequest, after_ms: float) -> None:
        heappush(self._due, (self.now + after_ms, active.request.request))
