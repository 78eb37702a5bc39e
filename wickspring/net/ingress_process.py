"""The present ingress process, as its admin API and the other process of a hot restart see it."""

from __future__ import annotations

import logging
import os
import socket
from functools import partial
from pathlib import Path

from wickspring import interface as api
from wickspring.core import succession
from wickspring.core.succession import VERSION, State, Welcome
from wickspring.logs import kv
from wickspring.net import http1_front, maintenance_store
from wickspring.net.front_listener import FrontListener
from wickspring.net.handover import Predecessor, Successor
from wickspring.net.link import Link
from wickspring.net.listening import start_serving
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)


class IngressProcess:
    """Carries out what operators and the other process ask for."""

    def __init__(self, runtime: Runtime, path: Path | None) -> None:
        self.runtime = runtime
        self.path = path  # of the socket of hot restarts; None where there is none
        self.fronts: list[FrontListener] = []
        self.predecessor: Predecessor | None = None  # this process's side towards the one that follows it
        self.successor: Successor | None = None  # and towards the one before

    # For the admin API.

    @property
    def serving(self) -> bool:
        """Whether this process serves now."""
        return self.runtime.ready and not self.runtime.draining

    def exclude(self, server: api.ServerId) -> bool:
        """Take a server out, here and at the other process; False where nobody has such an id."""
        known = self.runtime.exclude(server)
        if known:
            self._announce(server, None)
        return known

    def include(self, server: api.ServerId) -> bool:
        """Put a server back, here and at the other process; False where nobody has such an id."""
        included_at = self.runtime.clock.now()
        known = self.runtime.include(server, included_at)
        if known:
            self._announce(server, included_at)
        return known

    def _announce(self, server: api.ServerId, included_at: float | None) -> None:
        self._save_maintenance()
        for side in (self.predecessor, self.successor):
            if side is not None:
                self.runtime.nursery.start_soon(side.announce_maintenance, server, included_at)

    def _save_maintenance(self) -> None:
        if self.path is not None:
            maintenance_store.save(self.path, self.runtime.maintenance)

    def restore_maintenance(self) -> None:
        """Take out the servers that were out, by the process before this one or by what it left in a file."""
        welcome = self.successor.welcome if self.successor is not None else None
        if welcome is not None:
            out, back = welcome.excluded, welcome.included_at
        elif self.path is not None:
            out, back = maintenance_store.load(self.path)
        else:
            return
        for change in self.runtime.maintenance.take_over(out, back):
            self.runtime.dispatch(change)
        if out:
            log.info("maintenance_kept", extra=kv(out=" ".join(s.decode("utf-8", "replace") for s in out)))

    # For the other process.

    def welcome(self) -> tuple[Welcome, list[int]]:
        """Return the first answer to a successor, and the descriptors of the listening sockets."""
        maintenance = self.runtime.maintenance
        message = Welcome(VERSION, list(maintenance.excluded), dict(maintenance.included_at))
        return message, [front.listener.fileno() for front in self.fronts]

    def pause(self, paused: bool) -> None:
        """Accept nothing from now on, or again."""
        self.runtime.handing_over = paused
        for front in self.fronts:
            if paused:
                front.pause()
            elif not self.runtime.draining:
                front.open()

    def export_state(self) -> list[State]:
        """Return the reducer's state in parts."""
        return list(succession.export_state(self.runtime.reducer))

    def import_state(self, state: State) -> None:
        """Take in a part of the old process's state."""
        succession.import_state(self.runtime.reducer, state)

    def releases_clients(self) -> bool:
        """Tell whether client connections are to go to the other process: from SIGTERM on."""
        return self.runtime.draining

    def release_client(self) -> tuple[socket.socket, bytes] | None:
        """Take a client connection with no request in progress out of this process."""
        for connection in self.runtime.connections:
            detached = connection.detach()
            if detached is not None:
                return detached
        return None

    def adopt_client(self, sock: socket.socket, ahead: bytes) -> None:
        """Serve a client connection that the other process has accepted."""
        link = Link(sock, self.runtime.nursery)
        start_serving(link, self.runtime, partial(http1_front.serve, read_ahead=ahead))

    def apply_maintenance(self, server: api.ServerId, included_at: float | None) -> None:
        """Apply a server's removal (None) or return, made at the other process's admin API."""
        if included_at is None:
            self.runtime.exclude(server)
        else:
            self.runtime.include(server, included_at)
        self._save_maintenance()

    def on_peer_descriptors(self, descriptors: int) -> None:
        """Record how many descriptors the other process holds: 0 once it has ended."""
        self.runtime.peer_descriptors = descriptors
        peers = self.runtime.peers
        if (
            peers is not None
            and descriptors == 0
            and peers.shares.waits_for_predecessor
            and not self.runtime.draining
        ):
            peers.shares.take_over(self.runtime.clock.now())

    def open_descriptors(self) -> int:
        """Return how many descriptors this process holds."""
        return len(os.listdir("/proc/self/fd"))
