"""The phases of an operation: each call advances it and returns the requests to send; no I/O.

Times are Unix seconds.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from wickspring.fleet.model import Kind, Operation, Phase, Step
from wickspring.fleet.rollout.instance_steps import next_progress
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.progress import (
    ACTIVE_STEPS,
    begin_release,
    begin_revert,
    enter_step,
    replace_progress,
)
from wickspring.fleet.rollout.requests import (
    AgentRequest,
    claim_request,
    instance_requests,
    release_requests,
    renewal_requests,
)


class Advance(NamedTuple):
    """An operation after it was advanced, and the requests to send for it."""

    operation: Operation
    requests: list[AgentRequest]


def advance(operation: Operation, now: float, observation: FleetObservation) -> Advance:
    """Take the steps that need no reply, and return what is to be requested."""
    if operation.phase.ended:
        return Advance(operation, [])
    if operation.phase is Phase.CLAIMING:
        return _claim(operation, now, observation)
    requests = renewal_requests(operation, observation, now)
    if requests:
        operation = msgspec.structs.replace(operation, renewed_at=now)
    if operation.phase is not Phase.RELEASING:
        operation = _observe_instances(operation, now, observation)
        operation = _conclude(operation, now)
    if operation.phase is Phase.RELEASING:
        return _release(operation, now, observation)
    if not observation.quorum:
        return Advance(operation, requests)
    operation = _begin_instances(operation, now, observation)
    for progress in operation.instances:
        requests += instance_requests(operation, progress, observation, now)
    return Advance(operation, requests)


def cancel(operation: Operation, now: float, by: str) -> Operation:
    """Begin nothing more; what is under way is brought to its end."""
    if operation.phase in (Phase.RELEASING, Phase.REVERTING) or operation.phase.ended:
        return operation
    operation = msgspec.structs.replace(operation, cancelled_by=by)
    if operation.phase is Phase.CLAIMING:
        return begin_release(operation, now, Phase.CANCELLED, f"cancelled by {by}")
    return operation


def _claim(operation: Operation, now: float, observation: FleetObservation) -> Advance:
    """Claim the instances of one agent after another."""
    rules = observation.rules
    unclaimed = [agent for agent in operation.agents if agent not in operation.claimed]
    if not unclaimed:
        running = msgspec.structs.replace(operation, phase=Phase.RUNNING, renewed_at=now)
        return advance(running, now, observation)
    if now - operation.at > rules.ready_within_s:
        reason = f"agent {unclaimed[0]} does not answer"
        return advance(begin_release(operation, now, Phase.FAILED, reason), now, observation)
    if not observation.quorum:
        return Advance(operation, [])
    return Advance(operation, [claim_request(operation, unclaimed[0], now + rules.lease_s)])


def _release(operation: Operation, now: float, observation: FleetObservation) -> Advance:
    """Release what is left; an agent that does not reply releases by itself when the lease ends."""
    requests = release_requests(operation, observation)
    if requests and now - operation.advanced_at < observation.rules.lease_s:
        return Advance(operation, requests)
    ended = msgspec.structs.replace(operation, phase=operation.outcome, ended_at=now)
    return Advance(ended, [])


def _observe_instances(operation: Operation, now: float, observation: FleetObservation) -> Operation:
    for progress in operation.instances:
        after = next_progress(operation, progress, observation, now)
        if after is not None:
            operation = replace_progress(operation, after, now)
    return operation


def _conclude(operation: Operation, now: float) -> Operation:
    """Judge the operation by its instances: revert it, release it, or let it go on."""
    steps = [progress.step for progress in operation.instances]
    active = any(step in ACTIVE_STEPS for step in steps)
    unfinished = active or Step.PENDING in steps
    if operation.phase is Phase.REVERTING:
        return operation if unfinished else begin_release(operation, now, Phase.FAILED)
    failed = next((one for one in operation.instances if one.step is Step.FAILED), None)
    if failed is not None and operation.kind in (Kind.UPGRADE, Kind.ROLLBACK):
        return begin_revert(operation, now, failed)
    if active:
        return operation
    if failed is not None:
        return begin_release(operation, now, Phase.FAILED, f"{failed.instance}: {failed.note}")
    if operation.cancelled_by:
        return begin_release(operation, now, Phase.CANCELLED, f"cancelled by {operation.cancelled_by}")
    return operation if unfinished else _finish(operation, now)


def _finish(operation: Operation, now: float) -> Operation:
    lost = sorted({progress.agent for progress in operation.instances if progress.step is Step.LOST})
    if lost:
        return begin_release(operation, now, Phase.FAILED, f"not heard: {', '.join(lost)}")
    return begin_release(operation, now, Phase.DONE)


def _begin_instances(operation: Operation, now: float, observation: FleetObservation) -> Operation:
    """Begin with pending instances, up to the size of the batch."""
    if operation.cancelled_by and operation.phase is Phase.RUNNING:
        return operation
    active = sum(progress.step in ACTIVE_STEPS for progress in operation.instances)
    for progress in operation.instances:
        if active >= operation.batch:
            break
        if progress.step is Step.PENDING and progress.instance in observation.records:
            active += 1
            operation = replace_progress(operation, enter_step(progress, Step.ASKING, now), now)
    return operation
