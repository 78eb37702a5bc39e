"""One gateway's share of a customer's hard ceiling, which holds over all gateways together.

Arithmetic without I/O or clock. The ceiling is a token bucket C over all gateways: it refills at a rate, has
a capacity, and every unit forwarded by any of them is taken from it. No gateway sees C. Each may use an even
share of it, whether it is in contact with the others or not; the shares p of the s gateways of a set never
add up to more than C:

    C >= p_1 + ... + p_s                                                                            (I)

for every share refills at 1/s of the rate, holds 1/s of the capacity, and pays for what its gateway forwards.
Even shares alone withhold what the quota allows wherever requests come in unevenly. So a gateway that reads
the counter also keeps `headroom`, a lower bound of C less the most that the other shares can hold, which (I)
lets it use without asking. It refills at the full rate, for that is how C refills, and pays for each unit
that the counter shows the others to have added; an add that is refused later stays charged, on the safe
side.

Where the totals of the counter do not follow on from one another, since counts were lost or the last read is
too old to rule out that the counter failed meanwhile, `headroom` starts again from the least that (I)
allows: C is no less than the own share, so it is that less what the other shares can hold. At the edge of a
window the last total of the old one has to be read first. Until then, and without an answer of the counter,
`share` alone decides.

The worst case: counts lost unseen, as others have added more since than was lost, and units that others
forwarded by their shares while the counter failed for less than `MAX_READ_AGE_MS`, leave `headroom` too
large by as much. It never exceeds an even share of the capacity; the quota bounds what it does not.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from wickspring import interface as api

MAX_READ_AGE_MS = 2000.0  # between two reads, beyond which the counter may have failed unseen


@dataclass(slots=True)
class CeilingShare:
    """One gateway's share of one customer's ceiling; units, and units a ms."""

    rate: float  # of all gateways
    capacity: float  # that one share holds
    spread: int  # gateways with a share
    share: float
    headroom: float
    previous_total: float = 0.0  # last seen of the window before
    previous_unread: bool = False  # the final total of the window before has not been read
    reading_previous: bool = False  # it has been asked for

    def refill(self, elapsed_ms: float) -> None:
        """Add what the rate gives in `elapsed_ms`."""
        self.share = min(self.capacity, self.share + self.rate * elapsed_ms / self.spread)
        self.headroom = min(self.capacity, self.headroom + self.rate * elapsed_ms)

    def charge_others(self, units: float, follows: bool) -> None:
        """Charge what others have added since the last read; `follows` tells that nothing can be missing."""
        if follows:
            self.headroom -= max(0.0, units)
        else:
            self.reset_headroom()

    def reset_headroom(self) -> None:
        """Fall back to the least headroom that (I) allows."""
        self.headroom = self.share - (self.spread - 1) * self.capacity
        self.previous_unread = False

    def start_window(self, previous_total: float, follows: bool) -> None:
        """Begin a new window, which `follows` the previous one or not, of which a total was last seen."""
        self.previous_total = previous_total
        self.previous_unread = True
        self.reading_previous = False
        if not follows:
            self.reset_headroom()

    def finish_previous(self, total: float, amount: float) -> None:
        """Take in a later total of the window before, which includes the own `amount`."""
        self.headroom -= max(0.0, total - self.previous_total - amount)
        self.previous_total = total
        self.previous_unread = False

    def must_read_previous(self, units: float) -> bool:
        """Tell whether the window before has to be read to admit `units`; true once a window at most."""
        unread = self.rate > 0 and self.previous_unread and not self.reading_previous
        must_read = unread and self.share < units <= self.headroom
        self.reading_previous |= must_read
        return must_read

    def available(self, counted: bool) -> float:
        """Return the units that may be forwarded; `counted` says that a total has just been read."""
        if self.rate <= 0:
            return math.inf  # a plan without a ceiling
        return max(self.share, self.headroom) if counted and not self.previous_unread else self.share

    def spend(self, units: float, counted: bool) -> None:
        """Pay for forwarded units, of which as many were available.

        What `headroom` allows beyond the share leaves the share as it is, for (I) holds all the same; but
        only a total that has just been read says that the others have left it.
        """
        beyond_share = counted and not self.previous_unread and self.headroom >= self.share
        self.headroom -= units
        paid = min(self.share, self.headroom) if beyond_share else self.share - units
        self.share = max(0.0, paid)


def initial_share(plan: api.PlanSettings, spread: int) -> CeilingShare:
    """Return the share of a gateway that knows nothing of the customer.

    The process before this one may have forwarded a burst that the quota admitted: the share starts with its
    part of what the ceiling holds beyond that, or of half the slack.
    """
    capacity = plan.ceiling_burst / spread
    share = max(plan.ceiling_slack / 2, plan.ceiling_burst - plan.burst) / spread
    return CeilingShare(plan.ceiling_rate, capacity, spread, share, share - (spread - 1) * capacity)
