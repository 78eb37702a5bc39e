"""Which configuration a data plane adopts, of the copies that it is offered.

A data plane never goes back to a lower version. One that has a configuration adopts a higher version that is
known to have been committed, whichever process offers it. One that has none waits for an offer from a process
in contact with a quorum: other copies may be old, or never have been committed. Only where no process in
contact has reported any for `FALLBACK_AFTER_MS` it adopts the last known copy.

Of its own version it adopts another text only where its own was never known to be committed, or where a
control plane in contact says so. The second must not happen: it is a fence behind the replication protocol
(`docs/design/control.md`). No I/O; times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wickspring.common.config_status import ConfigStatus
from wickspring.common.config_version import ConfigVersion, is_newer

FALLBACK_AFTER_MS = 1500.0  # without a process in contact, until the last known copy is adopted


@dataclass(slots=True, frozen=True)
class ConfigCopy:
    """A copy of the configuration as it was offered."""

    version: int
    digest: bytes
    compressed_document: bytes  # zlib
    status: ConfigStatus


class AdoptionAction(Enum):
    """What to do with an offered copy."""

    IGNORE = "ignore"
    WAIT = "wait"  # keep it until it is confirmed, or the fallback is due
    ADOPT = "adopt"
    REPLACE_UNCOMMITTED = "replace_uncommitted"  # own text of this version was never known to be committed
    FENCE = "fence"  # own text of this version was committed, and so is this one: must not happen


class ConfigAdoption:
    """The configuration that one data plane has adopted, and the copy that it keeps in reserve."""

    def __init__(self, now: float) -> None:
        self.version: ConfigVersion = None
        self.digest = b""
        self.status = ConfigStatus.STORED
        self.pending: ConfigCopy | None = None
        self._last_contact_at = now

    def offer(self, now: float, copy: ConfigCopy, by_control_plane: bool = True) -> AdoptionAction:
        """Return what to do with a copy; it counts as adopted only with `adopted`."""
        if copy.status is ConfigStatus.CURRENT:
            self._last_contact_at = now
        if is_newer(self.version, copy.version):
            return AdoptionAction.IGNORE
        if copy.version == self.version:
            return self._same_version(copy, by_control_plane)
        has_config = self.version is not None
        if copy.status is ConfigStatus.CURRENT or (has_config and copy.status is ConfigStatus.COMMITTED):
            return AdoptionAction.ADOPT
        if has_config:
            return AdoptionAction.IGNORE
        best = self.pending
        if best is None or (copy.status, copy.version) > (best.status, best.version):
            self.pending = copy
        return AdoptionAction.WAIT

    def _same_version(self, copy: ConfigCopy, by_control_plane: bool) -> AdoptionAction:
        if copy.digest == self.digest:
            self.status = max(self.status, min(copy.status, ConfigStatus.COMMITTED))
            return AdoptionAction.IGNORE
        if self.status is ConfigStatus.STORED and copy.status >= ConfigStatus.COMMITTED:
            return AdoptionAction.REPLACE_UNCOMMITTED
        if by_control_plane and copy.status is ConfigStatus.CURRENT:
            return AdoptionAction.FENCE
        return AdoptionAction.IGNORE

    def confirm(self, now: float, version: ConfigVersion, digest: bytes) -> ConfigCopy | None:
        """Take note of what a process in contact reports as committed; return the copy that awaited this."""
        self._last_contact_at = now
        if version is None:
            return None
        pending = self.pending
        committed = (version, digest)
        if committed == (self.version, self.digest):
            self.status = ConfigStatus.COMMITTED
        elif self.version is None and pending is not None and committed == (pending.version, pending.digest):
            return ConfigCopy(version, digest, pending.compressed_document, ConfigStatus.CURRENT)
        return None

    def fallback(self, now: float) -> ConfigCopy | None:
        """Return the pending copy once nobody in contact has reported any for `FALLBACK_AFTER_MS`."""
        due = self.version is None and now - self._last_contact_at >= FALLBACK_AFTER_MS
        return self.pending if due else None

    def adopted(self, copy: ConfigCopy) -> None:
        """Record a copy as the one in use."""
        self.version = copy.version
        self.digest = copy.digest
        self.status = min(copy.status, ConfigStatus.COMMITTED)
        self.pending = None

    def discard(self, copy: ConfigCopy) -> None:
        """Forget a copy that cannot be used."""
        if self.pending is copy:
            self.pending = None
