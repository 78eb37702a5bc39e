"""A complete gateway on loopback: real processes of both programs, stand-in servers and an operator.

Each machine is an address of 127.0.0.0/8, so ports are the same on all machines, as in a deployment.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import trio

from wickspring.common.config_version import ConfigVersion
from wickspring.common.termination import RELOAD_SIGNAL, TERMINATION_SIGNALS
from wickspring.lab.emulation.http_call import DEFAULT_HOST, HttpRequest, call
from wickspring.lab.emulation.stand_in_server import CONTROL_PORT, HEARTBEAT_S, StandInServer

FRONT_PORT = 8782
READY_PORT = 8789
ROOT = Path(__file__).resolve().parents[3]
HOST = DEFAULT_HOST
PURE_PREFIX = "/look/"
EFFECTFUL_PREFIX = "/do/"
TENANT = "toy"
API_KEY = "key-of-toy"
PURE_SERVICE = "looker"
EFFECTFUL_SERVICE = "doer"
SEED_COUNT = 3
CONTROL_PLANE_ROUNDS = 8  # in which an operator tries all control-plane nodes
CONTROL_TIMEOUT_S = 1.0
CONTROL_RETRY_S = 0.1
REQUEST_TIMEOUT_S = 3.0
END_POLL_S = 0.02
TOY_RATE_PER_S = 20.0
TOY_MAX_PAUSE_S = 0.2


def gateway_config(
    version: int,
    rate: float = 0.0,
    effectful_prefix: str = EFFECTFUL_PREFIX,
    timeout_s: float = 2.0,
    tenant: str = TENANT,
) -> bytes:
    """Return the JSON of a configuration with a pure and an effectful route, each to a service of its own.

    `rate` is the requests a second of the one `tenant`; 0 is no quota. `timeout_s` is that of the routes.
    """
    config = {
        "generation": f"r{version}",
        "tenants": [{"name": tenant, "api_keys": [API_KEY], "rate_per_s": rate, "burst": rate}],
        "backends": [
            {"name": service, "health_path": "/health", "max_conns": 64}
            for service in (PURE_SERVICE, EFFECTFUL_SERVICE)
        ],
        "sockets": [
            {
                "host": HOST,
                "policy": [
                    _route("look", "pure", PURE_PREFIX, PURE_SERVICE, timeout_s),
                    _route("do", "effectful", effectful_prefix, EFFECTFUL_SERVICE, timeout_s),
                ],
            }
        ],
    }
    return json.dumps(config).encode()


def _route(name: str, kind: str, prefix: str, service: str, timeout_s: float) -> dict[str, object]:
    return {
        "name": name,
        "route_kind": kind,
        "target_s": 0.5,
        "priority": 1,
        "public": False,
        "pattern": {"path_prefix": prefix},
        "effect": {"service": service, "timeout_s": timeout_s, "max_tries": 2},
    }


@contextmanager
def _signals_blocked() -> Iterator[None]:
    """Block the signals of an operator for the processes that are started meanwhile.

    A program cannot handle a signal until its first statements have run. One that is sent to it before that
    stays pending; the program unblocks it when it can.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {*TERMINATION_SIGNALS, RELOAD_SIGNAL})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


class LocalGateway:
    """The processes of one gateway.

    `net` is the second number of their addresses, so that several gateways can run side by side.
    """

    def __init__(
        self, folder: Path, control_plane_count: int = 3, data_plane_count: int = 2, net: int = 1
    ) -> None:
        self.folder = folder
        self.net = net
        self.control_planes = [f"127.{net}.1.{number + 1}" for number in range(control_plane_count)]
        self.data_planes = [f"127.{net}.2.{number + 1}" for number in range(data_plane_count)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.servers: list[StandInServer] = []

    # Processes.

    def start(self, ip: str, first: bool = True) -> None:
        """Start the process of one machine; `first` is the first start of a new deployment."""
        folder = self.folder / ip
        folder.mkdir(parents=True, exist_ok=True)
        settings_file = folder / "node.conf"
        settings_file.write_text(self._settings(ip, first))
        is_control_plane = ip in self.control_planes
        program = "wickspring.controlplane" if is_control_plane else "wickspring.dataplane"
        with (folder / "log").open("ab") as log, _signals_blocked():
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", program],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "WICKSPRING_BOOT": str(settings_file)},
            )

    def _settings(self, ip: str, first: bool) -> str:
        """Return the text of a machine's settings file."""
        seeds = ",".join(f"{seed}:{CONTROL_PORT}" for seed in self.control_planes[:SEED_COUNT])
        if ip in self.control_planes:
            role = "control"
            bind = [f"bind.control_addr={ip}:{CONTROL_PORT}", f"data_dir={self.folder / ip / 'data'}"]
        else:
            role = "data"
            bind = [f"bind.front_http={ip}:{FRONT_PORT}", f"bind.ready_addr={ip}:{READY_PORT}"]
        lines = [
            f"node_name={role}-{ip}",
            f"ip={ip}",
            "zone=a",
            "region=r",
            *bind,
            "port_range=7340,7355",
            f"seed_addrs={seeds}",
            f"is_first_start={str(first).lower()}",
            f"heartbeat_s={HEARTBEAT_S}",
            "limits.memory_mb=300",
            "limits.max_fds=1024",
        ]
        return "\n".join(lines) + "\n"

    def kill(self, ip: str) -> None:
        """End the process of one machine with SIGKILL."""
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to the process of one machine, where it runs."""
        process = self.processes.get(ip)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def wait_ended(self, ip: str, timeout_s: float) -> bool:
        """Wait until a process that was told to end has ended; False where it has not in time."""
        process = self.processes[ip]
        with trio.move_on_after(timeout_s):
            while process.poll() is None:
                await trio.sleep(END_POLL_S)
        return process.poll() is not None

    def stop(self) -> None:
        """End all processes."""
        for ip in list(self.processes):
            self.kill(ip)

    def create_servers(self, per_service: int = 3) -> list[StandInServer]:
        """Create stand-in servers of both services; the caller runs them."""
        self.servers = [
            StandInServer(
                f"127.{self.net}.{block}.{number + 1}",
                service,
                self.control_planes,
                f"i-{service}-{number}",
            )
            for block, service in ((3, PURE_SERVICE), (4, EFFECTFUL_SERVICE))
            for number in range(per_service)
        ]
        return self.servers

    async def launch(self, nursery: trio.Nursery, config: bytes) -> int:
        """Start everything, send a configuration, wait for the data planes; return the operator's status."""
        for ip in (*self.control_planes, *self.data_planes):
            self.start(ip)
        for server in self.create_servers():
            nursery.start_soon(server.run)
        status = await self.replace_config(config)
        await self.wait_until_ready()
        return status

    async def wait_until_ready(self, timeout_s: float = 10.0) -> None:
        """Wait until all data planes answer their readiness check with 200.

        Raises trio.TooSlowError after `timeout_s`.
        """
        request = HttpRequest("GET", "/readiness")
        with trio.fail_after(timeout_s):
            for ip in self.data_planes:
                while (await call(ip, READY_PORT, request, timeout_s=0.5))[0] != 200:
                    await trio.sleep(0.05)

    # Operators and clients.

    async def replace_config(self, config: bytes) -> int:
        """Send a configuration to one control-plane node after another; return the first status below 500."""
        request = HttpRequest("POST", "/config/replace", config)
        status = 0
        for ip in self.control_planes * CONTROL_PLANE_ROUNDS:
            status, _ = await call(ip, CONTROL_PORT, request, CONTROL_TIMEOUT_S)
            if status and status < 500:
                return status
            await trio.sleep(CONTROL_RETRY_S)
        return status

    async def read_config_version(self) -> ConfigVersion:
        """Return the version of the configuration in force; None where no node has or knows one."""
        request = HttpRequest("GET", "/config/read")
        for ip in self.control_planes * CONTROL_PLANE_ROUNDS:
            status, body = await call(ip, CONTROL_PORT, request, CONTROL_TIMEOUT_S)
            if status == 200:
                return int(json.loads(body)["generation"][1:])
            await trio.sleep(CONTROL_RETRY_S)
        return None

    async def request(
        self, data_plane: int, path: str, attempt_id: str, key: str = API_KEY, method: str = "GET"
    ) -> tuple[int, bytes]:
        """Send a client's request to the data plane of an index; return status and body."""
        headers = {"X-Attempt-Id": attempt_id, "X-Deadline-Ms": "2000", "X-Key": key}
        request = HttpRequest(method, path, headers=headers)
        return await call(self.data_planes[data_plane], FRONT_PORT, request, REQUEST_TIMEOUT_S)


def _describe(gateway: LocalGateway) -> list[str]:
    """Return the lines that tell a user how to reach a gateway."""
    return [
        f"data planes: {', '.join(f'{ip}:{FRONT_PORT}' for ip in gateway.data_planes)}",
        f"control planes: {','.join(f'{ip}:{CONTROL_PORT}' for ip in gateway.control_planes)}",
        f"try: curl -i http://{gateway.data_planes[0]}:{FRONT_PORT}{PURE_PREFIX}1 -H 'Host: {HOST}' \\",
        f"  -H 'X-Key: {API_KEY}' -H 'X-Attempt-Id: 1' -H 'X-Deadline-Ms: 2000'",
    ]


async def _send_random_requests(gateway: LocalGateway, nursery: trio.Nursery) -> None:
    random = Random(1)
    number = 0
    while True:
        number += 1
        path = random.choice((PURE_PREFIX, EFFECTFUL_PREFIX)) + "1"
        data_plane = number % len(gateway.data_planes)
        nursery.start_soon(gateway.request, data_plane, path, f"toy-{number}")
        await trio.sleep(random.uniform(0.0, TOY_MAX_PAUSE_S))


async def _run_toy(seconds: float, write_line: Callable[[str], None]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        gateway = LocalGateway(Path(folder), net=0)
        try:
            async with trio.open_nursery() as nursery:
                status = await gateway.launch(nursery, gateway_config(1, rate=TOY_RATE_PER_S))
                write_line(f"configuration r1: {status}")
                for line in _describe(gateway):
                    write_line(line)
                with trio.move_on_after(seconds or float("inf")):
                    await _send_random_requests(gateway, nursery)
                nursery.cancel_scope.cancel()
        finally:
            gateway.stop()


def run_toy(seconds: float) -> None:
    """Run a toy gateway for so many seconds, or until interrupted where `seconds` is 0."""

    def write_line(line: str) -> None:
        sys.stdout.write(line + "\n")
        sys.stdout.flush()

    try:
        trio.run(_run_toy, seconds, write_line)
    except KeyboardInterrupt:
        write_line("ended")
