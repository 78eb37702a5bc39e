"""The replicated state of the control plane: one configuration, and the endpoints that are departing.

A configuration is a version **together with its text**: `Config` has the version, the document, the
document's digest, and the epoch of the view whose head passed it on last. Invariants:

* Within one epoch the head alone assigns versions, so equal epoch and version mean equal text.
* Of two replicas the one of higher rank (epoch first, then version) replaces the other. So a document
  that an earlier epoch left uncommitted is replaced by the one that the next epoch started with, even where
  its version is higher.
* A replica without a configuration has no version (None), and is of lower rank than one with any version,
  r0 included (`common.config_version`).
* Departures only grow (draining, then gone) and are merged like a grow-only map; see Shapiro et al.,
  "Conflict-free Replicated Data Types", 2011.

No I/O and no clock here. `pack` makes lists for messages and files; `unpack` checks the digest and raises
ValueError for a document that was truncated or altered in transit.
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import NamedTuple, Self

import msgspec

from wickspring.common.config_version import (
    ConfigVersion,
    is_newer,
    version_from_wire,
    version_order,
    version_to_wire,
)
from wickspring.common.digest import DIGEST_SIZE, digest_of
from wickspring.controlplane.replication.packing import PackedFields, convert_packed
from wickspring.core.invariants import check_invariant

MAX_HISTORY = 512  # versions before the present one whose digests are kept
MAX_DEPARTURES = 4096  # departing endpoints that are remembered
NO_DOCUMENT = b""

Rank = tuple[int, int]  # epoch, and the version's order


class _PackedConfig(NamedTuple):
    """The fields of a packed `Config`."""

    epoch: int
    version: int
    document: bytes
    digest: bytes
    history: tuple[tuple[int, bytes], ...]
    reference: bytes


class _PackedUpdate(msgspec.Struct, array_like=True):
    """The fields of a packed `Update`; those of a later version may follow them."""

    version: int
    document: bytes
    departures: dict[str, int]


class _PackedReplica(msgspec.Struct, array_like=True):
    """The fields of a packed `Replica`; those of a later version may follow them."""

    config: object
    departures: dict[str, int]


class CommitOutcome(IntEnum):
    """The outcome of an update: whether its sender may rely on its being durable."""

    NOT_YET = 0  # not shown to be committed: it may be later, or never
    COMMITTED = 1  # on every replica of the view, or of an old version that changes nothing
    CONFLICT = 2  # its version is committed with another text


@dataclass(slots=True, frozen=True)
class Config:
    """A configuration, the epoch of the head that passed it on last, and the versions before it."""

    epoch: int = 0
    version: ConfigVersion = None
    document: bytes = NO_DOCUMENT
    digest: bytes = b""
    history: tuple[tuple[int, bytes], ...] = ()  # version and digest, the newest last
    reference: bytes = b""  # identity of the equal configuration, where text and history were left out
    _identity: list[bytes] = field(default_factory=list, init=False, compare=False, repr=False)

    @property
    def rank(self) -> Rank:
        """Return what decides between two replicas."""
        return self.epoch, version_order(self.version)

    @property
    def complete(self) -> bool:
        """Return whether it has its document, and not only a reference to it."""
        return not self.reference and (bool(self.document) or self.version is None)

    @property
    def identity(self) -> bytes:
        """Return the digest of version, text and history, whatever the epoch.

        The digest of the text alone would not do: one text may come under two versions, with other histories.
        """
        if not self._identity:
            hasher = hashlib.blake2b(
                b"%d %s" % (version_to_wire(self.version), self.digest), digest_size=DIGEST_SIZE
            )
            hasher.update(b"".join(b"%d %s " % entry for entry in self.history))
            self._identity.append(hasher.digest())
        return self._identity[0]

    def outcome_of(self, version: ConfigVersion, digest: bytes) -> CommitOutcome:
        """Return the outcome of an update once this configuration is committed."""
        if version is None:
            return CommitOutcome.COMMITTED
        if is_newer(version, self.version):
            return CommitOutcome.NOT_YET
        known = self._digest_of_version(version)
        if known in (None, digest):
            return CommitOutcome.COMMITTED
        return CommitOutcome.CONFLICT

    def holds(self, version: int, digest: bytes) -> bool:
        """Return whether a document is known to have been committed under a version."""
        return self._digest_of_version(version) == digest

    def _digest_of_version(self, version: int) -> bytes | None:
        return self.digest if version == self.version else dict(self.history).get(version)

    def successor(self, version: int, document: bytes, epoch: int) -> Config:
        """Return the configuration that an update with a higher version makes."""
        check_invariant(is_newer(version, self.version), "versions only rise within an epoch")
        history = self.history
        if self.version is not None:
            history = (*history, (self.version, self.digest))
        return Config(epoch, version, document, digest_of(document), history[-MAX_HISTORY:])

    def abbreviated_for(self, known_identity: bytes) -> Config:
        """Return it without text and history for a receiver that stores the one of this identity."""
        if known_identity and known_identity == self.identity:
            return Config(self.epoch, self.version, reference=known_identity)
        return self

    def completed_from(self, own: Config) -> Config:
        """Return it with text and history of the configuration it refers to, if `own` is that one."""
        if not self.reference or own.identity != self.reference:
            return self
        return replace(own, epoch=self.epoch)

    def pack(self) -> PackedFields:
        """Return it for a message or a file."""
        history: PackedFields = [list(entry) for entry in self.history]
        version = version_to_wire(self.version)
        return [self.epoch, version, self.document, self.digest, history, self.reference]

    @staticmethod
    def unpack(packed: object) -> Config:
        """Decode what `pack` has returned; raises ValueError where the digest is not that of the document."""
        fields = convert_packed(packed, _PackedConfig)
        if fields.document and digest_of(fields.document) != fields.digest:
            raise ValueError(f"r{fields.version}: the text does not have the digest that came with it")
        version = version_from_wire(fields.version, fields.digest)
        if fields.reference and fields.reference != NO_CONFIG_IDENTITY:
            version = fields.version  # a reference comes without the digest
        return Config(fields.epoch, version, *fields[2:])


NO_CONFIG_IDENTITY = Config().identity
LOWEST_RANK = Config().rank


@dataclass(slots=True, frozen=True)
class Update:
    """What is to be committed: a configuration, departures, or nothing (a read)."""

    version: ConfigVersion = None
    document: bytes = NO_DOCUMENT
    departures: dict[str, int] = field(default_factory=dict)  # endpoint id: 1 draining, 2 gone

    @property
    def is_read(self) -> bool:
        """Return whether it changes nothing."""
        return self.version is None and not self.departures

    def pack(self) -> tuple[int, bytes, dict[str, int]]:
        """Return it for a message."""
        return version_to_wire(self.version), self.document, self.departures

    @staticmethod
    def unpack(packed: object) -> Update:
        """Decode what `pack` has returned; raises ValueError for anything else."""
        fields = convert_packed(packed, _PackedUpdate)
        version = version_from_wire(fields.version, fields.document)
        return Update(version, fields.document, fields.departures)


def _departure_checksum(endpoint_id: str, state: int) -> int:
    return zlib.crc32(f"{endpoint_id} {state}".encode())


@dataclass(slots=True)
class Replica:
    """One replica: a configuration and the departures, with a checksum of the departures."""

    config: Config = Config()
    departures: dict[str, int] = field(default_factory=dict)  # endpoint id: 1 draining, 2 gone
    departures_checksum: int = field(default=0, compare=False)  # equal for equal departures

    def __post_init__(self) -> None:
        """Compute the checksum; `add_departures` maintains it."""
        self.departures_checksum = 0
        for endpoint_id, state in self.departures.items():
            self.departures_checksum ^= _departure_checksum(endpoint_id, state)

    def adopt_config(self, other: Config) -> bool:
        """Adopt a configuration of higher rank; True where that changed this replica."""
        if other.rank == self.config.rank:
            check_invariant(other.digest == self.config.digest, "one epoch and version is one text")
        if other.rank <= self.config.rank or not other.complete:
            return False
        self.config = other
        return True

    def add_departures(self, departures: dict[str, int]) -> bool:
        """Merge departures; True where that changed this replica. The oldest beyond the limit are dropped."""
        changed = False
        for endpoint_id, state in departures.items():
            known = self.departures.get(endpoint_id, 0)
            if state <= known:
                continue
            if known:
                self.departures_checksum ^= _departure_checksum(endpoint_id, known)
            self.departures_checksum ^= _departure_checksum(endpoint_id, state)
            self.departures[endpoint_id] = state
            changed = True
        while len(self.departures) > MAX_DEPARTURES:
            oldest = next(iter(self.departures))
            self.departures_checksum ^= _departure_checksum(oldest, self.departures.pop(oldest))
        return changed

    def merge(self, other: Replica) -> bool:
        """Merge another replica into this one; True where that changed this one."""
        adopted = self.adopt_config(other.config)
        return self.add_departures(other.departures) or adopted

    def apply(self, update: Update, epoch: int) -> bool:
        """Apply an update as the head of an epoch; True where it changed this replica."""
        changed = self._apply_config(update, epoch)
        return self.add_departures(update.departures) or changed

    def _apply_config(self, update: Update, epoch: int) -> bool:
        if update.version is None or not is_newer(update.version, self.config.version):
            return False
        self.config = self.config.successor(update.version, update.document, epoch)
        return True

    def copy(self) -> Replica:
        """Return a copy that does not change with this one."""
        return Replica(self.config, dict(self.departures))

    def with_epoch(self, epoch: int) -> Replica:
        """Return a copy with which an epoch starts."""
        return Replica(replace(self.config, epoch=epoch), dict(self.departures))

    def abbreviated_for(self, known_identity: bytes) -> Replica:
        """Return a copy without text for a receiver that stores the configuration of this identity."""
        return self._with_config(self.config.abbreviated_for(known_identity))

    def completed_from(self, own: Replica) -> Replica | None:
        """Return a copy, with the text of an own replica where it was left out; None if that is missing."""
        config = self.config.completed_from(own.config)
        return self._with_config(config) if config.complete else None

    def _with_config(self, config: Config) -> Replica:
        other = Replica(config)
        other.departures = dict(self.departures)
        other.departures_checksum = self.departures_checksum
        return other

    def pack(self) -> PackedFields:
        """Return it for a message or a file."""
        return [self.config.pack(), self.departures]

    @classmethod
    def unpack(cls, packed: object) -> Self:
        """Decode what `pack` has returned; raises ValueError where the digest is not that of the document."""
        fields = convert_packed(packed, _PackedReplica)
        return cls(Config.unpack(fields.config), fields.departures)
