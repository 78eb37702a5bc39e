"""Begins an operation on instances of a fleet, and follows it to its end."""

from __future__ import annotations

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass

from wickspring.agent import wire
from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.tables import format_json
from wickspring.commands.fleet.client import FleetClient
from wickspring.commands.fleet.output import plan_steps, plan_table
from wickspring.fleet.model import InstanceRecord, Kind, Operation, Phase, Progress, Step
from wickspring.fleet.selector import SelectorError, parse_selector
from wickspring.wire import WireError

POLL_INTERVAL_S = 0.4  # between two requests while following
SILENCE_TIMEOUT_S = 60.0  # without an agent that reports the operation, following ends
ID_BYTES = 3  # random ones, behind the kind


@dataclass(frozen=True, slots=True)
class OperationOptions:
    """How an operation is carried out."""

    by: str
    dry_run: bool = False
    batch: int = 1  # instances at a time
    below_floor: bool = False  # more may be down than the rules allow
    no_wait: bool = False

    def __post_init__(self) -> None:
        """Raise CommandError where `batch` is below 1."""
        if self.batch < 1:
            raise CommandError(f"--batch: {self.batch} is below 1", ExitCode.USAGE)


class OperationFollower:
    """Prints what changes in an operation until it has ended."""

    def __init__(self, client: FleetClient, operation_id: str, as_json: bool) -> None:
        self._client = client
        self._id = operation_id
        self._as_json = as_json
        self._printed: dict[str, tuple[Step, str]] = {}  # by instance: the step and note printed last

    def follow(self) -> None:
        """Follow the operation to its end; `CommandError` unless all instances followed."""
        operation = self._wait()
        if self._as_json:
            print(format_json(operation))
        else:
            self._print_outcome(operation)
        if operation.phase is not Phase.DONE:
            raise CommandError(
                code=ExitCode.CONFLICT if operation.phase is Phase.REFUSED else ExitCode.FAILED
            )

    def _wait(self) -> Operation:
        last_report_at = time.monotonic()
        while True:
            fault = f"no agent tells of {self._id}"
            try:
                operation = self._client.find_operation(self._id)
            except WireError as error:
                operation, fault = None, str(error)
            if operation is not None:
                last_report_at = time.monotonic()
                self._print_progress(operation)
                if operation.phase.ended:
                    return operation
            elif time.monotonic() - last_report_at > SILENCE_TIMEOUT_S:
                raise CommandError(f"{fault}; it may go on: `fleet follow {self._id}` takes it up again")
            time.sleep(POLL_INTERVAL_S)

    def _print_progress(self, operation: Operation) -> None:
        if self._as_json:
            return
        for progress in operation.instances:
            state = (progress.step, progress.note)
            if self._printed.get(progress.instance) != state and progress.step is not Step.PENDING:
                print(_progress_line(progress), flush=True)
            self._printed[progress.instance] = state

    def _print_outcome(self, operation: Operation) -> None:
        took_s = operation.ended_at - operation.at
        reason = f": {operation.reason}" if operation.reason else ""
        print(f"{self._id}: {operation.phase.value} after {took_s:.1f} s{reason}")
        for progress in operation.incomplete:
            line = f"did not follow: {progress.instance} ({progress.step.value}) {progress.note}"
            print(line.rstrip())


def choose(select: Sequence[str], answer: wire.Answer) -> tuple[InstanceRecord, ...]:
    """Apply a selection to the instances that an agent reports."""
    try:
        return parse_selector(tuple(select)).select(answer.records)
    except SelectorError as error:
        raise CommandError(error, ExitCode.USAGE) from error


def operate(
    client: FleetClient,
    kind: Kind,
    select: Sequence[str],
    options: OperationOptions,
    *,
    build: str = "",
    as_json: bool = False,
) -> None:
    """Begin an operation on the selected instances, and follow it to its end."""
    if build and client.fleet.build(build) is None:
        raise CommandError(f"{client.file.name}: there is no build {build!r}", ExitCode.USAGE)
    records = choose(select, client.request(wire.Show()))
    if not records:
        raise CommandError("no instance is chosen", ExitCode.USAGE)
    if options.dry_run:
        steps = plan_steps(kind, records, build, options.batch)
        print(format_json(steps) if as_json else plan_table(steps))
        return
    operation = _submit(client, kind, records, build, options)
    if options.no_wait:
        print(format_json(operation) if as_json else f"{operation.id} has begun at {operation.coordinator}")
        return
    if not as_json:
        print(
            f"{operation.id}: {kind.value} of {len(records)} instances, "
            f"coordinated by {operation.coordinator}",
            flush=True,
        )
    OperationFollower(client, operation.id, as_json).follow()


def _submit(
    client: FleetClient, kind: Kind, records: Sequence[InstanceRecord], build: str, options: OperationOptions
) -> Operation:
    answer = client.request(
        wire.Submit(
            kind=kind,
            instances=tuple(record.name for record in records),
            build=build,
            batch=options.batch,
            below_floor=options.below_floor,
            by=options.by,
            id=f"{kind.value}-{secrets.token_hex(ID_BYTES)}",
        )
    )
    if answer.error or answer.operation is None:
        raise CommandError(answer.error or "the agent did not take it", ExitCode.USAGE)
    return answer.operation


def _progress_line(progress: Progress) -> str:
    return f"  {progress.instance:<16} {progress.step.value:<9} {progress.note}".rstrip()
