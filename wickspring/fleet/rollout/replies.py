"""What the reply of an agent changes in an operation; no I/O. Times are Unix seconds."""

from __future__ import annotations

import msgspec

from wickspring.fleet import owner_messages
from wickspring.fleet.model import Operation, Phase, Step
from wickspring.fleet.rollout.progress import begin_release, enter_step, replace_progress


def receive_reply(
    operation: Operation, now: float, agent: str, request: owner_messages.Request, reply: owner_messages.Reply
) -> Operation:
    """Return the operation after an agent's reply; a reply that comes too late changes nothing."""
    if operation.phase.ended:
        return operation
    if isinstance(request, owner_messages.AcquireClaims):
        return _receive_claim(operation, now, agent, reply)
    if isinstance(request, owner_messages.ReleaseClaims):
        released = tuple(sorted({*operation.released, agent}))
        return msgspec.structs.replace(operation, released=released, advanced_at=now)
    if isinstance(request, owner_messages.AcquirePermit):
        return _receive_permit(operation, now, request, reply)
    if isinstance(request, owner_messages.ReleasePermit):
        return _receive_permit_release(operation, now, request)
    if isinstance(request, owner_messages.SetDesiredState):
        return _receive_desired_state(operation, now, request, reply)
    return operation


def _receive_claim(operation: Operation, now: float, agent: str, reply: owner_messages.Reply) -> Operation:
    if operation.phase is not Phase.CLAIMING:
        return operation
    if reply.conflicts:
        return begin_release(operation, now, Phase.REFUSED, _describe(reply.conflicts[0]))
    if reply.reason:
        return begin_release(operation, now, Phase.FAILED, reply.reason)
    claimed = tuple(sorted({*operation.claimed, agent}))
    return msgspec.structs.replace(operation, claimed=claimed, advanced_at=now)


def _describe(conflict: owner_messages.Conflict) -> str:
    claim = conflict.claim
    holder = f"{claim.by}'s {claim.what} {claim.operation}"
    return f"{conflict.instance} is held by {holder} since {claim.at:.3f}"


def _receive_permit(
    operation: Operation, now: float, request: owner_messages.AcquirePermit, reply: owner_messages.Reply
) -> Operation:
    progress = operation.find(request.instance)
    if progress is None or progress.step is not Step.ASKING:
        return operation
    if reply.reason:
        denied = msgspec.structs.replace(progress, note=reply.reason, denied_at=now)
        return replace_progress(operation, denied, now, advanced=False)
    granted_scopes = tuple(sorted({*progress.granted_scopes, request.scope}))
    permits = tuple(sorted({*progress.permits, request.scope}))
    permitted = msgspec.structs.replace(progress, granted_scopes=granted_scopes, permits=permits, note="")
    return replace_progress(operation, permitted, now)


def _receive_permit_release(
    operation: Operation, now: float, request: owner_messages.ReleasePermit
) -> Operation:
    progress = operation.find(request.instance)
    if progress is None:
        return operation
    permits = tuple(scope for scope in progress.permits if scope != request.scope)
    return replace_progress(operation, msgspec.structs.replace(progress, permits=permits), now)


def _receive_desired_state(
    operation: Operation, now: float, request: owner_messages.SetDesiredState, reply: owner_messages.Reply
) -> Operation:
    progress = operation.find(request.instance)
    if progress is None or progress.step is not Step.MOVING:
        return operation
    if progress.applied_version >= 0 or request.expected_version != progress.expected_version:
        return operation
    if not reply.reason:
        changed = msgspec.structs.replace(
            progress, applied_version=reply.version, was_changed=True, since=now
        )
        return replace_progress(operation, changed, now)
    holder = f" (held by {reply.conflicts[0].claim.by})" if reply.conflicts else ""
    failed = enter_step(progress, Step.FAILED, now, reply.reason + holder)
    return replace_progress(operation, failed, now)
