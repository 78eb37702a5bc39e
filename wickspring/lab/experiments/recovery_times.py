"""Recovery and propagation times of a complete gateway of processes on loopback, over many seeds.

`python -m wickspring.ctl times --seeds 20` shows median and worst, in ms, of: a version from its
acknowledgement until every data plane applies it; the replication chain from the loss of a node until a
configuration is acknowledged again; and the gateway, all its processes killed at once, until every data plane
serves.
"""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path
from random import Random

import trio

from wickspring.lab.emulation.local_gateway import LocalGateway, gateway_config

CONFIG_CHANGES = 3  # of each seed
CONFIG_PAUSE_S = 0.3  # at most, between changes
REJOIN_S = (1.5, 2.0)  # for a restarted control-plane node
POLL_S = 0.005
TIMEOUT_S = 15.0

# Names of the rows that operators see.
PROPAGATION = "acknowledged to applied"
REPAIR = "chain mended"
RESTART = "serving after all were killed"


class RecoveryTimes:
    """The times measured on one or more gateways, ms, by name."""

    def __init__(self) -> None:
        self.times_ms: dict[str, list[float]] = {}

    def add(self, name: str, started_at: float) -> None:
        """Record the time since a moment of trio's clock."""
        self.times_ms.setdefault(name, []).append(1000.0 * (trio.current_time() - started_at))

    def summary(self) -> dict[str, dict[str, float]]:
        """Return median, worst and number of each time."""
        return {
            name: {
                "median_ms": round(statistics.median(times_ms), 1),
                "worst_ms": round(max(times_ms), 1),
                "of": len(times_ms),
            }
            for name, times_ms in self.times_ms.items()
        }


class RecoveryRun:
    """One gateway on which each time is measured."""

    def __init__(self, folder: Path, seed: int, net: int, times: RecoveryTimes) -> None:
        self.gateway = LocalGateway(folder, net=net)
        self.random = Random(seed)
        self.times = times

    async def run(self) -> None:
        """Measure all times.

        Raises trio.TooSlowError where one takes longer than `TIMEOUT_S`.
        """
        try:
            async with trio.open_nursery() as nursery:
                await self.gateway.launch(nursery, gateway_config(1))
                for version in range(2, 2 + CONFIG_CHANGES):
                    await self._measure_propagation(version)
                await self._measure_repair()
                await self._measure_restart()
                nursery.cancel_scope.cancel()
        finally:
            self.gateway.stop()

    async def _measure_propagation(self, version: int) -> None:
        """Send a version with a path of its own and wait until every data plane serves the path."""
        await self.gateway.replace_config(gateway_config(version, effectful_prefix=f"/do{version}/"))
        started_at = trio.current_time()
        await self._wait_until_all_serve(f"/do{version}/1", f"v{version}")
        self.times.add(PROPAGATION, started_at)
        await trio.sleep(self.random.uniform(0.0, CONFIG_PAUSE_S))

    async def _measure_repair(self) -> None:
        """Kill a control-plane node and wait until a configuration is acknowledged again."""
        lost = self.random.choice(self.gateway.control_planes)
        started_at = trio.current_time()
        self.gateway.kill(lost)
        with trio.fail_after(TIMEOUT_S):
            while await self.gateway.replace_config(gateway_config(9)) != 200:
                await trio.sleep(POLL_S)
        self.times.add(REPAIR, started_at)
        self.gateway.start(lost, first=False)
        await trio.sleep(self.random.uniform(*REJOIN_S))

    async def _measure_restart(self) -> None:
        """Kill all processes, start them again and wait until every data plane serves."""
        machines = (*self.gateway.control_planes, *self.gateway.data_planes)
        for ip in machines:
            self.gateway.kill(ip)
        started_at = trio.current_time()
        for ip in machines:
            self.gateway.start(ip, first=False)
        await self._wait_until_all_serve("/look/1", "back")
        self.times.add(RESTART, started_at)

    async def _wait_until_all_serve(self, path: str, name: str) -> None:
        async with trio.open_nursery() as nursery:
            for data_plane in range(len(self.gateway.data_planes)):
                nursery.start_soon(self._wait_until_served, data_plane, path, name)

    async def _wait_until_served(self, data_plane: int, path: str, name: str) -> None:
        """Send requests until a data plane serves a path; each has an attempt id of its own."""
        number = 0
        with trio.fail_after(TIMEOUT_S):
            while (await self.gateway.request(data_plane, path, f"{name}-{data_plane}-{number}"))[0] != 200:
                number += 1
                await trio.sleep(POLL_S)


def measure(seeds: int = 20, net: int = 17) -> dict[str, dict[str, float]]:
    """Run so many seeds, one after another; return median and worst of each time, and how many there are."""
    times = RecoveryTimes()
    for seed in range(seeds):
        with tempfile.TemporaryDirectory() as folder:
            trio.run(RecoveryRun(Path(folder), seed, net, times).run)
    return times.summary()
