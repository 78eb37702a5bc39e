"""The chain of core machines and the views that mend it, as a machine: facts in, messages out.

An order enters at the head, is saved, goes to the next, and so on; the tail's word that it is saved there too
comes back up the line, and only then is it acknowledged: every member of the chain has it on disk by then.
One pass is under way at a time; it brings all orders that came meanwhile.

A view (`views`) is agreed by the voters of the one before, together with the state that it begins with
(`decree`). Nobody takes up a view as a member of its chain without that state, and both are saved at once:
so each member of a chain has all that was acknowledged before, from its first moment on. Within an epoch the
head alone gives numbers their texts (`replica`). Who has promised for the next epoch passes nothing in this.

No I/O and no clock here; times are milliseconds. The host saves `durable()` and `replica` whenever `dirty` is
set, before it sends anything of `out` or tells anything of `done` and `news`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.paxos import (
    Ballot,
    PaxosVoter,
    pack_value,
    parse_ballot,
    unpack_value,
)
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.view import (
    ClusterObservation,
    FaultTolerance,
    Member,
    PeerObservation,
    View,
    differs,
    next_view,
)
from wickspring.core.invariants import holds

RESEND_MS = 250.0  # until what was passed down, and not answered, is passed again
STEADY_MS = 60.0  # that a reason to change the view must last, above the time in which silence is told
TURN_MS = 180.0  # between the voters that may propose a change, so that they do not race
PROPOSE_MS = 600.0  # for a proposal to come through, before another is made
FROZEN_MS = 700.0  # that a voter waits for a promised view before it proposes itself
GRACE_MS = 1000.0  # after its start in which a voter misses nobody
COPY_MS = 400.0  # between two copies to a machine that is behind
MOST_SEQ = 2**40  # passes are numbered from a number drawn at each start and view


@dataclass(slots=True)
class _PendingUpdate:
    """An order whose sender waits."""

    order: Update
    digest: bytes
    seq: int = -1  # of the pass that brings it; below 0: none yet


class ReplicationChain:
    """One core machine's part."""

    def __init__(
        self,
        ip: str,
        disk: str,
        view: View,
        seed: int,
        replica: Replica | None = None,
        tolerance: FaultTolerance | None = None,
        zone: str = "",
    ) -> None:
        self.me: Member = (ip, disk)
        self.ip, self.zone = ip, zone
        self.view = view
        self.tolerance = tolerance or FaultTolerance()
        self.replica = replica or Replica()
        if not self.replica.config.epoch and view.epoch:
            self.replica = self.replica.begun(view.epoch)
        self.paxos = PaxosVoter()
        self.random = Random(seed)
        self.reach: Mapping[str, PeerObservation] = {}
        self.leaving = self.hampered = False  # set by the host: about to end; its disk does not come back
        # What the host takes: saved first, then sent and told.
        self.dirty = False
        self.out: list[tuple[str, list[Any]]] = []
        self.done: list[tuple[int, CommitOutcome]] = []
        self.news: list[Replica] = []  # what has become safe
        self.safe = Replica()  # what this machine knows to be safe, since its start
        # Of who passes.
        self.seq = self.random.randrange(MOST_SEQ)
        self._passing: Replica | None = None  # what the pass under way brings, the same however often it goes
        self._passed_at = -math.inf
        self._waiting: dict[int, _PendingUpdate] = {}
        self._holds: dict[Member, bytes] = {}  # the identity that others have said they hold
        # Of who looks.
        self._want_since = math.inf
        self._turn = self.random.random()
        self._frozen_at = math.inf
        self._begun_at = math.inf
        self._copied: dict[str, float] = {}  # when a machine was last brought up to date
        self.mended = 0  # views that have been taken up here since the start

    # Readings.

    @property
    def member(self) -> bool:
        """Tell whether this machine is in the chain of the view that it knows."""
        return self.me in self.view.chain

    @property
    def voter(self) -> bool:
        """Tell whether this machine has a vote in the view that it knows."""
        return self.me in self.view.voters

    @property
    def head(self) -> str:
        """Return the head's address, or nothing."""
        return self.view.head

    @property
    def frozen(self) -> bool:
        """Tell whether a promise for the next view holds up this one."""
        return self.paxos.promised[0] > self.view.epoch

    @property
    def may_leave(self) -> bool:
        """Tell whether what this machine keeps is kept without it, and what it decides decided without it."""
        if self.voter:
            return False
        chain = dict(self.view.chain)
        return not self.view.epoch or any(
            one.live and chain.get(ip) == one.disk and one.safe_epoch >= self.view.epoch
            for ip, one in self.reach.items()
        )

    def durable(self) -> dict[str, Any]:
        """Return all that must outlive this process, beside the copy."""
        return {"view": self.view.pack(), **self.paxos.durable()}

    def restore(self, told: Mapping[str, Any]) -> None:
        """Take up what an earlier life of this machine left."""
        self.view = View.unpack(told["view"])
        self.paxos.restore(told)

    def _observation(self, there: frozenset[Member] = frozenset()) -> ClusterObservation:
        return ClusterObservation(self.me, self.zone, self.leaving or self.hampered, self.reach, there)

    # Orders.

    def enter(self, now: float, ticket: int, order: Update) -> None:
        """Take an order, or with an empty one a read, at the head; elsewhere it comes to nothing at once."""
        if not self.member or self.head != self.ip:
            self.done.append((ticket, CommitOutcome.NOT_YET))
            return
        self._waiting[ticket] = _PendingUpdate(order, digest_of(order.document))
        self._begin(now)

    def drop(self, ticket: int) -> None:
        """Forget a ticket whose owner no longer waits."""
        self._waiting.pop(ticket, None)

    def _begin(self, now: float) -> None:
        """Begin a pass with all orders that no pass has brought yet."""
        fresh = [one for one in self._waiting.values() if one.seq < 0]
        if self.frozen or self._passing is not None or not fresh:
            return
        holds(self.replica.config.epoch == self.view.epoch, "a head holds the state of its view")
        self.seq += 1
        for one in fresh:
            self.dirty |= self.replica.take(one.order, self.view.epoch)
            one.seq = self.seq
        self._pass(now)

    def _pass(self, now: float) -> None:
        if self._passing is None:
            self._passing = self.replica.copy()
        self._passed_at = now
        self._down(self.seq, self._passing)

    @property
    def _after(self) -> Member | None:
        """Return the next member of the chain; None for the tail, and outside of the chain."""
        at = self.view.chain.index(self.me) + 1 if self.member else len(self.view.chain)
        return self.view.chain[at] if at < len(self.view.chain) else None

    def _down(self, seq: int, told: Replica) -> None:
        """Pass it to the next member, or back up from the tail."""
        after = self._after
        if after is None:
            self._up(seq, told)
            return
        self.seq, self._passing = seq, told
        packed = told.pack(self._holds.get(after, b""))
        self.out.append((after[0], ["pass", self.view.pack(), seq, packed]))

    def _is_safe(self, what: Replica) -> None:
        if what.config.rank > self.safe.config.rank:
            holds(what.config.version >= self.safe.config.version, "what is safe never goes back")
            same = what.config.version == self.safe.config.version
            holds(not same or what.config.digest == self.safe.config.digest, "a safe number keeps its text")
        if self.safe.join(what):
            self.news.append(self.safe)

    def _up(self, seq: int, told: Replica) -> None:
        """What was passed is safe with this member and all below it: say so to the one above."""
        self._is_safe(told)
        self._passing = None
        at = self.view.chain.index(self.me)
        if at:
            above = self.view.chain[at - 1][0]
            held = self.replica.config.identity
            self.out.append((above, ["passed", self.view.epoch, seq, held, self.me[1]]))
            return
        for ticket in [ticket for ticket, one in self._waiting.items() if one.seq == seq]:
            one = self._waiting.pop(ticket)
            self.done.append((ticket, self.safe.config.judge(one.order.version, one.digest)))

    def _take_pass(self, now: float, sender: str, view: View, seq: int, told: Replica) -> None:
        if view.epoch < self.view.epoch:
            self._tell_view(sender)
            return
        if self.me not in view.chain:
            return
        if not told.fill(self.replica):
            self._fetch(sender, view.epoch)
            return
        if view.epoch > self.view.epoch:
            self._install(now, view, told)
        if self.frozen:
            return
        self.dirty |= self.replica.join(told)
        self._down(seq, told)

    def _take_passed(self, now: float, epoch: int, seq: int, identity: bytes, member: Member) -> None:
        if epoch != self.view.epoch or self.frozen or not self.member:
            return
        self._holds[member] = identity
        if seq != self.seq or self._passing is None:
            return  # of a pass that is over: it says nothing of the one under way
        self._up(seq, self._passing)
        if self.head == self.ip:
            self._begin(now)

    def _fetch(self, ip: str, epoch: int) -> None:
        """Ask for the whole text of what came without."""
        self.out.append((ip, ["fetch", epoch, self.replica.config.identity, self.me[1]]))

    def _take_fetch(self, sender: str, epoch: int, identity: bytes, disk: str) -> None:
        """Send the whole text to who lacks it."""
        self._holds[sender, disk] = identity
        if epoch != self.view.epoch:
            return
        self._tell_view(sender, identity)
        if self._after == (sender, disk):
            self.reached(sender)

    def reached(self, ip: str) -> None:
        """Pass again at once to the next member, which has just come into reach and may have missed it."""
        after = self._after
        if after is not None and after[0] == ip and self._passing is not None and not self.frozen:
            self._down(self.seq, self._passing)

    # Looking round.

    def tick(self, now: float, reach: Mapping[str, PeerObservation]) -> None:
        """Look at what is in reach, and mend the chain where that is called for."""
        self.reach = reach
        self._bring_up(now)
        if not self.voter:
            return
        unanswered = self.head == self.ip and not self.frozen and self._passing is not None
        if unanswered and now - self._passed_at >= RESEND_MS:
            self._pass(now)
        proposal = self.paxos.proposal
        if not self._wanted(now):
            self._want_since = math.inf
            if proposal is None:
                return
        elif self._want_since == math.inf:
            self._want_since = now
        if proposal is not None:
            if now - proposal.begun < PROPOSE_MS * (1.0 + self._turn):
                return
            self.paxos.proposal = None
        scene = self._observation()
        standing = [one for one in self.view.voters if one == self.me or scene.is_well(one)]
        if now - self._want_since >= STEADY_MS + TURN_MS * (standing.index(self.me) + self._turn):
            self._propose(now)

    def _tell_view(self, ip: str, known: bytes = b"") -> None:
        """Tell another machine of the view, with the state it goes on from where this machine has that."""
        state = self.replica if self.replica.config.epoch == self.view.epoch else None
        self.out.append((ip, ["view", self.view.pack(), None if state is None else state.pack(known)]))

    def _bring_up(self, now: float) -> None:
        """Bring machines that are behind what is agreed, and what is safe."""
        for ip, one in self.reach.items():
            behind, lacks = one.epoch < self.view.epoch, one.lacks(self.safe)
            if not one.live or not (behind or lacks) or now - self._copied.get(ip, -math.inf) < COPY_MS:
                continue
            self._copied[ip] = now
            if behind:
                self._tell_view(ip, one.identity)
            if lacks:
                self.out.append((ip, ["copy", self.safe.pack(one.identity)]))

    def _take_copy(self, told: Replica) -> None:
        """Take what another machine knows to be safe."""
        if not told.fill(self.replica):
            return  # it is told again, whole, once this machine has said what it holds
        self.dirty |= self.replica.join(told)
        self._is_safe(told)

    def _wanted(self, now: float) -> bool:
        """Tell whether the view should change."""
        if self.frozen:
            return now - self._frozen_at >= FROZEN_MS
        if now - self._begun_at < GRACE_MS:
            return False  # the others are starting as well
        return differs(self.view, next_view(self.view, self._observation(), self.tolerance))

    # Agreeing on the next view.

    def _propose(self, now: float) -> None:
        self._turn = self.random.random()
        proposal = self.paxos.propose(now, self.view.epoch + 1, self.ip)
        told = ["prepare", proposal.slot, list(proposal.ballot), self.replica.config.identity]
        for ip, _ in self.view.voters:
            self._say(now, ip, told)

    def _say(self, now: float, ip: str, message: list[Any]) -> None:
        """Send a message, or take it at once where it is to this machine."""
        if ip == self.ip:
            self.receive(now, ip, message)
        else:
            self.out.append((ip, message))

    def _freeze(self, now: float) -> None:
        if not self.frozen:
            self._frozen_at = now
        self.dirty = True

    def _outbids(self, now: float, sender: str, slot: int, ballot: Ballot) -> bool:
        """Tell a proposer where a higher ballot has been promised."""
        higher = self.paxos.outbid(slot, ballot)
        if higher is not None:
            self._say(now, sender, ["outbid", slot, list(higher)])
        return higher is not None

    def _take_prepare(self, now: float, sender: str, slot: int, ballot: Ballot, known: bytes) -> None:
        if slot <= self.view.epoch:
            self._tell_view(sender, known)
            return
        if slot != self.view.epoch + 1 or not self.voter:
            return
        if self._outbids(now, sender, slot, ballot):
            return
        self._freeze(now)
        accepted = self.paxos.promise(slot, ballot)
        told = None if accepted is None else pack_value(*accepted)
        copy = self.replica.pack(known if sender != self.ip else b"")
        self._say(now, sender, ["promise", slot, list(ballot), told, copy, self.me[1]])

    def _take_promise(
        self, now: float, member: Member, slot: int, ballot: Ballot, told: Any, copy: Any
    ) -> None:
        one = self.paxos.mine(slot, ballot)
        if one is None:
            return
        brought = Replica.unpack(copy)
        if not brought.fill(self.replica):
            return  # this machine's own copy has changed since it asked; it asks again
        accepted = None if told is None else unpack_value(told)
        if not self.paxos.promised_by(one, self.view, member, brought, accepted):
            return
        if one.best is not None:
            one.value = one.best[1]
        else:
            scene = self._observation(frozenset(one.promises))
            one.value = next_view(self.view, scene, self.tolerance), one.state.begun(slot)
        view, state = one.value
        holds(view.epoch == slot == state.config.epoch, "a view and the state it begins with")
        holds(bool(view.chain) and state.config.whole, "somebody has the state")
        for voter in self.view.voters:
            packed = state.pack(b"" if voter == self.me else one.promises.get(voter, b""))
            self._say(now, voter[0], ["accept", slot, list(ballot), view.pack(), packed])

    def _take_accept(
        self, now: float, sender: str, slot: int, ballot: Ballot, view: View, state: Replica
    ) -> None:
        if slot != self.view.epoch + 1 or not self.voter:
            return
        if self._outbids(now, sender, slot, ballot) or not state.fill(self.replica):
            return
        self._freeze(now)
        self.paxos.accept(slot, ballot, (view, state))
        self._say(now, sender, ["accepted", slot, list(ballot), self.me[1]])

    def _take_accepted(self, now: float, member: Member, slot: int, ballot: Ballot) -> None:
        one = self.paxos.mine(slot, ballot)
        if one is None or one.value is None or not self.paxos.accepted_by(one, self.view, member):
            return
        view, state = one.value
        for other in dict.fromkeys((*self.view.voters, *view.voters)):
            if other[0] != self.ip:
                known = one.promises.get(other, b"")
                self.out.append((other[0], ["view", view.pack(), state.pack(known)]))
        self._install(now, view, state)

    def _take_view(self, now: float, sender: str, view: View, state: Replica | None) -> None:
        if state is not None and not state.fill(self.replica):
            state = None
        newer = view.epoch > self.view.epoch
        if newer and state is None and self.me in view.chain:
            self._fetch(sender, view.epoch)
        elif newer:
            self._install(now, view, state)
        elif state is not None and view.epoch == self.view.epoch:
            self.dirty |= self.replica.join(state)

    def _install(self, now: float, view: View, state: Replica | None) -> None:
        """Take up a view; as a member of its chain only together with the state it goes on from."""
        holds(view.epoch > self.view.epoch, "views only go forward")
        if state is not None:
            self.replica.join(state)
        begun = self.replica.config.epoch == view.epoch
        holds(self.me not in view.chain or begun, "no view without its state")
        self.view, self.dirty, self.mended = view, True, self.mended + 1
        self.paxos.over()
        self._want_since = self._frozen_at = math.inf
        self._holds.clear()
        self.seq, self._passing = self.random.randrange(MOST_SEQ), None
        if self.member and self.head == self.ip:
            for one in self._waiting.values():
                one.seq = -1
            self._pass(now)
            self._begin(now)
        else:
            self.done += [(ticket, CommitOutcome.NOT_YET) for ticket in self._waiting]
            self._waiting.clear()

    def begin(self, now: float) -> None:
        """Start: who is head finds out whether its view stands, and what of its copy is safe."""
        self._begun_at = now
        if self.member and self.head == self.ip and not self.frozen:
            self._pass(now)
        if self.frozen:
            self._frozen_at = now

    def receive(self, now: float, sender: str, message: list[Any]) -> None:
        """Take a message of another core machine; what is malformed raises ValueError or the like."""
        name, *told = message
        if name == "pass":
            self._take_pass(now, sender, View.unpack(told[0]), int(told[1]), Replica.unpack(told[2]))
        elif name == "passed":
            member = (sender, str(told[3]))
            self._take_passed(now, int(told[0]), int(told[1]), bytes(told[2]), member)
        elif name == "fetch":
            self._take_fetch(sender, int(told[0]), bytes(told[1]), str(told[2]))
        elif name == "copy":
            self._take_copy(Replica.unpack(told[0]))
        elif name == "prepare":
            self._take_prepare(now, sender, int(told[0]), parse_ballot(told[1]), bytes(told[2]))
        elif name == "promise":
            slot, ballot, accepted, copy, disk = told
            self._take_promise(now, (sender, str(disk)), int(slot), parse_ballot(ballot), accepted, copy)
        elif name == "accept":
            view, state = View.unpack(told[2]), Replica.unpack(told[3])
            self._take_accept(now, sender, int(told[0]), parse_ballot(told[1]), view, state)
        elif name == "accepted":
            self._take_accepted(now, (sender, str(told[2])), int(told[0]), parse_ballot(told[1]))
        elif name == "outbid":
            self._take_outbid(now, int(told[0]), parse_ballot(told[1]))
        elif name == "view":
            begun = None if told[1] is None else Replica.unpack(told[1])
            self._take_view(now, sender, View.unpack(told[0]), begun)

    def _take_outbid(self, now: float, slot: int, ballot: Ballot) -> None:
        mine = self.paxos.proposal
        if mine is None or slot != mine.slot or ballot <= mine.ballot:
            return
        if self.paxos.promised[0] == slot and ballot > self.paxos.promised[1]:
            self.paxos.promised, self.dirty = (slot, ballot), True  # so that the next number is above it
        mine.begun = now  # the other's proposal gets its time
