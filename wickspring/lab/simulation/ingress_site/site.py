"""All ingresses and servers of a run, and the run itself."""

from __future__ import annotations

import resource
import time
from collections import Counter
from functools import partial
from random import Random

from wickspring import interface as api
from wickspring.config import build_settings
from wickspring.connections.limits import ConnectionLimits
from wickspring.lab.emulation.site import Progress
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.scenario import Fault, FaultKind, Scenario
from wickspring.lab.reports.record import ClientRequest, Record
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation.ingress_site.virtual_connections import SimulatedSite
from wickspring.lab.simulation.ingress_site.virtual_ingress import QuotaTotals, VirtualIngress
from wickspring.lab.simulation.ingress_site.virtual_server import VirtualServer
from wickspring.lab.simulation.timeline import Timeline
from wickspring.lab.traffic import schedule
from wickspring.settings.pairs import flatten

PROGRESS_MS = 500.0
TAIL_MS = 4000.0  # after the last arrival, until all is answered
UNBOUNDED = 1e6
UNBOUNDED_LIMITS = ConnectionLimits(
    dials_at_once=int(UNBOUNDED),
    dials_at_once_per_server=int(UNBOUNDED),
    dials_per_s=UNBOUNDED,
    dials_per_s_per_server=UNBOUNDED,
    pause_first_ms=1e-3,
    pause_most_ms=1e-3,
    wait_ms=2000.0,
)


class VirtualSite:
    """All ingresses and servers of a run."""

    def __init__(self, scenario: Scenario, seed: int, script: schedule.Script) -> None:
        self.scenario = scenario
        self.timeline = Timeline()
        self.record = Record()
        servers = [VirtualServer(scenario, self.timeline, index) for index in range(scenario.servers.count)]
        self.servers = {server.entry.server: server for server in servers}
        random = Random(f"virtual {seed}")
        site = SimulatedSite(scenario, self.timeline, random, self.record, self.servers)
        totals = QuotaTotals()
        limits = scenario.ingresses.connections if scenario.virtual.bounded else UNBOUNDED_LIMITS
        self.ingresses: list[VirtualIngress] = []
        for number in range(scenario.ingresses.count):
            settings = self._settings(seed, script, number)
            ingress = VirtualIngress(site, totals, settings, limits)
            known = tuple(server.entry for server in self._subset(servers, number))
            ingress.dispatch(api.ServerList(api.ListKind.COMPLETE, known))
            self.ingresses.append(ingress)

    def _settings(self, seed: int, script: schedule.Script, number: int) -> api.Settings:
        pairs = flatten(schedule.gateway_settings(self.scenario, script, number))
        # The module divides what the servers can bear among the ingresses that use the same ones.
        pairs["Siblings"] = str(self._ingresses_per_server())
        return build_settings(pairs, seed + number)

    def _subset_size(self) -> int:
        servers = self.scenario.servers.count
        return min(self.scenario.virtual.subset or servers, servers)

    def _ingresses_per_server(self) -> int:
        share = self._subset_size() / self.scenario.servers.count
        return max(1, round(self.scenario.ingresses.count * share))

    def _subset(self, servers: list[VirtualServer], number: int) -> list[VirtualServer]:
        """Return the servers of an ingress, dealt out in rounds so that each server has as many ingresses.

        All ingresses of a round share one shuffled order.
        """
        size = self._subset_size()
        round_number, position = divmod(number, max(1, len(servers) // size))
        shuffled = list(servers)
        Random(f"subset {round_number}").shuffle(shuffled)
        return shuffled[position * size : (position + 1) * size]

    def schedule_fault(self, fault: Fault) -> None:
        """Schedule one fault."""
        servers = list(self.servers.values())
        if fault.servers:
            servers = [servers[index] for index in fault.servers]
        at = 1000.0 * fault.at_s
        if fault.kind is FaultKind.RESET_ALL:
            self.timeline.at(at, self._break_connections)
        elif fault.kind is FaultKind.SLOW:
            self.timeline.at(at, partial(_slow_down, servers, fault.size))
            self.timeline.at(at + 1000.0 * fault.for_s, partial(_slow_down, servers, 1.0))

    def _break_connections(self) -> None:
        for ingress in self.ingresses:
            ingress.connections.break_all(self.scenario.virtual.reset_hold_ms)

    def schedule_request(self, scheduled: schedule.ScheduledRequest) -> None:
        """Have a client send a request when it is due."""
        request = ClientRequest(scheduled)
        self.record.requests.append(request)
        self.timeline.at(scheduled.at_ms, partial(self.ingresses[scheduled.ingress].accept, request))

    def counters(self) -> Counter[str]:
        """Return what all ingresses count, and the longest queue of a server."""
        total: Counter[str] = Counter()
        for ingress in self.ingresses:
            total.update(ingress.counters)
        total["server_line_most"] = max(server.max_waiting for server in self.servers.values())
        return total


def _slow_down(servers: list[VirtualServer], factor: float) -> None:
    for server in servers:
        server.slowdown = factor


def run(scenario: Scenario, seed: int, progress: Progress | None = None) -> Result:
    """Run a scenario in virtual time; `progress` is called every 500 ms of it."""
    script = schedule.draw_script(scenario, seed)
    site = VirtualSite(scenario, seed, script)
    for fault in scenario.fault:
        site.schedule_fault(fault)
    for scheduled in script.requests:
        site.schedule_request(scheduled)
    started_cpu_s = time.process_time()
    _run_timeline(site, progress)
    requests = {scheduled.call_id: scheduled for scheduled in script.requests}
    result = evaluate(scenario, seed, script, requests, site.record)
    result.gateway = {name: float(value) for name, value in site.counters().items()}
    result.instances = len(site.ingresses)
    cpu_ms = 1000.0 * (time.process_time() - started_cpu_s)
    result.cpu_ms_per_request = cpu_ms / max(1, result.requests)
    result.peak_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result


def _run_timeline(site: VirtualSite, progress: Progress | None) -> None:
    """Let the time of a run pass."""
    timeline, seconds = site.timeline, site.scenario.seconds
    end = 1000.0 * seconds + TAIL_MS
    while timeline.now < end:
        timeline.run(min(end, timeline.now + PROGRESS_MS))
        if progress is not None:
            progress(min(timeline.now / 1000.0, seconds), site.record)
