"""The settings file that a process is started with: lines `a.b=value`, lists joined by commas.

A field that is not known is passed over, so that later files can be read; a known one that cannot be read is
named. `lines` reads the file with a library for its format; here it is checked by type with msgspec.
"""

from __future__ import annotations

from typing import Any

import msgspec

from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.settings_file import Address as Address
from wickspring.common.settings_file import parse_address as parse_address
from wickspring.common.settings_file import parse_lines

_LISTS = frozenset({"serves", "seed_addrs", "in_force"})
CONFIG_MODE = "highest"  # whichever version is highest holds: the only rule that the core knows


class Bind(msgspec.Struct, frozen=True):
    """Addresses to listen on for what the role serves; empty where it does not."""

    front_http: str = ""
    ready_addr: str = ""
    control_addr: str = ""


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives: cores, MB, descriptors."""

    cpu_share: float = 1.0
    memory_mb: float = 256.0
    max_fds: int = 1024
    disk_mb: float = 0.0


class ToleratedLosses(msgspec.Struct, frozen=True):
    """What may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class Guarantees(msgspec.Struct, frozen=True):
    """Bounds of the rules, in seconds unless the name says otherwise."""

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
    """All that a process is told when it starts."""

    node_name: str
    ip: str
    zone: str
    port_range: str
    seed_addrs: list[str]
    serves: list[str] = []
    bind: Bind = Bind()
    region: str = ""
    zones: dict[str, str] = {}  # the region of each zone
    is_first_start: bool = False
    counts_loss: bool = False
    limits: Limits = Limits()
    data_dir: str = ""
    heartbeat_s: float = 1.5
    config_mode: str = CONFIG_MODE
    tolerates: ToleratedLosses = ToleratedLosses()
    guarantees: Guarantees = Guarantees()

    @property
    def talk_port(self) -> int:
        """The port on which the system's own processes talk; the same on all machines."""
        return int(self.port_range.split(",")[0])

    def seed_ips(self) -> list[str]:
        """Return the IPs of the seeds, in order and each once."""
        return sorted({seed.rpartition(":")[0] for seed in self.seed_addrs})


def parse_settings(text: str) -> NodeSettings:
    """Read the text of a settings file; `GatewayError` names the field at fault."""
    tree: dict[str, Any] = {}
    for name, value in parse_lines(text).items():
        *path, last = name.split(".")
        at = tree
        for step in path:
            below = at.setdefault(step, {})
            if not isinstance(below, dict):
                raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, f"{name}: {step} is a value already"))
            at = below
        at[last] = [one for one in value.split(",") if one] if name in _LISTS else value
    try:
        settings = msgspec.convert(tree, NodeSettings, strict=False)
        for text in (
            settings.bind.front_http,
            settings.bind.ready_addr,
            settings.bind.control_addr,
            *settings.seed_addrs,
        ):
            if text:
                parse_address(text)
        if not 0 < settings.talk_port < 65536:
            raise ValueError("port_range: not a port")
        if settings.config_mode != CONFIG_MODE:
            raise ValueError(f"config_mode: {settings.config_mode!r} is not known, only {CONFIG_MODE!r}")
    except (msgspec.ValidationError, ValueError) as error:
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, str(error))) from error
    return settings
