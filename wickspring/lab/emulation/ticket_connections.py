"""An accepted connection of an emulated ticket server, and a request received on it."""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

import h11
import trio


def reset(sock: trio.socket.SocketType | socket.socket) -> None:
    """Have the next close of this socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@dataclass(slots=True, eq=False)
class ServerConnection:
    """One accepted connection."""

    sock: trio.socket.SocketType
    opened_at: float  # ms of the run
    http: h11.Connection = field(default_factory=partial(h11.Connection, h11.SERVER))
    uses: int = 0  # requests received
    black_holed: bool = False  # a middlebox has dropped its state: nothing passes any more
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def answer(self, status: int, body: bytes, extra_headers: Sequence[tuple[str, str]] = ()) -> None:
        """Send a complete response."""
        headers = [*extra_headers, ("Content-Length", str(len(body)))]
        data = self.http.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await self.sock.send(data) :]


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request that has been received completely."""

    target: str
    headers: dict[str, str]
    first_byte_at: float  # ms of the run, when the first byte was in the kernel
    received_at: float  # the same for the last one
