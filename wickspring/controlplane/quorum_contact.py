"""Since when this lighthouse is in contact with a majority of the core, or is not. No I/O; times are ms.

Contact comes and goes for moments at every start and change of view, so callers are only sent on where it has
been away for `GAP_MS`. What is known of servers counts as complete once contact has lasted `settle_ms`, in
which every server that lives has beaten somewhere and this machine has been told.
"""

from __future__ import annotations

from wickspring.common.config_status import QuorumContact

GAP_MS = 1000.0  # without contact, beyond which callers are sent on at once
ALONE_MS = 1500.0  # without contact, after which pilots that have nothing may have what the disk holds
SETTLE_BEATS = 1.5  # between two beats of servers at most, and for them to be told on


class QuorumContactMonitor:
    """What the looks so far have shown; a start counts as the end of a contact."""

    def __init__(self, now: float, beat_ms: float) -> None:
        self.settle_ms = SETTLE_BEATS * beat_ms
        self.last = now
        self.since: float | None = None  # passing over short gaps
        self.level = QuorumContact.NONE

    def look(self, now: float, in_contact: bool) -> QuorumContact:
        """Note whether there is contact at this moment; return how far it goes."""
        if now - self.last > GAP_MS:
            self.since = None
        if not in_contact:
            self.level = QuorumContact.NONE
            return self.level
        if self.since is None:
            self.since = now
        self.last = now
        self.level = QuorumContact.SETTLED if now - self.since >= self.settle_ms else QuorumContact.FRESH
        return self.level

    def gone(self, now: float) -> bool:
        """Tell whether there has been none for so long that callers are better off elsewhere."""
        return self.level is QuorumContact.NONE and now - self.last > GAP_MS

    def alone(self, now: float) -> bool:
        """Tell whether there has been none for so long that the last known is better than nothing."""
        return self.level is QuorumContact.NONE and now - self.last > ALONE_MS
