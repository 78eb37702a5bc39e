"""Pilots that know each other and pass news on, by the hundred in virtual time: the real code, no socket.

`python -m wickspring.ctl flotilla --pilots 100` starts so many, each told of three others as a lighthouse
does, and measures: when all know all; the bytes that each sends in a quiet second, with datagrams lost now
and then; how many that are well were given up; when the others know that one has ended; when a version
that one was told has come to all; and what becomes of one that hears and is not heard.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from random import Random
from typing import Any

import trio
import trio.testing

from wickspring.common.connection import PeerConnection
from wickspring.common.digest import DIGEST_SIZE
from wickspring.common.messages import EndpointRecord, PeerReply, StateDigest
from wickspring.dataplane.gossip import GossipNode
from wickspring.lab.simulation.clock import VirtualClock

LOSS = 0.01  # of all datagrams
INTRODUCED = 3
LOOK_S = 0.25  # between looks at who knows what
QUIET_S = 30.0  # over which bytes and false removals are counted
MOST_S = 120.0  # that anything is waited for
HOP_S = 0.003
DOCUMENT = 8192  # bytes of a configuration, packed


class Net:
    """What carries datagrams: loses some, and all in the directions that are cut."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.ends: dict[str, Wire] = {}
        self.mute: set[str] = set()  # who is not heard
        self.dead: set[str] = set()

    def carry(self, sender: str, to: str, data: bytes) -> None:
        """Carry one datagram."""
        end = self.ends.get(to)
        if end is None or {sender, to} & self.dead or sender in self.mute or self.random.random() < LOSS:
            return
        end.put(data, sender)


class Wire:
    """One pilot's end."""

    def __init__(self, net: Net, ip: str) -> None:
        self.net, self.ip, self.sent = net, ip, 0
        self._in, self._out = trio.open_memory_channel[tuple[bytes, str]](10_000)
        net.ends[ip] = self

    def send(self, ip: str, data: bytes) -> None:
        """Send one, with what IP and UDP put before it."""
        self.sent += len(data) + 28
        self.net.carry(self.ip, ip, data)

    def put(self, data: bytes, sender: str) -> None:
        """Have one arrive."""
        self._in.send_nowait((data, sender))

    async def receive(self) -> tuple[bytes, str]:
        """Wait for one."""
        return await self._out.receive()


class VirtualDataPlane:
    """What one pilot holds: a version, and nothing more."""

    def __init__(self, fleet: Fleet, number: int, nursery: trio.Nursery) -> None:
        self.fleet, self.ip, self.version = fleet, f"10.0.{number // 250}.{number % 250 + 1}", 0
        self.wire = Wire(fleet.net, self.ip)
        random = Random(fleet.random.getrandbits(32))
        self.talk = Talk(self.ip, 1, fleet.clock, nursery, random, self, self.wire)
        self.talk.fleet = fleet

    def state_digest(self) -> StateDigest:
        """Return the state to compare."""
        return StateDigest(self.version, bytes(DIGEST_SIZE) if self.version else b"", 0, 0)

    def send_state(self, connection: PeerConnection, version: int, digest: bytes) -> None:
        """Nothing is told over cables here."""

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Nothing comes over cables here."""

    def on_gossiped_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """No endpoint is known here."""

    def on_gossiped_departures(self, states: dict[str, int]) -> None:
        """No endpoint is known here."""

    def is_isolated(self) -> bool:
        """Tell that lighthouses are in reach."""
        return False


class Talk(GossipNode):
    """The real talk; only the cable of a fetch is carried out otherwise."""

    fleet: Fleet

    async def _fetch_state(self, ip: str) -> None:
        mine, theirs = self.fleet.data_planes[self.ip], self.fleet.data_planes[ip]
        try:
            await trio.sleep(3 * HOP_S)
            if {self.ip, ip} & (self.fleet.net.dead | self.fleet.net.mute):
                return
            if theirs.version > mine.version:
                theirs.wire.sent += DOCUMENT
                mine.version = theirs.version
        finally:
            self._is_fetching = False


class Fleet:
    """All pilots of one run."""

    def __init__(self, count: int, seed: int, nursery: trio.Nursery) -> None:
        self.random, self.clock = Random(seed), VirtualClock()
        self.net = Net(self.random)
        self.data_planes: dict[str, VirtualDataPlane] = {}
        for number in range(count):
            data_plane = VirtualDataPlane(self, number, nursery)
            self.data_planes[data_plane.ip] = data_plane

    @property
    def living(self) -> list[VirtualDataPlane]:
        """Return those that have not been ended."""
        return [one for ip, one in self.data_planes.items() if ip not in self.net.dead]

    async def until(self, share: float, known: Callable[[VirtualDataPlane], bool]) -> float:
        """Wait until so large a share of the living know something; the seconds that it took, or -1."""
        begun = trio.current_time()
        while trio.current_time() - begun < MOST_S:
            living = self.living
            if sum(map(known, living)) >= share * len(living):
                return round(trio.current_time() - begun, 2)
            await trio.sleep(LOOK_S)
        return -1.0

    def gone(self) -> int:
        """Count pairs of the living in which one takes the other for gone."""
        return sum(len(self.living) - one.talk.members.size for one in self.living)


async def _play(count: int, seed: int, result: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(count, seed, nursery)
        random, all_ = fleet.random, list(fleet.data_planes.values())
        for one in all_:
            nursery.start_soon(one.talk.run)
        for one in all_:
            one.talk.introduce(random.sample([two.ip for two in all_], min(INTRODUCED, count)))
        result["all_know_all_s"] = await fleet.until(1.0, lambda one: one.talk.members.size == count)
        sent = [one.wire.sent for one in all_]
        wrong = most = 0
        for _ in range(int(QUIET_S / LOOK_S)):
            await trio.sleep(LOOK_S)
            wrong += fleet.gone()
            most = max(most, fleet.gone())
        bytes_s = [(one.wire.sent - before) / QUIET_S for one, before in zip(all_, sent, strict=True)]
        result["bytes_s"] = round(statistics.mean(bytes_s))
        result["bytes_s_most"] = round(max(bytes_s))
        result["wrongly_gone_most"] = most
        first = random.choice(all_)
        first.version = 2
        result["news_half_s"] = await fleet.until(0.5, lambda one: one.version == 2)
        result["news_all_s"] = await fleet.until(1.0, lambda one: one.version == 2)
        ended = random.choice(all_).ip
        fleet.net.dead.add(ended)
        result["gone_half_s"] = await fleet.until(
            0.5, lambda one: ended not in one.talk.members.active_members()
        )
        rest = await fleet.until(1.0, lambda one: ended not in one.talk.members.active_members())
        result["gone_all_s"] = rest if rest < 0 else round(result["gone_half_s"] + rest, 2)
        unheard = random.choice(fleet.living)
        fleet.net.mute.add(unheard.ip)
        rest = await fleet.until(
            1.0, lambda one: one is unheard or unheard.ip not in one.talk.members.active_members()
        )
        result["unheard_gone_s"] = rest
        fleet.net.mute.clear()
        back = await fleet.until(
            1.0, lambda one: one is unheard or unheard.ip in one.talk.members.active_members()
        )
        result["unheard_back_s"] = back
        nursery.cancel_scope.cancel()


def measure(count: int, seed: int = 1) -> dict[str, Any]:
    """Play one run of so many pilots; seconds of its time, and bytes."""
    result: dict[str, Any] = {"pilots": count, "seed": seed}
    trio.run(_play, count, seed, result, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return result
