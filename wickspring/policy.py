"""Every decision of a gateway; its settings, events and actions are the types of `interface.py`."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from typing import Any

from wickspring import interface as api
from wickspring.interface import Effect, Group, Readiness, Status
from wickspring.quota.account import LONG_AGO, Account, opened
from wickspring.routing.aperture import near
from wickspring.routing.room import Room
from wickspring.routing.silence import Sizes
from wickspring.state import Held, Server

MARGIN = 20.0  # ms before a deadline at which the final answer is given; several ticks of any host
ACCOUNT_LIFE = 60_000.0  # ms unused after which an account says no more than a new one would
HEAT_ASKED = 1.5  # times its quota that a customer is still asked for while calls are short
ASK_CUT, ASK_GROW = 0.8, 0.02  # odds of a call: part kept after a miss, more after an answer; so a slow
ASK_LEAST = 0.1  # or small counter is not drowned; so many requests of any fleet show its return
UNITS_MEMORY = 50.0  # requests in the mean of their units
ASK_DELAY = 0.5  # of its time-out: an answer as late as this cuts as a miss does, before the line is too long
RETRY_SHARE, RETRY_LEAST = 0.5, 0.1  # attempts more, earned per request; the less while answers are slow:
RETRY_MOST = 5.0  # a brown-out is not fed; saved by one gateway at most, half of it at first
QUIET_SHARE, QUIET_ANSWERS = 0.35, 3.0  # of the aim, and mean answer times, before an attempt is looked into
SHUN_MS, SHUN_MOST = 2000.0, 8  # ms without new work for each failure in a row, and failures that count
NEAR_DRAWS = 6  # of the draws, those among the servers that this gateway keeps to
COLD_LOAD = 2.5  # times the warmth of all servers: part of the requests sent on while most are cold
FAR_COST = 2.0  # times as much a server costs that is not near: it has no connection from here yet
DRAWS, COLD_DRAWS, COLD_CARE = 8, 2, 0.5  # servers drawn; draws open to cold ones, at odds in their warmth
PROBE_WAIT, STALL = 60.0, 60.0  # ms for an answer to a probe; ms late that a timer is after an own stall
HOLD_SHARE = 0.12  # of the aim: a request held longer without a server is refused, it would be late
FULL_PART, MEMORY = 0.1, 8.0  # part of every plan told full, above which servers are; answers in a mean
CROSS_COST, FEW = 1.0, 4  # requests more that the own zone's may hold, among so many gateways; beyond, less


class Policy:
    """Decides for one gateway. Feed it each event with the time; carry out the actions in order."""

    def __init__(self, settings: api.Settings, shared: api.PeerState | None = None) -> None:
        self.settings, self.shared = settings, shared or api.PeerState()
        self.now = LONG_AGO
        self.actions: list[api.Action] = []
        self.servers: dict[api.ServerId, Server] = {}
        self.accounts: dict[int, Account] = {}
        self.held: dict[int, Held] = {}
        self.attempts: dict[tuple[int, int], tuple[Server, Account]] = {}  # out, of answered requests too
        self.line: list[tuple[float, float, int]] = []  # heap of requests that wait for a server: worth, end
        self.due: list[tuple[float, int]] = []  # heap of looks at requests, by time
        self.timer_at, self.timer_token = float("inf"), 0  # of the earliest timer that has been asked for
        self.random = Random(settings.seed)
        self.lone = min(1.0, FEW / max(1, settings.gateways))  # how far the own attempts out stand for all
        self.ready: list[Server] = []
        self.near: list[Server] = []  # those of the ready that this gateway keeps to
        self.near_part, self.warm, self.warm_from = 1.0, 1.0, LONG_AGO  # how far; warmth of all; until when
        self.calls: dict[int, deque[tuple[Account, int, float, int, float]]] = {}  # by name, in order
        self.ask, self.cut_at = 1.0, LONG_AGO  # odds of a call; when they were last cut
        self.units = 0.0  # mean of the requests'
        self.room = Room()  # for attempts
        self.streams: dict[tuple[int, int], Server] = {}  # attempts whose bytes flow, which need none
        self.aim = sum(kind.target_latency for kind in settings.classes) / max(
            1, len(settings.classes)
        )  # mean, ms
        self.full = [0.0 for _ in settings.plans]  # part of each plan's attempts that were turned away
        self.retries = RETRY_MOST / 2
        self.sizes = Sizes()  # answer times by size
        self.answer_ms = [0.0 for _ in settings.classes]  # mean answer times
        self.takes: dict[type, Callable[[Any], None]] = {
            api.Request: self._request,
            api.Outcome: self._outcome,
            api.CountAnswer: self._counted,
            api.TimerFired: self._look,
            api.ProbeResult: self._probed,
            api.ServerList: self._listed,
            api.StreamStarted: self._with_client,
            api.Withdrawn: self._with_client,
            api.Avoid: self._avoid,
            api.PeerMessage: lambda _: None,  # passed over: the counter is what the gateways share
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event in and return what to do."""
        self.actions = []
        if self.now == LONG_AGO and self.settings.list_on_request:
            self.actions.append(api.FollowList())
        self.now = now
        self.takes[type(event)](event)
        if self.due and self.due[0][0] < self.timer_at:  # timers by need: an idle gateway costs nothing
            self.timer_at, self.timer_token = self.due[0][0], self.timer_token + 1
            self.actions.append(api.SetTimer(self.timer_token, max(0.0, self.timer_at - now)))
        return self.actions

    # Quota: one add per request to the customer's count of the window; refusal when the store is spent.

    def _request(self, request: api.Request) -> None:
        account = self.accounts.pop(request.customer, None)
        account = account or opened(request, self.settings, self.now, self.shared.concurrency_budget(request))
        self.accounts[request.customer] = account  # the longest unused come first, and are dropped
        kind = self.settings.classes[request.class_index]
        held = self.held[request.request] = Held(request, kind, account, self.now)
        self.retries = min(self.retries + (RETRY_SHARE, RETRY_LEAST)[self.room.slow], RETRY_MOST)
        account.units = request.units
        self.units += (request.units - self.units) / (UNITS_MEMORY if self.units else 1.0)
        account.refill(self.now)
        others, window = self.shared.peer_usage, account.window
        account.hear(others(account.customer, window), others(account.customer, window - 1))
        while (oldest := next(iter(self.accounts.values()))).at < self.now - ACCOUNT_LIFE:
            del self.accounts[oldest.customer]
        if request.deadline - self.now < 2 * MARGIN:
            self._refuse(held)  # nothing could be answered in what is left
            return
        heappush(self.due, (request.deadline - MARGIN, request.request))
        if self.settings.may_count and account.must_read(request.units):
            self._count(account, 0.0, -1, before=1)
        if account.plan.rate <= 0:
            (self._admit if account.ceiling.room(False) >= request.units else self._refuse)(held)
        elif account.room(True) - account.asked < request.units or (
            self.ask < 1.0 and self._hot(account, HEAT_ASKED)
        ):
            # Known to be spent, if by what is being asked for (a heap of requests at once would drown the
            # counter), or far over while calls are short: no call.
            self._refuse(held)
        elif self.settings.may_count and self.random.random() < (odds := self._odds(account)):
            held.asking, owed, account.owed = True, account.owed, 0.0
            # Of many gateways each call stands for those not made: the next from here would come too late.
            amount = request.units / odds if account.windows.flat else request.units + owed
            self._count(account, amount, request.request, request.units)
        elif self._decide_alone(held):
            account.owed += request.units  # told with the next call

    def _odds(self, account: Account) -> float:
        """Return the odds of a call; of many gateways in proportion to units, which estimates use best."""
        if account.windows.flat and self.ask < 1.0:
            return min(1.0, self.ask * account.units / max(self.units, 1e-6))
        return self.ask

    def _count(
        self, account: Account, amount: float, request: int, asked: float = 0.0, before: int = 0
    ) -> None:
        window = account.window - before
        name = (window % 2**31) << 33 | account.customer
        self.calls.setdefault(name, deque()).append((account, window, amount, request, asked))
        account.asked += asked
        self.actions.append(api.Count(name, amount, 2 * account.windows.length))

    def _counted(self, answer: api.CountAnswer) -> None:
        if not (calls := self.calls.get(answer.name)):
            return
        account, window, amount, number, asked = calls.popleft()
        account.asked = max(0.0, account.asked - asked)
        if not calls:
            del self.calls[answer.name]
        account.refill(self.now)
        limit = self.settings.count_timeout
        if answer.status is Status.OK and answer.elapsed < ASK_DELAY * limit:
            self.ask = min(1.0, self.ask + ASK_GROW)
        elif answer.status is not Status.RESET and self.now >= self.cut_at + limit:
            # Misses and late answers come in heaps: one cut for each. A spoilt answer tells of no crowd.
            self.ask, self.cut_at = max(ASK_LEAST, ASK_CUT * self.ask), self.now
        if window == account.window and answer.status is Status.OK:
            account.learn(self.now, amount, answer.total)
        elif window == account.window:
            account.owed += amount * answer.status.never_ran
        elif window == account.window - 1 and answer.status is Status.OK:
            account.ceiling.caught_up(answer.total, amount)
        held = self.held.get(number)
        if held is None or not held.asking:
            return
        held.asking = False
        seen = window == account.window and not account.windows.flat  # flat ones' totals are estimates
        if answer.status is not Status.OK:
            self._decide_alone(held)
        elif account.room(seen) >= held.request.units:
            self._admit(held, seen)
        else:  # a refused try takes nothing from the quota: its units come off again, at once or by the way
            account.owed -= held.request.units if seen else 0.0
            if self.ask >= 1.0 and account.owed < 0.0:
                self._count(account, account.owed, -1)
                account.owed = 0.0
            self._refuse(held)

    def _hot(self, account: Account, times: float) -> bool:
        """Tell by odds whether a try is above so many times the quota of a customer lately seen over it."""
        heat = account.recent_heat(self.now)
        return heat > times and self.random.random() > times / heat

    def _decide_alone(self, held: Held) -> bool:
        """Without the counter's answer: own part of the quota, less for who was seen far over it.

        Where all others of the customer's set tell what they send on, it is what they have left.
        """
        account = held.account
        if self.shared.receives_all_counts(self.now, account.first, account.spread):
            account.heard_at, may = self.now, account.room(False) >= held.request.units
        else:
            may = account.room_alone() >= held.request.units and not self._hot(account, 1.0)
        if may:
            return self._admit(held)
        self._refuse(held)
        return False

    def _admit(self, held: Held, seen: bool = False) -> bool:
        account = held.account
        if not self.shared.may_take(self.now, account.cap) if account.cap else account.at_cap(self.now):
            self._refuse(held)
            return False
        units, until = held.request.units, self.now + account.window_left
        account.pay(units, seen)
        self.shared.record_usage(
            account.customer, account.window, units, until, account.first, account.spread
        )
        self._send(held)
        return True

    # Choice of server.

    def _warmth(self, server: Server) -> float:
        """Return the share of its full capacity that a server surely has by now."""
        age, cold = max(0.0, self.now - server.cold_from), self.settings.cold_capacity
        return min(1.0, cold + (1.0 - cold) * age / max(1.0, self.settings.cold_time))

    def _choose(self, held: Held) -> Server | None:
        """Return the best of a few servers drawn by chance, or none while all that may be is out."""
        fair = len(self.ready) / max(1, self.settings.gateways)  # one attempt a server, of the whole fleet
        if not self.ready or not self.room.fits(len(self.attempts) + self.random.random(), fair):
            return None  # by odds, for the part may be under one
        self._see_warmth()
        if self.warm < 1.0 / COLD_LOAD and self.random.random() > COLD_LOAD * self.warm:
            return None  # all servers together can take no more than so much
        drawn: list[Server] = []
        few = self.lone >= 1.0
        for draw in range(DRAWS if self.near is self.ready else 2 * DRAWS):
            if draw >= DRAWS and drawn:
                break  # most of the near ones are cold, or not in the group
            servers = self.near if draw < NEAR_DRAWS * self.near_part else self.ready
            server = servers[int(self.random.random() * len(servers))]
            warmth = self._warmth(server)
            # One of many sees none of the heap that a few wary ones make at the servers that are warm: where
            # most are new, each gets its part by its warmth, which is far from pushing it over.
            shut, odds = few and draw >= COLD_DRAWS, (COLD_CARE if few else 1.0) * warmth
            cold = warmth < 1.0 and (shut or self.random.random() > odds)
            if not cold and self._in_group(held, server.entry):
                drawn.append(server)
        if not drawn and held.ran is not None:  # its group is small, and no draw has come upon it
            drawn = [s for s in self.ready if self._warmth(s) >= 1.0 and self._in_group(held, s.entry)]
        drawn.sort(key=lambda server: self._cost(held, server))
        return next((server for server in drawn if self._may_warm(server)), None)

    def _may_warm(self, server: Server) -> bool:
        name = f"cold {server.entry.server.decode('latin-1')}"
        return self._warmth(server) >= 1.0 or self.shared.take(self.now, name)

    def _see_warmth(self) -> None:
        """Of many gateways: see how warm the servers are, and the near ones against all."""
        self.warm = self.near_part = 1.0
        if self.lone < 1.0 and self.now < self.warm_from:
            at_near, at_all = (sum(map(self._warmth, some)) / len(some) for some in (self.near, self.ready))
            self.warm, self.near_part = at_all, min(1.0, at_near / at_all)  # only cold ones near: look on

    def _cost(self, held: Held, server: Server) -> float:
        """Return the work for its size at a server; far more where it is shunned or has been tried."""
        entry, part = server.entry, server.shun_part.get
        by_part = max(part(held.request.class_index, 0.0), part(-1 - held.request.plan_index, 0.0))
        warmth = math.pow(self._warmth(server), self.lone)  # of many, the odds of a draw have seen to it
        if self.lone >= 1.0 and not server.out:
            warmth = 1.0  # one request is not too much: else it would be unused until it is warm
        cost = (server.order.load + self._work(held)) * self._pace(server) / max(entry.weight, 1e-3) / warmth
        cost += CROSS_COST * self.lone * (entry.zone != self.settings.zone and not self.room.slow)
        cost += 100.0 * (entry.server in held.tried)
        cost *= 1.0 if server.near else max(1.0, FAR_COST * self.near_part)
        return cost + 1000.0 * (self.now < max(server.shun_until, by_part))

    def _work(self, held: Held) -> float:
        """Return what a request adds to a server; one of many gateways sees too few answers to weigh it."""
        return self.sizes.weight(held.request.units) if self.lone >= 1.0 else 1.0

    def _pace(self, server: Server) -> float:
        """Return how many times as much a server's pace makes it cost; few see its load without it."""
        if self.lone >= 1.0:
            return 1.0
        waiting = (self.now - server.pace.since) / self.aim if server.out else 0.0
        return server.pace.against(self.now, self.room.delay, 1.0 - self.lone, waiting)

    def _in_group(self, held: Held, entry: api.ServerEntry) -> bool:
        """Keep a keyed request that may have run with the servers that would drop its repeat."""
        ran, kind = held.ran, held.kind
        if ran is None or kind.effect is Effect.SAFE:
            return True
        if kind.effect is Effect.UNSAFE or self.now > held.ran_at + kind.repeat_window - MARGIN:
            return False
        if kind.group is Group.ZONE:
            return ran.entry.zone == entry.zone
        return kind.group is Group.ALL or ran.entry.cell == entry.cell

    # Attempts and final answers.

    def _send(self, held: Held) -> None:
        number, attempt = held.request.request, len(held.tried)
        may = attempt < self.settings.most_attempts and self.shared.may_take(self.now, held.account.cap)
        server = self._choose(held) if may else None
        if server is None:
            if held.request.repeat and not held.tried:
                self._refuse(held)  # first tries before repeats while there is no room
            elif not held.open and not held.waiting:
                held.waiting = True
                until = max(self.now, held.arrived + HOLD_SHARE * held.kind.target_latency)
                heappush(self.line, (-held.kind.value, until, number))
                heappush(self.due, (until, number))
            return
        held.tried.append(server.entry.server)
        held.waiting, held.sent_at, held.probed_at = False, self.now, None
        held.open[attempt], self.attempts[number, attempt] = server, (server, held.account)
        if held.ran is None:
            held.ran, held.ran_at = server, self.now
        server.pace.sent(self.now, server.out)
        server.out += 1
        server.order.begin((number, attempt), self._work(held))
        held.account.out.change(self.now, 1)
        self.shared.take(self.now, held.account.cap)
        heappush(self.due, (self.now + self._patience(held), number))
        self.actions.append(api.Send(number, server.entry.server, 0.0))

    def _patience(self, held: Held) -> float:
        """Return for how long an attempt may go unanswered before it is looked into."""
        aim, answer = min(held.kind.target_latency, held.request.deadline - held.arrived), self.answer_ms
        usual = max(answer[held.request.class_index], self.sizes.usual(held.request.units))
        return max(QUIET_SHARE * aim, QUIET_ANSWERS * usual)

    def _outcome(self, outcome: api.Outcome) -> None:
        key = outcome.request, outcome.attempt
        server = self.streams.pop(key, None) or self._off(key, outcome.status is Status.OK)
        if server is None:
            return
        self._judge(server, outcome.status)
        held = self.held.get(outcome.request)
        if held is None:
            return
        if outcome.status in (Status.OK, Status.CANCELLED):
            taken, answered = outcome.elapsed / held.kind.target_latency, outcome.status is Status.OK
            server.pace.learn(self.now, taken, answered, self.room.delay, 1.0 - self.lone)
        held.open.pop(outcome.attempt, None)
        held.unclear |= not outcome.status.never_ran
        held.ran = held.ran if held.open or held.unclear else None
        self._learn_health(held, server, outcome)
        if outcome.over:
            self._end(held)
            settled = outcome.settled_units if outcome.status is Status.OK else 0.0
            if settled > 0 and self.settings.settles_later and self.settings.may_count:
                self._count(held.account, settled - held.request.units, -1)
        elif not held.open:
            self._again(held, free=outcome.status is Status.CONNECT_FAILED)
        self._serve_line()

    def _off(self, key: tuple[int, int], answered: bool = False) -> Server | None:
        """Count an attempt as out no longer, `answered` or not."""
        server, account = self.attempts.pop(key, (None, None))
        if server is not None and account is not None:
            server.out -= 1
            server.order.end(key, answered)
            account.out.change(self.now, -1)
            self.shared.release(self.now, account.cap)
            server.pace.ended(self.now)
        return server

    def _learn_delay(self, held: Held, elapsed: float) -> None:
        fair = len(self.ready) / max(1, self.settings.gateways)
        self.room.learn(self.now, elapsed / held.kind.target_latency, len(self.attempts), fair)

    def _again(self, held: Held, free: bool) -> None:
        """Try once more where class, budget and time allow; else give the final answer."""
        cost, late = 0.0 if free else 1.0, self.now >= held.request.deadline - MARGIN
        if late or len(held.tried) >= self.settings.most_attempts or not self._retry(cost):
            self._give_up(held)
        else:
            self._send(held)

    def _retry(self, cost: float = 1.0) -> bool:
        """Take a further attempt out of what is earned, and out of what all gateways may make."""
        if self.retries < cost or (cost and not self.shared.take(self.now, "retries")):
            return False
        self.retries -= cost
        return True

    def _give_up(self, held: Held) -> None:
        kind = held.kind
        keyed_all = kind.effect is Effect.KEYED and kind.group is Group.ALL
        if held.ran is None or keyed_all or kind.effect is Effect.SAFE:
            self._refuse(held)
        else:
            self.actions.append(api.Fail(held.request.request))
            self._end(held)

    def _refuse(self, held: Held) -> None:
        self.actions.append(api.Refuse(held.request.request, held.account.window_left))
        self._end(held)

    def _end(self, held: Held) -> None:
        del self.held[held.request.request]
        if self.settings.may_cancel and not held.streaming:
            self.actions += [api.Cancel(held.request.request, attempt) for attempt in held.open]

    def _with_client(self, event: api.StreamStarted | api.Withdrawn) -> None:
        held = self.held.get(event.request)
        if held is not None and isinstance(event, api.StreamStarted):
            held.streaming = True  # neither deadline nor further attempts from here on, and no room taken:
            key = event.request, event.attempt  # nobody works on what flows
            if (server := self._off(key)) is not None:
                self.streams[key] = server
                self._serve_line()  # for outcomes may not come for long
        elif held is not None:
            self._end(held)

    # Health: what is seen of each server.

    def _listed(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            heappush(self.due, (self.now + self.settings.list_ask_within / 10, -1))  # no request: the list
            return
        if event.kind is not api.ListKind.CHANGES:  # what a whole list leaves out is gone
            for server in self.servers.values():
                server.entry = replace(server.entry, readiness=Readiness.GONE)
        for entry in event.entries:
            start = entry.started_at if entry.started_at > 0 else LONG_AGO
            server = self.servers.setdefault(entry.server, Server(entry, start))
            server.entry, server.cold_from = entry, max(server.cold_from, start)
        for gone in [k for k, s in self.servers.items() if s.entry.readiness is Readiness.GONE and not s.out]:
            del self.servers[gone]
        self.ready = [s for s in self.servers.values() if s.entry.readiness is Readiness.READY]
        ring = sorted(self.ready, key=lambda server: server.entry.server)
        part = near(ring, self.settings.own_number, self.settings.gateways)
        self.near = part if len(part) < len(ring) else self.ready
        latest = max((server.cold_from for server in self.ready), default=LONG_AGO)
        self.warm_from = latest + self.settings.cold_time
        for server in self.ready:
            server.near = False
        for server in self.near:
            server.near = True
        self._serve_line()

    def _avoid(self, event: api.Avoid) -> None:
        for name, until in event.servers:
            if (server := self.servers.get(name)) is not None:
                server.shun_until = max(server.shun_until, until)

    def _judge(self, server: Server, status: Status) -> None:
        """Shun what fails, longer with each failure in a row; cancelled attempts tell nothing."""
        if status not in (Status.CANCELLED, Status.MOOT, Status.FULL):
            entry, good = server.entry, status is Status.OK
            self.shared.record_outcome(self.now, entry.server, entry.started_at, good)
        if status is Status.OK:
            server.heard_at, server.fails, server.shun_until = self.now, 0, LONG_AGO
        elif status is Status.FULL:
            server.heard_at = self.now
        elif status not in (Status.CANCELLED, Status.MOOT):
            self._shun(server)

    def _learn_health(self, held: Held, server: Server, outcome: api.Outcome) -> None:
        """Learn by class and plan: a server may serve others well and leave one class or plan out."""
        index, plan, full = held.request.class_index, held.request.plan_index, outcome.status is Status.FULL
        if full or outcome.status is Status.OK:
            self.full[plan] += (full - self.full[plan]) / MEMORY
        if full:
            server.shun_part[-1 - plan] = self.now + SHUN_MS * SHUN_MOST
            if min(self.full) > FULL_PART:  # full to one plan alone is that plan's throttle
                self._learn_delay(held, held.kind.target_latency)
        elif outcome.status is Status.OK:
            self._learn_delay(held, outcome.elapsed)
            server.shun_part.pop(index, None)
            server.served_at[index] = self.now
            self.sizes.learn(held.request.units, outcome.elapsed)
            self.answer_ms[index] += (outcome.elapsed - self.answer_ms[index]) / MEMORY

    def _shun(self, server: Server) -> None:
        server.fails = min(server.fails + 1, SHUN_MOST)
        server.shun_until = self.now + SHUN_MS * server.fails

    def _probed(self, result: api.ProbeResult) -> None:
        if result.server in self.servers and result.status in (Status.OK, Status.FULL):
            self.servers[result.server].heard_at = self.now  # its load report is passed over: it is late

    def _look(self, timer: api.TimerFired) -> None:
        """Look at the requests that are due; after a stall of the own, only once its news is read."""
        if timer.token != self.timer_token:
            return
        stalled, self.timer_at = self.now - self.timer_at > STALL, float("inf")
        while self.due and self.due[0][0] <= self.now + 0.01:  # clocks are rounded
            number = heappop(self.due)[1]
            self.actions += [api.FollowList()] if number == -1 else []
            held = self.held.get(number)
            if held is None or held.streaming:
                continue
            if self.now >= held.request.deadline - MARGIN:
                if held.open:  # no answer within the client's time tells of delay as an answer does
                    self._learn_delay(held, held.kind.target_latency)
                self._give_up(held)
            elif stalled:
                heappush(self.due, (self.now + MARGIN, number))
            elif held.waiting and self.now >= held.arrived + HOLD_SHARE * held.kind.target_latency:
                self._give_up(held)
            elif held.open:
                self._check(held)

    def _check(self, held: Held) -> None:
        """Copy or move a request whose attempt has gone quiet, where the class lets it run again."""
        number, asked, patience = held.request.request, held.probed_at, self._patience(held)
        if asked is None and self.now < held.sent_at + patience:
            return  # a later attempt has a look of its own
        server = list(held.open.values())[-1]
        movable = held.kind.effect is not Effect.UNSAFE and self.retries >= 1.0
        overtaken = server.order.overtaken((number, max(held.open)))
        if overtaken and self.sizes.late(held.request.units, self.now - held.sent_at) and movable:
            if self.settings.parallel_attempts and self._retry():  # its answer is lost, and the server well
                self._send(held)
            elif self.settings.may_cancel and not self.settings.parallel_attempts:
                self.actions += [api.Cancel(number, attempt) for attempt in held.open]
        elif server.served_at.get(held.request.class_index, LONG_AGO) > held.sent_at:
            heappush(self.due, (self.now + patience, number))  # busy, not silent: a copy would load it more
        elif self.settings.parallel_attempts:  # whether or not others are served there, this class was not
            server.shun_part[held.request.class_index] = self.now + SHUN_MS * SHUN_MOST
            if movable and self._retry():
                self._send(held)
        elif asked is None and self.settings.may_probe and self.shared.take(self.now, "probes"):
            held.probed_at = self.now
            self.actions.append(api.Probe(server.entry.server))
            heappush(self.due, (self.now + PROBE_WAIT, number))
        elif server.heard_at >= (asked or held.sent_at):
            held.probed_at = None  # it lives, and is slow: moving the work would do it twice
            heappush(self.due, (self.now + patience, number))
        else:
            self._shun(server)
            if movable and self.settings.may_cancel:
                self.actions += [api.Cancel(number, attempt) for attempt in held.open]

    def _serve_line(self) -> None:
        """Send what waits, worthiest first, then most pressing; what is left is refused as its hold ends."""
        while self.line:
            held = self.held.get(heappop(self.line)[2])
            if held is not None and held.waiting:
                held.waiting = False
                self._send(held)
                if held.waiting:
                    return
