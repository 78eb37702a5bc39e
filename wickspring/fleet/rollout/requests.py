"""The requests of an operation to agents: claims, permits and desired states; no I/O.

Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.fleet import owner_messages
from wickspring.fleet.model import FLEET, InstanceRecord, Operation, Progress, Step, scope_of
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import needed_scopes, target_state
from wickspring.fleet.rollout.progress import ACTIVE_STEPS

RENEWAL_SHARE = 1 / 3  # of the lease, after which it is renewed


@dataclass(slots=True, frozen=True)
class AgentRequest:
    """A request to an agent; its reply goes to `replies.receive_reply`."""

    agent: str
    request: owner_messages.Request


def claim_request(operation: Operation, agent: str, until: float) -> AgentRequest:
    """Return the claim of all instances of one agent."""
    names = tuple(progress.instance for progress in operation.instances if progress.agent == agent)
    kind = operation.kind.value
    claim = owner_messages.AcquireClaims(
        operation.id, operation.by, operation.coordinator, kind, names, until
    )
    return AgentRequest(agent, claim)


def renewal_requests(operation: Operation, observation: FleetObservation, now: float) -> list[AgentRequest]:
    """Return renewals of all claims and permits; none before they are due."""
    lease_s = observation.rules.lease_s
    if now - operation.renewed_at < RENEWAL_SHARE * lease_s:
        return []
    agents = {*operation.claimed, *_permit_issuers(operation, observation)}
    return [
        AgentRequest(agent, owner_messages.RenewClaims(operation.id, now + lease_s))
        for agent in sorted(agents)
    ]


def _permit_issuers(operation: Operation, observation: FleetObservation) -> set[str]:
    scopes = {FLEET, *(scope_of(progress.hall) for progress in operation.instances)}
    return {observation.permit_issuers[scope] for scope in scopes if scope in observation.permit_issuers}


def release_requests(operation: Operation, observation: FleetObservation) -> list[AgentRequest]:
    """Return what is left to be released: claims, and permits of instances that serve again."""
    unreleased = [agent for agent in operation.claimed if agent not in operation.released]
    requests = [AgentRequest(agent, owner_messages.ReleaseClaims(operation.id)) for agent in unreleased]
    for progress in operation.instances:
        record = observation.records.get(progress.instance)
        if record is not None:
            requests += _permit_releases(operation, progress, record, observation)
    return requests


def instance_requests(
    operation: Operation, progress: Progress, observation: FleetObservation, now: float
) -> list[AgentRequest]:
    """Return the requests that an instance needs in its current step."""
    record = observation.records.get(progress.instance)
    if record is None:
        return []
    if progress.step is Step.ASKING:
        return _permit_requests(operation, progress, record, observation, now)
    if progress.step is Step.MOVING and progress.applied_version < 0:
        return [_desired_state_request(operation, progress, record)]
    return _permit_releases(operation, progress, record, observation)


def _permit_requests(
    operation: Operation,
    progress: Progress,
    record: InstanceRecord,
    observation: FleetObservation,
    now: float,
) -> list[AgentRequest]:
    """Request one scope's permit at a time, in the same order everywhere, so that no two deadlock."""
    rules = observation.rules
    if now < progress.denied_at + rules.ask_again_s:
        return []
    for scope in needed_scopes(operation, progress, record):
        if scope in progress.granted_scopes:
            continue
        until = now + rules.lease_s
        permit = owner_messages.AcquirePermit(
            operation.id, progress.instance, scope, until, operation.below_floor
        )
        return [AgentRequest(observation.permit_issuers[scope], permit)]
    return []


def _desired_state_request(operation: Operation, progress: Progress, record: InstanceRecord) -> AgentRequest:
    target = target_state(operation, progress, record)
    request = owner_messages.SetDesiredState(
        operation.id,
        progress.instance,
        progress.expected_version,
        target.run,
        target.build,
        target.restart,
        operation.by,
    )
    return AgentRequest(progress.agent, request)


def _permit_releases(
    operation: Operation, progress: Progress, record: InstanceRecord, observation: FleetObservation
) -> list[AgentRequest]:
    """Release the permits of an instance that serves again.

    One that does not serve keeps them until their lease ends: by then their issuers know that it is down.
    """
    if progress.step in ACTIVE_STEPS or progress.step is Step.PENDING or not record.observed.ready:
        return []
    return [
        AgentRequest(
            observation.permit_issuers[scope],
            owner_messages.ReleasePermit(operation.id, progress.instance, scope),
        )
        for scope in progress.permits
        if scope in observation.permit_issuers
    ]
