"""The rule of drains: a draining server gets no new requests once its grace is over."""

from __future__ import annotations

from collections.abc import Iterator

from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.reports.record import Arrival, Record
from wickspring.lab.traffic.schedule import SLACK_MS


def find_after_drain(run: ObservedRun) -> Iterator[str]:
    """Yield server and call id of requests that arrived after the grace of a drain."""
    grace_ms = run.scenario.shape.drain_grace_ms + SLACK_MS
    for arrival, delay_ms in _arrivals_after_drain(run.record):
        if delay_ms > grace_ms:
            yield f"{arrival.server} {arrival.call_id}"


def longest_drain_ms(record: Record) -> float:
    """Return the longest time from a server's drain to a request that still arrived at it."""
    return max((delay_ms for _, delay_ms in _arrivals_after_drain(record)), default=0.0)


def _arrivals_after_drain(record: Record) -> Iterator[tuple[Arrival, float]]:
    """Yield what arrived at servers after their drain, and how long after (ms)."""
    draining_since = _draining_since(record)
    for arrival in record.arrivals:
        since = draining_since.get(arrival.server)
        if since is not None and arrival.first_byte_at > since:
            yield arrival, arrival.first_byte_at - since


def _draining_since(record: Record) -> dict[str, float]:
    """Return the servers that drain, and when the last ingress learnt of it.

    An ingress that learnt earlier has to stop earlier; this is not checked.
    """
    since: dict[str, float] = {}
    for announcement in sorted(record.announcements, key=lambda announcement: announcement.at):
        server = announcement.server
        if announcement.state == "up":
            since.pop(server, None)
        else:
            since[server] = max(since.get(server, announcement.at), announcement.at)
    return since
