"""Commands for one ingress, and for the agent of one machine."""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence
from importlib.metadata import version as installed_version
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from wickspring import __version__, cli, config, logs
from wickspring.agent.settings import AgentSettings, load_agent
from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.common.termination import ignore_reload_signal
from wickspring.settings.errors import ConfigError
from wickspring.settings.http2_file import HTTP2_FILE
from wickspring.tenants import Tenants

if TYPE_CHECKING:
    from wickspring.agent import control
    from wickspring.agent.supervisor import Report

log = logging.getLogger(__name__)

LIBRARIES = ("trio", "h11", "h2", "msgspec")  # that an ingress serves with


class LocalCommands:
    """Commands for one ingress, and for the agent of one machine."""

    def serve(self) -> None:
        """Run one ingress; GW_CONFIG names its configuration."""
        _end_with(cli.serve())

    def check_config(self, file: Path, *, http2: Path = HTTP2_FILE) -> str:
        """Check an instance's JSON file or an agent's TOML file, and name the first key at fault.

        Args:
            file: the file to check.
            http2: the HTTP/2 file that goes with an instance's.
        """
        try:
            if file.suffix == ".toml":
                return f"{file.name}: {len(load_agent(file).instances)} instances"
            instance = config.load_instance(file, {}, http2)
        except ConfigError as error:
            raise CommandError(error, ExitCode.USAGE) from error
        settings = instance.settings
        return (
            f"{instance.name}: {len(settings.classes)} classes, {len(settings.plans)} plans, "
            f"{len(instance.known.servers)} ticket servers known"
        )

    def agent(self, file: Path) -> None:
        """Run and watch the instances of an agent file; SIGHUP changes nothing."""
        from wickspring.agent import agent, control

        ignore_reload_signal()
        logs.setup()
        try:
            trio.run(agent.run, load_agent(file))
        except ConfigError as error:
            log.error("bad_configuration", extra=logs.kv(reason=error))
            _end_with(ExitCode.USAGE)
        except control.ControlError as error:
            log.error("cannot_run", extra=logs.kv(reason=error))
            _end_with(ExitCode.FAILED)

    def status(self, file: Path, *names: str) -> None:
        """Show how an agent's instances are; fails unless all are ready."""
        result = _command_agent("status", file, names)
        if any(instance.state != "ready" for instance in result.instances):
            raise CommandError

    def drain(self, file: Path, *names: str) -> None:
        """Have instances finish what they have taken, and stop."""
        _command_agent("drain", file, names)

    def start(self, file: Path, *names: str) -> None:
        """Start instances that are stopped, or waiting after a failure."""
        _command_agent("start", file, names)

    def reload(self, file: Path, *names: str) -> None:
        """Have instances read their configuration again, for discovery and counter."""
        _command_agent("reload", file, names)

    def restart(self, file: Path, *names: str) -> None:
        """Drain and start instances, one after another."""
        _command_agent("restart", file, names)

    def tenants(self, file: Path, *, fetch: bool = False) -> None:
        """Print the tenants: those that the agent holds, or those of the directory itself.

        Args:
            file: the agent's file.
            fetch: read the directory itself, not the agent's copy.
        """
        from wickspring.agent import control, directory

        try:
            agent = load_agent(file)
            if agent.file.directory is None:
                raise ConfigError("directory is not set")
            if fetch:
                plans = frozenset(plan for managed in agent.instances for plan in managed.plans)
                found = directory.fetch(agent.file.directory, agent.password, plans)
            else:
                found = _tenants_of_agent(agent)
        except ConfigError as error:
            raise CommandError(error, ExitCode.USAGE) from error
        except (control.ControlError, directory.DirectoryError) as error:
            raise CommandError(error) from error
        _print_tenants(found)

    def version(self) -> str:
        """Print the version of the program and of what it serves with."""
        libraries = [f"{name} {installed_version(name)}" for name in LIBRARIES]
        return "\n".join([f"wickspring {__version__}", *libraries])


def _command_agent(name: str, file: Path, instances: Sequence[str]) -> control.Result:
    """Have a running agent carry out a command, and print how its instances are."""
    from wickspring.agent import control

    try:
        path = load_agent(file).control
        result = trio.run(control.send_command, path, control.Command(name, tuple(instances)))
    except ConfigError as error:
        raise CommandError(error, ExitCode.USAGE) from error
    except control.ControlError as error:
        raise CommandError(error) from error
    for instance in result.instances:
        print(_instance_line(instance))
    if result.directory_error:
        print(f"directory: {result.directory_error}", file=sys.stderr)
    if result.error:
        raise CommandError(result.error)
    return result


def _instance_line(instance: Report) -> str:
    last_exit = "-" if instance.last_exit is None else instance.last_exit
    return (
        f"{instance.name:<16} {instance.state:<9} {instance.listen:<21} pid={instance.pid or '-'} "
        f"starts={instance.starts} failures={instance.failures} last_exit={last_exit}"
    )


def _tenants_of_agent(agent: AgentSettings) -> Tenants:
    from wickspring.agent import control

    result = trio.run(control.send_command, agent.control, control.Command("tenants"))
    if result.directory_error:
        print(f"directory: {result.directory_error}", file=sys.stderr)
    return result.tenants or Tenants()


def _print_tenants(found: Tenants) -> None:
    for tenant in found.tenants:
        print(f"{tenant.customer} {tenant.plan} {tenant.name}".rstrip())
    for fault in found.faults:
        print(f"faulty: {fault}", file=sys.stderr)


def _end_with(code: int) -> None:
    """End a command that has logged what there is to say."""
    if code:
        raise CommandError(code=ExitCode(code))
