"""Ingresses that talk: members, counts, judgements, and several processes with faults between them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import trio

from tests.support.command_line import run_command
from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.lab.emulation import peer_ingresses
from wickspring.lab.emulation.site import free_port
from wickspring.lab.experiments import scenario
from wickspring.lab.experiments.run import run
from wickspring.lab.reports.result import Result
from wickspring.membership.anti_entropy import AntiEntropyTable
from wickspring.membership.members import MemberInfo, MemberState
from wickspring.membership.suspicions import Suspicion
from wickspring.membership.swim import Membership
from wickspring.peer_state.counts import (
    MAX_INCARNATIONS,
    MAX_WINDOWS,
    UsageLedger,
    UsageSum,
    peer_slots,
    upper_bound,
)
from wickspring.peer_state.judgements import (
    HEARSAY_MS,
    OWN_EVIDENCE_MS,
    FailingServer,
    FailureReport,
    Judge,
    Witness,
    weigh,
)
from wickspring.peer_state.messages import PROTOCOL_VERSIONS, PeerMessage, Reply
from wickspring.peer_state.shares import ShareMessages, Shares
from wickspring.policy import Policy
from wickspring.settings.errors import ConfigError
from wickspring.settings.peers_file import PEERS_FILE, Bounds, load_peers
from wickspring.wire import Greeting, LineStream

LINK_CLOSED_WITHIN_S = 3.0  # of bytes that cannot be read

# Gossip among many.


def exchange(one: Membership[MemberInfo], other: Membership[MemberInfo], now: float) -> None:
    """Have two members exchange a round, as links do."""
    for member in (one, other):
        member.now = max(member.now, now)
    suspicions = one.take_suspicions(other.owner, 6)
    updates = one.take_pending(4)
    delta = other.delta(one.digest(8), 16)
    other.merge_entries(updates)
    other.merge_suspicions(suspicions)
    other.record_contact(one.owner)
    one.merge_entries((*delta.entries, *other.take_pending(4)))
    one.merge_suspicions(other.take_suspicions(one.owner, 6))
    one.record_contact(other.owner)
    other.merge_entries(one.requested_entries(delta.requested, 16).entries)


class Fleet:
    """Members in step, with a cut between some."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.names = [f"n{number:03}" for number in range(count)]
        self.members = {name: self.begin(name, 0.0, seed + at) for at, name in enumerate(self.names)}
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.dead: set[str] = set()
        self.now, self.random = 0.0, Random(seed)

    @staticmethod
    def begin(name: str, now: float, seed: int = 0) -> Membership[MemberInfo]:
        return Membership(name, now, MemberInfo(f"at-{name}"), 0.5, seed, now)

    def reaches(self, one: str, other: str) -> bool:
        return not ({one, other} & self.dead or (one, other) in self.cut or (other, one) in self.cut)

    def rounds(self, count: int) -> None:
        for _ in range(count):
            self.now += 0.5
            for name in self.random.sample(self.names, len(self.names)):
                if name in self.dead:
                    continue
                mine = self.members[name]
                mine.tick(self.now)
                target = mine.next_probe_target() or self.names[0]
                if target == name:
                    continue
                if self.reaches(name, target):
                    exchange(mine, self.members[target], self.now)
                elif any(
                    self.reaches(name, h) and self.reaches(h, target) for h in mine.select_helpers(target)
                ):
                    mine.record_indirect_contact(target)
                else:
                    mine.suspect(target)


def test_digest_ranges_and_piggybacked_changes_bring_every_entry_to_all() -> None:
    fleet = Fleet(60)
    fleet.rounds(24)
    assert all(len(one.entries) == 60 for one in fleet.members.values())
    sizes = [len(one.digest(8).versions) for one in fleet.members.values()]
    assert max(sizes) <= 9  # whatever the members: eight and the own
    fleet.members["n007"].update_own(MemberInfo("moved"))
    fleet.rounds(9)
    heard = sum(one.info_of("n007") == MemberInfo("moved") for one in fleet.members.values())
    assert heard == 60


def test_a_digest_range_covers_names_that_only_the_other_side_knows() -> None:
    one, other = AntiEntropyTable("b", 1.0, "b"), AntiEntropyTable("e", 1.0, "e")
    for name in "acdfgh":
        other.merge([AntiEntropyTable(name, 1.0, name).own])
    found = set[str]()
    for _ in range(14):
        delta = other.delta(one.digest(2), 2)
        one.merge(delta.entries)
        found |= {entry.owner for entry in delta.entries}
    assert found == set("acdefgh")


def test_a_dead_member_is_declared_dead_and_one_that_only_one_cannot_reach_is_not() -> None:
    fleet = Fleet(12)
    fleet.rounds(20)
    fleet.dead.add("n005")
    fleet.cut |= {("n001", "n002"), ("n002", "n001")}
    fleet.rounds(40)
    living = [one for name, one in fleet.members.items() if name != "n005"]
    assert all(one.state_of("n005") is MemberState.DEAD for one in living)
    assert fleet.members["n001"].state_of("n002") is not MemberState.DEAD
    assert all(one.state_of("n002") is MemberState.ALIVE for one in living[3:])
    fleet.dead.clear()
    fleet.members["n005"] = fleet.begin("n005", fleet.now, 99)  # a new life refutes the suspicions
    fleet.rounds(20)
    assert all(one.state_of("n005") is MemberState.ALIVE for one in fleet.members.values())


def test_the_halves_of_a_partition_find_each_other_and_nobody_is_forgotten() -> None:
    fleet = Fleet(10)
    fleet.rounds(20)
    half, rest = fleet.names[:5], fleet.names[5:]
    fleet.cut = {(one, other) for one in half for other in rest}
    fleet.rounds(40)
    assert all(fleet.members[one].state_of(other) is MemberState.DEAD for one in half for other in rest)
    assert all(fleet.members[one].state_of(other) is MemberState.ALIVE for one in half for other in half)
    fleet.cut.clear()
    fleet.rounds(40)
    assert all(
        one.state_of(other) is MemberState.ALIVE for one in fleet.members.values() for other in fleet.names
    )


def test_a_member_that_was_stopped_gives_the_others_time_and_refutes_suspicions() -> None:
    fleet = Fleet(6)
    fleet.rounds(15)
    one = fleet.members["n000"]
    one.suspect("n001")
    assert one.state_of("n001") is MemberState.SUSPECTED
    one.tick(fleet.now + 60.0)  # stopped for a minute: that says nothing of n001
    assert one.state_of("n001") is MemberState.SUSPECTED
    other = fleet.members["n001"]
    before = other.own.version
    exchange(one, other, fleet.now + 60.0)
    assert other.own.version > before  # it was sent the suspicion, and has refuted it
    assert one.state_of("n001") is MemberState.ALIVE
    old = Membership("n001", 5.0, MemberInfo("x"), 0.5, 1, 0.0)
    old.merge_suspicions([Suspicion("n001", 9.0, 3, "n002")])  # of a life by a clock that was ahead
    assert old.own.version > (9.0, 3)


# Counts.


def test_sums_received_twice_or_out_of_order_count_once_and_a_new_incarnation_continues_the_old() -> None:
    ledger = UsageLedger(slot=0, slots=4, incarnation=1.0)
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 5.0, 900.0)])
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 2.0, 900.0)])
    ledger.merge(0.0, 1, 10.0, [UsageSum(7, 3, 5.0, 900.0)])
    assert ledger.others(7, 3) == 5.0
    ledger.merge(5.0, 1, 20.0, [UsageSum(7, 3, 4.0, 900.0)])  # it has started again
    assert ledger.others(7, 3) == 9.0
    (relayed,) = ledger.take_relayed(6.0, 1, 10)
    again = UsageLedger(slot=1, slots=4, incarnation=20.0)
    again.merge(6.0, 0, 1.0, [], [relayed])
    assert again.others(7, 3) == 5.0  # what its own earlier life had sent on
    for life in range(30, 60):
        ledger.merge(7.0, 1, float(life), [UsageSum(7, 3, 1.0, 900.0)])
    assert ledger.others(7, 3) == 39.0
    assert len(ledger._windows[7, 3].others) <= MAX_INCARNATIONS
    wrong = [UsageSum(7, 3, float("nan"), 900.0), UsageSum(7, 3, -4.0, 900.0), UsageSum(7, 3, 1.0, -1.0)]
    ledger.merge(8.0, 2, 1.0, wrong)
    assert ledger.others(7, 3) == 39.0


def test_a_peer_is_sent_each_change_once_and_again_where_it_was_lost() -> None:
    ledger = UsageLedger(slot=0, slots=6, incarnation=1.0)
    ledger.record(7, 3, 2.0, until=1000.0, first=5, spread=3)
    assert peer_slots(5, 3, 6, 0) == (5, 1)
    sums = ledger.take_sums(0.0, 5, 10)
    assert [(usage.customer, usage.window, usage.units) for usage in sums] == [(7, 3, 2.0)]
    assert ledger.take_sums(0.0, 5, 10) == ()
    ledger.send_again(5, sums)
    assert ledger.take_sums(0.0, 5, 10) == sums
    assert ledger.take_sums(0.0, 2, 10) == ()  # not of this customer's set
    ledger.expire(1000.0 + 2000.0)
    assert len(ledger) == 0
    for customer in range(MAX_WINDOWS + 50):
        ledger.record(customer, 1, 1.0, until=1000.0, first=0, spread=2)
    assert len(ledger) == MAX_WINDOWS
    assert upper_bound(10.0, 0.01, [(0.25, 400.0), (0.5, 0.0)]) == 11.0


def admitted(told: bool, seconds: int = 60) -> float:
    """Return units sent on by three ingresses without a counter, over what the quota allows."""
    plan, fleets = {"rate": 0.009, "burst": 16.0}, []
    for slot in range(3):
        own = make_settings(plan=plan, gateways=3, may_count=False, own_number=slot)
        shares = Shares(own, Bounds(), float(slot), -60_000.0, slot)
        policy = Policy(own, shares if told else None)
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


def test_without_a_counter_ingresses_that_hear_each_other_hold_a_quota_that_they_do_not_alone() -> None:
    together, alone = admitted(told=True), admitted(told=False)
    assert 0.95 < together <= 1.05
    assert abs(alone - 1.0) > 2 * abs(together - 1.0)


# Judgements.

STARTED = {f"s{number}": 0.0 for number in range(10)}


def witness(number: int, *servers: str, failures: int = 1, tried: int = 8, age: float = 100.0) -> Witness:
    failing = tuple(FailingServer(server, 0.0, failures) for server in servers)
    return Witness(f"n{number}", f"hall-{number % 3}", FailureReport(failing, tried), age)


def avoided(
    *witnesses: Witness, judge: Judge | None = None, started: dict[str, float] = STARTED
) -> list[str]:
    return list((judge or Judge()).avoid(1e6, witnesses, started, 3, 0.34))


def test_three_of_two_halls_move_the_others_and_two_or_one_hall_do_not() -> None:
    assert avoided(*(witness(number, "s1") for number in range(3))) == ["s1"]
    assert avoided(*(witness(number, "s1", failures=9) for number in range(2))) == []
    assert avoided(*(witness(3 * number, "s1", failures=9) for number in range(5))) == []
    assert avoided(*(witness(number, "s1", age=HEARSAY_MS) for number in range(5))) == []


def test_a_liar_moves_nobody_and_many_move_no_more_than_the_share() -> None:
    every = [f"s{number}" for number in range(8)]
    assert avoided(witness(1, *every, failures=9, tried=1000)) == []
    liars = [witness(number, *every, failures=9, tried=1000) for number in range(6)]
    assert len(avoided(*liars)) == 3
    assert weigh(witness(1, *every, tried=9)) == 0.0  # all that it tried: it is cut off itself
    assert avoided(*(witness(number, *every, failures=9, tried=9) for number in range(6))) == []


def test_own_answers_go_first_and_a_restart_ends_what_was_said() -> None:
    three = [witness(number, "s1", failures=3) for number in range(3)]
    judge = Judge()
    judge.record(1e6 - 10.0, "s1", 0.0, good=True)
    assert avoided(*three, judge=judge) == []
    judge.record(1e6 - 5.0, "s1", 0.0, good=False)  # answers of before go first for a while
    assert avoided(*three, judge=judge) == []
    late = Judge()
    late.record(1e6 - OWN_EVIDENCE_MS, "s1", 0.0, good=True)
    assert avoided(*three, judge=late) == ["s1"]
    assert avoided(*three, started={**STARTED, "s1": 5.0}) == []
    assert judge.report(1e6).failing == (FailingServer("s1", 0.0, 1),)
    judge.record(1e6, "s1", 0.0, good=True)
    assert judge.report(1e6) == FailureReport()


def test_the_module_shuns_what_is_to_be_avoided_while_there_is_another() -> None:
    policy = Policy(make_settings(gateways=1, may_count=False))
    every = [bytes([number]) for number in range(4)]
    entries = tuple(api.ServerEntry(one, 0, 0, api.Readiness.READY, 1.0, 0.0) for one in every)
    policy.handle(0.0, api.ServerList(api.ListKind.COMPLETE, entries))
    policy.handle(0.0, api.Avoid(((b"\x00", 1000.0), (b"nobody", 1000.0))))

    def chosen(now: float, number: int) -> set[bytes]:
        found = set()
        for one in range(number, number + 30):
            for act in policy.handle(now, api.Request(one, 0, 0, one, now + 4000.0, 1.0, 1, 0)):
                if isinstance(act, api.Send):
                    found.add(act.server)
                    end = api.Outcome(one, 0, act.server, api.Status.OK, True, 1.0, (), 0.0, 0)
                    policy.handle(now, end)
        return found

    assert chosen(10.0, 1) == set(every[1:])
    assert chosen(1001.0, 100) == set(every)
    policy.handle(2000.0, api.Avoid(tuple((one, 3000.0) for one in every)))
    assert chosen(2001.0, 200)  # hearsay never takes the last one away


# Rights in the module.


def shares(bounds: Bounds, slot: int = 0, **changes: Any) -> Shares:
    return Shares(make_settings(gateways=2, own_number=slot, **changes), bounds, float(slot), -60_000.0, slot)


def test_rights_go_to_where_they_are_wanted_and_names_that_are_none_are_dropped() -> None:
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


def test_a_plan_s_attempts_at_once_are_held_over_both_ingresses() -> None:
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


def test_with_counts_off_nothing_is_told_and_nobody_s_silence_is_taken_for_a_word() -> None:
    for tells in (True, False):
        one = Shares(make_settings(gateways=2), Bounds(), 0.0, -60_000.0, 1, tells)
        one.record_usage(7, 3, 2.0, 1000.0, 0, 2)
        one.on_messages(10.0, "b", 1, 1.0, ShareMessages())
        assert bool(one.messages_to(11.0, "b", 1).sums) is tells
        assert one.receives_all_counts(12.0, 0, 2) is tells
        assert one.peer_slots(12.0) == [1] * tells


def test_a_successor_spends_nothing_until_its_predecessor_does_not_any_more() -> None:
    old, new = shares(Bounds(retries_per_s=8)), shares(Bounds(retries_per_s=8))
    new.waits_for_predecessor = True
    assert old.take(0.0, "retries")
    assert not new.take(0.0, "retries")
    old.hand_over(10.0)
    assert not old.take(10.0, "retries")
    new.take_over(10.0)
    assert not new.take(500.0, "retries")  # what the old one spent is still busy
    assert new.take(1100.0, "retries")


# Files and the command line.


def write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("enabld = true\n", "enabld"),
        ('listen = "127.0.0.1"\n', "listen"),
        ('seeds = ["127.0.0.1:0"]\n', "seeds"),
        ("round_s = 0\n", "round_s"),
        ('listen = "10.0.0.5:7400"\n', "tls"),
        ("[budgets]\nretries_per_s = -1\n", "budgets.retries_per_s"),
        ("[budgets]\nlease_s = 0.1\n", "budgets.lease_s"),
        ('[route]\nn1 = "nowhere"\n', "route.n1"),
        ('[tls]\nca = "a"\ncert = "b"\nkey = "c"\n', "tls.ca"),
    ],
)
def test_a_fault_in_the_file_is_named_by_key(tmp_path: Path, text: str, key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        load_peers(write(tmp_path / "peers.toml", text))


def test_as_deployed_nothing_of_it_is_loaded_and_where_it_is_on_no_more_than_it_needs() -> None:
    assert not load_peers(PEERS_FILE).enabled
    code = (
        "import sys, os; os.environ.pop('GW_CONFIG', None)\nfrom wickspring.cli import main\n"
        "from wickspring.net import server\nassert main(['serve']) == 2\n{}"
        "print(' '.join(sorted(sys.modules)))"
    )

    def loaded(more: str) -> set[str]:
        command = [sys.executable, "-c", code.format(more)]
        return set(subprocess.run(command, capture_output=True, text=True, check=True).stdout.split())

    off = loaded("")
    for package in (
        "wickspring.membership",
        "wickspring.peer_state",
        "wickspring.net.peers",
        "wickspring.wire",
    ):
        assert not [name for name in off if name == package or name.startswith(package + ".")]
    on = loaded("import wickspring.net.peers\n")
    for package in ("rpds", "click", "fire", "rich", "sqlite3", "numpy", "cryptography", "wickspring.fleet"):
        assert package not in on


# Several processes.


@pytest.fixture
def seen(monkeypatch: pytest.MonkeyPatch) -> list[peer_ingresses.PeerIngresses]:
    """Keep the talk of each run, to look at what the ingresses said last."""
    kept: list[peer_ingresses.PeerIngresses] = []
    real = peer_ingresses.PeerIngresses.add_figures

    def add_figures(self: peer_ingresses.PeerIngresses, result: Result, record: Any) -> None:
        kept.append(self)
        real(self, result, record)

    monkeypatch.setattr(peer_ingresses.PeerIngresses, "add_figures", add_figures)
    return kept


def play(name: str, seconds: float, *faults: scenario.Fault | scenario.NetFault, **changes: Any) -> Result:
    """Run six processes or more of the program with these faults; all else is as the scenario says."""
    one = scenario.load(name)
    clients = msgspec.structs.replace(one.clients, rate=40.0)
    one = msgspec.structs.replace(
        one,
        seconds=seconds,
        clients=clients,
        fault=tuple(fault for fault in faults if isinstance(fault, scenario.Fault)),
        net=tuple(fault for fault in faults if isinstance(fault, scenario.NetFault)),
        **changes,
    )
    result = run(one, 1, alone=False)
    assert [text for text in result.violations if not text.startswith("late:")] == []
    assert result.budget_overspent_worst == 0.0
    assert result.ingresses >= 6
    return result


def test_six_ingresses_cut_by_hall_stay_within_every_bound_and_find_each_other_again(
    seen: list[peer_ingresses.PeerIngresses],
) -> None:
    cut = scenario.NetFault(
        at_s=1.0, for_s=2.5, kind="cut", source=("hall:0",), target=("not-hall:0", "counter")
    )
    broken = scenario.Fault(at_s=1.0, for_s=4.0, kind=scenario.FaultKind.FAILING, servers=(1, 4))
    result = play("peers-split", 9.0, cut, broken)
    assert result.served > 0
    views = seen[0].views
    assert sorted(views) == list(range(6))
    for view in views.values():  # the last look before they ended, or while some were already leaving
        assert {one.name for one in view.members} == {f"n{number}" for number in range(6)}
        assert any(one.hall != view.hall and one.state != "gone" for one in view.members)


def test_stopped_killed_and_cut_one_way_ingresses_spend_no_more_than_the_bound(
    seen: list[peer_ingresses.PeerIngresses],
) -> None:
    faults = (
        scenario.Fault(at_s=1.0, for_s=3.0, kind=scenario.FaultKind.INGRESS_PAUSED, ingresses=(1,)),
        scenario.Fault(at_s=1.5, for_s=1.5, kind=scenario.FaultKind.INGRESS_CRASH, ingresses=(2, 3)),
        scenario.NetFault(at_s=1.0, for_s=3.0, kind="cut", source=("n4",), one_way=True),
        scenario.NetFault(at_s=4.5, for_s=0.5, kind="half", source=("n5",)),
        scenario.NetFault(at_s=5.2, for_s=0.1, kind="reset", source=("all",)),
        scenario.Fault(at_s=0.5, for_s=5.0, kind=scenario.FaultKind.FAILING, servers=(0, 1, 2, 3, 4, 5)),
    )
    result = play("peers-paused", 7.0, *faults)
    assert result.gateway.get("broken[no_event_raises]", 0.0) == 0.0
    assert len(seen[0].views) == 6


def test_a_liar_among_nine_moves_nobody() -> None:
    assert play("peers-liar", 5.0).judged_wrong_share == 0.0


def test_with_the_counter_silent_six_that_hear_each_other_tell_what_they_send_on(
    seen: list[peer_ingresses.PeerIngresses],
) -> None:
    silent = scenario.Fault(at_s=1.0, for_s=4.0, kind=scenario.FaultKind.COUNTER_SILENT)
    result = play("peers-counter-lost", 5.0, silent)
    assert result.served > 0
    for number, view in seen[0].views.items():  # how much that helps is shown without processes, above
        assert view.customers > 0
        assert {one.slot for one in view.members if one.last_received_s >= 0.0} >= set(range(6)) - {number}


def test_sixty_in_virtual_time_find_each_other_and_learn_of_a_bad_server_that_few_have_met() -> None:
    one = scenario.load("peers-large")
    few = msgspec.structs.replace(
        one,
        seconds=16.0,
        ingresses=msgspec.structs.replace(one.ingresses, count=60),
        clients=msgspec.structs.replace(one.clients, rate=400.0, firms=600),
        net=tuple(msgspec.structs.replace(net, at_s=3.0, for_s=3.0) for net in one.net),
        fault=tuple(msgspec.structs.replace(fault, at_s=9.0, for_s=6.5) for fault in one.fault),
    )
    result = run(few, 1)
    assert result.violations == []  # all know all again, and no bound was passed
    assert result.judged_worst_s < result.judged_alone_s == 6.5
    assert result.judged_wrong_share < 0.001
    assert result.peer_bytes_s < 6000.0  # most of it while they find each other


# What comes over the wire.


def start(folder: Path, place: int = 0, **env: str) -> tuple[int, Path, subprocess.Popen[bytes]]:
    """Start one process that talks; discovery and counter are dead."""
    place = place or free_port()
    peers = write(folder / "peers.toml", f'enabled = true\nlisten = "127.0.0.1:{place}"\nhall = "a"\n')
    example = json.loads((Path(__file__).parents[2] / "example" / "config.json").read_text())
    example |= {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9", "counter": "127.0.0.1:9"}
    path = folder / "config.json"
    if not path.exists():
        path.write_text(json.dumps(example))
    clean = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
    clean |= {"GW_CONFIG": str(path), "GW_PEERS": str(peers), "TMPDIR": str(folder), **env}
    command = [sys.executable, "-m", "wickspring", "serve"]
    process = subprocess.Popen(command, env=clean, stderr=(folder / "log").open("ab"))
    return place, peers, process


def logged(folder: Path, event: str, times: int) -> None:
    """Wait until the processes of a folder have logged an event so often."""
    for _ in range(400):
        if (folder / "log").read_text().count(f"event={event}") >= times:
            return
        time.sleep(0.05)
    raise AssertionError((folder / "log").read_text()[-2000:])


def test_a_new_version_takes_the_place_of_the_old_one_among_the_others(tmp_path: Path) -> None:
    place, _, old = start(tmp_path, GW_SHARE_PORT="1")
    new = None
    try:
        logged(tmp_path, "ready", 1)
        _, _, new = start(tmp_path, place, GW_SHARE_PORT="1")
        logged(tmp_path, "ready", 2)  # though the old one still listens at the peers' address
        assert (tmp_path / "log").read_text().count("event=peers ") == 1
        old.terminate()
        assert old.wait(10) == 0
        logged(tmp_path, "peers", 2)
        got = run_command("peers", "status", f"127.0.0.1:{place}", "--json")
        assert json.loads(got.output.partition("\n}")[0] + "}")["slot"] == 0
    finally:
        for process in (old, new):
            if process is not None:
                process.terminate()
                process.wait(10)


def test_unreadable_messages_end_their_link_and_nothing_else(tmp_path: Path) -> None:
    """One process: garbage, another protocol, another fleet, a slot out of range; then it still answers."""
    place, peers, process = start(tmp_path)
    slots = json.loads((tmp_path / "config.json").read_text())["settings"]["Siblings"]

    async def say(*lines: bytes) -> list[bytes]:
        stream = await trio.open_tcp_stream("127.0.0.1", place)
        async with stream:
            got = LineStream(stream)
            answers = []
            for line in lines:
                await stream.send_all(line + b"\n")
                answers.append(await got.read())
            return answers

    async def send_until_closed(data: bytes) -> None:
        """Send bytes on a new link; raise `trio.TooSlowError` unless the process closes it in time."""
        stream = await trio.open_tcp_stream("127.0.0.1", place)
        async with stream:
            with trio.fail_after(LINK_CLOSED_WITHIN_S):
                try:
                    await stream.send_all(data)
                    while await stream.receive_some(4096):
                        pass
                except trio.BrokenResourceError:
                    pass  # a reset, in place of the end of the stream: it was closed with bytes not yet read

    async def main() -> None:
        with trio.fail_after(20):
            while True:
                try:
                    await say(msgspec.json.encode(Greeting()))
                    break
                except OSError:
                    await trio.sleep(0.05)
            (refused,) = await say(msgspec.json.encode(Greeting(7, 9, "9.9")))
            assert b"speaks protocol 1 to 1" in refused
            hello, alien = msgspec.json.encode(Greeting()), PeerMessage("x", 0, 99, 1.0)
            answers = await say(hello, b'["talk",3', b"[1]", msgspec.json.encode(alien))
            assert b"cannot be read" in answers[1]
            assert b"Siblings" in answers[3]
            wild = PeerMessage("y", 10**6, slots, 1.0)
            assert b"Siblings" in (await say(hello, msgspec.json.encode(wild)))[1]
            await send_until_closed(b"\x00\xff" * 50_000 + b"\n")
            shown = await say(hello, b'["show"]')
            view = msgspec.json.decode(shown[1], type=Reply).view
            assert view is not None
            assert [one.name for one in view.members] == [view.name]
            assert view.error_counts["bad_words"] >= 2
            assert view.error_counts["another_protocol"] == 1

    try:
        trio.run(main)
        got = run_command("peers", "status", f"127.0.0.1:{place}")
        assert "hall" in got.output
        got = run_command("peers", "status", str(peers), "--json")
        assert '"slots"' in got.output
        assert run_command("peers", "status", "nowhere").exit_code == 2
    finally:
        process.terminate()
        assert process.wait(10) == 0
    assert PROTOCOL_VERSIONS.answer(Greeting(1, 3)).use == 1
