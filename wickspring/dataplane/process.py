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

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, settings.limits.memory_mb)
        self.settings, self.random = settings, Random(seed)
        bounds = settings.guarantees
        self.choice = EndpointSelector(settings.zone, self.random.getrandbits(32), self._warm)
        self.quota = QuotaPolicy(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
        self.control_client = ControlClient(
            settings,
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
        self.wire = Udp(settings.ip, settings.talk_port)
        self.gossip = GossipNode(
            settings.ip, settings.talk_port, self.clock, nursery, self.random, self, self.wire
        )
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
        return self.settings.limits.max_fds - 200

    @property
    def fleet(self) -> int:
        """How many pilots there are, as many as anybody counts; 0 where nobody has said."""
        others = self.gossip.size
        return max(self.control_client.fleet, others if others > 1 else 0)

    # What is told.

    def _digest(self) -> int:
        return endpoints_digest(
            [
                one.server
                for id_, one in self.choice.candidates.items()
                if not one.lost and self.choice.takes(id_)
            ]
        )

    def _pass_on(self, kind: str, told: object) -> None:
        self.gossip.pass_on(kind, told)

    def _introduced(self, ips: list[str]) -> None:
        self.gossip.introduce(ips)

    def state(self) -> GossipDigest:
        """Return what the other pilots compare with theirs."""
        mine = self.control_client.adoption
        return mine.version, mine.digest, len(self.choice.leaving), self._digest()

    def tell_all(self, peer_connection: PeerConnection, version: int, digest: bytes) -> None:
        """Tell another pilot all that is held here."""
        now, control_client = self.clock.now(), self.control_client
        mine = control_client.adoption
        if mine.version > version or (mine.version == version and mine.digest != digest):
            peer_connection.send(
                "chart", mine.version, control_client.packed, mine.digest, int(control_client.standing)
            )
        known = [one.server.pack(now) for one in self.choice.candidates.values() if not one.lost]
        peer_connection.send("whole", known, self.choice.leaving, control_client.in_contact)

    def take(self, peer_connection: PeerConnection, message: Message) -> None:
        """Take in what another pilot tells."""
        if message[0] in ("chart", "whole", "servers", "leaving"):
            self.control_client.take(peer_connection, message, by_control_plane=False)

    def alone(self) -> bool:
        """Tell whether no lighthouse is in reach."""
        return not self.control_client.live

    def _charted(self, routing_table: RoutingTable) -> None:
        bounds = routing_table.bounds
        self.patience = Patience(
            silent=1000.0 * bounds.idle_s,
            head=1000.0 * bounds.header_s,
            idle=1000.0 * bounds.idle_s,
            most_head=bounds.head,
            most_body=bounds.body,
        )
        caps = [one.most_conns for one in routing_table.services.values() if one.most_conns > 0]
        part = CONN_SHARE * min(caps, default=CONNS_MOST) / max(1, self.fleet or 16)
        most = max(CONNS_LEAST, min(CONNS_MOST, int(part)))
        self.limits = msgspec.structs.replace(self.limits, most_per_server=most)
        self.upstream.limits = self.upstream.pools.limits = self.limits

    def _entry(self, server: api.ServerId) -> api.ServerEntry | None:
        id_ = server.decode()
        if id_ not in self.choice.candidates:
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
            **self.event_counts,
            **self.upstream.report(),
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether clients are to come here."""
        if self.draining:
            return False
        if not self.ready:
            control_client = self.control_client
            late = self.clock.now() - self.begun_at > READY_WITHOUT_MS
            some = bool(control_client.routing_table.version) and bool(control_client.whole_from)
            self.ready = bool(self.choice.services) and (control_client.informed or (late and some))
            if self.ready:
                logs.log_event(
                    "ready", version=control_client.routing_table.version, servers=len(self.choice.candidates)
                )
        return self.ready


class ReadinessProbe(Host):
    """What answers the platform's question whether this pilot is ready."""

    def __init__(self, data_plane: DataPlane) -> None:
        super().__init__(data_plane.nursery, data_plane.memory_mb)
        self.data_plane = data_plane

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
        client.answer(200 if self.data_plane.is_ready and target.startswith("/readiness") else 503, "", b"")

    def leave(self, number: int) -> None:
        """Nothing is owed here."""


async def serve(link: Link, data_plane: DataPlane) -> None:
    """Serve one client's connection."""
    await data_plane.serve(Http1Connection(link, data_plane, patience=data_plane.patience), link)


async def serve_readiness(link: Link, watch: ReadinessProbe) -> None:
    """Serve one connection of the platform."""
    await watch.serve(Http1Connection(link, watch, patience=Patience(idle=15_000.0)), link)


async def run(started: Bootstrap, seed: int, ended: trio.Event) -> None:
    """Run a pilot until told to end."""
    settings, front, ready = started.settings, started.front, started.ready
    if front is None or ready is None:
        raise GatewayError(
            ErrorDetail(ErrorKind.BAD_SETTINGS, "bind: a pilot needs front_http and ready_addr")
        )
    async with trio.open_nursery() as nursery:
        data_plane = DataPlane(settings, nursery, seed)
        nursery.start_soon(data_plane.timers.run)
        nursery.start_soon(data_plane.control_client.tick)
        nursery.start_soon(data_plane.gossip.run)
        nursery.start_soon(
            accept_connections, started.talk, data_plane.clock, nursery, data_plane.gossip.serve
        )
        data_plane.tidy()
        data_plane.upkeep()
        watch = ReadinessProbe(data_plane)
        nursery.start_soon(watch.timers.run)
        watch.tidy()
        nursery.start_soon(accept, ready, watch, serve_readiness)
        nursery.start_soon(accept, front, data_plane, serve)
        logs.log_event("afloat", ip=settings.ip, zone=settings.zone)
        await ended.wait()
        data_plane.draining = True
        logs.log_event("draining", owed=len(data_plane.requests))
        with trio.move_on_after(0.93 * settings.guarantees.grace_s):
            await trio.sleep(ACCEPT_ON_S)
            take_rest(front, data_plane, serve)
            close_listener(front)
            while data_plane.requests or any(not one.idle() for one in data_plane.connections):
                await trio.sleep(0.02)
            for connection in list(data_plane.connections):
                connection.end_quiet()
            await trio.sleep(0.1)
        logs.log_event("moored", owed=len(data_plane.requests))
        nursery.cancel_scope.cancel()
