"""The lease under which one control-plane node does what only one may do: count the tenants' requests.

A lease as in Gray & Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency" (1989), granted by a majority of the voters of a view. Each heartbeat carries the asker's own
time and each answer returns that time with the epoch it is granted for. Invariants:

* A grant is valid from when it was asked for, by the holder's monotonic clock, so it expires at the holder
  before it expires at the voter that granted it. Steps of the time of day change nothing.
* A voter that has promised the next view grants nothing in this one, and any majority that agrees on the
  next view shares a voter with each majority that granted in this one. So all leases of a view expire at
  most `LEASE_MS` after the next view is agreed, and a holder in the next view waits `WAIT_AFTER_VIEW_MS`.
* The epoch is the fencing token: an addition that names another epoch than the owner's is not counted.

No I/O and no clock here; times are milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.view import Member, View

LEASE_MS = 480.0  # for which a grant holds, from when it was asked for: a little over two heartbeats
WAIT_AFTER_VIEW_MS = 500.0  # before a lease of a new view is used; leases of the view before have ended then
MAX_CLOCK_DRIFT = 0.02  # share by which the monotonic clocks of two machines may differ in speed

assert WAIT_AFTER_VIEW_MS >= LEASE_MS * (1.0 + MAX_CLOCK_DRIFT)  # else one of the view before may still hold


def granted_epoch(chain: ReplicationChain) -> int:
    """Return the epoch that this node grants leases for; 0 where it grants none."""
    return chain.view.epoch if chain.is_voter and not chain.frozen else 0


class Grant(NamedTuple):
    """What a voter has answered to a request for the lease."""

    epoch: int  # of the view that it grants the lease in; 0 where it refuses
    asked_at: float  # ms: when the request was sent


NO_GRANT = Grant(0, 0.0)


class Lease:
    """The grants that this node has received from the other voters."""

    duration_ms = LEASE_MS

    def __init__(self) -> None:
        self.epoch = -1  # of the view that is installed here, and saved
        self.installed_at = 0.0  # ms: when that view was
        self._grants: dict[Member, Grant] = {}  # the latest of each voter

    def install(self, now: float, view: View) -> bool:
        """Record a view that has been saved; True where it is another than before."""
        if view.epoch == self.epoch:
            return False
        self.epoch = view.epoch
        self.installed_at = now
        return True

    def on_grant(self, member: Member, asked_at: float, epoch: int) -> None:
        """Record an answer: what was asked at `asked_at` is granted for an epoch (0: it is not)."""
        known = self._grants.get(member)
        if known is None or asked_at > known.asked_at:
            self._grants[member] = Grant(epoch, asked_at)

    def is_held(self, now: float, chain: ReplicationChain) -> bool:
        """Return whether a majority of the present voters, with this node, has granted the lease recently."""
        view = chain.view
        if not granted_epoch(chain) or view.epoch != self.epoch:
            return False
        grants = [self._grants.get(member, NO_GRANT) for member in view.voters]
        valid_count = sum(
            grant.epoch == view.epoch and now - grant.asked_at < self.duration_ms for grant in grants
        )
        return 1 + valid_count >= view.majority  # 1: this node's own

    def is_usable(self, now: float, chain: ReplicationChain) -> bool:
        """Return whether the lease is held, and all leases of earlier views have expired."""
        return self.is_held(now, chain) and now - self.installed_at >= WAIT_AFTER_VIEW_MS
