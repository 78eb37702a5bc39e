"""Shared budgets of two ingresses: rights requested, granted, used and handed over."""

from __future__ import annotations

from typing import Any

import msgspec

from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.peer_state.shares import ShareMessages, Shares
from wickspring.policy import Policy
from wickspring.settings.peers_file import Bounds


def shares(bounds: Bounds, slot: int = 0, **changes: Any) -> Shares:
    return Shares(make_settings(gateways=2, own_number=slot, **changes), bounds, float(slot), -60_000.0, slot)


def test_rights_are_granted_on_request_and_unknown_budgets_are_ignored() -> None:
    one, other = shares(Bounds(retries_per_s=8)), shares(Bounds(retries_per_s=8), 1)
    assert [one.take(0.0, "retries") for _ in range(5)] == [True] * 4 + [False]
    assert one.slots_to_request_from(1.0) == [1]
    messages = one.messages_to(1.0, "b", 1)
    one.on_messages(2.0, "b", 1, 1.0, other.answer(2.0, "a", 0, 0.0, messages))
    assert one.take(3.0, "retries")  # lent: half of the other's part at most
    assert [other.take(3.0, "retries") for _ in range(4)] == [True] * 3 + [False]
    names = ("x", "cap 9 9", "dials")
    wrong = ShareMessages(tuple(msgspec.structs.replace(messages.requests[0], budget=name) for name in names))
    assert other.answer(4.0, "a", 0, 0.0, wrong).grants == ()
    assert one.take(0.0, "probes")  # not bounded by this file
    assert len(other.held) == 1


def test_the_concurrency_cap_of_a_plan_is_shared_by_both_ingresses() -> None:
    bounds = Bounds()
    held = [shares(bounds, slot, plan={"max_in_flight": 4}) for slot in range(2)]
    policies = [Policy(one.catalog.settings, one) for one in held]
    entries = tuple(api.ServerEntry(bytes([n]), 0, 0, api.Readiness.READY, 1.0, 0.0) for n in range(8))
    out = []
    for policy in policies:
        policy.handle(0.0, api.ServerList(api.ListKind.COMPLETE, entries))
    for number in range(12):
        policy = policies[number % 2]
        acts = policy.handle(1.0, api.Request(number, 0, 0, 7, 4000.0, 1.0, 2, 0))
        counts = [act for act in acts if isinstance(act, api.Count)]
        for count in counts:
            acts += policy.handle(2.0, api.CountAnswer(count.name, api.Status.OK, 1.0, 1.0))
        out += [(policy, act) for act in acts if isinstance(act, api.Send)]
    assert len(out) == 4
    policy, send = out[0]
    policy.handle(3.0, api.Outcome(send.request, 0, send.server, api.Status.OK, True, 1.0, (), 0.0, 0))
    index = policies.index(policy)
    assert [one.may_take(4.0, "cap 0 7 0 2") for one in held] == [index == 0, index == 1]


def test_with_counts_disabled_no_usage_is_sent_or_assumed_to_be_received() -> None:
    for exchanges_counts in (True, False):
        one = Shares(make_settings(gateways=2), Bounds(), 0.0, -60_000.0, 1, exchanges_counts)
        one.record_usage(7, 3, 2.0, 1000.0, 0, 2)
        one.on_messages(10.0, "b", 1, 1.0, ShareMessages())
        assert bool(one.messages_to(11.0, "b", 1).sums) is exchanges_counts
        assert one.receives_all_counts(12.0, 0, 2) is exchanges_counts
        assert one.peer_slots(12.0) == [1] * exchanges_counts


def test_a_successor_uses_no_rights_until_its_predecessor_has_stopped() -> None:
    old, new = shares(Bounds(retries_per_s=8)), shares(Bounds(retries_per_s=8))
    new.waits_for_predecessor = True
    assert old.take(0.0, "retries")
    assert not new.take(0.0, "retries")
    old.hand_over(10.0)
    assert not old.take(10.0, "retries")
    new.take_over(10.0)
    assert not new.take(500.0, "retries")  # rights used by the predecessor are still held
    assert new.take(1100.0, "retries")
