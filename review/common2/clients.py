"""Stand-in clients: kept or new connections, one request at a time on each."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from review.common2.deployment import HOST, KEY, Record, read_head


@dataclass
class Outcome:
    """How one request ended for its client."""

    id: str
    sent_at: float  # its last byte
    ended_at: float = 0.0
    status: int = 0  # of the answer; 0: none has begun
    whole: bool = False  # the answer came whole
    closed: bool = False  # the connection was closed or reset before the answer was whole
    left: bool = False  # the client's own time was over
    body: bytes = b""


class Client:
    """One client connection to a data plane."""

    def __init__(self, record: Record, ip: str, port: int = 8782) -> None:
        self.record = record
        self._address = ip, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(*self._address, limit=1 << 20)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    @staticmethod
    def head(method: str, path: str, attempt_id: str, deadline_ms: int, length: int | None) -> bytes:
        """Return the head of a request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Key: {KEY}"]
        lines += [f"X-Attempt-Id: {attempt_id}", f"X-Deadline-Ms: {deadline_ms}"]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def request(
        self,
        method: str,
        path: str,
        attempt_id: str,
        deadline_ms: int,
        pieces: tuple[tuple[float, bytes], ...] = (),
    ) -> Outcome:
        """Send a request, its body in pieces after pauses (s), and read the answer until the deadline."""
        length = sum(len(piece) for _, piece in pieces) if pieces or method == "POST" else None
        outcome = Outcome(attempt_id, self.record.now())
        sending = asyncio.create_task(
            self._send(outcome, self.head(method, path, attempt_id, deadline_ms, length), pieces)
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                await self._read(outcome)
        except TimeoutError:
            outcome.left = True
        except (OSError, asyncio.IncompleteReadError):
            outcome.closed = True
        sending.cancel()
        outcome.ended_at = self.record.now()
        how = "whole" if outcome.whole else "closed" if outcome.closed else "its time is over"
        self.record.line(
            f"client: {attempt_id} ends, status {outcome.status}, {len(outcome.body)} bytes, {how}"
        )
        return outcome

    async def _send(self, outcome: Outcome, head: bytes, pieces: tuple[tuple[float, bytes], ...]) -> None:
        assert self._writer is not None
        try:
            self._writer.write(head)
            for pause_s, piece in pieces:
                await asyncio.sleep(pause_s)
                self._writer.write(piece)
                await self._writer.drain()
        except OSError:
            return
        outcome.sent_at = self.record.now()
        self.record.line(f"client: {outcome.id} is sent whole")

    async def _read(self, outcome: Outcome) -> None:
        assert self._reader is not None
        outcome.status, headers = await read_head(self._reader)
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                outcome.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b"\r\n")
        else:
            left = int(headers.get("content-length", "0"))
            while left:
                data = await self._reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                outcome.body += data
        outcome.whole = True
