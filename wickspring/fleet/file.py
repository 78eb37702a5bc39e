"""The fleet's file: agents, instances, builds and rules, read and checked; messages name the key at fault.

It is kept apart from `wickspring.config`, whose part an ingress loads, for an ingress has no use for it.
"""

from __future__ import annotations

import re
from pathlib import Path

import msgspec

from wickspring.config import load_instance
from wickspring.fleet.model import FLEET, Rules, scope_of
from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError
from wickspring.settings.http2_file import HTTP2_FILE
from wickspring.settings.toml_file import read_toml

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class FleetAgent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One agent of a fleet, of one machine or hall."""

    name: str
    hall: str
    address: str  # where the other agents and operators reach it
    state: str  # folder for its database, sockets and logs
    cert: str = ""  # its certificate and key, where the fleet has TLS
    key: str = ""


class FleetInstance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One ingress of a fleet."""

    name: str
    agent: str
    config: str
    listen: str = ""
    http2: str = ""
    connections: str = ""
    labels: dict[str, str] = {}


class FleetBuild(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A build that instances may run: a folder with the program, and the Python that runs it."""

    name: str
    path: str
    python: str = ""  # by default the one in the folder's .venv, or the agent's own


class FleetOperator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may do what, by the name in the certificate."""

    name: str
    role: str = "read"  # or operate


class FleetTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mutual TLS between agents, and with operators."""

    ca: str
    cert: str = ""  # an operator's own, for the command line
    key: str = ""


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet: agents, instances and builds; paths are taken from the file's own folder."""

    agent: tuple[FleetAgent, ...]
    instance: tuple[FleetInstance, ...]
    build: tuple[FleetBuild, ...]
    first_build: str = ""  # of instances that are new; by default the first
    first_run: bool = True  # whether new instances are started at once
    overlap: bool = True  # a successor is ready before its predecessor is drained
    rules: Rules = Rules()
    operator: tuple[FleetOperator, ...] = ()
    tls: FleetTls | None = None
    backoff_first_s: float = 0.5
    backoff_most_s: float = 30.0
    steady_s: float = 30.0


class Fleet(msgspec.Struct, frozen=True):
    """A fleet file, checked."""

    path: Path
    file: FleetFile

    @property
    def here(self) -> Path:
        """Return the folder that paths are taken from."""
        return self.path.parent

    def agent(self, name: str) -> FleetAgent:
        """Return an agent by name."""
        for one in self.file.agent:
            if one.name == name:
                return one
        raise ConfigError(f"{self.path.name}: no agent is called {name}")

    def build(self, name: str) -> FleetBuild | None:
        """Return a build by name."""
        return next((one for one in self.file.build if one.name == name), None)

    def wardens(self) -> dict[str, str]:
        """Return the agent that gives leave for each scope: a hall's first by name, and the fleet's."""
        found = {FLEET: min(one.name for one in self.file.agent)}
        for one in sorted(self.file.agent, key=lambda one: one.name):
            found.setdefault(scope_of(one.hall), one.name)
        return found


def load_fleet(path: Path, *, configs: bool = True) -> Fleet:
    """Read and check a fleet file; with `configs`, what its instances are configured by as well."""
    file = read_toml(path, FleetFile)
    fleet, name = Fleet(path, file), path.name
    for key, names in (
        ("agent", [one.name for one in file.agent]),
        ("instance", [one.name for one in file.instance]),
        ("build", [one.name for one in file.build]),
        ("operator", [one.name for one in file.operator]),
    ):
        if len(set(names)) < len(names):
            raise ConfigError(f"{name}: {key}: two have the same name")
        if key != "operator" and not names:
            raise ConfigError(f"{name}: {key}: there is none")
        bad = next((one for one in names if not _NAME.fullmatch(one)), None)
        if bad is not None:
            raise ConfigError(f"{name}: {key}: not a usable name: {bad!r}")
    agents = {one.name for one in file.agent}
    for agent in file.agent:
        host, _ = parse_address(f"{name}: agent {agent.name}: address", agent.address)
        if file.tls is None and not host.startswith("127."):
            raise ConfigError(f"{name}: agent {agent.name}: address: beyond loopback tls is needed")
        if file.tls is not None and not (agent.cert and agent.key):
            raise ConfigError(f"{name}: agent {agent.name}: cert and key are needed with tls")
    for one in file.instance:
        if one.agent not in agents:
            raise ConfigError(f"{name}: instance {one.name}: agent: there is none called {one.agent!r}")
        if configs:
            env = {"GW_LISTEN": one.listen} if one.listen else {}
            load_instance(path.parent / one.config, env, path.parent / one.http2 if one.http2 else HTTP2_FILE)
    if file.first_build and fleet.build(file.first_build) is None:
        raise ConfigError(f"{name}: first_build: there is no build {file.first_build!r}")
    for build in file.build:
        if not (path.parent / build.path).is_dir():
            raise ConfigError(f"{name}: build {build.name}: path: no folder {build.path!r}")
    for operator in file.operator:
        if operator.role not in ("read", "operate"):
            raise ConfigError(f"{name}: operator {operator.name}: role is neither read nor operate")
    rules = file.rules
    for key in ("ready_within_s", "drain_within_s", "lease_s", "gossip_s", "suspect_phi", "dead_phi"):
        if not 0 < getattr(rules, key) < 3600:
            raise ConfigError(f"{name}: rules.{key} must lie between 0 and 3600")
    for key in ("down_share_hall", "down_share_fleet", "failed_share_most"):
        if not 0 <= getattr(rules, key) <= 1:
            raise ConfigError(f"{name}: rules.{key} must lie between 0 and 1")
    return fleet
