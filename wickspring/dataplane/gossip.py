"""How pilots know each other, and pass on what one of them has been told.

Each pilot probes the others in turn with datagrams. One that does not answer is asked after through a few
others; one whom none of them reaches is doubted, and the doubt goes round before it counts as gone
(`gossip.members`). Each probe and its answer carry what the sender holds: the version of the configuration
and its digest, how many servers it knows to leave, and a number for all that it knows. News goes to a few
others at once; whoever finds itself behind fetches the rest over a cable. So a pilot that no lighthouse
reaches still hears what the others hear, and nothing ever goes back in number.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import msgpack
import trio

from wickspring.common import logs
from wickspring.common.connection import DECODE_ERRORS, Message, PeerConnection
from wickspring.common.settings_file import parse_ip
from wickspring.membership.anti_entropy import Digest, Entry, EntryVersion
from wickspring.membership.swim import MemberInfo, Membership, Suspicion
from wickspring.net.clock import Clock
from wickspring.net.datagrams import Datagrams
from wickspring.net.link import Link, connect

ROUND_S = 1.0
WORD_S = 0.25  # for an answer to a probe
FETCH_S = 1.5
MATES = 3  # pilots that a piece of news is passed to
NAMED = 8  # members that a probe names with what is held of them, another stretch each time
ENTRIES = 24  # of members in one answer, at most; while nobody comes or goes there are none
DOUBTS = 4
MOST_DATAGRAM = 1200  # bytes; more than a packet of the network would be lost with any part of it
PIECE = 6  # servers in one datagram of news
DIAL_MS = 300.0

# Version of the configuration and digest of its text, servers that leave, a number for all servers.
GossipDigest = tuple[int, bytes, int, int]


class GossipHost(Protocol):
    """What a pilot holds, and where what is fetched goes."""

    def state(self) -> GossipDigest:
        """Return the state to compare."""

    def tell_all(self, connection: PeerConnection, version: int, digest: bytes) -> None:
        """Tell all that is held; the configuration only where it is above a version, or another text."""

    def take(self, connection: PeerConnection, message: Message) -> None:
        """Take in what another pilot tells."""

    def alone(self) -> bool:
        """Tell whether no lighthouse is in reach."""


class GossipNode:
    """One pilot among the others."""

    def __init__(
        self,
        ip: str,
        port: int,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        holds: GossipHost,
        wire: Datagrams,
    ) -> None:
        self.ip, self.port, self.clock, self.nursery, self.random = ip, port, clock, nursery, random
        self.holds, self.wire = holds, wire
        now = clock.now() / 1000.0
        self.members: Membership[MemberInfo] = Membership(
            ip, now, MemberInfo(ip), ROUND_S, random.getrandbits(32), now
        )
        self._number = 0
        self._waits: dict[int, Callable[[], None]] = {}
        self._fetching = False

    @property
    def size(self) -> int:
        """How many pilots are not gone, this one among them."""
        return self.members.size

    def introduce(self, ips: list[str]) -> None:
        """Talk to these pilots, which a lighthouse has named."""
        for ip in ips:
            if ip != self.ip and self.members.info_of(ip) is None:
                self._probe(ip)

    def pass_on(self, kind: str, told: Any) -> None:
        """Tell a piece of news to a few others."""
        living = self.members.active_members()
        for name in self.random.sample(living, min(MATES, len(living))):
            self._send(name, kind, told)

    # Datagrams.

    def _send(self, ip: str, *message: object) -> None:
        data = msgpack.packb([message[0], self.ip, *message[1:]])
        if len(data) <= MOST_DATAGRAM:
            self.wire.send(ip, data)

    def _entries(self, entries: tuple[Entry[MemberInfo], ...]) -> list[Any]:
        told = []
        for one in entries[:ENTRIES]:
            left = None if one.content is None else one.content.left
            told.append([one.owner, one.incarnation, one.heartbeat, one.content_version, left])
        return told

    def _hear(self, told: list[Any]) -> None:
        entries = [
            Entry(parse_ip(o), float(i), int(b), int(n), None if left is None else MemberInfo(o, bool(left)))
            for o, i, b, n, left in told
        ]
        self.members.merge_entries(entries)

    def _doubts(self, ip: str) -> list[Any]:
        return [
            [one.name, one.incarnation, one.heartbeat, one.accuser]
            for one in self.members.take_suspicions(ip, DOUBTS)
        ]

    def _probe(self, ip: str, answered: Callable[[], None] = lambda: None) -> int:
        self._number += 1
        self._waits[self._number] = answered
        digest = self.members.digest(NAMED)
        heard = [digest.low, digest.high, digest.versions]
        self._send(ip, "probe", self._number, heard, list(self.holds.state()), self._doubts(ip))
        return self._number

    async def run(self) -> None:
        """Probe one of the others after another, and give up those that are gone."""
        self.nursery.start_soon(self._receive)
        while True:
            await trio.sleep(ROUND_S * self.random.uniform(0.8, 1.2))
            for name in self.members.tick(self.clock.now() / 1000.0):
                logs.log_event("pilot_gone", data_plane=name, left=self.members.size)
            self.members.update_own(MemberInfo(self.ip), heartbeat=False)
            target = self.members.next_probe_target()
            if target is not None:
                self.nursery.start_soon(self._ask, target)

    async def _ask(self, ip: str) -> None:
        """Probe one; through others where it does not answer."""
        answered = trio.Event()
        number = self._probe(ip, answered.set)
        with trio.move_on_after(WORD_S):
            await answered.wait()
        self._waits.pop(number, None)
        if answered.is_set():
            self.members.record_contact(ip)
            return
        for helper in self.members.select_helpers(ip):
            self._number += 1
            self._waits[self._number] = answered.set
            self._send(helper, "reach", self._number, ip)
        with trio.move_on_after(2 * WORD_S):
            await answered.wait()
        if answered.is_set():
            self.members.record_indirect_contact(ip)
        else:
            self.members.suspect(ip)

    async def _reach(self, asker: str, number: int, ip: str) -> None:
        answered = trio.Event()
        mine = self._probe(ip, answered.set)
        with trio.move_on_after(WORD_S):
            await answered.wait()
        self._waits.pop(mine, None)
        if answered.is_set():
            self._send(asker, "reached", number)

    async def _receive(self) -> None:
        while True:
            data, ip = await self.wire.receive()
            try:
                message = msgpack.unpackb(data)
                if message[1] == ip:
                    self._take(ip, message)
            except DECODE_ERRORS:
                continue  # not of this system, or spoilt

    def _take(self, ip: str, message: list[Any]) -> None:
        name = message[0]
        if name == "probe":
            _, _, number, (low, high, heard), state, doubts = message
            known = {str(k): EntryVersion(float(v[0]), int(v[1]), int(v[2])) for k, v in heard.items()}
            news = self.members.delta(Digest(ip, known, low, high), ENTRIES)
            entries = (*news.entries, *self.members.take_pending(ENTRIES - len(news.entries)))
            self._send(ip, "word", number, self._entries(entries), list(self.holds.state()), self._doubts(ip))
            self._hear([[ip, *heard[ip], False]] if ip in heard else [])
            self._doubted(doubts)
            self._compare(ip, state)
        elif name == "word":
            _, _, number, entries, state, doubts = message
            self._hear(entries)
            answered = self._waits.pop(int(number), None)
            if answered is not None:
                answered()
            self._doubted(doubts)
            self._compare(ip, state)
        elif name == "reach":
            self.nursery.start_soon(self._reach, ip, int(message[2]), parse_ip(message[3]))
        elif name == "reached":
            answered = self._waits.pop(int(message[2]), None)
            if answered is not None:
                answered()
        elif name in ("servers", "leaving"):
            self.holds.take(PeerConnection(_NOWHERE, self.clock), [name, message[2]])

    def _doubted(self, doubts: list[Any]) -> None:
        self.members.merge_suspicions(Suspicion(str(n), float(i), int(b), str(by)) for n, i, b, by in doubts)

    # Gaps.

    def _compare(self, ip: str, told: list[Any]) -> None:
        """Fetch from a pilot that is ahead, or, where no lighthouse is in reach, from one that differs."""
        mine = self.holds.state()
        ahead = told[0] > mine[0] or told[2] > mine[2]
        differs = told[3] != mine[3] or (told[0] == mine[0] and told[1] != mine[1])
        if (ahead or (differs and self.holds.alone())) and not self._fetching:
            self._fetching = True
            self.nursery.start_soon(self._fetch, ip)

    async def _fetch(self, ip: str) -> None:
        try:
            with trio.move_on_after(FETCH_S):
                sock = await connect((ip, self.port), DIAL_MS)
                if sock is None:
                    return
                connection = PeerConnection(Link(sock, self.nursery), self.clock)
                try:
                    connection.send("fetch", *self.holds.state()[:2])
                    await connection.read(self.holds.take)
                finally:
                    connection.close()
        finally:
            self._fetching = False

    async def serve(self, connection: PeerConnection) -> None:
        """Tell all to a pilot that fetches."""

        def take(connection: PeerConnection, message: Message) -> None:
            if message[0] == "fetch":
                self.holds.tell_all(connection, int(message[1]), bytes(message[2]))
                connection.link.finish()

        with trio.move_on_after(FETCH_S):
            await connection.read(take)
        connection.close()


class _Nowhere:
    """The link of news that came by datagram: nothing is said back on it."""

    broken = True


_NOWHERE: Any = _Nowhere()
