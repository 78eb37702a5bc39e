"""What each core machine keeps a copy of: the configuration under its number, and the servers that leave.

A configuration is a number **and its text**: `Config` has the version, the document and the document's
digest, and the epoch of the view whose head passed it on last. Within one epoch the head alone writes, so
equal epoch and version are one text; of two copies the one of higher rank (epoch, then version) goes before.
So a text that an ended epoch left unconfirmed gives way to the one that the next epoch began with, even
where its number is higher. Servers that leave only grow: draining, then gone; copies of them are joined.

No I/O and no clock here. `pack` makes lists for messages and files; `unpack` checks the digest, so that what
was cut or mixed on its way is no copy (ValueError).
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from wickspring.common.digest import DIGEST_SIZE, digest_of
from wickspring.core.invariants import holds

HISTORY_MOST = 512  # numbers taken before the present one whose digests are kept
LEAVING_MOST = 4096  # servers that are remembered as leaving
NO_DOCUMENT = b""


class CommitOutcome(IntEnum):
    """What became of an order: whether whoever sent it may be told that it is kept."""

    NOT_YET = 0  # not shown to be safe: it may hold later, or never
    SAFE = 1  # kept by every copy of the view, or of an old number that changes nothing
    CONFLICT = 2  # its number is another text's, and that one is safe


@dataclass(slots=True, frozen=True)
class Config:
    """A configuration: epoch of the head that passed it on last, number, text, and the numbers before it."""

    epoch: int = 0
    version: int = 0
    document: bytes = NO_DOCUMENT
    digest: bytes = b""
    history: tuple[tuple[int, bytes], ...] = ()  # number and digest, the newest last
    bare: bytes = b""  # identity of the copy that this stands for, where it came without text and history
    _identity: list[bytes] = field(default_factory=list, init=False, compare=False, repr=False)

    @property
    def rank(self) -> tuple[int, int]:
        """Return what decides between two copies."""
        return self.epoch, self.version

    @property
    def whole(self) -> bool:
        """Tell whether its text is here, not its digest alone."""
        return not self.bare and (bool(self.document) or not self.version)

    @property
    def identity(self) -> bytes:
        """Return the digest of number, text and history: what two copies have in common, whatever the epoch.

        The digest of the text alone would not do: one text may come under two numbers, with other histories.
        """
        if not self._identity:
            told = hashlib.blake2b(b"%d %s" % (self.version, self.digest), digest_size=DIGEST_SIZE)
            told.update(b"".join(b"%d %s " % one for one in self.history))
            self._identity.append(told.digest())
        return self._identity[0]

    def judge(self, version: int, digest: bytes) -> CommitOutcome:
        """Say what may be told of an order once this is safe."""
        if version > self.version:
            return CommitOutcome.NOT_YET
        known = self.digest if version == self.version else dict(self.history).get(version)
        return CommitOutcome.SAFE if not version or known in (None, digest) else CommitOutcome.CONFLICT

    def follow(self, version: int, document: bytes, epoch: int) -> Config:
        """Return the configuration that an order of a higher number makes."""
        holds(version > self.version, "numbers only rise within an epoch")
        history = (*self.history, (self.version, self.digest)) if self.version else self.history
        return Config(epoch, version, document, digest_of(document), history[-HISTORY_MOST:])

    def pack(self, known: bytes = b"") -> list[Any]:
        """Return it for a message; text and history are left out for who holds the identity `known`."""
        if known and known == self.identity:
            return [self.epoch, self.version, NO_DOCUMENT, b"", [], known]
        history = [list(one) for one in self.history]
        return [self.epoch, self.version, self.document, self.digest, history, b""]

    @staticmethod
    def unpack(told: Any) -> Config:
        """Read it from a message or a file; ValueError where text and digest do not belong together."""
        epoch, version, document, digest, history, bare = told
        if document and digest_of(bytes(document)) != digest:
            raise ValueError(f"r{version}: the text does not have the digest that was told")
        past = tuple((int(number), bytes(one)) for number, one in history)
        return Config(int(epoch), int(version), bytes(document), bytes(digest), past, bytes(bare))

    def filled(self, own: Config) -> Config:
        """Return it with text and history from the copy that it stands for, where it came without."""
        if not self.bare or own.identity != self.bare:
            return self
        return replace(own, epoch=self.epoch)


@dataclass(slots=True, frozen=True)
class Update:
    """What is to be made safe: a configuration, servers that leave, or nothing (a read)."""

    version: int = 0
    document: bytes = NO_DOCUMENT
    leaving: dict[str, int] = field(default_factory=dict)  # server id: 1 draining, 2 gone

    def pack(self) -> list[Any]:
        """Return it for a message."""
        return [self.version, self.document, self.leaving]

    @staticmethod
    def unpack(told: Any) -> Update:
        """Read it from a message."""
        return Update(int(told[0]), bytes(told[1]), {str(k): int(v) for k, v in told[2].items()})


def _sum(server: str, state: int) -> int:
    return zlib.crc32(f"{server} {state}".encode())


@dataclass(slots=True)
class Replica:
    """One copy."""

    config: Config = Config()
    leaving: dict[str, int] = field(default_factory=dict)
    leaving_sum: int = field(default=0, compare=False)  # of all of them: the same for the same

    def __post_init__(self) -> None:
        """Work out the sum; `leave` keeps it up."""
        self.leaving_sum = 0
        for server, state in self.leaving.items():
            self.leaving_sum ^= _sum(server, state)

    def adopt(self, other: Config) -> bool:
        """Take a configuration of higher rank; True where that changed this copy."""
        if other.rank == self.config.rank:
            holds(other.digest == self.config.digest, "one epoch and number is one text")
        if other.rank <= self.config.rank or not other.whole:
            return False
        self.config = other
        return True

    def leave(self, leaving: dict[str, int]) -> bool:
        """Join servers that leave; True where that changed this copy."""
        changed = False
        for server, state in leaving.items():
            known = self.leaving.get(server, 0)
            if state > known:
                self.leaving_sum ^= _sum(server, state) ^ (_sum(server, known) if known else 0)
                self.leaving[server] = state
                changed = True
        while len(self.leaving) > LEAVING_MOST:
            oldest = next(iter(self.leaving))
            self.leaving_sum ^= _sum(oldest, self.leaving.pop(oldest))
        return changed

    def join(self, other: Replica) -> bool:
        """Take in what another copy has more; True where that changed this one."""
        adopted = self.adopt(other.config)
        return self.leave(other.leaving) or adopted

    def fill(self, own: Replica) -> bool:
        """Take text and history from an own copy, where this came without; True where it is whole then."""
        self.config = self.config.filled(own.config)
        return self.config.whole

    def take(self, order: Update, epoch: int) -> bool:
        """Take an order as the head of an epoch; True where it changed this copy."""
        changed = order.version > self.config.version
        if changed:
            self.config = self.config.follow(order.version, order.document, epoch)
        return self.leave(order.leaving) or changed

    def copy(self) -> Replica:
        """Return a copy that does not change with this one."""
        return Replica(self.config, dict(self.leaving))

    def begun(self, epoch: int) -> Replica:
        """Return the copy with which an epoch begins."""
        return Replica(replace(self.config, epoch=epoch), dict(self.leaving))

    def pack(self, known: bytes = b"") -> list[Any]:
        """Return it for a message; without the text for who holds the digest `known`."""
        return [self.config.pack(known), self.leaving]

    @staticmethod
    def unpack(told: Any) -> Replica:
        """Read it from a message."""
        return Replica(Config.unpack(told[0]), {str(k): int(v) for k, v in told[1].items()})
