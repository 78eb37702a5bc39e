"""Gossip among data planes: who is a member, and what any of them has learned.

Membership follows SWIM (Das, Gupta and Motivala, 2002; `membership.swim`). In each round a data plane probes
one other by datagram. One that does not answer with an ack is probed indirectly, through a few others; one
that none of them reaches is suspected, and the suspicion is disseminated before it counts as failed.

Each probe and ack carry the digest of the sender's state: the version of its configuration, how many departed
endpoints it knows, a checksum of its endpoints. Changes of endpoints are sent to a few members at once; one
that finds itself behind fetches the rest over a connection (`dataplane.state_exchange`): for another checksum
of endpoints alone only while it reaches no control plane, with which it compares endpoints otherwise
(`dataplane.control_client.client`). So a data plane that
reaches no control plane still learns what the others learn, and no version ever goes back.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import assert_never

import msgpack
import trio

from wickspring.common import logs
from wickspring.common.connection import DECODE_ERRORS
from wickspring.common.messages import (
    DATAGRAMS,
    Datagram,
    GossipAck,
    GossipedDepartures,
    GossipedEndpoints,
    GossipProbe,
    MemberEntry,
    MembershipDigest,
    MemberSuspicion,
    ProbeRequest,
    ProbeRequestAck,
)
from wickspring.dataplane.state_exchange import StateExchange
from wickspring.fault_isolation import FaultStep, isolate_faults, run_isolated
from wickspring.membership.anti_entropy import Digest, Entry, EntryVersion
from wickspring.membership.members import MemberInfo
from wickspring.membership.suspicions import Suspicion
from wickspring.membership.swim import Membership
from wickspring.net.clock import Clock
from wickspring.net.datagrams import Datagrams

PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_JITTER = (0.8, 1.2)
ACK_TIMEOUT_S = 0.25
INDIRECT_ACK_TIMEOUT_S = 2 * ACK_TIMEOUT_S
FANOUT = 3  # members that a change is sent to
DIGEST_MEMBERS = 8  # members whose versions a probe carries, another range each time
MAX_ENTRIES = 24  # entries of members in one ack; while nobody joins or fails there are none
MAX_SUSPICIONS = 4  # in one datagram
MAX_DATAGRAM_BYTES = 1200  # a larger one would be fragmented, and lost with any fragment


class GossipNode:
    """One data plane among the others."""

    def __init__(
        self,
        ip: str,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        state_exchange: StateExchange,
        datagrams: Datagrams,
    ) -> None:
        self.ip = ip
        self.clock = clock
        self.nursery = nursery
        self.random = random
        self._state_exchange = state_exchange
        self._local_state = state_exchange.local_state
        self.datagrams = datagrams
        now_s = clock.now() / 1000.0
        self.members: Membership[MemberInfo] = Membership(
            self.ip, now_s, MemberInfo(self.ip), PROBE_INTERVAL_S, random.getrandbits(32), now_s
        )
        self._probe_number = 0
        self._pending_acks: dict[int, Callable[[], None]] = {}

    @property
    def size(self) -> int:
        """How many data planes have not failed, this one among them."""
        return self.members.size

    def join(self, ips: list[str]) -> None:
        """Probe these data planes, which a control plane has named."""
        for ip in ips:
            if ip != self.ip and self.members.info_of(ip) is None:
                self._send_probe(ip)

    def broadcast(self, changes: GossipedEndpoints | GossipedDepartures) -> None:
        """Send changes to a few members, each of whom passes on what it did not know."""
        active = self.members.active_members()
        for ip in self.random.sample(active, min(FANOUT, len(active))):
            self._send(ip, changes)

    # Failure detection.

    async def run(self) -> None:
        """Probe one member in each round, for as long as the process lives."""
        self.nursery.start_soon(self._receive)
        while True:
            await trio.sleep(PROBE_INTERVAL_S * self.random.uniform(*PROBE_INTERVAL_JITTER))
            with isolate_faults(FaultStep.GOSSIP_ROUND):
                self._run_round()

    def _run_round(self) -> None:
        for name in self.members.tick(self.clock.now() / 1000.0):
            logs.log_event("data_plane_lost", data_plane=name, remaining=self.members.size)
        self.members.update_own(MemberInfo(self.ip), heartbeat=False)
        target = self.members.next_probe_target()
        if target is not None:
            self.nursery.start_soon(run_isolated, FaultStep.GOSSIP_ROUND, self._probe, target)

    async def _probe(self, ip: str) -> None:
        """Probe a member directly, then through others, and record whether it was reached."""
        acked = trio.Event()
        if await self._probe_directly(ip, acked):
            self.members.record_contact(ip)
            return
        for helper in self.members.select_helpers(ip):
            number = self._expect_ack(acked.set)
            self._send(helper, ProbeRequest(self.ip, number, ip))
        if await _is_set_within(INDIRECT_ACK_TIMEOUT_S, acked):
            self.members.record_indirect_contact(ip)
        else:
            self.members.suspect(ip)

    async def _probe_directly(self, ip: str, acked: trio.Event) -> bool:
        number = self._send_probe(ip, acked.set)
        is_acked = await _is_set_within(ACK_TIMEOUT_S, acked)
        self._pending_acks.pop(number, None)
        return is_acked

    async def _probe_for(self, requester: str, number: int, ip: str) -> None:
        """Probe a member for another one, which it did not answer."""
        if await self._probe_directly(ip, trio.Event()):
            self._send(requester, ProbeRequestAck(self.ip, number))

    def _send_probe(self, ip: str, on_ack: Callable[[], None] = lambda: None) -> int:
        number = self._expect_ack(on_ack)
        digest = self.members.digest(DIGEST_MEMBERS)
        members = MembershipDigest(digest.low, digest.high, dict(digest.versions))
        state = self._local_state.digest()
        self._send(ip, GossipProbe(self.ip, number, members, state, self._suspicions(ip)))
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

    def _send(self, ip: str, message: Datagram) -> None:
        data = message.encode()
        if len(data) <= MAX_DATAGRAM_BYTES:
            self.datagrams.send(ip, data)

    async def _receive(self) -> None:
        while True:
            data, ip = await self.datagrams.receive()
            with isolate_faults(FaultStep.DATAGRAM):
                self._on_data(data, ip)

    def _on_data(self, data: bytes, ip: str) -> None:
        try:
            message = DATAGRAMS.decode(msgpack.unpackb(data))
            if message is not None and message.sender == ip:
                self.on_datagram(message)
        except DECODE_ERRORS:
            return  # not of this system, or damaged

    def on_datagram(self, message: Datagram) -> None:
        """Handle a datagram whose sender has been compared with its source address."""
        match message:
            case GossipProbe():
                self._on_probe(message)
            case GossipAck():
                self._on_probe_ack(message)
            case ProbeRequest():
                self._start_probe_for(message)
            case ProbeRequestAck():
                self._on_ack(message.probe_number)
            case GossipedEndpoints():
                self._local_state.on_endpoints(message.endpoints)
            case GossipedDepartures():
                self._local_state.on_departures(message.states)
            case _:
                assert_never(message)

    def _start_probe_for(self, request: ProbeRequest) -> None:
        self.nursery.start_soon(
            run_isolated,
            FaultStep.DATAGRAM,
            self._probe_for,
            request.sender,
            request.probe_number,
            request.target,
        )

    def _on_probe(self, probe: GossipProbe) -> None:
        """Answer a probe, then learn from it."""
        ip = probe.sender
        versions = {name: EntryVersion(*version) for name, version in probe.members.versions.items()}
        digest = Digest(ip, versions, probe.members.low, probe.members.high)
        delta = self.members.delta(digest, MAX_ENTRIES)
        entries = (*delta.entries, *self.members.take_pending(MAX_ENTRIES - len(delta.entries)))
        packed = [_pack_entry(entry) for entry in entries[:MAX_ENTRIES]]
        state = self._local_state.digest()
        self._send(ip, GossipAck(self.ip, probe.probe_number, packed, state, self._suspicions(ip)))
        if ip in versions:
            self._merge_entries([MemberEntry(ip, *versions[ip], False)])
        self._merge_suspicions(probe.suspicions)
        self._state_exchange.compare(ip, probe.state)

    def _on_probe_ack(self, ack: GossipAck) -> None:
        self._merge_entries(ack.entries)
        self._on_ack(ack.probe_number)
        self._merge_suspicions(ack.suspicions)
        self._state_exchange.compare(ack.sender, ack.state)

    def _merge_entries(self, entries: list[MemberEntry]) -> None:
        self.members.merge_entries([_unpack_entry(entry) for entry in entries])

    def _suspicions(self, ip: str) -> list[MemberSuspicion]:
        """Return the suspicions to send to a member, always with the one against itself if there is one."""
        return [
            MemberSuspicion(
                suspicion.name, suspicion.incarnation, suspicion.heartbeat, suspicion.suspected_by
            )
            for suspicion in self.members.take_suspicions(ip, MAX_SUSPICIONS)
        ]

    def _merge_suspicions(self, suspicions: list[MemberSuspicion]) -> None:
        self.members.merge_suspicions(
            Suspicion(suspicion.name, suspicion.incarnation, suspicion.heartbeat, suspicion.suspected_by)
            for suspicion in suspicions
        )


async def _is_set_within(seconds: float, event: trio.Event) -> bool:
    with trio.move_on_after(seconds):
        await event.wait()
    return event.is_set()


def _pack_entry(entry: Entry[MemberInfo]) -> MemberEntry:
    has_left = None if entry.content is None else entry.content.left
    return MemberEntry(entry.owner, entry.incarnation, entry.heartbeat, entry.content_version, has_left)


def _unpack_entry(entry: MemberEntry) -> Entry[MemberInfo]:
    content = None if entry.has_left is None else MemberInfo(entry.ip, entry.has_left)
    return Entry(entry.ip, entry.incarnation, entry.heartbeat, entry.content_number, content)
