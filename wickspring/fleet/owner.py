"""The agent that owns instances, as a state machine: their desired state, claims on them, and permits.

Every change is a pure function: `handle_request` returns the state after a request and the reply. A state
consists of persistent maps, so that a reader keeps the one it has.

Claims are acquired from all owners before any instance is changed, and each change of a desired state is a
compare-and-set under its claim: of two operations on one instance, one is refused and names the other.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec
from rpds import HashTrieMap

from wickspring.fleet.model import (
    FLEET,
    Claim,
    DesiredState,
    InstanceRecord,
    ObservedState,
    Permit,
    Rules,
    scope_of,
)
from wickspring.fleet.owner_messages import (
    AcquireClaims,
    AcquirePermit,
    Conflict,
    ReleaseClaims,
    ReleasePermit,
    RenewClaims,
    Reply,
    Request,
    SetDesiredState,
)

MAX_NAMED_DOWN = 5  # instances that a refused permit names
ROUNDING = 1e-9  # so that a share of 1/3 of 3 is 1


class OwnerState(msgspec.Struct, frozen=True):
    """An agent's own instances, and the permits that it has issued."""

    agent: str
    records: HashTrieMap[str, InstanceRecord] = HashTrieMap()
    permits: HashTrieMap[str, Permit] = HashTrieMap()  # by scope and instance


class FleetStatus(msgspec.Struct, frozen=True):
    """What a permit issuer decides by: the fleet as last reported, and whether most agents report."""

    records: HashTrieMap[str, InstanceRecord] = HashTrieMap()
    quorum: bool = True
    dead: frozenset[str] = frozenset()  # agents that have stopped reporting


class Outcome(NamedTuple):
    """The state after a request, and the reply to it."""

    state: OwnerState
    reply: Reply


def max_down(size: int, share: float) -> int:
    """Return how many of `size` instances may be down: the share of them, and at least one."""
    return max(1, math.floor(size * share + ROUNDING))


def handle_request(
    state: OwnerState, now: float, request: Request, rules: Rules, status: FleetStatus
) -> Outcome:
    """Carry out a coordinator's request."""
    if isinstance(request, AcquireClaims):
        return _acquire_claims(state, now, request)
    if isinstance(request, RenewClaims):
        return _renew_claims(state, request)
    if isinstance(request, ReleaseClaims):
        return _release_claims(state, request)
    if isinstance(request, SetDesiredState):
        return _set_desired_state(state, now, request)
    if isinstance(request, AcquirePermit):
        return _acquire_permit(state, now, request, rules, status)
    return _release_permit(state, request)


# Instances.


def observe(state: OwnerState, name: str, observed: ObservedState) -> OwnerState:
    """Return the state with what was observed of an instance."""
    record = state.records.get(name)
    if record is None or record.observed == observed:
        return state
    return _put(state, msgspec.structs.replace(record, observed=observed))


def register(state: OwnerState, record: InstanceRecord) -> OwnerState:
    """Add an instance of the fleet file, or bring what the file says of it up to date."""
    old = state.records.get(record.name)
    if old is None:
        return _put(state, record)
    updated = msgspec.structs.replace(old, hall=record.hall, agent=record.agent, labels=record.labels)
    return _put(state, updated)


def forget(state: OwnerState, name: str) -> OwnerState:
    """Remove an instance that the fleet file no longer names, unless it is to run or claimed."""
    record = state.records.get(name)
    if record is None or record.desired.run or record.claim is not None:
        return state
    return msgspec.structs.replace(state, records=state.records.remove(name))


def _put(state: OwnerState, record: InstanceRecord) -> OwnerState:
    return msgspec.structs.replace(state, records=state.records.insert(record.name, record))


# Claims.


def _acquire_claims(state: OwnerState, now: float, request: AcquireClaims) -> Outcome:
    unknown = [name for name in request.instances if name not in state.records]
    if unknown:
        return Outcome(state, Reply(f"{state.agent} has no instance {', '.join(unknown)}"))
    conflicts = _conflicts(state, now, request)
    if conflicts:
        return Outcome(state, Reply("held by another operation", conflicts))
    claim = Claim(request.operation, request.by, request.coordinator, now, request.until, request.what)
    for name in request.instances:
        state = _put(state, msgspec.structs.replace(state.records[name], claim=claim))
    return Outcome(state, Reply())


def _conflicts(state: OwnerState, now: float, request: AcquireClaims) -> tuple[Conflict, ...]:
    claims = [(name, state.records[name].claim) for name in request.instances]
    return tuple(
        Conflict(name, claim)
        for name, claim in claims
        if claim is not None and claim.until > now and claim.operation != request.operation
    )


def _renew_claims(state: OwnerState, request: RenewClaims) -> Outcome:
    """Extend claims and permits; one that has expired as well, since no other operation has taken it."""
    found = False
    for record in state.records.values():
        claim = record.claim
        if claim is not None and claim.operation == request.operation:
            found = True
            renewed = msgspec.structs.replace(claim, until=max(claim.until, request.until))
            state = _put(state, msgspec.structs.replace(record, claim=renewed))
    for key, permit in state.permits.items():
        if permit.operation == request.operation:
            state = _put_permit(state, key, _extended(permit, request.until))
    return Outcome(state, Reply("" if found else "no claim of this operation is left"))


def _release_claims(state: OwnerState, request: ReleaseClaims) -> Outcome:
    """Release claims, not permits: these expire, since their issuer may not know of a drain yet."""
    for record in state.records.values():
        if record.claim is not None and record.claim.operation == request.operation:
            state = _put(state, msgspec.structs.replace(record, claim=None))
    return Outcome(state, Reply())


# Desired state.


def _set_desired_state(state: OwnerState, now: float, request: SetDesiredState) -> Outcome:
    record = state.records.get(request.instance)
    if record is None:
        return Outcome(state, Reply(f"{state.agent} has no instance {request.instance}"))
    claim = record.claim
    if claim is None or claim.operation != request.operation:
        conflicts = (Conflict(record.name, claim),) if claim is not None else ()
        return Outcome(state, Reply("not held by this operation", conflicts))
    desired = record.desired
    if _is_carried_out(desired, request):
        return Outcome(state, Reply(version=desired.version))
    if desired.version != request.expected_version:
        return Outcome(state, Reply(f"changed meanwhile by {desired.by}", version=desired.version))
    changed = DesiredState(
        request.run,
        request.build,
        desired.version + 1,
        desired.generation + request.restart,
        request.by,
        now,
    )
    before = desired.build if desired.build != request.build else record.before
    state = _put(state, msgspec.structs.replace(record, desired=changed, before=before))
    return Outcome(state, Reply(version=changed.version))


def _is_carried_out(desired: DesiredState, request: SetDesiredState) -> bool:
    """Tell whether a request was carried out before, and its reply lost."""
    if desired.version != request.expected_version + 1:
        return False
    return (desired.run, desired.build) == (request.run, request.build)


# Permits.


def _acquire_permit(
    state: OwnerState, now: float, request: AcquirePermit, rules: Rules, status: FleetStatus
) -> Outcome:
    key = _permit_key(request.scope, request.instance)
    held = state.permits.get(key)
    if held is not None and held.operation == request.operation:
        return Outcome(_put_permit(state, key, _extended(held, request.until)), Reply())
    if not status.quorum:
        return Outcome(state, Reply(f"{state.agent} hears too few agents to give leave", wait=True))
    in_scope = _records_in_scope(status, request.scope)
    share = rules.down_share_fleet if request.scope == FLEET else rules.down_share_hall
    down = _down(state, now, request, in_scope, status)
    if len(down) >= max_down(len(in_scope), share) and not request.below_floor:
        names = ", ".join(sorted(down)[:MAX_NAMED_DOWN])
        return Outcome(state, Reply(f"{request.scope}: {len(down)} down already ({names})", wait=True))
    permit = Permit(request.scope, request.instance, request.operation, request.until)
    return Outcome(_put_permit(state, key, permit), Reply())


def _release_permit(state: OwnerState, request: ReleasePermit) -> Outcome:
    key = _permit_key(request.scope, request.instance)
    held = state.permits.get(key)
    if held is not None and held.operation == request.operation:
        state = msgspec.structs.replace(state, permits=state.permits.remove(key))
    return Outcome(state, Reply())


def _records_in_scope(status: FleetStatus, scope: str) -> list[InstanceRecord]:
    records = status.records.values()
    return [record for record in records if scope in (FLEET, scope_of(record.hall))]


def _down(
    state: OwnerState,
    now: float,
    request: AcquirePermit,
    in_scope: list[InstanceRecord],
    status: FleetStatus,
) -> set[str]:
    """Return the instances of a scope that count as down, apart from the one of the request.

    One with a permit counts though it may still serve, and so does one that is down without a permit, for
    whatever reason: an operator, a crash or a lost agent.
    """
    down = {record.name for record in in_scope if not _serves(record, status)}
    permits = state.permits.values()
    down |= {permit.instance for permit in permits if permit.scope == request.scope and permit.until > now}
    return down - {request.instance}


def _serves(record: InstanceRecord, status: FleetStatus) -> bool:
    return record.desired.run and record.observed.ready and record.agent not in status.dead


def _permit_key(scope: str, instance: str) -> str:
    return f"{scope}/{instance}"


def _extended(permit: Permit, until: float) -> Permit:
    return msgspec.structs.replace(permit, until=max(permit.until, until))


def _put_permit(state: OwnerState, key: str, permit: Permit) -> OwnerState:
    return msgspec.structs.replace(state, permits=state.permits.insert(key, permit))
