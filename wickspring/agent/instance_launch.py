"""How the process of one instance is started: its command, folder and environment, by the fleet file."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from wickspring.agent import processes
from wickspring.fleet.file import Fleet, FleetInstance

# Set anew for each instance; what the agent itself was started with must not reach it.
_INSTANCE_VARIABLES = ("GW_LISTEN", "GW_DISCOVERY", "GW_HTTP2", "GW_CONNECTIONS", "GW_TENANTS")


class UnknownBuildError(Exception):
    """The fleet file names no build of this name; the message says which."""


@dataclass(frozen=True, slots=True)
class LaunchPlan:
    """Everything that starting a process takes, apart from its token."""

    command: list[str]
    folder: Path
    environment: dict[str, str]


def plan_launch(fleet: Fleet, instance: FleetInstance, build_name: str, notify_socket: Path) -> LaunchPlan:
    """Return how an instance is started with a build; UnknownBuildError where there is none of this name."""
    build = fleet.build(build_name)
    if build is None:
        raise UnknownBuildError(f"there is no build {build_name!r}")
    folder = (fleet.here / build.path).resolve()
    own_python = folder / ".venv" / "bin" / "python"
    python = build.python or (str(own_python) if own_python.exists() else "")
    return LaunchPlan(processes.command(python), folder, _environment(fleet, instance, notify_socket))


def _environment(fleet: Fleet, instance: FleetInstance, notify_socket: Path) -> dict[str, str]:
    environment = dict(os.environ)
    for name in _INSTANCE_VARIABLES:
        environment.pop(name, None)
    environment["GW_CONFIG"] = str((fleet.here / instance.config).resolve())
    environment["GW_NAME"] = instance.name
    environment["NOTIFY_SOCKET"] = str(notify_socket)
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    if instance.listen:
        environment["GW_LISTEN"] = instance.listen
    if instance.http2:
        environment["GW_HTTP2"] = str((fleet.here / instance.http2).resolve())
    if instance.connections:
        environment["GW_CONNECTIONS"] = str((fleet.here / instance.connections).resolve())
    if fleet.file.overlap:
        environment["GW_SHARE_PORT"] = "1"
    return environment
