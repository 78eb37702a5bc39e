"""A client that keeps a connection to another process of the system, and connects again when it ends.

It closes a connection on which nothing has arrived for `connection.RECEIVE_TIMEOUT_MS`, since after a network
partition the bytes under way may arrive seconds late or never.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol, TypeVar

import trio

from wickspring.common.connection import RECEIVE_TIMEOUT_MS, PeerConnection
from wickspring.common.messages.base import Message, MessageDecoder
from wickspring.fault_isolation import FaultStep, run_isolated
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect

CONNECT_TIMEOUT_MS = 400.0
LIVENESS_CHECKS_PER_TIMEOUT = 4
RECONNECT_DELAY_MS = (120.0, 320.0)  # drawn evenly between the two
NEVER_MS = -1e12

MessageT = TypeVar("MessageT", bound=Message)
MessageT_contra = TypeVar("MessageT_contra", bound=Message, contravariant=True)


class ConnectionHandler(Protocol[MessageT_contra]):
    """Handles what happens to the connections of a `ReconnectingClient`."""

    def on_connect(self, connection: PeerConnection, /) -> None:
        """Handle that a connection has been opened; what is sent here goes first."""

    def on_message(self, connection: PeerConnection, message: MessageT_contra, /) -> None:
        """Handle a message; `PeerConnection.read` says what it may raise."""

    def on_disconnect(self, client: ReconnectingClient, /) -> None:
        """Handle that the connection has ended; `client.connection` is None by now."""


class ReconnectingClient:
    """Keeps a connection to one address, and connects again when it ends."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: ConnectionHandler[MessageT],
        decoder: MessageDecoder[MessageT],
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
    ) -> None:
        self.address = address
        self.connection: PeerConnection | None = None
        self.last_attempt_at_ms = NEVER_MS
        self.closed = False
        self._clock = clock
        self._nursery = nursery
        self._random = random
        self._on_connect = handler.on_connect
        self._on_disconnect = handler.on_disconnect
        self._read: Callable[[PeerConnection], Awaitable[None]]
        self._read = lambda connection: connection.read(handler.on_message, decoder)
        self._cancel_scope = trio.CancelScope()
        self._reconnect_now = trio.Event()

    @property
    def live(self) -> bool:
        """Tell whether a connection is open and something has arrived on it recently."""
        return self.connection is not None and self.connection.live

    def send(self, message: Message) -> bool:
        """Send a message; False where there is no connection to send it on."""
        connection = self.connection
        if connection is None or connection.link.broken:
            return False
        connection.send(message)
        return True

    def close(self) -> None:
        """Close the connection and stop `run`."""
        self.closed = True
        self._cancel_scope.cancel()

    def reconnect_now(self) -> None:
        """Connect without further delay unless connected: the other side has just shown that it is there."""
        if self.connection is None:
            self._reconnect_now.set()

    async def run(self) -> None:
        """Connect, and connect again, until closed."""
        with self._cancel_scope:
            while not self.closed:
                sock = await connect(self.address, CONNECT_TIMEOUT_MS)
                self.last_attempt_at_ms = self._clock.now()
                if sock is not None:
                    await run_isolated(FaultStep.PEER_MESSAGE, self._use, sock)
                await self._wait_before_reconnecting()

    async def _wait_before_reconnecting(self) -> None:
        delay_ms = self._random.uniform(*RECONNECT_DELAY_MS)
        with trio.move_on_after(delay_ms / 1000.0):
            await self._reconnect_now.wait()
        self._reconnect_now = trio.Event()

    async def _use(self, sock: socket.socket) -> None:
        """Read from a new connection until it ends or nothing arrives any more."""
        connection = PeerConnection(Link(sock, self._nursery), self._clock, peer_address=self.address[0])
        self.connection = connection
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_close_after_receive_timeout, connection)
                self._on_connect(connection)
                await self._read(connection)
                nursery.cancel_scope.cancel()
        finally:
            connection.close()
            self.connection = None
            self._on_disconnect(self)


async def _close_after_receive_timeout(connection: PeerConnection) -> None:
    interval_s = RECEIVE_TIMEOUT_MS / 1000.0 / LIVENESS_CHECKS_PER_TIMEOUT
    while connection.live:
        await trio.sleep(interval_s)
    connection.close()
