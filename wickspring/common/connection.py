"""Connections between processes of the system: msgpack messages, one after another, over TCP.

A message is an array whose first element is its name (`common.messages`). The side that connects also
reconnects: it closes a connection on which nothing has arrived for `RECEIVE_TIMEOUT_MS`, since after a
network partition the bytes under way may arrive seconds late or never.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol, TypeVar

import msgpack
import trio

from wickspring.common import logs
from wickspring.common.errors import GatewayError
from wickspring.common.messages.base import Message, MessageDecoder, WireMessage
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect

MAX_MESSAGE_BYTES = 4 << 20  # of one message, and of all that waits to be read
MAX_REASON_CHARACTERS = 120  # of a reason in the log
CONNECT_TIMEOUT_MS = 400.0
RECEIVE_TIMEOUT_MS = 1300.0  # without a message, after which the other side counts as unreachable
LIVENESS_CHECKS_PER_TIMEOUT = 4
HEARTBEAT_MS = 420.0  # between two heartbeats, several of which fit into the timeout
RECONNECT_DELAY_MS = (120.0, 320.0)  # drawn evenly between the two
ACCEPT_RETRY_S = 0.02  # after an error such as running out of descriptors
NEVER_MS = -1e12

MessageT = TypeVar("MessageT", bound=Message)
MessageT_contra = TypeVar("MessageT_contra", bound=Message, contravariant=True)

# What decoding or handling a foreign or damaged message may raise. Nothing else is caught for it.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
    GatewayError,
)


class PeerConnection:
    """One end of an open connection."""

    def __init__(self, link: Link, clock: Clock, peer_address: str = "") -> None:
        self.link = link
        self.clock = clock
        self.last_received_at_ms = clock.now()
        self.peer_address = peer_address  # IP of the process at the other end, once it is known
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)

    @property
    def live(self) -> bool:
        """Tell whether the connection is open and something has arrived within `RECEIVE_TIMEOUT_MS`."""
        since_received_ms = self.clock.now() - self.last_received_at_ms
        return not self.link.broken and since_received_ms < RECEIVE_TIMEOUT_MS

    def send(self, message: Message) -> None:
        """Send a message; on a broken connection it is dropped."""
        self.link.send(message.encode())

    async def read(
        self, on_message: Callable[[PeerConnection, MessageT], None], decoder: MessageDecoder[MessageT]
    ) -> None:
        """Decode each message and pass it to `on_message`, until the connection ends.

        Messages whose name the decoder does not know are ignored. One that raises any of `DECODE_ERRORS`
        when it is decoded or handled ends the reading.
        """

        def decode(wire_message: WireMessage) -> None:
            message = decoder.decode(wire_message)
            if message is not None:
                on_message(self, message)

        await self.read_wire_messages(decode)

    async def read_wire_messages(self, on_wire_message: Callable[[WireMessage], None]) -> None:
        """Pass each message, not decoded yet, to `on_wire_message` until the connection ends.

        What is not a message, or raises one of `DECODE_ERRORS` when it is handled, ends the reading; the
        latter is logged.
        """
        while True:
            data = await self.link.receive()
            if not data:
                return
            self.last_received_at_ms = self.clock.now()
            try:
                self._unpacker.feed(data)
                for wire_message in self._unpacker:
                    if not _is_message(wire_message):
                        return
                    on_wire_message(wire_message)
            except DECODE_ERRORS as error:
                self._log_bad_message(error)
                return

    def _log_bad_message(self, error: Exception) -> None:
        reason = repr(error)[:MAX_REASON_CHARACTERS]
        logs.log_event("message_invalid", sender=self.peer_address, reason=reason)

    def close(self) -> None:
        """Close the connection."""
        self.link.close()


def _is_message(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], str)


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
                    await self._use(sock)
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


async def accept_connections(
    listener: socket.socket,
    clock: Clock,
    nursery: trio.Nursery,
    serve: Callable[[PeerConnection], Awaitable[None]],
) -> None:
    """Accept connections until cancelled, and start `serve` in the nursery for each."""
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            await trio.lowlevel.wait_readable(listener)
        except OSError:
            await trio.sleep(ACCEPT_RETRY_S)
        else:
            nursery.start_soon(serve, PeerConnection(Link(sock, nursery), clock))
