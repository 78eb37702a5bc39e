"""Servers that operators have excluded for maintenance, laid over the list of discovery. No I/O, no clock.

To the reducer an excluded server is one that drains. It stays so whatever discovery lists meanwhile, until
it is included again. Operators restart it in between, which discovery may report late or never; so it comes
back as one that has just started, and what was known of it before is forgotten.
"""

from __future__ import annotations

from dataclasses import replace

from wickspring.interface import ListKind, Readiness, ServerEntry, ServerId, ServerList

MAX_REMOVED = 1024  # ids kept that discovery has removed: a server that restarts may be one of them


class Maintenance:
    """The set of excluded servers, and when others were included again."""

    def __init__(self) -> None:
        self.excluded: dict[ServerId, None] = {}  # a set that keeps the order of insertion
        self.included_at: dict[ServerId, float] = {}  # Unix ms, of those still listed
        self._listed: dict[ServerId, ServerEntry] = {}  # as discovery lists them
        self._removed: dict[ServerId, None] = {}  # by discovery, the latest ones

    def knows(self, server: ServerId) -> bool:
        """Tell whether there is such a server: listed, removed lately, or excluded."""
        return server in self._listed or server in self.excluded or server in self._removed

    def apply(self, event: ServerList) -> ServerList:
        """Take in a list of discovery, and return it as the reducer is to see it."""
        if event.kind in (ListKind.CACHED, ListKind.COMPLETE):
            listed = {entry.server for entry in event.entries}
            for server in [server for server in self._listed if server not in listed]:
                self._remove(server)
        for entry in event.entries:
            if entry.readiness is Readiness.GONE:
                self._remove(entry.server)
            else:
                self._listed[entry.server] = entry
                self._removed.pop(entry.server, None)
        return ServerList(event.kind, tuple(map(self._overlay, event.entries)))

    def _remove(self, server: ServerId) -> None:
        if self._listed.pop(server, None) is not None:
            self.included_at.pop(server, None)
            self._removed[server] = None
            while len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]

    def _overlay(self, entry: ServerEntry) -> ServerEntry:
        if entry.server in self.excluded and entry.readiness is Readiness.READY:
            entry = replace(entry, readiness=Readiness.DRAINING)
        included_at = self.included_at.get(entry.server, 0.0)
        return replace(entry, started_at=included_at) if included_at > entry.started_at else entry

    def exclude(self, server: ServerId) -> list[ServerList]:
        """Exclude a server; return the changes for the reducer, none if it is excluded already."""
        if server in self.excluded:
            return []
        self.excluded[server] = None
        entry = self._listed.get(server)
        return [] if entry is None else [ServerList(ListKind.CHANGES, (self._overlay(entry),))]

    def include(self, server: ServerId, now: float) -> list[ServerList]:
        """Include a server again, as started at `now`; nothing changes for one that is not excluded."""
        if server not in self.excluded:
            return []
        del self.excluded[server]
        self.included_at[server] = now
        entry = self._listed.get(server)
        if entry is None:
            return []  # not listed at present: it warms up when it comes
        gone = replace(entry, readiness=Readiness.GONE)
        return [ServerList(ListKind.CHANGES, (change,)) for change in (gone, self._overlay(entry))]

    def take_over(self, excluded: list[ServerId], included_at: dict[ServerId, float]) -> list[ServerList]:
        """Take over what the process before this one knew; return the changes for the reducer."""
        changes = [change for server in excluded for change in self.exclude(server)]
        self.included_at.update(included_at)
        again = [self._overlay(entry) for entry in self._listed.values() if entry.server in included_at]
        return [*changes, ServerList(ListKind.CHANGES, tuple(again))] if again else changes
