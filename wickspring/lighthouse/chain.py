"""The chain of core machines and the small view that mends it, as a machine: facts in, messages out.

What the chain holds (`Hold`) only grows: the highest version of the configuration, and the servers that
have been acknowledged as leaving. So two copies can always be joined, and a copy never has to be taken back.

A write enters at the head, is saved, goes to the next, and so on; the tail's word that it is saved there
too comes back up the line, and only then is it acknowledged. Every member of the view has it by then.

A view is an epoch and its members in order. The next view is agreed by a majority of the present one, by a
single decree for each epoch (a ballot is prepared, then accepted). Who has promised for the next epoch passes
nothing more in this one, and its promise brings what it holds; so whatever was acknowledged in a view is with
at least one of the majority that ends it, and the next view begins by passing all of it down its chain.

A member is an address with the id of its disk. One that comes back with an empty disk is another member: it
has no vote, and is no copy, until a view takes it in.

No I/O and no clock here; times are milliseconds. The host saves `durable()` whenever `dirty` is set, before
it sends anything of `out` or tells anything of `done` and `news`.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from wickspring.core.invariants import holds

Member = tuple[str, str]  # address, id of its disk
Ballot = tuple[int, str]

RESEND_MS = 250.0  # until what was passed down, and not answered, is passed again
STEADY_MS = 60.0  # that a reason to change the view must last, above the time in which silence is told
TURN_MS = 180.0  # between the members that may propose a change, so that they do not race
PROPOSE_MS = 600.0  # for a proposal to come through, before another is made
FROZEN_MS = 700.0  # that a member waits for a promised view before it proposes itself
GRACE_MS = 1000.0  # after its start in which a member misses nobody
COPY_MS = 400.0  # between two copies to a machine that is behind
NOBODY = -1  # the ticket of a write that nobody waits for
COPIES = 3  # machines in a chain where there are so many: one may be lost while another is away
LEAVERS_MOST = 4096  # servers that are remembered as leaving


@dataclass(slots=True, frozen=True)
class View:
    """The members in order, the head first. Epoch 0 is no view at all."""

    epoch: int = 0
    members: tuple[Member, ...] = ()

    @property
    def majority(self) -> int:
        """How many members decide."""
        return len(self.members) // 2 + 1

    def pack(self) -> list[Any]:
        """Return it for a message."""
        return [self.epoch, [list(one) for one in self.members]]

    @staticmethod
    def unpack(told: Any) -> View:
        """Read it from a message."""
        return View(int(told[0]), tuple((str(ip), str(disk)) for ip, disk in told[1]))


def _mark(server: str, state: int) -> int:
    return zlib.crc32(f"{server} {state}".encode())


@dataclass(slots=True)
class Hold:
    """What the chain keeps."""

    version: int = 0
    document: bytes = b""
    leavers: dict[str, int] = field(default_factory=dict)  # server id: 1 draining, 2 gone
    mark: int = field(default=0, compare=False)  # a number for all leavers: the same for the same

    def __post_init__(self) -> None:
        """Work out the mark; `join` keeps it up."""
        self.mark = 0
        for server, state in self.leavers.items():
            self.mark ^= _mark(server, state)

    def join(self, other: Hold) -> bool:
        """Take in what another copy has more; True where that changed this one."""
        changed = False
        if other.version > self.version and other.document:
            self.version, self.document, changed = other.version, other.document, True
        for server, state in other.leavers.items():
            known = self.leavers.get(server, 0)
            if state > known:
                self.mark ^= _mark(server, state) ^ (_mark(server, known) if known else 0)
                self.leavers[server] = state
                changed = True
        while len(self.leavers) > LEAVERS_MOST:
            oldest = next(iter(self.leavers))
            self.mark ^= _mark(oldest, self.leavers.pop(oldest))
        return changed

    def copy(self) -> Hold:
        """Return a copy that does not change with this one."""
        return Hold(self.version, self.document, dict(self.leavers))

    def pack(self, known: int = 0) -> list[Any]:
        """Return it for a message; without its document to who has that version."""
        return [self.version, b"" if self.version <= known else self.document, self.leavers]

    @staticmethod
    def unpack(told: Any) -> Hold:
        """Read it from a message."""
        return Hold(int(told[0]), bytes(told[1]), {str(k): int(v) for k, v in told[2].items()})


@dataclass(slots=True, frozen=True)
class Reach:
    """What is known of another core machine at this moment."""

    live: bool
    disk: str = ""
    hampered: bool = False  # its disk does not come back, or it is about to end
    epoch: int = 0
    version: int = 0  # of the configuration that it knows to be safe
    leavers: int = 0  # how many servers it knows to be leaving,
    mark: int = 0  # and a number for all of them

    def lacks(self, held: Hold) -> bool:
        """Tell whether it knows less of what is safe than another: the sweep that finds old copies."""
        if self.version < held.version or self.leavers < len(held.leavers):
            return True
        return self.leavers == len(held.leavers) < LEAVERS_MOST and self.mark != held.mark


@dataclass(slots=True)
class Proposal:
    """A view that this member is having agreed."""

    slot: int
    ballot: Ballot
    begun: float
    promises: set[str] = field(default_factory=set)
    accepts: set[str] = field(default_factory=set)
    best: tuple[Ballot, View] | None = None  # the accepted one of the highest ballot
    view: View | None = None


class Chain:
    """One core machine's part in the chain."""

    def __init__(self, ip: str, disk: str, view: View, seed: int, hold: Hold | None = None) -> None:
        self.me: Member = (ip, disk)
        self.ip = ip
        self.view = view
        self.promised: tuple[int, Ballot] = (0, (0, ""))
        self.accepted: tuple[int, Ballot, View] | None = None
        self.hold = hold or Hold()
        self.random = Random(seed)
        self.reach: Mapping[str, Reach] = {}
        # What the host takes: saved first, then sent and told.
        self.dirty = False
        self.out: list[tuple[str, list[Any]]] = []
        self.done: list[tuple[int, bool]] = []  # tickets, and whether what they brought is safe
        self.news: list[Hold] = []  # what has become safe
        # Of the head.
        self.seq = 0
        self._safe_seq = -1
        self._passed_at = -math.inf
        self._waiting: dict[int, int] = {}  # ticket: the pass that it waits for
        self._known: dict[Member, int] = {}  # the version that the next has said it holds
        self._want_since = math.inf
        self._turn = self.random.random()
        self._frozen_at = math.inf
        self._begun_at = math.inf
        self.proposal: Proposal | None = None
        self.safe = Hold()  # what this machine knows to be safe
        self._passing = Hold()  # of the head: what the pass under way brings, the same however often it goes
        self._copied: dict[str, float] = {}  # when a machine outside was last brought up to date
        self.mended = 0  # views that have been installed here since the start

    # Readings.

    @property
    def member(self) -> bool:
        """Tell whether this machine is in the view that it knows."""
        return self.me in self.view.members

    @property
    def head(self) -> str:
        """Return the head's address, or nothing."""
        return self.view.members[0][0] if self.view.members else ""

    @property
    def frozen(self) -> bool:
        """Tell whether a promise for the next view holds up this one."""
        return self.promised[0] > self.view.epoch

    def durable(self) -> dict[str, Any]:
        """Return all that must outlive this process."""
        accepted = self.accepted
        return {
            "view": self.view.pack(),
            "promised": [self.promised[0], list(self.promised[1])],
            "accepted": None if accepted is None else [accepted[0], list(accepted[1]), accepted[2].pack()],
        }

    def restore(self, told: Mapping[str, Any]) -> None:
        """Take up what an earlier life of this machine left."""
        self.view = View.unpack(told["view"])
        slot, ballot = told["promised"]
        self.promised = (int(slot), (int(ballot[0]), str(ballot[1])))
        if told["accepted"] is not None:
            slot, ballot, view = told["accepted"]
            self.accepted = (int(slot), (int(ballot[0]), str(ballot[1])), View.unpack(view))

    # Writes.

    def enter(self, now: float, ticket: int, brought: Hold) -> None:
        """Take a write, or with an empty one a read, at the head; elsewhere it fails at once."""
        if not self.member or self.head != self.ip:
            self.done.append((ticket, False))
            return
        self.dirty |= self.hold.join(brought)
        # What waits for its answer already does not bring this; so a further pass has to.
        self._waiting[ticket] = self.seq + 1
        self._begin(now)

    def drop(self, ticket: int) -> None:
        """Forget a ticket whose owner no longer waits."""
        self._waiting.pop(ticket, None)

    def _begin(self, now: float) -> None:
        if self.frozen or self._safe_seq < self.seq or not any(s > self.seq for s in self._waiting.values()):
            return
        self.seq += 1
        self._passing = self.hold.copy()
        self._pass(now)

    def _pass(self, now: float) -> None:
        self._passed_at = now
        self._down(self.seq, self._passing)

    def _down(self, seq: int, told: Hold) -> None:
        """Pass it to the next member, or back up from the tail."""
        at = self.view.members.index(self.me)
        if at + 1 == len(self.view.members):
            self._up(seq, told)
            return
        after = self.view.members[at + 1]
        self._passing = told
        packed = told.pack(self._known.get(after, 0))
        self.out.append((after[0], ["pass", self.view.pack(), seq, packed]))

    def _is_safe(self, what: Hold) -> None:
        if self.safe.join(what):
            self.news.append(self.safe)

    def _up(self, seq: int, told: Hold) -> None:
        """What was passed is safe with this member and all below it: say so to the one above."""
        self._is_safe(told)
        at = self.view.members.index(self.me)
        if at:
            above = self.view.members[at - 1][0]
            self.out.append((above, ["passed", self.view.epoch, seq, self.hold.version, self.me[1]]))
            return
        self._safe_seq = seq
        ready = [ticket for ticket, wants in self._waiting.items() if wants <= seq]
        for ticket in ready:
            del self._waiting[ticket]
            self.done.append((ticket, True))

    def _take_pass(self, now: float, sender: str, view: View, seq: int, told: Hold) -> None:
        if view.epoch < self.view.epoch:
            self.out.append((sender, ["view", self.view.pack(), self.hold.pack()]))
            return
        if self.me not in view.members:
            return
        if view.epoch > self.view.epoch:
            self._install(now, view)
        if self.frozen:
            return
        if told.version > self.hold.version and not told.document:
            self.out.append((sender, ["lack", view.epoch, self.hold.version, self.me[1]]))
            return
        self.dirty |= self.hold.join(told)
        if self.hold.version > told.version:  # of a view before this one, from where it never became safe
            self.out.append((self.head, ["more", self.hold.pack()]))
        told = Hold(self.hold.version, self.hold.document, told.leavers)
        self._down(seq, told)

    def _take_passed(self, now: float, epoch: int, seq: int, version: int, member: Member) -> None:
        if epoch != self.view.epoch or self.frozen:
            return
        self._known[member] = version
        at = self.view.members.index(self.me) if self.member else -1
        if at < 0 or (at == 0 and seq != self.seq):
            return
        self._up(seq, self._passing)
        if at == 0:
            self._begin(now)

    # Views.

    def tick(self, now: float, reach: Mapping[str, Reach]) -> None:
        """Look at what is in reach, and mend the chain where that is called for."""
        self.reach = reach
        self._bring_up(now)
        if not self.member:
            return
        unanswered = self.head == self.ip and not self.frozen and self._safe_seq < self.seq
        if unanswered and now - self._passed_at >= RESEND_MS:
            self._pass(now)
        if not self._wanted(now):
            self._want_since = math.inf
            if self.proposal is None:
                return
        elif self._want_since == math.inf:
            self._want_since = now
        proposal = self.proposal
        if proposal is not None:
            if now - proposal.begun < PROPOSE_MS * (1.0 + self._turn):
                return
            self.proposal = None
        standing = [ip for ip, disk in self.view.members if ip == self.ip or self._well(ip, disk)]
        place = standing.index(self.ip)
        if now - self._want_since >= STEADY_MS + TURN_MS * (place + self._turn):
            self._propose(now)

    def _bring_up(self, now: float) -> None:
        """Bring machines that are behind, most of all those outside the view, what is safe."""
        for ip, one in self.reach.items():
            behind = one.epoch < self.view.epoch or one.lacks(self.safe)
            if one.live and behind and now - self._copied.get(ip, -math.inf) >= COPY_MS:
                self._copied[ip] = now
                packed = self.safe.pack(one.version)
                self.out.append((ip, ["copy", self.view.pack(), packed]))

    def _take_copy(self, now: float, view: View, told: Hold) -> None:
        if view.epoch > self.view.epoch:
            self._install(now, view)
        if told.version > self.hold.version and not told.document:
            told.version = 0
        self.dirty |= self.hold.join(told)
        self._is_safe(told)

    def _well(self, ip: str, disk: str) -> bool:
        known = self.reach.get(ip)
        return known is not None and known.live and known.disk == disk and not known.hampered

    def _others(self) -> list[Member]:
        """Return machines that could be taken in, in the order in which they would be."""
        inside = {ip for ip, disk in self.view.members if ip == self.ip or self._well(ip, disk)}
        return sorted(
            (ip, one.disk) for ip, one in self.reach.items()
            if one.live and one.disk and not one.hampered and ip not in inside
        )  # fmt: skip

    def _wanted(self, now: float) -> bool:
        """Tell whether the view should change."""
        if self.frozen:
            return now - self._frozen_at >= FROZEN_MS
        if now - self._begun_at < GRACE_MS:
            return False  # the others are starting as well
        ill = [m for m in self.view.members if m != self.me and not self._well(*m)]
        return bool(ill) or (len(self.view.members) < COPIES and bool(self._others()))

    def _next(self, promised: set[str]) -> View:
        """Return the view to propose: who has just promised is there, whatever was heard before."""
        kept = [m for m in self.view.members if m[0] in promised or self._well(*m)]
        holds(len(kept) >= self.view.majority, "a view keeps a majority of the one before")
        kept += self._others()[: max(0, COPIES - len(kept))]
        return View(self.view.epoch + 1, tuple(kept))

    def _propose(self, now: float) -> None:
        self._turn = self.random.random()
        slot = self.view.epoch + 1
        number = self.promised[1][0] + 1 if self.promised[0] == slot else 1
        self.proposal = Proposal(slot, (number, self.ip), now)
        self._to_members(["prepare", slot, list(self.proposal.ballot)], now)

    def _to_members(self, message: list[Any], now: float) -> None:
        for ip, _ in self.view.members:
            if ip == self.ip:
                self.receive(now, self.ip, message)
            else:
                self.out.append((ip, message))

    def _reply(self, now: float, to: str, message: list[Any]) -> None:
        if to == self.ip:
            self.receive(now, self.ip, message)
        else:
            self.out.append((to, message))

    def _take_prepare(self, now: float, sender: str, slot: int, ballot: Ballot) -> None:
        if slot <= self.view.epoch:
            self._reply(now, sender, ["view", self.view.pack(), self.hold.pack()])
        elif slot != self.view.epoch + 1 or not self.member:
            return
        elif self.promised[0] == slot and self.promised[1] > ballot:
            self._reply(now, sender, ["outbid", slot, list(self.promised[1])])
        else:
            if not self.frozen:
                self._frozen_at = now
            self.promised, self.dirty = (slot, ballot), True
            accepted = None
            if self.accepted is not None and self.accepted[0] == slot:
                accepted = [list(self.accepted[1]), self.accepted[2].pack()]
            told = ["promise", slot, list(ballot), accepted, self.hold.pack(), self.me[1]]
            self._reply(now, sender, told)

    def _take_promise(self, now: float, sender: str, message: list[Any]) -> None:
        _, slot, ballot, accepted, told, disk = message
        mine = self.proposal
        if mine is None or (slot, tuple(ballot)) != (mine.slot, mine.ballot) or mine.view is not None:
            return
        if (sender, disk) not in self.view.members:
            return
        mine.promises.add(sender)
        self.dirty |= self.hold.join(Hold.unpack(told))
        if accepted is not None:
            found = (int(accepted[0][0]), str(accepted[0][1])), View.unpack(accepted[1])
            if mine.best is None or found[0] > mine.best[0]:
                mine.best = found
        if len(mine.promises) >= self.view.majority:
            mine.view = mine.best[1] if mine.best is not None else self._next(mine.promises)
            told = ["accept", slot, list(mine.ballot), mine.view.pack(), self.hold.pack()]
            self._to_members(told, now)

    def _take_accept(
        self, now: float, sender: str, slot: int, ballot: Ballot, view: View, hold: Hold
    ) -> None:
        if slot != self.view.epoch + 1 or not self.member:
            return
        if self.promised[0] == slot and self.promised[1] > ballot:
            self._reply(now, sender, ["outbid", slot, list(self.promised[1])])
            return
        if not self.frozen:
            self._frozen_at = now
        self.promised, self.accepted, self.dirty = (slot, ballot), (slot, ballot, view), True
        self.hold.join(hold)
        self._reply(now, sender, ["accepted", slot, list(ballot), self.me[1]])

    def _take_accepted(self, now: float, sender: str, slot: int, ballot: Ballot, disk: str) -> None:
        mine = self.proposal
        if mine is None or (slot, ballot) != (mine.slot, mine.ballot) or mine.view is None:
            return
        if (sender, disk) not in self.view.members:
            return
        mine.accepts.add(sender)
        if len(mine.accepts) < self.view.majority:
            return
        old, new = self.view.members, mine.view
        told = ["view", new.pack(), self.hold.pack()]
        for ip in {ip for ip, _ in (*old, *new.members)} - {self.ip}:
            self.out.append((ip, told))
        self._install(now, new)

    def _install(self, now: float, view: View) -> None:
        holds(view.epoch > self.view.epoch, "views only go forward")
        self.view, self.dirty, self.mended = view, True, self.mended + 1
        self.proposal, self._want_since, self._frozen_at = None, math.inf, math.inf
        self._known.clear()
        self.seq, self._safe_seq = 0, -1
        self._passing = self.hold.copy()
        waiting, self._waiting = self._waiting, {}
        if self.me in view.members and view.members[0] == self.me:
            self._waiting = dict.fromkeys(waiting, 0)
            self._pass(now)
        else:
            self.done += [(ticket, False) for ticket in waiting]

    def begin(self, now: float) -> None:
        """Start: who is head finds out what of its copy is safe."""
        self._begun_at = now
        self._passing = self.hold.copy()
        if self.member and self.head == self.ip and not self.frozen:
            self._pass(now)
        if self.frozen:
            self._frozen_at = now

    def receive(self, now: float, sender: str, message: list[Any]) -> None:
        """Take a message of another core machine; what is malformed raises ValueError or the like."""
        name = message[0]
        if name == "pass":
            self._take_pass(now, sender, View.unpack(message[1]), int(message[2]), Hold.unpack(message[3]))
        elif name == "passed":
            member = (sender, str(message[4]))
            self._take_passed(now, int(message[1]), int(message[2]), int(message[3]), member)
        elif name == "lack":
            self._known[(sender, str(message[3]))] = int(message[2])
            if message[1] == self.view.epoch and self.member and not self.frozen:
                self._down(self.seq, self._passing)
        elif name == "more":
            if self.member and self.head == self.ip and self.hold.join(Hold.unpack(message[1])):
                self.dirty = True
                self._waiting[NOBODY] = self.seq + 1
                self._begin(now)
        elif name == "copy":
            self._take_copy(now, View.unpack(message[1]), Hold.unpack(message[2]))
        elif name == "prepare":
            self._take_prepare(now, sender, int(message[1]), _ballot(message[2]))
        elif name == "promise":
            self._take_promise(now, sender, message)
        elif name == "accept":
            view, told = View.unpack(message[3]), Hold.unpack(message[4])
            self._take_accept(now, sender, int(message[1]), _ballot(message[2]), view, told)
        elif name == "accepted":
            self._take_accepted(now, sender, int(message[1]), _ballot(message[2]), str(message[3]))
        elif name == "outbid":
            slot, ballot = int(message[1]), _ballot(message[2])
            if self.proposal is not None and slot == self.proposal.slot and ballot > self.proposal.ballot:
                if self.promised[0] == slot and ballot[0] > self.promised[1][0]:
                    self.promised, self.dirty = (slot, ballot), True  # so that the next number is above it
                self.proposal.begun = now  # the other's proposal gets its time
        elif name == "view":
            view = View.unpack(message[1])
            if view.epoch > self.view.epoch:
                self.dirty |= self.hold.join(Hold.unpack(message[2]))
                self._install(now, view)


def _ballot(told: Iterable[Any]) -> Ballot:
    number, ip = told
    return int(number), str(ip)
