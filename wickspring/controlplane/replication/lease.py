"""The lease under which a core machine does what only one may do: the keeping of counts.

A majority of the voters grants it, again and again: each tick carries the asker's own time, and each answer
that time back with the epoch it is granted for. So a grant counts from when it was asked for, by the
holder's steady clock, and ends before whoever granted it could think so. Who has promised for the next
view grants nothing in this one, and any majority that agrees on the next has one of each that granted in
it. So all leases of a view end at most `LEASE_MS` after the next is agreed, and who holds one of the next
begins only `TENURE_MS` after it has that view. Steps of the time of day change nothing. The epoch is the
fencing number: an add that names another than the keeper's own is not counted.

No I/O and no clock here; times are milliseconds.
"""

from __future__ import annotations

from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.view import View

LEASE_MS = 480.0  # for which a grant holds, from when it was asked for: two ticks and some
TENURE_MS = 500.0  # since a view was taken up, before its lease is used; clocks differ by less than the rest
MOST_DRIFT = 0.02  # share by which the steady clocks of two machines may differ in speed

assert TENURE_MS >= LEASE_MS * (1.0 + MOST_DRIFT)  # else a lease of the view before may still hold


def grants(chain: ReplicationChain) -> int:
    """Return the epoch that this machine grants leases for; 0 where it grants none."""
    return chain.view.epoch if chain.voter and not chain.frozen else 0


class Lease:
    """What the others have granted this machine."""

    lasts_ms = LEASE_MS

    def __init__(self) -> None:
        self.epoch = -1  # of the view that has been taken up here, and is on disk
        self.since = 0.0
        self._granted: dict[tuple[str, str], tuple[int, float]] = {}  # by member: epoch, when asked

    def take_up(self, now: float, view: View) -> bool:
        """Take up a view that has been saved; True where it is another than before."""
        if view.epoch == self.epoch:
            return False
        self.epoch, self.since = view.epoch, now
        return True

    def granted(self, ip: str, disk: str, asked: float, epoch: int) -> None:
        """Note an answer: what was asked at `asked` is granted for an epoch (0: it is not)."""
        known = self._granted.get((ip, disk))
        if known is None or asked > known[1]:
            self._granted[ip, disk] = epoch, asked

    def held(self, now: float, chain: ReplicationChain) -> bool:
        """Tell whether a majority of the present voters has granted it of late, this machine among them."""
        view = chain.view
        if not grants(chain) or view.epoch != self.epoch:
            return False
        count = 1
        for member in view.voters:
            epoch, asked = self._granted.get(member, (0, 0.0))
            count += epoch == view.epoch and now - asked < self.lasts_ms
        return count >= view.majority

    def usable(self, now: float, chain: ReplicationChain) -> bool:
        """Tell whether it may be used: it is held, and nobody can hold one of an earlier view any more."""
        return self.held(now, chain) and now - self.since >= TENURE_MS
