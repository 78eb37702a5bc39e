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

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.messages import ReplicationMessage
from wickspring.controlplane.replication.packing import PackedState
from wickspring.controlplane.replication.paxos import PaxosVoter, Proposal
from wickspring.controlplane.replication.replica import CommitOutcome, Rank, Replica, Update
from wickspring.controlplane.replication.view import Member, PeerObservation, View
from wickspring.lab.simulation.exploration_steps import (
    ComeBack,
    Deliver,
    Exploration,
    Lose,
    Observe,
    Return,
    Step,
    Submit,
)
from wickspring.lab.simulation.invariants import InvariantBrokenError

IPS = ("a", "b", "c")
STEP_MS = 2000.0  # that pass with each observation: all that waits for time is due
FIRST_DISK = "first"
SECOND_DISK = "second"
ONE_VERSION = (Update(1, b"x"), Update(1, b"y"))  # two writers, one version


class ConstantRandom(Random):
    """No randomness, so that equal states are found to be equal."""

    def random(self) -> float:
        """Return always the same."""
        return 0.5

    def randrange(self, *args: object) -> int:
        """Return always the same."""
        return 0


@dataclass(slots=True, frozen=True)
class LostDisk:
    """What the node that was lost has left on its disk."""

    disk_id: str
    durable: PackedState
    replica: Replica


@dataclass(slots=True, frozen=True)
class Transit:
    """A message on its way."""

    sender: str
    to: str
    message: ReplicationMessage


@dataclass(slots=True)
class World:
    """One state of the group, the network and the writers."""

    chains: dict[str, ReplicationChain]
    updates: tuple[Update, ...]
    network: dict[str, Transit] = field(default_factory=dict)  # by the message's text: no duplicates
    now: float = 0.0  # ms
    lost: str = ""
    is_back: bool = False  # the lost one has come back
    disk: LostDisk | None = None
    submitted: int = 0  # updates
    observations: dict[str, int] = field(default_factory=dict)  # by node
    acknowledged: frozenset[int] = frozenset()  # indexes of updates
    committed: dict[int, bytes] = field(default_factory=dict)  # digest of the committed text, by version
    views: dict[int, View] = field(default_factory=dict)  # by epoch

    def key(self) -> str:
        """Return what distinguishes this state from others."""
        return repr(
            (
                [_chain_key(ip, chain) for ip, chain in sorted(self.chains.items())],
                sorted(self.network),
                self.lost,
                self.is_back,
                self.submitted,
                sorted(self.observations.items()),
                sorted(self.acknowledged),
            )
        )

    def copy(self) -> World:
        """Return an independent copy; what is never changed in place is shared."""
        chains = {ip: chain.clone() for ip, chain in self.chains.items()}
        return replace(
            self,
            chains=chains,
            network=dict(self.network),
            observations=dict(self.observations),
            committed=dict(self.committed),
            views=dict(self.views),
        )

    def carry_out(self, ip: str, chain: ReplicationChain) -> None:
        """Carry out a chain's effects, as once it has saved."""
        chain.dirty = False
        effects = chain.take_effects()
        for to, message in effects.messages:
            if to in self.chains or to != self.lost:
                self.network[repr((ip, to, message.encode()))] = Transit(ip, to, message)
        config = chain.committed.config
        texts = [] if config.version is None else [*config.history, (config.version, config.digest)]
        for version, digest in texts:
            if self.committed.setdefault(version, digest) != digest:
                raise InvariantBrokenError(f"r{version} is safe with two texts, the other at {ip}")
        for ticket, outcome in effects.outcomes:
            self._on_outcome(ip, ticket, outcome)

    def _on_outcome(self, ip: str, ticket: int, outcome: CommitOutcome) -> None:
        """Check the outcome of an update."""
        update = self.updates[ticket]
        digest = digest_of(update.document)
        committed = None if update.version is None else self.committed.get(update.version)
        if outcome == CommitOutcome.COMMITTED:
            if committed not in (None, digest):
                raise InvariantBrokenError(
                    f"{ip} acknowledges r{update.version}, and another text of it is safe"
                )
            if committed == digest:
                self.acknowledged |= {ticket}
        elif outcome == CommitOutcome.CONFLICT and (
            committed in (None, digest) or ticket in self.acknowledged
        ):
            raise InvariantBrokenError(f"{ip} refuses r{update.version}, and no other text of it is safe")

    def check(self) -> None:
        """Check the views, the replicas and the newest chain."""
        self._check_views()
        self._check_replicas()
        self._check_newest_chain()

    def _check_views(self) -> None:
        """Check that views of one epoch are one view."""
        for chain in self.chains.values():
            epoch = chain.view.epoch
            if epoch and self.views.setdefault(epoch, chain.view) != chain.view:
                raise InvariantBrokenError(
                    f"two views of epoch {epoch}: {chain.view} and {self.views[epoch]}"
                )

    def _check_replicas(self) -> None:
        """Check that replicas of one rank have one text and one history."""
        configs: dict[Rank, tuple[bytes, tuple[tuple[int, bytes], ...]]] = {}
        for ip, chain in self.chains.items():
            config = chain.replica.config
            content = config.digest, config.history
            if config.version is not None and configs.setdefault(config.rank, content) != content:
                raise InvariantBrokenError(f"two copies of {config.rank} differ, one at {ip}")

    def _check_newest_chain(self) -> None:
        """Check that all members of the newest view have all that was acknowledged."""
        newest = max((chain.view.epoch for chain in self.chains.values()), default=0)
        for ip, chain in self.chains.items():
            if chain.view.epoch != newest or not chain.is_member:
                continue
            for ticket in self.acknowledged:
                update = self.updates[ticket]
                outcome = chain.replica.config.outcome_of(update.version, digest_of(update.document))
                if outcome != CommitOutcome.COMMITTED:
                    raise InvariantBrokenError(
                        f"{ip} of epoch {newest} lacks r{update.version}, acknowledged"
                    )

    def steps(self, exploration: Exploration) -> list[Step]:
        """Return all steps that may happen next."""
        steps: list[Step] = [Deliver(key) for key in self.network]
        if self.submitted < len(self.updates):
            steps += [Submit(ip) for ip, chain in self.chains.items() if chain.is_head]
        if not self.lost:
            steps.append(Lose(exploration.loses))
            return steps
        for ip in self.chains:
            if self.observations.get(ip, 0) < exploration.observations:
                steps.append(Observe(ip))
        if exploration.returns is not Return.NEVER and not self.is_back:
            steps.append(ComeBack(self.lost, exploration.returns is Return.WITH_DISK))
        return steps

    def perform(self, step: Step) -> None:
        """Perform one step, and check the state after it."""
        match step:
            case Deliver(key):
                self._deliver(self.network.pop(key))
            case Submit(ip):
                self._submit(ip)
            case Lose(ip):
                self._lose(ip)
            case Observe(ip):
                self._observe_others(ip)
            case ComeBack(ip, with_disk):
                self._bring_back(ip, with_disk)
        self.check()

    def _deliver(self, transit: Transit) -> None:
        chain = self.chains.get(transit.to)
        if chain is not None:
            chain.receive(self.now, transit.sender, transit.message)
            self.carry_out(transit.to, chain)

    def _submit(self, ip: str) -> None:
        ticket = self.submitted
        self.submitted += 1
        chain = self.chains[ip]
        chain.submit(self.now, ticket, self.updates[ticket])
        self.carry_out(ip, chain)

    def _lose(self, ip: str) -> None:
        chain = self.chains.pop(ip)
        self.lost = ip
        self.disk = LostDisk(chain.me.disk_id, chain.durable(), chain.replica.copy())
        self.network = {key: transit for key, transit in self.network.items() if transit.to != ip}

    def _observe_others(self, ip: str) -> None:
        self.observations[ip] = self.observations.get(ip, 0) + 1
        chain = self.chains[ip]
        peers = {other: self.observe(other, chain) for other in IPS if other != ip}
        for _ in range(2):  # a reason for a new view must have lasted
            self.now += STEP_MS
            chain.tick(self.now, peers)
        self.carry_out(ip, chain)

    def _bring_back(self, ip: str, with_disk: bool) -> None:
        """Start the node that was lost, from its disk or with an empty one."""
        self.is_back = True
        chain_type = type(next(iter(self.chains.values())))
        if not with_disk or self.disk is None:
            chain = chain_type(Member(ip, SECOND_DISK), View(), 0)
        else:
            chain = chain_type(Member(ip, self.disk.disk_id), View(), 0, self.disk.replica.copy())
            chain.restore(self.disk.durable)
        self.chains[ip] = chain
        _make_deterministic(chain, sequence=1)
        chain.start(self.now)
        self.carry_out(ip, chain)

    def observe(self, ip: str, seen_by: ReplicationChain) -> PeerObservation:
        """Return what a node observes of another.

        One with its first disk is taken to have committed as much as the observer, to keep the states few.
        """
        other = self.chains.get(ip)
        if other is None:
            return PeerObservation(False, FIRST_DISK)
        known = seen_by.committed if other.me.disk_id == FIRST_DISK else other.committed
        epoch = seen_by.view.epoch if other.me.disk_id == FIRST_DISK else other.view.epoch
        return PeerObservation(
            True,
            other.me.disk_id,
            epoch=epoch,
            committed_epoch=known.config.epoch,
            committed_version=known.config.version,
            identity=other.replica.config.identity,
        )


def _make_deterministic(chain: ReplicationChain, sequence: int) -> None:
    """Take randomness out of a chain; its updates count from `sequence`."""
    chain.random = ConstantRandom()
    chain.updates.sequence = sequence
    chain.view_change.turn = 0.5


def _chain_key(ip: str, chain: ReplicationChain) -> object:
    """Return what distinguishes a state of a node from others."""
    paxos = chain.paxos
    updates = chain.updates
    return (
        ip,
        chain.me,
        chain.view,
        (paxos.promised_slot, paxos.promised_ballot),
        _accepted_key(paxos),
        chain.replica.config,
        chain.committed.config,
        updates.sequence,
        sorted((ticket, pending.sequence) for ticket, pending in updates.pending.items()),
        updates.passing and updates.passing.config,
        sorted(updates.stored_identities.items()),
        _proposal_key(paxos.proposal),
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
    updates: tuple[Update, ...],
    exploration: Exploration,
    max_states: int = 1_000_000,
    chain_type: type[ReplicationChain] = ReplicationChain,
) -> int:
    """Visit every state that can be reached, or the first `max_states` and one; return how many there are.

    Raises InvariantBrokenError for a state in which an invariant does not hold.
    """
    start = _first_world(updates, chain_type)
    seen = {hash(start.key())}
    unvisited = [start]
    while unvisited:
        world = unvisited.pop()
        for step in world.steps(exploration):
            following = world.copy()
            following.perform(step)
            key = hash(following.key())
            if key in seen:
                continue
            seen.add(key)
            unvisited.append(following)
            if len(seen) > max_states:
                return len(seen)
    return len(seen)


def _first_world(updates: tuple[Update, ...], chain_type: type[ReplicationChain]) -> World:
    """Return the state in which all nodes have started in one view."""
    members = tuple(Member(ip, FIRST_DISK) for ip in IPS)
    view = View(1, members, members)
    chains = {ip: chain_type(Member(ip, FIRST_DISK), view, seed) for seed, ip in enumerate(IPS)}
    world = World(chains, updates)
    for ip, chain in chains.items():
        _make_deterministic(chain, sequence=0)
        chain.start(0.0)
        world.carry_out(ip, chain)
    return world
