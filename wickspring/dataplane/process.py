"""A pilot process: what it is told, what it carries requests with, and its start and end."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import msgspec
import trio

from wickspring import interface as api
from wickspring.common import logs
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.connection import Message, PeerConnection, accept_connections
from wickspring.common.endpoints import endpoints_digest
from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.routing_table import RoutingTable
from wickspring.common.settings import Address, NodeSettings
from wickspring.connections.limits import ConnectionLimits
from wickspring.connections.pools import Conn
from wickspring.dataplane.control_client import ControlClient
from wickspring.dataplane.gossip import GossipDigest, GossipNode
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector
from wickspring.dataplane.policy.quota import QuotaPolicy
from wickspring.dataplane.request import RequestHandler
from wickspring.dataplane.upstream import ConnectionDefaults, UpstreamConnection
from wickspring.interface import Readiness
from wickspring.net.calls import Client
from wickspring.net.datagrams import Udp
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.link import Link
from wickspring.net.listening import accept, close_listener, take_rest
from wickspring.net.upstream.carrier import Carrier
from wickspring.net.upstream.manager import Upstream

CONN_SHARE = 0.9  # of a server's connections that all pilots together take
CONNS_LEAST, CONNS_MOST = 3, 64
IDLE_SHARE = 0.85  # of that time, that connections are kept
FORGET_MS = 20_000.0
READY_WITHOUT_MS = 2500.0  # after which a pilot with a configuration serves by what one lighthouse told
FIGURES_MS = 10_000.0
ACCEPT_ON_S = 0.4  # after SIGTERM, for connections that are on their way


class DataPlane(RequestHandler):
    """One pilot."""

    def __init__(self, boot: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, boot.limits.memory_mb)
        self.boot, self.random = boot, Random(seed)
        bounds = boot.guarantees
        self.choice = EndpointSelector(boot.zone, self.random.getrandbits(32), self._warm)
        self.quota = QuotaPolicy(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
        self.moorings = ControlClient(
            boot,
            self.clock,
            nursery,
            self.random,
            self.choice,
            lambda: self.quota.past(self.clock.now()),
            self._digest,
            self._charted,
            self._pass_on,
            self._introduced,
            self._informed,
        )
        self.wire = Udp(boot.ip, boot.talk_port)
        self.flotilla = GossipNode(boot.ip, boot.talk_port, self.clock, nursery, self.random, self, self.wire)
        self.entries: dict[str, tuple[bool, api.ServerEntry]] = {}
        self.addresses: dict[str, Address] = {}
        self.limits = ConnectionLimits(
            most_per_server=CONNS_LEAST,
            wait_ms=400.0,
            ahead_most=0,
            pause_first_ms=60.0,
            pause_most_ms=500.0,
            idle_share=IDLE_SHARE,
        )
        self.upstream = Upstream(
            ConnectionDefaults(self.random.getrandbits(32)),
            self.limits,
            lambda: self.sockets,
            lambda: len(self.connections),
            self.clock,
            self.timers,
            nursery,
            self._entry,
            self._carrier,
        )
        self.patience = Patience()
        self.ready = False

    @property
    def sockets(self) -> int:
        """How many descriptors this process may have."""
        return self.boot.limits.max_fds - 200

    @property
    def fleet(self) -> int:
        """How many pilots there are, as many as anybody counts; 0 where nobody has said."""
        others = self.flotilla.size
        return max(self.moorings.fleet, others if others > 1 else 0)

    # What is told.

    def _digest(self) -> int:
        return endpoints_digest(
            [one.server for id_, one in self.choice.berths.items() if not one.lost and self.choice.takes(id_)]
        )

    def _pass_on(self, kind: str, told: object) -> None:
        self.flotilla.pass_on(kind, told)

    def _introduced(self, ips: list[str]) -> None:
        self.flotilla.introduce(ips)

    def state(self) -> GossipDigest:
        """Return what the other pilots compare with theirs."""
        mine = self.moorings.adoption
        return mine.version, mine.digest, len(self.choice.leaving), self._digest()

    def tell_all(self, cable: PeerConnection, version: int, endpoints_digest: bytes) -> None:
        """Tell another pilot all that is held here."""
        now, moorings = self.clock.now(), self.moorings
        mine = moorings.adoption
        if mine.version > version or (mine.version == version and mine.digest != endpoints_digest):
            cable.send("chart", mine.version, moorings.packed, mine.digest, int(moorings.standing))
        known = [one.server.pack(now) for one in self.choice.berths.values() if not one.lost]
        cable.send("whole", known, self.choice.leaving, moorings.in_contact)

    def take(self, cable: PeerConnection, message: Message) -> None:
        """Take in what another pilot tells."""
        if message[0] in ("chart", "whole", "servers", "leaving"):
            self.moorings.take(cable, message, by_lighthouse=False)

    def alone(self) -> bool:
        """Tell whether no lighthouse is in reach."""
        return not self.moorings.live

    def _charted(self, chart: RoutingTable) -> None:
        bounds = chart.bounds
        self.patience = Patience(
            silent=1000.0 * bounds.idle_s,
            head=1000.0 * bounds.header_s,
            idle=1000.0 * bounds.idle_s,
            most_head=bounds.head,
            most_body=bounds.body,
        )
        caps = [one.most_conns for one in chart.services.values() if one.most_conns > 0]
        part = CONN_SHARE * min(caps, default=CONNS_MOST) / max(1, self.fleet or 16)
        most = max(CONNS_LEAST, min(CONNS_MOST, int(part)))
        self.limits = msgspec.structs.replace(self.limits, most_per_server=most)
        self.upstream.limits = self.upstream.pools.limits = self.limits

    def _entry(self, server: api.ServerId) -> api.ServerEntry | None:
        id_ = server.decode()
        if id_ not in self.choice.berths:
            self.entries.pop(id_, None)
            return None
        takes = self.choice.takes(id_)
        known = self.entries.get(id_)
        if known is None or known[0] != takes:
            readiness = Readiness.READY if takes else Readiness.DRAINING
            known = self.entries[id_] = takes, api.ServerEntry(server, 0, 0, readiness, 1.0, 0.0)
        return known[1]

    def _warm(self, id_: str) -> bool:
        """Tell whether a connection to a server is up and idle."""
        pool = self.upstream.pools.pools.get(id_.encode())
        return pool is not None and any(conn.free > 0 for conn in pool.conns)

    def _carrier(self, upstream: Upstream, conn: Conn) -> Carrier:
        return UpstreamConnection(upstream, conn)

    # Upkeep.

    def upkeep(self) -> None:
        """Forget what is past, and tell the figures."""
        self.later(FIGURES_MS * self.random.uniform(0.9, 1.1), self.upkeep)
        self.choice.forget(self.clock.now(), FORGET_MS)
        logs.log_event(
            "figures",
            owed=len(self.requests),
            connections=len(self.connections),
            **self.tally,
            **self.upstream.report(),
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether clients are to come here."""
        if self.draining:
            return False
        if not self.ready:
            moorings = self.moorings
            late = self.clock.now() - self.begun_at > READY_WITHOUT_MS
            some = bool(moorings.chart.version) and bool(moorings.whole_from)
            self.ready = bool(self.choice.services) and (moorings.informed or (late and some))
            if self.ready:
                logs.log_event("ready", version=moorings.chart.version, servers=len(self.choice.berths))
        return self.ready


class ReadinessProbe(Host):
    """What answers the platform's question whether this pilot is ready."""

    def __init__(self, pilot: DataPlane) -> None:
        super().__init__(pilot.nursery, pilot.memory_mb)
        self.pilot = pilot

    @property
    def sockets(self) -> int:
        """How many descriptors are for this."""
        return 64

    @property
    def flowing(self) -> int:
        """Nothing flows here."""
        return 0

    def ask(
        self,
        client: Client,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        feed: Feed | None = None,
    ) -> None:
        """Answer 200 while clients are to come."""
        client.answer(200 if self.pilot.is_ready and target.startswith("/readiness") else 503, "", b"")

    def leave(self, number: int) -> None:
        """Nothing is owed here."""


async def serve(link: Link, pilot: DataPlane) -> None:
    """Serve one client's connection."""
    await pilot.serve(Http1Connection(link, pilot, patience=pilot.patience), link)


async def serve_readiness(link: Link, watch: ReadinessProbe) -> None:
    """Serve one connection of the platform."""
    await watch.serve(Http1Connection(link, watch, patience=Patience(idle=15_000.0)), link)


async def run(started: Bootstrap, seed: int, ended: trio.Event) -> None:
    """Run a pilot until told to end."""
    boot, front, ready = started.boot, started.front, started.ready
    if front is None or ready is None:
        raise GatewayError(
            ErrorDetail(ErrorKind.BAD_SETTINGS, "bind: a pilot needs front_http and ready_addr")
        )
    async with trio.open_nursery() as nursery:
        pilot = DataPlane(boot, nursery, seed)
        nursery.start_soon(pilot.timers.run)
        nursery.start_soon(pilot.moorings.tick)
        nursery.start_soon(pilot.flotilla.run)
        nursery.start_soon(accept_connections, started.talk, pilot.clock, nursery, pilot.flotilla.serve)
        pilot.tidy()
        pilot.upkeep()
        watch = ReadinessProbe(pilot)
        nursery.start_soon(watch.timers.run)
        watch.tidy()
        nursery.start_soon(accept, ready, watch, serve_readiness)
        nursery.start_soon(accept, front, pilot, serve)
        logs.log_event("afloat", ip=boot.ip, zone=boot.zone)
        await ended.wait()
        pilot.draining = True
        logs.log_event("draining", owed=len(pilot.requests))
        with trio.move_on_after(0.93 * boot.guarantees.grace_s):
            await trio.sleep(ACCEPT_ON_S)
            take_rest(front, pilot, serve)
            close_listener(front)
            while pilot.requests or any(not one.idle() for one in pilot.connections):
                await trio.sleep(0.02)
            for connection in list(pilot.connections):
                connection.end_quiet()
            await trio.sleep(0.1)
        logs.log_event("moored", owed=len(pilot.requests))
        nursery.cancel_scope.cancel()
