"""A run on sockets: the emulated site, the load, and gateways as processes of their own."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import trio

from wickspring.lab.emulation.gateway_process import GatewayFiles, GatewayProcess
from wickspring.lab.emulation.peer_ingresses import COUNTER, DISCOVERY, PeerIngresses, liar_build
from wickspring.lab.emulation.site import LabError, Progress, Site, limits_text, listen, report_progress
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.scenario import FaultKind, Scenario
from wickspring.lab.faults.ingress_faults import IngressFaults
from wickspring.lab.rare_garbage_collection import rare_garbage_collection
from wickspring.lab.reports.result import Result
from wickspring.lab.traffic import schedule as scripts
from wickspring.lab.traffic.client import Load
from wickspring.net.loop_monitor import LoopMonitor, add_loop_monitor

MISSED_DEADLINE = "broken[answered_before_the_deadline]"
START_DELAY_S = 0.2  # before the first request
GRACE_S = 1.0  # after the last deadline
POLL_S = 0.02


class SocketRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> None:
        self.scenario = scenario
        self.seed = seed
        self.program = program
        self.progress = progress
        self.script = scripts.draw_script(scenario, seed)
        self.site = Site(scenario, seed, self.script)
        self.gateways: list[GatewayProcess] = []
        self.loop_monitor: LoopMonitor | None = None  # of the event loop of clients and emulated site

    async def run(self) -> Result:
        """Start everything, play the scenario, stop everything and evaluate what was recorded."""
        with tempfile.TemporaryDirectory(prefix="wickspring-lab-") as name:
            folder = Path(name)
            async with trio.open_nursery() as nursery:
                peers = PeerIngresses(self.scenario, self.seed, self.site, folder, nursery)
                await self._start_site(nursery)
                await self._create_gateways(nursery, peers, folder)
                try:
                    async with trio.open_nursery() as starting:
                        for gateway in self.gateways:
                            starting.start_soon(gateway.start)
                    await self._play(nursery, peers)
                finally:
                    await self._stop_gateways()
                nursery.cancel_scope.cancel()
            return self._evaluate(peers)

    async def _start_site(self, nursery: trio.Nursery) -> None:
        for server in self.site.servers:
            await server.start(nursery)
            self.site.announce(server, late_ms=0.0)

    async def _create_gateways(self, nursery: trio.Nursery, peers: PeerIngresses, folder: Path) -> None:
        scenario = self.scenario
        counter = await listen(nursery, self.site.counter.serve)
        liar = liar_build(folder) if scenario.peers.liars else self.program
        for number, discovery in enumerate(self.site.discoveries):
            config = {
                "name": f"n{number}",
                "listen": "127.0.0.1:0",
                "seed": f"{self.seed + number:x}",
                "discovery": await peers.reach(number, DISCOVERY, await listen(nursery, discovery.serve)),
                "counter": await peers.reach(number, COUNTER, counter),
                "limits": {
                    "cores": 1.0,
                    "memory_mb": scenario.ingresses.memory_mb,
                    "sockets": scenario.ingresses.sockets,
                },
                "known": {"version": 0, "full": True, "servers": []},
                "settings": scripts.gateway_settings(scenario, self.script, number),
            }
            files = GatewayFiles(
                folder,
                liar if number in scenario.peers.liars else self.program,
                config,
                scenario.ingresses.sockets,
                limits_text(scenario),
                await peers.write(number),
            )
            self.gateways.append(GatewayProcess(f"n{number}", files))

    async def _stop_gateways(self) -> None:
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as stopping:
                for gateway in self.gateways:
                    stopping.start_soon(gateway.stop)

    # Load and faults.

    async def _play(self, nursery: trio.Nursery, peers: PeerIngresses) -> None:
        """Send the load and inject the faults, until all requests are answered or past their deadlines."""
        site = self.site
        addresses = [gateway.address for gateway in self.gateways]
        random = Random(f"load {self.seed}")
        load = Load(self.scenario, site.requests, site.record, site.clock, random, addresses)
        for gateway in self.gateways:
            gateway.measure()
        cpu_ms_before = [gateway.cpu_ms for gateway in self.gateways]
        site.record.dials.clear()
        self.loop_monitor = add_loop_monitor()
        site.clock.start(in_s=START_DELAY_S)
        site.start_faults(nursery)
        await peers.faults()
        nursery.start_soon(peers.sample)
        IngressFaults(self.scenario, site, self.gateways, load).start(nursery)
        if self.progress is not None:
            nursery.start_soon(report_progress, self.scenario, site, self.progress)
        await load.run(self.script.requests, nursery)
        with trio.move_on_after(self.scenario.shape.deadline_ms / 1000.0 + GRACE_S):
            while load.ended < load.begun:
                await trio.sleep(POLL_S)
        for gateway, before in zip(self.gateways, cpu_ms_before, strict=True):
            gateway.measure()
            gateway.cpu_ms -= before
        await load.close()

    # Evaluation.

    def _evaluate(self, peers: PeerIngresses) -> Result:
        result = evaluate(self.scenario, self.seed, self.script, self.site.requests, self.site.record)
        peers.add_figures(result, self.site.record)
        figures: Counter[str] = Counter()
        for gateway in self.gateways:
            figures.update({key: value for key, value in gateway.figures().items() if key != "at"})
            if gateway.crash:
                result.violations.append(gateway.crash)
                result.rules_broken += 1
        result.gateway = dict(figures)
        result.instances = len(self.gateways)
        if self.loop_monitor is not None:
            result.lab_loop_longest_ms = round(self.loop_monitor.longest_ms, 1)
            result.lab_loop_long_turns = self.loop_monitor.long_turns
        result.rules_broken += self._broken_invariants(figures)
        cpu_ms = sum(gateway.cpu_ms for gateway in self.gateways)
        result.cpu_ms_per_request = cpu_ms / max(1, result.requests)
        result.peak_rss_mb = max(gateway.peak_mb for gateway in self.gateways)
        return result

    def _broken_invariants(self, figures: Counter[str]) -> int:
        """Return how often gateways found their own invariants broken."""
        paused = any(fault.kind == FaultKind.INGRESS_PAUSED for fault in self.scenario.fault)
        excused = MISSED_DEADLINE if paused else ""  # one that was paused past a deadline learns of it late
        return int(
            sum(count for key, count in figures.items() if key.startswith("broken[") and key != excused)
        )


def run_on_sockets(scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> Result:
    """Run a scenario once; `program` is the folder of the build whose gateways are to serve.

    Raises LabError where the run could not be made.
    """
    try:
        run = SocketRun(scenario, seed, program, progress)
        with rare_garbage_collection():
            return trio.run(run.run)
    except BaseExceptionGroup as group:
        own = group.subgroup(LabError)
        if own is None:
            raise
        error: BaseException = own
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise LabError(str(error)) from group
