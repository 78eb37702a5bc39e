"""Operators of the core in virtual time, and the ledger of what they were told.

Operators reuse numbers with other texts: two at once, eight orders together, an order sent again to any
machine whose answer was lost, old numbers, texts that come back under a later number, and one who goes on
until he is answered. `Ledger` checks each answer, each copy on a disk and each copy that is called safe.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.replica import MAX_HISTORY, CommitOutcome, Config, Replica, Update
from wickspring.controlplane.replication.view import Member, View

Rank = tuple[int, int]
AGAIN_MS = 300.0  # until an operator who goes on sends again


@dataclass(slots=True)
class Ledger:
    """What has been answered, saved and called safe in one run, and what must hold of it."""

    fail: Callable[[str], None]
    views: dict[int, View] = field(default_factory=dict)
    committed: dict[int, bytes] = field(default_factory=dict)  # number: digest of the text safe under it
    safe_rank: Rank = (0, 0)  # the highest that is safe
    own: dict[int, bytes] = field(default_factory=dict)  # number: digest that was acknowledged as its text
    kept: set[tuple[int, bytes]] = field(default_factory=set)  # orders that were acknowledged
    leaving: dict[str, int] = field(default_factory=dict)  # acknowledged
    saved_as: dict[Rank, tuple[bytes, tuple[tuple[int, bytes], ...]]] = field(default_factory=dict)
    best: dict[Member, Rank] = field(default_factory=dict)  # of what each disk has ever held
    acked: int = 0  # the highest number acknowledged as its own
    acks: int = 0
    refusals: int = 0
    checked: Rank = (0, 0)  # of what was called safe last, to save time

    def viewed(self, ip: str, view: View) -> None:
        """Check a view that a machine has taken up: views of one epoch are one view."""
        if view.epoch and self.views.setdefault(view.epoch, view) != view:
            self.fail(f"two views of epoch {view.epoch}: {view} and {self.views[view.epoch]} at {ip}")

    def saved(self, member: Member, replica: Replica) -> None:
        """Check a copy that has reached a disk: equal rank is equal text, with the same numbers before."""
        config = replica.config
        if not config.complete:
            self.fail(f"{member[0]} keeps r{config.version} without its text as a copy")
        if config.version:
            what = config.digest, config.history
            known = self.saved_as.setdefault(config.rank, what)
            if known[0] != config.digest:
                self.fail(f"two texts of {config.rank} on disks, at {member[0]}")
            if known[1] != config.history:
                self.fail(f"two histories of {config.rank} on disks, at {member[0]}")
        if config.rank < self.best.get(member, (0, 0)):
            self.fail(f"{member[0]}'s disk went back from {self.best[member]} to {config.rank}")
        self.best[member] = config.rank

    def called_safe(self, ip: str, config: Config) -> None:
        """Check a copy that a machine has begun to call safe: it was on all disks of its chain."""
        if not config.complete:
            self.fail(f"{ip} calls r{config.version} safe without its text")
        view = self.views.get(config.epoch)
        for member in view.chain if view is not None else ():
            if self.best.get(member, (0, 0)) < config.rank:
                had = self.best.get(member)
                self.fail(f"{ip} calls {config.rank} safe, {member[0]} has had {had} at most")
        if view is None and config.version:
            self.fail(f"{ip} calls {config.rank} safe, and nobody has that view")
        if config.rank == self.checked:
            return
        self.checked = config.rank
        self.safe_rank = max(self.safe_rank, config.rank)
        for version, digest in (*config.history, (config.version, config.digest)):
            if version and self.committed.setdefault(version, digest) != digest:
                self.fail(f"r{version} is safe with two texts, the other at {ip}")

    def answered(
        self,
        ip: str,
        order: Update,
        verdict: CommitOutcome,
        safe: Config,
        view: View,
        disks: Mapping[Member, Replica],
    ) -> None:
        """Check an answer of a head: no text but one is ever acknowledged as a number's own."""
        version, digest = order.version, digest_of(order.document)
        if verdict == CommitOutcome.CONFLICT:
            self.refusals += 1
            if self.committed.get(version, digest) == digest:
                self.fail(f"{ip} refuses r{version}, and no other text of it is safe")
            if (version, digest) in self.kept:
                self.fail(f"{ip} refuses r{version}, which had been acknowledged")
        if verdict != CommitOutcome.COMMITTED:
            return
        self.acks += 1
        for server, state in order.departures.items():
            self.leaving[server] = max(state, self.leaving.get(server, 0))
        for member in view.chain:
            replica = disks.get(member)
            if replica is None:
                continue
            if replica.config.version < version:
                self.fail(f"r{version} acknowledged, {member[0]} has r{replica.config.version} on its disk")
            if version and replica.config.outcome_of(version, digest) != CommitOutcome.COMMITTED:
                self.fail(f"r{version} acknowledged, {member[0]} has another text of it on its disk")
            if any(replica.departures.get(server, 0) < state for server, state in order.departures.items()):
                self.fail(f"a server's leaving acknowledged, and not on the disk of {member[0]}")
        if not version:
            return
        self.kept.add((version, digest))
        remembered = len(safe.history) < MAX_HISTORY or version >= safe.history[0][0]
        if remembered and self.committed.get(version, digest) != digest:
            self.fail(f"{ip} acknowledges r{version} with another text than the one that is safe")
        if (safe.digest if version == safe.version else dict(safe.history).get(version)) == digest:
            if self.own.setdefault(version, digest) != digest:
                self.fail(f"two texts of r{version} acknowledged as its own")
            self.acked = max(self.acked, version)

    def read(self, ip: str, safe: Replica, acked: int) -> None:
        """Check what was read, when so much had been acknowledged as the read began."""
        if safe.config.version < acked:
            self.fail(f"{ip} read r{safe.config.version}, and r{acked} had been acknowledged before")
        if safe.config.version and self.committed.get(safe.config.version) != safe.config.digest:
            self.fail(f"what {ip} read of r{safe.config.version} is not what is safe")

    def ends(self, replicas: Mapping[str, Replica]) -> None:
        """Check the copies of all machines once all is well: they are one, and hold all that was told."""
        if len({one.config for one in replicas.values()}) > 1:
            ranks = {ip: (one.config.rank, one.config.digest.hex()[:6]) for ip, one in replicas.items()}
            self.fail(f"copies differ at the end: {ranks}")
        for ip, one in replicas.items():
            past = dict((*one.config.history, (one.config.version, one.config.digest)))
            if one.config.version < self.acked:
                self.fail(f"r{self.acked} was acknowledged, {ip} ends with r{one.config.version}")
            for version, digest in self.own.items():
                if version >= min(past) and past.get(version) != digest:
                    self.fail(f"r{version} was acknowledged with a text that {ip} does not end with")
            for server, state in self.leaving.items():
                if one.departures.get(server, 0) < state:
                    self.fail(f"{server} was acknowledged as leaving, and {ip} does not end with it")


class Operators:
    """Who sends orders."""

    def __init__(
        self, random: Random, send: Callable[[str, Update, Callable[[CommitOutcome], None]], None]
    ) -> None:
        self.random, self.send = random, send
        self.sent: list[Update] = []
        self.last = 0  # the highest number that was sent
        self.told = 0  # the highest that an answer said to be kept

    def order(self, size: int = 0) -> Update:
        """Make an order: most often of a new number, which the other may be using at this moment."""
        draw, kind = self.random, self.random.random()
        if self.sent and kind < 0.15:
            return draw.choice(self.sent[-20:])
        if self.sent and kind < 0.25:  # an old number once more, with another text
            version = draw.choice(self.sent).version
        else:
            version = max(1, draw.choice((self.told, self.told, self.last)) + draw.choice((0, 1, 1, 1, 2)))
        if self.sent and kind > 0.9:  # back to an earlier text
            document = draw.choice(self.sent[-8:]).document
        else:
            document = b"%d by %d" % (version, draw.randint(0, 2)) + b"." * size
        leaving = {f"i{draw.randint(0, 40)}": draw.randint(1, 2)} if draw.random() < 0.1 else {}
        one = Update(version, document, leaving)
        self.sent.append(one)
        self.last = max(self.last, version)
        return one

    def some(self, ips: list[str], most: int = 8) -> None:
        """Send one order, or now and then several at once, to any machines."""
        many = self.random.randint(2, most) if self.random.random() < 0.15 else 1
        for _ in range(many):
            one = self.order()

            def heard(verdict: CommitOutcome, one: Update = one) -> None:
                if verdict == CommitOutcome.COMMITTED:
                    self.told = max(self.told, one.version)

            self.send(self.random.choice(ips), one, heard)
