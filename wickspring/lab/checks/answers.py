"""Rules of answers: one in time for every request, with a body that a ticket server sent for it."""

from __future__ import annotations

from collections.abc import Iterator

from wickspring.lab.checks.observed_run import ObservedRun
from wickspring.lab.reports.record import STATUS_SERVED, ClientRequest, Record
from wickspring.lab.traffic.schedule import SLACK_MS


def find_lost(run: ObservedRun) -> Iterator[str]:
    """Yield the requests that were sent and have no answer: call id, and the times of both ends.

    A connection that has not ended is one whose client has given up waiting.
    """
    for request in _accepted(run.record):
        if not request.answers:
            ended = f"ended at {request.broken_at:.0f}" if request.broken_at >= 0 else "did not end"
            call_id, ingress = request.scheduled.call_id, request.ingress
            yield f"{call_id} (sent to {ingress} at {request.sent_at:.0f} ms, its connection {ended})"


def find_doubled(run: ObservedRun) -> Iterator[str]:
    """Yield the call ids of requests with more than one answer."""
    for request in _accepted(run.record):
        if len(request.answers) > 1:
            yield request.scheduled.call_id


def find_late(run: ObservedRun) -> Iterator[str]:
    """Yield the call ids of requests answered after their deadline.

    One whose ingress was stopped meanwhile may be late.
    """
    for request in _accepted(run.record):
        if not request.answers:
            continue
        scheduled = request.scheduled
        at = request.answers[0].at
        time_limit_ms = scheduled.budget_ms + SLACK_MS
        is_late = at > scheduled.at_ms + time_limit_ms and at > request.sent_at + time_limit_ms
        if is_late and not run.record.was_interrupted(request.ingress, request.sent_at, at):
            yield scheduled.call_id


def find_foreign(run: ObservedRun) -> Iterator[str]:
    """Yield the call ids of requests served with a body that no server sent for them."""
    for request in _accepted(run.record):
        if not request.answers:
            continue
        call_id = request.scheduled.call_id
        answer = request.answers[0]
        if answer.status == STATUS_SERVED and answer.body not in run.record.served_bodies.get(call_id, ()):
            yield call_id


def _accepted(record: Record) -> Iterator[ClientRequest]:
    """Yield the requests that need an answer: sent, and not lost with their ingress."""
    for request in record.requests:
        if request.sent_at < 0:
            continue
        if not request.answers and record.was_interrupted(
            request.ingress, request.sent_at, request.broken_at
        ):
            continue
        yield request
