"""`deploy/connections.toml`: limits on an ingress's connections to ticket servers."""

from __future__ import annotations

from pathlib import Path

from wickspring.connections.limits import ConnectionLimits
from wickspring.settings.errors import ConfigError
from wickspring.settings.toml_file import DEPLOY_FOLDER, read_toml

CONNECTIONS_FILE = DEPLOY_FOLDER / "connections.toml"


def load_connections(path: Path) -> ConnectionLimits:
    """Read and check the file; without one, the defaults hold.

    Raises:
        ConfigError: the file cannot be used; the message names the key.
    """
    if not path.exists():
        return ConnectionLimits()
    limits = read_toml(path, ConnectionLimits)
    fault = limits.faults()
    if fault:
        raise ConfigError(f"{path.name}: {fault}")
    return limits
