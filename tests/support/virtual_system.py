"""Real control planes and data planes in one process and in virtual time.

Connections, disks and datagrams are kept in memory; connections between machines can be cut.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from random import Random
from typing import Any, Literal

import pytest
import trio
import trio.testing

from tests.common.test_decoding import SETTINGS, document
from wickspring.common import reconnecting_client
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
from wickspring.dataplane import process as dataplane_process
from wickspring.dataplane import state_exchange
from wickspring.dataplane.process import DataPlane
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.memory_link import MemoryLink
from wickspring.net import http_server

CONTROL_PLANES = ("10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4")
DATA_PLANES = ("10.1.1.1", "10.1.1.2")
CURRENT_MACHINE: ContextVar[str] = ContextVar("machine")  # the address of the one whose code is running
CHANNEL_SIZE = 100_000  # messages that wait to be received
COMMIT_ATTEMPTS = 20
COMMIT_RETRY_DELAY_S = 0.25
POLL_S = 0.01

CutDirection = Literal["both", "outbound", "inbound"]


class MemoryStore:
    """A disk that outlives the processes of its machine."""

    def __init__(self) -> None:
        self.saved: tuple[dict[str, Any], Replica] | None = None
        self.servers: list[Any] = []
        self.data_planes: list[str] = []

    def load(self) -> tuple[dict[str, Any], Replica] | None:
        return None if self.saved is None else (self.saved[0], self.saved[1].copy())

    def save(self, durable: dict[str, Any], replica: Replica) -> None:
        self.saved = durable, replica.copy()

    def load_endpoints(self) -> list[Any]:
        return self.servers

    def save_endpoints(self, servers: list[Any]) -> None:
        self.servers = servers

    def load_data_planes(self) -> list[str]:
        return self.data_planes

    def save_data_planes(self, names: list[str]) -> None:
        self.data_planes = names


class MemoryDatagrams:
    """The datagram socket of one data plane."""

    def __init__(self, system: VirtualSystem, ip: str) -> None:
        self.system = system
        self.ip = ip
        self.to_inbox, self.inbox = trio.open_memory_channel[tuple[bytes, str]](CHANNEL_SIZE)
        system.datagram_sockets[ip] = self

    def send(self, ip: str, data: bytes) -> None:
        receiver = self.system.datagram_sockets.get(ip)
        if receiver is not None and (self.ip, ip) not in self.system.cuts:
            receiver.to_inbox.send_nowait((data, self.ip))

    async def receive(self) -> tuple[bytes, str]:
        return await self.inbox.receive()

    def close(self) -> None:
        pass


class VirtualSystem:
    """All machines of one test, and the network between them."""

    def __init__(self, nursery: trio.Nursery, random: Random) -> None:
        self.nursery = nursery
        self.random = random
        self.stores = {ip: MemoryStore() for ip in CONTROL_PLANES}
        self.control_planes: dict[str, ControlPlane] = {}
        self.data_planes: dict[str, DataPlane] = {}
        self.adopted_versions: dict[str, list[int]] = {}  # of configurations, by data plane
        self.scopes: dict[str, trio.CancelScope] = {}
        self.links: list[MemoryLink] = []
        self.datagram_sockets: dict[str, MemoryDatagrams] = {}
        self.cuts: set[tuple[str, str]] = set()  # sender and receiver

    # The network.

    async def connect(self, address: tuple[str, int], timeout_ms: float) -> MemoryLink | None:
        local_ip = CURRENT_MACHINE.get()
        remote_ip = address[0]
        is_cut = {(local_ip, remote_ip), (remote_ip, local_ip)} & self.cuts
        if is_cut or remote_ip not in self.scopes:
            await trio.sleep(timeout_ms / 1000.0)
            return None
        local_link = self._create_link(local_ip, remote_ip)
        remote_link = self._create_link(remote_ip, local_ip)
        local_link.attach(remote_link)
        self.nursery.start_soon(self._serve, remote_link)
        return local_link

    def _create_link(self, local_ip: str, remote_ip: str) -> MemoryLink:
        link = MemoryLink(local_ip, remote_ip, lambda: (local_ip, remote_ip) not in self.cuts)
        self.links.append(link)
        return link

    async def _serve(self, link: MemoryLink) -> None:
        """Serve an accepted connection as the process on its machine does."""
        ip = link.local
        CURRENT_MACHINE.set(ip)
        connection = PeerConnection(link, VirtualClock())  # type: ignore[arg-type]
        if ip in self.control_planes:
            await self.control_planes[ip].peer_server.serve(connection)
        else:
            await self.data_planes[ip].state_exchange.serve(connection)

    def cut(self, *ips: str, direction: CutDirection = "both", reachable: tuple[str, ...] = ()) -> None:
        """Cut machines off from all others but the reachable ones.

        A cut that is `outbound` lets them receive, and one that is `inbound` lets them send.
        """
        for ip in ips:
            for other in {*CONTROL_PLANES, *DATA_PLANES} - {*ips, *reachable}:
                if direction != "inbound":
                    self.cuts.add((ip, other))
                if direction != "outbound":
                    self.cuts.add((other, ip))

    def heal(self) -> None:
        """Let all machines reach each other again."""
        self.cuts.clear()

    # Machines.

    async def start_control_plane(self, ip: str, is_first_start: bool = False) -> ControlPlane:
        settings = SETTINGS.replace("ip=10.1.0.30", f"ip={ip}").replace("edge-a-1", ip)
        settings = settings.replace("bind.front_http=10.1.0.30:8782", f"bind.control_addr={ip}:8783")
        settings = settings.replace("bind.ready_addr=10.1.0.30:8789\n", "")
        await self._start(ip, settings + f"data_dir={ip}\n", is_first_start, self._run_control_plane)
        return self.control_planes[ip]

    async def start_data_plane(self, ip: str) -> DataPlane:
        settings = SETTINGS.replace("ip=10.1.0.30", f"ip={ip}").replace("edge-a-1", ip)
        await self._start(ip, settings, False, self._run_data_plane)
        return self.data_planes[ip]

    async def _start(
        self,
        ip: str,
        settings_text: str,
        is_first_start: bool,
        run: Callable[[settings_module.NodeSettings, trio.Nursery], None],
    ) -> None:
        seeds = ",".join(f"{seed}:8783" for seed in CONTROL_PLANES[:3])
        settings_text = settings_text.replace("10.1.0.33:8783,10.2.0.25:8783", seeds)
        first_start_line = f"is_first_start={str(is_first_start).lower()}"
        settings = settings_module.parse_settings(
            settings_text.replace("is_first_start=true", first_start_line)
        )
        started = trio.Event()

        async def live() -> None:
            CURRENT_MACHINE.set(ip)
            with trio.CancelScope() as self.scopes[ip]:
                async with trio.open_nursery() as nursery:
                    run(settings, nursery)
                    started.set()
                    await trio.sleep_forever()

        self.nursery.start_soon(live)
        await started.wait()

    def _run_control_plane(self, settings: settings_module.NodeSettings, nursery: trio.Nursery) -> None:
        control_plane = ControlPlane(settings, nursery, self.random.getrandbits(32))
        self.control_planes[settings.ip] = control_plane
        nursery.start_soon(control_plane.replication.run)
        nursery.start_soon(control_plane.replication.send_heartbeats)
        nursery.start_soon(control_plane.maintenance.run)

    def _run_data_plane(self, settings: settings_module.NodeSettings, nursery: trio.Nursery) -> None:
        data_plane = DataPlane(settings, nursery, self.random.getrandbits(32))
        self.data_planes[settings.ip] = data_plane
        self._record_adopted_versions(data_plane)
        nursery.start_soon(data_plane.control_client.run)
        nursery.start_soon(data_plane.gossip.run)

    def _record_adopted_versions(self, data_plane: DataPlane) -> None:
        versions = self.adopted_versions[data_plane.settings.ip] = []
        on_routing_table = data_plane.on_routing_table

        def record(routing_table: Any) -> None:
            versions.append(routing_table.version)
            on_routing_table(routing_table)

        data_plane.on_routing_table = record  # type: ignore[method-assign]

    def kill(self, ip: str) -> None:
        """End a machine's process at once; its disk stays."""
        self.scopes.pop(ip).cancel()
        self.control_planes.pop(ip, None)
        for link in [link for link in self.links if link.local == ip]:
            link.close()

    # Waiting.

    def disks_in_use(self) -> list[MemoryStore]:
        """Return the disks of the control planes that run."""
        return [self.stores[ip] for ip in self.control_planes]

    @property
    def chain(self) -> list[str]:
        """Return the chain of the newest view that any control plane knows."""
        views = [control_plane.replication.chain.view for control_plane in self.control_planes.values()]
        newest = max(views, key=lambda view: view.epoch)
        return [ip for ip, _ in newest.chain]

    async def wait_until_settled(self) -> None:
        """Wait until all control planes have been in contact with a quorum for long enough."""
        await self.wait_until(
            lambda: all(
                control_plane.components.contact.observe().name == "STABLE"
                for control_plane in self.control_planes.values()
            )
        )

    async def commit_config(self, ip: str, version: int) -> ApiResponse:
        """Send a configuration again until it is acknowledged, as an operator does."""
        for _ in range(COMMIT_ATTEMPTS):
            response = await replace_config(self.control_planes[ip], version)
            if response.status == 200:
                break
            await trio.sleep(COMMIT_RETRY_DELAY_S)
        return response

    @staticmethod
    async def wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> float:
        """Wait until a condition holds; return the seconds that took."""
        started_at = trio.current_time()
        while not condition():
            assert trio.current_time() - started_at < timeout_s, "the condition does not come to hold"
            await trio.sleep(POLL_S)
        return trio.current_time() - started_at


# Calls of servers and operators.


def config_text(version: int, mark: str = "") -> bytes:
    """Return a configuration of a version; another mark makes another text."""
    return json.dumps(document(generation=f"r{version}", note=mark)).encode()


async def replace_config(control_plane: ControlPlane, version: int, mark: str = "") -> ApiResponse:
    request = ApiRequest("POST", "", config_text(version, mark))
    return await ConfigReplace(control_plane).call(request)


async def read_config(control_plane: ControlPlane) -> ApiResponse:
    return await ConfigRead(control_plane).call(ApiRequest("GET", "", b""))


async def send_heartbeat(
    control_plane: ControlPlane, endpoint_id: str, sequence: int, state: str = "ready", zone: str = "a"
) -> ApiResponse:
    body = {
        "address": "10.1.2.9:8080",
        "build_info": {"service": "s", "zone": zone, "capacity": 2},
        "condition": {"state": state, "call_seq": sequence},
    }
    request = ApiRequest("POST", "", json.dumps(body).encode(), {"id": endpoint_id})
    return await Heartbeat(control_plane).call(request)


async def deregister(control_plane: ControlPlane, endpoint_id: str) -> ApiResponse:
    return await Deregister(control_plane).call(ApiRequest("POST", "", b"", {"id": endpoint_id}))


def ready_endpoint(endpoint_id: str, sequence: int = 1) -> Endpoint:
    return Endpoint(endpoint_id, "s", "10.1.2.9:8080", "a", 2, 0, sequence)


def run_virtual_system(
    monkeypatch: pytest.MonkeyPatch,
    test: Callable[[VirtualSystem], Awaitable[None]],
    control_planes: int = 3,
    seed: int = 1,
) -> None:
    """Run a test with so many control planes, all settled, in virtual time."""

    async def run_inline(function: Callable[..., Any], *arguments: Any) -> Any:
        return function(*arguments)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            system = VirtualSystem(nursery, Random(seed))
            monkeypatch.setattr(controlplane_process, "ReplicaStore", lambda folder: system.stores[folder])
            monkeypatch.setattr(dataplane_process, "Udp", lambda ip, port: MemoryDatagrams(system, ip))
            for module in (reconnecting_client, state_exchange):
                monkeypatch.setattr(module, "connect", system.connect)
                monkeypatch.setattr(module, "Link", lambda link, _: link)
            for ip in CONTROL_PLANES[:control_planes]:
                await system.start_control_plane(ip, is_first_start=ip in CONTROL_PLANES[:3])
            await system.wait_until_settled()
            await test(system)
            nursery.cancel_scope.cancel()

    monkeypatch.setattr(http_server, "Clock", VirtualClock)
    monkeypatch.setattr(trio.to_thread, "run_sync", run_inline)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run_with_control_plane(monkeypatch: pytest.MonkeyPatch, test: Callable[[ControlPlane], Any]) -> None:
    """Run with one node, for tests that fix what its replication answers."""

    async def run(system: VirtualSystem) -> None:
        await test(system.control_planes[CONTROL_PLANES[0]])

    run_virtual_system(monkeypatch, run)
