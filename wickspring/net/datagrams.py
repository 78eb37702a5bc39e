"""Datagrams between processes: UDP on an address, without names and without waiting to send."""

from __future__ import annotations

import socket
from typing import Protocol

import trio

MOST_RECEIVED = 65536  # bytes


class Datagrams(Protocol):
    """Where datagrams go and come from."""

    def send(self, ip: str, data: bytes) -> None:
        """Send one to the process at an IP; what cannot be sent is as good as lost."""

    async def receive(self) -> tuple[bytes, str]:
        """Wait for one; its bytes, and the IP that it says it comes from."""


class Udp:
    """One UDP socket; the port is the same on all machines."""

    def __init__(self, ip: str, port: int) -> None:
        self.port = port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, port))

    def send(self, ip: str, data: bytes) -> None:
        """Send one to the process at an IP; what cannot be sent is as good as lost."""
        try:
            self.socket.sendto(data, (ip, self.port))
        except OSError:
            return

    async def receive(self) -> tuple[bytes, str]:
        """Wait for one; its bytes, and the IP that it says it comes from."""
        while True:
            try:
                data, (ip, _) = self.socket.recvfrom(MOST_RECEIVED)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.socket)
            except OSError:
                await trio.lowlevel.checkpoint()
            else:
                return data, str(ip)

    def close(self) -> None:
        """Let go of the socket."""
        self.socket.close()
