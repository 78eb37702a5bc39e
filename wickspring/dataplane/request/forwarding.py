"""Forwarding of a request: the choice of an endpoint, an attempt, and what follows its outcome."""

from __future__ import annotations

from functools import partial

from wickspring.common.errors import ErrorKind
from wickspring.common.settings import parse_address
from wickspring.dataplane.endpoint_table import KnownEndpoint
from wickspring.dataplane.policy.attempts import FINAL_RESPONSE_MARGIN_MS, AttemptOutcome
from wickspring.dataplane.policy.endpoint_selection import AttemptResult
from wickspring.dataplane.request.hedging import Hedger
from wickspring.dataplane.request.model import Request, RequestContext
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.request.retry_budgets import RetryBudgets
from wickspring.dataplane.upstream import BufferedResponse, Exchange
from wickspring.interface import Status
from wickspring.net.octets import Headers, field_value, header
from wickspring.net.upstream.exchange import ExchangeResult, FailedExchange

KEEP_ALIVE_SHARE = 0.9  # of the time that an endpoint keeps an idle connection, by its Keep-Alive header
MAX_ATTEMPTS_PER_REQUEST = 16  # spacing of the numbers of attempts

_OUTCOMES = {
    Status.OK: AttemptOutcome.ANSWERED,
    Status.FULL: AttemptOutcome.REJECTED,
    Status.CONNECT_FAILED: AttemptOutcome.UNSENT,
    Status.MOOT: AttemptOutcome.UNSENT,
    Status.TIMEOUT: AttemptOutcome.TIMED_OUT,
    Status.ERROR: AttemptOutcome.ANSWERED,
    Status.CANCELLED: AttemptOutcome.CANCELLED,
}
_ENDPOINT_RESULTS = {
    Status.OK: AttemptResult.SUCCESS,
    Status.FULL: AttemptResult.REJECTED,
    Status.TIMEOUT: AttemptResult.TIMEOUT,
    Status.CANCELLED: AttemptResult.CANCELLED,
    Status.MOOT: AttemptResult.CANCELLED,  # the endpoint was not asked
}


class Forwarder:
    """Sends requests to endpoints."""

    def __init__(self, context: RequestContext, responder: Responder) -> None:
        self._context = context
        self._responder = responder
        self._budgets = RetryBudgets(context)
        self._hedger = Hedger(context, responder, self._budgets, self.send)

    def send_if_ready(self, request: Request) -> None:
        """Send the first attempt once quota is granted and advice on endpoints is received or timed out."""
        attempts = request.attempts
        if request.quota_granted and request.advice is not None and not attempts.sent and not attempts.ended:
            self.send(request)

    def send(self, request: Request) -> None:
        """Send a first or further attempt, or end the request."""
        attempts = request.attempts
        now = self._context.clock.now()
        candidate = self._choose(request, now) if attempts.may_send(now) else None
        if candidate is None or not self._budgets.try_acquire(attempts, now):
            self._responder.give_up(request)
            return
        attempts.start(candidate.endpoint.id)
        number = MAX_ATTEMPTS_PER_REQUEST * request.number + attempts.sent
        exchange = self._exchange(request, candidate, number, now)
        request.exchanges[number] = exchange  # before it starts, as it may end at once
        self._context.upstream.start(exchange)
        if attempts.sent == 1:
            self._hedger.schedule(request)

    def _choose(self, request: Request, now: float) -> KnownEndpoint | None:
        attempts = request.attempts
        advice = () if attempts.sent else request.advice or ()
        return self._context.endpoint_selector.pick(
            now, attempts.service, attempts.route.name, attempts.tried, advice
        )

    def _exchange(self, request: Request, candidate: KnownEndpoint, number: int, now: float) -> Exchange:
        """Return the exchange of an attempt, and have it counted as in flight."""
        context = self._context
        attempts = request.attempts
        endpoint = candidate.endpoint
        context.endpoint_selector.attempt_started(now, candidate, number)
        load_owner = context.load_client.request_started(attempts.service, endpoint.id)
        left_ms = max(1, int(attempts.deadline + FINAL_RESPONSE_MARGIN_MS - now))
        headers = [*request.headers, header("X-Deadline-Ms", str(left_ms))]
        headers.append(("X-Target-Instance", field_value(endpoint.id)))
        return Exchange(
            endpoint.id.encode(),
            parse_address(endpoint.address),
            not attempts.route.idempotent,
            attempts.deadline,
            id=request.id,
            host=request.host,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            body_stream=request.body_stream,
            on_end=partial(self._on_attempt_end, request, candidate, number, load_owner),
            may_stream_body=partial(self._start_body_stream, request),
            on_headers=self._on_response_headers,
            on_stream=partial(self._responder.begin_stream, request, number),
        )

    def _start_body_stream(self, request: Request) -> bool:
        """Let the part of a body go out that is not buffered, after which there is no further attempt."""
        attempts = request.attempts
        attempts.body_streamed = attempts.body_streamed or not attempts.ended
        return not attempts.ended

    def _on_response_headers(self, headers: Headers) -> None:
        """Learn from an endpoint how long it keeps idle connections."""
        _, found, parameter = headers.get("keep-alive", "").partition("timeout=")
        seconds = parameter.split(",")[0].strip() if found else ""
        if seconds.isdecimal() and int(seconds) > 0:
            settings = self._context.upstream.pools.settings
            idle_timeout_ms = 1000.0 * KEEP_ALIVE_SHARE * int(seconds)
            settings.server_idle_timeout_ms = min(settings.server_idle_timeout_ms, idle_timeout_ms)

    def _on_attempt_end(
        self, request: Request, candidate: KnownEndpoint, number: int, load_owner: str, reply: ExchangeResult
    ) -> None:
        """Record how an attempt ended, and go on from there."""
        with self._responder.contain_faults(request):
            outcome = self._record_end(request, candidate, number, load_owner, reply)
            if request.attempts.ended:
                return
            if not request.streaming_attempt:
                self._continue(request, outcome, reply, self._context.clock.now())
            elif request.streaming_attempt == number:  # else another attempt's response ends by itself
                self._responder.end_stream(request, outcome is AttemptOutcome.ANSWERED)

    def _record_end(
        self, request: Request, candidate: KnownEndpoint, number: int, load_owner: str, reply: ExchangeResult
    ) -> AttemptOutcome:
        context = self._context
        attempts = request.attempts
        request.exchanges.pop(number, None)
        outcome = _OUTCOMES.get(reply.status, AttemptOutcome.BROKEN)
        attempts.finish(outcome)
        result = _ENDPOINT_RESULTS.get(reply.status, AttemptResult.FAILURE)
        now = context.clock.now()
        ratio = context.endpoint_selector.attempt_ended(now, candidate, number, attempts.route.name, result)
        if load_owner:
            context.load_client.request_finished(load_owner, candidate.endpoint.id, ratio)
        context.event_counts[f"attempts[{outcome.value}]"] += 1
        return outcome

    def _continue(self, request: Request, outcome: AttemptOutcome, reply: ExchangeResult, now: float) -> None:
        """Deliver a response, try again, or give up."""
        attempts = request.attempts
        if isinstance(reply, FailedExchange):  # a further attempt would fail as well
            if attempts.in_flight == 0:
                self._responder.fail(request, ErrorKind.INTERNAL_FAULT)
            return
        if isinstance(reply, BufferedResponse) and outcome is AttemptOutcome.ANSWERED:
            if reply.code < 500 or not attempts.may_send(now):
                self._responder.deliver(request, reply)
                return
            request.fallback_response = reply
        if attempts.may_send(now):
            self.send(request)
        elif attempts.in_flight == 0:
            self._responder.give_up(request)
