"""A server that breaks the rules of HTTP and of the gateway, in ways drawn for each request."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from wickspring.lab.simulation.request_path.ledger import Ledger, request_body
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd

# Faults, with their weights in the draw.
FAULTS = {
    "good": 30,
    "failure": 2,
    "late_refusal": 2,
    "turned_away": 4,
    "wrong_door": 2,
    "missing": 1,
    "no_seal": 2,
    "empty_seal": 1,
    "hidden_seal": 1,
    "other_id": 3,
    "no_id": 1,
    "two_ids": 2,
    "encoded": 1,
    "silent": 2,
    "cut": 10,
    "junk": 2,
    "early": 2,
    "surplus": 5,
    "late_surplus": 6,
    "glued": 6,
    "to_the_end": 4,
    "slow": 4,
    "drips": 6,
    "reset_unread": 2,
    "closes": 3,
}
NOT_EXECUTING_FAULTS = ("turned_away", "wrong_door", "reset_unread")
UNSEALED_FAULTS = ("other_id", "no_id", "no_seal", "empty_seal", "encoded", "two_ids")
FAULTY_STATUSES = {
    "late_refusal": (503, 429, 408),
    "wrong_door": (421,),
    "turned_away": (503, 429, 500, 200),
    "missing": (404,),
}
ENDINGS = ("end", "reset")
LONG_RESPONSE_SHARE = 0.12
MAX_ERROR_BODY_BYTES = 200
MAX_REPLAY_BYTES = 3000
SILENCE_S = 5.0


@dataclass(slots=True)
class ReceivedRequest:
    """A request as this server has read it."""

    id: str
    fault: str
    headers: dict[str, str]
    is_own: bool  # else it is another that bears the same id
    is_executed: bool


@dataclass(slots=True)
class _Response:
    """The bytes of a response, and how many of them are its head."""

    data: bytes
    head_size: int


@dataclass
class FaultyServer:
    """A server; each request to it meets a fault or is answered well."""

    name: str
    ledger: Ledger
    fault_share: float  # of requests that are not answered well
    only_faults: tuple[str, ...] = ()
    replays: list[bytes] = field(default_factory=list)  # its responses, as they were

    def _choose_fault(self) -> str:
        random = self.ledger.random
        if random.random() >= self.fault_share:
            return "good"
        if self.only_faults:
            return random.choice(self.only_faults)
        return random.choices(list(FAULTS), list(FAULTS.values()))[0]

    # Composing responses.

    def _compose(self, request: ReceivedRequest, executed: bool) -> _Response:
        """Compose a response, and enter it into the ledger if a client may be given it."""
        random = self.ledger.random
        fault = request.fault
        sent = self.ledger.responses[request.id]
        seal = f"seal.{request.id}.{self.name}.{len(sent)}"
        body = self._body(request, executed)
        status = self._status(fault)
        if status != 200:
            body = body[:MAX_ERROR_BODY_BYTES]
        lines = self._header_lines(request, seal)
        framed = self._frame(body, lines, fault)
        random.shuffle(lines)
        interim = "HTTP/1.1 102 Processing\r\n\r\n" if random.random() < 0.05 else ""
        head = "\r\n".join([f"{interim}HTTP/1.1 {status} Said", *lines, "", ""]).encode()
        if fault not in UNSEALED_FAULTS:
            sent.append((status, seal, body))
        return _Response(head + framed, len(head))

    def _body(self, request: ReceivedRequest, executed: bool) -> bytes:
        random = self.ledger.random
        body = f"{request.id} by {self.name}\n".encode() * random.choice((0, 1, 3))
        if executed and (request.fault == "drips" or random.random() < LONG_RESPONSE_SHARE):
            body = f"{request.id} at length by {self.name}\n".encode() * random.randint(1500, 6000)
        return body

    def _status(self, fault: str) -> int:
        random = self.ledger.random
        if fault == "failure":
            return 500
        if fault in ("glued", "surplus", "late_surplus") and random.random() < 0.4:
            return 500
        statuses = FAULTY_STATUSES.get(fault, (200,))
        return random.choice(statuses) if len(statuses) > 1 else statuses[0]

    def _header_lines(self, request: ReceivedRequest, seal: str) -> list[str]:
        """Return the lines that are to show whose response it is."""
        random = self.ledger.random
        fault = request.fault
        others = [request_id for request_id in self.ledger.requests if request_id != request.id]
        other_id = random.choice(others or ["x"])
        id_line = f"X-Attempt-Id: {other_id if fault == 'other_id' else request.id}"
        seal_line = f"X-Server-Seal: {seal}"
        lines = [id_line, seal_line]
        if fault == "no_seal":
            lines.remove(seal_line)
        elif fault == "empty_seal":
            lines = [id_line, "X-Server-Seal:"]
        elif fault == "hidden_seal":
            lines.append("Connection: x-server-seal")
        elif fault == "no_id":
            lines.remove(id_line)
        elif fault == "two_ids":
            lines.insert(random.choice((0, 1)), f"X-Attempt-Id: {other_id}")
        elif fault == "encoded":
            lines.append("Content-Encoding: gzip")
        if fault == "turned_away" or (fault == "other_id" and random.random() < 0.5):
            lines.append("X-Not-Executed: 1")
        return lines

    def _frame(self, body: bytes, lines: list[str], fault: str) -> bytes:
        """Return the body as it goes over the connection, and add the line that says how."""
        random = self.ledger.random
        framing = random.choice(("length", "length", "chunked"))
        if fault == "to_the_end":
            lines.append("Connection: close")
            return body
        if framing == "length":
            lines.append(f"Content-Length: {len(body)}")
            return body
        lines.append("Transfer-Encoding: chunked")
        at = random.randint(0, len(body))
        parts = [part for part in (body[:at], body[at:]) if part]
        return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"

    def _replay(self) -> bytes:
        """Return an earlier response, or the beginning of one."""
        random = self.ledger.random
        earlier = random.choice(self.replays) if self.replays else b"HTTP/1.1 200 OK\r\n\r\n"
        return earlier[: random.randint(1, len(earlier))] if random.random() < 0.6 else earlier

    # Serving.

    async def serve(self, end: PeerEnd) -> None:
        """Serve one connection for as long as it lasts."""
        while await self._serve_request(end):
            pass

    async def _serve_request(self, end: PeerEnd) -> bool:
        """Read and answer one request; return False where the connection ends."""
        if not await self._stays_open(end):
            return False
        head = await end.read_until(b"\r\n\r\n")
        if not head:
            end.close()
            return False
        request = self._read_head(head)
        if await self._ends_early(end, request):
            return False
        body = await _read_body(end, request.headers)
        if body is None:
            end.close()
            return False
        self._check_body(request, body)
        if request.fault != "early":
            self.ledger.executions[request.id] += request.is_own and request.is_executed
        return await self._reply(end, request)

    async def _stays_open(self, end: PeerEnd) -> bool:
        """Close an idle connection now and then."""
        random = self.ledger.random
        if random.random() >= 0.05 * self.fault_share:
            return True
        with trio.move_on_after(random.uniform(0.0, 0.3)):
            while not end.received and await end.wait_for_more():
                pass
        if end.received:
            return True
        end.close(random.choice(ENDINGS))
        return False

    def _read_head(self, head: bytes) -> ReceivedRequest:
        """Return the request, and enter into the ledger that it came here."""
        ledger = self.ledger
        lines = head.decode().lower().split("\r\n")[1:]
        headers = dict(line.split(": ", 1) for line in lines if line)
        request_id = headers.get("x-attempt-id", "")
        fault = self._choose_fault()
        ledger.seen[fault] += 1
        path, _ = ledger.requests.get(request_id, ("", 0))
        is_own = head.split()[1].decode().startswith(path)
        if is_own:
            ledger.sent_to[request_id].append(self.name)
        if headers.get("x-target-instance") != self.name:
            ledger.fail("sent to another than named", request_id, self.name)
        return ReceivedRequest(request_id, fault, headers, is_own, fault not in NOT_EXECUTING_FAULTS)

    async def _ends_early(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        """End the connection before the body is read, for faults that do so."""
        random = self.ledger.random
        fault = request.fault
        if fault == "early":  # executed by the head alone
            self.ledger.executions[request.id] += request.is_own
            if random.random() < 0.5:
                await trio.sleep(random.uniform(0.0, 0.05))
                end.close(random.choice(ENDINGS))
                return True
        if fault == "reset_unread" or (fault == "turned_away" and random.random() < 0.5):
            if fault == "turned_away":
                end.send(self._compose(request, executed=False).data)
            end.close(random.choice(ENDINGS))
            return True
        return False

    def _check_body(self, request: ReceivedRequest, body: bytes) -> None:
        expected = self.ledger.requests.get(request.id)
        if expected is None or body != request_body(request.id, expected[1]):
            self.ledger.fail("a body that its client did not send", request.id, len(body), expected)

    async def _reply(self, end: PeerEnd, request: ReceivedRequest) -> bool:
        """Answer a request that has been read; return False where the connection ends."""
        random = self.ledger.random
        fault = request.fault
        await trio.sleep(random.choice((0.0, 0.003, 0.02, 0.2)))
        if fault == "silent":
            await trio.sleep(SILENCE_S)
        if fault == "slow":
            await trio.sleep(random.uniform(0.2, 3.0))
        response = self._compose(request, request.is_executed)
        if fault in ("junk", "closes"):
            if fault == "junk":
                end.send(bytes(random.randrange(256) for _ in range(random.randint(1, 60))))
            end.close(random.choice(ENDINGS))
            return False
        if fault == "glued":  # the beginning of another response ahead of this one
            start = random.randint(1, response.head_size - 1) if random.random() >= 0.5 else 0
            end.send(response.data[:start] if start else self._replay())
        if fault == "cut" or (fault == "to_the_end" and random.random() < 0.5):
            await self._cut(end, response)
            return False
        data = await self._drip(end, response.data) if fault == "drips" else response.data
        await self._send(end, data)
        return await self._follow_up(end, fault, data)

    async def _cut(self, end: PeerEnd, response: _Response) -> None:
        random = self.ledger.random
        size = random.randint(0, random.choice((response.head_size, len(response.data))))
        end.send(response.data[:size])
        await trio.sleep(random.choice((0.0, 0.0, 0.05, 3.0)))
        end.close(random.choice(ENDINGS))

    async def _drip(self, end: PeerEnd, data: bytes) -> bytes:
        """Send a response in pieces with pauses; return the last piece, which is not sent yet."""
        random = self.ledger.random
        size = len(data) // random.randint(3, 8) + 1
        while len(data) > size:
            end.send(data[:size])
            data = data[size:]
            await trio.sleep(random.uniform(0.02, 0.5))
        return data

    async def _send(self, end: PeerEnd, data: bytes) -> None:
        """Send bytes, now and then in two parts."""
        random = self.ledger.random
        at = random.randint(0, len(data)) if random.random() < 0.3 else len(data)
        end.send(data[:at])
        if at < len(data):
            await trio.sleep(random.choice((0.0, 0.01, 0.3)))
            end.send(data[at:])

    async def _follow_up(self, end: PeerEnd, fault: str, data: bytes) -> bool:
        """Do what a fault does after a response; return False where the connection ends."""
        if fault == "to_the_end":
            end.close()
            return False
        if fault not in ("glued", "drips"):
            self.replays.append(data[:MAX_REPLAY_BYTES])
        if fault in ("surplus", "late_surplus"):
            surplus = self._replay() if self.ledger.random.random() < 0.7 else data
            if fault == "late_surplus":  # in the place of the next response
                while not end.received and await end.wait_for_more():
                    pass
            end.send(surplus)
        return True


async def _read_body(end: PeerEnd, headers: dict[str, str]) -> bytes | None:
    """Return the body of a request; None where it ends before it is complete."""
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = await end.read(length)
        return body if len(body) == length else None
    if "transfer-encoding" not in headers:
        return b""
    body = b""
    while size_line := await end.read_until(b"\r\n"):
        size = int(size_line, 16)
        body += await end.read(size)
        if size == 0:
            return body if await end.read_until(b"\r\n") else None
        await end.read(len(b"\r\n"))
    return None
