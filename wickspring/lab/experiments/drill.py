"""Drills: a complete gateway of processes on loopback, under open load, with faults, checked by rules.

`python -m wickspring.ctl drill NAME` runs one and writes its result as JSON. Rules are checked only by what
clients and stand-in servers have observed: an effectful request is never executed twice, a request answered
by 429 or 503 is never executed, a success is the server's own answer to that request, no sliding span exceeds
a tenant's ceiling, and no server receives a request later than the bound after its drain was acknowledged.
"""

from __future__ import annotations

import shutil
import tempfile
from bisect import bisect_left
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring.common.quota_rule import quota_ceiling
from wickspring.lab.emulation.local_gateway import LocalGateway, gateway_config
from wickspring.lab.emulation.stand_in_server import DRAIN_S, StandInServer

# The quota rule's parameters, as the default settings leave them.
QUOTA_SPAN_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20.0

TARGET_S = 0.5  # of the routes' latency
EFFECTFUL_SHARE = 0.3  # of all requests
FAULTY_RESPONSE_SHARE = 0.2
CONFIG_CHANGES = 10
FAULT_DELAY_S = 1.0  # after the load starts

REFUSAL_STATUSES = (429, 503)


class Violations(msgspec.Struct, kw_only=True):
    """How often each rule of a drill was broken."""

    executed_twice: int = 0  # effectful requests
    executed_after_refusal: int = 0  # requests that were answered by 429 or 503
    foreign_answers: int = 0  # successes with a body that no server sent for the request
    over_quota: int = 0  # requests above the tenant's ceiling in the worst span
    late_after_drain: int = 0  # requests at servers whose drain had been acknowledged long before

    @property
    def total(self) -> int:
        """Return how often any rule was broken."""
        return sum(msgspec.structs.astuple(self))


class Figures(msgspec.Struct, kw_only=True):
    """What became of the requests of a drill."""

    requests: int
    served: int
    served_in_target: int  # within the latency target of the routes
    refused: int
    failed: int
    p50_ms: float  # of the requests served
    p99_ms: float


@dataclass(slots=True)
class ClientRequest:
    """One request, as its client observed it; times in seconds of the run."""

    id: str
    effectful: bool
    sent_at: float
    latency_s: float = 0.0
    status: int = 0
    body: bytes = b""

    @property
    def refused(self) -> bool:
        """Tell whether it was answered that the request has not been executed."""
        return self.status in REFUSAL_STATUSES

    @property
    def served(self) -> bool:
        """Tell whether it was answered by 200."""
        return self.status == 200

    @property
    def has_own_answer(self) -> bool:
        """Tell whether the body is a stand-in server's answer to this very request."""
        return self.body.startswith(f"{self.id} by ".encode())


@dataclass
class RequestLog:
    """All requests of a drill, and the checks of the rules on them."""

    rate: float  # the tenant's requests a second; 0 is no quota
    requests: list[ClientRequest] = field(default_factory=list)

    def max_in_span(self, executions: Counter[str]) -> int:
        """Return the most requests that ran within one span of the quota rule, by when they were sent."""
        times = sorted(request.sent_at for request in self.requests if request.id in executions)
        counts = (
            index + 1 - bisect_left(times, sent_at - QUOTA_SPAN_S) for index, sent_at in enumerate(times)
        )
        return max(counts, default=0)

    def figures(self) -> Figures:
        """Return what became of the requests."""
        served = [request for request in self.requests if request.served]
        latencies = sorted(request.latency_s for request in served) or [0.0]
        refused = sum(request.refused for request in self.requests)
        return Figures(
            requests=len(self.requests),
            served=len(served),
            served_in_target=sum(request.latency_s <= TARGET_S for request in served),
            refused=refused,
            failed=len(self.requests) - len(served) - refused,
            p50_ms=round(1000.0 * latencies[len(latencies) // 2], 1),
            p99_ms=round(1000.0 * latencies[int(0.99 * (len(latencies) - 1))], 1),
        )

    def violations(self, servers: list[StandInServer]) -> Violations:
        """Check the rules, by what clients and servers have observed."""
        executions = Counter[str]()
        for server in servers:
            executions.update(server.executions)
        ceiling = quota_ceiling(self.rate, self.rate, QUOTA_SPAN_S, QUOTA_EXCESS, QUOTA_SLACK)
        requests = self.requests
        return Violations(
            executed_twice=sum(request.effectful and executions[request.id] > 1 for request in requests),
            executed_after_refusal=sum(request.refused and request.id in executions for request in requests),
            foreign_answers=sum(request.served and not request.has_own_answer for request in requests),
            over_quota=max(0, int(self.max_in_span(executions) - ceiling)) if self.rate else 0,
            late_after_drain=sum(server.late_requests for server in servers),
        )


class Drill:
    """One gateway under load, and the faults that can be injected into it."""

    def __init__(self, folder: Path, seed: int, net: int = 16, rate: float = 0.0) -> None:
        self.gateway = LocalGateway(folder, net=net)
        self.folder = folder
        self.random = Random(seed)
        self.log = RequestLog(rate)
        self.version = 1

    async def run(self, plan: DrillPlan, seconds: float) -> None:
        """Start everything, send load for so many seconds and inject the fault after `FAULT_DELAY_S`."""
        gateway = self.gateway
        try:
            async with trio.open_nursery() as nursery:
                await gateway.launch(nursery, gateway_config(self.version, self.log.rate))
                async with trio.open_nursery() as load_nursery:
                    load_nursery.start_soon(self._send_load, plan.load_per_s, seconds)
                    await trio.sleep(FAULT_DELAY_S)
                    await plan.fault(self)
                nursery.cancel_scope.cancel()
        finally:
            gateway.stop()

    async def _send_load(self, per_s: float, seconds: float) -> None:
        """Send requests to both data planes at random times, without waiting for answers."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            number = 0
            while trio.current_time() < deadline:
                number += 1
                nursery.start_soon(self._send_request, number)
                await trio.sleep(self.random.expovariate(per_s))

    async def _send_request(self, number: int) -> None:
        """Send one request and record what its client observes."""
        effectful = self.random.random() < EFFECTFUL_SHARE
        request = ClientRequest(f"d{number}", effectful, trio.current_time())
        self.log.requests.append(request)
        path, method = ("/do/1", "POST") if effectful else ("/look/1", "GET")
        data_plane = number % len(self.gateway.data_planes)
        request.status, request.body = await self.gateway.request(data_plane, path, request.id, method=method)
        request.latency_s = trio.current_time() - request.sent_at

    async def _replace_config(self) -> None:
        self.version += 1
        await self.gateway.replace_config(gateway_config(self.version, self.log.rate))

    # Faults.

    async def no_fault(self) -> None:
        """Inject nothing."""

    async def change_config(self) -> None:
        """Send new versions of the configuration, one after another."""
        for _ in range(CONFIG_CHANGES):
            await self._replace_config()
            await trio.sleep(0.2)

    async def restart_control_planes_in_turn(self) -> None:
        """Kill and restart each control-plane node; the first loses its disk."""
        for index, ip in enumerate(self.gateway.control_planes):
            self.gateway.kill(ip)
            await self._replace_config()
            if index == 0:
                shutil.rmtree(self.folder / ip / "data")
            self.gateway.start(ip, first=False)
            await trio.sleep(2.0)

    async def restart_all_control_planes(self) -> None:
        """Kill all control-plane nodes at once, twice."""
        for _ in range(2):
            for ip in self.gateway.control_planes:
                self.gateway.kill(ip)
            await trio.sleep(0.5)
            for ip in self.gateway.control_planes:
                self.gateway.start(ip, first=False)
            await trio.sleep(2.0)

    async def restart_data_planes_in_turn(self) -> None:
        """Kill and restart one data plane after the other, twice."""
        for ip in self.gateway.data_planes * 2:
            self.gateway.kill(ip)
            self.gateway.start(ip, first=False)
            await trio.sleep(1.5)

    async def spoil_responses(self) -> None:
        """Let all servers spoil a fifth of their responses for a while."""
        for server in self.gateway.servers:
            server.fault_share = FAULTY_RESPONSE_SHARE
        await trio.sleep(3.0)
        for server in self.gateway.servers:
            server.fault_share = 0.0

    async def drain_servers(self) -> None:
        """Drain one server of each service while a control-plane node is restarted."""
        control_plane = self.gateway.control_planes[0]
        self.gateway.kill(control_plane)
        drained_services = set()
        for server in self.gateway.servers:
            if server.service not in drained_services:
                drained_services.add(server.service)
                server.state = "draining"
        await trio.sleep(1.0)
        self.gateway.start(control_plane, first=False)
        await trio.sleep(DRAIN_S + 1.0)


@dataclass(slots=True, frozen=True)
class DrillPlan:
    """What a drill does."""

    fault: Callable[[Drill], Awaitable[None]]
    load_per_s: float = 60.0
    tenant_rate: float = 0.0  # requests a second; 0 is no quota


# The names are arguments of the operators' command and stand in stored results, so they stay.
DRILLS: dict[str, DrillPlan] = {
    "calm": DrillPlan(Drill.no_fault),
    "orders": DrillPlan(Drill.change_config),
    "lights-one-by-one": DrillPlan(Drill.restart_control_planes_in_turn),
    "all-lights": DrillPlan(Drill.restart_all_control_planes),
    "all-lights-hot": DrillPlan(Drill.restart_all_control_planes, load_per_s=120.0, tenant_rate=20.0),
    "pilots": DrillPlan(Drill.restart_data_planes_in_turn),
    "liars": DrillPlan(Drill.spoil_responses),
    "drains": DrillPlan(Drill.drain_servers),
}


def run_drill(name: str, seed: int = 1, seconds: float = 9.0, net: int = 16) -> dict[str, float | int | str]:
    """Run one drill; return its figures and violations, with `rules_broken` over all rules."""
    plan = DRILLS[name]
    with tempfile.TemporaryDirectory() as folder:
        drill = Drill(Path(folder), seed, net, plan.tenant_rate)
        trio.run(drill.run, plan, seconds)
        figures = drill.log.figures()
        violations = drill.log.violations(drill.gateway.servers)
    return {
        "drill": name,
        "seed": seed,
        "seconds": seconds,
        **msgspec.structs.asdict(figures),
        **msgspec.structs.asdict(violations),
        "rules_broken": violations.total,
    }
