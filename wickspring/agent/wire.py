"""The wire between agents, and from the command line to agents: one JSON line each way per exchange.

A connection begins with a greeting that says which protocol numbers its speaker knows, the lowest and the
highest; the answer names the one to be spoken, the highest that both know, or says why there is none. Fields
that a speaker does not know are passed over, and fields that are left out have their defaults, so within one
number messages may grow. Who speaks is known by the certificate over TLS, and by the file's owner on a local
socket.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from wickspring import __version__
from wickspring.fleet import home
from wickspring.fleet.model import Kind, Operation, Record
from wickspring.fleet.views import Digest, News

LOWEST, HIGHEST = 1, 1
MOST_LINE = 16 << 20  # bytes
WITHIN_S = 5.0  # for one exchange


class WireError(Exception):
    """An exchange that did not come about; the message says who and why."""


class Greeting(msgspec.Struct, frozen=True):
    """The first line of either side."""

    lowest: int = LOWEST
    highest: int = HIGHEST
    program: str = __version__
    use: int = 0  # in the answer: the number to be spoken
    error: str = ""


class Gossip(msgspec.Struct, frozen=True, tag="gossip"):
    """A round of gossip begins."""

    digest: Digest


class Push(msgspec.Struct, frozen=True, tag="push"):
    """Entries that the other wanted."""

    news: News


class Home(msgspec.Struct, frozen=True, tag="home"):
    """A coordinator's request to a home agent or warden."""

    request: home.Request


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """An operator's operation; the agent asked becomes its coordinator."""

    kind: Kind
    instances: tuple[str, ...]
    build: str = ""
    batch: int = 1
    below_floor: bool = False
    by: str = ""  # taken from a local socket alone
    id: str = ""  # chosen by who asks, so that asking again does not begin a second one


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Have an operation begin nothing more."""

    id: str
    by: str = ""


class Show(msgspec.Struct, frozen=True, tag="show"):
    """Ask for the fleet as this agent sees it."""

    history: int = 0  # lines of this agent's history


Message = Gossip | Push | Home | Submit | Cancel | Show


class AgentView(msgspec.Struct, frozen=True):
    """One agent, as another sees it."""

    name: str
    hall: str
    health: str
    program: str = ""
    beat: int = 0


class HistoryLine(msgspec.Struct, frozen=True):
    """One line of an agent's history."""

    at: float
    text: str


class Answer(msgspec.Struct, frozen=True):
    """The answer to any message; what does not apply is left out."""

    error: str = ""
    news: News | None = None
    reply: home.Reply | None = None
    operation: Operation | None = None
    agents: tuple[AgentView, ...] = ()
    records: tuple[Record, ...] = ()
    operations: tuple[Operation, ...] = ()
    history: tuple[HistoryLine, ...] = ()
    quorum: bool = True


class Peer(msgspec.Struct, frozen=True):
    """Who speaks: an agent or an operator by name, and the role."""

    name: str
    agent: bool = False
    role: str = "read"  # read or operate


_greeting = msgspec.json.Decoder(Greeting)
_message = msgspec.json.Decoder(Message)
_answer = msgspec.json.Decoder(Answer)
Handler = Callable[[Peer, Message], Awaitable[Answer]]


class Lines:
    """Lines of a stream."""

    def __init__(self, stream: Any) -> None:
        self.stream, self._rest = stream, b""

    async def read(self) -> bytes:
        """Return the next line; `WireError` at the end, or where it is too long."""
        while b"\n" not in self._rest:
            part = await self.stream.receive_some(65536)
            if not part:
                raise WireError("the connection ended")
            self._rest += part
            if len(self._rest) > MOST_LINE:
                raise WireError("a line without end")
        line, _, self._rest = self._rest.partition(b"\n")
        return line

    async def write(self, value: msgspec.Struct) -> None:
        """Send a value as a line."""
        await self.stream.send_all(msgspec.json.encode(value) + b"\n")


def agree(theirs: Greeting) -> Greeting:
    """Answer a greeting: the highest number that both speak, or why there is none."""
    use = min(HIGHEST, theirs.highest)
    if use >= max(LOWEST, theirs.lowest):
        return Greeting(use=use)
    return Greeting(
        error=f"this agent (program {__version__}) speaks protocol {LOWEST} to {HIGHEST}, "
        f"the asker (program {theirs.program}) {theirs.lowest} to {theirs.highest}"
    )


async def serve(stream: Any, peer: Peer, handle: Handler) -> None:
    """Answer the exchanges of one connection, until it ends."""
    lines = Lines(stream)
    try:
        reply = agree(_greeting.decode(await lines.read()))
        await lines.write(reply)
        while not reply.error:
            try:
                message = _message.decode(await lines.read())
            except msgspec.DecodeError as error:
                await lines.write(Answer(error=f"cannot be read: {error}"))
                continue
            await lines.write(await handle(peer, message))
    except (WireError, msgspec.DecodeError, trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError):
        return  # who asked has left, or speaks something else


class Connection:
    """A connection to an agent."""

    def __init__(self, stream: Any, what: str) -> None:
        self.lines, self.what = Lines(stream), what

    async def greet(self) -> None:
        """Agree on a protocol number."""
        await self.lines.write(Greeting())
        theirs = _greeting.decode(await self.lines.read())
        if theirs.error or not LOWEST <= theirs.use <= HIGHEST:
            raise WireError(f"{self.what}: {theirs.error or f'it speaks protocol {theirs.use}'}")

    async def ask(self, message: Message) -> Answer:
        """Exchange one message for its answer."""
        await self.lines.write(message)
        return _answer.decode(await self.lines.read())

    async def close(self) -> None:
        """End it."""
        await trio.aclose_forcefully(self.lines.stream)


async def connect(
    address: str, what: str, tls: ssl.SSLContext | None = None, server_name: str = ""
) -> Connection:
    """Reach an agent at host:port, or at a local socket's path; `WireError` says why not."""
    stream: Any = None
    try:
        if "/" in address:
            stream = await trio.open_unix_socket(address)
        else:
            host, _, port = address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
        if tls is not None:
            stream = trio.SSLStream(stream, tls, server_hostname=server_name, https_compatible=True)
            await stream.do_handshake()
        connection = Connection(stream, what)
        await connection.greet()
        return connection
    except ssl.SSLCertVerificationError as error:
        await _drop(stream)
        raise WireError(f"{what}: its certificate is not accepted: {error.verify_message}") from error
    except trio.BrokenResourceError as error:
        await _drop(stream)
        cause = error.__cause__
        if isinstance(cause, ssl.SSLCertVerificationError):
            raise WireError(f"{what}: its certificate is not accepted: {cause.verify_message}") from error
        raise WireError(f"{what}: the connection broke: {cause or error}") from error
    except (OSError, ssl.SSLError, msgspec.DecodeError) as error:
        await _drop(stream)
        raise WireError(f"{what}: {error}") from error
    except BaseException:
        await _drop(stream)
        raise


async def _drop(stream: Any) -> None:
    if stream is not None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)


async def exchange(
    address: str, what: str, message: Message, tls: ssl.SSLContext | None = None, server_name: str = "",
    within_s: float = WITHIN_S,
) -> Answer:  # fmt: skip
    """Ask one thing of an agent."""
    try:
        with trio.fail_after(within_s):
            connection = await connect(address, what, tls, server_name)
            try:
                return await connection.ask(message)
            finally:
                await connection.close()
    except trio.TooSlowError as error:
        raise WireError(f"{what}: no answer within {within_s:g} s") from error
    except (trio.BrokenResourceError, msgspec.DecodeError, ssl.SSLError) as error:
        raise WireError(f"{what}: {error.__cause__ or error}") from error
