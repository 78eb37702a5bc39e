"""Connections between processes of the system: msgpack messages, one after another, over TCP.

A message is an array whose first element is its name (`common.messages`). The side that connects also
reconnects (`common.reconnecting_client`).
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgpack
import trio

from wickspring.common import logs
from wickspring.common.errors import GatewayError
from wickspring.common.messages.base import Message, MessageDecoder, WireMessage
from wickspring.fault_isolation import FaultStep, isolate_faults, run_isolated
from wickspring.net.clock import Clock
from wickspring.net.link import Link

MAX_MESSAGE_BYTES = 4 << 20  # of one message, and of all that waits to be read
MAX_REASON_CHARACTERS = 120  # of a reason in the log
RECEIVE_TIMEOUT_MS = 1300.0  # without a message, after which the other side counts as unreachable
HEARTBEAT_MS = 420.0  # between two heartbeats, several of which fit into the timeout
ACCEPT_RETRY_S = 0.02  # after an error such as running out of descriptors

MessageT = TypeVar("MessageT", bound=Message)

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
        when it is decoded or handled ends the reading, and so does any other fault in handling it.
        """

        def decode(wire_message: WireMessage) -> None:
            message = decoder.decode(wire_message)
            if message is not None:
                on_message(self, message)

        await self.read_wire_messages(decode)

    async def read_wire_messages(self, on_wire_message: Callable[[WireMessage], None]) -> None:
        """Pass each message, not decoded yet, to `on_wire_message` until the connection ends.

        What is not a message, or raises when it is handled, ends the reading; the latter is logged. A fault
        of this program ends this connection alone, whose other side connects again.
        """
        with isolate_faults(FaultStep.PEER_MESSAGE):
            await self._read_all(on_wire_message)

    async def _read_all(self, on_wire_message: Callable[[WireMessage], None]) -> None:
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
            connection = PeerConnection(Link(sock, nursery), clock)
            nursery.start_soon(run_isolated, FaultStep.PEER_MESSAGE, serve, connection)
