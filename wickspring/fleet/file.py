"""The fleet's file: agents, instances, builds and rules, read and checked; messages name the key at fault.

It is apart from `wickspring.config`, which every ingress loads and which has no use for it.
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

MAX_RULE = 3600  # seconds, or the unit of phi
LOOPBACK_PREFIX = "127."
OPERATOR_ROLES = ("read", "operate")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_POSITIVE_RULES = ("ready_within_s", "drain_within_s", "lease_s", "gossip_s", "suspect_phi", "dead_phi")
_SHARE_RULES = ("down_share_hall", "down_share_fleet", "failed_share_most")


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
    python: str = ""  # default: that of the folder's .venv, or the agent's own


class FleetOperator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator, by the name in the certificate, and what it may do."""

    name: str
    role: str = "read"  # one of `OPERATOR_ROLES`


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
    overlap: bool = True  # whether a successor becomes ready before its predecessor is drained
    rules: Rules = Rules()
    operator: tuple[FleetOperator, ...] = ()
    tls: FleetTls | None = None
    backoff_first_s: float = 0.5
    backoff_most_s: float = 30.0
    steady_s: float = 30.0  # an instance that was up for so long starts anew with the first back-off


class Fleet(msgspec.Struct, frozen=True):
    """A fleet file, checked."""

    path: Path
    file: FleetFile

    @property
    def here(self) -> Path:
        """Return the folder that paths are taken from."""
        return self.path.parent

    def agent(self, name: str) -> FleetAgent:
        """Return an agent by name.

        Raises:
            ConfigError: the file names no agent of this name.
        """
        for agent in self.file.agent:
            if agent.name == name:
                return agent
        raise ConfigError(f"{self.path.name}: no agent is called {name}")

    def build(self, name: str) -> FleetBuild | None:
        """Return a build by name; None where the file names none of this name."""
        return next((build for build in self.file.build if build.name == name), None)

    def permit_issuers(self) -> dict[str, str]:
        """Return the agent that limits how many instances are down in each scope.

        It is the first by name: of a hall for the hall's scope, of all for the fleet's.
        """
        agents = sorted(self.file.agent, key=lambda agent: agent.name)
        permit_issuers = {FLEET: agents[0].name}
        for agent in agents:
            permit_issuers.setdefault(scope_of(agent.hall), agent.name)
        return permit_issuers


def load_fleet(path: Path, *, configs: bool = True) -> Fleet:
    """Read and check a fleet file; with `configs`, the configuration files of its instances as well.

    Raises:
        ConfigError: a file cannot be read, or a value not be used; the message names file and key.
    """
    fleet = Fleet(path, read_toml(path, FleetFile))
    _check_names(fleet)
    _check_agents(fleet)
    _check_instances(fleet, configs)
    _check_builds(fleet)
    _check_operators(fleet)
    _check_rules(fleet)
    return fleet


def _check_names(fleet: Fleet) -> None:
    file = fleet.file
    for key, names, required in (
        ("agent", [agent.name for agent in file.agent], True),
        ("instance", [instance.name for instance in file.instance], True),
        ("build", [build.name for build in file.build], True),
        ("operator", [operator.name for operator in file.operator], False),
    ):
        if len(set(names)) < len(names):
            raise ConfigError(f"{fleet.path.name}: {key}: two have the same name")
        if required and not names:
            raise ConfigError(f"{fleet.path.name}: {key}: there is none")
        bad = next((name for name in names if not _NAME.fullmatch(name)), None)
        if bad is not None:
            raise ConfigError(f"{fleet.path.name}: {key}: not a usable name: {bad!r}")


def _check_agents(fleet: Fleet) -> None:
    has_tls = fleet.file.tls is not None
    for agent in fleet.file.agent:
        place = f"{fleet.path.name}: agent {agent.name}"
        host, _ = parse_address(f"{place}: address", agent.address)
        if not has_tls and not host.startswith(LOOPBACK_PREFIX):
            raise ConfigError(f"{place}: address: beyond loopback tls is needed")
        if has_tls and not (agent.cert and agent.key):
            raise ConfigError(f"{place}: cert and key are needed with tls")


def _check_instances(fleet: Fleet, configs: bool) -> None:
    agents = {agent.name for agent in fleet.file.agent}
    for instance in fleet.file.instance:
        if instance.agent not in agents:
            raise ConfigError(
                f"{fleet.path.name}: instance {instance.name}: agent: there is none called {instance.agent!r}"
            )
        if configs:
            _check_config(fleet, instance)


def _check_config(fleet: Fleet, instance: FleetInstance) -> None:
    env = {"GW_LISTEN": instance.listen} if instance.listen else {}
    http2 = fleet.here / instance.http2 if instance.http2 else HTTP2_FILE
    load_instance(fleet.here / instance.config, env, http2)


def _check_builds(fleet: Fleet) -> None:
    first = fleet.file.first_build
    if first and fleet.build(first) is None:
        raise ConfigError(f"{fleet.path.name}: first_build: there is no build {first!r}")
    for build in fleet.file.build:
        if not (fleet.here / build.path).is_dir():
            raise ConfigError(f"{fleet.path.name}: build {build.name}: path: no folder {build.path!r}")


def _check_operators(fleet: Fleet) -> None:
    for operator in fleet.file.operator:
        if operator.role not in OPERATOR_ROLES:
            raise ConfigError(
                f"{fleet.path.name}: operator {operator.name}: role is neither read nor operate"
            )


def _check_rules(fleet: Fleet) -> None:
    rules = fleet.file.rules
    for key in _POSITIVE_RULES:
        if not 0 < getattr(rules, key) < MAX_RULE:
            raise ConfigError(f"{fleet.path.name}: rules.{key} must lie between 0 and {MAX_RULE}")
    for key in _SHARE_RULES:
        if not 0 <= getattr(rules, key) <= 1:
            raise ConfigError(f"{fleet.path.name}: rules.{key} must lie between 0 and 1")
