"""A pilot process: clients on one side, servers on the other, and the decisions between them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import msgspec
import trio

from wickspring import interface as api
from wickspring.connections.limits import ConnectionLimits
from wickspring.connections.pools import Conn
from wickspring.core.invariants import holds
from wickspring.harbour import log
from wickspring.harbour.boot import Address, Boot, parse_address
from wickspring.harbour.cable import Cable, Message, answer
from wickspring.harbour.chart import Chart, Route, Tenant
from wickspring.harbour.early import Started
from wickspring.harbour.kinds import ANSWERS, Fault, FaultError, Kind
from wickspring.harbour.servers import digest
from wickspring.interface import Readiness, Status
from wickspring.net.calls import Client, retry_after
from wickspring.net.datagrams import Udp
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.link import Link
from wickspring.net.listening import accept, close_listener, take_rest
from wickspring.net.upstream.carrier import Carrier, Reply, Sink
from wickspring.net.upstream.manager import Upstream
from wickspring.pilot.flotilla import Flotilla, State
from wickspring.pilot.moorings import ADD_MS, Moorings
from wickspring.pilot.policy.budget import UNKNOWN_FLEET, Budget
from wickspring.pilot.policy.choice import Berth, Choice
from wickspring.pilot.policy.quota import Quota, Ruling
from wickspring.pilot.policy.tries import END_MS, HEDGE_LEFT, Outcome, Tries
from wickspring.pilot.upstream import ID, SEAL, Dials, GatewayLink, Landing, Passage, own

BACK_MS = (60.0, 160.0)  # until a client may come again where no server took its request
CONN_SHARE = 0.9  # of a server's connections that all pilots together take
CONNS_LEAST, CONNS_MOST = 3, 64
IDLE_SHARE = 0.85  # of that time, that connections are kept
KEEP_ALIVE_SHARE = 0.9  # of the time a server says it keeps an idle connection
KNOWN_SHARE = 0.7  # of the servers known here that a lighthouse must know for its advice to count
BERTH_MS = 14.0  # for a lighthouse to say which servers are best taken
AGAIN_LEFT = 0.97  # of the time that a route's clients have at first, below which one comes again
FORGET_MS = 20_000.0
START_MS = 3000.0  # since its start in which a pilot lets requests wait for its first news,
WAIT_MS = 180.0  # and how long each
READY_WITHOUT_MS = 2500.0  # after which a pilot with a configuration serves by what one lighthouse told
FIGURES_MS = 10_000.0
ACCEPT_ON_S = 0.4  # after SIGTERM, for connections that are on their way
MOST_LEFT_MS = 600_000.0
_STATUS = {
    Status.OK: Outcome.ANSWERED, Status.FULL: Outcome.TURNED_AWAY, Status.CONNECT_FAILED: Outcome.UNSENT,
    Status.MOOT: Outcome.UNSENT, Status.TIMEOUT: Outcome.SILENT, Status.ERROR: Outcome.ANSWERED,
}  # fmt: skip
PROMISES = frozenset({408, 421, 429, 503})  # a client takes them for: it has not run and never will
_SET_HERE = frozenset({"host", "x-key", "x-tenant", "x-target-instance", "x-deadline-ms", "expect"})


class Request:
    """One client's try on its way."""

    __slots__ = (
        "again", "body", "client", "feed", "headers", "hedge", "host", "id", "landing", "method", "number",
        "offers", "passing", "ruled", "target", "tenant", "timer", "tries",
    )  # fmt: skip

    def __init__(self, number: int, client: Client, method: str, target: str, tries: Tries) -> None:
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
        self.landing: Landing | None = None  # a whole answer that is no success, kept while others are out
        self.timer: Callable[[], None] = lambda: None  # cancels the end
        self.hedge: Callable[[], None] = lambda: None


class Flow:
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


class Pilot(Host):
    """One pilot."""

    parts_run = True

    def __init__(self, boot: Boot, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, boot.limits.memory_mb)
        self.boot, self.random = boot, Random(seed)
        bounds = boot.guarantees
        self.choice = Choice(boot.zone, self.random.getrandbits(32), self._warm)
        self.quota = Quota(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
        self.budgets: dict[str, Budget] = {}
        self.moorings = Moorings(
            boot, self.clock, nursery, self.random, self.choice, lambda: self.quota.past(self.clock.now()),
            self._digest, self._charted, self._pass_on, self._introduced, self._informed,
        )  # fmt: skip
        self.wire = Udp(boot.ip, boot.talk_port)
        self.flotilla = Flotilla(
            boot.ip, boot.talk_port, self.clock, nursery, self.random, self, self.wire
        )  # fmt: skip
        self.entries: dict[str, tuple[bool, api.ServerEntry]] = {}
        self.addresses: dict[str, Address] = {}
        self.limits = ConnectionLimits(
            most_per_server=CONNS_LEAST, wait_ms=400.0, ahead_most=0, pause_first_ms=60.0,
            pause_most_ms=500.0,
            idle_share=IDLE_SHARE,
        )
        self.upstream = Upstream(
            Dials(self.random.getrandbits(32)), self.limits, lambda: self.sockets,
            lambda: len(self.connections), self.clock, self.timers, nursery, self._entry,
            self._carrier,
        )  # fmt: skip
        self.requests: dict[int, Request] = {}
        self.waiting: dict[int, tuple[Client, str, str, dict[str, str], bytes]] = {}  # for the first news
        self.ids: set[str] = set()  # of requests under way that may run once
        self.patience = Patience()
        self.begun_at = self.clock.now()
        self.ready = False
        self.tally: Counter[str] = Counter()
        self.told_ms: dict[str, float] = {}  # the longest time that clients of a route have told
        self._last = 0

    @property
    def sockets(self) -> int:
        """How many descriptors this process may have."""
        return self.boot.limits.max_fds - 200

    @property
    def fleet(self) -> int:
        """How many pilots there are, as many as anybody counts; 0 where nobody has said."""
        others = self.flotilla.size
        return max(self.moorings.fleet, others if others > 1 else 0)

    @property
    def flowing(self) -> int:
        """How many long bodies and answers are on their way."""
        return sum(one.feed is not None or one.passing > 0 for one in self.requests.values())

    # What is told.

    def _digest(self) -> int:
        return digest(
            [one.server for id_, one in self.choice.berths.items() if not one.lost and self.choice.takes(id_)]
        )

    def _pass_on(self, kind: str, told: object) -> None:
        self.flotilla.pass_on(kind, told)

    def _introduced(self, ips: list[str]) -> None:
        self.flotilla.introduce(ips)

    def state(self) -> State:
        """Return what the other pilots compare with theirs."""
        mine = self.moorings.adoption
        return mine.version, mine.digest, len(self.choice.leaving), self._digest()

    def tell_all(self, cable: Cable, version: int, digest: bytes) -> None:
        """Tell another pilot all that is held here."""
        now, moorings = self.clock.now(), self.moorings
        mine = moorings.adoption
        if mine.version > version or (mine.version == version and mine.digest != digest):
            cable.send("chart", mine.version, moorings.packed, mine.digest, int(moorings.standing))
        known = [one.server.pack(now) for one in self.choice.berths.values() if not one.lost]
        cable.send("whole", known, self.choice.leaving, moorings.in_contact)

    def take(self, cable: Cable, message: Message) -> None:
        """Take in what another pilot tells."""
        if message[0] in ("chart", "whole", "servers", "leaving"):
            self.moorings.take(cable, message, by_lighthouse=False)

    def alone(self) -> bool:
        """Tell whether no lighthouse is in reach."""
        return not self.moorings.live

    def _charted(self, chart: Chart) -> None:
        bounds = chart.bounds
        self.patience = Patience(
            silent=1000.0 * bounds.idle_s, head=1000.0 * bounds.header_s, idle=1000.0 * bounds.idle_s,
            most_head=bounds.head, most_body=bounds.body,
        )  # fmt: skip
        caps = [one.most_conns for one in chart.services.values() if one.most_conns > 0]
        part = CONN_SHARE * min(caps, default=CONNS_MOST) / max(1, self.fleet or 16)
        most = max(CONNS_LEAST, min(CONNS_MOST, int(part)))
        self.limits = msgspec.structs.replace(self.limits, most_per_server=most)
        self.upstream.limits = self.upstream.pools.limits = self.limits

    def _entry(self, server: api.ServerId) -> api.ServerEntry | None:
        id_ = server.decode()
        if id_ not in self.choice.berths:
            self.entries.pop(id_, None)
            return None
        takes = self.choice.takes(id_)
        known = self.entries.get(id_)
        if known is None or known[0] != takes:
            readiness = Readiness.READY if takes else Readiness.DRAINING
            known = self.entries[id_] = takes, api.ServerEntry(server, 0, 0, readiness, 1.0, 0.0)
        return known[1]

    def _warm(self, id_: str) -> bool:
        """Tell whether a connection to a server is up and idle."""
        pool = self.upstream.pools.pools.get(id_.encode())
        return pool is not None and any(conn.free > 0 for conn in pool.conns)

    def _carrier(self, upstream: Upstream, conn: Conn) -> Carrier:
        return GatewayLink(upstream, conn)

    # Requests.

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
        now, chart = self.clock.now(), self.moorings.chart
        self.tally["asked"] += 1
        if not chart.version or not self.choice.services:
            self._await(client, method, target, headers, body, feed)
            return
        host = headers.get("host", "")
        route = chart.route(host, target)
        if route is None:
            self._refuse(client, Kind.NO_ROUTE)
            return
        tenant = chart.keys.get(headers.get("x-key", ""))
        if tenant is None and chart.guarded and not route.public:
            self._refuse(client, Kind.NO_KEY)
            return
        id_, left = headers.get(ID, ""), headers.get("x-deadline-ms", "")
        pairs = client.pairs() if isinstance(client, Http1Connection) else list(headers.items())
        ids = sum(name == ID for name, _ in pairs)
        if not id_ or ids > 1 or (left and not left.isdecimal()):
            self._refuse(client, Kind.BAD_REQUEST)
            return
        if not route.pure and id_ in self.ids:
            self._refuse(client, Kind.AT_WORK)
            return
        wait = min(float(left or "inf"), MOST_LEFT_MS, 1000.0 * route.timeout_s)
        service = self._service(route)
        self._last += 1
        request = Request(
            self._last, client, method, target, Tries(route, service, now, now + wait - END_MS)
        )
        request.headers = [pair for pair in own(pairs) if pair[0] not in _SET_HERE]
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
        self, client: Client, method: str, target: str, headers: Mapping[str, str], body: bytes,
        feed: Feed | None,
    ) -> None:  # fmt: skip
        """Keep a request for a moment after the start, until it is known where requests go."""
        if self.clock.now() - self.begun_at > START_MS or feed is not None:
            self._refuse(client, Kind.NOT_READY, self.random.uniform(*BACK_MS))
            return
        self._last += 1
        number = self._last
        client.accepted(number, START_MS)
        self.waiting[number] = client, method, target, dict(headers), body
        self.later(WAIT_MS, partial(self._awaited, number, True))

    def _awaited(self, number: int, late: bool = False) -> None:
        waiting = self.waiting.get(number)
        known = self.moorings.chart.version and self.choice.services
        if waiting is None or not (known or late):
            return
        del self.waiting[number]
        if known:
            self.ask(*waiting)
        else:
            self._refuse(waiting[0], Kind.NOT_READY, self.random.uniform(*BACK_MS))

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
            self.tally["counted_alone"] += 1
            ruling = self.quota.alone(self.clock.now(), tenant, self.fleet or UNKNOWN_FLEET)
            self.moorings.give_up(number, partial(settle, ruling.goes))
            if ruling.goes and told:
                self.moorings.spent(tenant.name)
            ruled(ruling)

        def settle(goes: bool, total: int, limit: int, wait: float) -> None:
            """Put right what a late answer shows the keeper to have counted otherwise than was ruled here."""
            counted = 0 <= total <= limit
            if goes and not counted:
                self.moorings.spent(tenant.name)
            elif counted and not goes:
                self.moorings.give_back(tenant.name)

        def ruled(ruling: Ruling) -> None:
            if request.tries.ended:
                return
            if ruling.goes:
                request.ruled = True
                self._go(request)
            else:
                self._end(request, Kind.OVER_QUOTA, ruling.wait * self.random.uniform(1.0, 1.2))

        timer = self.timers.at(now + ADD_MS, alone)
        number = self.moorings.add(tenant.name, request.again, answered)
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
            self.moorings.drop(number)
            self.tally["chosen_alone"] += 1
            request.offers = []
            self._go(request)

        number = self.moorings.berth(request.tries.service, offered)
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
        berth = self.choice.pick(
            now, tries.service, tries.route.name, tries.tried, () if tries.sent else request.offers or ()
        )
        if berth is None or not self._afford(tries, now):
            self._give_up(request)
            return
        server = berth.server
        tries.begin(server.id)
        number = 16 * request.number + tries.sent
        self.choice.sent(now, berth, number)
        told = self.moorings.out(tries.service, server.id)
        until = tries.until
        left = max(1, int(until + END_MS - now))
        headers = [*request.headers, ("X-Deadline-Ms", str(left)), ("X-Target-Instance", server.id)]
        passage = Passage(
            server.id.encode(), parse_address(server.address), not tries.route.pure, until, id=request.id,
            host=request.host, method=request.method, target=request.target, headers=headers,
            body=request.body, feed=request.feed, done=partial(self._ended, request, berth, number, told),
            heard=self._headers,
        )  # fmt: skip
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

    def _afford(self, tries: Tries, now: float) -> bool:
        """Pay for a further try; a first one earns."""
        budget = self._budget(tries.service)
        if tries.sent == 0:
            budget.first(now)
            return True
        if budget.take(now, self.fleet):
            return True
        self.tally["no_budget"] += 1
        return False

    def _budget(self, service: str) -> Budget:
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.boot.guarantees
            budget = self.budgets[service] = Budget(
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
            self.tally["hedged"] += 1
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
        request.passing = number
        request.timer()
        client.begin(length, code, own(pairs))
        return Flow(request, number, client)

    def _ended(self, request: Request, berth: Berth, number: int, told: str, reply: Reply) -> None:
        """Learn from a try's end, and go on from there."""
        now, tries = self.clock.now(), request.tries
        outcome = _STATUS.get(reply.status, Outcome.BROKEN)
        tries.end(outcome)
        good: bool | None = outcome is Outcome.ANSWERED and reply.status is Status.OK
        if outcome is Outcome.TURNED_AWAY:
            good = None
        silent = outcome is Outcome.SILENT
        ratio = self.choice.ended(now, berth, number, tries.route.name, good, silent)
        if told:
            self.moorings.back_in(told, berth.server.id, ratio)
        self.tally[f"tries[{outcome.value}]"] += 1
        if tries.ended:
            return
        if request.passing and request.passing != number:
            return  # another's answer flows, and ends by itself
        if request.passing:
            client = self._place(request)
            self._finish(request)
            if isinstance(client, Http1Connection):
                client.end(outcome is Outcome.ANSWERED)
            return
        if isinstance(reply, Landing) and outcome is Outcome.ANSWERED:
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

    def _land(self, request: Request, landing: Landing) -> None:
        """Give the client the server's answer as it came, unless it would be read as `it has not run`."""
        if landing.code in PROMISES:
            self._end(request, Kind.MAY_HAVE_RUN)
            return
        client = self._place(request)
        self._finish(request)
        self.tally["answered"] += 1
        sealed = any(name == SEAL and value for name, value in landing.pairs)
        holds(sealed or not 200 <= landing.code < 300, "a success bears its seal")
        if isinstance(client, Http1Connection):
            client.answer(landing.code, "", landing.body, own(landing.pairs))

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
        unused = kind is Kind.NO_SERVER and counted
        if unused and tenant is not None and self.quota.taken_back(now, tenant.name):
            self.moorings.give_back(tenant.name)
        self._end(request, kind, self.random.uniform(*BACK_MS))

    def _due(self, request: Request) -> None:
        """Its time is over."""
        tries = request.tries
        if not tries.ended and not request.passing:
            tries.timed_out = True
            self._end(request, tries.verdict, self.random.uniform(*BACK_MS))

    def _end(self, request: Request, kind: Kind, wait: float = 0.0) -> None:
        tries = request.tries
        never = tries.never and tries.out == 0
        if not holds(never or ANSWERS[kind].status not in PROMISES, "what may have run is not refused"):
            kind = Kind.MAY_HAVE_RUN
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

    def _refuse(self, client: Client, kind: Kind, wait: float = 0.0) -> None:
        self.tally[f"refused[{kind.value}]"] += 1
        answer = ANSWERS[kind]
        client.answer(answer.status, retry_after(wait) if answer.comes_back else "", b"")

    def leave(self, number: int) -> None:
        """The client has gone; what a server has begun it may end."""
        self.waiting.pop(number, None)
        request = self.requests.get(number)
        if request is not None:
            request.client = None
            if request.tries.sent == 0 or request.passing:
                self._finish(request)

    # Upkeep.

    def upkeep(self) -> None:
        """Forget what is past, and tell the figures."""
        self.later(FIGURES_MS * self.random.uniform(0.9, 1.1), self.upkeep)
        self.choice.forget(self.clock.now(), FORGET_MS)
        log.event(
            "figures", owed=len(self.requests), connections=len(self.connections), **self.tally,
            **self.upstream.report(),
        )  # fmt: skip

    @property
    def is_ready(self) -> bool:
        """Tell whether clients are to come here."""
        if self.draining:
            return False
        if not self.ready:
            moorings = self.moorings
            late = self.clock.now() - self.begun_at > READY_WITHOUT_MS
            some = bool(moorings.chart.version) and bool(moorings.whole_from)
            self.ready = bool(self.choice.services) and (moorings.informed or (late and some))
            if self.ready:
                log.event("ready", version=moorings.chart.version, servers=len(self.choice.berths))
        return self.ready


class Watch(Host):
    """What answers the platform's question whether this pilot is ready."""

    def __init__(self, pilot: Pilot) -> None:
        super().__init__(pilot.nursery, pilot.memory_mb)
        self.pilot = pilot

    @property
    def sockets(self) -> int:
        """How many descriptors are for this."""
        return 64

    @property
    def flowing(self) -> int:
        """Nothing flows here."""
        return 0

    def ask(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None = None,
    ) -> None:
        """Answer 200 while clients are to come."""
        client.answer(200 if self.pilot.is_ready and target.startswith("/readiness") else 503, "", b"")

    def leave(self, number: int) -> None:
        """Nothing is owed here."""


async def serve(link: Link, pilot: Pilot) -> None:
    """Serve one client's connection."""
    await pilot.serve(Http1Connection(link, pilot, patience=pilot.patience), link)


async def serve_watch(link: Link, watch: Watch) -> None:
    """Serve one connection of the platform."""
    await watch.serve(Http1Connection(link, watch, patience=Patience(idle=15_000.0)), link)


async def run(started: Started, seed: int, ended: trio.Event) -> None:
    """Run a pilot until told to end."""
    boot, front, ready = started.boot, started.front, started.ready
    if front is None or ready is None:
        raise FaultError(Fault(Kind.BAD_SETTINGS, "bind: a pilot needs front_http and ready_addr"))
    async with trio.open_nursery() as nursery:
        pilot = Pilot(boot, nursery, seed)
        nursery.start_soon(pilot.timers.run)
        nursery.start_soon(pilot.moorings.tick)
        nursery.start_soon(pilot.flotilla.run)
        nursery.start_soon(answer, started.talk, pilot.clock, nursery, pilot.flotilla.serve)
        pilot.tidy()
        pilot.upkeep()
        watch = Watch(pilot)
        nursery.start_soon(watch.timers.run)
        watch.tidy()
        nursery.start_soon(accept, ready, watch, serve_watch)
        nursery.start_soon(accept, front, pilot, serve)
        log.event("afloat", ip=boot.ip, zone=boot.zone)
        await ended.wait()
        pilot.draining = True
        log.event("draining", owed=len(pilot.requests))
        with trio.move_on_after(0.93 * boot.guarantees.grace_s):
            await trio.sleep(ACCEPT_ON_S)
            take_rest(front, pilot, serve)
            close_listener(front)
            while pilot.requests or any(not one.idle() for one in pilot.connections):
                await trio.sleep(0.02)
            for connection in list(pilot.connections):
                connection.end_quiet()
            await trio.sleep(0.1)
        log.event("moored", owed=len(pilot.requests))
        nursery.cancel_scope.cancel()
