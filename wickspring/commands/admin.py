"""Commands at the admin APIs of an agent's instances: whether they serve, ticket servers out and back in."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio

from wickspring.agent.settings import load_agent
from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.settings.errors import ConfigError

CALL_TIMEOUT_S = 3.0  # for one instance to answer
MAX_ANSWER_BYTES = 64 * 1024
RECEIVE_BYTES = 4096

Address = tuple[str, int]


class AdminAnswer(msgspec.Struct, frozen=True):
    """What an admin API answers."""

    ok: bool
    detail: str = ""


class AdminCall(msgspec.Struct, frozen=True):
    """One call to an admin API, the same for each instance."""

    method: str
    path: str
    body: bytes = b""

    def encode(self, host: str) -> bytes:
        """Return the call as an HTTP/1.1 request."""
        head = (
            f"{self.method} {self.path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


class AdminCommands:
    """Commands at the admin APIs of an agent's instances."""

    def ready(self, file: Path, *names: str) -> None:
        """Ask an agent's instances, at their admin APIs, whether they serve."""
        _call_instances(file, names, AdminCall("GET", "/api/ready"))

    def exclude(self, file: Path, who: str, *names: str) -> None:
        """Have instances take the ticket server WHO out, until it is put back."""
        _call_instances(file, names, AdminCall("PUT", "/api/exclude", _encode_server(who)))

    def include(self, file: Path, who: str, *names: str) -> None:
        """Have instances use the ticket server WHO again."""
        _call_instances(file, names, AdminCall("PUT", "/api/include", _encode_server(who)))


async def call(address: Address, request: AdminCall) -> AdminAnswer:
    """Make one call; whatever keeps it from being answered is a no."""
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            received = await _exchange(address, request)
        answer = msgspec.json.decode(received.partition(b"\r\n\r\n")[2], type=AdminAnswer)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
        return AdminAnswer(False, f"no answer: {error or 'too slow'}")
    except msgspec.DecodeError:
        return AdminAnswer(False, f"no admin API of an ingress: {received[:60]!r}")
    status = received.split(b" ", 2)[1:2]
    return answer if status and status[0].startswith(b"2") else AdminAnswer(False, answer.detail)


async def _exchange(address: Address, request: AdminCall) -> bytes:
    received = b""
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(request.encode(address[0]))
        while len(received) < MAX_ANSWER_BYTES and (data := await stream.receive_some(RECEIVE_BYTES)):
            received += data
    return received


def _call_instances(file: Path, names: Sequence[str], request: AdminCall) -> None:
    """Call the named instances, or all, at once; raise `CommandError` unless each says yes."""
    addresses = _admin_addresses(file)
    unknown = [name for name in names if name not in addresses]
    if unknown:
        raise CommandError(f"{file.name}: no instance is named {unknown[0]!r}", ExitCode.USAGE)
    chosen = {name: addresses[name] for name in names or addresses}
    answers = trio.run(_call_all, chosen, request)
    for name in chosen:
        print(f"{name:<16} {'yes' if answers[name].ok else 'no':<4} {answers[name].detail}")
    failed = [name for name, answer in answers.items() if not answer.ok]
    if failed:
        raise CommandError(f"did not follow: {', '.join(sorted(failed))}")


async def _call_all(addresses: dict[str, Address | None], request: AdminCall) -> dict[str, AdminAnswer]:
    answers: dict[str, AdminAnswer] = {}

    async def call_one(name: str, address: Address | None) -> None:
        answers[name] = (
            await call(address, request) if address else AdminAnswer(False, "admin_addr is not set")
        )

    async with trio.open_nursery() as nursery:
        for name, address in addresses.items():
            nursery.start_soon(call_one, name, address)
    return answers


def _admin_addresses(file: Path) -> dict[str, Address | None]:
    """Return the instances of an agent's file with the addresses of their admin APIs."""
    try:
        return {managed.name: managed.admin_address for managed in load_agent(file).instances}
    except ConfigError as error:
        raise CommandError(error, ExitCode.USAGE) from error


def _encode_server(identity: str) -> bytes:
    return msgspec.json.encode({"who": identity})
