"""Which servers one of many gateways uses: an even part of a ring of all of them (a deterministic aperture).

Where all gateways use all servers, each has a connection to each and receives few answers of any one. With a
deterministic aperture, as in Finagle's load balancer, each uses the subset of servers next to its own place
on the ring. No I/O, no clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
GATEWAYS_PER_SERVER = 5  # whose subsets a server is in: with fewer, it would feel each one that is killed
MIN_SUBSET = 8  # servers, so that a few that fail leave enough


def subset(ring: Sequence[T], gateway: int, gateways: int) -> list[T]:
    """Return the subset of the gateway with number `gateway` of `gateways`, or all where they are few.

    Subsets lie evenly, so every server is in as many of them as any other, give or take one. A server that
    comes or goes moves the edges of subsets by one place at most.
    """
    count, gateways = len(ring), max(1, gateways)
    width = min(count, max(MIN_SUBSET, math.ceil(GATEWAYS_PER_SERVER * count / gateways)))
    start = gateway * count // gateways
    return [ring[(start + step) % count] for step in range(width)]
