"""One core machine among the others: its chain, the cables to them, and the saving of what they agree."""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

import trio

from wickspring.common import logs
from wickspring.common.connection import DECODE_ERRORS, Message, PeerConnection, ReconnectingClient
from wickspring.common.seeds import SeedList
from wickspring.common.settings import NodeSettings
from wickspring.common.settings_file import parse_ip
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.lease import Lease, grants
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import (
    FaultTolerance,
    Member,
    PeerObservation,
    View,
    tolerance_shortfalls,
)
from wickspring.controlplane.storage import ReplicaStore
from wickspring.net.clock import Clock

HEARTBEAT_MS = 200.0
REACHABLE_MS = 750.0  # since a core machine was last heard, within which it counts as in reach
SLOW_SAVE_MS = 600.0  # that a save may take until this machine says that its disk does not come back
FIRST_DISK_ID = "first"  # the disk's id on the very first start, which all machines can know of each other
SAVE_RETRY_S = 0.2
ASK_NODES_PROBABILITY = 0.3  # odds of asking a machine that counts otherwise which core machines it knows
UPDATE_TIMEOUT_MS = 850.0  # for a write to become safe; callers give up after a second


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a core machine says of itself with each tick."""

    disk: str
    epoch: int
    safe_epoch: int
    version: int
    leaving: int
    leaving_sum: int
    identity: bytes
    ill: bool
    zone: str
    control: str
    sees: list[str]


@dataclass(slots=True, frozen=True)
class UpdateResult:
    """What became of an order; of a read, what was safe at the head."""

    verdict: CommitOutcome
    replica: Replica | None = None


NOT_COMMITTED = UpdateResult(CommitOutcome.NOT_YET)


class ReplicationNode:
    """This machine's part in the core."""

    def __init__(
        self,
        settings: NodeSettings,
        store: ReplicaStore,
        clock: Clock,
        nursery: trio.Nursery,
        random: Random,
        told: Callable[[Replica], None],
        viewed: Callable[[], None],
        heard: Callable[[str, Message], None],
    ) -> None:
        self.settings, self.store, self.clock, self.nursery, self.random = (
            settings,
            store,
            clock,
            nursery,
            random,
        )
        self._told, self._viewed, self._heard = told, viewed, heard
        self.ip = settings.ip
        self.callers: dict[str, ReconnectingClient] = {}
        self.states: dict[str, NodeStatus] = {}  # what the others said of themselves last,
        self.asked_at: dict[str, float] = {}  # and when they were asked for that
        self.leaving = False
        self.seeds = SeedList(settings)
        self.saving_since = 0.0
        self._tickets = 0
        self._waiting: dict[int, Callable[[CommitOutcome], None]] = {}
        self._away: dict[int, Callable[[CommitOutcome, Any], None]] = {}  # orders at the head, elsewhere
        self._events: list[Callable[[], None]] = []
        self._stirred = trio.Event()
        self._disk = trio.Lock()  # one thread at a time writes
        self.lease = Lease()
        self.chain = self._begin()

    def _begin(self) -> ReplicationChain:
        seed = self.random.getrandbits(32)
        told = self.settings.tolerates
        tolerance = FaultTolerance(told.machines, told.zones, told.regions)
        make = partial(ReplicationChain, tolerance=tolerance, zone=self.settings.zone)
        found = self.store.load()
        if found is not None:
            durable, replica = found
            chain = make(self.ip, str(durable["disk"]), View(), seed, replica)
            chain.restore(durable)
        elif self.settings.is_first_start:
            members: tuple[Member, ...] = tuple((ip, FIRST_DISK_ID) for ip in self.settings.seed_ips())
            chain = make(self.ip, FIRST_DISK_ID, View(1, members, members), seed)
        else:  # a disk that was lost, or a machine that is new: no vote until a view takes it in
            chain = make(self.ip, secrets.token_hex(6), View(), seed)
        chain.dirty = True
        return chain

    # Talk with the others.

    def know(self, ips: list[str]) -> None:
        """Keep a cable to each of these machines."""
        for ip in ips:
            if ip != self.ip and ip not in self.callers:
                caller = ReconnectingClient(
                    (ip, self.settings.talk_port),
                    self.clock,
                    self.nursery,
                    self.random,
                    partial(self._greet, ip),
                    self._take,
                )
                self.callers[ip] = caller
                self.nursery.start_soon(caller.run)

    def called(self, ip: str) -> None:
        """Note that another core machine has called: it is there, so call it back at once."""
        self.know([ip])
        if ip in self.callers:
            self.callers[ip].hurry()

    def _greet(self, ip: str, connection: PeerConnection) -> None:
        connection.send("hello", "core", self.ip, {})
        connection.send("tick", self.clock.now())
        self._queue(lambda: self.chain.reached(ip))

    def say(self, ip: str, *message: object) -> bool:
        """Say something to another core machine."""
        caller = self.callers.get(ip)
        return caller is not None and caller.send(*message)

    def say_all(self, *message: object) -> None:
        """Say something to all other core machines in reach."""
        for caller in self.callers.values():
            if caller.live:
                caller.send(*message)

    def live(self, ip: str) -> bool:
        """Tell whether a core machine is in reach."""
        if ip == self.ip:
            return True
        caller = self.callers.get(ip)
        connection = caller.connection if caller is not None else None
        return (
            connection is not None
            and connection.live
            and self.clock.now() - connection.heard_at < REACHABLE_MS
        )

    def state(self) -> list[Any]:
        """Return what this machine tells of itself, in the order of `NodeStatus`."""
        chain, safe = self.chain, self.chain.safe
        return [
            chain.me[1],
            chain.view.epoch,
            safe.config.epoch,
            safe.config.version,
            len(safe.leaving),
            safe.leaving_sum,
            chain.replica.config.identity,
            chain.hampered or chain.leaving,
            self.settings.zone,
            self.settings.bind.control_addr,
            [ip for ip in self.callers if self.live(ip)],
        ]

    def _take(self, connection: PeerConnection, message: Message) -> None:
        """Hear an answer on a cable that this machine called."""
        if message[0] == "tock":
            ip = str(message[1])
            told, self.asked_at[ip] = NodeStatus(*message[2]), float(message[3])
            self.states[ip] = told
            self.lease.granted(ip, told.disk, float(message[3]), int(message[4]))
            if (
                set(told.sees) - {self.ip} != set(self.callers) - {ip}
                and self.random.random() < ASK_NODES_PROBABILITY
            ):
                connection.send("cores")  # it reaches more of them, or fewer
        elif message[0] == "cores":
            self.know([parse_ip(ip) for ip in message[1]])

    def take(self, connection: PeerConnection, message: Message) -> bool:
        """Hear another core machine on a cable that it called; False where it says no such thing."""
        name, ip = message[0], connection.name
        if name == "tick":
            connection.send("tock", self.ip, self.state(), message[1], grants(self.chain))
        elif name == "cores":
            connection.send("cores", [ip for ip in self.callers if self.live(ip)])
        elif name == "chain":
            self._queue(lambda: self.chain.receive(self.clock.now(), ip, message[1]))
        elif name == "enter":
            self._enter_for(ip, int(message[1]), Update.unpack(message[2]), bool(message[3]))
        elif name == "entered":
            answer = self._away.pop(int(message[1]), None)
            if answer is not None:
                answer(CommitOutcome(message[2]), message[3])
        else:
            self._heard(ip, message)
        return True

    def _enter_for(self, ip: str, ticket: int, order: Update, read: bool) -> None:
        def done(verdict: CommitOutcome) -> None:
            told = self.chain.safe.pack() if read and verdict is CommitOutcome.SAFE else None
            self.say(ip, "entered", ticket, int(verdict), told)

        self._tickets += 1
        self._enter(self._tickets, order, done)

    # Orders and reads.

    def _enter(self, ticket: int, order: Update, done: Callable[[CommitOutcome], None]) -> None:
        self._waiting[ticket] = done
        self._queue(lambda: self.chain.enter(self.clock.now(), ticket, order))

    async def enter(self, order: Update, read: bool = False) -> UpdateResult:
        """Have an order made safe by the head, wherever it is; NOT_YET where that takes too long."""
        ended = trio.Event()
        result = [NOT_COMMITTED]

        def here(verdict: CommitOutcome) -> None:
            copy = self.chain.safe.copy() if read and verdict is CommitOutcome.SAFE else None
            result[0] = UpdateResult(verdict, copy)
            ended.set()

        def away(verdict: CommitOutcome, told: Any) -> None:
            result[0] = UpdateResult(verdict, None if told is None else Replica.unpack(told))
            ended.set()

        head = self.chain.head
        self._tickets += 1
        ticket = self._tickets
        try:
            with trio.move_on_after(UPDATE_TIMEOUT_MS / 1000.0):
                if head == self.ip:
                    self._enter(ticket, order, here)
                    await ended.wait()
                else:
                    self._away[ticket] = away
                    if self.say(head, "enter", ticket, order.pack(), read):
                        await ended.wait()
        finally:  # its caller may have given up
            self._away.pop(ticket, None)
            if self._waiting.pop(ticket, None) is not None:
                self._queue(lambda: self.chain.drop(ticket))
        return result[0]

    # The chain's loop: what it says leaves only once what it holds is saved.

    def _queue(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        self._stirred.set()

    def _reaches(self) -> dict[str, PeerObservation]:
        return {
            ip: PeerObservation(
                self.live(ip),
                told.disk,
                told.ill,
                told.zone,
                told.epoch,
                told.safe_epoch,
                told.version,
                told.leaving,
                told.leaving_sum,
                told.identity,
                frozenset(told.sees),
            )
            for ip, told in self.states.items()
        }

    async def tick(self) -> None:
        """Say how this machine is, again and again, and have the chain look round."""
        self._queue(lambda: self.chain.begin(self.clock.now()))
        while True:
            self.know(self.seeds.ips(self.clock.now(), any(map(self.live, self.callers))))
            for caller in self.callers.values():
                caller.send("tick", self.clock.now())
            self.chain.leaving = self.leaving
            busy = self.clock.now() - self.saving_since > SLOW_SAVE_MS
            self.chain.hampered = bool(self.saving_since) and busy
            self._queue(lambda: self.chain.tick(self.clock.now(), self._reaches()))
            await trio.sleep(HEARTBEAT_MS * self.random.uniform(0.85, 1.15) / 1000.0)

    async def run(self) -> None:
        """Let the chain take one event after another."""
        chain = self.chain
        while True:
            await self._stirred.wait()
            self._stirred = trio.Event()
            events, self._events = self._events, []
            for event in events:
                try:
                    event()
                except (*DECODE_ERRORS, AssertionError) as error:
                    logs.log_event("core_message_bad", reason=error)
            out, done, news = chain.out, chain.done, chain.news
            chain.out, chain.done, chain.news = [], [], []
            if chain.dirty:
                chain.dirty = False
                await self._save()
            for ip, message in out:
                self.say(ip, "chain", message)
            for ticket, verdict in done:
                answer = self._waiting.pop(ticket, None)
                if answer is not None:
                    answer(verdict)
            if self.lease.take_up(self.clock.now(), chain.view):
                logs.log_event(
                    "view",
                    epoch=chain.view.epoch,
                    voters=",".join(ip for ip, _ in chain.view.voters),
                    chain=",".join(ip for ip, _ in chain.view.chain),
                    member=chain.member,
                )
                self._viewed()
            if news:
                self._told(chain.safe)

    async def _save(self) -> None:
        durable = {**self.chain.durable(), "disk": self.chain.me[1]}
        replica = self.chain.replica.copy()
        self.saving_since = self.clock.now()
        while True:
            try:
                async with self._disk:
                    await trio.to_thread.run_sync(self.store.save, durable, replica)
                break
            except (sqlite3.Error, OSError) as error:
                logs.log_event("save_failed", reason=error)
                await trio.sleep(SAVE_RETRY_S)
        self.saving_since = 0.0

    async def save_servers(self, servers: list[Any]) -> None:
        """Save the servers that are known; where the disk refuses, the next change tries again."""
        try:
            async with self._disk:
                await trio.to_thread.run_sync(self.store.save_servers, servers)
        except (sqlite3.Error, OSError) as error:
            logs.log_event("save_failed", reason=error)

    def behind(self, ip: str) -> list[str]:
        """Say in what another core machine's copy is behind, and why; nothing where it is as good as this."""
        told, chain = self.states.get(ip), self.chain
        if told is None:
            return ["never heard"]
        why = [] if self.live(ip) else ["silent"]
        disks = dict(chain.view.voters)
        if ip in disks and disks[ip] != told.disk:
            why.append("its disk is another than the view's: emptied, and not taken in again")
        if told.ill:
            why.append("its disk does not come back in time, or it is ending")
        if told.epoch < chain.view.epoch:
            why.append(f"epoch {told.epoch} of {chain.view.epoch}")
        safe = chain.safe
        if (told.safe_epoch, told.version) < safe.config.rank:
            epoch, version = safe.config.rank
            why.append(f"r{told.version} of epoch {told.safe_epoch}, not r{version} of {epoch}")
        if told.leaving < len(safe.leaving):
            why.append(f"{told.leaving} of {len(safe.leaving)} leaving servers")
        elif told.leaving == len(safe.leaving) and told.leaving_sum != safe.leaving_sum:
            why.append("other leaving servers")
        return why

    def short(self) -> list[str]:
        """Say what of `tolerates` the present view does not bear; nothing where it bears all."""
        zones = {ip: told.zone for ip, told in self.states.items()} | {self.ip: self.settings.zone}
        return tolerance_shortfalls(self.chain.view, self.chain.tolerance, zones, self.settings.zones)

    @property
    def in_contact(self) -> bool:
        """Tell whether a majority of the voters has answered of late, of the same epoch as this machine's.

        By when they were asked: after a cut, cables are up again before what was heard on them is new.
        """
        view, now = self.chain.view, self.clock.now()
        heard = [
            (ip, disk)
            for ip, disk in view.voters
            if (ip, disk) == self.chain.me
            or (
                now - self.asked_at.get(ip, -REACHABLE_MS) < REACHABLE_MS
                and (told := self.states.get(ip)) is not None
                and (told.disk, told.epoch) == (disk, view.epoch)
            )
        ]
        return bool(view.epoch) and view.decides(heard)

    @property
    def may_leave(self) -> bool:
        """Tell whether this machine may end: nothing depends on it alone, or there is nobody else."""
        return self.chain.may_leave or not self.states

    @property
    def steady(self) -> bool:
        """Tell whether a majority of the voters grants this machine what only one may do."""
        return self.lease.held(self.clock.now(), self.chain)

    @property
    def keeps(self) -> bool:
        """Tell whether it may count: no lease of an earlier view can hold any more."""
        return self.lease.usable(self.clock.now(), self.chain)
