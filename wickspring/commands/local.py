"""Commands for one ingress, and for the agent of one machine."""

from __future__ import annotations

import logging
from pathlib import Path

import click
import trio

from wickspring import __version__, cli, config, logs
from wickspring.commands import fail
from wickspring.tenants import Tenants

log = logging.getLogger(__name__)

FILE = click.argument("file", type=click.Path(path_type=Path))
NAMES = click.argument("names", nargs=-1)


@click.command()
def serve() -> None:
    """Run one ingress; GW_CONFIG names its configuration."""
    raise SystemExit(cli.serve())


@click.command("check-config")
@FILE
@click.option("--http2", type=click.Path(path_type=Path), default=config.HTTP2_FILE, help="The HTTP/2 file.")
def check_config(file: Path, http2: Path) -> None:
    """Check an instance's JSON file or an agent's TOML file, and name the first key at fault."""
    try:
        if file.suffix == ".toml":
            agent = config.load_agent(file)
            click.echo(f"{file.name}: {len(agent.instances)} instances")
            return
        instance = config.load_instance(file, {}, http2)
    except config.ConfigError as error:
        raise fail(error, 2) from error
    settings = instance.settings
    click.echo(
        f"{instance.name}: {len(settings.classes)} classes, {len(settings.plans)} plans, "
        f"{len(instance.known.servers)} ticket servers known"
    )


@click.command("agent")
@FILE
def run_agent(file: Path) -> None:
    """Run and watch the instances of an agent file."""
    from wickspring.agent import agent, control

    logs.setup()
    try:
        trio.run(agent.run, config.load_agent(file))
    except config.ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        raise SystemExit(2) from error
    except control.ControlError as error:
        log.error("cannot_run", extra=logs.kv(reason=error))
        raise SystemExit(1) from error


def _tell(do: str, file: Path, names: tuple[str, ...]) -> None:
    """Have a running agent carry out a command, and print how its instances are."""
    from wickspring.agent import control

    try:
        path = config.load_agent(file).control
        result = trio.run(control.ask, path, control.Command(do, names))
    except config.ConfigError as error:
        raise fail(error, 2) from error
    except control.ControlError as error:
        raise fail(error, 1) from error
    for one in result.instances:
        last_exit = "-" if one.last_exit is None else one.last_exit
        click.echo(
            f"{one.name:<16} {one.state:<9} {one.listen:<21} pid={one.pid or '-'} starts={one.starts} "
            f"failures={one.failures} last_exit={last_exit}"
        )
    for trouble in (result.error, result.directory_error and f"directory: {result.directory_error}"):
        if trouble:
            click.echo(trouble, err=True)
    unready = do == "status" and any(one.state != "ready" for one in result.instances)
    if result.error or unready:
        raise SystemExit(1)


@click.command()
@FILE
@NAMES
def status(file: Path, names: tuple[str, ...]) -> None:
    """Tell how an agent's instances are; fails unless all are ready."""
    _tell("status", file, names)


@click.command()
@FILE
@NAMES
def drain(file: Path, names: tuple[str, ...]) -> None:
    """Have instances finish what they have taken, and stop."""
    _tell("drain", file, names)


@click.command()
@FILE
@NAMES
def start(file: Path, names: tuple[str, ...]) -> None:
    """Start instances that are stopped, or waiting after a failure."""
    _tell("start", file, names)


@click.command()
@FILE
@NAMES
def reload(file: Path, names: tuple[str, ...]) -> None:
    """Have instances read their configuration again, for discovery and counter."""
    _tell("reload", file, names)


@click.command()
@FILE
@NAMES
def restart(file: Path, names: tuple[str, ...]) -> None:
    """Drain and start instances, one after another."""
    _tell("restart", file, names)


@click.command()
@FILE
@click.option("--fetch", is_flag=True, help="Read the directory itself, not the agent's copy.")
def tenants(file: Path, fetch: bool) -> None:
    """Print the tenants: those that the agent holds, or those of the directory itself."""
    from wickspring.agent import control, directory

    try:
        agent = config.load_agent(file)
        if agent.file.directory is None:
            raise config.ConfigError("directory is not set")
        if fetch:
            plans = frozenset(plan for managed in agent.instances for plan in managed.plans)
            held = directory.fetch(agent.file.directory, agent.password, plans)
        else:
            result = trio.run(control.ask, agent.control, control.Command("tenants"))
            held = result.tenants or Tenants()
            if result.directory_error:
                click.echo(f"directory: {result.directory_error}", err=True)
    except config.ConfigError as error:
        raise fail(error, 2) from error
    except (control.ControlError, directory.DirectoryError) as error:
        raise fail(error, 1) from error
    for tenant in held.tenants:
        click.echo(f"{tenant.customer} {tenant.plan} {tenant.name}".rstrip())
    for fault in held.faults:
        click.echo(f"faulty: {fault}", err=True)


@click.command()
def version() -> None:
    """Print the version of the program and of what it serves with."""
    from importlib.metadata import version as installed

    click.echo(f"wickspring {__version__}")
    for name in ("trio", "h11", "h2", "msgspec"):
        click.echo(f"{name} {installed(name)}")
