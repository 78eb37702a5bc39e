"""One TCP connection that writes at once and reads in the task that owns it.

Answers and requests are small, so the kernel nearly always takes them whole: `send` writes without
waiting, and what does not fit is written by a task of its own. This spares a task for each request. The
owner is left free to keep reading, which is how a peer's close is noticed while an answer is owed.
"""

from __future__ import annotations

import errno
import socket
import struct
from contextlib import suppress
from enum import StrEnum

import trio

from wickspring.net.tcp_info import unread_ms

READ_SIZE = 65536
MOST_UNSENT = 1 << 20  # bytes; a peer that lets more pile up has stopped reading


class Link:
    """A connected, non-blocking socket."""

    __slots__ = (
        "_closing",
        "_drained",
        "_nursery",
        "_shut",
        "_sock",
        "_unsent",
        "broken",
        "bytes_queued",
        "bytes_sent",
        "has_answered",
    )

    def __init__(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        sock.setblocking(False)
        with suppress(OSError):  # the peer may have gone already; that shows with the first read
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._nursery = sock, nursery
        self._unsent = bytearray()
        self._drained: trio.Event | None = None  # of who waits until all is written
        self._shut = False
        self._closing = False
        self.bytes_queued = self.bytes_sent = 0  # handed to `send`, and those of them that the kernel took
        self.has_answered = False  # a request, before the task that serves the connection began
        self.broken = False  # the peer is gone or this side has closed

    @property
    def flushed(self) -> bool:
        """True once the kernel has taken every byte that was sent, whatever became of the connection since.

        A reset that comes after the last byte is no proof that nothing ran.
        """
        return self.bytes_sent == self.bytes_queued

    def send(self, data: bytes) -> None:
        """Write now what the kernel takes and the rest as it can; errors show in `broken`."""
        self.bytes_queued += len(data)
        if self.broken or self._shut or not data:
            return
        if self._unsent:
            self._unsent += data
            if len(self._unsent) > MOST_UNSENT:
                self.close()
            return
        try:
            taken = self._sock.send(data)
        except BlockingIOError:
            taken = 0
        except OSError:
            self.broken = True
            return
        self.bytes_sent += taken
        if taken < len(data):
            self._unsent += data[taken:]
            self._nursery.start_soon(self._flush)

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return self._closing

    async def wait_writable(self) -> bool:
        """Wait until the kernel has taken all that was sent; False where that will not be any more."""
        while self._unsent and not self.broken:
            if self._drained is None:
                self._drained = trio.Event()
            await self._drained.wait()
        return not self.broken

    def _wake(self) -> None:
        drained, self._drained = self._drained, None
        if drained is not None:
            drained.set()

    async def _flush(self) -> None:
        try:
            while self._unsent and not self._closing:
                await trio.lowlevel.wait_writable(self._sock)
                taken = self._sock.send(self._unsent)
                self.bytes_sent += taken
                del self._unsent[:taken]
        except BlockingIOError:
            self._nursery.start_soon(self._flush)
        except (OSError, trio.ClosedResourceError):
            self.broken = True
            self._wake()
        else:
            self._wake()
            if self._shut:
                self._shutdown()

    async def receive(self) -> bytes | None:
        """Return what has come; b"" at the peer's end, None where the connection broke or was closed here."""
        while True:
            try:
                if self._closing:
                    return None
                return self._sock.recv(READ_SIZE)
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self._sock)
                except trio.ClosedResourceError:
                    return None
            except OSError:
                self.broken = True
                return None

    def peek(self) -> bytes | None:
        """Return a byte that has come and is not read yet, b"" at the peer's end, None if nothing has."""
        if self.broken:
            return b""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def peek_all(self) -> bytes:
        """Return what has come and is not read yet, as far as one read gives it; b"" if nothing has."""
        try:
            return self._sock.recv(READ_SIZE, socket.MSG_PEEK)
        except OSError:
            return b""

    def skip(self, size: int) -> None:
        """Drop so many bytes that `peek_all` has given."""
        with suppress(OSError):
            self._sock.recv(size)

    def unread_ms(self) -> float:
        """Return how long ago (ms) the latest bytes arrived in the kernel; 0 where it does not say.

        Just after a read that is how long what was read had lain there, as far as it came in one piece.
        """
        return unread_ms(self._sock)

    def finish(self) -> None:
        """Say that nothing more will be written; reading goes on, so that no reset hurts the answer."""
        if not self._shut:
            self._shut = True
            if not self._unsent:
                self._shutdown()

    def _shutdown(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.broken = True

    def detach(self) -> socket.socket | None:
        """Give the socket away, unread bytes and all; None where it is broken or has bytes yet to write."""
        if self.broken or self._closing or self._shut or self._unsent:
            return None
        self.broken = self._closing = True
        trio.lowlevel.notify_closing(self._sock)  # the reader ends here as after a close
        return self._sock

    def abort(self) -> None:
        """Close with a reset: what was written must not pass for whole."""
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        """Close at once and wake the reader."""
        self.broken = True
        self._wake()
        if not self._closing:
            self._closing = True
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class DialFailure(StrEnum):
    """Why a dial did not come up. The values are part of the names of counters in logs and metrics."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    NO_RESOURCES = "no_resources"  # this process has no descriptor or port left: the peer was not asked
    OTHER = "other"


# What says of this machine, and nothing of the peer: descriptors, memory or ports are used up.
LOCAL_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)


class DialError(Exception):
    """A dial that did not come up."""

    def __init__(self, failure: DialFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


def _dial_failure(error: OSError | trio.TooSlowError) -> DialFailure:
    if isinstance(error, trio.TooSlowError):
        return DialFailure.TIMED_OUT
    if error.errno in LOCAL_ERRNOS:
        return DialFailure.NO_RESOURCES
    return DialFailure.REFUSED if error.errno == errno.ECONNREFUSED else DialFailure.OTHER


async def connect(address: tuple[str, int], timeout_ms: float) -> socket.socket | None:
    """Dial within a time-out of its own; None where the connection does not come up."""
    try:
        return await dial(address, timeout_ms)
    except DialError:
        return None


async def dial(address: tuple[str, int], timeout_ms: float) -> socket.socket:
    """Dial within a time-out of its own.

    Raises:
        DialError: the connection did not come up.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise DialError(_dial_failure(error)) from error
    sock.setblocking(False)
    try:
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, "connect")
        if code:
            with trio.fail_after(timeout_ms / 1000.0):
                await trio.lowlevel.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connect")
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        raise DialError(_dial_failure(error)) from error
    except BaseException:
        sock.close()
        raise
    return sock
