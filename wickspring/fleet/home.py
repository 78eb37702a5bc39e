"""The home agent's reducer: what is wanted of its instances, who may change it, and who may be down.

Every change is a pure function of the state before: `reduce(state, now, request)` gives the state after and a
reply. A state is a whole of persistent maps, so that a reader keeps the one it has. Requests may be repeated:
each says what it expects, and one that has been carried out is answered as the first time.

Claims are taken at all homes before anything moves, and each want is a compare-and-set under its claim: of
two operations that touch one instance, one is told of the other.
"""

from __future__ import annotations

import math

import msgspec
from rpds import HashTrieMap

from wickspring.fleet.model import FLEET, Claim, Record, Rules, Seen, Slot, Want, scope_of


class TakeClaims(msgspec.Struct, frozen=True, tag="claim"):
    """Claim these instances for an operation, all or none."""

    operation: str
    by: str
    coordinator: str
    what: str
    instances: tuple[str, ...]
    until: float


class RenewClaims(msgspec.Struct, frozen=True, tag="renew"):
    """Hold an operation's claims and slots for longer."""

    operation: str
    until: float


class ReleaseClaims(msgspec.Struct, frozen=True, tag="release"):
    """Let go of an operation's claims."""

    operation: str


class SetWant(msgspec.Struct, frozen=True, tag="want"):
    """Change what is wanted of an instance, if its version is still the one expected."""

    operation: str
    instance: str
    expect: int
    run: bool
    build: str
    renew: bool  # start it anew, though run and build may be as before
    by: str


class TakeSlot(msgspec.Struct, frozen=True, tag="slot"):
    """Ask the warden of a scope for leave to have an instance down."""

    operation: str
    instance: str
    scope: str
    until: float
    below_floor: bool = False


class GiveSlot(msgspec.Struct, frozen=True, tag="give"):
    """Give leave back: the instance serves again, or is out of the operation."""

    operation: str
    instance: str
    scope: str


Request = TakeClaims | RenewClaims | ReleaseClaims | SetWant | TakeSlot | GiveSlot


class Conflict(msgspec.Struct, frozen=True):
    """An instance that another operation holds."""

    instance: str
    claim: Claim


class Reply(msgspec.Struct, frozen=True):
    """What came of a request; `reason` is empty where it was carried out."""

    reason: str = ""
    conflicts: tuple[Conflict, ...] = ()
    version: int = -1  # of the want, after SetWant
    wait: bool = False  # not now, but asking again may do


class Home(msgspec.Struct, frozen=True):
    """All that a home agent knows of its own instances, and of the scopes that it is the warden of."""

    agent: str
    records: HashTrieMap[str, Record] = HashTrieMap()
    slots: HashTrieMap[str, Slot] = HashTrieMap()  # by scope and instance


class Around(msgspec.Struct, frozen=True):
    """What a warden goes by: the fleet's instances as last heard of, and whether most agents are heard."""

    records: HashTrieMap[str, Record] = HashTrieMap()
    quorum: bool = True
    dead: frozenset[str] = frozenset()  # agents that are not heard of any more


def down_most(size: int, share: float) -> int:
    """Return how many of so many may be down: the share, and one in any case."""
    return max(1, math.floor(size * share + 1e-9))


def reduce(home: Home, now: float, request: Request, rules: Rules, around: Around) -> tuple[Home, Reply]:
    """Carry out a request."""
    if isinstance(request, TakeClaims):
        return _claim(home, now, request)
    if isinstance(request, RenewClaims):
        return _renew(home, now, request)
    if isinstance(request, ReleaseClaims):
        return _release(home, request), Reply()
    if isinstance(request, SetWant):
        return _want(home, now, request)
    if isinstance(request, TakeSlot):
        return _slot(home, now, request, rules, around)
    key = _key(request.scope, request.instance)
    held = home.slots.get(key)
    if held is not None and held.operation == request.operation:
        home = msgspec.structs.replace(home, slots=home.slots.remove(key))
    return home, Reply()


def observe(home: Home, name: str, seen: Seen) -> Home:
    """Note how an instance is."""
    record = home.records.get(name)
    if record is None or record.seen == seen:
        return home
    return _put(home, msgspec.structs.replace(record, seen=seen))


def register(home: Home, record: Record) -> Home:
    """Add an instance of the fleet file, or bring what the file says of it up to date."""
    old = home.records.get(record.name)
    if old is None:
        return _put(home, record)
    return _put(
        home, msgspec.structs.replace(old, hall=record.hall, agent=record.agent, labels=record.labels)
    )


def forget(home: Home, name: str) -> Home:
    """Drop an instance that the fleet file no longer names; only one that is not to run may go."""
    record = home.records.get(name)
    if record is None or record.want.run or record.claim is not None:
        return home
    return msgspec.structs.replace(home, records=home.records.remove(name))


def _put(home: Home, record: Record) -> Home:
    return msgspec.structs.replace(home, records=home.records.insert(record.name, record))


def _held(record: Record, now: float) -> Claim | None:
    """Return the claim that still holds."""
    claim = record.claim
    return claim if claim is not None and claim.until > now else None


def _claim(home: Home, now: float, request: TakeClaims) -> tuple[Home, Reply]:
    unknown = [name for name in request.instances if name not in home.records]
    if unknown:
        return home, Reply(f"{home.agent} has no instance {', '.join(unknown)}")
    conflicts = []
    for name in request.instances:
        claim = _held(home.records[name], now)
        if claim is not None and claim.operation != request.operation:
            conflicts.append(Conflict(name, claim))
    if conflicts:
        return home, Reply("held by another operation", tuple(conflicts))
    claim = Claim(request.operation, request.by, request.coordinator, now, request.until, request.what)
    for name in request.instances:
        home = _put(home, msgspec.structs.replace(home.records[name], claim=claim))
    return home, Reply()


def _renew(home: Home, now: float, request: RenewClaims) -> tuple[Home, Reply]:
    found = False
    for record in home.records.values():
        claim = record.claim
        if claim is not None and claim.operation == request.operation:
            # Nobody has taken it meanwhile, so it may be held on to even if its time was over.
            found = True
            held = msgspec.structs.replace(claim, until=max(claim.until, request.until))
            home = _put(home, msgspec.structs.replace(record, claim=held))
    for key, slot in home.slots.items():
        if slot.operation == request.operation:
            longer = msgspec.structs.replace(slot, until=max(slot.until, request.until))
            home = msgspec.structs.replace(home, slots=home.slots.insert(key, longer))
    return home, Reply("" if found else "no claim of this operation is left")


def _release(home: Home, request: ReleaseClaims) -> Home:
    for record in home.records.values():
        if record.claim is not None and record.claim.operation == request.operation:
            home = _put(home, msgspec.structs.replace(record, claim=None))
    return home  # slots stay until they are given back or over: the warden may not have heard of a drain yet


def _want(home: Home, now: float, request: SetWant) -> tuple[Home, Reply]:
    record = home.records.get(request.instance)
    if record is None:
        return home, Reply(f"{home.agent} has no instance {request.instance}")
    claim = record.claim
    if claim is None or claim.operation != request.operation:
        conflicts = (Conflict(record.name, claim),) if claim is not None else ()
        return home, Reply("not held by this operation", conflicts)
    want = record.want
    if want.version == request.expect + 1 and (want.run, want.build) == (request.run, request.build):
        return home, Reply(version=want.version)  # carried out before; the answer was lost
    if want.version != request.expect:
        return home, Reply(f"changed meanwhile by {want.by}", version=want.version)
    after = Want(
        request.run, request.build, want.version + 1, want.generation + request.renew, request.by, now
    )
    before = want.build if want.build != request.build else record.before
    return _put(home, msgspec.structs.replace(record, want=after, before=before)), Reply(
        version=after.version
    )


def _key(scope: str, instance: str) -> str:
    return f"{scope}/{instance}"


def _slot(home: Home, now: float, request: TakeSlot, rules: Rules, around: Around) -> tuple[Home, Reply]:
    key = _key(request.scope, request.instance)
    held = home.slots.get(key)
    if held is not None and held.operation == request.operation:
        longer = msgspec.structs.replace(held, until=max(held.until, request.until))
        return msgspec.structs.replace(home, slots=home.slots.insert(key, longer)), Reply()
    if not around.quorum:
        return home, Reply(f"{home.agent} hears too few agents to give leave", wait=True)
    within = [
        record
        for record in around.records.values()
        if request.scope == FLEET or scope_of(record.hall) == request.scope
    ]
    share = rules.down_share_fleet if request.scope == FLEET else rules.down_share_hall
    # Who holds leave counts as down though it may still serve; who is down without leave counts as well,
    # whether an operator, a crash or a lost agent is the reason.
    down = {
        record.name
        for record in within
        if not (record.want.run and record.seen.ready) or record.agent in around.dead
    }
    down |= {
        slot.instance for slot in home.slots.values() if slot.scope == request.scope and slot.until > now
    }
    down.discard(request.instance)
    if len(down) >= down_most(len(within), share) and not request.below_floor:
        names = ", ".join(sorted(down)[:5])
        return home, Reply(f"{request.scope}: {len(down)} down already ({names})", wait=True)
    slot = Slot(request.scope, request.instance, request.operation, request.until)
    return msgspec.structs.replace(home, slots=home.slots.insert(key, slot)), Reply()
