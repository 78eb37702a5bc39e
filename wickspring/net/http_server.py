"""What every process that clients connect to does for its connections, whatever their requests are."""

from __future__ import annotations

import logging
import math
import socket
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Protocol

import msgspec
import trio

from wickspring.fault_isolation import FaultStep, count_fault, isolate_faults
from wickspring.logs import kv
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import MIN_IDLE_MS, SERVICE_UNAVAILABLE, Client, retry_after
from wickspring.net.clock import Clock
from wickspring.net.connection_drain import DrainTimes
from wickspring.net.link import Link
from wickspring.net.loop_monitor import LoopMonitor, TurnSample, add_loop_monitor
from wickspring.net.octets import Headers
from wickspring.net.overload import OverloadLimiter
from wickspring.net.request_body import ArrivingRequest
from wickspring.net.timers import Timers
from wickspring.net.unanswered import EndReason, UnansweredRequest, UnansweredRequests
from wickspring.net.work_estimate import WorkEstimate

log = logging.getLogger(__name__)

EXPIRE_EVERY_MS = 200.0  # between two checks of all connections for clients that take too long
TRANSFER_SHARE = 0.15  # of the memory, for streamed bodies and responses together
TRANSFER_BYTES = 256 * 1024  # that one holds at most: what is kept for a further attempt, and a piece on its
# way at each side
BUFFERED_SHARE = 0.06  # of the memory, for incomplete requests; past it, a connection that holds more than
# `SMALL_REQUEST_BYTES` is closed
SMALL_REQUEST_BYTES = 4096  # usual requests are smaller
CLIENT_DESCRIPTOR_SHARE = 0.7  # of the descriptors; the rest is for servers and for other processes of ours
NEAR_LIMIT_SHARE = 0.75  # of those, from which a connection is closed with its response instead of being kept
DRAINING_RETRY_MS = 50.0  # after which a request refused by a process that ends may come again, to another
FULL_SHARE = 0.9  # of the client connections: with so many requests in progress, further ones are refused
OVERLOAD_RETRY_MS = 100.0  # after which a request refused by a process without room may come again
CLOSE_AT_ONCE = 8  # idle connections closed at a time, so that a new client is accepted at once


class HttpRequest(msgspec.Struct, frozen=True):
    """One request as a front has read it: whole, or as far as bodies are buffered."""

    method: str
    target: str
    headers: Headers  # names in lower case
    body: bytes
    body_stream: BodyStream | None = None  # the rest of a body that is longer than what is buffered
    arrived_at: float | None = None  # ms: when its last bytes were in the kernel; None: just now
    began_at: float | None = None  # ms: when its head was in the kernel; None: just now


class Connection(Protocol):
    """A client connection, of either front."""

    can_be_handed_over: bool  # to another process, while it is idle
    accepted_at: float  # ms

    @property
    def is_new(self) -> bool:
        """Whether no request has come on it yet."""

    async def run(self) -> None:
        """Read until either side ends it."""

    def unanswered(self) -> Iterable[UnansweredRequest]:
        """Return the requests that end with it, now, without a complete response."""

    def cancel_requests(self) -> None:
        """Withdraw all requests on it that have no response yet."""

    def idle_since(self) -> float | None:
        """Return when bytes were last received (ms); None while a response is owed or has not left."""

    def expire(self, now: float) -> None:
        """Close it where the client has been silent, or has held a request half-sent, for too long."""

    def close_if_unread(self, reason: EndReason) -> None:
        """Close it now, unless bytes have arrived that are not read yet."""

    def close_if_lingering(self) -> bool:
        """Close it where its last response has left and only its client's close is awaited; tell whether."""

    def close_if_idle(self, reason: EndReason) -> None:
        """Close it where nothing is owed on it: no request has come or is coming, all responses have left.

        To be called again until it has ended: what is in progress goes on.
        """

    def detach(self) -> tuple[socket.socket, bytes] | None:
        """Hand it to another process, with the bytes read ahead; None while that cannot be."""

    def drain(self) -> None:
        """Tell the client, where the protocol can, that this process is about to end."""


class HttpServer(ABC):
    """Owns the connections of clients; subclasses say what becomes of their requests."""

    # Whether servers may run a request by a part of its body: an upload that stalls is then cut off, not
    # answered 408.
    executes_partial_requests = False

    def __init__(self, nursery: trio.Nursery, memory_mb: float) -> None:
        self.nursery, self.memory_mb = nursery, memory_mb
        self.clock = Clock()
        self.timers = Timers(self.clock)
        self.connections: set[Connection] = set()
        self.starting_connections = 0  # that have been accepted and whose tasks have not run yet
        self.handing_over = False  # another process takes over the clients' connections
        self.drain_began_at: float | None = None  # ms, once this process has been told to end
        self.takes_until = math.inf  # ms; requests that are read later are refused
        self.drain_ends_at = math.inf  # ms
        self.closed_counts: Counter[str] = Counter()  # client connections closed by this side, by reason
        self.unanswered = UnansweredRequests(self.clock)
        self.work = WorkEstimate()
        self.overload = OverloadLimiter(self.work)
        self.least_processor_share = 1.0
        self.unread_longest_ms = 0.0  # that a request has lain in the kernel
        self.loop_monitor: LoopMonitor | None = None  # where the process times its event loop
        self._buffered_bytes: dict[object, int] = {}  # of incomplete requests
        self._total_buffered_bytes = 0

    @property
    @abstractmethod
    def max_descriptors(self) -> int:
        """How many file descriptors this process may have for connections."""

    @property
    @abstractmethod
    def active_streams(self) -> int:
        """How many requests with a streamed body or a streamed response are in progress."""

    @property
    def requests_in_progress(self) -> int:
        """How many requests wait for a response; subclasses that bound it say how many."""
        return 0

    def limit_server_connections(self) -> None:
        """Keep the connections to servers to what clients leave; subclasses may have such connections."""
        return

    def close_idle_server_connection(self) -> bool:
        """Close a connection to a server that carries nothing; False where there is none."""
        return False

    @property
    def draining(self) -> bool:
        """Whether this process has been told to end."""
        return self.drain_began_at is not None

    def begin_drain(self, times: DrainTimes) -> None:
        """Note that this process has been told to end."""
        now = self.clock.now()
        self.drain_began_at = now
        self.takes_until = now + times.take_ms
        self.drain_ends_at = now + times.close_ms

    @property
    def has_unfinished_work(self) -> bool:
        """Whether something goes on for which no client waits any more; subclasses may have such work."""
        return False

    def take_request(self, client: Client, request: HttpRequest) -> None:
        """Have a request handled that a front has read; refuse it where this process ends too soon.

        A fault of this program in its handling is contained.
        """
        if self.clock.now() > self.takes_until:
            self.closed_counts["refused_while_draining"] += 1
            client.respond(SERVICE_UNAVAILABLE, retry_after(DRAINING_RETRY_MS), b"")
            return
        with self.contain_faults(client):
            self.handle_request(client, request)

    @contextmanager
    def contain_faults(self, client: Client) -> Iterator[None]:
        """Contain a fault of this program in the handling of one request.

        It is logged and answered 500: the request may have been passed on.
        """
        try:
            yield
        except Exception as error:
            log.exception("request_handling_failed", extra=kv(reason=error))
            self.closed_counts["request_handling_failed"] += 1
            count_fault(FaultStep.HANDLE_REQUEST)
            client.fail_request()

    def has_room(self, client: Client, request: HttpRequest, budget_ms: float) -> bool:
        """Tell whether a request may be begun; it is refused where this process is full or runs late.

        `budget_ms` is how long its client waits; infinity where it does not say.
        """
        reason = self._refusal_reason(request.arrived_at, budget_ms)
        if reason is not None:
            self.refuse_early(client, reason)
            return False
        self.work.count_admitted()
        return True

    @property
    def may_refuse_unparsed(self) -> bool:
        """Whether requests may be refused before they have been parsed: while this process runs late."""
        return not self.draining and self.overload.runs_late(self.clock.now())

    def refuses_unparsed(self, target: str, headers: Headers, arrived_at: float) -> bool:
        """Tell whether a request is refused before it has been parsed; the refusal is counted then."""
        budget_ms = self.client_time_ms(target, headers)
        if budget_ms is None:
            return False
        reason = self._refusal_reason(arrived_at, budget_ms)
        if reason is None:
            return False
        self._count_refusal(reason)
        return True

    def client_time_ms(self, target: str, headers: Headers) -> float | None:
        """Return how long the client of a request waits, infinity where it does not say.

        None where the request is to be handled whatever happens, as all are unless a subclass says otherwise.
        """
        return None

    def _refusal_reason(self, arrived_at: float | None, budget_ms: float) -> str | None:
        """Return why a request is not to be begun, by the name of its counter; None where it is."""
        now, in_progress = self.clock.now(), self.requests_in_progress
        unread_ms = now - arrived_at if arrived_at is not None else 0.0
        self.unread_longest_ms = max(self.unread_longest_ms, unread_ms)
        self.overload.record(now, unread_ms, budget_ms)
        if in_progress >= FULL_SHARE * self.max_connections:
            return "refused_while_full"
        if self.overload.runs_late(now) and self.loop_monitor is not None:
            self.loop_monitor.sample_present_turn()  # a shortage may have begun with it
        if not self.overload.admits(now, budget_ms - unread_ms, in_progress):
            return "refused_while_late"
        return None

    def monitor_loop(self) -> None:
        """Time the event loop that this is called in, and what it gets of a processor."""
        self.loop_monitor = add_loop_monitor(self._on_turns)

    def _on_turns(self, sample: TurnSample) -> None:
        self.work.record_turns(sample, self.requests_in_progress)
        self.least_processor_share = min(self.least_processor_share, self.work.processor_share)

    def delay_figures(self) -> dict[str, object]:
        """Return how late this process runs, by the names that the figures have in logs and metrics."""
        loop = self.loop_monitor.figures() if self.loop_monitor is not None else {}
        return {
            "unread_longest_ms": round(self.unread_longest_ms, 1),
            "processor_share": round(self.work.processor_share, 3),
            "processor_share_least": round(self.least_processor_share, 3),
            "request_cost_ms": round(self.work.request_cost_ms, 3),
            "late_spells": self.overload.late_spells,
            "refused_at_least": self.overload.least_refused_at or 0,
            **loop,
        }

    def refuse_early(self, client: Client, reason: str) -> None:
        """Answer a request of which nothing has been begun: its client may ask again elsewhere at once."""
        self._count_refusal(reason)
        client.respond(SERVICE_UNAVAILABLE, retry_after(OVERLOAD_RETRY_MS), b"")

    def _count_refusal(self, reason: str) -> None:
        self.closed_counts[reason] += 1
        self.work.count_refused()

    @abstractmethod
    def handle_request(self, client: Client, request: HttpRequest) -> None:
        """Handle one request, of either front; its response may be given before this returns."""

    @abstractmethod
    def client_disconnected(self, request_number: int) -> None:
        """Forget a client that has gone away: it is owed no response."""

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay in milliseconds."""
        self.timers.at(self.clock.now() + delay_ms, action)

    async def serve(self, connection: Connection, link: Link) -> None:
        """Serve one client connection; its errors end it and nothing else."""
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            log.exception("client_connection_failed", extra=kv(reason=error))
            count_fault(FaultStep.CLIENT_CONNECTION)
        finally:
            with isolate_faults(FaultStep.CLOSE_CLIENT_CONNECTION):
                for request in connection.unanswered():
                    self.record_unanswered(request)
            with isolate_faults(FaultStep.CLOSE_CLIENT_CONNECTION):
                connection.cancel_requests()
            self.record_buffered(connection, 0)
            link.close()
            self.connections.discard(connection)

    def record_unanswered(self, request: UnansweredRequest) -> None:
        """Count and log a request whose connection ends without a complete response."""
        about = self.describe_request(request.number) if request.number is not None else {}
        self.unanswered.record(request, self.drain_began_at, about)

    def describe_request(self, number: int) -> Mapping[str, object]:
        """Return what is known of a request in progress, for the log; subclasses may know more."""
        return {"request": number}

    @property
    def can_stream(self) -> bool:
        """Whether one more streamed body fits into the memory that transfers may have together."""
        return (self.active_streams + 1) * TRANSFER_BYTES <= TRANSFER_SHARE * self.memory_mb * 2**20

    @property
    def max_connections(self) -> int:
        """How many client connections there may be."""
        return int(self.max_descriptors * CLIENT_DESCRIPTOR_SHARE)

    @property
    def room_for_connections(self) -> int:
        """How many more client connections there may be."""
        return self.max_connections - len(self.connections) - self.starting_connections

    @property
    def near_connection_limit(self) -> bool:
        """Whether client connections are so many that none is kept after its response.

        Kept for two seconds after each response, they would then shut out the very clients that they are for:
        those give up waiting, come again on new ones, and the process stays full with nothing to do.
        """
        return len(self.connections) >= NEAR_LIMIT_SHARE * self.max_connections

    def close_lingering_connections(self) -> bool:
        """Close the connections whose last response has left; False where there is none.

        They wait for their clients to close first, and a client that is slow to do so holds a descriptor that
        others need.
        """
        closed = sum(connection.close_if_lingering() for connection in list(self.connections))
        self.closed_counts["lingering"] += closed
        return closed > 0

    def close_idle_connections(self) -> None:
        """Close the client connections that have been silent for longest, at most `CLOSE_AT_ONCE` of them.

        None is closed before its time: a request may be on its way, and new clients can wait to be accepted.
        """
        latest = self.clock.now() - MIN_IDLE_MS
        idle = [(since, c) for c in self.connections if (since := c.idle_since()) is not None]
        for since, connection in sorted(idle, key=lambda pair: pair[0])[:CLOSE_AT_ONCE]:
            if since < latest:
                self.closed_counts["for_room"] += 1
                connection.close_if_unread(EndReason.FOR_ROOM)

    def record_buffered(self, connection: object, size: int) -> bool:
        """Record the bytes of incomplete requests that a connection holds; False where it must be closed.

        Each alone is bounded, but hundreds of them at their bounds would be more than a small process has.
        """
        self._total_buffered_bytes += size - self._buffered_bytes.pop(connection, 0)
        if size:
            self._buffered_bytes[connection] = size
        return (
            size <= SMALL_REQUEST_BYTES
            or self._total_buffered_bytes <= BUFFERED_SHARE * self.memory_mb * 2**20
        )

    def body_expires_at(self, request: ArrivingRequest) -> float:
        """Return until when a body may take to come (ms): by its size."""
        return request.body.expires_at(request.limits.body_ms)

    def expire_connections(self) -> None:
        """Check all connections for clients that take too long, now and every `EXPIRE_EVERY_MS`."""
        self.call_later(EXPIRE_EVERY_MS, self.expire_connections)
        now = self.clock.now()
        for connection in list(self.connections):
            with isolate_faults(FaultStep.CLIENT_CONNECTION):
                connection.expire(now)
