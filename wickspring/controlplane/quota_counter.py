"""Tenants' counts: one add a request to a tenant's present window, kept by one core machine for each tenant.

Windows are short and numbered by the steady clock of the machine that keeps the count, so nobody else needs
to know what time it is. A window's limit is what the tenant's rate brings in its length, and what the ones
before have left of that, as far as the burst goes. So no window's edge lets a tenant spend two limits close
together, and every sliding span stays under the rule's ceiling: it touches one window more than it is long.

A client that comes back after a refusal shows it by the time that it has left. While a tenant asks for more
than it may have, those who come for the first time go first: else the same few units are asked for again and
again, and who was refused once is refused twice.

A pilot that has gone silent may be cut off, and then goes on alone within its part (`pilot.policy.quota`). So
what it may send on in a span is reserved for a while: units given out and units reserved stay together under
the rule's ceiling. One whose cable was reset has ended, and sends on nothing.

The machines that do not keep a count are told, while it runs low, how it went of late: so what pilots have
sent on that ended together with the keeper is not forgotten. They are told each pilot's share too: so the
next keeper reserves for the pilots that are silent when it begins, whoever noticed it.

Each pilot's part is kept apart, and its own word replaces it when it comes to a keeper anew: so a count moves
to another machine, or to one that has forgotten everything, with what the pilots know of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from wickspring.common.quota_rule import ISOLATED_SHARE, WINDOWS_PER_SPAN, quota_ceiling

BURST_MORE = 2.0  # units above the burst that are given out: windows are not cut where the rule's are
SHADOW_WINDOWS = 8  # that are told to the other machines, of tenants that have used up much
MUCH = 0.5  # of what may be left, below which a tenant has used up much
MOST_UNITS = 1_000_000  # of one tenant in one window that anybody's word is taken for
SHARE_MARGIN = 1.3  # times the share that is known here, which a silent pilot may hold to be its own
UNKNOWN_SHARE = 2.0  # times an even share, for a silent pilot of which none is known
SILENT_PILOT_MS = 30_000.0  # for which units are reserved for a silent pilot
AGAIN_SHARE, AGAIN_LEAST = 0.2, 4.0  # of the burst that is kept for those who come for the first time


class TenantCount:
    """One tenant's windows of late."""

    __slots__ = (
        "level",
        "level_at",
        "parts",
        "reserved",
        "reserved_at",
        "shadow",
        "shares",
        "total",
        "windows",
    )

    def __init__(self) -> None:
        self.windows: deque[tuple[int, int]] = deque()  # number and units over all pilots, oldest first
        self.parts: dict[str, dict[int, int]] = {}  # by pilot
        self.shadow: dict[int, int] = {}  # units by window, as another machine counted them
        self.shares: dict[str, float] = {}  # of the count by pilot, as last told or when it went silent
        self.reserved = 0.0  # units that silent pilots may send on
        self.reserved_at = -1  # the window in which that was worked out
        self.total = 0
        self.level: float | None = None  # units that the window may still give; None: it is to be worked out
        self.level_at = 0  # the window that it is of

    def advance(self, window: int, brings: float, most: float) -> None:
        """Go on to a window: what time has brought, and what no span can touch any more."""
        if self.level is None:
            self.level = self._work_out(window, brings, most)
        elif window > self.level_at:
            self.level = min(most, self.level + (window - self.level_at) * brings)
        self.level_at = window
        while self.windows and self.windows[0][0] < window - WINDOWS_PER_SPAN:
            self.total -= self.windows.popleft()[1]

    def _work_out(self, window: int, brings: float, most: float) -> float:
        """Work out what is left from what was spent; below 0 where that was more than there was."""
        level, at = most, window - WINDOWS_PER_SPAN
        for number, units in self.windows:
            level = min(most, level + max(0, number - at) * brings) - units
            at = number
        return min(most, level + max(0, window - at) * brings)

    def add(self, window: int, data_plane: str) -> None:
        """Add a unit to the present window."""
        if self.windows and self.windows[-1][0] == window:
            self.windows[-1] = window, self.windows[-1][1] + 1
        else:
            self.windows.append((window, 1))
        self.total += 1
        self.level = (self.level or 0.0) - 1.0
        part = self.parts.setdefault(data_plane, {})
        part[window] = part.get(window, 0) + 1
        if len(part) > 2 * WINDOWS_PER_SPAN:
            for old in [w for w in part if w < window - WINDOWS_PER_SPAN]:
                del part[old]

    def replace(self, window: int, data_plane: str, told: Iterable[tuple[int, int]]) -> None:
        """Put a pilot's own word, windows ago and units, in the place of what is held of it."""
        part: dict[int, int] = {}
        for ago, units in told:
            if 0 <= ago <= WINDOWS_PER_SPAN and 0 < units <= MOST_UNITS:
                part[window - ago] = part.get(window - ago, 0) + units
        self.parts[data_plane] = part
        self.sum_up(window)

    def spent_by(self, window: int, data_plane: str) -> int:
        """Return the units of a pilot that are known in the span."""
        return sum(
            units for at, units in self.parts.get(data_plane, {}).items() if at >= window - WINDOWS_PER_SPAN
        )

    def share(self, window: int, data_plane: str) -> float:
        """Return a pilot's share of the span's units up to its last one; 0 where none is known."""
        part = {
            at: units
            for at, units in self.parts.get(data_plane, {}).items()
            if at >= window - WINDOWS_PER_SPAN
        }
        if not part:
            return 0.0
        last = max(part)
        whole = sum(units for at, units in self.windows if window - WINDOWS_PER_SPAN <= at <= last)
        return min(1.0, sum(part.values()) / max(1, whole))

    def sum_up(self, window: int) -> None:
        """Add up all parts; of what pilots that have ended sent on, the keeper before has told."""
        sums: dict[int, int] = {}
        for held in self.parts.values():
            for at, units in held.items():
                if at >= window - WINDOWS_PER_SPAN:
                    sums[at] = sums.get(at, 0) + units
        for at, units in self.shadow.items():
            if at >= window - WINDOWS_PER_SPAN:
                sums[at] = max(units, sums.get(at, 0))
        self.windows = deque(sorted(sums.items()))
        self.total, self.level = sum(sums.values()), None


class QuotaCounter:
    """The counts that this machine keeps."""

    def __init__(self, span_s: float, excess: float, slack: float) -> None:
        self.span_s, self.excess, self.slack = span_s, excess, slack
        self.window_ms = 1000.0 * span_s / WINDOWS_PER_SPAN
        self.counts: dict[str, TenantCount] = {}
        self.silent: dict[str, float] = {}  # pilots that may send on alone, and until when that counts

    def _count(self, now: float, tenant: str, rate: float, burst: float) -> tuple[int, float, TenantCount]:
        window = int(now / self.window_ms)
        count = self.counts.get(tenant)
        if count is None:
            count = self.counts[tenant] = TenantCount()
        brings = rate * self.window_ms / 1000.0
        count.advance(window, brings, brings + burst + BURST_MORE)
        return window, brings, count

    def _room(self, window: int, now: float, count: TenantCount, brings: float, whole: float) -> float:
        """Return the units that the span has left under the ceiling and beside what is reserved.

        Less a window's: what pilots tell may be out of step by one.
        """
        if count.reserved_at != window:
            count.reserved_at, count.reserved = window, self._reserved(window, now, count, whole)
        return whole - count.reserved - count.total - brings

    def _reserved(self, window: int, now: float, count: TenantCount, whole: float) -> float:
        """Return the units that silent pilots may send on in a span beside those that are known."""
        silent, reserved = self._silent_pilots(now), 0.0
        unknown = UNKNOWN_SHARE / max(1, len(count.parts.keys() | set(silent)))
        for data_plane in silent:
            alone = ISOLATED_SHARE * SHARE_MARGIN * count.shares.get(data_plane, unknown) * whole
            reserved += max(0.0, alone - count.spent_by(window, data_plane))
        return reserved

    def _silent_pilots(self, now: float) -> list[str]:
        """Return the pilots that may be sending on alone."""
        for data_plane in [data_plane for data_plane, until in self.silent.items() if now >= until]:
            del self.silent[data_plane]
        return list(self.silent)

    def went_silent(self, now: float, data_plane: str, lasts_ms: float = SILENT_PILOT_MS) -> None:
        """Note that a pilot has gone silent: it may go on alone."""
        self.silent[data_plane] = now + min(lasts_ms, SILENT_PILOT_MS)
        window = int(now / self.window_ms)
        for count in self.counts.values():
            share = max(count.shares.get(data_plane, 0.0), count.share(window, data_plane))
            if share > 0.0:
                count.shares[data_plane] = share

    def back(self, data_plane: str) -> None:
        """Note that a pilot is heard again, or has surely ended."""
        self.silent.pop(data_plane, None)

    def silent_for(self, now: float) -> dict[str, float]:
        """Return the silent pilots, and for how many ms more that is reckoned with."""
        return {data_plane: self.silent[data_plane] - now for data_plane in self._silent_pilots(now)}

    def shares(self, now: float, tenants: Iterable[str]) -> dict[str, dict[str, float]]:
        """Return the pilots' shares of these tenants' counts, for who may follow as keeper."""
        window, told = int(now / self.window_ms), {}
        for tenant in tenants:
            count = self.counts[tenant]
            shares = {data_plane: round(count.share(window, data_plane), 3) for data_plane in count.parts}
            shares |= {
                data_plane: count.shares[data_plane]
                for data_plane in self.silent
                if data_plane in count.shares
            }
            told[tenant] = {data_plane: share for data_plane, share in shares.items() if share > 0.0}
        return told

    def take_shares(self, tenant: str, told: Mapping[str, float]) -> None:
        """Take in the pilots' shares of a count that another machine keeps."""
        shares = self.counts.setdefault(tenant, TenantCount()).shares
        shares.clear()
        shares.update({data_plane: min(1.0, max(0.0, share)) for data_plane, share in told.items()})

    def add(
        self, now: float, tenant: str, data_plane: str, rate: float, burst: float, again: bool = False
    ) -> tuple[int, int, float]:
        """Add one unit; return the total in the span, the limit on it, and ms until the window's end.

        What takes the total past the limit does not stay in it: the pilot refuses it by that total.
        """
        window, brings, count = self._count(now, tenant, rate, burst)
        kept = max(AGAIN_LEAST, AGAIN_SHARE * burst) if again else 0.0
        whole = quota_ceiling(rate, burst, self.span_s, self.excess, self.slack)
        left = min((count.level or 0.0) - kept, self._room(window, now, count, brings, whole))
        limit = count.total + max(0, int(left))
        if count.total + 1 > limit:
            windows = max(1.0, (1.0 - left) / max(brings, 1e-9))
            return count.total + 1, limit, (window + windows) * self.window_ms - now
        count.add(window, data_plane)
        return count.total, limit, (window + 1) * self.window_ms - now

    def spent(self, now: float, tenant: str, data_plane: str, rate: float, burst: float) -> None:
        """Count a unit that a pilot has sent on by itself while this machine gave nothing out."""
        window, _, count = self._count(now, tenant, rate, burst)
        count.add(window, data_plane)

    def give_back(self, now: float, tenant: str, data_plane: str) -> None:
        """Take a unit off again that was not used: its request has not run and never will."""
        count = self.counts.get(tenant)
        part = count.parts.get(data_plane, {}) if count is not None else {}
        if count is None:
            return
        for index in range(len(count.windows) - 1, -1, -1):
            at, units = count.windows[index]
            if part.get(at, 0) > 0 and units > 0:
                part[at] -= 1
                count.windows[index] = at, units - 1
                count.total -= 1
                count.level = None if count.level is None else count.level + 1.0
                return

    def past(self, now: float, tenant: str, data_plane: str, told: Iterable[tuple[int, int]]) -> None:
        """Take a pilot's own word of what it has sent on of late."""
        count = self.counts.setdefault(tenant, TenantCount())
        count.replace(int(now / self.window_ms), data_plane, told)

    def much_used(self, now: float, bursts: Mapping[str, float]) -> dict[str, list[tuple[int, int]]]:
        """Return the last windows of tenants that have used up much, for who may follow as keeper."""
        window = int(now / self.window_ms)
        told = {}
        oldest = window - SHADOW_WINDOWS
        for tenant, count in self.counts.items():
            if count.level is not None and count.level < MUCH * bursts.get(tenant, 0.0):
                last = [(window - at, units) for at, units in count.windows if at >= oldest]
                if last:
                    told[tenant] = last
        return told

    def shadowed(self, now: float, tenant: str, told: Iterable[tuple[int, int]]) -> None:
        """Take in what another machine has counted of late while it kept this tenant's count."""
        window = int(now / self.window_ms)
        shadow = self.counts.setdefault(tenant, TenantCount()).shadow
        for ago, units in told:
            if 0 <= ago <= WINDOWS_PER_SPAN and 0 < units <= MOST_UNITS:
                shadow[window - ago] = max(units, shadow.get(window - ago, 0))
        for old in [at for at in shadow if at < window - WINDOWS_PER_SPAN]:
            del shadow[old]

    def begin(self, now: float) -> None:
        """Begin to keep: whatever was counted by others is in what is left from here on."""
        for count in self.counts.values():
            count.sum_up(int(now / self.window_ms))
