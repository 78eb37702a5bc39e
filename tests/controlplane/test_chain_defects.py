"""Defects put into the chain on purpose: the model has to catch each, by the seed that is listed with it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from wickspring.common.config_version import is_newer
from wickspring.controlplane.replication.chain import OutgoingMessage, ReplicationChain, TicketOutcome
from wickspring.controlplane.replication.lease import Lease
from wickspring.controlplane.replication.messages import Pass, Passed, Promise
from wickspring.controlplane.replication.paxos import AcceptedValue, PaxosVoter, Proposal
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.update_passing import UpdatePassing
from wickspring.controlplane.replication.view import FaultTolerance, Member, PeerObservation, View
from wickspring.controlplane.replication.view_change import ViewChange
from wickspring.lab.faults.chaos import Chaos
from wickspring.lab.faults.episodes import Episodes
from wickspring.lab.faults.fault_injector import FaultKind
from wickspring.lab.simulation.exploration_steps import Exploration
from wickspring.lab.simulation.invariants import InvariantBrokenError
from wickspring.lab.simulation.replication.node import SimulatedNode
from wickspring.lab.simulation.state_exploration import ONE_VERSION, explore


class _AcknowledgesAnyTextPassing(UpdatePassing):
    def _confirm(self, sequence: int, state: Replica) -> None:
        super()._confirm(sequence, state)
        effects = self._chain.effects
        effects.outcomes = [TicketOutcome(ticket, CommitOutcome.COMMITTED) for ticket, _ in effects.outcomes]


class AcknowledgesAnyText(ReplicationChain):
    """A head that acknowledges an update whatever text its version has."""

    update_passing_type = _AcknowledgesAnyTextPassing


class AcknowledgesBeforeTail(ReplicationChain):
    """A head that acknowledges before the tail has answered."""

    def submit(self, now: float, ticket: int, update: Update) -> None:
        super().submit(now, ticket, update)
        if self.updates.pending.pop(ticket, None) is not None:
            self.report_outcome(ticket, CommitOutcome.COMMITTED)


class RefusesUncommittedConflict(ReplicationChain):
    """A head that refuses for good what another text of its version has preceded, committed or not."""

    def submit(self, now: float, ticket: int, update: Update) -> None:
        super().submit(now, ticket, update)
        pending = self.updates.pending.get(ticket)
        if pending is None:
            return
        if self.replica.config.outcome_of(update.version, pending.digest) == CommitOutcome.CONFLICT:
            del self.updates.pending[ticket]
            self.report_outcome(ticket, CommitOutcome.CONFLICT)


class ConfirmsReadsAlone(ReplicationChain):
    """A head that confirms by itself, without contact, what its own replica has."""

    def submit(self, now: float, ticket: int, update: Update) -> None:
        if update.is_read and self.is_head:
            self.report_outcome(ticket, CommitOutcome.COMMITTED)
        else:
            super().submit(now, ticket, update)


class CommitsAtStart(ReplicationChain):
    """A node that takes for committed, as it starts, what its disk has."""

    def start(self, now: float) -> None:
        super().start(now)
        if self.replica.config.version is not None:
            self.record_committed(self.replica)


class TakesVersionZeroForNone(ReplicationChain):
    """A head that takes an update of version 0 for one without a configuration, as earlier versions did."""

    def submit(self, now: float, ticket: int, update: Update) -> None:
        super().submit(now, ticket, replace(update, version=update.version or None))


class StopsAtOnce(ReplicationChain):
    """A node that stops as soon as it is asked to."""

    @property
    def may_stop(self) -> bool:
        return self.stopping


class StopsWithVote(ReplicationChain):
    """A node that stops once no chain has it, though it still has a vote."""

    @property
    def may_stop(self) -> bool:
        return not self.is_member


class _ConfirmsWithoutTextPassing(UpdatePassing):
    def _pass_down(self, sequence: int, state: Replica) -> None:
        super()._pass_down(sequence, state)
        messages = self._chain.effects.messages
        if sequence % 3 or not messages:
            return
        address, message = messages[-1]
        if isinstance(message, Pass) and message.sequence == sequence:
            abbreviated = state.abbreviated_for(state.config.identity)
            messages[-1] = OutgoingMessage(address, Pass(message.view, sequence, abbreviated))

    def on_pass(self, now: float, sender: str, message: Pass) -> None:
        chain = self._chain
        lacks_text = message.state.completed_from(chain.replica) is None
        if message.view == chain.view and chain.is_member and lacks_text:
            self._pass_down(message.sequence, Replica(chain.replica.config, message.state.departures))
            return
        super().on_pass(now, sender, message)

    def _is_stored(self, message: Passed, state: Replica) -> bool:
        return True


class ConfirmsWithoutText(ReplicationChain):
    """Omits the document for a node with one of that version; a node without it confirms it as stored.

    Its predecessor doesn't compare what it has confirmed.
    """

    update_passing_type = _ConfirmsWithoutTextPassing


class InstallsWithoutState(ReplicationChain):
    """A node that installs a view without the state with which it starts."""

    def install(self, now: float, view: View, state: Replica | None) -> None:
        self.replica = self.replica.with_epoch(view.epoch)
        super().install(now, view, None)


class ComparesVersionsAlone(ReplicationChain):
    """A node that keeps a text which an ended epoch left uncommitted, where its version is no lower."""

    def install(self, now: float, view: View, state: Replica | None) -> None:
        own = self.replica.config
        if state is not None and not is_newer(state.config.version, own.version):
            state = Replica(self.replica.with_epoch(view.epoch).config, state.departures)
        super().install(now, view, state)


class _AgreesAloneViewChange(ViewChange):
    def on_promise(self, now: float, sender: str, message: Promise) -> None:
        chain = self._chain
        proposal = chain.paxos.own_proposal(message.slot, message.ballot)
        if proposal is not None and sender == chain.ip and proposal.value is None:
            view = View(chain.view.epoch + 1, (chain.me,), (chain.me,))
            chain.install(now, view, chain.replica.with_epoch(message.slot))


class AgreesAlone(ReplicationChain):
    """A voter that takes a view for agreed by itself."""

    view_change_type = _AgreesAloneViewChange


class Amnesiac(Chaos):
    """A machine whose disk was wiped comes back under the name of its old disk, and so with its vote."""

    kinds = (FaultKind.WIPE, FaultKind.WIPE, FaultKind.PARTITION, FaultKind.KILL)

    def stop(self, node: SimulatedNode, wipe: bool = False) -> None:
        kept = node.disk
        super().stop(node, wipe)
        if wipe and kept is not None:
            node.disk = kept
            del self.checker.highest_ranks[
                Member(node.ip, kept.disk_id)
            ]  # what is caught is what comes of it


class Leaving(Episodes):
    """Planned replacements, and a loss as soon as the old machine has gone."""

    kinds = (FaultKind.PLANNED_REPLACE, FaultKind.WIPE)


class Cut(Chaos):
    """Cuts above all."""

    kinds = (
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.SUSPEND,
        FaultKind.MESSAGE_LOSS,
    )


class LongLease(Lease):
    """A lease that its holder keeps too long."""

    duration_ms = 3000.0


class CutWithLongLease(Cut):
    """Partitions, and leases that are kept too long."""

    lease_type = LongLease


def chaos(seed: int, chain: type[ReplicationChain]) -> None:
    Chaos(seed, 3, chain=chain).play(25_000.0)


def wiped(seed: int, chain: type[ReplicationChain]) -> None:
    Amnesiac(seed, 3, chain=chain).play(25_000.0, 9000.0)


def leaving(seed: int, chain: type[ReplicationChain]) -> None:
    Leaving(seed, 3, chain=chain).play(8)


def leaving_of_five(seed: int, chain: type[ReplicationChain]) -> None:
    Leaving(seed, 5, 5, chain=chain, tolerance=FaultTolerance(2)).play(8)


def kept(seed: int, chain: type[ReplicationChain]) -> None:
    CutWithLongLease(seed, 4, chain=chain).play(25_000.0)


DEFECTS: list[tuple[Callable[[int, type[ReplicationChain]], None], type[ReplicationChain], int, str]] = [
    (chaos, AcknowledgesAnyText, 0, "has another text of it"),  # acknowledged with another text
    (chaos, AcknowledgesBeforeTail, 0, "acknowledged, m1 has"),
    (
        chaos,
        RefusesUncommittedConflict,
        0,
        "no other text of it is safe",
    ),  # refused, though no other text is safe
    (chaos, ConfirmsReadsAlone, 0, "had been acknowledged before"),  # confirmed without contact
    (chaos, TakesVersionZeroForNone, 0, "r0 acknowledged, m. has none on its disk"),
    (chaos, CommitsAtStart, 0, "before it has heard another"),  # published before contact
    (leaving, StopsAtOnce, 8, "no read was answered"),  # a leaving member forgotten early: by its copies
    (leaving_of_five, StopsWithVote, 192, "no read was answered"),  # by those who decide
    (chaos, ConfirmsWithoutText, 0, "calls .* safe"),  # a copy without its text counted as a copy
    (chaos, InstallsWithoutState, 30, "two texts of"),  # a view installed without its state
    (chaos, ComparesVersionsAlone, 41, "two texts of"),  # replicas distinguished by their version alone
    (chaos, AgreesAlone, 0, "two views|differ|no read"),  # a view agreed by one
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


@pytest.mark.parametrize(
    "chain", [AcknowledgesAnyText, AcknowledgesBeforeTail, RefusesUncommittedConflict, AgreesAlone]
)
def test_exploring_finds_them_too(chain: type[ReplicationChain]) -> None:
    with pytest.raises(InvariantBrokenError):
        for loses in "abc":
            explore(ONE_VERSION, Exploration(loses), chain_type=chain)


class Loose(PaxosVoter):
    """Promises of a majority are enough, though no machine of the chain is among them."""

    @staticmethod
    def on_promise(
        proposal: Proposal, view: View, member: Member, state: Replica, accepted: AcceptedValue | None
    ) -> bool:
        sufficient = PaxosVoter.on_promise(proposal, view, member, state, accepted)
        return sufficient or view.is_majority(proposal.promises)


@pytest.mark.parametrize(("paxos", "agreed"), [(PaxosVoter, False), (Loose, True)])
def test_a_view_needs_the_promise_of_one_who_has_what_was_acknowledged(
    paxos: type[PaxosVoter], agreed: bool
) -> None:
    """Of three voters the head alone is the chain, and is away: the others may not go on without it."""
    members = tuple(Member(ip, "first") for ip in "abc")
    view = View(1, members, members[:1])
    chains = {ip: ReplicationChain(Member(ip, "first"), view, 1) for ip in "bc"}
    for ip, one in chains.items():
        one.paxos = paxos()
        one.start(0.0)
        one.peers = {other: PeerObservation(other != "a", "first", epoch=1) for other in "abc" if other != ip}
    for now in range(2000, 12_000, 200):
        for one in chains.values():
            one.tick(now, one.peers)
        while any(one.effects.messages for one in chains.values()):
            for ip, one in chains.items():
                for to, message in one.take_effects().messages:
                    if to in chains:
                        chains[to].receive(now, ip, message)
    assert (chains["b"].view.epoch > 1) == agreed
