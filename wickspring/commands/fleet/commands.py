"""Commands for a fleet: what it is, what is to become of it, and how far that has come.

Exit codes: 0 where all went well, 1 where some did not follow (or nobody answers), 2 where configuration or
words are at fault, 3 where another operation holds the instances.
"""

from __future__ import annotations

import getpass
import logging
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from wickspring import logs
from wickspring.agent import wire
from wickspring.commands import fail
from wickspring.config import ConfigError
from wickspring.fleet.file import Fleet, load_fleet
from wickspring.fleet.model import Kind, Operation, Phase, Record, Step
from wickspring.fleet.selector import SelectorError, parse
from wickspring.wire import WireError

log = logging.getLogger(__name__)

LOOK_S = 0.4  # between two looks while following
SILENT_S = 60.0  # without an agent that tells of the operation, following ends
HELD = 3


class Way:
    """How agents are reached: the local sockets first, then by address."""

    def __init__(self, fleet: Fleet, via: str | None) -> None:
        self.fleet = fleet
        self.agents = [fleet.agent(via)] if via else list(fleet.file.agent)
        self.tls = None
        tls = fleet.file.tls
        if tls is not None and tls.cert and tls.key:
            from wickspring.tls import Certificates

            here = fleet.here
            self.tls = Certificates(here / tls.ca, here / tls.cert, here / tls.key)

    async def ask(self, message: wire.Message, only: str = "") -> wire.Answer:
        """Ask the first agent that answers."""
        faults = []
        for agent in self.agents:
            if only and agent.name != only:
                continue
            ways: list[tuple[str, Any]] = []
            local = (self.fleet.here / agent.state / "local").resolve()
            if local.exists():
                ways.append((str(local), None))
            if self.fleet.file.tls is None or self.tls is not None:
                ways.append((agent.address, self.tls.client() if self.tls is not None else None))
            if not ways:
                faults.append(f"agent {agent.name}: no local socket, and tls.cert and tls.key are not set")
            for address, tls in ways:
                try:
                    return await wire.exchange(address, f"agent {agent.name}", message, tls, agent.name)
                except WireError as error:
                    faults.append(str(error))
        raise WireError("; ".join(faults) or f"no agent is called {only}")


def common(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that every command has."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
        click.option("--via", help="Ask this agent; by default the first that answers."),
        click.option(
            "--fleet",
            "file",
            type=click.Path(path_type=Path),
            default=Path("fleet.toml"),
            envvar="WICKSPRING_FLEET",
            show_default=True,
            help="The fleet file.",
        ),
    ):
        command = option(command)
    return command


def selection(command: Callable[..., None]) -> Callable[..., None]:
    """Add the selection, and the options of operations."""
    for option in (
        click.argument("select", nargs=-1),
        click.option("--dry-run", is_flag=True, help="Print the plan; nothing is done."),
        click.option(
            "--batch", type=click.IntRange(1), default=1, show_default=True, help="Instances at a time."
        ),
        click.option("--below-floor", is_flag=True, help="Have more down than the rules allow."),
        click.option(
            "--no-wait", is_flag=True, help="Leave once it has begun; `fleet follow` takes it up again."
        ),
        click.option("--by", default=getpass.getuser, help="Who asks, on a local socket."),
    ):
        command = option(command)
    return common(command)


def open_way(file: Path, via: str | None) -> Way:
    """Read the fleet file."""
    try:
        return Way(load_fleet(file, configs=False), via)
    except ConfigError as error:
        raise fail(error, 2) from error


def ask(way: Way, message: wire.Message, only: str = "") -> wire.Answer:
    """Ask, or end with what is wrong."""
    try:
        return trio.run(way.ask, message, only)
    except WireError as error:
        raise fail(error) from error


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=1).decode())


def table(*columns: str) -> Any:
    """Make a table."""
    from rich.table import Table

    return Table(*columns, box=None, pad_edge=False)


def show(thing: Any) -> None:
    """Print a table, as wide as it is where nobody looks."""
    from rich.console import Console

    console = Console()
    if not console.is_terminal:
        console = Console(width=200)
    console.print(thing)


def held_by(record: Record) -> str:
    """Say who holds an instance."""
    claim = record.claim
    if claim is None or claim.until < time.time():
        return "-"
    return f"{claim.by}: {claim.what} {claim.operation}"


@click.group()
def fleet() -> None:
    """Many instances under many agents."""


@fleet.command("agent")
@click.argument("name")
@click.option(
    "--fleet", "file", type=click.Path(path_type=Path), default=Path("fleet.toml"), envvar="WICKSPRING_FLEET"
)
def run_agent(name: str, file: Path) -> None:
    """Run the agent NAME of the fleet; its instances outlive it."""
    from wickspring.agent.node import Node, NodeError
    from wickspring.agent.store import StoreError

    logs.setup()
    try:
        node = Node(load_fleet(file.resolve()), name)
        trio.run(node.run)
    except ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        raise SystemExit(2) from error
    except (NodeError, StoreError) as error:
        log.error("cannot_run", extra=logs.kv(reason=error))
        raise SystemExit(1) from error


@fleet.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a fleet file and all that it names."""
    try:
        found = load_fleet(file).file
    except ConfigError as error:
        raise fail(error, 2) from error
    click.echo(
        f"{file.name}: {len(found.agent)} agents, {len(found.instance)} instances, {len(found.build)} builds"
    )


@fleet.command()
@click.argument("select", nargs=-1)
@common
def status(select: tuple[str, ...], file: Path, via: str | None, as_json: bool) -> None:
    """Tell how the instances and agents are; fails unless all that are to run are ready."""
    answer = ask(open_way(file, via), wire.Show())
    records = choose(select, answer)
    if as_json:
        show_json(msgspec.structs.replace(answer, records=records))
    else:
        rows = table(
            "instance",
            "hall",
            "agent",
            "state",
            "build",
            "wanted",
            "requests",
            "failed",
            "starts",
            "held by",
            "note",
        )
        for one in records:
            seen, want = one.seen, one.want
            wanted = f"run {want.build}" if want.run else "stopped"
            rows.add_row(
                one.name,
                one.hall,
                one.agent,
                seen.state,
                seen.build or "-",
                wanted,
                str(seen.requests),
                str(seen.failed),
                str(seen.starts),
                held_by(one),
                seen.note or "-",
            )
        show(rows)
        ill = [f"{one.name} {one.health}" for one in answer.agents if one.health != "alive"]
        click.echo(f"agents: {len(answer.agents)}" + (f"; {', '.join(ill)}" if ill else ", all alive"))
        if not answer.quorum:
            click.echo("this agent hears too few of the others to begin anything")
    if any(one.want.run and not one.seen.ready for one in records):
        raise SystemExit(1)


def choose(select: tuple[str, ...], answer: wire.Answer) -> tuple[Record, ...]:
    """Apply a selection to what an agent told."""
    try:
        return parse(select).choose(answer.records)
    except SelectorError as error:
        raise fail(error, 2) from error


def operate(
    kind: Kind,
    select: tuple[str, ...],
    file: Path,
    via: str | None,
    as_json: bool,
    dry_run: bool,
    batch: int,
    below_floor: bool,
    no_wait: bool,
    by: str,
    build: str = "",
) -> None:
    """Begin an operation, and follow it to its end."""
    way = open_way(file, via)
    if build and way.fleet.build(build) is None:
        raise fail(f"{file.name}: there is no build {build!r}", 2)
    answer = ask(way, wire.Show())
    records = choose(select, answer)
    if not records:
        raise fail("no instance is chosen", 2)
    if dry_run:
        show_plan(kind, records, build, batch, as_json)
        return
    names = tuple(one.name for one in records)
    number = f"{kind.value}-{secrets.token_hex(3)}"
    submit = wire.Submit(kind, names, build, batch, below_floor, by, number)
    begun = ask(way, submit)
    if begun.error or begun.operation is None:
        raise fail(begun.error or "the agent did not take it", 2)
    if no_wait:
        show_json(begun.operation) if as_json else click.echo(
            f"{number} has begun at {begun.operation.coordinator}"
        )
        return
    if not as_json:
        click.echo(
            f"{number}: {kind.value} of {len(names)} instances, coordinated by {begun.operation.coordinator}"
        )
    follow_to_end(way, number, as_json)


def show_plan(kind: Kind, records: tuple[Record, ...], build: str, batch: int, as_json: bool) -> None:
    """Print what an operation would do, batch by batch."""
    from wickspring.fleet import rollout

    operation = rollout.plan(
        kind, records, id="plan", by="", coordinator="", now=0.0, build=build, batch=batch
    )
    known = {one.name: one for one in records}
    steps = []
    for index, one in enumerate(operation.instances):
        run, goal, anew = rollout.target(operation, one, known[one.instance])
        steps.append(
            {
                "batch": index // batch + 1,
                "instance": one.instance,
                "hall": one.hall,
                "agent": one.agent,
                "from": f"run {one.build_before}" if one.run_before else "stopped",
                "to": (f"run {goal}" if run else "stopped") + (" anew" if anew else ""),
                "held_by": held_by(known[one.instance]),
            }
        )
    if as_json:
        show_json(steps)
        return
    rows = table("batch", "instance", "hall", "agent", "from", "to", "held by")
    for step in steps:
        rows.add_row(*(str(value) for value in step.values()))
    show(rows)


def find(way: Way, number: str) -> Operation | None:
    """Return an operation as an agent tells of it."""
    answer = trio.run(way.ask, wire.Show())
    return next((one for one in answer.operations if one.id == number), None)


def follow_to_end(way: Way, number: str, as_json: bool) -> None:
    """Print what changes until the operation has ended; then who did not follow and why."""
    said: dict[str, tuple[Step, str]] = {}
    heard = time.monotonic()
    while True:
        try:
            operation = find(way, number)
        except WireError as error:
            operation, fault = None, str(error)
        else:
            fault = f"no agent tells of {number}"
        if operation is not None:
            heard = time.monotonic()
            if not as_json:
                for one in operation.instances:
                    if said.get(one.instance) != (one.step, one.note) and one.step is not Step.PENDING:
                        click.echo(f"  {one.instance:<16} {one.step.value:<9} {one.note}".rstrip())
                    said[one.instance] = one.step, one.note
            if operation.phase.ended:
                break
        elif time.monotonic() - heard > SILENT_S:
            raise fail(f"{fault}; it may go on: `fleet follow {number}` takes it up again")
        time.sleep(LOOK_S)
    if as_json:
        show_json(operation)
    else:
        behind = operation.did_not_follow
        took = operation.ended_at - operation.at
        click.echo(
            f"{number}: {operation.phase.value} after {took:.1f} s"
            + (f": {operation.reason}" if operation.reason else "")
        )
        for one in behind:
            click.echo(f"did not follow: {one.instance} ({one.step.value}) {one.note}".rstrip())
    if operation.phase is not Phase.DONE:
        raise SystemExit(HELD if operation.phase is Phase.REFUSED else 1)


@fleet.command()
@selection
def start(**options: Any) -> None:
    """Start instances."""
    operate(Kind.START, **options)


@fleet.command()
@selection
def drain(**options: Any) -> None:
    """Have instances finish what they have taken, and stop."""
    operate(Kind.DRAIN, **options)


@fleet.command()
@selection
def restart(**options: Any) -> None:
    """Start instances anew, batch by batch."""
    operate(Kind.RESTART, **options)


@fleet.command()
@click.argument("build")
@selection
def upgrade(build: str, **options: Any) -> None:
    """Have instances run BUILD, batch by batch; goes back by itself where it fails."""
    operate(Kind.UPGRADE, build=build, **options)


@fleet.command()
@click.option("--to", "build", default="", help="The build; by default the one before the present.")
@selection
def rollback(build: str, **options: Any) -> None:
    """Have instances run the build they had before."""
    operate(Kind.ROLLBACK, build=build, **options)


@fleet.command()
@click.argument("operation")
@common
def follow(operation: str, file: Path, via: str | None, as_json: bool) -> None:
    """Take up an operation that goes on, to its end."""
    way = open_way(file, via)
    try:
        if find(way, operation) is None:
            raise fail(f"no agent tells of {operation}", 2)
    except WireError as error:
        raise fail(error) from error
    follow_to_end(way, operation, as_json)


@fleet.command()
@click.argument("operation")
@click.option("--by", default=getpass.getuser, help="Who asks, on a local socket.")
@common
def cancel(operation: str, by: str, file: Path, via: str | None, as_json: bool) -> None:
    """Have an operation begin nothing more."""
    way = open_way(file, via)
    try:
        found = find(way, operation)
    except WireError as error:
        raise fail(error) from error
    if found is None:
        raise fail(f"no agent tells of {operation}", 2)
    answer = ask(way, wire.Cancel(operation, by), found.coordinator)
    if answer.error:
        raise fail(answer.error)
    show_json(answer.operation) if as_json else click.echo(f"{operation}: cancelled by {by}")


@fleet.command()
@click.argument("name")
@common
def inspect(name: str, file: Path, via: str | None, as_json: bool) -> None:
    """Tell all that is known of an instance, an operation or an agent."""
    answer = ask(open_way(file, via), wire.Show())
    found: list[Any] = [one for one in answer.records if one.name == name]
    found += [one for one in answer.operations if one.id == name]
    found += [one for one in answer.agents if one.name == name]
    if not found:
        raise fail(f"there is no instance, operation or agent called {name}", 2)
    if as_json:
        show_json(found if len(found) > 1 else found[0])
        return
    for one in found:
        rows = table("field", "value")
        for key, value in msgspec.to_builtins(one).items():
            if isinstance(value, list):
                for inner in value:
                    rows.add_row(
                        key,
                        ", ".join(f"{k}={v}" for k, v in inner.items() if v not in ("", None, []))
                        if isinstance(inner, dict)
                        else str(inner),
                    )
            else:
                rows.add_row(key, str(value))
        show(rows)


@fleet.command()
@click.option(
    "--most", type=click.IntRange(1, 10_000), default=50, show_default=True, help="Lines of each agent."
)
@common
def history(most: int, file: Path, via: str | None, as_json: bool) -> None:
    """Tell what was asked and done, by the agents that answer."""
    way = open_way(file, via)
    lines, faults = list[tuple[float, str, str]](), list[str]()
    for one_agent in way.agents:
        try:
            answer = trio.run(way.ask, wire.Show(most), one_agent.name)
            lines += [(one.at, one_agent.name, one.text) for one in answer.history]
        except WireError as error:
            faults.append(str(error))
    lines.sort()
    if as_json:
        show_json([{"at": at, "agent": agent, "text": text} for at, agent, text in lines])
    else:
        for at, agent, text in lines:
            click.echo(f"{time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(at))} {agent:<10} {text}")
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        raise SystemExit(1)
