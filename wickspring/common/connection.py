"""Cables between the system's own processes: msgpack messages, one after another, over TCP.

A message is a list whose first part names it. Whoever holds the calling end dials again when a cable is
silent for too long: after a cut, bytes that were under way may come seconds late or never.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar, overload

import msgpack
import trio

from wickspring.common import logs
from wickspring.common.errors import GatewayError
from wickspring.common.messages.base import Message as TypedMessage
from wickspring.common.messages.base import MessageDecoder
from wickspring.net.clock import Clock
from wickspring.net.link import Link, connect

MAX_MESSAGE_BYTES = 4 << 20  # bytes of one message, and of all that waits to be read
MAX_REASON_CHARACTERS = 120  # characters of a reason in the log
CONNECT_TIMEOUT_MS = 400.0
SILENCE_TIMEOUT_MS = 1300.0  # after which the other side is taken for out of reach
HEARTBEAT_MS = 420.0  # how often something is said, so that silence means something
RECONNECT_DELAY_MS = (120.0, 320.0)

Message = list[Any]  # untyped; the callers that still use it are on their way to `common.messages`

MessageT = TypeVar("MessageT", bound=TypedMessage)

# What reading a message may raise that is none of this system's, or is spoilt: nothing else is caught for it.
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
    """One end of a connected cable."""

    def __init__(self, link: Link, clock: Clock) -> None:
        self.link, self.clock = link, clock
        self.heard_at = clock.now()
        self.name = ""  # of the process at the other end, once it has said hello
        self.about: dict[str, Any] = {}  # what it said of itself
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)

    def send(self, *message: object) -> None:
        """Send a typed message, or the parts of an untyped one; a broken connection drops it."""
        first = message[0]
        self.link.send(first.encode() if isinstance(first, TypedMessage) else msgpack.packb(message))

    @property
    def live(self) -> bool:
        """Tell whether the other side has been heard of late."""
        return not self.link.broken and self.clock.now() - self.heard_at < SILENCE_TIMEOUT_MS

    @overload
    async def read(self, take: Callable[[PeerConnection, Message], None]) -> None: ...

    @overload
    async def read(
        self, take: Callable[[PeerConnection, MessageT], None], decoder: MessageDecoder[MessageT]
    ) -> None: ...

    async def read(
        self, take: Callable[[PeerConnection, Any], None], decoder: MessageDecoder[Any] | None = None
    ) -> None:
        """Hand over each message until the connection ends; one that cannot be read ends it.

        With a decoder messages come typed, and those whose names it does not know are passed over.
        """
        while True:
            data = await self.link.receive()
            if not data:
                return
            self.heard_at = self.clock.now()
            try:
                self._unpacker.feed(data)
                for wire_message in self._unpacker:
                    if not isinstance(wire_message, list) or not wire_message:
                        return
                    if not isinstance(wire_message[0], str):
                        return
                    message = wire_message if decoder is None else decoder.decode(wire_message)
                    if message is not None:
                        take(self, message)
            except DECODE_ERRORS as error:
                logs.log_event("message_bad", sender=self.name, reason=repr(error)[:MAX_REASON_CHARACTERS])
                return

    def close(self) -> None:
        """End it."""
        self.link.close()


class ReconnectingClient:
    """The calling end of a cable to one address: dials, and dials again."""

    def __init__(
        self,
        address: tuple[str, int],
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        greet: Callable[[PeerConnection], None],
        take: Callable[[PeerConnection, Any], None],
        lost: Callable[[ReconnectingClient], None] = lambda _: None,
        decoder: MessageDecoder[Any] | None = None,
    ) -> None:
        self.address, self.clock, self.nursery, self.random = address, clock, nursery, random
        self._greet, self._take, self._lost = greet, take, lost
        self._decoder = decoder
        self.connection: PeerConnection | None = None
        self.tried_at = -1e12
        self.closed = False
        self._scope = trio.CancelScope()
        self._hurried = trio.Event()

    @property
    def live(self) -> bool:
        """Tell whether the other side is in reach as far as is known."""
        return self.connection is not None and self.connection.live

    def send(self, *message: object) -> bool:
        """Say something; False where nobody will hear it."""
        connection = self.connection
        if connection is None or connection.link.broken:
            return False
        connection.send(*message)
        return True

    def close(self) -> None:
        """End it for good."""
        self.closed = True
        self._scope.cancel()

    async def run(self) -> None:
        """Keep a cable up until closed."""
        with self._scope:
            while not self.closed:
                sock = await connect(self.address, CONNECT_TIMEOUT_MS)
                self.tried_at = self.clock.now()
                if sock is not None:
                    await self._use(sock)
                with trio.move_on_after(self.random.uniform(*RECONNECT_DELAY_MS) / 1000.0):
                    await self._hurried.wait()
                self._hurried = trio.Event()

    def hurry(self) -> None:
        """Dial at once where no cable is up: the other side has just shown that it is there."""
        if self.connection is None:
            self._hurried.set()

    async def _use(self, sock: socket.socket) -> None:
        connection = self.connection = PeerConnection(Link(sock, self.nursery), self.clock)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, connection)
                self._greet(connection)
                if self._decoder is None:
                    await connection.read(self._take)
                else:
                    await connection.read(self._take, self._decoder)
                nursery.cancel_scope.cancel()
        finally:
            connection.close()
            self.connection = None
            self._lost(self)

    async def _watch(self, connection: PeerConnection) -> None:
        while connection.live:
            await trio.sleep(SILENCE_TIMEOUT_MS / 4000.0)
        connection.close()


async def accept_connections(
    listener: socket.socket,
    clock: Clock,
    nursery: trio.Nursery,
    serve: Callable[[PeerConnection], Awaitable[None]],
) -> None:
    """Accept cables for as long as the process lives."""
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            await trio.lowlevel.wait_readable(listener)
        except OSError:
            await trio.sleep(0.02)
        else:
            nursery.start_soon(serve, PeerConnection(Link(sock, nursery), clock))
