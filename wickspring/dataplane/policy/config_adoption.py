"""Which configuration a pilot goes by, of the copies that it is told. No I/O; times are ms.

A pilot never goes back in number. One that has a configuration takes a higher one that is known to have
been safe, whoever tells it. One that has none takes what a process in contact with the core tells, and waits
for that: what others hand it may be old, or never have become safe. Only where nobody in contact has said
anything for `ALONE_MS` it goes by the last known, which serves more than nothing does.

Under its own number it takes another text only where its own was never known to be safe, or where a
lighthouse in contact says so. The second must not happen: it is the fence behind the core's own rules.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wickspring.common.config_status import ConfigStatus

ALONE_MS = 1500.0  # without a word of anybody in contact, after which the last known is better than nothing


@dataclass(slots=True, frozen=True)
class ConfigCopy:
    """A copy as it was told; `packed` is the text as it came."""

    version: int
    digest: bytes
    packed: bytes
    standing: ConfigStatus


class AdoptionAction(Enum):
    """What to do with a copy."""

    PASS_OVER = "pass_over"
    WAIT = "wait"
    TAKE = "take"
    GIVE_WAY = "give_way"  # take it instead of a text of the same number that was never known to be safe
    FENCE = "fence"  # take it instead of a text of the same number that was: this must not happen


class ConfigAdoption:
    """What one pilot goes by, and what it would go by for want of better."""

    def __init__(self, now: float) -> None:
        self.version, self.digest, self.standing = 0, b"", ConfigStatus.HELD
        self.waiting: ConfigCopy | None = None
        self._current_at = now

    def told(self, now: float, copy: ConfigCopy, by_control_plane: bool = True) -> AdoptionAction:
        """Say what to do with a copy; it counts as taken up only with `took`."""
        if copy.standing is ConfigStatus.CURRENT:
            self._current_at = now
        if copy.version < self.version or not copy.version:
            return AdoptionAction.PASS_OVER
        if copy.version == self.version:
            return self._same_number(copy, by_control_plane)
        if self.version:
            return AdoptionAction.TAKE if copy.standing >= ConfigStatus.SAFE else AdoptionAction.PASS_OVER
        if copy.standing is ConfigStatus.CURRENT:
            return AdoptionAction.TAKE
        best = self.waiting
        if best is None or (copy.standing, copy.version) > (best.standing, best.version):
            self.waiting = copy
        return AdoptionAction.WAIT

    def _same_number(self, copy: ConfigCopy, by_control_plane: bool) -> AdoptionAction:
        if copy.digest == self.digest:
            self.standing = max(self.standing, min(copy.standing, ConfigStatus.SAFE))
            return AdoptionAction.PASS_OVER
        if self.standing is ConfigStatus.HELD and copy.standing >= ConfigStatus.SAFE:
            return AdoptionAction.GIVE_WAY
        if by_control_plane and copy.standing is ConfigStatus.CURRENT:
            return AdoptionAction.FENCE
        return AdoptionAction.PASS_OVER

    def confirmed(self, now: float, version: int, digest: bytes) -> ConfigCopy | None:
        """Hear from somebody in contact what holds; return the copy that waited for just that."""
        self._current_at = now
        waiting, told = self.waiting, (version, digest)
        if version and told == (self.version, self.digest):
            self.standing = ConfigStatus.SAFE
        elif not self.version and waiting is not None and told == (waiting.version, waiting.digest):
            return ConfigCopy(version, digest, waiting.packed, ConfigStatus.CURRENT)
        return None

    def due(self, now: float) -> ConfigCopy | None:
        """Return the copy to go by for want of better, once that is due."""
        return self.waiting if not self.version and now - self._current_at >= ALONE_MS else None

    def took(self, copy: ConfigCopy) -> None:
        """Go by a copy from now on."""
        self.version, self.digest = copy.version, copy.digest
        self.standing = min(copy.standing, ConfigStatus.SAFE)
        self.waiting = None

    def drop(self, copy: ConfigCopy) -> None:
        """Forget a copy that cannot be used."""
        if self.waiting is copy:
            self.waiting = None
