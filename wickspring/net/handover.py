"""The hand-over between an ingress's serving process and its successor, on a Unix socket in $TMPDIR.

The serving process listens there. Its successor connects and gets the listening sockets; when it can serve,
it says so, is told the state, and accepts alone from then on. Clients' connections follow one by one, each as
soon as no request is under way on it. Whatever fails on the way ends in plain serving on both sides: the old
process accepts again where its successor is gone before SIGTERM, the new one starts as if it were the first.
"""

from __future__ import annotations

import array
import logging
import os
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from wickspring.core import succession
from wickspring.interface import ServerId
from wickspring.logs import kv

log = logging.getLogger(__name__)

ANSWER_S = 0.5  # for the serving process to answer; a hung one is passed over
STATE_S = 1.0  # for the state to come whole
MAX_MESSAGE_BYTES = 192 * 1024  # the kernel takes messages up to its send buffer, some 200 kB
MAX_PATH_BYTES = 100  # bytes of a Unix socket's name, of the 108 that the kernel takes
RELEASE_POLL_S = 0.005  # between looks for client connections that can go
MAX_DESCRIPTORS = 4  # with one message
ANCILLARY_BYTES = socket.CMSG_SPACE(array.array("i").itemsize * MAX_DESCRIPTORS)

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(succession.Message)


class HandoverError(Exception):
    """The other process said what cannot be understood, or left."""


def place(folder: str, name: str, port: int) -> Path | None:
    """Return where the processes of one ingress meet; None where no such socket can be."""
    if not folder:
        return None
    word = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)
    path = Path(folder) / f"wickspring-{word}-{port}.sock"
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class Channel:
    """A connected socket that keeps messages apart; descriptors travel with them."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._sending = trio.Lock()
        self.closed = False

    def same_user(self) -> bool:
        """Tell whether the peer runs under this process's user: $TMPDIR may be anybody's."""
        credentials = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        return bool(struct.unpack("3i", credentials)[1] == os.getuid())

    async def send(self, message: succession.Message, *descriptors: int) -> None:
        """Send one message, with descriptors; raises `HandoverError` where the peer is gone."""
        data = _encode(message)
        extra = []
        if descriptors:
            extra = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        async with self._sending:
            while True:
                try:
                    self._sock.sendmsg([data], extra)
                    return
                except BlockingIOError:
                    try:
                        await trio.lowlevel.wait_writable(self._sock)
                    except (trio.ClosedResourceError, OSError) as error:
                        raise HandoverError(str(error)) from error
                except OSError as error:
                    raise HandoverError(str(error)) from error

    async def receive(self) -> tuple[succession.Message, list[socket.socket]] | None:
        """Return the next message and what came with it; None at the end."""
        while True:
            try:
                data, extra, _, _ = self._sock.recvmsg(MAX_MESSAGE_BYTES, ANCILLARY_BYTES)
                break
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self._sock)
                except (trio.ClosedResourceError, OSError):
                    return None
            except OSError:
                return None
        numbers = array.array("i")
        for level, kind, part in extra:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                numbers.frombytes(part[: len(part) - len(part) % numbers.itemsize])
        socks = [socket.socket(fileno=number) for number in numbers]
        if not data:
            return None
        try:
            return _decoder.decode(data), socks
        except msgspec.DecodeError as error:
            for sock in socks:
                sock.close()
            raise HandoverError(str(error)) from error

    def close(self) -> None:
        """End it; a task that waits on it is woken."""
        if not self.closed:
            self.closed = True
            with suppress(OSError):
                trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class RestartedProcess(Protocol):
    """What either process lets the other do."""

    def welcome(self) -> tuple[succession.Welcome, list[int]]:
        """Return the first answer to a successor, and the descriptors of the listening sockets."""

    def pause(self, paused: bool) -> None:
        """Accept nothing from now on, or again."""

    def export_state(self) -> list[succession.State]:
        """Return the state in parts."""

    def releases_clients(self) -> bool:
        """Tell whether client connections are to go: from SIGTERM on."""

    def release_client(self) -> tuple[socket.socket, bytes] | None:
        """Take a client connection with no request under way out of this process."""

    def adopt_client(self, sock: socket.socket, ahead: bytes) -> None:
        """Serve a client connection."""

    def import_state(self, state: succession.State) -> None:
        """Take a part of the state in."""

    def apply_maintenance(self, server: ServerId, included_at: float | None) -> None:
        """Apply a server's removal or return, made at the other process's admin API."""

    def on_peer_descriptors(self, descriptors: int) -> None:
        """Note how many descriptors the other process holds."""

    def open_descriptors(self) -> int:
        """Return how many descriptors this process holds."""


class Predecessor:
    """The serving process's side: one successor at a time."""

    def __init__(self, path: Path, ingress: RestartedProcess) -> None:
        self.path, self.ingress = path, ingress
        self.channel: Channel | None = None
        self.succeeded = False  # a successor accepts in this process's stead
        self.left = False  # it has left again

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen for successors; without a place to listen at, do nothing."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            fresh = self.path.with_suffix(f".{os.getpid()}")
            with suppress(OSError):
                fresh.unlink()
            sock.bind(str(fresh))
            sock.listen(4)
            fresh.replace(self.path)  # in the place of the process before, at one stroke
        except OSError as error:
            log.warning("no_handover", extra=kv(reason=error))
            sock.close()
            task_status.started()
            return
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    try:
                        peer, _ = sock.accept()
                    except BlockingIOError:
                        await trio.lowlevel.wait_readable(sock)
                    except OSError as error:
                        log.warning("handover_accept_failed", extra=kv(reason=error))
                        await trio.sleep(0.1)
                    else:
                        nursery.start_soon(self._serve, Channel(peer))
        finally:
            sock.close()

    async def _serve(self, channel: Channel) -> None:
        if self.channel is not None or not channel.same_user():
            log.warning("successor_refused", extra=kv(reason="another is at it or of another user"))
            channel.close()
            return
        self.channel = channel
        try:
            async with trio.open_nursery() as nursery:
                await self._talk(channel, nursery)
                nursery.cancel_scope.cancel()
        except* HandoverError as errors:
            log.warning("successor_lost", extra=kv(reason=errors.exceptions[0]))
        finally:
            channel.close()
            self.channel = None
            if self.succeeded:
                log.warning("successor_left", extra=kv(then="this process keeps its clients"))
                self.succeeded = False
                self.ingress.pause(False)

    async def _talk(self, channel: Channel, nursery: trio.Nursery) -> None:
        while (got := await channel.receive()) is not None:
            message, socks = got
            for sock in socks:  # none is expected this way
                sock.close()
            if isinstance(message, succession.Hello):
                welcome, descriptors = self.ingress.welcome()
                await channel.send(welcome, *descriptors)
                if message.version != succession.VERSION:
                    raise HandoverError(f"it speaks version {message.version}, not {succession.VERSION}")
            elif isinstance(message, succession.Serving) and not self.succeeded:
                self.ingress.pause(True)
                self.succeeded = True
                for part in self.ingress.export_state():
                    await channel.send(part)
                nursery.start_soon(self._give, channel)
                log.info("succeeded")
            elif isinstance(message, succession.MaintenanceChanged):
                self.ingress.apply_maintenance(message.server, message.included_at)

    async def _give(self, channel: Channel) -> None:
        """Hand client connections over, as they fall idle, to the end of this process."""
        held = -1
        while True:
            if held != (held := self.ingress.open_descriptors()):
                await channel.send(succession.DescriptorsHeld(held))
            while self.ingress.releases_clients() and (taken := self.ingress.release_client()) is not None:
                sock, ahead = taken
                try:
                    await channel.send(succession.ClientConnection(ahead), sock.fileno())
                except HandoverError:
                    self.ingress.adopt_client(sock, ahead)
                    raise
                except BaseException:
                    sock.close()
                    raise
                sock.close()
            await trio.sleep(RELEASE_POLL_S)

    async def announce_maintenance(self, server: ServerId, included_at: float | None) -> None:
        """Tell a successor of a server taken out or put back here."""
        if self.channel is not None:
            with suppress(HandoverError):
                await self.channel.send(succession.MaintenanceChanged(server, included_at))


class Successor:
    """The new process's side, from its first word to the old process's end."""

    def __init__(self, path: Path, ingress: RestartedProcess) -> None:
        self.path, self.ingress = path, ingress
        self.channel: Channel | None = None
        self.welcome: succession.Welcome | None = None
        self.listeners: list[socket.socket] = []
        self._whole = trio.Event()

    async def begin(self) -> bool:
        """Ask whoever serves for its listening sockets; False where there is nobody to follow."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(str(self.path))
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("no_predecessor", extra=kv(reason=error))
            return False
        channel = Channel(sock)
        reason = "it does not answer"
        try:
            if channel.same_user():
                with trio.move_on_after(ANSWER_S):
                    await channel.send(succession.Hello(succession.VERSION))
                    got = await channel.receive()
                    if got is not None:
                        message, self.listeners = got
                        reason = f"it speaks another version: {message!r:.100}"
                        if isinstance(message, succession.Welcome) and message.version == succession.VERSION:
                            self.welcome = message
            else:
                reason = "it is another user's"
        except HandoverError as error:
            reason = str(error)
        if self.welcome is None or not self.listeners:
            log.warning("predecessor_unusable", extra=kv(reason=reason))
            channel.close()
            for one in self.listeners:
                one.close()
            self.listeners = []
            return False
        for listener in self.listeners:
            listener.setblocking(False)
        self.channel = channel
        return True

    async def take(self, nursery: trio.Nursery) -> None:
        """Say that this process can serve, and wait for the state; what comes later is taken by a task."""
        if self.channel is None:
            return
        try:
            await self.channel.send(succession.Serving())
        except HandoverError as error:
            log.warning("predecessor_lost", extra=kv(reason=error))
            return
        nursery.start_soon(self._listen, self.channel)
        with trio.move_on_after(STATE_S) as scope:
            await self._whole.wait()
        if scope.cancelled_caught:
            log.warning("predecessor_slow", extra=kv(then="this process serves with what it was told"))

    async def _listen(self, channel: Channel) -> None:
        try:
            while (got := await channel.receive()) is not None:
                message, socks = got
                if isinstance(message, succession.ClientConnection) and socks:
                    self.ingress.adopt_client(socks.pop(0), message.ahead)
                elif isinstance(message, succession.State):
                    self.ingress.import_state(message)
                    if message.last:
                        self._whole.set()
                elif isinstance(message, succession.MaintenanceChanged):
                    self.ingress.apply_maintenance(message.server, message.included_at)
                elif isinstance(message, succession.DescriptorsHeld):
                    self.ingress.on_peer_descriptors(message.descriptors)
                for sock in socks:
                    sock.close()
        except HandoverError as error:
            log.warning("predecessor_lost", extra=kv(reason=error))
        finally:
            self.channel = None
            channel.close()
            self._whole.set()
            self.ingress.on_peer_descriptors(0)
            log.info("predecessor_ended")

    async def announce_maintenance(self, server: ServerId, included_at: float | None) -> None:
        """Tell the old process of a server taken out or put back here."""
        if self.channel is not None:
            with suppress(HandoverError):
                await self.channel.send(succession.MaintenanceChanged(server, included_at))
