"""The chain of core machines: its real transitions in virtual time, under everything that may befall it."""

from __future__ import annotations

import pytest

from wickspring.lab.keel import BrokenError, Core, Machine
from wickspring.lab.keel_states import explore
from wickspring.lighthouse.chain import Chain, Hold, View


@pytest.mark.parametrize("machines", [3, 4, 5])
def test_nothing_acknowledged_is_lost(machines: int) -> None:
    acks = 0
    for seed in range(120):
        core = Core(1000 * machines + seed, machines)
        core.play(25_000.0)
        acks += core.acks
    assert acks > 120 * 15  # and it is no core that refuses everything


class Amnesiac(Core):
    """A machine whose disk was wiped comes back under the name of its old disk, and so with its vote."""

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
    assert explore(1, loses) > 4000


def test_exploring_finds_who_agrees_with_itself_alone() -> None:
    with pytest.raises(BrokenError):
        explore(1, "c", chain=Alone)
