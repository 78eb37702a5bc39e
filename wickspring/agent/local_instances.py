"""The instances of one agent: their desired states, stored, and a controller for each.

Every change is stored before it takes effect; a change that cannot be stored has not happened.
"""

from __future__ import annotations

import logging

import msgspec
import trio

from wickspring.agent.context import AgentContext
from wickspring.agent.instance_controller import InstanceController
from wickspring.agent.notifications import Notification
from wickspring.agent.store import StoreChange, StoreError
from wickspring.fleet import owner, owner_messages
from wickspring.fleet.file import FleetInstance
from wickspring.fleet.model import DesiredState, InstanceRecord, ObservedState, Permit
from wickspring.fleet.rollout.observation import Records
from wickspring.logs import kv

log = logging.getLogger(__name__)


class LocalInstances:
    """The agent's own instances, and the permits that it issues."""

    def __init__(self, context: AgentContext) -> None:
        self.context = context
        self.owner_state = _stored_home(context)
        self.controllers: dict[str, InstanceController] = {}
        self._nursery: trio.Nursery | None = None
        self.apply_fleet_file()

    def start_controllers(self, nursery: trio.Nursery) -> None:
        """Run the controllers, and those of instances that are added later, in a nursery."""
        self._nursery = nursery
        for controller in self.controllers.values():
            nursery.start_soon(controller.run)

    # The fleet file.

    def apply_fleet_file(self) -> None:
        """Bring the instances up to date with the fleet file.

        Raises:
            StoreError: a change could not be stored; those before it hold.
        """
        file = self.context.fleet.file
        own = {one.name: one for one in file.instance if one.agent == self.context.agent.name}
        for instance in own.values():
            self._change(owner.register(self.owner_state, self._new_record(instance)))
        for name in [name for name in self.owner_state.records if name not in own]:
            self._remove(name)
        for name in [name for name in self.controllers if name not in self.owner_state.records]:
            self.controllers.pop(name).scope.cancel()
        self._update_controllers(own)

    def _new_record(self, instance: FleetInstance) -> InstanceRecord:
        file, agent = self.context.fleet.file, self.context.agent
        build = file.first_build or file.build[0].name
        desired = DesiredState(file.first_run, build, 1, by="fleet file", at=self.context.now())
        return InstanceRecord(instance.name, agent.hall, agent.name, dict(instance.labels), desired)

    def _remove(self, name: str) -> None:
        self._change(owner.forget(self.owner_state, name))
        if name in self.owner_state.records:
            log.warning("not_in_the_file", extra=kv(name=name, reason="it runs on; drain it first"))

    def _update_controllers(self, own: dict[str, FleetInstance]) -> None:
        stored = self.context.store.processes()
        for name in self.owner_state.records:
            controller = self.controllers.get(name)
            if controller is None:
                # One that the file no longer names needs a controller as well, to be drained.
                instance = own.get(name, FleetInstance(name, self.context.agent.name, config=""))
                controller = InstanceController(self.context, instance, self)
                self.controllers[name] = controller
                controller.adopt([process for process in stored if process.name == name])
                if self._nursery is not None:
                    self._nursery.start_soon(controller.run)
            controller.instance = own.get(name, controller.instance)
            controller.wake()

    # Records.

    def record(self, name: str) -> InstanceRecord:
        """Return the record of an own instance."""
        return self.owner_state.records[name]

    def report(self, name: str, observed: ObservedState) -> None:
        """Take in how an instance is. This is not stored: after a restart it is observed anew."""
        self.owner_state = owner.observe(self.owner_state, name, observed)

    def fleet_records(self) -> Records:
        """Return all instances of the fleet: the own ones as they are, the others as last reported."""
        records = self.context.view.records()
        for record in self.owner_state.records.values():
            records = records.insert(record.name, record)
        return records

    def receive_notification(self, notification: Notification) -> None:
        """Pass on what a process reports of itself to the controller that knows its token."""
        for controller in self.controllers.values():
            controller.receive_report(notification)

    # Requests of coordinators.

    def handle_request(self, request: owner_messages.Request) -> owner_messages.Reply:
        """Carry out a coordinator's request."""
        now, view = self.context.now(), self.context.view
        status = owner.FleetStatus(self.fleet_records(), view.has_quorum(now), view.dead_agents(now))
        after, reply = owner.handle_request(
            self.owner_state, now, request, self.context.fleet.file.rules, status
        )
        events = []
        if (
            isinstance(request, owner_messages.SetDesiredState)
            and not reply.reason
            and after is not self.owner_state
        ):
            events.append(_describe(request, reply))
        try:
            self._change(after, *events)
        except StoreError as error:
            log.error("not_kept", extra=kv(reason=error))
            return owner_messages.Reply(str(error), wait=True)
        return reply

    def _change(self, after: owner.OwnerState, *events: str) -> None:
        """Store what differs, then let it take effect; on StoreError all stays as it was."""
        now = self.context.now()
        change = _difference(self.owner_state, after, [(now, text) for text in events])
        if not change.is_empty:
            self.context.store.apply(change)
        self.owner_state = after
        for record in change.records:
            if record.name in self.controllers:
                self.controllers[record.name].wake()


def _stored_home(context: AgentContext) -> owner.OwnerState:
    stored = owner.OwnerState(context.agent.name)
    for record in context.store.records():
        stored = owner.register(stored, record)
    permits = stored.permits
    for key, permit in context.store.permits().items():
        permits = permits.insert(key, permit)
    return msgspec.structs.replace(stored, permits=permits)


def _describe(request: owner_messages.SetDesiredState, reply: owner_messages.Reply) -> str:
    """Return the line of the history for a change of a desired state."""
    restart = " anew" if request.restart else ""
    what = f"run={request.run} build={request.build}{restart}"
    return f"{request.instance}: {what} by {request.by} ({request.operation}), version {reply.version}"


def _difference(
    before: owner.OwnerState, after: owner.OwnerState, events: list[tuple[float, str]]
) -> StoreChange:
    """Return what is to be stored so that the store has `after`."""
    changed = [
        record
        for name, record in after.records.items()
        if (old := before.records.get(name)) is None or _stored_part(old) != _stored_part(record)
    ]
    removed = [name for name in before.records if name not in after.records]
    permits: dict[str, Permit | None] = {
        key: permit for key, permit in after.permits.items() if before.permits.get(key) != permit
    }
    permits |= {key: None for key in before.permits if key not in after.permits}
    return StoreChange(records=changed, removed_records=removed, permits=permits, events=events)


def _stored_part(record: InstanceRecord) -> tuple[object, ...]:
    """Return what of a record must be stored when it changes; the rest is observed anew after a restart."""
    return record.desired, record.claim, record.labels, record.before, record.hall
