"""One ingress among the others: what it says in each talk, and what it makes of what it hears.

The host makes the talks (`net/peers.py` over links, `lab/large_peers.py` in virtual time) and tells the time.
No I/O and no clock; times are ms.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.membership.anti_entropy import Entry
from wickspring.membership.swim import Membership, MemberState
from wickspring.peer_state.judgements import Witness, Words
from wickspring.peer_state.messages import About, BudgetView, MemberView, Reply, Talk, View
from wickspring.peer_state.shares import Parts, Shares, server_name

DIGEST_MOST = 4  # members in a digest; few more where there are many
ENTRIES_MOST, DOUBTS_MOST = 4, 4  # handed on in one talk
SEED_ODDS, JOIN_ODDS = 0.05, 0.25  # that a round tries a seed; while not all slots are known
WORDS_MS = 500.0  # between changes of what is told of ticket servers
TOLD_AT_ONCE = 2  # others that are told at once of a ticket server that newly fails somebody
AVOID_MS = 1000.0  # that one look at hearsay holds
MATES_MS, MATES_LOST_MS = 900.0, 300.0  # between talks with the others of a set; while the counter is lost
LOST_MS = 100.0  # between the last call that was not answered and the last that was


class Participant:
    """What one ingress knows of the others, and they of it."""

    def __init__(
        self,
        name: str,
        about: About,
        shares: Shares,
        now: float,
        *,
        round_s: float,
        seed: int,
        hearsay_share: float = 0.34,
    ) -> None:
        self.about, self.shares, self.hearsay_share = about, shares, hearsay_share
        self.random = Random(seed)
        self.members: Membership[About] = Membership(
            name, round(now / 1000.0, 3), about, round_s, self.random.getrandbits(32), now / 1000.0
        )
        self.troubles: Tally[str] = Tally()
        self.avoided: dict[str, float] = {}
        self.counter_heard, self.counter_asked = now, -1e12
        self._words_told = -1e12
        self._pressing = False  # it is new that a ticket server fails somebody: handed on at once
        self._complains: set[str] = set()  # whom ticket servers fail, by their own word
        self._halls = {about.hall}  # of all that were ever heard of
        self._holders: dict[int, set[str]] = {}  # who has told to hold a slot
        self._words_at: dict[str, tuple[tuple[float, int], float]] = {}  # when an entry's content was heard

    @property
    def name(self) -> str:
        """Return the own name."""
        return self.members.owner

    # Facts of the ingress.

    def counted(self, now: float, answer: api.CountAnswer) -> None:
        """Note an answer of the counter: whether it answers decides how often counts are told."""
        self.counter_asked = now
        if answer.status is api.Status.OK:
            self.counter_heard = now

    @property
    def counter_lost(self) -> bool:
        """Tell whether calls are made and nothing is answered."""
        return self.counter_asked - self.counter_heard > LOST_MS

    def placed(self, address: str) -> None:
        """Note where this ingress listens."""
        self._tell(msgspec.structs.replace(self.about, address=address))

    def leave(self, now: float, succeeded: bool) -> None:
        """End on purpose, and say so; who is `succeeded` by another process spends nothing any more."""
        if succeeded:
            self.shares.retire(now)
        self._tell(msgspec.structs.replace(self.about, left=True))

    def _tell(self, about: About) -> None:
        self.about = about
        self.members.update_own(about, heartbeat=False)

    # Whom to talk to.

    def tick(self, now: float) -> list[str]:
        """Let time pass; return the members that have just been given up."""
        return self.members.tick(now / 1000.0)

    def knocks(self, target: str | None) -> bool:
        """Tell whether a round is to try a seed: where nobody is known, and by odds while some are not.

        Those who began with different seeds would else be as many fleets, each of which knows itself whole.
        """
        odds = SEED_ODDS if len(self.members.entries) >= self.about.slots else JOIN_ODDS
        return target is None or self.random.random() < odds

    def due_mates(self, now: float) -> list[str]:
        """Return the others of customers' sets that have not been talked to for a while."""
        every = MATES_LOST_MS if self.counter_lost else MATES_MS
        slots = (slot for slot in self.shares.mates(now) if now - self.shares.heard.get(slot, -1e12) >= every)
        return [name for slot in slots if (name := self.named(slot)) is not None]

    def lenders(self, now: float) -> list[str]:
        """Return those that may have a right that was refused here."""
        return [name for slot in self.shares.wanted(now) if (name := self.named(slot)) is not None]

    def pressed(self) -> list[str]:
        """Return those to be told at once of what has just become known, once."""
        pressing, self._pressing = self._pressing, False
        some = self.members.active_members() if pressing else []
        return self.random.sample(some, min(TOLD_AT_ONCE, len(some)))

    def named(self, slot: int) -> str | None:
        """Return who holds a slot, the latest to begin where there are two."""
        found = [
            entry
            for name in self._holders.get(slot, ())
            if (entry := self.members.entries.get(name)) is not None
            and entry.content is not None
            and entry.content.slot == slot
            and self.members.state_of(name) in (MemberState.ALIVE, MemberState.SUSPECTED)
        ]
        return max(found, key=lambda entry: entry.incarnation).owner if found else None

    # Talking.

    def word(self, now: float, to: str, gossip: bool) -> Talk:
        """Return what to begin a talk with; to somebody unknown (a seed) there is gossip alone to say."""
        about = self.members.info_of(to) if to else None
        return Talk(
            self.name,
            self.about.slot,
            self.about.slots,
            self.shares.ledger.life,
            self.members.digest(DIGEST_MOST + len(self.members.entries).bit_length()) if gossip else None,
            self.members.take_pending(ENTRIES_MOST) if gossip else (),
            self.members.take_suspicions(to, DOUBTS_MOST) if gossip else (),
            self.shares.say(now, to, about.slot) if about is not None else Parts(),
        )

    def lost(self, to: str, word: Talk) -> None:
        """Note that a word may not have been heard."""
        about = self.members.info_of(to)
        if about is not None:
            self.shares.lost(about.slot, word.parts)

    def heard(self, now: float, talk: Talk) -> None:
        """Take in the answer of another."""
        self._listen(now, talk)
        self.shares.hear(now, talk.sender, talk.slot, talk.life, talk.parts)

    def follow(self, word: Talk, wants: Iterable[str]) -> Talk:
        """Return the entries that the other has asked for."""
        entries = self.members.requested_entries(wants, ENTRIES_MOST).entries
        return Talk(word.sender, word.slot, word.slots, word.life, entries=entries)

    def answer(self, now: float, talk: Talk) -> Reply:
        """Take in the word of another, and return the answer; one of another fleet is refused by name."""
        if talk.slots != self.about.slots or not 0 <= talk.slot < self.about.slots:
            self.troubles["of_another_fleet"] += 1
            return Reply(error=f"Siblings is {self.about.slots} here and {talk.slots} there")
        if talk.sender == self.name:
            return Reply(talk=Talk(talk.sender, self.about.slot, self.about.slots, 0.0))  # its own seed
        if self.named(talk.slot) not in (None, talk.sender):
            self.troubles["slot_of_two"] += 1
        self._listen(now, talk)
        parts = self.shares.answer(now, talk.sender, talk.slot, talk.life, talk.parts)
        entries: tuple[Entry[About], ...] = ()
        wants: tuple[str, ...] = ()
        doubts = self.members.take_suspicions(talk.sender, DOUBTS_MOST) if talk.digest is not None else ()
        if talk.digest is not None:
            delta = self.members.delta(talk.digest, 2 * ENTRIES_MOST)
            known = {entry.owner for entry in delta.entries} | {talk.sender}
            fresh = (entry for entry in self.members.take_pending(ENTRIES_MOST) if entry.owner not in known)
            entries, wants = (*delta.entries, *fresh), delta.requested[: 2 * ENTRIES_MOST]
        elif talk.sender not in self.members.entries:
            wants = (talk.sender,)
        word = Talk(
            self.name,
            self.about.slot,
            self.about.slots,
            self.shares.ledger.life,
            entries=entries,
            doubts=doubts,
            parts=parts,
        )
        return Reply(talk=word, wants=wants)

    def _listen(self, now: float, talk: Talk) -> None:
        self.members.now = max(self.members.now, now / 1000.0)
        self._learn(now, [entry for entry in talk.entries if self._fits(entry)])
        self.members.merge_suspicions(talk.doubts)
        self.members.record_contact(talk.sender)

    def _learn(self, now: float, entries: list[Entry[About]]) -> None:
        known = {entry.owner: self.members.info_of(entry.owner) for entry in entries}
        for entry in self.members.merge_entries(entries):
            before, after = known[entry.owner], entry.content
            if after is not None and after.words.bad:
                new = _named(after.words) - (_named(before.words) if before is not None else set())
                self._pressing |= bool(new - self.avoided.keys())
            key = entry.incarnation, entry.content_version
            if self._words_at.get(entry.owner, ((0.0, -1), 0.0))[0] != key:
                self._words_at[entry.owner] = key, now
            if after is not None:
                self._halls.add(after.hall)
                (self._complains.add if after.words.bad else self._complains.discard)(entry.owner)
                self._holders.setdefault(after.slot, set()).add(entry.owner)
        if len(self._words_at) > len(self.members.entries):  # some have been forgotten
            for gone in [name for name in self._words_at if name not in self.members.entries]:
                del self._words_at[gone]
                self._complains.discard(gone)
                for names in self._holders.values():
                    names.discard(gone)

    def _fits(self, entry: Entry[About]) -> bool:
        about = entry.content
        if about is None:
            return True
        if about.slots == self.about.slots and 0 <= about.slot < about.slots and about.address:
            return True
        self.troubles["of_another_fleet"] += 1
        return False

    # Judgements.

    def judge(self, now: float, started: Mapping[api.ServerId, float]) -> api.Avoid | None:
        """Tell what fails here, and return what is to be avoided for what fails others."""
        self.shares.keep_servers(started)
        words = self.shares.words(now)
        if words.bad != self.about.words.bad and now >= self._words_told + WORDS_MS:
            self._pressing |= bool(_named(words) - _named(self.about.words))
            self._words_told = now
            self._tell(msgspec.structs.replace(self.about, words=words))
        there = {server_name(server): at for server, at in started.items()}
        witnesses = list[Witness]()
        for name in sorted(self._complains):
            about = self.members.info_of(name)
            if about is not None and self.members.state_of(name) is MemberState.ALIVE:
                age = now - self._words_at.get(name, ((0.0, 0), -1e12))[1]
                witnesses.append(Witness(name, about.hall, about.words, age))
        self.avoided = self.shares.judge.avoid(now, witnesses, there, len(self._halls), self.hearsay_share)
        if not self.avoided:
            return None
        return api.Avoid(tuple((name.encode("latin-1"), now + AVOID_MS) for name in self.avoided))

    # Shown to operators.

    def view(self, now: float) -> View:
        """Return what this ingress holds and hears; the host adds bytes and time."""
        rows = []
        for name, entry in sorted(self.members.entries.items()):
            about = entry.content
            if about is None:
                continue
            reached = 0.0 if name == self.name else self.members.seconds_since_contact(name)
            heard = now - self.shares.heard[about.slot] if about.slot in self.shares.heard else -1000.0
            rows.append(
                MemberView(
                    name,
                    about.slot,
                    about.hall,
                    self.members.state_of(name).value,
                    about.address,
                    about.program,
                    round(reached, 3) if reached < 1e9 else -1.0,
                    round(heard / 1000.0, 3),
                    tuple(bad.server for bad in about.words.bad),
                )
            )
        budgets = tuple(BudgetView(*row) for row in self.shares.table(now))
        return View(
            self.name,
            self.about.slot,
            self.about.slots,
            self.about.hall,
            tuple(rows),
            budgets,
            self.avoided,
            len(self.shares.ledger),
            self.shares.denied,
            troubles=dict(self.troubles),
        )


def _named(words: Words) -> set[str]:
    return {bad.server for bad in words.bad}
