"""How an emulated ticket server ends its connections: idle, as requests come, or after answers."""

from __future__ import annotations

import math
import socket
from random import Random

import trio

from wickspring.lab.emulation.sockets import peek
from wickspring.lab.emulation.ticket_connections import ServerConnection, reset
from wickspring.lab.experiments.scenario import Closing
from wickspring.lab.reports.record import Record, ServerEvent
from wickspring.lab.simulation.clock import RunClock

LINGER_S = 0.15  # for which a closing connection is watched for what is still written to it
RECEIVE_BYTES = 65536


class ConnectionClosing:
    """The closing behaviour of one server, as the scenario's `closing` sets it."""

    def __init__(
        self,
        server: str,
        closing: Closing,
        idle_close_ms: float,
        random: Random,
        record: Record,
        clock: RunClock,
    ) -> None:
        self._server = server
        self._closing = closing
        self._idle_close_ms = idle_close_ms
        self._random = random
        self._record = record
        self._clock = clock

    def draw_max_idle_ms(self, connection: ServerConnection) -> float:
        """Return for how long a connection may be idle before it is closed."""
        if connection.uses and self._closing.mode == "fixed":
            return self._closing.within_ms
        if connection.uses and self._closing.mode == "random":
            return self._random.expovariate(1.0 / self._closing.within_ms)
        return self._idle_close_ms

    async def receive(self, connection: ServerConnection, max_idle_ms: float) -> bytes | None:
        """Receive bytes: empty at the peer's end, None if the connection was idle for too long.

        Raises ConnectionResetError where the connection is closed just as a request comes. Does not return
        where a middlebox has dropped the connection.
        """
        if max_idle_ms == math.inf:
            return await connection.sock.recv(RECEIVE_BYTES)
        idle_since = self._clock.now()
        with trio.move_on_after(max_idle_ms / 1000.0):
            data = await connection.sock.recv(RECEIVE_BYTES)
            if data and (connection.black_holed or self._is_dropped(connection, idle_since)):
                connection.black_holed = True
                self._record_dead_write()
                await trio.sleep_forever()
            closes_at_write = self._closing.mode == "at-write" and connection.uses > 0
            if data and closes_at_write and self._random.random() < self._closing.share:
                # The close crosses the request: it was sent before a byte of the request was read.
                self._record_dead_write()
                reset(connection.sock)
                raise ConnectionResetError
            return data
        return None

    def _is_dropped(self, connection: ServerConnection, idle_since: float) -> bool:
        """Tell whether a middlebox has dropped a connection because it was idle."""
        if self._closing.mode != "silent" or connection.uses == 0:
            return False
        return self._clock.now() - idle_since >= self._closing.within_ms

    async def close_idle(self, connection: ServerConnection) -> None:
        """Close a connection, and see whether a request is still written to it."""
        connection.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_S):
            if await connection.sock.recv(RECEIVE_BYTES):
                self._record_dead_write()
                reset(connection.sock)

    async def keeps_open(self, connection: ServerConnection) -> bool:
        """Tell after an answer whether the connection is kept open; if not, it is about to close."""
        if self._closing.mode != "race" or self._random.random() >= self._closing.share:
            return True
        await trio.sleep(self._random.uniform(0.0, self._closing.within_ms) / 1000.0)
        if peek(connection.sock):  # a request has been written to a connection about to close
            self._record_dead_write()
            reset(connection.sock)
        return False

    def _record_dead_write(self) -> None:
        self._record.dead_writes.append(ServerEvent(self._clock.now(), self._server))
