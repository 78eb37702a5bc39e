"""The units that are reserved for data planes out of reach. No I/O; times are ms.

A data plane that has timed out may be cut off, and then goes on in isolation within its share
(`wickspring.dataplane.policy.quota`). So what it may use in a span is reserved for a while: units given out
and units reserved stay together under the ceiling. A data plane whose connection was reset has ended, and
uses nothing. It may be started again, though, and then goes on for a while within its even part of the margin
that the owner leaves (`quota_margin`), before it is heard from. Where units are reserved too, the owner keeps
those parts free: reservation and margin would else be the same units.

A process that has just started has heard from nobody. Its node's disk names the data planes that there were
(`wickspring.controlplane.known_data_planes`); units are reserved for each of them until it connects. What
they hold together is what the shares that others report leave of the whole.
"""

from __future__ import annotations

from collections.abc import Collection

from wickspring.common.quota_rule import ISOLATED_SHARE
from wickspring.controlplane.tenant_usage import TenantUsage

SHARE_MARGIN = 1.3  # times the known share, for what an unresponsive data plane may take for its own
UNKNOWN_SHARE_FACTOR = 2.0  # times an even share, for an unresponsive data plane without a known share


class UnresponsiveDataPlanes:
    """The data planes that units are reserved for, and until when."""

    def __init__(self) -> None:
        self.until: dict[str, float] = {}  # by data plane
        self._connected_before: set[str] = set()  # to this process
        self._ended: dict[str, float] = {}  # by data plane: until when it may be starting again

    def mark(self, now: float, data_plane: str, lasts_ms: float) -> bool:
        """Reserve for a data plane for so long; True where nothing was reserved for it before."""
        is_new = data_plane not in self.until
        self.until[data_plane] = now + lasts_ms
        return is_new

    def clear(self, data_plane: str) -> None:
        """Reserve nothing any more for a data plane that is in reach, or has ended for certain."""
        self._connected_before.add(data_plane)
        self._ended.pop(data_plane, None)
        self.until.pop(data_plane, None)

    def mark_ended(self, now: float, data_plane: str, lasts_ms: float) -> None:
        """Note that a data plane has ended for certain, and may be starting again for so long."""
        self.clear(data_plane)
        self._ended[data_plane] = now + lasts_ms

    def starting_share(self, now: float) -> float:
        """Return the share of all data planes that may be starting, and have not been heard from."""
        for data_plane in [name for name, until in self._ended.items() if now >= until]:
            del self._ended[data_plane]
        known = self._connected_before | self.until.keys()
        return len(self._ended) / max(1, len(known))

    def active(self, now: float) -> list[str]:
        """Return the data planes that units are reserved for, and forget those whose time is over."""
        expired = [data_plane for data_plane, until in self.until.items() if now >= until]
        for data_plane in expired:
            del self.until[data_plane]
        return list(self.until)

    def remaining_ms(self, now: float) -> dict[str, float]:
        """Return for how long units are still reserved, by data plane."""
        return {data_plane: self.until[data_plane] - now for data_plane in self.active(now)}

    def never_connected(self, data_planes: Collection[str]) -> list[str]:
        """Return those of some data planes that this process has never heard from."""
        return [data_plane for data_plane in data_planes if data_plane not in self._connected_before]


def reserved_units(
    usage: TenantUsage,
    window: int,
    data_planes: Collection[str],
    never_connected: Collection[str],
    ceiling: float,
) -> float:
    """Return the units of a tenant that unresponsive data planes may use in a span beside those known.

    Args:
        usage: what is known of the tenant.
        window: the number of the present window.
        data_planes: the unresponsive ones.
        never_connected: those of them that this process has never heard from.
        ceiling: units that may be forwarded in a span.
    """
    if not data_planes:
        return 0.0
    without_share = [data_plane for data_plane in never_connected if data_plane not in usage.shares]
    even_share = 1.0 / len(usage.by_data_plane.keys() | set(data_planes))
    reserved = 0.0
    for data_plane in data_planes:
        if data_plane not in without_share:
            share = usage.shares.get(data_plane, UNKNOWN_SHARE_FACTOR * even_share)
            reserved += _isolated_units(usage, window, [data_plane], share, ceiling)
    if without_share:
        share = _share_of_the_unheard(usage, data_planes, len(without_share) * even_share)
        reserved += _isolated_units(usage, window, without_share, share, ceiling)
    return reserved


def _isolated_units(
    usage: TenantUsage, window: int, data_planes: Collection[str], share: float, ceiling: float
) -> float:
    """Return what data planes that hold a share together may use in isolation beside their known units."""
    known = sum(usage.units_of(window, data_plane) for data_plane in data_planes)
    return max(0.0, ISOLATED_SHARE * SHARE_MARGIN * share * ceiling - known)


def _share_of_the_unheard(usage: TenantUsage, unresponsive: Collection[str], even_share: float) -> float:
    """Return the share that data planes hold together which this process has never heard from.

    It is what others leave of the whole, as far as they report it. Shares are measured at different times and
    need not add up to one, so it is at least the guess that is made without reports.
    """
    guess = UNKNOWN_SHARE_FACTOR * even_share
    reported = [share for name, share in usage.reported_shares.items() if name not in unresponsive]
    known = sum(usage.shares.get(data_plane, 0.0) for data_plane in unresponsive)
    left = 1.0 - sum(reported) - known if reported else 0.0
    return min(1.0, max(guess, left))
