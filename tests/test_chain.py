"""The chain of core machines: its real transitions in virtual time, under everything that may befall it."""

from __future__ import annotations

import pytest

from wickspring.lab.keel import BrokenError, Core, Machine
from wickspring.lab.keel_states import explore
from wickspring.lighthouse.chain import Chain, Hold, Reach, View
from wickspring.lighthouse.lease import Lease, grants


@pytest.mark.parametrize(("machines", "seeds"), [(3, 400), (4, 200), (5, 100)])
def test_nothing_acknowledged_is_lost(machines: int, seeds: int) -> None:
    acks = usable = 0
    for seed in range(seeds):
        core = Core(1000 * machines + seed, machines)
        core.play(9_000.0)
        acks, usable = acks + core.acks, usable + core.usable
    assert acks > 6 * seeds  # and it is no core that refuses everything
    assert usable > 40 * seeds


class Amnesiac(Core):
    """A machine whose disk was wiped comes back under the name of its old disk, and so with its vote."""

    kinds = ("wipe", "wipe", "cut", "kill")

    def stop(self, machine: Machine, wipe: bool = False) -> None:
        kept = machine.disk
        super().stop(machine, wipe)
        if wipe:
            machine.disk = kept


class Hasty(Chain):
    """A head that acknowledges before the tail has answered."""

    def enter(self, now: float, ticket: int, brought: Hold) -> None:
        super().enter(now, ticket, brought)
        if self._waiting.pop(ticket, None) is not None:
            self.done.append((ticket, True))


class Stale(Chain):
    """A head that answers a read from its own copy, without asking whether its view still stands."""

    def enter(self, now: float, ticket: int, brought: Hold) -> None:
        if brought.version or not self.member or self.head != self.ip:
            super().enter(now, ticket, brought)
        else:
            self.done.append((ticket, True))


class Alone(Chain):
    """A member that takes a view for agreed by itself."""

    def _take_promise(self, now, sender, message):  # type: ignore[no-untyped-def]
        if self.proposal is not None and sender == self.ip:
            self._install(now, View(self.view.epoch + 1, (self.me,)))


class Kept(Lease):
    """A lease that its holder keeps too long."""

    lasts_ms = 3000.0


class Hurried(Lease):
    """A new keeper that does not wait until leases of the view before have ended."""

    def usable(self, now: float, chain: Chain) -> bool:
        return self.held(now, chain)


@pytest.mark.parametrize(("lease", "kept"), [(Lease, True), (Kept, False), (Hurried, False)])
def test_a_lease_of_the_view_before_has_ended_when_the_next_is_used(lease: type[Lease], kept: bool) -> None:
    """The head hears nothing of the view that the other two agree on, though they hear it."""
    members = tuple((ip, "first") for ip in "abc")
    chains = {ip: Chain(ip, "first", View(1, members), at) for at, ip in enumerate("abc")}
    leases = {ip: lease() for ip in "ab"}
    chains["b"].begin(0.0)
    for ip, one in leases.items():
        one.take_up(0.0, chains[ip].view)
    reach = {"a": Reach(True, "first", hampered=True, epoch=1), "c": Reach(True, "first", epoch=1)}
    used, together = set(), 0
    for now in range(0, 4000, 5):
        if now % 200 == 0:
            if grants(chains["b"]) == 1:  # what it says later does not reach the head
                leases["a"].granted("b", "first", now, 1)
            leases["b"].granted("c", "first", now, grants(chains["c"]))
            if now >= 1200:
                chains["b"].tick(now, reach)
        while chains["b"].out or chains["c"].out:
            for ip in "bc":
                out, chains[ip].out = chains[ip].out, []
                for to, message in out:
                    if to != "a":
                        chains[to].receive(now, ip, message)
        leases["b"].take_up(now, chains["b"].view)
        holders = [ip for ip, one in leases.items() if one.usable(now, chains[ip])]
        used |= {(ip, leases[ip].epoch) for ip in holders}
        together += len({leases[ip].epoch for ip in holders}) > 1
    assert used == {("a", 1), ("b", 1), ("b", 2)}
    assert (together == 0) == kept


def test_a_machine_that_is_in_no_view_keeps_nothing() -> None:
    chain, lease = Chain("a", "new", View(), 1), Lease()
    lease.take_up(0.0, chain.view)
    assert not lease.usable(5000.0, chain)


def test_the_sweep_finds_copies_that_hold_as_many_but_others() -> None:
    core = Core(3, 4)
    core.run(3000.0)
    spare, head = core.machines["m3"].chain, core.machines["m0"].chain
    assert spare is not None and head is not None and not spare.member
    head.safe.join(Hold(leavers={"i1": 1, "i2": 2}))
    spare.safe.join(Hold(leavers={"i1": 1, "i3": 1}))
    core.run(5000.0)
    for machine in core.machines.values():
        assert machine.chain is not None
        assert machine.chain.safe.leavers == {"i1": 1, "i2": 2, "i3": 1}
        assert machine.chain.safe.mark == Hold(leavers=dict(machine.chain.safe.leavers)).mark


class Cut(Core):
    """Cuts above all."""

    kinds = ("cut", "one_way", "stop", "lossy")


def test_a_lease_kept_too_long_is_caught() -> None:
    with pytest.raises(BrokenError, match="usable at once"):
        for seed in range(400):
            Cut(seed, 4, lease=Kept).play(25_000.0)


@pytest.mark.parametrize(
    ("core", "chain", "write_ms"),
    [(Amnesiac, Chain, 9000.0), (Core, Hasty, 250.0), (Core, Stale, 250.0), (Core, Alone, 250.0)],
)
def test_seeded_defects_are_caught(core: type[Core], chain: type[Chain], write_ms: float) -> None:
    with pytest.raises((BrokenError, AssertionError)) as caught:
        for seed in range(400):
            core(seed, 3, chain=chain).play(25_000.0, write_ms)
    print(caught.value)


@pytest.mark.parametrize("loses", ["a", "b", "c"])
def test_no_order_of_events_breaks_a_small_core(loses: str) -> None:
    assert explore(2, loses) > 15_000


def test_exploring_finds_who_agrees_with_itself_alone() -> None:
    with pytest.raises(BrokenError):
        explore(1, "c", chain=Alone)
