"""The fleet's parts, each by itself: selection, views, leave to be down, operations, store, wire, TLS."""

from __future__ import annotations

import datetime
import json
import socket
import sqlite3
import ssl
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
import trio
import trio.testing
import trustme
from rpds import HashTrieMap

from tests.agent.test_config import example
from wickspring import cli, config
from wickspring.agent import processes, wire
from wickspring.agent.instance_controller import InstanceController
from wickspring.agent.node import Node
from wickspring.agent.store import Process, Store, StoreChange, StoreError
from wickspring.agent.tls import who
from wickspring.fleet import home, rollout
from wickspring.fleet.file import load_fleet
from wickspring.fleet.home import Around, Home, SetWant, TakeClaims, TakeSlot
from wickspring.fleet.model import FLEET, Kind, Operation, Phase, Record, Rules, Seen, Step, Want, scope_of
from wickspring.fleet.selector import SelectorError, parse
from wickspring.fleet.views import Content, Health, View
from wickspring.lab.emulation.site import free_port
from wickspring.tls import Certificates
from wickspring.wire import Greeting, WireError

NOW = 1000.0
RULES = Rules()


def record(name: str, hall: str = "hall-a", build: str = "1", **more: object) -> Record:
    fields: dict[str, object] = {
        "want": Want(True, build, 1),
        "seen": Seen("ready", build, version=1),
        **more,
    }
    return Record(name, hall, "a0", **fields)  # type: ignore[arg-type]


# Selection.


@pytest.mark.parametrize(
    ("words", "chosen"),
    [
        ((), "n0 n1 n2 n3"),
        (("hall=hall-a",), "n0 n1"),
        (("hall=hall-a,build!=3",), "n0"),
        (("n3", "n0"), "n0 n3"),
        (("tier=gold",), "n2"),
        (("tier!=gold,hall=hall-*",), "n0 n1 n3"),
        (("state=ready", "run=true"), "n0 n1 n2 n3"),
        (("build=9",), ""),
    ],
)
def test_selection(words: tuple[str, ...], chosen: str) -> None:
    known = [
        record("n0"),
        record("n1", build="3"),
        record("n2", "hall-b", labels={"tier": "gold"}),
        record("n3", "hall-b"),
    ]
    assert " ".join(one.name for one in parse(words).choose(known)) == chosen


@pytest.mark.parametrize("words", [("n9",), ("hal=hall-a",), ("=x",), ("hall=",), (",",)])
def test_a_selection_that_makes_no_sense_is_told(words: tuple[str, ...]) -> None:
    with pytest.raises(SelectorError):
        parse(words).choose([record("n0")])


# Claims, wants and leave.


def homes(*records: Record) -> Home:
    one = Home("a0")
    for each in records:
        one = home.register(one, each)
    return one


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


# Operations.


class Drive:
    """A coordinator and one home, with instances moved by hand."""

    def __init__(self, kind: Kind, count: int = 3, build: str = "2", batch: int = 1) -> None:
        self.home = homes(*(record(f"n{n}") for n in range(count)))
        self.now, self.dead = NOW, frozenset[str]()
        chosen = tuple(self.home.records[f"n{n}"] for n in range(count))
        self.operation = rollout.plan(
            kind, chosen, id="op", by="x", coordinator="a0", now=NOW, build=build, batch=batch
        )

    def turn(self, times: int = 4) -> Operation:
        for _ in range(times):
            setting = rollout.Setting(
                self.home.records, {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES, self.dead
            )
            self.operation, asks = rollout.advance(self.operation, self.now, setting)
            for one in asks:
                self.home, reply = home.reduce(
                    self.home, self.now, one.request, RULES, Around(self.home.records)
                )
                self.operation = rollout.heard(self.operation, self.now, one.agent, one.request, reply)
        return self.operation

    def be(self, name: str, state: str, **more: object) -> None:
        old = self.home.records[name]
        fields: dict[str, object] = {
            "state": state,
            "build": old.want.build,
            "generation": old.want.generation,
            "version": old.want.version,
        }
        self.home = home.observe(self.home, name, msgspec.structs.replace(old.seen, **{**fields, **more}))

    def step(self, name: str) -> Step:
        found = self.operation.find(name)
        assert found is not None
        return found.step

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self.now += 1.0
            self.turn()


def test_an_upgrade_goes_one_after_another_and_holds_each() -> None:
    drive = Drive(Kind.UPGRADE)
    drive.turn()
    assert [drive.step(f"n{n}") for n in range(3)] == [Step.MOVING, Step.PENDING, Step.PENDING]
    assert drive.home.records["n0"].want.build == "2"
    drive.be("n0", "starting")
    drive.pass_time(2)
    assert drive.step("n0") is Step.MOVING
    drive.be("n0", "ready")
    drive.turn()
    assert drive.step("n0") is Step.PROVING
    drive.pass_time(RULES.hold_s + 1)
    assert drive.step("n0") is Step.DONE
    assert drive.step("n1") is Step.MOVING
    for name in ("n1", "n2"):
        drive.be(name, "ready")
        drive.pass_time(RULES.hold_s + 3)
    assert drive.turn().phase is Phase.DONE
    assert all(one.claim is None for one in drive.home.records.values())
    assert not drive.home.slots


@pytest.mark.parametrize(
    ("seen", "reason"),
    [
        ({"state": "waiting", "failures": 3, "last_exit": 1}, "ended 3 times, last with 1"),
        ({"state": "ready", "requests": 100, "failed": 50}, "50 of 100 answers failed"),
        ({"state": "silent"}, "was ready, and is silent"),
    ],
)
def test_a_build_that_fails_is_taken_back_from_all_it_reached(seen: dict[str, object], reason: str) -> None:
    drive = Drive(Kind.UPGRADE)
    drive.turn()
    drive.be("n0", "ready")
    drive.pass_time(RULES.hold_s + 2)
    assert drive.step("n0") is Step.DONE
    if seen["state"] != "waiting":
        drive.be("n1", "ready")
        drive.turn()
    drive.be("n1", **seen)  # type: ignore[arg-type]
    drive.turn()
    assert drive.operation.phase is Phase.REVERTING
    assert reason in drive.operation.reason
    assert drive.home.records["n1"].want.build == "1"
    drive.be("n1", "ready", failures=0)
    drive.pass_time(3)
    assert drive.home.records["n0"].want.build == "1"
    drive.be("n0", "ready")
    drive.pass_time(3)
    assert drive.turn().phase is Phase.FAILED
    assert [drive.step(f"n{n}") for n in range(3)] == [Step.REVERTED, Step.REVERTED, Step.UNTOUCHED]


def test_a_build_that_never_becomes_ready_ends_in_time() -> None:
    drive = Drive(Kind.UPGRADE)
    drive.turn()
    drive.be("n0", "starting")
    drive.pass_time(RULES.ready_within_s + RULES.drain_within_s + 2)
    assert drive.operation.phase is Phase.REVERTING
    assert "not ready after 30 s" in drive.operation.reason


def test_an_agent_that_is_lost_is_no_fault_of_the_build_and_may_come_back() -> None:
    drive = Drive(Kind.UPGRADE, count=2)
    drive.turn()
    drive.dead = frozenset({"a0"})
    drive.turn(1)
    assert drive.step("n0") is Step.LOST
    assert drive.step("n1") is Step.LOST
    drive = Drive(Kind.UPGRADE, count=1)
    drive.turn()
    drive.be("n0", "ready")
    drive.turn(1)
    assert drive.step("n0") is Step.PROVING


def test_a_coordinator_that_has_come_back_waits_for_what_it_has_not_heard() -> None:
    drive = Drive(Kind.UPGRADE, count=2)
    drive.turn()
    setting = rollout.Setting(HashTrieMap(), {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES)
    after, _ = rollout.advance(drive.operation, NOW + 5.0, setting)
    assert after.instances[0].step is Step.MOVING and after.phase is Phase.RUNNING
    after, _ = rollout.advance(drive.operation, NOW + 60.0, setting)
    assert after.instances[0].step is Step.LOST
    others = replace(setting, records=drive.home.records.remove("n0"))  # its agent tells, not of it
    after, _ = rollout.advance(drive.operation, NOW + 5.0, others)
    assert "no agent tells of it" in after.reason


def test_an_instance_whose_agent_has_come_back_proves_itself_anew() -> None:
    drive = Drive(Kind.UPGRADE)
    drive.turn()
    drive.be("n0", "ready")
    drive.turn()
    assert drive.step("n0") is Step.PROVING
    drive.be("n0", "starting", pid=0)
    drive.turn()
    assert drive.step("n0") is Step.MOVING
    drive.be("n0", "ready")
    drive.pass_time(RULES.hold_s + 2)
    assert drive.step("n0") is Step.DONE
    drive.be("n1", "ready")
    drive.turn()
    drive.be("n1", "starting", failures=1)  # it has ended by itself
    drive.turn()
    assert drive.operation.phase is Phase.REVERTING


def test_drains_end_with_who_stopped_and_a_restart_has_a_new_generation() -> None:
    drive = Drive(Kind.DRAIN, count=1)
    drive.turn()
    assert not drive.home.records["n0"].want.run
    drive.be("n0", "draining")
    drive.turn()
    assert drive.step("n0") is Step.MOVING
    drive.be("n0", "stopped")
    assert drive.turn(6).phase is Phase.DONE
    drive = Drive(Kind.RESTART, count=1)
    drive.turn()
    assert drive.home.records["n0"].want.generation == 1
    drive.be("n0", "ready")
    drive.pass_time(RULES.hold_s + 3)
    assert drive.operation.phase is Phase.DONE


def test_a_cancelled_operation_ends_what_is_under_way_and_begins_nothing() -> None:
    drive = Drive(Kind.UPGRADE)
    drive.turn()
    drive.operation = rollout.cancel(drive.operation, drive.now, "boss")
    drive.be("n0", "ready")
    drive.pass_time(RULES.hold_s + 3)
    assert drive.operation.phase is Phase.CANCELLED
    assert [drive.step(f"n{n}") for n in range(3)] == [Step.DONE, Step.UNTOUCHED, Step.UNTOUCHED]
    assert "boss" in drive.operation.reason


def test_nothing_new_is_begun_without_a_quorum() -> None:
    drive = Drive(Kind.UPGRADE)
    setting = rollout.Setting(
        drive.home.records, {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES, quorum=False
    )
    after, asks = rollout.advance(drive.operation, NOW, setting)
    assert asks == []
    assert after.phase is Phase.CLAIMING


# Views.


def spread(views: list[View], now: float, rounds: int, cut: tuple[str, ...] = ()) -> float:
    for _ in range(rounds):
        now += RULES.gossip_s
        for view in views:
            if view.agent in cut:
                continue
            own = view.entries[view.agent].content
            assert own is not None
            view.tick(own)
            for name in view.peers():
                other = next(one for one in views if one.agent == name)
                if other.agent in cut:
                    continue
                news = other.delta(view.digest())
                view.hear(news, now)
                other.hear(view.requested_entries(news.requested), now)
    return now


def test_a_change_reaches_all_and_a_dead_agent_is_told_from_a_slow_one() -> None:
    names = [f"a{n}" for n in range(20)]
    views = [View(name, names, NOW, RULES, seed) for seed, name in enumerate(names)]
    assert not views[0].quorum(NOW)
    views[7].tick(Content((record("n0"),)))
    now = spread(views, NOW, 8)
    assert all("n0" in view.records() for view in views)
    assert all(view.quorum(now) for view in views)
    before = views[0].records()
    now = spread(views, now, 20, cut=("a3",))
    assert views[0].health("a3", now) is Health.DEAD
    assert views[0].health("a4", now) is Health.ALIVE
    assert views[0].dead(now) == {"a3"}
    assert before["n0"].name == "n0"  # a reader keeps the whole that it has
    for turn in range(30):
        now = spread(views, now, 1, cut=() if turn % 4 == 0 else ("a5",))
    assert views[0].health("a5", now) in (Health.SLOW, Health.SUSPECT, Health.ALIVE)
    now += 60.0  # cut off itself: it hears nobody
    assert not views[0].quorum(now)


def test_older_words_are_passed_over_and_a_new_life_outdoes_an_old_one() -> None:
    one, other = View("a0", ["a0", "a1"], NOW, RULES), View("a1", ["a0", "a1"], NOW, RULES)
    other.tick(Content((record("n0"),)))
    old = other.delta(one.digest())
    one.hear(old, NOW)
    other.tick(Content(()))
    one.hear(other.delta(one.digest()), NOW + 1.0)
    assert not one.records()
    one.hear(old, NOW + 2.0)
    assert not one.records()
    again = View("a1", ["a0", "a1"], NOW + 9.0, RULES)
    again.tick(Content((record("n1"),)))
    one.hear(again.delta(one.digest()), NOW + 9.0)
    assert list(one.records()) == ["n1"]


# The store.


def test_the_store_keeps_all_of_a_change_or_nothing(tmp_path: Path) -> None:
    store = Store(tmp_path / "a.db")
    store.apply(
        StoreChange(
            records=[record("n0")], processes=[Process("n0", "t", 0, 0, "1", 0)], events=[(1.0, "begun")]
        )
    )
    with pytest.raises(StoreError):
        store.apply(
            StoreChange(records=[record("n1")], events=[(2.0, None)])  # type: ignore[list-item]
        )
    store.close()
    again = Store(tmp_path / "a.db")
    assert [one.name for one in again.records()] == ["n0"]
    assert [event.text for event in again.history()] == ["begun"]
    assert again.processes() == [Process("n0", "t", 0, 0, "1", 0)]


def test_a_store_of_a_later_program_is_refused(tmp_path: Path) -> None:
    Store(tmp_path / "a.db").close()
    with sqlite3.connect(tmp_path / "a.db") as db:
        db.execute("update meta set value='99' where key='form'")
    with pytest.raises(StoreError, match="later program"):
        Store(tmp_path / "a.db")


def fleet_file(folder: Path, agents: int = 1, instances: int = 1, extra: str = "", tls: bool = False) -> Path:
    root = Path(__file__).parents[2]
    lines = [extra, 'first_build = "1"', "backoff_first_s = 0.1"]
    if tls:
        lines += ["[tls]", 'ca = "ca.pem"', 'cert = "boss.pem"', 'key = "boss.pem"']
        lines += ["[[operator]]", 'name = "boss"', 'role = "operate"', "[[operator]]", 'name = "guest"']
    lines += ["[rules]", "gossip_s = 0.2", "hold_s = 0.3", "drain_within_s = 3", "ready_within_s = 15"]
    for number in range(agents):
        lines += ["[[agent]]", f'name = "a{number}"', 'hall = "hall-a"', f'state = "a{number}"']
        lines += [f'address = "127.0.0.1:{free_port()}"']
        lines += [f'cert = "a{number}.pem"', f'key = "a{number}.pem"'] if tls else []
    lines += ["[[build]]", 'name = "1"', f'path = "{root}"', f'python = "{sys.executable}"']
    lines += ["[[build]]", 'name = "2"', f'path = "{root}"', f'python = "{sys.executable}"']
    for number in range(instances):
        data = example(listen=f"127.0.0.1:{free_port()}")
        (folder / f"n{number}.json").write_text(json.dumps(data))
        lines += [
            "[[instance]]",
            f'name = "n{number}"',
            f'agent = "a{number % agents}"',
            f'config = "n{number}.json"',
        ]
    path = folder / "fleet.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def test_a_full_disk_is_told_and_changes_nothing(tmp_path: Path) -> None:
    node = Node(load_fleet(fleet_file(tmp_path)), "a0")
    before = node.home
    pages = node.store._db.execute("pragma page_count").fetchone()[0]
    node.store._db.execute(f"pragma max_page_count={pages}")  # as a full disk: not one page more
    long = "x" * 200_000
    reply = node.request(TakeClaims(long, long, "a0", "drain", ("n0",), 9e9))
    assert "cannot keep" in reply.reason
    assert node.home == before
    assert node._submit(wire.Submit(Kind.DRAIN, ("n0",), by=long, id=long), long).error
    assert not node.operations
    node.store._db.execute("pragma max_page_count=1000000")
    assert not node.request(TakeClaims("op", "x", "a0", "drain", ("n0",), 9e9)).reason


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('agent = "a0"', 'agent = "a9"'), "a9"),
        (('hall = "hall-a"\n', ""), "hall"),
        (('first_build = "1"', 'first_build = "7"'), "first_build"),
        (("gossip_s = 0.2", "gossip_s = 0"), "gossip_s"),
        (("[rules]", "[rules]\ngosip_s = 1"), "gosip_s"),
        (('name = "2"', 'name = "1"'), "build"),
        (('name = "n0"', 'name = "n 0"'), "n 0"),
        (('config = "n0.json"', 'config = "no.json"'), "no.json"),
        (("[rules]", "[rules]\ndown_share_hall = 2"), "down_share_hall"),
        (('address = "127.0.0.1:', 'address = "10.0.0.1:'), "tls"),
        (('address = "127.0.0.1:', 'address = "127.0.0.1'), "address"),
    ],
)
def test_a_fault_in_the_fleet_file_names_its_key(
    tmp_path: Path, change: tuple[str, str], named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = fleet_file(tmp_path)
    assert cli.main(["fleet", "check", str(path)]) == 0
    assert change[0] in path.read_text()
    path.write_text(path.read_text().replace(*change, 1))
    assert cli.main(["fleet", "check", str(path)]) == 2
    assert named in capsys.readouterr().err


def test_a_fleet_file_changed_keeps_what_runs_and_takes_up_what_is_new(tmp_path: Path) -> None:
    path = fleet_file(tmp_path, instances=2)
    node = Node(load_fleet(path), "a0")
    node.request(TakeClaims("op", "x", "a0", "drain", ("n1",), 9e9))
    text = path.read_text()
    cut = text[: text.index('[[instance]]\nname = "n1"')]
    first = text[text.index("[[instance]]") : len(cut)]
    path.write_text(cut + first.replace("n0", "n2"))
    (tmp_path / "n2.json").write_text((tmp_path / "n1.json").read_text())
    node.reread()
    assert sorted(node.home.records) == ["n0", "n1", "n2"]  # n1 is to run, and held: it is not forgotten
    assert node.home.records["n1"].claim is not None
    path.write_text("nonsense")
    node.reread()
    assert sorted(node.home.records) == ["n0", "n1", "n2"]


def test_an_instance_taken_from_the_file_is_kept_no_more_once_it_is_stopped(tmp_path: Path) -> None:
    async def main() -> None:
        path = fleet_file(tmp_path, instances=2, extra="first_run = false")
        node = Node(load_fleet(path), "a0")
        text = path.read_text()
        async with trio.open_nursery() as nursery:
            node._nursery = nursery
            for controller in node.controllers.values():
                nursery.start_soon(controller.run)
            await trio.testing.wait_all_tasks_blocked()
            path.write_text(text[: text.index('[[instance]]\nname = "n1"')])
            node.reread()
            assert sorted(node.controllers) == sorted(node.home.records) == ["n0"]
            await trio.sleep(1.2)  # past the next look of every controller
            nursery.cancel_scope.cancel()
        node.store.close()
        path.write_text(text)
        held = Node(load_fleet(path), "a0")
        held.request(TakeClaims("op", "x", "a0", "drain", ("n1",), 9e9))
        held.store.close()
        path.write_text(text[: text.index('[[instance]]\nname = "n1"')])
        again = Node(load_fleet(path), "a0")  # a new agent, and the file has changed meanwhile
        assert sorted(again.controllers) == sorted(again.home.records) == ["n0", "n1"]
        with pytest.raises(WireError, match="no agent is called a9"):
            await again.exchange("a9", wire.Show())

    trio.run(main)


def test_a_hall_that_the_file_no_longer_names_loses_its_instances_and_ends_the_operation() -> None:
    records = homes(record("n0")).records
    planned = rollout.plan(Kind.RESTART, tuple(records.values()), id="op", by="x", coordinator="a0", now=NOW)
    running = msgspec.structs.replace(planned, phase=Phase.RUNNING)
    after, asks = rollout.advance(running, NOW, rollout.Setting(records, {FLEET: "a0"}, RULES))
    assert asks == []
    assert after.phase is Phase.FAILED
    assert "hall:hall-a" in after.instances[0].note


def test_a_status_that_cannot_be_read_does_no_harm(tmp_path: Path) -> None:
    async def main() -> None:
        node = Node(load_fleet(fleet_file(tmp_path)), "a0")
        told = list[tuple[str, bool, int, int]]()
        node.controllers["n0"].receive_report = lambda *words: told.append(words)  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node._listen_notify)
            with trio.fail_after(10):
                while not node.notify.exists():
                    await trio.sleep(0.01)
            with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                for data in (
                    b"STATUS=served=x failed=-1",
                    b"\xff\x00=",
                    b"READY=1\nX_TOKEN=t\nSTATUS=served=3 failed=1",
                ):
                    await sock.sendto(data, str(node.notify))
            with trio.fail_after(10):
                while len(told) < 3:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert told[0][2:] == (0, 0)
        assert told[2] == ("t", True, 4, 1)

    trio.run(main)


# Processes.


def test_a_process_is_found_again_by_pid_start_and_token_alone(tmp_path: Path) -> None:
    pid_file = tmp_path / "p.pid"
    code = [sys.executable, "-c", "import time; time.sleep(60)"]
    started = processes.launch(code, tmp_path, {"PATH": "/usr/bin:/bin"}, tmp_path / "log", pid_file, "tok")
    try:
        while not pid_file.exists():
            pass
        born = processes.start_ticks(started.pid)
        assert processes.find(started.pid, born, "tok", pid_file) == (started.pid, born)
        assert processes.find(0, 0, "tok", pid_file) == (
            started.pid,
            born,
        )  # killed before its note was taken
        assert processes.find(started.pid, born + 1, "tok", pid_file) == (0, 0)  # the number is another's now
        assert processes.find(started.pid, born, "other", pid_file) == (0, 0)
    finally:
        started.kill()
        started.wait()
    assert processes.find(started.pid, born, "tok", pid_file) == (0, 0)


def test_a_process_is_known_while_it_becomes_its_program(tmp_path: Path) -> None:
    # Its environment reads empty for a moment then; an agent that came back took it for another's.
    for number in range(40):
        pid_file = tmp_path / f"{number}.pid"
        path = {"PATH": "/usr/bin:/bin"}
        started = processes.launch(["/bin/sleep", "60"], tmp_path, path, tmp_path / "log", pid_file, "tok")
        try:
            while not pid_file.exists():
                pass
            born = processes.start_ticks(started.pid)
            assert all(
                processes.find(started.pid, born, "tok", pid_file) == (started.pid, born) for _ in range(20)
            )
        finally:
            started.kill()
            started.wait()


def test_one_that_ignores_sigterm_is_killed_in_time(tmp_path: Path) -> None:
    async def main() -> None:
        path = fleet_file(tmp_path)
        node = Node(load_fleet(path), "a0")
        code = (
            "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
            "print(1, flush=True); time.sleep(60)"
        )
        stubborn = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
        assert stubborn.stdout is not None
        stubborn.stdout.readline()
        controller: InstanceController = node.controllers["n0"]
        process = processes.InstanceProcess(
            stubborn.pid, processes.start_ticks(stubborn.pid), "t", "1", 0, reported_ready=True
        )
        controller.current = process
        node.home = home.observe(node.home, "n0", Seen())
        held = node.home.records["n0"]
        stop = msgspec.structs.replace(held, want=Want(False, "1", 2))
        node.home = msgspec.structs.replace(node.home, records=node.home.records.insert("n0", stop))
        now = node.now()
        controller.step(now)
        assert process.alive
        assert node.home.records["n0"].seen.state == "draining"
        controller.step(now + 60.0)
        with trio.fail_after(20):
            await process.wait()
        controller.step(now + 61.0)
        assert node.home.records["n0"].seen.state == "stopped"
        assert "killed" in node.home.records["n0"].seen.note
        stubborn.stdout.close()

    trio.run(main)


# The wire and TLS.


@pytest.mark.parametrize(
    ("lowest", "highest", "use", "error"), [(1, 1, 1, ""), (1, 9, 1, ""), (5, 9, 0, "speaks protocol 1 to 1")]
)
def test_versions_agree_or_say_so(lowest: int, highest: int, use: int, error: str) -> None:
    reply = wire.NUMBERS.agree(Greeting(lowest, highest, "9.9"))
    assert reply.use == use
    assert error in reply.error
    assert not reply.error or "9.9" in reply.error


def test_fields_unknown_to_this_program_are_passed_over() -> None:
    text = b'{"type":"show","history":3,"colour":"blue"}'
    assert msgspec.json.decode(text, type=wire.Message) == wire.Show(3)


def certificates(folder: Path, ca: trustme.CA, name: str, until: datetime.datetime | None = None) -> None:
    ca.issue_cert(name, not_after=until).private_key_and_cert_chain_pem.write_to_path(
        str(folder / f"{name}.pem")
    )


def test_certificates_that_have_expired_or_name_another_are_refused_and_renewed_ones_hold(
    tmp_path: Path,
) -> None:
    ca, stranger = trustme.CA(), trustme.CA()
    ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    for name in ("a0", "a1", "boss", "guest", "nobody"):
        certificates(tmp_path, ca, name)
    path = fleet_file(tmp_path, agents=2, instances=2, tls=True)
    fleet = load_fleet(path)
    past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)

    async def main() -> None:
        node = Node(fleet, "a0")
        node.home = Home("a0")  # no processes in this test
        node.controllers.clear()
        address = fleet.agent("a0").address
        async with trio.open_nursery() as nursery:
            host, _, port = address.rpartition(":")
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            nursery.start_soon(trio.serve_listeners, node._serve_tcp, listeners)

            async def tell(name: str, to: str = "a0", message: wire.Message | None = None) -> wire.Answer:
                tls = Certificates(tmp_path / "ca.pem", tmp_path / f"{name}.pem", tmp_path / f"{name}.pem")
                return await wire.exchange(address, to, message or wire.Show(), tls.client(), to)

            assert not (await tell("boss")).error
            assert not (await tell("guest")).error
            submit = wire.Submit(Kind.DRAIN, ("n0",), id="op")
            assert "may read" in (await tell("guest", message=submit)).error
            assert "only agents" in (await tell("boss", message=wire.Gossip(node.view.digest()))).error
            with pytest.raises(WireError):
                await tell("nobody")
            with pytest.raises(WireError, match="not accepted"):
                await tell("boss", to="a1")  # it names another agent
            certificates(tmp_path, stranger, "other")
            with pytest.raises(WireError):
                await tell("other")
            certificates(tmp_path, ca, "a0", past)
            with pytest.raises(WireError, match="expired"):
                await tell("boss")
            certificates(tmp_path, ca, "a0")  # renewed in place, without a restart
            assert not (await tell("boss")).error
            (tmp_path / "a0.pem").write_text("garbage")
            assert not (await tell("boss")).error  # what was read before holds
            assert node.certificates is not None
            assert "a0.pem" in node.certificates.fault
            nursery.cancel_scope.cancel()

    trio.run(main)
    names: dict[str, object] = {"subjectAltName": (("DNS", "a1"),)}
    peer = who(fleet, names)
    assert peer is not None
    assert peer.agent
    assert who(fleet, None) is None
    with pytest.raises(config.ConfigError, match="tls"):
        Certificates(tmp_path / "ca.pem", tmp_path / "a0.pem", tmp_path / "a0.pem")
    assert ssl.HAS_TLSv1_3


def test_an_ingress_loads_nothing_of_the_fleet_or_the_command_line() -> None:
    code = (
        "import sys, os; os.environ.pop('GW_CONFIG', None)\n"
        "from wickspring.cli import main\nfrom wickspring.net import server\n"
        "assert main(['serve']) == 2\nprint(' '.join(sorted(sys.modules)))"
    )
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(got.stdout.split())
    assert "wickspring.net.server" in loaded
    unwanted = {
        "click",
        "rich",
        "rpds",
        "sqlite3",
        "cryptography",
        "ldap3",
        "matplotlib",
        "numpy",
        "argparse",
        "h2",
        "hpack",
    }
    unwanted |= {"wickspring.fleet", "wickspring.agent", "wickspring.lab", "wickspring.commands"}
    assert not unwanted & loaded
    empty: HashTrieMap[str, Record] = HashTrieMap()
    assert not empty
