"""The instances of one agent: what is wanted of them, stored, and a controller for each.

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
from wickspring.fleet import home
from wickspring.fleet.file import FleetInstance
from wickspring.fleet.model import Record, Seen, Slot, Want
from wickspring.fleet.rollout.observation import Records
from wickspring.logs import kv

log = logging.getLogger(__name__)


class LocalInstances:
    """The agent's own instances, and the permissions that it gives as a warden."""

    def __init__(self, context: AgentContext) -> None:
        self.context = context
        self.home = _stored_home(context)
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
            self._change(home.register(self.home, self._new_record(instance)))
        for name in [name for name in self.home.records if name not in own]:
            self._remove(name)
        for name in [name for name in self.controllers if name not in self.home.records]:
            self.controllers.pop(name).scope.cancel()
        self._update_controllers(own)

    def _new_record(self, instance: FleetInstance) -> Record:
        file, agent = self.context.fleet.file, self.context.agent
        build = file.first_build or file.build[0].name
        want = Want(file.first_run, build, 1, by="fleet file", at=self.context.now())
        return Record(instance.name, agent.hall, agent.name, dict(instance.labels), want)

    def _remove(self, name: str) -> None:
        self._change(home.forget(self.home, name))
        if name in self.home.records:
            log.warning("not_in_the_file", extra=kv(name=name, reason="it runs on; drain it first"))

    def _update_controllers(self, own: dict[str, FleetInstance]) -> None:
        stored = self.context.store.processes()
        for name in self.home.records:
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

    def record(self, name: str) -> Record:
        """Return the record of an own instance."""
        return self.home.records[name]

    def report(self, name: str, seen: Seen) -> None:
        """Take in how an instance is. This is not stored: after a restart it is observed anew."""
        self.home = home.observe(self.home, name, seen)

    def fleet_records(self) -> Records:
        """Return all instances of the fleet: the own ones as they are, the others as last reported."""
        records = self.context.view.records()
        for record in self.home.records.values():
            records = records.insert(record.name, record)
        return records

    def receive_notification(self, notification: Notification) -> None:
        """Pass on what a process reports of itself to the controller that knows its token."""
        for controller in self.controllers.values():
            controller.receive_report(notification)

    # Requests of coordinators.

    def handle_request(self, request: home.Request) -> home.Reply:
        """Carry out a coordinator's request."""
        now, view = self.context.now(), self.context.view
        around = home.Around(self.fleet_records(), view.quorum(now), view.dead(now))
        after, reply = home.reduce(self.home, now, request, self.context.fleet.file.rules, around)
        events = []
        if isinstance(request, home.SetWant) and not reply.reason and after is not self.home:
            events.append(_describe(request, reply))
        try:
            self._change(after, *events)
        except StoreError as error:
            log.error("not_kept", extra=kv(reason=error))
            return home.Reply(str(error), wait=True)
        return reply

    def _change(self, after: home.Home, *events: str) -> None:
        """Store what differs, then let it take effect; on StoreError all stays as it was."""
        now = self.context.now()
        change = _difference(self.home, after, [(now, text) for text in events])
        if not change.is_empty:
            self.context.store.apply(change)
        self.home = after
        for record in change.records:
            if record.name in self.controllers:
                self.controllers[record.name].wake()


def _stored_home(context: AgentContext) -> home.Home:
    stored = home.Home(context.agent.name)
    for record in context.store.records():
        stored = home.register(stored, record)
    slots = stored.slots
    for key, slot in context.store.slots().items():
        slots = slots.insert(key, slot)
    return msgspec.structs.replace(stored, slots=slots)


def _describe(request: home.SetWant, reply: home.Reply) -> str:
    """Return the line of the history for a change of what is wanted."""
    restart = " anew" if request.renew else ""
    what = f"run={request.run} build={request.build}{restart}"
    return f"{request.instance}: {what} by {request.by} ({request.operation}), version {reply.version}"


def _difference(before: home.Home, after: home.Home, events: list[tuple[float, str]]) -> StoreChange:
    """Return what is to be stored so that the store has `after`."""
    changed = [
        record
        for name, record in after.records.items()
        if (old := before.records.get(name)) is None or _stored_part(old) != _stored_part(record)
    ]
    removed = [name for name in before.records if name not in after.records]
    slots: dict[str, Slot | None] = {
        key: slot for key, slot in after.slots.items() if before.slots.get(key) != slot
    }
    slots |= {key: None for key in before.slots if key not in after.slots}
    return StoreChange(records=changed, removed_records=removed, slots=slots, events=events)


def _stored_part(record: Record) -> tuple[object, ...]:
    """Return what of a record must be stored when it changes; the rest is observed anew after a restart."""
    return record.want, record.claim, record.labels, record.before, record.hall
