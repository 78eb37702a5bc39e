"""Requests of this agent to the other agents of its fleet."""

from __future__ import annotations

from wickspring.agent import wire
from wickspring.agent.context import AgentContext
from wickspring.agent.wire import Answer
from wickspring.settings.errors import ConfigError
from wickspring.tls import Certificates
from wickspring.wire import WireError

REQUEST_TIMEOUT_S = 2.0


class PeerClient:
    """Sends messages to other agents by name, with mutual TLS where the fleet has it."""

    def __init__(self, context: AgentContext, certificates: Certificates | None) -> None:
        self.context = context
        self.certificates = certificates

    async def exchange(self, agent: str, message: wire.Message) -> Answer:
        """Send one message to an agent, and return its answer.

        Raises:
            WireError: the agent could not be reached, or answered with an error.
        """
        try:
            address = self.context.fleet.agent(agent).address
        except ConfigError as error:  # the fleet file no longer names the agent
            raise WireError(str(error)) from error
        tls = self.certificates.client() if self.certificates is not None else None
        answer = await wire.exchange(address, f"agent {agent}", message, tls, agent, REQUEST_TIMEOUT_S)
        if answer.error:
            raise WireError(f"agent {agent}: {answer.error}")
        return answer
