"""The script of a run: which customer sends which request and when, drawn in advance from a seed.

Nothing here runs or waits. The same scenario and seed always give the same script. The module also writes the
settings that the platform gives to a gateway of the run.
"""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate
from random import Random

from wickspring.lab.emulation.shape import PlanShape, Shape
from wickspring.lab.experiments.scenario import Clients, HotCaller, HotKey, Scenario

MS_PER_S = 1000.0
SLACK_MS = 50.0  # by which every limit of the rules is extended on sockets
CEILING_SLACK = 0.1  # of a ceiling's burst; the slack is at least one of the largest requests
MIN_BURST_REQUESTS = 2.0  # the largest requests that a plan's burst covers at least
MIN_BURST_REQUESTS_UNDER_CEILING = 4.0  # the same for a plan with a ceiling
FIRST_CUSTOMER_ID = 1000
CUSTOMER_ID_STEP = 7919  # a prime, so that ids differ in their low bits
WORK_LOG_MEAN = -0.08  # with the deviation below, the mean factor of the work is 1
WORK_LOG_DEVIATION = 0.4
MIN_DEADLINE_SHARE = 0.5  # of the class's deadline, the shortest that a client gives


@dataclass(slots=True, frozen=True)
class Firm:
    """A customer: its plan, and the set of gateways that its requests go through.

    The set is `spread` gateways, counted from number `first`. A `heavy` firm sends more than its quota.
    """

    customer: int
    plan: int
    spread: int
    first: int
    heavy: bool


@dataclass(slots=True, frozen=True)
class ScheduledRequest:
    """One request of a client: when it is sent, its cost in units and work, and its time limit."""

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
    burst: float  # units
    ceiling_rate: float = 0.0  # units a second; 0: none
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units


@dataclass(slots=True, frozen=True)
class Script:
    """All of a run that chance decides; requests in the order of their times."""

    firms: tuple[Firm, ...]
    plans: tuple[Plan, ...]
    requests: tuple[ScheduledRequest, ...]


def draw_script(scenario: Scenario, seed: int) -> Script:
    """Draw firms and requests; the same seed gives the same script."""
    random = Random(f"script {seed}")
    clients = scenario.clients
    plan_shapes = scenario.shape.plan
    firms = _draw_firms(scenario, random)
    typical_units_per_s = sum(plan_shapes[firm.plan].rate for firm in firms)
    mean_units = (1 + clients.most_units) / 2
    scale = clients.rate * mean_units * clients.quota_x / typical_units_per_s
    plans = tuple(_scale_plan(plan, scale, clients.most_units) for plan in plan_shapes)
    cumulative_weights = list(accumulate(_firm_weight(firm, plan_shapes, clients) for firm in firms))
    rate = clients.rate * cumulative_weights[-1] / typical_units_per_s  # heavy firms come on top
    drawing = _RequestDrawing(scenario, seed, firms)
    drawing.draw_typical(rate, cumulative_weights, random)
    for index, caller in enumerate(scenario.hot_caller):
        # A generator of its own: all other requests are the same as without the hot caller.
        drawing.draw_hot_caller(caller, rate, Random(f"hot caller {seed} {index}"))
    requests = sorted(drawing.requests, key=lambda request: request.at_ms)
    return Script(tuple(firms), plans, tuple(requests))


def _draw_firms(scenario: Scenario, random: Random) -> list[Firm]:
    gateway_count = scenario.ingresses.count
    shape = scenario.shape
    shares = [plan.share for plan in shape.plan]
    firms = []
    for index in range(scenario.clients.firms):
        plan = random.choices(range(len(shares)), shares)[0]
        spread = min(gateway_count, random.randint(*shape.spread)) if gateway_count > 1 else 1
        heavy = random.random() < scenario.clients.heavy
        first = random.randrange(gateway_count)
        firms.append(Firm(FIRST_CUSTOMER_ID + index * CUSTOMER_ID_STEP, plan, spread, first, heavy))
    return firms


def _firm_weight(firm: Firm, plans: tuple[PlanShape, ...], clients: Clients) -> float:
    """Return how often a firm sends, relative to the others."""
    return plans[firm.plan].rate * (clients.heavy_x * clients.quota_x if firm.heavy else 1.0)


def _scale_plan(plan: PlanShape, scale: float, max_units: int) -> Plan:
    """Scale a plan to the load; a request has at most `max_units`."""
    min_burst_requests = MIN_BURST_REQUESTS_UNDER_CEILING if plan.ceiling else MIN_BURST_REQUESTS
    rate = plan.rate * scale
    burst = max(rate * plan.burst_s, min_burst_requests * max_units)
    slack = max(CEILING_SLACK * plan.ceiling * burst, float(max_units)) if plan.ceiling else 0.0
    return Plan(rate, burst, plan.ceiling * rate, plan.ceiling * burst, slack)


class _RequestDrawing:
    """Draws the requests of a run; those drawn so far are in `requests`, not yet in order."""

    def __init__(self, scenario: Scenario, seed: int, firms: list[Firm]) -> None:
        self.scenario = scenario
        self.firms = firms
        self.placement = _Placement(scenario, seed, firms)
        self.requests: list[ScheduledRequest] = []
        self._kinds = range(len(scenario.shape.kind))
        self._kind_shares = [kind.share for kind in scenario.shape.kind]

    def draw_typical(self, rate: float, cumulative_weights: list[float], random: Random) -> None:
        """Draw the requests of all firms, `rate` a second, each firm by its weight."""
        end_ms = MS_PER_S * self.scenario.seconds
        at_ms = random.expovariate(rate / MS_PER_S)
        while at_ms < end_ms:
            index = bisect(cumulative_weights, random.random() * cumulative_weights[-1])
            self._draw_request(at_ms, self.firms[index], random)
            at_ms += random.expovariate(rate / MS_PER_S)

    def draw_hot_caller(self, caller: HotCaller, rate: float, random: Random) -> None:
        """Draw the additional requests of one firm that sends a share of the load for a while."""
        firm = random.choice(self.firms)
        end_ms = min(MS_PER_S * (caller.at_s + caller.for_s), MS_PER_S * self.scenario.seconds)
        at_ms = MS_PER_S * caller.at_s + random.expovariate(rate * caller.load / MS_PER_S)
        while at_ms < end_ms:
            self._draw_request(at_ms, firm, random)
            at_ms += random.expovariate(rate * caller.load / MS_PER_S)

    def _draw_request(self, at_ms: float, firm: Firm, random: Random) -> None:
        clients = self.scenario.clients
        kind = random.choices(self._kinds, self._kind_shares)[0]
        kind_shape = self.scenario.shape.kind[kind]
        units = random.randint(1, clients.most_units)
        typical_work_ms = clients.work_ms[kind % len(clients.work_ms)]
        work_ms = typical_work_ms * random.lognormvariate(WORK_LOG_MEAN, WORK_LOG_DEVIATION)
        budget_ms = kind_shape.deadline_ms * random.uniform(MIN_DEADLINE_SHARE, 1.0)
        offset = self.placement.choose(at_ms, firm, random)
        call_id = f"{random.getrandbits(64):016x}"
        key = f"{random.getrandbits(128):032x}"  # drawn for every class, so that the draws after it agree
        request = ScheduledRequest(
            number=len(self.requests),
            at_ms=at_ms,
            firm=firm,
            kind=kind,
            units=units,
            work_ms=work_ms,
            budget_ms=budget_ms,
            ingress=(firm.first + offset) % self.scenario.ingresses.count,
            call_id=call_id,
            key=key if kind_shape.effect == "by_key" else "",
        )
        self.requests.append(request)


class _Placement:
    """Which gateway of its set a firm's request goes through; this may be uneven and change over time."""

    def __init__(self, scenario: Scenario, seed: int, firms: list[Firm]) -> None:
        self.clients = scenario.clients
        self.seed = seed
        self.hot_keys = [
            (hot_key, _hot_customers(hot_key.share, f"{seed} {index}", firms))
            for index, hot_key in enumerate(scenario.hot_key)
        ]

    def choose(self, at_ms: float, firm: Firm, random: Random) -> int:
        """Return the offset in the set, drawing from `random` where chance decides."""
        even = random.randrange(firm.spread)
        shift_ms = MS_PER_S * self.clients.shift_s
        period = int(at_ms / shift_ms) if self.clients.shift_s > 0 else 0
        busiest = Random(f"busiest {self.seed} {firm.customer} {period}").randrange(firm.spread)
        for hot_key, customers in self.hot_keys:
            if _is_active(hot_key, at_ms) and firm.customer in customers:
                return busiest
        skewed = self.clients.skew > 0 and random.random() < self.clients.skew
        return busiest if skewed else even


def _hot_customers(share: float, seed: str, firms: list[Firm]) -> set[int]:
    """Draw the share of the customers whose requests all go through one gateway."""
    return {firm.customer for firm in firms if Random(f"{seed} {firm.customer}").random() < share}


def _is_active(hot_key: HotKey, at_ms: float) -> bool:
    return 0.0 <= at_ms - MS_PER_S * hot_key.at_s < MS_PER_S * hot_key.for_s


def gateway_settings(scenario: Scenario, script: Script, number: int) -> dict[str, object]:
    """Write the settings of one gateway; all keys are given by the platform."""
    shape = scenario.shape
    return {
        "Family": "gate",
        "Siblings": scenario.ingresses.count,
        "SelfIndex": number,
        "Tier": 0,
        "Zone": number % scenario.servers.halls,
        "Zones": [zone_name(shape, hall) for hall in range(scenario.servers.halls)],
        "Shapes": ["std-2"],
        "Tick": 4.0,
        "Discovery": "pushed",
        "Clients": {"MarksRetry": shape.marks_retries},
        "Lanes": _class_settings(shape),
        "Packages": _plan_settings(shape, script.plans),
        "Domain": _counter_settings(scenario),
        "Permissions": _permission_settings(scenario),
        "Obligations": _obligation_settings(scenario),
        "Prices": {"Waste": shape.waste, "LateFail": shape.late_fail},
        "Telemetry": {"Fields": ["concurrent", "tps"], "How": "probe" if shape.probing else "none"},
    }


def _class_settings(shape: Shape) -> list[dict[str, object]]:
    """Write the classes of requests: what may be repeated and within which times."""
    return [
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
    ]


def _plan_settings(shape: Shape, plans: tuple[Plan, ...]) -> list[dict[str, object]]:
    """Write the plans: quotas as scaled for the run, prices as the site has them."""
    return [
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
        for plan, quota in zip(shape.plan, plans, strict=True)
    ]


def _counter_settings(scenario: Scenario) -> dict[str, object]:
    """Write the terms of the external counter."""
    shape = scenario.shape
    return {
        "MayCount": True,
        "CountFee": shape.counter_fee,
        "CountLimit": shape.counter_limit_ms,
        "Largest": scenario.clients.most_units,
        "PostPaid": False,
        "Metering": 0,
    }


def _permission_settings(scenario: Scenario) -> dict[str, object]:
    """Write what a gateway may do; times in ms."""
    shape = scenario.shape
    return {
        "Cancelling": True,
        "DialTimeout": 250,
        "IdleClose": scenario.servers.idle_close_ms,
        "MaxAttempts": shape.attempts,
        "MaxRetryAfter": 1000,
        "ParallelTries": shape.parallel,
        "Probing": shape.probing,
        "RetryAfter": True,
        "StreamsPerConn": 100,
    }


def _obligation_settings(scenario: Scenario) -> dict[str, object]:
    """Write what a gateway must keep to; times in ms."""
    shape = scenario.shape
    return {
        "AnswerSlack": 16,
        "AskWithin": 10000,
        "DrainGrace": shape.drain_grace_ms,
        "OverloadFactor": shape.fall_factor,
        "StartCapacity": scenario.servers.cold_share,
        "TipAfter": shape.fall_ms,
        "WarmWithin": 1000.0 * scenario.servers.warm_s,
    }


def zone_name(shape: Shape, hall: int) -> str:
    """Return the zone of a hall, by the site's naming."""
    return f"{shape.zone_name}-{chr(ord('a') + hall)}"
