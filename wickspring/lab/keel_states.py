"""Every order of events of a small core: three machines, two writes, one of them lost at any moment.

The real transitions of `lighthouse.chain` are run from each state that can be reached, whatever the order in
which messages come, whichever of them never come, and whenever a machine ends for good and the others look
round. What must hold is checked in each state: views of one epoch are one view, and whoever is in the newest
view that anybody has installed holds all that has been acknowledged.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field, replace
from typing import Any

from wickspring.lab.keel import BrokenError
from wickspring.lighthouse.chain import Chain, Hold, Reach, View

IPS = ("a", "b", "c")
STEP_MS = 2000.0  # that pass with each look round: all that waits for time is due


@dataclass
class World:
    """One state."""

    chains: dict[str, Chain]
    net: dict[str, tuple[str, str, list[Any]]] = field(default_factory=dict)  # by its form: twice is once
    now: float = 0.0
    lost: str = ""
    written: int = 0
    looks: dict[str, int] = field(default_factory=dict)
    acked: int = 0
    views: dict[int, View] = field(default_factory=dict)

    def key(self) -> str:
        """Return what tells this state from others."""
        parts = []
        for ip, chain in sorted(self.chains.items()):
            mine = chain.proposal
            told = None if mine is None else (mine.slot, mine.ballot, sorted(mine.promises), mine.view)
            accepts = None if mine is None else (sorted(mine.accepts), mine.best)
            parts.append(
                (ip, chain.view, chain.promised, chain.accepted, chain.hold.version, chain.safe.version,
                 chain.seq, chain._safe_seq, sorted(chain._waiting.items()), chain._passing.version,
                 told, accepts)
            )  # fmt: skip
        looks = sorted(self.looks.items())
        return repr((parts, sorted(self.net), self.lost, self.written, looks, self.acked))

    def copy(self) -> World:
        """Return a state that goes its own way; what is never changed in place is shared."""
        chains = {}
        for ip, chain in self.chains.items():
            one = chains[ip] = copy.copy(chain)
            one.out, one.done, one.news = [], [], []
            one.hold, one.safe, one._passing = chain.hold.copy(), chain.safe.copy(), chain._passing.copy()
            one._waiting, one._known = dict(chain._waiting), dict(chain._known)
            one._copied = dict(chain._copied)
            mine = chain.proposal
            if mine is not None:
                one.proposal = replace(mine, promises=set(mine.promises), accepts=set(mine.accepts))
        return World(
            chains, dict(self.net), self.now, self.lost, self.written, dict(self.looks), self.acked,
            dict(self.views),
        )  # fmt: skip

    def after(self, ip: str, chain: Chain) -> None:
        """Take what a machine says once it has saved."""
        chain.dirty = False
        for to, message in chain.out:
            if to != self.lost:
                self.net[repr((ip, to, message))] = ip, to, message
        for ticket, safe in chain.done:
            if safe:
                self.acked = max(self.acked, ticket)
        chain.out, chain.done, chain.news = [], [], []

    def check(self) -> None:
        """Check what must hold."""
        newest = 0
        for chain in self.chains.values():
            epoch = chain.view.epoch
            newest = max(newest, epoch)
            if self.views.setdefault(epoch, chain.view) != chain.view:
                raise BrokenError(f"two views of epoch {epoch}: {chain.view} and {self.views[epoch]}")
        for ip, chain in self.chains.items():
            if chain.view.epoch == newest and chain.member and chain.hold.version < self.acked:
                raise BrokenError(f"{ip} of epoch {newest} holds {chain.hold.version}, not {self.acked}")

    def steps(self, writes: int, loses: str, looks: int) -> list[tuple[str, Any]]:
        """Return all that may happen next."""
        found: list[tuple[str, Any]] = [("deliver", name) for name in self.net]
        if self.written < writes:
            heads = [ip for ip, one in self.chains.items() if one.member and one.head == ip]
            found += [("write", ip) for ip in heads]
        if not self.lost:
            found.append(("lose", loses))
        else:
            found += [("look", ip) for ip in self.chains if self.looks.get(ip, 0) < looks]
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
            self.written += 1
            chain = self.chains[what]
            chain.enter(self.now, self.written, Hold(self.written, b"%d" % self.written))
            self.after(what, chain)
        elif kind == "lose":
            self.lost = what
            del self.chains[what]
            self.net = {name: one for name, one in self.net.items() if one[1] != what}
        else:
            self.looks[what] = self.looks.get(what, 0) + 1
            chain = self.chains[what]
            reach = {
                ip: Reach(ip != self.lost, "first", False, chain.view.epoch, chain.safe.version)
                for ip in IPS
                if ip != what
            }
            for _ in range(2):  # the reason must have lasted
                self.now += STEP_MS
                chain.tick(self.now, reach)
            self.after(what, chain)
        self.check()


def explore(
    writes: int, loses: str, looks: int = 1, most: int = 1_000_000, chain: type[Chain] = Chain
) -> int:
    """Visit every state that can be reached, one machine being lost; return how many there are.

    Each of the others looks round so many times afterwards: it proposes a view each time.
    """
    members = tuple((ip, "first") for ip in IPS)
    start = World({ip: chain(ip, "first", View(1, members), at) for at, ip in enumerate(IPS)})
    for ip, one in start.chains.items():
        one.begin(0.0)
        start.after(ip, one)
    seen, todo = {start.key()}, [start]
    while todo:
        world = todo.pop()
        for kind, what in world.steps(writes, loses, looks):
            following = world.copy()
            following.take(kind, what)
            key = following.key()
            if key not in seen:
                seen.add(key)
                todo.append(following)
                if len(seen) > most:
                    return len(seen)
    return len(seen)
