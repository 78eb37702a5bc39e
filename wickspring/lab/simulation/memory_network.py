"""The network of a simulated gateway: TCP connections and UDP datagrams in memory, counted by a meter."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from wickspring.common.connection import PeerConnection
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.memory_link import MemoryLink
from wickspring.lab.simulation.meter import INGRESS, REST, ROLE, Meter

MAX_QUEUED_DATAGRAMS = 100_000


@dataclass(slots=True, frozen=True)
class Listener:
    """A process that accepts connections at an IP."""

    role: str
    accept: Callable[[MemoryLink], None]


class MemoryNetwork:
    """All listeners and datagram endpoints of one run, by IP."""

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self.listeners: dict[str, Listener] = {}
        self.datagram_endpoints: dict[str, DatagramEndpoint] = {}

    async def connect(self, address: tuple[str, int], timeout_ms: float) -> MemoryLink | None:
        """Connect to the listener at an IP; None where nobody listens."""
        await trio.lowlevel.checkpoint()
        listener = self.listeners.get(address[0])
        if listener is None:
            return None
        client = MemoryLink(ROLE.get(), listener.role)
        server = MemoryLink(listener.role, ROLE.get())
        client.attach(server)
        listener.accept(server)
        return client

    def listen(
        self,
        ip: str,
        role: str,
        nursery: trio.Nursery,
        serve: Callable[[PeerConnection], Awaitable[None]],
    ) -> None:
        """Serve each connection to an IP in a task of the nursery."""

        def accept(link: MemoryLink) -> None:
            with self.meter.charge(role, REST):
                connection = PeerConnection(link, VirtualClock())  # type: ignore[arg-type]
                nursery.start_soon(serve, connection)

        self.listeners[ip] = Listener(role, accept)

    def disconnect(self, ip: str) -> None:
        """Remove a machine: connections to it fail and datagrams for it are dropped."""
        self.listeners.pop(ip, None)
        self.datagram_endpoints.pop(ip, None)


class DatagramEndpoint:
    """The UDP socket of one data plane, in place of `net.datagrams.Udp`."""

    def __init__(self, network: MemoryNetwork, ip: str, port: int) -> None:
        self._network = network
        self._ip = ip
        self._incoming, self._queue = trio.open_memory_channel[tuple[bytes, str]](MAX_QUEUED_DATAGRAMS)
        network.datagram_endpoints[ip] = self

    def send(self, ip: str, data: bytes) -> None:
        """Send one datagram; it is dropped where nobody has the IP."""
        self._network.meter.count_message(f"{INGRESS}>{INGRESS}", "probe", len(data))
        receiver = self._network.datagram_endpoints.get(ip)
        if receiver is not None:
            receiver._incoming.send_nowait((data, self._ip))

    async def receive(self) -> tuple[bytes, str]:
        """Wait for a datagram; return its data and the sender's IP."""
        return await self._queue.receive()
