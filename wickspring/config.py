"""What one ingress runs on: its JSON file, the environment and the deployed files, checked together.

`load_instance` reads the JSON file that GW_CONFIG names, lets variables of the environment take precedence,
and adds `deploy/http2.toml`, `deploy/connections.toml` and `deploy/peers.toml`, which have a module each in
`wickspring/settings/`. `build_settings` is the one mapping from the names on the wire to the settings of the
decision module: the simulator's path=value lines and the nested JSON both go through it.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from wickspring import interface as api
from wickspring.connections.limits import ConnectionLimits
from wickspring.settings.address import parse_address
from wickspring.settings.connections_file import CONNECTIONS_FILE, load_connections
from wickspring.settings.errors import ConfigError
from wickspring.settings.http2_file import HTTP2_FILE, Http2, load_http2
from wickspring.settings.pairs import SettingPairs, flatten
from wickspring.settings.peers_file import PEERS_FILE, Peers, load_peers

MIN_SOCKETS = 32
MIN_TARGET_LATENCY_MS = 0.001
MS_PER_S = 1000.0

# By the words of the wire.
_EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}


class Limits(msgspec.Struct, frozen=True):
    """What the process may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class ListedServer(msgspec.Struct, frozen=True):
    """One ticket server as discovery describes it."""

    id: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    state: str = "up"
    weight: float = 1.0
    started_ms: float = 0.0


class Listing(msgspec.Struct, frozen=True):
    """A full list of ticket servers, or the changes since a version."""

    version: int = 0
    full: bool = True
    servers: tuple[ListedServer, ...] = ()


class InstanceFile(msgspec.Struct, frozen=True):
    """The JSON document at GW_CONFIG."""

    settings: dict[str, Any]
    name: str = "ingress"
    listen: str = ""
    discovery: str = ""
    counter: str = ""
    admin_addr: str = ""
    seed: str = "0"
    limits: Limits = Limits()
    known: Listing = Listing()


class Instance(msgspec.Struct, frozen=True):
    """All that one ingress runs on, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int]
    limits: Limits
    known: Listing
    settings: api.Settings
    http2: Http2
    connections: ConnectionLimits = ConnectionLimits()  # to ticket servers
    door: tuple[str, int] | None = None  # where its admin API listens
    folder: str = ""  # where this process may write, and hands over to its successor; empty: nowhere
    share_port: bool = False  # with the process that follows this one
    notify: str = ""  # path of the supervisor's socket, in the form of sd_notify(3)
    token: str = ""  # by which the supervisor knows this process
    tenants: Path | None = None  # the agent's copy of the directory, where there is one
    peers: Peers = Peers()


# The settings of the decision module.


def build_settings(pairs: Mapping[str, str], seed: int) -> api.Settings:
    """Map wire names to the settings type; unknown keys are skipped.

    Raises:
        ConfigError: a setting is missing or cannot be read; the message names it.
    """
    get = SettingPairs(pairs)
    return api.Settings(
        seed=seed,
        own_number=get.integer("SelfIndex"),
        gateways=get.integer("Siblings"),
        zone=get.integer("Zone"),
        classes=tuple(_request_class(get, f"Lanes.{index}") for index in range(get.integer("Lanes.count"))),
        plans=tuple(_plan(get, f"Packages.{index}") for index in range(get.integer("Packages.count"))),
        may_count=get.flag("Domain.MayCount"),
        count_timeout=get.number("Domain.CountLimit"),
        largest_units=get.number("Domain.Largest"),
        settles_later=get.flag("Domain.PostPaid"),
        meter_period=get.number("Domain.Metering"),
        may_probe=get.flag("Permissions.Probing"),
        may_cancel=get.flag("Permissions.Cancelling"),
        parallel_attempts=get.flag("Permissions.ParallelTries"),
        max_attempts=get.integer("Permissions.MaxAttempts"),
        list_on_request=get.text("Discovery") == "on_request",
        list_ask_within=get.number("Obligations.AskWithin"),
        answer_slack=get.number("Obligations.AnswerSlack"),
        drain_grace=get.number("Obligations.DrainGrace"),
        cold_capacity=get.number("Obligations.StartCapacity"),
        cold_time=get.number("Obligations.WarmWithin"),
        overload_factor=get.number("Obligations.OverloadFactor"),
        overload_time=get.number("Obligations.TipAfter"),
        tick=get.number("Tick"),
        load_fields=get.words("Telemetry.Fields"),
        marks_repeats=get.flag("Clients.MarksRetry", "false"),
        zones=get.words("Zones"),
        dial_timeout=get.number("Permissions.DialTimeout", 250.0),
        idle_close=get.number("Permissions.IdleClose", 30_000.0),
        streams_per_connection=get.integer("Permissions.StreamsPerConn", 100, 1),
    )


def _request_class(get: SettingPairs, path: str) -> api.ClassSettings:
    return api.ClassSettings(
        effect=_effect(get, f"{path}.Effect"),
        group=_group(get, f"{path}.Group"),
        repeat_window=get.number(f"{path}.Window"),
        target_latency=get.number(f"{path}.Promise", minimum=MIN_TARGET_LATENCY_MS),
        deadline=get.number(f"{path}.Deadline"),
        value=get.number(f"{path}.Worth"),
        late_value=get.number(f"{path}.LateWorth"),
        stream=get.flag(f"{path}.Stream"),
        name=get.pairs.get(f"{path}.Name", ""),
    )


def _plan(get: SettingPairs, path: str) -> api.PlanSettings:
    return api.PlanSettings(
        rate=get.number(f"{path}.UnitsPerS") / MS_PER_S,
        burst=get.number(f"{path}.PeakUnits"),
        max_in_flight=get.integer(f"{path}.MaxOut"),
        ceiling_rate=get.number(f"{path}.NeverOverRate") / MS_PER_S,
        ceiling_burst=get.number(f"{path}.NeverOverDepth"),
        ceiling_slack=get.number(f"{path}.HardSlack"),
        price=get.number(f"{path}.WorthFactor"),
        over_quota_value=get.number(f"{path}.ExtraWorth"),
        over_quota_cost=get.number(f"{path}.OverCost"),
        name=get.pairs.get(f"{path}.Name", ""),
    )


def _effect(get: SettingPairs, path: str) -> api.Effect:
    text = get.text(path)
    if text not in _EFFECTS:
        raise ConfigError(f"setting {path} is not known: {text!r}")
    return _EFFECTS[text]


def _group(get: SettingPairs, path: str) -> api.Group:
    try:
        return api.Group(get.pairs.get(path) or "all")
    except ValueError as error:
        raise ConfigError(f"setting {path} is not known: {get.pairs[path]!r}") from error


# The instance.


def load_instance(path: Path, env: Mapping[str, str], http2_path: Path = HTTP2_FILE) -> Instance:
    """Read and check all that one ingress needs; variables of `env` take precedence over the file.

    Raises:
        ConfigError: a file cannot be read, or a value not be used; the message names file or key.
    """
    file = _read_instance_file(path)
    seed = _parse_seed(file.seed)
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets must be {MIN_SOCKETS} or more: {file.limits.sockets}")
    settings = build_settings(flatten(file.settings), seed)
    _check_names(settings)
    door = env.get("GW_ADMIN_ADDR", file.admin_addr)
    share_port = env.get("GW_SHARE_PORT") == "1" or bool(door)
    peers = load_peers(Path(env.get("GW_PEERS") or PEERS_FILE))
    if peers.enabled:
        _check_shared_state(settings, share_port, env)
    return Instance(
        name=env.get("GW_NAME", file.name),
        listen=parse_address("listen", env.get("GW_LISTEN", file.listen), any_port=True),
        discovery=parse_address("discovery", env.get("GW_DISCOVERY", file.discovery)),
        counter=parse_address("counter", file.counter) if settings.may_count else ("", 0),
        limits=file.limits,
        known=file.known,
        settings=settings,
        http2=load_http2(http2_path),
        connections=load_connections(Path(env.get("GW_CONNECTIONS") or CONNECTIONS_FILE)),
        door=parse_address("admin_addr", door, any_port=True) if door else None,
        folder=env.get("TMPDIR", "") if share_port else "",
        share_port=share_port,
        notify=env.get("NOTIFY_SOCKET", ""),
        token=env.get("GW_TOKEN", ""),
        tenants=Path(env["GW_TENANTS"]) if env.get("GW_TENANTS") else None,
        peers=peers,
    )


def _read_instance_file(path: Path) -> InstanceFile:
    try:
        return msgspec.json.decode(path.read_bytes(), type=InstanceFile)
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path.name}: {error}") from error


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from error


def _check_names(settings: api.Settings) -> None:
    """Check that each request class and each plan has a name of its own."""
    for word, kinds in (("Lanes", settings.classes), ("Packages", settings.plans)):
        names = [kind.name for kind in kinds]
        if "" in names or len(set(names)) < len(names):
            raise ConfigError(f"setting {word}: every Name must be there, once")


def _check_shared_state(settings: api.Settings, share_port: bool, env: Mapping[str, str]) -> None:
    """Check what an ingress needs that shares state with others."""
    if settings.own_number >= max(1, settings.gateways):
        raise ConfigError("peers.toml: enabled: SelfIndex is not below Siblings, so no part is this one's")
    if share_port and not env.get("TMPDIR"):
        raise ConfigError("peers.toml: enabled: TMPDIR must be set where a port is shared with a successor")


def from_environment() -> Instance:
    """Load the instance that GW_CONFIG names; GW_HTTP2 may name another HTTP/2 file.

    Raises:
        ConfigError: as `load_instance`, or GW_CONFIG is not set.
    """
    return _load(os.environ)


def reread_environment() -> Instance:
    """Load it again after SIGHUP, without GW_DISCOVERY: it dates from the start, the file may have changed.

    Raises:
        ConfigError: as `load_instance`, or GW_CONFIG is not set.
    """
    return _load({key: value for key, value in os.environ.items() if key != "GW_DISCOVERY"})


def _load(env: Mapping[str, str]) -> Instance:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    return load_instance(Path(path), env, Path(env.get("GW_HTTP2", HTTP2_FILE)))
