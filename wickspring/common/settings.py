"""The settings that a process is started with: lines `a.b=value`, lists joined by commas.

`settings_file` reads the lines; here msgspec checks the values by type. Unknown fields are ignored, so that
files for later versions can be read; the error for a known field that cannot be used names it. Names of
fields are fixed by the file; a field that is a list is also named in `_LIST_FIELDS`.
"""

from __future__ import annotations

from typing import TypeAlias, Union

import msgspec

from wickspring.common.errors import settings_error
from wickspring.common.settings_file import MAX_PORT, parse_lines
from wickspring.common.settings_file import Address as Address
from wickspring.common.settings_file import parse_address as parse_address

_LIST_FIELDS = frozenset({"serves", "seed_addrs", "in_force"})
SettingsTree: TypeAlias = dict[str, Union[str, list[str], "SettingsTree"]]  # values by the parts of names
CONFIG_MODE = "highest"  # the highest version is in force: the only rule that the control plane knows


class Bind(msgspec.Struct, frozen=True):
    """Addresses (IP:port) to listen on; empty for what the process does not serve."""

    front_http: str = ""
    ready_addr: str = ""
    control_addr: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Resources of the machine that the process may use."""

    cpu_share: float = 1.0  # cores
    memory_mb: float = 256.0
    max_fds: int = 1024  # file descriptors
    disk_mb: float = 0.0


class ToleratedLosses(msgspec.Struct, frozen=True):
    """How many of each may fail at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class Guarantees(msgspec.Struct, frozen=True):
    """What the gateway promises, with the limits it is measured by."""

    seed_lag_s: float = 3.0
    contact_s: float = 3.0
    ack_s: float = 5.0
    catch_up_s: float = 4.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    recovery_s: float = 15.0


class NodeSettings(msgspec.Struct, frozen=True):
    """All settings of a process."""

    node_name: str
    ip: str
    zone: str
    port_range: str
    seed_addrs: list[str]
    serves: list[str] = []
    bind: Bind = Bind()
    region: str = ""
    zones: dict[str, str] = {}  # the region of each zone
    is_first_start: bool = False  # of the whole system: nothing can be on any disk yet
    counts_loss: bool = False
    limits: Limits = Limits()
    data_dir: str = ""
    heartbeat_s: float = 1.5
    config_mode: str = CONFIG_MODE
    tolerates: ToleratedLosses = ToleratedLosses()
    guarantees: Guarantees = Guarantees()

    @property
    def peer_port(self) -> int:
        """The port for connections between processes of the system; the same on all machines."""
        return int(self.port_range.split(",")[0])

    def seed_ips(self) -> list[str]:
        """Return the IPs of the seeds, sorted and without duplicates."""
        return sorted({seed.rpartition(":")[0] for seed in self.seed_addrs})


def parse_settings(text: str) -> NodeSettings:
    """Parse and check the text of a settings file.

    Raises:
        GatewayError: a field is missing or cannot be used; the message names it.
    """
    tree = _tree(parse_lines(text))
    try:
        settings = msgspec.convert(tree, NodeSettings, strict=False)
        _check(settings)
    except (msgspec.ValidationError, ValueError) as error:
        raise settings_error(str(error)) from error
    return settings


def _tree(lines: dict[str, str]) -> SettingsTree:
    """Return nested dictionaries for the dotted names, and lists for the fields that have them."""
    tree: SettingsTree = {}
    for name, value in lines.items():
        *path, field = name.split(".")
        branch = tree
        for step in path:
            below = branch.setdefault(step, {})
            if not isinstance(below, dict):
                raise settings_error(f"{name}: {step} is a value already")
            branch = below
        branch[field] = _list_items(value) if name in _LIST_FIELDS else value
    return tree


def _list_items(value: str) -> list[str]:
    return [item for item in value.split(",") if item]


def _check(settings: NodeSettings) -> None:
    """Check what types do not say; ValueError or GatewayError names the field or the value."""
    bind = settings.bind
    for address in (bind.front_http, bind.ready_addr, bind.control_addr, *settings.seed_addrs):
        if address:
            parse_address(address)
    if not 0 < settings.peer_port <= MAX_PORT:
        raise ValueError("port_range: not a port")
    if settings.config_mode != CONFIG_MODE:
        raise ValueError(f"config_mode: {settings.config_mode!r} is not known, only {CONFIG_MODE!r}")
