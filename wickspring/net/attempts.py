"""The ingress's attempts and health probes: effects of the reducer become exchanges, results its events."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from wickspring import interface as api
from wickspring.core import effects as core
from wickspring.core.reducer import Reducer
from wickspring.net.calls import Client
from wickspring.net.clock import Clock
from wickspring.net.discovery import Directory
from wickspring.net.octets import header
from wickspring.net.open_requests import OpenRequests
from wickspring.net.upstream.exchange import ExchangeResult, ServerExchange
from wickspring.net.upstream.manager import UpstreamManager
from wickspring.net.upstream.responses import read_load

SWEEP_MS = 100.0  # between two sweeps of the reducer
TRANSIT_MS = 2.0  # a client's time runs from when it sent the request; so much may have passed
PROBE_TIMEOUT_MS = 1000.0
LOAD_PATH = "/metrics/load"  # probed where the settings name the figures of a load report
ALIVE_PATH = "/alive"


class AttemptRunner:
    """Carries out attempts and probes."""

    def __init__(
        self,
        reducer: Reducer,
        upstream: UpstreamManager,
        directory: Directory,
        open_requests: OpenRequests,
        dispatch: Callable[[core.Event], None],
    ) -> None:
        self._reducer = reducer
        self._settings = reducer.settings
        self._upstream = upstream
        self._clock: Clock = upstream.clock
        self._directory = directory
        self._open_requests = open_requests
        self._dispatch = dispatch
        self._exchanges: dict[tuple[int, int], ServerExchange] = {}  # by request and attempt

    # Attempts.

    def start(self, start: core.StartAttempt) -> None:
        """Send a request to a server."""
        open_request = self._open_requests.requests.get(start.request)
        if open_request is None:
            self._dispatch(core.AttemptEnded(start.request, start.attempt, api.Status.MOOT))
            return
        address = self._directory.addresses.get(start.server)
        if address is None:
            self.ended(start.request, start.attempt, ExchangeResult(api.Status.CONNECT_FAILED))
            return
        call = open_request.call
        remaining_ms = max(1, int(start.deadline - self._clock.now()))
        headers = [header("X-Call-Id", call.call_id), header("X-Budget-Ms", str(remaining_ms))]
        if call.key:
            headers.append(header("Idempotency-Key", call.key))
        exchange = ServerExchange(
            start.server,
            address,
            self._settings.classes[call.class_index].effect is api.Effect.UNSAFE,
            start.deadline,
            method=call.method,
            target=call.target,
            headers=headers,
            body=call.body,
            on_end=partial(self.ended, start.request, start.attempt),
            body_stream=self._open_requests.body_streams.get(start.request),
        )
        exchange.may_stream_body = partial(self._may_stream_body, exchange, start)
        exchange.on_body_sent = partial(self._body_sent, exchange, start, call.budget)
        exchange.open_sink = partial(self._open_sink, start)
        self._exchanges[start.request, start.attempt] = exchange
        self._upstream.start(exchange)

    def stop(self, stop: core.StopAttempt) -> None:
        """Stop waiting for an attempt."""
        exchange = self._exchanges.pop((stop.request, stop.attempt), None)
        if exchange is not None:
            self._upstream.stop(exchange)

    def ended(self, request: int, attempt: int, result: ExchangeResult) -> None:
        """Report how an attempt ended."""
        self._exchanges.pop((request, attempt), None)
        self._dispatch(
            core.AttemptEnded(
                request,
                attempt,
                result.status,
                result.load,
                result.body,
                result.settled_units,
                result.fleet_use,
            )
        )

    def _may_stream_body(self, exchange: ServerExchange, start: core.StartAttempt) -> bool:
        """Commit the unbuffered part of a body to an attempt; False where it may not have it any more."""
        if exchange.timer is not None and exchange.timer.action is not None:
            self._dispatch(core.RequestBodyCommitted(start.request, start.attempt))
            exchange.cancel_deadline()
        return self._reducer.owns(start.request, start.attempt)

    def _body_sent(self, exchange: ServerExchange, start: core.StartAttempt, budget_ms: float) -> None:
        # From here on the reducer's sweep sees to the deadline.
        deadline = exchange.deadline = self._clock.now() + budget_ms - TRANSIT_MS - SWEEP_MS
        self._dispatch(core.RequestBodySent(start.request, deadline))

    def _open_sink(self, start: core.StartAttempt, length: int | None) -> Client | None:
        """Begin a streamed response; None where another attempt's has won, or nobody waits for it."""
        if not self._open_requests.reserve_stream(start.request, length):
            return None
        self._dispatch(core.ResponseStreamReady(start.request, start.attempt))
        open_request = self._open_requests.requests.get(start.request)
        if open_request is None or not self._reducer.owns(start.request, start.attempt):
            self._open_requests.cancel_stream(start.request)
            return None
        return open_request.client

    # Probes.

    def probe(self, probe: api.Probe) -> None:
        """Probe a server for its load, or whether it lives."""
        sent_at = self._clock.now()
        fields = self._settings.load_fields
        ended = partial(self._probe_ended, probe.server, sent_at)
        address = self._directory.addresses.get(probe.server)
        if address is None:
            ended(ExchangeResult(api.Status.CONNECT_FAILED))
            return
        exchange = ServerExchange(
            probe.server,
            address,
            False,
            sent_at + PROBE_TIMEOUT_MS,
            new_work=False,
            method="GET",
            target=LOAD_PATH if fields else ALIVE_PATH,
            headers=[],
            body=b"",
            on_end=ended,
        )
        self._upstream.start(exchange)

    def _probe_ended(self, server: api.ServerId, sent_at: float, result: ExchangeResult) -> None:
        elapsed_ms = self._clock.now() - sent_at
        load = result.load or read_load(result.body, self._settings.load_fields)
        self._dispatch(api.ProbeResult(server, result.status, elapsed_ms, load))
