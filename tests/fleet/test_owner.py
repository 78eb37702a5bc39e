"""Claims, desired states and permits to be down, as the agent that owns an instance gives them."""

from __future__ import annotations

import msgspec
import pytest

from tests.support.fleet import NOW, RULES, owner_state, record
from wickspring.fleet import owner
from wickspring.fleet.model import ObservedState
from wickspring.fleet.owner import FleetStatus, OwnerState
from wickspring.fleet.owner_messages import (
    AcquireClaims,
    AcquirePermit,
    ReleasePermit,
    RenewClaims,
    Reply,
    Request,
    SetDesiredState,
)


def send(
    state: OwnerState, request: Request, now: float = NOW, status: FleetStatus | None = None
) -> tuple[OwnerState, Reply]:
    return owner.handle_request(state, now, request, RULES, status or FleetStatus(state.records))


def claim(operation: str, *names: str, until: float = NOW + 15.0, by: str = "x") -> AcquireClaims:
    return AcquireClaims(operation, by, "a0", "drain", names, until)


def test_claims_are_granted_together_and_conflicts_name_the_holder() -> None:
    state, reply = send(owner_state(record("n0"), record("n1")), claim("op1", "n0", by="first"))
    assert not reply.reason
    after, reply = send(state, claim("op2", "n0", "n1"))
    assert after == state
    assert [(c.instance, c.claim.by, c.claim.operation, c.claim.at) for c in reply.conflicts] == [
        ("n0", "first", "op1", NOW)
    ]
    assert send(state, claim("op1", "n0"))[1].reason == ""  # asked again
    later, reply = send(state, claim("op2", "n0", "n1", until=NOW + 40.0), NOW + 20.0)  # its lease is over
    assert not reply.reason
    assert send(later, RenewClaims("op1", NOW + 99.0), NOW + 21.0)[1].reason


def desired(operation: str, expected_version: int, build: str = "2", run: bool = True) -> SetDesiredState:
    return SetDesiredState(operation, "n0", expected_version, run, build, False, "x")


def test_a_desired_state_is_a_compare_and_set_under_its_claim_and_may_be_asked_twice() -> None:
    state = owner_state(record("n0"))
    assert send(state, desired("op1", 1))[1].reason
    state, _ = send(state, claim("op1", "n0"))
    state, reply = send(state, desired("op1", 1))
    assert (reply.reason, reply.version) == ("", 2)
    again, reply = send(state, desired("op1", 1))
    assert (again, reply.version) == (state, 2)
    assert "meanwhile by x" in send(state, desired("op1", 1, "3"))[1].reason
    assert state.records["n0"].before == "1"
    assert send(state, desired("op2", 2))[1].conflicts[0].claim.operation == "op1"


def permit(name: str, scope: str = "hall:hall-a", **more: bool) -> AcquirePermit:
    return AcquirePermit("op", name, scope, NOW + 15.0, **more)


def test_permits_are_given_up_to_the_share_and_never_without_a_quorum() -> None:
    names = [f"n{number}" for number in range(6)]  # a third of six: two
    state = owner_state(*(record(name) for name in names))
    assert "too few" in send(state, permit("n0"), status=FleetStatus(state.records, quorum=False))[1].reason
    state, reply = send(state, permit("n0"))
    state, second = send(state, permit("n1"))
    assert not reply.reason
    assert not second.reason
    same, third = send(state, permit("n2"))
    assert same == state
    assert third.wait
    assert "2 down already (n0, n1)" in third.reason
    assert not send(state, permit("n2", below_floor=True))[1].reason
    state, _ = send(state, ReleasePermit("op", "n0", "hall:hall-a"))
    assert not send(state, permit("n2"))[1].reason


def test_instances_down_for_any_reason_or_of_dead_agents_use_up_permits() -> None:
    crashed = record("n1", observed=ObservedState("waiting"))
    state = owner_state(record("n0"), crashed, record("n2"))
    assert send(state, permit("n0"))[1].wait
    assert not send(state, permit("n1"))[1].reason  # it is down itself
    well = owner_state(record("n0"), record("n2"))
    other = msgspec.structs.replace(record("n5"), agent="a1")
    records = well.records.insert("n5", other)
    assert send(well, permit("n0"), status=FleetStatus(records, dead=frozenset({"a1"})))[1].wait
    assert not send(well, permit("n0"), status=FleetStatus(records))[1].reason


@pytest.mark.parametrize(
    ("size", "share", "most"), [(1, 0.34, 1), (3, 0.34, 1), (6, 0.34, 2), (12, 0.25, 3), (4, 0.0, 1)]
)
def test_how_many_may_be_down(size: int, share: float, most: int) -> None:
    assert owner.max_down(size, share) == most
