"""The end of a request: an endpoint's buffered or streamed response, or an error of the data plane's own.

Every request ends exactly once. A status that clients read as "not executed" is returned only where that is
known (`docs/design/answers.md`).
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from wickspring.common.errors import ERROR_RESPONSES, ErrorKind
from wickspring.core.invariants import check_invariant
from wickspring.dataplane.policy.attempts import FINAL_RESPONSE_MARGIN_MS
from wickspring.dataplane.request.model import Request, RequestContext
from wickspring.dataplane.upstream import (
    NOT_EXECUTED_STATUSES,
    SIGNATURE_HEADER,
    BufferedResponse,
    ResponseHead,
    end_to_end_headers,
)
from wickspring.fault_isolation import FaultIsolation, FaultStep, isolate_faults
from wickspring.net.calls import Client, retry_after
from wickspring.net.http1_front import Http1Connection
from wickspring.net.upstream.exchange import ResponseSink


class ErrorMessage(NamedTuple):
    """An error response, as `Client.respond` takes it."""

    status: int
    retry_after: str  # decimal seconds; empty for none
    body: bytes


class ResponseStream:
    """Passes one attempt's long response on to the client, for as long as the client waits for it."""

    __slots__ = ("attempt_number", "client", "request")

    def __init__(self, request: Request, attempt_number: int, client: Http1Connection) -> None:
        self.request = request
        self.attempt_number = attempt_number
        self.client = client

    def _is_current(self) -> bool:
        request = self.request
        if request.client is not self.client or request.attempts.ended:
            return False
        return request.streaming_attempt == self.attempt_number

    def write_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self._is_current():
            return
        is_waiting = self.client.request_number == self.request.number
        if check_invariant(is_waiting, "a streamed response goes to the client that waits for it"):
            self.client.write_body(data)

    async def wait_writable(self) -> bool:
        """Wait until the client has read what was passed on; return False where it has gone."""
        return self._is_current() and await self.client.wait_writable() and self._is_current()


class Responder:
    """Ends requests."""

    def __init__(self, context: RequestContext) -> None:
        self._context = context

    # Responses of endpoints.

    def deliver(self, request: Request, response: BufferedResponse) -> None:
        """Give the client a response as it came, unless it would be read as "not executed"."""
        if response.code in NOT_EXECUTED_STATUSES:
            self.fail(request, ErrorKind.MAY_HAVE_RUN)
            return
        signed = any(name == SIGNATURE_HEADER and value for name, value in response.pairs)
        check_invariant(signed or not 200 <= response.code < 300, "a success is signed")
        client = request.waiting_client()
        if isinstance(client, Http1Connection):
            client.write_response(response.code, "", response.body, end_to_end_headers(response.pairs))
        self._context.event_counts["answered"] += 1
        self._finish(request)
        self._cancel_attempts(request)
        if isinstance(client, Http1Connection):
            client.go_on()

    def begin_stream(self, request: Request, attempt_number: int, head: ResponseHead) -> ResponseSink | None:
        """Begin a response that is longer than what is buffered; None where it cannot be streamed."""
        client = request.waiting_client()
        if request.attempts.ended or request.streaming_attempt or not isinstance(client, Http1Connection):
            return None
        if head.length is None and client.http.their_http_version == b"1.0":
            return None  # without a length, such a client cannot tell a truncated body from a complete one
        request.streaming_attempt = attempt_number
        client.begin_response(head.length, head.status, end_to_end_headers(head.pairs))
        request.cancel_deadline()
        self._cancel_attempts(request, except_number=attempt_number)
        return ResponseStream(request, attempt_number, client)

    def end_stream(self, request: Request, complete: bool) -> None:
        """End a streamed response; the client can tell one that is not complete."""
        client = request.waiting_client()
        if isinstance(client, Http1Connection):
            client.write_end(complete)
        self._finish(request)
        if isinstance(client, Http1Connection):
            client.go_on()

    # Errors.

    def give_up(self, request: Request) -> None:
        """End a request that nothing more can be done for, unless an attempt is still in flight."""
        attempts = request.attempts
        if attempts.in_flight > 0 and self._context.clock.now() < attempts.deadline:
            return
        if request.fallback_response is not None:
            self.deliver(request, request.fallback_response)
            return
        kind = attempts.final_error
        if kind is ErrorKind.NO_SERVER:
            self._refund(request)
        self.fail(request, kind, self._context.retry_after_ms())

    def _refund(self, request: Request) -> None:
        """Give back the unit of quota of a request that has not been executed and never will be."""
        context = self._context
        tenant = request.metered_tenant()
        if tenant is not None and context.quota.refund(context.clock.now(), tenant.name):
            context.quota_client.refund(tenant.name)

    def limit_deadlines(self) -> None:
        """Have all requests in progress end by the time that no later response is given."""
        context = self._context
        latest = context.answers_until - FINAL_RESPONSE_MARGIN_MS
        for request in context.requests.values():
            if request.attempts.deadline > latest:
                request.attempts.deadline = latest
                request.cancel_deadline()
                self.schedule_deadline(request)

    def schedule_deadline(self, request: Request) -> None:
        """Have a request end at its deadline."""
        timer = self._context.timers.at(request.attempts.deadline, partial(self.on_deadline, request))
        request.cancel_deadline = timer.cancel

    def on_deadline(self, request: Request) -> None:
        """End a request whose time is over, unless its response is being streamed."""
        attempts = request.attempts
        if attempts.ended or request.streaming_attempt:
            return
        attempts.timed_out = True
        with self.contain_faults(request):
            self.fail(request, attempts.final_error, self._context.retry_after_ms())

    def fail(self, request: Request, kind: ErrorKind, retry_after_ms: float = 0.0) -> None:
        """End a request with an error."""
        attempts = request.attempts
        not_executed = attempts.not_executed and attempts.in_flight == 0
        truthful = not_executed or ERROR_RESPONSES[kind].status not in NOT_EXECUTED_STATUSES
        if not check_invariant(truthful, "a request that may have run is not refused"):
            kind = ErrorKind.MAY_HAVE_RUN
        client = request.waiting_client()
        if isinstance(client, Http1Connection):
            client.write_response(*self._error_response(kind, retry_after_ms))
        self._finish(request)
        if isinstance(client, Http1Connection):
            client.go_on()
        elif client is not None:
            client.respond(*self._error_response(kind, retry_after_ms))

    def refuse(self, client: Client, kind: ErrorKind, retry_after_ms: float = 0.0) -> None:
        """Send a client an error."""
        client.respond(*self._error_response(kind, retry_after_ms))

    def _error_response(self, kind: ErrorKind, retry_after_ms: float) -> ErrorMessage:
        self._context.event_counts[f"rejected[{kind.value}]"] += 1
        response = ERROR_RESPONSES[kind]
        return ErrorMessage(
            response.status, retry_after(retry_after_ms) if response.has_retry_after else "", b""
        )

    # Faults of this program.

    def contain_faults(self, request: Request) -> FaultIsolation:
        """Contain a fault in a step of a request's handling: it ends the request, with an answer."""
        return isolate_faults(FaultStep.HANDLE_REQUEST, partial(self.abort, request))

    def abort(self, request: Request) -> None:
        """End a request in whose handling this program has failed.

        Its client gets 500, or a reset where its response has begun.
        """
        client = request.waiting_client()
        if client is not None:
            self._context.event_counts[f"rejected[{ErrorKind.INTERNAL_FAULT.value}]"] += 1
            client.fail_request()  # withdraws the request, as when its client leaves
        if request.number in self._context.requests and not request.must_complete():
            self._finish(request)
            self._cancel_attempts(request)

    # Ends.

    def on_client_disconnected(self, number: int) -> None:
        """Forget a client that has gone away: nothing more is sent for it, and its attempts are cancelled.

        An attempt that is not idempotent may end by itself (`Request.must_complete`).
        """
        request = self._context.requests.get(number)
        if request is None:
            return
        request.client = None
        self._context.event_counts["clients_left"] += 1
        request.attempts.client_left = True
        if request.must_complete():
            return
        self._finish(request)
        self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request, except_number: int = 0) -> None:
        """Cancel attempts whose responses nobody wants any more, such as the loser of a hedged request."""
        for number, exchange in list(request.exchanges.items()):
            if number != except_number:
                self._context.upstream.cancel(exchange)

    def _finish(self, request: Request) -> None:
        """Take a request off the books: its response has been written, or nobody waits for one."""
        client = request.waiting_client()
        if isinstance(client, Http1Connection):
            check_invariant(client.has_responded, "a request ends with its response")
        request.attempts.ended = True
        request.cancel_deadline()
        request.cancel_hedge()
        self._context.requests.pop(request.number, None)
        if not request.attempts.route.idempotent:  # an idempotent one may have the id of another in progress
            self._context.non_idempotent_ids.discard(request.id)
        if request.body_stream is not None:
            request.body_stream.close()
