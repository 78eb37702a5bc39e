"""Defects put into the chain on purpose: the model has to catch each, by the seed that is listed with it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import Lease
from wickspring.controlplane.replication.paxos import Ballot, PaxosVoter, Proposal, Value
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import FaultTolerance, Member, PeerObservation, View
from wickspring.lab.faults.core_faults import Chaos, Episodes
from wickspring.lab.simulation.core import InvariantBrokenError
from wickspring.lab.simulation.state_exploration import ONE_NUMBER, explore


class Careless(ReplicationChain):
    """A head that acknowledges an order whatever text its number has."""

    def _up(self, seq: int, told: Replica) -> None:
        super()._up(seq, told)
        self.done = [(ticket, CommitOutcome.SAFE) for ticket, _ in self.done]


class Hasty(ReplicationChain):
    """A head that acknowledges before the tail has answered."""

    def enter(self, now: float, ticket: int, order: Update) -> None:
        super().enter(now, ticket, order)
        if self._waiting.pop(ticket, None) is not None:
            self.done.append((ticket, CommitOutcome.SAFE))


class Stern(ReplicationChain):
    """A head that refuses for good what another text of its number has gone before, safe or not."""

    def enter(self, now: float, ticket: int, order: Update) -> None:
        super().enter(now, ticket, order)
        waiting = self._waiting.get(ticket)
        if waiting and self.replica.config.judge(order.version, waiting.digest) == CommitOutcome.CONFLICT:
            del self._waiting[ticket]
            self.done.append((ticket, CommitOutcome.CONFLICT))


class Sure(ReplicationChain):
    """A head that confirms by itself, without contact, what its own copy holds."""

    def enter(self, now: float, ticket: int, order: Update) -> None:
        if order.version or order.leaving or not self.member or self.head != self.ip:
            super().enter(now, ticket, order)
        else:
            self.done.append((ticket, CommitOutcome.SAFE))


class Early(ReplicationChain):
    """A machine that calls safe, as it starts, what its disk holds."""

    def begin(self, now: float) -> None:
        super().begin(now)
        if self.replica.config.version:
            self._is_safe(self.replica)


class Forgetful(ReplicationChain):
    """A machine that leaves as soon as it is told to."""

    @property
    def may_leave(self) -> bool:
        return self.leaving


class Voteless(ReplicationChain):
    """A machine that leaves once no chain has it, though it still has a vote."""

    @property
    def may_leave(self) -> bool:
        return not self.member


class Hollow(ReplicationChain):
    """Text left out for who holds a text of that number; and who lacks it says that it is saved."""

    def _down(self, seq: int, told: Replica) -> None:
        sent = len(self.out)
        super()._down(seq, told)
        for _, message in self.out[sent:]:
            if message[0] == "pass" and seq % 3 == 0:
                message[3] = told.pack(told.config.identity)

    def _take_pass(self, now: float, sender: str, view: View, seq: int, told: Replica) -> None:
        if view == self.view and self.member and not told.config.filled(self.replica.config).whole:
            self._down(seq, Replica(self.replica.config, told.leaving))
            return
        super()._take_pass(now, sender, view, seq, told)


class Bare(ReplicationChain):
    """A machine that takes up a view without the state with which it begins."""

    def _install(self, now: float, view: View, state: Replica | None) -> None:
        self.replica = self.replica.begun(view.epoch)
        super()._install(now, view, None)


class Numbered(ReplicationChain):
    """A machine that keeps a text which an ended epoch left unconfirmed, where its number is no lower."""

    def _install(self, now: float, view: View, state: Replica | None) -> None:
        own = self.replica.config
        if state is not None and own.version >= state.config.version:
            state = Replica(self.replica.begun(view.epoch).config, state.leaving)
        super()._install(now, view, state)


class Alone(ReplicationChain):
    """A voter that takes a view for agreed by itself."""

    def _take_promise(  # type: ignore[no-untyped-def]
        self, now, member, slot, ballot, told, copy
    ) -> None:
        one = self.paxos.mine(slot, ballot)
        if one is not None and member == self.me and one.value is None:
            mine = (self.me,)
            self._install(now, View(self.view.epoch + 1, mine, mine), self.replica.begun(slot))


class Amnesiac(Chaos):
    """A machine whose disk was wiped comes back under the name of its old disk, and so with its vote."""

    kinds = ("wipe", "wipe", "cut", "kill")

    def stop(self, machine: Any, wipe: bool = False) -> None:
        kept = machine.disk
        super().stop(machine, wipe)
        if wipe and kept is not None:
            machine.disk = kept
            del self.ledger.best[machine.ip, kept["disk"]]  # what is caught is what comes of it


class Leaving(Episodes):
    """Planned replacements, and a loss as soon as the old machine has gone."""

    kinds = ("planned", "wipe")


class Cut(Chaos):
    """Cuts above all."""

    kinds = ("cut", "one_way", "stop", "lossy")


class Kept(Lease):
    """A lease that its holder keeps too long."""

    lasts_ms = 3000.0


def chaos(seed: int, chain: type[ReplicationChain]) -> None:
    Chaos(seed, 3, chain=chain).play(25_000.0)


def wiped(seed: int, chain: type[ReplicationChain]) -> None:
    Amnesiac(seed, 3, chain=chain).play(25_000.0, 9000.0)


def leaving(seed: int, chain: type[ReplicationChain]) -> None:
    Leaving(seed, 3, chain=chain).play(8)


def leaving_of_five(seed: int, chain: type[ReplicationChain]) -> None:
    Leaving(seed, 5, 5, chain=chain, tolerance=FaultTolerance(2)).play(8)


def kept(seed: int, chain: type[ReplicationChain]) -> None:
    Cut(seed, 4, chain=chain, lease=Kept).play(25_000.0)


DEFECTS: list[tuple[Callable[[int, type[ReplicationChain]], None], type[ReplicationChain], int, str]] = [
    (chaos, Careless, 0, "has another text of it"),  # acknowledged with another text
    (chaos, Hasty, 0, "acknowledged, m1 has"),
    (chaos, Stern, 0, "no other text of it is safe"),  # refused, though no other text is safe
    (chaos, Sure, 0, "had been acknowledged before"),  # confirmed without contact
    (chaos, Early, 0, "before it has heard another"),  # handed out before contact
    (leaving, Forgetful, 8, "no read was answered"),  # a leaving member forgotten early: by its copies
    (leaving_of_five, Voteless, 192, "no read was answered"),  # by those who decide
    (chaos, Hollow, 0, "calls .* safe"),  # a copy without its text counted as a copy
    (chaos, Bare, 30, "two texts of"),  # a view installed without its state
    (chaos, Numbered, 41, "two texts of"),  # copies told apart by their number alone
    (chaos, Alone, 0, "two views|differ|no read"),  # a view agreed by one
    (
        wiped,
        ReplicationChain,
        58,
        "holds the state of its view|two |acknowledged|differ|no read",
    ),  # a wiped disk's name used again
    (kept, ReplicationChain, 5, "usable at once"),  # a lease kept too long
]


@pytest.mark.parametrize(("play", "chain", "seed", "what"), DEFECTS)
def test_seeded_defects_are_caught(
    play: Callable[[int, type[ReplicationChain]], None], chain: type[ReplicationChain], seed: int, what: str
) -> None:
    """The listed seed is tried first; a change of the chain draws other runs, and then another may be it."""
    with pytest.raises(AssertionError, match=what) as caught:
        for one in (seed, *range(400)):
            play(one, chain)
    print(caught.value)


@pytest.mark.parametrize("chain", [Careless, Hasty, Stern, Alone])
def test_exploring_finds_them_too(chain: type[ReplicationChain]) -> None:
    with pytest.raises(InvariantBrokenError):
        for loses in "abc":
            explore(ONE_NUMBER, loses, chain=chain)


class Loose(PaxosVoter):
    """Promises of a majority are enough, though no machine of the chain is among them."""

    @staticmethod
    def promised_by(
        one: Proposal, view: View, member: Member, told: Replica, accepted: tuple[Ballot, Value] | None
    ) -> bool:
        return PaxosVoter.promised_by(one, view, member, told, accepted) or view.decides(one.promises)


@pytest.mark.parametrize(("decree", "agreed"), [(PaxosVoter, False), (Loose, True)])
def test_a_view_needs_the_promise_of_one_who_has_what_was_acknowledged(
    paxos: type[PaxosVoter], agreed: bool
) -> None:
    """Of three voters the head alone is the chain, and is away: the others may not go on without it."""
    members = tuple((ip, "first") for ip in "abc")
    view = View(1, members, members[:1])
    chains = {ip: ReplicationChain(ip, "first", view, 1) for ip in "bc"}
    for ip, one in chains.items():
        one.paxos = paxos()
        one.begin(0.0)
        one.reach = {other: PeerObservation(other != "a", "first", epoch=1) for other in "abc" if other != ip}
    for now in range(2000, 12_000, 200):
        for one in chains.values():
            one.tick(now, one.reach)
        while any(one.out for one in chains.values()):
            for ip, one in chains.items():
                out, one.out = one.out, []
                for to, message in out:
                    if to in chains:
                        chains[to].receive(now, ip, message)
    assert (chains["b"].view.epoch > 1) == agreed
