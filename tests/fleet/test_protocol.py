"""The operation protocol, explored exhaustively from its real transition functions, for a small fleet.

The states are those of the owners, the operations as their coordinators store them, and the instances. A
step is one request delivered, with its reply received or lost (which is also what a coordinator killed there
comes to: it goes on from what was stored), or one change of an instance. What is found is a Kripke structure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec
import pytest
from pyModelChecking import CTL, Kripke
from pyModelChecking.CTL import AG, EF, AtomicProposition, Not, modelcheck
from rpds import HashTrieMap

from wickspring.fleet import owner, owner_messages
from wickspring.fleet.model import (
    FLEET,
    DesiredState,
    InstanceRecord,
    Kind,
    ObservedState,
    Operation,
    Phase,
    Rules,
    Step,
    scope_of,
)
from wickspring.fleet.owner import FleetStatus, OwnerState
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.instance_steps import MAX_CRASHES
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply

NOW = 1000.0
RULES = Rules(
    hold_s=0.0, down_share_hall=0.34, down_share_fleet=0.34, lease_s=1e6, ask_again_s=0.0, failed_least=1
)
OWNERS = {"a": ("n0", "n1"), "b": ("n2",)}
ISSUERS = {scope_of("h"): "a", FLEET: "b"}
BAD = "bad"

State = tuple[tuple[OwnerState, ...], tuple[Operation, ...]]


def first(*operations: tuple[Kind, str, tuple[str, ...], str]) -> State:
    """Return a fleet of three that serves build 1, and operations about to begin."""
    owners = []
    for agent, names in OWNERS.items():
        one = OwnerState(agent)
        for name in names:
            desired, observed = (
                DesiredState(True, "1", 1),
                ObservedState("ready", "1", version=1, ready_at=1.0),
            )
            one = owner.register(one, InstanceRecord(name, "h", agent, desired=desired, observed=observed))
        owners.append(one)
    everything = records(tuple(owners))
    planned = tuple(
        plan_operation(
            OperationRequest(
                f"op{index}",
                kind,
                by=f"by{index}",
                coordinator="ab"[index],
                at=NOW,
                build=build,
                batch=2,
            ),
            [everything[name] for name in names],
        )
        for index, (kind, build, names, _) in enumerate(operations)
    )
    return tuple(owners), planned


def records(owners: tuple[OwnerState, ...]) -> HashTrieMap[str, InstanceRecord]:
    found: HashTrieMap[str, InstanceRecord] = HashTrieMap()
    for one in owners:
        for record in one.records.values():
            found = found.insert(record.name, record)
    return found


Reduce = Callable[..., tuple[OwnerState, owner_messages.Reply]]


def steps(state: State, reduce: Reduce) -> Iterator[State]:
    """Return every state that one step leads to."""
    owners, operations = state
    everything = records(owners)
    observation = FleetObservation(everything, ISSUERS, RULES)
    for index, operation in enumerate(operations):
        after, requests = coordinator.advance(operation, NOW, observation)
        if after != operation:
            yield owners, (*operations[:index], after, *operations[index + 1 :])
            continue  # what needs no answer comes first
        for sent in requests:
            place = "ab".index(sent.agent)
            changed, reply = reduce(owners[place], NOW, sent.request, RULES, FleetStatus(everything))
            new = (*owners[:place], changed, *owners[place + 1 :])
            received = receive_reply(operation, NOW, sent.agent, sent.request, reply)
            yield new, (*operations[:index], received, *operations[index + 1 :])
            yield new, operations  # the answer is lost, or the coordinator killed before it kept it
    for place, one in enumerate(owners):
        for record in one.records.values():
            for observed in moves(record):
                moved = owner.observe(one, record.name, observed)
                yield (*owners[:place], moved, *owners[place + 1 :]), operations


def moves(record: InstanceRecord) -> Iterator[ObservedState]:
    """Return how an instance may be next."""
    desired, observed = record.desired, record.observed
    if observed.version < desired.version:
        yield ObservedState(
            "starting" if desired.run else "stopped", desired.build, desired.generation, desired.version
        )
    elif observed.state == "starting" and observed.failures == 0:
        if desired.build != BAD:
            yield msgspec.structs.replace(observed, state="ready")
        else:
            yield msgspec.structs.replace(observed, state="waiting", failures=MAX_CRASHES)
            yield msgspec.structs.replace(observed, state="ready", requests=9, failed=0)
    elif observed.build == BAD and observed.state == "ready" and not observed.failed:
        yield msgspec.structs.replace(observed, requests=99, failed=90)


def labels(state: State) -> set[str]:
    """Say what holds in a state."""
    owners, operations = state
    everything, found = records(owners), set[str]()
    down = sum(not record.observed.ready for record in everything.values())
    if down > owner.max_down(3, RULES.down_share_hall):
        found.add("below_floor")
    moving = [
        {one.instance for one in operation.instances if one.step in (Step.MOVING, Step.PROVING)}
        for operation in operations
    ]
    if len(moving) == 2 and moving[0] & moving[1]:
        found.add("two_owners")
    if all(operation.phase.ended for operation in operations):
        found.add("ended")
        refused = [operation for operation in operations if operation.phase is Phase.REFUSED]
        if len(refused) == len(operations) and len(operations) > 1:
            found.add("all_refused")
        if any("held by" not in operation.reason for operation in refused):
            found.add("untold")
    return found


def explore(start: State, reduce: Reduce = owner.handle_request, most: int = 60_000) -> tuple[Kripke, int]:
    """Walk every reachable state; return the structure and how many states there are."""
    keys: dict[bytes, int] = {}
    edges, marks, queue = list[tuple[int, int]](), dict[int, set[str]](), [start]

    def number(state: State) -> int:
        key = msgspec.json.encode(
            [
                [sorted(one.records.values(), key=lambda r: r.name) for one in state[0]],
                [sorted(one.permits.items()) for one in state[0]],
                state[1],
            ]
        )
        if key not in keys:
            keys[key] = len(keys)
            marks[keys[key]] = labels(state)
            queue.append(state)
            assert len(keys) <= most, "more states than the test is made for"
        return keys[key]

    queue.clear()
    number(start)
    while queue:
        state = queue.pop()
        here = number(state)
        successors = {number(after) for after in steps(state, reduce)}
        edges += [(here, after) for after in successors or {here}]
    return Kripke(S0=[0], R=edges, L=marks), len(keys)


def holds(kripke: Kripke, formula: CTL.Formula) -> bool:
    return 0 in modelcheck(kripke, formula)


def atom(name: str) -> AtomicProposition:
    return AtomicProposition(name)


ALL = ("n0", "n1", "n2")


@pytest.mark.parametrize(
    "operations",
    [
        ((Kind.UPGRADE, "2", ALL, ""),),
        ((Kind.UPGRADE, BAD, ("n0", "n2"), ""),),
        ((Kind.UPGRADE, "2", ("n0",), ""), (Kind.DRAIN, "", ("n2",), "")),
        ((Kind.DRAIN, "", ("n0", "n2"), ""), (Kind.DRAIN, "", ("n2",), "")),
        ((Kind.RESTART, "", ("n2",), ""), (Kind.UPGRADE, "2", ("n2",), "")),
    ],
)
def test_the_floor_holds_and_every_operation_can_end(
    operations: tuple[tuple[Kind, str, tuple[str, ...], str], ...],
) -> None:
    kripke, states = explore(first(*operations))
    assert states > 20
    assert holds(kripke, AG(Not(atom("below_floor"))))
    assert holds(kripke, AG(Not(atom("two_owners"))))
    assert holds(kripke, AG(Not(atom("untold"))))
    assert holds(kripke, AG(Not(atom("all_refused"))))


def test_from_every_state_an_end_can_be_reached() -> None:
    for operations in (
        ((Kind.UPGRADE, "2", ("n0", "n1"), ""),),
        ((Kind.UPGRADE, BAD, ("n0", "n2"), ""),),
        ((Kind.DRAIN, "", ("n2",), ""), (Kind.UPGRADE, "2", ("n2",), "")),
    ):
        kripke, _ = explore(first(*operations))
        assert holds(kripke, AG(EF(atom("ended"))))


def without_floor(
    one: OwnerState, now: float, request: owner_messages.Request, rules: Rules, status: FleetStatus
) -> tuple[OwnerState, owner_messages.Reply]:
    """Seed a defect: the issuer forgets the permits of instances that still serve."""
    if isinstance(request, owner_messages.AcquirePermit):
        forgetful = msgspec.structs.replace(one, permits=HashTrieMap())
        return owner.handle_request(forgetful, now, request, rules, status)
    return owner.handle_request(one, now, request, rules, status)


def without_claims(
    one: OwnerState, now: float, request: owner_messages.Request, rules: Rules, status: FleetStatus
) -> tuple[OwnerState, owner_messages.Reply]:
    """Seed a defect: a claim is given whoever holds it."""
    if isinstance(request, owner_messages.AcquireClaims):
        for name in request.instances:
            record = one.records[name]
            one = msgspec.structs.replace(
                one, records=one.records.insert(name, msgspec.structs.replace(record, claim=None))
            )
    return owner.handle_request(one, now, request, rules, status)


def test_seeded_defects_are_caught() -> None:
    two = ((Kind.UPGRADE, "2", ("n0",), ""), (Kind.RESTART, "", ("n2",), ""))
    kripke, _ = explore(first(*two), without_floor)
    assert not holds(kripke, AG(Not(atom("below_floor"))))
    same = ((Kind.RESTART, "", ("n2",), ""), (Kind.UPGRADE, "2", ("n2",), ""))
    kripke, _ = explore(first(*same), without_claims)
    assert not holds(kripke, AG(Not(atom("two_owners"))))
