"""One operation's coordinator, as pure functions: what to ask of which agent now, and what an answer changes.

    CLAIMING -> RUNNING -> RELEASING -> DONE | FAILED | REFUSED | CANCELLED
                   |  ^
                   v  |  (an upgrade whose build fails)
                REVERTING

Whatever is asked may be asked again, so the caller sends what `advance` returns at every turn, and a
coordinator that was killed goes on from the operation as it was kept. Claims are asked for one agent after
another in order of name: two operations can't each hold what the other waits for.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

import msgspec
from rpds import HashTrieMap

from wickspring.fleet import home
from wickspring.fleet.model import (
    FLEET,
    Kind,
    Operation,
    Phase,
    Progress,
    Record,
    Rules,
    Seen,
    Step,
    scope_of,
)

ACTIVE = (Step.ASKING, Step.MOVING, Step.PROVING)
CRASHES = 3  # failures in a row of what was moved that say that it will not come up
LEAVE_TIMES = 20.0  # the time to become ready, for which leave to be down is waited for
RENEW_SHARE = 1 / 3  # of the lease

Records: TypeAlias = "HashTrieMap[str, Record]"


@dataclass(slots=True, frozen=True)
class Ask:
    """A request to an agent; its answer goes to `heard`."""

    agent: str
    request: home.Request


@dataclass(slots=True, frozen=True)
class Setting:
    """What an operation goes by beside itself."""

    records: Records  # the fleet as last heard of
    wardens: Mapping[str, str]  # agents by scope
    rules: Rules
    dead: frozenset[str] = frozenset()  # agents that are not heard of any more
    quorum: bool = True  # most agents are heard: without them nothing new is begun


def plan(
    kind: Kind,
    records: tuple[Record, ...],
    *,
    id: str,
    by: str,
    coordinator: str,
    now: float,
    build: str = "",
    batch: int = 1,
    below_floor: bool = False,
) -> Operation:
    """Make an operation on these instances, hall by hall."""
    ordered = sorted(records, key=lambda record: (record.hall, record.name))
    instances = tuple(
        Progress(
            record.name, record.agent, record.hall, build_before=record.want.build, run_before=record.want.run
        )
        for record in ordered
    )
    return Operation(
        id,
        kind,
        by,
        coordinator,
        now,
        instances,
        build,
        batch=max(1, batch),
        below_floor=below_floor,
        heard_at=now,
    )


def target(operation: Operation, one: Progress, record: Record) -> tuple[bool, str, bool]:
    """Return what is to be wanted of an instance: whether it runs, its build, and whether it starts anew."""
    if operation.phase is Phase.REVERTING:
        return one.run_before, one.build_before, False
    if operation.kind is Kind.DRAIN:
        return False, record.want.build, False
    if operation.kind is Kind.START:
        return True, operation.build or record.want.build, False
    if operation.kind is Kind.RESTART:
        return True, record.want.build, True
    if operation.kind is Kind.ROLLBACK:
        return record.want.run, operation.build or record.before or record.want.build, False
    return record.want.run, operation.build, False


def advance(operation: Operation, now: float, setting: Setting) -> tuple[Operation, list[Ask]]:
    """Take the steps that need no answer, and return what is to be asked."""
    if operation.phase.ended:
        return operation, []
    if operation.phase is Phase.CLAIMING:
        return _claiming(operation, now, setting)
    asks = _renewals(operation, now, setting)
    if asks:
        operation = msgspec.structs.replace(operation, renewed_at=now)
    if operation.phase is Phase.RELEASING:
        return _releasing(operation, now, setting)
    operation = _look(operation, now, setting)
    if operation.phase is Phase.RELEASING:
        return _releasing(operation, now, setting)
    if not setting.quorum:
        return operation, asks
    operation = _begin(operation, now, setting)
    for one in operation.instances:
        asks += _asks(operation, one, now, setting)
    return operation, asks


def heard(
    operation: Operation, now: float, agent: str, request: home.Request, reply: home.Reply
) -> Operation:
    """Take an answer in."""
    if operation.phase.ended:
        return operation
    if isinstance(request, home.TakeClaims):
        return _heard_claim(operation, now, agent, reply)
    if isinstance(request, home.ReleaseClaims):
        released = tuple(sorted({*operation.released, agent}))
        return msgspec.structs.replace(operation, released=released, heard_at=now)
    if isinstance(request, home.TakeSlot):
        one = operation.find(request.instance)
        if one is None or one.step is not Step.ASKING:
            return operation
        if reply.reason:
            denied = msgspec.structs.replace(one, note=reply.reason, denied_at=now)
            return _put(operation, denied, now, moved=False)
        granted, slots = {*one.granted, request.scope}, {*one.slots, request.scope}
        after = msgspec.structs.replace(
            one, granted=tuple(sorted(granted)), slots=tuple(sorted(slots)), note=""
        )
        return _put(operation, after, now)
    if isinstance(request, home.GiveSlot):
        one = operation.find(request.instance)
        if one is None:
            return operation
        left = tuple(scope for scope in one.slots if scope != request.scope)
        return _put(operation, msgspec.structs.replace(one, slots=left), now)
    if isinstance(request, home.SetWant):
        return _heard_want(operation, now, request, reply)
    return operation


def cancel(operation: Operation, now: float, by: str) -> Operation:
    """Begin nothing more; what is under way is brought to its end."""
    if operation.phase in (Phase.RELEASING, Phase.REVERTING) or operation.phase.ended:
        return operation
    operation = msgspec.structs.replace(operation, cancelled_by=by)
    if operation.phase is Phase.CLAIMING:
        return _release(operation, now, Phase.CANCELLED, f"cancelled by {by}")
    return operation


# Phases.


def _claiming(operation: Operation, now: float, setting: Setting) -> tuple[Operation, list[Ask]]:
    rules = setting.rules
    waiting = [agent for agent in operation.agents if agent not in operation.claimed]
    if not waiting:
        return advance(msgspec.structs.replace(operation, phase=Phase.RUNNING, renewed_at=now), now, setting)
    if now - operation.at > rules.ready_within_s:
        operation = _release(operation, now, Phase.FAILED, f"agent {waiting[0]} does not answer")
        return advance(operation, now, setting)
    if not setting.quorum:
        return operation, []
    names = tuple(one.instance for one in operation.instances if one.agent == waiting[0])
    claim = home.TakeClaims(
        operation.id, operation.by, operation.coordinator, operation.kind.value, names, now + rules.lease_s
    )
    return operation, [Ask(waiting[0], claim)]


def _heard_claim(operation: Operation, now: float, agent: str, reply: home.Reply) -> Operation:
    if operation.phase is not Phase.CLAIMING:
        return operation
    if reply.conflicts:
        first = reply.conflicts[0]
        reason = (
            f"{first.instance} is held by {first.claim.by}'s {first.claim.what} {first.claim.operation} "
            f"since {first.claim.at:.3f}"
        )
        return _release(operation, now, Phase.REFUSED, reason)
    if reply.reason:
        return _release(operation, now, Phase.FAILED, reply.reason)
    claimed = tuple(sorted({*operation.claimed, agent}))
    return msgspec.structs.replace(operation, claimed=claimed, heard_at=now)


def _releasing(operation: Operation, now: float, setting: Setting) -> tuple[Operation, list[Ask]]:
    left = [agent for agent in operation.claimed if agent not in operation.released]
    asks = [Ask(agent, home.ReleaseClaims(operation.id)) for agent in left]
    for one in operation.instances:
        record = setting.records.get(one.instance)
        if record is not None:
            asks += _gives(operation, one, record, setting)
    if asks and now - operation.heard_at < setting.rules.lease_s:
        return operation, asks
    # Whoever has not answered lets go by itself when the lease is over.
    return msgspec.structs.replace(operation, phase=operation.outcome, ended_at=now), []


def _release(operation: Operation, now: float, outcome: Phase, reason: str = "") -> Operation:
    steps = tuple(
        msgspec.structs.replace(one, step=Step.UNTOUCHED) if one.step in (Step.PENDING, Step.ASKING) else one
        for one in operation.instances
    )
    return msgspec.structs.replace(
        operation,
        phase=Phase.RELEASING,
        outcome=outcome,
        reason=operation.reason or reason,
        heard_at=now,
        instances=steps,
    )


def _wardens(operation: Operation, setting: Setting) -> set[str]:
    scopes = {scope_of(one.hall) for one in operation.instances} | {FLEET}
    return {setting.wardens[scope] for scope in scopes if scope in setting.wardens}


def _renewals(operation: Operation, now: float, setting: Setting) -> list[Ask]:
    lease = setting.rules.lease_s
    if now - operation.renewed_at < RENEW_SHARE * lease:
        return []
    agents = sorted({*operation.claimed, *_wardens(operation, setting)})
    return [Ask(agent, home.RenewClaims(operation.id, now + lease)) for agent in agents]


# Instances.


def _put(operation: Operation, one: Progress, now: float, moved: bool = True) -> Operation:
    instances = tuple(one if other.instance == one.instance else other for other in operation.instances)
    heard_at = now if moved else operation.heard_at
    return msgspec.structs.replace(operation, instances=instances, heard_at=heard_at)


def _to(one: Progress, step: Step, now: float, note: str = "") -> Progress:
    return msgspec.structs.replace(one, step=step, since=now, note=note)


def _begin(operation: Operation, now: float, setting: Setting) -> Operation:
    """Start as many instances as the batch has room for."""
    if operation.cancelled_by and operation.phase is Phase.RUNNING:
        return operation
    active = sum(one.step in ACTIVE for one in operation.instances)
    for one in operation.instances:
        if active >= operation.batch:
            break
        record = setting.records.get(one.instance)
        if one.step is Step.PENDING and record is not None:
            active += 1
            operation = _put(operation, _to(one, Step.ASKING, now), now)
    return operation


def _needs(operation: Operation, one: Progress, record: Record) -> tuple[str, ...]:
    """Return the scopes whose leave it needs: none where it serves nobody now, or is only started."""
    run, build, anew = target(operation, one, record)
    moves = not run or build != record.want.build or anew
    serves = record.want.run and record.seen.ready
    return (scope_of(one.hall), FLEET) if moves and serves else ()


def _asks(operation: Operation, one: Progress, now: float, setting: Setting) -> list[Ask]:
    record, rules = setting.records.get(one.instance), setting.rules
    if record is None:
        return []
    until = now + rules.lease_s
    if one.step is Step.ASKING:
        if now < one.denied_at + rules.ask_again_s:
            return []
        missing = [scope for scope in _needs(operation, one, record) if scope not in one.granted]
        # One after another, in the same order everywhere, so that two never hold one scope each.
        return [
            Ask(
                setting.wardens[scope],
                home.TakeSlot(operation.id, one.instance, scope, until, operation.below_floor),
            )
            for scope in missing[:1]
        ]
    if one.step is Step.MOVING and one.version < 0:
        run, build, anew = target(operation, one, record)
        return [
            Ask(
                one.agent,
                home.SetWant(operation.id, one.instance, one.expect, run, build, anew, operation.by),
            )
        ]
    return _gives(operation, one, record, setting)


def _gives(operation: Operation, one: Progress, record: Record, setting: Setting) -> list[Ask]:
    """Give leave back for what serves again.

    What does not keeps its place until the lease is over: by then its wardens have heard that it is down.
    """
    if one.step in ACTIVE or one.step is Step.PENDING or not record.seen.ready:
        return []
    return [
        Ask(setting.wardens[scope], home.GiveSlot(operation.id, one.instance, scope))
        for scope in one.slots
        if scope in setting.wardens
    ]


def _heard_want(operation: Operation, now: float, request: home.SetWant, reply: home.Reply) -> Operation:
    one = operation.find(request.instance)
    if one is None or one.step is not Step.MOVING or one.version >= 0 or request.expect != one.expect:
        return operation
    if not reply.reason:
        after = msgspec.structs.replace(one, version=reply.version, moved=True, since=now)
        return _put(operation, after, now)
    held = f" (held by {reply.conflicts[0].claim.by})" if reply.conflicts else ""
    return _put(operation, _to(one, Step.FAILED, now, reply.reason + held), now)


def _look(operation: Operation, now: float, setting: Setting) -> Operation:
    """Judge every instance by what is heard of it, and the operation by its instances."""
    for one in operation.instances:
        record, unheard = setting.records.get(one.instance), _unheard(one, setting)
        if record is None:
            if one.step in ACTIVE:
                operation = _put(operation, _untold(one, now, setting), now)
        elif unheard and one.step in (Step.PENDING, *ACTIVE):
            operation = _put(operation, _to(one, Step.LOST, now, f"agent {unheard} is not heard"), now)
        elif one.step is Step.LOST and not unheard and operation.phase in (Phase.RUNNING, Phase.REVERTING):
            # It is back while the operation goes on: from the beginning, with what is wanted there by now.
            again = msgspec.structs.replace(one, expect=-1, version=-1, granted=())
            operation = _put(operation, _to(again, Step.PENDING, now), now)
        elif one.step in ACTIVE:
            after = _judge(operation, one, record, now, setting.rules)
            if after is not one:
                operation = _put(operation, after, now)
    failed = [one for one in operation.instances if one.step is Step.FAILED]
    active = any(one.step in ACTIVE for one in operation.instances)
    pending = any(one.step is Step.PENDING for one in operation.instances)
    if operation.phase is Phase.REVERTING:
        if active or pending:
            return operation
        return _release(operation, now, Phase.FAILED)
    if failed and operation.kind in (Kind.UPGRADE, Kind.ROLLBACK):
        return _revert(operation, now, failed[0])
    if (failed or operation.cancelled_by) and not active:
        if failed:
            reason = f"{failed[0].instance}: {failed[0].note}"
            return _release(operation, now, Phase.FAILED, reason)
        return _release(operation, now, Phase.CANCELLED, f"cancelled by {operation.cancelled_by}")
    if not active and not pending:
        lost = sorted({one.agent for one in operation.instances if one.step is Step.LOST})
        if lost:
            return _release(operation, now, Phase.FAILED, f"not heard: {', '.join(lost)}")
        return _release(operation, now, Phase.DONE)
    return operation


def _untold(one: Progress, now: float, setting: Setting) -> Progress:
    """Judge an instance that is not told of: a coordinator just come back has not heard all agents yet."""
    if any(record.agent == one.agent for record in setting.records.values()):
        return _to(one, Step.FAILED, now, "no agent tells of it")
    if now - one.since > setting.rules.moved_within_s:
        return _to(one, Step.LOST, now, f"agent {one.agent} is not heard")
    return one


def _unheard(one: Progress, setting: Setting) -> str:
    """Return a dead agent without which an instance cannot go on: its own, or before it moves a warden."""
    if one.agent in setting.dead:
        return one.agent
    if one.step in (Step.MOVING, Step.PROVING):
        return ""
    for scope in (scope_of(one.hall), FLEET):
        warden = setting.wardens.get(scope)
        if warden is None or warden in setting.dead:
            return warden or f"for {scope}"  # a fleet file that has changed may name no hall of that kind
    return ""


def _judge(operation: Operation, one: Progress, record: Record, now: float, rules: Rules) -> Progress:
    seen = record.seen
    if one.step is Step.ASKING:
        if all(scope in one.granted for scope in _needs(operation, one, record)):
            return msgspec.structs.replace(_to(one, Step.MOVING, now), expect=record.want.version, version=-1)
        if now - one.since > LEAVE_TIMES * rules.ready_within_s:
            return _to(one, Step.FAILED, now, f"no leave to be down: {one.note}")
        return one
    if one.step is Step.MOVING:
        if one.version < 0 or seen.version < one.version:
            # The home agent has not answered, or not come to it; nothing says that the instance is at fault.
            if now - one.since > rules.moved_within_s:
                return _to(one, Step.LOST, now, f"agent {one.agent} did not carry it out")
            return one
        if not record.want.run:
            if seen.state == "stopped":
                return _finished(operation, one, now)
            if now - one.since > rules.moved_within_s:
                return _to(one, Step.FAILED, now, f"still {seen.state} after its drain")
        elif seen.ready and seen.build == record.want.build and seen.generation == record.want.generation:
            proving = _to(one, Step.PROVING, now)
            return msgspec.structs.replace(proving, seen_requests=seen.requests, seen_failed=seen.failed)
        elif seen.failures >= CRASHES:
            return _to(one, Step.FAILED, now, f"ended {seen.failures} times, last with {seen.last_exit}")
        elif now - one.since > rules.moved_within_s:
            return _to(one, Step.FAILED, now, _unready(record, rules))
        return one
    return _prove(operation, one, seen, now, rules)


def _unready(record: Record, rules: Rules) -> str:
    note = f": {record.seen.note}" if record.seen.note else ""
    return f"build {record.want.build} not ready after {rules.ready_within_s:g} s{note}"


def _prove(operation: Operation, one: Progress, seen: Seen, now: float, rules: Rules) -> Progress:
    if operation.phase is Phase.REVERTING and seen.ready:
        return _finished(operation, one, now)
    if seen.state == "starting" and not seen.failures:
        # Its agent has come back and has not heard of it yet, or has started it again: it proves itself anew.
        return _to(one, Step.MOVING, now)
    if not seen.ready:
        return _to(one, Step.FAILED, now, f"was ready, and is {seen.state}")
    answers, failed = seen.requests - one.seen_requests, seen.failed - one.seen_failed
    if answers >= rules.failed_least and failed > rules.failed_share_most * answers:
        return _to(one, Step.FAILED, now, f"{failed} of {answers} answers failed")
    if now - one.since >= rules.hold_s:
        return _finished(operation, one, now)
    return one


def _finished(operation: Operation, one: Progress, now: float) -> Progress:
    reverting = operation.phase is Phase.REVERTING
    return _to(one, Step.REVERTED if reverting else Step.DONE, now, one.note)


def _revert(operation: Operation, now: float, failed: Progress) -> Operation:
    """Send back whatever was moved; first of all what failed."""
    back, rest = list[Progress](), list[Progress]()
    for one in operation.instances:
        if one.moved:
            # Its leave is asked for again: it may have been given back, and the answer to that lost.
            fresh = msgspec.structs.replace(one, expect=-1, version=-1, moved=False, granted=())
            back.append(_to(fresh, Step.PENDING, now, one.note))
        elif one.step is Step.FAILED:
            rest.append(one)
        else:
            rest.append(_to(one, Step.UNTOUCHED, now))
    back.sort(key=lambda one: one.instance != failed.instance)
    return msgspec.structs.replace(
        operation,
        phase=Phase.REVERTING,
        instances=(*back, *rest),
        heard_at=now,
        reason=f"{failed.instance}: {failed.note}",
    )
