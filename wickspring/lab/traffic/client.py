"""The load generator: requests keep to their schedule whatever becomes of the answers (open loop).

Each gateway has a pool of client connections that grows with need, as the front before real gateways has. A
request that finds its connection closed before any answer is sent once more on a new one, as the protocol
lets clients do. A retry by the client itself is a request of its own with a fresh id.
"""

from __future__ import annotations

import math
from contextlib import suppress
from dataclasses import replace
from random import Random

import trio

from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import (
    STATUS_SERVED,
    STATUSES_REFUSED,
    Answer,
    ClientRequest,
    Record,
)
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic.client_connection import (
    MS_PER_S,
    ClientConnection,
    GaveUpError,
    Response,
    encode_request,
)
from wickspring.lab.traffic.schedule import ScheduledRequest
from wickspring.net.link import connect

LATE_MS = 400.0  # for which an answer is awaited past the deadline: a late one breaks a rule
RETRY_SHARE = 0.7  # of the refused or failed requests that are retried, where clients retry


def _patience_s(scheduled: ScheduledRequest) -> float:
    """Return how many seconds a client waits: its budget, and `LATE_MS`."""
    return (scheduled.budget_ms + LATE_MS) / MS_PER_S


class Load:
    """All clients of a run."""

    def __init__(
        self,
        scenario: Scenario,
        requests: dict[str, ScheduledRequest],
        record: Record,
        clock: RunClock,
        random: Random,
        addresses: list[str],
    ) -> None:
        self.scenario = scenario
        self.requests = requests  # by call id; clients' retries are added
        self.record = record
        self.clock = clock
        self.random = random
        self.addresses = addresses  # of the gateways
        self.idle: list[list[ClientConnection]] = [[] for _ in addresses]
        self.closed: set[int] = set()  # gateways that the front knows to be down
        self.begun = 0
        self.ended = 0

    async def run(self, requests: tuple[ScheduledRequest, ...], nursery: trio.Nursery) -> None:
        """Start every request at its time."""
        for request in requests:
            wait_ms = request.at_ms - self.clock.now()
            if wait_ms > 0:
                await trio.sleep(wait_ms / 1000.0)
            self.begin(request, nursery)

    def begin(self, scheduled: ScheduledRequest, nursery: trio.Nursery, retry_of: int = -1) -> None:
        """Start one request now."""
        request = ClientRequest(scheduled, retry_of=retry_of)
        self.record.requests.append(request)
        self.begun += 1
        nursery.start_soon(self._send, request, nursery)

    async def _send(self, request: ClientRequest, nursery: trio.Nursery) -> None:
        """Send a request, twice if its connection ended without an answer; then retry as clients do."""
        scheduled = request.scheduled
        request.ingress = self._choose_ingress(scheduled)
        with suppress(GaveUpError):
            if not await self._exchange(request, fresh=False):
                request.broken_at = -1.0
                await self._exchange(request, fresh=True)
        self.ended += 1
        self._retry(request, nursery)

    def _choose_ingress(self, scheduled: ScheduledRequest) -> int:
        """Return the scheduled ingress, or another where the front knows that one to be down."""
        if scheduled.ingress not in self.closed:
            return scheduled.ingress
        others = [number for number in range(len(self.addresses)) if number not in self.closed]
        return others[scheduled.number % len(others)] if others else scheduled.ingress

    async def _exchange(self, request: ClientRequest, *, fresh: bool) -> bool:
        """Send a request on one connection; tell whether an answer came.

        The request states its whole budget: its client waits for as long as it says from the sending on, also
        where this process is busy and sends it behind the schedule.

        Raises:
            GaveUpError: the client has waited for as long as it does.
        """
        patience_s = _patience_s(request.scheduled)
        connection = None if fresh else self._take_idle(request.ingress)
        if connection is None:
            connection = await self._dial(self.addresses[request.ingress], patience_s)
            if connection is None:
                return False
        keep = False
        try:
            data = encode_request(request.scheduled, self.scenario.shape)

            def on_sent() -> None:
                request.sent_at = self.clock.now()

            response = await connection.exchange(data, patience_s, on_sent)
            if response is None:
                request.broken_at = self.clock.now()
                return False
            self._record_answer(request, response)
            keep = connection.is_reusable
            if keep:
                self.idle[request.ingress].append(connection)
            return True
        finally:
            if not keep:
                connection.close()

    async def _dial(self, address: str, patience_s: float) -> ClientConnection | None:
        """Open a connection; None where that fails or takes too long."""
        host, _, port = address.rpartition(":")
        sock = await connect((host, int(port)), MS_PER_S * patience_s)
        return None if sock is None else ClientConnection(sock)

    def _take_idle(self, ingress: int) -> ClientConnection | None:
        """Take an idle connection that is still open; None if there is none."""
        pool = self.idle[ingress]
        while pool:
            connection = pool.pop()
            if not connection.is_stale:
                return connection
            connection.close()
        return None

    def _record_answer(self, request: ClientRequest, response: Response) -> None:
        arrived_at = self.clock.now() - response.unread_ms
        self.record.unread_longest_ms = max(self.record.unread_longest_ms, response.unread_ms)
        request.answers.append(Answer(arrived_at, response.status, response.body))
        if "retry-after" in response.headers:
            request.retry_after_ms = 1000.0 * float(response.headers["retry-after"])

    def _retry(self, request: ClientRequest, nursery: trio.Nursery) -> None:
        """Send a request once more as clients do, where the scenario has them do so."""
        if not self._client_retries(request):
            return
        scheduled, advice_ms = request.scheduled, request.retry_after_ms
        wait_ms = advice_ms if self.scenario.clients.retry == "advised" and advice_ms > 0 else 0.0
        at_ms = self.clock.now() + wait_ms
        if at_ms > 1000.0 * self.scenario.seconds or not math.isfinite(at_ms):
            return
        again = replace(scheduled, at_ms=at_ms, call_id=f"{self.random.getrandbits(64):016x}")
        self.requests[again.call_id] = again

        async def begin_later() -> None:
            await trio.sleep(wait_ms / 1000.0)
            self.begin(again, nursery, retry_of=scheduled.number)

        nursery.start_soon(begin_later)

    def _client_retries(self, request: ClientRequest) -> bool:
        """Draw whether a client retries; not what it has retried already, or what may not run twice."""
        status = request.answers[0].status if request.answers else 0
        if self.scenario.clients.retry == "never" or status == STATUS_SERVED or request.retry_of >= 0:
            return False
        if self.random.random() > RETRY_SHARE:
            return False
        effect = self.scenario.shape.kind[request.scheduled.kind].effect
        return effect != "once" or status in STATUSES_REFUSED

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self.idle:
            for connection in pool:
                connection.close()
