"""A whole gateway on loopback: real processes of both programs, stand-in servers that beat, and an operator.

Each machine is an address of 127.0.0.0/8, so ports are alike on all machines, as in a deployment. Servers
speak the published protocol: they seal, count their runs by id, turn away when full, answer 421 for another,
beat to the lighthouses and drain before they go; and they lie, where they are told to (`LIES`).
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import h11
import trio

CONTROL, FRONT, READY, SERVER = 8783, 8782, 8789, 8080
ROOT = Path(__file__).resolve().parents[3]
BEAT_S, DRAIN_S = 0.5, 2.5
LIES = ("other_id", "no_seal", "encoded", "cut", "surplus", "junk", "failure")  # ways to spoil an answer
HOST, PREFIX, KEY = "toy.example", "/look/", "key-of-toy"


def document(version: int, rate: float = 0.0, once: str = "/do/") -> bytes:
    """Return a configuration of two routes to two services, the second of which may run once."""

    def rule(name: str, kind: str, prefix: str, service: str) -> dict[str, Any]:
        return {
            "name": name,
            "route_kind": kind,
            "target_s": 0.5,
            "priority": 1,
            "public": False,
            "pattern": {"path_prefix": prefix},
            "effect": {"service": service, "timeout_s": 2.0, "max_tries": 2},
        }

    tenants = [{"name": "toy", "api_keys": [KEY], "rate_per_s": rate, "burst": rate}]
    rules = [rule("look", "pure", PREFIX, "looker"), rule("do", "effectful", once, "doer")]
    backends = [{"name": name, "health_path": "/health", "max_conns": 64} for name in ("looker", "doer")]
    whole = {"generation": f"r{version}", "tenants": tenants, "backends": backends}
    return json.dumps(whole | {"sockets": [{"host": HOST, "policy": rules}]}).encode()


@dataclass
class StandInServer:
    """One stand-in server."""

    ip: str
    service: str
    control_planes: list[str]
    id: str
    work_s: float = 0.01
    slots: int = 4
    state: str = "ready"
    seq: int = 0
    busy: int = 0
    ran: Counter[str] = field(default_factory=Counter)  # by attempt id
    tenants: Counter[str] = field(default_factory=Counter)
    acknowledged: bool = False  # its draining
    acknowledged_at: float = float("inf")
    late: int = 0  # requests that came later than DRAIN_S after that
    lies: float = 0.0  # share of its answers that it spoils
    random: Random = field(default_factory=lambda: Random(1))
    told: Counter[str] = field(default_factory=Counter)  # lies, by kind

    async def run(self) -> None:
        """Serve and beat until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(SERVER, host=self.ip)
            nursery.start_soon(partial(trio.serve_listeners, self._serve, listeners))
            nursery.start_soon(self._beat)

    async def _beat(self) -> None:
        at = 0
        while True:
            self.seq += 1
            info = {"service": self.service, "generation": "v1", "zone": "a", "capacity": self.slots}
            told = {
                "address": f"{self.ip}:{SERVER}",
                "build_info": info,
                "condition": {"state": self.state, "call_seq": self.seq, "cold_left_s": 0},
            }
            state = self.state
            path = f"/servers/{self.id}/heartbeat"
            control_plane = self.control_planes[at % len(self.control_planes)]
            status, _ = await call(control_plane, CONTROL, "POST", path, json.dumps(told))
            if status == 200:
                if state == "draining" and not self.acknowledged:
                    self.acknowledged, self.acknowledged_at = True, trio.current_time()
                await trio.sleep(BEAT_S)
            else:
                at += 1
                await trio.sleep(0.05)

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._one(http, stream):
                http.start_next_cycle()
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await stream.aclose()

    async def _one(self, http: h11.Connection, stream: trio.SocketStream) -> bool:
        headers: dict[str, str] = {}
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        id_ = headers.get("x-attempt-id", "")
        self.late += trio.current_time() > self.acknowledged_at + DRAIN_S
        more = [("X-Attempt-Id", id_)]
        status, body = 200, b""
        if headers.get("x-target-instance", self.id) != self.id:
            status, more = 421, [*more, ("X-Instance-Id", self.id)]
        elif self.busy >= self.slots:
            status, more = 503, [*more, ("X-Not-Executed", "1")]
        else:
            self.busy += 1
            self.ran[id_] += 1
            self.tenants[headers.get("x-tenant", "")] += 1
            await trio.sleep(self.work_s)
            self.busy -= 1
            more, body = [*more, ("X-Server-Seal", f"seal.{id_}")], f"{id_} by {self.id}\n".encode()
            if self.random.random() < self.lies:
                return await self._lie(http, stream, self.random.choice(LIES), more, body)
        response = h11.Response(status_code=status, headers=[*more, ("Content-Length", str(len(body)))])
        data = (http.send(response) or b"") + (http.send(h11.Data(data=body)) or b"")
        await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
        return http.our_state is h11.DONE

    async def _lie(
        self,
        http: h11.Connection,
        stream: trio.SocketStream,
        kind: str,
        more: list[tuple[str, str]],
        body: bytes,
    ) -> bool:
        """Spoil an answer; True where the connection goes on."""
        self.told[kind] += 1
        status = 200
        if kind == "junk":
            await stream.send_all(b"no answer at all\r\n\r\n")
            return False
        if kind == "other_id":
            more = [("X-Attempt-Id", "another"), *more[1:]]
        elif kind == "no_seal":
            more = more[:1]
        elif kind == "encoded":
            more = [*more, ("Content-Encoding", "odd")]
        elif kind == "failure":
            status = 500
        response = h11.Response(status_code=status, headers=[*more, ("Content-Length", str(len(body)))])
        head = http.send(response) or b""
        if kind == "cut":
            await stream.send_all(head + body[:4])
            return False
        whole = head + (http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b"")
        await stream.send_all(whole)
        if kind == "surplus":  # late, in the place of the next answer
            await trio.sleep(self.work_s / 2)
            await stream.send_all(whole)
        return http.our_state is h11.DONE


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: str | bytes = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; status 0 where no whole answer came."""
    said = body.encode() if isinstance(body, str) else body
    http, status, whole = h11.Connection(h11.CLIENT), 0, b""
    more = {"Host": HOST, "Content-Length": str(len(said)), **(headers or {})}
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(ip, port)
            async with stream:
                request = h11.Request(method=method, target=path, headers=list(more.items()))
                data = (http.send(request) or b"") + (http.send(h11.Data(data=said)) or b"")
                await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive_some(65536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data):
                        whole += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        return status, whole
                    elif isinstance(event, h11.ConnectionClosed):
                        return 0, whole
    except (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError):
        return 0, b""


class LocalGateway:
    """The processes of one gateway."""

    def __init__(self, folder: Path, control_planes: int = 3, data_planes: int = 2, net: int = 1) -> None:
        self.folder = folder
        self.control_planes = [f"127.{net}.1.{n + 1}" for n in range(control_planes)]
        self.data_planes = [f"127.{net}.2.{n + 1}" for n in range(data_planes)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.net = net
        self.standins: list[StandInServer] = []

    def start(self, ip: str, first: bool = True) -> None:
        """Start the process of one machine."""
        control_plane = ip in self.control_planes
        folder = self.folder / ip
        folder.mkdir(parents=True, exist_ok=True)
        bind = (
            f"bind.control_addr={ip}:{CONTROL}\ndata_dir={folder / 'data'}\n"
            if control_plane
            else f"bind.front_http={ip}:{FRONT}\nbind.ready_addr={ip}:{READY}\n"
        )
        role = "control" if control_plane else "data"
        seeds = ",".join(f"{one}:{CONTROL}" for one in self.control_planes[:3])
        (folder / "node.conf").write_text(
            f"node_name={role}-{ip}\nip={ip}\nzone=a\nregion=r\n{bind}"
            f"port_range=7340,7355\nseed_addrs={seeds}\nis_first_start={str(first).lower()}\n"
            f"heartbeat_s={BEAT_S}\nlimits.memory_mb=300\nlimits.max_fds=1024\n"
        )
        program = "wickspring.controlplane" if control_plane else "wickspring.dataplane"
        with (folder / "log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", program],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "WICKSPRING_BOOT": str(folder / "node.conf")},
            )

    def kill(self, ip: str) -> None:
        """End the process of one machine at once."""
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """End all processes."""
        for ip in list(self.processes):
            self.kill(ip)

    def servers(self, each: int = 3) -> list[StandInServer]:
        """Return stand-in servers of both services, to be run."""
        made = []
        for at, service in enumerate(("looker", "doer")):
            for n in range(each):
                ip = f"127.{self.net}.{3 + at}.{n + 1}"
                made.append(StandInServer(ip, service, self.control_planes, f"i-{service}-{n}"))
        self.standins = made
        return made

    async def launch(self, nursery: trio.Nursery, body: bytes) -> int:
        """Start all, with a configuration, and wait until the pilots are ready; how it was answered."""
        for ip in (*self.control_planes, *self.data_planes):
            self.start(ip)
        for one in self.servers():
            nursery.start_soon(one.run)
        status = await self.order(body)
        await self.ready()
        return status

    async def order(self, body: bytes) -> int:
        """Send a configuration to one lighthouse after another until one answers clearly."""
        status = 0
        for ip in self.control_planes * 8:
            status, _ = await call(ip, CONTROL, "POST", "/config/replace", body, timeout_s=1.0)
            if status and status < 500:
                return status
            await trio.sleep(0.1)
        return status

    async def read(self) -> int:
        """Read the configuration back; its version, or -1."""
        for ip in self.control_planes * 8:
            status, body = await call(ip, CONTROL, "GET", "/config/read", timeout_s=1.0)
            if status == 200:
                return int(json.loads(body)["generation"][1:])
            await trio.sleep(0.1)
        return -1

    async def ready(self, within_s: float = 10.0) -> None:
        """Wait until all pilots say that they are ready."""
        with trio.fail_after(within_s):
            for ip in self.data_planes:
                while (await call(ip, READY, "GET", "/readiness", timeout_s=0.5))[0] != 200:
                    await trio.sleep(0.05)

    async def ask(
        self, at: int, path: str, id_: str, key: str = KEY, method: str = "GET"
    ) -> tuple[int, bytes]:
        """Make a client's request at one pilot."""
        headers = {"X-Attempt-Id": id_, "X-Deadline-Ms": "2000", "X-Key": key}
        return await call(self.data_planes[at], FRONT, method, path, "", headers, 3.0)


async def _up(seconds: float, say: Callable[[str], None]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        gateway = LocalGateway(Path(folder), net=0)
        try:
            async with trio.open_nursery() as nursery:
                say(f"configuration r1: {await gateway.launch(nursery, document(1, rate=20.0))}")
                say(f"pilots: {', '.join(f'{ip}:{FRONT}' for ip in gateway.data_planes)}")
                say(f"lighthouses: {','.join(f'{ip}:{CONTROL}' for ip in gateway.control_planes)}")
                say(f"try: curl -i http://{gateway.data_planes[0]}:{FRONT}{PREFIX}1 -H 'Host: {HOST}' \\")
                say(f"  -H 'X-Key: {KEY}' -H 'X-Attempt-Id: 1' -H 'X-Deadline-Ms: 2000'")
                random, number = Random(1), 0
                with trio.move_on_after(seconds or float("inf")):
                    while True:
                        number += 1
                        path = random.choice((PREFIX, "/do/")) + "1"
                        nursery.start_soon(gateway.ask, number % 2, path, f"toy-{number}")
                        await trio.sleep(random.uniform(0.0, 0.2))
                nursery.cancel_scope.cancel()
        finally:
            gateway.stop()


def up(seconds: float) -> None:
    """Run a toy gateway for so long, or until interrupted."""

    def say(line: str) -> None:
        sys.stdout.write(line + "\n")
        sys.stdout.flush()

    try:
        trio.run(_up, seconds, say)
    except KeyboardInterrupt:
        say("ended")
