"""The script of a run: who asks for what and when, drawn ahead from the seed. Nothing here runs or waits."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from typing import Any

from wickspring.lab.scenario import Scenario

CLASSES = ("ticket-view", "ticket-reply", "ticket-escalate")
CLASS_SHARES = (0.38, 0.31, 0.31)
DEADLINES_MS = (2000.0, 2500.0, 3000.0)
AIMS_MS = (600.0, 1000.0, 1000.0)
REPEAT_WINDOW_MS = 2500.0
PLANS = ("basic", "standard", "premium")
PLAN_SHARES = (0.5, 0.3, 0.2)
PLAN_RATES = (1.6, 7.0, 27.0)  # units a second, before scaling; their proportions are kept
PLAN_BURST_S = (4.3, 4.5, 2.1)
DRAIN_GRACE_MS = 500.0
SLACK_MS = 50.0  # by which every limit of the rules is extended on sockets
FALL_FACTOR, FALL_MS = 4.0, 1500.0


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
    """A plan's quota."""

    rate: float  # units a second
    burst: float


@dataclass(slots=True, frozen=True)
class Script:
    """All of a run that chance decides."""

    firms: tuple[Firm, ...]
    plans: tuple[Plan, ...]
    tries: tuple[Try, ...]


def write(scenario: Scenario, seed: int) -> Script:
    """Draw firms and arrivals; the same seed gives the same script."""
    random, clients, gateways = Random(f"script {seed}"), scenario.clients, scenario.ingresses.count
    firms = []
    for index in range(clients.firms):
        plan = random.choices(range(3), PLAN_SHARES)[0]
        spread = min(gateways, random.randint(2, 4)) if gateways > 1 else 1
        heavy = random.random() < clients.heavy
        firms.append(Firm(1000 + index * 7919, plan, spread, random.randrange(gateways), heavy))
    usual = sum(PLAN_RATES[firm.plan] for firm in firms)
    mean_units = (1 + clients.most_units) / 2
    scale = clients.rate * mean_units * clients.quota_x / usual
    plans = tuple(
        Plan(rate * scale, max(rate * scale * burst, 2.0 * clients.most_units))
        for rate, burst in zip(PLAN_RATES, PLAN_BURST_S, strict=True)
    )
    weights = [
        PLAN_RATES[firm.plan] * (clients.heavy_x * clients.quota_x if firm.heavy else 1.0) for firm in firms
    ]
    sums = list(accumulate(weights))
    rate = clients.rate * sums[-1] / usual  # heavy firms come on top
    tries, now = list[Try](), 0.0
    while True:
        now += random.expovariate(rate / 1000.0)
        if now >= 1000.0 * scenario.seconds:
            break
        firm = firms[bisect(sums, random.random() * sums[-1])]
        kind, number = random.choices(range(3), CLASS_SHARES)[0], len(tries)
        units = random.randint(1, clients.most_units)
        work = clients.work_ms[kind] * random.lognormvariate(-0.08, 0.4)
        budget = DEADLINES_MS[kind] * random.uniform(0.5, 1.0)
        ingress = (firm.first + random.randrange(firm.spread)) % gateways
        call_id, key = f"{random.getrandbits(64):016x}", f"{random.getrandbits(128):032x}"
        tries.append(
            Try(number, now, firm, kind, units, work, budget, ingress, call_id, key if kind == 1 else "")
        )
    return Script(tuple(firms), plans, tuple(tries))


def settings(scenario: Scenario, script: Script, number: int) -> dict[str, Any]:
    """Write the settings of one gateway, in the words of the platform."""
    effects = ("repeatable", "by_key", "once")
    return {
        "Family": "gate", "Siblings": scenario.ingresses.count, "SelfIndex": number, "Tier": 0,
        "Zone": number % scenario.servers.halls,
        "Zones": [f"hall-{chr(97 + hall)}" for hall in range(scenario.servers.halls)],
        "Shapes": ["std-2"], "Tick": 4.0, "Discovery": "pushed", "Clients": {"MarksRetry": True},
        "Lanes": [
            {
                "Name": name, "Effect": effects[index], "Group": "zone" if index == 1 else "all",
                "Window": REPEAT_WINDOW_MS, "Promise": AIMS_MS[index], "Deadline": DEADLINES_MS[index],
                "Worth": (1, 5, 3)[index], "LateWorth": 0.1, "Stream": False,
            }
            for index, name in enumerate(CLASSES)
        ],
        "Packages": [
            {
                "Name": name, "UnitsPerS": script.plans[index].rate, "PeakUnits": script.plans[index].burst,
                "MaxOut": 0, "WorthFactor": (0.72, 1.2, 1.8)[index], "OverCost": 0.6, "ExtraWorth": 0.0,
                "NeverOverRate": 0.0, "NeverOverDepth": 0.0, "HardSlack": 0.0,
            }
            for index, name in enumerate(PLANS)
        ],
        "Domain": {
            "MayCount": True, "CountFee": 0.02, "CountLimit": 80, "Largest": scenario.clients.most_units,
            "PostPaid": False, "Metering": 0,
        },
        "Permissions": {
            "Cancelling": True, "DialTimeout": 250, "IdleClose": scenario.servers.idle_close_ms,
            "MaxAttempts": 6, "MaxRetryAfter": 1000, "ParallelTries": True, "Probing": True,
            "RetryAfter": True, "StreamsPerConn": 100,
        },
        "Obligations": {
            "AnswerSlack": 16, "AskWithin": 10000, "DrainGrace": DRAIN_GRACE_MS,
            "OverloadFactor": FALL_FACTOR,
            "StartCapacity": scenario.servers.cold_share, "TipAfter": FALL_MS,
            "WarmWithin": 1000.0 * scenario.servers.warm_s,
        },
        "Telemetry": {"Fields": ["concurrent", "tps"], "How": "probe"},
    }  # fmt: skip
