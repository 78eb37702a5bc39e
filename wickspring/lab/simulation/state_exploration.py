"""Model checking of a small replication group: three nodes, two writers, one node lost at any moment.

The real transitions of `controlplane.replication.chain` are run from each state that can be reached, whatever
the order in which messages arrive, whichever of them are lost, and whenever a node ends and the others
observe it; it may come back, with its disk or an empty one (then there are too many states to visit all).
Checked in each state: views of one epoch are one view; replicas of equal rank have one text; no version is
committed with two texts, and none is refused but for another that is committed; and whoever is in the chain
of the newest view that any node has installed has all that has been acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.messages import ReplicationMessage
from wickspring.controlplane.replication.paxos import PaxosVoter, Proposal
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import Member, PeerObservation, View
from wickspring.lab.simulation.replication.seeded_run import InvariantBrokenError

IPS = ("a", "b", "c")
STEP_MS = 2000.0  # that pass with each look round: all that waits for time is due
ONE_NUMBER = (Update(1, b"x"), Update(1, b"y"))  # two writers, one number


class ConstantRandom(Random):
    """No randomness, so that equal states are found to be equal."""

    def random(self) -> float:
        """Return always the same."""
        return 0.5

    def randrange(self, *args: Any) -> int:
        """Return always the same."""
        return 0


@dataclass(slots=True)
class World:
    """One state."""

    chains: dict[str, ReplicationChain]
    updates: tuple[Update, ...]
    net: dict[str, tuple[str, str, ReplicationMessage]] = field(default_factory=dict)  # by its form
    now: float = 0.0
    lost: str = ""
    back: bool = False  # the lost one has come back
    disk: tuple[str, dict[str, Any], Replica] | None = None  # what the lost one left: its id, state, copy
    written: int = 0
    looks: dict[str, int] = field(default_factory=dict)
    acknowledged: frozenset[int] = frozenset()  # indexes of updates that were acknowledged
    committed: dict[int, bytes] = field(default_factory=dict)  # number: digest of the text safe under it
    views: dict[int, View] = field(default_factory=dict)

    def key(self) -> str:
        """Return what distinguishes this state from others."""
        parts = []
        for ip, chain in sorted(self.chains.items()):
            paxos = chain.paxos
            passing = chain.updates.passing
            waiting = sorted((ticket, pending.sequence) for ticket, pending in chain.updates.pending.items())
            parts.append(
                (
                    ip,
                    chain.me,
                    chain.view,
                    (paxos.promised_slot, paxos.promised_ballot),
                    _accepted_key(paxos),
                    chain.replica.config,
                    chain.committed.config,
                    chain.updates.sequence,
                    waiting,
                    passing and passing.config,
                    sorted(chain.updates.stored_identities.items()),
                    _proposal_key(paxos.proposal),
                )
            )
        looks = sorted(self.looks.items())
        return repr(
            (
                parts,
                sorted(self.net),
                self.lost,
                self.back,
                self.written,
                looks,
                sorted(self.acknowledged),
            )
        )

    def copy(self) -> World:
        """Return a copy that goes its own way; what is never changed in place is shared."""
        chains = {ip: chain.clone() for ip, chain in self.chains.items()}
        return replace(
            self,
            chains=chains,
            net=dict(self.net),
            looks=dict(self.looks),
            committed=dict(self.committed),
            views=dict(self.views),
        )

    def carry_out(self, ip: str, chain: ReplicationChain) -> None:
        """Carry out a chain's effects, as once it has saved."""
        chain.dirty = False
        effects = chain.take_effects()
        for to, message in effects.messages:
            if to in self.chains or to != self.lost:
                self.net[repr((ip, to, message.encode()))] = ip, to, message
        safe = chain.committed.config
        for version, digest in (*safe.history, (safe.version, safe.digest)):
            if version and self.committed.setdefault(version, digest) != digest:
                raise InvariantBrokenError(f"r{version} is safe with two texts, the other at {ip}")
        for ticket, outcome in effects.outcomes:
            self.answered(ip, ticket, outcome)

    def answered(self, ip: str, ticket: int, outcome: CommitOutcome) -> None:
        """Check the outcome of an update."""
        update = self.updates[ticket]
        digest = digest_of(update.document)
        known = self.committed.get(update.version)
        if outcome == CommitOutcome.COMMITTED:
            if known not in (None, digest):
                raise InvariantBrokenError(
                    f"{ip} acknowledges r{update.version}, and another text of it is safe"
                )
            if known == digest:
                self.acknowledged |= {ticket}
        elif outcome == CommitOutcome.CONFLICT and (known in (None, digest) or ticket in self.acknowledged):
            raise InvariantBrokenError(f"{ip} refuses r{update.version}, and no other text of it is safe")

    def check(self) -> None:
        """Check what must hold."""
        newest = 0
        texts: dict[tuple[int, int], tuple[bytes, Any]] = {}
        for ip, chain in self.chains.items():
            epoch, config = chain.view.epoch, chain.replica.config
            newest = max(newest, epoch)
            if epoch and self.views.setdefault(epoch, chain.view) != chain.view:
                raise InvariantBrokenError(
                    f"two views of epoch {epoch}: {chain.view} and {self.views[epoch]}"
                )
            if config.version and texts.setdefault(config.rank, (config.digest, config.history)) != (
                config.digest,
                config.history,
            ):
                raise InvariantBrokenError(f"two copies of {config.rank} differ, one at {ip}")
        for ip, chain in self.chains.items():
            if chain.view.epoch != newest or not chain.is_member:
                continue
            for place in self.acknowledged:
                update = self.updates[place]
                if (
                    chain.replica.config.outcome_of(update.version, digest_of(update.document))
                    != CommitOutcome.COMMITTED
                ):
                    raise InvariantBrokenError(
                        f"{ip} of epoch {newest} lacks r{update.version}, acknowledged"
                    )

    def steps(self, loses: str, looks: int, returns: str) -> list[tuple[str, Any]]:
        """Return all steps that may happen next."""
        found: list[tuple[str, Any]] = [("deliver", name) for name in self.net]
        if self.written < len(self.updates):
            heads = [ip for ip, one in self.chains.items() if one.is_head]
            found += [("write", ip) for ip in heads]
        if not self.lost:
            found.append(("lose", loses))
        else:
            found += [("look", ip) for ip in self.chains if self.looks.get(ip, 0) < looks]
            if returns and not self.back:  # with its disk, or an empty one
                found.append((returns, self.lost))
        return found

    def perform(self, kind: str, what: Any) -> None:
        """Perform one step."""
        if kind == "deliver":
            sender, to, message = self.net.pop(what)
            chain = self.chains.get(to)
            if chain is not None:
                chain.receive(self.now, sender, message)
                self.carry_out(to, chain)
        elif kind == "write":
            ticket, self.written = self.written, self.written + 1
            chain = self.chains[what]
            chain.submit(self.now, ticket, self.updates[ticket])
            self.carry_out(what, chain)
        elif kind == "lose":
            self.lost, chain = what, self.chains.pop(what)
            self.disk = chain.me.disk_id, chain.durable(), chain.replica.copy()
            self.net = {name: one for name, one in self.net.items() if one[1] != what}
        elif kind in ("empty", "its disk"):
            self._bring_back(what, with_disk=kind != "empty")
        else:
            self.looks[what] = self.looks.get(what, 0) + 1
            chain = self.chains[what]
            reach = {ip: self.observe(ip, chain) for ip in IPS if ip != what}
            for _ in range(2):  # the reason must have lasted
                self.now += STEP_MS
                chain.tick(self.now, reach)
            self.carry_out(what, chain)
        self.check()

    def _bring_back(self, what: str, with_disk: bool) -> None:
        """Start the node that was lost, from its disk or with an empty one."""
        self.back = True
        make = type(next(iter(self.chains.values())))
        if not with_disk or self.disk is None:
            chain = make(Member(what, "second"), View(), 0)
        else:
            disk, durable, replica = self.disk
            chain = make(Member(what, disk), View(), 0, replica.copy())
            chain.restore(durable)
        self.chains[what] = chain
        chain.random = ConstantRandom()
        chain.updates.sequence = 1
        chain.view_change.turn = 0.5
        chain.start(self.now)
        self.carry_out(what, chain)

    def observe(self, ip: str, seen_by: ReplicationChain) -> PeerObservation:
        """Return what a machine is known by; who is not new is thought to know as much as who asks."""
        other = self.chains.get(ip)
        if other is None:
            return PeerObservation(False, "first")
        known = seen_by.committed if other.me.disk_id == "first" else other.committed
        epoch = seen_by.view.epoch if other.me.disk_id == "first" else other.view.epoch
        return PeerObservation(
            True,
            other.me.disk_id,
            epoch=epoch,
            committed_epoch=known.config.epoch,
            committed_version=known.config.version,
            identity=other.replica.config.identity,
        )


def _accepted_key(paxos: PaxosVoter) -> object:
    if paxos.accepted is None:
        return None
    view, state = paxos.accepted.value
    return paxos.accepted_slot, paxos.accepted.ballot, view, state.config


def _proposal_key(proposal: Proposal | None) -> object:
    if proposal is None:
        return None
    best = proposal.best_accepted
    return (
        proposal.slot,
        proposal.ballot,
        sorted(proposal.promises.items()),
        proposal.state.config,
        sorted(proposal.accepts),
        best and (best.ballot, best.value.state.config),
        proposal.value and proposal.value.view,
    )


def explore(
    orders: tuple[Update, ...],
    loses: str,
    looks: int = 1,
    most: int = 1_000_000,
    chain: type[ReplicationChain] = ReplicationChain,
    returns: str = "",
) -> int:
    """Visit every state that can be reached, one node being lost; return how many there are.

    Each of the others looks round so many times afterwards: it proposes a view each time. The lost one may
    come back, `returns`: "empty", or with "its disk".
    """
    members = tuple(Member(ip, "first") for ip in IPS)
    chains = {ip: chain(Member(ip, "first"), View(1, members, members), at) for at, ip in enumerate(IPS)}
    start = World(chains, orders)
    for ip, one in start.chains.items():
        one.random = ConstantRandom()
        one.updates.sequence = 0
        one.view_change.turn = 0.5
        one.start(0.0)
        start.carry_out(ip, one)
    seen, todo = {hash(start.key())}, [start]
    while todo:
        world = todo.pop()
        for kind, what in world.steps(loses, looks, returns):
            following = world.copy()
            following.perform(kind, what)
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                todo.append(following)
                if len(seen) > most:
                    return len(seen)
    return len(seen)
