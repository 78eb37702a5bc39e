"""Whether this control-plane node is in contact with a quorum, and since when. Times are ms.

Contact is lost for moments at every start and change of view, so callers are sent to another node only after
`CONTACT_TIMEOUT_MS` without it. What is known of endpoints counts as complete once contact has lasted for
`stable_contact_ms`: by then every endpoint that lives has sent a heartbeat, and this node has learned of it.
"""

from __future__ import annotations

from typing import Protocol

from wickspring.common.config_status import QuorumContact
from wickspring.net.clock import Clock

CONTACT_TIMEOUT_MS = 1000.0  # without contact, after which callers are sent to another node at once
# Without contact, after which data planes without a configuration are sent the one on disk.
ISOLATION_MS = 1500.0
# Heartbeat intervals of contact: one until each endpoint's next heartbeat, the rest for its replication.
STABLE_CONTACT_HEARTBEATS = 1.5


class QuorumContactMonitor:
    """Derives the level of contact from single observations; a start counts as the loss of a contact.

    No I/O and no clock: every call names the present time.
    """

    def __init__(self, now: float, heartbeat_ms: float) -> None:
        self.stable_contact_ms = STABLE_CONTACT_HEARTBEATS * heartbeat_ms
        self.last_contact_at = now
        self.contact_since: float | None = None  # short gaps do not interrupt it
        self.level = QuorumContact.NONE

    def observe(self, now: float, in_contact: bool) -> QuorumContact:
        """Record whether there is contact at this moment; return the level that follows."""
        if now - self.last_contact_at > CONTACT_TIMEOUT_MS:
            self.contact_since = None
        if not in_contact:
            self.level = QuorumContact.NONE
            return self.level
        if self.contact_since is None:
            self.contact_since = now
        self.last_contact_at = now
        is_stable = now - self.contact_since >= self.stable_contact_ms
        self.level = QuorumContact.STABLE if is_stable else QuorumContact.RECENT
        return self.level

    def timed_out(self, now: float) -> bool:
        """Return whether contact has been lost for so long that callers should try another node."""
        return self._lost_for(now) > CONTACT_TIMEOUT_MS

    def isolated(self, now: float) -> bool:
        """Return whether contact has been lost for so long that the last known state is better than none."""
        return self._lost_for(now) > ISOLATION_MS

    def _lost_for(self, now: float) -> float:
        """Return the ms since contact was lost; 0 while there is contact."""
        return now - self.last_contact_at if self.level is QuorumContact.NONE else 0.0


class QuorumMember(Protocol):
    """A node that knows whether it reaches a quorum now."""

    @property
    def in_contact(self) -> bool:
        """Return whether a majority of the voters has answered lately."""


class QuorumContactObserver:
    """Observes the contact of a node by the clock of its process."""

    def __init__(self, clock: Clock, node: QuorumMember, heartbeat_ms: float) -> None:
        self._clock = clock
        self._node = node
        self._monitor = QuorumContactMonitor(clock.now(), heartbeat_ms)

    def observe(self) -> QuorumContact:
        """Return the present level of contact."""
        return self._monitor.observe(self._clock.now(), self._node.in_contact)

    @property
    def timed_out(self) -> bool:
        """Return whether contact has been lost for so long that callers should try another node."""
        self.observe()
        return self._monitor.timed_out(self._clock.now())

    @property
    def isolated(self) -> bool:
        """Return whether contact has been lost for so long that the last known state is better than none."""
        self.observe()
        return self._monitor.isolated(self._clock.now())
