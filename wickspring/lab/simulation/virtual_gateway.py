"""One gateway of control-plane nodes and data planes, simulated in one process and in virtual time.

The programs' own classes run: `ControlPlane` and `DataPlane` with their connections, replication, counters
and gossip. Replaced are TCP and UDP (`memory_network`), servers and clients (`stub_endpoints`). Not
simulated: the kernel's work, HTTP with clients and servers, connections to servers, TLS;
`capacity_steps.wire` measures what the kernel costs a message.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from wickspring.common import settings as settings_module
from wickspring.controlplane import process as controlplane_process
from wickspring.dataplane import process as dataplane_process
from wickspring.lab.simulation.memory_network import MemoryNetwork
from wickspring.lab.simulation.meter import CORE, INGRESS, PART, REST
from wickspring.lab.simulation.stub_endpoints import StubCaller
from wickspring.net.http_server import HttpRequest
from wickspring.net.octets import OctetText

PORT = 7340
PORT_COUNT = 16
SEED_COUNT = 3
HEARTBEAT_BATCH = 10  # servers whose heartbeats are sent at one moment
CONFIG_ATTEMPTS = 20
POLL_S = 0.25
READY_TIMEOUT_S = 120.0


class _Pattern(msgspec.Struct, frozen=True):
    path_prefix: str


class _Route(msgspec.Struct, frozen=True):
    pattern: _Pattern


class _Host(msgspec.Struct, frozen=True):
    host: str
    policy: list[_Route]


class _Tenant(msgspec.Struct, frozen=True):
    api_keys: list[str]


class _Backend(msgspec.Struct, frozen=True):
    name: str


class ConfigDocument(msgspec.Struct, frozen=True):
    """The parts of a configuration from which requests and servers are drawn."""

    sockets: list[_Host]
    tenants: list[_Tenant]
    backends: list[_Backend]

    @property
    def services(self) -> list[str]:
        """Return the names of the services."""
        return [backend.name for backend in self.backends]


@dataclass(slots=True)
class RegisteredServer:
    """A server that sends heartbeats."""

    address: str
    service: str
    state: str = "ready"
    call_seq: int = 0  # of its last heartbeat

    def next_heartbeat(self) -> bytes:
        """Return the body of its next heartbeat."""
        self.call_seq += 1
        body = {
            "address": self.address,
            "build_info": {"service": self.service, "generation": "v1", "zone": "a", "capacity": 8},
            "condition": {"state": self.state, "call_seq": self.call_seq, "cold_left_s": 0},
        }
        return json.dumps(body).encode()


class VirtualGateway:
    """The processes of one gateway, its registered servers, its operator and its clients."""

    def __init__(
        self, network: MemoryNetwork, nursery: trio.Nursery, folder: str, seed: int, node_count: int
    ) -> None:
        self.network = network
        self.meter = network.meter
        self.nursery = nursery
        self.folder = folder
        self.random = Random(seed)
        self.control_plane_ips = [f"10.1.0.{number + 1}" for number in range(node_count)]
        self.control_planes: dict[str, controlplane_process.ControlPlane] = {}
        self.data_planes: dict[str, dataplane_process.DataPlane] = {}
        self.config = ConfigDocument([], [], [])  # the configuration in force
        self.servers: dict[str, RegisteredServer] = {}  # by server id
        self._scopes: dict[str, trio.CancelScope] = {}
        self._servers_added = 0

    # Processes.

    def _settings(self, ip: str) -> settings_module.NodeSettings:
        return settings_module.NodeSettings(
            f"n-{ip}",
            ip,
            "a",
            f"{PORT},{PORT + PORT_COUNT - 1}",
            [f"{seed_ip}:8783" for seed_ip in self.control_plane_ips[:SEED_COUNT]],
            bind=settings_module.Bind(control_addr=f"{ip}:8783"),
            is_first_start=True,
            data_dir=f"{self.folder}/{ip}",
            region="r",
        )

    def _start_process(self, ip: str, role: str, start: Callable[[trio.Nursery], None]) -> None:
        """Run a process in a nursery of its own, until `kill`."""
        scope = self._scopes[ip] = trio.CancelScope()

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    start(nursery)
                    await trio.sleep_forever()

        with self.meter.charge(role, REST):
            self.nursery.start_soon(run)

    @staticmethod
    def _start_task(nursery: trio.Nursery, part: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task whose time is charged to a part."""
        token = PART.set(part)
        nursery.start_soon(run)
        PART.reset(token)

    def start_control_plane(self, ip: str) -> None:
        """Start a control-plane node."""

        def start(nursery: trio.Nursery) -> None:
            control_plane = controlplane_process.ControlPlane(
                self._settings(ip), nursery, self.random.getrandbits(32)
            )
            self.control_planes[ip] = control_plane
            self.network.listen(ip, CORE, nursery, control_plane.peer_server.serve)
            self._start_task(nursery, REST, control_plane.api_server.timers.run)
            self._start_task(nursery, "chain", control_plane.replication.run)
            self._start_task(nursery, "core ticks", control_plane.replication.send_heartbeats)
            self._start_task(nursery, "upkeep", control_plane.maintenance.run)

        self._start_process(ip, CORE, start)

    def start_data_plane(self, ip: str) -> None:
        """Start a data plane."""

        def start(nursery: trio.Nursery) -> None:
            data_plane = dataplane_process.DataPlane(self._settings(ip), nursery, self.random.getrandbits(32))
            self.data_planes[ip] = data_plane
            self.network.listen(ip, INGRESS, nursery, data_plane.state_exchange.serve)
            self._start_task(nursery, "requests", data_plane.timers.run)
            self._start_task(nursery, "ticks", data_plane.control_client.run)
            self._start_task(nursery, "gossip", data_plane.gossip.run)
            data_plane.maintain()

        self._start_process(ip, INGRESS, start)

    def kill(self, ip: str) -> None:
        """End a process at once."""
        self.network.disconnect(ip)
        self.data_planes.pop(ip, None)
        self._scopes.pop(ip).cancel()

    async def wait_until_ready(self, data_plane_count: int) -> None:
        """Wait until so many data planes have the configuration and servers.

        Raises trio.TooSlowError after `READY_TIMEOUT_S`.
        """
        with trio.fail_after(READY_TIMEOUT_S):
            while sum(data_plane.is_ready for data_plane in self.data_planes.values()) < data_plane_count:
                await trio.sleep(POLL_S)

    # Servers.

    def add_servers(self, count: int, services: list[str]) -> None:
        """Add servers, dealt to the services in turn; they register with their first heartbeat."""
        for _ in range(count):
            self._servers_added += 1
            number = self._servers_added
            server_id = f"i-{number:06d}-{self.random.getrandbits(24):06x}"
            address = f"10.{2 + number // 60000}.{number // 250 % 240}.{number % 250 + 1}:8080"
            self.servers[server_id] = RegisteredServer(address, services[number % len(services)])

    def send_heartbeat(self, server_id: str) -> None:
        """Send a server's heartbeat to a control-plane node, the same one each time."""
        body = self.servers[server_id].next_heartbeat()
        self._call_for_server(server_id, "heartbeat", body)

    def deregister(self, server_id: str) -> None:
        """Send a server's deregistration, also of one that has never registered."""
        self.servers.pop(server_id, None)
        self._call_for_server(server_id, "deregister", b"")

    def _call_for_server(self, server_id: str, operation: str, body: bytes) -> None:
        number = int(server_id[2:8])  # of "i-NNNNNN-..."
        control_plane = self.control_planes[self.control_plane_ips[number % len(self.control_plane_ips)]]
        with self.meter.charge(CORE, "beats"):
            control_plane.api_server.handle_request(
                StubCaller(), HttpRequest("POST", f"/servers/{server_id}/{operation}", {}, body)
            )

    async def send_heartbeats(self, period_s: float) -> None:
        """Send the heartbeats of all servers, spread evenly over each period."""
        while True:
            server_ids = list(self.servers)
            for index, server_id in enumerate(server_ids, start=1):
                if server_id in self.servers:
                    self.send_heartbeat(server_id)
                if index % HEARTBEAT_BATCH == 0:
                    await trio.sleep(HEARTBEAT_BATCH * period_s / len(server_ids))
            remainder = len(server_ids) % HEARTBEAT_BATCH
            await trio.sleep(remainder * period_s / len(server_ids) if server_ids else period_s)

    # Operators and clients.

    async def replace_config(self, body: bytes) -> int:
        """Send a configuration to the first control-plane node; return the status of the answer."""
        finished = trio.Event()
        status = 0

        def on_status(code: int) -> None:
            nonlocal status
            status = code
            finished.set()

        control_plane = self.control_planes[self.control_plane_ips[0]]
        with self.meter.charge(CORE, "configuration"):
            control_plane.api_server.handle_request(
                StubCaller(on_status), HttpRequest("POST", "/config/replace", {}, body)
            )
        await finished.wait()
        return status

    async def apply_config(self, body: bytes) -> None:
        """Send a configuration until it is acknowledged; later requests are drawn from it.

        Raises TimeoutError where it is not acknowledged after `CONFIG_ATTEMPTS`.
        """
        for _ in range(CONFIG_ATTEMPTS):
            if await self.replace_config(body) == 200:
                self.config = msgspec.json.decode(body, type=ConfigDocument)
                return
            await trio.sleep(POLL_S)
        raise TimeoutError("the configuration was not acknowledged")

    async def send_requests(self, ip: str, rate: float) -> None:
        """Send requests for random tenants and routes to a data plane, so many a second."""
        targets = [
            (host.host, route.pattern.path_prefix) for host in self.config.sockets for route in host.policy
        ]
        keys = [tenant.api_keys[0] for tenant in self.config.tenants]
        number = 0
        while True:
            await trio.sleep(self.random.expovariate(rate))
            number += 1
            host, prefix = self.random.choice(targets)
            headers = {
                "host": OctetText(host),
                "x-key": OctetText(self.random.choice(keys)),
                "x-attempt-id": OctetText(f"{ip}-{number}"),
                "x-deadline-ms": OctetText("2000"),
            }
            with self.meter.charge(INGRESS, "requests"):
                self.data_planes[ip].handle_request(
                    StubCaller(), HttpRequest("GET", f"{prefix}1", headers, b"")
                )
