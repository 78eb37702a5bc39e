"""Windows of the quota counter: how long one is for a customer, and how many units it admits.

Arithmetic on settings alone, without state: every gateway of a customer must derive the same windows, since
the number of a window is part of the counter's key.

Where a customer's requests come in through few gateways, a window is as long as several fillings of the token
bucket, and each gateway keeps the bucket by the totals that it sees. Through many, a gateway sees a customer
too rarely for that: the count of the window alone decides (a fixed-window limit, here a *flat* window). A
flat window as long as the bucket takes to fill refuses a customer who uses the bucket up late in one window
and early in the next, though the quota allows both. So it is shorter, and admits the full depth all the
same, but not for a customer whose last windows were overspent: that one gets what its rate refills, so its
use over many windows keeps to its quota.

A cap on concurrent attempts holds over all gateways too, none of which sees the attempts of the others. More
than the cap at once is beyond it whatever the bucket holds, so a flat window is no deeper than as many
requests of middle size.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wickspring import interface as api

MAX_FILLINGS = 4.0  # length of a window in burst/rate, at most
FILLINGS_PER_SPREAD = 8.0  # the same, divided by the gateways that a customer uses
FLAT_FILLINGS = 0.65  # the same at least, which is the length where a customer uses many gateways
OVERSPENT_WINDOWS = 3  # windows for which an overspent one limits those that follow
MIN_LENGTH_MS = 500.0
MAX_LENGTH_MS = 25_000.0  # two windows stay within the memory of the counter


class CountingWindow(NamedTuple):
    """What is the same for all windows of a customer."""

    length: float  # ms
    depth: float  # units that may come at once
    refill: float  # units that the rate gives in one length, at most the depth
    growth: float  # units a ms by which the limit of a long window grows, beyond one bucket
    flat: bool  # the count alone decides

    def limit(self, number: int, last_overspent: int) -> float:
        """Return what the count of window `number` may reach; `last_overspent` is the last overspent one."""
        limited = self.flat and number - last_overspent <= OVERSPENT_WINDOWS
        return self.refill if limited else self.depth


def counting_window(plan: api.PlanSettings, spread: int, largest_units: float) -> CountingWindow:
    """Return the windows of a customer of `plan` whose requests come in through `spread` gateways."""
    fillings = min(max(FLAT_FILLINGS, FILLINGS_PER_SPREAD / spread), MAX_FILLINGS)
    flat = fillings <= 1.0
    depth = plan.burst
    if flat and plan.max_in_flight > 0:
        middle_units = math.sqrt(
            max(1.0, largest_units)
        )  # geometric mean of one unit and the largest request
        depth = min(depth, plan.max_in_flight * middle_units)
    if plan.rate <= 0:
        return CountingWindow(MAX_LENGTH_MS, depth, depth, 0.0, flat)
    length = min(max(fillings * depth / plan.rate, MIN_LENGTH_MS), MAX_LENGTH_MS)
    beyond_one_bucket = max(0.0, length - plan.burst / plan.rate) / length
    refill = min(depth, plan.rate * length)
    return CountingWindow(length, depth, refill, plan.rate * beyond_one_bucket, flat)
