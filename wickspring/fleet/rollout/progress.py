"""Changes of an operation and of the progress of its instances, each as a changed copy; no I/O.

Times are Unix seconds.
"""

from __future__ import annotations

import msgspec

from wickspring.fleet.model import Operation, Phase, Progress, Step

ACTIVE_STEPS = (Step.ASKING, Step.MOVING, Step.PROVING)


def replace_progress(
    operation: Operation, progress: Progress, now: float, *, advanced: bool = True
) -> Operation:
    """Return the operation with an instance's new progress; `advanced` tells if it counts as going on."""
    instances = tuple(
        progress if other.instance == progress.instance else other for other in operation.instances
    )
    advanced_at = now if advanced else operation.advanced_at
    return msgspec.structs.replace(operation, instances=instances, advanced_at=advanced_at)


def enter_step(progress: Progress, step: Step, now: float, note: str = "") -> Progress:
    """Return the progress at the beginning of a step."""
    return msgspec.structs.replace(progress, step=step, since=now, note=note)


def finish(operation: Operation, progress: Progress, now: float) -> Progress:
    """Return the progress of an instance that is as the operation wants it."""
    reverting = operation.phase is Phase.REVERTING
    return enter_step(progress, Step.REVERTED if reverting else Step.DONE, now, progress.note)


def begin_release(operation: Operation, now: float, outcome: Phase, reason: str = "") -> Operation:
    """Return the operation as it begins to release its claims, to end with an outcome."""
    instances = tuple(_untouched_if_waiting(progress) for progress in operation.instances)
    return msgspec.structs.replace(
        operation,
        phase=Phase.RELEASING,
        outcome=outcome,
        reason=operation.reason or reason,
        advanced_at=now,
        instances=instances,
    )


def _untouched_if_waiting(progress: Progress) -> Progress:
    if progress.step not in (Step.PENDING, Step.ASKING):
        return progress
    return msgspec.structs.replace(progress, step=Step.UNTOUCHED)


def begin_revert(operation: Operation, now: float, failed: Progress) -> Operation:
    """Return the operation as it begins to revert every changed instance, the failed one first."""
    changed = [_pending_again(progress, now) for progress in operation.instances if progress.was_changed]
    changed.sort(key=lambda progress: progress.instance != failed.instance)
    others = [_given_up(progress, now) for progress in operation.instances if not progress.was_changed]
    return msgspec.structs.replace(
        operation,
        phase=Phase.REVERTING,
        instances=(*changed, *others),
        advanced_at=now,
        reason=f"{failed.instance}: {failed.note}",
    )


def _pending_again(progress: Progress, now: float) -> Progress:
    # Permits are requested again: they may have been released, and the replies to that lost.
    fresh = msgspec.structs.replace(
        progress, expected_version=-1, applied_version=-1, was_changed=False, granted_scopes=()
    )
    return enter_step(fresh, Step.PENDING, now, progress.note)


def _given_up(progress: Progress, now: float) -> Progress:
    if progress.step is Step.FAILED:
        return progress
    return enter_step(progress, Step.UNTOUCHED, now)
