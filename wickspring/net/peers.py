"""The exchanges between data planes and their times; `peer_state/` decides what is sent and what is heeded.

Loaded only where `deploy/peers.toml` has it on. One exchange is a line each way on a link that is kept while
it is of use; few links are kept either way, however many data planes there are. Whatever a peer sends or
fails to send ends at most its link. An exchange is made

    each round, with the next member in turn, and carries gossip;
    with the other data planes of customers that come in here, about once a second, more often while the
    counter does not answer;
    at once with one that may have a right that was refused here.

All of them are bounded in links, bytes and number; a round that finds no bytes left is left out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring import __version__
from wickspring import interface as api
from wickspring.config import Instance
from wickspring.connections.backoff import Backoff, jittered
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.peer_links import PeerLinks, TrafficMeter
from wickspring.net.peer_listener import CertificateNames, PeerListener
from wickspring.peer_state.messages import (
    IndirectProbe,
    Message,
    PeerInfo,
    PeerMessage,
    Reply,
    StatusRequest,
    View,
)
from wickspring.peer_state.participant import Participant, ParticipantSettings
from wickspring.peer_state.shares import Shares
from wickspring.settings.address import parse_address
from wickspring.tls import Certificates

log = logging.getLogger(__name__)

COUNTS_CHECK_S = 0.1  # between checks with whom counts are to be exchanged
EVALUATION_S = 0.2  # between evaluations of failure reports
EXPIRY_S = 0.4
BORROW_S = 0.05  # between exchanges for rights
SPENT_LOG_S = 0.2  # between writes to the log of spent rights
JOIN_SHARE = 0.2  # of a round, after which the next one comes while members are found
SUCCESSION_CHECK_S = 0.05  # between checks whether the process before this one has ended
LISTEN_RETRY_S = 0.5
LEAVE_TIMEOUT_S = 0.4
LEAVE_RECEIVERS = 3
SEED_BACKOFF_MS = 50.0
SEED_BACKOFF_MAX_S = 10.0

PeriodicAction = Callable[[trio.Nursery], None]


class Peers:
    """One data plane among the others."""

    def __init__(
        self,
        instance: Instance,
        shares: Shares,
        clock: Clock,
        dispatch: Callable[[api.Avoid], None],
        listed_servers: Callable[[], dict[api.ServerId, float]],
    ) -> None:
        self.instance = instance
        self.config = instance.peers
        self.shares = shares
        self.clock = clock
        self.random = Random(instance.settings.seed)
        self._dispatch = dispatch
        self._listed_servers = listed_servers
        self._started_at = clock.now()
        self.participant = Participant(
            instance.name,
            self._own_info(),
            shares,
            self._started_at,
            ParticipantSettings(self.config.round_s, self.random.getrandbits(32), self.config.hearsay_share),
        )
        self.members = self.participant.members
        self.error_counts = self.participant.error_counts
        certificates = self._certificates()
        self.traffic = TrafficMeter(clock, self.config.bytes_s)
        self._links = PeerLinks(certificates, self.traffic, self.error_counts)
        self._incoming = PeerListener(certificates, self.traffic, self.error_counts, self._reply_to)
        round_s = self.config.round_s
        slots = max(1, instance.settings.gateways)
        self._seed_backoff = Backoff(
            self.random, slots, SEED_BACKOFF_MS, round_s, SEED_BACKOFF_MAX_S, round_s
        )
        self._next_seed_at_s = self._started_at / 1000.0

    def _own_info(self) -> PeerInfo:
        settings = self.instance.settings
        zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else str(settings.zone)
        return PeerInfo(
            hall=self.config.hall or zone,
            slot=settings.own_number,
            slots=max(1, settings.gateways),
            program=__version__,
        )

    def _certificates(self) -> Certificates | None:
        tls = self.config.tls
        if tls is None:
            return None
        folder = Path(self.config.folder)
        return Certificates(folder / tls.ca, folder / tls.cert, folder / tls.key)

    def _now_s(self) -> float:
        return self.clock.now() / 1000.0

    # The process.

    def record_counter_answer(self, answer: api.CountAnswer) -> None:
        """Record an answer of the counter."""
        self.participant.record_counter_answer(self.clock.now(), answer)

    async def wait_to_open(self) -> None:
        """Wait until connections may be opened by own rights: an earlier process's rights have expired."""
        await trio.sleep(max(0.0, self.shares.opens_at() - self.clock.now()) / 1000.0)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen, and make exchanges for as long as this process serves."""
        if self.shares.waits_for_predecessor:
            task_status.started()  # it serves meanwhile; the process before this one still listens here
            while self.shares.waits_for_predecessor:
                await trio.sleep(SUCCESSION_CHECK_S)
            listener = await self._listen(retry=True)
        else:
            listener = await self._listen(retry=False)
            task_status.started()
        bound = listener.socket.getsockname()
        address = self.config.advertise or f"{bound[0]}:{bound[1]}"
        self.participant.set_address(address)
        log.info("peers", extra=kv(name=self.instance.name, listen=address, seeds=len(self.config.seeds)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._incoming.serve, listener)
            nursery.start_soon(self._repeat, COUNTS_CHECK_S, self._exchange_counts, nursery)
            nursery.start_soon(self._repeat, EVALUATION_S, self._evaluate_servers, nursery)
            nursery.start_soon(self._repeat, EXPIRY_S, self._expire, nursery)
            nursery.start_soon(self._run_rounds, nursery)
            nursery.start_soon(self._borrow_rights, nursery)
            if self.config.account:
                spent_log = Path(self.config.folder) / self.config.account
                nursery.start_soon(self._write_spent_log, spent_log)

    async def _listen(self, retry: bool) -> trio.SocketListener:
        """Listen at the configured address; with `retry`, until whoever listens there has gone.

        Raises OSError without `retry`.
        """
        host, port = parse_address("listen", self.config.listen, any_port=True)
        while True:
            try:
                return (await trio.open_tcp_listeners(port, host=host))[0]
            except OSError as error:
                if not retry:
                    raise
                log.warning("peers_wait", extra=kv(reason=error))
                await trio.sleep(LISTEN_RETRY_S)

    async def leave(self, succeeded: bool) -> None:
        """Tell some others that this process stops."""
        self.participant.leave(self.clock.now(), succeeded)
        active = self.members.active_members()
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for name in self.random.sample(active, min(LEAVE_RECEIVERS, len(active))):
                    nursery.start_soon(self._exchange_with, name, True)

    # Periodic tasks.

    async def _repeat(self, pause_s: float, action: PeriodicAction, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(jittered(2.0 * pause_s, self.random))  # between the pause and twice as long
            self._attempt(action, nursery)

    def _attempt(self, action: PeriodicAction, nursery: trio.Nursery) -> None:
        try:
            action(nursery)
        except Exception as error:  # no fault among peers may end the serving
            self.error_counts["raised"] += 1
            log.exception("peers_failed", extra=kv(reason=error))

    async def _run_rounds(self, nursery: trio.Nursery) -> None:
        """Run round after round; sooner while new members are found."""
        while True:
            known = len(self.members.entries)
            self._attempt(self._run_round, nursery)
            await trio.sleep(jittered(2.0 * JOIN_SHARE * self.config.round_s, self.random))
            if len(self.members.entries) == known > 1:
                await trio.sleep((1.0 - JOIN_SHARE) * self.config.round_s)

    def _run_round(self, nursery: trio.Nursery) -> None:
        now_s = self._now_s()
        for name in self.participant.tick(self.clock.now()):
            log.warning("peer_gone", extra=kv(name=name, living=self.members.size))
        target = self.members.next_probe_target()
        seed_due = self.config.seeds and now_s >= self._next_seed_at_s
        if seed_due and self.participant.should_contact_seed(target):
            nursery.start_soon(self._contact_seed, self.random.choice(self.config.seeds))
        if target is not None and self._has_bytes_left():
            nursery.start_soon(self._probe, target, True)

    def _has_bytes_left(self) -> bool:
        if self.traffic.has_bytes_left():
            return True
        self.error_counts["no_bytes_left"] += 1
        return False

    def _exchange_counts(self, nursery: trio.Nursery) -> None:
        for name in self.participant.due_peers(self.clock.now()):
            if self._has_bytes_left():
                nursery.start_soon(self._probe, name, False)

    async def _borrow_rights(self, nursery: trio.Nursery) -> None:
        """Ask data planes that may have what was refused here, one after another, while it is wanted."""
        while True:
            refused = trio.Event()
            self.shares.on_refused = refused.set
            await refused.wait()
            while lenders := self.participant.lenders(self.clock.now()):
                lender = next(
                    (name for name in lenders if not self._links.is_busy(self._address(name))), None
                )
                if lender is not None and self._has_bytes_left():
                    nursery.start_soon(self._exchange_with, lender, False)
                await trio.sleep(BORROW_S)
            await trio.sleep(BORROW_S)

    def _evaluate_servers(self, nursery: trio.Nursery) -> None:
        """Report what fails here, urgent reports at once; heed the reports of others."""
        if not self.config.judgements:
            return
        avoided_before = set(self.participant.avoided)
        avoid = self.participant.evaluate_servers(self.clock.now(), self._listed_servers())
        for server, weight in self.participant.avoided.items():
            if server not in avoided_before:
                log.info("avoided_by_hearsay", extra=kv(server=server, weight=round(weight, 2)))
        for name in self.participant.take_urgent_receivers():
            if self._has_bytes_left():
                nursery.start_soon(self._exchange_with, name, True)
        if avoid is not None:
            self._dispatch(avoid)

    def _expire(self, _: trio.Nursery) -> None:
        self.shares.expire(self.clock.now())

    async def _write_spent_log(self, path: Path) -> None:
        self.shares.spent_log = []
        with path.open("a") as file:
            while True:
                with trio.CancelScope(shield=True):
                    spent = self.shares.spent_log
                    self.shares.spent_log = []
                    file.writelines(f"{at:.3f} {name}\n" for at, name in spent)
                    file.flush()
                await trio.sleep(SPENT_LOG_S)

    # Exchanges.

    def _address(self, name: str) -> str:
        info = self.members.info_of(name)
        return self.config.route.get(name) or (info.address if info is not None else "")

    async def _exchange(self, name: str, message: Message) -> Reply | None:
        return await self._links.exchange(name, self._address(name), message)

    async def _probe(self, name: str, gossip: bool) -> None:
        """Make an exchange with a member; ask helpers for indirect probes where it does not answer."""
        if self._links.is_busy(self._address(name)) or await self._exchange_with(name, gossip):
            return  # an exchange that is under way has its own result
        helpers = self.members.select_helpers(name)
        reached = False

        async def probe_through(helper: str) -> None:
            nonlocal reached
            reply = await self._exchange(helper, IndirectProbe(self.participant.name, name))
            reached |= reply is not None and reply.reached

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(probe_through, helper)
        if reached:
            self.members.record_indirect_contact(name)
        else:
            self.members.suspect(name)

    async def _exchange_with(self, name: str, gossip: bool) -> bool:
        """Make an exchange with a member; False where there is no answer of it."""
        address = self._address(name)
        if not address or self._links.is_busy(address):
            return False
        message = self.participant.message_to(self.clock.now(), name, gossip)
        reply = await self._links.exchange(name, address, message)
        if reply is None or reply.message is None or reply.message.sender != name:
            self.participant.on_message_lost(name, message)
            self.error_counts["another_listens"] += reply is not None and reply.message is not None
            return False
        await self._on_reply(message, reply, reply.message, name, address)
        return True

    async def _on_reply(
        self, message: PeerMessage, reply: Reply, answer: PeerMessage, name: str, address: str
    ) -> None:
        """Take in an answer, and send the entries that it requests."""
        self.participant.on_reply(self.clock.now(), answer)
        if reply.requested:
            requested = self.participant.requested_entries(message, reply.requested)
            await self._links.exchange(name, address, requested)

    async def _contact_seed(self, seed: str) -> None:
        """Make an exchange with whoever listens at an address of the configuration."""
        message = self.participant.message_to(self.clock.now(), "", True)
        reply = await self._links.exchange("", seed, message)
        if reply is None or reply.message is None:
            self._next_seed_at_s = self._now_s() + self._seed_backoff.failed()
            return
        self._next_seed_at_s = self._now_s() + self._seed_backoff.ended()
        if reply.message.sender != self.participant.name:
            await self._on_reply(message, reply, reply.message, "", seed)

    async def _reply_to(self, message: Message, certificate_names: CertificateNames) -> Reply:
        """Answer a message of a peer or an operator."""
        if isinstance(message, StatusRequest):
            return Reply(view=self.view())
        if certificate_names is not None and message.sender not in certificate_names:
            return Reply(error=f"the certificate does not name {message.sender!r}")
        if isinstance(message, IndirectProbe):
            return Reply(reached=await self._reaches(message.target))
        return self.participant.answer(self.clock.now(), message)

    async def _reaches(self, name: str) -> bool:
        if self.members.seconds_since_contact(name) < self.config.round_s:
            return True
        reply = await self._exchange(name, self.participant.message_to(self.clock.now(), "", False))
        return reply is not None and not reply.error

    # Status.

    def view(self) -> View:
        """Return the status of this data plane among the others."""
        now = self.clock.now()
        return msgspec.structs.replace(
            self.participant.view(now),
            bytes_out=self.traffic.bytes_out,
            bytes_in=self.traffic.bytes_in,
            up_s=round((now - self._started_at) / 1000.0, 3),
        )
