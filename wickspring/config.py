"""The one place where configuration is read, checked and given defaults.

Three sources come together here: the JSON file named by GW_CONFIG, the environment, and
`deploy/http2.toml`. The settings of the decision module have one mapping from their wire names,
`build_settings`; the simulator's path=value lines and the nested JSON both end in it.
Every message names the key at fault.
"""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from wickspring import interface as api
from wickspring.connections.limits import ConnectionLimits

EFFECT = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
DEPLOY = Path(__file__).parent.parent / "deploy"
HTTP2_FILE, CONNECTIONS_FILE = DEPLOY / "http2.toml", DEPLOY / "connections.toml"
PEERS_FILE = DEPLOY / "peers.toml"


T = TypeVar("T")


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the key."""


def decode_toml(name: str, text: str, kind: type[T]) -> T:
    """Read TOML of a kind; the error says where, by this name."""
    try:
        return msgspec.convert(tomllib.loads(text), kind)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigError(f"{name}: {error}") from error


def read_toml(path: Path, kind: type[T]) -> T:
    """Read a TOML file of a kind."""
    try:
        text = path.read_text()
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path.name}: {error}") from error
    return decode_toml(path.name, text, kind)


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


class Http2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The second front and HTTP/2 to ticket servers, as `deploy/http2.toml` sets them."""

    enabled: bool = False
    listen: str = "127.0.0.1:0"
    servers: tuple[str, ...] = ()  # ids of ticket servers that speak HTTP/2; "*" for all


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The budgets of `deploy/peers.toml`, over all ingresses together; 0: not bounded so."""

    retries_per_s: int = 0  # attempts beyond the first of each request
    probes_per_s: int = 0
    dials_per_server_s: int = 0  # at one ticket server
    cold_attempts: int = 0  # to one cold ticket server, in its falling window
    capped_plans: bool = True  # attempts out at once for a plan that caps them, by rights, not by estimates
    lease_s: float = 5.0  # that lent rights are held at most; two holds of a budget where that is less

    def faults(self) -> str:
        """Name the first key whose value makes no sense, or nothing."""
        for key in ("retries_per_s", "probes_per_s", "dials_per_server_s", "cold_attempts"):
            if not 0 <= getattr(self, key) <= 100_000:
                return f"{key} must lie between 0 and 100000"
        return "" if 0.5 <= self.lease_s <= 60.0 else "lease_s must lie between 0.5 and 60"


class PeerKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate, key and authority for links between ingresses; paths from the file's folder."""

    ca: str
    cert: str
    key: str


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The talk between ingresses, as `deploy/peers.toml` sets it."""

    enabled: bool = False
    listen: str = "127.0.0.1:0"
    advertise: str = ""  # address told to the others; empty: the one listened at
    seeds: tuple[str, ...] = ()  # addresses of ingresses, of which one that is up is enough
    hall: str = ""  # empty: the zone of the settings
    round_s: float = 0.5  # between two rounds of talk
    bytes_s: int = 4000  # sent at most, in the mean
    counts: bool = True  # units sent on are told
    judgements: bool = True  # ticket servers that fail are told, and heeded
    hearsay_share: float = 0.34  # of the ticket servers that hearsay may have avoided at most
    account: str = ""  # file to which every right spent is written, for audits; empty: none
    budgets: Bounds = Bounds()
    route: dict[str, str] = {}  # ingresses by name that are reached at another address than they tell
    tls: PeerKeys | None = None
    folder: str = ""  # of this file

    def faults(self) -> str:
        """Name the first key whose value makes no sense, or nothing."""
        if not 0.05 <= self.round_s <= 10.0:
            return "round_s must lie between 0.05 and 10"
        if not 500 <= self.bytes_s <= 10_000_000:
            return "bytes_s must lie between 500 and 10000000"
        if not 0.0 <= self.hearsay_share <= 1.0:
            return "hearsay_share must lie between 0 and 1"
        host = self.listen.rpartition(":")[0]
        if self.tls is None and not host.startswith("127."):
            return "tls must be set where listen is not on loopback"
        fault = self.budgets.faults()
        return f"budgets.{fault}" if fault else ""


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
    door: tuple[str, int] | None = None  # where operators call
    folder: str = ""  # where this process may write, and meets the one that follows it; empty: nowhere
    share_port: bool = False  # with the process that follows this one
    notify: str = ""  # path of the supervisor's socket, in the form of sd_notify
    token: str = ""  # by which the supervisor knows this process
    tenants: Path | None = None  # the agent's copy of the directory, where there is one
    peers: Peers = Peers()


def parse_address(key: str, text: str, *, any_port: bool = False) -> tuple[str, int]:
    """Read `host:port`; the error names `key`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ConfigError(f"{key} is not host:port: {text!r}")
    number = int(port)
    if number > 65535 or (number == 0 and not any_port):
        raise ConfigError(f"{key} has no usable port: {text!r}")
    return host, number


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Turn nested JSON settings into the path=value pairs of the simulator's wire."""
    if isinstance(value, Mapping):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs.update(flatten(inner, f"{path}.{key}" if path else str(key)))
        return pairs
    if isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        pairs = {f"{path}.count": str(len(value))}
        for index, item in enumerate(value):
            pairs.update(flatten(item, f"{path}.{index}"))
        return pairs
    if isinstance(value, list):
        return {path: ",".join(flatten(item, path)[path] for item in value)}
    if isinstance(value, bool):
        return {path: "true" if value else "false"}
    return {path: "" if value is None else str(value)}


class _Pairs:
    """Typed reading of path=value pairs."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, key: str) -> str:
        if key not in self.pairs:
            raise ConfigError(f"missing setting {key}")
        return self.pairs[key]

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        if default is not None and key not in self.pairs:
            return default
        text = self.text(key)
        try:
            value = float(text)
        except ValueError as error:
            raise ConfigError(f"setting {key} is not a number: {text!r}") from error
        if not math.isfinite(value) or value < least:
            raise ConfigError(f"setting {key} must be a number from {least:g} up: {text!r}")
        return value

    def whole(self, key: str, default: int | None = None, least: int = 0) -> int:
        value = self.number(key, default, least)
        if value != int(value):
            raise ConfigError(f"setting {key} is not a whole number: {self.pairs[key]!r}")
        return int(value)

    def flag(self, key: str, default: str | None = None) -> bool:
        text = self.text(key) if default is None else self.pairs.get(key, default)
        if text.lower() not in ("true", "false", "1", "0"):
            raise ConfigError(f"setting {key} is neither true nor false: {text!r}")
        return text.lower() in ("true", "1")

    def words(self, key: str) -> tuple[str, ...]:
        return tuple(word for word in self.pairs.get(key, "").split(",") if word)

    def effect(self, key: str) -> api.Effect:
        if self.text(key) not in EFFECT:
            raise ConfigError(f"setting {key} is not known: {self.pairs[key]!r}")
        return EFFECT[self.pairs[key]]

    def group(self, key: str) -> api.Group:
        try:
            return api.Group(self.pairs.get(key) or "all")
        except ValueError as error:
            raise ConfigError(f"setting {key} is not known: {self.pairs[key]!r}") from error


def _class(get: _Pairs, at: str) -> api.ClassSettings:
    return api.ClassSettings(
        effect=get.effect(f"{at}.Effect"),
        group=get.group(f"{at}.Group"),
        repeat_window=get.number(f"{at}.Window"),
        target_latency=get.number(f"{at}.Promise", least=0.001),
        deadline=get.number(f"{at}.Deadline"),
        value=get.number(f"{at}.Worth"),
        late_value=get.number(f"{at}.LateWorth"),
        stream=get.flag(f"{at}.Stream"),
        name=get.pairs.get(f"{at}.Name", ""),
    )


def _plan(get: _Pairs, at: str) -> api.PlanSettings:
    return api.PlanSettings(
        rate=get.number(f"{at}.UnitsPerS") / 1000.0,  # the wire says units a second; inside, all is in ms
        burst=get.number(f"{at}.PeakUnits"),
        most_open=get.whole(f"{at}.MaxOut"),
        ceiling_rate=get.number(f"{at}.NeverOverRate") / 1000.0,
        ceiling_burst=get.number(f"{at}.NeverOverDepth"),
        ceiling_slack=get.number(f"{at}.HardSlack"),
        price=get.number(f"{at}.WorthFactor"),
        over_quota_value=get.number(f"{at}.ExtraWorth"),
        over_quota_cost=get.number(f"{at}.OverCost"),
        name=get.pairs.get(f"{at}.Name", ""),
    )


def build_settings(pairs: Mapping[str, str], seed: int) -> api.Settings:
    """Map wire names to the settings type; unknown keys are skipped, a missing one is named."""
    get = _Pairs(pairs)
    return api.Settings(
        seed=seed,
        own_number=get.whole("SelfIndex"),
        gateways=get.whole("Siblings"),
        zone=get.whole("Zone"),
        classes=tuple(_class(get, f"Lanes.{i}") for i in range(get.whole("Lanes.count"))),
        plans=tuple(_plan(get, f"Packages.{i}") for i in range(get.whole("Packages.count"))),
        may_count=get.flag("Domain.MayCount"),
        count_timeout=get.number("Domain.CountLimit"),
        largest_units=get.number("Domain.Largest"),
        settles_later=get.flag("Domain.PostPaid"),
        meter_period=get.number("Domain.Metering"),
        may_probe=get.flag("Permissions.Probing"),
        may_cancel=get.flag("Permissions.Cancelling"),
        parallel_attempts=get.flag("Permissions.ParallelTries"),
        most_attempts=get.whole("Permissions.MaxAttempts"),
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
        streams_per_connection=get.whole("Permissions.StreamsPerConn", 100, 1),
    )


def load_http2(path: Path) -> Http2:
    """Read the file that says where the HTTP/2 front listens; without a file it is off."""
    if not path.exists():
        return Http2()
    http2 = read_toml(path, Http2)
    parse_address(f"{path.name}: listen", http2.listen, any_port=True)
    return http2


def load_connections(path: Path) -> ConnectionLimits:
    """Read the file that bounds connections to ticket servers; without a file the defaults hold."""
    if not path.exists():
        return ConnectionLimits()
    limits = read_toml(path, ConnectionLimits)
    fault = limits.faults()
    if fault:
        raise ConfigError(f"{path.name}: {fault}")
    return limits


def load_peers(path: Path) -> Peers:
    """Read the file that says how ingresses talk; without a file, or as deployed, they do not."""
    if not path.exists():
        return Peers()
    peers, name = read_toml(path, Peers), path.name
    places = [("listen", peers.listen), ("advertise", peers.advertise or peers.listen)]
    places += [("seeds", seed) for seed in peers.seeds]
    places += [(f"route.{to}", place) for to, place in peers.route.items()]
    for key, place in places:
        parse_address(f"{name}: {key}", place, any_port=key in ("listen", "advertise"))
    fault = peers.faults()
    if fault:
        raise ConfigError(f"{name}: {fault}")
    for key in ("ca", "cert", "key") if peers.tls is not None else ():
        if not (path.parent / getattr(peers.tls, key)).is_file():
            raise ConfigError(f"{name}: tls.{key}: no file {getattr(peers.tls, key)!r}")
    return msgspec.structs.replace(peers, folder=str(path.parent))


def load_instance(path: Path, env: Mapping[str, str], http2_path: Path = HTTP2_FILE) -> Instance:
    """Read and check all that one ingress needs; the environment wins over the file."""
    try:
        file = msgspec.json.decode(path.read_bytes(), type=InstanceFile)
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path.name}: {error}") from error
    try:
        seed = int(file.seed, 16)
    except ValueError as error:
        raise ConfigError(f"seed is not a hexadecimal number: {file.seed!r}") from error
    if file.limits.sockets < 32:
        raise ConfigError(f"limits.sockets must be 32 or more: {file.limits.sockets}")
    settings = build_settings(flatten(file.settings), seed)
    for word, kinds in (("Lanes", settings.classes), ("Packages", settings.plans)):
        names = [kind.name for kind in kinds]
        if "" in names or len(set(names)) < len(names):
            raise ConfigError(f"setting {word}: every Name must be there, once")
    door = env.get("GW_ADMIN_ADDR", file.admin_addr)
    share_port = env.get("GW_SHARE_PORT") == "1" or bool(door)
    peers = load_peers(Path(env.get("GW_PEERS") or PEERS_FILE))
    if peers.enabled and settings.own_number >= max(1, settings.gateways):
        raise ConfigError("peers.toml: enabled: SelfIndex is not below Siblings, so no part is this one's")
    if peers.enabled and share_port and not env.get("TMPDIR"):
        raise ConfigError("peers.toml: enabled: TMPDIR must be set where a port is shared with a successor")
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


def from_environment() -> Instance:
    """Load the instance that GW_CONFIG names; GW_HTTP2 may name another HTTP/2 file."""
    return _load(os.environ)


def reread_environment() -> Instance:
    """Load it again after SIGHUP: GW_DISCOVERY dates from the start, the file may name another place."""
    return _load({key: value for key, value in os.environ.items() if key != "GW_DISCOVERY"})


def _load(env: Mapping[str, str]) -> Instance:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    return load_instance(Path(path), env, Path(env.get("GW_HTTP2", HTTP2_FILE)))


# The agent's file.


class DirectoryFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the tenants are kept, and which attributes say what."""

    url: str
    base: str
    copy: str  # the last good copy is kept in this file
    filter: str = "(objectClass=organization)"
    customer: str = "uid"
    plan: str = "businessCategory"
    name: str = "o"
    bind_dn: str = ""
    password_file: str = ""
    start_tls: bool = False
    page_size: int = 500
    timeout_s: int = 5  # whole seconds: the client library takes no others
    refresh_s: float = 60.0


class InstanceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One ingress that the agent manages."""

    name: str
    config: str
    listen: str = ""  # in place of the configuration's, so that instances may share one
    admin_addr: str = ""  # the same for the operators' door
    http2: str = ""


class AgentFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one agent manages; paths are taken from the file's own folder."""

    control: str  # path of the socket on which the agent takes commands
    instance: tuple[InstanceEntry, ...]
    directory: DirectoryFile | None = None
    backoff_first_s: float = 0.5
    backoff_most_s: float = 30.0
    steady_s: float = 30.0  # up for so long, an instance has its failures forgiven
    drain_s: float = 5.0  # after SIGTERM, before SIGKILL


class Managed(msgspec.Struct, frozen=True):
    """One instance of the agent's, checked."""

    name: str
    config: Path
    http2: Path
    listen: tuple[str, int]
    plans: frozenset[str]
    door: tuple[str, int] | None = None


class Agent(msgspec.Struct, frozen=True):
    """The agent's file, checked, with the configuration of every instance."""

    file: AgentFile
    control: Path
    instances: tuple[Managed, ...]
    copy: Path | None
    password: str


def load_agent(path: Path) -> Agent:
    """Read and check the agent's file and all that it names."""
    file = read_toml(path, AgentFile)
    for key in ("backoff_first_s", "backoff_most_s", "steady_s", "drain_s"):
        if not 0 < getattr(file, key) < 3600:
            raise ConfigError(f"{path.name}: {key} must lie between 0 and 3600")
    here, managed = path.parent, []
    for entry in file.instance:
        config, http2 = here / entry.config, here / entry.http2 if entry.http2 else HTTP2_FILE
        env = {"GW_NAME": entry.name}
        env.update({"GW_LISTEN": entry.listen} if entry.listen else {})
        env.update({"GW_ADMIN_ADDR": entry.admin_addr} if entry.admin_addr else {})
        instance = load_instance(config, env, http2)
        plans = frozenset(plan.name for plan in instance.settings.plans)
        managed.append(Managed(entry.name, config, http2, instance.listen, plans, instance.door))
    doors = [m.door for m in managed if m.door is not None]
    names, places = [m.name for m in managed], [m.listen for m in managed]
    for key, values in (("name", names), ("listen", places), ("admin_addr", doors)):
        if len(set(values)) < len(values):
            raise ConfigError(f"{path.name}: instance: two have the same {key}")
    copy, password = None, ""
    if file.directory is not None:
        copy, password = here / file.directory.copy, _password(here, file.directory)
    return Agent(file, here / file.control, tuple(managed), copy, password)


def _password(here: Path, directory: DirectoryFile) -> str:
    if not directory.url.startswith(("ldap://", "ldaps://")):
        raise ConfigError(f"directory.url is no ldap:// or ldaps:// address: {directory.url!r}")
    for key in ("page_size", "timeout_s", "refresh_s"):
        if getattr(directory, key) <= 0:
            raise ConfigError(f"directory.{key} must be above 0")
    if not directory.password_file:
        return ""
    try:
        return (here / directory.password_file).read_text().strip()
    except OSError as error:
        raise ConfigError(f"directory.password_file cannot be read: {error.strerror}") from error
