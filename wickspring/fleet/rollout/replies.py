"""What the reply of an agent changes in an operation; no I/O. Times are Unix seconds."""

from __future__ import annotations

import msgspec

from wickspring.fleet import home
from wickspring.fleet.model import Operation, Phase, Step
from wickspring.fleet.rollout.progress import begin_release, enter_step, replace_progress


def receive_reply(
    operation: Operation, now: float, agent: str, request: home.Request, reply: home.Reply
) -> Operation:
    """Return the operation after an agent's reply; a reply that comes too late changes nothing."""
    if operation.phase.ended:
        return operation
    if isinstance(request, home.TakeClaims):
        return _receive_claim(operation, now, agent, reply)
    if isinstance(request, home.ReleaseClaims):
        released = tuple(sorted({*operation.released, agent}))
        return msgspec.structs.replace(operation, released=released, heard_at=now)
    if isinstance(request, home.TakeSlot):
        return _receive_permission(operation, now, request, reply)
    if isinstance(request, home.GiveSlot):
        return _receive_return(operation, now, request)
    if isinstance(request, home.SetWant):
        return _receive_want(operation, now, request, reply)
    return operation


def _receive_claim(operation: Operation, now: float, agent: str, reply: home.Reply) -> Operation:
    if operation.phase is not Phase.CLAIMING:
        return operation
    if reply.conflicts:
        return begin_release(operation, now, Phase.REFUSED, _describe(reply.conflicts[0]))
    if reply.reason:
        return begin_release(operation, now, Phase.FAILED, reply.reason)
    claimed = tuple(sorted({*operation.claimed, agent}))
    return msgspec.structs.replace(operation, claimed=claimed, heard_at=now)


def _describe(conflict: home.Conflict) -> str:
    claim = conflict.claim
    holder = f"{claim.by}'s {claim.what} {claim.operation}"
    return f"{conflict.instance} is held by {holder} since {claim.at:.3f}"


def _receive_permission(
    operation: Operation, now: float, request: home.TakeSlot, reply: home.Reply
) -> Operation:
    progress = operation.find(request.instance)
    if progress is None or progress.step is not Step.ASKING:
        return operation
    if reply.reason:
        denied = msgspec.structs.replace(progress, note=reply.reason, denied_at=now)
        return replace_progress(operation, denied, now, advanced=False)
    granted = tuple(sorted({*progress.granted, request.scope}))
    slots = tuple(sorted({*progress.slots, request.scope}))
    permitted = msgspec.structs.replace(progress, granted=granted, slots=slots, note="")
    return replace_progress(operation, permitted, now)


def _receive_return(operation: Operation, now: float, request: home.GiveSlot) -> Operation:
    progress = operation.find(request.instance)
    if progress is None:
        return operation
    slots = tuple(scope for scope in progress.slots if scope != request.scope)
    return replace_progress(operation, msgspec.structs.replace(progress, slots=slots), now)


def _receive_want(operation: Operation, now: float, request: home.SetWant, reply: home.Reply) -> Operation:
    progress = operation.find(request.instance)
    if progress is None or progress.step is not Step.MOVING:
        return operation
    if progress.version >= 0 or request.expect != progress.expect:
        return operation
    if not reply.reason:
        changed = msgspec.structs.replace(progress, version=reply.version, moved=True, since=now)
        return replace_progress(operation, changed, now)
    holder = f" (held by {reply.conflicts[0].claim.by})" if reply.conflicts else ""
    failed = enter_step(progress, Step.FAILED, now, reply.reason + holder)
    return replace_progress(operation, failed, now)
