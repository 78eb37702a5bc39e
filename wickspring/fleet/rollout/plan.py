"""Making an operation, and what it wants of each instance; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wickspring.fleet.model import FLEET, InstanceRecord, Kind, Operation, Phase, Progress, scope_of


@dataclass(slots=True, frozen=True)
class OperationRequest:
    """What an operator asks for, apart from the instances. `at` is in Unix seconds."""

    id: str
    kind: Kind
    by: str
    coordinator: str
    at: float
    build: str = ""
    batch: int = 1  # instances that are changed at a time
    below_floor: bool = False  # whether more may be down than the rules allow


@dataclass(slots=True, frozen=True)
class TargetState:
    """What an operation wants of one instance."""

    run: bool
    build: str
    restart: bool = False  # start it anew, even if it runs this build


def plan_operation(request: OperationRequest, records: Iterable[InstanceRecord]) -> Operation:
    """Make an operation on these instances, hall by hall."""
    ordered = sorted(records, key=lambda record: (record.hall, record.name))
    return Operation(
        request.id,
        request.kind,
        request.by,
        request.coordinator,
        request.at,
        tuple(_initial_progress(record) for record in ordered),
        request.build,
        batch=max(1, request.batch),
        below_floor=request.below_floor,
        advanced_at=request.at,
    )


def _initial_progress(record: InstanceRecord) -> Progress:
    return Progress(
        record.name,
        record.agent,
        record.hall,
        build_before=record.desired.build,
        run_before=record.desired.run,
    )


def target_state(operation: Operation, progress: Progress, record: InstanceRecord) -> TargetState:
    """Return what an operation wants of an instance in the operation's current phase."""
    current = record.desired
    if operation.phase is Phase.REVERTING:
        return TargetState(progress.run_before, progress.build_before)
    if operation.kind is Kind.DRAIN:
        return TargetState(False, current.build)
    if operation.kind is Kind.START:
        return TargetState(True, operation.build or current.build)
    if operation.kind is Kind.RESTART:
        return TargetState(True, current.build, restart=True)
    if operation.kind is Kind.ROLLBACK:
        return TargetState(current.run, operation.build or record.before or current.build)
    return TargetState(current.run, operation.build)


def needed_scopes(operation: Operation, progress: Progress, record: InstanceRecord) -> tuple[str, ...]:
    """Return the scopes whose permit to be down the instance needs.

    There are none if it serves nobody now, or is only started.
    """
    target = target_state(operation, progress, record)
    goes_down = not target.run or target.build != record.desired.build or target.restart
    serves = record.desired.run and record.observed.ready
    return (scope_of(progress.hall), FLEET) if goes_down and serves else ()
