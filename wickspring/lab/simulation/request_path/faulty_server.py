"""A server that breaks the rules of HTTP and of the gateway, in ways drawn for each request."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from wickspring.lab.simulation.request_path.ledger import Ledger, request_body
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd

# Names of faults, with their weights in the draw.
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


@dataclass
class FaultyServer:
    """A server; each of its connections plays tricks."""

    name: str
    ledger: Ledger
    fault_share: float  # share of requests that are not answered well
    only_faults: tuple[str, ...] = ()
    replays: list[bytes] = field(default_factory=list)  # its answers, as they were

    def _choose_fault(self) -> str:
        random = self.ledger.random
        if random.random() >= self.fault_share:
            return "good"
        if self.only_faults:
            return random.choice(self.only_faults)
        return random.choices(list(FAULTS), list(FAULTS.values()))[0]

    def _answer(self, request_id: str, fault: str, run: bool) -> tuple[bytes, int]:
        """Compose an answer; its bytes, and how many of them are its head."""
        random, ledger = self.ledger.random, self.ledger
        code, seal = 200, f"seal.{request_id}.{self.name}.{len(ledger.responses[request_id])}"
        body = f"{request_id} by {self.name}\n".encode() * random.choice((0, 1, 3))
        if run and (fault == "drips" or random.random() < 0.12):
            body = f"{request_id} at length by {self.name}\n".encode() * random.randint(1500, 6000)
        if fault == "failure" or (fault in ("glued", "surplus", "late_surplus") and random.random() < 0.4):
            code = 500
        elif fault == "late_refusal":
            code = random.choice((503, 429, 408))
        elif fault == "wrong_door":
            code = 421
        elif fault == "turned_away":
            code = random.choice((503, 429, 500, 200))
        elif fault == "missing":
            code = 404
        if code != 200:
            body = body[:200]
        told = random.choice([one for one in ledger.requests if one != request_id] or ["x"])
        id_told = told if fault == "other_id" else request_id
        lines = [f"X-Attempt-Id: {id_told}", f"X-Server-Seal: {seal}"]
        if fault == "no_seal":
            del lines[1]
        elif fault == "empty_seal":
            lines[1] = "X-Server-Seal:"
        elif fault == "hidden_seal":
            lines.append("Connection: x-server-seal")
        elif fault == "no_id":
            del lines[0]
        elif fault == "two_ids":
            lines.insert(random.choice((0, 1)), f"X-Attempt-Id: {told}")
        elif fault == "encoded":
            lines.append("Content-Encoding: gzip")
        if fault == "turned_away" or (fault == "other_id" and random.random() < 0.5):
            lines.append("X-Not-Executed: 1")
        form = random.choice(("length", "length", "chunked"))
        if fault == "to_the_end" and code != 204:
            lines.append("Connection: close")
            framed = body
        elif form == "length":
            lines.append(f"Content-Length: {len(body)}")
            framed = body
        else:
            lines.append("Transfer-Encoding: chunked")
            at = random.randint(0, len(body))
            parts = [part for part in (body[:at], body[at:]) if part]
            framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        random.shuffle(lines)
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" if random.random() < 0.05 else b""
        head = interim + f"HTTP/1.1 {code} Said\r\n".encode() + "\r\n".join(lines).encode() + b"\r\n\r\n"
        if fault not in ("other_id", "no_id", "no_seal", "empty_seal", "encoded", "two_ids"):
            ledger.responses[request_id].append((code, seal, body))
        return head + framed, len(head)

    def _spoilt(self) -> bytes:
        """Return an old answer, or the beginning of one."""
        random = self.ledger.random
        old = random.choice(self.replays) if self.replays else b"HTTP/1.1 200 OK\r\n\r\n"
        return old[: random.randint(1, len(old))] if random.random() < 0.6 else old

    async def serve(self, end: PeerEnd) -> None:
        """Serve one connection for as long as it lasts."""
        random, ledger = self.ledger.random, self.ledger
        while True:
            if random.random() < 0.05 * self.fault_share:
                with trio.move_on_after(random.uniform(0.0, 0.3)):  # it closes what is idle
                    while not end.got and await end.more():
                        pass
                if not end.got:
                    end.close(random.choice(("end", "reset")))
                    return
            head = await end.until(b"\r\n\r\n")
            if not head:
                end.close()
                return
            lines = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:] if line)
            request_id, fault = lines.get("x-attempt-id", ""), self._choose_fault()
            ledger.seen[fault] += 1
            path, _ = ledger.requests.get(request_id, ("", 0))
            its = head.split()[1].decode().startswith(path)  # else it is another that bears the same id
            if its:
                ledger.sent_to[request_id].append(self.name)
            if lines.get("x-target-instance") != self.name:
                ledger.fail("sent to another than named", request_id, self.name)
            runs = fault not in ("turned_away", "wrong_door", "reset_unread")
            early = fault == "early" and runs
            if early:  # it runs by the head alone
                ledger.executions[request_id] += its
                if random.random() < 0.5:
                    await trio.sleep(random.uniform(0.0, 0.05))
                    end.close(random.choice(("end", "reset")))
                    return
            if fault == "reset_unread" or (fault == "turned_away" and random.random() < 0.5):
                if fault == "turned_away":  # without having read the body
                    end.say(self._answer(request_id, fault, False)[0])
                end.close(random.choice(("end", "reset")))
                return
            if "content-length" in lines:
                body = await end.part(int(lines["content-length"]))
                whole = len(body) == int(lines["content-length"])
            else:
                body, whole = b"", "transfer-encoding" not in lines
                while not whole and (size := await end.until(b"\r\n")):
                    body += await end.part(int(size, 16))
                    whole = size == b"0\r\n" and bool(await end.until(b"\r\n"))
                    if size != b"0\r\n":
                        await end.part(2)
            if not whole:
                end.close()
                return
            if request_id not in ledger.requests or body != request_body(
                request_id, ledger.requests[request_id][1]
            ):
                ledger.fail(
                    "a body that its client did not send",
                    request_id,
                    len(body),
                    ledger.requests.get(request_id),
                )
            ledger.executions[request_id] += its and runs and not early
            if not await self._reply(end, request_id, fault, runs):
                return

    async def _reply(self, end: PeerEnd, request_id: str, fault: str, runs: bool) -> bool:
        """Answer a request that has been read; True where the connection goes on."""
        random = self.ledger.random
        await trio.sleep(random.choice((0.0, 0.003, 0.02, 0.2)))
        if fault == "silent":
            await trio.sleep(5.0)
        if fault == "slow":
            await trio.sleep(random.uniform(0.2, 3.0))
        said, head = self._answer(request_id, fault, runs)
        if fault == "junk":
            end.say(bytes(random.randrange(256) for _ in range(random.randint(1, 60))))
            end.close(random.choice(("end", "reset")))
            return False
        if fault == "closes":
            end.close(random.choice(("end", "reset")))
            return False
        if fault == "glued":  # the beginning of an old answer ahead of this one
            end.say(self._spoilt() if random.random() < 0.5 else said[: random.randint(1, head - 1)])
        if fault == "cut" or (fault == "to_the_end" and random.random() < 0.5):
            end.say(said[: random.randint(0, random.choice((head, len(said))))])
            await trio.sleep(random.choice((0.0, 0.0, 0.05, 3.0)))
            end.close(random.choice(("end", "reset")))
            return False
        if fault == "drips":
            size = len(said) // random.randint(3, 8) + 1
            while len(said) > size:
                end.say(said[:size])
                said = said[size:]
                await trio.sleep(random.uniform(0.02, 0.5))
        at = random.randint(0, len(said)) if random.random() < 0.3 else len(said)
        end.say(said[:at])
        if at < len(said):
            await trio.sleep(random.choice((0.0, 0.01, 0.3)))
            end.say(said[at:])
        if fault == "to_the_end":
            end.close()
            return False
        if fault not in ("glued", "drips"):
            self.replays.append(said[:3000])
        if fault in ("surplus", "late_surplus"):
            more = self._spoilt() if random.random() < 0.7 else said
            if fault == "late_surplus":  # in the place of the next one
                while not end.got and await end.more():
                    pass
            end.say(more)
        return True
