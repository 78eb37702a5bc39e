"""Commands to a running agent: one JSON line each way on a socket that only its owner may open."""

from __future__ import annotations

import os
import socket
import stat
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from wickspring.agent.supervisor import Report
from wickspring.tenants import Tenants

MOST_LINE = 64 << 20
ANSWER_WITHIN_S = 600.0  # a rolling restart of many instances takes its time


class Command(msgspec.Struct, frozen=True):
    """What the agent is asked to do."""

    do: str  # status, tenants, drain, start, reload or restart
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
    """The agent could not be asked."""


async def read_line(stream: trio.SocketStream) -> bytes:
    """Read up to the end of a line."""
    data = b""
    while not data.endswith(b"\n"):
        part = await stream.receive_some(65536)
        if not part or len(data) > MOST_LINE:
            raise ControlError("the line has no end")
        data += part
    return data


def open_socket(path: Path) -> trio.SocketListener:
    """Listen on a socket file, in place of one that a dead agent has left."""
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
    umask = os.umask(0o177)
    try:
        sock.bind(str(path))
    except OSError as error:
        sock.close()
        raise ControlError(f"{path}: {error.strerror}") from error
    finally:
        os.umask(umask)
    sock.listen(16)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


async def serve(listener: trio.SocketListener, handler: Handler) -> None:
    """Answer commands for as long as the agent runs."""

    async def one(stream: trio.SocketStream) -> None:
        async with stream:
            try:
                command = msgspec.json.decode(await read_line(stream), type=Command)
                result = await handler(command)
            except (ControlError, msgspec.DecodeError) as error:
                result = Result(error=str(error))
            except trio.BrokenResourceError:
                return
            try:
                await stream.send_all(msgspec.json.encode(result) + b"\n")
            except trio.BrokenResourceError:
                return  # who asked has left

    await trio.serve_listeners(one, [listener])


async def ask(path: Path, command: Command) -> Result:
    """Ask a running agent."""
    try:
        with trio.fail_after(ANSWER_WITHIN_S):
            async with await trio.open_unix_socket(str(path)) as stream:
                await stream.send_all(msgspec.json.encode(command) + b"\n")
                return msgspec.json.decode(await read_line(stream), type=Result)
    except trio.TooSlowError as error:
        raise ControlError(f"{path}: no answer") from error
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError) as error:
        raise ControlError(f"{path}: no agent answers: {error}") from error
