"""The settings of connections to servers, and the limits that follow from them. No I/O."""

from __future__ import annotations

import msgspec

WAIT_SHARE = 0.8  # of the drain's grace that a request may wait for a connection at most
RESERVED_DESCRIPTORS = 24  # for counter, discovery, listeners, log and the event loop
CLIENT_HEADROOM = 16  # descriptors kept free for clients that connect before the next look at the limits
MIN_SERVER_SHARE = 6  # a sixth of the descriptors is for servers at least: clients alone are of no use


class ConnectionLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What `deploy/connections.toml` sets; every key may be left out."""

    most_per_server: int = 128  # connections to one ticket server
    most: int = 0  # to all; 0: what the descriptors leave after clients and the rest
    wait_ms: float = 200.0  # for a connection, after which the module is told that none came up
    dials_at_once: int = 64
    dials_at_once_per_server: int = 16
    dials_per_s: float = 400.0
    dials_per_s_per_server: float = 100.0
    pause_first_ms: float = 50.0  # after a failed dial; doubles with each further one, and is jittered
    pause_most_ms: float = 2000.0
    ahead_most: int = 2  # connections opened ahead of need, per server
    age_most_s: float = 300.0
    uses_most: int = 100_000  # requests on one connection
    jitter: float = 0.2  # share by which age and uses are cut by chance, so that few end together
    idle_share: float = 0.6  # of the servers' idle close, after which an idle connection is retired
    once_risk: float = 0.006  # most chance of a loss for what must not run twice; else it is dialled for
    repeat_risk: float = 0.12  # the same for what may run again

    def faults(self) -> str:
        """Name the first key whose value makes no sense, or nothing."""
        for key in ("most_per_server", "dials_at_once", "dials_at_once_per_server", "uses_most"):
            if getattr(self, key) < 1:
                return f"{key} must be 1 or more"
        for key in ("wait_ms", "dials_per_s", "dials_per_s_per_server", "pause_first_ms", "age_most_s"):
            if not 0 < getattr(self, key) < 1e9:
                return f"{key} must be above 0"
        if self.most < 0 or self.ahead_most < 0:
            return "most and ahead_most must be 0 or more"
        if not self.pause_first_ms <= self.pause_most_ms < 1e9:
            return "pause_most_ms must be pause_first_ms or more"
        for key in ("jitter", "idle_share", "once_risk", "repeat_risk"):
            if not 0 <= getattr(self, key) <= 1:
                return f"{key} must lie between 0 and 1"
        return ""


def limit_wait_to_grace(limits: ConnectionLimits, grace_ms: float) -> ConnectionLimits:
    """Cut the wait for a connection to a part of the time that a drain may go unheeded.

    A request that waits for a dial may have its server told to drain meanwhile; its first byte then counts
    from that telling. A grace of 0 sets no bound.
    """
    longest = WAIT_SHARE * grace_ms if grace_ms > 0 else limits.wait_ms
    return msgspec.structs.replace(limits, wait_ms=min(limits.wait_ms, longest))


def max_server_connections(limits: ConnectionLimits, descriptors: int, clients: int) -> int:
    """Return how many connections to servers there may be, by the descriptors that clients leave."""
    left = max(descriptors - RESERVED_DESCRIPTORS - clients, descriptors // MIN_SERVER_SHARE)
    return min(limits.most, left) if limits.most else left
