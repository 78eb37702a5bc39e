"""The command line."""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from wickspring import __version__, config, logs
from wickspring.net import server
from wickspring.tenants import Tenants

log = logging.getLogger(__name__)


def serve(_: argparse.Namespace) -> int:
    """Run one ingress as GW_CONFIG says."""
    logs.setup()
    try:
        instance = config.from_environment()
        trio.run(server.run, instance, None, config.reread_environment)
    except config.ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        return 2
    except OSError as error:
        log.error("cannot_serve", extra=logs.kv(reason=error))
        return 1
    return 0


def check_config(arguments: argparse.Namespace) -> int:
    """Check an instance's JSON file or an agent's TOML file, and name the first key at fault."""
    try:
        if arguments.file.suffix == ".toml":
            agent = config.load_agent(arguments.file)
            print(f"{arguments.file.name}: {len(agent.instances)} instances")
            return 0
        instance = config.load_instance(arguments.file, {}, arguments.http2)
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    settings = instance.settings
    print(f"{instance.name}: {len(settings.classes)} classes, {len(settings.plans)} plans, "
          f"{len(instance.known.servers)} ticket servers known")  # fmt: skip
    return 0


def run_agent(arguments: argparse.Namespace) -> int:
    """Run the agent that manages the instances of one file."""
    from wickspring.agent import agent, control  # not needed, and not paid for, by an ingress

    logs.setup()
    try:
        trio.run(agent.run, config.load_agent(arguments.file))
    except config.ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        return 2
    except control.ControlError as error:
        log.error("cannot_run", extra=logs.kv(reason=error))
        return 1
    return 0


def tell_agent(arguments: argparse.Namespace) -> int:
    """Have a running agent carry out a command, and print how its instances are."""
    from wickspring.agent import control

    command = control.Command(arguments.command, tuple(getattr(arguments, "names", ())))
    try:
        path = config.load_agent(arguments.file).control
        result = trio.run(control.ask, path, command)
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    except control.ControlError as error:
        print(error, file=sys.stderr)
        return 1
    for one in result.instances:
        last_exit = "-" if one.last_exit is None else one.last_exit
        print(f"{one.name:<16} {one.state:<9} {one.listen:<21} pid={one.pid or '-'} starts={one.starts} "
              f"failures={one.failures} last_exit={last_exit}")  # fmt: skip
    for trouble in (result.error, result.directory_error and f"directory: {result.directory_error}"):
        if trouble:
            print(trouble, file=sys.stderr)
    unready = command.do == "status" and any(one.state != "ready" for one in result.instances)
    return int(bool(result.error) or unready)


def tenants(arguments: argparse.Namespace) -> int:
    """Print the tenants: those that the agent holds, or those of the directory itself."""
    from wickspring.agent import control, directory

    try:
        agent = config.load_agent(arguments.file)
        if agent.file.directory is None:
            raise config.ConfigError("directory is not set")
        if arguments.fetch:
            plans = frozenset(plan for managed in agent.instances for plan in managed.plans)
            held = directory.fetch(agent.file.directory, agent.password, plans)
        else:
            result = trio.run(control.ask, agent.control, control.Command("tenants"))
            held = result.tenants or Tenants()
            if result.directory_error:
                print(f"directory: {result.directory_error}", file=sys.stderr)
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    except (control.ControlError, directory.DirectoryError) as error:
        print(error, file=sys.stderr)
        return 1
    for tenant in held.tenants:
        print(f"{tenant.customer} {tenant.plan} {tenant.name}".rstrip())
    for fault in held.faults:
        print(f"faulty: {fault}", file=sys.stderr)
    return 0


def version(_: argparse.Namespace) -> int:
    """Print the version of the program and of what it serves with."""
    from importlib.metadata import version as installed  # dear to load, and an ingress has no use for it

    print(f"wickspring {__version__}")
    for name in ("trio", "h11", "h2", "msgspec"):
        print(f"{name} {installed(name)}")
    return 0


def run_lab(arguments: argparse.Namespace) -> int:
    """Hand over to the laboratory's commands."""
    from wickspring.lab.cli import lab

    lab.main(args=arguments.words, prog_name="wickspring lab")
    return 0


def parser() -> argparse.ArgumentParser:
    """Build the parser of all sub-commands."""
    top = argparse.ArgumentParser(prog="wickspring", description="Gateway of a shared ticketing service.")
    commands = top.add_subparsers(dest="command", required=True)
    add = commands.add_parser("serve", help="run one ingress; GW_CONFIG names its configuration")
    add.set_defaults(run=serve)
    add = commands.add_parser("check-config", help="check an instance's or an agent's file")
    add.add_argument("file", type=Path)
    add.add_argument("--http2", type=Path, default=config.HTTP2_FILE, help="the HTTP/2 file")
    add.set_defaults(run=check_config)
    add = commands.add_parser("agent", help="run and watch the instances of an agent file")
    add.add_argument("file", type=Path)
    add.set_defaults(run=run_agent)
    for word, text in (
        ("status", "tell how an agent's instances are; fails unless all are ready"),
        ("drain", "have instances finish what they have taken, and stop"),
        ("start", "start instances that are stopped, or waiting after a failure"),
        ("reload", "have instances read their configuration again, for discovery and counter"),
        ("restart", "drain and start instances, one after another"),
    ):
        add = commands.add_parser(word, help=text)
        add.add_argument("file", type=Path, help="the agent file")
        add.add_argument("names", nargs="*", help="instances; none means all")
        add.set_defaults(run=tell_agent)
    add = commands.add_parser("tenants", help="print the tenants and their plans")
    add.add_argument("file", type=Path, help="the agent file")
    add.add_argument("--fetch", action="store_true", help="read the directory itself, not the agent's copy")
    add.set_defaults(run=tenants)
    add = commands.add_parser("lab", help="emulated sites, load and reports", add_help=False)
    add.add_argument("words", nargs=argparse.REMAINDER)
    add.set_defaults(run=run_lab)
    add = commands.add_parser("version", help="print the version")
    add.set_defaults(run=version)
    return top


def main(words: Sequence[str] | None = None) -> int:
    """Run the sub-command that the words name."""
    arguments, rest = parser().parse_known_args(words)
    if arguments.command == "lab":  # whose options argparse does not know
        arguments.words = [*arguments.words, *rest]
    elif rest:
        parser().error(f"unrecognized arguments: {' '.join(rest)}")
    code: int = arguments.run(arguments)
    return code
