"""Checks what the nodes of a simulation run answer, save and commit against the invariants of replication.

No acknowledged update is lost or taken back, no version is committed with two texts, and no update is refused
but for another that is committed.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wickspring.common.config_version import ConfigVersion, is_newer, version_label, version_order
from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.replica import (
    LOWEST_RANK,
    MAX_HISTORY,
    CommitOutcome,
    Config,
    Rank,
    Replica,
    Update,
)
from wickspring.controlplane.replication.view import Member, View


@dataclass(slots=True)
class InvariantChecker:
    """What has been answered, saved and committed in one run; `fail` is called for a violation."""

    fail: Callable[[str], None]
    views: dict[int, View] = field(default_factory=dict)
    committed: dict[int, bytes] = field(default_factory=dict)  # digest of the committed text, by version
    committed_rank: Rank = LOWEST_RANK  # the highest
    acknowledged_digests: dict[int, bytes] = field(default_factory=dict)  # by version
    acknowledged: set[tuple[int, bytes]] = field(default_factory=set)  # version and digest of updates
    departures: dict[str, int] = field(default_factory=dict)  # acknowledged
    saved_as: dict[Rank, tuple[bytes, tuple[tuple[int, bytes], ...]]] = field(default_factory=dict)
    highest_ranks: dict[Member, Rank] = field(default_factory=dict)  # that each disk has stored
    highest_acknowledged: ConfigVersion = None
    acks: int = 0  # acknowledged updates and reads
    refusals: int = 0
    reads: int = 0  # answered
    last_checked: Rank = LOWEST_RANK  # committed rank that was checked last, to save time

    def on_view(self, ip: str, view: View) -> None:
        """Check a view that a node has installed: views of one epoch are one view."""
        if view.epoch and self.views.setdefault(view.epoch, view) != view:
            self.fail(f"two views of epoch {view.epoch}: {view} and {self.views[view.epoch]} at {ip}")

    def on_saved(self, member: Member, replica: Replica) -> None:
        """Check a replica that has reached a disk: equal rank is equal text, with an equal history."""
        config = replica.config
        if not config.complete:
            self.fail(f"{member.address} keeps {version_label(config.version)} without its text as a copy")
        if config.version is not None:
            digest, history = self.saved_as.setdefault(config.rank, (config.digest, config.history))
            if digest != config.digest:
                self.fail(f"two texts of {config.rank} on disks, at {member.address}")
            if history != config.history:
                self.fail(f"two histories of {config.rank} on disks, at {member.address}")
        if config.rank < self.highest_ranks.get(member, LOWEST_RANK):
            self.fail(f"{member.address}'s disk went back from {self.highest_ranks[member]} to {config.rank}")
        self.highest_ranks[member] = config.rank

    def on_committed(self, ip: str, config: Config) -> None:
        """Check what a node has come to consider committed: it was on all disks of its chain."""
        if not config.complete:
            self.fail(f"{ip} calls {version_label(config.version)} safe without its text")
        view = self.views.get(config.epoch)
        for member in view.chain if view is not None else ():
            if self.highest_ranks.get(member, LOWEST_RANK) < config.rank:
                had = self.highest_ranks.get(member)
                self.fail(f"{ip} calls {config.rank} safe, {member.address} has had {had} at most")
        if view is None and config.version is not None:
            self.fail(f"{ip} calls {config.rank} safe, and nobody has that view")
        if config.rank == self.last_checked:
            return
        self.last_checked = config.rank
        self.committed_rank = max(self.committed_rank, config.rank)
        for version, digest in _texts(config):
            if self.committed.setdefault(version, digest) != digest:
                self.fail(f"r{version} is safe with two texts, the other at {ip}")

    def on_outcome(
        self,
        ip: str,
        update: Update,
        outcome: CommitOutcome,
        chain: ReplicationChain,
        disks: Mapping[Member, Replica],
    ) -> None:
        """Check an outcome of a head: only one text is ever acknowledged as that of a version.

        `disks` has what each node's disk stores at this moment.
        """
        digest = digest_of(update.document)
        if outcome == CommitOutcome.CONFLICT and update.version is not None:
            self._check_refusal(ip, update.version, digest)
        if outcome != CommitOutcome.COMMITTED:
            return
        self.acks += 1
        for endpoint_id, state in update.departures.items():
            self.departures[endpoint_id] = max(state, self.departures.get(endpoint_id, 0))
        for member in chain.view.chain:
            if member in disks:
                self._check_stored(member, disks[member], update, digest)
        if update.version is not None:
            self._on_acknowledged(ip, update.version, digest, chain.committed.config)

    def _check_stored(self, member: Member, replica: Replica, update: Update, digest: bytes) -> None:
        """Check that a member's disk stores an update that is acknowledged."""
        version, config = update.version, replica.config
        if is_newer(version, config.version):
            found = version_label(config.version)
            self.fail(f"r{version} acknowledged, {member.address} has {found} on its disk")
        if config.outcome_of(version, digest) != CommitOutcome.COMMITTED:
            self.fail(f"r{version} acknowledged, {member.address} has another text of it on its disk")
        stored = replica.departures
        if any(stored.get(endpoint_id, 0) < state for endpoint_id, state in update.departures.items()):
            self.fail(f"a server's leaving acknowledged, and not on the disk of {member.address}")

    def _on_acknowledged(self, ip: str, version: int, digest: bytes, committed: Config) -> None:
        """Check an acknowledged version against what is committed and was acknowledged before."""
        self.acknowledged.add((version, digest))
        history = committed.history
        is_remembered = len(history) < MAX_HISTORY or version >= history[0][0]
        if is_remembered and self.committed.get(version, digest) != digest:
            self.fail(f"{ip} acknowledges r{version} with another text than the one that is safe")
        is_current = version == committed.version
        committed_digest = committed.digest if is_current else dict(history).get(version)
        if committed_digest == digest:
            if self.acknowledged_digests.setdefault(version, digest) != digest:
                self.fail(f"two texts of r{version} acknowledged as its own")
            self.highest_acknowledged = max(self.highest_acknowledged, version, key=version_order)

    def _check_refusal(self, ip: str, version: int, digest: bytes) -> None:
        self.refusals += 1
        if self.committed.get(version, digest) == digest:
            self.fail(f"{ip} refuses r{version}, and no other text of it is safe")
        if (version, digest) in self.acknowledged:
            self.fail(f"{ip} refuses r{version}, which had been acknowledged")

    def on_read(self, ip: str, committed: Replica, acknowledged: ConfigVersion) -> None:
        """Check what was read; `acknowledged` is the highest acknowledged version when the read started."""
        self.reads += 1
        config = committed.config
        if is_newer(acknowledged, config.version):
            found = version_label(config.version)
            self.fail(f"{ip} read {found}, and r{acknowledged} had been acknowledged before")
        if config.version is not None and self.committed.get(config.version) != config.digest:
            self.fail(f"what {ip} read of {version_label(config.version)} is not what is safe")

    def check_final_state(self, replicas: Mapping[str, Replica]) -> None:
        """Check the replicas of all nodes at the end: they are equal, and have all that was acknowledged."""
        if len({one.config for one in replicas.values()}) > 1:
            ranks = {ip: (one.config.rank, one.config.digest.hex()[:6]) for ip, one in replicas.items()}
            self.fail(f"copies differ at the end: {ranks}")
        for ip, replica in replicas.items():
            self._check_final_replica(ip, replica)

    def _check_final_replica(self, ip: str, replica: Replica) -> None:
        config = replica.config
        digests = dict(_texts(config))
        if is_newer(self.highest_acknowledged, config.version):
            found = version_label(config.version)
            self.fail(f"r{self.highest_acknowledged} was acknowledged, {ip} ends with {found}")
        for version, digest in self.acknowledged_digests.items():
            if version >= min(digests, default=0) and digests.get(version) != digest:
                self.fail(f"r{version} was acknowledged with a text that {ip} does not end with")
        for endpoint_id, state in self.departures.items():
            if replica.departures.get(endpoint_id, 0) < state:
                self.fail(f"{endpoint_id} was acknowledged as leaving, and {ip} does not end with it")


def _texts(config: Config) -> list[tuple[int, bytes]]:
    """Return the versions that a configuration knows, the newest last, each with the digest of its text."""
    if config.version is None:
        return []
    return [*config.history, (config.version, config.digest)]
