"""The steps of one instance within an operation, judged by what its agent reports; no I/O.

    PENDING -> ASKING -> MOVING -> PROVING -> DONE, or REVERTED while the operation reverts

An instance may become LOST in any of these steps but the last, and FAILED while it is active. Each function
returns the instance's next progress, or None if nothing has changed. Times are Unix seconds.
"""

from __future__ import annotations

import msgspec

from wickspring.fleet.model import FLEET, Operation, Phase, Progress, Record, Rules, Step, scope_of
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import needed_scopes
from wickspring.fleet.rollout.progress import ACTIVE_STEPS, enter_step, finish

MAX_CRASHES = 3  # failures in a row after a change, by which the instance counts as failed
PERMISSION_TIMEOUT_FACTOR = 20.0  # times `Rules.ready_within_s`: how long permission to be down is waited for


def next_progress(
    operation: Operation, progress: Progress, observation: FleetObservation, now: float
) -> Progress | None:
    """Return an instance's progress after what was observed of it and of its agent."""
    record = observation.records.get(progress.instance)
    active = progress.step in ACTIVE_STEPS
    if record is None:
        return _without_record(progress, observation, now) if active else None
    dead_agent = _dead_agent(progress, observation)
    if dead_agent and (active or progress.step is Step.PENDING):
        return enter_step(progress, Step.LOST, now, f"agent {dead_agent} is not heard")
    if progress.step is Step.LOST and not dead_agent:
        return _found_again(operation, progress, now)
    if not active:
        return None
    return _judge(operation, progress, record, observation.rules, now)


def _without_record(progress: Progress, observation: FleetObservation, now: float) -> Progress:
    """Judge an instance that no agent reports: a coordinator that has restarted has not heard of all yet."""
    if any(record.agent == progress.agent for record in observation.records.values()):
        return enter_step(progress, Step.FAILED, now, "no agent tells of it")
    if now - progress.since > observation.rules.moved_within_s:
        return enter_step(progress, Step.LOST, now, f"agent {progress.agent} is not heard")
    return progress


def _dead_agent(progress: Progress, observation: FleetObservation) -> str:
    """Return a dead agent that the instance needs: its own, or a warden before its change; empty if none."""
    if progress.agent in observation.dead:
        return progress.agent
    if progress.step in (Step.MOVING, Step.PROVING):
        return ""
    for scope in (scope_of(progress.hall), FLEET):
        warden = observation.wardens.get(scope)
        if warden is None:
            return f"for {scope}"  # a fleet file that has changed may name no hall of that name
        if warden in observation.dead:
            return warden
    return ""


def _found_again(operation: Operation, progress: Progress, now: float) -> Progress | None:
    """Begin anew with an instance that is reported again while the operation still runs."""
    if operation.phase not in (Phase.RUNNING, Phase.REVERTING):
        return None
    fresh = msgspec.structs.replace(progress, expect=-1, version=-1, granted=())
    return enter_step(fresh, Step.PENDING, now)


def _judge(
    operation: Operation, progress: Progress, record: Record, rules: Rules, now: float
) -> Progress | None:
    if progress.step is Step.ASKING:
        return _judge_permission(operation, progress, record, rules, now)
    if progress.step is Step.PROVING:
        return _judge_proof(operation, progress, record, rules, now)
    timed_out = now - progress.since > rules.moved_within_s
    if progress.version < 0 or record.seen.version < progress.version:
        # The agent has not replied, or not acted on it yet; nothing says that the instance is at fault.
        note = f"agent {progress.agent} did not carry it out"
        return enter_step(progress, Step.LOST, now, note) if timed_out else None
    if record.want.run:
        return _judge_start(progress, record, rules, now, timed_out)
    if record.seen.state == "stopped":
        return finish(operation, progress, now)
    note = f"still {record.seen.state} after its drain"
    return enter_step(progress, Step.FAILED, now, note) if timed_out else None


def _judge_permission(
    operation: Operation, progress: Progress, record: Record, rules: Rules, now: float
) -> Progress | None:
    """Change the instance once every scope permits it to be down."""
    if all(scope in progress.granted for scope in needed_scopes(operation, progress, record)):
        moving = enter_step(progress, Step.MOVING, now)
        return msgspec.structs.replace(moving, expect=record.want.version, version=-1)
    if now - progress.since > PERMISSION_TIMEOUT_FACTOR * rules.ready_within_s:
        return enter_step(progress, Step.FAILED, now, f"no leave to be down: {progress.note}")
    return None


def _judge_start(
    progress: Progress, record: Record, rules: Rules, now: float, timed_out: bool
) -> Progress | None:
    """Watch the instance once it is ready as wanted; fail it if it crashes or takes too long."""
    seen, want = record.seen, record.want
    if seen.ready and (seen.build, seen.generation) == (want.build, want.generation):
        proving = enter_step(progress, Step.PROVING, now)
        return msgspec.structs.replace(proving, seen_requests=seen.requests, seen_failed=seen.failed)
    if seen.failures >= MAX_CRASHES:
        note = f"ended {seen.failures} times, last with {seen.last_exit}"
        return enter_step(progress, Step.FAILED, now, note)
    if timed_out:
        note = f"build {want.build} not ready after {rules.ready_within_s:g} s"
        return enter_step(progress, Step.FAILED, now, f"{note}: {seen.note}" if seen.note else note)
    return None


def _judge_proof(
    operation: Operation, progress: Progress, record: Record, rules: Rules, now: float
) -> Progress | None:
    """Finish an instance that has served well for `Rules.hold_s`; fail it if it does not serve, or badly."""
    seen = record.seen
    if operation.phase is Phase.REVERTING and seen.ready:
        return finish(operation, progress, now)
    if seen.state == "starting" and not seen.failures:
        # Its agent has restarted and has no report of it yet, or has started it again: it is watched anew.
        return enter_step(progress, Step.MOVING, now)
    if not seen.ready:
        return enter_step(progress, Step.FAILED, now, f"was ready, and is {seen.state}")
    requests = seen.requests - progress.seen_requests
    failed = seen.failed - progress.seen_failed
    if requests >= rules.failed_least and failed > rules.failed_share_most * requests:
        return enter_step(progress, Step.FAILED, now, f"{failed} of {requests} answers failed")
    if now - progress.since >= rules.hold_s:
        return finish(operation, progress, now)
    return None
