"""All that one data plane shares with the others: its rights, its counts, its failure reports.

The decision module and the connection pools ask it for rights and report what they see; the exchanges between
data planes take out what is to be sent to one of them, and put in what that one has sent. No I/O, no clock;
times are ms of the data plane's clock.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from wickspring import interface as api
from wickspring.peer_state import counts
from wickspring.peer_state.budget_rights import MAX_REQUESTS, BudgetRights
from wickspring.peer_state.budgets import Grant, LoanReturn, RightsRequest
from wickspring.peer_state.judgements import FailureReport, Judge
from wickspring.peer_state.recent_usage import NEVER
from wickspring.settings.peers_file import Bounds

MAX_COUNTS = 48  # in one message
PEER_SILENCE_MS = 1500.0  # since the last exchange with a peer, in which its silence means no changes
PEER_MEMORY_MS = 10_000.0  # after its last customer a data plane is no peer of a customer's set any more


class ShareMessages(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What one data plane sends another, beside the gossip; the order of the fields is fixed by the wire."""

    requests: tuple[RightsRequest, ...] = ()
    grants: tuple[Grant, ...] = ()
    returns: tuple[LoanReturn, ...] = ()
    sums: tuple[counts.UsageSum, ...] = ()
    relayed: tuple[counts.RelayedSum, ...] = ()


def server_name(server: api.ServerId) -> str:
    """Return a server's id as messages carry it; any bytes can be carried."""
    return server.decode("latin-1")


class Shares(BudgetRights):
    """One data plane's share of everything."""

    def __init__(
        self,
        settings: api.Settings,
        bounds: Bounds,
        incarnation: float,
        started: float,
        seed: int,
        sends_counts: bool = True,
    ) -> None:
        super().__init__(settings, bounds, started, seed)
        self.sends_counts = sends_counts
        self.ledger = counts.UsageLedger(self.slot, self.slots, incarnation)
        self.judge = Judge()
        self.last_received_at: dict[int, float] = {}  # by slot
        self._peer_slots: dict[int, float] = {}  # of customers' sets, with the end of their last window

    # Counts.

    def record_usage(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> None:
        """Record units that were sent on in a customer's window, which ends at `until`."""
        if not self.sends_counts:
            return
        for slot in self.ledger.record(customer, window, units, until, first, spread):
            self._peer_slots[slot] = max(until, self._peer_slots.get(slot, until))

    def peer_slots(self, now: float) -> list[int]:
        """Return the slots with which counts are exchanged."""
        for slot in [slot for slot, until in self._peer_slots.items() if now - until > PEER_MEMORY_MS]:
            del self._peer_slots[slot]
        return list(self._peer_slots)

    def peer_usage(self, customer: int, window: int) -> float:
        """Return the units that others have reported in a window."""
        return self.ledger.others(customer, window)

    def receives_all_counts(self, now: float, first: int, spread: int) -> bool:
        """Tell whether counts were lately received from all the others of a customer's set."""
        peers = counts.peer_slots(first, spread, self.slots, self.slot)
        received = self.last_received_at
        return self.sends_counts and all(now - received.get(slot, NEVER) < PEER_SILENCE_MS for slot in peers)

    # Failure reports.

    def record_outcome(self, now: float, server: api.ServerId, started: float, good: bool) -> None:
        """Record how an attempt at a server ended."""
        self.judge.record(now, server_name(server), started, good)

    def failure_report(self, now: float) -> FailureReport:
        """Return the own report of failing servers."""
        return self.judge.report(now)

    def keep_servers(self, servers: Iterable[api.ServerId]) -> None:
        """Forget what is known of all servers but these."""
        self.judge.keep(map(server_name, servers))

    # Exchanges.

    def messages_to(self, now: float, name: str, slot: int) -> ShareMessages:
        """Return what to send another data plane as the one that starts an exchange."""
        requests, returns = self.requests_for(now, name, slot)
        sums = self.ledger.take_sums(now, slot, MAX_COUNTS)
        relayed = self.ledger.take_relayed(now, slot, MAX_COUNTS)
        return ShareMessages(requests=requests, returns=returns, sums=sums, relayed=relayed)

    def on_messages(
        self, now: float, name: str, slot: int, incarnation: float, messages: ShareMessages
    ) -> None:
        """Take in what another data plane has sent."""
        self.last_received_at[slot] = now
        self.ledger.merge(now, slot, incarnation, messages.sums, messages.relayed)
        for returned in messages.returns:
            self.on_returned(now, name, returned)
        for grant in messages.grants:
            self.on_granted(now, name, grant)

    def answer(
        self, now: float, name: str, slot: int, incarnation: float, messages: ShareMessages
    ) -> ShareMessages:
        """Take in what another data plane has sent, and return the answer."""
        self.on_messages(now, name, slot, incarnation, messages)
        answers = [self.lend(now, name, request) for request in messages.requests[:MAX_REQUESTS]]
        grants = tuple(grant for grant in answers if grant is not None)
        sums = self.ledger.take_sums(now, slot, MAX_COUNTS)
        relayed = self.ledger.take_relayed(now, slot, MAX_COUNTS)
        return ShareMessages(grants=grants, sums=sums, relayed=relayed)

    def on_messages_lost(self, slot: int, messages: ShareMessages) -> None:
        """Record that messages may not have been received; requests for rights expire by themselves."""
        self.ledger.send_again(slot, messages.sums)

    def expire(self, now: float) -> None:
        """Forget what is over; called a few times a second."""
        self.expire_rights(now)
        self.ledger.expire(now)
