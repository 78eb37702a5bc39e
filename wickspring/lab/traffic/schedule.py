"""The script of a run: who asks for what and when, drawn ahead from the seed. Nothing here runs or waits."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from typing import Any

from wickspring.lab.emulation.shape import PlanShape, Shape
from wickspring.lab.experiments.scenario import Scenario

SLACK_MS = 50.0  # by which every limit of the rules is extended on sockets
CEILING_SLACK = 0.1  # of what a ceiling holds; one of the largest requests at least


@dataclass(slots=True, frozen=True)
class Firm:
    """A member firm."""

    customer: int
    plan: int
    spread: int
    first: int
    heavy: bool


@dataclass(slots=True, frozen=True)
class Try:
    """One request of a client, as it is scheduled."""

    number: int
    at_ms: float
    firm: Firm
    kind: int
    units: int
    work_ms: float
    budget_ms: float
    ingress: int
    call_id: str
    key: str


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quota, and its hard ceiling where it has one."""

    rate: float  # units a second
    burst: float
    ceiling_rate: float = 0.0  # 0: none
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True, frozen=True)
class Script:
    """All of a run that chance decides."""

    firms: tuple[Firm, ...]
    plans: tuple[Plan, ...]
    tries: tuple[Try, ...]


def write(scenario: Scenario, seed: int) -> Script:
    """Draw firms and arrivals; the same seed gives the same script."""
    random, clients, gateways = Random(f"script {seed}"), scenario.clients, scenario.ingresses.count
    shape = scenario.shape
    firms = []
    for index in range(clients.firms):
        plan = random.choices(range(len(shape.plan)), [plan.share for plan in shape.plan])[0]
        spread = min(gateways, random.randint(*shape.spread)) if gateways > 1 else 1
        heavy = random.random() < clients.heavy
        firms.append(Firm(1000 + index * 7919, plan, spread, random.randrange(gateways), heavy))
    usual = sum(shape.plan[firm.plan].rate for firm in firms)
    mean_units = (1 + clients.most_units) / 2
    scale = clients.rate * mean_units * clients.quota_x / usual
    plans = tuple(_plan(plan, scale, clients.most_units) for plan in shape.plan)
    weights = [
        shape.plan[firm.plan].rate * (clients.heavy_x * clients.quota_x if firm.heavy else 1.0)
        for firm in firms
    ]
    sums = list(accumulate(weights))
    rate = clients.rate * sums[-1] / usual  # heavy firms come on top
    places = _Places(scenario, seed, firms)
    kinds, shares = range(len(shape.kind)), [kind.share for kind in shape.kind]
    tries, now = list[Try](), 0.0

    def ask(at: float, firm: Firm, random: Random) -> None:
        kind, number = random.choices(kinds, shares)[0], len(tries)
        units = random.randint(1, clients.most_units)
        work = clients.work_ms[kind % len(clients.work_ms)] * random.lognormvariate(-0.08, 0.4)
        budget = shape.kind[kind].deadline_ms * random.uniform(0.5, 1.0)
        ingress = (firm.first + places.choose(at, firm, random)) % gateways
        call_id, key = f"{random.getrandbits(64):016x}", f"{random.getrandbits(128):032x}"
        key = key if shape.kind[kind].effect == "by_key" else ""
        tries.append(Try(number, at, firm, kind, units, work, budget, ingress, call_id, key))

    while True:
        now += random.expovariate(rate / 1000.0)
        if now >= 1000.0 * scenario.seconds:
            break
        ask(now, firms[bisect(sums, random.random() * sums[-1])], random)
    for index, caller in enumerate(scenario.hot_caller):
        aside = Random(f"hot caller {seed} {index}")  # the others ask as they would without it
        firm, at = aside.choice(firms), 1000.0 * caller.at_s
        until = min(1000.0 * (caller.at_s + caller.for_s), 1000.0 * scenario.seconds)
        while (at := at + aside.expovariate(rate * caller.load / 1000.0)) < until:
            ask(at, firm, aside)
    ordered = sorted(tries, key=lambda one: one.at_ms)
    return Script(tuple(firms), plans, tuple(ordered))


def _plan(plan: PlanShape, scale: float, most_units: int) -> Plan:
    """Scale a plan to the load."""
    least = (4.0 if plan.ceiling else 2.0) * most_units
    rate, burst = plan.rate * scale, max(plan.rate * scale * plan.burst_s, least)
    slack = max(CEILING_SLACK * plan.ceiling * burst, float(most_units)) if plan.ceiling else 0.0
    return Plan(rate, burst, plan.ceiling * rate, plan.ceiling * burst, slack)


class _Places:
    """Through which ingress of its set a firm's requests come, which may be uneven and change."""

    def __init__(self, scenario: Scenario, seed: int, firms: list[Firm]) -> None:
        self.scenario, self.seed = scenario, seed
        self.gathered = [
            {one.customer for one in firms if Random(f"{seed} {index} {one.customer}").random() < hot.share}
            for index, hot in enumerate(scenario.hot_key)
        ]

    def choose(self, at: float, firm: Firm, random: Random) -> int:
        """Return the place in the set, drawing from `random` where chance decides."""
        clients, even = self.scenario.clients, random.randrange(firm.spread)
        turn = int(at / (1000.0 * clients.shift_s)) if clients.shift_s > 0 else 0
        busiest = Random(f"busiest {self.seed} {firm.customer} {turn}").randrange(firm.spread)
        for hot, firms in zip(self.scenario.hot_key, self.gathered, strict=True):
            if 0.0 <= at - 1000.0 * hot.at_s < 1000.0 * hot.for_s and firm.customer in firms:
                return busiest
        return busiest if clients.skew > 0 and random.random() < clients.skew else even


def settings(scenario: Scenario, script: Script, number: int) -> dict[str, Any]:
    """Write the settings of one gateway, in the words of the platform."""
    shape = scenario.shape
    return {
        "Family": "gate",
        "Siblings": scenario.ingresses.count,
        "SelfIndex": number,
        "Tier": 0,
        "Zone": number % scenario.servers.halls,
        "Zones": [zone(shape, hall) for hall in range(scenario.servers.halls)],
        "Shapes": ["std-2"],
        "Tick": 4.0,
        "Discovery": "pushed",
        "Clients": {"MarksRetry": shape.marks_retries},
        "Lanes": [
            {
                "Name": kind.name,
                "Effect": kind.effect,
                "Group": kind.group,
                "Window": kind.window_ms,
                "Promise": kind.aim_ms,
                "Deadline": kind.deadline_ms,
                "Worth": kind.worth,
                "LateWorth": kind.late_worth,
                "Stream": False,
            }
            for kind in shape.kind
        ],
        "Packages": [
            {
                "Name": plan.name,
                "UnitsPerS": quota.rate,
                "PeakUnits": quota.burst,
                "MaxOut": 0,
                "WorthFactor": plan.price,
                "OverCost": plan.over_cost,
                "ExtraWorth": plan.over_worth,
                "NeverOverRate": quota.ceiling_rate,
                "NeverOverDepth": quota.ceiling_burst,
                "HardSlack": quota.ceiling_slack,
            }
            for plan, quota in zip(shape.plan, script.plans, strict=True)
        ],
        "Domain": {
            "MayCount": True,
            "CountFee": shape.counter_fee,
            "CountLimit": shape.counter_limit_ms,
            "Largest": scenario.clients.most_units,
            "PostPaid": False,
            "Metering": 0,
        },
        "Permissions": {
            "Cancelling": True,
            "DialTimeout": 250,
            "IdleClose": scenario.servers.idle_close_ms,
            "MaxAttempts": shape.attempts,
            "MaxRetryAfter": 1000,
            "ParallelTries": shape.parallel,
            "Probing": shape.probing,
            "RetryAfter": True,
            "StreamsPerConn": 100,
        },
        "Obligations": {
            "AnswerSlack": 16,
            "AskWithin": 10000,
            "DrainGrace": shape.drain_grace_ms,
            "OverloadFactor": shape.fall_factor,
            "StartCapacity": scenario.servers.cold_share,
            "TipAfter": shape.fall_ms,
            "WarmWithin": 1000.0 * scenario.servers.warm_s,
        },
        "Prices": {"Waste": shape.waste, "LateFail": shape.late_fail},
        "Telemetry": {"Fields": ["concurrent", "tps"], "How": "probe" if shape.probing else "none"},
    }


def zone(shape: Shape, hall: int) -> str:
    """Name a hall as the site does."""
    return f"{shape.zone_name}-{chr(97 + hall)}"
