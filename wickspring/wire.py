"""Lines of JSON between two programs, each a question or its answer, after a greeting.

A connection begins with a greeting that says which protocol numbers its speaker knows, the lowest and the
highest; the answer names the one to be spoken, the highest that both know, or says why there is none. Fields
that a speaker does not know are passed over, and fields that are left out have their defaults, so within one
number messages may grow.
"""

from __future__ import annotations

import ssl
from typing import Any, TypeVar

import msgspec
import trio

from wickspring import __version__

MOST_LINE = 16 << 20  # bytes

T = TypeVar("T")


class WireError(Exception):
    """An exchange that did not come about; the message says who and why."""


class Numbers(msgspec.Struct, frozen=True):
    """The protocol numbers that a kind of program speaks."""

    lowest: int
    highest: int
    who: str  # this kind of program, in words: an agent

    def agree(self, theirs: Greeting) -> Greeting:
        """Answer a greeting: the highest number that both speak, or why there is none."""
        use = min(self.highest, theirs.highest)
        if use >= max(self.lowest, theirs.lowest):
            return Greeting(self.lowest, self.highest, use=use)
        return Greeting(
            error=f"this {self.who} (program {__version__}) speaks protocol {self.lowest} to {self.highest}, "
            f"the asker (program {theirs.program}) {theirs.lowest} to {theirs.highest}"
        )


class Greeting(msgspec.Struct, frozen=True):
    """The first line of either side."""

    lowest: int = 1
    highest: int = 1
    program: str = __version__
    use: int = 0  # in the answer: the number to be spoken
    error: str = ""


greeting = msgspec.json.Decoder(Greeting)


class Lines:
    """Lines of a stream, none longer than so many bytes; what goes either way is counted."""

    def __init__(self, stream: Any, most: int = MOST_LINE) -> None:
        self.stream, self.most, self._rest = stream, most, b""
        self.given = self.taken = 0

    async def read(self) -> bytes:
        """Return the next line; `WireError` at the end, or where it is too long."""
        while b"\n" not in self._rest:
            part = await self.stream.receive_some(65536)
            if not part:
                raise WireError("the connection ended")
            self.taken += len(part)
            self._rest += part
            if len(self._rest) > self.most:
                raise WireError("a line without end")
        line, _, self._rest = self._rest.partition(b"\n")
        return line

    async def write(self, value: msgspec.Struct) -> None:
        """Send a value as a line."""
        line = msgspec.json.encode(value) + b"\n"
        self.given += len(line)
        await self.stream.send_all(line)


async def welcome(lines: Lines, numbers: Numbers) -> Greeting:
    """Answer the greeting that a connection begins with, and return the answer."""
    reply = numbers.agree(greeting.decode(await lines.read()))
    await lines.write(reply)
    return reply


class Link:
    """A connection to somebody who answers, exchange by exchange."""

    def __init__(self, stream: Any, what: str, numbers: Numbers, most: int = MOST_LINE) -> None:
        self.lines, self.what, self.numbers = Lines(stream, most), what, numbers

    async def greet(self) -> None:
        """Agree on a protocol number."""
        ours = self.numbers
        await self.lines.write(Greeting(ours.lowest, ours.highest))
        theirs = greeting.decode(await self.lines.read())
        if theirs.error or not ours.lowest <= theirs.use <= ours.highest:
            raise WireError(f"{self.what}: {theirs.error or f'it speaks protocol {theirs.use}'}")

    async def ask(self, message: msgspec.Struct, answers: msgspec.json.Decoder[T]) -> T:
        """Exchange one message for its answer."""
        await self.lines.write(message)
        return answers.decode(await self.lines.read())

    async def close(self) -> None:
        """End it."""
        await trio.aclose_forcefully(self.lines.stream)


async def connect(
    address: str,
    what: str,
    numbers: Numbers,
    tls: ssl.SSLContext | None = None,
    server_name: str = "",
    most: int = MOST_LINE,
) -> Link:
    """Connect to host:port, or to the path of a local socket, and exchange greetings.

    Raises:
        WireError: that failed; the message names `what` and the reason.
    """
    stream: Any = None
    try:
        stream = await _open(address)
        if tls is not None:
            stream = trio.SSLStream(stream, tls, server_hostname=server_name, https_compatible=True)
            await stream.do_handshake()
        connection = Link(stream, what, numbers, most)
        await connection.greet()
    except BaseException as error:
        await _drop(stream)
        reason = _failure_reason(error)
        if reason is None:
            raise
        raise WireError(f"{what}: {reason}") from error
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


async def _drop(stream: Any) -> None:
    if stream is not None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
