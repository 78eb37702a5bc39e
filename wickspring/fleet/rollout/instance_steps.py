"""The steps of one instance within an operation, judged by what its agent reports; no I/O.

    PENDING -> ASKING -> MOVING -> PROVING -> DONE, or REVERTED while the operation reverts

An instance may become LOST in any of these steps but the last, and FAILED while it is active. Each function
returns the instance's next progress, or None if nothing has changed. Times are Unix seconds.
"""

from __future__ import annotations

import msgspec

from wickspring.fleet.model import FLEET, InstanceRecord, Operation, Phase, Progress, Rules, Step, scope_of
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import needed_scopes
from wickspring.fleet.rollout.progress import ACTIVE_STEPS, enter_step, finish

MAX_CRASHES = 3  # failures in a row after a change, by which the instance counts as failed
PERMIT_TIMEOUT_FACTOR = 20.0  # times `Rules.ready_within_s`: how long permits are waited for


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
    """Judge an instance that no agent reports: a coordinator that has restarted has no reports of all yet."""
    if any(record.agent == progress.agent for record in observation.records.values()):
        return enter_step(progress, Step.FAILED, now, "no agent tells of it")
    if now - progress.since > observation.rules.moved_within_s:
        return enter_step(progress, Step.LOST, now, f"agent {progress.agent} is not heard")
    return progress


def _dead_agent(progress: Progress, observation: FleetObservation) -> str:
    """Return a dead agent that the instance needs: its own, or before a change a permit issuer.

    Empty if there is none.
    """
    if progress.agent in observation.dead:
        return progress.agent
    if progress.step in (Step.MOVING, Step.PROVING):
        return ""
    for scope in (scope_of(progress.hall), FLEET):
        issuer = observation.permit_issuers.get(scope)
        if issuer is None:
            return f"for {scope}"  # a fleet file that has changed may name no hall of that name
        if issuer in observation.dead:
            return issuer
    return ""


def _found_again(operation: Operation, progress: Progress, now: float) -> Progress | None:
    """Begin anew with an instance that is reported again while the operation still runs."""
    if operation.phase not in (Phase.RUNNING, Phase.REVERTING):
        return None
    fresh = msgspec.structs.replace(progress, expected_version=-1, applied_version=-1, granted_scopes=())
    return enter_step(fresh, Step.PENDING, now)


def _judge(
    operation: Operation, progress: Progress, record: InstanceRecord, rules: Rules, now: float
) -> Progress | None:
    if progress.step is Step.ASKING:
        return _judge_permits(operation, progress, record, rules, now)
    if progress.step is Step.PROVING:
        return _judge_proof(operation, progress, record, rules, now)
    timed_out = now - progress.since > rules.moved_within_s
    if progress.applied_version < 0 or record.observed.version < progress.applied_version:
        # The agent has not replied, or not acted on it yet; nothing says that the instance is at fault.
        note = f"agent {progress.agent} did not carry it out"
        return enter_step(progress, Step.LOST, now, note) if timed_out else None
    if record.desired.run:
        return _judge_start(progress, record, rules, now, timed_out)
    if record.observed.state == "stopped":
        return finish(operation, progress, now)
    note = f"still {record.observed.state} after its drain"
    return enter_step(progress, Step.FAILED, now, note) if timed_out else None


def _judge_permits(
    operation: Operation, progress: Progress, record: InstanceRecord, rules: Rules, now: float
) -> Progress | None:
    """Change the instance once every scope has granted a permit."""
    if all(scope in progress.granted_scopes for scope in needed_scopes(operation, progress, record)):
        moving = enter_step(progress, Step.MOVING, now)
        return msgspec.structs.replace(moving, expected_version=record.desired.version, applied_version=-1)
    if now - progress.since > PERMIT_TIMEOUT_FACTOR * rules.ready_within_s:
        return enter_step(progress, Step.FAILED, now, f"no leave to be down: {progress.note}")
    return None


def _judge_start(
    progress: Progress, record: InstanceRecord, rules: Rules, now: float, timed_out: bool
) -> Progress | None:
    """Watch the instance once it is ready as desired; fail it if it crashes or takes too long."""
    observed, desired = record.observed, record.desired
    if observed.ready and (observed.build, observed.generation) == (desired.build, desired.generation):
        proving = enter_step(progress, Step.PROVING, now)
        return msgspec.structs.replace(
            proving, requests_before=observed.requests, failed_before=observed.failed
        )
    if observed.failures >= MAX_CRASHES:
        note = f"ended {observed.failures} times, last with {observed.last_exit}"
        return enter_step(progress, Step.FAILED, now, note)
    if timed_out:
        note = f"build {desired.build} not ready after {rules.ready_within_s:g} s"
        return enter_step(progress, Step.FAILED, now, f"{note}: {observed.note}" if observed.note else note)
    return None


def _judge_proof(
    operation: Operation, progress: Progress, record: InstanceRecord, rules: Rules, now: float
) -> Progress | None:
    """Finish an instance that has served well for `Rules.hold_s`; fail it if it does not serve, or badly."""
    observed = record.observed
    if operation.phase is Phase.REVERTING and observed.ready:
        return finish(operation, progress, now)
    if observed.state == "starting" and not observed.failures:
        # Its agent has restarted and has no report of it yet, or has started it again: it is watched anew.
        return enter_step(progress, Step.MOVING, now)
    if not observed.ready:
        return enter_step(progress, Step.FAILED, now, f"was ready, and is {observed.state}")
    requests = observed.requests - progress.requests_before
    failed = observed.failed - progress.failed_before
    if requests >= rules.failed_least and failed > rules.failed_share_most * requests:
        return enter_step(progress, Step.FAILED, now, f"{failed} of {requests} answers failed")
    if now - progress.since >= rules.hold_s:
        return finish(operation, progress, now)
    return None
