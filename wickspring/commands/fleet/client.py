"""Requests to the agents of a fleet, over a local socket or by address."""

from __future__ import annotations

import ssl
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import trio

from wickspring.agent import wire
from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.fleet.file import Fleet, FleetAgent, load_fleet
from wickspring.fleet.model import Operation
from wickspring.settings.errors import ConfigError
from wickspring.tls import Certificates
from wickspring.wire import WireError

LOCAL_SOCKET = "local"  # its name in an agent's state folder


@dataclass(frozen=True, slots=True)
class _Endpoint:
    """One way to reach an agent."""

    address: str
    tls: ssl.SSLContext | None = None


class FleetClient:
    """Asks the agents of a fleet, each at its local socket first, then by address."""

    def __init__(self, file: Path, via: str = "") -> None:
        """Read the fleet file.

        Args:
            file: the fleet file.
            via: name of the only agent to ask; empty for any.

        Raises:
            CommandError: the file is at fault, or names no such agent.
        """
        self.file = file
        try:
            self.fleet: Fleet = load_fleet(file, configs=False)
            self.agents = [self.fleet.agent(via)] if via else list(self.fleet.file.agent)
            self._certificates = self._load_certificates()
        except ConfigError as error:
            raise CommandError(error, ExitCode.USAGE) from error

    def exchange(self, message: wire.Message, agent_name: str = "") -> wire.Answer:
        """Return the answer of the first agent that answers, or of the named one; `WireError` without one."""
        return trio.run(self._exchange, message, agent_name)

    def request(self, message: wire.Message, agent_name: str = "") -> wire.Answer:
        """Ask as `exchange` does; `CommandError` where nobody answers."""
        try:
            return self.exchange(message, agent_name)
        except WireError as error:
            raise CommandError(error) from error

    def find_operation(self, operation_id: str) -> Operation | None:
        """Return an operation as an agent reports it; None where it knows none of this id."""
        operations = self.exchange(wire.Show()).operations
        return next((operation for operation in operations if operation.id == operation_id), None)

    async def _exchange(self, message: wire.Message, agent_name: str) -> wire.Answer:
        faults = []
        for agent in self.agents:
            if agent_name and agent.name != agent_name:
                continue
            endpoints = list(self._endpoints(agent))
            if not endpoints:
                faults.append(f"agent {agent.name}: no local socket, and tls.cert and tls.key are not set")
            for endpoint in endpoints:
                try:
                    return await wire.exchange(
                        endpoint.address, f"agent {agent.name}", message, endpoint.tls, agent.name
                    )
                except WireError as error:
                    faults.append(str(error))
        raise WireError("; ".join(faults) or f"no agent is called {agent_name}")

    def _endpoints(self, agent: FleetAgent) -> Iterator[_Endpoint]:
        local = (self.fleet.here / agent.state / LOCAL_SOCKET).resolve()
        if local.exists():
            yield _Endpoint(str(local))
        if self._certificates is not None:
            yield _Endpoint(agent.address, self._certificates.client())
        elif self.fleet.file.tls is None:
            yield _Endpoint(agent.address)

    def _load_certificates(self) -> Certificates | None:
        tls = self.fleet.file.tls
        if tls is None or not tls.cert or not tls.key:
            return None
        folder = self.fleet.here
        return Certificates(folder / tls.ca, folder / tls.cert, folder / tls.key)
