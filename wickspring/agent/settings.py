"""The agent's file: its instances, the tenants' directory and how instances are restarted."""

from __future__ import annotations

from pathlib import Path

import msgspec

from wickspring.config import load_instance
from wickspring.settings.errors import ConfigError
from wickspring.settings.http2_file import HTTP2_FILE
from wickspring.settings.toml_file import read_toml

MAX_SECONDS = 3600
LDAP_SCHEMES = ("ldap://", "ldaps://")


class DirectoryFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `directory`: where the tenants are kept, and which attributes say what."""

    url: str
    base: str
    copy: str  # file that has the last good list of tenants
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
    """An entry of `instance`: one ingress that the agent manages."""

    name: str
    config: str
    listen: str = ""  # in place of the configuration's, so that instances may share one
    admin_addr: str = ""  # the same for the admin API
    http2: str = ""


class AgentFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; paths are relative to its folder."""

    control: str  # path of the socket on which the agent takes commands
    instance: tuple[InstanceEntry, ...]
    directory: DirectoryFile | None = None
    backoff_first_s: float = 0.5
    backoff_most_s: float = 30.0
    steady_s: float = 30.0  # an instance that was up for so long starts anew with the first back-off
    drain_s: float = 5.0  # after SIGTERM, before SIGKILL


class ManagedInstance(msgspec.Struct, frozen=True):
    """One instance of the agent's, checked."""

    name: str
    config: Path
    http2: Path
    listen: tuple[str, int]
    plans: frozenset[str]
    admin_address: tuple[str, int] | None = None  # of its admin API


class AgentSettings(msgspec.Struct, frozen=True):
    """The agent's file, checked, with the configuration of every instance."""

    file: AgentFile
    control: Path
    instances: tuple[ManagedInstance, ...]
    tenants_file: Path | None  # None where there is no directory
    password: str  # for the directory; empty: none


def load_agent(path: Path) -> AgentSettings:
    """Read and check the agent's file and all that it names.

    Raises:
        ConfigError: a file cannot be read, or a value not be used; the message names file or key.
    """
    file = read_toml(path, AgentFile)
    for key in ("backoff_first_s", "backoff_most_s", "steady_s", "drain_s"):
        if not 0 < getattr(file, key) < MAX_SECONDS:
            raise ConfigError(f"{path.name}: {key} must lie between 0 and {MAX_SECONDS}")
    folder = path.parent
    instances = tuple(_load_entry(folder, entry) for entry in file.instance)
    _check_unique(path.name, instances)
    tenants_file, password = None, ""
    if file.directory is not None:
        tenants_file = folder / file.directory.copy
        password = _load_password(folder, file.directory)
    return AgentSettings(file, folder / file.control, instances, tenants_file, password)


def _load_entry(folder: Path, entry: InstanceEntry) -> ManagedInstance:
    config = folder / entry.config
    http2 = folder / entry.http2 if entry.http2 else HTTP2_FILE
    env = {"GW_NAME": entry.name}
    if entry.listen:
        env["GW_LISTEN"] = entry.listen
    if entry.admin_addr:
        env["GW_ADMIN_ADDR"] = entry.admin_addr
    instance = load_instance(config, env, http2)
    plans = frozenset(plan.name for plan in instance.settings.plans)
    return ManagedInstance(entry.name, config, http2, instance.listen, plans, instance.door)


def _check_unique(file_name: str, instances: tuple[ManagedInstance, ...]) -> None:
    names = [one.name for one in instances]
    listen = [one.listen for one in instances]
    admin = [one.admin_address for one in instances if one.admin_address is not None]
    for key, values in (("name", names), ("listen", listen), ("admin_addr", admin)):
        if len(set(values)) < len(values):
            raise ConfigError(f"{file_name}: instance: two have the same {key}")


def _load_password(folder: Path, directory: DirectoryFile) -> str:
    """Check the directory's table, and read the password; empty where no file is named."""
    if not directory.url.startswith(LDAP_SCHEMES):
        raise ConfigError(f"directory.url is no ldap:// or ldaps:// address: {directory.url!r}")
    for key in ("page_size", "timeout_s", "refresh_s"):
        if getattr(directory, key) <= 0:
            raise ConfigError(f"directory.{key} must be above 0")
    if not directory.password_file:
        return ""
    try:
        return (folder / directory.password_file).read_text().strip()
    except OSError as error:
        raise ConfigError(f"directory.password_file cannot be read: {error.strerror}") from error
