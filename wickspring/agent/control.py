"""Commands to a running agent: one JSON line each way on a socket that only its owner may open."""

from __future__ import annotations

import os
import socket
import stat
from contextlib import suppress
from enum import StrEnum
from functools import partial
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from wickspring.agent.supervisor import Report
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.tenants import Tenants

MAX_LINE_BYTES = 64 << 20
READ_SIZE = 65536  # bytes
ANSWER_TIMEOUT_S = 600.0  # a rolling restart of many instances takes its time
BACKLOG = 16
INTERNAL_FAULT = "a fault of the agent, which its log tells"  # in place of a result
OWNER_ONLY_UMASK = 0o177


class Action(StrEnum):
    """What a command does."""

    STATUS = "status"
    TENANTS = "tenants"
    DRAIN = "drain"
    START = "start"
    RELOAD = "reload"
    RESTART = "restart"


class Command(msgspec.Struct, frozen=True, rename={"action": "do"}):
    """A command to the agent."""

    action: str  # the value of an `Action`; others are answered with an error
    names: tuple[str, ...] = ()  # instances; none means all


class Result(msgspec.Struct, frozen=True):
    """What the agent answers; `error` is empty where it went well."""

    error: str = ""
    instances: tuple[Report, ...] = ()
    tenants: Tenants | None = None
    directory_error: str = ""


class Handler(Protocol):
    """Carries out a command."""

    async def __call__(self, command: Command) -> Result:
        """Return the result."""


class ControlError(Exception):
    """The agent cannot be reached, or cannot listen."""


async def read_line(stream: trio.SocketStream) -> bytes:
    """Read up to the end of a line.

    Raises:
        ControlError: the connection ended before, or the line is too long.
    """
    data = b""
    while not data.endswith(b"\n"):
        part = await stream.receive_some(READ_SIZE)
        if not part or len(data) > MAX_LINE_BYTES:
            raise ControlError("the line has no end")
        data += part
    return data


def open_socket(path: Path) -> trio.SocketListener:
    """Listen on a socket file, in place of one that a dead agent has left.

    Raises:
        ControlError: an agent listens there, or the file cannot be made.
    """
    if path.exists() and stat.S_ISSOCK(path.stat().st_mode):
        probe = socket.socket(socket.AF_UNIX)
        try:
            probe.connect(str(path))
        except OSError:
            path.unlink()
        else:
            raise ControlError(f"{path}: an agent is running already")
        finally:
            probe.close()
    sock = socket.socket(socket.AF_UNIX)
    umask = os.umask(OWNER_ONLY_UMASK)
    try:
        sock.bind(str(path))
    except OSError as error:
        sock.close()
        raise ControlError(f"{path}: {error.strerror}") from error
    finally:
        os.umask(umask)
    sock.listen(BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


async def serve(listener: trio.SocketListener, handler: Handler) -> None:
    """Answer commands for as long as the agent runs."""
    await trio.serve_listeners(partial(_serve_connection, handler=handler), [listener])


async def _serve_connection(stream: trio.SocketStream, handler: Handler) -> None:
    async with stream:
        with suppress(trio.BrokenResourceError):  # the client has left
            result = await _handle_line(stream, handler)
            await stream.send_all(msgspec.json.encode(result) + b"\n")


async def _handle_line(stream: trio.SocketStream, handler: Handler) -> Result:
    try:
        command = msgspec.json.decode(await read_line(stream), type=Command)
    except (ControlError, msgspec.DecodeError) as error:
        return Result(error=str(error))
    return await _carry_out(command, handler)


async def _carry_out(command: Command, handler: Handler) -> Result:
    """Have a command carried out; a fault of the agent in that is a result as well."""
    with isolate_faults(FaultStep.AGENT_MESSAGE):
        try:
            return await handler(command)
        except ControlError as error:
            return Result(error=str(error))
    return Result(error=INTERNAL_FAULT)


async def send_command(path: Path, command: Command) -> Result:
    """Send a command to a running agent, and return its result.

    Raises:
        ControlError: no agent answers at this path, or not in time.
    """
    try:
        with trio.fail_after(ANSWER_TIMEOUT_S):
            async with await trio.open_unix_socket(str(path)) as stream:
                await stream.send_all(msgspec.json.encode(command) + b"\n")
                return msgspec.json.decode(await read_line(stream), type=Result)
    except trio.TooSlowError as error:
        raise ControlError(f"{path}: no answer") from error
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError) as error:
        raise ControlError(f"{path}: no agent answers: {error}") from error
