"""Every order of events of a small core: three machines, two writers, one machine lost at any moment.

The real transitions of `lighthouse.chain` are run from each state that can be reached, whatever the order in
which messages come, whichever of them never come, and whenever a machine ends and the others look round; it
may come back, with its disk or an empty one (then there are too many states to visit all). What must hold is
checked in each state: views of one epoch are one view; copies of equal rank are one text; no number is safe
with two texts, and none is refused but for another that is safe; and whoever is in the chain of the newest
view that anybody has installed holds all that has been acknowledged.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import PeerObservation, View
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
    net: dict[str, tuple[str, str, list[Any]]] = field(default_factory=dict)  # by its form: twice is once
    now: float = 0.0
    lost: str = ""
    back: bool = False  # the lost one has come back
    disk: tuple[str, dict[str, Any], Replica] | None = None  # what the lost one left: its id, state, copy
    written: int = 0
    looks: dict[str, int] = field(default_factory=dict)
    acked: frozenset[int] = frozenset()  # places of orders that were acknowledged
    safe: dict[int, bytes] = field(default_factory=dict)  # number: digest of the text safe under it
    views: dict[int, View] = field(default_factory=dict)

    def key(self) -> str:
        """Return what tells this state from others."""
        parts = []
        for ip, chain in sorted(self.chains.items()):
            paxos, passing = chain.paxos, chain._passing
            mine, accepted = paxos.proposal, paxos.accepted
            told: Any = None
            if mine is not None:
                best = None if mine.best is None else (mine.best[0], mine.best[1][1].config)
                promised = mine.slot, mine.ballot, sorted(mine.promises.items()), mine.state.config
                told = promised, sorted(mine.accepts), best, mine.value and mine.value[0]
            held: Any = None
            if accepted is not None:
                held = accepted[0], accepted[1], accepted[2][0], accepted[2][1].config
            waiting = sorted((ticket, one.seq) for ticket, one in chain._waiting.items())
            parts.append(
                (
                    ip,
                    chain.me,
                    chain.view,
                    paxos.promised,
                    held,
                    chain.replica.config,
                    chain.safe.config,
                    chain.seq,
                    waiting,
                    passing and passing.config,
                    sorted(chain._holds.items()),
                    told,
                )
            )
        looks = sorted(self.looks.items())
        return repr((parts, sorted(self.net), self.lost, self.back, self.written, looks, sorted(self.acked)))

    def copy(self) -> World:
        """Return a state that goes its own way; what is never changed in place is shared."""
        chains = {}
        for ip, chain in self.chains.items():
            one = chains[ip] = copy.copy(chain)
            one.out, one.done, one.news = [], [], []
            one.replica, one.safe = chain.replica.copy(), chain.safe.copy()
            one._waiting = {ticket: replace(entry) for ticket, entry in chain._waiting.items()}
            one._holds, one._copied = dict(chain._holds), dict(chain._copied)
            one.paxos = copy.copy(chain.paxos)
            mine = chain.paxos.proposal
            if mine is not None:
                one.paxos.proposal = replace(
                    mine, promises=dict(mine.promises), accepts=set(mine.accepts), state=mine.state.copy()
                )
        return replace(
            self,
            chains=chains,
            net=dict(self.net),
            looks=dict(self.looks),
            safe=dict(self.safe),
            views=dict(self.views),
        )

    def after(self, ip: str, chain: ReplicationChain) -> None:
        """Take what a machine says once it has saved."""
        chain.dirty = False
        for to, message in chain.out:
            if to in self.chains or to != self.lost:
                self.net[repr((ip, to, message))] = ip, to, message
        safe = chain.safe.config
        for version, digest in (*safe.history, (safe.version, safe.digest)):
            if version and self.safe.setdefault(version, digest) != digest:
                raise InvariantBrokenError(f"r{version} is safe with two texts, the other at {ip}")
        for ticket, verdict in chain.done:
            self.answered(ip, ticket, verdict)
        chain.out, chain.done, chain.news = [], [], []

    def answered(self, ip: str, ticket: int, verdict: CommitOutcome) -> None:
        """Check an answer to an order."""
        order = self.orders[ticket]
        digest = digest_of(order.document)
        known = self.safe.get(order.version)
        if verdict == CommitOutcome.SAFE:
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
            if chain.view.epoch != newest or not chain.member:
                continue
            for place in self.acked:
                order = self.orders[place]
                if chain.replica.config.judge(order.version, digest_of(order.document)) != CommitOutcome.SAFE:
                    raise InvariantBrokenError(f"{ip} of epoch {newest} lacks r{order.version}, acknowledged")

    def steps(self, loses: str, looks: int, returns: str) -> list[tuple[str, Any]]:
        """Return all that may happen next."""
        found: list[tuple[str, Any]] = [("deliver", name) for name in self.net]
        if self.written < len(self.orders):
            heads = [ip for ip, one in self.chains.items() if one.member and one.head == ip]
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
            chain.enter(self.now, ticket, self.orders[ticket])
            self.after(what, chain)
        elif kind == "lose":
            self.lost, chain = what, self.chains.pop(what)
            self.disk = chain.me[1], chain.durable(), chain.replica.copy()
            self.net = {name: one for name, one in self.net.items() if one[1] != what}
        elif kind in ("empty", "its disk"):
            self.back = True
            make = type(next(iter(self.chains.values())))
            if kind == "empty" or self.disk is None:
                chain = make(what, "second", View(), 0)
            else:
                disk, durable, replica = self.disk
                chain = make(what, disk, View(), 0, replica.copy())
                chain.restore(durable)
            self.chains[what] = chain
            chain.random, chain.seq, chain._turn = Steady(), 1, 0.5
            chain.begin(self.now)
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
        known = seen_by.safe if other.me[1] == "first" else other.safe
        epoch = seen_by.view.epoch if other.me[1] == "first" else other.view.epoch
        return PeerObservation(
            True,
            other.me[1],
            epoch=epoch,
            safe_epoch=known.config.epoch,
            version=known.config.version,
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
    members = tuple((ip, "first") for ip in IPS)
    chains = {ip: chain(ip, "first", View(1, members, members), at) for at, ip in enumerate(IPS)}
    start = World(chains, orders)
    for ip, one in start.chains.items():
        one.random, one.seq, one._turn = Steady(), 0, 0.5
        one.begin(0.0)
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
