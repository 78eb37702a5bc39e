"""The way of one request through the data plane, from its client to its answer.

`RequestHandler.ask` admits it, `_send` forwards it to an endpoint, `_ended` learns how an attempt ended and
goes on from there, and one of `_land`, `_end` and a `ResponseStream` answers it. `docs/design/answers.md`
lists what may go wrong on the way.
"""

from __future__ import annotations

from abc import abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import trio

from wickspring.common.errors import ERROR_RESPONSES, ErrorKind
from wickspring.common.routing_table import Route, Tenant
from wickspring.common.settings import NodeSettings, parse_address
from wickspring.core.invariants import holds
from wickspring.dataplane.control_client import ADD_MS, ControlClient
from wickspring.dataplane.policy.attempts import END_MS, HEDGE_LEFT, AttemptOutcome, Attempts
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector, EndpointState
from wickspring.dataplane.policy.quota import QuotaDecision, QuotaPolicy
from wickspring.dataplane.policy.retry_budget import UNKNOWN_FLEET, RetryBudget
from wickspring.dataplane.upstream import ID, SEAL, BufferedResponse, Exchange, end_to_end_headers
from wickspring.interface import Status
from wickspring.net.calls import Client, retry_after
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection
from wickspring.net.upstream.carrier import Reply, Sink
from wickspring.net.upstream.manager import Upstream

BACK_MS = (60.0, 160.0)  # until a client may come again where no server took its request
KEEP_ALIVE_SHARE = 0.9  # of the time a server says it keeps an idle connection
KNOWN_SHARE = 0.7  # of the servers known here that a lighthouse must know for its advice to count
BERTH_MS = 14.0  # for a lighthouse to say which servers are best taken
AGAIN_LEFT = 0.97  # of the time that a route's clients have at first, below which one comes again
START_MS = 3000.0  # since its start in which a pilot lets requests wait for its first news,
WAIT_MS = 180.0  # and how long each
MOST_LEFT_MS = 600_000.0
PROMISES = frozenset({408, 421, 429, 503})  # a client takes them for: it has not run and never will
_STATUS = {
    Status.OK: AttemptOutcome.ANSWERED,
    Status.FULL: AttemptOutcome.TURNED_AWAY,
    Status.CONNECT_FAILED: AttemptOutcome.UNSENT,
    Status.MOOT: AttemptOutcome.UNSENT,
    Status.TIMEOUT: AttemptOutcome.SILENT,
    Status.ERROR: AttemptOutcome.ANSWERED,
}
_SET_HERE = frozenset({"host", "x-key", "x-tenant", "x-target-instance", "x-deadline-ms", "expect"})


class Request:
    """One client's try on its way."""

    __slots__ = (
        "again",
        "body",
        "client",
        "feed",
        "headers",
        "hedge",
        "host",
        "id",
        "landing",
        "method",
        "number",
        "offers",
        "passing",
        "ruled",
        "target",
        "tenant",
        "timer",
        "tries",
    )

    def __init__(self, number: int, client: Client, method: str, target: str, tries: Attempts) -> None:
        self.number, self.method, self.target, self.tries = number, method, target, tries
        self.client: Client | None = client
        self.headers: list[tuple[str, str]] = []
        self.host = self.id = ""
        self.body = b""
        self.feed: Feed | None = None
        self.tenant: Tenant | None = None
        self.again = False  # its client has been here before, by the time that it has left
        self.offers: list[tuple[str, float]] | None = None  # servers best taken; None: not told yet
        self.ruled = False  # its quota lets it go on
        self.passing = 0  # the number of the try whose answer flows
        self.landing: BufferedResponse | None = (
            None  # a whole answer that is no success, kept while others are out
        )
        self.timer: Callable[[], None] = lambda: None  # cancels the end
        self.hedge: Callable[[], None] = lambda: None


class ResponseStream:
    """The way of one try's long answer to the client, for as long as it is the client's present one."""

    __slots__ = ("client", "number", "request")

    def __init__(self, request: Request, number: int, client: Http1Connection) -> None:
        self.request, self.number, self.client = request, number, client

    def _own(self) -> bool:
        request = self.request
        return request.client is self.client and request.passing == self.number and not request.tries.ended

    def write(self, data: bytes) -> None:
        """Pass on a piece."""
        waits = self.client.number == self.request.number
        if self._own() and holds(waits, "whom an answer is passed on to waits for it"):
            self.client.write(data)

    async def room(self) -> bool:
        """Wait until the client has read what was passed on; False where it has gone."""
        return self._own() and await self.client.room() and self._own()


class RequestHandler(Host):
    """The requests of one pilot, and what is decided on each."""

    parts_run = True
    settings: NodeSettings
    random: Random
    choice: EndpointSelector
    quota: QuotaPolicy
    control_client: ControlClient
    upstream: Upstream

    def __init__(self, nursery: trio.Nursery, memory_mb: float) -> None:
        super().__init__(nursery, memory_mb)
        self.budgets: dict[str, RetryBudget] = {}
        self.requests: dict[int, Request] = {}
        self.waiting: dict[int, tuple[Client, str, str, dict[str, str], bytes]] = {}  # for the first news
        self.ids: set[str] = set()  # of requests under way that may run once
        self.begun_at = self.clock.now()
        self.event_counts: Counter[str] = Counter()
        self.told_ms: dict[str, float] = {}  # the longest time that clients of a route have told
        self._last = 0

    @property
    @abstractmethod
    def fleet(self) -> int:
        """How many pilots there are; 0 where nobody has said."""

    @property
    def flowing(self) -> int:
        """How many long bodies and answers are on their way."""
        return sum(one.feed is not None or one.passing > 0 for one in self.requests.values())

    def ask(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None = None,
    ) -> None:
        """Find a request's route and tenant, and have its unit counted."""
        now, routing_table = self.clock.now(), self.control_client.routing_table
        self.event_counts["asked"] += 1
        if not routing_table.version or not self.choice.services:
            self._await(client, method, target, headers, body, feed)
            return
        host = headers.get("host", "")
        route = routing_table.route(host, target)
        if route is None:
            self._refuse(client, ErrorKind.NO_ROUTE)
            return
        tenant = routing_table.keys.get(headers.get("x-key", ""))
        if tenant is None and routing_table.guarded and not route.public:
            self._refuse(client, ErrorKind.NO_KEY)
            return
        id_, left = headers.get(ID, ""), headers.get("x-deadline-ms", "")
        pairs = client.pairs() if isinstance(client, Http1Connection) else list(headers.items())
        ids = sum(name == ID for name, _ in pairs)
        if not id_ or ids > 1 or (left and not left.isdecimal()):
            self._refuse(client, ErrorKind.BAD_REQUEST)
            return
        if not route.pure and id_ in self.ids:
            self._refuse(client, ErrorKind.AT_WORK)
            return
        wait = min(float(left or "inf"), MOST_LEFT_MS, 1000.0 * route.timeout_s)
        service = self._service(route)
        self._last += 1
        request = Request(
            self._last, client, method, target, Attempts(route, service, now, now + wait - END_MS)
        )
        request.headers = [pair for pair in end_to_end_headers(pairs) if pair[0] not in _SET_HERE]
        request.host, request.id, request.body, request.feed = host, id_, body, feed
        if tenant is not None:
            request.tenant = tenant
            request.headers.append(("X-Tenant", tenant.name))
        has, most = min(float(left or "inf"), MOST_LEFT_MS), self.told_ms.get(route.name, 0.0)
        if has > most:
            self.told_ms[route.name] = most = has
        request.again = has < AGAIN_LEFT * most
        self.requests[request.number] = request
        if not route.pure:
            self.ids.add(id_)
        client.accepted(request.number, wait)
        timer = self.timers.at(request.tries.until, partial(self._due, request))
        request.timer = timer.cancel
        self._ask_berth(request)
        if tenant is not None and tenant.rate > 0 and not route.public:
            self._count(request, tenant)
        else:
            request.ruled = True
            self._go(request)

    def _await(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None,
    ) -> None:
        """Keep a request for a moment after the start, until it is known where requests go."""
        if self.clock.now() - self.begun_at > START_MS or feed is not None:
            self._refuse(client, ErrorKind.NOT_READY, self.random.uniform(*BACK_MS))
            return
        self._last += 1
        number = self._last
        client.accepted(number, START_MS)
        self.waiting[number] = client, method, target, dict(headers), body
        self.later(WAIT_MS, partial(self._awaited, number, True))

    def _awaited(self, number: int, late: bool = False) -> None:
        waiting = self.waiting.get(number)
        known = self.control_client.routing_table.version and self.choice.services
        if waiting is None or not (known or late):
            return
        del self.waiting[number]
        if known:
            self.ask(*waiting)
        else:
            self._refuse(waiting[0], ErrorKind.NOT_READY, self.random.uniform(*BACK_MS))

    def _informed(self) -> None:
        """Take up what waited for the first news."""
        for number in list(self.waiting):
            self._awaited(number)

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        return self.random.choices(names, [weight for _, weight in route.services])[0]

    def _count(self, request: Request, tenant: Tenant) -> None:
        """Add the request's unit to its tenant's count; what comes back rules on it."""
        now = self.clock.now()
        self.quota.sent(now, tenant.name)

        def answered(total: int, limit: int, wait: float) -> None:
            timer.cancel()
            if limit < 0:
                alone(told=True)
            else:
                ruled(self.quota.counted(self.clock.now(), tenant.name, total, limit, wait))

        def alone(told: bool = False) -> None:
            self.event_counts["counted_alone"] += 1
            ruling = self.quota.alone(self.clock.now(), tenant, self.fleet or UNKNOWN_FLEET)
            self.control_client.give_up(number, partial(settle, ruling.goes))
            if ruling.goes and told:
                self.control_client.spent(tenant.name)
            ruled(ruling)

        def settle(goes: bool, total: int, limit: int, wait: float) -> None:
            """Put right what a late answer shows the keeper to have counted otherwise than was ruled here."""
            counted = 0 <= total <= limit
            if goes and not counted:
                self.control_client.spent(tenant.name)
            elif counted and not goes:
                self.control_client.give_back(tenant.name)

        def ruled(ruling: QuotaDecision) -> None:
            if request.tries.ended:
                return
            if ruling.goes:
                request.ruled = True
                self._go(request)
            else:
                self._end(request, ErrorKind.OVER_QUOTA, ruling.wait * self.random.uniform(1.0, 1.2))

        timer = self.timers.at(now + ADD_MS, alone)
        number = self.control_client.add(tenant.name, request.again, answered)
        if not number:
            timer.cancel()
            alone()

    def _ask_berth(self, request: Request) -> None:
        """Ask which servers are best taken; for a moment, while its unit is counted as well."""

        def offered(offers: list[tuple[str, float]], known: int) -> None:
            timer.cancel()
            mine = len(self.choice.services.get(request.tries.service, ()))
            request.offers = offers if known >= KNOWN_SHARE * mine else []
            self._go(request)

        def late() -> None:
            self.control_client.drop(number)
            self.event_counts["chosen_alone"] += 1
            request.offers = []
            self._go(request)

        number = self.control_client.candidate(request.tries.service, offered)
        if not number:
            request.offers = []
            return
        timer = self.timers.at(self.clock.now() + BERTH_MS, late)

    def _go(self, request: Request) -> None:
        """Send a request on once its quota and the best servers are known."""
        tries = request.tries
        if request.ruled and request.offers is not None and not tries.sent and not tries.ended:
            self._send(request)

    def _send(self, request: Request) -> None:
        """Send a request to a first or further server, or end it."""
        tries, now = request.tries, self.clock.now()
        if not tries.may_send(now):
            self._give_up(request)
            return
        candidate = self.choice.pick(
            now, tries.service, tries.route.name, tries.tried, () if tries.sent else request.offers or ()
        )
        if candidate is None or not self._afford(tries, now):
            self._give_up(request)
            return
        server = candidate.server
        tries.begin(server.id)
        number = 16 * request.number + tries.sent
        self.choice.sent(now, candidate, number)
        told = self.control_client.out(tries.service, server.id)
        until = tries.until
        left = max(1, int(until + END_MS - now))
        headers = [*request.headers, ("X-Deadline-Ms", str(left)), ("X-Target-Instance", server.id)]
        passage = Exchange(
            server.id.encode(),
            parse_address(server.address),
            not tries.route.pure,
            until,
            id=request.id,
            host=request.host,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            feed=request.feed,
            done=partial(self._ended, request, candidate, number, told),
            heard=self._headers,
        )
        passage.flowing = partial(self._flows, request, number)
        passage.flows = partial(self._streams, request)
        self.upstream.start(passage)
        if tries.sent == 1 and tries.route.pure and tries.route.tries > 1 and request.feed is None:
            at = tries.hedge_at(self.choice.usual.get(tries.route.name, 0.0))
            if at < until:
                request.hedge = self.timers.at(at, partial(self._hedge, request)).cancel

    def _streams(self, request: Request) -> bool:
        """Let the part of a body go out that is not held, after which there is no further try."""
        tries = request.tries
        tries.streamed = tries.streamed or not tries.ended
        return not tries.ended

    def _afford(self, tries: Attempts, now: float) -> bool:
        """Pay for a further try; a first one earns."""
        budget = self._budget(tries.service)
        if tries.sent == 0:
            budget.first(now)
            return True
        if budget.take(now, self.fleet):
            return True
        self.event_counts["no_budget"] += 1
        return False

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.guarantees
            budget = self.budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
        return budget

    def _hedge(self, request: Request) -> None:
        """Send a pure request that has had no word yet to another server as well."""
        now, tries = self.clock.now(), request.tries
        if not tries.may_send(now) or request.passing:
            return
        left = self._budget(tries.service).left(now, self.fleet)
        other = self.choice.pick(now, tries.service, tries.route.name, tries.tried)
        if left >= HEDGE_LEFT and other is not None:
            self.event_counts["hedged"] += 1
            self._send(request)

    def _headers(self, headers: dict[str, str]) -> None:
        """Learn from a server how long it keeps idle connections."""
        told = headers.get("keep-alive", "")
        if "timeout=" in told:
            seconds = told.partition("timeout=")[2].split(",")[0].strip()
            if seconds.isdecimal() and int(seconds) > 0:
                pools = self.upstream.pools
                pools.idle_close = min(pools.idle_close, 1000.0 * KEEP_ALIVE_SHARE * int(seconds))

    def _flows(
        self, request: Request, number: int, code: int, pairs: list[tuple[str, str]], length: int | None
    ) -> Sink | None:
        """Begin an answer that is longer than what is held."""
        client = self._place(request)
        if request.tries.ended or request.passing or not isinstance(client, Http1Connection):
            return None
        if length is None and client.http.their_http_version == b"1.0":
            return None  # such a client would take its end for whole wherever this process were to end
        request.passing = number
        request.timer()
        client.begin(length, code, end_to_end_headers(pairs))
        return ResponseStream(request, number, client)

    def _ended(
        self, request: Request, candidate: EndpointState, number: int, told: str, reply: Reply
    ) -> None:
        """Learn from a try's end, and go on from there."""
        now, tries = self.clock.now(), request.tries
        outcome = _STATUS.get(reply.status, AttemptOutcome.BROKEN)
        tries.end(outcome)
        good: bool | None = outcome is AttemptOutcome.ANSWERED and reply.status is Status.OK
        if outcome is AttemptOutcome.TURNED_AWAY:
            good = None
        silent = outcome is AttemptOutcome.SILENT
        ratio = self.choice.ended(now, candidate, number, tries.route.name, good, silent)
        if told:
            self.control_client.back_in(told, candidate.server.id, ratio)
        self.event_counts[f"tries[{outcome.value}]"] += 1
        if tries.ended:
            return
        if request.passing and request.passing != number:
            return  # another's answer flows, and ends by itself
        if request.passing:
            client = self._place(request)
            self._finish(request)
            if isinstance(client, Http1Connection):
                client.end(outcome is AttemptOutcome.ANSWERED)
            return
        if isinstance(reply, BufferedResponse) and outcome is AttemptOutcome.ANSWERED:
            if reply.code < 500 or not tries.may_send(now):
                self._land(request, reply)
                return
            request.landing = reply
        if tries.may_send(now):
            self._send(request)
        elif tries.out == 0:
            self._give_up(request)

    def _place(self, request: Request) -> Client | None:
        """Return the client while it waits for this very request; its connection may be ending."""
        client = request.client
        return client if not isinstance(client, Http1Connection) or client.number == request.number else None

    def _land(self, request: Request, landing: BufferedResponse) -> None:
        """Give the client the server's answer as it came, unless it would be read as `it has not run`."""
        if landing.code in PROMISES:
            self._end(request, ErrorKind.MAY_HAVE_RUN)
            return
        client = self._place(request)
        self._finish(request)
        self.event_counts["answered"] += 1
        sealed = any(name == SEAL and value for name, value in landing.pairs)
        holds(sealed or not 200 <= landing.code < 300, "a success bears its seal")
        if isinstance(client, Http1Connection):
            client.answer(landing.code, "", landing.body, end_to_end_headers(landing.pairs))

    def _give_up(self, request: Request) -> None:
        """End a request that nothing more can be done for, unless a try is still out."""
        if request.tries.out > 0 and self.clock.now() < request.tries.until:
            return
        if request.landing is not None:
            self._land(request, request.landing)
            return
        kind = request.tries.verdict
        tenant, now = request.tenant, self.clock.now()
        counted = tenant is not None and tenant.rate > 0 and not request.tries.route.public
        unused = kind is ErrorKind.NO_SERVER and counted
        if unused and tenant is not None and self.quota.taken_back(now, tenant.name):
            self.control_client.give_back(tenant.name)
        self._end(request, kind, self.random.uniform(*BACK_MS))

    def _due(self, request: Request) -> None:
        """Its time is over."""
        tries = request.tries
        if not tries.ended and not request.passing:
            tries.timed_out = True
            self._end(request, tries.verdict, self.random.uniform(*BACK_MS))

    def _end(self, request: Request, kind: ErrorKind, wait: float = 0.0) -> None:
        tries = request.tries
        never = tries.never and tries.out == 0
        if not holds(
            never or ERROR_RESPONSES[kind].status not in PROMISES, "what may have run is not refused"
        ):
            kind = ErrorKind.MAY_HAVE_RUN
        client = self._place(request)
        self._finish(request)
        if client is not None:
            self._refuse(client, kind, wait)

    def _finish(self, request: Request) -> None:
        request.tries.ended = True
        request.timer()
        request.hedge()
        self.requests.pop(request.number, None)
        if not request.tries.route.pure:  # a pure one may bear the id of one that is at work
            self.ids.discard(request.id)
        if request.feed is not None:
            request.feed.close()

    def _refuse(self, client: Client, kind: ErrorKind, wait: float = 0.0) -> None:
        self.event_counts[f"refused[{kind.value}]"] += 1
        answer = ERROR_RESPONSES[kind]
        client.answer(answer.status, retry_after(wait) if answer.comes_back else "", b"")

    def leave(self, number: int) -> None:
        """The client has gone; what a server has begun it may end."""
        self.waiting.pop(number, None)
        request = self.requests.get(number)
        if request is not None:
            request.client = None
            if request.tries.sent == 0 or request.passing:
                self._finish(request)
