"""The wire between agents, and from the command line to agents: one JSON line each way per exchange.

Framing and greeting are those of `wickspring/wire.py`. Who speaks is known by the certificate over TLS, and
by the file's owner on a local socket.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.fleet import owner_messages
from wickspring.fleet.model import InstanceRecord, Kind, Operation
from wickspring.fleet.views import AgentDelta
from wickspring.membership.anti_entropy import Digest
from wickspring.wire import LineStream, ProtocolVersions, WireError, answer_greeting, connect

LOWEST_VERSION, HIGHEST_VERSION = 1, 1
PROTOCOL_VERSIONS = ProtocolVersions(LOWEST_VERSION, HIGHEST_VERSION, "agent")
EXCHANGE_TIMEOUT_S = 5.0
INTERNAL_FAULT = "a fault of the agent, which its log tells"  # in place of an answer


class Gossip(msgspec.Struct, frozen=True, tag="gossip"):
    """A round of gossip begins."""

    digest: Digest


class Push(msgspec.Struct, frozen=True, tag="push", rename={"delta": "news"}):
    """Entries that the other agent has requested."""

    delta: AgentDelta


class OwnerRequest(msgspec.Struct, frozen=True, tag="home"):
    """A coordinator's request to the owner of instances, or to a permit issuer."""

    request: owner_messages.Request


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """An operator's operation; the agent that receives it becomes its coordinator."""

    kind: Kind
    instances: tuple[str, ...]
    build: str = ""
    batch: int = 1
    below_floor: bool = False
    by: str = ""  # taken from a local socket alone
    id: str = ""  # chosen by the client, so that a repeated request does not begin a second operation


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancel an operation: it begins nothing more."""

    id: str
    by: str = ""


class Show(msgspec.Struct, frozen=True, tag="show"):
    """Ask for the fleet as this agent sees it."""

    history: int = 0  # lines of this agent's history


Message = Gossip | Push | OwnerRequest | Submit | Cancel | Show


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


class Answer(msgspec.Struct, frozen=True, rename={"delta": "news"}):
    """The answer to any message; what does not apply is left out."""

    error: str = ""
    delta: AgentDelta | None = None
    reply: owner_messages.Reply | None = None
    operation: Operation | None = None
    agents: tuple[AgentView, ...] = ()
    records: tuple[InstanceRecord, ...] = ()
    operations: tuple[Operation, ...] = ()
    history: tuple[HistoryLine, ...] = ()
    quorum: bool = True


class Peer(msgspec.Struct, frozen=True):
    """The other end of a connection: an agent or an operator by name, and its role."""

    name: str
    agent: bool = False
    role: str = "read"  # read or operate


_message_decoder = msgspec.json.Decoder(Message)
_answer_decoder = msgspec.json.Decoder(Answer)
Handler = Callable[[Peer, Message], Awaitable[Answer]]


async def serve(stream: Any, peer: Peer, handle: Handler) -> None:
    """Answer the exchanges of one connection, until it ends."""
    lines = LineStream(stream)
    try:
        reply = await answer_greeting(lines, PROTOCOL_VERSIONS)
        while not reply.error:
            try:
                message = _message_decoder.decode(await lines.read())
            except msgspec.DecodeError as error:
                await lines.write(Answer(error=f"cannot be read: {error}"))
                continue
            await lines.write(await _answer(peer, message, handle))
    except (WireError, msgspec.DecodeError, trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError):
        return  # the client has left, or speaks another protocol


async def _answer(peer: Peer, message: Message, handle: Handler) -> Answer:
    """Have a message answered; a fault of the agent in that is an answer as well."""
    with isolate_faults(FaultStep.AGENT_MESSAGE):
        return await handle(peer, message)
    return Answer(error=INTERNAL_FAULT)


async def exchange(
    address: str,
    peer: str,
    message: Message,
    tls: ssl.SSLContext | None = None,
    server_name: str = "",
    timeout_s: float = EXCHANGE_TIMEOUT_S,
) -> Answer:
    """Send one message to an agent, and return its answer.

    Raises:
        WireError: the agent could not be reached, or did not answer in time.
    """
    try:
        with trio.fail_after(timeout_s):
            connection = await connect(address, peer, PROTOCOL_VERSIONS, tls, server_name)
            try:
                return await connection.exchange(message, _answer_decoder)
            finally:
                await connection.close()
    except trio.TooSlowError as error:
        raise WireError(f"{peer}: no answer within {timeout_s:g} s") from error
    except (trio.BrokenResourceError, msgspec.DecodeError, ssl.SSLError) as error:
        raise WireError(f"{peer}: {error.__cause__ or error}") from error
