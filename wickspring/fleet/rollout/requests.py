"""The requests of an operation to agents: claims, permission to be down, and what is wanted; no I/O.

Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickspring.fleet import home
from wickspring.fleet.model import FLEET, Operation, Progress, Record, Step, scope_of
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import desired_state, needed_scopes
from wickspring.fleet.rollout.progress import ACTIVE_STEPS

RENEWAL_SHARE = 1 / 3  # of the lease, after which it is renewed


@dataclass(slots=True, frozen=True)
class AgentRequest:
    """A request to an agent; its reply goes to `replies.receive_reply`."""

    agent: str
    request: home.Request


def claim_request(operation: Operation, agent: str, until: float) -> AgentRequest:
    """Return the claim of all instances of one agent."""
    names = tuple(progress.instance for progress in operation.instances if progress.agent == agent)
    kind = operation.kind.value
    claim = home.TakeClaims(operation.id, operation.by, operation.coordinator, kind, names, until)
    return AgentRequest(agent, claim)


def renewal_requests(operation: Operation, observation: FleetObservation, now: float) -> list[AgentRequest]:
    """Return renewals of all claims and permissions; none before they are due."""
    lease_s = observation.rules.lease_s
    if now - operation.renewed_at < RENEWAL_SHARE * lease_s:
        return []
    agents = {*operation.claimed, *_wardens(operation, observation)}
    return [AgentRequest(agent, home.RenewClaims(operation.id, now + lease_s)) for agent in sorted(agents)]


def _wardens(operation: Operation, observation: FleetObservation) -> set[str]:
    scopes = {FLEET, *(scope_of(progress.hall) for progress in operation.instances)}
    return {observation.wardens[scope] for scope in scopes if scope in observation.wardens}


def release_requests(operation: Operation, observation: FleetObservation) -> list[AgentRequest]:
    """Return what is left to be released: claims, and permissions of instances that serve again."""
    unreleased = [agent for agent in operation.claimed if agent not in operation.released]
    requests = [AgentRequest(agent, home.ReleaseClaims(operation.id)) for agent in unreleased]
    for progress in operation.instances:
        record = observation.records.get(progress.instance)
        if record is not None:
            requests += _returned_permissions(operation, progress, record, observation)
    return requests


def instance_requests(
    operation: Operation, progress: Progress, observation: FleetObservation, now: float
) -> list[AgentRequest]:
    """Return the requests that an instance needs in its current step."""
    record = observation.records.get(progress.instance)
    if record is None:
        return []
    if progress.step is Step.ASKING:
        return _permission_requests(operation, progress, record, observation, now)
    if progress.step is Step.MOVING and progress.version < 0:
        return [_want_request(operation, progress, record)]
    return _returned_permissions(operation, progress, record, observation)


def _permission_requests(
    operation: Operation, progress: Progress, record: Record, observation: FleetObservation, now: float
) -> list[AgentRequest]:
    """Request one scope's permission at a time, in the same order everywhere, so that no two deadlock."""
    rules = observation.rules
    if now < progress.denied_at + rules.ask_again_s:
        return []
    for scope in needed_scopes(operation, progress, record):
        if scope in progress.granted:
            continue
        until = now + rules.lease_s
        slot = home.TakeSlot(operation.id, progress.instance, scope, until, operation.below_floor)
        return [AgentRequest(observation.wardens[scope], slot)]
    return []


def _want_request(operation: Operation, progress: Progress, record: Record) -> AgentRequest:
    desired = desired_state(operation, progress, record)
    request = home.SetWant(
        operation.id,
        progress.instance,
        progress.expect,
        desired.run,
        desired.build,
        desired.restart,
        operation.by,
    )
    return AgentRequest(progress.agent, request)


def _returned_permissions(
    operation: Operation, progress: Progress, record: Record, observation: FleetObservation
) -> list[AgentRequest]:
    """Give back the permissions of an instance that serves again.

    One that does not serve keeps them until their lease ends: by then the wardens know that it is down.
    """
    if progress.step in ACTIVE_STEPS or progress.step is Step.PENDING or not record.seen.ready:
        return []
    return [
        AgentRequest(observation.wardens[scope], home.GiveSlot(operation.id, progress.instance, scope))
        for scope in progress.slots
        if scope in observation.wardens
    ]
