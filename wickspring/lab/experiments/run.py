"""Runs a scenario on sockets: the emulated site, the load, and gateways as processes of their own."""

from __future__ import annotations

import json
import math
import os
import re
import resource
import signal
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio

from wickspring.lab.emulation.peer_ingresses import COUNTER, DISCOVERY, Among, liar_build
from wickspring.lab.emulation.site import ROOT, LabError, Progress, Site, limits_text, listen, tell
from wickspring.lab.experiments import fleet
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.scenario import Fault, Scenario
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation import ingress_site, large_fleet, large_peers
from wickspring.lab.traffic import schedule as scripts
from wickspring.lab.traffic.client import Load

READY_S, END_S = 20.0, 6.0
STOPPED = "broken[answered_before_the_deadline]"
FRONT_SEES_S = 1.5  # after which the front sends nothing more to a dead ingress
_PAIR = re.compile(r"([a-z_\[\]]+)=(-?[0-9.]+)(?= |$)")


class Gateway:
    """One `serve` process."""

    def __init__(
        self, name: str, folder: Path, program: Path, config: dict[str, Any], limits: str, peers: Path
    ) -> None:
        self.name, self.folder, self.program, self.peers = name, folder, program, peers
        self.log = folder / f"{name}.log"
        self.sockets = config["limits"]["sockets"]
        self.config = folder / f"{name}.json"
        self.config.write_text(json.dumps(config))
        self.connections = folder / f"{name}-connections.toml"
        self.connections.write_text(limits)
        self.address = ""
        self.process: trio.Process | None = None
        self.cpu_ms, self.peak_mb = 0.0, 0.0
        self.ending = self.starting = False  # the run is over; it is not ready yet
        self.killed = False  # by a fault of the run: no crash of its own

    async def start(self, nursery: trio.Nursery) -> None:
        """Start it and wait until it is ready."""
        env = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_CONFIG": str(self.config),
            "GW_PEERS": str(self.peers),
            "GW_CONNECTIONS": str(self.connections),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        for key in ("GW_LISTEN", "GW_DISCOVERY", "GW_HTTP2", "GW_TENANTS"):
            env.pop(key, None)
        command = [sys.executable, "-O", "-m", "wickspring", "serve"]
        self.killed, self.starting = False, True
        said = self.log.stat().st_size if self.log.exists() else 0  # by an earlier life
        with self.log.open("ab") as log:
            run = partial(trio.run_process, command, cwd=self.program, env=env, stderr=log, check=False)
            self.process = await nursery.start(run)
        most = int(self.sockets)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (most, most))  # as the platform has it
        with trio.move_on_after(READY_S):
            while True:
                ready = re.search(r"event=ready .*listen=([0-9.:]+)", self.log.read_text()[said:])
                if ready:
                    self.address, self.starting = ready.group(1), False
                    return
                if self.killed or self.ending:
                    return  # by a fault that came before it was up, or by the end of the run
                if self.process.returncode is not None:
                    break
                await trio.sleep(0.02)
        raise LabError(f"{self.name} did not become ready; its log ends: {self.log.read_text()[-400:]}")

    def signal(self, number: int) -> None:
        """Send it a signal, where it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it outright."""
        if self.process is not None and self.process.returncode is None:
            self.killed = True
            self.process.kill()
            await self.process.wait()

    def measure(self) -> None:
        """Read what it has used."""
        if self.process is None:
            return
        try:
            stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:  # no such place on this system, or it has ended
            return
        self.cpu_ms = 1000.0 * (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        peak = re.search(r"VmHWM:\s+(\d+) kB", status)
        self.peak_mb = int(peak.group(1)) / 1024.0 if peak else 0.0

    async def stop(self) -> None:
        """Drain it, and end it where it does not go."""
        if self.process is None:
            return
        self.ending = True
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(END_S):
            await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def figures(self) -> dict[str, float]:
        """Return the figures of its last log line that holds some."""
        lines = [line for line in self.log.read_text().splitlines() if "event=stopped" in line]
        return {key: float(value) for key, value in _PAIR.findall(lines[-1])} if lines else {}


async def _run(scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> Result:
    script = scripts.write(scenario, seed)
    site = Site(scenario, seed, script)
    with tempfile.TemporaryDirectory(prefix="wickspring-lab-") as name:
        folder = Path(name)
        async with trio.open_nursery() as nursery, trio.open_nursery() as processes:
            for server in site.servers:
                await server.start(nursery)
                site.tell(server, late_ms=0.0)
            counter = await listen(nursery, site.counter.serve)
            among = Among(scenario, seed, site, folder, nursery)
            liar = liar_build(folder) if scenario.peers.liars else program
            gateways = []
            for number, discovery in enumerate(site.discoveries):
                config = {
                    "name": f"n{number}",
                    "listen": "127.0.0.1:0",
                    "seed": f"{seed + number:x}",
                    "discovery": await among.reach(number, DISCOVERY, await listen(nursery, discovery.serve)),
                    "counter": await among.reach(number, COUNTER, counter),
                    "limits": {
                        "cores": 1.0,
                        "memory_mb": scenario.ingresses.memory_mb,
                        "sockets": scenario.ingresses.sockets,
                    },
                    "known": {"version": 0, "full": True, "servers": []},
                    "settings": scripts.settings(scenario, script, number),
                }
                build = liar if number in scenario.peers.liars else program
                peers = await among.write(number)
                gateways.append(Gateway(f"n{number}", folder, build, config, limits_text(scenario), peers))
            try:
                async with trio.open_nursery() as starting:
                    for gateway in gateways:
                        starting.start_soon(gateway.start, processes)
                await _play(scenario, seed, site, script, gateways, (nursery, processes), progress, among)
            finally:
                with trio.CancelScope(shield=True):
                    async with trio.open_nursery() as stopping:
                        for gateway in gateways:
                            stopping.start_soon(gateway.stop)
            nursery.cancel_scope.cancel()
        result = evaluate(scenario, seed, script, site.tries, site.record)
        among.judge(result, site.record)
        summed: Counter[str] = Counter()
        for gateway in gateways:
            summed.update({key: value for key, value in gateway.figures().items() if key != "at"})
            ended = gateway.process.returncode if gateway.process is not None else None
            # One that the run's end met while it started again had no handler for the signal yet.
            if ended not in (0, None) and not gateway.killed and not (gateway.starting and ended == -15):
                result.violations.append(f"crashed: {gateway.name} ended with {ended}")
                result.rules_broken += 1
        result.gateway = dict(summed)
        result.instances = len(gateways)
        paused = any(fault.kind == "ingress-paused" for fault in scenario.fault)
        excused = STOPPED if paused else ""  # one that was stopped past a deadline learns of it when it wakes
        broken = sum(n for key, n in summed.items() if key.startswith("broken[") and key != excused)
        result.rules_broken += int(broken)
        result.cpu_ms_per_request = sum(g.cpu_ms for g in gateways) / max(1, result.requests)
        result.peak_rss_mb = max(g.peak_mb for g in gateways)
    return result


async def _play(
    scenario: Scenario,
    seed: int,
    site: Site,
    script: scripts.Script,
    gateways: list[Gateway],
    nurseries: tuple[trio.Nursery, trio.Nursery],
    progress: Progress | None,
    among: Among,
) -> None:
    nursery, processes = nurseries
    addresses = [gateway.address for gateway in gateways]
    load = Load(scenario, site.tries, site.record, site.clock, Random(f"load {seed}"), addresses)
    for gateway in gateways:
        gateway.measure()
    before = [gateway.cpu_ms for gateway in gateways]
    site.record.dials.clear()
    site.clock.start(in_s=0.2)
    await site.faults(nursery)
    await among.faults()
    nursery.start_soon(among.sample)
    for fault in scenario.fault:
        if fault.kind == "ingress-paused":
            nursery.start_soon(_pause, fault, site, gateways)
        if fault.kind in ("ingress-crash", "hall-lost"):
            nursery.start_soon(_crash, fault, site, load, gateways, processes)
    if progress is not None:
        nursery.start_soon(tell, scenario, site, progress)
    await load.run(script.tries, nursery)
    with trio.move_on_after(scenario.shape.deadline_ms / 1000.0 + 1.0):
        while load.ended < load.begun:
            await trio.sleep(0.02)
    for gateway, used in zip(gateways, before, strict=True):
        gateway.measure()
        gateway.cpu_ms -= used
    await load.close()


async def _pause(fault: Fault, site: Site, gateways: list[Gateway]) -> None:
    """Stop ingresses where they stand, and have them go on: to them no time has passed."""
    numbers = list(fault.ingresses) or [0]
    await trio.sleep(max(0.0, 1000.0 * fault.at_s - site.clock.now()) / 1000.0)
    for number in numbers:
        site.record.down.append([float(number), site.clock.now(), site.clock.now() + 1000.0 * fault.for_s])
        gateways[number].signal(signal.SIGSTOP)
    try:
        await trio.sleep(fault.for_s)
    finally:
        for number in numbers:
            gateways[number].signal(signal.SIGCONT)


async def _crash(
    fault: Fault, site: Site, load: Load, gateways: list[Gateway], processes: trio.Nursery
) -> None:
    """Kill ingresses, and start them again later: they know nothing of their earlier lives."""
    numbers = list(fault.ingresses) or list(range(0, len(gateways), 2))
    if fault.kind == "hall-lost":
        numbers = [n for n in range(len(gateways)) if n % site.scenario.servers.halls == fault.hall]
    await trio.sleep(max(0.0, 1000.0 * fault.at_s - site.clock.now()) / 1000.0)
    spans = []
    for number in numbers:
        spans.append([float(number), site.clock.now(), math.inf])
        site.record.down.append(spans[-1])
        await gateways[number].kill()
    await trio.sleep(min(FRONT_SEES_S, fault.for_s))
    load.closed.update(numbers)
    await trio.sleep(max(0.0, fault.for_s - FRONT_SEES_S))
    for number, span in zip(numbers, spans, strict=True):
        await gateways[number].start(processes)
        span[2] = site.clock.now()
        load.addresses[number] = gateways[number].address
        load.closed.discard(number)


def run(
    scenario: Scenario,
    seed: int,
    program: Path = ROOT,
    progress: Progress | None = None,
    alone: bool = True,
) -> Result:
    """Run a scenario; `program` is the folder of the build whose gateways are to serve.

    Where ingresses talk it is run again with that off, unless `alone` is False.
    """
    if scenario.kind == "fleet":
        return fleet.run(scenario, seed, program, progress)
    if scenario.kind == "virtual-fleet":
        return large_fleet.run(scenario, seed, progress)
    if scenario.kind == "virtual-peers":
        return large_peers.run(scenario, seed, progress)
    if scenario.kind == "virtual":
        return ingress_site.run(scenario, seed, progress)
    result = _sockets(scenario, seed, program, progress)
    if scenario.peers.enabled and alone:  # the same once more with the talk off, to compare
        off = msgspec.structs.replace(scenario, peers=msgspec.structs.replace(scenario.peers, enabled=False))
        other = _sockets(off, seed, program, progress)
        result.served_share_alone, result.judged_alone_s = other.served_share, other.judged_worst_s
        result.quota_error_alone = other.quota_error_worst
        result.served_inside_share_alone = other.served_inside_share
        result.cpu_ms_per_request_alone = other.cpu_ms_per_request
        result.peak_rss_alone_mb = other.peak_rss_mb
    return result


def _sockets(scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> Result:
    try:
        return trio.run(_run, scenario, seed, program, progress)
    except BaseExceptionGroup as group:
        own = group.subgroup(LabError)
        if own is None:
            raise
        error: BaseException = own
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise LabError(str(error)) from group
