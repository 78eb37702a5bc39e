"""A pilot's cables to the lighthouses: what it is told, and whom it asks for counts."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec
import trio

from wickspring.common import logs
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import HEARTBEAT_MS, Message, PeerConnection, ReconnectingClient
from wickspring.common.digest import digest_of
from wickspring.common.endpoints import Endpoint
from wickspring.common.routing_table import RoutingTable, build_routing_table
from wickspring.common.seeds import SeedList
from wickspring.common.settings import NodeSettings
from wickspring.common.settings_file import parse_ip
from wickspring.dataplane.policy.config_adoption import AdoptionAction, ConfigAdoption, ConfigCopy
from wickspring.net.clock import Clock

ADD_MS = 90.0  # for an add to be answered, beyond which the pilot rules alone
SWEEP_S = 2.0  # between comparisons of what is known of servers with a lighthouse's
FORGET_CORE_MS = 60_000.0  # that a lighthouse must be out of reach to be forgotten, unless it is a seed


class EndpointListener(Protocol):
    """What is told of servers goes here."""

    def heard(self, now: float, server: Endpoint, fresh: bool = True) -> bool:
        """Take in what is told of a server; True where that is news."""

    def left(self, leaving: dict[str, int]) -> dict[str, int]:
        """Take in who leaves; return those for whom that is news."""

    def silent(self, ids: list[str]) -> None:
        """Take in whom the lighthouses no longer hear."""


QuotaReply = Callable[[int, int, float], None]  # total, limit (below 0: nobody said), ms to the window's end
EndpointAdvice = Callable[[list[tuple[str, float]], int], None]  # servers with their costs, and of how many


class ControlClient:
    """All cables of one pilot."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        servers: EndpointListener,
        past: Callable[[], list[tuple[str, list[tuple[int, int]]]]],
        digest: Callable[[], int],
        charted: Callable[[RoutingTable], None],
        passed_on: Callable[[str, object], None],
        introduced: Callable[[list[str]], None],
        told: Callable[[], None],
    ) -> None:
        self.settings, self.clock, self.nursery, self.random = settings, clock, nursery, random
        self.servers, self._past, self._digest, self._charted = servers, past, digest, charted
        self._passed_on, self._introduced, self._told = passed_on, introduced, told
        self.packed = b""  # the configuration, as it came
        self.routing_table = RoutingTable()
        self.adoption = ConfigAdoption(clock.now())
        self.epoch = -1
        self.members: list[str] = []
        self.fleet = 0  # pilots, as the lighthouses count them
        self.whole_from: set[str] = set()  # lighthouses that have told all servers they know
        self.callers: dict[str, ReconnectingClient] = {}
        self._adds: dict[int, tuple[ReconnectingClient, QuotaReply]] = {}
        self._berths: dict[int, EndpointAdvice] = {}
        self._number = 0
        self._fleets: dict[str, int] = {}  # pilots, as each lighthouse counts them
        self._owners: dict[str, str] = {}
        self.seeds = SeedList(settings)
        self.know(settings.seed_ips())

    def know(self, ips: list[str]) -> None:
        """Keep a cable to each of these lighthouses."""
        for ip in ips:
            if ip not in self.callers:
                caller = ReconnectingClient(
                    (ip, self.settings.talk_port),
                    self.clock,
                    self.nursery,
                    self.random,
                    self._greet,
                    self.take,
                    self._lost,
                )
                self.callers[ip] = caller
                self.nursery.start_soon(caller.run)

    def _greet(self, connection: PeerConnection) -> None:
        about = {
            "version": self.routing_table.version,
            "digest": self.adoption.digest,
            "zone": self.settings.zone,
        }
        connection.send("hello", "pilot", self.settings.ip, about)
        connection.about["told"] = self.routing_table.version, self.adoption.digest
        self._tell_past(connection)

    def _tell_past(self, connection: PeerConnection) -> None:
        for tenant, told in self._past():
            connection.send("past", tenant, told)

    @property
    def live(self) -> list[str]:
        """Return the lighthouses in reach."""
        return [ip for ip, caller in self.callers.items() if caller.live]

    def _contact(self) -> QuorumContact:
        """Return how the lighthouse in reach that stands best stands with the core."""
        told = [
            caller.connection.about.get("contact", QuorumContact.NONE)
            for caller in self.callers.values()
            if caller.live and caller.connection is not None
        ]
        return max(told, default=QuorumContact.NONE)

    @property
    def in_contact(self) -> bool:
        """Tell whether a lighthouse in reach is in contact with a majority of the core."""
        return self._contact() > QuorumContact.NONE

    @property
    def standing(self) -> ConfigStatus:
        """Return what this pilot may say of its configuration to others."""
        known = self.adoption.standing
        return ConfigStatus.CURRENT if known is ConfigStatus.SAFE and self.in_contact else known

    @property
    def informed(self) -> bool:
        """Tell whether enough has been told to serve by: a configuration, and servers by most lighthouses."""
        known = len(self.members) or len(self.settings.seed_addrs)
        return self.routing_table.version > 0 and len(self.whole_from & set(self.members)) > known // 2

    # What is told.

    def take(self, connection: PeerConnection, message: Message, by_control_plane: bool = True) -> None:
        """Take in what a lighthouse, or another pilot, tells."""
        name, now = message[0], self.clock.now()
        if name == "sum":
            asked = self._adds.pop(int(message[1]), None)
            if asked is not None:
                asked[1](int(message[2]), int(message[3]), float(message[4]))
        elif name == "moved":
            asked = self._adds.pop(int(message[1]), None)
            if asked is not None:
                asked[1](0, -1, 0.0)
        elif name == "berths":
            offered = self._berths.pop(int(message[1]), None)
            if offered is not None:
                offered([(str(id_), float(cost)) for id_, cost in message[2]], int(message[3]))
        elif name == "servers":
            news = [one for told in message[1] if self.servers.heard(now, one := Endpoint.unpack(told, now))]
            if news:
                self._passed_on("servers", [one.pack(now) for one in news])
        elif name == "leaving":
            left = self.servers.left({str(id_): int(state) for id_, state in message[1].items()})
            if left:
                self._passed_on("leaving", left)
        elif name == "pilots":
            self._introduced([parse_ip(ip) for ip in message[1]])
        elif name == "lost":
            self.servers.silent([str(id_) for id_ in message[1]])
        elif name == "whole":
            fresh = bool(message[3])
            self.servers.left({str(id_): int(state) for id_, state in message[2].items()})
            if fresh or self._contact() < QuorumContact.SETTLED:  # else there is somebody who knows better
                for told in message[1]:
                    self.servers.heard(now, Endpoint.unpack(told, now), fresh)
            self.whole_from.add(connection.name)
            self._told()
        elif name == "chart":
            _, version, packed, digest, standing = message
            copy = ConfigCopy(int(version), bytes(digest), bytes(packed), ConfigStatus(standing))
            self._told_chart(copy, self.adoption.told(now, copy, by_control_plane))
        elif name == "view":
            connection.name = str(message[3][0])
            self.know([parse_ip(ip) for ip in message[3]])
            self.fleet = max(self.fleet, int(message[4]))
            self._take_view(int(message[1]), [parse_ip(ip) for ip in message[2]])
        elif name == "tock":
            self._fleets[connection.name] = int(message[3])
            self.fleet = max(self._fleets.values())
            connection.about["digest"] = int(message[4])
            contact = connection.about["contact"] = QuorumContact(message[6])
            if message[5]:  # else as last told on this cable
                connection.about["safe"] = bytes(message[5])
            if contact > QuorumContact.NONE:
                safe = connection.about.get("safe", b"")
                confirmed = self.adoption.confirmed(now, int(message[2]), safe)
                if confirmed is not None:
                    self._take_routing_table(confirmed)

    def _told_chart(self, copy: ConfigCopy, advice: AdoptionAction) -> None:
        if advice in (AdoptionAction.PASS_OVER, AdoptionAction.WAIT):
            return
        if advice is AdoptionAction.GIVE_WAY:
            logs.log_event("config_gave_way", version=copy.version)
        elif advice is AdoptionAction.FENCE:
            logs.log_event("config_two_texts", version=copy.version, digest=copy.digest.hex())
        self._take_routing_table(copy)

    def _take_routing_table(self, copy: ConfigCopy) -> None:
        try:
            document = zlib.decompress(copy.packed)
            if digest_of(document) != copy.digest:
                raise ValueError("not the text of its digest")
            self.routing_table = build_routing_table(document)
        except (zlib.error, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            logs.log_event("chart_unusable", version=copy.version, reason=repr(error))
            self.adoption.drop(copy)
            return
        self.packed = copy.packed
        self.adoption.took(copy)
        logs.log_event("chart", version=copy.version, standing=copy.standing.label)
        self._charted(self.routing_table)
        self._told()

    def _take_view(self, epoch: int, members: list[str]) -> None:
        if epoch <= self.epoch:
            return
        self.epoch, self.members = epoch, members
        self.know(members)  # whoever tells of them may not have reached them all itself yet
        self._owners.clear()
        for ip in members:
            caller = self.callers.get(ip)
            if caller is not None and caller.connection is not None:
                self._tell_past(caller.connection)

    # Counts.

    def owner(self, tenant: str) -> str:
        """Return the lighthouse that keeps a tenant's count: the one whose hash with it is highest."""
        owner = self._owners.get(tenant)
        if owner is None:

            def weight(ip: str) -> bytes:
                return hashlib.blake2b(f"{tenant} {ip}".encode(), digest_size=8).digest()

            owner = self._owners[tenant] = max(self.members, key=weight, default="")
        return owner

    def add(self, tenant: str, again: bool, answered: QuotaReply) -> int:
        """Add a unit to a tenant's count; a number to `give_up` by, or 0 where nobody can be asked."""
        caller = self.callers.get(self.owner(tenant))
        if caller is None or not caller.live:
            return 0
        self._number += 1
        self._adds[self._number] = caller, answered
        caller.send("add", self._number, tenant, again, self.epoch)
        return self._number

    def give_up(self, number: int, late: QuotaReply) -> None:
        """Wait no longer for an add; what it came to after all is told late, unless the cable ends before."""
        if number in self._adds:
            self._adds[number] = self._adds[number][0], late

    def _lost(self, caller: ReconnectingClient) -> None:
        """Forget what was asked on a cable that has ended: the next one begins with all that was sent on."""
        for number in [n for n, (asked, _) in self._adds.items() if asked is caller]:
            del self._adds[number]

    def spent(self, tenant: str) -> None:
        """Tell a keeper of a unit that it has not counted, and that was sent on all the same."""
        caller = self.callers.get(self.owner(tenant))
        if caller is not None:
            caller.send("spent", tenant)

    def give_back(self, tenant: str) -> None:
        """Take back the unit of a request that has not run and never will."""
        caller = self.callers.get(self.owner(tenant))
        if caller is not None:
            caller.send("back", tenant)

    # Servers to take.

    def candidate(self, service: str, answered: EndpointAdvice) -> int:
        """Ask for the servers of a service best taken; a number to `drop` by, 0 where nobody can be asked."""
        caller = self.callers.get(self.owner(service))
        if caller is None or not caller.live:
            return 0
        self._number += 1
        self._berths[self._number] = answered
        caller.send("berth", self._number, service, self.settings.zone)
        return self._number

    def drop(self, number: int) -> None:
        """Wait no longer for an answer on berths."""
        self._berths.pop(number, None)

    def out(self, service: str, server: str) -> str:
        """Tell that a request goes to a server; return who was told, for `back_in`."""
        owner = self.owner(service)
        caller = self.callers.get(owner)
        return owner if caller is not None and caller.send("out", server) else ""

    def back_in(self, told: str, server: str, ratio: float) -> None:
        """Tell that it is over, and how it went."""
        caller = self.callers.get(told)
        if caller is not None:
            caller.send("in", server, round(ratio, 2))

    # Upkeep.

    async def tick(self) -> None:
        """Say that this pilot is there, again and again, and mend what the news has missed."""
        swept = self.clock.now()
        while True:
            self.know(self.seeds.ips(self.clock.now(), bool(self.live)))
            for caller in list(self.callers.values()):
                self._tick(caller)
            now = self.clock.now()
            self.settle(now)
            if now - swept > 1000.0 * SWEEP_S:
                swept = now
                self._compare()
                self._forget(now)
            await trio.sleep(HEARTBEAT_MS * self.random.uniform(0.85, 1.15) / 1000.0)

    def _tick(self, caller: ReconnectingClient) -> None:
        """Say that this pilot is there; which configuration it goes by only where that is news."""
        mine = self.routing_table.version, self.adoption.digest
        connection = caller.connection
        if connection is not None and connection.about.get("told") != mine and caller.send("tick", *mine):
            connection.about["told"] = mine
        else:
            caller.send("tick")

    def settle(self, now: float) -> None:
        """Go by the last known configuration where nobody in contact tells of any."""
        due = self.adoption.due(now)
        if due is not None:
            self._take_routing_table(due)

    def _compare(self) -> None:
        mine, best = self._digest(), self._contact()
        live = [
            one.connection
            for one in self.callers.values()
            if one.live
            and one.connection is not None
            and one.connection.about.get("contact", QuorumContact.NONE) == best
        ]
        differ = [connection for connection in live if connection.about.get("digest", mine) != mine]
        if differ:
            self.random.choice(differ).send("whole")

    def _forget(self, now: float) -> None:
        keep = {*self.settings.seed_ips(), *self.members}
        for ip, caller in list(self.callers.items()):
            if caller.live:
                caller.tried_at = now
            elif ip not in keep and now - caller.tried_at > FORGET_CORE_MS:
                caller.close()
                del self.callers[ip]
