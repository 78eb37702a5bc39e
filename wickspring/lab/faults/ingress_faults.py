"""Faults of the ingress processes of a run on sockets: killed, stopped, short of processor time."""

from __future__ import annotations

import signal
from collections.abc import Sequence

import trio

from wickspring.lab.emulation.gateway_process import GatewayProcess
from wickspring.lab.emulation.site import Site
from wickspring.lab.experiments.scenario import Fault, FaultKind, Scenario
from wickspring.lab.reports.record import Outage
from wickspring.lab.traffic.client import Load

FRONT_DETECTION_S = 1.5  # after which the front sends nothing more to a dead gateway
THROTTLE_PERIOD_S = 0.05  # in each of which a throttled gateway runs once


class IngressFaults:
    """Brings about the faults of a scenario at its gateways."""

    def __init__(
        self,
        scenario: Scenario,
        site: Site,
        gateways: Sequence[GatewayProcess],
        load: Load,
    ) -> None:
        self.scenario = scenario
        self.site = site
        self.gateways = gateways
        self.load = load

    def start(self, nursery: trio.Nursery) -> None:
        """Bring each fault about at its time."""
        for fault in self.scenario.fault:
            if fault.kind == FaultKind.INGRESS_PAUSED:
                nursery.start_soon(self._pause, fault)
            if fault.kind == FaultKind.INGRESS_THROTTLED:
                nursery.start_soon(self._throttle, fault)
            if fault.kind in (FaultKind.INGRESS_CRASH, FaultKind.HALL_LOST):
                nursery.start_soon(self._crash, fault)

    async def _sleep_until(self, at_s: float) -> None:
        await trio.sleep(max(0.0, 1000.0 * at_s - self.site.clock.now()) / 1000.0)

    async def _pause(self, fault: Fault) -> None:
        """Stop gateways with SIGSTOP and continue them: to them no time has passed."""
        numbers = list(fault.ingresses) or [0]
        await self._sleep_until(fault.at_s)
        for number in numbers:
            now = self.site.clock.now()
            self.site.record.outages.append(Outage(number, now, now + 1000.0 * fault.for_s))
            self.gateways[number].signal(signal.SIGSTOP)
        try:
            await trio.sleep(fault.for_s)
        finally:
            for number in numbers:
                self.gateways[number].signal(signal.SIGCONT)

    async def _throttle(self, fault: Fault) -> None:
        """Let gateways run for one part in `size` of the time, as under a processor quota."""
        gateways = [self.gateways[number] for number in list(fault.ingresses) or [0]]
        await self._sleep_until(fault.at_s)
        run_s = THROTTLE_PERIOD_S / fault.size
        with trio.move_on_after(fault.for_s):
            while True:
                await trio.sleep(run_s)
                await self._stop_for(gateways, THROTTLE_PERIOD_S - run_s)

    async def _stop_for(self, gateways: Sequence[GatewayProcess], seconds: float) -> None:
        for gateway in gateways:
            gateway.signal(signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            for gateway in gateways:
                gateway.signal(signal.SIGCONT)

    async def _crash(self, fault: Fault) -> None:
        """Kill gateways and start them again later: they keep no state."""
        numbers = self._crashed_gateways(fault)
        await self._sleep_until(fault.at_s)
        outages = []
        for number in numbers:
            outage = Outage(number, self.site.clock.now())
            outages.append(outage)
            self.site.record.outages.append(outage)
            await self.gateways[number].kill()
        await trio.sleep(min(FRONT_DETECTION_S, fault.for_s))
        self.load.closed.update(numbers)
        await trio.sleep(max(0.0, fault.for_s - FRONT_DETECTION_S))
        for number, outage in zip(numbers, outages, strict=True):
            await self.gateways[number].start()
            outage.until = self.site.clock.now()
            self.load.addresses[number] = self.gateways[number].address
            self.load.closed.discard(number)

    def _crashed_gateways(self, fault: Fault) -> list[int]:
        count = len(self.gateways)
        if fault.kind == FaultKind.HALL_LOST:
            return [number for number in range(count) if number % self.scenario.servers.halls == fault.hall]
        return list(fault.ingresses) or list(range(0, count, 2))
