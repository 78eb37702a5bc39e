"""One customer's quota as one gateway sees it: a token bucket that follows the totals of the quota counter.

State and arithmetic without I/O or clock; when to call the counter, and which requests to refuse, is decided
in `policy.py`. The bucket mirrors the one that the quota defines over all gateways: units forwarded here
come off at once, those of the others when a total shows them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wickspring import interface as api
from wickspring.quota.ceiling_share import MAX_READ_AGE_MS, CeilingShare, initial_share
from wickspring.quota.concurrency_cap import InFlight
from wickspring.quota.counting_windows import CountingWindow, counting_window

NO_WINDOW = -(2**62)  # number before that of any window
ROUNDING_UNITS = 0.01  # by which sums of adds may lie above the counter's total, which is rounded
USAGE_DECAY = 0.9  # kept of the use here and elsewhere at each total
ISOLATED_SHARE = 0.85  # of the own share, without the counter: a client of many gateways asks again elsewhere
USAGE_RATIO_TTL_MS = 10_000.0  # for which use above the quota is remembered
PHASE_MULTIPLIER = 0x9E3779B97F4A7C15  # Fibonacci hashing (Knuth): spreads the edges of customers' windows
PHASE_RANGE = 2**64


@dataclass(slots=True)
class CustomerQuota:
    """One customer's quota; units, units a ms, ms."""

    customer: int
    plan: api.PlanSettings
    spread: int
    windows: CountingWindow
    updated_at: float  # time of the buckets
    tokens: float  # units left inside the quota, by the totals seen and own admissions
    local_tokens: float  # own share of the quota, for when the counter does not answer
    ceiling: CeilingShare
    largest_units: float  # of any request
    window: int = -1  # number of the current window
    window_left: float = 0.0  # ms to its end
    last_overspent: int = NO_WINDOW  # last window seen overspent
    total: float = 0.0  # last total seen in this window
    confirmed: float = 0.0  # own units in it that the counter has confirmed
    pending: float = 0.0  # units of calls that are not answered yet
    unreported: float = 0.0  # units to be added or taken off with the next call
    last_units: float = 0.0  # of the last request
    usage_ratio: float = 1.0  # use at all gateways relative to the quota, by the last total
    counted_at: float = api.LONG_AGO  # when that total came
    in_flight: InFlight = field(default_factory=InFlight)
    local_usage: float = 1.0  # recent units here, and at the other gateways, by the totals seen
    remote_usage: float = 0.0
    first_gateway: int = 0  # of the customer's set
    peer_reported: float = 0.0  # units that peers report as forwarded in this window, where gateways talk
    peers_received_at: float = api.LONG_AGO  # when the counts of all peers were last known to be received
    previous_charged: float = 0.0  # what has been charged here of the peers' units in the window before
    concurrency_budget: str = ""  # budget that bounds its attempts in flight; empty: estimated

    def refill(self, now: float) -> None:
        """Bring buckets and window up to `now`."""
        plan = self.plan
        elapsed_ms = now - self.updated_at
        self.updated_at = now
        share = ISOLATED_SHARE * self.local_usage / (self.local_usage + self.remote_usage)
        self.tokens = min(plan.burst, self.tokens + plan.rate * elapsed_ms)
        local_tokens = self.local_tokens + plan.rate * share * elapsed_ms
        self.local_tokens = min(self._local_capacity(share), local_tokens)
        self.ceiling.refill(elapsed_ms)
        phase = self.customer * PHASE_MULTIPLIER % PHASE_RANGE / PHASE_RANGE
        position = now / self.windows.length + phase
        self.window_left = (1.0 - position % 1.0) * self.windows.length
        if int(position) != self.window:
            self._start_window(int(position))

    def _local_capacity(self, share: float) -> float:
        burst = self.plan.burst
        if self.windows.flat:
            return min(burst, max(burst * share, self.last_units))  # one request for each gateway at least
        # Few gateways: what is left of a burst here varies by more than its share, as sums of few do.
        return min(burst, max(burst * math.sqrt(share), self.largest_units))

    def _start_window(self, number: int) -> None:
        follows = number == self.window + 1
        self.ceiling.start_window(self.total, follows)
        self.previous_charged = self.total - self.confirmed if follows else math.inf
        self.window = number
        self.total = self.unreported = self.confirmed = self.peer_reported = 0.0
        if self.windows.flat:
            # None of many gateways may hold the end of the last window against the new one, whose count is
            # empty.
            self.tokens = self.windows.limit(number, self.last_overspent)

    def record_total(self, now: float, amount: float, total: float) -> None:
        """Charge what the others have added since the last total; `total` includes the own `amount`."""
        if (
            self.peer_reported > 0.0
        ):  # a counter that has lost counts, or serves a part of the gateways, has less
            total = max(total, self.confirmed + amount + self.peer_reported)
        others = total - self.total - amount
        self.confirmed += amount
        # Counts were lost where a total leaves out what was confirmed, or falls by more than a request.
        lost = total < self.confirmed - ROUNDING_UNITS or others < -self.largest_units
        self.confirmed = min(self.confirmed, total)
        self.ceiling.charge_others(others, not lost and now - self.counted_at <= MAX_READ_AGE_MS)
        if others >= 0.0 and amount > 0.0:
            self.local_usage = USAGE_DECAY * self.local_usage + amount
            self.remote_usage = USAGE_DECAY * self.remote_usage + others
        self._charge_total(now, total - amount, 0.0 if lost else others)
        self._update_usage_ratio(amount, total)
        self.total = total
        self.counted_at = now
        if total > self.windows.depth:
            self.last_overspent = self.window

    def _charge_total(self, now: float, others_in_window: float, others_since: float) -> None:
        """Charge the bucket with the others' units: all of the window, or those since the last total.

        Counts that were lost give no units since: what is known here stands.
        """
        plan, windows = self.plan, self.windows
        last_news_at = max(self.counted_at, self.peers_received_at)
        others = others_since
        if windows.flat or now - last_news_at > plan.burst / plan.rate:
            # Not seen for as long as a bucket takes to fill: the window's count decides. Its limit is a burst
            # and, in a window of several, what the rate gives to a customer that always exceeds it.
            others = others_in_window
            self.tokens = windows.limit(self.window, self.last_overspent)
            self.tokens += windows.growth * (windows.length - self.window_left)
        self.tokens = max(0.0, min(plan.burst, self.tokens - others))

    def _update_usage_ratio(self, amount: float, total: float) -> None:
        noise = 2 * max(0.0, amount)  # one other call with as much weight as this one proves nothing
        self.usage_ratio = (total - amount) / (self.plan.rate * self.windows.length + noise)

    def record_peer_usage(self, units: float, previous_units: float) -> None:
        """Charge what peers report to have forwarded beyond what totals have shown.

        `units` are of this window, and `previous_units` of the one before, some of which is reported after
        its end. The bucket may fall below zero: what was reported late was forwarded all the same, and is
        owed.
        """
        self.peer_reported = units
        unseen = units - (self.total - self.confirmed)
        late = previous_units - self.previous_charged
        if unseen > ROUNDING_UNITS:
            self._charge_peers(unseen)
            self.total += unseen
        if late > ROUNDING_UNITS:
            self._charge_peers(late)
            self.previous_charged = previous_units

    def _charge_peers(self, units: float) -> None:
        self.tokens = max(-self.plan.burst, self.tokens - units)
        self.ceiling.headroom -= units

    def available(self, counted: bool) -> float:
        """Return what quota and ceiling leave; after a total (`counted`) with what others leave unused."""
        counted = counted and not self.windows.flat  # there totals are estimates
        return min(self.tokens, self.ceiling.available(counted))

    def must_read_previous(self, units: float) -> bool:
        """Tell whether the window before has to be read to admit `units`."""
        return not self.windows.flat and self.ceiling.must_read_previous(units)

    def available_locally(self) -> float:
        """Return what may be forwarded without an answer of the counter."""
        return min(self.local_tokens, self.available(False))

    def recent_usage_ratio(self, now: float) -> float:
        """Return the use of all gateways relative to the quota, 0 where it has not been seen of late."""
        return self.usage_ratio if now - self.counted_at < USAGE_RATIO_TTL_MS else 0.0

    def spend(self, units: float, counted: bool) -> None:
        """Take forwarded units from all that bounds them."""
        self.ceiling.spend(units, counted)
        self.tokens = max(0.0, self.tokens - units)
        self.local_tokens = max(0.0, self.local_tokens - units)

    def at_concurrency_cap(self, now: float) -> bool:
        """Tell whether as many attempts are in flight, at all gateways, as the plan allows."""
        if self.plan.max_in_flight <= 0:
            return False
        remote_ratio = self.remote_usage / self.local_usage if self.plan.rate > 0 else None
        return self.in_flight.at_cap(now, self.plan.max_in_flight, self.spread, remote_ratio)


def new_quota(
    request: api.Request, settings: api.Settings, now: float, concurrency_budget: str = ""
) -> CustomerQuota:
    """Return the quota of a customer that is not known, as of its first request."""
    plan = settings.plans[request.plan_index]
    spread = max(1, min(request.spread, settings.gateways))
    return CustomerQuota(
        customer=request.customer,
        plan=plan,
        spread=spread,
        windows=counting_window(plan, spread, settings.largest_units),
        updated_at=now,
        tokens=plan.burst,
        local_tokens=plan.burst,
        ceiling=initial_share(plan, spread),
        largest_units=settings.largest_units,
        remote_usage=spread - 1.0,
        first_gateway=request.first_gateway,
        concurrency_budget=concurrency_budget,
    )
