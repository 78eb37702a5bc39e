"""The operations that this agent coordinates: stored, advanced side by side, and shown to the others.

What is decided is stored before any request is sent, and a coordinator that was killed continues from there.
"""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from wickspring.agent import wire
from wickspring.agent.context import AgentContext
from wickspring.agent.local_instances import LocalInstances
from wickspring.agent.peer_client import PeerClient
from wickspring.agent.store import StoreChange, StoreError
from wickspring.agent.wire import Answer
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.fleet import owner_messages
from wickspring.fleet.model import Kind, Operation
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.observation import FleetObservation, Records
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply
from wickspring.fleet.rollout.requests import AgentRequest
from wickspring.logs import kv
from wickspring.wire import WireError

log = logging.getLogger(__name__)

ADVANCE_INTERVAL_S = 0.1
STORE_RETRY_S = 1.0  # until an operation that could not be stored is advanced again
MAX_REPORTED_ENDED = 20  # operations that have ended and are still shown to the others


class SubmitError(Exception):
    """An operation that cannot be carried out as it was submitted; the message says why."""


class OperationRunner:
    """Runs the operations that operators have submitted to this agent."""

    def __init__(self, context: AgentContext, instances: LocalInstances, peers: PeerClient) -> None:
        self.context = context
        self.instances = instances
        self.peers = peers
        self.operations = {operation.id: operation for operation in context.store.operations()}
        self._busy: set[str] = set()  # ids of operations that are being advanced

    # Commands of operators.

    def submit(self, message: wire.Submit, by: str) -> Answer:
        """Begin an operation; one whose id is known is shown again."""
        known = self.operations.get(message.id)
        if known is not None:
            return Answer(operation=known)
        records = self.instances.fleet_records()
        names = ", ".join(message.instances)
        try:
            self._check(message, records)
            operation = self._plan(message, by, records)
            self._save(operation, f"{operation.id}: {by} asks for {message.kind.value} of {names}")
        except (SubmitError, StoreError) as error:
            return Answer(error=str(error))
        return Answer(operation=operation)

    def _check(self, message: wire.Submit, records: Records) -> None:
        unknown = [name for name in message.instances if name not in records]
        if unknown:
            raise SubmitError(f"no instance is called {', '.join(unknown)}")
        if not message.instances:
            raise SubmitError("no instance")
        if message.kind is Kind.UPGRADE and not message.build:
            raise SubmitError("an upgrade needs a build")
        if message.build and self.context.fleet.build(message.build) is None:
            raise SubmitError(f"there is no build {message.build!r}")

    def _plan(self, message: wire.Submit, by: str, records: Records) -> Operation:
        request = OperationRequest(
            message.id,
            message.kind,
            by=by,
            coordinator=self.context.agent.name,
            at=self.context.now(),
            build=message.build,
            batch=message.batch,
            below_floor=message.below_floor,
        )
        return plan_operation(request, [records[name] for name in message.instances])

    def cancel(self, message: wire.Cancel, by: str) -> Answer:
        """Cancel an operation that this agent coordinates."""
        operation = self.operations.get(message.id)
        if operation is None:
            return Answer(error=f"{self.context.agent.name} coordinates no operation {message.id}")
        cancelled = coordinator.cancel(operation, self.context.now(), by)
        try:
            self._save(cancelled, f"{operation.id}: cancelled by {by}")
        except StoreError as error:
            return Answer(error=str(error))
        return Answer(operation=cancelled)

    def reported(self) -> tuple[Operation, ...]:
        """Return the operations to show to other agents: those under way, and the latest that have ended."""
        ended = [operation for operation in self.operations.values() if operation.phase.ended]
        under_way = [operation for operation in self.operations.values() if not operation.phase.ended]
        return (*under_way, *ended[-MAX_REPORTED_ENDED:])

    def _save(self, operation: Operation, *events: str) -> None:
        """Store an operation that differs from what is stored, with lines of the history.

        Raises:
            StoreError: it could not be stored, and stays as it was.
        """
        old = self.operations.get(operation.id)
        if old == operation:
            return
        lines = list(events)
        if old is not None and old.phase is not operation.phase:
            reason = f": {operation.reason}" if operation.reason else ""
            lines.append(f"{operation.id}: {operation.phase.value}{reason}")
        now = self.context.now()
        history = [(now, line) for line in lines]
        self.context.store.apply(StoreChange(operations=[operation], events=history))
        self.operations[operation.id] = operation
        for line in lines:
            log.info("operation", extra=kv(text=line))

    # Coordination.

    async def run(self) -> None:
        """Advance all operations until cancelled, each by a task of its own."""
        async with trio.open_nursery() as nursery:
            while True:
                for operation in list(self.operations.values()):
                    if not operation.phase.ended and operation.id not in self._busy:
                        self._busy.add(operation.id)
                        nursery.start_soon(self._advance, operation.id)
                await trio.sleep(ADVANCE_INTERVAL_S)

    async def _advance(self, operation_id: str) -> None:
        """Advance one operation; after a fault it is tried again, and the others go on meanwhile."""
        try:
            with isolate_faults(FaultStep.OPERATION):
                await self._advance_once(operation_id)
                return
            await trio.sleep(STORE_RETRY_S)
        finally:
            self._busy.discard(operation_id)

    async def _advance_once(self, operation_id: str) -> None:
        """Advance one operation, and send its requests."""
        try:
            now = self.context.now()
            operation = self.operations[operation_id]
            advanced, requests = coordinator.advance(operation, now, self._observe(now))
            self._save(advanced)
            async with trio.open_nursery() as nursery:
                for request in requests:
                    nursery.start_soon(self._send, operation_id, request)
        except StoreError as error:
            log.error("not_kept", extra=kv(operation=operation_id, reason=error))
            await trio.sleep(STORE_RETRY_S)

    def _observe(self, now: float) -> FleetObservation:
        fleet, view = self.context.fleet, self.context.view
        return FleetObservation(
            self.instances.fleet_records(),
            fleet.permit_issuers(),
            fleet.file.rules,
            view.dead_agents(now),
            view.has_quorum(now),
        )

    async def _send(self, operation_id: str, request: AgentRequest) -> None:
        """Send a request, and apply its reply; one without a reply is sent again at the next advance."""
        if request.agent == self.context.agent.name:
            reply: owner_messages.Reply | None = self.instances.handle_request(request.request)
        else:
            try:
                reply = (await self.peers.exchange(request.agent, wire.OwnerRequest(request.request))).reply
            except WireError:
                return
        if reply is None:
            return
        if reply.wait and not isinstance(request.request, owner_messages.AcquirePermit):
            return  # the agent could not store it
        operation, now = self.operations[operation_id], self.context.now()
        with suppress(StoreError):  # the request is sent again, and replied to again
            self._save(receive_reply(operation, now, request.agent, request.request, reply))
