"""Claims, wants and leave to be down, as the home agent of a record gives them."""

from __future__ import annotations

import msgspec
import pytest

from tests.support.fleet import NOW, RULES, homes, record
from wickspring.fleet import home
from wickspring.fleet.home import Around, Home, SetWant, TakeClaims, TakeSlot
from wickspring.fleet.model import Seen


def ask(
    one: Home, request: home.Request, now: float = NOW, around: Around | None = None
) -> tuple[Home, home.Reply]:
    return home.reduce(one, now, request, RULES, around or Around(one.records))


def claim(operation: str, *names: str, until: float = NOW + 15.0, by: str = "x") -> TakeClaims:
    return TakeClaims(operation, by, "a0", "drain", names, until)


def test_claims_are_all_or_none_and_tell_who_holds_them() -> None:
    one, reply = ask(homes(record("n0"), record("n1")), claim("op1", "n0", by="first"))
    assert not reply.reason
    after, reply = ask(one, claim("op2", "n0", "n1"))
    assert after == one
    assert [(c.instance, c.claim.by, c.claim.operation, c.claim.at) for c in reply.conflicts] == [
        ("n0", "first", "op1", NOW)
    ]
    assert ask(one, claim("op1", "n0"))[1].reason == ""  # asked again
    later, reply = ask(one, claim("op2", "n0", "n1", until=NOW + 40.0), NOW + 20.0)  # its lease is over
    assert not reply.reason
    assert ask(later, home.RenewClaims("op1", NOW + 99.0), NOW + 21.0)[1].reason


def want(operation: str, expect: int, build: str = "2", run: bool = True) -> SetWant:
    return SetWant(operation, "n0", expect, run, build, False, "x")


def test_a_want_is_a_compare_and_set_under_its_claim_and_may_be_asked_twice() -> None:
    one = homes(record("n0"))
    assert ask(one, want("op1", 1))[1].reason
    one, _ = ask(one, claim("op1", "n0"))
    one, reply = ask(one, want("op1", 1))
    assert (reply.reason, reply.version) == ("", 2)
    again, reply = ask(one, want("op1", 1))
    assert (again, reply.version) == (one, 2)
    assert "meanwhile by x" in ask(one, want("op1", 1, "3"))[1].reason
    assert one.records["n0"].before == "1"
    assert ask(one, want("op2", 2))[1].conflicts[0].claim.operation == "op1"


def slot(name: str, scope: str = "hall:hall-a", **more: bool) -> TakeSlot:
    return TakeSlot("op", name, scope, NOW + 15.0, **more)


def test_leave_is_given_up_to_the_share_and_never_without_a_quorum() -> None:
    names = [f"n{number}" for number in range(6)]  # a third of six: two
    one = homes(*(record(name) for name in names))
    assert "too few" in ask(one, slot("n0"), around=Around(one.records, quorum=False))[1].reason
    one, reply = ask(one, slot("n0"))
    one, second = ask(one, slot("n1"))
    assert not reply.reason
    assert not second.reason
    same, third = ask(one, slot("n2"))
    assert same == one
    assert third.wait
    assert "2 down already (n0, n1)" in third.reason
    assert not ask(one, slot("n2", below_floor=True))[1].reason
    one, _ = ask(one, home.GiveSlot("op", "n0", "hall:hall-a"))
    assert not ask(one, slot("n2"))[1].reason


def test_what_is_down_for_any_reason_counts_and_an_unheard_agents_instances_do() -> None:
    crashed = record("n1", seen=Seen("waiting"))
    one = homes(record("n0"), crashed, record("n2"))
    assert ask(one, slot("n0"))[1].wait
    assert not ask(one, slot("n1"))[1].reason  # it is down itself
    well = homes(record("n0"), record("n2"))
    other = msgspec.structs.replace(record("n5"), agent="a1")
    records = well.records.insert("n5", other)
    assert ask(well, slot("n0"), around=Around(records, dead=frozenset({"a1"})))[1].wait
    assert not ask(well, slot("n0"), around=Around(records))[1].reason


@pytest.mark.parametrize(
    ("size", "share", "most"), [(1, 0.34, 1), (3, 0.34, 1), (6, 0.34, 2), (12, 0.25, 3), (4, 0.0, 1)]
)
def test_how_many_may_be_down(size: int, share: float, most: int) -> None:
    assert home.down_most(size, share) == most
