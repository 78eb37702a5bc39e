"""The rules that a soak is judged by."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

import msgspec

from wickspring.common.config_version import is_newer
from wickspring.common.quota_rule import quota_ceiling
from wickspring.lab.emulation.stand_in_server import Execution
from wickspring.lab.experiments.drill import QUOTA_EXCESS, QUOTA_SLACK, QUOTA_SPAN_S, REFUSAL_STATUSES
from wickspring.lab.experiments.soak.observations import NO_ANSWER, Observations, SoakRequest, Trouble

GONE_AFTER_S = 0.5  # after a client has left, by which work for it has ended
MAX_GONE = 3  # runs that may go on; a pause of the lab's own is no fault of the gateway
REQUEST_TIMEOUT = 408
LOSS_SLACK_S = 1.0  # after the last byte of a request that was not executed, in which its connection may end
TROUBLE_BEFORE_S = 0.5  # that a request may have been sent before a trouble that ends its connection
TROUBLE_AFTER_S = 1.5  # after a process is back, in which its trouble may still end connections


class SoakViolations(msgspec.Struct, kw_only=True):
    """How often each rule was broken."""

    executed_twice: int = 0  # effectful requests
    executed_after_refusal: int = 0  # requests that were answered by 429 or 503
    foreign_answers: int = 0  # successes with a body that no server sent for the request
    altered_fields: int = 0  # successes whose echoed field is not the one that was sent
    over_quota: int = 0  # requests above the tenant's ceiling in the worst span
    went_on: int = 0  # runs of repeatable requests that went on after their clients had left
    lost: int = 0  # executed or waited for in vain, though their data plane was in no trouble
    cut_short: int = 0  # requests that were given no more time (408), though their clients sent on in time
    config_lost: int = 0  # the configuration read back is older than what was acknowledged
    own_ends: int = 0  # processes that ended by themselves
    not_ready: int = 0  # data planes that did not come back

    @property
    def total(self) -> int:
        """Return how often any rule was broken."""
        return sum(msgspec.structs.astuple(self))


def check_soak(seen: Observations, rate: float) -> SoakViolations:
    """Return what was broken; `rate` is the tenant's requests a second, and its burst."""
    executions = executions_by_request(seen)
    requests = seen.requests
    gone = sum(_went_on(request, executions[request.id], seen.troubles) for request in requests)
    return SoakViolations(
        executed_twice=sum(request.effectful and len(executions[request.id]) > 1 for request in requests),
        executed_after_refusal=sum(
            request.status in REFUSAL_STATUSES and bool(executions[request.id]) for request in requests
        ),
        foreign_answers=sum(
            request.status == 200 and not request.body.startswith(f"{request.id} by ".encode())
            for request in requests
        ),
        altered_fields=sum(
            request.status == 200 and request.echoed_user != request.user for request in requests
        ),
        over_quota=_over_quota(requests, executions, rate),
        went_on=gone if gone > MAX_GONE else 0,
        lost=len(lost_requests(seen)),
        cut_short=sum(request.status == REQUEST_TIMEOUT and not request.timed_out for request in requests),
        config_lost=int(is_newer(seen.acknowledged_version, seen.read_back_version)),
        own_ends=len(seen.own_ends),
        not_ready=len(seen.not_ready),
    )


def _over_quota(requests: list[SoakRequest], executions: dict[str, list[Execution]], rate: float) -> int:
    """Return by how many requests the fullest span passes the ceiling: both sent and begun within it."""
    run = sorted(
        (request.sent_at, min(execution.begins_at for execution in executions[request.id]))
        for request in requests
        if executions[request.id]
    )
    sent_at = [sent for sent, _ in run]
    most = 0
    for first, start in enumerate(sent_at):
        end = start + QUOTA_SPAN_S
        last = bisect_left(sent_at, end)
        most = max(most, sum(begins_at <= end for _, begins_at in run[first:last]))
    return max(0, int(most - quota_ceiling(rate, rate, QUOTA_SPAN_S, QUOTA_EXCESS, QUOTA_SLACK)))


def _went_on(request: SoakRequest, executions: list[Execution], troubles: list[Trouble]) -> bool:
    """Tell whether a repeatable request was still being run some time after its client had left.

    A data plane that is paused learns of it once it goes on.
    """
    if request.left_at is None or request.effectful:
        return False
    noticed_at = request.left_at
    for trouble in troubles:
        if trouble.process == request.data_plane and trouble.begins_at <= noticed_at + GONE_AFTER_S:
            noticed_at = max(noticed_at, trouble.ends_at)
    latest = noticed_at + GONE_AFTER_S
    return any(execution.ends_at is None or execution.ends_at > latest for execution in executions)


def lost_requests(seen: Observations) -> list[SoakRequest]:
    """Return the requests that have no answer, though nothing was wrong with their data planes."""
    executions = executions_by_request(seen)
    return [request for request in seen.requests if _is_lost(request, executions[request.id], seen)]


def executions_by_request(seen: Observations) -> dict[str, list[Execution]]:
    """Return the executions of each request by its id; none for an id without any."""
    executions: dict[str, list[Execution]] = defaultdict(list)
    for execution in seen.executions:
        executions[execution.request_id].append(execution)
    return executions


def _is_lost(request: SoakRequest, executions: list[Execution], seen: Observations) -> bool:
    """Tell whether a request has no answer, though nothing was wrong with its data plane.

    One that was not executed counts only where its client has waited in vain, or some time after it had been
    sent whole: a connection that ends at once promises nothing, and such a request may be sent again.
    """
    if request.status != NO_ANSWER or request.left_at is not None:
        return False
    sent_at = request.fully_sent_at
    waited = request.timed_out or (sent_at is not None and request.ended_at - sent_at > LOSS_SLACK_S)
    if not (executions or waited):
        return False
    return not any(
        trouble.process == request.data_plane
        and trouble.begins_at <= request.ended_at + TROUBLE_BEFORE_S
        and trouble.ends_at >= request.sent_at - TROUBLE_AFTER_S
        for trouble in seen.troubles
    )
