"""Lines of JSON between two programs, each a request or its answer, after a greeting.

A connection begins with a greeting that names the lowest and the highest protocol version that the client
speaks; the answer names the version to use, the highest that both speak, or says why there is none. Unknown
fields are ignored, and missing fields have their defaults, so messages may grow within one version.
"""

from __future__ import annotations

import ssl
from typing import Any, TypeVar

import msgspec
import trio

from wickspring import __version__

MAX_LINE_BYTES = 16 << 20
READ_SIZE = 65536  # bytes

T = TypeVar("T")


class WireError(Exception):
    """An exchange that failed; the message names the peer and the reason."""


class ProtocolVersions(msgspec.Struct, frozen=True):
    """The protocol versions that a kind of program speaks."""

    lowest: int
    highest: int
    program_kind: str  # in words: agent, ingress

    def answer(self, theirs: Greeting) -> Greeting:
        """Answer a greeting with the highest version that both speak, or why there is none."""
        use = min(self.highest, theirs.highest)
        if use >= max(self.lowest, theirs.lowest):
            return Greeting(self.lowest, self.highest, use=use)
        program = f"this {self.program_kind} (program {__version__})"
        ours = f"{program} speaks protocol {self.lowest} to {self.highest}"
        return Greeting(
            error=f"{ours}, the asker (program {theirs.program}) {theirs.lowest} to {theirs.highest}"
        )


class Greeting(msgspec.Struct, frozen=True):
    """The first line of either side."""

    lowest: int = 1
    highest: int = 1
    program: str = __version__
    use: int = 0  # in the answer: the version to use
    error: str = ""


_greeting_decoder = msgspec.json.Decoder(Greeting)


class LineStream:
    """Lines of a stream, limited in length; bytes are counted in both directions."""

    def __init__(self, stream: Any, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.stream = stream
        self.max_line_bytes = max_line_bytes
        self.bytes_sent = 0
        self.bytes_received = 0
        self._unread = b""

    async def read(self) -> bytes:
        """Return the next line.

        Raises:
            WireError: the connection ended, or the line is too long.
        """
        while b"\n" not in self._unread:
            part = await self.stream.receive_some(READ_SIZE)
            if not part:
                raise WireError("the connection ended")
            self.bytes_received += len(part)
            self._unread += part
            if len(self._unread) > self.max_line_bytes:
                raise WireError("a line without end")
        line, _, self._unread = self._unread.partition(b"\n")
        return line

    async def write(self, value: msgspec.Struct) -> None:
        """Send a value as a line."""
        line = msgspec.json.encode(value) + b"\n"
        self.bytes_sent += len(line)
        await self.stream.send_all(line)


async def answer_greeting(lines: LineStream, versions: ProtocolVersions) -> Greeting:
    """Answer the greeting that a connection begins with, and return the answer.

    Raises:
        WireError: the connection ended before a greeting.
        msgspec.DecodeError: the first line is no greeting.
    """
    reply = versions.answer(_greeting_decoder.decode(await lines.read()))
    await lines.write(reply)
    return reply


class LineClient:
    """A connection to a program that answers, one exchange at a time."""

    def __init__(
        self, stream: Any, peer: str, versions: ProtocolVersions, max_line_bytes: int = MAX_LINE_BYTES
    ) -> None:
        self.lines = LineStream(stream, max_line_bytes)
        self.peer = peer  # its name in errors
        self.versions = versions

    async def greet(self) -> None:
        """Agree on a protocol version.

        Raises:
            WireError: there is none that both speak.
        """
        ours = self.versions
        await self.lines.write(Greeting(ours.lowest, ours.highest))
        theirs = _greeting_decoder.decode(await self.lines.read())
        if theirs.error or not ours.lowest <= theirs.use <= ours.highest:
            raise WireError(f"{self.peer}: {theirs.error or f'it speaks protocol {theirs.use}'}")

    async def exchange(self, message: msgspec.Struct, decoder: msgspec.json.Decoder[T]) -> T:
        """Send a message, and return its answer."""
        await self.lines.write(message)
        return decoder.decode(await self.lines.read())

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.lines.stream)


async def connect(
    address: str,
    peer: str,
    versions: ProtocolVersions,
    tls: ssl.SSLContext | None = None,
    server_name: str = "",
    max_line_bytes: int = MAX_LINE_BYTES,
) -> LineClient:
    """Connect to host:port, or to the path of a local socket, and exchange greetings.

    Raises:
        WireError: that failed; the message names `peer` and the reason.
    """
    stream: Any = None
    try:
        stream = await _open(address)
        if tls is not None:
            stream = trio.SSLStream(stream, tls, server_hostname=server_name, https_compatible=True)
            await stream.do_handshake()
        connection = LineClient(stream, peer, versions, max_line_bytes)
        await connection.greet()
    except BaseException as error:
        await _close(stream)
        reason = _failure_reason(error)
        if reason is None:
            raise
        raise WireError(f"{peer}: {reason}") from error
    return connection


async def _open(address: str) -> Any:
    if "/" in address:
        return await trio.open_unix_socket(address)
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def _failure_reason(error: BaseException) -> str | None:
    """Say why a connection failed; None for what is not an error of the connection."""
    cause = error.__cause__ if isinstance(error, trio.BrokenResourceError) else error
    if isinstance(cause, ssl.SSLCertVerificationError):
        return f"its certificate is not accepted: {cause.verify_message}"
    if isinstance(error, trio.BrokenResourceError):
        return f"the connection broke: {cause or error}"
    if isinstance(error, OSError | ssl.SSLError | msgspec.DecodeError):
        return str(error)
    return None


async def _close(stream: Any) -> None:
    if stream is not None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
