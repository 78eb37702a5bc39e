"""Rounds of gossip between the agents of a fleet: every agent's instances and operations reach all others."""

from __future__ import annotations

import trio

from wickspring import __version__
from wickspring.agent import wire
from wickspring.agent.context import AgentContext
from wickspring.agent.local_instances import LocalInstances
from wickspring.agent.operation_runner import OperationRunner
from wickspring.agent.peer_client import PeerClient
from wickspring.fault_isolation import FaultStep, run_isolated
from wickspring.fleet.views import AgentContent
from wickspring.wire import WireError

LEAVE_PEERS = 3  # agents that are notified when this one leaves
LEAVE_TIMEOUT_S = 0.5  # for each of them


class Gossip:
    """Exchanges this agent's view with some others, round after round."""

    def __init__(
        self,
        context: AgentContext,
        instances: LocalInstances,
        operations: OperationRunner,
        peers: PeerClient,
    ) -> None:
        self.context = context
        self.instances = instances
        self.operations = operations
        self.peers = peers

    async def run(self) -> None:
        """Begin a round every `Rules.gossip_s` seconds, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.context.view.publish(self._content())
                for peer in self.context.view.choose_peers():
                    nursery.start_soon(run_isolated, FaultStep.AGENT_MESSAGE, self._exchange_with, peer)
                await trio.sleep(self.context.fleet.file.rules.gossip_s)

    async def leave(self) -> None:
        """Let some others know that this agent ends on purpose."""
        self.context.view.publish(self._content(left=True))
        for peer in self.context.view.choose_peers(LEAVE_PEERS):
            with trio.move_on_after(LEAVE_TIMEOUT_S):
                await self._exchange_with(peer)

    def _content(self, left: bool = False) -> AgentContent:
        """Return what this agent publishes of itself."""
        records = sorted(self.instances.owner_state.records.values(), key=lambda record: record.name)
        operations = self.operations.reported()
        return AgentContent(tuple(records), operations, __version__, wire.HIGHEST_VERSION, left)

    async def _exchange_with(self, peer: str) -> None:
        view = self.context.view
        try:
            delta = (await self.peers.exchange(peer, wire.Gossip(view.digest()))).delta
            if delta is None:
                return
            view.receive(delta, self.context.now())
            if delta.requested:
                await self.peers.exchange(peer, wire.Push(view.requested_entries(delta.requested)))
        except WireError:
            return  # the view judges the peer by its missing heartbeats
