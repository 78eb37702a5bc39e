"""The operation protocol, explored exhaustively from its real transition functions, for a small fleet.

The states are those of the home agents, the operations as their coordinators keep them, and the instances. A
step is one ask delivered, with its answer heard or lost (which is also what a coordinator killed there comes
to: it goes on from what was kept), or one move of an instance. What is found is a Kripke structure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec
import pytest
from pyModelChecking import CTL, Kripke
from pyModelChecking.CTL import AG, EF, AtomicProposition, Not, modelcheck
from rpds import HashTrieMap

from wickspring.fleet import home
from wickspring.fleet.home import Around, Home
from wickspring.fleet.model import FLEET, Kind, Operation, Phase, Record, Rules, Seen, Step, Want, scope_of
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.instance_steps import MAX_CRASHES
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply

NOW = 1000.0
RULES = Rules(
    hold_s=0.0, down_share_hall=0.34, down_share_fleet=0.34, lease_s=1e6, ask_again_s=0.0, failed_least=1
)
HOMES = {"a": ("n0", "n1"), "b": ("n2",)}
WARDENS = {scope_of("h"): "a", FLEET: "b"}
BAD = "bad"

State = tuple[tuple[Home, ...], tuple[Operation, ...]]


def first(*operations: tuple[Kind, str, tuple[str, ...], str]) -> State:
    """Return a fleet of three that serves build 1, and operations about to begin."""
    homes = []
    for agent, names in HOMES.items():
        one = Home(agent)
        for name in names:
            want, seen = Want(True, "1", 1), Seen("ready", "1", version=1, ready_at=1.0)
            one = home.register(one, Record(name, "h", agent, want=want, seen=seen))
        homes.append(one)
    everything = records(tuple(homes))
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
    return tuple(homes), planned


def records(homes: tuple[Home, ...]) -> HashTrieMap[str, Record]:
    found: HashTrieMap[str, Record] = HashTrieMap()
    for one in homes:
        for record in one.records.values():
            found = found.insert(record.name, record)
    return found


Reduce = Callable[..., tuple[Home, home.Reply]]


def steps(state: State, reduce: Reduce) -> Iterator[State]:
    """Return every state that one step leads to."""
    homes, operations = state
    everything = records(homes)
    observation = FleetObservation(everything, WARDENS, RULES)
    for index, operation in enumerate(operations):
        after, requests = coordinator.advance(operation, NOW, observation)
        if after != operation:
            yield homes, (*operations[:index], after, *operations[index + 1 :])
            continue  # what needs no answer comes first
        for sent in requests:
            place = "ab".index(sent.agent)
            changed, reply = reduce(homes[place], NOW, sent.request, RULES, Around(everything))
            new = (*homes[:place], changed, *homes[place + 1 :])
            received = receive_reply(operation, NOW, sent.agent, sent.request, reply)
            yield new, (*operations[:index], received, *operations[index + 1 :])
            yield new, operations  # the answer is lost, or the coordinator killed before it kept it
    for place, one in enumerate(homes):
        for record in one.records.values():
            for seen in moves(record):
                moved = home.observe(one, record.name, seen)
                yield (*homes[:place], moved, *homes[place + 1 :]), operations


def moves(record: Record) -> Iterator[Seen]:
    """Return how an instance may be next."""
    want, seen = record.want, record.seen
    if seen.version < want.version:
        yield Seen("starting" if want.run else "stopped", want.build, want.generation, want.version)
    elif seen.state == "starting" and seen.failures == 0:
        if want.build != BAD:
            yield msgspec.structs.replace(seen, state="ready")
        else:
            yield msgspec.structs.replace(seen, state="waiting", failures=MAX_CRASHES)
            yield msgspec.structs.replace(seen, state="ready", requests=9, failed=0)
    elif seen.build == BAD and seen.state == "ready" and not seen.failed:
        yield msgspec.structs.replace(seen, requests=99, failed=90)


def labels(state: State) -> set[str]:
    """Say what holds in a state."""
    homes, operations = state
    everything, found = records(homes), set[str]()
    down = sum(not record.seen.ready for record in everything.values())
    if down > home.down_most(3, RULES.down_share_hall):
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


def explore(start: State, reduce: Reduce = home.reduce, most: int = 60_000) -> tuple[Kripke, int]:
    """Walk every reachable state; return the structure and how many states there are."""
    keys: dict[bytes, int] = {}
    edges, marks, queue = list[tuple[int, int]](), dict[int, set[str]](), [start]

    def number(state: State) -> int:
        key = msgspec.json.encode(
            [
                [sorted(one.records.values(), key=lambda r: r.name) for one in state[0]],
                [sorted(one.slots.items()) for one in state[0]],
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
    one: Home, now: float, request: home.Request, rules: Rules, around: Around
) -> tuple[Home, home.Reply]:
    """Seed a defect: the warden forgets those who hold leave and serve still."""
    if isinstance(request, home.TakeSlot):
        forgetful = msgspec.structs.replace(one, slots=HashTrieMap())
        return home.reduce(forgetful, now, request, rules, around)
    return home.reduce(one, now, request, rules, around)


def without_claims(
    one: Home, now: float, request: home.Request, rules: Rules, around: Around
) -> tuple[Home, home.Reply]:
    """Seed a defect: a claim is given whoever holds it."""
    if isinstance(request, home.TakeClaims):
        for name in request.instances:
            record = one.records[name]
            one = msgspec.structs.replace(
                one, records=one.records.insert(name, msgspec.structs.replace(record, claim=None))
            )
    return home.reduce(one, now, request, rules, around)


def test_seeded_defects_are_caught() -> None:
    two = ((Kind.UPGRADE, "2", ("n0",), ""), (Kind.RESTART, "", ("n2",), ""))
    kripke, _ = explore(first(*two), without_floor)
    assert not holds(kripke, AG(Not(atom("below_floor"))))
    same = ((Kind.RESTART, "", ("n2",), ""), (Kind.UPGRADE, "2", ("n2",), ""))
    kripke, _ = explore(first(*same), without_claims)
    assert not holds(kripke, AG(Not(atom("two_owners"))))
