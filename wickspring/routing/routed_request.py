"""The routing of a request: where it was sent, and where it may be sent again. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from wickspring import interface as api
from wickspring.interface import Effect, Group
from wickspring.routing.server_table import Server

DEADLINE_MARGIN_MS = 20.0  # before a deadline, at which the final answer is given; several ticks of any host


@dataclass(slots=True)
class RoutedRequest:
    """A request and its attempts so far; times in ms."""

    request: api.Request
    request_class: api.ClassSettings
    attempted: list[api.ServerId] = field(default_factory=list)  # servers of all attempts
    may_have_run_on: Server | None = None  # server of the first attempt that may have run or is in flight
    may_have_run_at: float = 0.0

    def may_repeat_on(self, entry: api.ServerEntry, now: float) -> bool:
        """Tell whether it may be sent to a server, given where it may have run already.

        A keyed request may run again only at a server of the group that drops its repeats, and only for a
        while.
        """
        first, kind = self.may_have_run_on, self.request_class
        if first is None or kind.effect is Effect.SAFE:
            return True
        repeat_until = self.may_have_run_at + kind.repeat_window - DEADLINE_MARGIN_MS
        if kind.effect is Effect.UNSAFE or now > repeat_until:
            return False
        if kind.group is Group.ZONE:
            return first.entry.zone == entry.zone
        return kind.group is Group.ALL or first.entry.cell == entry.cell

    def may_refuse(self) -> bool:
        """Tell whether a refusal, which says that asking again is harmless, would be true."""
        kind = self.request_class
        if self.may_have_run_on is None or kind.effect is Effect.SAFE:
            return True
        return kind.effect is Effect.KEYED and kind.group is Group.ALL
