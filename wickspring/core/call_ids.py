"""The ids that clients give their requests, and which of them must not run again. No I/O, no clock.

Servers know requests by these ids, so two requests under one id must never reach them.
"""

from __future__ import annotations


class CallIds:
    """The ids under way here and at the process before this one, and those that must not be repeated."""

    def __init__(self) -> None:
        self.open: dict[str, int] = {}  # of pending requests, with the request's number
        self.unrepeatable: dict[
            str, float
        ] = {}  # of requests that may have run and must not again, until when
        self._open_at_predecessor: dict[str, float] = {}  # until when, ms

    def is_open(self, call_id: str, now: float) -> bool:
        """Tell whether a request with this id is under way, here or at the process before this one."""
        return call_id in self.open or self._open_at_predecessor.get(call_id, 0.0) > now

    def add(self, call_id: str, request: int) -> None:
        """Record a request; without an id there is nothing to record."""
        if call_id:
            self.open[call_id] = request

    def remove(self, call_id: str, request: int) -> None:
        """Forget a request; another one with the same id stays."""
        if self.open.get(call_id) == request:
            del self.open[call_id]

    def forbid_repeat(self, call_id: str, until: float) -> None:
        """Record that a request may run now and must not run again before `until`, ms."""
        if call_id:
            self.unrepeatable[call_id] = until

    def expire(self, now: float) -> None:
        """Forget what is over; ids are about in order of time."""
        while self.unrepeatable and next(iter(self.unrepeatable.values())) < now:
            del self.unrepeatable[next(iter(self.unrepeatable))]
        if self._open_at_predecessor and max(self._open_at_predecessor.values()) < now:
            self._open_at_predecessor.clear()

    def take_over(self, open_ids: dict[str, float], unrepeatable: dict[str, float]) -> None:
        """Take in the ids of the process before this one, which answers those under way itself."""
        self._open_at_predecessor.update(open_ids)
        for call_id, until in unrepeatable.items():
            self.unrepeatable[call_id] = max(until, self.unrepeatable.get(call_id, 0.0))
