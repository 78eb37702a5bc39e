"""Answers the messages of other agents and of operators."""

from __future__ import annotations

from wickspring.agent import wire
from wickspring.agent.context import AgentContext
from wickspring.agent.local_instances import LocalInstances
from wickspring.agent.operation_runner import OperationRunner
from wickspring.agent.wire import Answer, Peer
from wickspring.fleet.model import InstanceRecord, Operation

AGENTS_GOSSIP = "only agents gossip"
AGENTS_REQUEST = "only agents ask this"


class MessageHandler:
    """Dispatches one message to the part of the agent that it concerns."""

    def __init__(self, context: AgentContext, instances: LocalInstances, operations: OperationRunner) -> None:
        self.context = context
        self.instances = instances
        self.operations = operations

    async def handle(self, peer: Peer, message: wire.Message) -> Answer:
        """Answer one message; one that the peer may not send is answered with an error."""
        if isinstance(message, wire.Show):
            return self._show(message)
        if isinstance(message, wire.Gossip | wire.Push | wire.OwnerRequest):
            return self._answer_agent(peer, message)
        if peer.role != "operate":
            return Answer(error=f"{peer.name} may read, and not operate")
        by = message.by if message.by and not peer.name else peer.name or "local"
        if isinstance(message, wire.Submit):
            return self.operations.submit(message, by)
        return self.operations.cancel(message, by)

    def _answer_agent(self, peer: Peer, message: wire.Gossip | wire.Push | wire.OwnerRequest) -> Answer:
        if not peer.agent:
            return Answer(error=AGENTS_REQUEST if isinstance(message, wire.OwnerRequest) else AGENTS_GOSSIP)
        if isinstance(message, wire.Gossip):
            return Answer(delta=self.context.view.delta(message.digest))
        if isinstance(message, wire.Push):
            self.context.view.receive(message.delta, self.context.now())
            return Answer()
        return Answer(reply=self.instances.handle_request(message.request))

    def _show(self, message: wire.Show) -> Answer:
        now = self.context.now()
        return Answer(
            agents=self._agents(now),
            records=self._records(),
            operations=self._operations(),
            history=self._history(message.history),
            quorum=self.context.view.has_quorum(now),
        )

    def _agents(self, now: float) -> tuple[wire.AgentView, ...]:
        return tuple(self._agent_view(agent.name, agent.hall, now) for agent in self.context.fleet.file.agent)

    def _agent_view(self, name: str, hall: str, now: float) -> wire.AgentView:
        view = self.context.view
        health = view.health(name, now).value
        entry = view.entries.get(name)
        if entry is None:
            return wire.AgentView(name, hall, health)
        program = entry.content.program if entry.content is not None else ""
        return wire.AgentView(name, hall, health, program, entry.heartbeat)

    def _records(self) -> tuple[InstanceRecord, ...]:
        records = self.instances.fleet_records().values()
        return tuple(sorted(records, key=lambda record: (record.hall, record.name)))

    def _operations(self) -> tuple[Operation, ...]:
        """Return all known operations, the latest first; the own ones as they are here."""
        known = {operation.id: operation for operation in self.context.view.operations()}
        known |= self.operations.operations
        return tuple(sorted(known.values(), key=lambda operation: operation.at, reverse=True))

    def _history(self, most: int) -> tuple[wire.HistoryLine, ...]:
        if not most:
            return ()
        return tuple(wire.HistoryLine(event.at, event.text) for event in self.context.store.history(most))
