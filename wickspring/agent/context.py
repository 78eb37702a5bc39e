"""What the parts of an agent share: the fleet file, the store and the view of the other agents."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from wickspring.agent.store import Store
from wickspring.fleet.file import Fleet, FleetAgent
from wickspring.fleet.views import FleetView
from wickspring.settings.errors import ConfigError

MAX_SOCKET_PATH = 100  # bytes; the kernel takes 108 for a local socket (unix(7))


@dataclass(slots=True)
class AgentContext:
    """Shared by the parts of one agent. Times are Unix seconds."""

    fleet: Fleet  # replaced when the fleet file is read again
    agent: FleetAgent  # this one, as of its start
    folder: Path  # for the store, sockets, logs and pid files
    store: Store
    view: FleetView
    now: Callable[[], float]

    @property
    def notify_socket(self) -> Path:
        """Return where instances send their notifications."""
        return _notify_socket(self.folder)

    @property
    def local_socket(self) -> Path:
        """Return where the owner of the agent reaches it without TLS."""
        return self.folder / "local"


def _notify_socket(folder: Path) -> Path:
    return folder / "notify"


def open_context(fleet: Fleet, name: str, now: Callable[[], float]) -> AgentContext:
    """Make the agent's folder and open its store.

    Raises:
        ConfigError: the fleet names no such agent, or its folder's path is too long for sockets.
        StoreError: the store cannot be opened.
    """
    agent = fleet.agent(name)
    folder = (fleet.here / agent.state).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    if len(str(_notify_socket(folder))) > MAX_SOCKET_PATH:
        raise ConfigError(f"agent {name}: state: the path is too long for a socket: {folder}")
    store = Store(folder / "agent.db")
    agents = [other.name for other in fleet.file.agent]
    view = FleetView(name, agents, now(), fleet.file.rules, os.getpid())
    return AgentContext(fleet, agent, folder, store, view, now)
