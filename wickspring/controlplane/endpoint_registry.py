"""Which servers there are, by their beats, as one core machine has heard them. No I/O; times are ms.

Beats go to one core machine each; what is new in them is told to the other machines and to the pilots. A beat
that says the same as the last is told to nobody but the core, and there only that it came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from wickspring.common.endpoints import GONE, READY, Endpoint

SILENT_BEATS = 2.7  # beats after which a server that has not called is taken for lost
FORGET_MS = 60_000.0  # after which a lost or gone one is forgotten; its id does not come back
COLD_STEP_MS = 400.0  # by which the end of being slow must move to be news


class EndpointRegistry:
    """The servers."""

    def __init__(self, beat_ms: float) -> None:
        self.beat_ms = beat_ms
        self.servers: dict[str, Endpoint] = {}
        self.heard_at: dict[str, float] = {}
        self.lost: set[str] = set()  # silent for too long
        self.leaving: dict[str, int] = {}  # as the chain holds them; the last word

    def _state(self, server: Endpoint) -> Endpoint:
        state = max(server.state, self.leaving.get(server.id, READY))
        return server if state == server.state else replace(server, state=state)

    def beat(self, now: float, told: Endpoint) -> Endpoint | None:
        """Take a beat, or news of one; return the server where that is news for pilots."""
        known = self.servers.get(told.id)
        told = self._state(told)
        if known is not None:
            if told.seq < known.seq:
                return None  # a late call
            told = replace(told, state=max(told.state, known.state))
        if told.state != GONE:
            self.heard_at[told.id] = now
        back = told.id in self.lost
        self.lost.discard(told.id)
        self.servers[told.id] = told
        if known is None or back:
            return told
        moved = abs(told.cold_until - known.cold_until) > COLD_STEP_MS and told.cold_until > now
        same = replace(told, seq=known.seq, cold_until=known.cold_until) == known
        return None if same and not moved else told

    def alive(self, now: float, told: Iterable[tuple[str, int]]) -> list[Endpoint]:
        """Note that beats have come to another core machine; return the servers that are back by them."""
        back = []
        for server, seq in told:
            known = self.servers.get(server)
            if known is not None and seq >= known.seq:
                self.heard_at[server] = now
                if server in self.lost:
                    self.lost.discard(server)
                    back.append(known)
        return back

    def leave(self, leaving: dict[str, int]) -> list[Endpoint]:
        """Take in who leaves, by the chain; return the servers for which that is news."""
        self.leaving.update(leaving)
        news = []
        for id_, state in leaving.items():
            known = self.servers.get(id_)
            if known is not None and known.state < state:
                self.servers[id_] = replace(known, state=state)
                news.append(self.servers[id_])
        return news

    def sweep(self, now: float) -> list[str]:
        """Return the servers that have just been taken for lost, and forget old ones."""
        news = []
        for id_, heard in list(self.heard_at.items()):
            if now - heard > SILENT_BEATS * self.beat_ms and id_ not in self.lost:
                self.lost.add(id_)
                news.append(id_)
            elif now - heard > FORGET_MS:
                del self.heard_at[id_]
                self.servers.pop(id_, None)
                self.lost.discard(id_)
        return news

    def whole(self) -> list[Endpoint]:
        """Return all servers that are not taken for lost."""
        return [one for one in self.servers.values() if one.id not in self.lost]
