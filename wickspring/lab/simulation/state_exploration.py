"""Every order of events of a small core: three machines, two writers, one machine lost at any moment.

The real transitions of `lighthouse.chain` are run from each state that can be reached, whatever the order in
which messages come, whichever of them never come, and whenever a machine ends and the others look round; it
may come back, with its disk or an empty one (then there are too many states to visit all). What must hold is
checked in each state: views of one epoch are one view; copies of equal rank are one text; no number is safe
with two texts, and none is refused but for another that is safe; and whoever is in the chain of the newest
view that anybody has installed holds all that has been acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.messages import ReplicationMessage
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import Member, PeerObservation, View
from wickspring.lab.simulation.core import InvariantBrokenError

IPS = ("a", "b", "c")
STEP_MS = 2000.0  # that pass with each look round: all that waits for time is due
ONE_NUMBER = (Update(1, b"x"), Update(1, b"y"))  # two writers, one number


class Steady(Random):
    """No chance: so that equal states are found to be equal."""

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
    orders: tuple[Update, ...]
    net: dict[str, tuple[str, str, ReplicationMessage]] = field(default_factory=dict)  # by its form
    now: float = 0.0
    lost: str = ""
    back: bool = False  # the lost one has come back
    disk: tuple[str, dict[str, Any], Replica] | None = None  # what the lost one left: its id, state, copy
    written: int = 0
    looks: dict[str, int] = field(default_factory=dict)
    acked: frozenset[int] = frozenset()  # places of orders that were acknowledged
    committed: dict[int, bytes] = field(default_factory=dict)  # number: digest of the text safe under it
    views: dict[int, View] = field(default_factory=dict)

    def key(self) -> str:
        """Return what tells this state from others."""
        parts = []
        for ip, chain in sorted(self.chains.items()):
            paxos, passing = chain.paxos, chain.passing
            mine, accepted = paxos.proposal, paxos.accepted
            told: Any = None
            if mine is not None:
                best = mine.best_accepted and (
                    mine.best_accepted.ballot,
                    mine.best_accepted.value.state.config,
                )
                promised = mine.slot, mine.ballot, sorted(mine.promises.items()), mine.state.config
                told = promised, sorted(mine.accepts), best, mine.value and mine.value[0]
            held: Any = None
            if accepted is not None:
                view, state = accepted.value
                held = paxos.accepted_slot, accepted.ballot, view, state.config
            waiting = sorted((ticket, pending.sequence) for ticket, pending in chain.pending.items())
            parts.append(
                (
                    ip,
                    chain.me,
                    chain.view,
                    (paxos.promised_slot, paxos.promised_ballot),
                    held,
                    chain.replica.config,
                    chain.committed.config,
                    chain.sequence,
                    waiting,
                    passing and passing.config,
                    sorted(chain.stored_identities.items()),
                    told,
                )
            )
        looks = sorted(self.looks.items())
        return repr((parts, sorted(self.net), self.lost, self.back, self.written, looks, sorted(self.acked)))

    def copy(self) -> World:
        """Return a state that goes its own way; what is never changed in place is shared."""
        chains = {ip: chain.clone() for ip, chain in self.chains.items()}
        return replace(
            self,
            chains=chains,
            net=dict(self.net),
            looks=dict(self.looks),
            committed=dict(self.committed),
            views=dict(self.views),
        )

    def after(self, ip: str, chain: ReplicationChain) -> None:
        """Take what a machine says once it has saved."""
        chain.dirty = False
        effects = chain.take_effects()
        for to, message in effects.messages:
            if to in self.chains or to != self.lost:
                self.net[repr((ip, to, message.encode()))] = ip, to, message
        safe = chain.committed.config
        for version, digest in (*safe.history, (safe.version, safe.digest)):
            if version and self.committed.setdefault(version, digest) != digest:
                raise InvariantBrokenError(f"r{version} is safe with two texts, the other at {ip}")
        for ticket, verdict in effects.outcomes:
            self.answered(ip, ticket, verdict)

    def answered(self, ip: str, ticket: int, verdict: CommitOutcome) -> None:
        """Check an answer to an order."""
        order = self.orders[ticket]
        digest = digest_of(order.document)
        known = self.committed.get(order.version)
        if verdict == CommitOutcome.COMMITTED:
            if known not in (None, digest):
                raise InvariantBrokenError(
                    f"{ip} acknowledges r{order.version}, and another text of it is safe"
                )
            if known == digest:
                self.acked |= {ticket}
        elif verdict == CommitOutcome.CONFLICT and (known in (None, digest) or ticket in self.acked):
            raise InvariantBrokenError(f"{ip} refuses r{order.version}, and no other text of it is safe")

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
            for place in self.acked:
                order = self.orders[place]
                if (
                    chain.replica.config.outcome_of(order.version, digest_of(order.document))
                    != CommitOutcome.COMMITTED
                ):
                    raise InvariantBrokenError(f"{ip} of epoch {newest} lacks r{order.version}, acknowledged")

    def steps(self, loses: str, looks: int, returns: str) -> list[tuple[str, Any]]:
        """Return all that may happen next."""
        found: list[tuple[str, Any]] = [("deliver", name) for name in self.net]
        if self.written < len(self.orders):
            heads = [ip for ip, one in self.chains.items() if one.is_head]
            found += [("write", ip) for ip in heads]
        if not self.lost:
            found.append(("lose", loses))
        else:
            found += [("look", ip) for ip in self.chains if self.looks.get(ip, 0) < looks]
            if returns and not self.back:  # with its disk, or an empty one
                found.append((returns, self.lost))
        return found

    def take(self, kind: str, what: Any) -> None:
        """Let one thing happen."""
        if kind == "deliver":
            sender, to, message = self.net.pop(what)
            chain = self.chains.get(to)
            if chain is not None:
                chain.receive(self.now, sender, message)
                self.after(to, chain)
        elif kind == "write":
            ticket, self.written = self.written, self.written + 1
            chain = self.chains[what]
            chain.submit(self.now, ticket, self.orders[ticket])
            self.after(what, chain)
        elif kind == "lose":
            self.lost, chain = what, self.chains.pop(what)
            self.disk = chain.me.disk_id, chain.durable(), chain.replica.copy()
            self.net = {name: one for name, one in self.net.items() if one[1] != what}
        elif kind in ("empty", "its disk"):
            self.back = True
            make = type(next(iter(self.chains.values())))
            if kind == "empty" or self.disk is None:
                chain = make(Member(what, "second"), View(), 0)
            else:
                disk, durable, replica = self.disk
                chain = make(Member(what, disk), View(), 0, replica.copy())
                chain.restore(durable)
            self.chains[what] = chain
            chain.random = Steady()
            chain.sequence = 1
            chain.view_change.turn = 0.5
            chain.start(self.now)
            self.after(what, chain)
        else:
            self.looks[what] = self.looks.get(what, 0) + 1
            chain = self.chains[what]
            reach = {ip: self.reach(ip, chain) for ip in IPS if ip != what}
            for _ in range(2):  # the reason must have lasted
                self.now += STEP_MS
                chain.tick(self.now, reach)
            self.after(what, chain)
        self.check()

    def reach(self, ip: str, seen_by: ReplicationChain) -> PeerObservation:
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


def explore(
    orders: tuple[Update, ...],
    loses: str,
    looks: int = 1,
    most: int = 1_000_000,
    chain: type[ReplicationChain] = ReplicationChain,
    returns: str = "",
) -> int:
    """Visit every state that can be reached, one machine being lost; return how many there are.

    Each of the others looks round so many times afterwards: it proposes a view each time. The lost one may
    come back, `returns`: "empty", or with "its disk".
    """
    members = tuple(Member(ip, "first") for ip in IPS)
    chains = {ip: chain(Member(ip, "first"), View(1, members, members), at) for at, ip in enumerate(IPS)}
    start = World(chains, orders)
    for ip, one in start.chains.items():
        one.random, one.sequence, one.view_change.turn = Steady(), 0, 0.5
        one.start(0.0)
        start.after(ip, one)
    seen, todo = {hash(start.key())}, [start]
    while todo:
        world = todo.pop()
        for kind, what in world.steps(loses, looks, returns):
            following = world.copy()
            following.take(kind, what)
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                todo.append(following)
                if len(seen) > most:
                    return len(seen)
    return len(seen)
