"""Stand-in servers, as the pages describe them: heartbeats, attempt ids, seals, one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

from review.common2.deployment import Deployment, Record, call

PORT = 8080
HEARTBEAT_S = 1.5


@dataclass
class Arrival:
    """One request at a server: its head, what has come of its body, and whether it has run."""

    id: str
    method: str
    path: str
    headers: dict[str, str]
    at: float
    body_bytes: int = 0
    whole: bool = False
    ran: bool = False


@dataclass
class Server:
    """One server: it runs a request once it has come whole, for `work_s`, and answers it."""

    deployment: Deployment
    record: Record
    id: str
    service: str
    ip: str
    capacity: int = 16
    work_s: float = 0.02
    answer_bytes: int = 200
    arrivals: list[Arrival] = field(default_factory=list)
    dark: bool = False  # it has fallen silent, without closing anything
    _sequence: int = 0

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._listener = await asyncio.start_server(self._serve, self.ip, PORT, limit=1 << 20)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        number = 0
        addresses = self.deployment.control_planes
        while not self.dark:
            self._sequence += 1
            body = {
                "address": f"{self.ip}:{PORT}",
                "build_info": {
                    "service": self.service,
                    "generation": "v1",
                    "zone": "z1",
                    "capacity": self.capacity,
                },
                "condition": {"state": "ready", "call_seq": self._sequence, "cold_left_s": 0},
            }
            ip = addresses[number % len(addresses)]
            status, _ = await call(
                ip, 8783, "POST", f"/servers/{self.id}/heartbeat", json.dumps(body).encode()
            )
            if status // 100 == 2:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                number += 1
                await asyncio.sleep(0.1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the other side has left, or the script ends
        finally:
            if not self.dark:
                writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        await self._stay_dark()
        first, *lines = head.rstrip().split("\r\n")
        method, path, _ = first.split(" ")
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        arrival = Arrival(headers.get("x-attempt-id", ""), method, path, headers, self.record.now())
        if headers.get("x-target-instance", self.id) != self.id:
            await self._send(writer, 421, arrival.id, b"", {})
            return False
        self.arrivals.append(arrival)
        self.record.line(f"server {self.id}: {method} {path} of {arrival.id} reaches it")
        try:
            await self._read_body(reader, arrival)
        except (OSError, asyncio.IncompleteReadError):
            self.record.line(f"server {self.id}: {arrival.id} is broken off after {arrival.body_bytes} bytes")
            return False
        arrival.whole = arrival.ran = True
        self.record.line(f"server {self.id}: runs {arrival.id}")
        await asyncio.sleep(self.work_s)
        await self._stay_dark()
        await self.answer(writer, arrival)
        return not self.dark

    async def _stay_dark(self) -> None:
        """Do nothing any more once this server has fallen silent."""
        while self.dark:
            await asyncio.sleep(1.0)

    async def _read_body(self, reader: asyncio.StreamReader, arrival: Arrival) -> None:
        if "chunked" in arrival.headers.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                await reader.readexactly(size + 2)
                arrival.body_bytes += size
            await reader.readuntil(b"\r\n")
            return
        left = int(arrival.headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            arrival.body_bytes += len(data)

    async def answer(self, writer: asyncio.StreamWriter, arrival: Arrival) -> None:
        """Send a success; a subclass may answer otherwise."""
        await self._send(
            writer, 200, arrival.id, b"x" * self.answer_bytes, {"X-Server-Seal": f"s.{arrival.id}"}
        )

    async def _send(
        self, writer: asyncio.StreamWriter, status: int, attempt_id: str, body: bytes, headers: dict[str, str]
    ) -> None:
        lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {attempt_id}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        with contextlib.suppress(OSError):
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
