"""Making an operation, and what it wants of each instance; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wickspring.fleet.model import FLEET, Kind, Operation, Phase, Progress, Record, scope_of


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
class DesiredState:
    """What an operation wants of one instance."""

    run: bool
    build: str
    restart: bool = False  # start it anew, even if it runs this build


def plan_operation(request: OperationRequest, records: Iterable[Record]) -> Operation:
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
        heard_at=request.at,
    )


def _initial_progress(record: Record) -> Progress:
    return Progress(
        record.name,
        record.agent,
        record.hall,
        build_before=record.want.build,
        run_before=record.want.run,
    )


def desired_state(operation: Operation, progress: Progress, record: Record) -> DesiredState:
    """Return what an operation wants of an instance in the operation's current phase."""
    current = record.want
    if operation.phase is Phase.REVERTING:
        return DesiredState(progress.run_before, progress.build_before)
    if operation.kind is Kind.DRAIN:
        return DesiredState(False, current.build)
    if operation.kind is Kind.START:
        return DesiredState(True, operation.build or current.build)
    if operation.kind is Kind.RESTART:
        return DesiredState(True, current.build, restart=True)
    if operation.kind is Kind.ROLLBACK:
        return DesiredState(current.run, operation.build or record.before or current.build)
    return DesiredState(current.run, operation.build)


def needed_scopes(operation: Operation, progress: Progress, record: Record) -> tuple[str, ...]:
    """Return the scopes that must permit the instance to be down.

    There are none if it serves nobody now, or is only started.
    """
    desired = desired_state(operation, progress, record)
    goes_down = not desired.run or desired.build != record.want.build or desired.restart
    serves = record.want.run and record.seen.ready
    return (scope_of(progress.hall), FLEET) if goes_down and serves else ()
