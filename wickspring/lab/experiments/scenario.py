"""Scenarios: which site is emulated, which load it gets, and which faults happen when.

A scenario is a TOML file; the shipped ones are in `scenarios/`. Times are seconds or milliseconds, as each
key's suffix says. An error in a file is reported with the key at fault.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Literal

import msgspec

from wickspring.connections.limits import ConnectionLimits
from wickspring.lab.emulation.shape import Shape, ShapeError
from wickspring.lab.emulation.shape import load as load_shape
from wickspring.settings.errors import ConfigError
from wickspring.settings.peers_file import Bounds
from wickspring.settings.toml_file import decode_toml

SHIPPED = Path(__file__).parents[1] / "scenarios"


class FaultKind(StrEnum):
    """A kind of fault at servers, the counter, discovery or ingresses, as scenario files name it."""

    RESET_ALL = "reset-all"
    RESTART = "restart"
    SLOW = "slow"
    DRAIN = "drain"
    HALF_OPEN = "half-open"
    ACCEPT_SILENT = "accept-silent"
    SPOILT = "spoilt"
    FAILING = "failing"
    REPLACE = "replace"
    COUNTER_SILENT = "counter-silent"
    COUNTER_SLOW = "counter-slow"
    COUNTER_SPOILT = "counter-spoilt"
    COUNTER_FLUSH = "counter-flush"
    DISCOVERY_SILENT = "discovery-silent"
    INGRESS_CRASH = "ingress-crash"
    INGRESS_PAUSED = "ingress-paused"
    INGRESS_THROTTLED = "ingress-throttled"
    HALL_LOST = "hall-lost"


class ScenarioError(ValueError):
    """A scenario that cannot be used; the message names the file and the key."""


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ticket servers."""

    count: int = 8
    cores: int = 2
    halls: int = 3
    queue: int = 40  # requests that may wait for a core
    table: int = 0  # connections that one holds before it refuses more; 0: any number
    open_ms: float = 1.0  # of core time that a new connection costs
    cold_share: float = 0.2
    warm_s: float = 18.0
    idle_close_ms: float = 30_000.0  # after which an idle connection is closed; part of the settings
    hop_ms: float = 0.0  # one way, between gateway and server


class Closing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the ticket servers end connections that have just answered, or stand idle."""

    mode: Literal["never", "fixed", "random", "race", "at-write", "silent"] = "never"
    share: float = 0.2  # of the answers after which it happens; of the writes for `at-write`
    within_ms: float = 30.0  # fixed: idle time; random: mean of it; race: at most; silent: idle time


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The clients and their load."""

    rate: float = 200.0  # requests a second, without retries
    firms: int = 60
    heavy: float = 0.0  # share of the firms that send `heavy_x` times their quota
    heavy_x: float = 3.0
    most_units: int = 4  # of a request
    retry: Literal["never", "at-once", "advised"] = "never"
    work_ms: tuple[float, float, float] = (40.0, 60.0, 60.0)  # mean, by class
    quota_x: float = 4.0  # all quotas together, over what the other firms send
    skew: float = 0.0  # of a firm's requests over its ingresses; 0: even, 1: one has most
    shift_s: float = 0.0  # after which a firm's busiest ingress is another; 0: never


class Counter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The quota counter."""

    ms: float = 0.5  # that a call takes
    per_s: float = 2000.0  # calls


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The list of ticket servers."""

    late_ms: float = 500.0  # from a change until it is announced


class Ingresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The gateways."""

    count: int = 1
    sockets: int = 256
    memory_mb: float = 64.0
    connections: ConnectionLimits = ConnectionLimits()  # as deploy/connections.toml has them


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault of servers, the counter, discovery or ingresses."""

    at_s: float
    kind: FaultKind
    for_s: float = 1.0
    servers: tuple[int, ...] = ()  # none: all
    # slow, counter-slow, ingress-throttled: times; spoilt, failing: share of answers; flush: of counts
    size: float = 1.0
    ingresses: tuple[int, ...] = ()  # ingress-crash: which; none: every second one
    hall: int = 0  # hall-lost: which; its ingresses go with it


class NetFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault of the network between parties: ingresses, the counter, discovery.

    Parties are named by all, hall:N, not-hall:N, half:0, half:1, nN, counter, discovery.
    """

    at_s: float
    kind: Literal["cut", "delay", "reset", "throttle", "half"]
    source: tuple[str, ...]
    target: tuple[str, ...] = ("all",)
    for_s: float = 1.0
    one_way: bool = False  # from source to target alone
    ms: float = 0.0  # delay
    jitter_ms: float = 0.0
    bytes_s: float = 1e9  # throttle
    times: int = 1  # that it happens
    off_s: float = 1.0  # between two of these


class PeersPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The exchange of state between ingresses."""

    enabled: bool = False
    round_s: float = 0.5
    counts: bool = True
    judgements: bool = True
    budgets: Bounds = Bounds()
    liars: tuple[int, ...] = ()  # ingresses that report every ticket server as failing


class HotKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All requests of some firms go through one ingress of their set."""

    at_s: float
    for_s: float
    share: float = 0.2  # of the firms


class HotCaller(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One firm sends far more than its quota."""

    at_s: float
    for_s: float
    load: float = 0.5  # additional requests, as a share of all


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's command to the fleet."""

    at_s: float
    words: tuple[str, ...]  # arguments after `fleet`, such as drain hall=hall-a


class AgentFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent that is killed, and started again after a time."""

    at_s: float
    agent: int
    for_s: float = 3.0


class InstanceFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An instance whose process is killed outright."""

    at_s: float
    instance: int


class FleetPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet in place of single gateways: instances distributed over agents, one agent a hall."""

    agents: int = 3
    hold_s: float = 1.0
    ready_within_s: float = 10.0
    overlap: bool = True
    bad: Literal["", "never-ready", "fails"] = ""  # defect of build 2
    command: tuple[Command, ...] = ()
    kill: tuple[AgentFault, ...] = ()
    lose: tuple[InstanceFault, ...] = ()
    extra_s: float = 40.0  # after the load, for commands that are not done yet


class Virtual(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of runs in virtual time."""

    bounded: bool = True  # False: without limits on dials, for comparison
    subset: int = 0  # servers that each gateway knows; 0: all
    reset_hold_ms: float = 200.0  # over which the connections break after a reset of all


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete scenario."""

    name: str
    about: str
    seconds: float = 20.0
    kind: Literal["sockets", "virtual", "fleet", "virtual-fleet", "virtual-peers"] = "sockets"
    servers: Servers = Servers()
    closing: Closing = Closing()
    clients: Clients = Clients()
    counter: Counter = Counter()
    discovery: Discovery = Discovery()
    ingresses: Ingresses = Ingresses()
    virtual: Virtual = Virtual()
    fleet: FleetPart | None = None
    fault: tuple[Fault, ...] = ()
    net: tuple[NetFault, ...] = ()
    peers: PeersPart = PeersPart()
    hot_key: tuple[HotKey, ...] = ()
    hot_caller: tuple[HotCaller, ...] = ()
    site: str = "helpdesk"  # the shape: shipped, or a file

    @property
    def shape(self) -> Shape:
        """Return the shape of the site."""
        return load_shape(self.site)


def shipped() -> dict[str, Path]:
    """Return the shipped scenarios by name."""
    return {path.stem: path for path in sorted(SHIPPED.glob("*.toml"))}


def load(source: str, site: str = "") -> Scenario:
    """Read a shipped scenario by its name, or a TOML file by its path; `site` replaces the scenario's own.

    Raises ScenarioError.
    """
    path = shipped().get(source) or Path(source)
    try:
        text = path.read_text()
    except OSError as error:
        raise ScenarioError(f"{source} is no shipped scenario and no file: {error.strerror}") from error
    return parse(text, path.name, site)


def parse(text: str, file: str, site: str = "") -> Scenario:
    """Parse and check the text of a scenario, for its own site or another.

    Raises ScenarioError with the key at fault.
    """
    try:
        scenario = decode_toml(file, text, Scenario)
    except ConfigError as error:
        raise ScenarioError(str(error)) from error
    if site:
        scenario = msgspec.structs.replace(scenario, site=site)
    try:
        scenario = _shaped(scenario, scenario.shape)
    except ShapeError as error:
        raise ScenarioError(str(error)) from error
    # Here, because the checks import the types of this module.
    from wickspring.lab.experiments.scenario_checks import check_scenario

    check_scenario(scenario, file)
    return scenario


def party(scenario: Scenario, name: str) -> list[str]:
    """Return the processes of a party of a network fault; none for an unknown name."""
    kind, _, rest = name.partition(":")
    count, halls = scenario.ingresses.count, scenario.servers.halls
    everyone = [f"n{number}" for number in range(count)]
    if kind in ("hall", "not-hall", "half"):
        if not rest.isdigit() or int(rest) >= (2 if kind == "half" else halls):
            return []
        if kind == "half":
            return [one for n, one in enumerate(everyone) if (2 * n >= count) == (int(rest) == 1)]
        return [one for n, one in enumerate(everyone) if (n % halls == int(rest)) == (kind == "hall")]
    if name == "all":
        return everyone
    return [name] if name in ("counter", "discovery", *everyone) else []


def parties(scenario: Scenario, names: tuple[str, ...]) -> list[str]:
    """Return the processes of several parties of a network fault."""
    return [process for name in names for process in party(scenario, name)]


def _shaped(scenario: Scenario, shape: Shape) -> Scenario:
    """Apply the servers' settings of the site's shape."""
    values = {"halls": shape.halls, "cold_share": shape.cold_share, "warm_s": shape.warm_s}
    changes = {key: value for key, value in values.items() if value}
    return msgspec.structs.replace(scenario, servers=msgspec.structs.replace(scenario.servers, **changes))
