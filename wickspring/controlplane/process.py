"""A lighthouse process: calls of servers and operators, news to pilots, counts, and its part in the core."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import asdict
from functools import partial
from random import Random
from typing import Any

import trio

from wickspring.common import logs
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.config_status import QuorumContact
from wickspring.common.connection import Message, PeerConnection, accept_connections
from wickspring.common.endpoints import READY, Endpoint, endpoints_digest
from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.common.settings import NodeSettings
from wickspring.common.settings_file import parse_ip
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, error_response
from wickspring.controlplane.api.resources import RESOURCES
from wickspring.controlplane.config_distribution import ConfigDistributor
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.controlplane.load_tracker import LoadTracker
from wickspring.controlplane.quorum_contact import QuorumContactMonitor
from wickspring.controlplane.quota_counter import QuotaCounter
from wickspring.controlplane.replication.node import NOT_COMMITTED, ReplicationNode, UpdateResult
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.net.calls import Client
from wickspring.net.feed import Feed
from wickspring.net.host import Host
from wickspring.net.http1_front import Http1Connection, Patience
from wickspring.net.link import Link
from wickspring.net.listening import accept

SWEEP_MS = 250.0
ALIVE_MS = 500.0
SHORT_MS = 3000.0  # that the core must bear too little to be told in the log
SAVE_MS = 1500.0  # between two saves of which servers there are
MOST_ORDER = 4 << 20  # bytes of a configuration
INTRODUCED = 3  # pilots that a new one is told of
LEAVE_SHARE = 0.85  # of the grace, for the others to take over what this machine keeps before it ends
ORDER_S = 0.85  # for an order to become safe; callers give up after a second
AGAIN_S = 0.05  # between two tries of an order in that time, doubled each time: it may be a long one
LOOK_S = 0.04  # between two looks for contact that is waited for


class ControlPlane(Host):
    """One lighthouse."""

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery, seed: int) -> None:
        super().__init__(nursery, settings.limits.memory_mb)
        self.settings, self.random = settings, Random(seed)
        self.core = ReplicationNode(
            settings,
            ReplicaStore(settings.data_dir or "."),
            self.clock,
            nursery,
            self.random,
            self._safe,
            self._viewed,
            self._from_core,
        )
        self.registry = EndpointRegistry(1000.0 * settings.heartbeat_s)
        bounds = settings.guarantees
        self.quota_counter = QuotaCounter(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
        self.load_tracker = LoadTracker(self.random.getrandbits(32))
        self.resources = [make(self) for make in RESOURCES]
        self.data_planes: dict[PeerConnection, str] = {}
        self.offers = ConfigDistributor()
        self.contact = QuorumContactMonitor(self.clock.now(), 1000.0 * settings.heartbeat_s)
        self._saved: set[str] = set()  # servers on disk
        self._silent: set[str] = set()  # servers taken for lost of which the pilots have not been told
        self._begin()
        self._fresh: dict[str, int] = {}  # beats since the core was last told
        self._last = 0
        self._short: list[str] = []
        self._short_since = math.inf

    def _begin(self) -> None:
        """Begin with what this machine's disk holds of servers.

        Its configuration is handed to nobody: it may be old, or never have become safe. That a server said
        it leaves is never taken back, safe or not, so those get no work from the start.
        """
        now = self.clock.now()
        self.registry.leave(self.core.chain.replica.leaving)
        for told in self.core.store.load_servers():
            server = Endpoint.unpack(told, now)
            self.registry.beat(now, server)
            self._saved.add(server.id)

    # Calls.

    @property
    def sockets(self) -> int:
        """How many descriptors this process may have."""
        return self.settings.limits.max_fds

    @property
    def flowing(self) -> int:
        """How many long bodies are on their way."""
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
        """Find the resource of a call and have it answered."""
        path = target.partition("?")[0]
        for resource in self.resources:
            found = resource.path.match(path)
            if found is not None and resource.method == method:
                self._last += 1
                client.accepted(self._last, 0.0)
                call = ApiRequest(method, path, body, found.groupdict())
                self.nursery.start_soon(self._call, client, resource, call, feed)
                return
        said = error_response(ErrorDetail(ErrorKind.NOT_FOUND, path))
        client.answer(said.status, "", said.body)

    async def _call(self, client: Client, resource: Any, call: ApiRequest, feed: Feed | None) -> None:
        while feed is not None and await feed.ready():
            call.body += feed.take()
            if len(call.body) > MOST_ORDER:
                feed.close()
                client.answer(413, "", b"")
                return
        try:
            said = await resource.call(call)
        except Exception as error:  # one call's trouble must not end the process
            logs.log_event("call_failed", path=call.path, reason=repr(error))
            said = ApiResponse(500)
        client.answer(said.status, said.retry_after, said.body)

    def leave(self, number: int) -> None:
        """A caller has gone away; what it asked goes on."""

    # Orders.

    def look(self) -> QuorumContact:
        """Look how far this machine is in contact with the core."""
        return self.contact.look(self.clock.now(), self.core.in_contact)

    @property
    def cut_off(self) -> bool:
        """Tell whether it has been out of contact for so long that callers are better off elsewhere."""
        self.look()
        return self.contact.gone(self.clock.now())

    @property
    def epoch(self) -> int:
        """Return the epoch of the view that is known here."""
        return self.core.chain.view.epoch

    async def order(self, order: Update, read: bool = False) -> UpdateResult:
        """Have an order made safe; nothing is confirmed or refused without contact, before or after.

        What a start or a change of view holds up is tried again within the caller's second.
        """
        if self.cut_off:
            return NOT_COMMITTED
        pause = AGAIN_S
        with trio.move_on_after(ORDER_S):
            while True:
                await self._in_contact()
                entered = await self.core.enter(order, read)
                if entered.verdict is not CommitOutcome.NOT_YET:
                    await self._in_contact()
                    return entered
                await trio.sleep(pause)
                pause *= 2.0
        return NOT_COMMITTED

    async def _in_contact(self) -> None:
        while self.look() is QuorumContact.NONE:
            await trio.sleep(LOOK_S)

    # Servers.

    def beat(self, server: Endpoint) -> None:
        """Take a beat that came to this machine."""
        news = self.registry.beat(self.clock.now(), server)
        self._fresh[server.id] = server.seq
        if news is not None:
            logs.log_event("server", id=news.id, service=news.service, state=news.state, address=news.address)
            told = [news.pack(self.clock.now())]
            self.core.say_all("servers", told)
            self._tell("servers", told)

    async def leaves(self, server: str, state: int) -> bool:
        """Have it made safe that a server leaves; False where that did not come about in time."""
        order, known = Update(leaving={server: state}), self.core.chain.safe.leaving.get(server, READY)
        if known != READY and self.look() is not QuorumContact.NONE:
            if state > known:
                self.nursery.start_soon(self.core.enter, order)
            return True
        return (await self.order(order)).verdict is CommitOutcome.SAFE

    def beat_target(self, zone: str) -> str:
        """Name where a server's beats are best sent: to a lighthouse in its own zone, else here."""
        if zone != self.settings.zone:
            for ip, told in self.core.states.items():
                if told.zone == zone and not told.ill and self.core.live(ip):
                    return told.control
        return self.settings.bind.control_addr

    # News.

    def _tell(self, *message: object) -> None:
        for connection in self.data_planes:
            connection.send(*message)

    def _safe(self, replica: Replica) -> None:
        """Tell the pilots what has become safe."""
        if self.offers.safe(replica.config):
            for connection in self.data_planes:
                self._offer(connection)
        told = self.registry.leaving
        fresh = {id_: state for id_, state in replica.leaving.items() if told.get(id_, READY) < state}
        if fresh:
            self.registry.leave(fresh)
            self._tell("leaving", fresh)

    def _viewed(self) -> None:
        """Take up another view: counts begin anew, from what the pilots tell of what they have sent on."""
        self.quota_counter.begin(self.clock.now())
        self._tell(*self._view())

    def _cores(self) -> list[str]:
        return [self.settings.ip, *(ip for ip in self.core.callers if self.core.live(ip))]

    def _view(self) -> tuple[Any, ...]:
        chain = self.core.chain
        return "view", chain.view.epoch, [ip for ip, _ in chain.view.chain], self._cores(), self.fleet

    @property
    def fleet(self) -> int:
        """How many pilots are in reach."""
        return len({name for connection, name in self.data_planes.items() if connection.live})

    def _offer(self, connection: PeerConnection) -> None:
        """Hand a pilot the configuration, where it has none or an older one."""
        contact, alone = self.look(), self.contact.alone(self.clock.now())
        self.offers.offer(connection, contact, self.core.chain.replica.config if alone else None)

    def _whole(self, connection: PeerConnection) -> None:
        now, fresh = self.clock.now(), self.look() is QuorumContact.SETTLED
        connection.send(
            "whole", [one.pack(now) for one in self.registry.whole()], self.registry.leaving, fresh
        )

    def digest(self) -> int:
        """Return a number for all that is known of servers."""
        return endpoints_digest(self.registry.whole())

    # Cables.

    async def connection(self, connection: PeerConnection) -> None:
        """Serve one cable that another process has called."""
        try:
            await connection.read(self._take)
        finally:
            if (
                self.data_planes.pop(connection, None) is not None
                and connection.name not in self.data_planes.values()
            ):
                self.load_tracker.gone(connection.name)
            connection.close()

    def _take(self, connection: PeerConnection, message: Message) -> None:
        name = message[0]
        if name == "hello":
            connection.name = parse_ip(message[2])
            if message[1] == "core":
                connection.about = {"core": True}
                self.core.called(connection.name)
            else:
                self.data_planes[connection] = connection.name
                self.quota_counter.back(connection.name)
                self.load_tracker.gone(connection.name)
                connection.send(*self._view())
                others = sorted(set(self.data_planes.values()) - {connection.name})
                connection.send("pilots", self.random.sample(others, min(INTRODUCED, len(others))))
                self._whole(connection)
                self.offers.holds(connection, message[3].get("version", 0), message[3].get("digest", b""))
                self._offer(connection)
        elif connection.about.get("core"):
            self.core.take(connection, message)
        elif name == "add":
            self._add(connection, int(message[1]), str(message[2]), bool(message[3]), int(message[4]))
        elif name == "berth":
            now, service = self.clock.now(), str(message[2])
            known = [one for one in self.registry.whole() if one.service == service and one.state == READY]
            # Cut off from the others it hears some of the servers alone, and would send all pilots to those.
            offers = self.load_tracker.offers(now, str(message[3]), known) if self.core.steady else []
            connection.send("berths", message[1], offers, len(known))
        elif name == "out":
            self.load_tracker.sent(connection.name, str(message[1]))
        elif name == "in":
            self.load_tracker.ended(self.clock.now(), connection.name, str(message[1]), float(message[2]))
        elif name == "spent":
            tenant = self.offers.routing_table.tenants.get(str(message[1]))
            if tenant is not None:
                self.quota_counter.spent(
                    self.clock.now(), tenant.name, connection.name, tenant.rate, tenant.burst
                )
        elif name == "back":
            self.quota_counter.give_back(self.clock.now(), str(message[1]), connection.name)
        elif name == "past":
            self.quota_counter.past(self.clock.now(), str(message[1]), connection.name, message[2])
        elif name == "tick":
            copy, contact, servers = self.offers.copy, self.look(), self.digest()
            same = connection.about.get("tocked") == copy.digest
            connection.about["tocked"] = copy.digest
            told = b"" if same else copy.digest  # as last told on this cable
            connection.send("tock", self.epoch, copy.version, self.fleet, servers, told, int(contact))
            if len(message) > 1:
                self.offers.holds(connection, message[1], message[2])
            self._offer(connection)
        elif name == "whole":
            connection.send(*self._view())
            self._whole(connection)

    def _add(self, connection: PeerConnection, number: int, name: str, again: bool, epoch: int) -> None:
        now = self.clock.now()
        tenant = self.offers.routing_table.tenants.get(name)
        if tenant is None or not self.core.keeps or epoch != self.core.lease.epoch:
            connection.send("moved", number)
            return
        total, limit, wait = self.quota_counter.add(
            now, name, connection.name, tenant.rate, tenant.burst, again
        )
        connection.send("sum", number, total, limit, round(wait))

    def _from_core(self, ip: str, message: Message) -> None:
        """Hear another core machine's news of servers."""
        now = self.clock.now()
        if message[0] == "servers":
            for told in message[1]:
                server = Endpoint.unpack(told, now)
                known = self.registry.servers.get(server.id)
                if self.registry.beat(now, server) is not None and known is None:
                    self._tell("servers", [server.pack(now)])
        elif message[0] == "shadow":
            for name, told in message[1].items():
                self.quota_counter.shadowed(now, str(name), [(int(ago), int(units)) for ago, units in told])
        elif message[0] == "shares":
            self._take_shares(now, message[1], message[2])
        elif message[0] == "alive":
            back = self.registry.alive(now, [(str(id_), int(seq)) for id_, seq in message[1]])
            if back:
                self._tell("servers", [one.pack(now) for one in back])
            missing = [id_ for id_, _ in message[1] if id_ not in self.registry.servers]
            if missing:
                self.core.say(ip, "tell", missing)
        elif message[0] == "tell":
            asked = [self.registry.servers.get(str(id_)) for id_ in message[1]]
            self.core.say(ip, "servers", [one.pack(now) for one in asked if one is not None])

    def _take_shares(self, now: float, silent: dict[str, float], shares: dict[str, dict[str, float]]) -> None:
        """Hear which pilots a keeper of counts does not hear, and what they all have of its counts."""
        for name, told in shares.items():
            self.quota_counter.take_shares(
                str(name), {str(data_plane): float(share) for data_plane, share in told.items()}
            )
        for data_plane, lasts_ms in silent.items():
            if data_plane not in self.data_planes.values():
                self.quota_counter.went_silent(now, str(data_plane), float(lasts_ms))

    # Upkeep.

    def _tell_short(self, now: float) -> None:
        """Say in one line what the core does not bear of what it should, once that has lasted."""
        short = self.core.short()
        if short != self._short:
            self._short, self._short_since = short, now
        elif now - self._short_since > SHORT_MS:
            self._short_since = math.inf
            if short:
                logs.log_event("core_bears_too_little", lacks="; ".join(short))

    async def upkeep(self) -> None:
        """Look after servers and views, again and again."""
        told_at = saved_at = 0.0
        cores = self._cores()
        while True:
            await trio.sleep(SWEEP_MS * self.random.uniform(0.9, 1.1) / 1000.0)
            now = self.clock.now()
            contact = self.look()
            if contact is QuorumContact.SETTLED:
                self._tell_short(now)
            if self._cores() != cores:
                cores = self._cores()
                self._tell(*self._view())
            if self._fresh and now - told_at >= ALIVE_MS:
                told_at = now
                self.core.say_all("alive", list(self._fresh.items()))
                self._fresh = {}
            bursts = {name: tenant.burst for name, tenant in self.offers.routing_table.tenants.items()}
            much_used = self.quota_counter.much_used(now, bursts)
            if much_used and self.core.steady:
                self.core.say_all("shadow", much_used)
            silent = self.quota_counter.silent_for(now)
            if (much_used or silent) and self.core.steady:
                self.core.say_all("shares", silent, self.quota_counter.shares(now, much_used))
            for connection, name in list(self.data_planes.items()):
                if not connection.live:  # silent, and no reset: it may be cut off, and go on alone
                    del self.data_planes[connection]
                    if name not in self.data_planes.values():
                        self.quota_counter.went_silent(now, name)
                    connection.close()
            known = [one for one in self.registry.whole() if one.state == READY]
            if now - saved_at >= SAVE_MS and self._saved != {one.id for one in known}:
                saved_at, self._saved = now, {one.id for one in known}
                await self.core.save_servers([one.pack(now) for one in known])
            self.sweep(now, contact)

    def sweep(self, now: float, contact: QuorumContact) -> None:
        """Look whose beats have stopped; pilots are told while this machine hears of all that beat."""
        known_before = set(self.registry.servers)
        self._silent |= set(self.registry.sweep(now))
        for id_ in known_before - set(self.registry.servers):
            self.load_tracker.forget(id_)
        if contact is QuorumContact.SETTLED and self._silent:
            lost, self._silent = sorted(self._silent & self.registry.lost), set()
            if lost:
                logs.log_event("servers_silent", ids=",".join(lost))
                self._tell("lost", lost)

    def status(self) -> dict[str, Any]:
        """Return what is known here, for operators."""
        chain, now = self.core.chain, self.clock.now()
        return {
            "node": self.settings.node_name,
            "chain": {
                "epoch": chain.view.epoch,
                "members": [ip for ip, _ in chain.view.chain],
                "voters": [ip for ip, _ in chain.view.voters],
                "member": chain.member,
                "contact": self.look().name.lower(),
                "frozen": chain.frozen,
                "steady": self.core.steady,
                "held": chain.replica.config.version,
                "safe": chain.safe.config.version,
                "disk": chain.me[1],
                "short": self.core.short(),  # what of `tolerates` the view does not bear
            },
            "core": {
                ip: {
                    "live": self.core.live(ip),
                    "behind": self.core.behind(ip),
                    **(asdict(told) if told is not None else {}),
                }
                for ip in self.core.callers
                for told in (self.core.states.get(ip),)
            },
            "pilots": sorted({name for connection, name in self.data_planes.items() if connection.live}),
            "servers": [
                {
                    "id": one.id,
                    "service": one.service,
                    "address": one.address,
                    "zone": one.zone,
                    "state": ("ready", "draining", "gone")[one.state],
                    "slots": one.slots,
                    "silent_s": round((now - self.registry.heard_at.get(one.id, now)) / 1000.0, 1),
                }
                for one in self.registry.servers.values()
            ],
            "counts": {
                name: {"in_span": count.total, "left": round(max(0.0, count.level or 0.0), 1)}
                for name, count in self.quota_counter.counts.items()
            },
        }


async def serve(link: Link, control_plane: Host) -> None:
    """Serve one caller's connection."""
    patience = Patience(silent=10_000.0, head=5_000.0, body=10_000.0, idle=30_000.0)
    await control_plane.serve(Http1Connection(link, control_plane, patience=patience), link)


async def drain(control_plane: ControlPlane) -> None:
    """Wait until what this machine keeps is kept without it, or the grace is nearly over."""
    control_plane.draining = control_plane.core.leaving = True
    with trio.move_on_after(LEAVE_SHARE * control_plane.settings.guarantees.grace_s):
        while not control_plane.core.may_leave:
            await trio.sleep(0.05)


async def run(started: Bootstrap, seed: int, ended: trio.Event) -> None:
    """Run a lighthouse until told to end."""
    settings = started.settings
    async with trio.open_nursery() as nursery:
        control_plane = ControlPlane(settings, nursery, seed)
        core = control_plane.core
        nursery.start_soon(control_plane.timers.run)
        nursery.start_soon(core.run)
        nursery.start_soon(
            partial(accept_connections, started.talk, control_plane.clock, nursery, control_plane.connection)
        )
        nursery.start_soon(core.tick)
        nursery.start_soon(control_plane.upkeep)
        control_plane.tidy()
        if started.control is not None:
            nursery.start_soon(accept, started.control, control_plane, serve)
        held = core.chain.replica.config.version
        logs.log_event("lit", disk=core.chain.me[1], epoch=control_plane.epoch, held=held)
        await ended.wait()
        await drain(control_plane)
        logs.log_event("out", epoch=core.chain.view.epoch)
        nursery.cancel_scope.cancel()
