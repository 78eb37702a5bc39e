"""Requests whose connection ends without a complete response: counted by reason, and logged one by one."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from wickspring.logs import kv
from wickspring.net.clock import Clock

log = logging.getLogger(__name__)


class EndReason(Enum):
    """Why a client connection, or one of its requests, has ended. The values stand in logs and metrics."""

    CLIENT_CLOSED = "client_closed"
    CLIENT_RESET = "client_reset"  # the connection broke, or the client reset the request's stream
    CLIENT_NOT_READING = "client_not_reading"  # it has let too much, or for too long, wait to be read
    CLIENT_ERROR = "client_error"  # it broke the protocol, or sends more than there is room for
    UPLOAD_STALLED = "upload_stalled"
    TRUNCATED = "truncated"  # the server has not sent the whole of a response that had begun
    IDLE = "idle"  # closed here, after a time without a request
    FOR_ROOM = "for_room"  # closed here, for new clients
    DISCARDED = "discarded"  # read after the last response, on a connection that is being closed
    DRAINED = "drained"  # closed here, since the process ends
    PROCESS_ENDED = "process_ended"  # the process has ended meanwhile
    INTERNAL_ERROR = "internal_error"


@dataclass(slots=True, frozen=True)
class UnansweredRequest:
    """One request without a complete response. Times are milliseconds of the process's clock."""

    reason: EndReason
    read_at: float  # when the whole of it had been read
    number: int | None = None  # None where its response has been given, but has not left whole
    unsent_bytes: int = 0  # of its response, that the kernel has not taken
    unread_ms: float = 0.0  # that it lay in the kernel before it was read


class UnansweredRequests:
    """Counts and logs the requests of one process that end unanswered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.counts: Counter[EndReason] = Counter()

    def record(
        self, request: UnansweredRequest, drain_began_at: float | None, about: Mapping[str, object]
    ) -> None:
        """Count and log one; `about` is what the process knows of the request."""
        self.counts[request.reason] += 1
        now = self._clock.now()
        values: dict[str, object] = {"reason": request.reason.value, "age_ms": now - request.read_at}
        if request.unread_ms:
            values["unread_ms"] = request.unread_ms
        if request.unsent_bytes:
            values["unsent_bytes"] = request.unsent_bytes
        if drain_began_at is not None:
            values["read_after_drain_ms"] = request.read_at - drain_began_at
        log.info("request_unanswered", extra=kv(**values, **about))

    def figures(self) -> dict[str, int]:
        """Return the counts, by the names that they have in logs and metrics."""
        return {f"unanswered[{reason.value}]": count for reason, count in self.counts.items()}
