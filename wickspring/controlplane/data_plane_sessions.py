"""The data planes that are connected to this control-plane node."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from wickspring.common.config_status import ConfigStatus
from wickspring.common.config_version import ConfigVersion
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import Message


@dataclass(slots=True, frozen=True)
class ReportedConfig:
    """The configuration that a data plane uses, as it reported it last."""

    version: ConfigVersion = None
    digest: bytes = b""


@dataclass(slots=True, frozen=True)
class SentOffer:
    """A configuration that was sent to a data plane, and what it had reported before."""

    version: int
    digest: bytes
    status: ConfigStatus
    reported: ReportedConfig


@dataclass(slots=True, eq=False)
class PeerSession:
    """One connection that another process has opened, and its state.

    The peer's first message says whether it is a data plane or another control-plane node.
    """

    connection: PeerConnection
    is_control_plane_node: bool = False
    reported_config: ReportedConfig = ReportedConfig()
    last_offer: SentOffer | None = None
    announced_digest: bytes = b""  # of the configuration, as last sent with the reply to a heartbeat

    @property
    def name(self) -> str:
        """Return the address of the peer; empty until it has introduced itself."""
        return self.connection.peer_address

    def send(self, message: Message) -> None:
        """Send one message; it is lost where the connection is broken."""
        self.connection.send(message)


class DataPlaneSessions:
    """The sessions of data planes; one data plane may have several while it reconnects."""

    def __init__(self) -> None:
        self._names: dict[PeerSession, str] = {}

    def __iter__(self) -> Iterator[PeerSession]:
        """Iterate over the sessions as of now; they may be removed meanwhile."""
        return iter(list(self._names))

    def add(self, session: PeerSession) -> None:
        """Add the session of a data plane that has introduced itself."""
        self._names[session] = session.name

    def remove(self, session: PeerSession) -> bool:
        """Remove a session; True where it was the last one of its data plane."""
        name = self._names.pop(session, None)
        return name is not None and name not in self._names.values()

    def names(self) -> set[str]:
        """Return the names of the data planes that have a session."""
        return set(self._names.values())

    def live_names(self) -> set[str]:
        """Return the names of the reachable data planes."""
        return {name for session, name in self._names.items() if session.connection.live}

    @property
    def live_count(self) -> int:
        """Return the number of reachable data planes."""
        return len(self.live_names())

    def broadcast(self, message: Message) -> None:
        """Send one message to all data planes."""
        for session in self._names:
            session.send(message)

    def close_timed_out(self) -> list[str]:
        """Close the sessions that have timed out; return the data planes that have none left by that."""
        disconnected = []
        for session, name in list(self._names.items()):
            if not session.connection.live:
                if self.remove(session):
                    disconnected.append(name)
                session.connection.close()
        return disconnected
