"""Plays the plan of a soak on a gateway of processes."""

from __future__ import annotations

import shutil
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring.common.config_version import version_order
from wickspring.lab.emulation.http_call import HttpRequest, call
from wickspring.lab.emulation.local_gateway import (
    PURE_SERVICE,
    READY_PORT,
    LocalGateway,
    gateway_config,
)
from wickspring.lab.emulation.stand_in_server import DRAIN_S
from wickspring.lab.experiments.soak.checks import SoakViolations, check_soak, lost_requests
from wickspring.lab.experiments.soak.clients import ClientSettings, SoakClient
from wickspring.lab.experiments.soak.observations import Observations, SoakRequest, Trouble
from wickspring.lab.experiments.soak.plan import Step, StepKind, draw_plan

GRACE_S = 6.0  # between SIGTERM and SIGKILL, as the default settings have it
READY_TIMEOUT_S = 30.0  # for all data planes, at the start and at the end
READY_POLL_S = 0.05
BURST_PRESSURE = 6.0
CLIENTS_PER_DATA_PLANE = 20
MAX_CLIENTS = 60
SERVERS_PER_SERVICE = 3
PURE_SERVICE_TIME_S = 0.8  # so that work for a client that has left can be seen to go on
EFFECTFUL_SERVICE_TIME_S = 0.01
SLOW_SHARE = 0.03  # of the requests, which keep a process that ends for a while
SLOW_SERVICE_TIME_S = 3.5
SOAK_TENANT = "Tintas São João"
ROUTE_TIMEOUT_S = 5.0
CAPACITY = 24  # of a stand-in server


@dataclass(slots=True, frozen=True)
class SoakOptions:
    """The size of a run."""

    seconds: float = 15.0
    control_planes: int = 3
    data_planes: int = 3
    rate: float = 40.0  # of the tenant, requests a second
    net: int = 18  # second number of all addresses
    planned_only: bool = False  # SIGTERM, SIGHUP and changes, but no faults


class SoakResult(msgspec.Struct, kw_only=True):
    """What a run has shown."""

    seed: int
    processes: int
    steps: int
    requests: int
    served: int
    refused: int
    left: int  # requests whose clients did not wait
    violations: SoakViolations
    own_ends: list[str]  # processes that ended by themselves, with their exit status
    lost: list[str]  # requests that were lost, for a search in the logs


@dataclass
class Soak:
    """One run."""

    seed: int
    options: SoakOptions
    folder: Path
    seen: Observations = field(default_factory=Observations)
    next_version: int = 0
    pressure: float = 1.0
    is_over: bool = False

    def __post_init__(self) -> None:
        """Create the gateway, whose processes do not run yet, and draw the plan."""
        options = self.options
        self.gateway = LocalGateway(self.folder, options.control_planes, options.data_planes, options.net)
        self.random = Random(f"run {self.seed}")
        self.plan = draw_plan(
            self.seed,
            options.seconds,
            self.gateway.control_planes,
            self.gateway.data_planes,
            options.planned_only,
        )
        self.locks = {ip: trio.Lock() for ip in (*self.gateway.control_planes, *self.gateway.data_planes)}
        self.core = trio.Lock()  # one trouble of the control plane at a time, as it tolerates

    async def run(self) -> SoakResult:
        """Start everything, play the plan under load, and judge what was seen."""
        try:
            async with trio.open_nursery() as nursery:
                await self._launch(nursery)
                async with trio.open_nursery() as load:
                    self._start_clients(load)
                    await self._play()
                    self.is_over = True
                await self._observe_end()
                nursery.cancel_scope.cancel()
        finally:
            self.gateway.stop()
        for server in self.gateway.servers:
            self.seen.executions += server.execution_log
        return self._result()

    async def _launch(self, nursery: trio.Nursery) -> None:
        gateway = self.gateway
        for ip in (*gateway.control_planes, *gateway.data_planes):
            gateway.start(ip)
        for server in gateway.create_servers(SERVERS_PER_SERVICE):
            is_pure = server.service == PURE_SERVICE
            server.service_time_s = PURE_SERVICE_TIME_S if is_pure else EFFECTFUL_SERVICE_TIME_S
            server.capacity = CAPACITY
            server.slow_share = SLOW_SHARE
            server.slow_time_s = SLOW_SERVICE_TIME_S
            nursery.start_soon(server.run)
        await self._replace_config()
        await gateway.wait_until_ready(READY_TIMEOUT_S)

    def _start_clients(self, nursery: trio.Nursery) -> None:
        data_planes = self.gateway.data_planes
        settings = ClientSettings(data_planes, lambda: self.is_over, lambda: self.pressure)
        for number in range(min(MAX_CLIENTS, CLIENTS_PER_DATA_PLANE * len(data_planes))):
            nursery.start_soon(SoakClient(number, self.seed, settings, self.seen.requests).run)

    async def _play(self) -> None:
        """Begin each step at its time, whatever goes on; wait for all of them and the quiet end."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in self.plan:
                await trio.sleep_until(started_at + step.at_s)
                nursery.start_soon(self._take, step)
            await trio.sleep_until(started_at + self.options.seconds)

    async def _take(self, step: Step) -> None:
        match step.kind:
            case StepKind.KILL_CORE:
                async with self.core:
                    await self._restart(self.gateway.control_planes, step)
            case StepKind.CONFIG:
                await self._replace_config()
            case StepKind.DRAIN_SERVER:
                await self._drain_server()
            case StepKind.BURST:
                await self._press_harder(step.for_s)
            case StepKind.RELOAD:
                self.gateway.signal(step.target, signal.SIGHUP)
            case _ if step.target in self.gateway.control_planes:
                async with self.core:
                    await self._disturb(step)
            case _:
                await self._disturb(step)

    # Processes.

    async def _disturb(self, step: Step) -> None:
        """Do to one process what a step says, once earlier steps are done with it."""
        async with self.locks[step.target]:
            if step.kind is StepKind.TERMINATE:
                await self._terminate(step.target)
            elif step.kind is StepKind.PAUSE:
                await self._pause(step.target, step.for_s)
            else:
                await self._restart([step.target], step)

    async def _terminate(self, ip: str) -> None:
        self.gateway.signal(ip, signal.SIGTERM)
        if not await self.gateway.wait_ended(ip, GRACE_S):
            self.gateway.kill(ip)
            self._note_trouble(ip, trio.current_time())
        elif self.gateway.processes[ip].returncode != 0:
            self.seen.own_ends.append(f"{ip}: {self.gateway.processes[ip].returncode}")
        self._start(ip)

    async def _pause(self, ip: str, for_s: float) -> None:
        begins_at = trio.current_time()
        self.gateway.signal(ip, signal.SIGSTOP)
        await trio.sleep(for_s)
        self.gateway.signal(ip, signal.SIGCONT)
        self._note_trouble(ip, begins_at)

    async def _restart(self, ips: list[str], step: Step) -> None:
        begins_at = trio.current_time()
        for ip in ips:
            self._note_own_end(ip)
            self.gateway.kill(ip)
        await trio.sleep(step.for_s)
        for ip in ips:
            self._start(ip)
            self._note_trouble(ip, begins_at)

    def _start(self, ip: str) -> None:
        self.gateway.start(ip, first=False)

    def _note_trouble(self, ip: str, begins_at: float) -> None:
        self.seen.troubles.append(Trouble(ip, begins_at, trio.current_time()))

    def _note_own_end(self, ip: str) -> None:
        status = self.gateway.processes[ip].poll()
        if status is not None:
            self.seen.own_ends.append(f"{ip}: {status}")

    # Changes.

    async def _replace_config(self) -> None:
        version = self.next_version
        self.next_version += 1
        config = gateway_config(version, self.options.rate, timeout_s=ROUTE_TIMEOUT_S, tenant=SOAK_TENANT)
        if await self.gateway.replace_config(config) == 200:
            self.seen.acknowledged_version = max(self.seen.acknowledged_version, version, key=version_order)

    async def _drain_server(self) -> None:
        """Have a server leave in order, and come back as another."""
        ready = [server for server in self.gateway.servers if server.state == "ready"]
        server = self.random.choice(ready) if len(ready) > len(self.gateway.servers) // 2 else None
        if server is None:
            return
        server.state = "draining"
        await trio.sleep(DRAIN_S + 1.0)
        server.drain_acknowledged_at = float("inf")
        server.drain_acknowledged = False
        server.id = f"{server.id.split('+')[0]}+{self.random.getrandbits(32):x}"
        server.state = "ready"

    async def _press_harder(self, for_s: float) -> None:
        self.pressure = BURST_PRESSURE
        await trio.sleep(for_s)
        self.pressure = 1.0

    # The end.

    async def _observe_end(self) -> None:
        self.seen.read_back_version = await self.gateway.read_config_version()
        for ip in self.gateway.processes:
            self._note_own_end(ip)
        deadline = trio.current_time() + READY_TIMEOUT_S
        for ip in self.gateway.data_planes:
            if not await self._becomes_ready(ip, deadline):
                self.seen.not_ready.append(ip)

    async def _becomes_ready(self, ip: str, deadline: float) -> bool:
        """Ask until it is ready or the time is over; once at least, as others may have used it up."""
        request = HttpRequest("GET", "/readiness")
        while (await call(ip, READY_PORT, request, timeout_s=1.0))[0] != 200:
            if trio.current_time() >= deadline:
                return False
            await trio.sleep(READY_POLL_S)
        return True

    def _result(self) -> SoakResult:
        requests = self.seen.requests
        return SoakResult(
            seed=self.seed,
            processes=len(self.locks),
            steps=len(self.plan),
            requests=len(requests),
            served=sum(request.status == 200 for request in requests),
            refused=sum(request.status in (429, 503) for request in requests),
            left=sum(request.left_at is not None for request in requests),
            violations=check_soak(self.seen, self.options.rate),
            own_ends=self.seen.own_ends,
            lost=[self._describe_lost(request) for request in lost_requests(self.seen)],
        )

    def _describe_lost(self, request: SoakRequest) -> str:
        runs = [one for one in self.seen.executions if one.request_id == request.id]
        times = [(round(one.begins_at, 3), one.ends_at and round(one.ends_at, 3)) for one in runs]
        return f"{request} executions={times}"


def run_soak(seed: int, options: SoakOptions, keep_logs_in: Path | None = None) -> SoakResult:
    """Run one soak; raises trio.TooSlowError where the gateway does not become ready.

    Where a rule is broken, the files of all processes are kept in a folder below `keep_logs_in`.
    """
    with tempfile.TemporaryDirectory(prefix="wickspring-soak-") as folder:
        result = trio.run(Soak(seed, options, Path(folder)).run)
        if result.violations.total and keep_logs_in is not None:
            shutil.copytree(folder, keep_logs_in / f"soak-{seed}-{options.net}", dirs_exist_ok=True)
    return result
