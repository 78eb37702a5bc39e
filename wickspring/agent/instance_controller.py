"""Reconciles one instance with its desired state: starts, replaces, drains and watches its processes.

A replacement overlaps its predecessor if the fleet file says so: the successor listens on the same address,
and the predecessor is drained once the successor is ready. A successor that does not become ready is given
up, and the predecessor goes on serving. `InstanceController.step` makes all decisions and never waits.
"""

from __future__ import annotations

import logging
import math
from typing import Protocol

import msgspec
import trio

from wickspring.agent.backoff import RestartBackoff
from wickspring.agent.context import AgentContext
from wickspring.agent.notifications import Notification
from wickspring.agent.process_group import ProcessGroup
from wickspring.agent.process_launcher import LaunchError, ProcessLauncher
from wickspring.agent.processes import InstanceProcess
from wickspring.agent.store import Process, StoreError
from wickspring.fleet.file import FleetFile, FleetInstance
from wickspring.fleet.model import DesiredState, InstanceRecord, ObservedState
from wickspring.logs import kv

log = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 3.0  # a process without a report for this long is called silent
ADOPTION_GRACE_S = 2.0  # for an adopted process to report its state
MIN_DELAY_S = 0.05
MAX_STEP_S = 1.0  # between two looks
STORE_RETRY_S = 1.0  # until a start that could not be stored is tried again


class InstanceRecords(Protocol):
    """Where a controller reads the desired state of its instance, and reports the observed one."""

    def record(self, name: str) -> InstanceRecord:
        """Return an instance's record."""

    def report(self, name: str, observed: ObservedState) -> None:
        """Take in how an instance is."""


class InstanceController:
    """The processes of one instance. Times are Unix seconds."""

    def __init__(self, context: AgentContext, instance: FleetInstance, records: InstanceRecords) -> None:
        self.context = context
        self.instance = instance  # replaced when the fleet file is read again
        self.records = records
        self.launcher = ProcessLauncher(context)
        self.processes = ProcessGroup()
        self.backoff = RestartBackoff()
        self.starts = 0
        self.last_exit: int | None = None
        self.note = ""
        self.next_start_at = 0.0
        self.ready_at = 0.0
        self.changed = trio.Event()
        self.scope = trio.CancelScope()  # once cancelled, its processes go on without a controller
        self._nursery: trio.Nursery | None = None

    @property
    def _file(self) -> FleetFile:
        return self.context.fleet.file

    def _record(self) -> InstanceRecord:
        return self.records.record(self.instance.name)

    def wake(self) -> None:
        """Have the controller step at once."""
        self.changed.set()

    async def run(self) -> None:
        """Control the instance until cancelled; its processes go on after that."""
        with self.scope:
            await self._run()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for process in self.processes.all():
                nursery.start_soon(self._watch, process)
            while True:
                self.changed = trio.Event()
                due = self.step(self.context.now())
                with trio.move_on_after(max(0.0, due - self.context.now())):
                    await self.changed.wait()

    async def _watch(self, process: InstanceProcess) -> None:
        await process.wait()
        self.wake()

    # Adoption and reports.

    def adopt(self, stored: list[Process]) -> None:
        """Adopt the processes that an earlier agent left running."""
        found = [process for process in map(self._find, stored) if process is not None]
        self.processes.adopt(found)

    def _find(self, stored: Process) -> InstanceProcess | None:
        process = self.launcher.find(stored)
        if process is None:
            self._forget(stored.token)
            return None
        process.started_at = process.last_report_at = self.context.now()
        fields = {"name": self.instance.name, "pid": process.pid, "build": process.build}
        log.info("adopted", extra=kv(**fields))
        return process

    def receive_report(self, notification: Notification) -> None:
        """Take in what a process reports of itself, if it is one of this instance's."""
        for process in self.processes.all():
            if process.token != notification.token:
                continue
            changed = process.reported_ready != notification.ready
            process.reported_ready = notification.ready
            process.last_report_at = self.context.now()
            process.served = notification.served
            process.failed = notification.failed
            if changed:
                self.wake()
            else:
                self._report(self.context.now(), self._record())

    # Decisions.

    def step(self, now: float) -> float:
        """Do what is due now; return when to look again at the latest."""
        record = self._record()
        self._remove_ended(now, record.desired.run)
        due = self._kill_overdue(now)
        if record.desired.run:
            due = min(due, self._reconcile(now, record.desired))
        else:
            self._stop(now)
        self._report(now, record)
        return min(due, now + MAX_STEP_S)

    def _remove_ended(self, now: float, should_run: bool) -> None:
        for process in self.processes.all():
            if not process.ended.is_set():
                continue
            self._forget(process.token)
            drained = process in self.processes.draining
            self.processes.remove(process)
            if should_run and not drained:
                steady = process.reported_ready and self._is_steady(process, now)
                self._record_failure(now, f"ended with {process.exit_code}", steady)
            self.last_exit = process.exit_code
        if self.processes.current is None:
            self.processes.promote_successor()

    def _is_steady(self, process: InstanceProcess, now: float) -> bool:
        return now - process.started_at > self._file.steady_s

    def _record_failure(self, now: float, note: str, steady: bool = False) -> None:
        """Count a failure, and delay the next start: longer with each failure in a row."""
        self.backoff.record_failure(steady=steady)
        delay_s = self.backoff.delay_s(self._file.backoff_first_s, self._file.backoff_most_s)
        self.next_start_at = now + max(delay_s, MIN_DELAY_S)
        self.note = note
        fields = {"name": self.instance.name, "reason": note, "failures": self.backoff.failures}
        log.warning("instance_failed", extra=kv(**fields, pause=delay_s))

    def _clear_failures(self) -> None:
        self.backoff.reset()
        self.note = ""

    def _kill_overdue(self, now: float) -> float:
        """Kill processes that have not drained in time; return when the next is due."""
        drain_within_s = self._file.rules.drain_within_s
        if self.processes.kill_overdue(now, drain_within_s):
            self.note = f"killed: it had not drained after {drain_within_s:g} s"
        return self.processes.next_drain_deadline(now, drain_within_s)

    def _stop(self, now: float) -> None:
        self.processes.drain_serving(now)
        self.backoff.reset()
        self.next_start_at = 0.0

    def _reconcile(self, now: float, desired: DesiredState) -> float:
        """Come closer to the desired state of an instance that is to run; return when to look again."""
        if self._awaits_adopted(now):
            assert self.processes.current is not None
            return self.processes.current.started_at + ADOPTION_GRACE_S
        if self._replace(now, desired):
            return now
        self._give_up_late_starts(now)
        current = self.processes.current
        if current is not None and current.reported_ready and current.runs(desired):
            if self.backoff.failures and self._is_steady(current, now):
                self._clear_failures()
            return math.inf
        starting = current if current is not None and current.runs(desired) else self.processes.successor
        if starting is not None:
            return starting.started_at + self._file.rules.ready_within_s
        return self._start(now, desired)

    def _awaits_adopted(self, now: float) -> bool:
        """Tell whether the current process was adopted and may still report that it is ready."""
        current = self.processes.current
        if current is None or not current.adopted or current.reported_ready:
            return False
        return now < current.started_at + ADOPTION_GRACE_S

    def _replace(self, now: float, desired: DesiredState) -> bool:
        """Drain what runs another build than the desired one; True where a successor has taken over."""
        group = self.processes
        if group.successor is not None and not group.successor.runs(desired):
            group.drain(group.successor, now)
        if group.current is None:
            return False
        if group.current.runs(desired):
            group.drain(group.successor, now)
            return False
        if not (self._file.overlap and group.current.reported_ready):
            group.replace_current(now)
            return group.current is not None
        if group.successor is None or not group.successor.reported_ready:
            return False
        group.replace_current(now)
        self._clear_failures()
        return True

    def _give_up_late_starts(self, now: float) -> None:
        """Kill what was started here and did not become ready in time."""
        ready_within_s = self._file.rules.ready_within_s
        for process in (self.processes.current, self.processes.successor):
            if process is None or process.reported_ready or process.adopted:
                continue
            if now >= process.started_at + ready_within_s:
                self._record_failure(now, f"not ready after {ready_within_s:g} s")
                self.processes.drain(process, now, force=True)

    def _start(self, now: float, desired: DesiredState) -> float:
        """Start a process unless a delay holds it up; return when to look again."""
        if now < self.next_start_at:
            return self.next_start_at
        if self.processes.current is None and self.processes.draining and not self._file.overlap:
            return now + MIN_DELAY_S  # its address is not free yet
        process = self._launch(now, desired)
        if process is None:
            return self.next_start_at
        self.processes.add(process)
        return now + self._file.rules.ready_within_s

    # Processes.

    def _launch(self, now: float, desired: DesiredState) -> InstanceProcess | None:
        """Start a process; None where that failed, with the delay set until the next attempt."""
        try:
            process = self.launcher.launch(self.instance, desired)
        except LaunchError as error:
            self._record_failure(now, str(error))
            return None
        except StoreError as error:
            self.note = str(error)
            self.next_start_at = now + STORE_RETRY_S
            return None
        process.started_at = process.last_report_at = now
        self._record_start(process)
        return process

    def _record_start(self, process: InstanceProcess) -> None:
        try:
            self.launcher.store_identity(self.instance.name, process)
        except StoreError as error:
            self.note = str(error)
        self.starts += 1
        fields = {"build": process.build, "generation": process.generation}
        log.info("started", extra=kv(name=self.instance.name, pid=process.pid, **fields))
        if self._nursery is not None:
            self._nursery.start_soon(self._watch, process)

    def _forget(self, token: str) -> None:
        try:
            self.launcher.forget(self.instance.name, token)
        except StoreError as error:
            self.note = str(error)

    # Reports.

    def _state(self, now: float, record: InstanceRecord) -> str:
        """Return the state in the words of `ObservedState.state`."""
        if not record.desired.run:
            return "draining" if self.processes.draining else "stopped"
        if self.processes.current is None:
            return "waiting" if now < self.next_start_at else "starting"
        if not self.processes.current.reported_ready:
            return "starting"
        return "silent" if now - self.processes.current.last_report_at > REPORT_TIMEOUT_S else "ready"

    def _report(self, now: float, record: InstanceRecord) -> None:
        state = self._state(now, record)
        if state != "ready":
            self.ready_at = 0.0
        elif not self.ready_at:
            self.ready_at = now
        observed = ObservedState(
            state=state,
            build=record.observed.build,
            generation=record.observed.generation,
            version=record.desired.version,
            ready_at=self.ready_at,
            starts=self.starts,
            failures=self.backoff.failures,
            last_exit=self.last_exit,
            note=self.note,
        )
        process = self.processes.current
        if process is not None:
            observed = msgspec.structs.replace(
                observed,
                build=process.build,
                generation=process.generation,
                pid=process.pid,
                requests=process.served,
                failed=process.failed,
            )
        self.records.report(self.instance.name, observed)
