"""One ingress, from its listening socket to its end."""

from __future__ import annotations

import errno
import gc
import logging
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
import trio

from wickspring import interface as api
from wickspring.config import ConfigError, Instance, parse_address
from wickspring.logs import kv
from wickspring.net import http1_front, http2_front
from wickspring.net.calls import DEFER_S
from wickspring.net.discovery import Directory, ListError
from wickspring.net.link import Link
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)

BACKLOG = 1024
FIRST_LIST_S, FIRST_KNOWN_S = 1.0, 0.1  # for discovery's first word before clients are let in; the second
# where the configuration knows servers: forty that start at once would wait for it longer than they need
ACCEPT_ON_S = 0.6  # after SIGTERM: new connections keep arriving for up to 0.4 s

Serve = Callable[[Link, Runtime], Awaitable[None]]


def listen(address: tuple[str, int], *, share: bool = False) -> socket.socket:
    """Open a listening socket on this address only; shared, the process's successor may listen there too."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        if DEFER_S and hasattr(socket, "TCP_DEFER_ACCEPT"):
            # A crowd that connects and says nothing waits in the kernel and takes no descriptors.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_S)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


async def accept(listener: socket.socket, runtime: Runtime, serve: Serve) -> None:
    """Accept until the listener is closed; short of descriptors, end the quietest connection or wait."""
    while True:
        while len(runtime.connections) >= runtime.most_connections:
            # Clients that hold connections and say nothing must not shut the others out.
            runtime.let_go["waits_at_the_door"] += 1
            runtime.make_room()
            await trio.sleep(0.01)
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            try:
                await trio.lowlevel.wait_readable(listener)
            except trio.ClosedResourceError:
                return
        except OSError as error:
            if error.errno == errno.EBADF:
                return
            log.warning("accept_failed", extra=kv(reason=error))
            await trio.sleep(0.01)
        else:
            runtime.nursery.start_soon(serve, Link(sock, runtime.nursery), runtime)
            await trio.lowlevel.checkpoint()  # a crowd at the door must not keep those inside waiting


def close_listener(listener: socket.socket) -> None:
    """Stop accepting."""
    trio.lowlevel.notify_closing(listener)
    listener.close()


def take_rest(listener: socket.socket, runtime: Runtime, serve: Serve) -> None:
    """Accept what waits in the kernel's line: closing the listener would reset it."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:  # none left, most of all
            return
        runtime.nursery.start_soon(serve, Link(sock, runtime.nursery), runtime)


def start_known(runtime: Runtime, directory: Directory) -> None:
    """Begin with the list that the configuration gives; it may be old."""
    try:
        runtime.dispatch(directory.apply(runtime.instance.known, api.ListKind.CACHED))
    except ListError as error:
        log.warning("known_list_bad", extra=kv(reason=error))


async def drain(runtime: Runtime, listeners: list[socket.socket]) -> None:
    """Take what still comes, finish all that has been taken, and end."""
    runtime.draining = True
    log.info("draining", extra=kv(owed=runtime.owed))
    for connection in list(runtime.connections):
        connection.drain()
    await trio.sleep(ACCEPT_ON_S)
    for listener in listeners:
        take_rest(listener, runtime, http1_front.serve if listener is listeners[0] else http2_front.serve)
        close_listener(listener)
    for connection in list(runtime.connections):
        if connection.idle():
            connection.finish()
    longest = max((kind.deadline for kind in runtime.instance.settings.classes), default=0.0)
    with trio.move_on_after(longest / 1000.0):
        while runtime.owed:
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


async def run(instance: Instance, started: Started | None = None, reread: Reread | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then drain; SIGHUP has the configuration read again."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            runtime = Runtime(instance, nursery)
            own, fleet = instance.settings.own_number, instance.settings.gateways
            if own >= max(1, fleet):  # it keeps to another's servers and pauses as one of too few
                log.warning("not_of_the_fleet", extra=kv(SelfIndex=own, Siblings=fleet))
            listener = listen(instance.listen, share=instance.share_port)
            nursery.start_soon(runtime.timers.run)
            start_known(runtime, runtime.directory)
            nursery.start_soon(runtime.discovery.run)
            nursery.start_soon(accept, listener, runtime, http1_front.serve)
            listeners = [listener]
            if instance.http2.enabled:
                place = parse_address("http2.toml: listen", instance.http2.listen, any_port=True)
                listeners.append(listen(place, share=instance.share_port))
                nursery.start_soon(accept, listeners[1], runtime, http2_front.serve)
            with trio.move_on_after(FIRST_KNOWN_S if runtime.directory.addresses else FIRST_LIST_S):
                await runtime.discovery.heard.wait()
            gc.collect()
            gc.freeze()  # what start-up has made lives as long as the process
            runtime.ready = True
            places = [sock.getsockname() for sock in listeners]
            log.info("ready", extra=kv(name=instance.name, listen=" ".join(f"{h}:{p}" for h, p in places)))
            if started is not None:
                started(runtime, places)
            if instance.notify:
                from wickspring.net.notify import Notifier  # paid for only where somebody listens

                notifier, state = Notifier(instance.notify, instance.token), {"READY": "1"}
                nursery.start_soon(notifier.repeat, runtime.reducer.tally, state)

            async def end() -> None:
                await drain(runtime, listeners)
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
