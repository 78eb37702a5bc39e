"""One ingress, from its listening socket to its end."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import trio

from wickspring import interface as api
from wickspring.config import ConfigError, Instance, parse_address
from wickspring.core import succession
from wickspring.core.succession import VERSION, State, Welcome
from wickspring.logs import kv
from wickspring.net import admin_api, handover, http1_front, maintenance_store
from wickspring.net.discovery import Directory, ListError
from wickspring.net.handover import Predecessor, Successor
from wickspring.net.link import Link
from wickspring.net.listening import Serve, accept, close_listener, listen, take_rest
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)

FIRST_LIST_S = 1.0  # for discovery's first word before clients are let in: what is known before may be old
FLOW_ON_S = 60.0  # for long bodies and answers to end in a drain; who cannot wait sends SIGKILL
ACCEPT_ON_S = 0.6  # after SIGTERM: new connections keep arriving for up to 0.4 s


def start_known(runtime: Runtime, directory: Directory) -> None:
    """Begin with the list that the configuration gives; it may be old."""
    try:
        runtime.listed(directory.apply(runtime.instance.known, api.ListKind.CACHED))
    except ListError as error:
        log.warning("known_list_bad", extra=kv(reason=error))


class Front:
    """One listening socket, and the task that accepts on it while it is open."""

    def __init__(self, listener: socket.socket, runtime: Runtime, serve: Serve[Runtime]) -> None:
        self.listener, self.runtime, self.serve = listener, runtime, serve
        self._scope: trio.CancelScope | None = None

    async def _run(self, scope: trio.CancelScope) -> None:
        with scope:
            await accept(self.listener, self.runtime, self.serve)

    def open(self) -> None:
        """Accept from now on."""
        if self._scope is None:
            self._scope = trio.CancelScope()
            self.runtime.nursery.start_soon(self._run, self._scope)

    def pause(self) -> None:
        """Accept nothing more; what comes waits in the kernel's line."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None


async def drain(runtime: Runtime, fronts: list[Front]) -> None:
    """Take what still comes, finish all that has been taken, and end."""
    runtime.draining = True
    if runtime.peers is not None:
        runtime.nursery.start_soon(runtime.peers.leave, runtime.handing_over)
    log.info("draining", extra=kv(owed=runtime.owed, handing=runtime.handing_over))
    for connection in list(runtime.connections):
        connection.drain()
    if runtime.handing_over:
        runtime.upstream.leave()
    else:
        await trio.sleep(ACCEPT_ON_S)
    for front in fronts:
        if not runtime.handing_over:
            take_rest(front.listener, runtime, front.serve)
        close_listener(front.listener)
    longest = max((kind.deadline for kind in runtime.instance.settings.classes), default=0.0)
    with trio.move_on_after(longest / 1000.0):
        with trio.move_on_after(ACCEPT_ON_S):
            while runtime.handing_over and runtime.connections:
                await trio.sleep(0.01)
        for connection in list(runtime.connections):
            if connection.is_idle():
                connection.finish()
        while runtime.owed or (runtime.handing_over and runtime.connections):
            await trio.sleep(0.01)
    with trio.move_on_after(FLOW_ON_S):
        while runtime.active_streams:  # an answer that has begun is not cut off
            await trio.sleep(0.01)
    await trio.sleep(0.05)  # for the last answers to leave
    log.info("stopped", extra=kv(**runtime.report()))


Started = Callable[[Runtime, list[tuple[str, int]]], None]
Reread = Callable[[], Instance]


def reload(runtime: Runtime, reread: Reread) -> None:
    """Read the configuration again: what can change under load does, the rest is named in the log."""
    old = runtime.instance
    try:
        new = reread()
    except ConfigError as error:
        log.error("reload_failed", extra=kv(reason=error))
        return
    same_seed = replace(new.settings, seed=old.settings.seed)  # a seed is new with each file
    fixed = msgspec.structs.replace(new, settings=same_seed, known=old.known)
    pairs = ((key, getattr(old, key) != getattr(fixed, key)) for key in Instance.__struct_fields__)
    kept = [key for key, differs in pairs if differs and key not in ("discovery", "counter")]
    runtime.instance = msgspec.structs.replace(old, discovery=new.discovery, counter=new.counter)
    runtime.discovery.move(new.discovery)
    runtime.counter.move(new.counter)
    places = {key: f"{host}:{port}" for key in ("discovery", "counter") for host, port in [getattr(new, key)]}
    log.info("reloaded", extra=kv(**places, needs_restart=",".join(kept) or "-"))


class Operated:
    """The present process, as its admin API and the other process of its ingress see it."""

    def __init__(self, runtime: Runtime, path: Path | None) -> None:
        self.runtime, self.path = runtime, path
        self.fronts: list[Front] = []
        self.predecessor: Predecessor | None = None  # this process's side towards the one that follows it
        self.successor: Successor | None = None  # and towards the one before

    # For the admin API.

    @property
    def serving(self) -> bool:
        """Tell whether this process serves now."""
        return self.runtime.ready and not self.runtime.draining

    def exclude(self, server: api.ServerId) -> bool:
        """Take a ticket server out, here and at the other process."""
        known = self.runtime.exclude(server)
        if known:
            self._tell(server, None)
        return known

    def include(self, server: api.ServerId) -> bool:
        """Put it back, here and at the other process."""
        at = self.runtime.clock.now()
        known = self.runtime.include(server, at)
        if known:
            self._tell(server, at)
        return known

    def _tell(self, server: api.ServerId, back: float | None) -> None:
        self._keep()
        for side in (self.predecessor, self.successor):
            if side is not None:
                self.runtime.nursery.start_soon(side.tell_moved, server, back)

    def _keep(self) -> None:
        if self.path is not None:
            maintenance_store.save(self.path, self.runtime.maintenance)

    def remember(self) -> None:
        """Take out what was out, by the process before this one or by what was left in a file."""
        told = self.successor.welcome if self.successor is not None else None
        if told is not None:
            out, back = told.out, told.back
        elif self.path is not None:
            out, back = maintenance_store.load(self.path)
        else:
            return
        for change in self.runtime.maintenance.adopt(out, back):
            self.runtime.dispatch(change)
        if out:
            log.info("maintenance_kept", extra=kv(out=" ".join(s.decode("utf-8", "replace") for s in out)))

    # To the other process.

    def welcome(self) -> tuple[Welcome, list[int]]:
        """Return the first answer to a successor, and the descriptors of the listening sockets."""
        held = self.runtime.maintenance
        return Welcome(VERSION, list(held.out), dict(held.back)), [f.listener.fileno() for f in self.fronts]

    def pause(self, paused: bool) -> None:
        """Accept nothing from now on, or again."""
        self.runtime.handing_over = paused
        for front in self.fronts:
            if paused:
                front.pause()
            elif not self.runtime.draining:
                front.open()

    def tell(self) -> list[State]:
        """Return the state in parts."""
        return list(succession.export_state(self.runtime.reducer))

    def gives(self) -> bool:
        """Tell whether client connections are to go: from SIGTERM on."""
        return self.runtime.draining

    def take_client(self) -> tuple[socket.socket, bytes] | None:
        """Take a client connection with no request under way out of this process."""
        for connection in self.runtime.connections:
            given = connection.detach()
            if given is not None:
                return given
        return None

    def adopt_client(self, sock: socket.socket, ahead: bytes) -> None:
        """Serve a client connection that the other process has accepted."""
        link = Link(sock, self.runtime.nursery)
        self.runtime.nursery.start_soon(http1_front.serve, link, self.runtime, ahead)

    def adopt(self, state: State) -> None:
        """Take a part of the old process's state in."""
        succession.import_state(self.runtime.reducer, state)

    def moved(self, server: api.ServerId, back: float | None) -> None:
        """Apply a server's removal or return, made at the other process's admin API."""
        self.runtime.exclude(server) if back is None else self.runtime.include(server, back)
        self._keep()

    def peer_holds(self, descriptors: int) -> None:
        """Note how many descriptors the other process holds: 0 once it has ended."""
        self.runtime.peer_holds = descriptors
        peers = self.runtime.peers
        if peers is not None and descriptors == 0 and peers.shares.overdue and not self.runtime.draining:
            peers.shares.begin(self.runtime.clock.now())

    def holds(self) -> int:
        """Return how many descriptors this process holds."""
        return len(os.listdir("/proc/self/fd"))


def open_listeners(instance: Instance, taken: list[socket.socket]) -> list[socket.socket]:
    """Return the listening sockets of all fronts: those taken over, and the rest opened here."""
    places = [instance.listen]
    if instance.http2.enabled:
        places.append(parse_address("http2.toml: listen", instance.http2.listen, any_port=True))
    listeners: list[socket.socket] = []
    for place in places:
        same = [sock for sock in taken if sock.getsockname() == place or (taken and not place[1])]
        listeners.append(same[0] if same else listen(place, share=instance.share_port))
        taken = [sock for sock in taken if sock not in same[:1]]
    for sock in taken:  # the old process listened where this one does not
        sock.close()
    return listeners


async def run(instance: Instance, started: Started | None = None, reread: Reread | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then drain; SIGHUP has the configuration read again."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            runtime = Runtime(instance, nursery)
            own, fleet = instance.settings.own_number, instance.settings.gateways
            if own >= max(1, fleet):  # it keeps to another's servers and pauses as one of too few
                log.warning("not_of_the_fleet", extra=kv(SelfIndex=own, Siblings=fleet))
            path = handover.place(instance.folder, instance.name, instance.listen[1])
            operated = Operated(runtime, path)
            if instance.door is not None:
                nursery.start_soon(
                    admin_api.AdminApi(listen(instance.door, defer=False), operated, nursery).run
                )
            taken: list[socket.socket] = []
            if path is not None:
                operated.successor = Successor(path, operated)
                await operated.successor.begin()
                taken = operated.successor.listeners
                operated.remember()
            if runtime.peers is not None:
                if operated.successor is not None and operated.successor.welcome is not None:
                    runtime.peers.shares.overdue = True  # until the process before this one spends no more
                await nursery.start(runtime.peers.run)
            listeners = open_listeners(instance, taken)
            serves: list[Serve[Runtime]] = [http1_front.serve]
            if instance.http2.enabled:
                from wickspring.net import http2_front  # a megabyte, paid for only where it is spoken

                serves.append(http2_front.serve)
            pairs = zip(listeners, serves, strict=True)
            operated.fronts = [Front(sock, runtime, serve) for sock, serve in pairs]
            nursery.start_soon(runtime.timers.run)
            start_known(runtime, runtime.directory)
            nursery.start_soon(runtime.discovery.run)
            known = bool(runtime.directory.addresses)
            with trio.move_on_after(FIRST_LIST_S):
                await (runtime.discovery.tried if known else runtime.discovery.heard).wait()
            if runtime.peers is not None and not runtime.peers.shares.overdue:
                await runtime.peers.wait_to_open()
            gc.collect()
            gc.freeze()  # what start-up has made lives as long as the process
            if operated.successor is not None:
                await operated.successor.take(nursery)
            for front in operated.fronts:
                front.open()
            if path is not None:
                operated.predecessor = Predecessor(path, operated)
                await nursery.start(operated.predecessor.run)
            runtime.ready = True
            places = [sock.getsockname() for sock in listeners]
            log.info("ready", extra=kv(name=instance.name, listen=" ".join(f"{h}:{p}" for h, p in places)))
            if started is not None:
                started(runtime, places)
            if instance.notify:
                from wickspring.net.notify import Notifier  # paid for only where somebody listens

                notifier, state = Notifier(instance.notify, instance.token), {"READY": "1"}
                nursery.start_soon(notifier.repeat, runtime.reducer.counters, state)

            async def end() -> None:
                await drain(runtime, operated.fronts)
                nursery.cancel_scope.cancel()

            ending = False
            async for signum in signals:  # to the very end: one left unread would end the process in its way
                if signum != signal.SIGHUP:
                    if not ending:
                        if instance.notify:
                            state.update(READY="0", STOPPING="1")
                        nursery.start_soon(end)
                    ending = True
                elif not ending and reread is not None:
                    reload(runtime, reread)
