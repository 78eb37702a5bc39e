"""One ingress, from its listening sockets to its end."""

from __future__ import annotations

import gc
import logging
import signal
import socket
from collections.abc import AsyncIterator, Callable

import trio

from wickspring import interface as api
from wickspring.config import Instance
from wickspring.logs import kv
from wickspring.net import admin_api, handover, http1_front
from wickspring.net.discovery import Directory, ListError
from wickspring.net.early_refusal import refuse_first_request
from wickspring.net.front_listener import FrontListener
from wickspring.net.graceful_shutdown import drain
from wickspring.net.handover import Predecessor, Successor
from wickspring.net.ingress_process import IngressProcess
from wickspring.net.listening import listen
from wickspring.net.reload import ReadInstance, reload
from wickspring.net.runtime import Runtime
from wickspring.settings.address import parse_address

log = logging.getLogger(__name__)

FIRST_LIST_S = 1.0  # for discovery's first line before clients are let in: what is known before may be old

Address = tuple[str, int]
Started = Callable[[Runtime, list[Address]], None]


def apply_known_servers(runtime: Runtime, directory: Directory) -> None:
    """Begin with the list that the configuration gives; it may be old."""
    try:
        runtime.on_server_list(directory.apply(runtime.instance.known, api.ListKind.CACHED))
    except ListError as error:
        log.warning("known_list_bad", extra=kv(reason=error))


def open_listeners(instance: Instance, inherited: list[socket.socket]) -> list[socket.socket]:
    """Return the listening sockets of all fronts: those taken over, and the rest opened here."""
    addresses = [instance.listen]
    if instance.http2.enabled:
        addresses.append(parse_address("http2.toml: listen", instance.http2.listen, any_port=True))
    listeners: list[socket.socket] = []
    for address in addresses:
        any_port = bool(inherited) and not address[1]
        same = [sock for sock in inherited if any_port or sock.getsockname() == address][:1]
        listeners += same or [listen(address, share=instance.share_port)]
        inherited = [sock for sock in inherited if sock not in same]
    for sock in inherited:  # the old process listened where this one does not
        sock.close()
    return listeners


class IngressServer:
    """Starts one ingress step by step, and ends it by signal."""

    def __init__(self, instance: Instance, nursery: trio.Nursery) -> None:
        self.instance = instance
        self.nursery = nursery
        self.runtime = Runtime(instance, nursery)
        path = handover.place(instance.folder, instance.name, instance.listen[1])
        self.process = IngressProcess(self.runtime, path)
        self.addresses: list[Address] = []
        self._notification = {"READY": "1"}
        self._ending = False

    # Start.

    async def start(self) -> None:
        """Start everything, and return once clients are served."""
        self._warn_of_slot()
        self._start_admin_api()
        inherited = await self._follow_predecessor()
        await self._start_peers()
        listeners = open_listeners(self.instance, inherited)
        self._make_fronts(listeners)
        self.runtime.monitor_loop()
        self.nursery.start_soon(self.runtime.timers.run)
        await self._wait_for_servers()
        gc.collect()
        gc.freeze()  # what start-up has made lives as long as the process
        if self.process.successor is not None:
            await self.process.successor.take(self.nursery)
        for front in self.process.fronts:
            front.open()
        await self._listen_for_successor()
        self.runtime.ready = True
        self.addresses = [sock.getsockname() for sock in listeners]
        listen_text = " ".join(f"{host}:{port}" for host, port in self.addresses)
        log.info("ready", extra=kv(name=self.instance.name, listen=listen_text))

    def _warn_of_slot(self) -> None:
        """Log a slot that the fleet does not have: it uses another one's servers."""
        slot, gateways = self.instance.settings.own_number, self.instance.settings.gateways
        if slot >= max(1, gateways):
            log.warning("not_of_the_fleet", extra=kv(SelfIndex=slot, Siblings=gateways))

    def _start_admin_api(self) -> None:
        if self.instance.door is not None:
            listener = listen(self.instance.door, defer=False)
            self.nursery.start_soon(admin_api.AdminApi(listener, self.process, self.nursery).run)

    async def _follow_predecessor(self) -> list[socket.socket]:
        """Ask a process that serves already for its listening sockets; without one there are none."""
        process = self.process
        if process.path is None:
            return []
        process.successor = Successor(process.path, process)
        await process.successor.begin()
        process.restore_maintenance()
        return process.successor.listeners

    async def _start_peers(self) -> None:
        peers, successor = self.runtime.peers, self.process.successor
        if peers is None:
            return
        if successor is not None and successor.welcome is not None:
            peers.shares.waits_for_predecessor = True  # until the process before this one spends no more
        await self.nursery.start(peers.run)

    def _make_fronts(self, listeners: list[socket.socket]) -> None:
        http1_listener, *http2_listeners = listeners
        self.process.fronts = [
            FrontListener(http1_listener, self.runtime, http1_front.serve, refuse_first_request)
        ]
        if self.instance.http2.enabled:
            from wickspring.net import http2_front  # a megabyte: loaded only where used

            (http2_listener,) = http2_listeners
            self.process.fronts.append(FrontListener(http2_listener, self.runtime, http2_front.serve))

    async def _wait_for_servers(self) -> None:
        """Start discovery, and give it a moment to send the present list."""
        runtime = self.runtime
        apply_known_servers(runtime, runtime.directory)
        self.nursery.start_soon(runtime.discovery.run)
        known = bool(runtime.directory.addresses)
        with trio.move_on_after(FIRST_LIST_S):
            await (runtime.discovery.tried if known else runtime.discovery.received).wait()
        if runtime.peers is not None and not runtime.peers.shares.waits_for_predecessor:
            await runtime.peers.wait_to_open()

    async def _listen_for_successor(self) -> None:
        if self.process.path is not None:
            self.process.predecessor = Predecessor(self.process.path, self.process)
            await self.nursery.start(self.process.predecessor.run)

    def start_notifier(self) -> None:
        """Tell the platform about this process, where it listens for that."""
        if self.instance.notify:
            from wickspring.net.notify import Notifier  # loaded only where used

            notifier = Notifier(self.instance.notify, self.instance.token)
            self.nursery.start_soon(notifier.repeat, self.runtime.reducer.counters, self._notification)

    # End.

    async def handle_signals(self, signals: AsyncIterator[int], read_instance: ReadInstance | None) -> None:
        """Drain by SIGTERM or SIGINT, and reload by SIGHUP.

        Signals are read to the very end: one left unread would end the process in its own way.
        """
        async for signal_number in signals:
            if signal_number != signal.SIGHUP:
                self._begin_end()
            elif not self._ending and read_instance is not None:
                reload(self.runtime, read_instance)

    def _begin_end(self) -> None:
        if self._ending:
            return
        self._ending = True
        if self.instance.notify:
            self._notification.update(READY="0", STOPPING="1")
        self.nursery.start_soon(self._end)

    async def _end(self) -> None:
        await drain(self.runtime, self.process.fronts)
        self.nursery.cancel_scope.cancel()


async def run(
    instance: Instance, started: Started | None = None, read_instance: ReadInstance | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, then drain; SIGHUP has the configuration read again."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            server = IngressServer(instance, nursery)
            await server.start()
            if started is not None:
                started(server.runtime, server.addresses)
            server.start_notifier()
            await server.handle_signals(signals, read_instance)
