"""The load tool: arrivals keep to their schedule whatever becomes of the answers (open loop).

Each gateway has a pool of client connections that grows with need, as the front before real gateways has. A
request that finds its connection closed before any answer is sent once more on a new one, as the protocol
lets clients do. What a client then does of its own (a retry) is a request of its own with a fresh id.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import h11
import trio

from wickspring.lab.emulation.shape import Shape
from wickspring.lab.emulation.sockets import peek
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.reports.record import Asked, Record
from wickspring.lab.simulation.clock import RunClock
from wickspring.lab.traffic.schedule import ScheduledRequest

LATE_MS = 400.0  # past its budget for which an answer is still watched for: a late one breaks a rule
RETRY_SHARE = 0.7  # of the refused or failed tries that are retried, where clients retry


class ClientConnection:
    """One connection of the front to a gateway."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.http = stream, h11.Connection(h11.CLIENT)

    def idle_dead(self) -> bool:
        """Tell whether the gateway has closed it, or sent something unasked."""
        return peek(self.stream.socket) is not None

    async def ask(self, data: bytes, sent: Callable[[], None]) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request and read its answer; None where the connection ended without one."""
        try:
            await self.stream.send_all(data)
            sent()
            status, headers, body = 0, dict[str, str](), b""
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {name.decode(): value.decode() for name, value in event.headers}
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return status, headers, body
                else:
                    return None
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return None

    def encode(self, one: ScheduledRequest, shape: Shape) -> bytes:
        """Write a request's bytes."""
        headers = [
            ("Host", "app.svc"),
            ("X-Call-Id", one.call_id),
            ("X-Call-Class", shape.kind[one.kind].name),
            ("Api-Plan", shape.plan[one.firm.plan].name),
            ("X-Budget-Ms", str(int(one.budget_ms))),
            ("Api-Terms", f"units={one.units},spread={one.firm.spread},first={one.firm.first}"),
        ]
        if one.key:
            headers.append(("Idempotency-Key", one.key))
        safe = shape.kind[one.kind].effect == "repeatable"
        body = b"" if safe else b"x" * 120
        if not safe:
            headers.append(("Content-Length", str(len(body))))
        method = "GET" if safe else "POST"
        target = f"/api?customer={one.firm.customer:016x}"
        data = self.http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")


class Load:
    """All clients of a run."""

    def __init__(
        self,
        scenario: Scenario,
        tries: dict[str, ScheduledRequest],
        record: Record,
        clock: RunClock,
        random: Random,
        addresses: list[str],
    ) -> None:
        self.scenario, self.tries, self.record = scenario, tries, record
        self.clock, self.random, self.addresses = clock, random, addresses
        self.idle: list[list[ClientConnection]] = [[] for _ in addresses]
        self.closed: set[int] = set()  # gateways that the front has seen down
        self.begun = self.ended = 0

    async def run(self, tries: tuple[ScheduledRequest, ...], nursery: trio.Nursery) -> None:
        """Start every try at its time."""
        for one in tries:
            wait = one.at_ms - self.clock.now()
            if wait > 0:
                await trio.sleep(wait / 1000.0)
            self.begin(one, nursery)

    def begin(self, one: ScheduledRequest, nursery: trio.Nursery, retry_of: int = -1) -> None:
        """Start one try now."""
        asked = Asked(one, retry_of=retry_of)
        self.record.asked.append(asked)
        self.begun += 1
        nursery.start_soon(self._one, asked, nursery)

    async def _one(self, asked: Asked, nursery: trio.Nursery) -> None:
        one = asked.plan
        place = one.ingress
        if place in self.closed:
            others = [n for n in range(len(self.addresses)) if n not in self.closed] or [place]
            place = others[one.number % len(others)]
        left = one.at_ms + one.budget_ms + LATE_MS - self.clock.now()
        with trio.move_on_after(max(left, 1.0) / 1000.0):
            if not await self._exchange(asked, place, fresh=False):
                asked.resent = True
                asked.broken = -1.0
                await self._exchange(asked, place, fresh=True)
        self.ended += 1
        self._retry(asked, nursery)

    async def _exchange(self, asked: Asked, place: int, *, fresh: bool) -> bool:
        """Ask once on one connection; tell whether an answer came."""
        pool, connection, asked.place = self.idle[place], None, place
        while pool and not fresh and connection is None:
            connection = pool.pop()
            if connection.idle_dead():
                await trio.aclose_forcefully(connection.stream)
                connection = None
        if connection is None:
            host, _, port = self.addresses[place].rpartition(":")
            try:
                connection = ClientConnection(await trio.open_tcp_stream(host, int(port)))
            except OSError:
                return False
        keep = False
        try:
            data = connection.encode(asked.plan, self.scenario.shape)

            def sent() -> None:
                asked.sent = self.clock.now()

            answer = await connection.ask(data, sent)
            if answer is None:
                asked.broken = self.clock.now()
                return False
            status, headers, body = answer
            asked.answers.append((self.clock.now(), status, body))
            if "retry-after" in headers:
                asked.advice_ms = 1000.0 * float(headers["retry-after"])
            keep = connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE
            if keep:
                connection.http.start_next_cycle()
                pool.append(connection)
            return True
        finally:
            if not keep:
                await trio.aclose_forcefully(connection.stream)

    def _retry(self, asked: Asked, nursery: trio.Nursery) -> None:
        """Try once more as clients do, where the scenario has them do so."""
        mode, one = self.scenario.clients.retry, asked.plan
        status = asked.answers[0][1] if asked.answers else 0
        if mode == "never" or status == 200 or asked.retry_of >= 0 or self.random.random() > RETRY_SHARE:
            return
        if self.scenario.shape.kind[one.kind].effect == "once" and status not in (429, 503):
            return  # it may have run
        wait = asked.advice_ms if mode == "advised" and asked.advice_ms > 0 else 0.0
        at = self.clock.now() + wait
        if at > 1000.0 * self.scenario.seconds or not math.isfinite(at):
            return
        again = ScheduledRequest(
            one.number,
            at,
            one.firm,
            one.kind,
            one.units,
            one.work_ms,
            one.budget_ms,
            one.ingress,
            f"{self.random.getrandbits(64):016x}",
            one.key,
        )
        self.tries[again.call_id] = again

        async def later() -> None:
            await trio.sleep(wait / 1000.0)
            self.begin(again, nursery, retry_of=one.number)

        nursery.start_soon(later)

    async def close(self) -> None:
        """End all idle connections."""
        for pool in self.idle:
            for connection in pool:
                await trio.aclose_forcefully(connection.stream)
