"""Hundreds of data planes that gossip, in virtual time: the data plane's own code without sockets.

`python -m wickspring.ctl gossip --data-planes 100` starts so many, introduces each to three others as a
control plane does, and measures: when all know all; the bytes that each sends per second while nothing
happens, with datagrams lost now and then; how many healthy members were taken for failed; when all have a
configuration that was given to one; when the others take one for failed that was killed, and one that only
receives.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from random import Random

import msgspec
import trio
import trio.testing

from wickspring.common.config_version import ConfigVersion, is_newer, version_to_wire
from wickspring.common.connection import PeerConnection
from wickspring.common.digest import DIGEST_SIZE
from wickspring.common.messages import EndpointRecord, PeerReply, StateDigest
from wickspring.dataplane.gossip import GossipNode
from wickspring.dataplane.state_exchange import StateExchange
from wickspring.lab.simulation.clock import VirtualClock

LOSS = 0.01  # of all datagrams
INTRODUCTIONS = 3  # data planes that each one is introduced to
POLL_S = 0.25
IDLE_S = 30.0  # over which bytes and false failures are counted
TIMEOUT_S = 120.0  # for any condition to come about
FETCH_S = 0.009  # to connect to a member and fetch its state
HEADER_BYTES = 28  # of IPv4 and UDP, before each datagram
CONFIG_BYTES = 8192  # of a compressed configuration
NEW_VERSION = 2
NOT_REACHED = -1.0  # in place of a duration: the condition did not come about

Condition = Callable[["VirtualDataPlane"], bool]


class VirtualNetwork:
    """Carries datagrams; loses some of them, and all of those who are muted or dead."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.sockets: dict[str, VirtualSocket] = {}
        self.muted: set[str] = set()  # IPs whose datagrams are lost
        self.dead: set[str] = set()

    def carry(self, sender: str, receiver: str, data: bytes) -> None:
        """Carry one datagram, or lose it."""
        socket = self.sockets.get(receiver)
        if socket is None or {sender, receiver} & self.dead or sender in self.muted:
            return
        if self.random.random() >= LOSS:
            socket.deliver(data, sender)


class VirtualSocket:
    """The datagram socket of one data plane."""

    def __init__(self, network: VirtualNetwork, ip: str) -> None:
        self.network = network
        self.ip = ip
        self.bytes_sent = 0
        self._incoming, self._received = trio.open_memory_channel[tuple[bytes, str]](10_000)
        network.sockets[ip] = self

    def send(self, ip: str, data: bytes) -> None:
        """Send a datagram."""
        self.bytes_sent += len(data) + HEADER_BYTES
        self.network.carry(self.ip, ip, data)

    def deliver(self, data: bytes, sender: str) -> None:
        """Have a datagram arrive."""
        self._incoming.send_nowait((data, sender))

    async def receive(self) -> tuple[bytes, str]:
        """Wait for a datagram and its sender's IP."""
        return await self._received.receive()


class VirtualDataPlane:
    """A data plane that knows a version of the configuration, and nothing more."""

    def __init__(self, group: DataPlaneGroup, number: int, nursery: trio.Nursery) -> None:
        self.ip = f"10.0.{number // 250}.{number % 250 + 1}"
        self.version: ConfigVersion = None
        self.socket = VirtualSocket(group.network, self.ip)
        random = Random(group.random.getrandbits(32))
        exchange = VirtualStateExchange(group, nursery, self)
        self.gossip = GossipNode(self.ip, group.clock, nursery, random, exchange, self.socket)

    def knows(self, ip: str) -> bool:
        """Return whether another data plane counts as alive here."""
        return ip in self.gossip.members.active_members()

    # `LocalState`; nothing is sent over connections here, and no endpoint is known.

    def digest(self) -> StateDigest:
        """Return the state to compare."""
        return StateDigest(
            version_to_wire(self.version), b"" if self.version is None else bytes(DIGEST_SIZE), 0, 0
        )

    def send(self, connection: PeerConnection, version: ConfigVersion, digest: bytes) -> None:
        """Send nothing."""

    def on_peer_message(self, connection: PeerConnection, message: PeerReply) -> None:
        """Receive nothing."""

    def on_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Receive nothing."""

    def on_departures(self, states: dict[str, int]) -> None:
        """Receive nothing."""

    def is_isolated(self) -> bool:
        """Return that a control plane is in reach."""
        return False


class VirtualStateExchange(StateExchange):
    """The data plane's own anti-entropy; only the connection of a fetch is simulated."""

    def __init__(self, group: DataPlaneGroup, nursery: trio.Nursery, data_plane: VirtualDataPlane) -> None:
        super().__init__(0, group.clock, nursery, data_plane)
        self._group = group
        self._data_plane = data_plane

    async def fetch(self, ip: str) -> None:
        """Take over the version of another data plane after the time that a fetch takes."""
        own = self._data_plane
        other = self._group.data_planes[ip]
        network = self._group.network
        await trio.sleep(FETCH_S)
        if {own.ip, ip} & (network.dead | network.muted):
            return
        if is_newer(other.version, own.version):
            other.socket.bytes_sent += CONFIG_BYTES
            own.version = other.version


class DataPlaneGroup:
    """All data planes of one run."""

    def __init__(self, count: int, seed: int, nursery: trio.Nursery) -> None:
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.network = VirtualNetwork(self.random)
        self.data_planes: dict[str, VirtualDataPlane] = {}
        for number in range(count):
            data_plane = VirtualDataPlane(self, number, nursery)
            self.data_planes[data_plane.ip] = data_plane

    @property
    def living(self) -> list[VirtualDataPlane]:
        """The data planes that have not been killed."""
        return [data_plane for ip, data_plane in self.data_planes.items() if ip not in self.network.dead]

    async def seconds_until(self, share: float, condition: Condition) -> float:
        """Wait until a condition holds at a share of the living; return how long, or `NOT_REACHED`."""
        started_at = trio.current_time()
        while trio.current_time() - started_at < TIMEOUT_S:
            living = self.living
            if sum(map(condition, living)) >= share * len(living):
                return round(trio.current_time() - started_at, 2)
            await trio.sleep(POLL_S)
        return NOT_REACHED

    def false_failures(self) -> int:
        """Count pairs of the living of which one takes the other for failed."""
        living = self.living
        return sum(len(living) - data_plane.gossip.members.size for data_plane in living)


class GossipFigures(msgspec.Struct, kw_only=True):
    """What one run has measured; durations are seconds of virtual time, -1 where one was not reached."""

    data_planes: int
    seed: int
    all_known_s: float = NOT_REACHED  # until each data plane knows all others
    bytes_s_mean: float = 0.0  # sent by a data plane while nothing happens
    bytes_s_max: float = 0.0  # the same, by the one that sends most
    false_failures_max: int = 0  # pairs of healthy members of which one took the other for failed, at once
    config_half_s: float = NOT_REACHED  # until half of them have a new configuration
    config_all_s: float = NOT_REACHED  # from then until all have it
    failure_half_s: float = NOT_REACHED  # until half of them take a killed one for failed
    failure_all_s: float = NOT_REACHED  # until all do
    muted_failure_s: float = NOT_REACHED  # until all take one that only receives for failed
    muted_recovery_s: float = NOT_REACHED  # until all take it for alive, once it sends again


class _Run:
    """One run, step by step."""

    def __init__(self, group: DataPlaneGroup, figures: GossipFigures) -> None:
        self.group = group
        self.random = group.random
        self.figures = figures

    async def join(self, nursery: trio.Nursery) -> None:
        """Start all data planes, and wait until each knows all others."""
        data_planes = list(self.group.data_planes.values())
        count = len(data_planes)
        for data_plane in data_planes:
            nursery.start_soon(data_plane.gossip.run)
        ips = list(self.group.data_planes)
        for data_plane in data_planes:
            data_plane.gossip.join(self.random.sample(ips, min(INTRODUCTIONS, count)))
        self.figures.all_known_s = await self.group.seconds_until(
            1.0, lambda data_plane: data_plane.gossip.members.size == count
        )

    async def stay_idle(self) -> None:
        """Count bytes and false failures while nothing happens."""
        sockets = [data_plane.socket for data_plane in self.group.data_planes.values()]
        sent_before = [socket.bytes_sent for socket in sockets]
        for _ in range(int(IDLE_S / POLL_S)):
            await trio.sleep(POLL_S)
            false_failures = self.group.false_failures()
            self.figures.false_failures_max = max(self.figures.false_failures_max, false_failures)
        sent = [
            (socket.bytes_sent - before) / IDLE_S for socket, before in zip(sockets, sent_before, strict=True)
        ]
        self.figures.bytes_s_mean = round(statistics.mean(sent))
        self.figures.bytes_s_max = round(max(sent))

    async def spread_version(self) -> None:
        """Give one data plane a new version, and wait until all have it."""
        self.random.choice(list(self.group.data_planes.values())).version = NEW_VERSION

        def has_version(data_plane: VirtualDataPlane) -> bool:
            return data_plane.version == NEW_VERSION

        self.figures.config_half_s = await self.group.seconds_until(0.5, has_version)
        self.figures.config_all_s = await self.group.seconds_until(1.0, has_version)

    async def kill_one(self) -> None:
        """Kill one data plane, and wait until all take it for failed."""
        ip = self.random.choice(list(self.group.data_planes))
        self.group.network.dead.add(ip)
        half_s = await self.group.seconds_until(0.5, lambda data_plane: not data_plane.knows(ip))
        rest_s = await self.group.seconds_until(1.0, lambda data_plane: not data_plane.knows(ip))
        self.figures.failure_half_s = half_s
        self.figures.failure_all_s = rest_s if rest_s < 0 else round(half_s + rest_s, 2)

    async def mute_one(self) -> None:
        """Have one data plane only receive, until all take it for failed, and then send again."""
        muted = self.random.choice(self.group.living)
        self.group.network.muted.add(muted.ip)
        self.figures.muted_failure_s = await self.group.seconds_until(
            1.0, lambda data_plane: data_plane is muted or not data_plane.knows(muted.ip)
        )
        self.group.network.muted.clear()
        self.figures.muted_recovery_s = await self.group.seconds_until(
            1.0, lambda data_plane: data_plane is muted or data_plane.knows(muted.ip)
        )


async def _run_all(figures: GossipFigures) -> None:
    async with trio.open_nursery() as nursery:
        run = _Run(DataPlaneGroup(figures.data_planes, figures.seed, nursery), figures)
        await run.join(nursery)
        await run.stay_idle()
        await run.spread_version()
        await run.kill_one()
        await run.mute_one()
        nursery.cancel_scope.cancel()


def measure(count: int, seed: int = 1) -> dict[str, float]:
    """Simulate so many data planes; return the fields of `GossipFigures`."""
    figures = GossipFigures(data_planes=count, seed=seed)
    trio.run(_run_all, figures, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return msgspec.structs.asdict(figures)
