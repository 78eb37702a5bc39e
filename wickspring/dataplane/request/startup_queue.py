"""Requests that come before the first configuration and the first endpoints do: they wait for a moment."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from wickspring.common.errors import ErrorKind
from wickspring.dataplane.request.model import IncomingRequest, RequestContext
from wickspring.dataplane.request.response import Responder

STARTUP_MS = 3000.0  # since the start of the process, in which requests may wait
MAX_WAIT_MS = 180.0  # for each of them


class StartupQueue:
    """Holds requests until it is known where requests go."""

    def __init__(
        self, context: RequestContext, responder: Responder, admit: Callable[[IncomingRequest], None]
    ) -> None:
        self._context = context
        self._responder = responder
        self._admit = admit
        self._started_at = context.clock.now()
        self._waiting: dict[int, IncomingRequest] = {}

    def enqueue(self, incoming: IncomingRequest) -> None:
        """Have a request wait; refuse it where the process has been up for long, or its body is long."""
        context = self._context
        if context.clock.now() - self._started_at > STARTUP_MS or incoming.body_stream is not None:
            self._refuse(incoming)
            return
        number = context.next_number()
        incoming.client.request_accepted(number, STARTUP_MS)
        incoming.headers = dict(incoming.headers)
        self._waiting[number] = incoming
        context.timers.at(context.clock.now() + MAX_WAIT_MS, partial(self._on_timeout, number))

    def admit_waiting(self) -> None:
        """Admit all waiting requests if it is known by now where requests go."""
        if not self._context.can_route():
            return
        for number in list(self._waiting):
            incoming = self._waiting.pop(number, None)
            if incoming is not None:
                self._admit(incoming)

    def on_client_disconnected(self, number: int) -> None:
        """Forget a request whose client has gone away."""
        self._waiting.pop(number, None)

    def _on_timeout(self, number: int) -> None:
        incoming = self._waiting.pop(number, None)
        if incoming is None:
            return
        if self._context.can_route():
            self._admit(incoming)
        else:
            self._refuse(incoming)

    def _refuse(self, incoming: IncomingRequest) -> None:
        self._responder.refuse(incoming.client, ErrorKind.NOT_READY, self._context.retry_after_ms())
