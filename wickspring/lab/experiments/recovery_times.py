"""How long what operators wait for takes: a whole gateway of processes on loopback, over many seeds.

`python -m wickspring.ctl times --seeds 20` tells, in ms, the middle and the worst of: a version from its
acknowledgement until every pilot goes by it; the chain from the loss of one of its machines until an order is
acknowledged again; and the whole gateway, all its processes killed at once, until every pilot serves.
"""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path
from random import Random

import trio

from wickspring.lab.emulation.local_gateway import LocalGateway, document

ORDERS = 3  # of each seed
STEP_S = 0.005
LATE_S = 15.0  # after which it is taken for never
Times = dict[str, list[float]]


async def _served(gateway: LocalGateway, data_plane: int, path: str, name: str) -> None:
    """Wait until a pilot serves a path; each ask has an id of its own."""
    with trio.fail_after(LATE_S):
        number = 0
        while (await gateway.ask(data_plane, path, f"{name}-{data_plane}-{number}"))[0] != 200:
            number += 1
            await trio.sleep(STEP_S)


async def _all_serve(gateway: LocalGateway, path: str, name: str) -> None:
    async with trio.open_nursery() as nursery:
        for data_plane in range(len(gateway.data_planes)):
            nursery.start_soon(_served, gateway, data_plane, path, name)


async def _play(folder: Path, seed: int, net: int, times: Times) -> None:
    random, gateway = Random(seed), LocalGateway(folder, net=net)

    def took(name: str, begun: float) -> None:
        times.setdefault(name, []).append(1000.0 * (trio.current_time() - begun))

    try:
        async with trio.open_nursery() as nursery:
            await gateway.launch(nursery, document(1))
            for version in range(2, 2 + ORDERS):
                await gateway.order(document(version, once=f"/do{version}/"))
                begun = trio.current_time()
                await _all_serve(gateway, f"/do{version}/1", f"v{version}")
                took("acknowledged to applied", begun)
                await trio.sleep(random.uniform(0.0, 0.3))
            lost = random.choice(gateway.control_planes)
            begun = trio.current_time()
            gateway.kill(lost)
            with trio.fail_after(LATE_S):
                while await gateway.order(document(9)) != 200:
                    await trio.sleep(STEP_S)
            took("chain mended", begun)
            gateway.start(lost, first=False)
            await trio.sleep(random.uniform(1.5, 2.0))
            every = (*gateway.control_planes, *gateway.data_planes)
            for ip in every:
                gateway.kill(ip)
            begun = trio.current_time()
            for ip in every:
                gateway.start(ip, first=False)
            await _all_serve(gateway, "/look/1", "back")
            took("serving after all were killed", begun)
            nursery.cancel_scope.cancel()
    finally:
        gateway.stop()


def measure(seeds: int = 20, net: int = 17) -> dict[str, dict[str, float]]:
    """Play so many seeds, one after another; middle and worst of each time, ms, and how many there were."""
    times: Times = {}
    for seed in range(seeds):
        with tempfile.TemporaryDirectory() as folder:
            trio.run(_play, Path(folder), seed, net, times)
    return {
        name: {
            "median_ms": round(statistics.median(found), 1),
            "worst_ms": round(max(found), 1),
            "of": len(found),
        }
        for name, found in times.items()
    }
