"""A fleet's agent: keeps its instances, coordinates operations and exchanges gossip with the other agents.

`Node` puts the parts together and handles signals; each part is in a module of its own.
"""

from __future__ import annotations

import logging
import signal
import time
from collections.abc import Callable

import trio

from wickspring.agent.context import AgentContext, open_context
from wickspring.agent.gossip import Gossip
from wickspring.agent.listeners import AgentListeners, ListenError
from wickspring.agent.local_instances import LocalInstances
from wickspring.agent.message_handler import MessageHandler
from wickspring.agent.operation_runner import OperationRunner
from wickspring.agent.peer_client import PeerClient
from wickspring.agent.store import StoreError
from wickspring.fleet.file import Fleet, load_fleet
from wickspring.logs import kv
from wickspring.settings.errors import ConfigError
from wickspring.tls import Certificates

log = logging.getLogger(__name__)


class NodeError(Exception):
    """An agent that cannot run; the message says why."""


class Node:
    """One agent of a fleet.

    Raises:
        ConfigError: the fleet names no such agent, or its files cannot be used.
        StoreError: its store cannot be opened, read or changed.
    """

    def __init__(self, fleet: Fleet, name: str, now: Callable[[], float] = time.time) -> None:
        self.context = open_context(fleet, name, now)
        self.certificates = _load_certificates(self.context)
        self.peers = PeerClient(self.context, self.certificates)
        self.instances = LocalInstances(self.context)
        self.operations = OperationRunner(self.context, self.instances, self.peers)
        self.gossip = Gossip(self.context, self.instances, self.operations, self.peers)
        self.handler = MessageHandler(self.context, self.instances, self.operations)
        self.listeners = AgentListeners(self.context, self.certificates, self.handler, self.instances)

    async def run(self, started: Callable[[], None] | None = None) -> None:
        """Run until SIGTERM or SIGINT; the instances go on without it. SIGHUP reads the fleet file again.

        Raises:
            NodeError: it cannot listen.
        """
        name = self.context.agent.name
        try:
            await self.listeners.open()
        except ListenError as error:
            raise NodeError(f"agent {name} cannot listen: {error}") from error
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self.listeners.start(nursery)
                self.instances.start_controllers(nursery)
                nursery.start_soon(self.gossip.run)
                nursery.start_soon(self.operations.run)
                log.info("agent_up", extra=kv(name=name, instances=len(self.instances.controllers)))
                if started is not None:
                    started()
                async for signum in signals:
                    if signum != signal.SIGHUP:
                        break
                    self.reread()
                await self.gossip.leave()
                log.info("agent_leaves", extra=kv(name=name, running=len(self.instances.controllers)))
                nursery.cancel_scope.cancel()
        self.listeners.close()
        self.context.store.close()

    def reread(self) -> None:
        """Read the fleet file again; a faulty one is logged, and what was there holds."""
        try:
            fleet = load_fleet(self.context.fleet.path)
            fleet.agent(self.context.agent.name)
            self.context.fleet = fleet
            self.context.view.agents = tuple(sorted(agent.name for agent in fleet.file.agent))
            self.context.view.rules = fleet.file.rules
            self.instances.apply_fleet_file()
        except (ConfigError, StoreError) as error:
            log.error("reread_failed", extra=kv(reason=error))
            return
        log.info("reread", extra=kv(instances=len(self.instances.controllers)))


def _load_certificates(context: AgentContext) -> Certificates | None:
    """Return the agent's certificates; None where the fleet has no TLS."""
    tls, folder, agent = context.fleet.file.tls, context.fleet.here, context.agent
    if tls is None:
        return None
    return Certificates(folder / tls.ca, folder / agent.cert, folder / agent.key)
