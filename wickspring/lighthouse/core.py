"""One core machine among the others: its chain, the cables to them, and the saving of what they agree."""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import trio

from wickspring.harbour import log
from wickspring.harbour.boot import Boot
from wickspring.harbour.cable import UNREADABLE, Cable, Caller, Message
from wickspring.harbour.lines import parse_ip
from wickspring.harbour.seeds import Seeds
from wickspring.lighthouse.chain import Chain, Hold, Member, Reach, View
from wickspring.lighthouse.lease import Lease, grants
from wickspring.lighthouse.logbook import Logbook
from wickspring.net.clock import Clock

TICK_MS = 200.0
LIVE_MS = 750.0  # since a core machine was last heard, within which it counts as in reach
BUSY_MS = 600.0  # that a save may take until this machine says that its disk does not come back
FIRST_DISK = "first"  # the disk's id on the very first start, which all machines can know of each other
SAVE_AGAIN_S = 0.2
ASK_CORES = 0.3  # odds of asking a machine that counts otherwise which core machines it knows
ENTER_MS = 850.0  # for a write to become safe; callers give up after a second


@dataclass(slots=True, frozen=True)
class Told:
    """What a core machine says of itself with each tick."""

    disk: str
    epoch: int
    version: int
    leavers: int
    mark: int
    ill: bool
    zone: str
    control: str
    cores: int


class Core:
    """This machine's part in the core."""

    def __init__(
        self, boot: Boot, keeper: Logbook, clock: Clock, nursery: trio.Nursery, random: Random,
        told: Callable[[Hold], None], viewed: Callable[[], None], heard: Callable[[str, Message], None],
    ) -> None:  # fmt: skip
        self.boot, self.keeper, self.clock, self.nursery, self.random = boot, keeper, clock, nursery, random
        self._told, self._viewed, self._heard = told, viewed, heard
        self.ip = boot.ip
        self.callers: dict[str, Caller] = {}
        self.states: dict[str, Told] = {}  # what the others said of themselves last
        self.leaving = False
        self.seeds = Seeds(boot)
        self.saving_since = 0.0
        self.frozen_seen = False
        self._tickets = 0
        self._waiting: dict[int, Callable[[bool], None]] = {}
        self._away: dict[int, Callable[[bool, list[Any]], None]] = {}  # writes at the head, elsewhere
        self._events: list[Callable[[], None]] = []
        self._stirred = trio.Event()
        self._disk = trio.Lock()  # one thread at a time writes
        self.lease = Lease()
        self.chain = self._begin()

    def _begin(self) -> Chain:
        seed = self.random.getrandbits(32)
        found = self.keeper.load()
        if found is not None:
            durable, hold = found
            chain = Chain(self.ip, str(durable["disk"]), View(), seed, hold)
            chain.restore(durable)
        elif self.boot.is_first_start:
            members: tuple[Member, ...] = tuple((ip, FIRST_DISK) for ip in self.boot.seed_ips())
            chain = Chain(self.ip, FIRST_DISK, View(1, members), seed)
        else:  # a disk that was lost, or a machine that is new: no vote until a view takes it in
            chain = Chain(self.ip, secrets.token_hex(6), View(), seed)
        chain.dirty = True
        return chain

    # Talk with the others.

    def know(self, ips: list[str]) -> None:
        """Keep a cable to each of these machines."""
        for ip in ips:
            if ip != self.ip and ip not in self.callers:
                caller = Caller(
                    (ip, self.boot.talk_port), self.clock, self.nursery, self.random, self._greet, self._take
                )
                self.callers[ip] = caller
                self.nursery.start_soon(caller.run)

    def _greet(self, cable: Cable) -> None:
        cable.send("hello", "core", self.ip, {})

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
        cable = caller.cable if caller is not None else None
        return cable is not None and cable.live and self.clock.now() - cable.heard_at < LIVE_MS

    def state(self) -> list[Any]:
        """Return what this machine tells of itself, in the order of `Told`."""
        chain = self.chain
        busy = bool(self.saving_since) and self.clock.now() - self.saving_since > BUSY_MS
        return [
            chain.me[1], chain.view.epoch, chain.safe.version, len(chain.safe.leavers), chain.safe.mark,
            busy or self.leaving, self.boot.zone, self.boot.bind.control_addr, len(self.callers),
        ]  # fmt: skip

    def _take(self, cable: Cable, message: Message) -> None:
        """Hear an answer on a cable that this machine called."""
        if message[0] == "tock":
            ip = str(message[1])
            told = self.states[ip] = Told(*message[2])
            self.lease.granted(ip, told.disk, float(message[3]), int(message[4]))
            if told.cores != len(self.callers) and self.random.random() < ASK_CORES:
                cable.send("cores")  # it knows more of them, or fewer
        elif message[0] == "cores":
            self.know([parse_ip(ip) for ip in message[1]])

    def take(self, cable: Cable, message: Message) -> bool:
        """Hear another core machine on a cable that it called; False where it says no such thing."""
        name, ip = message[0], cable.name
        if name == "tick":
            cable.send("tock", self.ip, self.state(), message[1], grants(self.chain))
        elif name == "cores":
            cable.send("cores", [ip for ip in self.callers if self.live(ip)])
        elif name == "chain":
            self._queue(lambda: self.chain.receive(self.clock.now(), ip, message[1]))
        elif name == "enter":
            self._enter_for(ip, int(message[1]), Hold.unpack(message[2]), bool(message[3]))
        elif name == "entered":
            answer = self._away.pop(int(message[1]), None)
            if answer is not None:
                answer(bool(message[2]), message)
        else:
            self._heard(ip, message)
        return True

    def _enter_for(self, ip: str, ticket: int, brought: Hold, read: bool) -> None:
        def done(safe: bool) -> None:
            told = self.chain.safe.pack() if read and safe else None
            self.say(ip, "entered", ticket, safe, told)

        self._enter(brought, done)

    # Writes and reads.

    def _enter(self, brought: Hold, done: Callable[[bool], None]) -> int:
        self._tickets += 1
        ticket = self._tickets
        self._waiting[ticket] = done
        self._queue(lambda: self.chain.enter(self.clock.now(), ticket, brought))
        return ticket

    async def enter(self, brought: Hold, read: bool = False) -> Hold | None:
        """Have something made safe, by the head wherever it is; what is safe then, or None."""
        ended = trio.Event()
        result: list[Hold | None] = [None]

        def here(safe: bool) -> None:
            result[0] = self.chain.safe if safe else None
            ended.set()

        def away(safe: bool, message: list[Any]) -> None:
            if safe and message[3] is not None:
                result[0] = Hold.unpack(message[3])
            elif safe:  # this machine may hear of it later than its caller's answer is due
                held = result[0] = self.chain.safe.copy()
                held.join(brought)
            ended.set()

        head = self.chain.head
        with trio.move_on_after(ENTER_MS / 1000.0):
            if head == self.ip:
                ticket = self._enter(brought, here)
            else:
                self._tickets += 1
                ticket = self._tickets
                self._away[ticket] = away
                if not self.say(head, "enter", ticket, brought.pack(), read):
                    ended.set()
            await ended.wait()
        self._away.pop(ticket, None)
        if self._waiting.pop(ticket, None) is not None:
            self._queue(lambda: self.chain.drop(ticket))
        return result[0]

    # The chain's loop: what it says leaves only once what it holds is saved.

    def _queue(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        self._stirred.set()

    def _reaches(self) -> dict[str, Reach]:
        return {
            ip: Reach(
                self.live(ip), told.disk, told.ill, told.epoch, told.version, told.leavers, told.mark
            )
            for ip, told in self.states.items()
        }  # fmt: skip

    async def tick(self) -> None:
        """Say how this machine is, again and again, and have the chain look round."""
        self._queue(lambda: self.chain.begin(self.clock.now()))
        while True:
            self.know(self.seeds.ips(self.clock.now(), any(map(self.live, self.callers))))
            for caller in self.callers.values():
                caller.send("tick", self.clock.now())
            self._queue(lambda: self.chain.tick(self.clock.now(), self._reaches()))
            await trio.sleep(TICK_MS * self.random.uniform(0.85, 1.15) / 1000.0)

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
                except (*UNREADABLE, AssertionError) as error:
                    log.event("core_message_bad", reason=error)
            out, done, news = chain.out, chain.done, chain.news
            chain.out, chain.done, chain.news = [], [], []
            if chain.dirty:
                chain.dirty = False
                await self._save()
            for ip, message in out:
                self.say(ip, "chain", message)
            for ticket, safe in done:
                answer = self._waiting.pop(ticket, None)
                if answer is not None:
                    answer(safe)
            if self.lease.take_up(self.clock.now(), chain.view):
                log.event(
                    "view", epoch=chain.view.epoch, members=",".join(ip for ip, _ in chain.view.members),
                    head=chain.head, member=chain.member,
                )  # fmt: skip
                self._viewed()
            if news:
                self._told(chain.safe)

    async def _save(self) -> None:
        durable = {**self.chain.durable(), "disk": self.chain.me[1]}
        hold = self.chain.hold.copy()
        self.saving_since = self.clock.now()
        while True:
            try:
                async with self._disk:
                    await trio.to_thread.run_sync(self.keeper.save, durable, hold)
                break
            except (sqlite3.Error, OSError) as error:
                log.event("save_failed", reason=error)
                await trio.sleep(SAVE_AGAIN_S)
        self.saving_since = 0.0

    async def save_servers(self, servers: list[Any]) -> None:
        """Save the servers that are known; where the disk refuses, the next change tries again."""
        try:
            async with self._disk:
                await trio.to_thread.run_sync(self.keeper.save_servers, servers)
        except (sqlite3.Error, OSError) as error:
            log.event("save_failed", reason=error)

    def behind(self, ip: str) -> list[str]:
        """Say in what another core machine's copy is behind, and why; nothing where it is as good as this."""
        told, chain = self.states.get(ip), self.chain
        if told is None:
            return ["never heard"]
        why = [] if self.live(ip) else ["silent"]
        disks = dict(chain.view.members)
        if ip in disks and disks[ip] != told.disk:
            why.append("its disk is another than the view's: emptied, and not taken in again")
        if told.ill:
            why.append("its disk does not come back in time, or it is ending")
        if told.epoch < chain.view.epoch:
            why.append(f"epoch {told.epoch} of {chain.view.epoch}")
        if told.version < chain.safe.version:
            why.append(f"r{told.version} of r{chain.safe.version}")
        if told.leavers < len(chain.safe.leavers):
            why.append(f"{told.leavers} of {len(chain.safe.leavers)} leaving servers")
        elif told.leavers == len(chain.safe.leavers) and told.mark != chain.safe.mark:
            why.append("other leaving servers")
        return why

    @property
    def steady(self) -> bool:
        """Tell whether a majority of the view grants this machine what only one may do."""
        return self.lease.held(self.clock.now(), self.chain)

    @property
    def keeps(self) -> bool:
        """Tell whether it may count: no lease of an earlier view can hold any more."""
        return self.lease.usable(self.clock.now(), self.chain)
