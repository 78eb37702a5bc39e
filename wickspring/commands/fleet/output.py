"""What the commands of a fleet print: instances, plans and single entries as tables."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from wickspring.agent import wire
from wickspring.command_line.tables import format_rows
from wickspring.fleet.model import InstanceRecord, Kind, Operation, Progress
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation, target_state

STATUS_COLUMNS = (
    "instance",
    "hall",
    "agent",
    "state",
    "build",
    "wanted",
    "requests",
    "failed",
    "starts",
    "held by",
    "note",
)
PLAN_COLUMNS = ("batch", "instance", "hall", "agent", "from", "to", "held by")
ENTRY_COLUMNS = ("field", "value")
ALIVE = "alive"
NOTHING = "-"
STOPPED = "stopped"
_EMPTY: tuple[object, ...] = ("", None, [])


class PlanStep(msgspec.Struct, frozen=True):
    """What an operation would do to one instance."""

    batch: int
    instance: str
    hall: str
    agent: str
    before: str = msgspec.field(name="from")
    after: str = msgspec.field(name="to")
    held_by: str


class HistoryEntry(msgspec.Struct, frozen=True, order=True):
    """One line of an agent's history."""

    at: float  # seconds since the epoch
    agent: str
    text: str


def status_table(records: Sequence[InstanceRecord]) -> str:
    """Return a line for each instance."""
    return format_rows(STATUS_COLUMNS, [_status_row(record) for record in records])


def agents_line(answer: wire.Answer) -> str:
    """Return how the agents are, and in a second line whether they are too few to begin anything."""
    unwell = [f"{agent.name} {agent.health}" for agent in answer.agents if agent.health != ALIVE]
    line = f"agents: {len(answer.agents)}" + (f"; {', '.join(unwell)}" if unwell else ", all alive")
    return line if answer.quorum else f"{line}\nthis agent hears too few of the others to begin anything"


def plan_steps(kind: Kind, records: Sequence[InstanceRecord], build: str, batch: int) -> list[PlanStep]:
    """Return what an operation would do, in its order."""
    request = OperationRequest("plan", kind, by="", coordinator="", at=0.0, build=build, batch=batch)
    operation = plan_operation(request, records)
    known = {record.name: record for record in records}
    return [
        _plan_step(operation, progress, known[progress.instance], index // batch + 1)
        for index, progress in enumerate(operation.instances)
    ]


def plan_table(steps: Sequence[PlanStep]) -> str:
    """Return a plan with a line for each instance."""
    return format_rows(
        PLAN_COLUMNS, [[str(cell) for cell in msgspec.structs.astuple(step)] for step in steps]
    )


def entry_table(entry: InstanceRecord | Operation | wire.AgentView) -> str:
    """Return all fields of an instance, an operation or an agent."""
    fields: dict[str, Any] = msgspec.to_builtins(entry)
    return format_rows(ENTRY_COLUMNS, [[name, cell] for name in fields for cell in _cells(fields[name])])


def history_line(entry: HistoryEntry) -> str:
    """Return a line of history in local time."""
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(entry.at))
    return f"{at} {entry.agent:<10} {entry.text}"


def held_by(record: InstanceRecord) -> str:
    """Say who holds an instance."""
    claim = record.claim
    if claim is None or claim.until < time.time():
        return NOTHING
    return f"{claim.by}: {claim.what} {claim.operation}"


def _status_row(record: InstanceRecord) -> list[str]:
    observed, desired = record.observed, record.desired
    return [
        record.name,
        record.hall,
        record.agent,
        observed.state,
        observed.build or NOTHING,
        _goal(desired.run, desired.build),
        str(observed.requests),
        str(observed.failed),
        str(observed.starts),
        held_by(record),
        observed.note or NOTHING,
    ]


def _plan_step(operation: Operation, progress: Progress, record: InstanceRecord, batch: int) -> PlanStep:
    target = target_state(operation, progress, record)
    return PlanStep(
        batch=batch,
        instance=progress.instance,
        hall=progress.hall,
        agent=progress.agent,
        before=_goal(progress.run_before, progress.build_before),
        after=_goal(target.run, target.build) + (" anew" if target.restart else ""),
        held_by=held_by(record),
    )


def _goal(run: bool, build: str) -> str:
    return f"run {build}" if run else STOPPED


def _cells(value: object) -> Iterator[str]:
    if not isinstance(value, list):
        yield str(value)
        return
    for inner in value:
        if isinstance(inner, dict):
            yield ", ".join(f"{name}={field}" for name, field in inner.items() if field not in _EMPTY)
        else:
            yield str(inner)
