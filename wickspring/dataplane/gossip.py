"""Gossip among data planes: who is a member, and what any of them has learned.

Membership follows SWIM (Das, Gupta and Motivala, 2002; `membership.swim`). In each round a data plane probes
one other by datagram. One that does not answer with an ack is probed indirectly, through a few others; one
that none of them reaches is suspected, and the suspicion is disseminated before it counts as failed.

Each probe and ack carry the digest of the sender's state: the version of its configuration, how many departed
endpoints it knows, a checksum of its endpoints. Changes of endpoints are sent to a few members at once;
whoever finds itself behind fetches the rest over a connection (anti-entropy). So a data plane that reaches no
control plane still learns what the others learn, and no version ever goes back.
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

PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_JITTER = (0.8, 1.2)
ACK_TIMEOUT_S = 0.25
INDIRECT_ACK_TIMEOUT_S = 2 * ACK_TIMEOUT_S
FETCH_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_MS = 300.0
FANOUT = 3  # members that a change is sent to
DIGEST_MEMBERS = 8  # members whose versions a probe carries, another range each time
MAX_ENTRIES = 24  # entries of members in one ack; while nobody joins or fails there are none
MAX_SUSPICIONS = 4  # in one datagram
MAX_DATAGRAM_BYTES = 1200  # a larger one would be fragmented, and lost with any fragment

# Version of the configuration, digest of its document, departed endpoints, checksum of all endpoints.
GossipDigest = tuple[int, bytes, int, int]


class GossipHost(Protocol):
    """The data plane, as its gossip sees it."""

    def state_digest(self) -> GossipDigest:
        """Return what members compare to find out who is behind."""

    def send_state(self, connection: PeerConnection, version: int, digest: bytes) -> None:
        """Send all that is known; the configuration only where a member's version or text differs."""

    def on_peer_message(self, connection: PeerConnection, message: Message) -> None:
        """Take in what another data plane reports."""

    def is_isolated(self) -> bool:
        """Return whether no control plane is in reach."""


class GossipNode:
    """One data plane among the others."""

    def __init__(
        self,
        ip: str,
        port: int,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        host: GossipHost,
        datagrams: Datagrams,
    ) -> None:
        self.ip = ip
        self.port = port
        self.clock = clock
        self.nursery = nursery
        self.random = random
        self.host = host
        self.datagrams = datagrams
        now_s = clock.now() / 1000.0
        self.members: Membership[MemberInfo] = Membership(
            ip, now_s, MemberInfo(ip), PROBE_INTERVAL_S, random.getrandbits(32), now_s
        )
        self._probe_number = 0
        self._pending_acks: dict[int, Callable[[], None]] = {}
        self._is_fetching = False

    @property
    def size(self) -> int:
        """How many data planes have not failed, this one among them."""
        return self.members.size

    def introduce(self, ips: list[str]) -> None:
        """Probe these data planes, which a control plane has named."""
        for ip in ips:
            if ip != self.ip and self.members.info_of(ip) is None:
                self._send_probe(ip)

    def broadcast(self, kind: str, changes: object) -> None:
        """Send changes to a few members, each of whom passes on what it did not know."""
        living = self.members.active_members()
        for ip in self.random.sample(living, min(FANOUT, len(living))):
            self._send(ip, kind, changes)

    # Failure detection.

    async def run(self) -> None:
        """Probe one member in each round, for as long as the process lives."""
        self.nursery.start_soon(self._receive)
        while True:
            await trio.sleep(PROBE_INTERVAL_S * self.random.uniform(*PROBE_INTERVAL_JITTER))
            for name in self.members.tick(self.clock.now() / 1000.0):
                logs.log_event("data_plane_lost", data_plane=name, remaining=self.members.size)
            self.members.update_own(MemberInfo(self.ip), heartbeat=False)
            target = self.members.next_probe_target()
            if target is not None:
                self.nursery.start_soon(self._probe, target)

    async def _probe(self, ip: str) -> None:
        """Probe a member directly, then through others, and record whether it was reached."""
        acked = trio.Event()
        if await self._probe_directly(ip, acked):
            self.members.record_contact(ip)
            return
        for helper in self.members.select_helpers(ip):
            number = self._expect_ack(acked.set)
            self._send(helper, "reach", number, ip)
        if await _is_set_within(INDIRECT_ACK_TIMEOUT_S, acked):
            self.members.record_indirect_contact(ip)
        else:
            self.members.suspect(ip)

    async def _probe_directly(self, ip: str, acked: trio.Event) -> bool:
        number = self._send_probe(ip, acked.set)
        is_acked = await _is_set_within(ACK_TIMEOUT_S, acked)
        self._pending_acks.pop(number, None)
        return is_acked

    async def _probe_for(self, asker: str, number: int, ip: str) -> None:
        """Probe a member for another one, which it did not answer."""
        if await self._probe_directly(ip, trio.Event()):
            self._send(asker, "reached", number)

    def _send_probe(self, ip: str, on_ack: Callable[[], None] = lambda: None) -> int:
        number = self._expect_ack(on_ack)
        digest = self.members.digest(DIGEST_MEMBERS)
        versions = [digest.low, digest.high, digest.versions]
        self._send(ip, "probe", number, versions, list(self.host.state_digest()), self._suspicions(ip))
        return number

    def _expect_ack(self, on_ack: Callable[[], None]) -> int:
        self._probe_number += 1
        self._pending_acks[self._probe_number] = on_ack
        return self._probe_number

    def _on_ack(self, number: int) -> None:
        on_ack = self._pending_acks.pop(number, None)
        if on_ack is not None:
            on_ack()

    # Datagrams.

    def _send(self, ip: str, *message: object) -> None:
        data = msgpack.packb([message[0], self.ip, *message[1:]])
        if len(data) <= MAX_DATAGRAM_BYTES:
            self.datagrams.send(ip, data)

    async def _receive(self) -> None:
        while True:
            data, ip = await self.datagrams.receive()
            try:
                message = msgpack.unpackb(data)
                if message[1] == ip:
                    self.on_datagram(ip, message)
            except DECODE_ERRORS:
                continue  # not of this system, or damaged

    def on_datagram(self, ip: str, message: list[Any]) -> None:
        """Take in a datagram; raise one of `DECODE_ERRORS` where it is not well formed."""
        name = message[0]
        if name == "probe":
            self._on_probe(ip, message)
        elif name == "word":
            self._on_probe_ack(ip, message)
        elif name == "reach":
            self.nursery.start_soon(self._probe_for, ip, int(message[2]), parse_ip(message[3]))
        elif name == "reached":
            self._on_ack(int(message[2]))
        elif name in ("servers", "leaving"):
            self.host.on_peer_message(PeerConnection(_NO_LINK, self.clock), [name, message[2]])

    def _on_probe(self, ip: str, message: list[Any]) -> None:
        """Answer a probe, then learn from it."""
        _, _, number, (low, high, versions), state, suspicions = message
        known = {
            str(name): EntryVersion(float(incarnation), int(heartbeat), int(content))
            for name, (incarnation, heartbeat, content) in versions.items()
        }
        answer = self.members.delta(Digest(ip, known, low, high), MAX_ENTRIES)
        entries = (*answer.entries, *self.members.take_pending(MAX_ENTRIES - len(answer.entries)))
        self._send(
            ip,
            "word",
            number,
            _pack_entries(entries),
            list(self.host.state_digest()),
            self._suspicions(ip),
        )
        if ip in versions:
            self._merge_entries([[ip, *versions[ip], False]])
        self._on_suspicions(suspicions)
        self._compare_state(ip, state)

    def _on_probe_ack(self, ip: str, message: list[Any]) -> None:
        _, _, number, entries, state, suspicions = message
        self._merge_entries(entries)
        self._on_ack(int(number))
        self._on_suspicions(suspicions)
        self._compare_state(ip, state)

    def _merge_entries(self, packed: list[Any]) -> None:
        self.members.merge_entries([_unpack_entry(entry) for entry in packed])

    def _suspicions(self, ip: str) -> list[Any]:
        """Return the suspicions to send to a member, always with the one against itself if there is one."""
        return [
            [suspicion.name, suspicion.incarnation, suspicion.heartbeat, suspicion.accuser]
            for suspicion in self.members.take_suspicions(ip, MAX_SUSPICIONS)
        ]

    def _on_suspicions(self, packed: list[Any]) -> None:
        self.members.merge_suspicions(
            Suspicion(str(name), float(incarnation), int(heartbeat), str(by))
            for name, incarnation, heartbeat, by in packed
        )

    # Anti-entropy.

    def _compare_state(self, ip: str, theirs: list[Any]) -> None:
        """Fetch the state of a member that is ahead, or, while isolated, of one that differs."""
        version, digest, departures, checksum = self.host.state_digest()
        is_ahead = theirs[0] > version or theirs[2] > departures
        differs = theirs[3] != checksum or (theirs[0] == version and theirs[1] != digest)
        if self._is_fetching or not (is_ahead or (differs and self.host.is_isolated())):
            return
        self._is_fetching = True
        self.nursery.start_soon(self._fetch_state, ip)

    async def _fetch_state(self, ip: str) -> None:
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                sock = await connect((ip, self.port), CONNECT_TIMEOUT_MS)
                if sock is not None:
                    await self._read_state(PeerConnection(Link(sock, self.nursery), self.clock))
        finally:
            self._is_fetching = False

    async def _read_state(self, connection: PeerConnection) -> None:
        version, digest, _, _ = self.host.state_digest()
        try:
            connection.send("fetch", version, digest)
            await connection.read(self.host.on_peer_message)
        finally:
            connection.close()

    async def serve(self, connection: PeerConnection) -> None:
        """Send the state to a member that fetches it."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            await connection.read(self._on_fetch)
        connection.close()

    def _on_fetch(self, connection: PeerConnection, message: Message) -> None:
        if message[0] == "fetch":
            self.host.send_state(connection, int(message[1]), bytes(message[2]))
            connection.link.finish()


async def _is_set_within(seconds: float, event: trio.Event) -> bool:
    with trio.move_on_after(seconds):
        await event.wait()
    return event.is_set()


def _pack_entries(entries: tuple[Entry[MemberInfo], ...]) -> list[Any]:
    packed = []
    for entry in entries[:MAX_ENTRIES]:
        has_left = None if entry.content is None else entry.content.left
        packed.append([entry.owner, entry.incarnation, entry.heartbeat, entry.content_version, has_left])
    return packed


def _unpack_entry(packed: list[Any]) -> Entry[MemberInfo]:
    owner, incarnation, heartbeat, number, has_left = packed
    content = None if has_left is None else MemberInfo(owner, bool(has_left))
    return Entry(parse_ip(owner), float(incarnation), int(heartbeat), int(number), content)


class _NoLink:
    """The link of a change that came by datagram: nothing is sent back on it."""

    broken = True


_NO_LINK: Any = _NoLink()
