"""One data plane among the others: whom it exchanges messages with, what it sends, and what it learns.

The host makes the exchanges (`net/peers.py` over links, `lab/simulation/large_peers.py` in virtual time) and
passes the time. No I/O, no clock; times are ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.membership.anti_entropy import Entry
from wickspring.membership.swim import Membership
from wickspring.peer_state.directory import NEVER, PeerDirectory
from wickspring.peer_state.messages import MemberView, PeerInfo, PeerMessage, Reply, View
from wickspring.peer_state.shares import ShareMessages, Shares, server_name

MS_PER_S = 1000.0
MIN_DIGEST_NAMES = 4  # few more where there are many members
MAX_ENTRIES = 4  # piggybacked on one message
MAX_SUSPICIONS = 4  # piggybacked on one message
SEED_PROBABILITY = 0.05  # that a round contacts a seed
JOIN_PROBABILITY = 0.25  # the same while not all slots are known
FAILURE_REPORT_MS = 500.0  # between changes of the own failure report
URGENT_RECEIVERS = 2  # others that are told at once of a server that newly fails somebody
AVOID_MS = 1000.0  # for which one evaluation of others' reports holds
COUNTS_MS = 900.0  # between exchanges with the others of a customer's set
COUNTS_WITHOUT_COUNTER_MS = 300.0  # the same while the counter does not answer
DEFAULT_HEARSAY_SHARE = 0.34
COUNTER_LOST_MS = 100.0  # between the last unanswered call and the last answer


@dataclass(slots=True, frozen=True)
class ParticipantSettings:
    """How a participant gossips, and what it heeds."""

    round_s: float  # between two rounds of gossip
    seed: int
    hearsay_share: float = DEFAULT_HEARSAY_SHARE  # of the servers that others' reports may have it avoid


class Participant:
    """What one data plane knows of the others, and what it tells them."""

    def __init__(
        self,
        name: str,
        info: PeerInfo,
        shares: Shares,
        now: float,
        settings: ParticipantSettings,
    ) -> None:
        self.info = info
        self.shares = shares
        self.settings = settings
        self.random = Random(settings.seed)
        now_s = now / MS_PER_S
        self.members: Membership[PeerInfo] = Membership(
            name, round(now_s, 3), info, settings.round_s, self.random.getrandbits(32), now_s
        )
        self.directory = PeerDirectory(self.members, info.hall)
        self.error_counts: Counter[str] = Counter()
        self.avoided: dict[str, float] = {}
        self._counter_answered_at = now
        self._counter_called_at = NEVER
        self._failures_reported_at = NEVER
        self._has_urgent_report = False  # a newly failing server: reported at once

    @property
    def name(self) -> str:
        """Return the own name."""
        return self.members.owner

    # The own entry.

    def record_counter_answer(self, now: float, answer: api.CountAnswer) -> None:
        """Record an answer of the counter: whether it answers decides how often counts are sent."""
        self._counter_called_at = now
        if answer.status is api.Status.OK:
            self._counter_answered_at = now

    @property
    def counter_lost(self) -> bool:
        """Tell whether calls of the counter are made and none is answered."""
        return self._counter_called_at - self._counter_answered_at > COUNTER_LOST_MS

    def set_address(self, address: str) -> None:
        """Publish where this data plane listens."""
        self._publish(msgspec.structs.replace(self.info, address=address))

    def leave(self, now: float, succeeded: bool) -> None:
        """Publish that this process stops; one that is `succeeded` by another spends nothing any more."""
        if succeeded:
            self.shares.hand_over(now)
        self._publish(msgspec.structs.replace(self.info, left=True))

    def _publish(self, info: PeerInfo) -> None:
        self.info = info
        self.members.update_own(info, heartbeat=False)

    # Whom to contact.

    def tick(self, now: float) -> list[str]:
        """Advance the time; return the members that have just been declared dead."""
        return self.members.tick(now / MS_PER_S)

    def should_contact_seed(self, target: str | None) -> bool:
        """Tell whether a round is to contact a seed: where nobody is known, and now and then at random.

        Otherwise those that started with different seeds would stay separate groups, each complete to itself.
        """
        all_known = len(self.members.entries) >= self.info.slots
        probability = SEED_PROBABILITY if all_known else JOIN_PROBABILITY
        return target is None or self.random.random() < probability

    def due_peers(self, now: float) -> list[str]:
        """Return the others of customers' sets with which no exchange was made for a while."""
        period = COUNTS_WITHOUT_COUNTER_MS if self.counter_lost else COUNTS_MS
        last_received_at = self.shares.last_received_at
        due_slots = (
            slot for slot in self.shares.peer_slots(now) if now - last_received_at.get(slot, NEVER) >= period
        )
        return self._holders_of(due_slots)

    def lenders(self, now: float) -> list[str]:
        """Return those that may have a right that was refused here."""
        return self._holders_of(self.shares.slots_to_request_from(now))

    def _holders_of(self, slots: Iterable[int]) -> list[str]:
        return [name for slot in slots if (name := self.directory.holder_of(slot)) is not None]

    def take_urgent_receivers(self) -> list[str]:
        """Return those to be told at once of a newly failing server, once."""
        urgent = self._has_urgent_report
        self._has_urgent_report = False
        candidates = self.members.active_members() if urgent else []
        return self.random.sample(candidates, min(URGENT_RECEIVERS, len(candidates)))

    # Exchanges.

    def message_to(self, now: float, receiver: str, gossip: bool) -> PeerMessage:
        """Return the first message of an exchange; an unknown receiver (a seed) is sent gossip alone."""
        info = self.members.info_of(receiver) if receiver else None
        message = self._message(
            self.shares.messages_to(now, receiver, info.slot) if info is not None else ShareMessages()
        )
        if not gossip:
            return message
        names = MIN_DIGEST_NAMES + len(self.members.entries).bit_length()
        return msgspec.structs.replace(
            message,
            digest=self.members.digest(names),
            entries=self.members.take_pending(MAX_ENTRIES),
            suspicions=self.members.take_suspicions(receiver, MAX_SUSPICIONS),
        )

    def _message(self, shares: ShareMessages) -> PeerMessage:
        incarnation = self.shares.ledger.incarnation
        return PeerMessage(self.name, self.info.slot, self.info.slots, incarnation, shares=shares)

    def on_message_lost(self, receiver: str, message: PeerMessage) -> None:
        """Record that a message may not have been received."""
        info = self.members.info_of(receiver)
        if info is not None:
            self.shares.on_messages_lost(info.slot, message.shares)

    def on_reply(self, now: float, reply: PeerMessage) -> None:
        """Take in the reply of another data plane."""
        self._merge(now, reply)
        self.shares.on_messages(now, reply.sender, reply.slot, reply.incarnation, reply.shares)

    def requested_entries(self, message: PeerMessage, names: Iterable[str]) -> PeerMessage:
        """Return a message with the entries that the receiver of an earlier one has requested."""
        entries = self.members.requested_entries(names, MAX_ENTRIES).entries
        return PeerMessage(message.sender, message.slot, message.slots, message.incarnation, entries=entries)

    def answer(self, now: float, message: PeerMessage) -> Reply:
        """Take in a message and return the reply; one of another fleet is refused with the reason."""
        if message.slots != self.info.slots or not 0 <= message.slot < self.info.slots:
            self.error_counts["of_another_fleet"] += 1
            return Reply(error=f"Siblings is {self.info.slots} here and {message.slots} there")
        if message.sender == self.name:  # this data plane is its own seed
            return Reply(message=PeerMessage(self.name, self.info.slot, self.info.slots, 0.0))
        if self.directory.holder_of(message.slot) not in (None, message.sender):
            self.error_counts["slot_of_two"] += 1
        self._merge(now, message)
        shares = self.shares.answer(now, message.sender, message.slot, message.incarnation, message.shares)
        reply = self._message(shares)
        if message.digest is None:
            unknown = message.sender not in self.members.entries
            return Reply(message=reply, requested=(message.sender,) if unknown else ())
        suspicions = self.members.take_suspicions(message.sender, MAX_SUSPICIONS)
        delta = self.members.delta(message.digest, 2 * MAX_ENTRIES)
        included = {entry.owner for entry in delta.entries} | {message.sender}
        pending = self.members.take_pending(MAX_ENTRIES)
        updates = tuple(entry for entry in pending if entry.owner not in included)
        reply = msgspec.structs.replace(reply, entries=delta.entries + updates, suspicions=suspicions)
        return Reply(message=reply, requested=delta.requested[: 2 * MAX_ENTRIES])

    def _merge(self, now: float, message: PeerMessage) -> None:
        self.members.now = max(self.members.now, now / MS_PER_S)
        entries = [entry for entry in message.entries if self._is_of_this_fleet(entry)]
        newly_failing = self.directory.merge(now, entries)
        self._has_urgent_report |= bool(newly_failing - self.avoided.keys())
        self.members.merge_suspicions(message.suspicions)
        self.members.record_contact(message.sender)

    def _is_of_this_fleet(self, entry: Entry[PeerInfo]) -> bool:
        info = entry.content
        if info is None:
            return True
        if info.slots == self.info.slots and 0 <= info.slot < info.slots and info.address:
            return True
        self.error_counts["of_another_fleet"] += 1
        return False

    # Failing servers.

    def evaluate_servers(self, now: float, started: Mapping[api.ServerId, float]) -> api.Avoid | None:
        """Report what fails here; return the servers to avoid because they fail others.

        `started` says of each server when it was started.
        """
        self.shares.keep_servers(started)
        report = self.shares.failure_report(now)
        published = self.info.failures
        if report.failing != published.failing and now >= self._failures_reported_at + FAILURE_REPORT_MS:
            self._has_urgent_report |= bool(report.servers - published.servers)
            self._failures_reported_at = now
            self._publish(msgspec.structs.replace(self.info, failures=report))
        self.avoided = self.shares.judge.avoid(
            now,
            self.directory.witnesses(now),
            {server_name(server): started_at for server, started_at in started.items()},
            self.directory.hall_count,
            self.settings.hearsay_share,
        )
        if not self.avoided:
            return None
        return api.Avoid(tuple((name.encode("latin-1"), now + AVOID_MS) for name in self.avoided))

    # Status.

    def view(self, now: float) -> View:
        """Return the status shown to operators; the host adds bytes and up-time."""
        return View(
            self.name,
            self.info.slot,
            self.info.slots,
            self.info.hall,
            members=tuple(
                self._member_view(now, name, entry.content)
                for name, entry in sorted(self.members.entries.items())
                if entry.content is not None
            ),
            budgets=tuple(self.shares.table(now)),
            avoided=self.avoided,
            customers=len(self.shares.ledger),
            refused=self.shares.refused_count,
            error_counts=dict(self.error_counts),
        )

    def _member_view(self, now: float, name: str, info: PeerInfo) -> MemberView:
        contact_s = 0.0 if name == self.name else self.members.seconds_since_contact(name)
        received_at = self.shares.last_received_at.get(info.slot)
        received_ms = now - received_at if received_at is not None else -MS_PER_S
        return MemberView(
            name,
            info.slot,
            info.hall,
            self.members.state_of(name).value,
            info.address,
            info.program,
            last_contact_s=round(contact_s, 3) if contact_s < 1e9 else -1.0,
            last_received_s=round(received_ms / MS_PER_S, 3),
            failing_servers=tuple(failing.server for failing in info.failures.failing),
        )
