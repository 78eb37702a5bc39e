"""Admission of a request: it is validated, registered, and its quota and advice on endpoints asked for.

Quota and advice are asked for at the same time; the request is forwarded once both are known or timed out.
"""

from __future__ import annotations

from functools import partial

from wickspring.common.messages import EndpointAdvice
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import (
    IncomingRequest,
    Request,
    RequestContext,
    RequestRefusedError,
)
from wickspring.dataplane.request.quota_check import QuotaChecker
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.request.validation import RequestValidator

ADVICE_TIMEOUT_MS = 14.0  # for the control plane to say which endpoints are best
MIN_ADVISED_SHARE = 0.7  # of the endpoints known here that the control plane must know, else it is ignored


class Admission:
    """Admits requests, or refuses them."""

    def __init__(self, context: RequestContext, forwarder: Forwarder, responder: Responder) -> None:
        self._context = context
        self._forwarder = forwarder
        self._responder = responder
        self._quota_checker = QuotaChecker(context, forwarder, responder)
        self._validator = RequestValidator(context)

    def admit(self, incoming: IncomingRequest) -> None:
        """Admit a request and have it forwarded, or refuse it."""
        try:
            request = self._validator.validate(incoming)
        except RequestRefusedError as refusal:
            self._responder.refuse(incoming.client, refusal.kind, self._context.retry_after_ms())
            return
        with self._responder.contain_faults(request):
            self._register(request, incoming)
            self._request_advice(request)
            self._quota_checker.check(request)

    def _register(self, request: Request, incoming: IncomingRequest) -> None:
        context = self._context
        attempts = request.attempts
        context.requests[request.number] = request
        if not attempts.route.idempotent:
            context.non_idempotent_ids.add(request.id)
        incoming.client.request_accepted(request.number, request.wait_ms)
        self._responder.schedule_deadline(request)

    def _request_advice(self, request: Request) -> None:
        """Ask the control plane which endpoints are best, and wait `ADVICE_TIMEOUT_MS` at most."""
        context = self._context
        on_advice = partial(self._on_advice, request)
        number = context.load_client.request_advice(request.attempts.service, on_advice)
        if not number:
            request.advice = []
            return
        due = context.clock.now() + ADVICE_TIMEOUT_MS
        timeout = partial(self._on_advice_timeout, request, number)
        request.cancel_advice_timeout = context.timers.at(due, timeout).cancel

    def _on_advice(self, request: Request, advice: EndpointAdvice) -> None:
        """Use advice, unless the control plane knows too few of the endpoints known here."""
        request.cancel_advice_timeout()
        accepting = self._context.endpoints.accepting.get(request.attempts.service, ())
        is_complete = advice.known_endpoints >= MIN_ADVISED_SHARE * len(accepting)
        request.advice = advice.offers if is_complete else []
        with self._responder.contain_faults(request):
            self._forwarder.send_if_ready(request)

    def _on_advice_timeout(self, request: Request, number: int) -> None:
        self._context.load_client.cancel(number)
        self._context.event_counts["endpoint_selected_locally"] += 1
        request.advice = []
        with self._responder.contain_faults(request):
            self._forwarder.send_if_ready(request)
