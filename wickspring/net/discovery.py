"""Discovery: the watch of the list of ticket servers, kept open and followed from the version held."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import h11
import msgspec
import trio

from wickspring import interface as api
from wickspring.config import ListedServer, Listing
from wickspring.connections.backoff import Backoff
from wickspring.logs import kv
from wickspring.net.link import Link, connect
from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError

log = logging.getLogger(__name__)

MAX_SILENCE_S = 5.0  # an empty line comes every 2 s, so this is two of them missed
DIAL_TIMEOUT_MS = 1000.0
MIN_PAUSE_S = 0.1  # between two watches
MAX_PAUSE_S = 10.0  # the same; less in a small fleet
FLEET_RATE = 10.0  # watches a second that all ingresses together open while all of them have to
PROMPT_SHARE = 0.4  # of the time that a drain may go unheeded: the longest wait by chance before a watch
MAX_LINE_BYTES = 8 << 20
BUSY_STATUSES = (429, 503)  # statuses of a service that has more callers than it can serve
STATES = {
    "up": api.Readiness.READY,
    "draining": api.Readiness.DRAINING,
    "removed": api.Readiness.GONE,
}

_decoder = msgspec.json.Decoder(Listing)


class ListError(ValueError):
    """A line of the list that cannot be used; the list held stays."""


def server_id(server: ListedServer) -> api.ServerId:
    """Return the module's name of a server: the id, which is the same at every ingress."""
    return server.id.encode()


def decode(line: bytes) -> Listing:
    """Read one object of the list."""
    try:
        return _decoder.decode(line)
    except msgspec.DecodeError as error:
        raise ListError(str(error)) from error


class BusyError(Exception):
    """Discovery turned the watch away: it has more callers than it can serve."""


class Directory:
    """The servers as discovery has named them: their addresses, and updates for the decision module."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.addresses: dict[api.ServerId, tuple[str, int]] = {}
        self.version = 0

    def apply(self, listing: Listing, kind: api.ListKind | None = None) -> api.ServerList:
        """Take one listing in whole, or raise `ListError` and keep what is held."""
        entries, addresses = [], {}
        for server in listing.servers:
            entry = self._entry(server)
            entries.append(entry)
            if entry.readiness is not api.Readiness.GONE or server.addr:
                try:
                    addresses[entry.server] = parse_address(f"addr of {server.id}", server.addr)
                except ConfigError as error:
                    raise ListError(str(error)) from error
        if kind is None:
            kind = api.ListKind.COMPLETE if listing.full else api.ListKind.CHANGES
        if kind is not api.ListKind.CHANGES:
            self.addresses.clear()
        self.addresses.update(addresses)
        for entry in entries:
            if entry.readiness is api.Readiness.GONE:  # its id does not come back, or comes with an address
                self.addresses.pop(entry.server, None)
        self.version = listing.version
        return api.ServerList(kind, tuple(entries))

    def _entry(self, server: ListedServer) -> api.ServerEntry:
        if server.state not in STATES:
            raise ListError(f"state of {server.id} is not known: {server.state!r}")
        if not math.isfinite(server.weight) or server.weight < 0:
            raise ListError(f"weight of {server.id} is no weight: {server.weight!r}")
        # A hall that the settings do not name is no hall of ours: it counts as another one.
        zone = self.zones.setdefault(server.zone, len(self.zones))
        state = STATES[server.state]
        return api.ServerEntry(server_id(server), zone, server.cell, state, server.weight, server.started_ms)


class WatchReader:
    """Cuts the chunked answer of a watch into the lines of its body."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self._rest = b""
        self.ended = False

    def request(self, target: str, host: str) -> bytes:
        """Return the bytes that open the watch."""
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        return (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes in and return whole lines; empty ones are signs of life."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if isinstance(event, h11.Response) and event.status_code in BUSY_STATUSES:
                    raise BusyError(f"status {event.status_code}")
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ListError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self._rest += event.data
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.ended = True
                    break
        except h11.RemoteProtocolError as error:
            raise ListError(str(error)) from error
        *lines, self._rest = self._rest.split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise ListError("a line without an end")
        return [line.strip() for line in lines]


@dataclass(slots=True, frozen=True)
class WatchPauses:
    """What the pauses between watches depend on."""

    seed: int = 0
    gateways: int = 1  # of the fleet, which share the service
    drain_grace_ms: float = 1000.0  # time that a server's drain may go unheeded

    def backoff(self) -> Backoff:
        """Return the pauses."""
        prompt_s = PROMPT_SHARE * self.drain_grace_ms / 1000.0
        return Backoff(Random(self.seed), self.gateways, FLEET_RATE, MIN_PAUSE_S, MAX_PAUSE_S, prompt_s)


DEFAULT_PAUSES = WatchPauses()


class Discovery:
    """Keeps the watch open, whatever happens to it."""

    def __init__(
        self,
        address: tuple[str, int],
        directory: Directory,
        nursery: trio.Nursery,
        on_list: Callable[[api.ServerList], None],
        pauses: WatchPauses = DEFAULT_PAUSES,
    ) -> None:
        self.address = address
        self.directory = directory
        self.nursery = nursery
        self._on_list = on_list
        self.received = trio.Event()  # a first line has been read
        self.tried = trio.Event()  # a first watch has sent something, or ended
        self._backoff = pauses.backoff()
        self._scope = trio.CancelScope()  # of the present watch and the pause after it

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on."""
        if address != self.address:
            self.address = address
            self._scope.cancel()

    async def run(self) -> None:
        """Watch for ever, with pauses between tries that grow while nothing is received.

        All ingresses of a fleet lose their watches at one moment, or start at one. Coming again in step they
        keep an overbooked discovery so busy with callers that give up that none is served.
        """
        pause = self._backoff.start()
        while True:
            with trio.CancelScope() as self._scope:
                await trio.sleep(pause)
                try:
                    pause = self._backoff.ended() if await self._watch() else self._backoff.failed()
                except BusyError as error:  # the version held stands: a whole list would cost it more yet
                    pause = self._backoff.failed(busy=True)
                    log.warning("discovery_busy", extra=kv(reason=error, pause_s=round(pause, 1)))
                except Exception as error:  # an odd answer must not end the ingress
                    log.exception("watch_failed", extra=kv(reason=error))
                    pause = self._backoff.failed()
            self.tried.set()
            if self._scope.cancelled_caught:
                # Another discovery numbers its versions in its own way: the whole list is asked for.
                self.directory.version, pause = 0, self._backoff.ended()

    async def _watch(self) -> bool:
        """Follow one connection to its end; True if it said anything, and nothing that was no list."""
        sock = await connect(self.address, DIAL_TIMEOUT_MS)
        if sock is None:
            return False
        link, reader, received = Link(sock, self.nursery), WatchReader(), False
        try:
            target = f"/discovery/hosts?follow=1&since={self.directory.version}"
            link.send(reader.request(target, f"{self.address[0]}:{self.address[1]}"))
            while not reader.ended:
                with trio.fail_after(MAX_SILENCE_S):
                    data = await link.receive()
                if not data:
                    break
                for line in reader.feed(data):
                    received = True
                    self._line(line)
        except trio.TooSlowError:
            log.warning("watch_silent")
        except ListError as error:
            # The list held stays in force. What the line would have told, a drain perhaps, must not be
            # missed: the next watch begins with the whole list.
            log.warning("list_line_bad", extra=kv(reason=error))
            self.directory.version, received = 0, False
        finally:
            link.close()
        return received

    def _line(self, line: bytes) -> None:
        if line:
            server_list = self.directory.apply(decode(line))
            states = " ".join(f"{e.server.decode()}:{e.readiness.value}" for e in server_list.entries[:20])
            log.info(
                "list", extra=kv(version=self.directory.version, kind=server_list.kind.value, servers=states)
            )
            self._on_list(server_list)
        self.received.set()
        self.tried.set()
