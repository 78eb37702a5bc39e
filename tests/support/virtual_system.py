"""Real lighthouses and pilots in one process and virtual time: memory for cables, disks and datagrams."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from tests.common.test_decoding import SETTINGS, document
from wickspring.common import connection as connection_module
from wickspring.common import settings as settings_module
from wickspring.common.connection import PeerConnection
from wickspring.common.endpoints import Endpoint
from wickspring.controlplane import process as controlplane_process
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse
from wickspring.controlplane.api.config import ConfigRead, ConfigReplace
from wickspring.controlplane.api.deregister import Deregister
from wickspring.controlplane.api.heartbeat import Heartbeat
from wickspring.controlplane.process import ControlPlane
from wickspring.controlplane.replication.replica import Replica
from wickspring.dataplane import gossip
from wickspring.dataplane import process as dataplane_process
from wickspring.dataplane.process import DataPlane
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.memory_link import MemoryLink
from wickspring.net import host

CONTROL_PLANES = ("10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4")
DATA_PLANES = ("10.1.1.1", "10.1.1.2")
_WHO: ContextVar[str] = ContextVar("machine")


class Book:
    """A disk that outlives its machine's lives."""

    def __init__(self) -> None:
        self.kept: tuple[dict[str, Any], Replica] | None = None
        self.servers: list[Any] = []

    def load(self) -> tuple[dict[str, Any], Replica] | None:
        return None if self.kept is None else (self.kept[0], self.kept[1].copy())

    def save(self, durable: dict[str, Any], replica: Replica) -> None:
        self.kept = durable, replica.copy()

    def load_servers(self) -> list[Any]:
        return self.servers

    def save_servers(self, servers: list[Any]) -> None:
        self.servers = servers


class Datagrams:
    """One pilot's datagrams."""

    def __init__(self, site: Site, ip: str) -> None:
        self.site, self.ip = site, ip
        self.put, self.got = trio.open_memory_channel[tuple[bytes, str]](100_000)
        site.wires[ip] = self

    def send(self, ip: str, data: bytes) -> None:
        if ip in self.site.wires and (self.ip, ip) not in self.site.cuts:
            self.site.wires[ip].put.send_nowait((data, self.ip))

    async def receive(self) -> tuple[bytes, str]:
        return await self.got.receive()

    def close(self) -> None:
        pass


class Site:
    """All machines of one test."""

    def __init__(self, nursery: trio.Nursery, random: Random) -> None:
        self.nursery, self.random = nursery, random
        self.books = {ip: Book() for ip in CONTROL_PLANES}
        self.control_planes: dict[str, ControlPlane] = {}
        self.data_planes: dict[str, DataPlane] = {}
        self.taken: dict[str, list[int]] = {}  # numbers that each pilot has gone by
        self.scopes: dict[str, trio.CancelScope] = {}
        self.links: list[MemoryLink] = []
        self.wires: dict[str, Datagrams] = {}
        self.cuts: set[tuple[str, str]] = set()

    # The net.

    async def connect(self, address: tuple[str, int], wait_ms: float) -> MemoryLink | None:
        mine, theirs = _WHO.get(), address[0]
        if {(mine, theirs), (theirs, mine)} & self.cuts or theirs not in self.scopes:
            await trio.sleep(wait_ms / 1000.0)
            return None
        here = MemoryLink(mine, theirs, lambda: (mine, theirs) not in self.cuts)
        there = MemoryLink(theirs, mine, lambda: (theirs, mine) not in self.cuts)
        here.attach(there)
        self.links += [here, there]
        clock = VirtualClock()

        async def serve() -> None:
            _WHO.set(theirs)
            end = PeerConnection(there, clock)  # type: ignore[arg-type]
            if theirs in self.control_planes:
                await self.control_planes[theirs].peer_server.serve(end)
            else:
                await self.data_planes[theirs].gossip.serve(end)

        self.nursery.start_soon(serve)
        return here

    def cut(self, *ips: str, way: str = "both", spare: tuple[str, ...] = ()) -> None:
        """Cut these off from all others but the spared, both ways or one."""
        for ip in ips:
            for other in {*CONTROL_PLANES, *DATA_PLANES} - {*ips, *spare}:
                self.cuts |= {(ip, other)} if way != "deaf" else set()
                self.cuts |= {(other, ip)} if way != "unheard" else set()

    def heal(self) -> None:
        self.cuts.clear()

    # Machines.

    async def start_light(self, ip: str, first: bool = False) -> ControlPlane:
        settings = SETTINGS.replace("ip=10.1.0.30", f"ip={ip}").replace("edge-a-1", ip)
        settings = settings.replace("bind.front_http=10.1.0.30:8782", f"bind.control_addr={ip}:8783")
        settings = settings.replace("bind.ready_addr=10.1.0.30:8789\n", "")
        await self._start(ip, settings + f"data_dir={ip}\n", first, self._light)
        return self.control_planes[ip]

    async def start_pilot(self, ip: str) -> DataPlane:
        settings = SETTINGS.replace("ip=10.1.0.30", f"ip={ip}").replace("edge-a-1", ip)
        await self._start(ip, settings, False, self._pilot)
        return self.data_planes[ip]

    async def _start(
        self,
        ip: str,
        settings: str,
        first: bool,
        make: Callable[[settings_module.NodeSettings, trio.Nursery], None],
    ) -> None:
        seeds = ",".join(f"{seed}:8783" for seed in CONTROL_PLANES[:3])
        settings = settings.replace("10.1.0.33:8783,10.2.0.25:8783", seeds)
        told = settings_module.parse_settings(
            settings.replace("is_first_start=true", f"is_first_start={str(first).lower()}")
        )

        async def live() -> None:
            _WHO.set(ip)
            with trio.CancelScope() as self.scopes[ip]:
                async with trio.open_nursery() as nursery:
                    make(told, nursery)
                    made.set()
                    await trio.sleep_forever()

        made = trio.Event()
        self.nursery.start_soon(live)
        await made.wait()

    def _light(self, told: settings_module.NodeSettings, nursery: trio.Nursery) -> None:
        control_plane = self.control_planes[told.ip] = ControlPlane(
            told, nursery, self.random.getrandbits(32)
        )
        for task in (
            control_plane.replication.run,
            control_plane.replication.send_heartbeats,
            control_plane.maintenance.run,
        ):
            nursery.start_soon(task)

    def _pilot(self, told: settings_module.NodeSettings, nursery: trio.Nursery) -> None:
        made = self.data_planes[told.ip] = DataPlane(told, nursery, self.random.getrandbits(32))
        numbers = self.taken[told.ip] = []
        charted = made.control_client._charted

        def noted(routing_table: Any) -> None:
            numbers.append(routing_table.version)
            charted(routing_table)

        made.control_client._charted = noted
        for task in (made.control_client.tick, made.gossip.run):
            nursery.start_soon(task)

    def kill(self, ip: str) -> None:
        self.scopes.pop(ip).cancel()
        self.control_planes.pop(ip, None)
        for link in [link for link in self.links if link.local == ip]:
            link.close()

    @property
    def chain(self) -> list[str]:
        """Return the chain of the newest view that anybody knows."""
        best = max(
            (one.replication.chain.view for one in self.control_planes.values()), key=lambda view: view.epoch
        )
        return [ip for ip, _ in best.chain]

    async def settled(self) -> None:
        """Wait until all lighthouses are in contact, and have been for long enough."""
        await self.until(
            lambda: all(
                one.components.contact.observe().name == "STABLE" for one in self.control_planes.values()
            )
        )

    async def until_safe(self, ip: str, version: int) -> ApiResponse:
        """Send a configuration again until it is acknowledged, as an operator does."""
        for _ in range(20):
            said = await replace(self.control_planes[ip], version)
            if said.status == 200:
                break
            await trio.sleep(0.25)
        return said

    @staticmethod
    async def until(what: Callable[[], bool], most_s: float = 20.0) -> float:
        """Wait until something holds; the seconds that took."""
        begun = trio.current_time()
        while not what():
            assert trio.current_time() - begun < most_s, "it does not come about"
            await trio.sleep(0.01)
        return trio.current_time() - begun


# Calls.


def text(version: int, mark: str = "") -> bytes:
    """Return a configuration of a number; another mark is another text."""
    return json.dumps(document(generation=f"r{version}", note=mark)).encode()


async def replace(control_plane: ControlPlane, version: int, mark: str = "") -> ApiResponse:
    return await ConfigReplace(control_plane).call(ApiRequest("POST", "", text(version, mark)))


async def read(control_plane: ControlPlane) -> ApiResponse:
    return await ConfigRead(control_plane).call(ApiRequest("GET", "", b""))


async def beat(
    control_plane: ControlPlane, id_: str, seq: int, state: str = "ready", zone: str = "a"
) -> ApiResponse:
    told = {
        "address": "10.1.2.9:8080",
        "build_info": {"service": "s", "zone": zone, "capacity": 2},
        "condition": {"state": state, "call_seq": seq},
    }
    return await Heartbeat(control_plane).call(ApiRequest("POST", "", json.dumps(told).encode(), {"id": id_}))


async def deregister(control_plane: ControlPlane, id_: str) -> ApiResponse:
    return await Deregister(control_plane).call(ApiRequest("POST", "", b"", {"id": id_}))


def server(id_: str, seq: int = 1) -> Endpoint:
    return Endpoint(id_, "s", "10.1.2.9:8080", "a", 2, 0, seq)


def play(
    monkeypatch: pytest.MonkeyPatch,
    test: Callable[[Site], Awaitable[None]],
    control_planes: int = 3,
    seed: int = 1,
) -> None:
    """Play a test with so many lighthouses, all settled, in virtual time."""

    async def inline(what: Callable[..., Any], *args: Any) -> Any:
        return what(*args)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, Random(seed))
            monkeypatch.setattr(controlplane_process, "ReplicaStore", lambda folder: site.books[folder])
            monkeypatch.setattr(dataplane_process, "Udp", lambda ip, port: Datagrams(site, ip))
            for module in (connection_module, gossip):
                monkeypatch.setattr(module, "connect", site.connect)
                monkeypatch.setattr(module, "Link", lambda link, _: link)
            for ip in CONTROL_PLANES[:control_planes]:
                await site.start_light(ip, first=ip in CONTROL_PLANES[:3])
            await site.settled()
            await test(site)
            nursery.cancel_scope.cancel()

    monkeypatch.setattr(host, "Clock", VirtualClock)
    monkeypatch.setattr(trio.to_thread, "run_sync", inline)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
