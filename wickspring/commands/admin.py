"""Commands at the doors of an agent's instances: whether they serve, ticket servers out and back in."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec
import trio

from wickspring import config
from wickspring.commands import fail

CALL_S = 3.0  # for one instance to answer; a second is owed
MOST_ANSWER = 64 * 1024
FILE = click.argument("file", type=click.Path(path_type=Path))
NAMES = click.argument("names", nargs=-1)


class Word(msgspec.Struct):
    """What a door answers."""

    ok: bool
    detail: str = ""


async def ask(place: tuple[str, int], method: str, path: str, body: bytes = b"") -> Word:
    """Make one call; whatever keeps it from being answered is a no."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {place[0]}\r\nContent-Length: {len(body)}\r\n\r\n"
    got = b""
    try:
        with trio.fail_after(CALL_S):
            async with await trio.open_tcp_stream(*place) as stream:
                await stream.send_all(head.encode() + body)
                while len(got) < MOST_ANSWER and (data := await stream.receive_some(4096)):
                    got += data
        word = msgspec.json.decode(got.partition(b"\r\n\r\n")[2], type=Word)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
        return Word(False, f"no answer: {error or 'too slow'}")
    except msgspec.DecodeError:
        return Word(False, f"no door of an ingress: {got[:60]!r}")
    status = got.split(b" ", 2)[1:2]
    return word if status and status[0].startswith(b"2") else Word(False, word.detail)


def _all(file: Path, names: tuple[str, ...], method: str, path: str, who: str = "") -> None:
    """Call at the doors of the named instances, or of all; fail unless each says yes."""
    try:
        managed = {one.name: one for one in config.load_agent(file).instances}
    except config.ConfigError as error:
        raise fail(error, 2) from error
    unknown = [name for name in names if name not in managed]
    if unknown:
        raise fail(f"{file.name}: no instance is named {unknown[0]!r}", 2)
    body = msgspec.json.encode({"who": who}) if who else b""
    words: dict[str, Word] = {}

    async def call(name: str) -> None:
        place = managed[name].door
        words[name] = await ask(place, method, path, body) if place else Word(False, "admin_addr is not set")

    async def every() -> None:
        async with trio.open_nursery() as nursery:
            for name in names or managed:
                nursery.start_soon(call, name)

    trio.run(every)
    for name in names or managed:
        click.echo(f"{name:<16} {'yes' if words[name].ok else 'no':<4} {words[name].detail}")
    left = [name for name, word in words.items() if not word.ok]
    if left:
        raise fail(f"did not follow: {', '.join(sorted(left))}")


@click.command()
@FILE
@NAMES
def ready(file: Path, names: tuple[str, ...]) -> None:
    """Ask an agent's instances, at their doors, whether they serve."""
    _all(file, names, "GET", "/api/ready")


@click.command()
@FILE
@click.argument("who")
@NAMES
def exclude(file: Path, who: str, names: tuple[str, ...]) -> None:
    """Have instances take a ticket server out, until it is put back."""
    _all(file, names, "PUT", "/api/exclude", who)


@click.command()
@FILE
@click.argument("who")
@NAMES
def include(file: Path, who: str, names: tuple[str, ...]) -> None:
    """Have instances use a ticket server again."""
    _all(file, names, "PUT", "/api/include", who)
