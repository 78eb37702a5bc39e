"""Usage sums that ingresses exchange, and the quota that they enforce without a counter."""

from __future__ import annotations

from random import Random

from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.peer_state.counts import (
    MAX_INCARNATIONS,
    MAX_WINDOWS,
    UsageLedger,
    UsageSum,
    peer_slots,
    upper_bound,
)
from wickspring.peer_state.shares import Shares
from wickspring.policy import Policy
from wickspring.settings.peers_file import Bounds


def test_usage_sums_are_idempotent_and_add_up_over_incarnations() -> None:
    ledger = UsageLedger(slot=0, slots=4, incarnation=1.0)
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 5.0, 900.0)])
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 2.0, 900.0)])
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 5.0, 900.0)])
    assert ledger.others(7, 3) == 5.0
    ledger.merge(5.0, 1, 20.0, [UsageSum(7, 3, 4.0, 900.0)])  # restarted
    assert ledger.others(7, 3) == 9.0
    (relayed,) = ledger.take_relayed(6.0, 1, 10)
    again = UsageLedger(slot=1, slots=4, incarnation=20.0)
    again.merge(6.0, 0, 1.0, [], [relayed])
    assert again.others(7, 3) == 5.0  # sent by its own previous incarnation
    for incarnation in range(30, 60):
        ledger.merge(7.0, 1, float(incarnation), [UsageSum(7, 3, 1.0, 900.0)])
    assert ledger.others(7, 3) == 39.0
    assert len(ledger._windows[7, 3].others) <= MAX_INCARNATIONS
    wrong = [UsageSum(7, 3, float("nan"), 900.0), UsageSum(7, 3, -4.0, 900.0), UsageSum(7, 3, 1.0, -1.0)]
    ledger.merge(8.0, 2, 1.0, wrong)
    assert ledger.others(7, 3) == 39.0


def test_each_usage_change_is_sent_once_and_resent_after_a_loss() -> None:
    ledger = UsageLedger(slot=0, slots=6, incarnation=1.0)
    ledger.record(7, 3, 2.0, until=1000.0, first=5, spread=3)
    assert peer_slots(5, 3, 6, 0) == (5, 1)
    sums = ledger.take_sums(0.0, 5, 10)
    assert [(usage.customer, usage.window, usage.units) for usage in sums] == [(7, 3, 2.0)]
    assert ledger.take_sums(0.0, 5, 10) == ()
    ledger.send_again(5, sums)
    assert ledger.take_sums(0.0, 5, 10) == sums
    assert ledger.take_sums(0.0, 2, 10) == ()  # not a peer of this customer
    ledger.expire(1000.0 + 2000.0)
    assert len(ledger) == 0
    for customer in range(MAX_WINDOWS + 50):
        ledger.record(customer, 1, 1.0, until=1000.0, first=0, spread=2)
    assert len(ledger) == MAX_WINDOWS
    assert upper_bound(10.0, 0.01, [(0.25, 400.0), (0.5, 0.0)]) == 11.0


def forwarded_share(exchanged: bool, seconds: int = 60) -> float:
    """Return the ratio of units forwarded by three ingresses without a counter to the quota."""
    plan, fleets = {"rate": 0.009, "burst": 16.0}, []
    for slot in range(3):
        own = make_settings(plan=plan, gateways=3, may_count=False, own_number=slot)
        shares = Shares(own, Bounds(), float(slot), -60_000.0, slot)
        policy = Policy(own, shares if exchanged else None)
        entry = api.ServerEntry(b"s", 0, 0, api.Readiness.READY, 1.0, 0.0)
        policy.handle(0.0, api.ServerList(api.ListKind.COMPLETE, (entry,)))
        fleets.append((policy, shares))
    random, sent, now, number = Random(4), 0.0, 0.0, 0
    while now < 1000.0 * seconds:
        now += random.expovariate(0.009 * 4 / 2.5)
        number += 1
        slot, units = random.choices((0, 1, 2), (5, 2, 1))[0], random.randint(1, 4)
        policy, _ = fleets[slot]
        ask = api.Request(number, 0, 0, 7, now + 4000.0, float(units), 3, 0)
        for send in [one for one in policy.handle(now, ask) if isinstance(one, api.Send)]:
            sent += units
            policy.handle(now, api.Outcome(number, 0, send.server, api.Status.OK, True, 1.0, (), 0.0, 0))
        if number % 4 == 0:
            for one, (_, mine) in enumerate(fleets):
                for other, (_, theirs) in enumerate(fleets):
                    if one < other:
                        messages = mine.messages_to(now, f"n{other}", other)
                        answer = theirs.answer(now, f"n{one}", one, float(one), messages)
                        mine.on_messages(now, f"n{other}", other, float(other), answer)
    return sent / (16.0 + 9.0 * seconds)


def test_exchanged_usage_enforces_a_quota_without_a_counter() -> None:
    together, alone = forwarded_share(exchanged=True), forwarded_share(exchanged=False)
    assert 0.95 < together <= 1.05
    assert abs(alone - 1.0) > 2 * abs(together - 1.0)
